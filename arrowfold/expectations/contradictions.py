"""Contradictions between two expectations: no routing can satisfy both."""

from __future__ import annotations

from collections.abc import Sequence

from arrowfold.expectations.claims import Answered, Denied, Prefers, Reaches
from arrowfold.expectations.judgement import Expectation
from arrowfold.expectations.worlds import Plan
from arrowfold.routes.rules import Subject
from arrowfold.routes.table import holds


def contradict(
        one: Expectation, two: Expectation, plan: Plan, subjects: Sequence[Subject]) -> bool:
    """Whether both speak of some job, each can be met, and no server, nor a denial, meets both.

    Only claims that say where a job may go, or that it is denied, are held against each other.
    """
    if one.when.of_attempts or two.when.of_attempts:
        return False
    a, b = _outcomes(one, plan), _outcomes(two, plan)
    if a is None or b is None or not a or not b or a & b:
        return False
    of_one, of_two = ({s for s in subjects if holds(e.when.match, s)} for e in (one, two))
    if "denied" in a or "denied" in b:  # a denial of some of its jobs leaves the other its promise
        return bool(of_one and of_two) and (of_two <= of_one if "denied" in a else of_one <= of_two)
    return bool(of_one & of_two)


def _outcomes(expectation: Expectation, plan: Plan) -> frozenset[object] | None:
    """What may become of a job under this expectation: servers by zone and kind, or a denial."""
    claim, regions = expectation.claim, plan.routes.regions
    everywhere: frozenset[object] = frozenset(plan.fleet)
    if isinstance(claim, Denied):
        return frozenset({"denied"})
    if isinstance(claim, Answered):
        return everywhere if claim.verdict == "served" else None
    if isinstance(claim, Prefers):
        return frozenset(p for p in plan.fleet if p[0] in regions[claim.order[0]])
    if isinstance(claim, Reaches) and claim.target.state is None:
        return frozenset(p for p in plan.fleet if claim.target.could_hold(regions, *p) is not claim.never)
    return None
