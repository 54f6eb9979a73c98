"""Decides which model or adapter is to be loaded next on which worker, and what gives way for it."""

from __future__ import annotations

import math
from dataclasses import dataclass

from arrowfold.placement.catalogue import ModelCatalogue
from arrowfold.placement.demand import DemandEstimator, ModelClass
from arrowfold.placement.eviction import PlanningContext
from arrowfold.placement.fleet import PlacementFleet
from arrowfold.placement.intents import LoadIntent, LoadIntents
from arrowfold.placement.options import PlacementOptions
from arrowfold.placement.orders import Operation
from arrowfold.placement.room_reserve import RoomReserve
from arrowfold.placement.valuation import CopyValuation
from arrowfold.placement.worker_state import WorkerState


@dataclass(frozen=True, slots=True)
class PlannedOrder:
    """The next order for one worker."""

    instance: str
    operation: Operation
    target: ModelClass


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A worker that could take a load: what gives way for it and how little it suits, in worth a second."""

    loss: float
    unfitness: float
    instance: str


class PlacementPlanner:
    """Plans at most one order at a time for each worker; keeps what each one is being prepared for."""

    def __init__(self, fleet: PlacementFleet, demand: DemandEstimator, options: PlacementOptions) -> None:
        self._all_options = options
        self._options = options.planner
        self._copy_gain = self._options.load_price / self._options.payback_s  # worth a second, of a copy
        self._fleet = fleet
        self._demand = demand
        self._index = fleet.index()  # of the moment that is being planned for
        self.intents = LoadIntents()
        self.reserve = RoomReserve(fleet, self.intents, options.rooms)
        self._spread_s = -math.inf  # when further copies were last considered

    def plan(self, catalogue: ModelCatalogue, now_s: float) -> list[PlannedOrder]:
        """The orders to send now, the most urgent first."""
        self._index = self._fleet.index()
        values = CopyValuation(self._fleet, self._demand, self._all_options.valuation, now_s)
        context = PlanningContext(catalogue, self._demand, values, self._all_options.eviction, now_s)
        further: dict[str, float] = {}  # what further copies gain, and first ones
        first: dict[str, float] = {}
        is_spreading = now_s - self._spread_s >= self._options.spread_interval_s
        self._drop_intents(context, is_spreading)
        missed = self._missed_targets(context)
        self._want_missed(context, [target for target in missed if target.adapter])
        if is_spreading:
            self._spread_s = now_s
            gains = self._gains(context)
            standing = {model: gains[model] for model in gains if context.values.copies(model) > 0}
            first = {model: gains[model] for model in gains if model not in standing}
            further = standing if self._options.further_copies else {}
            if self._options.pressing_copies:
                self._want_copies(context, further, self._options.pressing_gain)
        self._want_missed(context, [target for target in missed if not target.adapter])
        if is_spreading:
            if self._options.copies_wait and self._is_missing_more(missed):
                further = {}
            self._want_copies(context, {**first, **further}, self._copy_gain)
            if self._options.adapter_copies:
                self._want_adapter_copies(context)
        steps = [self._next_step(context, instance) for instance in self.intents.in_order()]
        ahead = self._room_ahead(context)
        return [step for step in [*steps, ahead] if step is not None]

    def _room_ahead(self, context: PlanningContext) -> PlannedOrder | None:
        """An unload for which no load is planned yet."""
        found = self.reserve.next_unload(context)
        if found is None:
            return None
        instance, victim = found
        return PlannedOrder(instance, Operation.UNLOAD, victim.target)

    def _drop_intents(self, context: PlanningContext, is_spreading: bool) -> None:
        for instance, intent in self.intents:
            if self._is_outdated(context, instance, intent, is_spreading):
                self.intents.drop(instance)

    def _is_outdated(
        self, context: PlanningContext, instance: str, intent: LoadIntent, is_spreading: bool
    ) -> bool:
        worker = self._fleet.workers.get(instance)
        target = intent.target
        if worker is None or not worker.serves or worker.holds(target.model, target.adapter):
            return True
        if not context.catalogue.known(target.model, target.adapter):
            return True
        if target.adapter and not worker.holds(target.model):
            return True
        if not intent.begun and worker.pending is None and (is_spreading or not intent.pressing):
            return True  # nothing was done for it: it is decided anew
        return context.now_s - intent.since_s > self._options.intent_valid_s

    def _is_coming(self, target: ModelClass) -> bool:
        return self._index.is_arriving(target) or self.intents.includes(target)

    def _missed_targets(self, context: PlanningContext) -> list[ModelClass]:
        """What has to be loaded for requests that wait for classes that stand nowhere, the oldest first."""
        missed = self._demand.missed_classes(context.now_s, self._missing_valid_s(context.catalogue))
        targets = (self._missed_target(context, key) for key in missed)
        return list(dict.fromkeys(target for target in targets if target is not None))

    def _want_missed(self, context: PlanningContext, targets: list[ModelClass]) -> None:
        """Prepare workers for what requests are waiting for."""
        for target in targets:
            if not self._is_coming(target):
                self._choose_worker(context, target, urgent=True)

    def _is_missing_more(self, targets: list[ModelClass]) -> bool:
        """Whether requests wait for a model for which no worker is being prepared yet."""
        return any(not target.adapter and not self._is_coming(target) for target in targets)

    def _missed_target(self, context: PlanningContext, key: ModelClass) -> ModelClass | None:
        """What has to be loaded for a class that was missed; None if nothing."""
        if self._index.is_ready(key):
            self._demand.served(key)
            return None
        if not context.catalogue.known(key.model, key.adapter):
            return None
        return key if self._index.holders(key.model) else ModelClass(key.model)

    def _want_copies(self, context: PlanningContext, gains: dict[str, float], least_gain: float) -> None:
        """Further copies where they gain most, as far as the store has room beside urgent loads.

        `gains`: what one more copy of each model adds; a model for which no worker was found is taken out.
        """
        room = max(self._options.least_spread, context.catalogue.parallel_loads - 1) - self._spread_planned(
            context
        )
        while room > 0 and gains:
            model = max(gains, key=lambda name: (gains[name], name))
            if gains[model] < least_gain:
                return
            if self._choose_worker(context, ModelClass(model), urgent=False, gain=gains[model]):
                room -= 1
                gains[model] = self._gain(
                    context, model, self.intents.planned_copies(self._fleet.workers)[model]
                )
            else:
                del gains[model]

    def _gains(self, context: PlanningContext) -> dict[str, float]:
        """What one more copy adds, for every model that was asked for."""
        planned = self.intents.planned_copies(self._fleet.workers)
        asked = self._demand.asked_models()
        return {
            model: self._gain(context, model, planned[model])
            for model in asked
            if context.catalogue.known(model)
        }

    def _gain(self, context: PlanningContext, model: str, planned: int) -> float:
        copies = context.values.copies(model) + planned
        return context.values.relief(model, copies, self._index.holders(model))

    def _want_adapter_copies(self, context: PlanningContext) -> None:
        """Further copies of adapters whose workload is more than their holders should carry."""
        for key in self._demand.asked_adapters():
            copies = context.values.adapter_copies(key)
            if copies == 0 or copies >= self._adapter_copies_wanted(context, key):
                continue
            if context.catalogue.known(key.model, key.adapter) and not self._is_coming(key):
                self._choose_worker(context, key, urgent=False)

    def _adapter_copies_wanted(self, context: PlanningContext, key: ModelClass) -> int:
        estimate = self._demand.of_class(key)
        wanted = 1 + int(estimate.workload(context.now_s) / self._options.adapter_workload)
        if wanted == 1 and estimate.keep_rate_s(context.now_s) >= self._options.spare_adapter_rate_s:
            return 2
        return wanted

    def _spread_planned(self, context: PlanningContext) -> int:
        """Workers that are being prepared for further copies, or load one."""
        loading = [worker.arriving_model() for worker in self._fleet.workers.values()]
        under_way = sum(1 for model in loading if model is not None and context.values.copies(model) > 1)
        return self.intents.spreading() + under_way

    def _choose_worker(
        self, context: PlanningContext, target: ModelClass, urgent: bool, gain: float = 0.0
    ) -> bool:
        """Prepare the worker on which this costs least; False if none can take it now, or it does not pay."""
        candidates = [
            candidate
            for worker in self._free_workers(target)
            if (candidate := self._candidate(context, worker, target, urgent)) is not None
        ]
        if not candidates:
            return False
        best = min(candidates, key=lambda item: (item.loss + item.unfitness, item.instance))
        if target.adapter:
            pays = urgent or best.loss <= 0.0
        else:
            burden = (
                0.0 if urgent else context.values.burden(self._fleet.workers[best.instance], target.model)
            )
            pays = urgent or gain - burden >= self._options.gain_ratio * best.loss + self._copy_gain
        if pays:
            pressing = gain >= self._options.pressing_gain
            self.intents.add(best.instance, LoadIntent(target, urgent, context.now_s, pressing=pressing))
        return pays

    def _free_workers(self, target: ModelClass) -> list[WorkerState]:
        """The workers that could be given an order for a load: an adapter goes where its model stands."""
        workers = self._index.holders(target.model) if target.adapter else self._fleet.workers.values()
        return [worker for worker in workers if worker.takes_orders and worker.instance not in self.intents]

    def _candidate(
        self, context: PlanningContext, worker: WorkerState, target: ModelClass, urgent: bool
    ) -> _Candidate | None:
        """This worker as the place for a load; None if it can't be."""
        if worker.holds(target.model, target.adapter):
            return None
        if target.adapter and not worker.holds(target.model):
            return None
        victims = context.victims(worker, target)
        if victims is None:
            return None
        loss = sum(victim.loss for victim in victims)
        if not target.adapter and bool(victims) == urgent:
            loss += self.reserve.price(context, worker, urgent)
        if not target.adapter:
            loss += self._blocking_loss(context, worker, target)
        return _Candidate(loss, self._unfitness(context, worker, target), worker.instance)

    def _blocking_loss(self, context: PlanningContext, worker: WorkerState, target: ModelClass) -> float:
        """What it costs that no adapter can be loaded meanwhile, for models without another free holder."""
        load_time_s = context.catalogue.models[target.model].load_time_s
        return sum(
            context.values.adapter_rate_s(model)
            * self._options.adapter_miss_share
            * load_time_s
            / self._options.payback_s
            for model in worker.holdings
            if not self._has_other_free_holder(model, worker)
        )

    def _has_other_free_holder(self, model: str, worker: WorkerState) -> bool:
        return any(
            holder is not worker and holder.takes_orders and holder.instance not in self.intents
            for holder in self._index.holders(model)
        )

    def _unfitness(self, context: PlanningContext, worker: WorkerState, target: ModelClass) -> float:
        unfitness = self._options.worker_load_cost * context.values.load_of(worker)
        if target.adapter:
            return unfitness + self._options.adapter_count_cost * len(worker.holdings[target.model].adapters)
        unfitness += context.values.burden(worker, target.model)
        if not self._fleet.is_on_disk(worker, target.model):
            unfitness += self._options.store_cost
        if worker.zone in self._index.zones_of(target.model):
            unfitness += self._options.same_zone_cost
        return unfitness

    def _next_step(self, context: PlanningContext, instance: str) -> PlannedOrder | None:
        """The next order towards what this worker is being prepared for."""
        worker = self._fleet.workers[instance]
        if not worker.takes_orders:
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

    def _missing_valid_s(self, catalogue: ModelCatalogue) -> float:
        """How long a request that missed its model may still wait, or come back when a load has ended."""
        longest_s = max((spec.load_time_s for spec in catalogue.models.values()), default=0.0)
        return self._all_options.demand.missing_valid_s + longest_s
