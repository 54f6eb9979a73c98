"""Detects pairs of expectations that no routing can satisfy together."""

from __future__ import annotations

from collections.abc import Sequence

from arrowfold.expectations.claims import Answered, Denied, Prefers, Reaches
from arrowfold.expectations.judgement import Expectation
from arrowfold.expectations.worlds import SystemUnderTest
from arrowfold.routes.rules import Subject
from arrowfold.routes.table import holds


def contradicts(
        one: Expectation, two: Expectation, plan: SystemUnderTest, subjects: Sequence[Subject]) -> bool:
    """Whether some request is subject to both expectations, and no outcome that satisfies both exists.

    Each expectation must be satisfiable on its own. Only claims that restrict the servers of a request, or
    that require its denial, are compared.
    """
    if one.when.has_attempt_conditions or two.when.has_attempt_conditions:
        return False
    a, b = _outcomes(one, plan), _outcomes(two, plan)
    if a is None or b is None or not a or not b or a & b:
        return False
    of_one, of_two = ({s for s in subjects if holds(e.when.match, s)} for e in (one, two))
    if "denied" in a or "denied" in b:  # denying only a part of its requests leaves the other satisfiable
        return bool(of_one and of_two) and (of_two <= of_one if "denied" in a else of_one <= of_two)
    return bool(of_one & of_two)


def _outcomes(expectation: Expectation, plan: SystemUnderTest) -> frozenset[object] | None:
    """Returns the permitted outcomes of a request: servers by zone and kind, or denial; None: not limited."""
    claim, regions = expectation.claim, plan.routes.regions
    everywhere: frozenset[object] = frozenset(plan.fleet)
    if isinstance(claim, Denied):
        return frozenset({"denied"})
    if isinstance(claim, Answered):
        return everywhere if claim.verdict == "served" else None
    if isinstance(claim, Prefers):
        return frozenset(p for p in plan.fleet if p[0] in regions[claim.order[0]])
    if isinstance(claim, Reaches) and claim.target.state is None:
        return frozenset(p for p in plan.fleet if claim.target.could_match(regions, *p) is not claim.never)
    return None
