"""Breadth-first model checker: visits every state reachable within bounds and records a path to each."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.control_model.actions import Bounds, steps
from benchmarks.control_model.invariants import violation
from benchmarks.control_model.state import NO_MEMBER, Member, Record, State, Term
from benchmarks.control_model.symmetry import canonical


@dataclass(slots=True)
class Result:
    """The extent of a run and, if an invariant was violated, the shortest path to the violation."""

    states: int
    depth: int
    seconds: float
    complete: bool
    violation: str | None = None
    trace: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Scenario:
    """The initial members of a run and the number of failures of each kind that may occur."""

    members: int = 3
    newcomers: int = 1
    newcomer_joined: bool = False  # whether the first newcomer is a voter in the initial state
    crashes: int = 1
    wipes: int = 1
    leaves: int = 0
    drops: int = 0
    arrivals: int = 0  # newcomers that start although no disk has been lost


def initial_state(scenario: Scenario) -> State:
    """Returns the initial state: epoch 1 is chosen, confirmed everywhere and leased; newcomers are absent."""
    total = scenario.members + scenario.newcomers
    voters = frozenset(range(scenario.members + int(scenario.newcomer_joined)))
    record = Record(1, 0, voters, (voters,))
    voter = Member("up", 1, 0, record, True, True, 1, (), 0, False)
    absent = Member("absent", 0, NO_MEMBER, None, False, False, 0, (), NO_MEMBER, False)
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
    max_states: int = 20_000_000,
    seconds: float = 600.0,
    use_symmetry: bool = True,
) -> Result:
    """Visits states until all have been visited, an invariant is violated, or a limit is reached.

    With `use_symmetry`, only one of the states that differ merely in the numbering of members is visited.
    Visited states are kept as 64-bit hashes: with ten million of them the probability of a collision, by
    which a state would be skipped, is about 3 in a million.
    """
    started = time.monotonic()
    normalize = canonical if use_symmetry else _unchanged
    first = initial_state(scenario)
    start = normalize(first)
    parents: dict[int, int] = {hash(start): 0}
    # Hashes of states before normalization: most occur again and need not be normalized twice.
    seen_hashes: set[int] = set()
    frontier = [start]
    depth = 0
    while frontier:
        next_frontier = []
        for state in frontier:
            parent_key = hash(state)
            for _, step in steps(state, bounds):
                step_hash = hash(step)
                if step_hash in seen_hashes:
                    continue
                seen_hashes.add(step_hash)
                after = normalize(step)
                key = hash(after)
                if key in parents:
                    continue
                parents[key] = parent_key
                violated = violation(after, bounds)
                if violated is not None:
                    trace, violated = _replay(first, _path_to(parents, key), bounds, normalize)
                    elapsed_s = time.monotonic() - started
                    return Result(len(parents), depth + 1, elapsed_s, False, violated, trace)
                next_frontier.append(after)
            if len(parents) >= max_states or time.monotonic() - started > seconds:
                return Result(len(parents), depth + 1, time.monotonic() - started, False)
        frontier = next_frontier
        depth += bool(frontier)
    return Result(len(parents), depth, time.monotonic() - started, True)


def _unchanged(state: State) -> State:
    return state


def _path_to(parents: dict[int, int], key: int) -> list[int]:
    """Returns the hashes of the states on the path to a state, without the initial one."""
    path = []
    while parents[key]:
        path.append(key)
        key = parents[key]
    return path[::-1]


def _replay(
    first: State, path: list[int], bounds: Bounds, normalize: Callable[[State], State]
) -> tuple[tuple[str, ...], str | None]:
    """Returns the step names of a path, with the initial numbering of members, and the violated invariant."""
    names = []
    state = first
    for key in path:
        name, state = next(step for step in steps(state, bounds) if hash(normalize(step[1])) == key)
        names.append(name)
    return tuple(names), violation(state, bounds)
