"""Discovery: the list of search workers, asked for or followed, brought into the server table."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import Any

from arrowfold import interface as api
from arrowfold.protocol.http import ClientSide, parse_address
from arrowfold.protocol.worker import SearchWorker
from arrowfold.routing.core import Core
from arrowfold.routing.session import Logging
from arrowfold.routing.table import Row
from arrowfold.transport.loop import Loop, Steps, Task
from arrowfold.transport.stream import Address, Broken, Late, connect

SOURCE = "discovery"
CALL_LIMIT = timedelta(seconds=3)
CONNECT_LIMIT = timedelta(seconds=1)  # a connection that is up at all is up much sooner
SILENCE_LIMIT = timedelta(seconds=5)  # a watch says something every 2 s
MOST_LIST = 4 * 1024 * 1024
MOST_LEAVING = 4096  # servers remembered as leaving
DOUBTED = 3  # so many doubtful lists in a row are refused; the next one is how things are now
_STATES = {
    "SERVING": api.Lifecycle.IN_SERVICE, "DRAINING": api.Lifecycle.TERMINATING,
    "DELETED": api.Lifecycle.TERMINATED,
}


class Discovery:
    """One node's calls to discovery. The module says when to call; a watch lasts until it breaks.

    When the address changes, the watch at the old one stands until the new one has told its whole list.
    """

    def __init__(
            self, loop: Loop, address: Address | None, core: Core,
            make_server: Callable[[Address], SearchWorker], counters: Counter[str],
            log: Logging,
    ) -> None:
        self.loop, self.address, self.core = loop, address, core
        self.make_server, self.counters, self.log = make_server, counters, log
        self.revision: int | None = None
        self.listed: dict[str, Any] = {}  # each server's entry as it was last told
        self.servers: dict[str, tuple[Address, int, SearchWorker]] = {}
        # Servers told to drain or to be gone: when they had started, and the version that said so.
        self.leaving: dict[str, tuple[int, int]] = {}
        self.doubts = 0  # doubtful lists since the last sound message
        self.watch: Task | None = None
        self.moving = False  # the address is new, and has not told its whole list yet
        self.successor: Task | None = None  # the watch at the new address until then

    def move(self, address: Address) -> None:
        """Discovery is at another address from now on."""
        self.address, self.moving = address, True
        self.counters["discovery_moves"] += 1
        if self.successor is not None:
            self.successor.stop()
            self.successor = None
        self.ask(True)

    def ask(self, follow: bool) -> None:
        """A call that the module wants; a watch that still stands is ended for a new one."""
        if self.address is None:
            return  # a node with a fixed list
        self.counters["discovery_calls"] += 1
        if not follow:
            self.loop.spawn(self._call(False), "discovery call")
        elif self.moving:
            if self.successor is None:
                self.successor = self.loop.spawn(self._call(True), "discovery watch")
        else:
            if self.watch is not None:
                self.watch.stop()
            self.watch = self.loop.spawn(self._call(True), "discovery watch")

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
        self.core.list_servers(SOURCE, rows, mode)
        for entry, _ in rows:
            if entry.lifecycle is api.Lifecycle.TERMINATED:
                self._forget(entry.worker)
                self.listed.pop(entry.worker, None)

    def _doubt(self, message: dict[str, Any], whole: bool) -> None:
        """Refuse what a discovery that is itself in trouble may say; raises ValueError.

        Guards the server table against a replica that lies behind, and against a list that has been emptied
        rather than is empty: the node serves on from what it last had, and asks again later each time. A
        discovery that stays at its word is believed, since its versions may have begun anew.
        """
        revision, why = message.get("rev"), ""
        if whole and self.servers and not any(isinstance(t, dict) and "uid" in t for t in message["targets"]):
            why = "an empty list"
        elif isinstance(revision, int) and self.revision is not None and revision < self.revision \
                and not self.moving:
            why = f"version {revision}, older than {self.revision}"
        if not why:
            self.doubts = 0
            return
        self.doubts += 1
        if self.doubts <= DOUBTED:
            self.counters["discovery_doubted"] += 1
            raise ValueError(why)
        self.doubts = 0

    def limit(self, idle: timedelta, connect_limit: timedelta) -> None:
        """Other time limits for every search worker."""
        for _, _, server in self.servers.values():
            server.connect_limit, server.pool.idle_span = connect_limit, idle

    def known(self) -> dict[str, Any]:
        """The list as this node last had it, in discovery's form."""
        return {"rev": None if self.moving else self.revision, "all": True,
                "targets": list(self.listed.values())}

    def _row(self, target: Any, revision: object) -> Row | None:
        """A server's row. An entry that can't be read is left out, and the others still count."""
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
        if known is None or known[:2] != (address, launched_us):
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
        """One call or watch, from its connection to its end."""
        task, error = self.loop.current, "it ended"
        try:
            yield from self._read(follow)
        except (Broken, Late, ValueError, RecursionError) as fault:
            error = str(fault)
        else:
            if not follow:
                return
        self.log("discovery_failed", what="watch" if follow else "call", error=error)
        self.counters["discovery_failures"] += 1
        if task is self.successor:
            self.successor = None
        elif task is self.watch:
            self.watch = None
            if self.successor is not None:
                return  # the old address has closed, as it must; its successor is under way
        self.core.list_failed()

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
        until = self.loop.now() + CALL_LIMIT
        stream = yield from connect(self.loop, address, min(until, self.loop.now() + CONNECT_LIMIT))
        try:
            exchange = ClientSide(stream)
            host = f"{address[0]}:{address[1]}"
            yield from exchange.send("GET", target, [("Host", host)], b"", until)
            status, _ = yield from exchange.head(until)
            if status != 200:
                raise Broken(f"answered {status}")
            buffered = bytearray()
            while True:
                if follow:
                    until = self.loop.now() + SILENCE_LIMIT
                part = yield from exchange.part(until)
                buffered += part or b""
                if len(buffered) > MOST_LIST:
                    raise Broken("a message is over the bound")
                if not follow:
                    if part is None:
                        self._told(json.loads(buffered))
                        return
                    continue
                while (end := buffered.find(b"\n")) >= 0:
                    line = bytes(buffered[:end])
                    del buffered[:end + 1]
                    if line.strip():
                        self._told(json.loads(line))
                if part is None:
                    return
        finally:
            stream.close()
