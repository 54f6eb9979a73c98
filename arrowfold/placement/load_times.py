"""How long loads take: the configuration's figure, corrected by what was measured."""

from __future__ import annotations

from arrowfold.placement.catalogue import ModelSpec

OWN_DISK_RATIO = 0.6  # of the store's time, until one was measured
RATIO_WEIGHT = 0.3  # of a new measurement
LOWEST_RATIO = 0.05
ADAPTER_LOAD_S = 0.03
FIRST_UNLOAD_S = 0.05  # of what has no runs, until one took longer
LONGEST_UNLOAD_S = 0.3
UNLOAD_GROWTH = 1.5  # after an unload that took longer than expected
UNLOAD_DECAY = 0.98  # after one that did not


class LoadTimes:
    """Expected times of loads, learned separately for the store and for a worker's own disk."""

    def __init__(self) -> None:
        self._own_disk_ratio = OWN_DISK_RATIO
        self.unload_s = FIRST_UNLOAD_S

    def expected_s(
        self, spec: ModelSpec, from_own_disk: bool, store_loads: int, parallel_loads: int
    ) -> float:
        """The time from acceptance to the end of a load, with so many loads from the store at once."""
        if from_own_disk:
            return spec.load_time_s * self._own_disk_ratio
        return spec.load_time_s * max(1.0, store_loads / parallel_loads)

    def unload_seen(self, in_time: bool) -> None:
        """The next order told whether an unload was done in the expected time."""
        factor = UNLOAD_DECAY if in_time else UNLOAD_GROWTH
        self.unload_s = min(LONGEST_UNLOAD_S, self.unload_s * factor)

    def measured(self, spec: ModelSpec, from_own_disk: bool, took_s: float) -> None:
        """Take a measured load."""
        if not from_own_disk or spec.load_time_s <= 0:
            return
        ratio = min(1.0, max(LOWEST_RATIO, took_s / spec.load_time_s))
        self._own_disk_ratio += RATIO_WEIGHT * (ratio - self._own_disk_ratio)
