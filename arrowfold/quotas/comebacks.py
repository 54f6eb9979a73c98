"""Who was told when to come back, at one level, and what is kept free for them.

Guards advice that would not hold: while new jobs keep coming they take all that gets free, and who comes back
when told would be turned away again. Only as much is kept as those who were told do use, by late experience,
so clients that never come back, or don't say that they do, cost next to nothing.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right, insort

from arrowfold.quotas.window import Window

GRACE_US = 500_000  # who is later than that has not come
STEP = 0.02  # how much one of them tells of the next
LEAST = 0.01  # a smaller share than this is none
MOST = 10_000  # told and not yet due
MOST_STEPS = 64  # looks for a time among those who were told


class Comebacks:
    """The times that were told at one level or below it."""

    __slots__ = ("shown", "times")

    def __init__(self) -> None:
        self.times: list[int] = []  # in order; when each is due
        self.shown = 0.0  # the share, lately, that came when told and said so

    def tell(self, due_us: int) -> None:
        """Somebody was told this time. A crowd beyond the bound is kept nothing."""
        if len(self.times) < MOST:
            insort(self.times, due_us)

    def take(self, now_us: int) -> bool:
        """A job says that it comes back; whether one was told to by now. Each that was told counts once."""
        self.pass_by(now_us)
        if not self.times or self.times[0] > now_us:
            return False
        del self.times[0]
        self.shown += STEP * (1 - self.shown)
        return True

    def kept(self, window: Window, cost: int, now_us: int) -> int:
        """What has to stay free in a window of this level now, so that it holds those who will come.

        Up to each moment at which something leaves the window, those due by then fit beside what is still
        there, as many of them as usually come and as much again as their number varies. As if each cost as
        much as the job that asks.
        """
        self.pass_by(now_us)
        if self.shown < LEAST or not self.times:
            return 0
        kept = left = 0
        for leaves_us, amount in window.leaving(now_us):
            due = bisect_left(self.times, leaves_us)
            if due:
                mean = self.shown * due
                likely = min(due, math.ceil(mean + math.sqrt(mean * (1 - self.shown))))
                kept = max(kept, likely * cost - left)
            left += amount
        return kept

    def earliest(self, window: Window, limit: int, cost: int, at_us: int) -> int:
        """When, from `at_us` on, a window of this level holds one more job beside those who were told.

        As if each that was told came, and cost as much as this one.
        """
        span_us = window.span_us + window.slot_us
        steps = 0
        while True:
            steps += 1
            if steps == MOST_STEPS and self.times:
                at_us = max(at_us, self.times[-1])  # guards the loop against long queues: behind all of them
            first, last = bisect_right(self.times, at_us - span_us), bisect_right(self.times, at_us)
            live, leaves_us = window.live(at_us)
            over = live + (last - first + 1) * cost - limit
            if over <= 0:
                return at_us
            if live:
                at_us = leaves_us
            elif first < last:
                at_us = self.times[min(last, first - (-over // cost)) - 1] + span_us
            else:
                return at_us

    def pass_by(self, now_us: int) -> None:
        """Those that have not come in time are no longer waited for."""
        gone = bisect_left(self.times, now_us - GRACE_US)
        if gone:
            del self.times[:gone]
            self.shown *= (1 - STEP) ** gone
