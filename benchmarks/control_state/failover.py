"""Time from a failure of the primary to the next acknowledged change, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tests.system.control_simulation.machines import Machine
from tests.system.control_simulation.world import World, run_world


def _fill(machine: Machine) -> None:
    machine.folder.full = True


FAILURES: dict[str, Callable[[Machine], None]] = {
    "kill": Machine.kill,
    "power": Machine.lose_power,
    "wipe": Machine.wipe,
    "freeze": Machine.freeze,
    "disk hangs": lambda machine: machine.hang_disk(True),
    "disk full": _fill,
}


async def _fail_over(seed: int, strike: Callable[[Machine], None]) -> float:
    world = World(seed)
    world.start_all()
    assert await world.change(0, 1, 9.0) == 1
    await world.until(world.is_whole, 5.0, "a whole group")
    await asyncio.sleep(world.draw.random())
    primary = await world.until_primary()
    strike(primary)
    started = asyncio.get_running_loop().time()
    assert await world.change(1, 2, 12.0, avoiding=primary) == 2
    return asyncio.get_running_loop().time() - started


def tell_fail_overs(count: int) -> int:
    """Print a line for each kind of failure."""
    print(f"{'failure':12} {'p50 s':>8} {'p99 s':>8} {'most s':>8}")
    for name, strike in FAILURES.items():
        times = sorted(run_world(_fail_over(seed, strike)) for seed in range(count))
        middle, late = times[len(times) // 2], times[min(len(times) - 1, int(0.99 * len(times)))]
        print(f"{name:12} {middle:8.3f} {late:8.3f} {times[-1]:8.3f}")
    return 0
