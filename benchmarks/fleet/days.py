"""Fault scenarios: each day schedules its faults in a world. The names are those of the command line."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from arrowfold import interface as api
from benchmarks.fleet.servers import MS, SECOND, Worker
from benchmarks.fleet.world import Node, World


def calm(world: World) -> None:
    """Injects no fault. Only the burst of arrivals happens, as on every day."""


def _replace(world: World, share: float, from_us: int, duration_us: int) -> None:
    """Replaces a share of the workers in steps: each drains for 3 s while a new, cold one joins."""
    def drain(worker: Worker) -> None:
        worker.draining = True
        world.announce(worker, api.Lifecycle.TERMINATING)

    def end(worker: Worker) -> None:
        world.announce(worker, api.Lifecycle.TERMINATED)
        worker.crash(0)

    old = list(world.workers.values())
    leaving = old[:int(share * len(old))]
    for index, worker in enumerate(leaving):
        at_us = from_us + duration_us * index // len(leaving)
        world.schedule(at_us, partial(drain, worker))
        world.schedule(at_us + 600 * MS, lambda: world.add_worker(world.now_us))
        world.schedule(at_us + 3 * SECOND, partial(end, worker))


def join(world: World) -> None:
    """Replaces 60 % of the workers within 7 s."""
    _replace(world, 0.6, 6 * SECOND, 7 * SECOND)


def roll(world: World) -> None:
    """Replaces half of the workers in steps while all nodes restart, a tenth at a time."""
    _replace(world, 0.5, 5 * SECOND, 12 * SECOND)

    def restart(node: Node) -> None:
        world.kill(node)
        world.schedule(800 * MS, partial(world.start, node))

    for index, node in enumerate(world.nodes):
        world.schedule((5 + 1.5 * (10 * index // len(world.nodes))) * SECOND, partial(restart, node))


def herd(world: World) -> None:
    """Kills 70 % of the nodes at once; one in eight workers fails every attempt throughout."""
    for worker in list(world.workers.values())[::8]:
        worker.is_failing = True

    def kill_nodes() -> None:
        for node in world.nodes[:7 * len(world.nodes) // 10]:
            world.kill(node)
            world.schedule(world.streams["faults"].uniform(2, 3) * SECOND, partial(world.start, node))

    world.schedule(8 * SECOND, kill_nodes)


def zone(world: World) -> None:
    """Crashes a zone's workers for 5 s; they restart cold and are listed again 1.5 s after that."""
    lost = [worker for worker in world.workers.values() if worker.zone == world.zones[0]]

    def crash_zone() -> None:
        for worker in lost:
            worker.crash(5 * SECOND)
            world.schedule(6500 * MS, partial(world.announce, worker, api.Lifecycle.IN_SERVICE))

    world.schedule(7 * SECOND, crash_zone)


def split(world: World) -> None:
    """Partitions one zone from the others for 6 s: nodes cannot reach workers across the cut."""
    own, others = world.zones[0], world.zones[1:]
    pairs = {(own, other) for other in others} | {(other, own) for other in others}
    world.schedule(7 * SECOND, lambda: world.partitioned.update(pairs))
    world.schedule(13 * SECOND, world.partitioned.clear)


DAYS: dict[str, Callable[[World], None]] = {
    "calm": calm, "roll": roll, "herd": herd, "zone": zone, "split": split, "join": join}
