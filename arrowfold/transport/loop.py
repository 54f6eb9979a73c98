"""An event loop on `select.epoll` that runs generators as coroutines.

A task suspends itself with a bare `yield` and continues when `Task.wake` is called. Wake-ups carry no value
and may be spurious: a task must check its condition again, as with a condition variable.
"""

from __future__ import annotations

import heapq
import select
import time
from collections import deque
from collections.abc import Callable, Generator
from datetime import timedelta
from typing import Protocol, TypeVar

T = TypeVar("T")
Steps = Generator[None, None, T]  # a coroutine: suspends at each yield, returns a T

ZERO = timedelta(0)
MAX_POLL_WAIT = timedelta(seconds=1)
MAX_EVENTS_PER_POLL = 64  # bounds the time until urgent descriptors are served again


class Watcher(Protocol):
    """Receives the epoll events of a descriptor."""

    def on_ready(self, mask: int) -> None:
        """Handles an event; `mask` holds epoll event bits."""
        ...


class Timer:
    """A scheduled call that can be cancelled."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Task:
    """A coroutine run by the loop; an `urgent` one is queued before all others."""

    __slots__ = ("done", "loop", "name", "queued", "steps", "urgent")

    def __init__(self, loop: Loop, steps: Steps[None], name: str, urgent: bool = False) -> None:
        self.loop, self.steps, self.name, self.urgent = loop, steps, name, urgent
        self.queued = self.done = False

    def wake(self) -> None:
        """Schedules the task to continue in this turn of the loop."""
        if not self.queued and not self.done:
            self.queued = True
            if self.urgent:
                self.loop.ready.appendleft(self)
            else:
                self.loop.ready.append(self)

    def stop(self) -> None:
        """Ends the task where it is suspended; its `finally` blocks run now."""
        if not self.done and self.loop.current is not self:
            self.done = True
            self.steps.close()

    def run(self) -> None:
        """Runs the task up to its next suspension."""
        self.queued = False
        if self.done:
            return
        outer, self.loop.current = self.loop.current, self
        try:
            next(self.steps)
        except StopIteration:
            self.done = True
        except Exception as error:
            # One peer's input must not end the process: only this task ends.
            self.done = True
            self.loop.on_fault(self.name, error)
        finally:
            self.loop.current = outer


class Loop:
    """The event loop of a process: one thread, one epoll instance."""

    def __init__(self, on_fault: Callable[[str, BaseException], None]) -> None:
        self.epoll = select.epoll()
        self.watchers: dict[int, Watcher] = {}
        self.urgent: set[int] = set()  # descriptors served before all others in each turn
        self.newly_watched: set[int] = set()  # descriptors registered since the last poll
        self.ready: deque[Task] = deque()
        self.timers: list[tuple[timedelta, int, Timer]] = []
        self.sequence = 0
        self.current: Task | None = None
        self.stopping = False
        self.on_fault = on_fault
        # Unix time that never jumps: the dispatcher compares its clock with start times from discovery.
        self._epoch = timedelta(seconds=time.time()) - timedelta(seconds=time.monotonic())

    def now(self) -> timedelta:
        """Returns the time since the Unix epoch; monotonic."""
        return self._epoch + timedelta(seconds=time.monotonic())

    def watch(self, fd: int, watcher: Watcher, urgent: bool = False) -> None:
        """Registers a watcher for a descriptor's events, edge-triggered; urgent ones are served first."""
        self.watchers[fd] = watcher
        self.newly_watched.add(fd)
        if urgent:
            self.urgent.add(fd)
        self.epoll.register(fd, select.EPOLLIN | select.EPOLLOUT | select.EPOLLRDHUP | select.EPOLLET)

    def unwatch(self, fd: int) -> None:
        """Removes a descriptor's watcher; to be called before the descriptor is closed."""
        self.urgent.discard(fd)
        if self.watchers.pop(fd, None) is not None:
            self.epoll.unregister(fd)

    def call_at(self, when: timedelta, call: Callable[[], None]) -> Timer:
        """Schedules a call; calls due at the same time run in the order of their scheduling."""
        self.sequence += 1
        timer = Timer(call)
        heapq.heappush(self.timers, (when, self.sequence, timer))
        return timer

    def call_later(self, delay: timedelta, call: Callable[[], None]) -> Timer:
        """Schedules a call after a delay."""
        return self.call_at(self.now() + delay, call)

    def spawn(self, steps: Steps[None], name: str, urgent: bool = False) -> Task:
        """Starts a coroutine as a task; `name` is passed to `on_fault` if it raises."""
        task = Task(self, steps, name, urgent)
        task.wake()
        return task

    def park(self, until: timedelta | None = None) -> Steps[None]:
        """Suspends the current task until it is woken or the given time has come."""
        task = self.current
        assert task is not None, "only a task can be suspended"
        timer = self.call_at(until, task.wake) if until is not None else None
        try:
            yield
        finally:
            if timer is not None:
                timer.cancel()

    def turn(self) -> Steps[None]:
        """Yields to all other tasks, so that a peer with endless input can't monopolise the loop."""
        assert self.current is not None, "only a task can be suspended"
        self.current.wake()
        yield

    def sleep(self, span: timedelta) -> Steps[None]:
        """Suspends the current task for at least this time."""
        until = self.now() + span
        while self.now() < until:
            yield from self.park(until)

    def run(self) -> None:
        """Runs until `stopping` is set."""
        while not self.stopping:
            self._run_ready()
            self.newly_watched.clear()
            events = self.epoll.poll(0 if self.ready else self._poll_timeout(), MAX_EVENTS_PER_POLL)
            if not self.urgent.isdisjoint(fd for fd, _ in events):
                events.sort(key=lambda event: event[0] not in self.urgent)
            for fd, mask in events:
                # A descriptor registered during this turn may reuse the number of a closed one, whose events
                # must not reach it.
                watcher = self.watchers.get(fd) if fd not in self.newly_watched else None
                if watcher is not None:
                    watcher.on_ready(mask)
                    self._run_ready()
            self._fire_timers()

    def _run_ready(self) -> None:
        """Runs the tasks that are ready now; tasks woken meanwhile wait for the next pass."""
        for _ in range(len(self.ready)):
            self.ready.popleft().run()

    def _poll_timeout(self) -> float:
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
        if not self.timers:
            return MAX_POLL_WAIT.total_seconds()
        return max(ZERO, min(self.timers[0][0] - self.now(), MAX_POLL_WAIT)).total_seconds()

    def _fire_timers(self) -> None:
        now = self.now()
        while self.timers and self.timers[0][0] <= now:
            call = heapq.heappop(self.timers)[2].call
            if call is not None:
                try:
                    call()
                except Exception as error:
                    self.on_fault("timer", error)
            self._run_ready()
