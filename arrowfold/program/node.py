"""Wires one node: loop, core, fronts, discovery; its signals and its end."""

from __future__ import annotations

import gc
import os
import signal
import socket
from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from arrowfold import interface as api
from arrowfold.program.config import Config, ConfigError, read_config
from arrowfold.program.log import Log
from arrowfold.program.signals import Signals
from arrowfold.program.succession import Message, Succession, inherit, place_of
from arrowfold.protocol.admin import Admin, Call, Refused
from arrowfold.protocol.descriptions import load_asyncapi, load_openapi
from arrowfold.protocol.discovery import SOURCE, Discovery
from arrowfold.protocol.faktory import FaktoryFront
from arrowfold.protocol.front import Front
from arrowfold.protocol.load import LoadReader
from arrowfold.protocol.worker import SearchWorker
from arrowfold.routes.rules import Router
from arrowfold.routing.core import Core
from arrowfold.routing.session import to_us
from arrowfold.transport.budget import Budget
from arrowfold.transport.loop import Loop, Steps
from arrowfold.transport.pool import Pools
from arrowfold.transport.stream import Address

if TYPE_CHECKING:
    from arrowfold.program.edge import TraceConfig
    from arrowfold.program.trace import TraceFile
    from arrowfold.quotas.gate import Gate
    from arrowfold.repeats.store import Store

RESERVED = 48  # descriptors for the program itself, discovery and connections about to be closed
IDLE_SHARE = 8  # one descriptor in this many may be a client's idle connection
BODIES_SHARE = 8  # one part in this many of the memory may hold clients' bodies
LEAST_DRAIN = timedelta(milliseconds=1000)  # clients learn of a restart in up to 0.7 s
DRAIN_STEP = timedelta(milliseconds=20)
LONGEST_DRAIN = timedelta(seconds=3)  # the longest deadline counts as this where it is longer
SIGKILL_AFTER = timedelta(milliseconds=700)  # after that
LEAVE_BEFORE = timedelta(milliseconds=600)  # clients move away this long before SIGKILL
LONGEST_START = timedelta(seconds=1)  # a newcomer waits this long for the list before it serves
LAST_JOB = timedelta(milliseconds=400)  # clients that could still come would have come since
LAST_BEATS = timedelta(milliseconds=100)
LAST_CALL = timedelta(milliseconds=200)  # and what is still owed then is answered
LAST_WORDS = timedelta(milliseconds=120)  # so long an answer may take to go out


class Node:
    """One running node."""

    def __init__(self, config: Config, signals: Signals) -> None:
        self.config, self.signals, self.log = config, signals, _open_log(config)
        self.running = config  # what SIGHUP last brought
        self.counters: Counter[str] = Counter()
        self.loop = Loop(self._fault)
        self.stop_at: timedelta | None = None
        self.left_at = self.loop.now()  # when clients were told to move away
        place = place_of(config.name, config.listen)
        self.inherited = inherit(place)
        self.succession = Succession(
            self.loop, place, self._describe, self._apply, self._share_limits, self.log)
        self.budget = budget = Budget(config.sockets - RESERVED)
        self.pools = Pools(budget)
        settings = config.settings
        self.trace: TraceFile | None = None
        self.core = Core(
            settings, config.seed, self.loop, self.counters, self._ask_list, self.log, config.most_sessions)
        self.core.routes = compile_routes(config)
        self._open_quotas(config)
        self.core.repeats = open_store(config, self.loop.now(), self.counters)
        self.succession.on_charge = self._follow_charge
        if config.edge is not None and config.edge.trace is not None:
            self._open_trace(config.edge.trace)
        self.core.held_elsewhere, self.core.on_session = self.succession.holds, self.succession.note_session
        self.loads = LoadReader(config.meanings)
        self.idle = _idle_span(settings)
        self.discovery = Discovery(
            self.loop, config.discovery, self.core, self._make_server, self.counters, self.log,
            config.seed)
        self.classes = classes = {c.name: c for c in settings.classes}  # as the fronts know them
        # With two fronts, neither fills the house alone.
        share = 0.75 if config.faktory else 1.0
        openapi = load_openapi(config.openapi) if config.openapi else None
        asyncapi = load_asyncapi(config.asyncapi) if config.asyncapi else None
        self.front = Front(
            self.loop, config.listen, self.core, classes, budget, share, config.memory // BODIES_SHARE,
            config.sockets // IDLE_SHARE, self.counters, openapi, self._listener(config.listen))
        self.faktory = None if config.faktory is None else FaktoryFront(
            self.loop, config.faktory.listen, config.faktory.password, self.core, settings.zone, classes,
            budget, share, config.connect_limit, self.counters, asyncapi,
            self._listener(config.faktory.listen))

        try:
            self.admin = None if config.admin is None else Admin(
                self.loop, config.admin, self._obey, self.counters, self.log)
        except OSError as error:
            raise ConfigError(f"admin: {error}") from error

    def _open_trace(self, config: TraceConfig) -> None:
        from arrowfold.program.trace import TraceFile

        try:
            self.trace = TraceFile(self.loop, config, self.config.name, self.counters, self.log)
        except OSError as error:
            raise ConfigError(f"trace > file: {error}") from error
        self.core.observer = self.trace
        self.trace.settled(self.config.settings)

    # --- operators ---------------------------------------------------------------------------------------

    def _obey(self, call: Call) -> Steps[str]:
        """Do what an operator asks; what it says once this returns holds."""
        if call.name == "status":
            if (why := self.front.why_not_ready()) is not None:
                raise Refused(f"not ready: {why}")
            out = sorted(self.core.table.out)
            return f"ready; in maintenance: {', '.join(out) or 'none'}"
        if call.name.startswith("quota"):
            return self._quota(call)
        if call.name.startswith("maint-") and not self.core.table.known(call.argument):
            raise Refused(f"no backend server {call.argument[:80]!r} is known")
        self._apply(call.name, call.argument)
        if not (yield from self.succession.tell(call.name, call.argument)):
            raise Refused("done here, but the other process of this node did not confirm it")
        return f"{call}"

    def _quota(self, call: Call) -> str:
        """A level's balances in a line, or their end. The other process of the node, if any, has its own."""
        if self.core.quotas is None:
            raise Refused("no quotas are set")
        if (fault := self.core.quotas.check(call.argument)) is not None:
            raise Refused(fault)
        path, ledger = tuple(call.argument.split("/")), self.core.quotas.ledger
        if call.name == "quota-reset":
            if not ledger.reset(path):
                raise Refused(f"{call.argument[:80]!r} has used nothing here")
            return f"{call}"
        said = ledger.describe(path, to_us(self.loop.now()))
        if not said:
            raise Refused(f"{call.argument[:80]!r} has used nothing here, or has no limits")
        return f"{call}: " + "; ".join(said)

    def _apply(self, name: str, argument: str) -> None:
        if name == "maint-on":
            self.core.take_out(argument)
        elif name == "maint-off":
            self.core.bring_back(argument)
        else:
            self.front.stand_by(name == "standby")
            if self.faktory is not None:
                self.faktory.stand_by(name == "standby")

    def _fault(self, where: str, error: BaseException) -> None:
        self.counters["faults"] += 1
        place, trace = "", error.__traceback__
        while trace is not None:
            place, trace = f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}", trace.tb_next
        self.log("fault", where=where, error=f"{type(error).__name__}: {error}", at=place)

    def _make_server(self, address: Address) -> SearchWorker:
        return SearchWorker(
            self.loop, address, self.idle, self.running.connect_limit, self.pools, self.loads, self.counters)

    def _ask_list(self, follow: bool) -> None:
        self.discovery.ask(follow)

    # --- replacing the process ---------------------------------------------------------------------------

    def _listener(self, address: Address) -> socket.socket | None:
        return self.inherited.listener(address) if self.inherited is not None else None

    def _describe(self) -> tuple[Message, tuple[int, ...]]:
        """What a newcomer gets: what it must know to act as this process would, and the listening sockets."""
        table = self.core.table
        listeners = [front.listener.sock for front in (self.front, self.faktory) if front is not None]
        return {
            "maintenance": table.out, "back": table.back, "standby": self.front.standby,
            "discovery": self.discovery.address, "known": self.discovery.known(),
            "sessions": list(self.core.sessions),
            "quotas": self.core.quotas.ledger.state() if self.core.quotas is not None else None,
        }, tuple(sock.fileno() for sock in listeners if sock.fileno() >= 0)

    def _follow(self) -> None:
        """Begin where the predecessor is now."""
        assert self.inherited is not None
        state = self.inherited.state
        self.core.table.out.update(state.get("maintenance") or {})
        if self.trace is not None:
            for name in self.core.table.out:
                self.trace.called(name, True)
        self.core.table.back.update({n: tuple(pair) for n, pair in (state.get("back") or {}).items()})
        if state.get("standby"):
            self._apply("standby", "")
        if self.core.quotas is not None and state.get("quotas"):
            self.core.quotas.ledger.restore(state["quotas"], to_us(self.loop.now()))
        known = state["known"]
        if list(self.discovery.address or ()) != list(state.get("discovery") or ()):
            known["rev"] = None  # versions count at one address
        self.discovery.take(known, api.RosterMode.PERSISTED)

    def _open_quotas(self, config: Config) -> None:
        self.core.quotas = open_gate(config, self.loop.now())
        self._share_charges()

    def _share_charges(self) -> None:
        """While there is another process, it is told of each charge."""
        if self.core.quotas is not None:
            self.core.quotas.ledger.on_charge = self.succession.note_charge if self.succession.links else None

    def _follow_charge(self, row: Any) -> None:
        """The other process has let a job in, or settled it: here it counts too."""
        if self.core.quotas is not None:
            try:
                self.core.quotas.ledger.follow(row, to_us(self.loop.now()))
            except ValueError as error:
                self.log("succession_bad_charge", error=str(error))

    def _share_limits(self) -> None:
        """Two processes of a node hold half of its descriptors each, and each other's charges."""
        self._share_charges()
        most = self.config.sockets - RESERVED
        if self.succession.links:
            most = max(self.config.sockets // 2 - RESERVED, self.config.sockets // 8)
        self.budget.resize(most)
        if self.stop_at is not None and self.succession.succeeded:
            self._retire()
        elif self.stop_at is None and not self.front.starting and not self.succession.succeeded \
                and self.succession.sock is not None and not self.succession.in_place():
            self.succession.publish()  # the newcomer has gone again: the next one is to find this process

    def _start_when_known(self, until: timedelta) -> None:
        """Accept, and say yes, once the list has come; a predecessor serves until then."""
        if not self.core.listed and self.loop.now() < until and self.succession.links:
            self.loop.call_later(DRAIN_STEP, lambda: self._start_when_known(until))
            return
        self.front.start()
        if self.faktory is not None:
            self.faktory.start()
        self.succession.publish()
        self.log("listens", address=f"{self.config.listen[0]}:{self.config.listen[1]}")

    def _retire(self) -> None:
        """The newcomer serves: stop accepting, serve what is here, and go as soon as nothing is owed."""
        if not self.front.retired:
            self.log("retires")
            self.front.retire()
            if self.faktory is not None:
                self.faktory.retire()

    def run(self) -> int:
        """Serve until a signal and what is owed let it end."""
        self.loop.watch(self.signals.fileno(), self)
        if self.inherited is not None:
            try:
                self._follow()
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                self.log("succession_bad_state", error=f"{type(error).__name__}: {error}")
            self.succession.meet(self.inherited)
            self.inherited.close_rest()
            # The predecessor follows the list: this goes on with it, without a gap.
            self.discovery.begin(LONGEST_START, at_once=True)
        else:
            self._take_known()
            self.discovery.begin()
        gc.freeze()
        self._start_when_known(self.loop.now() + LONGEST_START)
        self.loop.run()
        self.succession.withdraw()
        if self.trace is not None:
            self.trace.close()
        self._print_counters()
        return 0

    def _take_known(self) -> None:
        known: Any = self.config.known or {"all": True, "targets": []}
        try:
            self.discovery.take(known, api.RosterMode.PERSISTED)
        except ValueError as error:
            self.log("known_refused", error=str(error))
            self.core.list_servers(SOURCE, (), api.RosterMode.PERSISTED, shared=True)

    # --- signals and the end -----------------------------------------------------------------------------

    def on_ready(self, mask: int) -> None:
        """Signals have come in; of several SIGHUPs at once, one reading of the file serves all."""
        del mask
        numbers = self.signals.take()
        if signal.SIGHUP in numbers:
            self._reload()
        for number in numbers:
            if number == signal.SIGUSR1:
                self._print_counters()
            elif number != signal.SIGHUP and self.stop_at is None:
                # By the shorter of the settings it started with and those now: SIGKILL may follow either.
                longest = min(self.config.longest_deadline, self.running.longest_deadline)
                least, leave, stop = last_moments(longest)
                self.log("asked_to_end", owed=self.core.owed)
                self.counters["terminations"] += 1
                self.stop_at = self.loop.now() + stop
                self.front.drain()
                if self.succession.succeeded:
                    self._retire()
                # Guards the clients of a zone with one node: while it is gone, nobody serves them, so those
                # that have a connection keep it as long as there is time.
                self.loop.call_later(leave, self._leave)
                self.loop.call_later(DRAIN_STEP if self.succession.succeeded else least, self._end_if_free)

    def _reload(self) -> None:
        """The file has been replaced: all that can change while running does, or, if it is bad, nothing."""
        self.counters["reloads"] += 1
        try:
            fresh = read_config(os.environ, self.config.edge_file, self.config, self.running)
            routes = compile_routes(fresh)
        except Exception as error:  # whatever a file may hold, the node goes on
            self.counters["reloads_refused"] += 1
            self.log("reload_refused", error=str(error))
            return
        fixed = [key for key in self.config.changed(fresh) if key not in ("discovery", "settings", "known")]
        if fixed:
            self.log("reload_waits_for_restart", keys=", ".join(fixed))
        if fresh.settings != self.running.settings:
            self.counters["reloads_settings"] += 1
            self.log("reload_settings", classes=", ".join(c.name for c in fresh.settings.classes),
                     attempts=fresh.settings.attempt_cap)
            self.core.change_settings(fresh.settings, fresh.most_sessions)
        if fresh.edge is not None and self.running.edge is not None \
                and fresh.edge.routes != self.running.edge.routes:
            self.counters["reloads_routes"] += 1
            self.core.routes = routes
            self.log("reload_routes", rules=len(fresh.edge.routes.rules))
        self._change_quotas(fresh)
        self.running, self.idle = fresh, _idle_span(fresh.settings)
        self.classes.clear()
        self.classes.update({c.name: c for c in fresh.settings.classes})
        self.loads.learn(fresh.meanings)
        self.discovery.limit(self.idle, fresh.connect_limit)
        if fresh.discovery is not None and fresh.discovery != self.discovery.address:
            self.log("reload_discovery", address=f"{fresh.discovery[0]}:{fresh.discovery[1]}")
            self.discovery.move(fresh.discovery)
        self.discovery.follow_pushed()

    def _change_quotas(self, fresh: Config) -> None:
        """Another tree of quotas: balances stay by path."""
        tree = fresh.edge.quotas if fresh.edge is not None else None
        if tree is None or self.core.quotas is None:
            self._open_quotas(fresh)
        else:
            self.core.quotas.change(tree, fresh.settings.fleet_size)

    def _leave(self) -> None:
        """From here on clients move away, and Faktory workers are told to be quiet when they beat."""
        self.left_at = self.loop.now()
        self.front.leave()
        if self.faktory is not None and not self.front.retired:
            self.faktory.quieting = True

    def _end_if_free(self) -> None:
        """End once every client has had its answer and has gone, at the latest before SIGKILL."""
        assert self.stop_at is not None
        now = self.loop.now()
        # While a newcomer is about to serve, nobody else is there for new clients.
        free = not self.core.owed and not self.succession.awaits and not self.front.busy(LAST_JOB)
        free = free and not (self.faktory and self.faktory.producers_owed())
        if free and not self.front.leaving:
            self._leave()
            self.loop.call_later(LAST_BEATS, self._end_if_free)
        elif (free and now - self.left_at >= LAST_BEATS) or now >= self.stop_at:
            # A moment more, so that workers which beat now learn of it, and so that a client whose request
            # crossed the end of its connection finds a way in once more.
            # Guards rule 1 at the very end: SIGKILL is near, so what is owed is answered now.
            self.loop.spawn(self._finish(), "end")
        else:
            self.loop.call_later(DRAIN_STEP, self._end_if_free)

    def _finish(self) -> Steps[None]:
        """Answer all that is owed, see the last bytes out, and stop.

        Guards whoever comes in these last moments: a request that was read is denied, not left unanswered,
        and nothing unread turns the close of its connection into a reset under an answer.
        """
        until = self.loop.now() + LAST_WORDS
        self.front.finish()
        self.core.give_up_all()
        yield from self.loop.turn()
        while self.loop.now() < until and (
                self.front.unsettled() or (self.faktory is not None and self.faktory.producers_owed())):
            yield from self.loop.sleep(DRAIN_STEP / 4)
        self.loop.stopping = True

    def _print_counters(self) -> None:
        self.log("counters", **dict(sorted(self.counters.items())))


def last_moments(longest: timedelta) -> tuple[timedelta, timedelta, timedelta]:
    """Counted from SIGTERM, for a longest deadline: the earliest end, when clients move away, the latest end.

    Guards against SIGKILL, which comes 0.7 s after that deadline, or after 3 s where it is longer.
    """
    kill = min(longest, LONGEST_DRAIN) + SIGKILL_AFTER
    stop = kill - LAST_CALL
    return min(LEAST_DRAIN, stop), kill - LEAVE_BEFORE, stop


def compile_routes(config: Config) -> Router | None:
    """The route table of a configuration; None, and no library loaded, where it has no rules."""
    if config.edge is None or not config.edge.routes.rules:
        return None
    from arrowfold.routes.table import RouteTable

    return RouteTable(config.edge.routes)


def open_gate(config: Config, now: timedelta) -> Gate | None:
    """The quotas of a configuration; None, and nothing loaded, where it has none."""
    if config.edge is None or config.edge.quotas is None:
        return None
    from arrowfold.quotas.gate import Gate

    means = {c.name: timedelta(microseconds=c.aim_us) for c in config.settings.classes}
    return Gate(config.edge.quotas, config.settings.fleet_size, means, now)


def open_store(config: Config, now: timedelta, counters: Counter[str]) -> Store | None:
    """The store of request keys; None, and nothing loaded, where the document has no repeats."""
    if config.edge is None or config.edge.repeats is None:
        return None
    from arrowfold.repeats.store import Store

    return Store(config.edge.repeats, {cls.name: cls for cls in config.settings.classes}, now, counters)


def _open_log(config: Config) -> Log:
    return Log(config.name, config.edge.log if config.edge is not None else None)


def _idle_span(settings: api.Settings) -> timedelta:
    """A connection is closed here well before the far side would close it under a request."""
    return timedelta(microseconds=settings.connection_idle_us or 30_000_000) * 0.8
