"""The whole fleet's peak in virtual time: how long work waits for its first start, urgent work above all.

The servers, links, clients and discovery are those of `benchmarks.fleet`; the modules are the real ones, each
behind its part of the list or, for comparison, with the whole list. Jobs run 18.6 s on average, as 11,000
running and 590 starts a second say. The servers begin busy, so that nobody waits for a steady state.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial

from arrowfold import interface as api
from arrowfold.choice import Dispatcher
from arrowfold.membership.part import WorkerSubset
from benchmarks.capacity.module import ZONES, shipped
from benchmarks.capacity.results import Figures
from benchmarks.fleet.servers import MS, SECOND, Run
from benchmarks.fleet.world import Job, Node, World

REGIONS = 6
MIX = {"urgent": (0.1, 6.0 * SECOND), "ordinary": (0.9, 20.0 * SECOND)}
LIMIT = 1.6  # seconds in which urgent work has to have started
BUSY = 0.8  # of the slots, at the start and by the work that comes
WARM, LONG = 8, 30  # seconds


def settings() -> api.Settings:
    """Two classes, the urgent first by its worth; the rest as shipped."""
    return shipped(classes=(
        api.RequestClass("urgent", 1600 * MS, 60 * SECOND, stretch=1.5, worth=10.0, late_share=0.3),
        api.RequestClass("ordinary", 4 * SECOND, 150 * SECOND, stretch=1.5, worth=1.0, late_share=0.3)))


class Parted:
    """A module behind its part of the list, as the core has them."""

    def __init__(self, settings: api.Settings, seed: int, world: World) -> None:
        self.module = Dispatcher(settings, seed, world.counted)
        self.part = WorkerSubset(settings.zone, settings.number)

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        return self.module.handle(now_us, [
            self.part.take(event) if isinstance(event, api.RosterUpdate) else event for event in events])


def whole(settings: api.Settings, seed: int, world: World) -> Dispatcher:
    """A module with the whole list."""
    return Dispatcher(settings, seed, world.counted)


class Peak(World):
    """A world that notes when each job was first told to have started."""

    def __init__(self, nodes: int, servers: int, seed: int, parted: bool) -> None:
        super().__init__(settings(), ZONES, nodes, servers, seed, BUSY, Parted if parted else whole, MIX)
        self.rate *= 1.2  # nothing is fetched: such jobs have no key
        self.begun: dict[int, int] = {}
        self.born: dict[int, Job] = {}
        self.cuts = [(a, b) for a in self.zones for b in self.zones
                     if self.region(a) != self.region(b) and 0 in (self.region(a), self.region(b))]
        for server in self.servers.values():
            server.kept[""] = None
            for _ in range(server.slots):
                if self.dice["servers"].random() < BUSY:
                    left = int(self.dice["servers"].expovariate(1 / 18.6) * SECOND)
                    server.take(Run(left, "old", lambda: None, lambda status: None, -1))

    def region(self, zone: str) -> int:
        return int(zone[1:]) % REGIONS

    def burst(self) -> float:
        return 1.0

    def _try(self, job: Job) -> None:
        job.key = ""
        if job.tries == 0 and self.now >= WARM * SECOND:
            self.born[id(job)] = job
        super()._try(job)

    def give(self, node: Node, event: api.Event) -> None:
        if isinstance(event, api.AttemptProgress) and event.done is None:
            job = self.sessions[node.number, event.request].job
            self.begun.setdefault(id(job), self.now)
        super().give(node, event)

    def waits(self, name: str, until_us: int) -> list[float]:
        """Seconds to the first start of the class's jobs that came by then; endless where there was none."""
        return sorted((self.begun[at] - job.born_us) / SECOND if at in self.begun else math.inf
                      for at, job in self.born.items() if job.cls.name == name and job.born_us <= until_us)


def calm(world: Peak) -> None:
    """Nothing fails."""


def zone(world: Peak) -> None:
    """A zone's servers are lost for good; the list says so 1.5 s later. Its nodes live on."""
    lost = [server for server in world.servers.values() if server.zone == "z1"]

    def lose() -> None:
        for server in lost:
            server.fall(0)
            world.call(1500 * MS, partial(world.announce, server, api.Lifecycle.TERMINATED))

    world.call((WARM + 2) * SECOND, lose)


def regions(world: Peak) -> None:
    """One region and the others don't hear each other; the list names all."""
    world.call((WARM + 2) * SECOND, lambda: world.cut.update(world.cuts))


def rolling(world: Peak) -> None:
    """All servers are being replaced within an hour: each drains, a new and cold one comes."""
    names = list(world.servers)
    world.dice["faults"].shuffle(names)
    step = 3600 * SECOND / len(names)

    def swap(at: int) -> None:
        server = world.servers[names[at]]
        server.draining = True
        world.announce(server, api.Lifecycle.TERMINATING)
        world.add_server(world.now)
        world.call(step, partial(swap, at + 1))

    world.call(SECOND, partial(swap, 0))


DAYS: dict[str, Callable[[Peak], None]] = {"calm": calm, "zone": zone, "regions": regions, "rolling": rolling}


def play(day: str, nodes: int, servers: int, parted: bool, seed: int) -> Figures:
    """Waits for the first start in seconds (median, 99 and 99.9 of 100), and what the fleet paid for it."""
    world = Peak(nodes, servers, seed, parted)
    DAYS[day](world)
    world.run((WARM + LONG) * SECOND)
    figures: Figures = {}
    for name in MIX:
        waits = world.waits(name, (WARM + LONG - 3) * SECOND)
        for label, share in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999)):
            figures[f"{name}_{label}_s"] = min(999.0, waits[min(len(waits) - 1, int(share * len(waits)))])
        figures[f"{name}_late_share"] = sum(wait > LIMIT for wait in waits) / max(1, len(waits))
        figures[f"{name}_jobs"] = float(len(waits))
    total: Counter[str] = Counter()
    for bucket in world.buckets.values():
        total.update(bucket)
    sends = max(1.0, float(total["sends"]))
    figures |= {"full_share": total["full"] / sends, "crossing_share": total["crossing"] / sends,
                "not_connected_share": total["not connected"] / sends, "denied": float(total["denied"]),
                "probes_a_send": total["probes"] / sends, "broken": float(len(world.broken)),
                "idle_share": world.idle_share()}
    return figures
