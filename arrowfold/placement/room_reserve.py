"""How many workers keep a free room, so that a load for a waiting request need not wait for an unload."""

from __future__ import annotations

import math

from arrowfold.placement.catalogue import ModelCatalogue
from arrowfold.placement.demand import Average
from arrowfold.placement.eviction import PlanningContext, Victim
from arrowfold.placement.fleet import PlacementFleet
from arrowfold.placement.intents import LoadIntents
from arrowfold.placement.options import RoomOptions
from arrowfold.placement.worker_state import WorkerState

RATE_MEMORY_S = 5.0  # of the rate of loads for waiting requests
USUAL_LOAD_S = 0.6  # of longer loads an unload before them is a smaller part, in proportion
WORKERS_A_RESERVE = 4  # one worker in so many keeps a room at most


class RoomReserve:
    """Decides on unloads ahead of loads, from the rate of the loads that requests waited for."""

    def __init__(self, fleet: PlacementFleet, intents: LoadIntents, options: RoomOptions) -> None:
        self._fleet = fleet
        self._intents = intents
        self._options = options
        self._loads = Average(RATE_MEMORY_S)

    def note_urgent_load(self, now_s: float) -> None:
        """A load for a waiting request is being sent."""
        self._loads.add(1.0, now_s)

    def wanted(self, now_s: float) -> int:
        """Free rooms that the loads of the time ahead need, with a deviation's reserve."""
        expected = self._loads.value(now_s) * self._options.kept_ahead_s
        most = len(self._fleet.workers) // WORKERS_A_RESERVE
        return min(most, math.ceil(expected + math.sqrt(expected) - 0.5)) if expected > 0 else 0

    def next_unload(self, context: PlanningContext) -> tuple[str, Victim] | None:
        """The worker and the model that make the next free room at the least loss; None if none is due."""
        wanted = self.wanted(context.now_s)
        if wanted == 0 or self._rooms(context.catalogue) >= wanted:
            return None
        saved = self._worth_of_room(context.catalogue)
        most_loss = saved * self._loads.value(context.now_s) / wanted
        found = [
            (victim.loss, instance, victim)
            for instance, worker in self._fleet.workers.items()
            if (victim := self._victim(context, worker)) is not None and victim.loss <= most_loss
        ]
        if not found:
            return None
        _, instance, victim = min(found, key=lambda item: item[:2])
        return instance, victim

    def price(self, context: PlanningContext, worker: WorkerState, urgent: bool) -> float:
        """What a load costs that waits for a room, or that takes one which nobody waits for.

        A waiting request pays for the unload before its load; anything else for making the room again.
        """
        if self.wanted(context.now_s) == 0:
            return 0.0
        if urgent:
            return self._worth_of_room(context.catalogue)
        cheapest = context.cheapest_model(worker)
        return 0.0 if cheapest is None else max(0.0, cheapest.loss)

    def _worth_of_room(self, catalogue: ModelCatalogue) -> float:
        """What a free room saves a missed request: the unload's part of the time until its model is there."""
        longest_s = max((spec.load_time_s for spec in catalogue.models.values()), default=0.0)
        return self._options.room_worth * USUAL_LOAD_S / max(longest_s, USUAL_LOAD_S)

    def _rooms(self, catalogue: ModelCatalogue) -> int:
        """Workers with a free room, or where one is being made that nothing was planned for."""
        return sum(
            1
            for instance, worker in self._fleet.workers.items()
            if worker.serves
            and instance not in self._intents
            and (worker.leaving_model() is not None or worker.has_room(catalogue))
        )

    def _victim(self, context: PlanningContext, worker: WorkerState) -> Victim | None:
        """What would have to go for a free room here, if one unload makes it."""
        if not worker.takes_orders or worker.instance in self._intents:
            return None
        if worker.has_room(context.catalogue):
            return None
        cheapest = context.cheapest_model(worker)
        if cheapest is None or not worker.has_room(context.catalogue, without=cheapest.target.model):
            return None
        return cheapest
