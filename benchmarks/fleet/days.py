"""Timetables of trouble: what a day does to a world, by the names that operators use."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from arrowfold import interface as api
from benchmarks.fleet.servers import MS, SECOND, Server
from benchmarks.fleet.world import Node, World


def calm(world: World) -> None:
    """No fault: the burst alone, which each day has."""


def _replace(world: World, part: float, from_us: int, for_us: int) -> None:
    """A part of the servers leaves in steps, each drained for 3 s; new, cold ones come in their place."""
    def drain(server: Server) -> None:
        server.draining = True
        world.announce(server, api.Lifecycle.TERMINATING)

    def end(server: Server) -> None:
        world.announce(server, api.Lifecycle.TERMINATED)
        server.fall(0)

    old = list(world.servers.values())
    leaving = old[:int(part * len(old))]
    for n, server in enumerate(leaving):
        at = from_us + for_us * n // len(leaving)

        world.call(at, partial(drain, server))
        world.call(at + 600 * MS, lambda: world.add_server(world.now))
        world.call(at + 3 * SECOND, partial(end, server))


def join(world: World) -> None:
    """Six in ten servers are replaced within 7 s."""
    _replace(world, 0.6, 6 * SECOND, 7 * SECOND)


def roll(world: World) -> None:
    """Half of the servers are replaced in steps while all nodes are restarted, a tenth at a time."""
    _replace(world, 0.5, 5 * SECOND, 12 * SECOND)

    def restart(node: Node) -> None:
        world.kill(node)
        world.call(800 * MS, partial(world.start, node))

    for n, node in enumerate(world.nodes):
        world.call((5 + 1.5 * (10 * n // len(world.nodes))) * SECOND, partial(restart, node))


def herd(world: World) -> None:
    """Seven in ten nodes are killed at once, and one of eight servers fails all that it takes."""
    for server in list(world.servers.values())[::8]:
        server.bad = True

    def all_at_once() -> None:
        for node in world.nodes[:7 * len(world.nodes) // 10]:
            world.kill(node)
            world.call(world.dice["faults"].uniform(2, 3) * SECOND, partial(world.start, node))

    world.call(8 * SECOND, all_at_once)


def zone(world: World) -> None:
    """A zone's servers are lost for 5 s and come back cold, on the list too late."""
    lost = [s for s in world.servers.values() if s.zone == world.zones[0]]

    def lose() -> None:
        for server in lost:
            server.fall(5 * SECOND)
            world.call(6500 * MS, partial(world.announce, server, api.Lifecycle.IN_SERVICE))

    world.call(7 * SECOND, lose)


def split(world: World) -> None:
    """For 6 s a zone's nodes and the others' servers don't hear each other."""
    own, rest = world.zones[0], world.zones[1:]
    pairs = {(own, other) for other in rest} | {(other, own) for other in rest}
    world.call(7 * SECOND, lambda: world.cut.update(pairs))
    world.call(13 * SECOND, world.cut.clear)


DAYS: dict[str, Callable[[World], None]] = {
    "calm": calm, "roll": roll, "herd": herd, "zone": zone, "split": split, "join": join}
