"""Processor time and memory of the dispatcher by size: one dispatcher, in process, in virtual time.

The workers are spread over 19 zones. Each request starts at once and runs for an exponential time. Answers
carry load reports in which requests of other nodes occupy part of each worker's slots.
"""

from __future__ import annotations

import gc
import heapq
import json
import time
import tracemalloc
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

from arrowfold import interface as api
from arrowfold.choice import Dispatcher
from arrowfold.membership.part import WorkerSubset
from arrowfold.simhost import build_settings

SECOND, MS = 1_000_000, 1_000
ZONES, SLOTS, FLEET_SIZE = 19, 5, 200
MEAN_RUN_US = 200 * MS  # mean run time; outstanding requests at a worker do not change the cost of a decision
SETTINGS = Path(__file__).resolve().parents[2] / "deploy" / "settings.json"


def example_settings(**changes: Any) -> api.Settings:
    """Loads the example deployment's settings for a node in zone z0."""
    settings = build_settings(json.loads(SETTINGS.read_text())["settings"])
    return replace(settings, **{"zone": "z0", "fleet_size": FLEET_SIZE, **changes})


def make_roster(count: int, launched_us: int = 0) -> list[api.RosterEntry]:
    """Makes a list of workers in 19 zones and of two kinds, with random names."""
    rng = Random(count)
    return [api.RosterEntry(f"s-{rng.getrandbits(32):08x}", f"z{n % ZONES}", f"m{n // ZONES % 2}", n % 7,
                            launched_us) for n in range(count)]


@dataclass
class Node:
    """One dispatcher with its part of the list, or with all of it, in virtual time.

    `busy_s` and `longest_s` are the processor seconds of all events and of the longest one.
    """

    settings: api.Settings
    seed: int = 1
    has_partial_list: bool = True
    now_us: int = 1000 * SECOND
    busy_s: float = 0.0
    longest_s: float = 0.0
    counts: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.dispatcher = Dispatcher(self.settings, self.seed, self.counts)
        self.part = WorkerSubset(self.settings.zone, self.settings.number) if self.has_partial_list else None
        self.events: list[tuple[int, int, api.Event]] = []
        self.sequence = 0
        self.rng = Random(self.seed)
        self.key_weights = [1 / (n + 1) ** 0.9 for n in range(400)]
        self.attempt_counts: Counter[str] = Counter()

    def schedule(self, when_us: int, event: api.Event) -> None:
        """Schedules an event at a time in us."""
        self.sequence += 1
        heapq.heappush(self.events, (when_us, self.sequence, event))

    def deliver_event(self, event: api.Event) -> float:
        """Handles an event and returns the processor time spent, in seconds."""
        started_s = time.process_time()
        if isinstance(event, api.RosterUpdate) and self.part is not None:
            event = self.part.take(event)
        actions = self.dispatcher.handle(self.now_us, [event])
        spent_s = time.process_time() - started_s
        self.busy_s += spent_s
        self.longest_s = max(self.longest_s, spent_s)
        for action in actions:
            self._carry_out(action)
        return spent_s

    def _carry_out(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self.schedule(self.now_us + action.delay_us, api.TimerFired(action.handle))
        elif isinstance(action, api.Probe):
            self.counts["probes sent"] += 1
            self.schedule(self.now_us + MS, api.ProbeEnded(action.worker, api.Status.OK, MS, self._report()))
        elif isinstance(action, api.Send):
            number = self.attempt_counts[action.request]
            self.attempt_counts[action.request] += 1
            self.counts["sent"] += 1
            begin_us = self.now_us + MS
            end_us = begin_us + int(self.rng.expovariate(1 / MEAN_RUN_US))
            self.schedule(begin_us, api.AttemptProgress(action.request, number, None))
            self.schedule(end_us, api.AttemptEnded(
                action.request, number, action.worker, api.Status.OK, end_us - self.now_us, True,
                self._report()))

    def _report(self) -> api.LoadReport:
        held = min(SLOTS, self.rng.binomialvariate(SLOTS, 0.7)) if hasattr(self.rng, "binomialvariate") \
            else sum(self.rng.random() < 0.7 for _ in range(SLOTS))
        return api.LoadReport(free_slots=float(SLOTS - held), held=float(held), errors=0.0)

    def update_list(self, entries: Iterable[api.RosterEntry], whole: bool = False) -> float:
        """Updates the list, as a whole or in part; returns the processor time in seconds."""
        mode = api.RosterMode.COMPLETE if whole else api.RosterMode.PARTIAL
        return self.deliver_event(api.RosterUpdate(mode, tuple(entries)))

    def run(self, seconds: float, rate: float) -> None:
        """Advances the time by `seconds`, with `rate` requests a second."""
        end_us, classes = self.now_us + int(seconds * SECOND), self.settings.classes
        when_us = self.now_us
        while rate:
            when_us += int(self.rng.expovariate(rate) * SECOND)
            if when_us >= end_us:
                break
            cls = self.rng.choice(classes)
            key = f"k{self.rng.choices(range(len(self.key_weights)), self.key_weights)[0]}"
            self.schedule(when_us, api.Arrival(f"j{self.sequence}", cls.name, when_us + cls.deadline_us, key))
        while self.events and self.events[0][0] < end_us:
            self.now_us, _, event = heapq.heappop(self.events)
            self.deliver_event(event)
        self.now_us = end_us


def measure_costs(servers: int, rate: float, seed: int, has_partial_list: bool = True,
           seconds: float = 20.0) -> dict[str, float]:
    """Measures the core share with an unchanged list, then the cost of list changes in milliseconds."""
    rows = make_roster(servers)
    gc.collect()
    node = Node(example_settings(), seed, has_partial_list)
    first_s = node.update_list(rows, whole=True)
    node.run(10.0, rate)
    node.busy_s = node.longest_s = 0.0
    node.run(seconds, rate)
    core_share, longest_s = node.busy_s / seconds, node.longest_s
    in_view = {row.worker for row in rows if row.worker in node.dispatcher.workers}
    listed = [row for row in rows if row.worker in in_view]
    changes_s = [node.update_list([replace(row, lifecycle=state)]) for row in listed[:8]
           for state in (api.Lifecycle.TERMINATING, api.Lifecycle.IN_SERVICE)]
    zone = [row for row in rows if row.zone == "z1"]
    lost_s = node.update_list(replace(row, lifecycle=api.Lifecycle.TERMINATED) for row in zone)
    back_s = node.update_list(replace(row, launched_us=node.now_us) for row in zone)
    many_s = node.update_list(replace(row, launched_us=node.now_us + 1) for row in rows[:1000])
    return {"core_share": core_share, "longest_ms": longest_s * 1e3, "first_list_ms": first_s * 1e3,
            "one_change_ms": sorted(changes_s)[len(changes_s) // 2] * 1e3, "zone_lost_ms": lost_s * 1e3,
            "zone_back_ms": back_s * 1e3, "thousand_ms": many_s * 1e3, "in_view": float(len(in_view)),
            "tokens": float(sum(len(t.tokens) for t in node.dispatcher.tables.values())),
            "probes_a_second": node.counts["probes sent"] / (10.0 + seconds)}


def memory_mb(servers: int, has_partial_list: bool = True) -> float:
    """Returns the megabytes of dispatcher and part after ten seconds at 20 requests a second."""
    rows = make_roster(servers)
    gc.collect()
    tracemalloc.start()
    node = Node(example_settings(), 1, has_partial_list)
    node.update_list(rows, whole=True)
    node.run(10.0, 20.0)
    node.events.clear()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / 1e6
