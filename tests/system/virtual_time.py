"""An event loop whose clock jumps to the next timer instead of waiting.

It supports only what simulations in memory need: callbacks, timers, tasks and futures. It has no selector, so
nothing outside the simulation can wake it, and an iteration costs a fraction of asyncio's.
"""

from __future__ import annotations

import asyncio
import heapq
import sys
import threading
from asyncio import events
from collections import deque
from collections.abc import AsyncGenerator, Callable, Coroutine, Generator
from contextvars import Context, copy_context
from typing import Any, TypeVar

T = TypeVar("T")

MAX_VIRTUAL_TIME_S = 3_600.0
MIN_DELAY_S = 2e-9  # a shorter delay might not advance the clock
CLOCK_PRECISION_S = 1e-9  # timers that are due within this time from now run now
MAX_ITERATIONS_AT_ONE_TIME = 100_000  # while the clock does not advance
ExceptionHandler = Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object]


class Handle:
    """A scheduled callback; creating asyncio's own handle costs twice as much."""

    __slots__ = ("args", "callback", "context", "due_s", "is_cancelled")

    def __init__(
        self, callback: Callable[..., object], args: tuple[Any, ...], context: Context | None, due_s: float
    ) -> None:
        self.callback = callback
        self.args = args
        self.context = copy_context() if context is None else context
        self.due_s = due_s
        self.is_cancelled = False

    def cancel(self) -> None:
        """Prevent the callback from running."""
        self.is_cancelled = True

    def cancelled(self) -> bool:
        """Returns whether the handle was cancelled."""
        return self.is_cancelled

    def when(self) -> float:
        """Returns the time of the loop's clock at which the callback is due."""
        return self.due_s


class VirtualTimeLoop(asyncio.AbstractEventLoop):
    """Runs callbacks in the order in which they became ready, and timers in order of time without waiting."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._ready: deque[Handle] = deque()
        self._timers: list[tuple[float, int, Handle]] = []
        self._timer_count = 0
        self._iterations_at_one_time = 0
        self._stopping = False
        self._running = False
        self._closed = False
        self._exception_handler: ExceptionHandler | None = None

    # Time, callbacks and timers

    def time(self) -> float:
        """Returns the virtual seconds since the start."""
        return self._now_s

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        """Run the callback in the next iteration."""
        handle = Handle(callback, args, context, self._now_s)
        self._ready.append(handle)
        return handle

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        """As `call_soon`; raises RuntimeError in another thread, whose timing would not be reproducible."""
        if threading.current_thread() is not threading.main_thread():
            raise RuntimeError("only the main thread may schedule callbacks in a simulation")
        return self.call_soon(callback, *args, context=context)

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        """As asyncio's, but a positive delay always advances the clock, as on a real clock."""
        delay_s = MIN_DELAY_S if 0 < delay < MIN_DELAY_S else delay
        return self.call_at(self._now_s + delay_s, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        """Run the callback once the clock reaches `when`; of equal times, the first scheduled runs first."""
        handle = Handle(callback, args, context, when)
        self._timer_count += 1
        heapq.heappush(self._timers, (when, self._timer_count, handle))
        return handle

    # Tasks and futures

    def create_future(self) -> asyncio.Future[Any]:
        """Returns a new future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Generator[Any, None, T] | Coroutine[Any, Any, T],
        *,
        name: str | None = None,
        context: Context | None = None,
    ) -> asyncio.Task[T]:
        """Returns a new task of this loop."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def set_exception_handler(self, handler: ExceptionHandler | None) -> None:
        """Set the function that is called with unhandled exceptions; None prints them."""
        self._exception_handler = handler

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Report an unhandled exception to the handler, or on standard error without one."""
        if self._exception_handler is not None:
            self._exception_handler(self, context)
            return
        print(f"{context.get('message')}: {context.get('exception')!r}", file=sys.stderr)

    def get_debug(self) -> bool:
        """Returns False: asyncio's debug mode needs a real clock."""
        return False

    # Running

    def is_running(self) -> bool:
        """Returns whether the loop is running."""
        return self._running

    def is_closed(self) -> bool:
        """Returns whether the loop was closed."""
        return self._closed

    def stop(self) -> None:
        """Stop after the current iteration."""
        self._stopping = True

    def run_until_complete(self, future: Any) -> Any:
        """Run until the future is done; returns its result."""
        task = asyncio.ensure_future(future, loop=self)
        task.add_done_callback(self._stop_after)
        self._run()
        if not task.done():
            raise RuntimeError("the loop was stopped before the future was done")
        return task.result()

    def run_forever(self) -> None:
        """Run until `stop`."""
        self._run()

    def _stop_after(self, _task: asyncio.Future[Any]) -> None:
        self._stopping = True

    def _run(self) -> None:
        previous = sys.get_asyncgen_hooks()
        sys.set_asyncgen_hooks(finalizer=self._close_generator)
        events._set_running_loop(self)
        self._running, self._stopping = True, False
        try:
            while not self._stopping:
                self._run_iteration()
        finally:
            self._running = False
            events._set_running_loop(None)
            sys.set_asyncgen_hooks(*previous)

    def _close_generator(self, generator: AsyncGenerator[Any, Any]) -> None:
        if not self._closed:
            self.create_task(generator.aclose())

    def _run_iteration(self) -> None:
        """Run what is ready now; if nothing is, advance the clock first."""
        if self._ready:
            self._iterations_at_one_time += 1
            if self._iterations_at_one_time > MAX_ITERATIONS_AT_ONE_TIME:
                raise RuntimeError(f"the clock does not advance from {self._now_s} s: tasks run without end")
        else:
            self._iterations_at_one_time = 0
            self._advance_clock()
        self._queue_due_timers()
        for _ in range(len(self._ready)):
            handle = self._ready.popleft()
            if not handle.is_cancelled:
                self.run_handle(handle)

    def run_handle(self, handle: Handle) -> None:
        """Run one callback and report an unhandled exception."""
        try:
            handle.context.run(handle.callback, *handle.args)
        except Exception as error:
            self.call_exception_handler({"message": f"in {handle.callback!r}", "exception": error})

    def _advance_clock(self) -> None:
        """Advance the clock to the next timer."""
        timers = self._timers
        while timers and timers[0][2].is_cancelled:
            heapq.heappop(timers)
        if not timers:
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
        self._now_s = max(self._now_s, timers[0][0])
        if self._now_s > MAX_VIRTUAL_TIME_S:
            raise RuntimeError("the simulation does not end")

    def _queue_due_timers(self) -> None:
        timers, ready = self._timers, self._ready
        due = self._now_s + CLOCK_PRECISION_S
        while timers and timers[0][0] < due:
            ready.append(heapq.heappop(timers)[2])

    def close(self) -> None:
        """Drop all pending callbacks and timers."""
        self._closed = True
        self._ready.clear()
        self._timers.clear()

    async def shutdown_asyncgens(self) -> None:
        """Does nothing: generators are closed when they are garbage-collected."""

    async def shutdown_default_executor(self, timeout: float | None = None) -> None:
        """Does nothing: there is no executor."""


class Repeating:
    """Calls an action periodically, for the first time after one interval, until it is cancelled.

    It uses a timer, because a task that sleeps costs twice as much. The action runs in the context in which
    the object was created.
    """

    def __init__(self, interval_s: float, action: Callable[[], object]) -> None:
        self._interval_s = interval_s
        self._action = action
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(interval_s, self._run_action)

    def _run_action(self) -> None:
        self._timer = self._loop.call_later(self._interval_s, self._run_action)
        self._action()

    def cancel(self) -> None:
        """Stop calling the action."""
        self._timer.cancel()


def run_virtual(scenario: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time; returns its result."""
    loop = VirtualTimeLoop()  # type: ignore[abstract]
    try:
        result: T = loop.run_until_complete(scenario)
        return result
    finally:
        loop.close()
