"""Quotas of up to 2,760 teams: memory, cost of an admission and a refusal, overshoot on several nodes."""

from __future__ import annotations

import gc
import time
import tracemalloc
from datetime import timedelta
from random import Random

from arrowfold.quotas.accounts import Refusal
from arrowfold.quotas.ledger import Ledger
from arrowfold.quotas.tree import Level, Limit, Resource, Tree
from benchmarks.capacity.results import Figures

SECOND = 1_000_000
TEAMS_PER_ORGANISATION = 10
REQUESTS, WORKER_TIME = Resource.REQUESTS, Resource.WORKER_TIME
REQUESTS_PER_S, REQUESTS_PER_HOUR = 2, 600  # a team's limits: requests a second and requests an hour


def limit(resource: Resource, amount: int, seconds: float) -> Limit:
    """Makes a limit on a window of so many seconds."""
    return Limit(resource, amount, timedelta(seconds=seconds))


def tree(teams: int, per_s: int = REQUESTS_PER_S) -> Tree:
    """Makes organisations of ten teams, half of which may borrow, with limits on requests and worker time."""
    team = (
        limit(REQUESTS, per_s, 1), limit(REQUESTS, REQUESTS_PER_HOUR, 3600),
        limit(WORKER_TIME, REQUESTS_PER_HOUR * 20 * SECOND, 3600))
    organisation = (
        limit(REQUESTS, per_s * TEAMS_PER_ORGANISATION, 1),
        limit(REQUESTS, REQUESTS_PER_HOUR * TEAMS_PER_ORGANISATION, 3600))
    return Tree(Level("", children={f"o{o}": Level(f"o{o}", organisation, children={
        f"t{t}": Level(f"t{t}", team, borrow=t % 2 == 0) for t in range(TEAMS_PER_ORGANISATION)})
        for o in range(teams // TEAMS_PER_ORGANISATION)}))


def measure_costs(teams: int, seed: int) -> Figures:
    """Measures the microseconds of an admission and of a refusal, and memory, with all teams active."""
    gc.collect()
    tracemalloc.start()
    ledger, rng = Ledger(tree(teams), 1), Random(seed)
    paths = [(f"o{o}", f"t{t}") for o in range(teams // TEAMS_PER_ORGANISATION)
             for t in range(TEAMS_PER_ORGANISATION)]
    now, tickets = 0, []
    for path in paths:  # makes all teams active
        for _ in range(2):
            now += 1000
            found = ledger.admit(path, "c", {REQUESTS: 1, WORKER_TIME: SECOND}, now)
            if not isinstance(found, Refusal):
                tickets.append(found)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for ticket in tickets:
        ledger.settle(ticket, {REQUESTS: 1, WORKER_TIME: SECOND}, now)
    admitted_s, refused_s = [], []
    for _ in range(4000):
        now += 1700
        path = rng.choice(paths)
        started_s = time.process_time()
        found = ledger.admit(path, "c", {REQUESTS: 1, WORKER_TIME: SECOND}, now)
        spent_s = time.process_time() - started_s
        if isinstance(found, Refusal):
            refused_s.append(spent_s)
        else:
            admitted_s.append(spent_s)
            ledger.settle(found, {REQUESTS: 1, WORKER_TIME: SECOND}, now)
    while len(refused_s) < 500:  # a team far over its limit
        now += 200
        started_s = time.process_time()
        found = ledger.admit(paths[0], "c", {REQUESTS: 1, WORKER_TIME: SECOND}, now)
        if isinstance(found, Refusal):
            refused_s.append(time.process_time() - started_s)
    return {"admit_us": sum(admitted_s) / len(admitted_s) * 1e6,
            "refuse_us": sum(refused_s) / len(refused_s) * 1e6,
            "megabytes": held_bytes / 1e6, "let_in": float(len(admitted_s))}


def measure_overshoot(nodes: int, seed: int) -> Figures:
    """Measures how far one team with ten times its limit's load exceeds it on several nodes.

    Returns the requests admitted in its fullest second and in all, as shares of the limits.
    """
    per_s = 40
    ledgers = [Ledger(tree(10, per_s), nodes) for _ in range(nodes)]
    rng, now, admitted_us = Random(seed), 0, []
    while now < 60 * SECOND:
        now += int(rng.expovariate(per_s * 10) * SECOND) + 1
        found = rng.choice(ledgers).admit(("o0", "t1"), "c", {REQUESTS: 1, WORKER_TIME: 0}, now)
        if not isinstance(found, Refusal):
            admitted_us.append(now)
    most = first = 0
    for index, time_us in enumerate(admitted_us):
        while admitted_us[first] <= time_us - SECOND:
            first += 1
        most = max(most, index - first + 1)
    # Over the whole run the hourly limit of 600 is the tighter one.
    return {"most_of_limit": most / per_s, "given_of_limit": len(admitted_us) / REQUESTS_PER_HOUR}
