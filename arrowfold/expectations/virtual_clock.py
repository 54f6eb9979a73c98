"""Virtual time for worlds: timers fire in order, and nothing waits."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from datetime import timedelta

START = timedelta(seconds=1000)  # of virtual time: a start at 0 would mean long ago


class Clock:
    """Virtual time: nothing waits."""

    def __init__(self) -> None:
        self.time, self._heap, self._count = START, list[tuple[timedelta, int, _Timer]](), 0

    def now(self) -> timedelta:
        return self.time

    def call_at(self, when: timedelta, call: Callable[[], None]) -> _Timer:
        self._count += 1
        timer = _Timer(call)
        heapq.heappush(self._heap, (max(when, self.time), self._count, timer))
        return timer

    def call_later(self, delay: timedelta, call: Callable[[], None]) -> _Timer:
        return self.call_at(self.time + delay, call)

    def run(self, until: timedelta, over: Callable[[], bool]) -> None:
        """Let what is due happen, in order, until a time or until it is over."""
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
