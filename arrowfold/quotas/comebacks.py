"""Retry times promised to refused jobs at one level, and the capacity reserved for these retries.

Prevents a retry at its promised time from being refused again: without a reservation, new jobs would use all
capacity as it becomes free. Only as much is reserved as promised retries have recently
used, so clients that never retry, or don't mark their retries, cost next to nothing.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right, insort

from arrowfold.quotas.window import Window

RETRY_GRACE_US = 500_000  # a retry later than this after its time no longer counts as promised
RETURN_RATE_STEP = 0.02  # weight of one promise in the moving average of the return rate
MIN_RETURN_RATE = 0.01  # return rates below this count as zero
MAX_PROMISES = 10_000  # promised times that are stored
MAX_SEARCH_STEPS = 64  # iterations of the search for a time between promised ones


class PromisedRetries:
    """The promised retry times at one level or below it."""

    __slots__ = ("return_rate", "times_us")

    def __init__(self) -> None:
        self.times_us: list[int] = []  # in ascending order
        self.return_rate = 0.0  # recent share of the promises that were followed by a marked retry in time

    def add(self, due_us: int) -> None:
        """Add a promised time; beyond the bound, no capacity is reserved for it."""
        if len(self.times_us) < MAX_PROMISES:
            insort(self.times_us, due_us)

    def use_due(self, now_us: int) -> bool:
        """Use up a promise for a marked retry; False if none is due. Each promise is used once."""
        self.expire(now_us)
        if not self.times_us or self.times_us[0] > now_us:
            return False
        del self.times_us[0]
        self.return_rate += RETURN_RATE_STEP * (1 - self.return_rate)
        return True

    def reserved_amount(self, window: Window, cost: int, now_us: int) -> int:
        """Returns the amount to keep free in a window of this level for promised retries.

        At each time when a slot expires, the retries due by then must fit beside what is still charged. Their
        number is estimated as the mean by the return rate plus one standard deviation, and each is assumed to
        cost as much as the current job.
        """
        self.expire(now_us)
        if self.return_rate < MIN_RETURN_RATE or not self.times_us:
            return 0
        reserved = freed = 0
        for expires_us, amount in window.expirations(now_us):
            due = bisect_left(self.times_us, expires_us)
            if due:
                mean = self.return_rate * due
                expected = min(due, math.ceil(mean + math.sqrt(mean * (1 - self.return_rate))))
                reserved = max(reserved, expected * cost - freed)
            freed += amount
        return reserved

    def earliest_free_us(self, window: Window, limit: int, cost: int, at_us: int) -> int:
        """Returns the earliest time from `at_us` when a window can hold a job beside promised retries.

        All promised retries are assumed to come, each at the cost of this job.
        """
        span_us = window.span_us + window.slot_us
        iterations = 0
        while True:
            iterations += 1
            if iterations == MAX_SEARCH_STEPS and self.times_us:
                at_us = max(at_us, self.times_us[-1])  # bounds the loop: skips all promises
            first, last = bisect_right(self.times_us, at_us - span_us), bisect_right(self.times_us, at_us)
            remaining, expires_us = window.remaining_at(at_us)
            over = remaining + (last - first + 1) * cost - limit
            if over <= 0:
                return at_us
            if remaining:
                at_us = expires_us
            elif first < last:
                at_us = self.times_us[min(last, first - (-over // cost)) - 1] + span_us
            else:
                return at_us

    def expire(self, now_us: int) -> None:
        """Remove promises whose retries have not come in time, and lower the return rate for them."""
        expired = bisect_left(self.times_us, now_us - RETRY_GRACE_US)
        if expired:
            del self.times_us[:expired]
            self.return_rate *= (1 - RETURN_RATE_STEP) ** expired
