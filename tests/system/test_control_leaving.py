"""A member that is told to end leaves by agreement: a loss beside it, or right after it, is borne."""

from __future__ import annotations

import asyncio

import pytest

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
