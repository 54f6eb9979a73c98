"""Virtual clock for simulated worlds: timers fire in order of time without real waiting."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from datetime import timedelta

START = timedelta(seconds=1000)  # a start time of 0 would mean that a server started long ago


class Clock:
    """A clock whose time advances from timer to timer."""

    def __init__(self) -> None:
        self.time, self._heap, self._count = START, list[tuple[timedelta, int, _Timer]](), 0

    def now(self) -> timedelta:
        """Returns the current virtual time."""
        return self.time

    def call_at(self, when: timedelta, call: Callable[[], None]) -> _Timer:
        """Schedules a call at a time, at once if that has passed; equal times keep their order."""
        self._count += 1
        timer = _Timer(call)
        heapq.heappush(self._heap, (max(when, self.time), self._count, timer))
        return timer

    def call_later(self, delay: timedelta, call: Callable[[], None]) -> _Timer:
        """Schedules a call after a delay."""
        return self.call_at(self.time + delay, call)

    def run(self, until: timedelta, over: Callable[[], bool]) -> None:
        """Runs due timers in order, up to a time or until `over` returns true."""
        while self._heap and self._heap[0][0] <= until and not over():
            self.time, _, timer = heapq.heappop(self._heap)
            if timer.call is not None:
                timer.call()


class _Timer:
    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None
