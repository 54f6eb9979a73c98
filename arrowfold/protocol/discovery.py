"""Discovery: the list of search workers, asked for or followed, brought into the server table."""

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
from arrowfold.transport.stream import Address, Broken, Late, connect

SOURCE = "discovery"
CALL_LIMIT = timedelta(seconds=3)
CONNECT_LIMIT = timedelta(seconds=1)  # a connection that is up at all is up much sooner
# A watch says something every 2 s. What a silent one misses counts as told 6 s after its last word, so that
# another one has to be open well before; up to `SILENCE_SPREAD` more, lest a fleet call in one moment.
SILENCE_LIMIT = timedelta(milliseconds=2500)
SILENCE_SPREAD = timedelta(milliseconds=500)
TOLD_AFTER_SILENCE = timedelta(seconds=6)
TOLD_AFTER_MOVE = timedelta(seconds=4)
SOON = timedelta(milliseconds=100)  # before a call is repeated while a list is due; up to four times that
LONGEST_PAUSE = timedelta(seconds=1)  # and it grows up to this while calls go on failing
PAUSE_GROWTH = 1.3
# A new process has not heard what changed since its list was handed over, though it may have been told of
# it. It serves from that list only once discovery can't be reached, or can, but has told nothing for longer.
UNREACHED_LIMIT = timedelta(seconds=1)
UNTOLD_LIMIT = timedelta(seconds=5)  # a node has to be ready within 6 s where a day ends soon
START_SPACING = timedelta(milliseconds=2)  # on average between the first calls of a fleet that starts at once
LONGEST_SPREAD = timedelta(milliseconds=1500)  # however large the fleet
AGENT_LIMIT = timedelta(milliseconds=250)  # an agent on this machine answers at once, if it answers
DOUBT_PART = 0.6  # of the time that is left to obey a list: a doubt lasts no longer
MOST_LIST = 4 * 1024 * 1024
MOST_LEAVING = 4096  # servers remembered as leaving
DOUBTED = 3  # so many doubtful lists in a row are refused; the next one is how things are now
_STATES = {
    "SERVING": api.Lifecycle.IN_SERVICE, "DRAINING": api.Lifecycle.TERMINATING,
    "DELETED": api.Lifecycle.TERMINATED,
}
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class Silent(Late):
    """A watch that stood says nothing any more: it is broken, though nothing closed it."""


class Unreached(Broken):
    """No connection came up."""


class Doubted(ValueError):
    """A list that a discovery in trouble may tell."""


class Messages:
    """Cuts what a watch says into its messages, however they are indented. Empty lines are signs of life.

    A JSON string holds no line end, so that each line's brackets can be counted by themselves.
    """

    def __init__(self) -> None:
        self.rest, self.pending, self.depth = bytearray(), bytearray(), 0
        self.alive = False  # whether a whole message or a sign of life came with the last bytes

    def feed(self, data: bytes) -> list[Any]:
        """The messages that are whole by now; ValueError where one can't be read."""
        self.rest += data
        self.alive, whole = False, []
        *lines, rest = self.rest.split(b"\n")
        self.rest = rest
        if len(self.rest) + len(self.pending) > MOST_LIST:
            raise Broken("a message is over the bound")
        for line in lines:
            if not line.strip():
                self.alive = self.alive or not self.pending
                continue
            bare = _STRING.sub(b"", line)
            self.depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
            self.pending += line
            if self.depth <= 0:
                text, self.pending, self.depth = self.pending, bytearray(), 0
                whole.append(json.loads(text))
                self.alive = True
        return whole


class Discovery:
    """One node's calls to discovery; a watch lasts until it breaks.

    Where discovery is asked, the module says when to call. Where an agent pushes, a watch is always open
    here: what the agent has counts as told. When the address changes, the watch at the old one stands until
    the new one has told its whole list.
    """

    def __init__(
            self, loop: Loop, address: Address | None, core: Core,
            make_server: Callable[[Address], SearchWorker], counters: Counter[str],
            log: Logging, seed: int = 0,
    ) -> None:
        self.loop, self.address, self.core = loop, address, core
        self.random = Random(seed)  # spreads a fleet's calls
        self.make_server, self.counters, self.log = make_server, counters, log
        self.revision: int | None = None
        self.listed: dict[str, Any] = {}  # each server's entry as it was last told
        self.servers: dict[str, tuple[Address, int, SearchWorker]] = {}
        # Servers told to drain or to be gone: when they had started, and the version that said so.
        self.leaving: dict[str, tuple[int, int]] = {}
        self.doubts = 0  # doubtful lists since the last sound message
        self.doubted: dict[str, Any] = {}  # the last of them
        self.doubt_ends: Cancellable | None = None  # when it is believed, whatever comes of asking again
        self.due = ZERO  # until then a call that fails is repeated here: a list is due
        self.heard = False  # whether discovery has told anything to this process
        self.begun = loop.now()
        self.watch: Task | None = None
        self.moving = False  # the address is new, and has not told its whole list yet
        self.successor: Task | None = None  # the watch at the new address until then

    def begin(self, limit: timedelta = UNTOLD_LIMIT, at_once: bool = False) -> None:
        """A new process: ask first, and hold jobs until the list has come; after a while, serve from `known`.

        Guards rule 3: what discovery had for some seconds counts as told from the process's first moment.
        Where a fleet starts in one moment, its calls spread over as long as it is large, but for `at_once`.
        """
        if self.address is None:
            return  # a node with a fixed list
        self.begun = self.loop.now()
        self.core.await_list()
        self.loop.call_later(UNREACHED_LIMIT if self._pushed() else limit, self._serve)
        spread = ZERO if at_once or self._pushed() else min(
            START_SPACING * self.core.settings.fleet_size, LONGEST_SPREAD)
        self.loop.call_later(spread * self.random.random(), lambda: self.ask(True))

    def _serve(self) -> None:
        """The list as it is known holds from here on, heard or not."""
        if not self.core.listed:
            if not self.heard:
                self.log("serves_from_known")
                self.counters["discovery_unheard"] += 1
            self.core.list_holds()

    def move(self, address: Address) -> None:
        """Discovery is at another address from now on."""
        self.address, self.moving = address, True
        self.due = self.loop.now() + TOLD_AFTER_MOVE
        self.counters["discovery_moves"] += 1
        if self.successor is not None:
            self.successor.stop()
            self.successor = None
        self.ask(True)

    def ask(self, follow: bool) -> None:
        """A call that the module wants; a watch that stands, or is on its way, is what it wants already."""
        if self.address is None:
            return  # a node with a fixed list
        if follow and (self.successor if self.moving else self.watch) is not None:
            return
        self.counters["discovery_calls"] += 1
        if not follow:
            self.loop.spawn(self._call(False), "discovery call")
        elif self.moving:
            self.successor = self.loop.spawn(self._call(True), "discovery watch")
        else:
            self.watch = self.loop.spawn(self._call(True), "discovery watch")

    def follow_pushed(self) -> None:
        """Keep a watch open at an agent that pushes lists, if the settings say that one does."""
        if not self.core.settings.roster_on_request and self.watch is None and self.successor is None:
            self.ask(True)

    def take(self, message: object, mode: api.RosterMode | None = None) -> None:
        """Apply one message of discovery's form."""
        if not isinstance(message, dict) or not isinstance(message.get("targets"), list):
            raise ValueError("a message without targets")
        whole = bool(message.get("all"))
        if mode is None:
            self._doubt(message, whole)
        revision = message.get("rev")
        rows = [row for target in message["targets"] if (row := self._row(target, revision)) is not None]
        if isinstance(revision, int):
            self.revision = revision
        if whole:
            self.listed.clear()
        self.listed |= {str(t["uid"]): t for t in message["targets"] if isinstance(t, dict) and "uid" in t}
        if mode is None:
            mode = api.RosterMode.COMPLETE if whole else api.RosterMode.PARTIAL
        if mode is not api.RosterMode.PARTIAL:
            listed = {entry.worker for entry, _ in rows}
            for uid in [uid for uid in self.servers if uid not in listed]:
                self._forget(uid)
        self.counters["discovery_messages"] += 1
        self.core.list_servers(SOURCE, rows, mode, shared=True)
        for entry, _ in rows:
            if entry.lifecycle is api.Lifecycle.TERMINATED:
                self._forget(entry.worker)
                self.listed.pop(entry.worker, None)
        if mode is not api.RosterMode.PERSISTED:
            self.heard = True
            self._serve()

    def _doubt(self, message: dict[str, Any], whole: bool) -> None:
        """Refuse what a discovery that is itself in trouble may say; raises ValueError.

        Guards the server table against a replica that lies behind, and against a list that has been emptied
        rather than is empty: the node serves on from what it last had, and asks again at once. A discovery
        that stays at its word is believed, since its versions may have begun anew; and so it is, heard again
        or not, before the time to obey it is over, for what it has written is told (rule 3).
        """
        revision, why = message.get("rev"), ""
        if whole and self.servers and not any(isinstance(t, dict) and "uid" in t for t in message["targets"]):
            why = "an empty list"
        elif isinstance(revision, int) and self.revision is not None and revision < self.revision \
                and not self.moving:
            why = f"version {revision}, older than {self.revision}"
        if not why:
            self._doubt_no_more()
            return
        self.doubts += 1
        if self.doubts > DOUBTED or message is self.doubted:
            self._doubt_no_more()
            return
        self.counters["discovery_doubted"] += 1
        self.doubted = message
        self._obey_leaving(message)
        if self.doubt_ends is None:
            end = self.loop.now() + from_us(self.core.settings.drain_limit_us) * DOUBT_PART
            self.doubt_ends = self.loop.call_at(end, lambda: self.take(self.doubted))
        raise Doubted(why)

    def _doubt_no_more(self) -> None:
        self.doubts, self.doubted = 0, {}
        if self.doubt_ends is not None:
            self.doubt_ends.cancel()
            self.doubt_ends = None

    def _obey_leaving(self, message: dict[str, Any]) -> None:
        """Guards rule 3 while a list is doubted: what was written is told, so a drain in it holds at once."""
        rows = []
        for target in message["targets"]:
            state = target.get("state") if isinstance(target, dict) else None
            if state in _STATES and state != "SERVING" and str(target.get("uid")) in self.servers:
                row = self._row(target, None, keep=True)
                if row is not None and row[0].launched_us == self.servers[row[0].worker][1]:
                    rows.append((replace(row[0], lifecycle=api.Lifecycle.TERMINATING), row[1]))
        if rows:
            self.core.list_servers(SOURCE, rows, shared=True)

    def limit(self, idle: timedelta, connect_limit: timedelta) -> None:
        """Other time limits for every search worker."""
        for _, _, server in self.servers.values():
            server.connect_limit, server.pool.idle_span = connect_limit, idle

    def known(self) -> dict[str, Any]:
        """The list as this node last had it, in discovery's form."""
        return {"rev": None if self.moving else self.revision, "all": True,
                "targets": list(self.listed.values())}

    def _row(
            self, target: Any, revision: object, keep: bool = False,
    ) -> tuple[api.RosterEntry, SearchWorker] | None:
        """A server's row. An entry that can't be read is left out, and the others still count.

        With `keep`, the server as it is known stays, whatever the entry says of its start.
        """
        try:
            uid, state = str(target["uid"]), _STATES[target["state"]]
            address = parse_address(target["endpoint"])
            # The module's clock is Unix time, which boot_ms counts in; 0 is long ago on both.
            launched_us = int(target.get("boot_ms") or 0) * 1000
            entry = api.RosterEntry(
                uid, str(target.get("az") or ""), str(target.get("model") or ""),
                int(target.get("pod_group") or 0), launched_us, state,
                float(target.get("capacity_hint") or 1.0))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            self.counters["discovery_bad_entries"] += 1
            self.log("discovery_bad_entry", error=f"{type(error).__name__}: {error}")
            return None
        known = self.servers.get(uid)
        if known is None or (known[:2] != (address, launched_us) and not keep):
            # A restarted or moved process: its old connections lead nowhere.
            if known is not None:
                known[2].close()
            known = self.servers[uid] = (address, launched_us, self.make_server(address))
        return self._kept_leaving(entry, revision), known[2]

    def _kept_leaving(self, entry: api.RosterEntry, revision: object) -> api.RosterEntry:
        """Guards rule 3 against a replica that lies behind: what was told of a drain is not forgotten.

        A server serves again only by a later version than the one that said it leaves, or once started anew.
        """
        uid, version = entry.worker, revision if isinstance(revision, int) else None
        if entry.lifecycle is not api.Lifecycle.IN_SERVICE:
            self.leaving[uid] = (entry.launched_us, version if version is not None else self.revision or 0)
            if len(self.leaving) > MOST_LEAVING:
                del self.leaving[next(iter(self.leaving))]
        elif uid in self.leaving:
            launched_us, told = self.leaving[uid]
            if entry.launched_us == launched_us and version is not None and version <= told \
                    and not self.moving:
                return replace(entry, lifecycle=api.Lifecycle.TERMINATING)
            del self.leaving[uid]
        return entry

    def _forget(self, uid: str) -> None:
        known = self.servers.pop(uid, None)
        if known is not None:
            known[2].close()

    def _call(self, follow: bool) -> Steps[None]:
        """One call, or one watch with the calls that take it up again while a list is due."""
        task, tries = self.loop.current, 0
        while True:
            error, doubt = "it ended", False
            try:
                yield from self._read(follow)
                if not follow:
                    return
            except (Broken, Late, ValueError, RecursionError) as fault:
                error, doubt = str(fault), isinstance(fault, Doubted)
                if isinstance(fault, Silent):
                    self.counters["discovery_silences"] += 1
                if isinstance(fault, Unreached) and self.loop.now() >= self.begun + UNREACHED_LIMIT:
                    self._serve()
            self.log("discovery_failed", what="watch" if follow else "call", error=error)
            self.counters["discovery_failures"] += 1
            # The old address may close, as it must, while its successor is under way: so it is asked both
            # before the pause and after it.
            if self._superseded(task) or not self._goes_on(follow, doubt):
                break
            yield from self.loop.sleep(self._pause(0 if doubt else tries))
            tries += 1
            if self._superseded(task):
                break
            self.counters["discovery_calls"] += 1
        if self._superseded(task):
            self.watch = None
            return
        if task is self.successor:
            self.successor = None
        elif task is self.watch:
            self.watch = None
        self.core.list_failed()

    def _pause(self, tries: int) -> timedelta:
        """Before a call is repeated here; longer while calls go on failing, lest a fleet swamp discovery."""
        if self._pushed():
            return SOON
        return min(SOON * self.random.uniform(1, 4) * PAUSE_GROWTH ** min(tries, 9), LONGEST_PAUSE)

    def _superseded(self, task: Task | None) -> bool:
        return task is self.watch and self.successor is not None

    def _pushed(self) -> bool:
        return not self.core.settings.roster_on_request

    def _goes_on(self, follow: bool, doubt: bool) -> bool:
        """Whether a call that failed is repeated here, and not when the module next asks."""
        due = not self.heard or self.moving or self._pushed() or self.loop.now() < self.due
        return (follow and due) or doubt

    def _told(self, message: object) -> None:
        """A message of the watch or call that runs now."""
        self.take(message)
        task = self.loop.current
        if task is self.successor and isinstance(message, dict) and message.get("all"):
            old, self.watch = self.watch, task
            self.successor, self.moving = None, False
            if old is not None:
                old.stop()
            self.log("discovery_moved")

    def _read(self, follow: bool) -> Steps[None]:
        target, address = "/registry/instances", self.address
        if follow:
            target += "?follow=1"
            # Versions count at one address: a new one is asked for its whole list.
            if self.revision is not None and not self.moving:
                target += f"&since={self.revision}"
        assert address is not None
        begun = self.loop.now()
        until = begun + (max(AGENT_LIMIT, from_us(self.core.settings.drain_limit_us / 2))
                         if self._pushed() else CALL_LIMIT)
        try:
            stream = yield from connect(self.loop, address, min(until, begun + CONNECT_LIMIT))
        except (Broken, Late) as error:
            raise Unreached(str(error)) from error
        try:
            exchange = ClientSide(stream, math.inf)  # a watch has no end; each message has its bound
            host = f"{address[0]}:{address[1]}"
            yield from exchange.send("GET", target, [("Host", host)], b"", until)
            status, _ = yield from exchange.head(until)
            if status != 200:
                raise Broken(f"answered {status}")
            if follow:
                yield from self._listen(exchange, begun + CALL_LIMIT)
            else:
                self._told(json.loads((yield from exchange.rest(until, MOST_LIST))))
        finally:
            stream.close()

    def _listen(self, exchange: ClientSide, first: timedelta) -> Steps[None]:
        """Follow a watch to its end. Without a whole message or an empty line for a while, it is silent.

        Guards against one that stops within a line, or goes on with bytes that end none: `heard` counts,
        not when a byte came. Its first message may be long, and has until `first`.
        """
        limit = SILENCE_LIMIT + SILENCE_SPREAD * self.random.random()
        heard, messages = self.loop.now(), Messages()
        until = max(first, heard + limit)
        while True:
            try:
                part = yield from exchange.part(until)
            except Late as error:
                self.due = heard + TOLD_AFTER_SILENCE
                raise Silent("it fell silent") from error
            for message in messages.feed(part or b""):
                self._told(message)
            if messages.alive:
                heard = self.loop.now()
                until = heard + limit
            elif self.loop.now() >= until:
                self.due = heard + TOLD_AFTER_SILENCE
                raise Silent("it says nothing whole")
            if part is None:
                return
