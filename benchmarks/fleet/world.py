"""One clock, many nodes: what each decides is carried out among modelled servers and clients."""

from __future__ import annotations

import heapq
import random
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import accumulate
from typing import Protocol

from arrowfold import interface as api
from benchmarks.fleet.servers import CONNECTIONS, HANDSHAKE_US, MS, SECOND, Run, Server

BUCKET_US = 100 * MS
NEAR_US, FAR_US = 1 * MS, 4 * MS  # one way
ROOM = 0.15  # of the slots idle: room that a node could have used
UNNOTICED_US = 2 * SECOND  # until the front leaves out a dead node
DENIED = 0.75  # of the denied clients come again


class Decider(Protocol):
    """What stands behind the module's interface."""

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]: ...


@dataclass(eq=False)
class Node:
    """A node and its one life: what belongs to an earlier one is dropped."""

    number: int
    zone: str
    weight: float
    life: int = 0
    alive: bool = False
    dead_us: int = 0
    follows: bool = False  # discovery
    decider: Decider | None = None
    told: dict[str, tuple[int, api.RosterEntry]] = field(default_factory=dict)  # since when
    idle: Counter[tuple[str, int]] = field(default_factory=Counter)  # connections, by start of a server


@dataclass(eq=False)
class Job:
    """What a client wants, over all its tries."""

    cls: api.RequestClass
    key: str
    work_us: int
    zone: str
    born_us: int
    tries: int = 0
    ended: bool = False


@dataclass(eq=False)
class Session:
    """One try at one node: owes one answer."""

    id: str
    job: Job
    node: Node
    life: int
    deadline_us: int
    answered: bool = False
    sends: list[tuple[Run, Server, int]] = field(default_factory=list)
    ran: list[bool] = field(default_factory=list)  # may have run, or may yet


class World:
    """A day: `make(settings, seed)` gives each node its decider. Figures are counted per 100 ms."""

    def __init__(
            self, settings: api.Settings, zones: int, nodes: int, servers: int, seed: int, load: float,
            make: Callable[[api.Settings, int, World], Decider],
            mix: dict[str, tuple[float, float]] | None = None,
    ) -> None:
        self.mix = mix or MIX  # of each class its share of the arrivals, and a mean job's work
        # A stream for each part, so that a change of one part leaves the draws of the others alone.
        self.dice = {part: random.Random(f"{seed} {part}") for part in (
            "servers", "nodes", "arrivals", "clients", "links", "discovery", "reports", "faults")}
        self.settings, self.seed, self.make = replace(settings, fleet_size=nodes), seed, make
        self.now, self.order = 0, 0
        self.heap: list[tuple[int, int, Callable[[], object]]] = []
        self.zones = [f"z{n}" for n in range(zones)]
        self.buckets: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self.offered: Counter[str] = Counter()
        self.earned: Counter[str] = Counter()
        self.broken: list[str] = []
        self.servers: dict[str, Server] = {}
        self.listed: dict[str, api.RosterEntry] = {}
        self.gone: set[str] = set()
        self.cut: set[tuple[str, str]] = set()  # zones that don't hear each other
        self.busy_until = 0  # discovery's
        self.serial, self.latest_drain_us = 0, 0
        self.counted: Counter[str] = Counter()  # what the modules count
        self.sessions: dict[tuple[int, str], Session] = {}
        for _ in range(servers):
            self.add_server(0)
        self.nodes = [Node(n, self.zones[n % zones], self.dice["nodes"].lognormvariate(0, 0.6))
                      for n in range(nodes)]
        for node in self.nodes:
            self.start(node)
        work = sum(share * mean for share, mean in self.mix.values())
        able = sum(s.slots * s.speed for s in self.servers.values())
        self.rate = load * able / (work * 1.2 / SECOND)  # with a fetch for two jobs in five

    # --- the clock -------------------------------------------------------------------------------------

    def call(self, delay_us: float, function: Callable[[], object]) -> None:
        self.order += 1
        heapq.heappush(self.heap, (self.now + max(0, int(delay_us)), self.order, function))

    def run(self, until_us: int) -> None:
        self.call(0, self._sample)
        self.call(0, self._arrive)
        while self.heap and self.heap[0][0] <= until_us:
            self.now, _, function = heapq.heappop(self.heap)
            function()

    def count(self, what: str, by: float = 1) -> None:
        self.buckets[self.now // BUCKET_US][what] += by  # type: ignore[assignment]

    def _sample(self) -> None:
        live = [s for s in map(self.servers.__getitem__, self.listed) if s.up and not s.draining]
        self.count("slots", sum(s.slots for s in live))
        self.count("idle", sum(s.slots - s.busy for s in live))
        cold = [s for s in live if s.warmth() < 1]
        self.count("cold", len(cold))
        self.count("cold idle", sum(s.slots - s.busy for s in cold))
        self.count("waiting", sum(len(s.queue) for s in live))
        self.call(BUCKET_US, self._sample)

    def idle_share(self, zone: str | None = None) -> float:
        """How much of the listed servers' slots stands idle, in truth."""
        some = [s for s in map(self.servers.__getitem__, self.listed)
                if s.up and not s.draining and zone in (None, s.zone)]
        return sum(s.slots - s.busy for s in some) / max(1, sum(s.slots for s in some))

    # --- servers and discovery ---------------------------------------------------------------------------

    def add_server(self, started_us: int) -> Server:
        n, self.serial = self.serial, self.serial + 1
        kind, slots, speed = (("gen-a", 4, 1.0), ("gen-b", 6, 0.8))[self.dice["servers"].random() < 0.4]
        server = Server(
            self.settings, f"s{n}", self.zones[n % len(self.zones)], kind, slots, speed, started_us,
            lambda: self.now, self.call, self.dice["reports"], self._pushed)
        self.servers[server.name] = server
        self.announce(server, api.Lifecycle.IN_SERVICE)
        return server

    def announce(self, server: Server, lifecycle: api.Lifecycle) -> None:
        """Change discovery's list, and tell each node that follows it, some time later."""
        entry = api.RosterEntry(server.name, server.zone, server.kind, 0, server.started_us, lifecycle)
        if lifecycle is api.Lifecycle.TERMINATED:
            self.listed.pop(server.name, None)
        else:
            self.listed[server.name] = entry
        for node in getattr(self, "nodes", []):
            if node.alive and node.follows:
                self.later(node, self.dice["discovery"].uniform(200 * MS, 1500 * MS),
                           partial(self.tell, node, api.RosterMode.PARTIAL, (entry,)))

    def tell(self, node: Node, mode: api.RosterMode, entries: tuple[api.RosterEntry, ...]) -> None:
        for entry in entries:
            if node.told.get(entry.worker, (0, None))[1] != entry:
                node.told[entry.worker] = self.now, entry
        self.give(node, api.RosterUpdate(mode, entries))

    def subscribe(self, node: Node) -> None:
        """Discovery works through calls in turn, 80 a second; who would wait over 0.6 s is turned away."""
        self.count("list calls")
        start = max(self.now, self.busy_until)
        if start - self.now > 600 * MS:
            self.later(node, 600 * MS, lambda: self.tell(node, api.RosterMode.ERROR, ()))
            return
        self.busy_until = start + SECOND // 80

        def told() -> None:
            node.follows = True
            self.tell(node, api.RosterMode.COMPLETE, tuple(self.listed.values()))

        self.later(node, self.busy_until - self.now, told)

    # --- nodes -----------------------------------------------------------------------------------------

    def start(self, node: Node) -> None:
        node.life, node.alive, node.follows, node.told, node.idle = node.life + 1, True, False, {}, Counter()
        node.decider = self.make(
            replace(self.settings, zone=node.zone, number=node.number),
            self.dice["nodes"].getrandbits(31), self)
        self.tell(node, api.RosterMode.PERSISTED, tuple(self.listed.values()))

    def kill(self, node: Node) -> None:
        """Its connections end, and with them what it had out."""
        node.alive, node.dead_us = False, self.now
        for (name, start), count in node.idle.items():
            if self.servers[name].start == start:
                self.servers[name].open -= count
        for session in [s for s in self.sessions.values() if s.node is node]:
            for run, server, _ in session.sends:
                if not run.reported:
                    run.reported = True
                    self._leave(run, server)

    def later(self, node: Node, delay_us: float, function: Callable[[], object]) -> None:
        """Unless the node has died by then."""
        life = node.life
        self.call(delay_us, lambda: function() if node.alive and node.life == life else None)

    def give(self, node: Node, event: api.Event) -> None:
        assert node.decider is not None
        for action in node.decider.handle(self.now, [event]):
            match action:
                case api.SetTimer():
                    self.later(node, action.delay_us, partial(self.give, node, api.TimerFired(action.handle)))
                case api.Send():
                    self._send(node, action)
                case api.Cancel():
                    self._cancel(self.sessions[node.number, action.request], action.attempt)
                case api.Refuse():
                    self._answer(node, action.request, "denied", action.retry_after_us)
                case api.Fail():
                    self._answer(node, action.request, "failed", 0)
                case api.Probe():
                    self._probe(node, self.servers[action.worker])
                case api.Subscribe():
                    self.subscribe(node)

    # --- clients ---------------------------------------------------------------------------------------

    def _arrive(self) -> None:
        dice = self.dice["arrivals"]
        self.call(dice.expovariate(self.rate * self.burst()) * SECOND, self._arrive)
        name = dice.choices(list(self.mix), [share for share, _ in self.mix.values()])[0]
        cls = next(c for c in self.settings.classes if c.name == name)
        work = int(self.mix[name][1] * dice.lognormvariate(-0.32, 0.8))
        key = f"k{bisect_left(KEYS, dice.random() * KEYS[-1])}"
        job = Job(cls, key, work, dice.choice(self.zones), self.now)
        self.offered[name] += job.work_us * cls.worth  # type: ignore[assignment]
        self.count("jobs")
        self._try(job)

    def burst(self) -> float:
        return 1.5 if 14 * SECOND <= self.now < 18 * SECOND else 1.0

    def _try(self, job: Job) -> None:
        """A try goes to a node of its zone; one that is dead, and not yet noticed, refuses it."""
        job.tries += 1
        self.count("tries")
        some = [n for n in self.nodes if n.zone == job.zone and (
            n.alive or self.now - n.dead_us < UNNOTICED_US)] or [n for n in self.nodes if n.alive]
        node = self.dice["clients"].choices(some, [n.weight for n in some])[0]
        if not node.alive:
            self.count("no node")
            self._again(job, 0)
            return
        self.serial += 1
        session = Session(f"j{self.serial}", job, node, node.life,
                          job.born_us + job.cls.deadline_us)
        self.sessions[node.number, session.id] = session
        self.give(node, api.Arrival(
            session.id, job.cls.name, session.deadline_us, job.key, resent=False))
        self.call(session.deadline_us + self.settings.answer_slack_us - self.now,
                  lambda: self._due(session))

    def _due(self, session: Session) -> None:
        if not session.answered and session.node.alive and session.life == session.node.life:
            self.broken.append(f"lost: {session.id} at {self.now}")
        self.sessions.pop((session.node.number, session.id), None)

    def _again(self, job: Job, told_us: int) -> None:
        wait = max(told_us, self.dice["clients"].uniform(100 * MS, 600 * MS))
        if self.now + wait < job.born_us + job.cls.deadline_us - 100 * MS \
                and self.dice["clients"].random() < DENIED and job.tries < 6:
            self.call(wait, lambda: self._try(job))

    def _answer(self, node: Node, request: str, how: str, told_us: int) -> None:
        session = self.sessions[node.number, request]
        if session.answered:
            self.broken.append(f"answered twice: {request}")
        session.answered = True
        self.count(how)
        if how == "denied":
            if session.job.cls.idempotency is api.Idempotency.UNSAFE and any(session.ran):
                self.broken.append(f"denied after it may have run: {request}")
            self.count("denied beside idle slots", self.idle_share() >= ROOM)
            self._again(session.job, told_us)

    # --- attempts --------------------------------------------------------------------------------------

    def _link(self, node: Node, server: Server) -> int:
        return NEAR_US if node.zone == server.zone else FAR_US

    def _send(self, node: Node, action: api.Send) -> None:
        session, server = self.sessions.get((node.number, action.request)), self.servers.get(action.worker)
        if session is None or server is None:
            self.broken.append(f"sent after its time, or to a name never listed: {action}")
            return
        number, job, sent_us = len(session.sends), session.job, self.now
        self._check_send(session, server)
        self.count("sends")
        if node.zone != server.zone:
            self.count("crossing")
            self.count("crossing beside room at home", self.idle_share(node.zone) >= ROOM)
        way = self._link(node, server)
        run = Run(
            job.work_us, job.key, lambda: self.later(node, way, lambda: self.give(
                node, api.AttemptProgress(action.request, number))),
            lambda status: self.later(node, way, lambda: self._ended(session, number, status)), node.number)
        session.sends.append((run, server, sent_us))
        session.ran.append(True)
        cut, kept = (node.zone, server.zone) in self.cut, (server.name, server.start)
        if cut or not server.up or (not node.idle[kept] and server.open >= CONNECTIONS):
            self.count("not connected")
            delay = 250 * MS if cut else 2 * way
            self.call(delay, lambda: run.told_end(api.Status.CONNECT_FAILED))
            return
        run.connected = server.start
        if node.idle[kept]:
            node.idle[kept] -= 1
        else:
            self.count("new connections")
            server.open += 1
            run.work_us += HANDSHAKE_US // 2
            way += HANDSHAKE_US
        self.call(way, lambda: None if run.ended else server.take(run))

    def _ended(self, session: Session, number: int, status: api.Status) -> None:
        run, server, sent_us = session.sends[number]
        if run.reported:
            return
        run.reported = True
        session.ran[number] = not status.never_ran
        if status in (api.Status.OK, api.Status.FULL, api.Status.ERROR) and run.connected == server.start:
            session.node.idle[server.name, server.start] += 1
        elif run.connected == server.start:
            server.open -= 1
        self.count(status.name.lower())
        final = session.answered
        if status is api.Status.OK and not session.answered:
            session.answered = final = True
            self._served(session.job)
        report = server.report() if status in (api.Status.OK, api.Status.FULL, api.Status.ERROR) else None
        self.give(session.node, api.AttemptEnded(
            session.id, number, server.name, status, self.now - sent_us, final, report))

    def _cancel(self, session: Session, number: int) -> None:
        run, server, _ = session.sends[number]
        if not run.reported:
            self.call(self._link(session.node, server), partial(self._drop, run, server))
            self.later(session.node, 0, lambda: self._ended(session, number, api.Status.CANCELLED))

    @staticmethod
    def _drop(run: Run, server: Server) -> None:
        if run in server.held:
            server.drop(run)
        run.ended = True

    def _leave(self, run: Run, server: Server) -> None:
        """Its node has died under it."""
        if run.connected == server.start:
            server.open -= 1
        self._drop(run, server)

    def _probe(self, node: Node, server: Server) -> None:
        self.count("probes")
        way, sent_us = 2 * self._link(node, server), self.now
        if (node.zone, server.zone) in self.cut or not server.up:
            self.later(node, 250 * MS, lambda: self.give(node, api.ProbeEnded(
                server.name, api.Status.CONNECT_FAILED, self.now - sent_us)))
        else:
            self.later(node, way, lambda: self.give(node, api.ProbeEnded(
                server.name, api.Status.OK, way, server.report())))

    def _served(self, job: Job) -> None:
        if job.ended:
            self.count("served again")
            return
        job.ended = True
        took = self.now - job.born_us
        late = took > job.cls.aim_us + job.cls.stretch * job.work_us
        self.count("late" if late else "in time")
        worth = job.work_us * job.cls.worth * (job.cls.late_share if late else 1.0)
        self.earned[job.cls.name] += worth  # type: ignore[assignment]

    # --- rules -----------------------------------------------------------------------------------------

    def _pushed(self, server: Server, sent: list[tuple[int, int, int]]) -> None:
        """Rule 4: a cold server fell over, by nodes of which two thirds (by work) were told."""
        def told(number: int) -> bool:
            _, entry = self.nodes[number].told.get(server.name, (0, None))
            return entry is not None and entry.launched_us == server.started_us

        work = sum(work for _, work, node in sent if told(node))
        if 3 * work >= 2 * sum(work for _, work, _ in sent):
            self.broken.append(f"pushed over: {server.name} at {self.now}")

    def _check_send(self, session: Session, server: Server) -> None:
        """Rules 1 to 3 at each send, apart from the module's own guards."""
        told = session.node.told.get(server.name)
        if session.answered:
            self.broken.append(f"sent after its answer: {session.id}")
        if told is None:
            self.broken.append(f"sent to {server.name}, of which the node was not told")
        elif told[1].lifecycle is not api.Lifecycle.IN_SERVICE:
            since = self.now - told[0]
            self.latest_drain_us = max(self.latest_drain_us, since)
            if since > SECOND:
                self.broken.append(f"sent to {server.name} {since} us after it was told to drain")
        out = sum(not run.reported for run, _, _ in session.sends)
        if out > self.settings.second_copies:
            self.broken.append(f"{out + 1} attempts at once: {session.id}")
        cls = session.job.cls
        for ran, (_, _, sent_us) in zip(session.ran, session.sends, strict=True):
            if ran and cls.idempotency is api.Idempotency.UNSAFE:
                self.broken.append(f"repeated though it may have run: {session.id}")
            if ran and cls.idempotency is api.Idempotency.KEYED and self.now - sent_us >= cls.window_us:
                self.broken.append(f"repeated after its window: {session.id}")

    def figures(self) -> dict[str, float]:
        """Totals over the day, with shares of what was offered."""
        total: Counter[str] = sum(self.buckets.values(), Counter())
        worth = sum(self.offered.values())
        return {
            **{name: round(float(value), 1) for name, value in sorted(total.items())},
            **dict(sorted(self.counted.items())),
            "served": round(sum(self.earned.values()) / max(1.0, worth), 4),
            **{f"served {name}": round(self.earned[name] / max(1, self.offered[name]), 4)
               for name in sorted(self.offered)},
            "cold peak": round(max(s.peak for s in self.servers.values()), 3),
            "falls": sum(s.falls for s in self.servers.values()),
            "latest drain ms": self.latest_drain_us / 1000, "broken": len(self.broken),
        }


# Of the arrivals, and a mean job's work.
MIX = {"full-search": (0.55, 250 * MS), "symbol-lookup": (0.32, 100 * MS), "commit-record": (0.13, 120 * MS)}
KEYS = list(accumulate(1 / n**0.8 for n in range(1, 401)))  # popular ones first
