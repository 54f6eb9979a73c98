"""Limits the call rate of a duty, so that all nodes together stay within the rate of the platform."""

from __future__ import annotations

import math

MIN_CALLS_PER_S = 0.05  # a platform that states no rate is still called, every 20 s


class CallRateLimiter:
    """Rate limiter for the calls of one node; a call delays the next by the inverse of the rate."""

    def __init__(self, calls_per_s: float) -> None:
        """Creates a limiter; `calls_per_s`: share of this node in the rate of all nodes; may be changed."""
        self.calls_per_s = calls_per_s
        self._next_call_s = -math.inf

    def try_acquire(self, now_s: float) -> bool:
        """Returns whether a call may be made now; if so, delays the next one."""
        if now_s < self._next_call_s:
            return False
        self._next_call_s = now_s + 1.0 / max(MIN_CALLS_PER_S, self.calls_per_s)
        return True
