"""The virtual clock: it advances with every wait, and a simulation that does not end fails."""

from __future__ import annotations

import asyncio

import pytest

from tests.system.virtual_time import run_virtual


async def _wait_for_less_than_the_precision() -> float:
    """Wait repeatedly for less than the precision of the clock; returns the virtual time that passed."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(16.05955573390949)
    started_s = loop.time()
    for _ in range(100):
        await asyncio.sleep(1e-15)
    return loop.time() - started_s


def test_a_wait_below_the_precision_of_the_clock_advances_it() -> None:
    assert run_virtual(_wait_for_less_than_the_precision()) > 0


async def _spin() -> None:
    while True:
        await asyncio.sleep(0)


async def _tick() -> None:
    while True:
        await asyncio.sleep(1.0)


def test_tasks_that_run_without_end_fail_the_simulation() -> None:
    with pytest.raises(RuntimeError, match="tasks run without end"):
        run_virtual(_spin())


def test_a_simulation_that_never_ends_fails() -> None:
    with pytest.raises(RuntimeError, match="does not end"):
        run_virtual(_tick())
