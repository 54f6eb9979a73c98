"""Many watches on one discovery, each with the real `Discovery` client, sharing a few processes.

Only reading the list is covered; `module` and `node` measure the rest of a node's work with it.
"""

from __future__ import annotations

import contextlib
import json
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import timedelta
from random import Random
from typing import Any

from arrowfold import interface as api
from arrowfold.protocol.discovery import Discovery
from arrowfold.transport.loop import Loop
from benchmarks.capacity.hollow import StubPeers
from benchmarks.capacity.module import example_settings
from benchmarks.capacity.results import ROOT, Figures

SECONDS_PER_HOUR = 3600
PROCESSES = 4


class StubCore:
    """Stub of the node's core. Records when a worker was last reported as draining or removed."""

    def __init__(self, loop: Loop, seed: int) -> None:
        self.settings, self.loop, self.rng = example_settings(roster_on_request=True), loop, Random(seed)
        self.listed, self.known, self.last_left_s = True, 0, 0.0
        self.discovery: Discovery

    def await_list(self) -> None:
        self.listed = False

    def list_confirmed(self) -> None:
        self.listed = True

    def list_servers(self, source: str, rows: Iterable[Any], mode: api.RosterMode = api.RosterMode.PARTIAL,
                     shared: bool = False) -> None:
        del source, shared
        entries = [entry for entry, _ in rows]
        if mode is api.RosterMode.COMPLETE:
            self.known = len(entries)
        if any(entry.lifecycle is not api.Lifecycle.IN_SERVICE for entry in entries):
            self.last_left_s = time.time()

    def list_failed(self) -> None:
        """Retries after at most two seconds, as the dispatcher does."""
        delay = timedelta(seconds=self.rng.uniform(0.67, 2.0))
        self.loop.call_later(delay, lambda: self.discovery.ask(True))


class StubWorker:
    """Stub of a listed worker."""

    def close(self) -> None:
        pass


def run_process(port: int, count: int, known: int, first: int) -> None:
    """Runs `count` watches in this process.

    Each line on standard input is answered with a line of figures on standard output. The end of the
    input ends the process.
    """
    loop = Loop(lambda where, error: print(where, error, file=sys.stderr))
    counters: Counter[str] = Counter()
    cores = []
    for seed in range(first, first + count):
        core = StubCore(loop, seed)
        core.discovery = Discovery(
            loop, ("127.0.0.1", port), core, lambda address: StubWorker(),  # type: ignore[arg-type, return-value]
            counters, lambda event, **fields: None, seed)
        core.discovery.revision = known or None
        core.discovery.begin()
        cores.append(core)

    class FiguresRequest:
        def on_ready(self, mask: int) -> None:
            del mask
            if not sys.stdin.readline():
                loop.stopping = True
                return
            print(json.dumps({
                "cpu": time.process_time(), "known": min(core.known for core in cores),
                "heard": sum(core.discovery.heard for core in cores),
                "left": max(core.last_left_s for core in cores),
                "first_left": min(core.last_left_s for core in cores),
                **counters}), flush=True)

    loop.watch(sys.stdin.fileno(), FiguresRequest())
    loop.run()


class WatchProcesses:
    """The processes that run the watches."""

    def __init__(self, peers: StubPeers, watches: int, known: int) -> None:
        self.peers, per_process = peers, watches // PROCESSES
        self.count = per_process * PROCESSES
        self.processes = [subprocess.Popen(
            [sys.executable, "-m", "benchmarks.capacity.watches",
             *map(str, (peers.discovery, per_process, known, n * per_process))],
            cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE) for n in range(PROCESSES)]

    def figures(self) -> list[dict[str, float]]:
        """Returns the current figures of each process."""
        rows = []
        for process in self.processes:
            assert process.stdin is not None and process.stdout is not None
            process.stdin.write(b"\n")
            process.stdin.flush()
            rows.append(json.loads(process.stdout.readline()))
        return rows

    def wait_for(self, what: str, least: float, seconds: float) -> list[dict[str, float]]:
        """Waits until a figure is at least `least` in each process; raises TimeoutError after `seconds`."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.peers.run(0.1)
            rows = self.figures()
            if all(row[what] >= least for row in rows):
                return rows
        raise TimeoutError(f"{what}: not {least} within {seconds} s: {rows}")

    def end(self) -> None:
        """Kills all processes."""
        for process in self.processes:
            process.kill()
            process.wait()
            for pipe in (process.stdin, process.stdout):
                if pipe is not None:
                    pipe.close()


@contextlib.contextmanager
def run_watches(peers: StubPeers, watches: int, known: int) -> Iterator[WatchProcesses]:
    """Runs so many watches in processes for the length of the block."""
    processes = WatchProcesses(peers, watches, known)
    try:
        yield processes
    finally:
        processes.end()


def play(watches: int, servers: int, seed: int) -> Figures:
    """Measures a common start, idle watches, the loss of a zone and an outage of discovery, per watch."""
    peers = StubPeers(0, seed)
    peers.rows = [peers.make_row(n, 9) for n in range(servers)]
    figures: Figures = {}

    def transferred() -> float:
        return float(peers.bytes["discovery to node"] + peers.bytes["discovery from node"])

    started_s = time.monotonic()
    with run_watches(peers, watches, 0) as processes:
        rows = processes.wait_for("heard", watches // PROCESSES, 60)
        figures["start_s"] = time.monotonic() - started_s
        figures["start_cpu_ms"] = sum(row["cpu"] for row in rows) / processes.count * 1e3
        figures["start_kb"] = transferred() / processes.count / 1e3
        bytes_before, cpu_before_s = transferred(), sum(row["cpu"] for row in rows)
        peers.run(6.0)
        rows = processes.figures()
        figures["rest_bytes_a_second"] = (transferred() - bytes_before) / processes.count / 6
        figures["rest_cpu_share"] = (sum(row["cpu"] for row in rows) - cpu_before_s) / processes.count / 6
        zone = [{**row, "state": "DELETED"} for row in peers.rows if row["az"] == "z1"]
        bytes_before, cpu_before_s, published_s = transferred(), sum(row["cpu"] for row in rows), time.time()
        peers.publish(zone)
        rows = processes.wait_for("first_left", published_s, 30)
        figures["zone_delay_s"] = max(row["left"] for row in rows) - published_s
        figures["zone_kb"] = (transferred() - bytes_before) / processes.count / 1e3
        figures["zone_cpu_ms"] = (sum(row["cpu"] for row in rows) - cpu_before_s) / processes.count * 1e3
        # Discovery fails: watches end and calls are reset. It returns after 8 s with a change of the list.
        peers.is_refusing = True
        for connection in list(peers.watches):
            connection.close()
        peers.run(8.0)
        calls = sum(row["discovery_calls"] for row in processes.figures())
        calls -= sum(row["discovery_calls"] for row in rows)
        figures["down_calls_a_second"] = calls / 8 / processes.count
        peers.revision += 1
        peers.pending = [{**peers.rows[0], "state": "DRAINING"}]
        peers.is_refusing, restored_s = False, time.time()
        rows = processes.wait_for("first_left", restored_s, 30)
        figures["back_delay_s"] = max(row["left"] for row in rows) - restored_s
    for sock in peers.listeners:
        sock.close()
    peers.selector.close()
    return figures


if __name__ == "__main__":
    run_process(*map(int, sys.argv[1:]))
