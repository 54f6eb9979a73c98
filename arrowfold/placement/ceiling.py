"""Rate limit of loads from the weight store: a token bucket that stays valid across changes of the owner.

Let `limit = rate x window x overage + 3` be the maximum number of loads that may start in any window. A load
may start up to `MAX_ORDER_DELAY_S` after its order was sent. Each owner sends at most `burst + refill x
(window + jitter)` loads in a window. An owner starts with an empty bucket, so it adds only `refill x time` to
what its predecessor sent, and the sum over owners stays below the limit, whatever the predecessor sent.
"""

from __future__ import annotations

MAX_ORDER_DELAY_S = 1.0  # maximum time that an order is in flight before its sender gives up
EXTRA_LOADS = 3.0  # loads that the limit allows beyond rate x window x overage
ROUNDING_RESERVE_LOADS = 1.0  # reserve for rounding at the ends of a window
BURST_LOADS = 2.0
UNLOAD_LEAD_S = 0.5  # time in which a worker has usually unloaded the victim


class LoadRateLimiter:
    """Limits the rate of loads of weights. Every order that is sent counts, answered or not."""

    def __init__(self, load_rate_per_s: float, window_s: float, overage: float, now_s: float) -> None:
        limit = load_rate_per_s * window_s * overage + EXTRA_LOADS
        within = limit - ROUNDING_RESERVE_LOADS - BURST_LOADS
        self._refill_per_s = max(0.0, min(load_rate_per_s, within / (window_s + MAX_ORDER_DELAY_S)))
        self._tokens = 0.0
        self._refilled_s = now_s

    def allows(self, now_s: float) -> bool:
        """Returns True if a load may be sent now."""
        self._refill(now_s)
        return self._tokens >= 1.0

    def allows_soon(self, now_s: float, others: int) -> bool:
        """Returns True if a load may be sent once its victim is unloaded, after `others` other loads."""
        self._refill(now_s)
        return self._tokens + self._refill_per_s * UNLOAD_LEAD_S >= 1.0 + others

    def refund(self) -> None:
        """Returns the token of a load that is known not to have started."""
        self._tokens = min(BURST_LOADS, self._tokens + 1.0)

    def next_allowed_s(self, now_s: float) -> float:
        """Returns the time from which a load may be sent; infinite if none ever may."""
        self._refill(now_s)
        if self._tokens >= 1.0:
            return now_s
        return now_s + (1.0 - self._tokens) / self._refill_per_s if self._refill_per_s > 0 else float("inf")

    def consume(self, now_s: float) -> None:
        """Counts a load that is being sent."""
        self._refill(now_s)
        self._tokens -= 1.0

    def _refill(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = max(self._refilled_s, now_s)
        self._tokens = min(BURST_LOADS, self._tokens + passed_s * self._refill_per_s)
