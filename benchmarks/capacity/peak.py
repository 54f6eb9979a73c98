"""Peak load of the whole fleet in virtual time: waiting times until the first start, by class.

Workers, network, clients and discovery are those of `benchmarks.fleet`. The dispatchers are the real ones,
each with its part of the list or, for comparison, with the whole list. Requests run 18.6 s on average, which
follows from 11,000 running and 590 starts a second. Workers are busy at the start, so that the simulation
need not run until a steady state is reached.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial

from arrowfold import interface as api
from arrowfold.choice import Dispatcher
from arrowfold.membership.part import WorkerSubset
from benchmarks.capacity.module import ZONES, example_settings
from benchmarks.capacity.results import Figures
from benchmarks.fleet.servers import MS, SECOND, Attempt
from benchmarks.fleet.world import ClientRequest, Node, World

REGIONS = 6
REQUEST_MIX = {"urgent": (0.1, 6.0 * SECOND), "ordinary": (0.9, 20.0 * SECOND)}
URGENT_START_LIMIT_S = 1.6  # maximum time in seconds until urgent work has started
BUSY_SHARE = 0.8  # share of the slots: busy at the start, and offered load
WARM_UP_S, MEASURED_S = 8, 30


def peak_settings() -> api.Settings:
    """Returns the example settings with two classes, of which the urgent one has the higher value."""
    return example_settings(classes=(
        api.RequestClass("urgent", 1600 * MS, 60 * SECOND, stretch=1.5, worth=10.0, late_share=0.3),
        api.RequestClass("ordinary", 4 * SECOND, 150 * SECOND, stretch=1.5, worth=1.0, late_share=0.3)))


class PartialListDecider:
    """A dispatcher that receives only its part of the list, as in the node's core."""

    def __init__(self, settings: api.Settings, seed: int, world: World) -> None:
        self.dispatcher = Dispatcher(settings, seed, world.module_counters)
        self.part = WorkerSubset(settings.zone, settings.number)

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        return self.dispatcher.handle(now_us, [
            self.part.take(event) if isinstance(event, api.RosterUpdate) else event for event in events])


def make_whole_list_decider(settings: api.Settings, seed: int, world: World) -> Dispatcher:
    """Makes a dispatcher that receives the whole list."""
    return Dispatcher(settings, seed, world.module_counters)


class Peak(World):
    """A world that records when each request was first reported as started."""

    def __init__(self, nodes: int, servers: int, seed: int, has_partial_list: bool) -> None:
        super().__init__(
            peak_settings(), ZONES, nodes, servers, seed, BUSY_SHARE,
            PartialListDecider if has_partial_list else make_whole_list_decider, REQUEST_MIX)
        self.rate *= 1.2  # requests have no key, so there are no cache misses
        self.first_start_us: dict[int, int] = {}
        self.measured: dict[int, ClientRequest] = {}
        self.region_cuts = [(a, b) for a in self.zones for b in self.zones
                     if self.region(a) != self.region(b) and 0 in (self.region(a), self.region(b))]
        for worker in self.workers.values():
            worker.cached_keys[""] = None
            for _ in range(worker.slots):
                if self.streams["servers"].random() < BUSY_SHARE:
                    remaining_us = int(self.streams["servers"].expovariate(1 / 18.6) * SECOND)
                    worker.accept(Attempt(remaining_us, "old", lambda: None, lambda status: None, -1))

    def region(self, zone: str) -> int:
        return int(zone[1:]) % REGIONS

    def arrival_factor(self) -> float:
        return 1.0

    def _call_node(self, client_request: ClientRequest) -> None:
        client_request.key = ""
        if client_request.call_count == 0 and self.now_us >= WARM_UP_S * SECOND:
            self.measured[id(client_request)] = client_request
        super()._call_node(client_request)

    def deliver_event(self, node: Node, event: api.Event) -> None:
        if isinstance(event, api.AttemptProgress) and event.done is None:
            client_request = self.sessions[node.number, event.request].client_request
            self.first_start_us.setdefault(id(client_request), self.now_us)
        super().deliver_event(node, event)

    def waits(self, name: str, until_us: int) -> list[float]:
        """Returns the sorted waiting times in seconds of a class's requests that arrived by `until_us`.

        A request that never started has an infinite waiting time.
        """
        return sorted((self.first_start_us[key] - request.created_us) / SECOND
                      if key in self.first_start_us else math.inf
                      for key, request in self.measured.items()
                      if request.cls.name == name and request.created_us <= until_us)


def calm(world: Peak) -> None:
    """Injects no fault."""


def zone(world: Peak) -> None:
    """Crashes a zone's workers for good; the list shows it 1.5 s later. The zone's nodes keep running."""
    lost = [worker for worker in world.workers.values() if worker.zone == "z1"]

    def crash_zone() -> None:
        for worker in lost:
            worker.crash(0)
            world.schedule(1500 * MS, partial(world.announce, worker, api.Lifecycle.TERMINATED))

    world.schedule((WARM_UP_S + 2) * SECOND, crash_zone)


def regions(world: Peak) -> None:
    """Partitions one region from the others; the list still has all workers."""
    world.schedule((WARM_UP_S + 2) * SECOND, lambda: world.partitioned.update(world.region_cuts))


def rolling(world: Peak) -> None:
    """Replaces workers at the rate of all within an hour: each drains while a new, cold one joins."""
    names = list(world.workers)
    world.streams["faults"].shuffle(names)
    interval_us = 3600 * SECOND / len(names)

    def replace_next(index: int) -> None:
        worker = world.workers[names[index]]
        worker.draining = True
        world.announce(worker, api.Lifecycle.TERMINATING)
        world.add_worker(world.now_us)
        world.schedule(interval_us, partial(replace_next, index + 1))

    world.schedule(SECOND, partial(replace_next, 0))


DAYS: dict[str, Callable[[Peak], None]] = {"calm": calm, "zone": zone, "regions": regions, "rolling": rolling}


def play(day: str, nodes: int, servers: int, has_partial_list: bool, seed: int) -> Figures:
    """Simulates a day and returns percentiles of the waiting time until the first start, and costs.

    Times are in seconds, capped at 999; costs are shares of all attempts.
    """
    world = Peak(nodes, servers, seed, has_partial_list)
    DAYS[day](world)
    world.run((WARM_UP_S + MEASURED_S) * SECOND)
    figures: Figures = {}
    for name in REQUEST_MIX:
        waits = world.waits(name, (WARM_UP_S + MEASURED_S - 3) * SECOND)
        for label, share in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999)):
            figures[f"{name}_{label}_s"] = min(999.0, waits[min(len(waits) - 1, int(share * len(waits)))])
        figures[f"{name}_late_share"] = (
            sum(wait > URGENT_START_LIMIT_S for wait in waits) / max(1, len(waits)))
        figures[f"{name}_jobs"] = float(len(waits))
    total: Counter[str] = Counter()
    for bucket in world.buckets.values():
        total.update(bucket)
    attempts = max(1.0, float(total["sends"]))
    figures |= {"full_share": total["full"] / attempts, "crossing_share": total["crossing"] / attempts,
                "not_connected_share": total["not connected"] / attempts, "denied": float(total["denied"]),
                "probes_a_send": total["probes"] / attempts, "broken": float(len(world.violations)),
                "idle_share": world.idle_share()}
    return figures
