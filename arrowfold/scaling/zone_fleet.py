"""The workers of a service, counted by zone."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from arrowfold.internal.messages import WorkerRecord
from arrowfold.registry.workers import AVAILABLE, DRAINING, GONE


@dataclass(frozen=True, slots=True)
class ZoneFleet:
    """Counts of a service's workers in one zone. `slots`: the most slots of any one worker."""

    available: int = 0
    draining: int = 0
    slots: int = 0


def zone_fleets(records: Iterable[WorkerRecord], service: str) -> dict[str, ZoneFleet]:
    """Returns the counts for each zone that has any worker of the service, removed workers not counted."""
    fleets: dict[str, ZoneFleet] = {}
    for record in records:
        if record.service != service or record.state == GONE:
            continue
        fleet = fleets.get(record.zone, ZoneFleet())
        fleets[record.zone] = ZoneFleet(
            available=fleet.available + (record.state == AVAILABLE),
            draining=fleet.draining + (record.state == DRAINING),
            slots=max(fleet.slots, record.capacity_slots),
        )
    return fleets
