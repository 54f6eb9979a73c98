"""The job of a worker process of the model checker: visits the states of one scenario."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.control_model.actions import Bounds
from benchmarks.control_model.checker import Result, check
from benchmarks.control_model.scenarios import CLEAN, PLANTED


@dataclass(frozen=True, slots=True)
class Visit:
    """The name of a scenario, whether it has a planted fault, and the time limit in seconds."""

    name: str
    is_planted: bool
    seconds: float


def visit(requested: Visit) -> Result:
    """Visits the states of a scenario."""
    if requested.is_planted:
        scenario, epochs = PLANTED[requested.name]
        bounds = Bounds(max_epochs=epochs, planted=requested.name)
    else:
        scenario, bounds = CLEAN[requested.name]
    return check(scenario, bounds, seconds=requested.seconds)
