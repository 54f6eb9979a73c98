"""A `select.epoll` loop that runs generators as coroutines.

A task parks itself with a bare `yield` and runs on when somebody wakes it. Wakes carry no value and
may be spurious: who parks looks at its condition again, as with a condition variable.
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
Steps = Generator[None, None, T]  # what a coroutine is here: parks at each yield, returns a T

ZERO = timedelta(0)
LONGEST_POLL = timedelta(seconds=1)
MOST_EVENTS = 64  # in one turn, so that who is urgent waits for no crowd


class Watcher(Protocol):
    """Who is told what epoll saw of a descriptor."""

    def on_ready(self, mask: int) -> None: ...


class Timer:
    """A call that is due at a time, until it is cancelled."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Task:
    """A running generator."""

    __slots__ = ("done", "loop", "name", "queued", "steps", "urgent")

    def __init__(self, loop: Loop, steps: Steps[None], name: str, urgent: bool = False) -> None:
        self.loop, self.steps, self.name, self.urgent = loop, steps, name, urgent
        self.queued = self.done = False

    def wake(self) -> None:
        """Let the task run on in this turn of the loop."""
        if not self.queued and not self.done:
            self.queued = True
            if self.urgent:
                self.loop.ready.appendleft(self)
            else:
                self.loop.ready.append(self)

    def stop(self) -> None:
        """End the task where it is parked; its `finally` blocks run now."""
        if not self.done and self.loop.current is not self:
            self.done = True
            self.steps.close()

    def run(self) -> None:
        self.queued = False
        if self.done:
            return
        outer, self.loop.current = self.loop.current, self
        try:
            next(self.steps)
        except StopIteration:
            self.done = True
        except Exception as error:
            # Guards against one peer's input ending the process: only this task is given up.
            self.done = True
            self.loop.on_fault(self.name, error)
        finally:
            self.loop.current = outer


class Loop:
    """The loop of a process: one thread, one epoll."""

    def __init__(self, on_fault: Callable[[str, BaseException], None]) -> None:
        self.epoll = select.epoll()
        self.watchers: dict[int, Watcher] = {}
        self.urgent: set[int] = set()  # descriptors served before all others in each turn
        self.fresh: set[int] = set()  # descriptors watched since epoll was last asked
        self.ready: deque[Task] = deque()
        self.timers: list[tuple[timedelta, int, Timer]] = []
        self.sequence = 0
        self.current: Task | None = None
        self.stopping = False
        self.on_fault = on_fault
        # Unix time that never jumps: discovery's start times and the module's clock must agree.
        self._epoch = timedelta(seconds=time.time()) - timedelta(seconds=time.monotonic())

    def now(self) -> timedelta:
        """Time since the Unix epoch, going forward only."""
        return self._epoch + timedelta(seconds=time.monotonic())

    def watch(self, fd: int, watcher: Watcher, urgent: bool = False) -> None:
        """Tell the watcher of each change of this descriptor; who is urgent comes first in each turn."""
        self.watchers[fd] = watcher
        self.fresh.add(fd)
        if urgent:
            self.urgent.add(fd)
        self.epoll.register(fd, select.EPOLLIN | select.EPOLLOUT | select.EPOLLRDHUP | select.EPOLLET)

    def unwatch(self, fd: int) -> None:
        self.urgent.discard(fd)
        if self.watchers.pop(fd, None) is not None:
            self.epoll.unregister(fd)

    def call_at(self, when: timedelta, call: Callable[[], None]) -> Timer:
        self.sequence += 1
        timer = Timer(call)
        heapq.heappush(self.timers, (when, self.sequence, timer))
        return timer

    def call_later(self, delay: timedelta, call: Callable[[], None]) -> Timer:
        return self.call_at(self.now() + delay, call)

    def spawn(self, steps: Steps[None], name: str, urgent: bool = False) -> Task:
        task = Task(self, steps, name, urgent)
        task.wake()
        return task

    def park(self, until: timedelta | None = None) -> Steps[None]:
        """Wait to be woken, at the latest at a time."""
        task = self.current
        assert task is not None, "only a task can wait"
        timer = self.call_at(until, task.wake) if until is not None else None
        try:
            yield
        finally:
            if timer is not None:
                timer.cancel()

    def turn(self) -> Steps[None]:
        """Let everybody else run first. Guards against one peer that always has more for us."""
        assert self.current is not None, "only a task can wait"
        self.current.wake()
        yield

    def sleep(self, span: timedelta) -> Steps[None]:
        until = self.now() + span
        while self.now() < until:
            yield from self.park(until)

    def run(self) -> None:
        """Turn until `stopping` is set."""
        while not self.stopping:
            self._run_ready()
            self.fresh.clear()
            events = self.epoll.poll(0 if self.ready else self._poll_span(), MOST_EVENTS)
            if not self.urgent.isdisjoint(fd for fd, _ in events):
                events.sort(key=lambda event: event[0] not in self.urgent)
            for fd, mask in events:
                # Guards who has just been given a closed one's number against what epoll saw of that one.
                watcher = self.watchers.get(fd) if fd not in self.fresh else None
                if watcher is not None:
                    watcher.on_ready(mask)
                    self._run_ready()
            self._fire()

    def _run_ready(self) -> None:
        """Run who is ready now; who wakes itself meanwhile waits for the next pass."""
        for _ in range(len(self.ready)):
            self.ready.popleft().run()

    def _poll_span(self) -> float:
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
        if not self.timers:
            return LONGEST_POLL.total_seconds()
        return max(ZERO, min(self.timers[0][0] - self.now(), LONGEST_POLL)).total_seconds()

    def _fire(self) -> None:
        now = self.now()
        while self.timers and self.timers[0][0] <= now:
            call = heapq.heappop(self.timers)[2].call
            if call is not None:
                try:
                    call()
                except Exception as error:
                    self.on_fault("timer", error)
            self._run_ready()
