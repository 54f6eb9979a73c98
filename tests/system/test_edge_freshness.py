"""No edge serves a key that was removed longer ago than allowed, connected to the control nodes or not.

The names in parentheses are those of the guarantees on the pages about tenants.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from arrowfold.dataplane.freshness import StateFreshness
from tests.system.control_simulation.edges import SimulatedEdge
from tests.system.control_simulation.machines import Machine
from tests.system.control_simulation.planted import planted
from tests.system.control_simulation.schedules import run_schedule
from tests.system.control_simulation.world import World, run_world
from tests.system.test_edge_pulls import REVOKE_S, PullScenario
from tests.system.virtual_time import Repeating, run_virtual

CHECK_INTERVAL_S = 0.001


class _RevocationScenario:
    """Three control machines and an edge that has version 1 and is checked continuously."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed)
        self.edge = SimulatedEdge("edge1", self.world)
        self.world.edges = [self.edge]

    async def begin(self) -> tuple[Machine, Machine]:
        """Starts everything and returns the primary and a backup."""
        world = self.world
        world.start_all()
        assert await world.change(0, 1, 9.0) == 1
        await world.until(world.is_whole, 6.0, "a whole group")
        self.edge.start()
        await world.until(self.edge.serves_keys, 2.0, "an edge that serves keys")
        Repeating(CHECK_INTERVAL_S, world.check_keys)
        primary = await world.until_primary()
        return primary, next(machine for machine in world.machines.values() if machine is not primary)

    def isolate_edge_with(self, only: Machine) -> None:
        """Partitions the edge from all machines but one."""
        for machine in self.world.machines.values():
            if machine is not only:
                self.world.network.cut(self.edge.address, machine.address)

    def isolate_machine(self, machine: Machine) -> None:
        """Partitions a machine from the other machines."""
        for other in self.world.machines.values():
            if other is not machine:
                self.world.network.cut(machine.address, other.address)
                self.world.network.cut(other.address, machine.address)

    async def acknowledge_changes(self, avoiding: Machine) -> None:
        """Waits until two changes are acknowledged elsewhere, and another 12 s."""
        for version in (2, 3):
            assert await self.world.change(version - 1, version, 9.0, avoiding=avoiding) == version
        await asyncio.sleep(12.0)

    async def heal(self) -> None:
        """Ends all faults and requires that keys are served again, by the newest version."""
        self.world.network.heal()
        await self.world.settle()
        world = self.world
        await world.until(lambda: self.edge.version() == 3 and self.edge.serves_keys(), 4.0, "keys served")
        world.raise_violations()


async def _control_hangs() -> None:
    pulls = PullScenario()
    await pulls.settle()
    assert pulls.freshness.is_fresh()
    for control in pulls.channel.nodes.values():
        control.hangs = True
    await asyncio.sleep(REVOKE_S)
    assert not pulls.freshness.is_fresh()
    pulls.puller.stop()


# Guards against: during a partition, keys are served by the configuration from before it (CONFIG).
def test_given_no_word_of_control_for_long_then_no_key_is_served() -> None:
    run_virtual(_control_hangs())


async def _edge_frozen() -> None:
    scenario = _RevocationScenario(71)
    primary, _ = await scenario.begin()
    scenario.edge.freeze()
    await scenario.acknowledge_changes(avoiding=primary)
    scenario.edge.thaw()
    await asyncio.sleep(3.0)
    await scenario.heal()


# Guards against: a removed key is served between an edge's resumption and the next pull response (CONFIG).
def test_given_an_edge_that_was_frozen_then_an_answer_from_before_lets_it_serve_no_key() -> None:
    run_world(_edge_frozen())


async def _backup_cut_off() -> None:
    scenario = _RevocationScenario(72)
    _, backup = await scenario.begin()
    scenario.isolate_edge_with(backup)
    scenario.isolate_machine(backup)
    await scenario.acknowledge_changes(avoiding=backup)
    await scenario.heal()


# Guards against: a partitioned backup confirms the configuration from before the partition (CONFIG).
def test_given_a_backup_cut_off_from_the_primary_then_its_edges_serve_no_key_for_long() -> None:
    run_world(_backup_cut_off())


async def _last_response_of_a_backup() -> None:
    """An edge starts right before its only backup can no longer confirm how recent its state is."""
    scenario = _RevocationScenario(74)
    _, backup = await scenario.begin()
    scenario.isolate_edge_with(backup)
    scenario.isolate_machine(backup)
    changes = asyncio.create_task(scenario.acknowledge_changes(avoiding=backup))
    await asyncio.sleep(backup.timings.current_s - 0.2)
    scenario.edge.start()
    await changes
    await scenario.heal()


# Guards against: a backup's last response counts as if the primary had just sent a heartbeat (CONFIG).
def test_given_a_backup_cut_off_from_the_primary_then_its_last_response_counts_from_the_primarys_last() -> (
    None
):
    run_world(_last_response_of_a_backup())


async def _newer_state_announced() -> None:
    pulls = PullScenario()
    await pulls.settle()
    for control in pulls.channel.nodes.values():
        control.notices_only = True
    await asyncio.sleep(2.0)  # until the open pulls have been answered
    pulls.commit(2)
    await asyncio.sleep(REVOKE_S)
    assert pulls.version() == 1
    assert not pulls.freshness.is_fresh()
    for control in pulls.channel.nodes.values():
        control.notices_only = False
    await asyncio.sleep(3.0)
    assert pulls.version() == 2
    assert pulls.freshness.is_fresh()
    pulls.puller.stop()


# Guards against: an edge that receives notices of a change but not the change counts as up to date (CONFIG).
def test_given_an_answer_that_tells_of_a_newer_state_then_it_counts_only_once_that_state_is_held() -> None:
    run_virtual(_newer_state_announced())


async def _control_node_frozen(role: str) -> None:
    scenario = _RevocationScenario(73)
    primary, backup = await scenario.begin()
    frozen = primary if role == "primary" else backup
    scenario.isolate_edge_with(frozen)
    frozen.freeze()
    await scenario.acknowledge_changes(avoiding=frozen)
    frozen.thaw()
    await asyncio.sleep(4.0)
    await scenario.heal()


# Guards against: a control node confirms, right after a suspension, the state from before it (CONFIG).
@pytest.mark.parametrize("role", ["primary", "backup"])
def test_given_a_control_node_that_was_frozen_then_it_vouches_for_nothing_old(role: str) -> None:
    run_world(_control_node_frozen(role))


def test_given_no_bound_on_removed_keys_then_they_are_always_served() -> None:
    async def run_scenario() -> None:
        pulls = PullScenario(revoke_s=None)
        await pulls.settle()
        for control in pulls.channel.nodes.values():
            control.hangs = True
        await asyncio.sleep(60.0)
        assert pulls.freshness.is_fresh()
        pulls.puller.stop()

    run_virtual(run_scenario())


def test_given_a_suspended_process_then_the_lease_ends_by_the_monotonic_clock() -> None:
    now_s = 100.0
    freshness = StateFreshness(REVOKE_S, lambda: now_s)
    assert not freshness.is_fresh()
    freshness.answered(freshness.read_clock(), 0.4)
    assert freshness.is_fresh()
    now_s += REVOKE_S * 0.9 - 0.41
    assert freshness.is_fresh()
    now_s += 0.02
    assert not freshness.is_fresh()
    # And a later response with an older state does not shorten the lease
    freshness.answered(freshness.read_clock(), 0.0)
    freshness.answered(freshness.read_clock(), 4.0)
    now_s += 4.0
    assert freshness.is_fresh()


GUARDED: dict[str, Callable[[], None]] = {
    "fresh from the answer on": lambda: run_world(_edge_frozen()),
    "a backup vouches for ever": lambda: run_world(_backup_cut_off()),
    "a backup of no age": lambda: run_world(_last_response_of_a_backup()),
    "a primary vouches without lease": lambda: run_world(_control_node_frozen("primary")),
    "told is held": lambda: run_virtual(_newer_state_announced()),
}


@pytest.mark.parametrize("fault", GUARDED)
def test_given_a_removed_guard_then_its_scenario_fails(fault: str) -> None:
    with planted(fault), pytest.raises(AssertionError):
        GUARDED[fault]()


@pytest.mark.parametrize(
    ("fault", "seed"), [("fresh from the answer on", 6), ("a backup vouches for ever", 60)]
)
def test_given_a_removed_guard_then_a_random_schedule_finds_it(fault: str, seed: int) -> None:
    with planted(fault):
        outcome = run_schedule(seed)
    assert outcome.violation is not None
    assert "serves keys by version" in outcome.violation
