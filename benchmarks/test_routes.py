"""Cost of a route lookup with 0, 10 and 10,000 rules, and with 10,000 networks.

    make benchmark
"""

from __future__ import annotations

import random
from typing import Any

import pytest
from netaddr import IPSet

from arrowfold.routes.rules import Action, Match, Routes, Rule, Subject
from arrowfold.routes.table import RouteTable

REGIONS = {"here": frozenset({"a"}), "there": frozenset({"b"})}
SUBJECT = Subject("search", "here", "repo:17", "tenant-3", "10.77.3.9")


def table(rules: int, networks: int = 0) -> RouteTable:
    """Makes a table with rules of every kind, of which only the last one matches."""
    rng = random.Random(1)
    rows = []
    for number in range(rules - 1):
        criteria: list[dict[str, Any]] = [
            {"tenants": frozenset({f"tenant-{number + 10}"})}, {"keys": frozenset({f"key-{number}"})},
            {"key_prefixes": frozenset({f"prefix-{number}:"})}, {"regions": frozenset({f"region-{number}"})},
            {"classes": frozenset({"search"}), "retry": True}]
        match = Match(**criteria[number % len(criteria)])
        rows.append(Rule(f"r{number}", match, Action(prefer=("here",))))
    drawn = {f"{rng.randrange(11, 200)}.{rng.randrange(256)}.{rng.randrange(256)}.0/24"
             for _ in range(2 * networks)}
    named = frozenset(sorted(drawn)[:networks])
    if named:
        rows.append(Rule("networks", Match(networks=named), Action(deny=True)))
    if rules:
        rows.append(Rule("last", Match(), Action(prefer=("there",))))
    return RouteTable(Routes(REGIONS, tuple(rows)))


@pytest.mark.parametrize(
    ("rules", "networks"), [(0, 0), (10, 0), (10_000, 0), (10, 10_000), (10_000, 10_000)])
def test_lookup(benchmark: Any, rules: int, networks: int) -> None:
    found = benchmark(table(rules, networks).find, SUBJECT)
    assert (found is None) is (rules == 0)
    assert found is None or found[0].name == "last"


def test_netaddr_set_for_comparison(benchmark: Any) -> None:
    (rule,) = (rule for rule in table(1, 10_000).routes.rules if rule.name == "networks")
    assert benchmark(IPSet(rule.match.networks).__contains__, "10.77.3.9") is False


def test_compiling(benchmark: Any) -> None:
    routes = table(10_000, 10_000).routes
    assert benchmark.pedantic(RouteTable, (routes,), rounds=3).find(SUBJECT) is not None
