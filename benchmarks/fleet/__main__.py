"""`python -m benchmarks.fleet DAY`: a day of a fleet in virtual time, its figures a second and in all."""

from __future__ import annotations

import json
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from arrowfold import interface as api
from arrowfold.choice import Dispatcher
from arrowfold.simhost import build_settings
from benchmarks.fleet.days import DAYS
from benchmarks.fleet.deciders import Plain, Seeing
from benchmarks.fleet.servers import SECOND
from benchmarks.fleet.world import BUCKET_US, Decider, World

SETTINGS = Path(__file__).resolve().parents[2] / "deploy" / "settings.json"
COLUMNS = ("jobs", "tries", "sends", "full", "not connected", "new connections", "probes", "crossing",
           "crossing beside room at home", "denied", "denied beside idle slots", "late", "cancelled")


def module(settings: Any, seed: int, world: World) -> Dispatcher:
    """The real decisions."""
    return Dispatcher(settings, seed, world.counted)


def plain(settings: Any, seed: int, world: World) -> Plain:
    """A draw by chance."""
    return Plain(settings, seed)


def seeing(settings: Any, seed: int, world: World) -> Seeing:
    """The true state at the moment of the choice."""
    def load(name: str) -> float:
        server = world.servers[name]
        if not server.up or server.draining or server.bad:
            return 9.0
        return (server.busy + len(server.queue)) / (server.slots * server.warmth())
    return Seeing(settings, seed, load)


Maker = Callable[[Any, int, World], Decider]
DECIDERS: dict[str, Maker] = {"module": module, "plain": plain, "seeing": seeing}


def shipped() -> api.Settings:
    """The example deployment's settings."""
    return build_settings(json.loads(SETTINGS.read_text())["settings"])


def play(day: str, decider: str = "module", nodes: int = 200, servers: int = 110, zones: int = 3,
         seed: int = 1, load: float = 0.8, seconds: int = 25, settings: api.Settings | None = None) -> World:
    """One day; the world holds its figures. The settings are the shipped ones if none are given."""
    settings = settings or shipped()
    world = World(settings, zones, nodes, servers, seed, load, DECIDERS[decider])
    DAYS[day](world)
    world.run(seconds * SECOND)
    return world


@click.command()
@click.argument("day", type=click.Choice(list(DAYS)))
@click.option("--decider", type=click.Choice(list(DECIDERS)), default="module", show_default=True)
@click.option("--nodes", default=200, show_default=True)
@click.option("--servers", default=110, show_default=True)
@click.option("--zones", default=3, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--load", default=0.8, show_default=True, help="Jobs' work against the servers' slots.")
@click.option("--seconds", default=25, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="The figures of each 100 ms, a line each.")
def main(as_json: bool, day: str, decider: str, **options: Any) -> None:
    """Play DAY and print what all nodes together did."""
    begun = time.perf_counter()
    world = play(day, decider, **options)
    if as_json:
        for at, bucket in sorted(world.buckets.items()):
            click.echo(json.dumps({"ms": at * BUCKET_US // 1000, **bucket}))
    else:
        _table(world)
    click.echo(json.dumps(world.figures()))
    click.echo(f"{time.perf_counter() - begun:.1f} s of real time", err=True)
    for line in world.broken[:10]:
        click.echo(f"broken: {line}")
    raise SystemExit(1 if world.broken else 0)


def _table(world: World) -> None:
    click.echo("columns: second, idle share, " + ", ".join(COLUMNS))
    per_second: dict[int, Counter[str]] = {}
    for at, bucket in world.buckets.items():
        per_second.setdefault(at * BUCKET_US // SECOND, Counter()).update(bucket)
    for second, row in sorted(per_second.items()):
        idle = row["idle"] / max(1, row["slots"])
        click.echo(f"{second:3} {idle:6.2f} " + " ".join(f"{row[name]:6.0f}" for name in COLUMNS))


if __name__ == "__main__":
    main()
