"""All nodes, edges too, lose power at once while disks are lost: acknowledged changes must survive."""

from __future__ import annotations

import pytest

from tests.system.control_simulation.blackouts import DISKS, BlackoutSchedule
from tests.system.control_simulation.planted import planted
from tests.system.control_simulation.schedules import Outcome, run_schedule

ENOUGH_SCHEDULES = 20  # more than enough to find a planted fault


def run_blackouts(seed: int, machines: int, losses: int) -> Outcome:
    return run_schedule(seed, machines, losses, schedule_type=BlackoutSchedule)


# Guards against the loss of acknowledged changes if disks are lost while all other nodes lose power.
@pytest.mark.parametrize("seed", range(8))
def test_given_three_machines_then_all_acknowledged_changes_survive_blackouts(seed: int) -> None:
    outcome = run_blackouts(seed, 3, 1)
    assert outcome.violation is None, outcome.violation
    assert outcome.faults[DISKS] > 0


@pytest.mark.parametrize("seed", range(100, 106))
def test_given_five_machines_then_all_acknowledged_changes_survive_blackouts(seed: int) -> None:
    outcome = run_blackouts(seed, 5, 2)
    assert outcome.violation is None, outcome.violation
    assert outcome.faults[DISKS] > 0


@pytest.mark.parametrize(
    "fault", ["one member confirms from memory", "append in memory", "state from anyone"]
)
@pytest.mark.parametrize(("machines", "losses"), [(3, 1), (5, 2)])
def test_given_a_planted_fault_then_a_blackout_shows_it(fault: str, machines: int, losses: int) -> None:
    with planted(fault):
        assert any(run_blackouts(seed, machines, losses).violation for seed in range(ENOUGH_SCHEDULES))
