"""A real node among hollow servers on sockets: processor share, memory, bytes, descriptors, moments."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from benchmarks.capacity.hollow import Field
from benchmarks.capacity.results import Figures

ORDINARY = 154 * 4 / 86400  # changes a second: 14 fail, 140 are replaced a day; drain, gone, new, warm
ROLLING = 2700 * 3 / 3600  # all servers replaced within an hour: drain, gone, new


@dataclass(frozen=True)
class Load:
    """What a node is put under."""

    servers: int
    jobs: float  # a second
    changes: float  # a second
    seconds: float = 12.0


def changed(row: dict[str, Any], state: str, boot_ms: int | None = None) -> dict[str, Any]:
    row["state"] = state
    if boot_ms is not None:
        row["boot_ms"] = boot_ms
    return dict(row)


def standing(load: Load, seed: int) -> Figures:
    """A node after its start: what it costs while so many jobs and changes come."""
    field = Field(load.servers, seed)
    with field.node() as node:
        ready = node.ready()
        field.run(6.0)  # the market has its tokens, and connections are up
        jobs = [0]

        def arrive() -> None:
            jobs[0] += 1
            field.hand_in(node.port, jobs[0])
            field.later(field.dice.expovariate(load.jobs), arrive)

        def change() -> None:
            row = field.dice.choice(field.rows)
            field.tell([changed(row, "DRAINING" if row["state"] == "SERVING" else "SERVING")])
            field.later(field.dice.expovariate(load.changes), change)

        if load.jobs:
            arrive()
            field.run(6.0)
        if load.changes:
            change()
        before, bytes_ = node.cpu(), dict(field.bytes)
        slowest = 0.0
        for _ in range(int(load.seconds)):
            field.run(1.0)
            slowest = max(slowest, node.ask("status"))
        figures = {
            "core_share": (node.cpu() - before) / load.seconds, "memory_mb": node.memory(),
            "descriptors": float(node.descriptors()), "ready_s": ready, "second_address_ms": slowest * 1e3}
        for kind in ("server", "discovery", "client"):
            passed = sum(field.bytes[f"{kind} {way} node"] - bytes_[f"{kind} {way} node"]
                         for way in ("from", "to"))
            figures[f"{kind}_bytes_a_second"] = passed / load.seconds
        counted = node.counters()
        figures["probes"] = float(counted.get("probes", 0))
        figures["answered"] = float(field.answered)
        figures["not_served"] = float(field.failed)
        return figures


def events(servers: int, seed: int) -> Figures:
    """Processor time, and the second address, at single moments: a change, a zone lost and back, lists."""
    field = Field(servers, seed)
    with field.node() as node:
        node.ready()
        field.run(6.0)
        figures: Figures = {}

        def moment(name: str, rows: list[dict[str, Any]], whole: bool = False) -> None:
            heard, spent = node.counters()["discovery_messages"], node.cpu()
            field.tell(rows, whole)
            slowest = node.ask("status")
            field.run(10.0, lambda: node.counters()["discovery_messages"] > heard)
            field.run(0.3)
            figures[f"{name}_cpu_ms"] = (node.cpu() - spent) * 1e3
            figures[f"{name}_second_address_ms"] = slowest * 1e3

        zone = [row for row in field.rows if row["az"] == "z1"]
        moment("nothing", [])
        moment("one", [changed(field.rows[0], "DRAINING")])
        moment("zone_lost", [{**row, "state": "DELETED"} for row in zone])
        moment("zone_back", [{**row, "boot_ms": 1_700_000_000_000} for row in zone])
        moment("thousand", [changed(row, "DRAINING") for row in field.rows[:1000]])
        moment("whole", field.rows, whole=True)
        figures["memory_mb"] = node.memory()
        return figures
