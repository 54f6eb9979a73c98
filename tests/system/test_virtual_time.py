"""The virtual clock itself: it moves with every wait, and a story without end fails."""

from __future__ import annotations

import asyncio

import pytest

from tests.system.virtual_time import run_virtual


async def _wait_for_what_is_left() -> float:
    """Wait in a loop until a moment that the clock's sums miss by less than its precision."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(16.05955573390949)
    started_s = loop.time()
    for _ in range(100):
        await asyncio.sleep(1e-15)
    return loop.time() - started_s


def test_a_wait_below_the_precision_of_the_clock_moves_it() -> None:
    assert run_virtual(_wait_for_what_is_left()) > 0


async def _spin() -> None:
    while True:
        await asyncio.sleep(0)


async def _tick() -> None:
    while True:
        await asyncio.sleep(1.0)


def test_tasks_that_run_without_end_fail_the_story() -> None:
    with pytest.raises(RuntimeError, match="tasks run without end"):
        run_virtual(_spin())


def test_a_story_that_never_ends_fails() -> None:
    with pytest.raises(RuntimeError, match="does not end"):
        run_virtual(_tick())
