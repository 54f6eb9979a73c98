"""Visits every state that can be reached within bounds, breadth first, and keeps the way to each."""

from __future__ import annotations

import time
from dataclasses import dataclass

from benchmarks.control_model.actions import Bounds, steps
from benchmarks.control_model.invariants import violation
from benchmarks.control_model.state import NOBODY, Member, Record, State, Term


@dataclass(slots=True)
class Result:
    """What a run visited, and the shortest way to a broken promise."""

    states: int
    depth: int
    seconds: float
    complete: bool
    violation: str | None = None
    trace: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Scenario:
    """How a run begins and how much trouble it has."""

    members: int = 3
    newcomers: int = 1
    joined: bool = False  # whether the first newcomer is a voter from the start
    crashes: int = 1
    wipes: int = 1
    leaves: int = 0
    drops: int = 0


def initial(scenario: Scenario) -> State:
    """Epoch 1, known to all to be chosen, with its lease; newcomers are absent until a disk is lost."""
    total = scenario.members + scenario.newcomers
    voters = frozenset(range(scenario.members + int(scenario.joined)))
    record = Record(1, 0, voters, (voters,))
    voter = Member("up", 1, 0, record, True, True, 1, (), 0, False)
    absent = Member("absent", 0, NOBODY, None, False, False, 0, (), NOBODY, False)
    members = tuple(voter if number in voters else absent for number in range(total))
    terms = (Term(record, True, None), *(None for _ in range(total - 1)))
    return State(
        members,
        (None,) * total,
        terms,
        frozenset(),
        (),
        scenario.crashes,
        scenario.wipes,
        scenario.leaves,
        scenario.drops,
    )


def check(
    scenario: Scenario, bounds: Bounds, most_states: int = 20_000_000, seconds: float = 600.0
) -> Result:
    """Visit states until all are seen, a promise is broken, or a bound is reached.

    Visited states are kept as 64-bit hashes: with ten million of them the chance that two share one, so that
    a state is passed over, is about 3 in a million.
    """
    started = time.monotonic()
    first = initial(scenario)
    parents: dict[int, tuple[int, str]] = {hash(first): (0, "")}
    frontier = [first]
    depth = 0
    while frontier:
        following = []
        for state in frontier:
            origin = hash(state)
            for name, after in steps(state, bounds):
                key = hash(after)
                if key in parents:
                    continue
                parents[key] = (origin, name)
                broken = violation(after, bounds)
                if broken is not None:
                    spent = time.monotonic() - started
                    return Result(len(parents), depth + 1, spent, False, broken, _trace(parents, key))
                following.append(after)
            if len(parents) >= most_states or time.monotonic() - started > seconds:
                return Result(len(parents), depth + 1, time.monotonic() - started, False)
        frontier = following
        depth += bool(frontier)
    return Result(len(parents), depth, time.monotonic() - started, True)


def _trace(parents: dict[int, tuple[int, str]], key: int) -> tuple[str, ...]:
    names = []
    while parents[key][0]:
        key, name = parents[key]
        names.append(name)
    return tuple(reversed(names))
