"""A real node with stub workers on sockets: processor share, memory, bytes, descriptors, single events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from benchmarks.capacity.hollow import StubPeers
from benchmarks.capacity.results import Figures

# Changes a second: 14 workers fail and 140 are replaced a day, each with a drain, a removal, a start and a
# warm-up.
ORDINARY = 154 * 4 / 86400
# Changes a second: all workers are replaced within an hour, each with a drain, a removal and a start.
ROLLING = 2700 * 3 / 3600


@dataclass(frozen=True)
class Workload:
    """The load on a node: listed workers, requests a second and list changes a second."""

    servers: int
    jobs: float
    changes: float
    seconds: float = 12.0


def with_state(row: dict[str, Any], state: str, boot_ms: int | None = None) -> dict[str, Any]:
    """Sets the state of a discovery entry, and its start time if given; returns a copy of it."""
    row["state"] = state
    if boot_ms is not None:
        row["boot_ms"] = boot_ms
    return dict(row)


def measure_steady_state(load: Workload, seed: int) -> Figures:
    """Measures a node after its start under a constant rate of requests and list changes."""
    peers = StubPeers(load.servers, seed)
    with peers.node() as node:
        ready_s = node.ready()
        peers.run(6.0)  # until market tokens are granted and connections are open
        request_count = [0]

        def arrive() -> None:
            request_count[0] += 1
            peers.send_request(node.port, request_count[0])
            peers.schedule(peers.rng.expovariate(load.jobs), arrive)

        def change() -> None:
            row = peers.rng.choice(peers.rows)
            peers.publish([with_state(row, "DRAINING" if row["state"] == "SERVING" else "SERVING")])
            peers.schedule(peers.rng.expovariate(load.changes), change)

        if load.jobs:
            arrive()
            peers.run(6.0)
        if load.changes:
            change()
        cpu_before_s, bytes_before = node.cpu_seconds(), dict(peers.bytes)
        slowest_s = 0.0
        for _ in range(int(load.seconds)):
            peers.run(1.0)
            slowest_s = max(slowest_s, node.admin_response_s("status"))
        figures = {
            "core_share": (node.cpu_seconds() - cpu_before_s) / load.seconds, "memory_mb": node.memory_mb(),
            "descriptors": float(node.descriptor_count()), "ready_s": ready_s,
            "second_address_ms": slowest_s * 1e3}
        for kind in ("server", "discovery", "client"):
            transferred = sum(peers.bytes[f"{kind} {way} node"] - bytes_before[f"{kind} {way} node"]
                         for way in ("from", "to"))
            figures[f"{kind}_bytes_a_second"] = transferred / load.seconds
        counters = node.counters()
        figures["probes"] = float(counters.get("probes", 0))
        figures["answered"] = float(peers.answered)
        figures["not_served"] = float(peers.failed)
        return figures


def measure_events(servers: int, seed: int) -> Figures:
    """Measures processor time and the admin address's answer time at single events.

    The events are one change, a zone lost and back, a thousand changes and the whole list.
    """
    peers = StubPeers(servers, seed)
    with peers.node() as node:
        node.ready()
        peers.run(6.0)
        figures: Figures = {}

        def measure_event(name: str, rows: list[dict[str, Any]], whole: bool = False) -> None:
            messages_before, cpu_before_s = node.counters()["discovery_messages"], node.cpu_seconds()
            peers.publish(rows, whole)
            slowest_s = node.admin_response_s("status")
            peers.run(10.0, lambda: node.counters()["discovery_messages"] > messages_before)
            peers.run(0.3)
            figures[f"{name}_cpu_ms"] = (node.cpu_seconds() - cpu_before_s) * 1e3
            figures[f"{name}_second_address_ms"] = slowest_s * 1e3

        zone = [row for row in peers.rows if row["az"] == "z1"]
        measure_event("nothing", [])
        measure_event("one", [with_state(peers.rows[0], "DRAINING")])
        measure_event("zone_lost", [{**row, "state": "DELETED"} for row in zone])
        measure_event("zone_back", [{**row, "boot_ms": 1_700_000_000_000} for row in zone])
        measure_event("thousand", [with_state(row, "DRAINING") for row in peers.rows[:1000]])
        measure_event("whole", peers.rows, whole=True)
        figures["memory_mb"] = node.memory_mb()
        return figures
