"""Expected durations of loads and unloads: configured values, corrected by observed durations."""

from __future__ import annotations

from arrowfold.placement.catalogue import ModelSpec

INITIAL_OWN_DISK_RATIO = 0.6  # load time from a worker's own disk relative to that from the weight store
OWN_DISK_RATIO_WEIGHT = 0.3  # weight of a new observation
MIN_OWN_DISK_RATIO = 0.05
ADAPTER_LOAD_S = 0.03
INITIAL_UNLOAD_S = 0.05  # expected unload time without running requests, until an unload took longer
MAX_UNLOAD_S = 0.3
UNLOAD_GROWTH = 1.5  # after an unload that took longer than expected
UNLOAD_DECAY = 0.98  # after one that did not


class LoadTimes:
    """Expected load times, separately for the weight store and for a worker's own disk.

    The time from a worker's own disk and the time of an unload adapt to observations.
    """

    def __init__(self) -> None:
        self._own_disk_ratio = INITIAL_OWN_DISK_RATIO
        self.unload_s = INITIAL_UNLOAD_S

    def expected_s(
        self, spec: ModelSpec, from_own_disk: bool, store_loads: int, parallel_loads: int
    ) -> float:
        """Returns the time from acceptance to the end of a load, with `store_loads` loads from the store."""
        if from_own_disk:
            return spec.load_time_s * self._own_disk_ratio
        return spec.load_time_s * max(1.0, store_loads / parallel_loads)

    def record_unload(self, in_time: bool) -> None:
        """Records whether an unload ended within the expected time."""
        factor = UNLOAD_DECAY if in_time else UNLOAD_GROWTH
        self.unload_s = min(MAX_UNLOAD_S, self.unload_s * factor)

    def record_load(self, spec: ModelSpec, from_own_disk: bool, took_s: float) -> None:
        """Records the duration of a load; only loads from a worker's own disk are used."""
        if not from_own_disk or spec.load_time_s <= 0:
            return
        ratio = min(1.0, max(MIN_OWN_DISK_RATIO, took_s / spec.load_time_s))
        self._own_disk_ratio += OWN_DISK_RATIO_WEIGHT * (ratio - self._own_disk_ratio)
