"""Each usage window is reported exactly once despite failures of nodes, messages and the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import pairwise

import pytest

from arrowfold.controlplane.role_names import USAGE_ROLE
from tests.system.control_simulation.machines import Machine
from tests.system.control_simulation.schedules import Schedule
from tests.system.control_simulation.world import run_world
from tests.system.platform_judge import BUSY, FENCED
from tests.system.usage_stage import DELAY_S, WINDOW_S, DutyWorld, ScheduledDutyWorld, window_now

PROMPT_REPORT_S = 4.0  # time to report a window without faults
DUE_S = DELAY_S


async def _started_world() -> DutyWorld:
    """Returns a running world in which one window has been reported."""
    world = DutyWorld()
    await world.start()
    window = window_now() + 1
    await world.until_reported(window, 2 * WINDOW_S + DUE_S)
    return world


async def _no_faults() -> None:
    # Given edges that serve
    world = await _started_world()
    first = max(world.checker.reports)
    # When some windows pass
    for _ in range(3):
        last = await world.until_window_ends()
        await world.until_reported(last, PROMPT_REPORT_S)
    # Then each was reported with exact counts and one call
    world.require_reported(first, last)
    assert len(world.checker.arrivals) == len(world.checker.reports)


def test_given_no_faults_then_each_window_is_reported_exactly_and_once() -> None:
    run_world(_no_faults())


async def _holder_fails(inject_fault: Callable[[Machine], object], after_decision: bool) -> None:
    # Given a holder that fails just after the end of a window, or just after the window was decided
    world = await _started_world()
    window = await world.until_window_ends()
    if after_decision:
        await world.until(
            lambda: world.newest_state().usage.decided_through >= window, PROMPT_REPORT_S, "a decided window"
        )
    holder = world.holder()
    inject_fault(holder)
    # Then another node sends the report of the edges' counts in time
    await world.until(lambda: world.holder() is not holder, PROMPT_REPORT_S, "another holder")
    await world.until_reported(window, DUE_S)
    world.require_reported(window, window)
    # And the return of the old holder has no effect
    await world.settle()
    last = await world.until_window_ends()
    await world.until_reported(last, DUE_S)
    world.require_reported(window, last)


@pytest.mark.parametrize("after_decision", [False, True])
@pytest.mark.parametrize("inject_fault", [Machine.kill, Machine.freeze, Machine.lose_power])
def test_given_a_holder_that_fails_then_another_sends_the_report(
    inject_fault: Callable[[Machine], object], after_decision: bool
) -> None:
    run_world(_holder_fails(inject_fault, after_decision))


async def _killed_around_call(lost_answer: bool) -> None:
    # Given a holder that is killed after the platform has received its call, before the window is marked
    world = await _started_world()
    window = await world.until_window_ends()
    holder = world.holder()
    world.platform.on_received = holder.kill
    world.platform.lost_answers = 1 if lost_answer else 0
    await world.until_reported(window, PROMPT_REPORT_S)
    world.platform.on_received = lambda: None
    assert window in world.newest_state().usage.pending
    # Then its successor sends the same bytes again under a higher token, and nothing else
    await world.until(lambda: window not in world.newest_state().usage.pending, DUE_S, "the mark")
    calls = [arrival.call for arrival in world.checker.arrivals if arrival.window == window]
    assert len(calls) == 2
    assert calls[0].body == calls[1].body
    assert calls[0].token < calls[1].token and calls[0].holder != calls[1].holder
    world.require_reported(window, window)


@pytest.mark.parametrize("lost_answer", [False, True])
def test_given_a_holder_killed_after_its_call_was_received_then_the_repeat_has_the_same_bytes(
    lost_answer: bool,
) -> None:
    run_world(_killed_around_call(lost_answer))


async def _answer_lost() -> None:
    # Given a platform that receives a call but whose answer is lost
    world = await _started_world()
    window = await world.until_window_ends()
    world.platform.lost_answers = 1
    await world.until_reported(window, PROMPT_REPORT_S)
    # Then the call is repeated with the same bytes, after the first one has timed out
    await world.until(lambda: window not in world.newest_state().usage.pending, DUE_S, "the mark")
    received = [arrival for arrival in world.checker.arrivals if arrival.window == window]
    assert [arrival.call.body for arrival in received] == [received[0].call.body] * 2
    assert received[1].at_s - received[0].at_s > world.platform.answer_timeout_s
    world.require_reported(window, window)


def test_given_a_lost_answer_then_the_repeat_is_delayed_and_has_the_same_bytes() -> None:
    run_world(_answer_lost())


async def _fenced() -> None:
    # Given a platform that has seen a higher token than the holder's
    world = await _started_world()
    holder, token = world.holder(), world.newest_state().roles[USAGE_ROLE].token
    world.checker._highest["/usage"] = token + 1
    window = await world.until_window_ends()
    await asyncio.sleep(3 * WINDOW_S)
    # Then the holder makes no more calls under its token
    refused = [arrival for arrival in world.checker.arrivals if arrival.status == FENCED]
    assert [arrival.window for arrival in refused] == [window]
    # And a holder with a higher token sends all pending windows, oldest first
    holder.kill()
    await world.until_reported(window + 2, DUE_S)
    assert world.checker.violations == []
    world.require_reported(window, window + 2)


def test_given_a_refused_token_then_only_a_higher_one_calls() -> None:
    run_world(_fenced())


async def _busy() -> None:
    # Given a platform that rejects all calls as over the rate
    world = await _started_world()
    window = await world.until_window_ends()
    world.checker.rate = 0
    await asyncio.sleep(WINDOW_S)
    refused = [arrival.at_s for arrival in world.checker.arrivals if arrival.status == BUSY]
    world.checker.rate = 50
    # Then the holder backs off, and then sends the pending windows
    pauses = [after - before for before, after in pairwise(refused)]
    assert len(pauses) >= 1 and pauses == sorted(pauses)
    await world.until_reported(window, DUE_S)
    world.require_reported(window, window)


def test_given_a_busy_platform_then_calls_back_off_and_no_window_is_lost() -> None:
    run_world(_busy())


async def _down() -> None:
    # Given a platform that is down for many windows
    world = await _started_world()
    first = await world.until_window_ends()
    world.platform.down = True
    await asyncio.sleep(12 * WINDOW_S)
    last = window_now() - 2
    # When it is up again
    world.platform.down = False
    await world.until_reported(last, DUE_S)
    # Then all windows were sent, oldest first, below the accepted rate
    assert world.checker.windows() == sorted(world.checker.windows())
    assert world.checker.refused == 0
    world.require_reported(first, last)


def test_given_a_platform_outage_then_all_windows_are_sent_oldest_first_and_within_the_rate() -> None:
    run_world(_down())


async def _slow(kill: bool) -> None:
    # Given a platform that receives calls with a long delay
    world = await _started_world()
    world.platform.slow_s = 2.5
    window = await world.until_window_ends()
    if kill:
        await world.until(
            lambda: world.newest_state().usage.decided_through >= window, PROMPT_REPORT_S, "a decided window"
        )
        await asyncio.sleep(0.5)
        world.holder().kill()
    # Then every window is reported in time, and a late call of an old holder has no effect
    await world.until_reported(window, DUE_S)
    last = await world.until_window_ends()
    await world.until_reported(last, DUE_S)
    world.require_reported(window, last)


@pytest.mark.parametrize("kill", [False, True])
def test_given_a_slow_platform_then_late_calls_have_no_effect(kill: bool) -> None:
    run_world(_slow(kill))


async def _edge_crashes() -> None:
    # Given an edge that crashes within a window and restarts
    world = await _started_world()
    await world.until_window_ends()
    window = window_now()
    await asyncio.sleep(0.5 * WINDOW_S)
    world.counting_edges[0].crash()
    await asyncio.sleep(0.4 * WINDOW_S)
    world.counting_edges[0].start()
    # Then the window is reported in time, without the counts of the edge since its last report
    await world.until_reported(window, DUE_S)
    world.require_reported(window, window, error=0.1)


def test_given_an_edge_that_crashes_then_its_reported_counts_are_kept() -> None:
    run_world(_edge_crashes())


async def _silent_edge() -> None:
    # Given an edge that is disconnected from the control nodes
    world = await _started_world()
    await world.until_window_ends()
    window = window_now()
    for machine in world.machines.values():
        world.network.cut("edge0:1", machine.address)
    # Then its window is reported without it, in time
    await world.until_window_ends()
    await world.until_reported(window, DUE_S - 2.0)
    assert world.checker.violations == []


def test_given_a_disconnected_edge_then_the_report_waits_for_it_only_for_a_limited_time() -> None:
    run_world(_silent_edge())


async def _power_lost() -> None:
    # Given a window that was reported, and one that was decided while the platform was down
    world = await _started_world()
    world.platform.down = True
    window = await world.until_window_ends()
    await world.until(
        lambda: world.newest_state().usage.decided_through >= window, PROMPT_REPORT_S, "a decided window"
    )
    body = dict(world.newest_state().usage.pending[window])
    # When all machines and edges lose power
    for machine in world.machines.values():
        machine.lose_power()
    for edge in world.counting_edges:
        edge.crash()
    await asyncio.sleep(2.0)
    for machine in world.machines.values():
        machine.start()
    for edge in world.counting_edges:
        edge.start()
    world.platform.down = False
    # Then the window is reported as it was decided
    await world.until_reported(window, 2 * DUE_S)
    assert sum(body.values()) > 0
    world.require_reported(window, window)
    last = await world.until_window_ends()
    await world.until_reported(last, DUE_S)
    assert world.checker.violations == []


def test_given_a_power_loss_everywhere_then_a_decided_window_is_reported_unchanged() -> None:
    run_world(_power_lost())


async def _random_faults(seed: int) -> None:
    # Given a world in which holders and primaries fail at random times and answers are lost
    world = DutyWorld(seed)
    await world.start()
    first = window_now() + 1
    faults = (Machine.kill, Machine.freeze, Machine.lose_power)
    for _ in range(8):
        await asyncio.sleep(world.draw.uniform(1.0, 2 * WINDOW_S))
        victim = world.draw.choice([world.holder(), world.primary() or world.holder()])
        world.platform.lost_answers = world.draw.randint(0, 1)
        world.platform.slow_s = world.draw.choice([0.0, 0.0, 1.0, 3.5])
        world.draw.choice(faults)(victim)
        await asyncio.sleep(world.draw.choice([0.3, 1.0, 2.5, 6.0]))
        await world.settle()
    # When there are no more faults
    world.platform.slow_s, world.platform.lost_answers = 0.0, 0
    last = await world.until_window_ends()
    await world.until_reported(last, 2 * DUE_S)
    # Then every window had one report with exact counts, and tokens never decreased
    world.require_reported(first, last)


@pytest.mark.parametrize("seed", range(6))
def test_given_random_faults_then_each_window_has_one_exact_report(seed: int) -> None:
    run_world(_random_faults(seed))


async def _schedule(seed: int) -> None:
    schedule = Schedule(seed, 5, 2, ScheduledDutyWorld)
    outcome = await schedule.run()
    assert outcome.violation is None, outcome.violation
    world = schedule.world
    assert isinstance(world, ScheduledDutyWorld)
    assert len(world.checker.arrivals) >= len(world.checker.reports) > 0


@pytest.mark.parametrize("seed", range(300, 312))
def test_given_a_schedule_of_faults_then_windows_have_one_body_and_tokens_never_decrease(seed: int) -> None:
    run_world(_schedule(seed))
