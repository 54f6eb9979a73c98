"""HTTP/1.1 front end: clients submit jobs by POST and wait for the answer."""

from __future__ import annotations

import json
import re
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from enum import Enum
from itertools import islice
from urllib.parse import parse_qs, unquote, urlsplit

from arrowfold import interface as api
from arrowfold.protocol.http import BadRequest, Request, ServerSide
from arrowfold.protocol.waiting import AnswerReceiver
from arrowfold.routing.core import Core
from arrowfold.routing.session import Job, Verdict
from arrowfold.transport.budget import ClientShare, ConnectionBudget
from arrowfold.transport.loop import ZERO, Loop, Steps
from arrowfold.transport.stream import Address, Listener, Stream, StreamBroken, TimedOut

IDLE_TIMEOUT = timedelta(seconds=75)  # between two requests
FIRST_REQUEST_TIMEOUT = timedelta(milliseconds=2700)  # from accept to the first request's last byte
REQUEST_TIMEOUT = timedelta(milliseconds=2700)  # from a later request's first byte to its last
MIN_IDLE_TIME = timedelta(milliseconds=250)  # idle connections younger than this are not closed
WRITE_TIMEOUT = timedelta(seconds=5)
FINAL_LINGER = timedelta(milliseconds=700)  # to read pipelined bytes after the last answer, before closing
ACTIVE_WRITE_TIME = timedelta(milliseconds=600)  # a partial request counts as being sent for so long
STANDBY_CLOSE_DELAY = timedelta(milliseconds=500)  # clients have stopped opening connections by then
STANDBY_CLOSE_INTERVAL = timedelta(milliseconds=100)
ERROR_LINGER_LIMIT = timedelta(milliseconds=5500)  # after an error: from accept, if the client still sends
ERROR_LINGER_IDLE = timedelta(milliseconds=700)  # after an error: if the client sends nothing more
MAX_ID_CHARS = 200
MAX_WAIT = timedelta(hours=1)
STATUS_OVER_QUOTA = 429
STATUS_CONFLICT = 422
_STATUSES = {Verdict.SERVED: 200, Verdict.DENIED: 503, Verdict.FAILED: 502}
PAGES = ("/health/ready", "/health/live", "/counters")
_DURATION_UNITS = {"m": timedelta(milliseconds=1), "u": timedelta(microseconds=1)}
_DURATION = re.compile(r"[0-9]{1,15}(?:[.][0-9]{1,9})?[mu]")
Check = Callable[[Request], None]


def parse_duration(text: str) -> timedelta:
    """Parse a positive number with a unit: `480m` (ms) or `480000u` (µs). Capped at MAX_WAIT.

    ValueError if the text has another form.
    """
    if not _DURATION.fullmatch(text) or not float(text[:-1]):
        raise ValueError(text)
    return min(min(float(text[:-1]), 1e12) * _DURATION_UNITS[text[-1]], MAX_WAIT)


class Stage(Enum):
    """State of a connection.

    The value is the minimum time in the state before the connection may be closed to free capacity for a new
    one, None if it may not be. The order is the order in which connections are closed.
    """

    NO_DATA = timedelta(milliseconds=150)  # connected, no byte received
    LINGERING = timedelta(milliseconds=300)  # the last answer or an error is written; reading the rest
    IDLE_PAGES = timedelta(milliseconds=100)  # idle, has requested status pages only
    PARTIAL_REQUEST = timedelta(milliseconds=1000)  # a request is partly received; counted from its last byte
    IDLE_JOBS = timedelta(seconds=10)  # idle, has submitted jobs
    ANSWER_DUE = None  # an answer is due


_CLOSE_ORDER = list(Stage)


class Connection(AnswerReceiver):
    """One client's connection: its state and the bytes that it holds in memory."""

    __slots__ = ("accepted", "body_bytes", "idle_stage", "is_first_request", "pipelined_bytes", "side",
                 "stage", "stage_since")

    def __init__(self, side: ServerSide, now: timedelta) -> None:
        super().__init__()
        self.side, self.accepted, self.is_first_request = side, now, True
        self.stage, self.stage_since = Stage.NO_DATA, now
        self.idle_stage = Stage.IDLE_PAGES  # its stage between two requests
        self.body_bytes = 0  # of the request body
        self.pipelined_bytes = 0  # sent by the client before its current answer

    def enter(self, stage: Stage, now: timedelta) -> None:
        """Change to a stage."""
        self.stage, self.stage_since = stage, now

    def last_progress(self) -> timedelta:
        """Returns the time of the last progress.

        A partial request counts from its last byte, not from its first, so that slow writers keep their
        connections.
        """
        return self.side.last_received if self.stage is Stage.PARTIAL_REQUEST else self.stage_since


class Front:
    """Listens for clients, reads their jobs and writes their answers.

    `share` is this listener's part of the connections that clients may hold, `max_held_bytes` the bound on
    all request bodies and pipelined data, `max_idle` the number of idle connections that are kept.
    """

    def __init__(
            self, loop: Loop, address: Address, core: Core, classes: dict[str, api.RequestClass],
            budget: ConnectionBudget, share: float, max_held_bytes: int, max_idle: int,
            counters: Counter[str], check: Check | None = None, sock: socket.socket | None = None,
    ) -> None:
        self.loop, self.core, self.classes, self.counters, self.check = loop, core, classes, counters, check
        self.connections: set[Connection] = set()
        self.draining = self.leaving = self.finishing = self.standby = False
        self.starting, self.retired, self.is_closing_idle = True, False, False
        self.last_job = loop.now()
        self.held_bytes, self.max_held_bytes = 0, max_held_bytes  # of all bodies and pipelined data
        self.idle_connections: dict[Connection, None] = {}  # those between two jobs, the longest idle first
        self.max_idle = max_idle
        self.client_share = ClientShare(budget, share)
        self.listener = Listener(
            loop, address, self.client_share, self._accepted, self._free_connections, sock=sock)
        budget.idle_closers.append(self._free_connections)

    # --- connections -----------------------------------------------------------------------------------

    def _accepted(self, stream: Stream) -> None:
        self.counters["connections_accepted"] += 1
        connection = Connection(ServerSide(stream), self.loop.now())
        self.connections.add(connection)
        connection.task = self.loop.spawn(self._serve(connection), "client connection")

    def _free_connections(self) -> bool:
        """Close connections to free capacity; whether any was closed.

        Prevents clients from using up all connections without sending requests: those in the first stages are
        closed first. New connections get some time, as a request may be on its way. Connections whose
        answer is due stay. Several are closed at once, to avoid a search per new client in a crowd.
        """
        now = self.loop.now()
        closable = [c for c in self.connections
                    if c.stage.value is not None and now - c.last_progress() >= c.stage.value]
        closable.sort(key=lambda c: (_CLOSE_ORDER.index(c.stage), c.last_progress()))
        max_closed = max(1, len(self.connections) // 8)
        # Prevents the loss of a request that has arrived and is not read yet: its connection isn't idle.
        closing = list(islice(
            (c for c in closable if c.stage is Stage.LINGERING or c.side.stream.quiet()), max_closed))
        for connection in closing:
            self.counters["connections_closed_for_room"] += 1
            self._close(connection)
        return bool(closing)

    def _close(self, connection: Connection) -> None:
        """Close a connection, once; its task, if suspended, finds the stream closed."""
        connection.side.stream.close()
        self._count_body(connection, 0)
        self._count_pipelined(connection, 0)
        self.idle_connections.pop(connection, None)
        if connection in self.connections:
            self.connections.discard(connection)
            self.listener.released()

    def _become_idle(self, connection: Connection) -> None:
        """Mark a connection as idle; of too many idle ones, close those idle for longest.

        Prevents the refusal of requests from clients that abandon connections and open new ones: abandoned
        connections use up the client's share.
        """
        connection.enter(connection.idle_stage, self.loop.now())
        if connection.idle_stage is Stage.IDLE_JOBS:
            self.idle_connections[connection] = None
        while len(self.idle_connections) > self.max_idle:
            oldest = next(iter(self.idle_connections))
            if self.loop.now() - oldest.stage_since < MIN_IDLE_TIME:
                return
            if not oldest.side.stream.quiet():
                del self.idle_connections[oldest]  # its task is about to read its next request
                continue
            self.counters["connections_closed_as_idle"] += 1
            self._close(oldest)

    def busy(self, quiet: timedelta) -> bool:
        """Whether an answer is due, a request is being received, or a job arrived less than `quiet` ago."""
        now = self.loop.now()
        return now - self.last_job < quiet or any(
            c.stage is Stage.ANSWER_DUE
            or (c.stage is Stage.PARTIAL_REQUEST and now - c.last_progress() < ACTIVE_WRITE_TIME)
            for c in self.connections)

    def drain(self) -> None:
        """Report as not ready ahead of a planned restart, but go on accepting and serving."""
        self.draining = True

    def set_standby(self, standby: bool) -> None:
        """Enter standby, where connections are closed after their answers, or leave it."""
        self.standby = standby
        self._schedule_idle_close()

    def _schedule_idle_close(self) -> None:
        if not self.is_closing_idle and (self.standby or self.retired):
            self.is_closing_idle = True
            self.loop.call_later(STANDBY_CLOSE_DELAY, self._close_idle)

    def start(self) -> None:
        """Begin accepting clients."""
        self.starting = False
        self.listener.open()

    def stop_accepting(self) -> None:
        """Stop accepting, as another process of this node does so; serve the open connections' requests."""
        self.listener.close()
        self.draining = self.retired = True
        self._schedule_idle_close()

    def _close_idle(self) -> None:
        """Close idle connections while in standby or retired; new ones may have a request on its way."""
        self.is_closing_idle = self.standby or self.retired
        if not self.is_closing_idle:
            return
        now = self.loop.now()
        for connection in list(self.connections):
            idle = connection.stage in (Stage.NO_DATA, Stage.IDLE_PAGES, Stage.IDLE_JOBS)
            if idle and now - connection.stage_since >= STANDBY_CLOSE_DELAY \
                    and connection.side.stream.quiet():
                self.counters["connections_sent_away"] += 1
                self._close(connection)
        self.loop.call_later(STANDBY_CLOSE_INTERVAL, self._close_idle)

    def leave(self) -> None:
        """Prepare to end: close idle connections now and the others after their answers."""
        self.leaving = True
        for connection in list(self.connections):
            idle = connection.stage in (Stage.NO_DATA, Stage.IDLE_PAGES, Stage.IDLE_JOBS)
            if idle and connection.side.stream.quiet():  # else its request is answered first
                self._close(connection)

    def finish(self) -> None:
        """End within moments: deny new requests at once, so that clients can retry elsewhere."""
        self.leaving = self.finishing = True

    def has_work(self) -> bool:
        """Whether an answer is still being written, or a request still waits to be answered."""
        known = len(self.connections)
        self.listener.retry()  # accepts connections that the kernel has queued
        return len(self.connections) > known or any(
            c.stage in (Stage.ANSWER_DUE, Stage.PARTIAL_REQUEST, Stage.LINGERING) or not c.side.stream.quiet()
            for c in self.connections)

    def _serve(self, connection: Connection) -> Steps[None]:
        """Serve a connection's requests until it ends."""
        side = connection.side
        try:
            more = True
            while more:
                try:
                    more = yield from self._serve_one(connection)
                except BadRequest as error:
                    # A malformed, oversize or partial request is answered once, then the connection closed.
                    self.counters["bad_requests"] += 1
                    self.counters[f"bad_requests_{error.status}"] += 1
                    yield from self._reply(side, error.status, _error_body(error), [], close=True)
                    connection.enter(Stage.LINGERING, self.loop.now())
                    until = max(connection.accepted + ERROR_LINGER_LIMIT, self.loop.now() + ERROR_LINGER_IDLE)
                    yield from side.stream.linger(until, ERROR_LINGER_IDLE)
                    return
                yield from self.loop.turn()  # prevents pipelined requests from delaying other clients
            if side.overrun or side.has_pipelined() or not side.stream.quiet():
                # Closing with unread input would reset the connection and lose the last answer's bytes.
                connection.enter(Stage.LINGERING, self.loop.now())
                yield from side.stream.linger(self.loop.now() + FINAL_LINGER, FINAL_LINGER)
        except (StreamBroken, TimedOut):
            self.counters["connections_broken"] += 1
        finally:
            self._close(connection)

    def _serve_one(self, connection: Connection) -> Steps[bool]:
        """Serve one request, from its first byte to its answer's last; whether the connection stays open."""
        side, now = connection.side, self.loop.now()
        if not side.has_pipelined():
            # A client may be idle between two requests, but not before the first one or within one.
            try:
                data = yield from side.stream.read(
                    connection.accepted + FIRST_REQUEST_TIMEOUT if connection.is_first_request
                    else now + IDLE_TIMEOUT)
            except TimedOut:
                self.counters["connections_silent"] += 1
                return False
            side.feed(data)
        now = self.loop.now()
        self.idle_connections.pop(connection, None)
        self._count_pipelined(connection, len(side.pipelined))
        connection.enter(Stage.PARTIAL_REQUEST, now)
        until = connection.accepted + FIRST_REQUEST_TIMEOUT if connection.is_first_request \
            else now + REQUEST_TIMEOUT
        try:
            request = yield from side.read_head(until)
            if request is None:
                return False
            # A fault in the head is answered before the body is read: the body may be long or never arrive.
            page = request.method in ("GET", "HEAD")
            job, wait = (None, ZERO) if page else self._read_job(request)
            cls = self.classes.get(job.request_class) if job is not None else None
            yield from side.read_body(request, until, lambda size: self._count_body(connection, size))
            if job is not None and self.classes.get(job.request_class) is not cls:
                # Rule 2 (no repeat of what may have run): the settings changed between the head and the body,
                # and a stricter class may require more of the head than the class under which it was read.
                job, wait = self._read_job(request)
        except TimedOut as error:
            raise BadRequest(408, "the request did not come in time") from error
        connection.enter(Stage.ANSWER_DUE, self.loop.now())
        connection.is_first_request = False
        if self.check is not None:
            self.check(request)
        if job is None:
            status, body = self._status_page(urlsplit(request.target).path)
            # When connections run short, those for status pages are not kept open, so that clients with jobs
            # have them.
            more = yield from self._reply(
                side, status, b"" if request.method == "HEAD" else body, [],
                close=self.client_share.crowded())
        else:
            self._check_job_id_unused(job.id)
            if self.finishing:
                self.counters["denied_at_the_end"] += 1
                return (yield from self._reply(side, _STATUSES[Verdict.DENIED], b"denied: the end\n", []))
            # The deadline counts from the request's last byte.
            job = replace(job, deadline=self.loop.now() + wait, body=request.body, client=side.stream.peer)
            connection.idle_stage = Stage.IDLE_JOBS
            self.last_job = self.loop.now()
            more = yield from self._answer(connection, job)
        self._count_body(connection, 0)
        if more:
            self._become_idle(connection)
        return more

    def _peer_gone(self, connection: Connection) -> bool | None:
        """Whether the client has disconnected; None if it sends nothing. Buffers bounded pipelined data."""
        side = connection.side
        was_within_bounds = not side.overrun
        gone = side.poll_disconnect(self.max_held_bytes - self.held_bytes)
        self.counters["sent_ahead_unheard"] += was_within_bounds and side.overrun
        self._count_pipelined(connection, len(side.pipelined))
        return gone

    def _count_pipelined(self, connection: Connection, size: int) -> None:
        """Set the pipelined bytes that a connection holds."""
        self.held_bytes += size - connection.pipelined_bytes
        connection.pipelined_bytes = size

    def _count_body(self, connection: Connection, size: int) -> None:
        """Set the body bytes that a connection holds. Bounds memory: 503 if all exceed the bound."""
        self.held_bytes += size - connection.body_bytes
        connection.body_bytes = size
        if size and self.held_bytes > self.max_held_bytes:
            raise BadRequest(503, "too many bodies are held here: come back later")

    def _reply(
            self, side: ServerSide, status: int, body: bytes, headers: list[tuple[str, str]],
            close: bool = False,
    ) -> Steps[bool]:
        """Write an answer; whether the connection stays open."""
        close = close or self.leaving or self.standby or self.retired or side.overrun
        return (yield from side.write_answer(status, body, headers, close, self.loop.now() + WRITE_TIMEOUT))

    # --- requests ----------------------------------------------------------------------------------------

    def _answer(self, connection: Connection, job: Job) -> Steps[bool]:
        """Submit a job and write its answer; whether the connection stays open."""
        side = connection.side
        answer = yield from connection.submit(
            self.loop, self.core, job, side.stream, lambda: self._peer_gone(connection))
        if answer is None:
            return False
        headers = []
        if answer.retry_after is not None:
            headers.append(("Retry-After", f"{answer.retry_after.total_seconds():.3f}"))
        if answer.replayed:
            headers.append(("Idempotent-Replayed", "true"))
        body = answer.body
        if answer.verdict is not Verdict.SERVED:
            body = f"{answer.verdict.value}{answer.reason and ': '}{answer.reason}\n".encode()
        status = STATUS_CONFLICT if answer.conflict \
            else STATUS_OVER_QUOTA if answer.over_quota else _STATUSES[answer.verdict]
        return (yield from self._reply(side, status, body, headers))

    def not_ready_reason(self) -> str | None:
        """Returns the reason why the node is not ready; None if it is."""
        if self.starting:
            return "it is starting"
        if self.draining:
            return "it is to end"
        if self.standby:
            return "standby"
        if not self.core.listed:
            return "the list of backend servers has not come yet"
        return None if self.core.ready() else "no backend server is known that may serve"

    def _status_page(self, path: str) -> tuple[int, bytes]:
        """Returns status and body of a status page."""
        if path == "/health/ready":
            why = self.not_ready_reason()
            return (200, b"ready\n") if why is None else (503, f"not ready: {why}\n".encode())
        if path == "/health/live":
            return 200, b"live\n"
        if path == "/counters":
            return 200, json.dumps(dict(sorted(self.counters.items()))).encode() + b"\n"
        raise BadRequest(404, f"no page {path!r}")

    def _read_job(self, request: Request) -> tuple[Job, timedelta]:
        """Returns the job described by a POST's head and its client's wait time; BadRequest if malformed."""
        headers = request.headers
        if request.method != "POST" or urlsplit(request.target).path in PAGES:
            raise BadRequest(405, f"method {request.method} is not served; jobs come by POST")
        parts = urlsplit(request.target)
        name = unquote(parts.path.lstrip("/").split("/", 1)[0])
        cls = self.classes.get(name)
        if cls is None:
            raise BadRequest(404, f"unknown class {name!r}")
        for header in ("X-Trace-Id", "X-Qos", "X-Expires-In"):
            if not headers.get(header.lower()):
                raise BadRequest(400, f"header {header} is missing")
        if headers["x-qos"] != name:
            raise BadRequest(400, f"header X-Qos: {headers['x-qos']!r} is not the path's class {name!r}")
        if cls.idempotency is api.Idempotency.KEYED and not headers.get("idempotency-key"):
            raise BadRequest(400, f"header Idempotency-Key is missing; class {name!r} needs it")
        for header in ("X-Trace-Id", "Idempotency-Key"):
            text = headers.get(header.lower(), "")
            if len(text) > MAX_ID_CHARS or not text.isprintable() or " " in text:
                raise BadRequest(400, f"header {header} is no short word")
        self._check_job_id_unused(headers["x-trace-id"])
        try:
            wait = parse_duration(headers["x-expires-in"])
        except ValueError:
            said = headers["x-expires-in"][:40]
            raise BadRequest(
                400, f"header X-Expires-In: {said!r} is no number above 0 with a unit, m or u") from None
        account = headers.get("x-tenant")
        if self.core.quotas is not None and (fault := self.core.quotas.check(account)) is not None:
            raise BadRequest(400, f"header X-Tenant: {fault}")
        props = self._parse_props(headers.get("x-props", ""))
        keys = parse_qs(parts.query).get("key")
        job = Job(
            headers["x-trace-id"], name, ZERO, b"", keys[0] if keys else None,
            headers.get("idempotency-key"), headers.get("x-customer"), None,
            props.get("slots", 1.0), props.get("memory", 0.0), headers.get("x-second-try") == "1",
            headers.get("x-region"), None, account, request,
            f"{request.method} {request.target}".encode())
        return job, wait

    def _check_job_id_unused(self, job_id: str) -> None:
        """Raises BadRequest (409) for an open session's id: it belongs to the client that sent it first."""
        if self.core.holds(job_id):
            raise BadRequest(409, f"header X-Trace-Id: {job_id!r} is open already")

    @staticmethod
    def _parse_props(text: str) -> dict[str, float]:
        """Parse the X-Props header, `name=number` pairs separated by commas."""
        props: dict[str, float] = {}
        for pair in filter(None, (part.strip() for part in text.split(","))):
            name, _, figure = pair.partition("=")
            try:
                props[name.strip()] = min(max(float(figure), 0.0), 1e6)
            except ValueError:
                raise BadRequest(400, f"header X-Props: {pair!r} is not name=number") from None
        return props


def _error_body(error: BadRequest) -> bytes:
    return f"{error}\n".encode()
