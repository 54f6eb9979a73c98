"""The bootstrap of the first group: which nodes may form it, and which never do."""

from __future__ import annotations

import asyncio

from tests.system.control_simulation.world import World, run_world


async def _first_group_without_a_seed() -> None:
    # Given three seeds of which one does not start
    world = World(seed=1)
    world.machines["core1"].start()
    world.machines["core3"].start()
    # When the other two look for a group
    primary = await world.until_primary(8.0)
    # Then they form one, and a change is acknowledged
    assert primary.replica is not None
    assert len(primary.replica.members()) == 2
    assert await world.change(0, 4, timeout_s=9.0) == 4
    # And the late one joins
    world.machines["core2"].start()
    await world.until(world.is_whole, 3.0, "the late seed in the group")
    world.raise_violations()


def test_given_a_late_seed_then_two_bootstrap_the_group_and_it_joins() -> None:
    run_world(_first_group_without_a_seed())


async def _one_seed_alone() -> None:
    world = World(seed=2)
    world.machines["core1"].start()
    await asyncio.sleep(30.0)
    assert world.primary() is None
    assert world.machines["core1"].replica is not None
    assert world.machines["core1"].replica.epoch == 0


def test_given_one_seed_alone_then_no_group_is_formed() -> None:
    run_world(_one_seed_alone())


async def _empty_disks_later() -> None:
    # Given nodes with empty disks, none of which is on its first start
    world = World(seed=3)
    for machine in world.machines.values():
        machine.first_start = False
    # When all of them look for a group
    world.start_all()
    await asyncio.sleep(30.0)
    # Then none bootstraps one, since a state that they have lost may exist
    assert world.primary() is None


def test_given_empty_disks_without_first_start_then_no_group_is_formed() -> None:
    run_world(_empty_disks_later())


async def _seeds_partitioned() -> None:
    # Given seeds of which one is cut off from the others from the start
    world = World(seed=4)
    for other in ("core2:1", "core3:1"):
        world.network.cut("core1:1", other)
        world.network.cut(other, "core1:1")
    world.start_all()
    # When the majority bootstraps a group and the partition heals later
    primary = await world.until_primary(8.0)
    assert primary.name != "core1"
    assert await world.change(0, 1, 9.0) == 1
    world.network.heal()
    # Then there is one group, which the third joins
    await world.until(world.is_whole, 4.0, "the third machine in the group")
    assert len({machine.replica.epoch for machine in world.machines.values() if machine.replica}) == 1
    await world.settle()
    world.raise_violations()


def test_given_a_seed_cut_off_then_it_joins_the_only_group() -> None:
    run_world(_seeds_partitioned())


async def _bootstrap_interrupted() -> None:
    # Given seeds with identities that lose power at one of many moments before the first group exists
    for moment in range(40):
        world = World(seed=100 + moment)
        world.start_all()
        await world.until(
            lambda world=world: all("identity" in it.folder.names() for it in world.machines.values()),  # type: ignore[misc]
            1.0,
            "identities on all disks",
        )
        await asyncio.sleep(moment * 0.001)
        for machine in world.machines.values():
            machine.lose_power()
        # When they restart on disks that are no longer empty
        world.start_all()
        await world.until_primary(8.0)
        # Then the group forms, and a change is acknowledged
        assert await world.change(0, 1, 9.0) == 1
        world.raise_violations()
        for machine in world.machines.values():
            machine.kill()


def test_given_power_lost_during_the_bootstrap_then_the_group_forms_after_it() -> None:
    run_world(_bootstrap_interrupted())


async def _five_members_before_the_first_acknowledgement() -> None:
    # Given five control nodes, two tolerated losses, and three seeds
    world = World(seed=5, machines=5, losses=2)
    for name in ("core1", "core2", "core3"):
        world.machines[name].start()
    await world.until(
        lambda: any(machine.replica and machine.replica.term for machine in world.machines.values()),
        3.0,
        "a first group of three",
    )
    # When a change is sent before the other two have joined
    early = asyncio.create_task(world.change(0, 1, timeout_s=20.0))
    await asyncio.sleep(2.0)
    # Then it is not acknowledged yet
    assert not early.done()
    # And it is acknowledged as soon as all five have joined
    world.machines["core4"].start()
    world.machines["core5"].start()
    assert await early == 1
    primary = await world.until_primary(8.0)
    assert primary.replica is not None and len(primary.replica.members()) == 5
    world.raise_violations()


def test_given_two_tolerated_losses_then_nothing_is_acknowledged_by_three_of_five_members() -> None:
    run_world(_five_members_before_the_first_acknowledgement())


async def _fewer_nodes_than_required() -> None:
    world = World(seed=6, machines=3, losses=2)
    world.start_all()
    assert await world.change(0, 1, timeout_s=10.0) == 1


def test_given_fewer_nodes_than_required_then_changes_are_accepted_after_a_wait() -> None:
    run_world(_fewer_nodes_than_required())
