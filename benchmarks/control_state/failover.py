"""Time from a failure of the primary to the next acknowledged change, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tests.system.control_simulation.machines import Machine
from tests.system.control_simulation.world import World, run_world


def _fill_disk(machine: Machine) -> None:
    machine.folder.full = True


FAILURES: dict[str, Callable[[Machine], None]] = {
    "kill": Machine.kill,
    "power": Machine.lose_power,
    "wipe": Machine.wipe,
    "freeze": Machine.freeze,
    "disk hangs": lambda machine: machine.hang_disk(True),
    "disk full": _fill_disk,
}


async def _measure_failover(seed: int, inject_failure: Callable[[Machine], None]) -> float:
    world = World(seed)
    world.start_all()
    assert await world.change(0, 1, 9.0) == 1
    await world.until(world.is_whole, 5.0, "a whole group")
    await asyncio.sleep(world.draw.random())
    primary = await world.until_primary()
    inject_failure(primary)
    started = asyncio.get_running_loop().time()
    assert await world.change(1, 2, 12.0, avoiding=primary) == 2
    return asyncio.get_running_loop().time() - started


def print_failover_times(count: int) -> int:
    """Prints the median, 99th percentile and maximum time in seconds for each kind of failure."""
    print(f"{'failure':12} {'p50 s':>8} {'p99 s':>8} {'most s':>8}")
    for name, inject_failure in FAILURES.items():
        times = sorted(run_world(_measure_failover(seed, inject_failure)) for seed in range(count))
        median, percentile_99 = times[len(times) // 2], times[min(len(times) - 1, int(0.99 * len(times)))]
        print(f"{name:12} {median:8.3f} {percentile_99:8.3f} {times[-1]:8.3f}")
    return 0
