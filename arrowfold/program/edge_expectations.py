"""Reads the document's expectations of routing: when each applies, and its claim."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

from arrowfold.expectations import claims
from arrowfold.expectations.claims import Claim, Target
from arrowfold.expectations.history import ZERO, State
from arrowfold.expectations.judgement import Expectation, When
from arrowfold.program.document import DocumentNode
from arrowfold.program.edge_routes import MATCH_NODES, read_match, read_region

STATES = tuple(state.value for state in State)
SELF_REPORTED_STATES = ("in-service", "draining", "gone")
CLAIMS = ("never-reaches", "only-reaches", "prefers", "goes-over", "at-most-attempts", "not-repeated",
          "repeated", "one-copy", "denied", "answered", "served", "at-most-at")
EVENTS = ("arrival", "deadline", "start", "end")
VERDICTS = ("served", "denied", "failed")


def read_expectations(
        node: DocumentNode | None, regions: Mapping[str, frozenset[str]]) -> tuple[Expectation, ...]:
    """Returns the expectations in document order; empty if `node` is None."""
    if node is None:
        return ()
    node.validate(repeated=("expect",))
    expectations: dict[str, Expectation] = {}
    for expect_node in node.children("expect"):
        expect_node.validate(("when", *CLAIMS), args=1)
        name, when_node = expect_node.text(), expect_node.child("when")
        if name in expectations:
            raise expect_node.fault("a second expectation of this name")
        claim_nodes = [child for child in expect_node.children() if child.name in CLAIMS]
        if len(claim_nodes) != 1:
            raise expect_node.fault(f"needs one claim, not {len(claim_nodes)}: {', '.join(CLAIMS)}")
        when = _read_when(when_node) if when_node is not None else When()
        expectations[name] = Expectation(
            name, expect_node.path, when, _CLAIM_READERS[claim_nodes[0].name](claim_nodes[0], regions))
    return tuple(expectations.values())


def _read_when(node: DocumentNode) -> When:
    node.validate((*MATCH_NODES, "server", "server-region", "list-lag"))
    server, region, lag = (node.child(name) for name in ("server", "server-region", "list-lag"))
    max_lag = None
    if lag is not None:
        lag.validate(props=("under",))
        max_lag = lag.prop_duration("under")
        if not max_lag:
            raise lag.fault("under is missing, or no time above 0")
    return When(read_match(node), _read_states(server), _read_states(region), max_lag)


def _read_states(node: DocumentNode | None) -> frozenset[State]:
    if node is None:
        return frozenset()
    node.validate(args=None)
    for text in node.texts():
        if text not in STATES:
            raise node.fault(f"unknown state {text!r}; known are: {', '.join(STATES)}")
    return frozenset(State(text) for text in node.texts())


def _read_target(node: DocumentNode, regions: Mapping[str, frozenset[str]]) -> Target:
    state, region = node.prop_text("state"), node.prop_text("region")
    if state is None and region is None and not node.has_prop("kind"):
        raise node.fault("names no server: give a state, a region or a kind")
    if state is not None:
        node.prop_choice("state", STATES)
    if region is not None:
        read_region(node, region, regions)
    is_self_reported = node.prop_choice("from", ("told", "own"), "told") == "own"
    if is_self_reported and state not in SELF_REPORTED_STATES:
        raise node.fault(f"from=\"own\" goes with state {', '.join(SELF_REPORTED_STATES)}")
    after = node.prop_duration("after", ZERO)
    if state is None and after:
        raise node.fault("after goes with a state")
    assert after is not None
    return Target(
        State(state) if state is not None else None, region, node.prop_text("kind"), after, is_self_reported)


def _read_reaches(node: DocumentNode, regions: Mapping[str, frozenset[str]]) -> Claim:
    node.validate(props=("state", "region", "kind", "after", "from"))
    return claims.Reaches(_read_target(node, regions), node.name == "never-reaches")


def _read_prefers(node: DocumentNode, regions: Mapping[str, frozenset[str]]) -> Claim:
    node.validate(props=("share",), args=None)
    order = tuple(read_region(node, name, regions) for name in node.texts())
    return claims.Prefers(order, node.prop_fraction("share", 1.0))


def _read_goes_over(node: DocumentNode, regions: Mapping[str, frozenset[str]]) -> Claim:
    node.validate(props=("from", "only-when", "share"))
    region = node.prop_text("from")
    if region is None:
        raise node.fault("from is missing")
    state = State(node.prop_choice("only-when", STATES))
    return claims.GoesOver(read_region(node, region, regions), state, node.prop_fraction("share", 1.0))


def _read_attempts(node: DocumentNode, regions: Mapping[str, frozenset[str]]) -> Claim:
    node.validate(args=1)
    return claims.AtMostAttempts(node.integer())


def _read_not_repeated(node: DocumentNode, regions: Mapping[str, frozenset[str]]) -> Claim:
    node.validate()
    return claims.NotRepeated()


def _read_repeated(node: DocumentNode, regions: Mapping[str, frozenset[str]]) -> Claim:
    node.validate(props=("within", "of"))
    within = node.prop_duration("within", timedelta(seconds=1))
    assert within is not None
    return claims.Repeated(within, node.prop_choice("of", ("end", "silence"), "end") == "silence")


def _read_one_copy(node: DocumentNode, regions: Mapping[str, frozenset[str]]) -> Claim:
    node.validate()
    return claims.OneCopy()


def _read_denied(node: DocumentNode, regions: Mapping[str, frozenset[str]]) -> Claim:
    node.validate(props=("advice", "at-least", "at-most"))
    return claims.Denied(
        node.prop_boolean("advice"), node.prop_duration("at-least"), node.prop_duration("at-most"))


def _read_answered(node: DocumentNode, regions: Mapping[str, frozenset[str]]) -> Claim:
    node.validate(props=("within", "of", "verdict"))
    within = node.prop_duration("within")
    if within is None:
        raise node.fault("within is missing")
    verdict = node.prop_choice("verdict", VERDICTS) if node.has_prop("verdict") else None
    return claims.Answered(within, node.prop_choice("of", EVENTS, "arrival"), verdict)


def _read_served(node: DocumentNode, regions: Mapping[str, frozenset[str]]) -> Claim:
    node.validate(props=("region",))
    region = node.prop_text("region")
    return claims.Served(read_region(node, region, regions) if region is not None else None)


def _read_at_most_at(node: DocumentNode, regions: Mapping[str, frozenset[str]]) -> Claim:
    node.validate(props=("state", "region", "kind", "after", "from", "per"), args=1)
    per = node.prop_duration("per")
    if not per:
        raise node.fault("per is missing, or no time above 0")
    return claims.AtMostAt(node.integer(), per, _read_target(node, regions))


_CLAIM_READERS: dict[str, Callable[[DocumentNode, Mapping[str, frozenset[str]]], Claim]] = {
    "never-reaches": _read_reaches, "only-reaches": _read_reaches, "prefers": _read_prefers,
    "goes-over": _read_goes_over, "at-most-attempts": _read_attempts, "not-repeated": _read_not_repeated,
    "repeated": _read_repeated, "one-copy": _read_one_copy, "denied": _read_denied,
    "answered": _read_answered, "served": _read_served, "at-most-at": _read_at_most_at}
