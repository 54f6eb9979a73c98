"""Cost of a quota decision for 100,000 teams, compared with the `limits` package.

The tree has depth 2, with three resources and two windows each.

    make benchmark
"""

from __future__ import annotations

import itertools
import tracemalloc
from datetime import timedelta
from typing import Any

from limits import RateLimitItemPerSecond
from limits.storage import MemoryStorage
from limits.strategies import MovingWindowRateLimiter, SlidingWindowCounterRateLimiter

from arrowfold.quotas.ledger import Ledger, Ticket
from arrowfold.quotas.tree import Level, Limit, Resource, Tree

TEAMS = 100_000
COSTS = {Resource.REQUESTS: 1, Resource.WORKER_TIME: 200_000, Resource.FETCHES: 1000}
NEVER_REACHED = 10**12
TEAM = tuple(
    Limit(resource, NEVER_REACHED, timedelta(seconds=span)) for resource in Resource for span in (1, 300))
TREE = Tree(Level("", default=Level("*", TEAM, default=Level("*", TEAM))), most_levels=2 * TEAMS)


def paths() -> Any:
    """Cycles through the paths of all teams."""
    return itertools.cycle([(f"o{n % 1000}", f"t{n}") for n in range(TEAMS)])


def test_six_windows_at_each_of_two_levels(benchmark: Any) -> None:
    """Charges and settles twelve windows."""
    ledger, path, clock = Ledger(TREE), paths(), itertools.count(0, 37)
    for _ in range(TEAMS):
        ledger.admit(next(path), "c", COSTS, 0)

    def decide() -> None:
        now = next(clock)
        found = ledger.admit(next(path), "c", COSTS, now)
        assert isinstance(found, Ticket)
        ledger.settle(found, COSTS, now)

    benchmark(decide)


def test_one_window_at_one_level(benchmark: Any) -> None:
    """The case that `limits` covers too."""
    level = Level("*", (Limit(Resource.REQUESTS, NEVER_REACHED, timedelta(seconds=1)),))
    ledger = Ledger(Tree(Level("", default=level), most_levels=2 * TEAMS))
    path, clock = itertools.cycle([(f"t{n}",) for n in range(TEAMS)]), itertools.count(0, 37)
    benchmark(lambda: ledger.admit(next(path), "c", {Resource.REQUESTS: 1}, next(clock)))


def test_limits_moving_window(benchmark: Any) -> None:
    limiter = MovingWindowRateLimiter(MemoryStorage())
    item, name = RateLimitItemPerSecond(1000), itertools.cycle([f"t{n}" for n in range(TEAMS)])
    benchmark(lambda: limiter.hit(item, next(name)))


def test_limits_sliding_window_counter(benchmark: Any) -> None:
    limiter = SlidingWindowCounterRateLimiter(MemoryStorage())
    item, name = RateLimitItemPerSecond(1000), itertools.cycle([f"t{n}" for n in range(TEAMS)])
    benchmark(lambda: limiter.hit(item, next(name)))


def test_memory_per_team(benchmark: Any) -> None:
    """Prints the memory of a team with six windows after one request, without a bound."""
    ledger = Ledger(TREE)
    tracemalloc.start()
    for n in range(10_000):
        found = ledger.admit((f"o{n % 100}", f"t{n}"), "c", COSTS, n)
        assert isinstance(found, Ticket)
        ledger.settle(found, COSTS, n)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f"\n{size / 10_100:.0f} bytes per level with one request")
    benchmark.pedantic(lambda: None)
