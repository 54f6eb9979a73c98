"""Corrections of workers' records by the owner of a placement, ahead of the workers' next heartbeats."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from arrowfold.dataplane.tables import CorrectionTable
from arrowfold.internal.messages import ArrivingModel, WorkerCorrection, WorkerRecord

UPDATE_VALID_S = 3.0  # the owner renews its corrections each second; heartbeats arrive more often than this


@dataclass(frozen=True, slots=True)
class _CorrectedRecord:
    """A record, the correction that was applied to it, and the result."""

    record: WorkerRecord
    correction: WorkerCorrection
    result: WorkerRecord


class PlacementOverlay:
    """Applies the newest corrections to the records; they expire if their owner does not renew them.

    As long as a worker's record and correction stay the same, so does the resulting object, so that the
    worker counts as unchanged.
    """

    def __init__(self) -> None:
        self._tables: dict[str, tuple[CorrectionTable, float]] = {}  # by service, with the time of receipt
        self._first_seen: dict[str, tuple[WorkerCorrection, float]] = {}  # by instance, as above
        self._corrected: dict[str, _CorrectedRecord] = {}

    def corrected(
        self, workers: Iterable[WorkerRecord], tables: Mapping[str, CorrectionTable], now_s: float
    ) -> tuple[WorkerRecord, ...]:
        """Returns the records, in order, with all valid corrections applied."""
        corrections = self._valid_corrections(tables, now_s)
        before, self._corrected = self._corrected, {}
        return tuple(
            self._correct(record, corrections.get(record.instance), before, now_s) for record in workers
        )

    def has_expired(self, now_s: float) -> bool:
        """Returns whether records are still corrected although all corrections have expired."""
        return bool(self._corrected) and not any(
            _is_valid(seen_s, now_s) for _, seen_s in self._tables.values()
        )

    def _correct(
        self,
        record: WorkerRecord,
        correction: WorkerCorrection | None,
        before: Mapping[str, _CorrectedRecord],
        now_s: float,
    ) -> WorkerRecord:
        if correction is None:
            return record
        known = before.get(record.instance)
        if known is None or known.record is not record or known.correction is not correction:
            age_s = now_s - self._first_seen[record.instance][1]
            result = replace(
                record,
                models=correction.models,
                arriving=_remaining_arrivals(correction, age_s),
                troubled=correction.troubled,
            )
            known = _CorrectedRecord(record, correction, result)
        self._corrected[record.instance] = known
        return known.result

    def _valid_corrections(
        self, tables: Mapping[str, CorrectionTable], now_s: float
    ) -> dict[str, WorkerCorrection]:
        corrections: dict[str, WorkerCorrection] = {}
        for service, table in tables.items():
            known = self._tables.get(service)
            if known is None or known[0] is not table:
                known = self._tables[service] = (table, now_s)
            if _is_valid(known[1], now_s):
                corrections.update(table.corrections)
        seen = self._first_seen
        self._first_seen = {}
        for instance, correction in corrections.items():
            first = seen.get(instance)
            is_new = first is None or first[0] is not correction
            self._first_seen[instance] = (correction, now_s) if first is None or is_new else first
        return corrections


def _is_valid(seen_s: float, now_s: float) -> bool:
    return now_s - seen_s < UPDATE_VALID_S


def _remaining_arrivals(correction: WorkerCorrection, age_s: float) -> tuple[ArrivingModel, ...]:
    return tuple(
        ArrivingModel(item.model, item.adapter, max(0.0, item.ready_in_s - age_s))
        for item in correction.arriving
    )
