"""Decides how many workers a service should have in one zone.

The count follows a target: the number of workers that the load needs if each is `target_share` full. It is
raised once more workers were needed for `rise_s`, and lowered by one once fewer were needed for `fall_s`; a
load that varies faster changes nothing. It is not lowered while the load is unknown, while a worker drains,
while an ordered worker is missing, or if the remaining workers could not hold every model that was requested
lately.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from enum import Enum

from arrowfold.scaling.options import ScalingOptions
from arrowfold.scaling.service_bounds import ScalingBounds
from arrowfold.scaling.service_load import Load
from arrowfold.scaling.zone_fleet import ZoneFleet

MAX_OBSERVATION_GAP_S = 5.0  # after a longer gap, earlier observations are discarded: they don't cover it


class Reason(Enum):
    """Why a count should be ordered."""

    BOUNDS = "bounds"  # the current count is outside the operator's bounds
    LOAD = "load"  # more workers are needed
    IDLE = "idle"  # fewer workers are enough
    REPEAT = "repeat"  # it is not known whether an earlier order was accepted


@dataclass(frozen=True, slots=True)
class Situation:
    """What is known of a service and one of its zones at one time.

    `zones`: the number of zones in which the service runs; they share its load evenly.
    `models_per_worker`: how many models fit on a worker; 0 for a service without models.
    """

    now_s: float
    bounds: ScalingBounds
    fleet: ZoneFleet
    load: Load
    zones: int
    models_per_worker: int


@dataclass(frozen=True, slots=True)
class TargetCount:
    """A count that should be ordered because it differs from the current one."""

    count: int
    reason: Reason


@dataclass(frozen=True, slots=True)
class _Observation:
    """The needed count at one time. `can_decrease`: whether the count could have been lowered then."""

    at_s: float
    needed: int
    can_decrease: bool


class ZoneScaler:
    """Decides for one zone during one tenure of the duty, evaluated about once a second."""

    def __init__(self, options: ScalingOptions) -> None:
        self._options = options
        self._observations: deque[_Observation] = deque()
        self._first_available_s: float | None = None  # when workers of the zone were first available
        self._max_available = 0  # not lowered when a worker drains: it may have been replaced
        self._accepted_count: int | None = None
        self._below_min_since_s: float | None = None

    def count(self, bounds: ScalingBounds) -> int:
        """Returns the current count, as far as it is known, clamped to the bounds."""
        return bounds.clamp(self._max_available if self._accepted_count is None else self._accepted_count)

    def accepted(self, count: int) -> None:
        """Records that the platform accepted an order for `count` workers."""
        self._accepted_count = count
        self._observations.clear()

    def evaluate(self, situation: Situation) -> TargetCount | None:
        """Records the situation; returns the count to order, or None to keep the current one."""
        now_s = situation.now_s
        self._record_fleet(situation)
        self._record_observation(situation)
        if self._first_available_s is None or now_s - self._first_available_s < self._options.known_s:
            return None
        return self._outside_bounds(situation) or self._increased(situation) or self._decreased(situation)

    def _record_fleet(self, situation: Situation) -> None:
        fleet = situation.fleet
        if fleet.available > 0 and self._first_available_s is None:
            self._first_available_s = situation.now_s
        self._max_available = max(self._max_available, fleet.available)

    def _record_observation(self, situation: Situation) -> None:
        now_s = situation.now_s
        observations = self._observations
        if observations and now_s - observations[-1].at_s > MAX_OBSERVATION_GAP_S:
            observations.clear()
        observations.append(_Observation(now_s, self._needed(situation), self._can_decrease(situation)))
        kept_s = max(self._options.rise_s, self._options.fall_s)
        while len(observations) > 1 and now_s - observations[1].at_s >= kept_s:
            observations.popleft()

    def _needed(self, situation: Situation) -> int:
        bounds, load = situation.bounds, situation.load
        count_range = bounds.max_count - bounds.min_count
        floor = bounds.min_count + math.floor(self._options.floor_share * count_range)
        return bounds.clamp(max(floor, self._needed_by_load(situation) if load.is_known else 0))

    def _needed_by_load(self, situation: Situation) -> int:
        target_load = self._options.target_share * situation.fleet.slots * situation.zones
        return math.ceil(situation.load.running / target_load) if target_load > 0 else 0

    def _can_decrease(self, situation: Situation) -> bool:
        count = self.count(situation.bounds)
        fleet = situation.fleet
        is_complete = fleet.draining == 0 and fleet.available >= count
        model_capacity = (count - 1) * situation.zones * situation.models_per_worker
        fits_models = situation.models_per_worker == 0 or situation.load.models <= model_capacity
        return situation.load.is_known and is_complete and fits_models

    def _outside_bounds(self, situation: Situation) -> TargetCount | None:
        """Returns the nearest count within the bounds, if the current one is outside of them.

        The platform itself also keeps counts within the bounds. Without an accepted order, a count below the
        minimum is corrected only after the time in which workers start or a failed one is replaced.
        """
        bounds = situation.bounds
        current = self._max_available if self._accepted_count is None else self._accepted_count
        if current >= bounds.min_count:
            self._below_min_since_s = None
        elif self._below_min_since_s is None:
            self._below_min_since_s = situation.now_s
        if bounds.clamp(current) == current:
            return None
        if self._accepted_count is None and self._below_min_since_s is not None:
            waited_s = situation.now_s - self._below_min_since_s
            if waited_s < bounds.boot_time_s + self._options.fall_s:
                return None
        return TargetCount(bounds.clamp(current), Reason.BOUNDS)

    def _increased(self, situation: Situation) -> TargetCount | None:
        observations = self._observations_over(self._options.rise_s)
        if observations is None:
            return None
        needed = min(observation.needed for observation in observations)
        if needed <= self.count(situation.bounds):
            return None
        return TargetCount(needed, Reason.LOAD)

    def _decreased(self, situation: Situation) -> TargetCount | None:
        observations = self._observations_over(self._options.fall_s)
        if observations is None or not all(observation.can_decrease for observation in observations):
            return None
        count = self.count(situation.bounds)
        if max(observation.needed for observation in observations) >= count:
            return None
        return TargetCount(count - 1, Reason.IDLE)

    def _observations_over(self, duration_s: float) -> list[_Observation] | None:
        """Returns the observations of the last `duration_s`; None if they don't cover that time."""
        newest_s = self._observations[-1].at_s
        if newest_s - self._observations[0].at_s < duration_s:
            return None
        return [
            observation for observation in self._observations if newest_s - observation.at_s <= duration_s
        ]
