"""In-memory simulation of a service for placement tests: workers, weight store, demand, virtual clock."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from arrowfold.internal.messages import (
    ClassDemand,
    DemandReport,
    HeldModel,
    NodeIdentity,
    WorkerRecord,
)
from arrowfold.placement.catalogue import ModelCatalogue, ModelSpec
from arrowfold.placement.ceiling import LoadRateLimiter
from arrowfold.placement.options import PlacementOptions
from arrowfold.placement.orders import (
    Operation,
    Order,
    OrderAnswer,
    ReadReport,
    SendOrder,
    WorkerReport,
)
from arrowfold.placement.placer import ServicePlacer

SERVICE = "pool"
WINDOW_S = 5.0
OVERAGE = 1.1
REPORT_LAG_S = 0.1
DELAY_S = 0.001
OWN_DISK_LOAD_RATIO = 0.5


def catalogue(
    models: int = 12, *, load_time_s: float = 0.6, load_rate_per_s: float = 4.2, adapters: int = 20
) -> ModelCatalogue:
    """Returns a catalogue of models m0, m1, ... of 70 GB; a worker can hold three, and eight adapters."""
    specs = [ModelSpec(f"m{index}", 70_000.0, load_time_s, adapters, 60.0) for index in range(models)]
    return ModelCatalogue(SERVICE, {spec.name: spec for spec in specs}, 220_000.0, 8, load_rate_per_s)


@dataclass
class SimulatedWorker:
    """A worker that follows the protocol; `was_overfilled` is True after an order beyond its capacity."""

    instance: str
    address: str
    zone: str
    catalogue: ModelCatalogue
    models: dict[str, set[str]] = field(default_factory=dict)
    on_disk: set[str] = field(default_factory=set)
    state: str = "available"
    revision: int = 0
    busy_until_s: float = 0.0
    fence: int = 0
    was_overfilled: bool = False
    running_until_s: dict[str, float] = field(default_factory=dict)
    history: list[tuple[float, WorkerReport]] = field(default_factory=list)
    arriving: tuple[str, str] | None = None
    leaving: tuple[str, str] | None = None
    call_sequence: int = 0
    actual_instance: str = ""  # the instance that has this address now, if it is another one
    orders: list[tuple[float, str, str, str, int]] = field(default_factory=list)

    def record(self) -> WorkerRecord:
        """Returns its next heartbeat."""
        self.call_sequence += 1
        return WorkerRecord(
            self.instance,
            SERVICE,
            self.address,
            self.zone,
            "v1",
            64,
            self.state,
            self._held(),
            self.call_sequence,
        )

    def order(self, order: Order, token: int, now_s: float, load_s: Callable[[bool], float]) -> OrderAnswer:
        """Accepts an order, or returns the reason for a refusal."""
        self.finish_due_order(now_s)
        if order.instance != (self.actual_instance or self.instance):
            return OrderAnswer.MISDIRECTED
        if token < self.fence:
            return OrderAnswer.FENCED
        self.fence = token
        if self.busy_until_s > now_s or order.if_revision != self.revision:
            return OrderAnswer.CONFLICT
        held = order.model in self.models and (not order.adapter or order.adapter in self.models[order.model])
        if held == (order.operation is Operation.LOAD):
            return OrderAnswer.ALREADY
        self.revision += 1
        self.orders.append((now_s, order.operation.value, order.model, order.adapter, token))
        self._begin(order, now_s, load_s)
        self._record_history(now_s)
        return OrderAnswer.ACCEPTED

    def accept_foreign_order(self, now_s: float) -> None:
        """Accepts an order of another owner that leaves the holdings unchanged."""
        self._record_history(now_s)
        self.revision += 1
        self._record_history(now_s)

    def _begin(self, order: Order, now_s: float, load_s: Callable[[bool], float]) -> None:
        if order.operation is Operation.UNLOAD:
            self.leaving = (order.model, order.adapter)
            self.busy_until_s = max(now_s, self.running_until_s.get(order.model, 0.0))
            self.finish_due_order(now_s)
            return
        self.arriving = (order.model, order.adapter)
        adapters = sum(len(held) for held in self.models.values()) + (1 if order.adapter else 0)
        weights = 70_000.0 * (len(self.models) + (0 if order.adapter else 1)) + 60.0 * adapters
        if weights > self.catalogue.weights_mb or adapters > self.catalogue.adapter_capacity:
            self.was_overfilled = True
        took_s = 0.01 if order.adapter else load_s(order.model in self.on_disk)
        self.busy_until_s = now_s + took_s

    def finish_due_order(self, now_s: float) -> None:
        """Completes the order in progress if its end has passed."""
        if self.busy_until_s > now_s:
            return
        if self.arriving is not None:
            model, adapter = self.arriving
            held = self.models.setdefault(model, set())
            if adapter:
                held.add(adapter)
            self.on_disk.add(model)
        if self.leaving is not None:
            model, adapter = self.leaving
            if adapter:
                self.models.get(model, set()).discard(adapter)
            else:
                self.models.pop(model, None)
        self.arriving = self.leaving = None

    def report(self, now_s: float) -> WorkerReport:
        """Returns its state `REPORT_LAG_S` ago."""
        self._record_history(now_s)
        past = [seen for at_s, seen in self.history if at_s <= now_s - REPORT_LAG_S + 1e-9]
        return past[-1] if past else self.history[0][1]

    def _record_history(self, now_s: float) -> None:
        self.finish_due_order(now_s)
        busy = self.busy_until_s > now_s
        self.history.append((now_s, WorkerReport(self._held(), busy, self.revision)))

    def _held(self) -> tuple[HeldModel, ...]:
        return tuple(
            HeldModel(name, 1, tuple(sorted(adapters))) for name, adapters in sorted(self.models.items())
        )


class PlacementSimulation:
    """Workers, one placement owner at a time, and demand, under a virtual clock."""

    def __init__(
        self,
        models: ModelCatalogue,
        workers: int = 3,
        options: PlacementOptions | None = None,
        load_time_factor: float = 1.0,
    ) -> None:
        """`load_time_factor`: ratio of actual to configured load times."""
        self.options = options or PlacementOptions()
        self.load_time_factor = load_time_factor
        self.now_s = 100.0
        self.models = models
        self.workers: dict[str, SimulatedWorker] = {}
        self.store_loads: list[float] = []  # start times of loads from the store
        self.all_loads: list[float] = []
        self.order_counts: dict[str, int] = {}
        self.answers: list[tuple[Order, OrderAnswer]] = []
        self.lost_answers: set[str] = set()  # instances whose answers to orders are dropped
        self.unreachable: set[str] = set()
        self.max_orders_in_flight = 0  # orders of one owner to one worker without an answer
        self._orders_in_flight: dict[str, int] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.token = 0
        self.placer: ServicePlacer | None = None
        self._next_step_s = 0.0
        for index in range(workers):
            self.add_worker(f"w{index}")
        self.take_over()

    def add_worker(self, instance: str, *models: str, address: str = "", zone: str = "") -> SimulatedWorker:
        """Adds a worker that holds the given models."""
        worker = SimulatedWorker(
            instance, address or f"{instance}:80", zone or f"z{len(self.workers) % 3}", self.models
        )
        worker.models = {model: set() for model in models}
        worker.on_disk = set(models)
        self.workers[instance] = worker
        return worker

    def set_holdings(self, instance: str, *models: str) -> None:
        """Sets the models that a worker holds from its start."""
        self.workers[instance].models = {model: set() for model in models}
        self.workers[instance].on_disk = set(models)

    def take_over(self) -> None:
        """Makes another node the owner, with a higher fencing token."""
        self.token += 1
        self._orders_in_flight.clear()
        load_limiter = LoadRateLimiter(self.models.load_rate_per_s, WINDOW_S, OVERAGE, self.now_s)
        self.placer = ServicePlacer(self.models, load_limiter, self.options)

    def report_requests(
        self, model: str, adapter: str = "", requests: float = 1.0, took_s: float = 0.5, missing: bool = False
    ) -> None:
        """Reports requests of an edge node; with `missing` they found no holder."""
        missed = requests if missing else 0.0
        self._report(ClassDemand(SERVICE, model, adapter, requests, requests * took_s, missed))

    def report_waiting(self, model: str) -> None:
        """Reports again that a request which was reported before waits for this model."""
        self._report(ClassDemand(SERVICE, model, "", 0.0, 0.0, 1.0))

    def _report(self, seen: ClassDemand) -> None:
        assert self.placer is not None
        edge = NodeIdentity("edge", "e", "z0", "e:1")
        self.placer.apply_demand(DemandReport(edge, 0.5, (seen,)), self.now_s)

    def report_failing(self, edge: str, *instances: str) -> None:
        """Reports that requests of an edge node failed at these workers."""
        assert self.placer is not None
        report = DemandReport(NodeIdentity(edge, edge, "z0", f"{edge}:1"), 0.5, (), instances)
        self.placer.apply_demand(report, self.now_s)

    def request_class(self, model: str, adapter: str = "", requests: float = 1.0) -> bool:
        """Reports a request for a class, as missing if no worker holds it. Returns True if one does."""
        ready = any(
            worker.state == "available" and self._ready(worker, model, adapter)
            for worker in self.workers.values()
        )
        self.report_requests(model, adapter, requests, missing=not ready)
        return ready

    def run(
        self, duration_s: float, each_step: Callable[[], None] | None = None, step_s: float = 0.05
    ) -> None:
        """Advances the clock; `each_step` is called every `step_s`."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            if each_step is not None:
                each_step()
            stop_s = min(end_s, self.now_s + step_s)
            while self.now_s < stop_s:
                self._process()
                self.now_s = min(stop_s, self.now_s + 0.01)

    def holders_of(self, model: str) -> list[str]:
        """Returns the instances that hold the model."""
        for worker in self.workers.values():
            worker.finish_due_order(self.now_s)
        return [name for name, worker in self.workers.items() if model in worker.models]

    def models_of(self, instance: str) -> dict[str, set[str]]:
        """Returns the models of this worker with their adapters."""
        self.workers[instance].finish_due_order(self.now_s)
        return self.workers[instance].models

    def max_loads_in_window(self) -> int:
        """Returns the maximum number of loads from the store that started within one window."""
        return max(
            (
                sum(1 for other in self.store_loads if at_s <= other < at_s + WINDOW_S)
                for at_s in self.store_loads
            ),
            default=0,
        )

    def no_worker_overfilled(self) -> bool:
        """Returns True if no order exceeded the capacity of its worker."""
        return not any(worker.was_overfilled for worker in self.workers.values())

    def _ready(self, worker: SimulatedWorker, model: str, adapter: str) -> bool:
        worker.finish_due_order(self.now_s)
        held = worker.models.get(model)
        leaving = worker.leaving is not None and worker.leaving[0] == model
        return held is not None and not leaving and (not adapter or adapter in held)

    def _process(self) -> None:
        while self._events and self._events[0][0] <= self.now_s:
            heapq.heappop(self._events)[2]()
        placer = self.placer
        assert placer is not None
        placer.apply_workers([worker.record() for worker in self.workers.values()], self.now_s)
        for action in placer.actions(self.now_s):
            if isinstance(action, SendOrder):
                under_way = self._orders_in_flight.get(action.order.instance, 0) + 1
                self._orders_in_flight[action.order.instance] = under_way
                self.max_orders_in_flight = max(self.max_orders_in_flight, under_way)
                self._schedule(DELAY_S, self._deliver_order(placer, action.order, self.token))
            else:
                self._schedule(DELAY_S, self._deliver_report(placer, action))

    def _schedule(self, delay_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._numbers), call))

    def _deliver_order(self, placer: ServicePlacer, order: Order, token: int) -> Callable[[], None]:
        def deliver() -> None:
            worker = self.workers.get(order.instance)
            if worker is None or order.instance in self.unreachable:
                self._schedule(0.5, lambda: self._answer(placer, order, OrderAnswer.UNSENT))
                return
            self.order_counts[order.instance] = self.order_counts.get(order.instance, 0) + 1
            answer = worker.order(order, token, self.now_s, self._load_time)
            self.answers.append((order, answer))
            if order.instance in self.lost_answers:
                self._schedule(1.0, lambda: self._answer(placer, order, OrderAnswer.UNANSWERED))
            else:
                self._schedule(DELAY_S, lambda: self._answer(placer, order, answer))

        return deliver

    def _answer(self, placer: ServicePlacer, order: Order, answer: OrderAnswer) -> None:
        if placer is self.placer:
            self._orders_in_flight[order.instance] = self._orders_in_flight.get(order.instance, 1) - 1
        placer.order_answered(order, answer, self.now_s)

    def _deliver_report(self, placer: ServicePlacer, action: ReadReport) -> Callable[[], None]:
        def deliver() -> None:
            worker = self.workers.get(action.instance)
            if worker is None or action.instance in self.unreachable:
                self._schedule(1.0, lambda: placer.report_answered(action.instance, None, self.now_s))
                return
            report = worker.report(self.now_s)
            self._schedule(DELAY_S, lambda: placer.report_answered(action.instance, report, self.now_s))

        return deliver

    def _load_time(self, on_disk: bool) -> float:
        self.all_loads.append(self.now_s)
        load_s = self.load_time_factor * max(spec.load_time_s for spec in self.models.models.values())
        if on_disk:
            return load_s * OWN_DISK_LOAD_RATIO
        self.store_loads.append(self.now_s)
        return load_s
