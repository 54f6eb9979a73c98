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

    def call_at(self, when: timedelta, callback: Callable[[], None]) -> _Timer:
        """Schedules a call at a time, at once if that has passed; equal times keep their order."""
        self._count += 1
        timer = _Timer(callback)
        heapq.heappush(self._heap, (max(when, self.time), self._count, timer))
        return timer

    def call_later(self, delay: timedelta, callback: Callable[[], None]) -> _Timer:
        """Schedules a call after a delay."""
        return self.call_at(self.time + delay, callback)

    def run(self, until: timedelta, is_over: Callable[[], bool]) -> None:
        """Runs due timers in order, up to a time or until `is_over` returns true."""
        while self._heap and self._heap[0][0] <= until and not is_over():
            self.time, _, timer = heapq.heappop(self._heap)
            if timer.callback is not None:
                timer.callback()


class _Timer:
    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None
