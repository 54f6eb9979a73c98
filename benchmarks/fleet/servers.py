"""Model of a backend worker: slots, a bounded queue, cold starts, delayed load reports, connection costs."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from arrowfold import interface as api

MS = 1_000
SECOND = 1_000_000
FETCH_COST = 0.5  # extra work for a key that is not cached, as a share of the request's own work
MAX_CACHED_KEYS = 12  # keys in a worker's cache, least recently used evicted first
QUEUE_SHARE = 1.0  # maximum queue length as a share of the slots
RESTART_US = 3 * SECOND
MAX_CONNECTIONS = 90
HANDSHAKE_US = 6 * MS


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt as its worker sees it. `work_us` is the run time at speed 1, without cache misses."""

    work_us: int
    key: str
    on_start: Callable[[], None]
    on_end: Callable[[api.Status], None]
    node: int
    ended: bool = False
    running: bool = False
    connected_boot: int | None = None  # `boot_count` of the worker when the connection was made
    end_reported: bool = False  # the node has received the attempt's end


@dataclass(eq=False)
class Worker:
    """One worker. `schedule(delay_us, function)` queues a function on the world's clock; `now()` reads it.

    `on_overload(worker, sends)` is called when a cold worker crashes from overload, with the attempts sent
    to it within the overload window as (time, work, node number).
    """

    settings: api.Settings
    name: str
    zone: str
    kind: str
    slots: int
    speed: float
    started_us: int
    now: Callable[[], int]
    schedule: Callable[[float, Callable[[], object]], None]
    rng: random.Random
    on_overload: Callable[[Worker, list[tuple[int, int, int]]], None]
    is_up: bool = True
    draining: bool = False
    is_failing: bool = False
    busy: int = 0
    open_connections: int = 0
    boot_count: int = 0  # restarts so far; each one closes all connections
    errors: float = 0.0
    active: list[Attempt] = field(default_factory=list)
    queue: deque[Attempt] = field(default_factory=deque)
    cached_keys: OrderedDict[str, None] = field(default_factory=OrderedDict)
    # Attempts within the overload window: (time in us, work in us, node number).
    recent_sends: deque[tuple[int, int, int]] = field(default_factory=deque)
    recent_work_us: float = 0.0  # total work in `recent_sends`
    peak_budget_use: float = 0.0  # largest share of the cold-start budget used
    crash_count: int = 0
    cached_report: api.LoadReport | None = None
    report_refresh_us: int = -1

    def capacity_share(self) -> float:
        """Returns the share of full capacity available now; below 1 during warm-up."""
        age_us, warm_up_us, initial_share = (
            self.now() - self.started_us, self.settings.cold_us, self.settings.cold_from)
        return 1.0 if not self.started_us or age_us >= warm_up_us else (
            initial_share + (1 - initial_share) * age_us / warm_up_us)

    def report(self) -> api.LoadReport:
        """Returns the worker's load report. It is refreshed every 0.1 to 1.5 s, so it may be out of date."""
        if self.now() >= self.report_refresh_us:
            free_slots = self.slots - self.busy - len(self.queue)
            self.cached_report = api.LoadReport(
                free_slots=max(0.0, free_slots + self.rng.gauss(0, 0.2)), held=self.busy + len(self.queue),
                errors=self.errors)
            self.errors *= 0.5
            self.report_refresh_us = self.now() + int(self.rng.uniform(100 * MS, 1500 * MS))
        assert self.cached_report is not None
        return self.cached_report

    def accept(self, attempt: Attempt) -> None:
        """Handles an attempt that has arrived whole: queues it, or ends it with an error or a refusal."""
        if not self.is_up:
            attempt.on_end(api.Status.CONNECT_FAILED)
            return
        self._record_cold_work(attempt)
        if self.is_failing:
            self.errors += 1
            self.schedule(5 * MS, lambda: attempt.on_end(api.Status.ERROR))
        elif not self.is_up or self.draining or len(self.queue) >= QUEUE_SHARE * self.slots:
            attempt.on_end(api.Status.FULL)
        else:
            self.active.append(attempt)
            self.queue.append(attempt)
            self._start_queued()

    def cancel(self, attempt: Attempt) -> None:
        """Removes an attempt that its node has cancelled, whether it is queued or running."""
        if attempt.ended:
            return
        attempt.ended = True
        self.active.remove(attempt)
        if attempt.running:
            self.busy -= 1
        else:
            self.queue.remove(attempt)
        self._start_queued()

    def crash(self, restart_us: int) -> None:
        """Ends all attempts and connections at once.

        The worker restarts cold after `restart_us`, or never if that is 0.
        """
        self.is_up, self.busy, self.open_connections, self.boot_count = False, 0, 0, self.boot_count + 1
        self.queue.clear()
        self.cached_keys.clear()
        for attempt in self.active:
            attempt.ended = True
            attempt.on_end(api.Status.RESET if attempt.running else api.Status.CONNECT_FAILED)
        self.active = []
        if restart_us:
            self.schedule(restart_us, self._restart)

    def _restart(self) -> None:
        self.is_up, self.started_us, self.draining = True, self.now(), False
        self.recent_sends.clear()
        self.recent_work_us = 0.0

    def _record_cold_work(self, attempt: Attempt) -> None:
        """Counts work that reaches a cold worker, even if refused, and crashes the worker over the budget."""
        if self.capacity_share() >= 1.0:
            return
        now = self.now()
        self.recent_sends.append((now, attempt.work_us, attempt.node))
        self.recent_work_us += attempt.work_us
        window_us = self.settings.overload_for_us
        while self.recent_sends and self.recent_sends[0][0] <= now - window_us:
            self.recent_work_us -= self.recent_sends.popleft()[1]
        capacity_us = self.slots * self.speed * self.capacity_share() * window_us
        budget_use = self.recent_work_us / (self.settings.overload_factor * capacity_us)
        self.peak_budget_use = max(self.peak_budget_use, budget_use)
        if budget_use > 1.0:
            self.crash_count += 1
            self.on_overload(self, list(self.recent_sends))
            self.crash(RESTART_US)

    def _start_queued(self) -> None:
        while self.queue and self.busy < self.slots:
            attempt = self.queue.popleft()
            attempt.running = True
            self.busy += 1
            work_us = attempt.work_us * (1.0 if attempt.key in self.cached_keys else 1.0 + FETCH_COST)
            self.cached_keys[attempt.key] = None
            self.cached_keys.move_to_end(attempt.key)
            if len(self.cached_keys) > MAX_CACHED_KEYS:
                self.cached_keys.popitem(last=False)
            attempt.on_start()
            self.schedule(work_us / self.speed / self.capacity_share(), partial(self._complete, attempt))

    def _complete(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        self.busy -= 1
        self.active.remove(attempt)
        attempt.on_end(api.Status.OK)
        self._start_queued()
