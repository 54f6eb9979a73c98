"""A stopping member is released by the group; a loss at the same time or right after it is tolerated."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

import pytest

from arrowfold.replication.durable import DurableState
from tests.system.control_simulation.machines import Machine
from tests.system.control_simulation.world import World, run_world

MOMENTS_S = (0.0, 0.2, 0.5, 0.8, 1.2, 1.6, 2.0, 3.0)  # time from the request to stop until the loss
LINGER_S = 0.3  # time for which a process may run on after it has left
CHANGE_TIMEOUT_S = 12.0
GRACE_S = 8.0
SIZES = {"3 / 1": (3, 1), "5 / 2": (5, 2)}


async def _group_with_an_extra_member(machines: int, losses: int) -> World:
    """A complete group with one member more than required, as before a planned replacement."""
    world = World(31, machines, losses)
    world.start_all()
    assert await world.change(0, 1, 9.0) == 1
    await world.until(world.is_whole, 6.0, "a whole group")
    newcomer = world.add_machine(f"core{machines + 1}")
    newcomer.start()
    await world.until(world.is_whole, 6.0, "the new member in the group")
    assert await world.change(1, 2, 9.0) == 2
    return world


def _roles(
    world: World, primary: Machine, leaving_is_primary: bool, victim_is_primary: bool
) -> tuple[Machine, list[Machine]]:
    """The leaving member and the lost ones; with two tolerated losses, two are lost together."""
    backups = [machine for machine in world.machines.values() if machine is not primary]
    leaving = primary if leaving_is_primary else backups.pop(0)
    victims = [primary] if victim_is_primary and not leaving_is_primary else []
    victims += backups[: world.losses - len(victims)]
    return leaving, victims


async def _loss_during_departure(
    size: str, leaving_is_primary: bool, victim_is_primary: bool, moment_s: float, lingers_s: float
) -> None:
    world = await _group_with_an_extra_member(*SIZES[size])
    leaving, victims = _roles(world, await world.until_primary(), leaving_is_primary, victim_is_primary)
    # When a member is stopped, and others lose their disks a moment later
    started = asyncio.get_running_loop().time()
    ended = leaving.terminate(lingers_s)
    await asyncio.sleep(moment_s)
    for victim in victims:
        victim.wipe()
        victim.start()
    # Then a change is acknowledged, nothing is lost, and the member ends within its grace period
    assert await world.change(2, 3, CHANGE_TIMEOUT_S, avoiding=leaving) == 3
    await ended
    assert asyncio.get_running_loop().time() - started < GRACE_S
    world.machines.pop(leaving.name, None)
    await world.until(world.is_whole, 8.0, "the nodes with lost disks in the group again")
    assert await world.change(3, 4, CHANGE_TIMEOUT_S) == 4
    world.raise_violations()


@pytest.mark.parametrize("lingers_s", [0.0, LINGER_S])
@pytest.mark.parametrize("victim_is_primary", [False, True])
@pytest.mark.parametrize("leaving_is_primary", [False, True])
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("moment_s", MOMENTS_S)
def test_given_a_loss_during_a_planned_departure_then_changes_go_on(
    size: str, leaving_is_primary: bool, victim_is_primary: bool, moment_s: float, lingers_s: float
) -> None:
    run_world(_loss_during_departure(size, leaving_is_primary, victim_is_primary, moment_s, lingers_s))


async def _released(leaving_is_primary: bool) -> None:
    world = await _group_with_an_extra_member(3, 1)
    primary = await world.until_primary()
    leaving = primary if leaving_is_primary else next(m for m in world.machines.values() if m is not primary)
    assert leaving.replica is not None
    identity = leaving.replica.member
    # When a member is stopped and released by the group
    ended = leaving.terminate()
    await world.until(lambda: leaving.released, GRACE_S, "the release")
    # Then the record without it is chosen, and enough disks have stored that
    leader = await world.until_primary()
    assert leader.replica is not None and leader.replica.term is not None
    record = leader.replica.term.record
    assert identity not in record.witness_ids() and len(record.witnesses) == 3
    confirmed = [
        machine
        for machine in world.machines.values()
        if machine is not leaving
        and machine.replica is not None
        and machine.replica.group_member.durable.confirmed_epoch >= record.epoch
    ]
    assert len(confirmed) >= 2
    await ended


@pytest.mark.parametrize("leaving_is_primary", [False, True])
def test_given_a_release_then_enough_disks_know_the_record_without_the_member(
    leaving_is_primary: bool,
) -> None:
    run_world(_released(leaving_is_primary))


async def _restart_of_one_of_three() -> None:
    world = World(32)
    world.start_all()
    assert await world.change(0, 1, 9.0) == 1
    await world.until(world.is_whole, 6.0, "a whole group")
    primary = await world.until_primary()
    leaving = next(machine for machine in world.machines.values() if machine is not primary)
    # When one of exactly as many members as required is restarted
    await leaving.terminate()
    # Then it remains a witness, and writes do not wait for it
    assert leaving.released
    assert primary.replica is not None and primary.replica.term is not None
    record = primary.replica.term.record
    assert len(record.witnesses) == 3 and len(record.group) == 2
    assert await world.change(1, 2, 1.0, avoiding=leaving) == 2
    leaving.start()
    await world.until(world.is_whole, 6.0, "everyone in the group again")
    world.raise_violations()


def test_given_a_restart_of_one_of_three_then_no_voter_is_removed() -> None:
    run_world(_restart_of_one_of_three())


async def _two_restarts_at_once() -> None:
    world = World(33)
    world.start_all()
    assert await world.change(0, 1, 9.0) == 1
    await world.until(world.is_whole, 6.0, "a whole group")
    primary = await world.until_primary()
    first, second = (machine for machine in world.machines.values() if machine is not primary)
    # When two of three are stopped at the same time
    ended = [first.terminate(), second.terminate()]
    await asyncio.sleep(1.0)
    # Then they are released one at a time, so that two copies remain
    assert sorted((first.released, second.released)) == [False, True]
    assert await world.change(1, 2, 2.0, avoiding=first if first.released else second) == 2
    (first if first.released else second).start()
    await asyncio.gather(*ended)
    assert first.released and second.released
    world.raise_violations()


def test_given_two_stopped_at_once_then_they_are_released_one_after_the_other() -> None:
    run_world(_two_restarts_at_once())


async def _everyone_ends() -> None:
    world = World(34)
    world.start_all()
    assert await world.change(0, 1, 9.0) == 1
    await world.until(world.is_whole, 6.0, "a whole group")
    # When the whole control plane is stopped
    started = asyncio.get_running_loop().time()
    await asyncio.gather(*[machine.terminate() for machine in world.machines.values()])
    # Then no member waits for a release
    assert asyncio.get_running_loop().time() - started < 2.0
    world.start_all()
    await world.until_primary(6.0)
    await world.settle()
    assert await world.change(1, 2, 9.0) == 2
    world.raise_violations()


def test_given_a_stop_of_everyone_then_all_end_soon_and_nothing_is_lost() -> None:
    run_world(_everyone_ends())


async def _leaving_member_fails(kind: str) -> None:
    world = await _group_with_an_extra_member(3, 1)
    primary = await world.until_primary()
    leaving = next(machine for machine in world.machines.values() if machine is not primary)
    for other in world.machines.values():
        if kind == "cut off" and other is not leaving:
            world.network.cut(leaving.address, other.address)
            world.network.cut(other.address, leaving.address)
    started = asyncio.get_running_loop().time()
    ended = leaving.terminate()
    if kind != "cut off":
        await asyncio.sleep(0.05)
        (leaving.kill if kind == "killed" else leaving.freeze)()
    # Then changes go on without it, and one that is cut off ends by itself within its grace period
    assert await world.change(2, 3, 4.0, avoiding=leaving) == 3
    if kind == "cut off":
        await ended
        assert asyncio.get_running_loop().time() - started < GRACE_S
    await asyncio.sleep(GRACE_S)
    leaving.remove_permanently()
    del world.machines[leaving.name]
    # And another loss is tolerated
    next(machine for machine in world.machines.values() if machine is not primary).wipe()
    assert await world.change(3, 4, CHANGE_TIMEOUT_S) == 4
    world.raise_violations()


@pytest.mark.parametrize("kind", ["killed", "frozen", "cut off"])
def test_given_a_leaving_member_that_fails_then_it_counts_as_lost_and_another_loss_is_tolerated(
    kind: str,
) -> None:
    run_world(_leaving_member_fails(kind))


async def _never_flushed() -> None:
    # Given disks on which no member has stored that the newest record is chosen
    world = await _group_with_an_extra_member(3, 1)
    await asyncio.sleep(2.0)
    primary = await world.until_primary()
    assert primary.replica is not None
    holders = {tenure.member for tenure in primary.replica.committed.roles.values()}
    leaving = next(
        machine
        for machine in world.machines.values()
        if machine is not primary and machine.replica is not None and machine.replica.member not in holders
    )
    # When a member is stopped
    ended = leaving.terminate()
    await asyncio.sleep(2.0)
    # Then it is not released, although the record without it is chosen
    assert len(primary.replica.members()) == 3
    assert not leaving.released
    await ended


def test_given_an_unconfirmed_record_on_the_disks_then_the_member_is_not_released() -> None:
    async def nothing(_: DurableState) -> None:
        return None

    with patch.object(DurableState, "flush", nothing):
        run_world(_never_flushed())
