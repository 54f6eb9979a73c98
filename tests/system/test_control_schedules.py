"""Random schedules of faults: nothing acknowledged is lost, nothing goes back, no two holders act."""

from __future__ import annotations

import pytest

from tests.system.control_simulation.schedules import run_schedule


@pytest.mark.parametrize("seed", range(12))
def test_given_three_machines_and_random_faults_then_every_promise_is_kept(seed: int) -> None:
    outcome = run_schedule(seed)
    assert outcome.violation is None, outcome.violation
    assert outcome.acknowledged > 0


@pytest.mark.parametrize("seed", range(100, 106))
def test_given_five_machines_and_two_losses_then_every_promise_is_kept(seed: int) -> None:
    outcome = run_schedule(seed, machines=5, losses=2)
    assert outcome.violation is None, outcome.violation
    assert outcome.acknowledged > 0
