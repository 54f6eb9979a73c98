"""Reads the document's routes: rules with what they match and their action on a request."""

from __future__ import annotations

from collections.abc import Mapping

from arrowfold.networks import read_network
from arrowfold.program.document import DocumentNode
from arrowfold.routes.rules import Action, Match, Rule

MATCH_NODES = ("class", "region", "key", "key-prefix", "tenant", "network", "retry")
ACTION_NODES = ("prefer", "only", "kinds", "deny")
MAX_PREFERRED_REGIONS = 16


def read_rules(node: DocumentNode | None, regions: Mapping[str, frozenset[str]]) -> tuple[Rule, ...]:
    """Returns the rules in document order; empty if `node` is None."""
    if node is None:
        return ()
    node.validate(repeated=("rule",))
    rules: dict[str, Rule] = {}
    for rule_node in node.children("rule"):
        rule_node.validate((*MATCH_NODES, *ACTION_NODES), args=1)
        name = rule_node.text()
        if name in rules:
            raise rule_node.fault("a second rule of this name")
        actions = [child for child in rule_node.children() if child.name in ACTION_NODES]
        if len(actions) != 1:
            raise rule_node.fault(f"needs one action, not {len(actions)}: {', '.join(ACTION_NODES)}")
        rules[name] = Rule(name, read_match(rule_node), _read_action(actions[0], regions))
    return tuple(rules.values())


def read_match(node: DocumentNode) -> Match:
    """Reads the child nodes that select requests; the caller reads the others."""
    values: dict[str, frozenset[str]] = {}
    for child in node.children():
        if child.name in MATCH_NODES and child.name != "retry":
            child.validate(args=None)
            values[child.name] = frozenset(child.texts())
            if child.name == "network":
                for text in child.texts():
                    try:
                        read_network(text)
                    except ValueError as error:
                        raise child.fault(str(error)) from error
    retry = node.child("retry")
    empty = frozenset[str]()
    return Match(
        values.get("class", empty), values.get("region", empty), values.get("key", empty),
        values.get("key-prefix", empty), values.get("tenant", empty), values.get("network", empty),
        retry.boolean() if retry is not None else None)


def _read_action(node: DocumentNode, regions: Mapping[str, frozenset[str]]) -> Action:
    if node.name == "deny":
        node.validate(props=("retry-after",))
        return Action(deny=True, retry_after=node.prop_duration("retry-after"))
    node.validate(args=None)
    names = node.texts()
    if node.name == "kinds":
        return Action(kinds=frozenset(names))
    for name in names:
        read_region(node, name, regions)
    if len(names) > MAX_PREFERRED_REGIONS:  # routing tries each preferred region within one call
        raise node.fault(f"names more than {MAX_PREFERRED_REGIONS} regions")
    return Action(prefer=names) if node.name == "prefer" else Action(only=names)


def read_region(node: DocumentNode, name: str, regions: Mapping[str, frozenset[str]]) -> str:
    """Returns the region's name; raises DocumentError if no such region is declared."""
    if name not in regions:
        known = ", ".join(sorted(regions)) or "none"
        raise node.fault(f"unknown region {name!r}; known are: {known}")
    return name
