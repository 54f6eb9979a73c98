"""Client of the discovery service: polls or watches the list of search workers, updates the worker table."""

from __future__ import annotations

import json
import math
import re
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from random import Random
from typing import Any

from arrowfold import interface as api
from arrowfold.protocol.http import ClientSide, parse_address
from arrowfold.protocol.worker import SearchWorker
from arrowfold.routing.core import Core
from arrowfold.routing.session import Cancellable, Logging, from_us
from arrowfold.transport.loop import ZERO, Loop, Steps, Task
from arrowfold.transport.stream import Address, StreamBroken, TimedOut, connect

SOURCE = "discovery"
CALL_TIMEOUT = timedelta(seconds=3)
CONNECT_TIMEOUT = timedelta(seconds=1)  # far longer than connecting to a reachable service takes
# A watch receives a message or an empty line every 2 s. An update missed by an unresponsive watch counts as
# known 6 s after the last message, so another watch has to be open well before then. The jitter keeps a fleet
# from reconnecting at the same moment.
WATCH_IDLE_TIMEOUT = timedelta(milliseconds=2500)
WATCH_IDLE_TIMEOUT_JITTER = timedelta(milliseconds=500)
UPDATE_DUE_AFTER_SILENCE = timedelta(seconds=6)
UPDATE_DUE_AFTER_MOVE = timedelta(seconds=4)
RETRY_DELAY = timedelta(milliseconds=100)  # before retrying while an update is due; up to four times that
MAX_RETRY_DELAY = timedelta(seconds=1)  # upper bound of the backoff
RETRY_DELAY_FACTOR = 1.3  # of the backoff, per failed call
# A new process lacks the changes made since its list was persisted or handed over, although they count as
# known to it. It serves from that list only once discovery is unreachable, or has sent no list for longer.
UNREACHABLE_TIMEOUT = timedelta(seconds=1)
FIRST_LIST_TIMEOUT = timedelta(seconds=5)  # a node must be ready within 6 s if a day is about to end
START_SPACING = timedelta(milliseconds=2)  # on average between the first calls of a fleet that starts at once
MAX_START_SPREAD = timedelta(milliseconds=1500)  # of these first calls, for a fleet of any size
AGENT_TIMEOUT = timedelta(milliseconds=250)  # an agent on the same machine answers at once, if at all
REFUSAL_TIME_SHARE = 0.6  # part of the drain limit after which an implausible list is applied
MAX_LIST_BYTES = 4 * 1024 * 1024
MAX_DRAINING_WORKERS = 4096  # workers remembered as draining or removed
MAX_REFUSED_LISTS = 3  # consecutive implausible lists that are refused; the next one is accepted
_LIFECYCLES = {
    "SERVING": api.Lifecycle.IN_SERVICE, "DRAINING": api.Lifecycle.TERMINATING,
    "DELETED": api.Lifecycle.TERMINATED,
}
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class WatchTimeout(TimedOut):
    """An open watch received no complete message or empty line in time; treated as a broken connection."""


class DiscoveryUnreachable(StreamBroken):
    """No connection to the discovery service could be opened."""


class ImplausibleList(ValueError):
    """A list such as a faulty or lagging discovery replica may send; the text says why it is refused."""


class MessageParser:
    """Splits a watch's byte stream into JSON messages, indented or not. Empty lines are keep-alives.

    A JSON string contains no line break, so brackets can be counted line by line.
    """

    def __init__(self) -> None:
        self.unfinished_line, self.partial_message, self.depth = bytearray(), bytearray(), 0
        self.has_progress = False  # whether the last bytes completed a message or a keep-alive

    def feed(self, data: bytes) -> list[Any]:
        """The messages completed by `data`. ValueError if one is not JSON, StreamBroken if too large."""
        self.unfinished_line += data
        self.has_progress, messages = False, []
        *lines, rest = self.unfinished_line.split(b"\n")
        self.unfinished_line = rest
        if len(self.unfinished_line) + len(self.partial_message) > MAX_LIST_BYTES:
            raise StreamBroken(f"a message is over {MAX_LIST_BYTES} bytes")
        for line in lines:
            if not line.strip():
                self.has_progress = self.has_progress or not self.partial_message
                continue
            bare = _STRING.sub(b"", line)
            self.depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
            self.partial_message += line
            if self.depth <= 0:
                text, self.partial_message, self.depth = self.partial_message, bytearray(), 0
                messages.append(json.loads(text))
                self.has_progress = True
        return messages
class Discovery:
    """A node's calls to the discovery service; a watch lasts until it breaks.

    With lists on request, the dispatcher decides when to call. With an agent that pushes lists, a watch is
    always open, since whatever the agent has counts as known to the node. When the address changes, the watch
    at the old address stays open until the new one has sent its complete list.
    """

    def __init__(
            self, loop: Loop, address: Address | None, core: Core,
            make_worker: Callable[[Address], SearchWorker], counters: Counter[str],
            log: Logging, seed: int = 0,
    ) -> None:
        self.loop, self.address, self.core = loop, address, core
        self.random = Random(seed)  # spreads a fleet's calls
        self.make_worker, self.counters, self.log = make_worker, counters, log
        self.revision: int | None = None
        self.entries: dict[str, Any] = {}  # each worker's entry as last received
        self.workers: dict[str, tuple[Address, int, SearchWorker]] = {}  # address, launch time in µs, worker
        # Workers listed as draining or deleted: their launch time in µs and the last list version with it.
        self.draining: dict[str, tuple[int, int]] = {}
        self.refused_count = 0  # implausible lists since the last plausible message
        self.refused_list: dict[str, Any] = {}  # the last of them
        self.refusal_timer: Cancellable | None = None  # applies it, whatever further calls return
        self.update_due_until = ZERO  # an update is due until then: failed calls are retried here
        self.heard = False  # whether this process has received a list or an update
        self.started_at = loop.now()
        self.watch: Task | None = None
        self.awaits_new_address = False  # the new address has not sent its complete list yet
        self.next_watch: Task | None = None  # the watch at the new address until then

    def begin(self, limit: timedelta = FIRST_LIST_TIMEOUT, at_once: bool = False) -> None:
        """Start in a new process: hold requests until a list arrives; after `limit`, serve the known one.

        Needed for rule 3 (no new work for a worker that drains or has been removed): what discovery has had
        for some seconds counts as known from the process's start. The first calls of a fleet that starts at
        once are spread over a time that grows with its size, unless `at_once`.
        """
        if self.address is None:
            return  # a node with a fixed list
        self.started_at = self.loop.now()
        self.core.await_list()
        self.loop.call_later(UNREACHABLE_TIMEOUT if self._is_pushed() else limit, self._serve_known_list)
        spread = ZERO if at_once or self._is_pushed() else min(
            START_SPACING * self.core.settings.fleet_size, MAX_START_SPREAD)
        self.loop.call_later(spread * self.random.random(), lambda: self.ask(True))

    def _serve_known_list(self) -> None:
        """Serve from the list as it is known, whether or not discovery has sent one to this process."""
        if not self.core.listed:
            if not self.heard:
                self.log("serves_from_known")
                self.counters["discovery_unheard"] += 1
            self.core.list_confirmed()

    def change_address(self, address: Address) -> None:
        """Switch to another address of the discovery service."""
        self.address, self.awaits_new_address = address, True
        self.update_due_until = self.loop.now() + UPDATE_DUE_AFTER_MOVE
        self.counters["discovery_moves"] += 1
        if self.next_watch is not None:
            self.next_watch.stop()
            self.next_watch = None
        self.ask(True)

    def ask(self, follow: bool) -> None:
        """Call discovery once, or open a watch (`follow`) unless one is open or being opened."""
        if self.address is None:
            return  # a node with a fixed list
        if follow and (self.next_watch if self.awaits_new_address else self.watch) is not None:
            return
        self.counters["discovery_calls"] += 1
        if not follow:
            self.loop.spawn(self._call(False), "discovery call")
        elif self.awaits_new_address:
            self.next_watch = self.loop.spawn(self._call(True), "discovery watch")
        else:
            self.watch = self.loop.spawn(self._call(True), "discovery watch")

    def ensure_agent_watch(self) -> None:
        """Open a watch at the agent if the settings name one that pushes lists and no watch is open."""
        if not self.core.settings.roster_on_request and self.watch is None and self.next_watch is None:
            self.ask(True)

    def take(self, message: object, mode: api.RosterMode | None = None) -> None:
        """Apply a message in the format of the discovery service.

        `mode` overrides the message's own mode and skips the plausibility check. ValueError if the message is
        malformed, ImplausibleList if it is refused.
        """
        if not isinstance(message, dict) or not isinstance(message.get("targets"), list):
            raise ValueError("a message without targets")
        is_complete = bool(message.get("all"))
        if mode is None:
            self._check_plausible(message, is_complete)
        revision = message.get("rev")
        rows = [row for target in message["targets"]
                if (row := self._table_row(target, revision)) is not None]
        if isinstance(revision, int):
            self.revision = revision
        if is_complete:
            self.entries.clear()
        self.entries |= {str(t["uid"]): t for t in message["targets"] if isinstance(t, dict) and "uid" in t}
        if mode is None:
            mode = api.RosterMode.COMPLETE if is_complete else api.RosterMode.PARTIAL
        if mode is not api.RosterMode.PARTIAL:
            listed = {entry.worker for entry, _ in rows}
            for uid in [uid for uid in self.workers if uid not in listed]:
                self._remove_worker(uid)
        self.counters["discovery_messages"] += 1
        self.core.list_servers(SOURCE, rows, mode, shared=True)
        for entry, _ in rows:
            if entry.lifecycle is api.Lifecycle.TERMINATED:
                self._remove_worker(entry.worker)
                self.entries.pop(entry.worker, None)
        if mode is not api.RosterMode.PERSISTED:
            self.heard = True
            self._serve_known_list()

    def _check_plausible(self, message: dict[str, Any], is_complete: bool) -> None:
        """Raises ImplausibleList for a list that a faulty discovery service may have sent.

        Prevents a lagging replica (an older version), or a list emptied by a fault, from replacing the worker
        table: the node keeps its last list and calls again at once. A list repeated often enough is accepted,
        since the service's versions may have restarted. The last refused list is applied in any case before
        the time to obey it is over, since what the service has sent counts as known (rule 3: no new work for
        a worker that drains or has been removed).
        """
        revision, why = message.get("rev"), ""
        if is_complete and self.workers \
                and not any(isinstance(t, dict) and "uid" in t for t in message["targets"]):
            why = "an empty list"
        elif isinstance(revision, int) and self.revision is not None and revision < self.revision \
                and not self.awaits_new_address:
            why = f"version {revision}, older than {self.revision}"
        if not why:
            self._clear_refused_list()
            return
        self.refused_count += 1
        if self.refused_count > MAX_REFUSED_LISTS or message is self.refused_list:
            self._clear_refused_list()
            return
        self.counters["discovery_doubted"] += 1
        self.refused_list = message
        self._apply_drains(message)
        if self.refusal_timer is None:
            end = self.loop.now() + from_us(self.core.settings.drain_limit_us) * REFUSAL_TIME_SHARE
            self.refusal_timer = self.loop.call_at(end, lambda: self.take(self.refused_list))
        raise ImplausibleList(why)

    def _clear_refused_list(self) -> None:
        """Reset the count of refused lists and cancel the acceptance of the last one."""
        self.refused_count, self.refused_list = 0, {}
        if self.refusal_timer is not None:
            self.refusal_timer.cancel()
            self.refusal_timer = None

    def _apply_drains(self, message: dict[str, Any]) -> None:
        """Apply the drains of a refused list at once.

        Its content counts as known, so these workers get no new work (rule 3).
        """
        rows = []
        for target in message["targets"]:
            state = target.get("state") if isinstance(target, dict) else None
            if state in _LIFECYCLES and state != "SERVING" and str(target.get("uid")) in self.workers:
                row = self._table_row(target, None, keep=True)
                if row is not None and row[0].launched_us == self.workers[row[0].worker][1]:
                    rows.append((replace(row[0], lifecycle=api.Lifecycle.TERMINATING), row[1]))
        if rows:
            self.core.list_servers(SOURCE, rows, shared=True)

    def limit(self, idle: timedelta, connect_limit: timedelta) -> None:
        """Change the idle and connect time limits of every search worker."""
        for _, _, worker in self.workers.values():
            worker.connect_limit, worker.pool.idle_limit = connect_limit, idle

    def known(self) -> dict[str, Any]:
        """Returns the complete list as last known, in the format of the discovery service."""
        return {"rev": None if self.awaits_new_address else self.revision, "all": True,
                "targets": list(self.entries.values())}

    def _table_row(
            self, target: Any, revision: object, keep: bool = False,
    ) -> tuple[api.RosterEntry, SearchWorker] | None:
        """Returns a worker's row for the table; None for a malformed entry, which is logged and skipped.

        With `keep`, a known worker and its connections stay, whatever the entry's address and launch time.
        """
        try:
            uid, state = str(target["uid"]), _LIFECYCLES[target["state"]]
            address = parse_address(target["endpoint"])
            # boot_ms is Unix time, as is the dispatcher's clock; 0 is long ago on both.
            launched_us = int(target.get("boot_ms") or 0) * 1000
            entry = api.RosterEntry(
                uid, str(target.get("az") or ""), str(target.get("model") or ""),
                int(target.get("pod_group") or 0), launched_us, state,
                float(target.get("capacity_hint") or 1.0))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            self.counters["discovery_bad_entries"] += 1
            self.log("discovery_bad_entry", error=f"{type(error).__name__}: {error}")
            return None
        known = self.workers.get(uid)
        if known is None or (known[:2] != (address, launched_us) and not keep):
            # The worker's process was restarted or moved: its old connections are useless.
            if known is not None:
                known[2].close()
            known = self.workers[uid] = (address, launched_us, self.make_worker(address))
        return self._keep_draining(entry, revision), known[2]

    def _keep_draining(self, entry: api.RosterEntry, revision: object) -> api.RosterEntry:
        """Prevents an older version, of a lagging replica, from undoing a drain (rule 3: no new work for it).

        A draining worker is in service again only by a later version than the one that drained it, or after a
        restart.
        """
        uid, version = entry.worker, revision if isinstance(revision, int) else None
        if entry.lifecycle is not api.Lifecycle.IN_SERVICE:
            self.draining[uid] = (entry.launched_us, version if version is not None else self.revision or 0)
            if len(self.draining) > MAX_DRAINING_WORKERS:
                del self.draining[next(iter(self.draining))]
        elif uid in self.draining:
            launched_us, drain_version = self.draining[uid]
            if entry.launched_us == launched_us and version is not None and version <= drain_version \
                    and not self.awaits_new_address:
                return replace(entry, lifecycle=api.Lifecycle.TERMINATING)
            del self.draining[uid]
        return entry

    def _remove_worker(self, uid: str) -> None:
        known = self.workers.pop(uid, None)
        if known is not None:
            known[2].close()

    def _call(self, follow: bool) -> Steps[None]:
        """Make one call, or keep one watch open, reopening it while an update is due."""
        task, tries = self.loop.current, 0
        while True:
            error, refused = "the watch was closed by the service", False
            try:
                yield from self._read(follow)
                if not follow:
                    return
            except (StreamBroken, TimedOut, ValueError, RecursionError) as fault:
                error, refused = str(fault), isinstance(fault, ImplausibleList)
                if isinstance(fault, WatchTimeout):
                    self.counters["discovery_silences"] += 1
                if isinstance(fault, DiscoveryUnreachable) \
                        and self.loop.now() >= self.started_at + UNREACHABLE_TIMEOUT:
                    self._serve_known_list()
            self.log("discovery_failed", what="watch" if follow else "call", error=error)
            self.counters["discovery_failures"] += 1
            # The watch at the old address may end while the next one is being opened, so this is checked both
            # before and after the delay.
            if self._is_superseded(task) or not self._should_retry(follow, refused):
                break
            yield from self.loop.sleep(self._retry_delay(0 if refused else tries))
            tries += 1
            if self._is_superseded(task):
                break
            self.counters["discovery_calls"] += 1
        if self._is_superseded(task):
            self.watch = None
            return
        if task is self.next_watch:
            self.next_watch = None
        elif task is self.watch:
            self.watch = None
        self.core.list_failed()

    def _retry_delay(self, tries: int) -> timedelta:
        """Returns the delay before a retry. It grows while calls fail, lest a fleet overload discovery."""
        if self._is_pushed():
            return RETRY_DELAY
        return min(RETRY_DELAY * self.random.uniform(1, 4) * RETRY_DELAY_FACTOR ** min(tries, 9),
                   MAX_RETRY_DELAY)

    def _is_superseded(self, task: Task | None) -> bool:
        """Whether this is the watch at the old address, with one at the new address being opened."""
        return task is self.watch and self.next_watch is not None

    def _is_pushed(self) -> bool:
        """Whether an agent pushes lists, rather than the dispatcher requesting them."""
        return not self.core.settings.roster_on_request

    def _should_retry(self, follow: bool, refused: bool) -> bool:
        """Whether a failed call is retried here rather than at the dispatcher's next call."""
        due = not self.heard or self.awaits_new_address or self._is_pushed() \
            or self.loop.now() < self.update_due_until
        return (follow and due) or refused

    def _receive(self, message: object) -> None:
        """Apply a message of the current task; a complete list on the new watch ends the old one."""
        self.take(message)
        task = self.loop.current
        if task is self.next_watch and isinstance(message, dict) and message.get("all"):
            old, self.watch = self.watch, task
            self.next_watch, self.awaits_new_address = None, False
            if old is not None:
                old.stop()
            self.log("discovery_moved")

    def _read(self, follow: bool) -> Steps[None]:
        """Make one HTTP call to discovery and apply its messages."""
        target, address = "/registry/instances", self.address
        if follow:
            target += "?follow=1"
            # Versions are valid at one address only: a new address is asked for its complete list.
            if self.revision is not None and not self.awaits_new_address:
                target += f"&since={self.revision}"
        assert address is not None
        begun = self.loop.now()
        until = begun + (max(AGENT_TIMEOUT, from_us(self.core.settings.drain_limit_us / 2))
                         if self._is_pushed() else CALL_TIMEOUT)
        try:
            stream = yield from connect(self.loop, address, min(until, begun + CONNECT_TIMEOUT))
        except (StreamBroken, TimedOut) as error:
            raise DiscoveryUnreachable(str(error)) from error
        try:
            exchange = ClientSide(stream, math.inf)  # a watch has no total size; each message is bounded
            host = f"{address[0]}:{address[1]}"
            yield from exchange.send("GET", target, [("Host", host)], b"", until)
            status, _ = yield from exchange.head(until)
            if status != 200:
                raise StreamBroken(f"answered {status}")
            if follow:
                yield from self._follow_watch(exchange, begun + CALL_TIMEOUT)
            else:
                self._receive(json.loads((yield from exchange.rest(until, MAX_LIST_BYTES))))
        finally:
            stream.close()

    def _follow_watch(self, exchange: ClientSide, first_deadline: timedelta) -> Steps[None]:
        """Apply a watch's messages until it ends; WatchTimeout if no message or keep-alive arrives in time.

        The time of the last complete message counts, not that of the last byte. This prevents waiting for a
        watch that stalls within a line or trickles bytes that complete none. The first message may be long,
        and has until `first_deadline`.
        """
        limit = WATCH_IDLE_TIMEOUT + WATCH_IDLE_TIMEOUT_JITTER * self.random.random()
        last_message, parser = self.loop.now(), MessageParser()
        until = max(first_deadline, last_message + limit)
        while True:
            try:
                part = yield from exchange.part(until)
            except TimedOut as error:
                self.update_due_until = last_message + UPDATE_DUE_AFTER_SILENCE
                raise WatchTimeout(f"no message or keep-alive for {limit.total_seconds():.1f} s") from error
            for message in parser.feed(part or b""):
                self._receive(message)
            if parser.has_progress:
                last_message = self.loop.now()
                until = last_message + limit
            elif self.loop.now() >= until:
                self.update_due_until = last_message + UPDATE_DUE_AFTER_SILENCE
                raise WatchTimeout(f"no complete message or keep-alive for {limit.total_seconds():.1f} s")
            if part is None:
                return
