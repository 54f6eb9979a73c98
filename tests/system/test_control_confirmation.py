"""That a record is chosen is durable soon: later epochs need not ask voters who are gone."""

from __future__ import annotations

import asyncio

from arrowfold.replication.durable import image_of
from arrowfold.storage.log import SegmentedLog
from tests.system.control_simulation.machines import Machine
from tests.system.control_simulation.world import World, run_world

ROLES_GRANTED_S = 1.5
LEFT_OUT_AND_FLUSHED_S = 3.0


def _backup_without_role(world: World, primary: Machine) -> Machine:
    """A member of the group whose end causes a change of epoch and no further entry."""
    assert primary.replica is not None
    holders = {tenure.member for tenure in primary.replica.committed.roles.values()}
    return next(
        machine
        for machine in world.machines.values()
        if machine is not primary and machine.replica is not None and machine.replica.member not in holders
    )


async def _all_lose_power_after_an_epoch_without_entries() -> None:
    # Given a group of five that has left a backup out and has nothing else to store
    world = World(21, 5, 2)
    world.start_all()
    await world.until(world.is_whole, 9.0, "a whole group")
    await asyncio.sleep(ROLES_GRANTED_S)
    primary = await world.until_primary()
    gone = _backup_without_role(world, primary)
    assert primary.replica is not None
    epoch = primary.replica.epoch
    gone.kill()
    await asyncio.sleep(LEFT_OUT_AND_FLUSHED_S)
    assert primary.replica.epoch > epoch
    # When every machine loses its power
    for machine in world.machines.values():
        machine.lose_power()
    # Then each of the others finds on its disk that the record is chosen
    for machine in world.machines.values():
        if machine is not gone:
            assert image_of(SegmentedLog(machine.folder).recover()).confirmed, machine.name


def test_given_a_chosen_record_and_no_entries_after_it_then_it_is_confirmed_after_a_power_loss() -> None:
    run_world(_all_lose_power_after_an_epoch_without_entries())
