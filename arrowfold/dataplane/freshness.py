"""The lease on an edge's configuration, without which no request that carries a key may begin.

Each pull response contains the maximum age of the answering node's committed state. An edge that holds that
state holds every change that was acknowledged before the time of the request minus that age: the response may
be delayed arbitrarily, but it was created after the request was sent.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable

MIN_CLOCK_RATE = 0.9  # relative to true time; a clock at this rate makes the lease exactly as long as allowed


class StateFreshness:
    """The time until which an edge may rely on its configuration for keys that may have been removed.

    `revoke_s` is the maximum time in seconds for which a key may be served after its removal was
    acknowledged; None means unbounded. `clock` is a monotonic clock in seconds. It is read at each check,
    because an event loop's cached time is outdated after the process was suspended.
    """

    def __init__(self, revoke_s: float | None, clock: Callable[[], float] = time.monotonic) -> None:
        self._lease_s = math.inf if revoke_s is None else revoke_s * MIN_CLOCK_RATE
        self._clock = clock
        self._fresh_until = math.inf if revoke_s is None else -math.inf

    def read_clock(self) -> float:
        """Returns the time of a pull request; call it right before the request is sent."""
        return self._clock()

    def answered(self, asked_s: float, state_age_s: float) -> None:
        """Extends the lease after a response whose state, at most `state_age_s` old, is held by this edge.

        `asked_s` is the time of the request. A response never shortens the lease.
        """
        self._fresh_until = max(self._fresh_until, asked_s - state_age_s + self._lease_s)

    def is_fresh(self) -> bool:
        """Returns whether requests that carry a key may begin now."""
        return self._clock() < self._fresh_until
