"""An event loop whose clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from contextvars import Context
from typing import Any, TypeVar, TypeVarTuple

T = TypeVar("T")
Arguments = TypeVarTuple("Arguments")
LONGEST_STORY_S = 3_600.0  # of virtual time
SHORTEST_WAIT_S = 2e-9  # twice the precision that asyncio assumes: what is shorter would not move the clock
MOST_TURNS_AT_ONCE = 100_000  # of the loop, while its clock stands


class _JumpingSelector(selectors.SelectSelector):
    """Never waits: what it was to wait is added to the loop's clock."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self._turns_at_once = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("all tasks wait, and no timer is set")
        self._turns_at_once = 0 if timeout > 0 else self._turns_at_once + 1
        if self._turns_at_once > MOST_TURNS_AT_ONCE:
            raise RuntimeError(f"the clock stands at {self.now_s} s: tasks run without end")
        if timeout > 0:
            self.now_s += timeout
        if self.now_s > LONGEST_STORY_S:
            raise RuntimeError("the story does not end")
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order of time, at once."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Virtual seconds since the start."""
        return self._jumping.now_s

    def call_later(
        self,
        delay: float,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """As asyncio's, but time that is waited for always passes, as on a real clock."""
        waited_s = max(delay, SHORTEST_WAIT_S) if delay > 0 else delay
        return super().call_later(waited_s, callback, *args, context=context)


def run_virtual(story: Coroutine[Any, Any, T]) -> T:
    """Run a story to its end in virtual time."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(story)
    finally:
        loop.close()
