"""The document's routes: rules, what they match, what they do with a job."""

from __future__ import annotations

from collections.abc import Mapping

from arrowfold.networks import read_network
from arrowfold.program.document import Place
from arrowfold.routes.rules import Action, Match, Rule

MATCHES = ("class", "region", "key", "key-prefix", "tenant", "network", "retry")
ACTIONS = ("prefer", "only", "kinds", "deny")
MOST_PREFERRED = 16


def read_rules(place: Place | None, regions: Mapping[str, frozenset[str]]) -> tuple[Rule, ...]:
    """The rules in their order; none where the document has no routes."""
    if place is None:
        return ()
    place.check(repeated=("rule",))
    rules: dict[str, Rule] = {}
    for row in place.children("rule"):
        row.check((*MATCHES, *ACTIONS), args=1)
        name = row.text()
        if name in rules:
            raise row.fault("a second rule of this name")
        actions = [child for child in row.children() if child.name in ACTIONS]
        if len(actions) != 1:
            raise row.fault(f"needs one action, not {len(actions)}: {', '.join(ACTIONS)}")
        rules[name] = Rule(name, read_match(row), _action(actions[0], regions))
    return tuple(rules.values())


def read_match(place: Place) -> Match:
    """The parts that choose sessions; what else stands in the node is its owner's."""
    values: dict[str, frozenset[str]] = {}
    for child in place.children():
        if child.name in MATCHES and child.name != "retry":
            child.check(args=None)
            values[child.name] = frozenset(child.texts())
            if child.name == "network":
                for text in child.texts():
                    try:
                        read_network(text)
                    except ValueError as error:
                        raise child.fault(str(error)) from error
    retry = place.child("retry")
    none = frozenset[str]()
    return Match(
        values.get("class", none), values.get("region", none), values.get("key", none),
        values.get("key-prefix", none), values.get("tenant", none), values.get("network", none),
        retry.flag() if retry is not None else None)


def _action(place: Place, regions: Mapping[str, frozenset[str]]) -> Action:
    if place.name == "deny":
        place.check(props=("retry-after",))
        return Action(deny=True, retry_after=place.prop_span("retry-after"))
    place.check(args=None)
    names = place.texts()
    if place.name == "kinds":
        return Action(kinds=frozenset(names))
    for name in names:
        read_region(place, name, regions)
    if len(names) > MOST_PREFERRED:  # each is a step that the module takes within one call
        raise place.fault(f"names more than {MOST_PREFERRED} regions")
    return Action(prefer=names) if place.name == "prefer" else Action(only=names)


def read_region(place: Place, name: str, regions: Mapping[str, frozenset[str]]) -> str:
    """A region's name, which must be known."""
    if name not in regions:
        known = ", ".join(sorted(regions)) or "none"
        raise place.fault(f"unknown region {name!r}; known are: {known}")
    return name
