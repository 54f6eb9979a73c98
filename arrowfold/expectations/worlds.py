"""Worlds: one node's core and module, in virtual time, among backend servers that exist in memory only.

A world is a few words that say what happens; playing it twice gives the same history to the byte.
"""

from __future__ import annotations

import heapq
import json
import random
from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import asdict, dataclass, field, fields, replace
from datetime import timedelta
from typing import Any

from arrowfold import interface as api
from arrowfold.expectations.history import (
    Attempt,
    Call,
    History,
    Life,
    Own,
    Report,
    Sight,
    State,
    sights_of,
)
from arrowfold.quotas.gate import Gate
from arrowfold.quotas.tree import Tree
from arrowfold.routes.rules import Routes, Subject
from arrowfold.routes.table import RouteTable
from arrowfold.routing.core import Core
from arrowfold.routing.session import Answer, Dispatch, Job, Probe, Session, to_us
from arrowfold.routing.table import Row

MS = timedelta(milliseconds=1)
START = timedelta(seconds=1000)  # of virtual time: a start at 0 would mean long ago
FIRST = 100 * MS  # from the list to the first arrival
WIRE = 2 * MS  # one way to a server
RUN = 120 * MS  # a job's run
SLOW_RUN = 3000 * MS
SLOTS = 4
TAIL = timedelta(seconds=1)  # played after the last deadline

LOADS = ("idle", "busy", "region-full", "all-full")
ENDINGS = ("served", "turned-away", "refused", "error", "reset", "slow")
EVENTS = ("none", "drain", "gone", "vanish", "restart", "maintenance", "back", "silent", "list-lost",
          "fewer-attempts", "clients-leave")
TARGETS = ("one", "region", "all")


class TokenError(ValueError):
    """A token that names no world."""


@dataclass(frozen=True, slots=True)
class World:
    """What happens. Times in milliseconds from the first arrival."""

    request_class: str
    region: str | None = None
    key: str | None = None
    tenant: str | None = None
    client: str | None = None
    resent: bool = False
    servers: int = 1  # of each zone and kind
    load: str = "idle"
    ending: str = "served"  # how the first attempt of each session ends
    event: str = "none"
    target: str = "one"  # whom the event befalls, in the region that the job is to prefer
    at: int = 300
    lag: int = 0  # how far the list runs behind the event
    arrivals: int = 1
    gap: int = 150
    seed: int = 1

    def subject(self) -> Subject:
        return Subject(self.request_class, self.region, self.key, self.tenant, self.client, self.resent)

    def token(self) -> str:
        """What `check --replay` takes."""
        row = {name: value for name, value in asdict(self).items() if value != _DEFAULTS.get(name)}
        return urlsafe_b64encode(json.dumps(row, separators=(",", ":")).encode()).decode().rstrip("=")

    @staticmethod
    def from_token(token: str) -> World:
        try:
            row = json.loads(urlsafe_b64decode(token + "=" * (-len(token) % 4)))
            world = World(**row)
        except (ValueError, TypeError) as error:
            raise TokenError(f"{token[:40]!r} is no token of a world") from error
        known = ((world.load, LOADS), (world.ending, ENDINGS), (world.event, EVENTS), (world.target, TARGETS))
        figures = (world.servers, world.at, world.lag, world.arrivals, world.gap, world.seed)
        if any(value not in names for value, names in known) or not all(
                isinstance(n, int) and 0 <= n <= 100_000 for n in figures) or world.arrivals > 1000:
            raise TokenError(f"{token[:40]!r} is no token of a world")
        return world

    def words(self) -> str:
        """The world in a line."""
        said = [self.request_class]
        said += [f"{name} {value}" for name, value in (
            ("region", self.region), ("key", self.key), ("tenant", self.tenant), ("from", self.client))
            if value]
        said += ["a retry"] if self.resent else []
        said.append(f"{self.arrivals} arrivals {self.gap} ms apart" if self.arrivals > 1 else "1 arrival")
        said.append(f"{self.servers} server{'s'[:self.servers > 1]} a zone and kind, {self.load}")
        if self.ending != "served":
            said.append(f"first attempts end {self.ending}")
        if self.event != "none":
            said.append(f"{self.event} of {self.target} at {self.at} ms")
            said.append(f"told {self.lag} ms later")
        return ", ".join(said)


_DEFAULTS: dict[str, Any] = {f.name: f.default for f in fields(World) if f.name != "request_class"}
MakeCore = Callable[..., Core]


@dataclass(frozen=True, slots=True)
class Plan:
    """What is checked: the platform's settings, the routes, and which zones hold which kinds."""

    settings: api.Settings
    routes: Routes
    fleet: tuple[tuple[str, str], ...]  # zone and kind
    quotas: Tree | None = None
    make_core: MakeCore = Core
    make_table: Callable[[Routes], RouteTable] = RouteTable


class Clock:
    """Virtual time: nothing waits."""

    def __init__(self) -> None:
        self.time, self._heap, self._count = START, list[tuple[timedelta, int, _Timer]](), 0

    def now(self) -> timedelta:
        return self.time

    def call_at(self, when: timedelta, call: Callable[[], None]) -> _Timer:
        self._count += 1
        timer = _Timer(call)
        heapq.heappush(self._heap, (max(when, self.time), self._count, timer))
        return timer

    def call_later(self, delay: timedelta, call: Callable[[], None]) -> _Timer:
        return self.call_at(self.time + delay, call)

    def run(self, until: timedelta, over: Callable[[], bool]) -> None:
        """Let what is due happen, in order, until a time or until it is over."""
        while self._heap and self._heap[0][0] <= until and not over():
            self.time, _, timer = heapq.heappop(self._heap)
            if timer.call is not None:
                timer.call()


class _Timer:
    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Recorder:
    """Writes down what the core does as a history."""

    def __init__(self, now: Callable[[], timedelta], history: History) -> None:
        self.now, self.history = now, history
        self.known: dict[str, Sight] = {}

    def settled(self, settings: api.Settings) -> None:
        self.history.cold = timedelta(microseconds=settings.cold_us)

    def listed(self, update: api.RosterUpdate) -> None:
        self.history.sights += sights_of(self.now(), update, self.known)

    def called(self, server: str, out: bool) -> None:
        self.history.calls.append(Call(self.now(), server, out))

    def taken(self, session: Session) -> None:
        job = session.job
        subject = Subject(job.request_class, job.region, job.key, job.payer, job.client, job.resent)
        session.span = Life(job.id, subject, self.now(), job.deadline)
        self.history.lives.append(session.span)

    def dispatched(self, dispatch: Dispatch) -> None:
        dispatch.span = Attempt(dispatch.number, dispatch.server_name, self.now())
        dispatch.session.span.attempts.append(dispatch.span)

    def progressed(self, dispatch: Dispatch, share: float | None) -> None:
        if share is None and dispatch.span is not None:
            dispatch.span.started = self.now()

    def ended(self, dispatch: Dispatch, status: api.Status, load: api.LoadReport | None) -> None:
        if dispatch.span is not None:  # None: it never left the node
            dispatch.span.ended, dispatch.span.status = self.now(), status
            dispatch.span.free = load.free_slots if load is not None else None

    def probed(self, server: str, status: api.Status, load: api.LoadReport | None) -> None:
        if status is api.Status.OK and load is not None:
            self.history.reports.append(Report(self.now(), server, load.free_slots))

    def answered(self, session: Session, answer: Answer | None) -> None:
        life: Life = session.span
        life.answered, life.rule = self.now(), session.rule
        life.verdict = answer.verdict.value if answer is not None else "left"
        life.retry_after = answer.retry_after if answer is not None else None


class Silent:
    """A client that takes its answer and says nothing."""

    def answer(self, answer: Answer) -> None:
        del answer


@dataclass(slots=True)
class SimServer:
    """A backend server in memory."""

    stage: Stage
    name: str
    zone: str
    kind: str
    full: bool = False
    busy: int = 0  # slots that others hold
    dead: bool = False
    silent: bool = False
    launched_us: int = 0
    state: api.Lifecycle = api.Lifecycle.IN_SERVICE
    running: list[Dispatch] = field(default_factory=list)

    def entry(self) -> api.RosterEntry:
        return api.RosterEntry(self.name, self.zone, self.kind, 0, self.launched_us, self.state)

    def load(self) -> api.LoadReport:
        free = 0 if self.full else max(0, SLOTS - self.busy - len(self.running))
        return api.LoadReport(free_slots=float(free), held=float(SLOTS - free))

    def send(self, dispatch: Dispatch) -> None:
        dispatch.whole = True
        self.stage.clock.call_later(WIRE, lambda: self._take(dispatch))

    def _take(self, dispatch: Dispatch) -> None:
        """Its last byte has come."""
        ending = self.stage.world.ending if not dispatch.number else "served"
        if dispatch.over or self.silent:
            return
        if self.dead or ending == "refused":
            dispatch.ended(api.Status.CONNECT_FAILED)
        elif self.load().free_slots == 0 or ending == "turned-away":
            dispatch.ended(api.Status.FULL, b"", self.load())
        else:
            self.running.append(dispatch)
            dispatch.started()
            run = SLOW_RUN if ending == "slow" else RUN * (0.8 + 0.4 * self.stage.random.random())
            self.stage.clock.call_later(run, lambda: self._finish(dispatch, ending))

    def _finish(self, dispatch: Dispatch, ending: str) -> None:
        if dispatch not in self.running or self.silent:
            return
        self.running.remove(dispatch)
        if not dispatch.over:
            dispatch.ended({"error": api.Status.ERROR, "reset": api.Status.RESET}.get(ending, api.Status.OK),
                           b"", self.load())

    def probe(self, probe: Probe) -> None:
        def answer() -> None:
            if self.dead:
                probe.ended(api.Status.CONNECT_FAILED)
            elif not self.silent:
                probe.ended(api.Status.OK, self.load())

        self.stage.clock.call_later(2 * WIRE, answer)

    def cancel(self, errand: Dispatch | Probe) -> api.Status | None:
        if errand in self.running:
            self.running.remove(errand)  # type: ignore[arg-type]
        return None  # a model's server has all of an attempt at once

    def rest(self) -> None:
        pass

    def kill(self) -> None:
        """The process dies: what it had is reset."""
        running, self.running = self.running, []
        for dispatch in running:
            if not dispatch.over:
                dispatch.ended(api.Status.RESET)


class Stage:
    """One world at play."""

    def __init__(self, world: World, plan: Plan) -> None:
        self.world, self.plan, self.clock = world, plan, Clock()
        self.random = random.Random(world.seed)
        self.history = History()
        self.arrived = 0
        recorder = Recorder(self.clock.now, self.history)
        recorder.settled(plan.settings)
        self.core = plan.make_core(
            plan.settings, world.seed, self.clock, Counter(), lambda follow: None,
            lambda event, **fields: None)
        self.core.routes = plan.make_table(plan.routes) if plan.routes.rules else None
        self.core.observer = recorder
        if plan.quotas is not None:
            means = {c.name: timedelta(microseconds=c.aim_us) for c in plan.settings.classes}
            self.core.quotas = Gate(plan.quotas, plan.settings.fleet_size, means, START)
        # Names say nothing of zone or kind, as on the wire; a shuffle keeps their order from saying it.
        pairs = [pair for pair in plan.fleet for _ in range(world.servers)]
        names = [f"s{number}" for number in range(len(pairs))]
        self.random.shuffle(names)
        self.servers = [SimServer(self, name, zone, kind)
                        for name, (zone, kind) in zip(names, pairs, strict=True)]
        self._load()

    def _preferred(self) -> Collection[str]:
        """The zones that the job is to go to first; the node's own where no route says."""
        found = self.core.routes.find(self.world.subject()) if self.core.routes is not None else None
        if found is not None and found[1] is not None and found[1].zones:
            return found[1].zones[0]
        return {self.plan.settings.zone}

    def _load(self) -> None:
        preferred = self._preferred()
        for server in self.servers:
            server.full = self.world.load == "all-full" or (
                self.world.load == "region-full" and server.zone in preferred)
            server.busy = SLOTS // 2 if self.world.load == "busy" else 0

    def play(self) -> History:
        """From the first list to the last answer."""
        world, core, clock = self.world, self.core, self.clock
        core.list_servers("list", self._rows(self.servers), api.RosterMode.COMPLETE)
        begin = START + FIRST
        for number in range(world.arrivals):
            clock.call_at(begin + number * world.gap * MS, lambda n=number: self._arrive(n))  # type: ignore[misc]
        if world.event != "none":
            clock.call_at(begin + world.at * MS - 3 * MS, self._happen)
        last = begin + world.arrivals * world.gap * MS
        longest = timedelta(microseconds=max(cls.deadline_us for cls in self.plan.settings.classes))
        clock.run(last + longest + TAIL, lambda: (
            self.arrived == world.arrivals and not core.sessions and clock.time >= last))
        self.history.until = clock.time
        self.history.sights.sort(key=lambda sight: sight.at)
        return self.history

    def _rows(self, servers: Collection[SimServer]) -> list[Row]:
        return [(server.entry(), server) for server in servers]

    def _arrive(self, number: int) -> None:
        world, cls = self.world, self._class()
        self.arrived += 1
        limit_us = cls.deadline_us if cls is not None else 1_000_000
        deadline = self.clock.now() + timedelta(microseconds=limit_us)
        name = f"job-{number}"
        session = self.core.take(Job(
            name, world.request_class, deadline, b"", world.key, f"key-{number}", world.tenant,
            resent=world.resent, region=world.region, client=world.client, account=world.tenant), Silent())
        if world.event == "clients-leave" and number % 2 == 0:
            self.clock.call_later(40 * MS, lambda: self.core.leave(session))

    def _class(self) -> api.RequestClass | None:
        return next((c for c in self.plan.settings.classes if c.name == self.world.request_class), None)

    # --- what happens ------------------------------------------------------------------------------------

    def _befallen(self) -> list[SimServer]:
        if self.world.target == "all":
            return self.servers
        preferred = self._preferred()
        here = [server for server in self.servers if server.zone in preferred] or self.servers
        return here if self.world.target == "region" else here[:1]

    def _happen(self) -> None:
        happenings: Mapping[str, Callable[[list[SimServer]], None]] = {
            "drain": self._drain, "gone": self._gone, "vanish": self._gone, "restart": self._restart,
            "maintenance": self._maintain, "back": self._maintain, "silent": self._fall_silent}
        if self.world.event in happenings:
            happenings[self.world.event](self._befallen())
        elif self.world.event == "list-lost":
            self.core.list_failed()
        elif self.world.event == "fewer-attempts":
            fewer = min(self.plan.settings.attempt_cap, 2)
            self.core.change_settings(replace(self.plan.settings, attempt_cap=fewer), 30_000)

    def _tell(self, servers: list[SimServer], lag: timedelta) -> None:
        """The list says it, late, as it was when it happened; never in the same moment."""
        lag = max(lag, MS)
        rows = self._rows(servers)
        if self.world.event == "vanish":
            whole = self._rows([server for server in self.servers if server not in servers])
            self.clock.call_later(
                lag, lambda: self.core.list_servers("list", whole, api.RosterMode.COMPLETE))
        else:
            self.clock.call_later(lag, lambda: self.core.list_servers("list", rows))

    def _did(self, servers: list[SimServer], state: State) -> None:
        self.history.own += [Own(self.clock.now(), server.name, state) for server in servers]

    def _drain(self, servers: list[SimServer]) -> None:
        for server in servers:
            server.state = api.Lifecycle.TERMINATING
        self._did(servers, State.DRAINING)
        self._tell(servers, self.world.lag * MS)

    def _gone(self, servers: list[SimServer]) -> None:
        for server in servers:
            server.dead, server.state = True, api.Lifecycle.TERMINATED
            server.kill()
        self._did(servers, State.GONE)
        self._tell(servers, self.world.lag * MS)

    def _restart(self, servers: list[SimServer]) -> None:
        for server in servers:
            server.launched_us = to_us(self.clock.now())
            server.kill()
        self._did(servers, State.IN_SERVICE)
        self._tell(servers, self.world.lag * MS)

    def _maintain(self, servers: list[SimServer]) -> None:
        """Out by an operator's call, which is heard at once; the list goes on saying that they serve."""
        for server in servers:
            self.core.take_out(server.name)
        self._tell(servers, 300 * MS)
        if self.world.event == "back":
            for server in servers:
                self.clock.call_later(600 * MS, lambda name=server.name: self.core.bring_back(name))  # type: ignore[misc]

    def _fall_silent(self, servers: list[SimServer]) -> None:
        for server in servers:
            server.silent = True


def play(world: World, plan: Plan) -> History:
    """What happens in a world."""
    return Stage(world, plan).play()

