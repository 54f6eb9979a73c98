"""The owner of one service's placement: takes demand, workers, answers and reports; gives orders.

Made anew whenever the role is taken over; what the predecessor ordered is read from the workers'
reports. All calls are short and do no I/O. The caller sends an order only while the role's lease is
valid, and answers every action.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from arrowfold.internal.messages import DemandReport, WorkerCorrection, WorkerRecord
from arrowfold.placement.catalogue import ModelCatalogue
from arrowfold.placement.ceiling import LoadCeiling
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

REPORT_LAG_S = 0.2  # a report shows a state that is some hundred milliseconds old
LONGEST_REPORT_LAG_S = 0.3  # a report that is read so long after an expected end should show it
REPORT_AGAIN_S = 0.15
UNANSWERED_REPORT_S = 0.8  # by then an order without an answer has arrived or never will
FAILURE_PAUSE_S = 0.25
LONGEST_PAUSE_S = 2.0
IDLE_WAKEUP_S = 0.25
REPLACED_SHARE = 0.5  # of the time for which a failing worker is avoided: a load has to end within it


class ServicePlacer:
    """Keeps the models and adapters of one service where demand asks for them."""

    def __init__(
        self, catalogue: ModelCatalogue, ceiling: LoadCeiling, options: PlacementOptions | None = None
    ) -> None:
        options = options or PlacementOptions()
        self._options = options.rooms
        self._failure_options = options.failures
        self._failures = FailureReports(options.failures)
        self._catalogue = catalogue
        self._ceiling = ceiling
        self._demand = DemandEstimator(options.demand)
        self._fleet = PlacementFleet()
        self._planner = PlacementPlanner(self._fleet, self._demand, options)
        self._times = LoadTimes()
        self._traces = LoadTraces()
        self._records: dict[str, WorkerRecord] = {}
        self.fenced = False  # a worker has seen a higher token: no more orders

    def apply_catalogue(self, catalogue: ModelCatalogue) -> None:
        """Take a changed configuration."""
        self._catalogue = catalogue

    def apply_workers(self, records: Iterable[WorkerRecord], now_s: float) -> None:
        """Take the known workers; those of other services are left out."""
        own = [record for record in records if record.service == self._catalogue.service]
        self._records = {record.instance: record for record in own}
        self._fleet.apply(own, now_s)
        self._failures.forget_all_but(self._records)
        self._review_troubled(now_s)

    def _review_troubled(self, now_s: float) -> None:
        """What a failing worker holds counts as no copy, where a load would end before it is tried again."""
        longest_s = max((spec.load_time_s for spec in self._catalogue.models.values()), default=0.0)
        is_replaced = longest_s <= REPLACED_SHARE * self._failure_options.hold_s
        for instance, worker in self._fleet.workers.items():
            worker.is_troubled = self._failures.is_troubled(instance, now_s)
            worker.is_replaced = worker.is_troubled and is_replaced

    def apply_demand(self, report: DemandReport, now_s: float) -> None:
        """Take what an edge saw."""
        own = [seen for seen in report.classes if seen.service == self._catalogue.service]
        self._demand.add(own, now_s)
        if self._failure_options.shared:
            self._failures.note(report.sender.member, report.failing, now_s)

    def actions(self, now_s: float, may_order: bool = True) -> list[Action]:
        """What to send now; every order and report given here is answered by a later call."""
        if self.fenced:
            return []
        self._finish_short_orders(now_s)
        orders = self._orders(now_s) if may_order else []
        return orders + self._reports(now_s)

    def _orders(self, now_s: float) -> list[Action]:
        orders: list[Action] = []
        for planned in self._planner.plan(self._catalogue, now_s):
            if self._may_send(planned, now_s):
                orders.append(self._send(planned, now_s))
        return orders

    def corrections(self, now_s: float) -> tuple[WorkerCorrection, ...]:
        """What the last heartbeats don't tell: what stands ready, leaves and arrives."""
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
        """When `actions` should be asked again at the latest."""
        times = [now_s + IDLE_WAKEUP_S]
        for worker in self._fleet.workers.values():
            if worker.serves:
                times.append(worker.report_due_s)
            if worker.pending is not None and not worker.pending.presumed_done:
                times.append(worker.pending.expected_done_s)
        return max(now_s, min(times))

    def order_answered(self, order: Order, answer: OrderAnswer, now_s: float) -> None:
        """Take the outcome of an order."""
        worker = self._fleet.workers.get(order.instance)
        if answer is OrderAnswer.FENCED:
            self.fenced = True
        if worker is None or worker.pending is None or worker.pending.order != order:
            return
        if answer is OrderAnswer.ACCEPTED:
            self._accepted(worker, worker.pending, now_s)
        elif answer is OrderAnswer.ALREADY:
            worker.apply_done(now_s)
            worker.report_due_s = now_s + REPORT_LAG_S
        elif answer is OrderAnswer.UNANSWERED:
            worker.pending.phase = OrderPhase.UNANSWERED
            worker.report_due_s = now_s + UNANSWERED_REPORT_S
        else:
            self._not_taken(worker, answer, now_s)

    def report_answered(self, instance: str, report: WorkerReport | None, now_s: float) -> None:
        """Take a report; None if it could not be read."""
        worker = self._fleet.workers.get(instance)
        if worker is None:
            return
        worker.report_under_way = False
        if report is None:
            worker.failures += 1
            worker.report_due_s = now_s + min(LONGEST_PAUSE_S, FAILURE_PAUSE_S * 2.0**worker.failures)
            return
        worker.failures = 0
        self._apply_report(worker, report, now_s)

    def _may_send(self, planned: PlannedOrder, now_s: float) -> bool:
        """Loads of weights, and the unloads that make room for them, wait for the ceiling and the store."""
        intent = self._planner.intents.get(planned.instance)
        if intent is None or intent.target.adapter:
            return True
        makes_room = planned.operation is Operation.UNLOAD and not intent.begun
        if makes_room and not self._may_make_room(planned.instance, intent, now_s):
            return False
        worker = self._fleet.workers[planned.instance]
        if not makes_room and self._counts(worker, intent.target.model) and not self._ceiling.allows(now_s):
            return False
        if self._fleet.is_on_disk(worker, intent.target.model):
            return True
        return self._store_loads() < self._catalogue.parallel_loads

    def _may_make_room(self, instance: str, intent: LoadIntent, now_s: float) -> bool:
        """Whether one more worker may be emptied for a load: it takes no other order until its runs end.

        While requests wait for models that stand nowhere, further copies get a part of these rooms only.
        """
        intents = self._planner.intents
        begun = intents.begun(beside=instance)
        most = max(self._options.least_rooms, len(self._fleet.workers) // self._options.workers_a_room)
        if not intent.urgent and intents.has_waiting_urgent():
            most_copies = max(1, int(most * self._options.copies_share))
            if intents.begun_copies(beside=instance) >= most_copies:
                return False
        if begun >= most:
            return False
        worker = self._fleet.workers[instance]
        return not self._counts(worker, intent.target.model) or self._ceiling.allows_soon(now_s, begun)

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
            worker.pending.counted = self._counts(worker, target.model)
            if worker.pending.counted:
                self._ceiling.sent(now_s)
            self._note_load(worker.instance, now_s)
        elif order.operation is Operation.UNLOAD:
            self._planner.intents.note_unload(worker.instance)
            if worker.instance in self._planner.intents:
                self._traces.room_begun(worker.instance, now_s)
        return SendOrder(order)

    def _counts(self, worker: WorkerState, model: str) -> bool:
        """Whether a load of this model may be one of the weight store's."""
        return not (self._options.own_disk_uncounted and self._fleet.has_held(worker, model))

    def _note_load(self, instance: str, now_s: float) -> None:
        intent = self._planner.intents.get(instance)
        if intent is not None and intent.urgent:
            self._planner.reserve.note_urgent_load(now_s)

    def _accepted(self, worker: WorkerState, pending: PendingOrder, now_s: float) -> None:
        order = pending.order
        worker.failures = 0
        worker.confirming = None  # it takes one order at a time: what went before is done
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
            self._traces.accepted(pending, intent, missed.missed_since_s)

    def take_load_traces(self) -> list[LoadTrace]:
        """The loads that were accepted since the last call, step by step."""
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

    def _not_taken(self, worker: WorkerState, answer: OrderAnswer, now_s: float) -> None:
        if worker.pending is not None and worker.pending.counted:
            self._ceiling.not_taken()
        worker.pending = None
        worker.confirming = None
        worker.report_due_s = now_s + REPORT_LAG_S
        if answer is OrderAnswer.CONFLICT:
            self._note_unload_time(worker, in_time=False)
        elif answer is OrderAnswer.REFUSED:
            self._planner.intents.drop(worker.instance)
        if answer is OrderAnswer.MISDIRECTED:
            worker.unusable = True
        elif answer is OrderAnswer.UNSENT:
            worker.failures += 1
            worker.report_due_s = now_s + min(LONGEST_PAUSE_S, FAILURE_PAUSE_S * 2.0**worker.failures)

    def _note_unload_time(self, worker: WorkerState, in_time: bool) -> None:
        """An order after an unload that was taken to be done tells whether it was."""
        if worker.unload_unproven:
            worker.unload_unproven = False
            self._times.unload_seen(in_time)

    def _finish_short_orders(self, now_s: float) -> None:
        """Orders count as done after their time; loads of weights until a report tells otherwise."""
        for worker in self._fleet.workers.values():
            pending = worker.pending
            if pending is None or pending.phase is not OrderPhase.RUNNING:
                continue
            if now_s < pending.expected_done_s:
                continue
            if not worker.report_wanted:
                self._done(worker, now_s)
            elif pending.order.loads_weights and self._options.trust_expected_end:
                self._done(worker, now_s)
                worker.confirming = pending
            elif pending.order.loads_weights:
                pending.presumed_done = True

    def _done(self, worker: WorkerState, now_s: float) -> None:
        pending = worker.pending
        worker.unload_unproven = pending is not None and pending.order.operation is Operation.UNLOAD
        worker.apply_done(now_s)
        self._fleet.remember(worker)
        if pending is not None and pending.order.operation is Operation.LOAD:
            self._demand.served(ModelClass(pending.order.model, pending.order.adapter))

    def _apply_report(self, worker: WorkerState, report: WorkerReport, now_s: float) -> None:
        pending = worker.pending
        worker.report_due_s = math.inf
        if worker.revision is not None and report.revision < worker.revision:
            worker.report_due_s = now_s + REPORT_AGAIN_S  # older than our last order
            return
        worker.revision = report.revision
        if report.busy:
            worker.report_due_s = now_s + REPORT_AGAIN_S
            self._not_done_yet(pending, now_s)
            self._take_back(worker, now_s)
            return
        if pending is not None and pending.phase is OrderPhase.SENT:
            worker.report_due_s = now_s + REPORT_AGAIN_S  # its answer is still on the way
            return
        load = pending or worker.confirming
        worker.apply_report(report, now_s)
        self._fleet.remember(worker)
        self._fleet.confirm(worker)
        self._measure(load, worker, now_s)

    def _not_done_yet(self, pending: PendingOrder | None, now_s: float) -> None:
        if pending is None or not pending.presumed_done:
            return
        if now_s - pending.expected_done_s > LONGEST_REPORT_LAG_S:
            pending.presumed_done = False
            pending.expected_done_s = now_s + REPORT_AGAIN_S

    def _take_back(self, worker: WorkerState, now_s: float) -> None:
        """A load that was taken to be done still runs, by a report that is young enough to tell."""
        load = worker.confirming
        if load is None or worker.pending is not None:
            return
        if now_s - load.expected_done_s > LONGEST_REPORT_LAG_S:
            worker.confirming = None
            worker.holdings.pop(load.order.model, None)
            worker.pending = load
            load.expected_done_s = math.inf  # only a report tells now

    def _measure(self, pending: PendingOrder | None, worker: WorkerState, now_s: float) -> None:
        if pending is None or not pending.order.loads_weights or pending.phase is not OrderPhase.RUNNING:
            return
        spec = self._catalogue.models.get(pending.order.model)
        if spec is not None and pending.order.model in worker.holdings:
            self._times.measured(spec, pending.from_own_disk, now_s - pending.accepted_s - REPORT_LAG_S / 2)
            self._demand.served(ModelClass(pending.order.model))

    def _reports(self, now_s: float) -> list[Action]:
        reads: list[Action] = []
        for worker in self._fleet.workers.values():
            if worker.report_under_way or worker.report_due_s > now_s or not worker.serves:
                continue
            worker.report_under_way = True
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
        return self._demand.model(model).workload(now_s) < self._options.idle_workload
