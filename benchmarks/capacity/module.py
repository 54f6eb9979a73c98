"""Slopes of the decision module: one dispatcher, in process, in virtual time, its processor time measured.

The servers are as many as asked for, in 19 zones; each job starts at once and runs for an exponential time.
The answers carry load reports in which the other nodes' jobs take a part of each server's slots.
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
ZONES, SLOTS, FLEET = 19, 5, 200
RUN_US = 200 * MS  # the mean job; what is out at a server does not change what a decision costs
SETTINGS = Path(__file__).resolve().parents[2] / "deploy" / "settings.json"


def shipped(**changes: Any) -> api.Settings:
    """The example deployment's settings, of a node in zone z0."""
    settings = build_settings(json.loads(SETTINGS.read_text())["settings"])
    return replace(settings, **{"zone": "z0", "fleet_size": FLEET, **changes})


def roster(count: int, launched_us: int = 0) -> list[api.RosterEntry]:
    """Servers in 19 zones and two kinds, named without a meaning."""
    dice = Random(count)
    return [api.RosterEntry(f"s-{dice.getrandbits(32):08x}", f"z{n % ZONES}", f"m{n // ZONES % 2}", n % 7,
                            launched_us) for n in range(count)]


@dataclass
class Node:
    """One module behind its part of the list, as the core has them; times in processor seconds."""

    settings: api.Settings
    seed: int = 1
    parted: bool = True
    now: int = 1000 * SECOND
    busy: float = 0.0
    longest: float = 0.0
    counts: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.module = Dispatcher(self.settings, self.seed, self.counts)
        self.part = WorkerSubset(self.settings.zone, self.settings.number) if self.parted else None
        self.events: list[tuple[int, int, api.Event]] = []
        self.sequence = 0
        self.dice = Random(self.seed)
        self.keys = [1 / (n + 1) ** 0.9 for n in range(400)]
        self.tries: Counter[str] = Counter()

    def at(self, when: int, event: api.Event) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, event))

    def tell(self, event: api.Event) -> float:
        """Hand an event to the module; the processor time that it took, in seconds."""
        begun = time.process_time()
        if isinstance(event, api.RosterUpdate) and self.part is not None:
            event = self.part.take(event)
        actions = self.module.handle(self.now, [event])
        spent = time.process_time() - begun
        self.busy += spent
        self.longest = max(self.longest, spent)
        for action in actions:
            self._do(action)
        return spent

    def _do(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self.at(self.now + action.delay_us, api.TimerFired(action.handle))
        elif isinstance(action, api.Probe):
            self.counts["probes sent"] += 1
            self.at(self.now + MS, api.ProbeEnded(action.worker, api.Status.OK, MS, self._report()))
        elif isinstance(action, api.Send):
            number = self.tries[action.request]
            self.tries[action.request] += 1
            self.counts["sent"] += 1
            begin = self.now + MS
            end = begin + int(self.dice.expovariate(1 / RUN_US))
            self.at(begin, api.AttemptProgress(action.request, number, None))
            self.at(end, api.AttemptEnded(
                action.request, number, action.worker, api.Status.OK, end - self.now, True, self._report()))

    def _report(self) -> api.LoadReport:
        held = min(SLOTS, self.dice.binomialvariate(SLOTS, 0.7)) if hasattr(self.dice, "binomialvariate") \
            else sum(self.dice.random() < 0.7 for _ in range(SLOTS))
        return api.LoadReport(free_slots=float(SLOTS - held), held=float(held), errors=0.0)

    def list(self, entries: Iterable[api.RosterEntry], whole: bool = False) -> float:
        mode = api.RosterMode.COMPLETE if whole else api.RosterMode.PARTIAL
        return self.tell(api.RosterUpdate(mode, tuple(entries)))

    def run(self, seconds: float, rate: float) -> None:
        """Let time pass with so many jobs a second."""
        end, classes = self.now + int(seconds * SECOND), self.settings.classes
        when = self.now
        while rate:
            when += int(self.dice.expovariate(rate) * SECOND)
            if when >= end:
                break
            cls = self.dice.choice(classes)
            key = f"k{self.dice.choices(range(len(self.keys)), self.keys)[0]}"
            self.at(when, api.Arrival(f"j{self.sequence}", cls.name, when + cls.deadline_us, key))
        while self.events and self.events[0][0] < end:
            self.now, _, event = heapq.heappop(self.events)
            self.tell(event)
        self.now = end


def played(servers: int, rate: float, seed: int, parted: bool = True,
           seconds: float = 20.0) -> dict[str, float]:
    """Core share with an unchanged list, then what changes of it cost in milliseconds."""
    rows = roster(servers)
    gc.collect()
    node = Node(shipped(), seed, parted)
    first = node.list(rows, whole=True)
    node.run(10.0, rate)
    node.busy = node.longest = 0.0
    node.run(seconds, rate)
    share, longest = node.busy / seconds, node.longest
    known = {row.worker for row in rows if row.worker in node.module.workers}
    mine = [row for row in rows if row.worker in known]
    one = [node.list([replace(row, lifecycle=state)]) for row in mine[:8]
           for state in (api.Lifecycle.TERMINATING, api.Lifecycle.IN_SERVICE)]
    zone = [row for row in rows if row.zone == "z1"]
    lost = node.list(replace(row, lifecycle=api.Lifecycle.TERMINATED) for row in zone)
    back = node.list(replace(row, launched_us=node.now) for row in zone)
    many = node.list(replace(row, launched_us=node.now + 1) for row in rows[:1000])
    return {"core_share": share, "longest_ms": longest * 1e3, "first_list_ms": first * 1e3,
            "one_change_ms": sorted(one)[len(one) // 2] * 1e3, "zone_lost_ms": lost * 1e3,
            "zone_back_ms": back * 1e3, "thousand_ms": many * 1e3, "in_view": float(len(known)),
            "tokens": float(sum(len(t.tokens) for t in node.module.tables.values())),
            "probes_a_second": node.counts["probes sent"] / (10.0 + seconds)}


def memory(servers: int, parted: bool = True) -> float:
    """Megabytes that the module and the part hold after ten seconds at 20 jobs a second, by tracemalloc."""
    rows = roster(servers)
    gc.collect()
    tracemalloc.start()
    node = Node(shipped(), 1, parted)
    node.list(rows, whole=True)
    node.run(10.0, 20.0)
    node.events.clear()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / 1e6
