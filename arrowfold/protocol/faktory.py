"""Faktory front end: producers push jobs and wait for their results, workers fetch them.

A PUSH is a session: its reply is +OK if the job was served, else -ERR denied or -ERR failed. Nothing is
stored on disk, so a queued job does not outlive the producer's call.
"""

from __future__ import annotations

import json
import socket
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from arrowfold import interface as api
from arrowfold.protocol.faktory_wire import (
    NIL,
    OK,
    CommandError,
    CommandStream,
    Greeting,
    bulk_reply,
    error_reply,
    parse_object,
)
from arrowfold.protocol.faktory_worker import (
    DEFAULT_QUEUE,
    FaktoryWorker,
    PushedJob,
    Workers,
    result_bytes,
    worker_fields,
)
from arrowfold.protocol.load import reported_fetches
from arrowfold.protocol.waiting import AnswerReceiver
from arrowfold.routing.core import Core
from arrowfold.routing.session import Job, Verdict
from arrowfold.transport.budget import ClientShare, ConnectionBudget
from arrowfold.transport.loop import Loop, Steps
from arrowfold.transport.stream import Address, Listener, Stream, StreamBroken, TimedOut

FETCH_WAIT = timedelta(seconds=2)
HELLO_TIMEOUT = timedelta(milliseconds=2700)  # from accept; the same as for an HTTP client's first request
IDLE_TIMEOUT = timedelta(minutes=10)
WRITE_TIMEOUT = timedelta(seconds=5)
LINGER_TIMEOUT = timedelta(seconds=1)
STANDBY_CLOSE_INTERVAL = timedelta(milliseconds=500)
MAX_WAIT = timedelta(hours=1)
MAX_ID_CHARS = 200
Check = Callable[[str, object], None]  # called with a command's name and payload


class Peer(AnswerReceiver):
    """One connection: a producer, and with a wid also a worker."""

    __slots__ = ("commands", "idle", "worker")

    def __init__(self, commands: CommandStream) -> None:
        super().__init__()
        self.commands = commands
        self.worker: FaktoryWorker | None = None
        self.idle = False  # between two commands


class FaktoryFront:
    """Listens for Faktory clients and serves their commands.

    `share` is this listener's part of the connections that clients may hold, `fetch_limit` the time after
    which an attempt that no FETCH has taken is returned to the core.
    """

    def __init__(
            self, loop: Loop, address: Address, password: str | None, core: Core, zone: str,
            classes: dict[str, api.RequestClass], budget: ConnectionBudget, share: float,
            fetch_limit: timedelta, counters: Counter[str], check: Check | None = None,
            sock: socket.socket | None = None,
    ) -> None:
        self.loop, self.core, self.password, self.classes = loop, core, password, classes
        self.counters, self.check = counters, check
        self.workers = Workers(loop, core, zone, fetch_limit, counters)
        self.peers: set[Peer] = set()
        self.started = loop.now()
        self.drains_workers = self.standby = self.retired = self.is_closing_idle = False
        self.listener = Listener(loop, address, ClientShare(budget, share), self._accepted, sock=sock)
        self.handlers: dict[str, Callable[[Peer, Any], Steps[bytes]]] = {
            "PUSH": self._push, "FETCH": self._fetch, "ACK": self._ack, "FAIL": self._fail,
            "BEAT": self._beat, "INFO": self._info,
        }

    def set_standby(self, standby: bool) -> None:
        """Enter standby, where producers are disconnected after their answers, or leave it.

        Workers stay connected, since open jobs need them.
        """
        self.standby = standby
        self._schedule_idle_close()

    def _schedule_idle_close(self) -> None:
        if not self.is_closing_idle and (self.standby or self.retired):
            self.is_closing_idle = True
            self.loop.call_later(STANDBY_CLOSE_INTERVAL, self._close_idle)

    def start(self) -> None:
        """Begin accepting clients."""
        self.listener.open()

    def stop_accepting(self) -> None:
        """Stop accepting, as another process does so.

        Producers are disconnected after their answers, workers when no answer is due any more.
        """
        self.listener.close()
        self.retired = True
        self._schedule_idle_close()

    def _can_disconnect(self, peer: Peer) -> bool:
        """Whether this peer can be disconnected now, between two commands."""
        worker = peer.worker
        if not (self.standby or self.retired) or peer.commands.buffered or not peer.commands.stream.quiet():
            return False
        return worker is None or (self.retired and not worker.fetched and not self.core.unanswered_count)

    def _close_idle(self) -> None:
        """Disconnect idle peers with no unread input, repeatedly while in standby or retired."""
        self.is_closing_idle = self.standby or self.retired
        if not self.is_closing_idle:
            return
        for peer in list(self.peers):
            if peer.idle and self._can_disconnect(peer):
                self.counters["connections_sent_away"] += 1
                peer.commands.stream.close()  # its suspended task finds it closed
        self.loop.call_later(STANDBY_CLOSE_INTERVAL, self._close_idle)

    def has_unwritten_answers(self) -> bool:
        """Whether an answer is still to be written to a producer."""
        return any(peer.answered is not None for peer in self.peers)

    def _accepted(self, stream: Stream) -> None:
        self.counters["faktory_connections"] += 1
        peer = Peer(CommandStream(stream))
        self.peers.add(peer)
        peer.task = self.loop.spawn(self._serve(peer), "faktory connection")

    def _serve(self, peer: Peer) -> Steps[None]:
        """Serve one connection, from its greeting to its end."""
        stream = peer.commands.stream
        try:
            yield from self._greet(peer)
            while True:
                try:
                    peer.idle = True
                    command = yield from peer.commands.command(self.loop.now() + IDLE_TIMEOUT)
                    peer.idle = False
                    if command is None:
                        return
                    if command[0] == "END":
                        yield from stream.write(OK, self.loop.now() + WRITE_TIMEOUT)
                        return
                    reply = yield from self._execute(peer, *command)
                except CommandError as error:
                    if error.fatal:
                        raise
                    # Prevents malformed input from failing more than its own command.
                    self.counters["faktory_errors"] += 1
                    reply = error_reply(str(error))
                if reply:
                    yield from stream.write(reply, self.loop.now() + WRITE_TIMEOUT)
                peer.answered = None
                if self._can_disconnect(peer):
                    return
        except CommandError as error:
            self.counters["faktory_errors"] += 1
            yield from self._write_fatal_reply(stream, error_reply(str(error)))
        except (StreamBroken, TimedOut):
            self.counters["faktory_connections_broken"] += 1
        finally:
            stream.close()
            self.peers.discard(peer)
            self.listener.released()
            if peer.worker is not None:
                self.workers.remove_connection(peer.worker)

    def _write_fatal_reply(self, stream: Stream, reply: bytes) -> Steps[None]:
        """Write the reply to a fatal error and read what the peer still sends."""
        try:
            yield from stream.write(reply, self.loop.now() + WRITE_TIMEOUT)
            yield from stream.linger(self.loop.now() + LINGER_TIMEOUT, LINGER_TIMEOUT)
        except (StreamBroken, TimedOut):
            self.counters["faktory_connections_broken"] += 1

    def _greet(self, peer: Peer) -> Steps[None]:
        """Exchange HI, HELLO and OK; a fatal CommandError if HELLO is missing or refused."""
        until, greeting = self.loop.now() + HELLO_TIMEOUT, Greeting(self.password)
        yield from peer.commands.stream.write(greeting.line(), until)
        command = yield from peer.commands.command(until)
        if command is None:
            raise StreamBroken("left before HELLO")
        if command[0] != "HELLO":
            raise CommandError(f"{command[0][:20]}: HELLO comes first", fatal=True)
        try:
            hello = parse_object(command[1], "HELLO")
            self._check_payload("HELLO", hello)
        except CommandError as error:
            raise CommandError(str(error), fatal=True) from error
        greeting.check(hello)
        wid = hello.get("wid")
        if wid is not None:
            if not isinstance(wid, str) or not 0 < len(wid) <= MAX_ID_CHARS:
                raise CommandError("HELLO: wid is no short text", fatal=True)
            peer.worker = self.workers.add_connection(wid)
        yield from peer.commands.stream.write(OK, until)

    def _check_payload(self, word: str, payload: object) -> None:
        if self.check is not None:
            self.check(word, payload)

    def _execute(self, peer: Peer, word: str, argument: str) -> Steps[bytes]:
        """Execute one command and return its reply; CommandError if it is malformed or unknown."""
        self.counters["faktory_commands"] += 1
        handler = self.handlers.get(word)
        if handler is None:
            raise CommandError(f"command {word[:20]} is not served here")
        payload: object = None
        if word == "FETCH":
            payload = argument.split() or [DEFAULT_QUEUE]
        elif word != "INFO":
            payload = parse_object(argument, word)
        self._check_payload(word, payload)
        return (yield from handler(peer, payload))

    # --- producers ---------------------------------------------------------------------------------------

    def _push(self, peer: Peer, fields: dict[str, Any]) -> Steps[bytes]:
        """Serve one session, from PUSH to its reply."""
        job = self._read_job(fields, peer.commands.stream.peer)
        answer = yield from peer.submit(
            self.loop, self.core, job, peer.commands.stream, peer.commands.poll_disconnect)
        if answer is None:
            raise StreamBroken("the producer left")
        if answer.verdict is Verdict.SERVED:
            return OK
        if answer.verdict is Verdict.FAILED:
            return error_reply(f"failed: job {job.id}: {answer.reason}" if answer.reason else
                               f"failed: job {job.id} may have run")
        after = f"; retry after {answer.retry_after.total_seconds():.3f} s" if answer.retry_after else ""
        why = f"; {answer.reason}" if answer.reason else ""
        return error_reply(f"denied: job {job.id} may be pushed again{after}{why}")

    def _read_job(self, fields: dict[str, Any], client: str | None) -> Job:
        """Returns the job of a PUSH; CommandError if it is malformed."""
        for key, kind in (("jid", str), ("jobtype", str), ("args", list)):
            if not isinstance(fields.get(key), kind) or (kind is str and not fields[key]):
                raise CommandError(f"PUSH: {key} is missing or of the wrong type")
        jid, custom = fields["jid"], fields.get("custom") or {}
        if len(jid) > MAX_ID_CHARS or not jid.isprintable() or not jid.isascii() or " " in jid:
            raise CommandError("PUSH: jid is no short word")
        cls = self.classes.get(fields["jobtype"])
        if cls is None:
            raise CommandError(f"PUSH: unknown jobtype {fields['jobtype'][:MAX_ID_CHARS]!r}")
        if fields.get("at"):
            raise CommandError("PUSH: at is not served: no queue is kept here")
        if not isinstance(custom, dict):
            raise CommandError("PUSH: custom is no object")
        if self.core.holds(jid):
            raise CommandError(f"PUSH: jid {jid} is open already")
        span = timedelta(microseconds=cls.deadline_us)
        if "expires_in_ms" in custom:
            span = timedelta(milliseconds=_number(custom, "expires_in_ms", 0))
        effect_key = custom.get("idempotency_key", jid if cls.idempotency is api.Idempotency.KEYED else None)
        for name, text in (("key", custom.get("key")), ("tenant", custom.get("tenant")),
                           ("region", custom.get("region")),
                           ("idempotency_key", effect_key)):
            if text is not None and not (isinstance(text, str) and text.isascii() and text.isprintable()):
                raise CommandError(f"PUSH: custom.{name} is no plain text")
        again = custom.get("second_try", False)
        if not isinstance(again, bool):
            raise CommandError("PUSH: custom.second_try is neither true nor false")
        fault = self.core.quotas.check(custom.get("tenant")) if self.core.quotas is not None else None
        if fault is not None:
            raise CommandError(f"PUSH: custom.tenant: {fault}")
        return Job(
            jid, cls.name, self.loop.now() + min(span, MAX_WAIT), json.dumps(fields["args"]).encode(),
            custom.get("key"), effect_key, custom.get("tenant"), None,
            _number(custom, "slots", 1.0), _number(custom, "memory", 0.0), again,
            custom.get("region"), client, custom.get("tenant"), PushedJob(fields),
            json.dumps([cls.name, custom.get("key")]).encode())

    # --- workers -----------------------------------------------------------------------------------------

    @staticmethod
    def _worker(peer: Peer, word: str) -> FaktoryWorker:
        if peer.worker is None:
            raise CommandError(f"{word}: HELLO named no wid")
        return peer.worker

    def _fetch(self, peer: Peer, queues: list[str]) -> Steps[bytes]:
        """Wait for an attempt, up to FETCH_WAIT, and write its job; the reply is NIL if there is none."""
        worker = self._worker(peer, "FETCH")
        until = self.loop.now() + FETCH_WAIT
        fetch = worker.begin_fetch(frozenset(queues), peer.task)
        gone: bool | None = None
        try:
            while fetch.dispatch is None and self.loop.now() < until:
                gone = peer.commands.poll_disconnect()
                if gone:
                    break
                if gone is None:
                    yield from peer.commands.stream.wait_readable(until)
        finally:
            dispatch = worker.end_fetch(fetch)
        if dispatch is None:
            if gone:
                raise StreamBroken("the worker left")
            return NIL
        try:
            if peer.commands.poll_disconnect():
                raise StreamBroken("the worker left")
            # Rule 2 (no repeat of what may have run): before its last byte is sent the job can't have run,
            # afterwards it may have.
            job = bulk_reply(worker_fields(dispatch.job, dispatch.job.deadline - self.loop.now()))
            yield from peer.commands.stream.write(job, dispatch.job.deadline)
            dispatch.is_sent = True
        except (StreamBroken, TimedOut):
            worker.fail_fetch(dispatch)
            raise
        if not dispatch.has_ended:
            dispatch.started()
        return b""

    def _ack(self, peer: Peer, fields: dict[str, Any]) -> Steps[bytes]:
        body = result_bytes(fields.get("result"))
        self._worker(peer, "ACK").finish(_jid(fields, "ACK"), api.Status.OK, body, reported_fetches(fields))
        return OK
        yield

    def _fail(self, peer: Peer, fields: dict[str, Any]) -> Steps[bytes]:
        self._worker(peer, "FAIL").finish(_jid(fields, "FAIL"), api.Status.ERROR, b"")
        return OK
        yield

    def _beat(self, peer: Peer, fields: dict[str, Any]) -> Steps[bytes]:
        """Apply a worker's state and reply with the node's; either may drain the worker."""
        worker = self._worker(peer, "BEAT")
        if fields.get("wid") != worker.wid:
            raise CommandError("BEAT: wid is not the one of HELLO")
        state = fields.get("current_state") or ""
        if state not in ("", "quiet", "terminate"):
            raise CommandError("BEAT: current_state is neither quiet nor terminate")
        # Workers are needed while an answer is due.
        quieted = self.drains_workers and not self.core.unanswered_count
        if state or quieted:
            self.workers.drain(worker)
        return bulk_reply({"state": "quiet"}) if quieted and not state else OK
        yield

    def _info(self, peer: Peer, _: object) -> Steps[bytes]:
        del peer
        uptime = int((self.loop.now() - self.started).total_seconds())
        counted = {name: count for name, count in sorted(self.counters.items())}
        return bulk_reply({
            "server": {"description": "arrowfold", "uptime": uptime, "connections": len(self.peers),
                       "command_count": self.counters["faktory_commands"]},
            "faktory": {"total_processed": self.counters["answered_served"], "queues": {},
                        "total_failures": self.counters["answered_failed"], "counters": counted}})
        yield


def _jid(fields: dict[str, Any], word: str) -> str:
    jid = fields.get("jid")
    if not isinstance(jid, str) or not jid:
        raise CommandError(f"{word}: jid is missing")
    return jid


def _number(custom: dict[str, Any], name: str, default: float) -> float:
    value = custom.get(name, default)
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < 1e10:
        raise CommandError(f"PUSH: custom.{name} is no number in range")
    return float(value)
