"""Quotas of 690 teams in 69 organisations: memory, what a look and a refusal cost, how far nodes go over."""

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
TEAMS_OF_ONE = 10
R, T = Resource.REQUESTS, Resource.WORKER_TIME
PER_S, PER_H = 2, 600  # a team's requests in a second and in an hour


def limit(resource: Resource, amount: int, seconds: float) -> Limit:
    return Limit(resource, amount, timedelta(seconds=seconds))


def tree(teams: int, per_s: int = PER_S) -> Tree:
    """Organisations of ten teams, half of which borrow; requests by the second and the hour, worker time."""
    team = (limit(R, per_s, 1), limit(R, PER_H, 3600), limit(T, PER_H * 20 * SECOND, 3600))
    whole = (limit(R, per_s * TEAMS_OF_ONE, 1), limit(R, PER_H * TEAMS_OF_ONE, 3600))
    return Tree(Level("", children={f"o{o}": Level(f"o{o}", whole, children={
        f"t{t}": Level(f"t{t}", team, borrow=t % 2 == 0) for t in range(TEAMS_OF_ONE)})
        for o in range(teams // TEAMS_OF_ONE)}))


def costs(teams: int, seed: int) -> Figures:
    """Microseconds of a look that lets in, and of one that refuses, with all siblings active; memory."""
    gc.collect()
    tracemalloc.start()
    ledger, chance = Ledger(tree(teams), 1), Random(seed)
    paths = [(f"o{o}", f"t{t}") for o in range(teams // TEAMS_OF_ONE) for t in range(TEAMS_OF_ONE)]
    now, tickets = 0, []
    for path in paths:  # all are active
        for _ in range(2):
            now += 1000
            found = ledger.admit(path, "c", {R: 1, T: SECOND}, now)
            if not isinstance(found, Refusal):
                tickets.append(found)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for ticket in tickets:
        ledger.settle(ticket, {R: 1, T: SECOND}, now)
    let, refused = [], []
    for _ in range(4000):
        now += 1700
        path = chance.choice(paths)
        begun = time.process_time()
        found = ledger.admit(path, "c", {R: 1, T: SECOND}, now)
        spent = time.process_time() - begun
        if isinstance(found, Refusal):
            refused.append(spent)
        else:
            let.append(spent)
            ledger.settle(found, {R: 1, T: SECOND}, now)
    while len(refused) < 500:  # one that asks far over its part
        now += 200
        begun = time.process_time()
        found = ledger.admit(paths[0], "c", {R: 1, T: SECOND}, now)
        if isinstance(found, Refusal):
            refused.append(time.process_time() - begun)
    return {"admit_us": sum(let) / len(let) * 1e6, "refuse_us": sum(refused) / len(refused) * 1e6,
            "megabytes": held / 1e6, "let_in": float(len(let))}


def overshoot(nodes: int, seed: int) -> Figures:
    """One team that asks ten times its part of all nodes: its fullest second, and all it got."""
    per_s = 40
    ledgers = [Ledger(tree(10, per_s), nodes) for _ in range(nodes)]
    chance, now, taken = Random(seed), 0, []
    while now < 60 * SECOND:
        now += int(chance.expovariate(per_s * 10) * SECOND) + 1
        found = chance.choice(ledgers).admit(("o0", "t1"), "c", {R: 1, T: 0}, now)
        if not isinstance(found, Refusal):
            taken.append(now)
    most = first = 0
    for at, when in enumerate(taken):
        while taken[first] <= when - SECOND:
            first += 1
        most = max(most, at - first + 1)
    # The hour's window is the tighter one in the long run: 600 an hour.
    return {"most_of_limit": most / per_s, "given_of_limit": len(taken) / PER_H}
