"""Tracks which edge nodes take traffic.

Every control node records the edges that pull from it and shares their ages with the other control nodes.
"""

from __future__ import annotations

from collections.abc import Callable

from arrowfold.internal.messages import NodeIdentity

EDGE = "edge"
COUNT_VALID_S = 0.5  # how long a count is cached while no edge node joins
RETENTION_MARGIN_S = 5.0  # beyond the budget window: requests of a restarted edge may still count in it


class EdgePresence:
    """Edge nodes that recently contacted this or another control node."""

    def __init__(self, clock: Callable[[], float], window_s: float) -> None:
        """Creates an empty record; `window_s`: budget window of the requests, in seconds."""
        self._clock = clock
        self._retention_s = window_s + RETENTION_MARGIN_S
        self._last_contact_s: dict[str, float] = {}
        self._cached_count: tuple[float, int] | None = None  # time of the last count, and its result

    def record_contact(self, sender: NodeIdentity) -> None:
        """Records a contact; senders other than edge nodes are ignored."""
        if EDGE in sender.serves:
            if sender.name not in self._last_contact_s:
                self._cached_count = None
            self._last_contact_s[sender.name] = self._clock()

    def merge_ages(self, ages_s: dict[str, float]) -> None:
        """Merges times since the last contact of edge nodes, in seconds, from another control node."""
        now_s = self._clock()
        for name, age_s in ages_s.items():
            self._last_contact_s[name] = max(self._last_contact_s.get(name, 0.0), now_s - age_s)
        self._cached_count = None

    def ages(self) -> dict[str, float]:
        """Returns the time since the last contact of each edge node, in seconds."""
        now_s = self._clock()
        self._last_contact_s = {
            name: contact_s
            for name, contact_s in self._last_contact_s.items()
            if now_s - contact_s <= self._retention_s
        }
        return {name: now_s - contact_s for name, contact_s in self._last_contact_s.items()}

    def names(self, within_s: float) -> frozenset[str]:
        """Returns the names of the edge nodes with a contact within the last `within_s` seconds."""
        return frozenset(name for name, age_s in self.ages().items() if age_s <= within_s)

    def count(self) -> int:
        """Returns the number of edge nodes that take traffic or did recently.

        The count is cached until an edge node joins or `COUNT_VALID_S` has passed.
        """
        now_s = self._clock()
        if self._cached_count is None or now_s - self._cached_count[0] > COUNT_VALID_S:
            self._cached_count = (now_s, len(self.ages()))
        return self._cached_count[1]
