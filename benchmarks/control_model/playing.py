"""What the processes of the model's benchmark do: visit the states of one scenario."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.control_model.actions import Bounds
from benchmarks.control_model.checker import Result, check
from benchmarks.control_model.scenarios import CLEAN, PLANTED


@dataclass(frozen=True, slots=True)
class Visit:
    """A scenario by its name, clean or with a planted fault, and for how long it is visited at most."""

    name: str
    is_planted: bool
    seconds: float


def visit(wanted: Visit) -> Result:
    """Visit the states of a scenario."""
    if wanted.is_planted:
        scenario, epochs = PLANTED[wanted.name]
        bounds = Bounds(most_epochs=epochs, planted=wanted.name)
    else:
        scenario, bounds = CLEAN[wanted.name]
    return check(scenario, bounds, seconds=wanted.seconds)
