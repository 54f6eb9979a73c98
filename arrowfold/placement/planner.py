"""Planner of model and adapter loads: chooses the next load, its worker and the models evicted for it."""

from __future__ import annotations

import math
from dataclasses import dataclass

from arrowfold.placement.catalogue import ModelCatalogue
from arrowfold.placement.demand import DemandEstimator, ModelClass
from arrowfold.placement.eviction import PlanningContext
from arrowfold.placement.fleet import PlacementFleet
from arrowfold.placement.intents import LoadIntent, LoadIntents
from arrowfold.placement.load_times import LoadTimes
from arrowfold.placement.options import PlacementOptions
from arrowfold.placement.orders import Operation
from arrowfold.placement.room_reserve import HeadroomReserve
from arrowfold.placement.valuation import CopyValuation
from arrowfold.placement.worker_state import WorkerState


@dataclass(frozen=True, slots=True)
class PlannedOrder:
    """The next order for one worker: a load, or an unload that has to precede it."""

    instance: str
    operation: Operation
    target: ModelClass


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A worker that could take a load.

    `loss` is the value lost by the evictions that the load requires, `placement_cost` the cost of choosing
    this worker rather than another one. Both are values per second.
    """

    loss: float
    placement_cost: float
    instance: str


class PlacementPlanner:
    """Plans at most one order at a time for each worker and keeps the load intent of each worker."""

    def __init__(
        self, fleet: PlacementFleet, demand: DemandEstimator, times: LoadTimes, options: PlacementOptions
    ) -> None:
        self._all_options = options
        self._options = options.planner
        # A copy has to gain as much as one request that need not wait for a load, in value per second.
        # A model that nobody waits for is loaded only if its next request is expected soon.
        self._min_copy_gain = options.valuation.miss_cost / self._options.payback_s
        self._min_first_copy_gain = options.valuation.miss_cost / options.demand.slow_s
        self._fleet = fleet
        self._demand = demand
        self._index = fleet.index()  # at the time of the current planning pass
        self.intents = LoadIntents()
        self.reserve = HeadroomReserve(fleet, self.intents, options.rooms, times)
        self._last_copy_planning_s = -math.inf  # when additional copies were last planned

    def plan(self, catalogue: ModelCatalogue, now_s: float) -> list[PlannedOrder]:
        """Returns the orders to send now, the most urgent first.

        Order of planning: missed adapters, additional copies with a pressing gain, missed models, then the
        remaining copies of models and adapters.
        """
        self._index = self._fleet.index()
        values = CopyValuation(self._fleet, self._demand, self._all_options.valuation, now_s)
        context = PlanningContext(catalogue, self._demand, values, self._all_options.eviction, now_s)
        additional: dict[str, float] = {}  # gain of an additional copy, by model
        first: dict[str, float] = {}  # gain of the first copy, by model
        is_planning_copies = now_s - self._last_copy_planning_s >= self._options.spread_interval_s
        self._drop_intents(context, is_planning_copies)
        missed = self._missed_targets(context)
        self._plan_missed(context, [target for target in missed if target.adapter])
        if is_planning_copies:
            self._last_copy_planning_s = now_s
            gains = self._gains(context)
            loaded = {model: gains[model] for model in gains if context.values.copies(model) > 0}
            first = {
                model: gain
                for model, gain in gains.items()
                if model not in loaded and gain >= self._min_first_copy_gain
            }
            additional = loaded if self._options.further_copies else {}
            if self._options.pressing_copies:
                self._plan_model_copies(context, additional, self._options.pressing_gain)
        self._plan_missed(context, [target for target in missed if not target.adapter])
        if is_planning_copies:
            if self._options.copies_wait and self._has_unplanned_miss(missed):
                additional = {}
            self._plan_model_copies(context, {**first, **additional}, self._min_copy_gain)
            if self._options.adapter_copies:
                self._plan_adapter_copies(context)
        steps = [self._next_step(context, instance) for instance in self.intents.instances_by_urgency()]
        ahead = self._reserve_unload(context)
        return [step for step in [*steps, ahead] if step is not None]

    def _reserve_unload(self, context: PlanningContext) -> PlannedOrder | None:
        """Returns an unload that keeps memory headroom for loads which are not planned yet."""
        found = self.reserve.next_unload(context)
        if found is None:
            return None
        instance, victim = found
        return PlannedOrder(instance, Operation.UNLOAD, victim.target)

    def _drop_intents(self, context: PlanningContext, is_planning_copies: bool) -> None:
        for instance, intent in self.intents:
            if self._is_outdated(context, instance, intent, is_planning_copies):
                self.intents.drop(instance)

    def _is_outdated(
        self, context: PlanningContext, instance: str, intent: LoadIntent, is_planning_copies: bool
    ) -> bool:
        worker = self._fleet.workers.get(instance)
        target = intent.target
        if worker is None or not worker.counts_as_holder or worker.holds(target.model, target.adapter):
            return True
        if not context.catalogue.has_class(target.model, target.adapter):
            return True
        if target.adapter and not worker.holds(target.model):
            return True
        if (
            not intent.has_sent_unload
            and worker.pending is None
            and (is_planning_copies or not intent.pressing)
        ):
            return True  # no order was sent for it: the decision is made again
        return context.now_s - intent.planned_s > self._options.intent_valid_s

    def _is_planned_or_loading(self, target: ModelClass) -> bool:
        return self._index.is_loading(target) or self.intents.includes(target)

    def _missed_targets(self, context: PlanningContext) -> list[ModelClass]:
        """Returns what has to be loaded for requests whose class is loaded nowhere, in order of urgency."""
        missed = self._demand.missed_classes(context.now_s, self._miss_valid_s(context.catalogue))
        targets = (self._missed_target(context, key) for key in missed)
        return list(dict.fromkeys(target for target in targets if target is not None))

    def _plan_missed(self, context: PlanningContext, targets: list[ModelClass]) -> None:
        """Adds load intents for classes that requests are waiting for."""
        for target in targets:
            if not self._is_planned_or_loading(target):
                self._plan_load(context, target, urgent=True)

    def _has_unplanned_miss(self, targets: list[ModelClass]) -> bool:
        """Returns True if requests wait for a model that no worker is being prepared for."""
        return any(not target.adapter and not self._is_planned_or_loading(target) for target in targets)

    def _missed_target(self, context: PlanningContext, key: ModelClass) -> ModelClass | None:
        """Returns what has to be loaded for a missed class, or None if nothing has to be.

        An adapter whose model has no holder requires the model first.
        """
        if self._index.is_ready(key):
            self._demand.clear_misses(key)
            return None
        if not context.catalogue.has_class(key.model, key.adapter):
            return None
        return key if self._index.holders(key.model) else ModelClass(key.model)

    def _plan_model_copies(self, context: PlanningContext, gains: dict[str, float], min_gain: float) -> None:
        """Adds load intents for copies with the largest gains, within the capacity of the weight store.

        `gains` is the gain of one more copy of each model; a model for which no worker was found is removed.
        """
        remaining = max(
            self._options.least_spread, context.catalogue.parallel_loads - 1
        ) - self._count_copies_under_way(context)
        while remaining > 0 and gains:
            model = max(gains, key=lambda name: (gains[name], name))
            if gains[model] < min_gain:
                return
            if self._plan_load(context, ModelClass(model), urgent=False, gain=gains[model]):
                remaining -= 1
                gains[model] = self._gain(
                    context, model, self.intents.planned_copies(self._fleet.workers)[model]
                )
            else:
                del gains[model]

    def _gains(self, context: PlanningContext) -> dict[str, float]:
        """Returns the gain of one more copy for every model that has been requested."""
        planned = self.intents.planned_copies(self._fleet.workers)
        requested = self._demand.requested_models()
        return {
            model: self._gain(context, model, planned[model])
            for model in requested
            if context.catalogue.has_class(model)
        }

    def _gain(self, context: PlanningContext, model: str, planned: int) -> float:
        copies = context.values.copies(model) + planned
        return context.values.queue_relief(model, copies, self._index.holders(model))

    def _plan_adapter_copies(self, context: PlanningContext) -> None:
        """Adds load intents for adapters whose workload exceeds what their holders should carry."""
        for key in self._demand.requested_adapters():
            copies = context.values.adapter_copies(key)
            if copies == 0 or copies >= self._target_adapter_copies(context, key):
                continue
            if context.catalogue.has_class(key.model, key.adapter) and not self._is_planned_or_loading(key):
                self._plan_load(context, key, urgent=False)

    def _target_adapter_copies(self, context: PlanningContext, key: ModelClass) -> int:
        estimate = self._demand.of_class(key)
        target_copies = 1 + int(estimate.workload(context.now_s) / self._options.adapter_workload)
        if (
            target_copies == 1
            and estimate.retention_rate_per_s(context.now_s) >= self._options.spare_adapter_rate_s
        ):
            return 2
        return target_copies

    def _count_copies_under_way(self, context: PlanningContext) -> int:
        """Returns the number of workers that are being prepared for an additional copy or are loading one."""
        loading = [worker.loading_model() for worker in self._fleet.workers.values()]
        under_way = sum(1 for model in loading if model is not None and context.values.copies(model) > 1)
        return self.intents.count_additional_copies() + under_way

    def _plan_load(
        self, context: PlanningContext, target: ModelClass, urgent: bool, gain: float = 0.0
    ) -> bool:
        """Adds a load intent for the worker with the lowest cost.

        Returns False if no worker can take the load now or its gain does not cover the cost. `gain` is the
        value per second of the copy; urgent loads need no gain.
        """
        candidates = [
            candidate
            for worker in self._eligible_workers(target)
            if (candidate := self._candidate(context, worker, target, urgent)) is not None
        ]
        if not candidates:
            return False
        best = min(candidates, key=lambda item: (item.loss + item.placement_cost, item.instance))
        if target.adapter:
            is_worthwhile = urgent or best.loss <= 0.0
        else:
            added_queue_cost = (
                0.0
                if urgent
                else context.values.added_queue_cost(self._fleet.workers[best.instance], target.model)
            )
            is_worthwhile = (
                urgent
                or gain - added_queue_cost >= self._options.gain_ratio * best.loss + self._min_copy_gain
            )
        if is_worthwhile:
            pressing = gain >= self._options.pressing_gain
            self.intents.add(best.instance, LoadIntent(target, urgent, context.now_s, pressing=pressing))
        return is_worthwhile

    def _eligible_workers(self, target: ModelClass) -> list[WorkerState]:
        """Returns the workers that can take an order for the load: an adapter needs a holder of its model."""
        workers = self._index.holders(target.model) if target.adapter else self._fleet.workers.values()
        return [worker for worker in workers if worker.can_take_order and worker.instance not in self.intents]

    def _candidate(
        self, context: PlanningContext, worker: WorkerState, target: ModelClass, urgent: bool
    ) -> _Candidate | None:
        """Returns the cost of the load on this worker, or None if the worker cannot take it."""
        if worker.holds(target.model, target.adapter):
            return None
        if target.adapter and not worker.holds(target.model):
            return None
        victims = context.victims(worker, target)
        if victims is None:
            return None
        loss = sum(victim.loss for victim in victims)
        # An urgent load that must wait for an unload, or an optional load that uses free headroom.
        if not target.adapter and bool(victims) == urgent:
            loss += self.reserve.opportunity_cost(context, worker, urgent)
        if not target.adapter:
            loss += self._blocking_loss(context, worker, target)
        return _Candidate(loss, self._placement_cost(context, worker, target), worker.instance)

    def _blocking_loss(self, context: PlanningContext, worker: WorkerState, target: ModelClass) -> float:
        """Returns the cost of blocking adapter loads during the load.

        A worker takes one order at a time. Only models without another free holder count.
        """
        load_time_s = context.catalogue.models[target.model].load_time_s
        return sum(
            context.values.adapter_rate_per_s(model)
            * self._options.adapter_miss_share
            * load_time_s
            / self._options.payback_s
            for model in worker.holdings
            if not self._has_other_free_holder(model, worker)
        )

    def _has_other_free_holder(self, model: str, worker: WorkerState) -> bool:
        return any(
            holder is not worker and holder.can_take_order and holder.instance not in self.intents
            for holder in self._index.holders(model)
        )

    def _placement_cost(self, context: PlanningContext, worker: WorkerState, target: ModelClass) -> float:
        placement_cost = self._options.worker_load_cost * context.values.estimated_load(worker)
        if target.adapter:
            return placement_cost + self._options.adapter_count_cost * len(
                worker.holdings[target.model].adapters
            )
        placement_cost += context.values.added_queue_cost(worker, target.model)
        if not self._fleet.is_on_disk(worker, target.model):
            placement_cost += self._options.store_cost
        if worker.zone in self._index.zones_of(target.model):
            placement_cost += self._options.same_zone_cost
        return placement_cost

    def _next_step(self, context: PlanningContext, instance: str) -> PlannedOrder | None:
        """Returns the next order for the load intent of this worker, or None if it cannot take one now."""
        worker = self._fleet.workers[instance]
        if not worker.can_take_order:
            return None
        intent = self.intents.get(instance)
        assert intent is not None
        target = intent.target
        victims = context.victims(worker, target)
        if victims is None:
            self.intents.drop(instance)
            return None
        if victims:
            return PlannedOrder(instance, Operation.UNLOAD, victims[0].target)
        return PlannedOrder(instance, Operation.LOAD, target)

    def _miss_valid_s(self, catalogue: ModelCatalogue) -> float:
        """Returns how long a request that missed its model may wait or be retried, including a load time."""
        longest_s = max((spec.load_time_s for spec in catalogue.models.values()), default=0.0)
        return self._all_options.demand.missing_valid_s + longest_s
