"""What the document expects of routing: when an expectation applies, and its claim."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

from arrowfold.expectations import claims
from arrowfold.expectations.claims import Claim, Target
from arrowfold.expectations.history import ZERO, State
from arrowfold.expectations.judgement import Expectation, When
from arrowfold.program.document import Place
from arrowfold.program.edge_routes import MATCHES, read_match, read_region

STATES = tuple(state.value for state in State)
OWN_STATES = ("in-service", "draining", "gone")
CLAIMS = ("never-reaches", "only-reaches", "prefers", "goes-over", "at-most-attempts", "not-repeated",
          "repeated", "one-copy", "denied", "answered", "served", "at-most-at")
EVENTS = ("arrival", "deadline", "start", "end")
VERDICTS = ("served", "denied", "failed")


def read_expectations(
        place: Place | None, regions: Mapping[str, frozenset[str]]) -> tuple[Expectation, ...]:
    """The expectations in their order; none where the document has none."""
    if place is None:
        return ()
    place.check(repeated=("expect",))
    found: dict[str, Expectation] = {}
    for row in place.children("expect"):
        row.check(("when", *CLAIMS), args=1)
        name, whens = row.text(), row.child("when")
        if name in found:
            raise row.fault("a second expectation of this name")
        said = [child for child in row.children() if child.name in CLAIMS]
        if len(said) != 1:
            raise row.fault(f"needs one claim, not {len(said)}: {', '.join(CLAIMS)}")
        when = _when(whens) if whens is not None else When()
        found[name] = Expectation(name, row.path, when, _READERS[said[0].name](said[0], regions))
    return tuple(found.values())


def _when(place: Place) -> When:
    place.check((*MATCHES, "server", "server-region", "list-lag"))
    server, region, lag = (place.child(name) for name in ("server", "server-region", "list-lag"))
    under = None
    if lag is not None:
        lag.check(props=("under",))
        under = lag.prop_span("under")
        if not under:
            raise lag.fault("under is missing, or no time above 0")
    return When(read_match(place), _states(server), _states(region), under)


def _states(place: Place | None) -> frozenset[State]:
    if place is None:
        return frozenset()
    place.check(args=None)
    for text in place.texts():
        if text not in STATES:
            raise place.fault(f"unknown state {text!r}; known are: {', '.join(STATES)}")
    return frozenset(State(text) for text in place.texts())


def _target(place: Place, regions: Mapping[str, frozenset[str]]) -> Target:
    state, region = place.prop_text("state"), place.prop_text("region")
    if state is None and region is None and not place.has("kind"):
        raise place.fault("names no server: give a state, a region or a kind")
    if state is not None:
        place.prop_choice("state", STATES)
    if region is not None:
        read_region(place, region, regions)
    own = place.prop_choice("from", ("told", "own"), "told") == "own"
    if own and state not in OWN_STATES:
        raise place.fault(f"from=\"own\" goes with state {', '.join(OWN_STATES)}")
    after = place.prop_span("after", ZERO)
    if state is None and after:
        raise place.fault("after goes with a state")
    assert after is not None
    return Target(State(state) if state is not None else None, region, place.prop_text("kind"), after, own)


def _reaches(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("state", "region", "kind", "after", "from"))
    return claims.Reaches(_target(place, regions), place.name == "never-reaches")


def _prefers(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("share",), args=None)
    order = tuple(read_region(place, name, regions) for name in place.texts())
    return claims.Prefers(order, place.prop_share("share", 1.0))


def _goes_over(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("from", "only-when", "share"))
    region = place.prop_text("from")
    if region is None:
        raise place.fault("from is missing")
    state = State(place.prop_choice("only-when", STATES))
    return claims.GoesOver(read_region(place, region, regions), state, place.prop_share("share", 1.0))


def _attempts(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(args=1)
    return claims.AtMostAttempts(place.whole())


def _not_repeated(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check()
    return claims.NotRepeated()


def _repeated(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("within", "of"))
    within = place.prop_span("within", timedelta(seconds=1))
    assert within is not None
    return claims.Repeated(within, place.prop_choice("of", ("end", "silence"), "end") == "silence")


def _one_copy(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check()
    return claims.OneCopy()


def _denied(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("advice", "at-least", "at-most"))
    return claims.Denied(
        place.prop_flag("advice"), place.prop_span("at-least"), place.prop_span("at-most"))


def _answered(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("within", "of", "verdict"))
    within = place.prop_span("within")
    if within is None:
        raise place.fault("within is missing")
    verdict = place.prop_choice("verdict", VERDICTS) if place.has("verdict") else None
    return claims.Answered(within, place.prop_choice("of", EVENTS, "arrival"), verdict)


def _served(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("region",))
    region = place.prop_text("region")
    return claims.Served(read_region(place, region, regions) if region is not None else None)


def _at_most_at(place: Place, regions: Mapping[str, frozenset[str]]) -> Claim:
    place.check(props=("state", "region", "kind", "after", "from", "per"), args=1)
    per = place.prop_span("per")
    if not per:
        raise place.fault("per is missing, or no time above 0")
    return claims.AtMostAt(place.whole(), per, _target(place, regions))


_READERS: dict[str, Callable[[Place, Mapping[str, frozenset[str]]], Claim]] = {
    "never-reaches": _reaches, "only-reaches": _reaches, "prefers": _prefers,
    "goes-over": _goes_over, "at-most-attempts": _attempts, "not-repeated": _not_repeated,
    "repeated": _repeated, "one-copy": _one_copy, "denied": _denied, "answered": _answered, "served": _served,
    "at-most-at": _at_most_at}
