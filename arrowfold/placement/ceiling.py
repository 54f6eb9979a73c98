"""The bound on loads from the weight store: a token bucket that stays valid when the owner changes.

Let `limit = rate x window x overage + 3` be the most loads that may begin in any window. An order that
was sent may begin up to `ANSWER_JITTER_S` later. Each owner sends at most `burst + refill x (window +
jitter)` loads in a window; an owner that starts with an empty bucket adds only `refill x time` to what
its predecessor sent. So the sum over owners stays below the limit, whatever the predecessor had sent.
"""

from __future__ import annotations

ANSWER_JITTER_S = 1.0  # the longest an order is on its way before its sender gives it up
FREE_LOADS = 3.0  # the rule allows these beyond rate x window x overage
RESERVED_LOADS = 1.0  # kept back against rounding at the window's ends
BURST_LOADS = 2.0
MAKING_ROOM_S = 0.5  # by then a worker has often unloaded what has to give way


class LoadCeiling:
    """Says when the next load of weights may be ordered. Every load that is sent counts, answered or not."""

    def __init__(self, load_rate_s: float, window_s: float, overage: float, now_s: float) -> None:
        limit = load_rate_s * window_s * overage + FREE_LOADS
        within = limit - RESERVED_LOADS - BURST_LOADS
        self._refill_s = max(0.0, min(load_rate_s, within / (window_s + ANSWER_JITTER_S)))
        self._tokens = 0.0
        self._refilled_s = now_s

    def allows(self, now_s: float) -> bool:
        """True if a load may be sent now."""
        self._refill(now_s)
        return self._tokens >= 1.0

    def allows_soon(self, now_s: float, others: int) -> bool:
        """True if a load may be sent as soon as room has been made for it, beside so many others."""
        self._refill(now_s)
        return self._tokens + self._refill_s * MAKING_ROOM_S >= 1.0 + others

    def not_taken(self) -> None:
        """A load that was counted has surely not begun."""
        self._tokens = min(BURST_LOADS, self._tokens + 1.0)

    def next_allowed_s(self, now_s: float) -> float:
        """The time from which a load may be sent."""
        self._refill(now_s)
        if self._tokens >= 1.0:
            return now_s
        return now_s + (1.0 - self._tokens) / self._refill_s if self._refill_s > 0 else float("inf")

    def sent(self, now_s: float) -> None:
        """Count a load that is being sent."""
        self._refill(now_s)
        self._tokens -= 1.0

    def _refill(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = max(self._refilled_s, now_s)
        self._tokens = min(BURST_LOADS, self._tokens + passed_s * self._refill_s)
