"""Ordering workers from the platform, in virtual time: steady, falling and growing load, and faults."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable

import pytest
from loguru import logger

from arrowfold.controlplane.duty_pace import CallRateLimiter
from arrowfold.controlplane.platform_client import DutyAnswer
from arrowfold.controlplane.role_names import companion_role, placement_role, scaling_role, scaling_roles
from arrowfold.replication.roles import next_grant, preferred_holder
from arrowfold.replication.state import ControlState, RoleGrant, apply_entry
from tests.system.scaling_stage import SERVICE, ZONES, ReceivedCall, ScalingEnvironment, document
from tests.system.virtual_time import run_virtual

STEADY_LOAD = 35.0  # concurrent requests: 8 workers with 10 slots, half of them used, carry 40
LOW_LOAD = 4.0
HIGH_LOAD = 59.0  # needs 6 workers in each of 2 zones


def run_scenario(
    scenario: Callable[[ScalingEnvironment], Awaitable[None]], workers: int = 4, rate_s: float = 50.0
) -> None:
    async def in_environment() -> None:
        async with ScalingEnvironment(workers, rate_s=rate_s) as environment:
            await scenario(environment)

    run_virtual(in_environment())


def test_given_a_steady_load_then_nothing_is_ordered() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        await environment.serve_load(STEADY_LOAD, 120.0)
        assert environment.platform.calls == []

    run_scenario(scenario)


def test_given_a_low_load_then_the_count_falls_one_at_a_time_to_the_minimum() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        # Given four workers in each zone, and a load that one could carry
        await environment.serve_load(LOW_LOAD, 20.0)
        # Then nothing is ordered until the load has been low for some time
        assert environment.platform.calls == []
        # And then one worker fewer
        await environment.serve_load(LOW_LOAD, 15.0)
        assert [environment.platform.counts_of(zone) for zone in ZONES] == [[3], [3]]
        # And in the end the minimum
        await environment.serve_load(LOW_LOAD, 200.0)
        assert [environment.platform.counts_of(zone) for zone in ZONES] == [[3, 2], [3, 2]]

    run_scenario(scenario)


def test_given_a_load_that_grows_then_more_are_ordered_at_once() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        await environment.serve_load(STEADY_LOAD, 30.0)
        await environment.serve_load(HIGH_LOAD, 30.0)
        assert environment.platform.counts == dict.fromkeys(ZONES, 6)
        assert len(environment.platform.calls) <= 4

    run_scenario(scenario)


def test_given_a_burst_that_ends_before_new_workers_could_start_then_nothing_is_ordered() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        await environment.serve_load(STEADY_LOAD, 30.0)
        await environment.serve_load(HIGH_LOAD, 4.0)
        await environment.serve_load(STEADY_LOAD, 30.0)
        assert environment.platform.calls == []

    run_scenario(scenario)


def test_given_a_load_that_flaps_then_nothing_is_ordered() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        await environment.serve_load(STEADY_LOAD, 15.0)
        for _ in range(20):
            await environment.serve_load(HIGH_LOAD, 3.0)
            await environment.serve_load(LOW_LOAD, 9.0)
        assert environment.platform.calls == []

    run_scenario(scenario)


def test_given_a_disconnected_holder_then_another_continues_and_they_do_not_alternate() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        # Given a holder that has ordered
        await environment.serve_load(LOW_LOAD, 40.0)
        assert {call.holder for call in environment.platform.calls} == {"node-a"}
        # When it is disconnected, the duty is granted to another node, and the old holder returns later
        environment.replicas["a"].is_disconnected = True
        await environment.serve_load(LOW_LOAD, 2.0)
        environment.grant_duties("b")
        await environment.serve_load(LOW_LOAD, 60.0)
        environment.replicas["a"].is_disconnected = False
        await environment.serve_load(HIGH_LOAD, 40.0)
        # Then all calls of the new holder come after those of the old one, under higher tokens
        calls = environment.platform.calls
        holders = [call.holder for call in calls]
        assert set(holders) == {"node-a", "node-b"} and holders == sorted(holders)
        highest = max(call.token for call in calls if call.holder == "node-a")
        assert all(call.token > highest for call in calls if call.holder == "node-b")
        assert all(call.answer is not DutyAnswer.FENCED for call in calls)

    run_scenario(scenario)


def test_given_a_new_holder_then_it_orders_nothing_while_the_worker_count_is_right() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        await environment.serve_load(STEADY_LOAD, 30.0)
        environment.grant_duties("b")
        await environment.serve_load(STEADY_LOAD, 60.0)
        assert environment.platform.calls == []

    run_scenario(scenario)


def test_given_a_fenced_holder_then_it_makes_no_calls_until_it_has_a_higher_token() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        environment.platform.answers = [DutyAnswer.FENCED, DutyAnswer.FENCED]
        await environment.serve_load(HIGH_LOAD, 120.0)
        assert [call.answer for call in environment.platform.calls] == [DutyAnswer.FENCED] * 2
        # When the duty is granted to it again under a new token
        environment.grant_duties("b")
        environment.grant_duties("a")
        await environment.serve_load(HIGH_LOAD, 30.0)
        # Then it orders again
        assert environment.platform.counts == dict.fromkeys(ZONES, 6)

    run_scenario(scenario)


@pytest.mark.parametrize(
    "answer", [DutyAnswer.BUSY, DutyAnswer.UNSENT, DutyAnswer.UNANSWERED, DutyAnswer.REFUSED]
)
def test_given_a_call_that_failed_then_it_is_made_again_later_with_the_count_wanted_then(
    answer: DutyAnswer,
) -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        environment.platform.answers = [answer, answer]
        await environment.serve_load(HIGH_LOAD, 40.0)
        assert environment.platform.counts == dict.fromkeys(ZONES, 6)
        for zone in ZONES:
            first, *_, last = [call for call in environment.platform.calls if call.zone == zone]
            assert last.at_s - first.at_s >= 1.0 and last.answer is DutyAnswer.ACCEPTED

    run_scenario(scenario)


def test_given_a_lost_answer_then_the_count_in_force_is_ordered_once_the_other_is_no_longer_wanted() -> None:
    # Guards against a count that the platform accepted but whose answer was lost, so no node knows of it.
    async def scenario(environment: ScalingEnvironment) -> None:
        # Given orders of six workers that the platform accepted, with late or lost answers
        environment.platform.answers = [DutyAnswer.UNANSWERED, DutyAnswer.UNANSWERED]
        environment.platform.answer_s = 3.0
        await environment.serve_load(STEADY_LOAD, 15.0)
        environment.concurrent_requests = HIGH_LOAD
        while len(environment.platform.calls) < 2:
            await environment.serve_load(HIGH_LOAD, 0.5)
        # When the load has fallen meanwhile
        await environment.serve_load(0.1, 15.0)
        # Then the previous count is ordered again
        assert environment.platform.counts == dict.fromkeys(ZONES, 4)
        last = environment.platform.calls[-1]
        assert last.answer is DutyAnswer.ACCEPTED and last.count == 4

    run_scenario(scenario)


def test_given_a_slow_platform_then_no_zone_has_two_calls_in_progress() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        environment.platform.answer_s = 30.0
        await environment.serve_load(HIGH_LOAD, 25.0)
        assert environment.platform.max_in_progress <= len(ZONES)
        assert len(environment.platform.calls) == len(ZONES)

    run_scenario(scenario)


def test_given_a_low_rate_then_calls_are_spaced_within_half_of_it() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        environment.platform.answers = [DutyAnswer.BUSY] * 8
        await environment.serve_load(HIGH_LOAD, 120.0)
        call_times_s = [call.at_s for call in environment.platform.calls]
        assert len(call_times_s) > 8
        assert all(later - earlier >= 10.0 for earlier, later in itertools.pairwise(call_times_s))

    run_scenario(scenario, rate_s=0.2)


def test_given_a_worker_that_drains_or_is_silent_then_no_fewer_are_ordered_in_its_zone() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        await environment.serve_load(LOW_LOAD, 5.0)
        environment.set_state("z0-1", "draining")
        environment.set_state("z1-1", "silent")
        await environment.serve_load(LOW_LOAD, 100.0)
        assert environment.platform.calls == []
        # When one is available again, and the other has been replaced
        environment.set_state("z0-1", "gone")
        environment.start_worker("z0", 8)
        environment.set_state("z1-1", "available")
        await environment.serve_load(LOW_LOAD, 35.0)
        assert environment.platform.counts == dict.fromkeys(ZONES, 3)

    run_scenario(scenario)


def test_given_a_worker_that_drains_beside_as_many_as_were_ordered_then_no_fewer_are_ordered() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        # Given a zone whose count was lowered, and whose surplus worker drains slowly
        await environment.serve_load(LOW_LOAD, 35.0)
        assert environment.platform.counts == dict.fromkeys(ZONES, 3)
        environment.set_state("z0-3", "draining")
        await environment.serve_load(LOW_LOAD, 60.0)
        assert [environment.platform.counts_of(zone) for zone in ZONES] == [[3], [3, 2]]
        # When it is gone, then the count is lowered again
        environment.set_state("z0-3", "gone")
        await environment.serve_load(LOW_LOAD, 35.0)
        assert environment.platform.counts_of("z0") == [3, 2]

    run_scenario(scenario)


def test_given_a_holder_without_contact_to_the_primary_then_it_makes_no_calls() -> None:
    # Guards against a call under a duty that another node may hold by now.
    async def scenario(environment: ScalingEnvironment) -> None:
        await environment.serve_load(STEADY_LOAD, 30.0)
        environment.replicas["a"].is_disconnected = True
        await environment.serve_load(HIGH_LOAD, 30.0)
        assert environment.platform.calls == []
        environment.replicas["a"].is_disconnected = False
        await environment.serve_load(HIGH_LOAD, 5.0)
        assert environment.platform.counts == dict.fromkeys(ZONES, 6)

    run_scenario(scenario)


def test_given_a_call_then_the_log_holds_its_holder_count_reason_and_outcome() -> None:
    lines: list[str] = []
    calls: list[ReceivedCall] = []
    sink = logger.add(lambda line: lines.append(str(line)), format="{message}")

    async def scenario(environment: ScalingEnvironment) -> None:
        await environment.serve_load(HIGH_LOAD, 30.0)
        calls.extend(call for call in environment.platform.calls if call.zone == "z0")

    try:
        run_scenario(scenario)
    finally:
        logger.remove(sink)
    logged = [line for line in lines if "event=scaling.ordered" in line and "zone='z0'" in line]
    assert len(logged) == len(calls) > 0
    for line, call in zip(logged, calls, strict=True):
        expected = f"holder={call.holder!r} token={call.token} service={SERVICE!r} zone='z0'"
        assert f"{expected} count={call.count} why='load' answer='accepted'" in line


def test_given_a_worker_that_is_replaced_while_it_drains_then_the_two_count_as_one() -> None:
    # Guards against an order based on a count that includes both workers, which was never in force.
    async def scenario(environment: ScalingEnvironment) -> None:
        environment.configure(document(min_count=2, max_count=4))
        environment.set_state("z0-0", "draining")
        environment.start_worker("z0", 8)
        await environment.serve_load(STEADY_LOAD, 10.0)
        environment.set_state("z0-0", "gone")
        await environment.serve_load(STEADY_LOAD, 30.0)
        assert environment.platform.calls == []

    run_scenario(scenario)


def test_given_workers_that_were_silent_at_the_start_of_a_tenure_then_the_count_is_not_lowered() -> None:
    # Guards against ordering the minimum while the higher count in force is not known.
    async def scenario(environment: ScalingEnvironment) -> None:
        for index in (1, 2, 3):
            environment.set_state(f"z0-{index}", "silent")
        await environment.serve_load(LOW_LOAD, 15.0)
        for index in (1, 2, 3):
            environment.set_state(f"z0-{index}", "available")
        await environment.serve_load(STEADY_LOAD, 60.0)
        assert environment.platform.calls == []

    run_scenario(scenario)


def test_given_models_that_fewer_workers_would_not_hold_then_no_fewer_are_ordered() -> None:
    models = [{"name": f"m{index}", "weightsMb": 70.0} for index in range(9)]
    engine = {"models": models, "weightsMb": 100.0}

    async def scenario(environment: ScalingEnvironment) -> None:
        environment.configure(document(engine=engine))
        environment.models = tuple(f"m{index}" for index in range(7))
        await environment.serve_load(LOW_LOAD, 100.0)
        assert environment.platform.calls == []
        environment.models = ("m0", "m1")
        await environment.serve_load(LOW_LOAD, 60.0)
        assert all(count < 4 for count in environment.platform.counts.values())

    run_scenario(scenario)


def test_given_a_load_that_is_not_known_then_nothing_is_ordered() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        environment.sends_reports = False
        await environment.serve_load(LOW_LOAD, 100.0)
        assert environment.platform.calls == []

    run_scenario(scenario)


@pytest.mark.parametrize(("min_count", "max_count", "expected"), [(5, 8, 5), (1, 3, 3)])
def test_given_bounds_that_changed_then_the_nearest_count_within_is_ordered(
    min_count: int, max_count: int, expected: int
) -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        await environment.serve_load(STEADY_LOAD, 10.0)
        environment.configure(document(min_count, max_count))
        await environment.serve_load(STEADY_LOAD, 60.0)
        assert environment.platform.counts == dict.fromkeys(ZONES, expected)

    run_scenario(scenario)


def test_given_a_service_that_lost_its_scaling_then_nothing_more_is_ordered() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        await environment.serve_load(STEADY_LOAD, 10.0)
        environment.configure({"routes": [], "services": [{"name": SERVICE}]})
        assert scaling_roles(environment.state, environment.nodes["a"].zones) == ()
        await environment.serve_load(HIGH_LOAD, 60.0)
        assert environment.platform.calls == []

    run_scenario(scenario)


def test_given_a_service_with_scaling_then_each_zone_with_workers_is_a_duty() -> None:
    async def scenario(environment: ScalingEnvironment) -> None:
        roles = scaling_roles(environment.state, environment.nodes["a"].zones)
        assert roles == tuple(scaling_role(SERVICE, zone) for zone in ZONES)
        assert scaling_roles(ControlState(), environment.nodes["a"].zones) == ()

    run_scenario(scenario)


def test_given_a_placement_then_its_holder_gets_the_duties_of_its_service() -> None:
    placement, duty = placement_role("a/b"), scaling_role("a/b", "z")
    assert companion_role(duty) == placement
    assert companion_role(placement) is None
    fit = ("m1", "m2", "m3")
    other = next(member for member in fit if member != preferred_holder(duty, fit))
    held = apply_entry(ControlState(), RoleGrant(placement, other))

    def grant(state: ControlState, members: tuple[str, ...]) -> RoleGrant | None:
        return next_grant(state, (placement, duty), members, lambda _member: False, companion_role)

    # Given a holder of the placement, then the duty is its own
    assert grant(held, fit) == RoleGrant(duty, other)
    # And the duty is not granted while that member is not fit
    without = tuple(member for member in fit if member != other)
    assert grant(held, without) is None
    # And a duty without a placement is assigned by its own name
    alone = next_grant(ControlState(), (duty,), fit, lambda _member: False, companion_role)
    assert alone == RoleGrant(duty, str(preferred_holder(duty, fit)))


def test_a_limiter_without_a_rate_still_allows_a_call_at_long_intervals() -> None:
    limiter = CallRateLimiter(0.0)
    assert limiter.try_acquire(0.0)
    assert not limiter.try_acquire(19.0)
    assert limiter.try_acquire(20.1)
