"""Reserve of memory headroom, so that a load for a waiting request need not wait for an unload.

A worker has headroom if any model of the catalogue fits beside what it holds.
"""

from __future__ import annotations

import math

from arrowfold.placement.catalogue import ModelCatalogue
from arrowfold.placement.demand import DecayingRate
from arrowfold.placement.eviction import PlanningContext, Victim
from arrowfold.placement.fleet import PlacementFleet
from arrowfold.placement.intents import LoadIntents
from arrowfold.placement.load_times import LoadTimes
from arrowfold.placement.options import RoomOptions
from arrowfold.placement.worker_state import WorkerState

RATE_TIME_CONSTANT_S = 5.0  # of the average rate of loads for waiting requests
WORKERS_PER_RESERVE = 4  # at most one worker in so many is kept with headroom


class HeadroomReserve:
    """Plans unloads ahead of loads, from the rate of the loads that requests waited for."""

    def __init__(
        self, fleet: PlacementFleet, intents: LoadIntents, options: RoomOptions, times: LoadTimes
    ) -> None:
        self._fleet = fleet
        self._times = times
        self._intents = intents
        self._options = options
        self._loads = DecayingRate(RATE_TIME_CONSTANT_S)

    def note_urgent_load(self, now_s: float) -> None:
        """Records that a load for a waiting request is being sent."""
        self._loads.add(1.0, now_s)

    def target_count(self, now_s: float) -> int:
        """Returns how many workers should have headroom.

        This is the number of urgent loads expected within `kept_ahead_s` plus one standard deviation.
        """
        expected = self._loads.value(now_s) * self._options.kept_ahead_s
        max_count = len(self._fleet.workers) // WORKERS_PER_RESERVE
        return min(max_count, math.ceil(expected + math.sqrt(expected) - 0.5)) if expected > 0 else 0

    def next_unload(self, context: PlanningContext) -> tuple[str, Victim] | None:
        """Returns the worker and the model to unload for headroom at the least loss; None if none is due."""
        target_count = self.target_count(context.now_s)
        if target_count == 0 or self._count_with_headroom(context.catalogue) >= target_count:
            return None
        saved = self._headroom_value(context.catalogue)
        max_loss = saved * self._loads.value(context.now_s) / target_count
        found = [
            (victim.loss, instance, victim)
            for instance, worker in self._fleet.workers.items()
            if (victim := self._headroom_victim(context, worker)) is not None and victim.loss <= max_loss
        ]
        if not found:
            return None
        _, instance, victim = min(found, key=lambda item: item[:2])
        return instance, victim

    def opportunity_cost(self, context: PlanningContext, worker: WorkerState, urgent: bool) -> float:
        """Returns the cost of a load that waits for headroom, or that uses it without a waiting request.

        An urgent load is charged for the unload that precedes it, any other load for restoring the headroom.
        """
        if self.target_count(context.now_s) == 0:
            return 0.0
        if urgent:
            return self._headroom_value(context.catalogue)
        cheapest = context.cheapest_model(worker)
        return 0.0 if cheapest is None else max(0.0, cheapest.loss)

    def _headroom_value(self, catalogue: ModelCatalogue) -> float:
        """Returns the value that headroom saves for a missed request.

        It is the share of the unload in the time until the model is loaded.
        """
        longest_s = max((spec.load_time_s for spec in catalogue.models.values()), default=0.0)
        return self._times.unload_s / (self._times.unload_s + longest_s)

    def _count_with_headroom(self, catalogue: ModelCatalogue) -> int:
        """Returns the number of workers without a planned load that have headroom or unload a model."""
        return sum(
            1
            for instance, worker in self._fleet.workers.items()
            if worker.counts_as_holder
            and instance not in self._intents
            and (worker.unloading_model() is not None or worker.has_headroom(catalogue))
        )

    def _headroom_victim(self, context: PlanningContext, worker: WorkerState) -> Victim | None:
        """Returns the model to unload for headroom here; None if headroom exists or takes more unloads."""
        if not worker.can_take_order or worker.instance in self._intents:
            return None
        if worker.has_headroom(context.catalogue):
            return None
        cheapest = context.cheapest_model(worker)
        if cheapest is None or not worker.has_headroom(context.catalogue, without=cheapest.target.model):
            return None
        return cheapest
