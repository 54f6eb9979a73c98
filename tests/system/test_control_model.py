"""The model checker finds no violation within small bounds, and a trace for each planted fault."""

from __future__ import annotations

import pytest

from benchmarks.control_model.actions import Bounds
from benchmarks.control_model.checker import Scenario, check
from benchmarks.control_model.scenarios import PLANTED

MAX_STATES = 600_000


@pytest.mark.parametrize(
    "scenario",
    [
        Scenario(wipes=0, newcomers=0, crashes=1),
        Scenario(crashes=0, wipes=1),
    ],
    ids=["a crash", "a lost disk"],
)
def test_given_three_members_and_one_failure_then_every_state_satisfies_the_invariants(
    scenario: Scenario,
) -> None:
    result = check(scenario, Bounds(max_epochs=2))
    assert result.complete and result.violation is None, "\n".join(result.trace)
    assert result.states > 1_000


@pytest.mark.parametrize("fault", PLANTED)
def test_given_a_planted_fault_then_the_checker_finds_a_violation_with_its_trace(fault: str) -> None:
    scenario, epochs = PLANTED[fault]
    result = check(scenario, Bounds(max_epochs=epochs, planted=fault), max_states=MAX_STATES)
    assert result.violation is not None
    assert result.trace
