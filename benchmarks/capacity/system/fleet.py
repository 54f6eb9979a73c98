"""Hollow edges and workers round real control nodes on loopback: processor time, memory and bytes."""

from __future__ import annotations

import contextlib
import json
import statistics
import time
from collections.abc import Iterator
from dataclasses import dataclass

from benchmarks.capacity.results import Figures
from benchmarks.capacity.system import target
from benchmarks.capacity.system.control_processes import (
    CONTROL_PORT,
    INTERNAL_PORT,
    ControlGroup,
    control_group,
)
from benchmarks.capacity.system.documents import change_of_one_route
from benchmarks.capacity.system.hollow_processes import Answer, HollowProcess
from benchmarks.capacity.system.measuring import MEGABYTE, MILLISECOND
from benchmarks.capacity.system.population import configuration, route

EDGES_A_PROCESS = 100
WORKERS_A_PROCESS = 1_250
SETTLING_S = 3.0
MEASURED_S = 12.0
HEARD_WITHIN_S = 60.0
IN_FORCE_WITHIN_S = 20.0
CHANGES = 5  # of configuration, one after the other
EDGE_MODULE = "benchmarks.capacity.system.hollow_edges"
WORKER_MODULE = "benchmarks.capacity.system.hollow_workers"


@dataclass
class HollowFleet:
    """The hollow processes round a group of control nodes."""

    group: ControlGroup
    edges: list[HollowProcess]
    workers: list[HollowProcess]

    def ask(self, processes: list[HollowProcess], command: str) -> list[Answer]:
        """Give all the same command at once, and collect the answers."""
        for process in processes:
            process.send(command)
        return [process.read() for process in processes]

    def await_heard(self, workers: int) -> None:
        """Wait until every worker was acknowledged once."""
        ends = time.monotonic() + HEARD_WITHIN_S
        while time.monotonic() < ends:
            heard = sum(answer["heard"] for answer in self.ask(self.workers, "figures"))
            if heard >= workers:
                return
            time.sleep(0.2)
        raise TimeoutError("workers were not acknowledged")


def _parts(total: int, most: int) -> list[tuple[int, int]]:
    return [(first, min(most, total - first)) for first in range(0, total, most)]


@contextlib.contextmanager
def hollow_fleet(
    edges: int, workers: int, changes_per_s: float, seed: int, members: int = target.CONTROL_MACHINES
) -> Iterator[HollowFleet]:
    """A fleet whose workers are known; its edges have not started."""
    with control_group(members) as group, contextlib.ExitStack() as stack:
        addresses = [f"{address}:{CONTROL_PORT}" for address in group.addresses]
        seeds = [f"{address}:{INTERNAL_PORT}" for address in group.addresses[:3]]
        fleet = HollowFleet(group, [], [])
        for first, count in _parts(workers, WORKERS_A_PROCESS):
            share = changes_per_s * count / workers
            fleet.workers.append(
                HollowProcess(
                    WORKER_MODULE,
                    first=first,
                    count=count,
                    addresses=addresses,
                    seed=seed,
                    changes_per_s=share,
                )
            )
        for first, count in _parts(edges, EDGES_A_PROCESS):
            fleet.edges.append(
                HollowProcess(EDGE_MODULE, first=first, count=count, seeds=seeds, workers=workers)
            )
        for process in [*fleet.edges, *fleet.workers]:
            stack.callback(process.close)
        fleet.ask(fleet.workers, "start")
        fleet.await_heard(workers)
        yield fleet


def standing(edges: int, workers: int, changes_per_s: float, members: int, seed: int) -> Figures:
    """A fleet at rest, or with so many workers a second that tell a change."""
    with hollow_fleet(edges, workers, changes_per_s, seed, members) as fleet:
        fleet.ask(fleet.edges, "start")
        fleet.ask(fleet.workers, "change")
        time.sleep(SETTLING_S)
        before = _Reading(fleet)
        time.sleep(MEASURED_S)
        return _Reading(fleet).since(before, edges)


def demanded(edges: int, workers: int, reports: int, seed: int) -> Figures:
    """Edges that report demand to the owner of the placement, or not: what becomes of the control nodes."""
    with hollow_fleet(edges, workers, 0.0, seed, target.FEW_CONTROL) as fleet:
        fleet.ask(fleet.edges, "start")
        time.sleep(SETTLING_S)
        if reports:
            fleet.ask(fleet.edges, "demand")
        time.sleep(SETTLING_S)
        before = _Reading(fleet)
        time.sleep(MEASURED_S)
        after = _Reading(fleet)
        orders = after.total(after.workers, "orders") - before.total(before.workers, "orders")
        return {**after.since(before, edges), "orders": orders}


class _Reading:
    """All counters of a fleet at one moment."""

    def __init__(self, fleet: HollowFleet) -> None:
        self.at_s = time.monotonic()
        self.uses = fleet.group.uses()
        self.elections = fleet.group.elections()
        self.edges = fleet.ask(fleet.edges, "figures")
        self.workers = fleet.ask(fleet.workers, "figures")

    def total(self, answers: list[Answer], name: str) -> float:
        """The sum of one counter."""
        return float(sum(answer[name] for answer in answers))

    def since(self, before: _Reading, edges: int) -> Figures:
        """Rates and shares since an earlier reading."""
        passed_s = self.at_s - before.at_s
        shares = [
            (now.processor_s - then.processor_s) / passed_s
            for now, then in zip(self.uses, before.uses, strict=True)
        ]

        def rate(name: str, kind: str) -> float:
            now, then = getattr(self, kind), getattr(before, kind)
            return (self.total(now, name) - self.total(then, name)) / passed_s

        divided = max(1, edges)
        return {
            "control_core_share": statistics.mean(sorted(shares)[:-1] or shares),
            "control_core_most": max(shares),
            "control_own_share": statistics.mean(
                (now.own_s - then.own_s) / passed_s for now, then in zip(self.uses, before.uses, strict=True)
            ),
            "elections": float(self.elections - before.elections),
            "control_mb": statistics.mean(use.resident_bytes for use in self.uses) / MEGABYTE,
            "control_peak_mb": max(use.peak_bytes for use in self.uses) / MEGABYTE,
            "edge_core_share": rate("processor_s", "edges") / divided,
            "edge_received_a_second": rate("received", "edges") / divided,
            "edge_sent_a_second": rate("sent", "edges") / divided,
            "edge_connections": self.total(self.edges, "connections") / divided,
            "changes_a_second": rate("changes", "edges") / divided,
            "heartbeats_a_second": rate("acknowledged", "workers"),
            "heartbeats_failed": rate("failed", "workers") * passed_s,
            "worker_sent_a_second": rate("sent", "workers"),
        }


def mass_restart(edges: int, workers: int, members: int, seed: int) -> Figures:
    """All edges begin at once with empty tables, as after a loss of power."""
    with hollow_fleet(edges, workers, 0.0, seed, members) as fleet:
        fleet.ask(fleet.edges, "start")
        time.sleep(SETTLING_S)
        before = fleet.group.uses()
        answers = fleet.ask(fleet.edges, "restart")
        time.sleep(1.0)
        after = fleet.group.uses()
        received = sum(answer["received"] for answer in fleet.ask(fleet.edges, "figures"))
        used = [now.processor_s - then.processor_s for now, then in zip(after, before, strict=True)]
        return {
            "all_s": max(answer["all_s"] for answer in answers),
            "control_s": statistics.mean(used),
            "control_s_an_edge": statistics.mean(used) / edges,
            "megabytes_an_edge": received / edges / MEGABYTE,
            "control_peak_mb": max(use.peak_bytes for use in after) / MEGABYTE,
        }


def configuration_change(edges: int, workers: int, members: int, seed: int) -> Figures:
    """Changes of one route, one after the other: seconds until every edge has them, processor time, bytes."""
    with hollow_fleet(edges, workers, 0.0, seed, members) as fleet:
        fleet.ask(fleet.edges, "start")
        time.sleep(SETTLING_S)
        text = configuration(target.MODELS, target.ADAPTERS, target.ROUTES)
        first = _Reading(fleet)
        delays = []
        for version in range(2, 2 + CHANGES):
            text = {
                **text,
                "version": version,
                "routes": [{**route(0), "timeoutMs": 9_000 + version}, *text["routes"][1:]],
            }
            started = time.monotonic()
            fleet.group.put_configuration(json.dumps(text, separators=(",", ":")).encode(), version - 1)
            delays.append(_in_force_s(fleet, version, started))
            time.sleep(1.0)
        last = _Reading(fleet)
        rest_from = last
        time.sleep(5 * 1.0)
        rest = _Reading(fleet).since(rest_from, edges)
        spent = last.since(first, edges)
        passed_s = last.at_s - first.at_s
        count = len(delays)
        return {
            "in_force_s": statistics.median(delays),
            "in_force_most_s": max(delays),
            "control_ms": (spent["control_core_share"] - rest["control_core_share"])
            * passed_s
            / count
            / MILLISECOND,
            "edge_ms": (spent["edge_core_share"] - rest["edge_core_share"]) * passed_s / count / MILLISECOND,
            "edge_received_bytes": (spent["edge_received_a_second"] - rest["edge_received_a_second"])
            * passed_s
            / count,
            "patch_bytes": float(len(change_of_one_route(2))),
        }


def _in_force_s(fleet: HollowFleet, version: int, started: float) -> float:
    while time.monotonic() - started < IN_FORCE_WITHIN_S:
        answers = fleet.ask(fleet.edges, "figures")
        if all(min(answer["versions"]) >= version for answer in answers):
            break
        time.sleep(0.02)
    return time.monotonic() - started
