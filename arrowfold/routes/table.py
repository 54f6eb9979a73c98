"""The route table: an ordered list of rules, compiled once. The first rule that matches a job applies."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from functools import lru_cache

from netaddr import IPSet  # type: ignore[import-untyped]

from arrowfold.interface import Reach
from arrowfold.networks import Networks
from arrowfold.routes.rules import Match, Routes, Rule, Subject


@lru_cache(maxsize=4096)
def _as_set(networks: frozenset[str]) -> IPSet:
    return IPSet(networks)


def holds(match: Match, subject: Subject) -> bool:
    """Returns whether a rule matches a job: the reference for the tests of the compiled table."""
    key_matches = not match.keys and not match.key_prefixes
    if subject.key is not None:
        key_matches = (
            key_matches or subject.key in match.keys or subject.key.startswith(tuple(match.key_prefixes)))
    network_matches = not match.networks
    if match.networks and subject.client is not None:
        network_matches = subject.client in _as_set(match.networks)
    return (
        key_matches and network_matches and match.retry in (None, subject.resent)
        and (not match.classes or subject.request_class in match.classes)
        and (not match.regions or subject.region in match.regions)
        and (not match.tenants or subject.tenant in match.tenants))


class RouteTable:
    """The compiled table.

    Each part of a match maps a value to the set of rules that accept it, stored as the bits of an integer. A
    look-up intersects these sets, and the lowest bit of the result is the first rule that matches. Networks
    are kept in radix trees, where each has its own rules and those of all networks that contain it.
    """

    def __init__(self, routes: Routes) -> None:
        self.routes, rules = routes, routes.rules
        self.reaches = [rule.action.reach(routes.regions) for rule in rules]
        self._all = (1 << len(rules)) - 1
        self._classes = _EqualityCriterion(rules, lambda match: match.classes)
        self._regions = _EqualityCriterion(rules, lambda match: match.regions)
        self._tenants = _EqualityCriterion(rules, lambda match: match.tenants)
        self._keys = _KeyCriterion(rules)
        self._networks = _NetworkCriterion(rules)
        self._rules_if_first = sum(1 << n for n, rule in enumerate(rules) if rule.match.retry is not True)
        self._rules_if_resent = sum(1 << n for n, rule in enumerate(rules) if rule.match.retry is not False)

    def find(self, subject: Subject) -> tuple[Rule, Reach | None] | None:
        """Returns the first rule that matches and the reach it allows, or None if no rule matches."""
        candidates = self._all & (self._rules_if_resent if subject.resent else self._rules_if_first)
        candidates &= self._classes.of(subject.request_class)
        if candidates:
            candidates &= self._regions.of(subject.region) & self._tenants.of(subject.tenant)
        if candidates:
            candidates &= self._keys.of(subject.key)
        if candidates:
            candidates &= self._networks.of(subject.client)
        if not candidates:
            return None
        number = (candidates & -candidates).bit_length() - 1
        return self.routes.rules[number], self.reaches[number]


class _EqualityCriterion:
    """The rules accepted by a criterion compared for equality. `any`: rules that do not restrict it."""

    def __init__(self, rules: Sequence[Rule], values: Callable[[Match], Iterable[str]]) -> None:
        self.any, self.by_value = _rules_by_value(rules, values)

    def of(self, value: str | None) -> int:
        """Returns the rules that accept a value, as a bit set."""
        return self.any if value is None else self.by_value.get(value, 0) | self.any


def _rules_by_value(
        rules: Sequence[Rule], values: Callable[[Match], Iterable[str]],
) -> tuple[int, dict[str, int]]:
    """Returns, as bit sets, the rules that do not restrict a criterion, and those that accept each value."""
    unrestricted, by_value = 0, dict[str, int]()
    for number, rule in enumerate(rules):
        values_of_rule = list(values(rule.match))
        if not values_of_rule:
            unrestricted |= 1 << number
        for value in values_of_rule:
            by_value[value] = by_value.get(value, 0) | 1 << number
    return unrestricted, by_value


class _KeyCriterion:
    """The rules accepted by a key, either by the complete key or by a prefix of it."""

    def __init__(self, rules: Sequence[Rule]) -> None:
        _, self.complete = _rules_by_value(rules, lambda match: match.keys)
        _, self.prefixes = _rules_by_value(rules, lambda match: match.key_prefixes)
        self.any, _ = _rules_by_value(rules, lambda match: [*match.keys, *match.key_prefixes])
        self.lengths = sorted({len(prefix) for prefix in self.prefixes})

    def of(self, key: str | None) -> int:
        """Returns the rules that accept a key, as a bit set."""
        if key is None:
            return self.any
        found = self.any | self.complete.get(key, 0)
        for length in self.lengths:
            if length > len(key):
                break
            found |= self.prefixes.get(key[:length], 0)
        return found


class _NetworkCriterion:
    """The rules accepted by an IPv4 or IPv6 address, by one longest-prefix match."""

    def __init__(self, rules: Sequence[Rule]) -> None:
        self.any, by_network = _rules_by_value(rules, lambda match: match.networks)
        self.networks = Networks(by_network.items(), lambda wider, own: wider | own)

    def of(self, client: str | None) -> int:
        """Returns the rules that accept a client's address, as a bit set."""
        return self.any | (self.networks.find(client) or 0)
