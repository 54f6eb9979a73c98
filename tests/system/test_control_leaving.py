"""A member that is told to end leaves by agreement: a loss beside it, or right after it, is borne."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

import pytest

from arrowfold.replication.durable import DurableImage
from tests.system.control_simulation.machines import Machine
from tests.system.control_simulation.world import World, run_world

MOMENTS_S = (0.0, 0.2, 0.5, 0.8, 1.2, 1.6, 2.0, 3.0)  # from the order to end until the loss
LINGER_S = 0.3  # for which processes may go on after they left
PATIENCE_S = 12.0
GRACE_S = 8.0
SIZES = {"3 / 1": (3, 1), "5 / 2": (5, 2)}


async def _core_with_a_newcomer(machines: int, losses: int) -> World:
    """A whole core that has one machine more than the losses ask for: a replacement that came first."""
    world = World(31, machines, losses)
    world.start_all()
    assert await world.change(0, 1, 9.0) == 1
    await world.until(world.is_whole, 6.0, "a whole group")
    newcomer = world.add_machine(f"core{machines + 1}")
    newcomer.start()
    await world.until(world.is_whole, 6.0, "the newcomer in the group")
    assert await world.change(1, 2, 9.0) == 2
    return world


def _roles(
    world: World, primary: Machine, leaver_leads: bool, victim_leads: bool
) -> tuple[Machine, list[Machine]]:
    """Who leaves and who is lost; with `losses` of two, two are lost together."""
    backups = [machine for machine in world.machines.values() if machine is not primary]
    leaver = primary if leaver_leads else backups.pop(0)
    victims = [primary] if victim_leads and not leaver_leads else []
    victims += backups[: world.losses - len(victims)]
    return leaver, victims


async def _loss_beside_departure(
    size: str, leaver_leads: bool, victim_leads: bool, moment_s: float, lingers_s: float
) -> None:
    world = await _core_with_a_newcomer(*SIZES[size])
    leaver, victims = _roles(world, await world.until_primary(), leaver_leads, victim_leads)
    # When a member is told to end, and others lose their disks a moment later
    started = asyncio.get_running_loop().time()
    ended = leaver.terminate(lingers_s)
    await asyncio.sleep(moment_s)
    for victim in victims:
        victim.wipe()
        victim.start()
    # Then a change is acknowledged, nothing is lost, and the member ends within its grace time
    assert await world.change(2, 3, PATIENCE_S, avoiding=leaver) == 3
    await ended
    assert asyncio.get_running_loop().time() - started < GRACE_S
    world.machines.pop(leaver.name, None)
    await world.until(world.is_whole, 8.0, "those that lost their disks in the group again")
    assert await world.change(3, 4, PATIENCE_S) == 4
    world.require_sound()


@pytest.mark.parametrize("lingers_s", [0.0, LINGER_S])
@pytest.mark.parametrize("victim_leads", [False, True])
@pytest.mark.parametrize("leaver_leads", [False, True])
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("moment_s", MOMENTS_S)
def test_given_a_loss_beside_a_planned_departure_then_changes_go_on(
    size: str, leaver_leads: bool, victim_leads: bool, moment_s: float, lingers_s: float
) -> None:
    run_world(_loss_beside_departure(size, leaver_leads, victim_leads, moment_s, lingers_s))


async def _released(leaver_leads: bool) -> None:
    world = await _core_with_a_newcomer(3, 1)
    primary = await world.until_primary()
    leaver = primary if leaver_leads else next(m for m in world.machines.values() if m is not primary)
    assert leaver.replica is not None
    identity = leaver.replica.member
    # When a member is told to end, and the moment comes at which the others let it go
    ended = leaver.terminate()
    await world.until(lambda: leaver.released, GRACE_S, "the release")
    # Then the record without it is chosen, and enough synced disks know that
    leader = await world.until_primary()
    assert leader.replica is not None and leader.replica.term is not None
    record = leader.replica.term.record
    assert identity not in record.witness_ids() and len(record.witnesses) == 3
    knowing = [
        machine
        for machine in world.machines.values()
        if machine is not leaver
        and machine.replica is not None
        and machine.replica.group_member.durable.confirmed_epoch >= record.epoch
    ]
    assert len(knowing) >= 2
    await ended


@pytest.mark.parametrize("leaver_leads", [False, True])
def test_given_a_release_then_enough_disks_know_the_record_without_the_member(leaver_leads: bool) -> None:
    run_world(_released(leaver_leads))


async def _restart_of_one_of_three() -> None:
    world = World(32)
    world.start_all()
    assert await world.change(0, 1, 9.0) == 1
    await world.until(world.is_whole, 6.0, "a whole group")
    primary = await world.until_primary()
    leaver = next(machine for machine in world.machines.values() if machine is not primary)
    # When one of just as many members as the losses ask for is restarted
    await leaver.terminate()
    # Then it stays a voter, and writes do not wait for it
    assert leaver.released
    assert primary.replica is not None and primary.replica.term is not None
    record = primary.replica.term.record
    assert len(record.witnesses) == 3 and len(record.group) == 2
    assert await world.change(1, 2, 1.0, avoiding=leaver) == 2
    leaver.start()
    await world.until(world.is_whole, 6.0, "everyone in the group again")
    world.require_sound()


def test_given_a_restart_of_one_of_three_then_no_voter_is_removed() -> None:
    run_world(_restart_of_one_of_three())


async def _two_restarts_at_once() -> None:
    world = World(33)
    world.start_all()
    assert await world.change(0, 1, 9.0) == 1
    await world.until(world.is_whole, 6.0, "a whole group")
    primary = await world.until_primary()
    first, second = (machine for machine in world.machines.values() if machine is not primary)
    # When two of three are told to end at the same time
    ended = [first.terminate(), second.terminate()]
    await asyncio.sleep(1.0)
    # Then one is let go at a time: two copies remain
    assert sorted((first.released, second.released)) == [False, True]
    assert await world.change(1, 2, 2.0, avoiding=first if first.released else second) == 2
    (first if first.released else second).start()
    await asyncio.gather(*ended)
    assert first.released and second.released
    world.require_sound()


def test_given_two_that_are_told_to_end_at_once_then_they_go_one_after_the_other() -> None:
    run_world(_two_restarts_at_once())


async def _everyone_ends() -> None:
    world = World(34)
    world.start_all()
    assert await world.change(0, 1, 9.0) == 1
    await world.until(world.is_whole, 6.0, "a whole group")
    # When the whole core is stopped
    started = asyncio.get_running_loop().time()
    await asyncio.gather(*[machine.terminate() for machine in world.machines.values()])
    # Then nobody waits for somebody to agree
    assert asyncio.get_running_loop().time() - started < 2.0
    world.start_all()
    await world.until_primary(6.0)
    await world.settle()
    assert await world.change(1, 2, 9.0) == 2
    world.require_sound()


def test_given_a_stop_of_everyone_then_all_end_soon_and_nothing_is_lost() -> None:
    run_world(_everyone_ends())


async def _leaver_in_trouble(kind: str) -> None:
    world = await _core_with_a_newcomer(3, 1)
    primary = await world.until_primary()
    leaver = next(machine for machine in world.machines.values() if machine is not primary)
    for other in world.machines.values():
        if kind == "cut off" and other is not leaver:
            world.network.cut(leaver.address, other.address)
            world.network.cut(other.address, leaver.address)
    started = asyncio.get_running_loop().time()
    ended = leaver.terminate()
    if kind != "cut off":
        await asyncio.sleep(0.05)
        (leaver.kill if kind == "killed" else leaver.freeze)()
    # Then changes go on without it, and one that is cut off ends by itself within its grace time
    assert await world.change(2, 3, 4.0, avoiding=leaver) == 3
    if kind == "cut off":
        await ended
        assert asyncio.get_running_loop().time() - started < GRACE_S
    await asyncio.sleep(GRACE_S)
    leaver.take_away()
    del world.machines[leaver.name]
    # And another loss is borne
    next(machine for machine in world.machines.values() if machine is not primary).wipe()
    assert await world.change(3, 4, PATIENCE_S) == 4
    world.require_sound()


@pytest.mark.parametrize("kind", ["killed", "frozen", "cut off"])
def test_given_a_leaver_in_trouble_then_it_counts_as_lost_and_another_loss_is_borne(kind: str) -> None:
    run_world(_leaver_in_trouble(kind))


async def _never_flushed() -> None:
    # Given disks on which nobody writes yet that the newest record is chosen
    world = await _core_with_a_newcomer(3, 1)
    await asyncio.sleep(2.0)
    primary = await world.until_primary()
    assert primary.replica is not None
    holders = {tenure.member for tenure in primary.replica.committed.roles.values()}
    leaver = next(
        machine
        for machine in world.machines.values()
        if machine is not primary and machine.replica is not None and machine.replica.member not in holders
    )
    # When a member is told to end
    ended = leaver.terminate()
    await asyncio.sleep(2.0)
    # Then it is not let go, although the record without it is chosen
    assert len(primary.replica.members()) == 3
    assert not leaver.released
    await ended


def test_given_disks_that_do_not_know_the_record_then_the_member_is_not_let_go() -> None:
    async def nothing(_: DurableImage) -> None:
        return None

    with patch.object(DurableImage, "flush", nothing):
        run_world(_never_flushed())
