"""Discrete-event simulation of many nodes with modelled workers, clients and discovery under one clock."""

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
from benchmarks.fleet.servers import HANDSHAKE_US, MAX_CONNECTIONS, MS, SECOND, Attempt, Worker

BUCKET_US = 100 * MS
SAME_ZONE_DELAY_US, CROSS_ZONE_DELAY_US = 1 * MS, 4 * MS  # one-way network delay
USABLE_IDLE_SHARE = 0.15  # idle share of the slots above which another worker could have been used
FAILURE_DETECTION_US = 2 * SECOND  # time until the load balancer stops using a dead node
RETRY_PROBABILITY = 0.75  # share of refused clients that retry


class Decider(Protocol):
    """The decision interface of a node, as `Dispatcher` has it."""

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]: ...


@dataclass(eq=False)
class Node:
    """A node. `incarnation` counts its starts; callbacks of an earlier incarnation are dropped."""

    number: int
    zone: str
    weight: float
    incarnation: int = 0
    alive: bool = False
    killed_us: int = 0
    is_subscribed: bool = False  # receives discovery's updates
    decider: Decider | None = None
    # Discovery's entries by worker, with the time at which the current one was received.
    known_entries: dict[str, tuple[int, api.RosterEntry]] = field(default_factory=dict)
    # Idle connections by worker and its boot count.
    idle_connections: Counter[tuple[str, int]] = field(default_factory=Counter)


@dataclass(eq=False)
class ClientRequest:
    """A client's request over all its calls to nodes."""

    cls: api.RequestClass
    key: str
    work_us: int
    zone: str
    created_us: int
    call_count: int = 0
    ended: bool = False


@dataclass(eq=False)
class Session:
    """One call to one node, which must be answered exactly once."""

    id: str
    client_request: ClientRequest
    node: Node
    incarnation: int
    deadline_us: int
    answered: bool = False
    attempts: list[tuple[Attempt, Worker, int]] = field(default_factory=list)
    may_have_run: list[bool] = field(default_factory=list)  # by attempt: it may have run or may still run


class World:
    """The simulated system. `make_decider(settings, seed, world)` makes each node's decider.

    Figures are counted per bucket of 100 ms. Violations of the rules are collected in `violations`.
    """

    def __init__(
            self, settings: api.Settings, zones: int, nodes: int, servers: int, seed: int, load: float,
            make_decider: Callable[[api.Settings, int, World], Decider],
            mix: dict[str, tuple[float, float]] | None = None,
    ) -> None:
        self.mix = mix or REQUEST_MIX  # by class: share of the arrivals, mean work in us
        # One random stream per part, so that a change of one part does not alter the draws of the others.
        self.streams = {part: random.Random(f"{seed} {part}") for part in (
            "servers", "nodes", "arrivals", "clients", "links", "discovery", "reports", "faults")}
        self.settings, self.seed, self.make_decider = replace(settings, fleet_size=nodes), seed, make_decider
        self.now_us, self.event_sequence = 0, 0
        self.event_queue: list[tuple[int, int, Callable[[], object]]] = []
        self.zones = [f"z{n}" for n in range(zones)]
        self.buckets: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self.offered_value: Counter[str] = Counter()
        self.served_value: Counter[str] = Counter()
        self.violations: list[str] = []
        self.workers: dict[str, Worker] = {}
        self.listed: dict[str, api.RosterEntry] = {}
        self.removed: set[str] = set()
        self.partitioned: set[tuple[str, str]] = set()  # pairs of zones that cannot reach each other
        self.discovery_busy_until_us = 0
        self.serial, self.latest_drain_us = 0, 0
        self.module_counters: Counter[str] = Counter()  # counters of the dispatchers
        self.sessions: dict[tuple[int, str], Session] = {}
        for _ in range(servers):
            self.add_worker(0)
        self.nodes = [Node(n, self.zones[n % zones], self.streams["nodes"].lognormvariate(0, 0.6))
                      for n in range(nodes)]
        for node in self.nodes:
            self.start(node)
        work = sum(share * mean for share, mean in self.mix.values())
        capacity_us = sum(s.slots * s.speed for s in self.workers.values())
        self.rate = load * capacity_us / (work * 1.2 / SECOND)  # two requests in five miss the cache

    # --- the clock -------------------------------------------------------------------------------------

    def schedule(self, delay_us: float, function: Callable[[], object]) -> None:
        """Calls a function after a delay; functions of the same time run in the order of scheduling."""
        self.event_sequence += 1
        heapq.heappush(self.event_queue, (self.now_us + max(0, int(delay_us)), self.event_sequence, function))

    def run(self, until_us: int) -> None:
        """Runs all events up to a time, from the first arrival on."""
        self.schedule(0, self._sample)
        self.schedule(0, self._generate_arrival)
        while self.event_queue and self.event_queue[0][0] <= until_us:
            self.now_us, _, function = heapq.heappop(self.event_queue)
            function()

    def count(self, what: str, by: float = 1) -> None:
        """Adds to a figure of the current bucket."""
        self.buckets[self.now_us // BUCKET_US][what] += by  # type: ignore[assignment]

    def _sample(self) -> None:
        live = [s for s in map(self.workers.__getitem__, self.listed) if s.is_up and not s.draining]
        self.count("slots", sum(s.slots for s in live))
        self.count("idle", sum(s.slots - s.busy for s in live))
        cold = [s for s in live if s.capacity_share() < 1]
        self.count("cold", len(cold))
        self.count("cold idle", sum(s.slots - s.busy for s in cold))
        self.count("waiting", sum(len(s.queue) for s in live))
        self.schedule(BUCKET_US, self._sample)

    def idle_share(self, zone: str | None = None) -> float:
        """Returns the true idle share of the slots of the listed workers, of one zone or of all."""
        candidates = [s for s in map(self.workers.__getitem__, self.listed)
                      if s.is_up and not s.draining and zone in (None, s.zone)]
        return sum(s.slots - s.busy for s in candidates) / max(1, sum(s.slots for s in candidates))

    # --- servers and discovery ---------------------------------------------------------------------------

    def add_worker(self, started_us: int) -> Worker:
        """Adds a worker of a random kind, and lists it; with `started_us` 0 it is warm."""
        n, self.serial = self.serial, self.serial + 1
        kind, slots, speed = (("gen-a", 4, 1.0), ("gen-b", 6, 0.8))[self.streams["servers"].random() < 0.4]
        worker = Worker(
            self.settings, f"s{n}", self.zones[n % len(self.zones)], kind, slots, speed, started_us,
            lambda: self.now_us, self.schedule, self.streams["reports"], self._check_overload)
        self.workers[worker.name] = worker
        self.announce(worker, api.Lifecycle.IN_SERVICE)
        return worker

    def announce(self, worker: Worker, lifecycle: api.Lifecycle) -> None:
        """Changes discovery's list and sends the entry to each subscribed node after a random delay."""
        entry = api.RosterEntry(worker.name, worker.zone, worker.kind, 0, worker.started_us, lifecycle)
        if lifecycle is api.Lifecycle.TERMINATED:
            self.listed.pop(worker.name, None)
        else:
            self.listed[worker.name] = entry
        for node in getattr(self, "nodes", []):
            if node.alive and node.is_subscribed:
                self.schedule_on_node(node, self.streams["discovery"].uniform(200 * MS, 1500 * MS),
                                       partial(self.send_roster, node, api.RosterMode.PARTIAL, (entry,)))

    def send_roster(self, node: Node, mode: api.RosterMode, entries: tuple[api.RosterEntry, ...]) -> None:
        """Delivers entries of discovery's list to a node, and records when each changed."""
        for entry in entries:
            if node.known_entries.get(entry.worker, (0, None))[1] != entry:
                node.known_entries[entry.worker] = self.now_us, entry
        self.deliver_event(node, api.RosterUpdate(mode, entries))

    def subscribe(self, node: Node) -> None:
        """Queues a call to discovery, which serves 80 a second and fails calls that would wait over 0.6 s."""
        self.count("list calls")
        start = max(self.now_us, self.discovery_busy_until_us)
        if start - self.now_us > 600 * MS:
            self.schedule_on_node(node, 600 * MS, lambda: self.send_roster(node, api.RosterMode.ERROR, ()))
            return
        self.discovery_busy_until_us = start + SECOND // 80

        def send_complete() -> None:
            node.is_subscribed = True
            self.send_roster(node, api.RosterMode.COMPLETE, tuple(self.listed.values()))

        self.schedule_on_node(node, self.discovery_busy_until_us - self.now_us, send_complete)

    # --- nodes -----------------------------------------------------------------------------------------

    def start(self, node: Node) -> None:
        """Starts a node with a new decider and the list as persisted."""
        node.incarnation, node.alive, node.is_subscribed, node.known_entries, node.idle_connections = (
            node.incarnation + 1, True, False, {}, Counter())
        node.decider = self.make_decider(
            replace(self.settings, zone=node.zone, number=node.number),
            self.streams["nodes"].getrandbits(31), self)
        self.send_roster(node, api.RosterMode.PERSISTED, tuple(self.listed.values()))

    def kill(self, node: Node) -> None:
        """Stops the node; its connections close and its open attempts end."""
        node.alive, node.killed_us = False, self.now_us
        for (name, boot_count), count in node.idle_connections.items():
            if self.workers[name].boot_count == boot_count:
                self.workers[name].open_connections -= count
        for session in [s for s in self.sessions.values() if s.node is node]:
            for attempt, worker, _ in session.attempts:
                if not attempt.end_reported:
                    attempt.end_reported = True
                    self._abandon(attempt, worker)

    def schedule_on_node(self, node: Node, delay_us: float, function: Callable[[], object]) -> None:
        """Schedules a function that is skipped if the node has stopped or restarted by then."""
        incarnation = node.incarnation
        self.schedule(
            delay_us, lambda: function() if node.alive and node.incarnation == incarnation else None)

    def deliver_event(self, node: Node, event: api.Event) -> None:
        """Gives an event to a node's decider and carries out its actions."""
        assert node.decider is not None
        for action in node.decider.handle(self.now_us, [event]):
            match action:
                case api.SetTimer():
                    self.schedule_on_node(
                        node, action.delay_us,
                        partial(self.deliver_event, node, api.TimerFired(action.handle)))
                case api.Send():
                    self._send(node, action)
                case api.Cancel():
                    self._cancel(self.sessions[node.number, action.request], action.attempt)
                case api.Refuse():
                    self._answer(node, action.request, "denied", action.retry_after_us)
                case api.Fail():
                    self._answer(node, action.request, "failed", 0)
                case api.Probe():
                    self._probe(node, self.workers[action.worker])
                case api.Subscribe():
                    self.subscribe(node)

    # --- clients ---------------------------------------------------------------------------------------

    def _generate_arrival(self) -> None:
        rng = self.streams["arrivals"]
        self.schedule(rng.expovariate(self.rate * self.arrival_factor()) * SECOND, self._generate_arrival)
        name = rng.choices(list(self.mix), [share for share, _ in self.mix.values()])[0]
        cls = next(c for c in self.settings.classes if c.name == name)
        work = int(self.mix[name][1] * rng.lognormvariate(-0.32, 0.8))
        key = f"k{bisect_left(KEY_WEIGHTS, rng.random() * KEY_WEIGHTS[-1])}"
        client_request = ClientRequest(cls, key, work, rng.choice(self.zones), self.now_us)
        self.offered_value[name] += client_request.work_us * cls.worth  # type: ignore[assignment]
        self.count("jobs")
        self._call_node(client_request)

    def arrival_factor(self) -> float:
        """Returns the factor on the arrival rate: 1.5 during the burst from 14 to 18 s."""
        return 1.5 if 14 * SECOND <= self.now_us < 18 * SECOND else 1.0

    def _call_node(self, client_request: ClientRequest) -> None:
        """Calls a node of the client's zone; a dead node may be drawn until its failure is detected."""
        client_request.call_count += 1
        self.count("tries")
        candidates = [n for n in self.nodes if n.zone == client_request.zone and (
            n.alive or self.now_us - n.killed_us < FAILURE_DETECTION_US)] or [
            n for n in self.nodes if n.alive]
        node = self.streams["clients"].choices(candidates, [n.weight for n in candidates])[0]
        if not node.alive:
            self.count("no node")
            self._retry_later(client_request, 0)
            return
        self.serial += 1
        session = Session(f"j{self.serial}", client_request, node, node.incarnation,
                          client_request.created_us + client_request.cls.deadline_us)
        self.sessions[node.number, session.id] = session
        self.deliver_event(node, api.Arrival(
            session.id, client_request.cls.name, session.deadline_us, client_request.key, resent=False))
        self.schedule(session.deadline_us + self.settings.answer_slack_us - self.now_us,
                      lambda: self._check_answered(session))

    def _check_answered(self, session: Session) -> None:
        if not session.answered and session.node.alive and session.incarnation == session.node.incarnation:
            self.violations.append(f"lost: {session.id} at {self.now_us}")
        self.sessions.pop((session.node.number, session.id), None)

    def _retry_later(self, client_request: ClientRequest, retry_after_us: int) -> None:
        wait_us = max(retry_after_us, self.streams["clients"].uniform(100 * MS, 600 * MS))
        if self.now_us + wait_us < client_request.created_us + client_request.cls.deadline_us - 100 * MS \
                and self.streams["clients"].random() < RETRY_PROBABILITY and client_request.call_count < 6:
            self.schedule(wait_us, lambda: self._call_node(client_request))

    def _answer(self, node: Node, request: str, outcome: str, retry_after_us: int) -> None:
        session = self.sessions[node.number, request]
        if session.answered:
            self.violations.append(f"answered twice: {request}")
        session.answered = True
        self.count(outcome)
        if outcome == "denied":
            if session.client_request.cls.idempotency is api.Idempotency.UNSAFE and any(session.may_have_run):
                self.violations.append(f"denied after it may have run: {request}")
            self.count("denied beside idle slots", self.idle_share() >= USABLE_IDLE_SHARE)
            self._retry_later(session.client_request, retry_after_us)

    # --- attempts --------------------------------------------------------------------------------------

    def _one_way_us(self, node: Node, worker: Worker) -> int:
        return SAME_ZONE_DELAY_US if node.zone == worker.zone else CROSS_ZONE_DELAY_US

    def _send(self, node: Node, action: api.Send) -> None:
        session, worker = self.sessions.get((node.number, action.request)), self.workers.get(action.worker)
        if session is None or worker is None:
            self.violations.append(f"sent after its time, or to a name never listed: {action}")
            return
        number, client_request, sent_us = len(session.attempts), session.client_request, self.now_us
        self._check_send(session, worker)
        self.count("sends")
        if node.zone != worker.zone:
            self.count("crossing")
            self.count("crossing beside room at home", self.idle_share(node.zone) >= USABLE_IDLE_SHARE)
        one_way_us = self._one_way_us(node, worker)
        attempt = Attempt(
            client_request.work_us, client_request.key,
            lambda: self.schedule_on_node(node, one_way_us, lambda: self.deliver_event(
                node, api.AttemptProgress(action.request, number))),
            lambda status: self.schedule_on_node(
                node, one_way_us, lambda: self._ended(session, number, status)), node.number)
        session.attempts.append((attempt, worker, sent_us))
        session.may_have_run.append(True)
        is_cut, connection = (node.zone, worker.zone) in self.partitioned, (worker.name, worker.boot_count)
        if is_cut or not worker.is_up or (
                not node.idle_connections[connection] and worker.open_connections >= MAX_CONNECTIONS):
            self.count("not connected")
            delay_us = 250 * MS if is_cut else 2 * one_way_us
            self.schedule(delay_us, lambda: attempt.on_end(api.Status.CONNECT_FAILED))
            return
        attempt.connected_boot = worker.boot_count
        if node.idle_connections[connection]:
            node.idle_connections[connection] -= 1
        else:
            self.count("new connections")
            worker.open_connections += 1
            attempt.work_us += HANDSHAKE_US // 2
            one_way_us += HANDSHAKE_US
        self.schedule(one_way_us, lambda: None if attempt.ended else worker.accept(attempt))

    def _ended(self, session: Session, number: int, status: api.Status) -> None:
        attempt, worker, sent_us = session.attempts[number]
        if attempt.end_reported:
            return
        attempt.end_reported = True
        session.may_have_run[number] = not status.never_ran
        if status in (api.Status.OK, api.Status.FULL, api.Status.ERROR) \
                and attempt.connected_boot == worker.boot_count:
            session.node.idle_connections[worker.name, worker.boot_count] += 1
        elif attempt.connected_boot == worker.boot_count:
            worker.open_connections -= 1
        self.count(status.name.lower())
        final = session.answered
        if status is api.Status.OK and not session.answered:
            session.answered = final = True
            self._served(session.client_request)
        report = worker.report() if status in (api.Status.OK, api.Status.FULL, api.Status.ERROR) else None
        self.deliver_event(session.node, api.AttemptEnded(
            session.id, number, worker.name, status, self.now_us - sent_us, final, report))

    def _cancel(self, session: Session, number: int) -> None:
        attempt, worker, _ = session.attempts[number]
        if not attempt.end_reported:
            self.schedule(self._one_way_us(session.node, worker), partial(self._stop, attempt, worker))
            self.schedule_on_node(session.node, 0, lambda: self._ended(session, number, api.Status.CANCELLED))

    @staticmethod
    def _stop(attempt: Attempt, worker: Worker) -> None:
        if attempt in worker.active:
            worker.cancel(attempt)
        attempt.ended = True

    def _abandon(self, attempt: Attempt, worker: Worker) -> None:
        """Ends an attempt whose node has stopped."""
        if attempt.connected_boot == worker.boot_count:
            worker.open_connections -= 1
        self._stop(attempt, worker)

    def _probe(self, node: Node, worker: Worker) -> None:
        self.count("probes")
        round_trip_us, sent_us = 2 * self._one_way_us(node, worker), self.now_us
        if (node.zone, worker.zone) in self.partitioned or not worker.is_up:
            self.schedule_on_node(node, 250 * MS, lambda: self.deliver_event(node, api.ProbeEnded(
                worker.name, api.Status.CONNECT_FAILED, self.now_us - sent_us)))
        else:
            self.schedule_on_node(node, round_trip_us, lambda: self.deliver_event(node, api.ProbeEnded(
                worker.name, api.Status.OK, round_trip_us, worker.report())))

    def _served(self, client_request: ClientRequest) -> None:
        if client_request.ended:
            self.count("served again")
            return
        client_request.ended = True
        elapsed_us = self.now_us - client_request.created_us
        late = elapsed_us > client_request.cls.aim_us + client_request.cls.stretch * client_request.work_us
        self.count("late" if late else "in time")
        value = client_request.work_us * client_request.cls.worth * (
            client_request.cls.late_share if late else 1.0)
        self.served_value[client_request.cls.name] += value  # type: ignore[assignment]

    # --- rules -----------------------------------------------------------------------------------------

    def _check_overload(self, worker: Worker, sends: list[tuple[int, int, int]]) -> None:
        """Checks rule 4: a cold worker must not be overloaded by nodes that know its start.

        It is broken if at least two thirds of the work came from such nodes.
        """
        def knew_start(number: int) -> bool:
            _, entry = self.nodes[number].known_entries.get(worker.name, (0, None))
            return entry is not None and entry.launched_us == worker.started_us

        work = sum(work for _, work, node in sends if knew_start(node))
        if 3 * work >= 2 * sum(work for _, work, _ in sends):
            self.violations.append(f"overloaded while cold: {worker.name} at {self.now_us}")

    def _check_send(self, session: Session, worker: Worker) -> None:
        """Checks rules 1 to 3 at each attempt, independently of the dispatcher's own checks."""
        known = session.node.known_entries.get(worker.name)
        if session.answered:
            self.violations.append(f"sent after its answer: {session.id}")
        if known is None:
            self.violations.append(f"sent to {worker.name}, which is not on the node's list")
        elif known[1].lifecycle is not api.Lifecycle.IN_SERVICE:
            since_us = self.now_us - known[0]
            self.latest_drain_us = max(self.latest_drain_us, since_us)
            if since_us > SECOND:
                self.violations.append(f"sent to {worker.name} {since_us} us after it was told to drain")
        outstanding = sum(not attempt.end_reported for attempt, _, _ in session.attempts)
        if outstanding > self.settings.second_copies:
            self.violations.append(f"{outstanding + 1} attempts at once: {session.id}")
        cls = session.client_request.cls
        for may_have_run, (_, _, sent_us) in zip(session.may_have_run, session.attempts, strict=True):
            if may_have_run and cls.idempotency is api.Idempotency.UNSAFE:
                self.violations.append(f"repeated though it may have run: {session.id}")
            if may_have_run and cls.idempotency is api.Idempotency.KEYED \
                    and self.now_us - sent_us >= cls.window_us:
                self.violations.append(f"repeated after its window: {session.id}")

    def figures(self) -> dict[str, float]:
        """Returns the totals over the day, and the served value as a share of the offered value."""
        total: Counter[str] = sum(self.buckets.values(), Counter())
        offered_value = sum(self.offered_value.values())
        return {
            **{name: round(float(value), 1) for name, value in sorted(total.items())},
            **dict(sorted(self.module_counters.items())),
            "served": round(sum(self.served_value.values()) / max(1.0, offered_value), 4),
            **{f"served {name}": round(self.served_value[name] / max(1, self.offered_value[name]), 4)
               for name in sorted(self.offered_value)},
            "cold peak": round(max(s.peak_budget_use for s in self.workers.values()), 3),
            "falls": sum(s.crash_count for s in self.workers.values()),
            "latest drain ms": self.latest_drain_us / 1000, "broken": len(self.violations),
        }


# By class: share of the arrivals, mean work.
REQUEST_MIX = {
    "full-search": (0.55, 250 * MS), "symbol-lookup": (0.32, 100 * MS), "commit-record": (0.13, 120 * MS)}
KEY_WEIGHTS = list(accumulate(1 / n**0.8 for n in range(1, 401)))  # cumulated; popular keys first
