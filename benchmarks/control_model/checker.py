"""Visits every state that can be reached within bounds, breadth first, and keeps the way to each."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.control_model.actions import Bounds, steps
from benchmarks.control_model.invariants import violation
from benchmarks.control_model.state import NOBODY, Member, Record, State, Term
from benchmarks.control_model.symmetry import canonical


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
    arrivals: int = 0  # newcomers that come though no disk was lost


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
        scenario.arrivals,
    )


def check(
    scenario: Scenario,
    bounds: Bounds,
    most_states: int = 20_000_000,
    seconds: float = 600.0,
    symmetric: bool = True,
) -> Result:
    """Visit states until all are seen, a promise is broken, or a bound is reached.

    With `symmetric`, of states that differ only in the numbers of members one is visited. Visited states are
    kept as 64-bit hashes: with ten million of them the chance that two share one, so that a state is passed
    over, is about 3 in a million.
    """
    started = time.monotonic()
    form = canonical if symmetric else _as_it_is
    first = initial(scenario)
    start = form(first)
    parents: dict[int, int] = {hash(start): 0}
    formed: set[int] = set()  # hashes of states as steps made them: most come again, and their form is known
    frontier = [start]
    depth = 0
    while frontier:
        following = []
        for state in frontier:
            origin = hash(state)
            for _, step in steps(state, bounds):
                made = hash(step)
                if made in formed:
                    continue
                formed.add(made)
                after = form(step)
                key = hash(after)
                if key in parents:
                    continue
                parents[key] = origin
                broken = violation(after, bounds)
                if broken is not None:
                    trace, broken = _replay(first, _way(parents, key), bounds, form)
                    spent = time.monotonic() - started
                    return Result(len(parents), depth + 1, spent, False, broken, trace)
                following.append(after)
            if len(parents) >= most_states or time.monotonic() - started > seconds:
                return Result(len(parents), depth + 1, time.monotonic() - started, False)
        frontier = following
        depth += bool(frontier)
    return Result(len(parents), depth, time.monotonic() - started, True)


def _as_it_is(state: State) -> State:
    return state


def _way(parents: dict[int, int], key: int) -> list[int]:
    """The hashes of the states on the way to one, without the first."""
    way = []
    while parents[key]:
        way.append(key)
        key = parents[key]
    return way[::-1]


def _replay(
    first: State, way: list[int], bounds: Bounds, form: Callable[[State], State]
) -> tuple[tuple[str, ...], str | None]:
    """The names of the steps of a way with the numbers that members have from the start, and what broke."""
    names = []
    state = first
    for key in way:
        name, state = next(step for step in steps(state, bounds) if hash(form(step[1])) == key)
        names.append(name)
    return tuple(names), violation(state, bounds)
