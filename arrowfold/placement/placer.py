"""The placement owner of one service: takes demand, workers, answers and reports, and issues orders.

A new instance is created whenever the role is taken over; the orders of the previous owner are read from
the workers' reports. All calls are short and do no I/O. The caller sends an order only while the role's
lease is valid, and reports the outcome of every action.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from arrowfold.internal.messages import DemandReport, WorkerCorrection, WorkerRecord
from arrowfold.placement.catalogue import ModelCatalogue
from arrowfold.placement.ceiling import LoadRateLimiter
from arrowfold.placement.corrections import correction_of
from arrowfold.placement.demand import DemandEstimator, ModelClass
from arrowfold.placement.failure_reports import FailureReports
from arrowfold.placement.fleet import PlacementFleet
from arrowfold.placement.intents import LoadIntent
from arrowfold.placement.load_times import ADAPTER_LOAD_S, LoadTimes
from arrowfold.placement.load_trace import LoadTrace, LoadTraces
from arrowfold.placement.options import PlacementOptions
from arrowfold.placement.orders import (
    Action,
    Operation,
    Order,
    OrderAnswer,
    ReadReport,
    SendOrder,
    WorkerReport,
)
from arrowfold.placement.planner import PlacementPlanner, PlannedOrder
from arrowfold.placement.worker_state import OrderPhase, PendingOrder, WorkerState

REPORT_LAG_S = 0.2  # delay before a report is read: it shows a state some hundred milliseconds old
MAX_REPORT_LAG_S = 0.3  # a report read this long after the expected end of a load should show that end
REPORT_RETRY_S = 0.15
UNANSWERED_ORDER_REPORT_DELAY_S = 0.8  # by then an unanswered order has arrived or never will
BACKOFF_BASE_S = 0.25
MAX_BACKOFF_S = 2.0
MAX_WAKEUP_INTERVAL_S = 0.25
REPLACEMENT_LOAD_SHARE = 0.5  # a replacement load has to end within this share of `hold_s`


class ServicePlacer:
    """Places the models and adapters of one service on its workers according to demand.

    After the answer `FENCED`, `fenced` is True and no more actions are returned.
    """

    def __init__(
        self,
        catalogue: ModelCatalogue,
        load_limiter: LoadRateLimiter,
        options: PlacementOptions | None = None,
    ) -> None:
        options = options or PlacementOptions()
        self._room_options = options.rooms
        self._failure_options = options.failures
        self._failures = FailureReports(options.failures)
        self._catalogue = catalogue
        self._load_limiter = load_limiter
        self._demand = DemandEstimator(options.demand)
        self._fleet = PlacementFleet()
        self._times = LoadTimes()
        self._planner = PlacementPlanner(self._fleet, self._demand, self._times, options)
        self._traces = LoadTraces()
        self._records: dict[str, WorkerRecord] = {}
        self.fenced = False  # a worker has seen a higher fencing token: no more orders

    def apply_catalogue(self, catalogue: ModelCatalogue) -> None:
        """Applies a changed configuration."""
        self._catalogue = catalogue

    def apply_workers(self, records: Iterable[WorkerRecord], now_s: float) -> None:
        """Applies the list of all known workers; those of other services are ignored."""
        own = [record for record in records if record.service == self._catalogue.service]
        self._records = {record.instance: record for record in own}
        self._fleet.apply(own, now_s)
        self._failures.retain_only(self._records)
        self._update_failing_workers(now_s)

    def _update_failing_workers(self, now_s: float) -> None:
        """Updates which workers are failing, and whether their copies are ignored.

        Copies on a failing worker are ignored if a replacement load would end before the worker is retried.
        """
        longest_s = max((spec.load_time_s for spec in self._catalogue.models.values()), default=0.0)
        has_ignored_copies = longest_s <= REPLACEMENT_LOAD_SHARE * self._failure_options.hold_s
        for instance, worker in self._fleet.workers.items():
            worker.is_failing = self._failures.is_failing(instance, now_s)
            worker.has_ignored_copies = worker.is_failing and has_ignored_copies

    def apply_demand(self, report: DemandReport, now_s: float) -> None:
        """Applies the demand report of an edge node."""
        own = [demand for demand in report.classes if demand.service == self._catalogue.service]
        self._demand.add(own, now_s)
        if self._failure_options.shared:
            self._failures.record(report.sender.member, report.failing, now_s)

    def actions(self, now_s: float, may_order: bool = True) -> list[Action]:
        """Returns the orders to send and the reports to read now.

        The outcome of each must be passed to `order_answered` or `report_answered` later. With `may_order`
        False only reports are read.
        """
        if self.fenced:
            return []
        self._complete_due_orders(now_s)
        orders = self._orders(now_s) if may_order else []
        return orders + self._due_report_reads(now_s)

    def _orders(self, now_s: float) -> list[Action]:
        orders: list[Action] = []
        for planned in self._planner.plan(self._catalogue, now_s):
            if self._can_send(planned, now_s):
                orders.append(self._send(planned, now_s))
        return orders

    def corrections(self, now_s: float) -> tuple[WorkerCorrection, ...]:
        """Returns corrections of the workers' last heartbeats: ready models, loads in progress, failures."""
        found = []
        for instance, record in self._records.items():
            worker = self._fleet.workers.get(instance)
            if worker is None or worker.revision is None:
                continue
            correction = correction_of(record, worker, now_s)
            if correction is not None:
                found.append(correction)
        return tuple(found)

    def next_wakeup_s(self, now_s: float) -> float:
        """Returns the time by which `actions` has to be called again."""
        times = [now_s + MAX_WAKEUP_INTERVAL_S]
        for worker in self._fleet.workers.values():
            if worker.counts_as_holder:
                times.append(worker.report_due_s)
            if worker.pending is not None and not worker.pending.is_presumed_done:
                times.append(worker.pending.expected_done_s)
        return max(now_s, min(times))

    def order_answered(self, order: Order, answer: OrderAnswer, now_s: float) -> None:
        """Applies the outcome of an order."""
        worker = self._fleet.workers.get(order.instance)
        if answer is OrderAnswer.FENCED:
            self.fenced = True
        if worker is None or worker.pending is None or worker.pending.order != order:
            return
        if answer is OrderAnswer.ACCEPTED:
            self._handle_accepted(worker, worker.pending, now_s)
        elif answer is OrderAnswer.ALREADY:
            worker.apply_completed_order(now_s)
            worker.report_due_s = now_s + REPORT_LAG_S
        elif answer is OrderAnswer.UNANSWERED:
            worker.pending.phase = OrderPhase.UNANSWERED
            worker.report_due_s = now_s + UNANSWERED_ORDER_REPORT_DELAY_S
        else:
            self._handle_not_accepted(worker, answer, now_s)

    def report_answered(self, instance: str, report: WorkerReport | None, now_s: float) -> None:
        """Applies a report; None if it could not be read."""
        worker = self._fleet.workers.get(instance)
        if worker is None:
            return
        worker.is_reading_report = False
        if report is None:
            worker.failures += 1
            worker.report_due_s = now_s + min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2.0**worker.failures)
            return
        worker.failures = 0
        self._apply_report(worker, report, now_s)

    def _can_send(self, planned: PlannedOrder, now_s: float) -> bool:
        """Returns False if the order has to wait for the load rate limit or the weight store.

        This concerns loads of weights and the unloads that precede them, not adapters.
        """
        intent = self._planner.intents.get(planned.instance)
        if intent is None or intent.target.adapter:
            return True
        is_first_unload = planned.operation is Operation.UNLOAD and not intent.has_sent_unload
        if is_first_unload and not self._can_start_unload(planned.instance, intent, now_s):
            return False
        worker = self._fleet.workers[planned.instance]
        if (
            not is_first_unload
            and self._counts_against_limit(worker, intent.target.model)
            and not self._load_limiter.allows(now_s)
        ):
            return False
        if self._fleet.is_on_disk(worker, intent.target.model):
            return True
        return self._store_loads() < self._catalogue.parallel_loads

    def _can_start_unload(self, instance: str, intent: LoadIntent, now_s: float) -> bool:
        """Returns True if one more worker may be emptied for a load.

        A worker that unloads takes no other order until its running requests end, so the number is limited.
        While requests wait for models that are loaded nowhere, additional copies may use only a part of it.
        """
        intents = self._planner.intents
        emptying = intents.count_emptying(excluding=instance)
        max_emptying = max(
            self._room_options.least_rooms, len(self._fleet.workers) // self._room_options.workers_a_room
        )
        if not intent.urgent and intents.has_unstarted_urgent():
            max_emptying_for_copies = max(1, int(max_emptying * self._room_options.copies_share))
            if intents.count_emptying_for_copies(excluding=instance) >= max_emptying_for_copies:
                return False
        if emptying >= max_emptying:
            return False
        worker = self._fleet.workers[instance]
        return not self._counts_against_limit(worker, intent.target.model) or self._load_limiter.allows_soon(
            now_s, emptying
        )

    def _send(self, planned: PlannedOrder, now_s: float) -> SendOrder:
        worker = self._fleet.workers[planned.instance]
        target = planned.target
        revision = worker.revision if worker.revision is not None else 0
        order = Order(
            worker.instance, worker.address, planned.operation, target.model, target.adapter, revision
        )
        worker.pending = PendingOrder(order, now_s)
        if order.loads_weights:
            worker.pending.from_own_disk = self._fleet.is_on_disk(worker, target.model)
            worker.pending.is_rate_limited = self._counts_against_limit(worker, target.model)
            if worker.pending.is_rate_limited:
                self._load_limiter.consume(now_s)
            self._note_load(worker.instance, now_s)
        elif order.operation is Operation.UNLOAD:
            self._planner.intents.note_unload(worker.instance)
            if worker.instance in self._planner.intents:
                self._traces.note_unload_sent(worker.instance, now_s)
        return SendOrder(order)

    def _counts_against_limit(self, worker: WorkerState, model: str) -> bool:
        """Returns True if a load of this model may read from the weight store."""
        return not (self._room_options.own_disk_uncounted and self._fleet.is_confirmed(worker, model))

    def _note_load(self, instance: str, now_s: float) -> None:
        intent = self._planner.intents.get(instance)
        if intent is not None and intent.urgent:
            self._planner.reserve.note_urgent_load(now_s)

    def _handle_accepted(self, worker: WorkerState, pending: PendingOrder, now_s: float) -> None:
        order = pending.order
        worker.failures = 0
        worker.unconfirmed_load = None  # a worker takes one order at a time, so the previous load is done
        worker.revision = order.if_revision + 1
        self._note_unload_time(worker, in_time=True)
        intent = self._planner.intents.get(worker.instance)
        if order.operation is Operation.LOAD:
            self._planner.intents.drop(worker.instance)
        pending.phase = OrderPhase.RUNNING
        pending.accepted_s = now_s
        if order.loads_weights:
            self._expect_load(worker, pending, now_s)
        elif order.operation is Operation.LOAD:
            pending.expected_done_s = now_s + ADAPTER_LOAD_S
        elif order.adapter or self._is_idle(order.model, now_s):
            pending.expected_done_s = now_s + self._times.unload_s
        else:
            worker.report_due_s = now_s + REPORT_LAG_S
        if order.operation is Operation.LOAD and intent is not None:
            missed = self._demand.of_class(ModelClass(order.model, order.adapter))
            self._traces.note_accepted(pending, intent, missed.first_miss_s)

    def take_load_traces(self) -> list[LoadTrace]:
        """Returns traces of the loads that were accepted since the last call."""
        return self._traces.take()

    def _expect_load(self, worker: WorkerState, pending: PendingOrder, now_s: float) -> None:
        spec = self._catalogue.models.get(pending.order.model)
        if spec is None:
            worker.report_due_s = now_s + REPORT_LAG_S
            return
        expected_s = self._times.expected_s(
            spec, pending.from_own_disk, self._store_loads(), self._catalogue.parallel_loads
        )
        pending.expected_done_s = now_s + expected_s
        worker.report_due_s = now_s + expected_s + REPORT_LAG_S / 2

    def _handle_not_accepted(self, worker: WorkerState, answer: OrderAnswer, now_s: float) -> None:
        if worker.pending is not None and worker.pending.is_rate_limited:
            self._load_limiter.refund()
        worker.pending = None
        worker.unconfirmed_load = None
        worker.report_due_s = now_s + REPORT_LAG_S
        if answer is OrderAnswer.CONFLICT:
            self._note_unload_time(worker, in_time=False)
        elif answer is OrderAnswer.REFUSED:
            self._planner.intents.drop(worker.instance)
        if answer is OrderAnswer.MISDIRECTED:
            worker.is_unusable = True
        elif answer is OrderAnswer.UNSENT:
            worker.failures += 1
            worker.report_due_s = now_s + min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2.0**worker.failures)

    def _note_unload_time(self, worker: WorkerState, in_time: bool) -> None:
        """Updates the expected unload time: the next order shows whether the unload had ended in time."""
        if worker.has_unconfirmed_unload:
            worker.has_unconfirmed_unload = False
            self._times.record_unload(in_time)

    def _complete_due_orders(self, now_s: float) -> None:
        """Treats accepted orders as done at their expected end; reports later confirm or revert loads."""
        for worker in self._fleet.workers.values():
            pending = worker.pending
            if pending is None or pending.phase is not OrderPhase.RUNNING:
                continue
            if now_s < pending.expected_done_s:
                continue
            if not worker.needs_report:
                self._complete_order(worker, now_s)
            elif pending.order.loads_weights and self._room_options.trust_expected_end:
                self._complete_order(worker, now_s)
                worker.unconfirmed_load = pending
            elif pending.order.loads_weights:
                pending.is_presumed_done = True

    def _complete_order(self, worker: WorkerState, now_s: float) -> None:
        pending = worker.pending
        worker.has_unconfirmed_unload = pending is not None and pending.order.operation is Operation.UNLOAD
        worker.apply_completed_order(now_s)
        self._fleet.note_on_disk(worker)
        if pending is not None and pending.order.operation is Operation.LOAD:
            self._demand.clear_misses(ModelClass(pending.order.model, pending.order.adapter))

    def _apply_report(self, worker: WorkerState, report: WorkerReport, now_s: float) -> None:
        pending = worker.pending
        worker.report_due_s = math.inf
        if worker.revision is not None and report.revision < worker.revision:
            worker.report_due_s = now_s + REPORT_RETRY_S  # older than our last order
            return
        worker.revision = report.revision
        if report.busy:
            worker.report_due_s = now_s + REPORT_RETRY_S
            self._withdraw_presumed_done(pending, now_s)
            self._revert_unconfirmed_load(worker, now_s)
            return
        if pending is not None and pending.phase is OrderPhase.SENT:
            worker.report_due_s = now_s + REPORT_RETRY_S  # its answer is still in flight
            return
        load = pending or worker.unconfirmed_load
        worker.apply_report(report, now_s)
        self._fleet.note_on_disk(worker)
        self._fleet.note_confirmed(worker)
        self._record_load_time(load, worker, now_s)

    def _withdraw_presumed_done(self, pending: PendingOrder | None, now_s: float) -> None:
        if pending is None or not pending.is_presumed_done:
            return
        if now_s - pending.expected_done_s > MAX_REPORT_LAG_S:
            pending.is_presumed_done = False
            pending.expected_done_s = now_s + REPORT_RETRY_S

    def _revert_unconfirmed_load(self, worker: WorkerState, now_s: float) -> None:
        """Makes a load pending again that was treated as done, if a recent enough report shows it running."""
        load = worker.unconfirmed_load
        if load is None or worker.pending is not None:
            return
        if now_s - load.expected_done_s > MAX_REPORT_LAG_S:
            worker.unconfirmed_load = None
            worker.holdings.pop(load.order.model, None)
            worker.pending = load
            load.expected_done_s = math.inf  # its end is known only from a report

    def _record_load_time(self, pending: PendingOrder | None, worker: WorkerState, now_s: float) -> None:
        if pending is None or not pending.order.loads_weights or pending.phase is not OrderPhase.RUNNING:
            return
        spec = self._catalogue.models.get(pending.order.model)
        if spec is not None and pending.order.model in worker.holdings:
            self._times.record_load(
                spec, pending.from_own_disk, now_s - pending.accepted_s - REPORT_LAG_S / 2
            )
            self._demand.clear_misses(ModelClass(pending.order.model))

    def _due_report_reads(self, now_s: float) -> list[Action]:
        reads: list[Action] = []
        for worker in self._fleet.workers.values():
            if worker.is_reading_report or worker.report_due_s > now_s or not worker.counts_as_holder:
                continue
            worker.is_reading_report = True
            worker.report_due_s = math.inf
            reads.append(ReadReport(worker.instance, worker.address))
        return reads

    def _store_loads(self) -> int:
        return sum(
            1
            for worker in self._fleet.workers.values()
            if worker.pending is not None
            and worker.pending.order.loads_weights
            and not worker.pending.from_own_disk
        )

    def _is_idle(self, model: str, now_s: float) -> bool:
        return self._demand.model(model).workload(now_s) < self._room_options.idle_workload
