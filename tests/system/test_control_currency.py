"""A control node is current only by a recent confirmation of the primary, with the whole committed state."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from arrowfold.internal.messages import SubmitResult
from arrowfold.replication.member import GroupMember
from arrowfold.replication.messages import AcceptEpoch, InstallState, PrepareEpoch
from tests.system.control_simulation.history import describe
from tests.system.control_simulation.machines import Machine
from tests.system.control_simulation.outside import OperatorRead
from tests.system.control_simulation.world import World, run_world

LONG_CUT_S = 20.0
FIRST_CHECKS_S = 3.0  # time after the fault in which a stale confirmation could count
CHECK_INTERVAL_S = 0.0005


async def _world_and_backup(seed: int) -> tuple[World, Machine]:
    world = World(seed)
    world.start_all()
    assert await world.change(0, 1, 9.0) == 1
    await world.until(world.is_whole, 6.0, "a whole group")
    primary = await world.until_primary()
    return world, next(machine for machine in world.machines.values() if machine is not primary)


def _cut_off(world: World, machine: Machine) -> None:
    for other in world.machines.values():
        if other is not machine:
            world.network.cut(machine.address, other.address)
            world.network.cut(other.address, machine.address)


def _claims_an_old_state(machine: Machine, version: int) -> bool:
    replica = machine.replica
    if replica is None or not replica.is_current():
        return False
    return replica.committed.configuration_version < version


async def _watch(machine: Machine, version: int) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + FIRST_CHECKS_S
    while loop.time() < end:
        assert not _claims_an_old_state(machine, version)
        await asyncio.sleep(CHECK_INTERVAL_S)


async def _isolation_and_changes(kind: str) -> None:
    # Given a backup that has version 1
    world, backup = await _world_and_backup(41)
    # When it is isolated for a long time while changes are acknowledged
    if kind == "frozen":
        backup.freeze()
    else:
        _cut_off(world, backup)
    if kind == "cut off, and its disk is full":
        backup.folder.full = True
    for version in range(2, 6):
        assert await world.change(version - 1, version, 9.0, avoiding=backup) == version
    await asyncio.sleep(LONG_CUT_S)
    # Then it is not current meanwhile, and answers no read
    if kind != "frozen":
        assert backup.replica is not None and not backup.replica.is_current()
        read = await world.call(backup, OperatorRead())
        assert isinstance(read, SubmitResult) and read.status == 503
    # And after its return it never claims that its old state is current
    backup.thaw()
    world.network.heal()
    await _watch(backup, 5)
    read = await world.call(backup, OperatorRead())
    if isinstance(read, SubmitResult) and read.status == 200:
        assert describe(read.body)[0] == 5
    await world.settle()
    await world.until(world.is_whole, 8.0, "the backup in the group again")
    await asyncio.sleep(1.0)
    assert backup.replica is not None and backup.replica.is_current()
    world.raise_violations()


@pytest.mark.parametrize("kind", ["cut off", "frozen", "cut off, and its disk is full"])
def test_given_a_backup_isolated_for_long_then_it_never_claims_that_its_old_state_is_current(
    kind: str,
) -> None:
    run_world(_isolation_and_changes(kind))


async def _new_primary_cut_off() -> None:
    # Given a change that a backup has stored without knowing that it is committed
    world, backup = await _world_and_backup(42)
    primary = await world.until_primary()
    third = next(m for m in world.machines.values() if m not in (primary, backup))
    assert await world.change(1, 2, 9.0) == 2
    primary.kill()
    # When another becomes primary, but only its record reaches the remaining backup
    await world.until(lambda: world.primary() is not None, 5.0, "a primary")
    leader = await world.until_primary()
    other_backup = backup if leader is third else third
    _cut_off(world, leader)
    # Then that backup does not count as current beyond the last confirmation
    await asyncio.sleep(1.3)
    assert other_backup.replica is not None and not other_backup.replica.is_current()


def test_given_a_new_primary_that_is_cut_off_then_its_backup_is_not_current() -> None:
    run_world(_new_primary_cut_off())


def _can_promise(member: GroupMember) -> bool:
    return member.clock() >= member._lease_until


async def _accepted_without_heartbeat() -> None:
    world, backup = await _world_and_backup(43)
    assert backup.replica is not None
    member = backup.replica.group_member
    assert member.is_current()
    for machine in world.machines.values():
        if machine is not backup:
            machine.kill()
    # When another member starts an epoch, and the backup stores the initial state and accepts the record
    record = member.persisted.record
    assert record is not None
    third = next(info for info in record.witnesses if info.member not in (record.primary, member.info.member))
    await world.until(lambda: _can_promise(member), 2.0, "the expiry of the primary's lease")
    epoch = record.epoch + 1
    assert (await member.prepare(PrepareEpoch(epoch, third))).granted
    assert (await member.install(InstallState(epoch, third.member, member.persisted.position, None))).done
    member._current_until = member.clock() + 1.0  # as if a heartbeat had just arrived
    assert (await member.accept(AcceptEpoch(replace(record, epoch=epoch, primary=third.member)))).done
    # Then it is not current until that epoch's primary has sent its committed sequence
    assert not member.is_current()
    world.raise_violations()


def test_given_an_accepted_record_and_no_heartbeat_of_its_primary_then_a_backup_is_not_current() -> None:
    run_world(_accepted_without_heartbeat())
