"""A real edge process that forwards streams: processor time by requests and events, memory by workers."""

from __future__ import annotations

import contextlib
import subprocess
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from benchmarks.capacity.results import Figures
from benchmarks.capacity.system import target
from benchmarks.capacity.system.control_processes import (
    CONTROL_PORT,
    ControlGroup,
    ProcessUse,
    process_use,
    settings_text,
    start_process,
)
from benchmarks.capacity.system.fleet import simulated_fleet
from benchmarks.capacity.system.hollow_processes import ChildProcess
from benchmarks.capacity.system.measuring import MEGABYTE

EDGE_ADDRESS = "127.20.1.1"
FRONT_PORT = 8_144
CLIENT_MODULE = "benchmarks.capacity.system.stream_clients"
STREAM_WORKERS = 8
SETTLING_S = 3.0
MEASURED_S = 10.0
READY_WITHIN_S = 30.0


@dataclass
class RealEdge:
    """An edge process and its clients."""

    pid: int
    clients: ChildProcess

    def use(self) -> ProcessUse:
        """Returns the processor time and memory of the edge."""
        return process_use(self.pid)


@contextlib.contextmanager
def real_edge(workers: int, rate: float, events: int, seed: int) -> Iterator[RealEdge]:
    """Runs an edge with so many workers, of which eight can stream; its clients send no requests yet."""
    with simulated_fleet(0, workers, 0.0, seed, target.FEW_CONTROL) as fleet, contextlib.ExitStack() as stack:
        group = fleet.group
        clients = ChildProcess(
            CLIENT_MODULE,
            edge=f"{EDGE_ADDRESS}:{FRONT_PORT}",
            control=[f"{address}:{CONTROL_PORT}" for address in group.addresses],
            workers=STREAM_WORKERS,
            first=workers,
            rate=max(rate, 0.001),
            events=events,
            seed=seed,
        )
        stack.callback(clients.close)
        clients.ask("start")
        _wait_until(lambda: clients.ask("figures")["heard"] == STREAM_WORKERS)
        process = _start_edge(group)
        stack.callback(process.wait)
        stack.callback(process.kill)
        time.sleep(SETTLING_S)
        yield RealEdge(process.pid, clients)


def _start_edge(group: ControlGroup) -> subprocess.Popen[bytes]:
    path = group.folder / "edge.toml"
    path.write_text(settings_text(EDGE_ADDRESS, 0, group.seeds, "edge", group.folder, 1))
    return start_process("arrowfold.programs.edge", path, group.folder / "edge.log")


def _wait_until(reached: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + READY_WITHIN_S
    while not reached():
        if time.monotonic() > deadline_s:
            raise TimeoutError("the stream workers were not acknowledged")
        time.sleep(0.1)


def streams(workers: int, rate: float, events: int, seed: int) -> Figures:
    """Measures one edge with requests at a rate, each a stream of so many events."""
    with real_edge(workers, rate, events, seed) as edge:
        if rate > 0:
            edge.clients.ask("serve")
            time.sleep(SETTLING_S)
        before_clients = edge.clients.ask("reset")
        before, started = edge.use(), time.monotonic()
        time.sleep(MEASURED_S)
        after, elapsed_s = edge.use(), time.monotonic() - started
        clients = edge.clients.ask("figures")
        return {
            "core_share": (after.processor_s - before.processor_s) / elapsed_s,
            "own_share": (after.own_s - before.own_s) / elapsed_s,
            "resident_mb": after.resident_bytes / MEGABYTE,
            "peak_mb": after.peak_bytes / MEGABYTE,
            "done_a_second": (clients["done"] - before_clients["done"]) / elapsed_s,
            "failed": float(clients["failed"] - before_clients["failed"]),
            "event_p50_ms": clients["event_p50_ms"],
            "event_p95_ms": clients["event_p95_ms"],
            "first_event_p95_ms": clients["first_p95_ms"],
        }
