"""Jobs of the worker processes: run batches of fault schedules, and search for planted faults."""

from __future__ import annotations

import resource
from dataclasses import dataclass

from tests.system.control_simulation.blackouts import BlackoutSchedule
from tests.system.control_simulation.planted import planted
from tests.system.control_simulation.schedules import Outcome, Schedule, run_schedule


@dataclass(frozen=True, slots=True)
class Batch:
    """The seeds of schedules that one process runs; with `blackouts`, all machines lose power in them."""

    seeds: tuple[int, ...]
    machines: int
    losses: int
    blackouts: bool = False


@dataclass(slots=True)
class BatchResult:
    """The outcomes of a batch, and their processor time in seconds."""

    outcomes: list[Outcome]
    cpu_s: float


def play(seed: int, machines: int, losses: int, blackouts: bool) -> Outcome:
    """Runs one schedule of the usual kind or, with `blackouts`, one in which all machines lose power."""
    kind = BlackoutSchedule if blackouts else Schedule
    return run_schedule(seed, machines, losses, schedule_type=kind)


def play_batch(batch: Batch) -> BatchResult:
    """Runs schedules one after the other; keeps traces only of those with a violation."""
    outcomes = []
    for seed in batch.seeds:
        outcome = play(seed, batch.machines, batch.losses, batch.blackouts)
        if outcome.violation is None:
            outcome.trace = []
        outcomes.append(outcome)
    return BatchResult(outcomes, resource.getrusage(resource.RUSAGE_SELF).ru_utime)


@dataclass(frozen=True, slots=True)
class Search:
    """A planted fault to search for, and the maximum number of schedules to run."""

    fault: str
    schedules: int
    blackouts: bool = False


@dataclass(frozen=True, slots=True)
class Finding:
    """The number of schedules run for a planted fault, and the violation found; None if there was none."""

    fault: str
    schedules: int
    found: str | None


def find_planted(search: Search) -> Finding:
    """Runs schedules with a planted fault until one has a violation; with 3 and 5 machines alternately."""
    with planted(search.fault):
        for number in range(search.schedules):
            machines, losses = ((3, 1), (5, 2))[number % 2]
            violation = play(number, machines, losses, search.blackouts).violation
            if violation is not None:
                return Finding(search.fault, number + 1, violation.splitlines()[0][:110])
    return Finding(search.fault, search.schedules, None)
