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
from benchmarks.fleet.deciders import OracleDecider, RandomDecider
from benchmarks.fleet.servers import SECOND
from benchmarks.fleet.world import BUCKET_US, Decider, World

SETTINGS = Path(__file__).resolve().parents[2] / "deploy" / "settings.json"
COLUMNS = ("jobs", "tries", "sends", "full", "not connected", "new connections", "probes", "crossing",
           "crossing beside room at home", "denied", "denied beside idle slots", "late", "cancelled")


def make_module(settings: Any, seed: int, world: World) -> Dispatcher:
    """Makes a real dispatcher."""
    return Dispatcher(settings, seed, world.module_counters)


def make_random(settings: Any, seed: int, world: World) -> RandomDecider:
    """Makes a decider that chooses at random."""
    return RandomDecider(settings, seed)


def make_oracle(settings: Any, seed: int, world: World) -> OracleDecider:
    """Makes a decider that knows each worker's load at the moment of the choice."""
    def load(name: str) -> float:
        worker = world.workers[name]
        if not worker.is_up or worker.draining or worker.is_failing:
            return 9.0  # far above any real load, so that it is chosen last
        return (worker.busy + len(worker.queue)) / (worker.slots * worker.capacity_share())
    return OracleDecider(settings, seed, load)


DeciderFactory = Callable[[Any, int, World], Decider]
DECIDERS: dict[str, DeciderFactory] = {"module": make_module, "plain": make_random, "seeing": make_oracle}


def example_settings() -> api.Settings:
    """Loads the settings of the example deployment."""
    return build_settings(json.loads(SETTINGS.read_text())["settings"])


def play(day: str, decider: str = "module", nodes: int = 200, servers: int = 110, zones: int = 3,
         seed: int = 1, load: float = 0.8, seconds: int = 25, settings: api.Settings | None = None) -> World:
    """Simulates one day and returns its world, which holds the figures.

    `load` is the offered work as a share of the workers' capacity. Without `settings` those of the
    example deployment apply.
    """
    settings = settings or example_settings()
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
    started_s = time.perf_counter()
    world = play(day, decider, **options)
    if as_json:
        for at, bucket in sorted(world.buckets.items()):
            click.echo(json.dumps({"ms": at * BUCKET_US // 1000, **bucket}))
    else:
        _table(world)
    click.echo(json.dumps(world.figures()))
    click.echo(f"{time.perf_counter() - started_s:.1f} s of real time", err=True)
    for line in world.violations[:10]:
        click.echo(f"broken: {line}")
    raise SystemExit(1 if world.violations else 0)


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
