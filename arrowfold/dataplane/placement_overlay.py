"""Workers' records with what the owner of the placement knows ahead of the next heartbeat."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from arrowfold.dataplane.tables import PlacementTable
from arrowfold.internal.messages import ArrivingModel, WorkerCorrection, WorkerRecord

UPDATE_VALID_S = 3.0  # the owner renews its corrections each second; heartbeats come more often than this


@dataclass(frozen=True, slots=True)
class _Laid:
    """A record as it was corrected."""

    record: WorkerRecord
    correction: WorkerCorrection
    result: WorkerRecord


class PlacementOverlay:
    """Lays the newest corrections over the records; those of an owner that does not renew them expire.

    A worker of which nothing new was told keeps the same record, so that it counts as unchanged.
    """

    def __init__(self) -> None:
        self._tables: dict[str, tuple[PlacementTable, float]] = {}  # by service, and when it was first seen
        self._first_seen: dict[str, tuple[WorkerCorrection, float]] = {}  # by instance
        self._laid: dict[str, _Laid] = {}

    def corrected(
        self, workers: Iterable[WorkerRecord], tables: Mapping[str, PlacementTable], now_s: float
    ) -> tuple[WorkerRecord, ...]:
        """The records as they should read now."""
        corrections = self._valid_corrections(tables, now_s)
        before, self._laid = self._laid, {}
        return tuple(self._lay(record, corrections.get(record.instance), before, now_s) for record in workers)

    def has_expired(self, now_s: float) -> bool:
        """True if records were corrected by an owner that no longer renews its corrections."""
        return bool(self._laid) and not any(_is_valid(seen_s, now_s) for _, seen_s in self._tables.values())

    def _lay(
        self,
        record: WorkerRecord,
        correction: WorkerCorrection | None,
        before: Mapping[str, _Laid],
        now_s: float,
    ) -> WorkerRecord:
        if correction is None:
            return record
        laid = before.get(record.instance)
        if laid is None or laid.record is not record or laid.correction is not correction:
            age_s = now_s - self._first_seen[record.instance][1]
            result = replace(
                record,
                models=correction.models,
                arriving=_aged(correction, age_s),
                troubled=correction.troubled,
            )
            laid = _Laid(record, correction, result)
        self._laid[record.instance] = laid
        return laid.result

    def _valid_corrections(
        self, tables: Mapping[str, PlacementTable], now_s: float
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
            fresh = first is None or first[0] is not correction
            self._first_seen[instance] = (correction, now_s) if first is None or fresh else first
        return corrections


def _is_valid(seen_s: float, now_s: float) -> bool:
    return now_s - seen_s < UPDATE_VALID_S


def _aged(correction: WorkerCorrection, age_s: float) -> tuple[ArrivingModel, ...]:
    return tuple(
        ArrivingModel(item.model, item.adapter, max(0.0, item.ready_in_s - age_s))
        for item in correction.arriving
    )
