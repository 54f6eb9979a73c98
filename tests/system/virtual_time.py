"""An event loop whose clock jumps to the next timer instead of waiting.

It does only what stories in memory need: callbacks, timers, tasks and futures. It has no selector, so nothing
outside the story can wake it, and a turn costs a fraction of asyncio's.
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

LONGEST_STORY_S = 3_600.0  # of virtual time
SHORTEST_WAIT_S = 2e-9  # what is shorter would not move the clock
CLOCK_PRECISION_S = 1e-9  # timers that are due within this run together
MOST_TURNS_AT_ONCE = 100_000  # of the loop, while its clock stands
ExceptionHandler = Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object]


class Handle:
    """A callback that waits for its turn or its moment; asyncio's own costs twice as much to make."""

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
        """Don't run it."""
        self.is_cancelled = True

    def cancelled(self) -> bool:
        """Whether it will not run."""
        return self.is_cancelled

    def when(self) -> float:
        """When it is due, by the loop's clock."""
        return self.due_s


class VirtualTimeLoop(asyncio.AbstractEventLoop):
    """Runs callbacks in the order in which they became ready, and timers in order of time, at once."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._ready: deque[Handle] = deque()
        self._timers: list[tuple[float, int, Handle]] = []
        self._timers_made = 0
        self._turns_at_once = 0
        self._stopping = False
        self._running = False
        self._closed = False
        self._exception_handler: ExceptionHandler | None = None

    # Time, callbacks and timers

    def time(self) -> float:
        """Virtual seconds since the start."""
        return self._now_s

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        """Run the callback in the next turn."""
        handle = Handle(callback, args, context, self._now_s)
        self._ready.append(handle)
        return handle

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        """As `call_soon`; of another thread, which could not be played again, it is refused."""
        if threading.current_thread() is not threading.main_thread():
            raise RuntimeError("no other thread may take part in a story")
        return self.call_soon(callback, *args, context=context)

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        """As asyncio's, but time that is waited for always passes, as on a real clock."""
        waited_s = SHORTEST_WAIT_S if 0 < delay < SHORTEST_WAIT_S else delay
        return self.call_at(self._now_s + waited_s, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        """Run the callback once the clock has come to `when`; of one moment, the first set runs first."""
        handle = Handle(callback, args, context, when)
        self._timers_made += 1
        heapq.heappush(self._timers, (when, self._timers_made, handle))
        return handle

    # Tasks and futures

    def create_future(self) -> asyncio.Future[Any]:
        """A future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Generator[Any, None, T] | Coroutine[Any, Any, T],
        *,
        name: str | None = None,
        context: Context | None = None,
    ) -> asyncio.Task[T]:
        """A task of this loop."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def set_exception_handler(self, handler: ExceptionHandler | None) -> None:
        """Who is told of exceptions that nobody takes."""
        self._exception_handler = handler

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Tell of an exception that nobody takes."""
        if self._exception_handler is not None:
            self._exception_handler(self, context)
            return
        print(f"{context.get('message')}: {context.get('exception')!r}", file=sys.stderr)

    def get_debug(self) -> bool:
        """Never: asyncio's debugging asks for a real clock."""
        return False

    # Running

    def is_running(self) -> bool:
        """Whether a story runs on it."""
        return self._running

    def is_closed(self) -> bool:
        """Whether it was closed."""
        return self._closed

    def stop(self) -> None:
        """End after this turn."""
        self._stopping = True

    def run_until_complete(self, future: Any) -> Any:
        """Run until the story has ended; its result."""
        task = asyncio.ensure_future(future, loop=self)
        task.add_done_callback(self._stop_after)
        self._run()
        if not task.done():
            raise RuntimeError("the loop was stopped before the story ended")
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
                self._turn()
        finally:
            self._running = False
            events._set_running_loop(None)
            sys.set_asyncgen_hooks(*previous)

    def _close_generator(self, generator: AsyncGenerator[Any, Any]) -> None:
        if not self._closed:
            self.create_task(generator.aclose())

    def _turn(self) -> None:
        """Run what is ready now; if nothing is, move the clock first."""
        if self._ready:
            self._turns_at_once += 1
            if self._turns_at_once > MOST_TURNS_AT_ONCE:
                raise RuntimeError(f"the clock stands at {self._now_s} s: tasks run without end")
        else:
            self._turns_at_once = 0
            self._jump()
        self._take_due()
        for _ in range(len(self._ready)):
            handle = self._ready.popleft()
            if not handle.is_cancelled:
                self.run_handle(handle)

    def run_handle(self, handle: Handle) -> None:
        """Run one callback; an exception that nobody takes is told."""
        try:
            handle.context.run(handle.callback, *handle.args)
        except Exception as error:
            self.call_exception_handler({"message": f"in {handle.callback!r}", "exception": error})

    def _jump(self) -> None:
        """Move the clock to the next timer."""
        timers = self._timers
        while timers and timers[0][2].is_cancelled:
            heapq.heappop(timers)
        if not timers:
            raise RuntimeError("all tasks wait, and no timer is set")
        self._now_s = max(self._now_s, timers[0][0])
        if self._now_s > LONGEST_STORY_S:
            raise RuntimeError("the story does not end")

    def _take_due(self) -> None:
        timers, ready = self._timers, self._ready
        due = self._now_s + CLOCK_PRECISION_S
        while timers and timers[0][0] < due:
            ready.append(heapq.heappop(timers)[2])

    def close(self) -> None:
        """Drop all that still waits."""
        self._closed = True
        self._ready.clear()
        self._timers.clear()

    async def shutdown_asyncgens(self) -> None:
        """Nothing: generators are closed as they are dropped."""

    async def shutdown_default_executor(self, timeout: float | None = None) -> None:
        """Nothing: there is no executor."""


class Repeating:
    """Calls an action again and again, from one interval after now on, until it is cancelled.

    A timer only: a task that sleeps costs twice as much. It belongs to the context in which it was made.
    """

    def __init__(self, interval_s: float, action: Callable[[], object]) -> None:
        self._interval_s = interval_s
        self._action = action
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(interval_s, self._act)

    def _act(self) -> None:
        self._timer = self._loop.call_later(self._interval_s, self._act)
        self._action()

    def cancel(self) -> None:
        """Call it no more."""
        self._timer.cancel()


def run_virtual(story: Coroutine[Any, Any, T]) -> T:
    """Run a story to its end in virtual time."""
    loop = VirtualTimeLoop()  # type: ignore[abstract]
    try:
        result: T = loop.run_until_complete(story)
        return result
    finally:
        loop.close()
