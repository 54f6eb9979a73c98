"""Durations of the steps of a load at the placement owner, for `explain`."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Any

from arrowfold.placement.intents import LoadIntent
from arrowfold.placement.worker_state import PendingOrder

KIND = "load"  # kind of the trace records
MAX_KEPT_TRACES = 256  # older traces that were not taken are dropped


@dataclass(frozen=True, slots=True)
class LoadTrace:
    """One load that a worker accepted; times are in seconds by the owner's clock."""

    instance: str
    model: str
    adapter: str
    urgent: bool  # a request was waiting for it
    first_miss_s: float  # since when its class has been missed; -inf if it was not
    planned_s: float
    unload_sent_s: float | None  # first unload for it; None if none was necessary
    sent_s: float
    accepted_s: float
    expected_done_s: float

    def record(self) -> dict[str, Any]:
        """Returns the fields of the trace record: time of the order in s, durations of steps in whole ms."""
        planned_after = self.planned_s - self.first_miss_s if math.isfinite(self.first_miss_s) else None
        unload_sent_s = self.unload_sent_s
        return {
            "at": round(self.sent_s, 3),
            "worker": self.instance,
            "model": self.model,
            "adapter": self.adapter,
            "urgent": self.urgent,
            "missed_to_planned": _ms(planned_after),
            "planned_to_room": _ms(None if unload_sent_s is None else unload_sent_s - self.planned_s),
            "room_to_order": _ms(None if unload_sent_s is None else self.sent_s - unload_sent_s),
            "planned_to_order": _ms(self.sent_s - self.planned_s),
            "order_to_accepted": _ms(self.accepted_s - self.sent_s),
            "accepted_to_done": _ms(self.expected_done_s - self.accepted_s),
        }


class LoadTraces:
    """Collects the steps of loads until they are accepted."""

    def __init__(self) -> None:
        self._unload_sent_s: dict[str, float] = {}  # by instance
        self._accepted: deque[LoadTrace] = deque(maxlen=MAX_KEPT_TRACES)

    def note_unload_sent(self, instance: str, now_s: float) -> None:
        """Records that an unload for a load is being sent."""
        self._unload_sent_s.setdefault(instance, now_s)

    def note_accepted(self, pending: PendingOrder, intent: LoadIntent, first_miss_s: float) -> None:
        """Records that a worker has accepted the load of this intent."""
        order = pending.order
        unload_sent_s = self._unload_sent_s.pop(order.instance, None)
        self._accepted.append(
            LoadTrace(
                order.instance,
                order.model,
                order.adapter,
                intent.urgent,
                first_miss_s,
                intent.planned_s,
                unload_sent_s,
                pending.sent_s,
                pending.accepted_s,
                pending.expected_done_s,
            )
        )

    def take(self) -> list[LoadTrace]:
        """Returns the traces of the loads that were accepted since the last call."""
        taken = list(self._accepted)
        self._accepted.clear()
        return taken


def _ms(seconds: float | None) -> int | None:
    if seconds is None or not math.isfinite(seconds):
        return None
    return round(seconds * 1000)
