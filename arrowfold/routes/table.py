"""The route table: rules in order, of which the first that matches a job holds; compiled once."""

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
    """Whether a rule matches this job: the plain reading, which the compiled table is tested against."""
    of_key = not match.keys and not match.key_prefixes
    if subject.key is not None:
        of_key = of_key or subject.key in match.keys or subject.key.startswith(tuple(match.key_prefixes))
    of_network = not match.networks
    if match.networks and subject.client is not None:
        of_network = subject.client in _as_set(match.networks)
    return (
        of_key and of_network and match.retry in (None, subject.resent)
        and (not match.classes or subject.request_class in match.classes)
        and (not match.regions or subject.region in match.regions)
        and (not match.tenants or subject.tenant in match.tenants))


class RouteTable:
    """The compiled table.

    Each part of a match has, for each value, the set of rules that it lets through, as the bits of one
    number; so a look-up is one intersection a part, and the lowest bit left is the first rule that matches.
    Networks lie in a radix tree where each holds its own rules and those of all networks around it.
    """

    def __init__(self, routes: Routes) -> None:
        self.routes, rules = routes, routes.rules
        self.reaches = [rule.action.reach(routes.regions) for rule in rules]
        self._all = (1 << len(rules)) - 1
        self._classes = _Part(rules, lambda match: match.classes)
        self._regions = _Part(rules, lambda match: match.regions)
        self._tenants = _Part(rules, lambda match: match.tenants)
        self._keys = _KeyPart(rules)
        self._networks = _NetworkPart(rules)
        self._first = sum(1 << n for n, rule in enumerate(rules) if rule.match.retry is not True)
        self._resent = sum(1 << n for n, rule in enumerate(rules) if rule.match.retry is not False)

    def find(self, subject: Subject) -> tuple[Rule, Reach | None] | None:
        """The first rule that matches, and what it leaves; None where no rule does."""
        left = self._all & (self._resent if subject.resent else self._first)
        left &= self._classes.of(subject.request_class)
        if left:
            left &= self._regions.of(subject.region) & self._tenants.of(subject.tenant)
        if left:
            left &= self._keys.of(subject.key)
        if left:
            left &= self._networks.of(subject.client)
        if not left:
            return None
        number = (left & -left).bit_length() - 1
        return self.routes.rules[number], self.reaches[number]


class _Part:
    """The rules let through by a part that is compared as a whole."""

    def __init__(self, rules: Sequence[Rule], values: Callable[[Match], Iterable[str]]) -> None:
        self.any, self.by_value = _gather(rules, values)

    def of(self, value: str | None) -> int:
        return self.any if value is None else self.by_value.get(value, 0) | self.any


def _gather(rules: Sequence[Rule], values: Callable[[Match], Iterable[str]]) -> tuple[int, dict[str, int]]:
    free, by_value = 0, dict[str, int]()
    for number, rule in enumerate(rules):
        named = list(values(rule.match))
        if not named:
            free |= 1 << number
        for value in named:
            by_value[value] = by_value.get(value, 0) | 1 << number
    return free, by_value


class _KeyPart:
    """Keys, whole or by what they begin with: either lets a rule through."""

    def __init__(self, rules: Sequence[Rule]) -> None:
        _, self.whole = _gather(rules, lambda match: match.keys)
        _, self.prefixes = _gather(rules, lambda match: match.key_prefixes)
        self.any, _ = _gather(rules, lambda match: [*match.keys, *match.key_prefixes])
        self.lengths = sorted({len(prefix) for prefix in self.prefixes})

    def of(self, key: str | None) -> int:
        if key is None:
            return self.any
        found = self.any | self.whole.get(key, 0)
        for length in self.lengths:
            if length > len(key):
                break
            found |= self.prefixes.get(key[:length], 0)
        return found


class _NetworkPart:
    """Networks of both families; a look-up is one longest match, which holds the rules of all around it."""

    def __init__(self, rules: Sequence[Rule]) -> None:
        self.any, named = _gather(rules, lambda match: match.networks)
        self.networks = Networks(named.items(), lambda wide, own: wide | own)

    def of(self, client: str | None) -> int:
        return self.any | (self.networks.find(client) or 0)
