"""Scenarios that fail when a safety condition is removed, at least one per condition."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from arrowfold.internal.messages import SubmitResult
from tests.system.control_simulation.faults import DiskBudget, Faults
from tests.system.control_simulation.history import document
from tests.system.control_simulation.outside import OperatorChange, OperatorRead, WorkerDeparts
from tests.system.control_simulation.planted import planted
from tests.system.control_simulation.world import World, run_world

Story = Callable[[], Coroutine[Any, Any, None]]


async def _started(seed: int) -> World:
    world = World(seed)
    world.start_all()
    assert await world.change(0, 1, 9.0) == 1
    await world.until(world.is_whole, 5.0, "a whole group")
    return world


async def _behind_wiped_and_down() -> None:
    """One member is behind, one has lost its disk, and the only up-to-date one is down."""
    world = await _started(1)
    behind, down, wiped = (world.machines[name] for name in ("core1", "core2", "core3"))
    for other in (down, wiped):
        world.network.cut(behind.address, other.address)
        world.network.cut(other.address, behind.address)
    assert await world.change(1, 2, 9.0, avoiding=behind) == 2
    down.kill()
    wiped.wipe()
    world.network.heal()
    wiped.start()
    await asyncio.sleep(5.0)
    await world.settle()
    world.raise_violations()


async def _most_disks_lost() -> None:
    """Two of three disks are lost while the third node is down: no node may start from an empty state."""
    world = await _started(2)
    world.machines["core1"].wipe()
    world.machines["core2"].wipe()
    world.machines["core3"].kill()
    world.machines["core1"].start()
    world.machines["core2"].start()
    await asyncio.sleep(10.0)
    assert world.primary() is None


async def _backup_cut_off_from_primary() -> None:
    """A backup that is cut off only from the primary must not become a second primary."""
    world = await _started(3)
    watching = world.watch_primaries()
    primary = await world.until_primary()
    backup = next(machine for machine in world.machines.values() if machine is not primary)
    world.network.cut(primary.address, backup.address)
    world.network.cut(backup.address, primary.address)
    await asyncio.sleep(20.0)
    watching.cancel()
    world.raise_violations()


async def _cut_off_primary() -> None:
    """A primary that is cut off answers no reads once another may be elected."""
    world = await _started(4)
    watching = world.watch_primaries()
    primary = await world.until_primary()
    for other in world.machines.values():
        if other is not primary:
            world.network.cut(primary.address, other.address)
            world.network.cut(other.address, primary.address)
    assert await world.change(1, 2, 9.0, avoiding=primary) == 2
    answer = await world.call(primary, OperatorRead())
    if isinstance(answer, SubmitResult) and answer.status == 200:
        world.check(lambda: world.history.read(answer.body, 2))
    watching.cancel()
    world.raise_violations()


async def _all_power_lost() -> None:
    """All nodes lose power right after an acknowledgement, many times."""
    for seed in range(10, 30):
        world = await _started(seed)
        for version in range(2, 5):
            assert await world.change(version - 1, version, 9.0) == version
        for machine in world.machines.values():
            machine.lose_power()
        await world.settle(8.0)
        world.raise_violations()
        for machine in world.machines.values():
            machine.kill()


async def _backups_full_and_primary_wiped() -> None:
    """The primary loses its disk right after an acknowledgement while the backups' disks were full."""
    world = await _started(5)
    primary = await world.until_primary()
    backups = [machine for machine in world.machines.values() if machine is not primary]
    for backup in backups:
        backup.folder.full = True
    request = OperatorChange("PUT", "1", document(2, "only"))
    answer = await world.call(primary, request)
    primary.kill()
    if isinstance(answer, SubmitResult) and answer.status == 200:
        world.check(lambda: world.history.acknowledge(2, 1, b"only"))
    primary.wipe()
    for backup in backups:
        backup.folder.full = False
    await world.settle()
    world.raise_violations()


async def _answer_lost() -> None:
    """A change whose answer was lost is retried."""
    world = await _started(6)
    primary = await world.until_primary()
    request = OperatorChange("PUT", "1", document(2, "again"))
    for _ in range(2):
        answer = await world.call(primary, request)
        assert isinstance(answer, SubmitResult) and answer.status == 200


async def _role_moves() -> None:
    """The holder of a role fails, and another takes over."""
    world = await _started(7)
    await asyncio.sleep(4.0)
    assert world.history.acts > 0
    for _ in range(3):
        assert world.history.last_act is not None
        holder = world.history.last_act[1].partition("-")[0]
        world.machines[holder].freeze()
        await asyncio.sleep(7.0)
        world.machines[holder].thaw()
        await asyncio.sleep(3.0)
    world.raise_violations()


async def _third_restarts_between_two() -> None:
    """The primary and a backup can't reach each other, while the third, which reaches both, is restarted."""
    world = await _started(8)
    watching = world.watch_primaries()
    for _ in range(4):
        leader = await world.until_primary()
        other, third = (machine for machine in world.machines.values() if machine is not leader)
        world.network.cut(leader.address, other.address)
        world.network.cut(other.address, leader.address)
        for _ in range(10):
            await asyncio.sleep(0.31)
            third.kill()
            third.start()
        world.network.heal()
        await asyncio.sleep(3.0)
    watching.cancel()
    world.raise_violations()


async def _frozen_for_long() -> None:
    """A backup is frozen while changes are acknowledged, and is checked as it thaws."""
    world = await _started(9)
    watching = world.watch_claims()
    primary = await world.until_primary()
    backup = next(machine for machine in world.machines.values() if machine is not primary)
    backup.freeze()
    base = 1
    for version in (2, 3, 4):
        assert await world.change(base, version, 9.0, avoiding=backup) == version
        base = version
    await asyncio.sleep(5.0)
    backup.thaw()
    for _ in range(400):
        await asyncio.sleep(0.001)
        world.check(lambda: world._check_claim(backup))
    watching.cancel()
    world.raise_violations()


async def _stopped_during_a_loss() -> None:
    """Three members and a new one: one is stopped, and another loses its disk."""
    world = await _started(10)
    await world.until(world.is_whole, 6.0, "a whole group")
    world.add_machine("core4").start()
    await world.until(world.is_whole, 6.0, "the newcomer in the group")
    primary = await world.until_primary()
    leaver, victim = [machine for machine in world.machines.values() if machine is not primary][:2]
    ended = leaver.terminate()
    await asyncio.sleep(0.2)
    victim.wipe()
    victim.start()
    await ended
    leaver.remove_permanently()
    assert await world.change(1, 2, 9.0) == 2


async def _two_operators() -> None:
    """Two operators base changes on the same version."""
    world = await _started(11)
    assert await world.change(1, 2, 9.0) == 2
    await world.change(1, 3, 9.0)
    world.raise_violations()


async def _many_changes_in_one_batch() -> None:
    """Six changes based on one version share a batch; the one answered with 200 is the one in force."""
    world = await _started(12)
    primary = await world.until_primary()
    first = asyncio.create_task(world.call(primary, WorkerDeparts("i-1")))
    await asyncio.sleep(0.003)
    changes = {version: document(version, f"m{version}") for version in range(2, 8)}
    answers = await asyncio.gather(
        *(world.call(primary, OperatorChange("PUT", "1", body)) for body in changes.values())
    )
    assert await first
    taken = [
        version for version, answer in zip(changes, answers, strict=True) if answer and answer.status == 200
    ]
    assert len(taken) == 1
    assert await world.read(primary) == taken[0]


async def _faults_of_kind(kind: str, seeds: range) -> None:
    """Faults of one kind of the random schedules, each on a new group."""
    for seed in seeds:
        world = await _started(seed)
        world.watch_primaries()
        world.watch_claims()
        budget = DiskBudget(world)
        await world.until(world.is_secured, 6.0, "a confirmed group")
        budget.renew_when_whole()
        assert await Faults(world, random.Random(seed), budget).kinds[kind]()
        await world.settle()
        world.raise_violations()
        for machine in world.machines.values():
            machine.kill()


async def _old_primary_after_a_promise() -> None:
    """A witness loses power between its promise and the record; the old primary reaches it first."""
    await _faults_of_kind("old primary after a promise", range(46, 58))


async def _power_lost_at_a_promise() -> None:
    """A witness loses power before, within and after the sync of its promise."""
    await _faults_of_kind("power at a promise", range(30, 36))


async def _wiped_with_a_newcomer() -> None:
    """Two nodes with empty disks that know no group reach only each other."""
    await _faults_of_kind("wiped beside a newcomer", range(30, 32))


GUARDED: list[tuple[str, Story]] = [
    ("promise in memory", _old_primary_after_a_promise),
    ("a wiped machine founds", _wiped_with_a_newcomer),
    ("no amnesia guard", _behind_wiped_and_down),
    ("a wiped machine founds", _most_disks_lost),
    ("witness without lease", _backup_cut_off_from_primary),
    ("primary without lease", _cut_off_primary),
    ("acknowledge before sync", _all_power_lost),
    ("append in memory", _all_power_lost),
    ("commit without backups", _backups_full_and_primary_wiped),
    ("digests forgotten", _answer_lost),
    ("no wait at hand-over", _role_moves),
    ("token kept", _role_moves),
    ("no lease after a restart", _third_restarts_between_two),
    ("current for ever", _frozen_for_long),
    ("current by any heartbeat", _frozen_for_long),
    ("ends at once", _stopped_during_a_loss),
    ("any precondition", _two_operators),
    ("answers exchanged", _many_changes_in_one_batch),
]


STORIES = dict.fromkeys([*(story for _, story in GUARDED), _power_lost_at_a_promise])


@pytest.mark.parametrize("story", STORIES, ids=lambda it: it.__name__)
def test_given_all_guards_then_the_scenario_passes(story: Story) -> None:
    run_world(story())


@pytest.mark.parametrize(
    ("fault", "story"), GUARDED, ids=[f"{fault}-{story.__name__}" for fault, story in GUARDED]
)
def test_given_a_removed_guard_then_the_scenario_fails(fault: str, story: Story) -> None:
    with planted(fault), pytest.raises(AssertionError):
        run_world(story())
