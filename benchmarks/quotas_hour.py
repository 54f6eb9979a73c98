"""Simulates an hour of synthetic tenants in virtual time: are limits held, and is the capacity used?

    python -m benchmarks.quotas_hour [--plot FILE.png]

20 organisations of 10 teams on one node and on 2, 4 and 16. Loads range from nothing to ten times the limit,
steady or in bursts; run times are lognormal with a Pareto tail. Each tenant has its own random stream. Every
window is checked at all possible starts.
"""

from __future__ import annotations

import heapq
import sys
import time
from collections import defaultdict
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta

import numpy as np

from arrowfold.quotas.ledger import Ledger, Refusal, Ticket
from arrowfold.quotas.tree import Level, Limit, Resource, Tree

SECOND = 1_000_000
HOUR = 3600 * SECOND
ORGS, TEAMS = 20, 10
MEAN_RUN_S = 0.2  # also the worker time that is reserved for a request
REQUESTS, WORKER_TIME = Resource.REQUESTS, Resource.WORKER_TIME


def limit(resource: Resource, amount: int, seconds: float) -> Limit:
    """Makes a limit on a window of so many seconds."""
    return Limit(resource, amount, timedelta(seconds=seconds))


TEAM = (limit(REQUESTS, 10, 10), limit(REQUESTS, 100, 120))
ORG = (limit(REQUESTS, 100, 10), limit(REQUESTS, 1000, 120), limit(WORKER_TIME, 160 * SECOND, 120))


def tree(stretch: float = 1.0) -> Tree:
    """Makes all organisations with their teams; every second team may borrow."""
    orgs = {f"o{o}": Level(f"o{o}", ORG, children={
        f"t{t}": Level(f"t{t}", TEAM, borrow=t % 2 == 0) for t in range(TEAMS)}) for o in range(ORGS)}
    return Tree(Level("", children=orgs), stretch=stretch)


def arrivals(org: int, team: int) -> np.ndarray:
    """Returns a team's sorted arrival times in microseconds, steady or in bursts.

    The load is 0, 0.3, 0.8, 1.2, 3 or 10 times the team's limit.
    """
    rng = np.random.default_rng([2026, org, team])
    load = (0.0, 0.3, 0.8, 1.2, 3.0, 10.0)[(org + team) % 6]
    rate = load * 100 / 120  # a second
    count = rng.poisson(rate * 3600)
    if (org + team) % 2:  # bursts with a mean size of eight
        starts = rng.uniform(0, HOUR, count // 8)
        times = np.repeat(starts, rng.geometric(1 / 8, len(starts)))
        times = times + rng.exponential(0.2 * SECOND, len(times))
    else:
        times = rng.uniform(0, HOUR, count)
    return np.sort(times[times < HOUR]).astype(np.int64)


def run_times(org: int, team: int, count: int) -> np.ndarray:
    """Returns run times in seconds: lognormal with mean `MEAN_RUN_S`, and 1 % with a Pareto tail."""
    rng = np.random.default_rng([7, org, team])
    usual = rng.lognormal(np.log(MEAN_RUN_S) - 0.125, 0.5, count)
    return np.where(rng.random(count) < 0.01, MEAN_RUN_S * (1 + rng.pareto(1.5, count)), usual)


def all_arrivals() -> Iterator[tuple[int, int, int, float]]:
    """Yields all arrivals in the order of time as (time in us, organisation, team, run time in s)."""
    rows = []
    for org in range(ORGS):
        for team in range(TEAMS):
            times = arrivals(org, team)
            rows.append([(int(at), org, team, float(run)) for at, run in zip(
                times, run_times(org, team, len(times)), strict=True)])
    return heapq.merge(*rows)


def max_in_window(events: list[tuple[int, int]], span_us: int) -> int:
    """Returns the largest total amount in any window of length `span_us`."""
    events.sort()
    best = total = first = 0
    for at, amount in events:
        total += amount
        while events[first][0] <= at - span_us:
            total -= events[first][1]
            first += 1
        best = max(best, total)
    return best


def play(nodes: int, stretch: float = 1.0) -> str:
    """Simulates one hour on `nodes` nodes and returns the report.

    All requests of an organisation go to one node, and each minute to the next one.
    """
    ledgers = [Ledger(tree(stretch), nodes) for _ in range(nodes)]
    admitted: dict[tuple[str, ...], list[tuple[int, int]]] = defaultdict(list)
    used: dict[str, list[tuple[int, int]]] = defaultdict(list)
    offered: dict[tuple[str, ...], int] = defaultdict(int)
    retries = retries_admitted = 0
    refused_again_s: list[float] = []  # the new retry-after, in seconds, of retries refused again
    ends: list[tuple[int, int, Ledger, Ticket, int]] = []
    due_retries: list[tuple[int, int, int, int, float]] = []
    started_s, count = time.process_time(), 0
    rows = all_arrivals()
    row = next(rows, None)
    while row is not None:
        is_retry = bool(due_retries and due_retries[0][0] <= row[0])
        if is_retry:
            at, _, org, team, run = heapq.heappop(due_retries)
        else:
            at, org, team, run = row
            row = next(rows, None)
        count += 1
        while ends and ends[0][0] <= at:
            end, _, ledger, ticket, spent = heapq.heappop(ends)
            ledger.settle(ticket, {REQUESTS: 1, WORKER_TIME: spent}, end)
        ledger = ledgers[(org + at // (60 * SECOND)) % nodes]
        path = f"o{org}", f"t{team}"
        offered[path] += not is_retry
        found = ledger.admit(path, "c", {REQUESTS: 1, WORKER_TIME: int(MEAN_RUN_S * SECOND)}, at, is_retry)
        retries += is_retry
        if isinstance(found, Refusal):
            # One in twenty refused requests is retried, marked as such, up to 50 ms after its retry-after.
            if found.after is not None and is_retry:
                refused_again_s.append(found.after.total_seconds())
            elif found.after is not None and count % 20 == 0:
                due = at + found.after // timedelta(microseconds=1) + count * 7919 % 50_000
                heapq.heappush(due_retries, (due, count, org, team, run))
            continue
        retries_admitted += is_retry
        spent = int(run * SECOND)
        admitted[path].append((at, 1))
        used[path[0]].append((at, spent))
        heapq.heappush(ends, (at + spent, count, ledger, found, spent))
    elapsed_s = time.process_time() - started_s
    peak_shares: dict[str, float] = {}
    for path, events in admitted.items():
        for limit_ in TEAM if path[1] not in ("t0", "t2", "t4", "t6", "t8") else ():
            name = f"team, {limit_.words()}"
            span = limit_.per // timedelta(microseconds=1)
            peak_shares[name] = max(peak_shares.get(name, 0), max_in_window(events, span) / limit_.amount)
    for org in range(ORGS):
        events = [event for path, rows_ in admitted.items() if path[0] == f"o{org}" for event in rows_]
        for limit_ in ORG:
            span, name = limit_.per // timedelta(microseconds=1), f"organisation, {limit_.words()}"
            spent_here = used[f"o{org}"] if limit_.resource is WORKER_TIME else events
            peak_shares[name] = max(
                peak_shares.get(name, 0), max_in_window(list(spent_here), span) / limit_.amount)
    served_shares = [len(admitted[path]) / 3600 / (100 / 120) for path, n in offered.items()
                     if n > 2.5 * 3000 and int(path[1][1:]) % 2]
    lines = [f"\n{nodes} nodes, stretch {stretch:g}: {count} arrivals in {elapsed_s:.0f} s of processor "
             f"({elapsed_s / count * 1e6:.0f} us each)"]
    for name, share in sorted(peak_shares.items()):
        lines.append(f"  most in any window   {name:48} {share:6.3f} of the limit")
    if served_shares:
        lines.append(f"  teams that ask for 3 or 10 times their limit and may not borrow get "
                     f"{min(served_shares):.3f} to {max(served_shares):.3f} of it "
                     f"({len(served_shares)} teams)")
    if retries:
        lines.append(f"  came back when told: {retries}, let in {retries_admitted / retries:.3f}; "
                     "advice too early by, " + ", ".join(
                         f"{share:g}%: "
                         f"{np.percentile([0.0] * retries_admitted + refused_again_s, share):.3f} s"
                         for share in (50, 95, 99, 100)))
    return "\n".join(lines)


def plot_lender(file: str) -> None:
    """Plots the rates, per quarter second, of a borrower and of a lender.

    The lender is idle, returns after 10 s, and from 20 s on is active every other second.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    teams = {name: Level(name, (limit(REQUESTS, 50, 1),), borrow=True) for name in ("borrower", "lender")}
    ledger = Ledger(Tree(Level("", children={"o": Level("o", (limit(REQUESTS, 100, 1),), children=teams)})))
    admitted: dict[str, dict[int, int]] = {"borrower": defaultdict(int), "lender": defaultdict(int)}
    for now in range(0, 30 * SECOND, 4000):
        second = now // SECOND
        active = ["borrower"] + ["lender"] * (10 <= second < 20 or (second >= 20 and second % 2 == 0))
        for name in active:
            if isinstance(ledger.admit(("o", name), "c", {REQUESTS: 1}, now), Ticket):
                admitted[name][now // (SECOND // 4)] += 4
    figure, axes = plt.subplots(figsize=(9, 3.5))
    for name, rows in admitted.items():
        axes.step([n / 4 for n in range(120)], [rows[n] for n in range(120)], where="post", label=name)
    axes.axhline(50, color="grey", linewidth=0.8)
    axes.set(xlabel="seconds; the lender returns at 10 and flickers from 20", ylabel="jobs a second")
    axes.legend()
    figure.tight_layout()
    figure.savefig(file, dpi=110)


if __name__ == "__main__":
    if "--plot" in sys.argv:
        plot_lender(sys.argv[sys.argv.index("--plot") + 1])
    else:
        shapes = ((1, 1.0), (2, 1.0), (4, 1.0), (4, 2.0), (16, 1.0))
        with ProcessPoolExecutor() as pool:
            for report in pool.map(play, *zip(*shapes, strict=True)):
                print(report)
