"""Real control nodes with simulated edges and workers on loopback: processor time, memory and bytes."""

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
from benchmarks.capacity.system.hollow_processes import Answer, ChildProcess
from benchmarks.capacity.system.measuring import MEGABYTE, MILLISECOND
from benchmarks.capacity.system.population import configuration, route

EDGES_PER_PROCESS = 100
WORKERS_PER_PROCESS = 1_250
SETTLING_S = 3.0
MEASURED_S = 12.0
REGISTRATION_TIMEOUT_S = 60.0
IN_FORCE_TIMEOUT_S = 20.0
CHANGES = 5  # sequential changes of the configuration
EDGE_MODULE = "benchmarks.capacity.system.hollow_edges"
WORKER_MODULE = "benchmarks.capacity.system.hollow_workers"


@dataclass
class SimulatedFleet:
    """A group of control nodes with the processes of its simulated edges and workers."""

    group: ControlGroup
    edges: list[ChildProcess]
    workers: list[ChildProcess]

    def ask(self, processes: list[ChildProcess], command: str) -> list[Answer]:
        """Sends a command to all processes at once and returns the answers."""
        for process in processes:
            process.send(command)
        return [process.read() for process in processes]

    def await_registration(self, workers: int) -> None:
        """Waits until every worker has been acknowledged once; raises TimeoutError."""
        deadline_s = time.monotonic() + REGISTRATION_TIMEOUT_S
        while time.monotonic() < deadline_s:
            heard = sum(answer["heard"] for answer in self.ask(self.workers, "figures"))
            if heard >= workers:
                return
            time.sleep(0.2)
        raise TimeoutError("workers were not acknowledged")


def _partitions(total: int, size: int) -> list[tuple[int, int]]:
    return [(first, min(size, total - first)) for first in range(0, total, size)]


@contextlib.contextmanager
def simulated_fleet(
    edges: int, workers: int, changes_per_s: float, seed: int, members: int = target.CONTROL_MACHINES
) -> Iterator[SimulatedFleet]:
    """Runs a fleet whose workers are registered; its edges are not started."""
    with control_group(members) as group, contextlib.ExitStack() as stack:
        addresses = [f"{address}:{CONTROL_PORT}" for address in group.addresses]
        seeds = [f"{address}:{INTERNAL_PORT}" for address in group.addresses[:3]]
        fleet = SimulatedFleet(group, [], [])
        for first, count in _partitions(workers, WORKERS_PER_PROCESS):
            share = changes_per_s * count / workers
            fleet.workers.append(
                ChildProcess(
                    WORKER_MODULE,
                    first=first,
                    count=count,
                    addresses=addresses,
                    seed=seed,
                    changes_per_s=share,
                )
            )
        for first, count in _partitions(edges, EDGES_PER_PROCESS):
            fleet.edges.append(
                ChildProcess(EDGE_MODULE, first=first, count=count, seeds=seeds, workers=workers)
            )
        for process in [*fleet.edges, *fleet.workers]:
            stack.callback(process.close)
        fleet.ask(fleet.workers, "start")
        fleet.await_registration(workers)
        yield fleet


def standing(edges: int, workers: int, changes_per_s: float, members: int, seed: int) -> Figures:
    """Measures a fleet at rest, or with so many changed workers a second."""
    with simulated_fleet(edges, workers, changes_per_s, seed, members) as fleet:
        fleet.ask(fleet.edges, "start")
        fleet.ask(fleet.workers, "change")
        time.sleep(SETTLING_S)
        before = _Reading(fleet)
        time.sleep(MEASURED_S)
        return _Reading(fleet).since(before, edges)


def demanded(edges: int, workers: int, reports: int, seed: int) -> Figures:
    """Measures the control nodes with or without demand reports to the placement owner."""
    with simulated_fleet(edges, workers, 0.0, seed, target.FEW_CONTROL) as fleet:
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
    """All counters of a fleet at one time."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self.at_s = time.monotonic()
        self.uses = fleet.group.uses()
        self.elections = fleet.group.elections()
        self.edges = fleet.ask(fleet.edges, "figures")
        self.workers = fleet.ask(fleet.workers, "figures")

    def total(self, answers: list[Answer], name: str) -> float:
        """Returns the sum of one counter."""
        return float(sum(answer[name] for answer in answers))

    def since(self, before: _Reading, edges: int) -> Figures:
        """Returns rates and shares since an earlier reading."""
        elapsed_s = self.at_s - before.at_s
        shares = [
            (now.processor_s - then.processor_s) / elapsed_s
            for now, then in zip(self.uses, before.uses, strict=True)
        ]

        def rate(name: str, kind: str) -> float:
            now, then = getattr(self, kind), getattr(before, kind)
            return (self.total(now, name) - self.total(then, name)) / elapsed_s

        edge_count = max(1, edges)
        return {
            "control_core_share": statistics.mean(sorted(shares)[:-1] or shares),
            "control_core_most": max(shares),
            "control_own_share": statistics.mean(
                (now.own_s - then.own_s) / elapsed_s for now, then in zip(self.uses, before.uses, strict=True)
            ),
            "elections": float(self.elections - before.elections),
            "control_mb": statistics.mean(use.resident_bytes for use in self.uses) / MEGABYTE,
            "control_peak_mb": max(use.peak_bytes for use in self.uses) / MEGABYTE,
            "edge_core_share": rate("processor_s", "edges") / edge_count,
            "edge_received_a_second": rate("received", "edges") / edge_count,
            "edge_sent_a_second": rate("sent", "edges") / edge_count,
            "edge_connections": self.total(self.edges, "connections") / edge_count,
            "changes_a_second": rate("changes", "edges") / edge_count,
            "heartbeats_a_second": rate("acknowledged", "workers"),
            "heartbeats_failed": rate("failed", "workers") * elapsed_s,
            "worker_sent_a_second": rate("sent", "workers"),
        }


def mass_restart(edges: int, workers: int, members: int, seed: int) -> Figures:
    """Measures a restart of all edges at once with empty tables, as after a power failure."""
    with simulated_fleet(edges, workers, 0.0, seed, members) as fleet:
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
    """Measures sequential changes of one route: seconds until every edge has them, processor time, bytes."""
    with simulated_fleet(edges, workers, 0.0, seed, members) as fleet:
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
        elapsed_s = last.at_s - first.at_s
        count = len(delays)
        return {
            "in_force_s": statistics.median(delays),
            "in_force_most_s": max(delays),
            "control_ms": (spent["control_core_share"] - rest["control_core_share"])
            * elapsed_s
            / count
            / MILLISECOND,
            "edge_ms": (spent["edge_core_share"] - rest["edge_core_share"]) * elapsed_s / count / MILLISECOND,
            "edge_received_bytes": (spent["edge_received_a_second"] - rest["edge_received_a_second"])
            * elapsed_s
            / count,
            "patch_bytes": float(len(change_of_one_route(2))),
        }


def _in_force_s(fleet: SimulatedFleet, version: int, started: float) -> float:
    while time.monotonic() - started < IN_FORCE_TIMEOUT_S:
        answers = fleet.ask(fleet.edges, "figures")
        if all(min(answer["versions"]) >= version for answer in answers):
            break
        time.sleep(0.02)
    return time.monotonic() - started
