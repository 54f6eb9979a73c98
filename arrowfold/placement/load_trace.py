"""How long each step of a load took at the owner of the placement, for `explain`."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Any

from arrowfold.placement.intents import LoadIntent
from arrowfold.placement.worker_state import PendingOrder

KIND = "load"
MOST_KEPT = 256  # records that nobody has taken yet


@dataclass(frozen=True, slots=True)
class LoadTrace:
    """One load that a worker accepted; times by the owner's clock, in seconds."""

    instance: str
    model: str
    adapter: str
    urgent: bool  # a request waited for it
    missed_s: float  # since when its class has been missed; -inf where it was not
    planned_s: float
    room_begun_s: float | None  # when an unload for it was sent; None where there was room
    sent_s: float
    accepted_s: float
    expected_done_s: float

    def record(self) -> dict[str, Any]:
        """The fields of its record: the time of the order, and whole milliseconds from step to step."""
        planned_after = self.planned_s - self.missed_s if math.isfinite(self.missed_s) else None
        room = self.room_begun_s
        return {
            "at": round(self.sent_s, 3),
            "worker": self.instance,
            "model": self.model,
            "adapter": self.adapter,
            "urgent": self.urgent,
            "missed_to_planned": _ms(planned_after),
            "planned_to_room": _ms(None if room is None else room - self.planned_s),
            "room_to_order": _ms(None if room is None else self.sent_s - room),
            "planned_to_order": _ms(self.sent_s - self.planned_s),
            "order_to_accepted": _ms(self.accepted_s - self.sent_s),
            "accepted_to_done": _ms(self.expected_done_s - self.accepted_s),
        }


class LoadTraces:
    """Notes the steps of loads until they are accepted."""

    def __init__(self) -> None:
        self._room_begun_s: dict[str, float] = {}  # by instance
        self._accepted: deque[LoadTrace] = deque(maxlen=MOST_KEPT)

    def room_begun(self, instance: str, now_s: float) -> None:
        """An unload that makes room for a load is being sent."""
        self._room_begun_s.setdefault(instance, now_s)

    def accepted(self, pending: PendingOrder, intent: LoadIntent, missed_s: float) -> None:
        """A worker carries out a load that this intent led to."""
        order = pending.order
        room_begun_s = self._room_begun_s.pop(order.instance, None)
        self._accepted.append(
            LoadTrace(
                order.instance,
                order.model,
                order.adapter,
                intent.urgent,
                missed_s,
                intent.since_s,
                room_begun_s,
                pending.sent_s,
                pending.accepted_s,
                pending.expected_done_s,
            )
        )

    def take(self) -> list[LoadTrace]:
        """The loads that were accepted since the last call."""
        taken = list(self._accepted)
        self._accepted.clear()
        return taken


def _ms(seconds: float | None) -> int | None:
    if seconds is None or not math.isfinite(seconds):
        return None
    return round(seconds * 1000)
