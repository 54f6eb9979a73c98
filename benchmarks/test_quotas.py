"""What a quota decision costs: depth 2, three resources, two windows each, 100,000 teams; beside `limits`.

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
MANY = 10**12
TEAM = tuple(Limit(resource, MANY, timedelta(seconds=span)) for resource in Resource for span in (1, 300))
TREE = Tree(Level("", default=Level("*", TEAM, default=Level("*", TEAM))), most_levels=2 * TEAMS)


def paths() -> Any:
    return itertools.cycle([(f"o{n % 1000}", f"t{n}") for n in range(TEAMS)])


def test_all_six_windows_at_both_levels(benchmark: Any) -> None:
    """Twelve windows, charged and settled."""
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
    """What `limits` can do as well."""
    level = Level("*", (Limit(Resource.REQUESTS, MANY, timedelta(seconds=1)),))
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


def test_bytes_of_a_team(benchmark: Any) -> None:
    """Printed, not judged: a team with six windows that asked once."""
    ledger = Ledger(TREE)
    tracemalloc.start()
    for n in range(10_000):
        found = ledger.admit((f"o{n % 100}", f"t{n}"), "c", COSTS, n)
        assert isinstance(found, Ticket)
        ledger.settle(found, COSTS, n)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f"\n{size / 10_100:.0f} bytes a level that has asked once")
    benchmark.pedantic(lambda: None)
