"""A member soon persists that a record is chosen, so later epochs need no votes of removed members."""

from __future__ import annotations

import asyncio

from arrowfold.replication.durable import recover_member_state
from arrowfold.storage.log import SegmentedLog
from tests.system.control_simulation.machines import Machine
from tests.system.control_simulation.world import World, run_world

ROLES_GRANTED_S = 1.5
EXCLUDED_AND_FLUSHED_S = 3.0


def _backup_without_role(world: World, primary: Machine) -> Machine:
    """A backup whose failure causes a change of epoch but no log entry."""
    assert primary.replica is not None
    holders = {tenure.member for tenure in primary.replica.committed.roles.values()}
    return next(
        machine
        for machine in world.machines.values()
        if machine is not primary and machine.replica is not None and machine.replica.member not in holders
    )


async def _all_lose_power_after_an_epoch_without_entries() -> None:
    # Given a group of five that has excluded a backup and has no further entries to store
    world = World(21, 5, 2)
    world.start_all()
    await world.until(world.is_whole, 9.0, "a whole group")
    await asyncio.sleep(ROLES_GRANTED_S)
    primary = await world.until_primary()
    excluded = _backup_without_role(world, primary)
    assert primary.replica is not None
    epoch = primary.replica.epoch
    excluded.kill()
    await asyncio.sleep(EXCLUDED_AND_FLUSHED_S)
    assert primary.replica.epoch > epoch
    # When every node loses power
    for machine in world.machines.values():
        machine.lose_power()
    # Then each of the others has stored that the record is chosen
    for machine in world.machines.values():
        if machine is not excluded:
            assert recover_member_state(SegmentedLog(machine.folder).recover()).confirmed, machine.name


def test_given_a_chosen_record_and_no_entries_after_it_then_it_is_confirmed_after_a_power_loss() -> None:
    run_world(_all_lose_power_after_an_epoch_without_entries())
