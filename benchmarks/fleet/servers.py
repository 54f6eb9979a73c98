"""Modelled backend servers: slots, a bounded queue, cold starts, old reports, connections that cost."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from arrowfold import interface as api

MS = 1_000
SECOND = 1_000_000
FETCH = 0.5  # work that a key not kept here adds, as a part of a job's own
SHARDS = 12  # keys that a server keeps
QUEUE = 1.0  # jobs that may wait, as a part of its slots
DOWN_US = 3 * SECOND
CONNECTIONS = 90
HANDSHAKE_US = 6 * MS


@dataclass(eq=False, slots=True)
class Run:
    """One attempt as its server sees it; `work_us` at speed 1, without fetches."""

    work_us: int
    key: str
    told_start: Callable[[], None]
    told_end: Callable[[api.Status], None]
    node: int
    ended: bool = False
    running: bool = False
    connected: int | None = None  # by which start of its server
    reported: bool = False  # its node knows how it ended


@dataclass(eq=False)
class Server:
    """One server; `call(delay_us, function)` is the world's clock, `now()` its time.

    `pushed(sent)` hears what a cold server was sent when it fell over: times, work and nodes.
    """

    settings: api.Settings
    name: str
    zone: str
    kind: str
    slots: int
    speed: float
    started_us: int
    now: Callable[[], int]
    call: Callable[[float, Callable[[], object]], None]
    chance: random.Random
    pushed: Callable[[Server, list[tuple[int, int, int]]], None]
    up: bool = True
    draining: bool = False
    bad: bool = False
    busy: int = 0
    open: int = 0  # connections
    start: int = 0  # how often it has started anew: its connections ended with each
    errors: float = 0.0
    held: list[Run] = field(default_factory=list)
    queue: deque[Run] = field(default_factory=deque)
    kept: OrderedDict[str, None] = field(default_factory=OrderedDict)
    sent: deque[tuple[int, int, int]] = field(default_factory=deque)  # time, work, node
    pressed: float = 0.0  # work in `sent`
    peak: float = 0.0  # the largest part of the cold budget that was ever used
    falls: int = 0
    shown: api.LoadReport | None = None
    shown_us: int = -1

    def warmth(self) -> float:
        """The share of its capacity that it has now."""
        age, whole, least = self.now() - self.started_us, self.settings.cold_us, self.settings.cold_from
        return 1.0 if not self.started_us or age >= whole else least + (1 - least) * age / whole

    def report(self) -> api.LoadReport:
        """What it says of itself: refreshed now and then, so 0.05 to 1.5 s old when read."""
        if self.now() >= self.shown_us:
            free = self.slots - self.busy - len(self.queue)
            self.shown = api.LoadReport(
                free_slots=max(0.0, free + self.chance.gauss(0, 0.2)), held=self.busy + len(self.queue),
                errors=self.errors)
            self.errors *= 0.5
            self.shown_us = self.now() + int(self.chance.uniform(100 * MS, 1500 * MS))
        assert self.shown is not None
        return self.shown

    def take(self, run: Run) -> None:
        """An attempt's last byte has come."""
        if not self.up:
            run.told_end(api.Status.CONNECT_FAILED)
            return
        self._press(run)
        if self.bad:
            self.errors += 1
            self.call(5 * MS, lambda: run.told_end(api.Status.ERROR))
        elif not self.up or self.draining or len(self.queue) >= QUEUE * self.slots:
            run.told_end(api.Status.FULL)
        else:
            self.held.append(run)
            self.queue.append(run)
            self._next()

    def drop(self, run: Run) -> None:
        """Its node has given the attempt up: what waits leaves, what runs is stopped."""
        if run.ended:
            return
        run.ended = True
        self.held.remove(run)
        if run.running:
            self.busy -= 1
        else:
            self.queue.remove(run)
        self._next()

    def fall(self, back_us: int) -> None:
        """Down at once; cold when it is back."""
        self.up, self.busy, self.open, self.start = False, 0, 0, self.start + 1
        self.queue.clear()
        self.kept.clear()
        for run in self.held:
            run.ended = True
            run.told_end(api.Status.RESET if run.running else api.Status.CONNECT_FAILED)
        self.held = []
        if back_us:
            self.call(back_us, self._back)

    def _back(self) -> None:
        self.up, self.started_us, self.draining = True, self.now(), False
        self.sent.clear()
        self.pressed = 0.0

    def _press(self, run: Run) -> None:
        """All work that reaches a cold server presses it, even what it turns away."""
        if self.warmth() >= 1.0:
            return
        now = self.now()
        self.sent.append((now, run.work_us, run.node))
        self.pressed += run.work_us
        window = self.settings.overload_for_us
        while self.sent and self.sent[0][0] <= now - window:
            self.pressed -= self.sent.popleft()[1]
        able = self.slots * self.speed * self.warmth() * window
        used = self.pressed / (self.settings.overload_factor * able)
        self.peak = max(self.peak, used)
        if used > 1.0:
            self.falls += 1
            self.pushed(self, list(self.sent))
            self.fall(DOWN_US)

    def _next(self) -> None:
        while self.queue and self.busy < self.slots:
            run = self.queue.popleft()
            run.running = True
            self.busy += 1
            work = run.work_us * (1.0 if run.key in self.kept else 1.0 + FETCH)
            self.kept[run.key] = None
            self.kept.move_to_end(run.key)
            if len(self.kept) > SHARDS:
                self.kept.popitem(last=False)
            run.told_start()
            self.call(work / self.speed / self.warmth(), partial(self._done, run))

    def _done(self, run: Run) -> None:
        if run.ended:
            return
        run.ended = True
        self.busy -= 1
        self.held.remove(run)
        run.told_end(api.Status.OK)
        self._next()
