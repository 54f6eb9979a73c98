"""Workers' records with what the owner of the placement knows ahead of the next heartbeat."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from arrowfold.internal.messages import (
    ArrivingModel,
    PlacementUpdate,
    WorkerCorrection,
    WorkerRecord,
)

UPDATE_VALID_S = 3.0  # the owner sends an update again while it has corrections; heartbeats come more often


class PlacementOverlay:
    """Lays the newest placement updates over the records; an update that is not renewed expires."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[PlacementUpdate, float]] = {}
        self._laid = False

    def corrected(
        self, workers: Iterable[WorkerRecord], updates: Mapping[str, PlacementUpdate], now_s: float
    ) -> tuple[WorkerRecord, ...]:
        """The records as they should read now."""
        corrections = self._valid_corrections(updates, now_s)
        self._laid = bool(corrections)
        return tuple(_laid_over(record, corrections) for record in workers)

    def has_expired(self, now_s: float) -> bool:
        """True if records were corrected by an update that no longer holds."""
        return self._laid and not any(self._is_valid(seen_s, now_s) for _, seen_s in self._seen.values())

    def _valid_corrections(
        self, updates: Mapping[str, PlacementUpdate], now_s: float
    ) -> dict[str, WorkerCorrection]:
        corrections: dict[str, WorkerCorrection] = {}
        for origin, update in updates.items():
            known = self._seen.get(origin)
            if known is None or known[0] is not update:
                known = self._seen[origin] = (update, now_s)
            age_s = now_s - known[1]
            if self._is_valid(known[1], now_s):
                corrections.update((item.instance, _aged(item, age_s)) for item in update.corrections)
        return corrections

    def _is_valid(self, seen_s: float, now_s: float) -> bool:
        return now_s - seen_s < UPDATE_VALID_S


def _aged(correction: WorkerCorrection, age_s: float) -> WorkerCorrection:
    arriving = tuple(
        ArrivingModel(item.model, item.adapter, max(0.0, item.ready_in_s - age_s))
        for item in correction.arriving
    )
    return replace(correction, arriving=arriving)


def _laid_over(record: WorkerRecord, corrections: Mapping[str, WorkerCorrection]) -> WorkerRecord:
    correction = corrections.get(record.instance)
    if correction is None:
        return record
    return replace(record, models=correction.models, arriving=correction.arriving)
