"""Hollow nodes: many watches on one discovery, each the program's own `Discovery`, sharing a few processes.

What a node does with a list beyond reading it is left out here; `module` and `node` have that.
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
from benchmarks.capacity.hollow import Field
from benchmarks.capacity.module import shipped
from benchmarks.capacity.results import ROOT, Figures

AN_HOUR = 3600
PROCESSES = 4


class Listed:
    """Stands for the core: it notes when each server was last told to drain, or to have gone."""

    def __init__(self, loop: Loop, seed: int) -> None:
        self.settings, self.loop, self.chance = shipped(roster_on_request=True), loop, Random(seed)
        self.listed, self.known, self.left = True, 0, 0.0
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
            self.left = time.time()

    def list_failed(self) -> None:
        """The module calls again after a pause of at most two seconds."""
        pause = timedelta(seconds=self.chance.uniform(0.67, 2.0))
        self.loop.call_later(pause, lambda: self.discovery.ask(True))


class Nothing:
    def close(self) -> None:
        pass


def hollow(port: int, count: int, known: int, first: int) -> None:
    """So many watches in this process; a line on standard input brings one of figures on standard output."""
    loop = Loop(lambda where, error: print(where, error, file=sys.stderr))
    counters: Counter[str] = Counter()
    cores = []
    for seed in range(first, first + count):
        core = Listed(loop, seed)
        core.discovery = Discovery(
            loop, ("127.0.0.1", port), core, lambda address: Nothing(),  # type: ignore[arg-type, return-value]
            counters, lambda event, **fields: None, seed)
        core.discovery.revision = known or None
        core.discovery.begin()
        cores.append(core)

    class Asked:
        def on_ready(self, mask: int) -> None:
            del mask
            if not sys.stdin.readline():
                loop.stopping = True
                return
            print(json.dumps({
                "cpu": time.process_time(), "known": min(core.known for core in cores),
                "heard": sum(core.discovery.heard for core in cores),
                "left": max(core.left for core in cores), "first_left": min(core.left for core in cores),
                **counters}), flush=True)

    loop.watch(sys.stdin.fileno(), Asked())
    loop.run()


class Herd:
    """The processes of the hollow nodes."""

    def __init__(self, field: Field, watches: int, known: int) -> None:
        self.field, each = field, watches // PROCESSES
        self.count = each * PROCESSES
        self.processes = [subprocess.Popen(
            [sys.executable, "-m", "benchmarks.capacity.watches",
             *map(str, (field.discovery, each, known, n * each))],
            cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE) for n in range(PROCESSES)]

    def ask(self) -> list[dict[str, float]]:
        rows = []
        for process in self.processes:
            assert process.stdin is not None and process.stdout is not None
            process.stdin.write(b"\n")
            process.stdin.flush()
            rows.append(json.loads(process.stdout.readline()))
        return rows

    def all(self, what: str, least: float, seconds: float) -> list[dict[str, float]]:
        """Go on until each process's figure is that large."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.field.run(0.1)
            rows = self.ask()
            if all(row[what] >= least for row in rows):
                return rows
        raise TimeoutError(f"{what}: not {least} within {seconds} s: {rows}")

    def end(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
            for pipe in (process.stdin, process.stdout):
                if pipe is not None:
                    pipe.close()


@contextlib.contextmanager
def herd(field: Field, watches: int, known: int) -> Iterator[Herd]:
    some = Herd(field, watches, known)
    try:
        yield some
    finally:
        some.end()


def play(watches: int, servers: int, seed: int) -> Figures:
    """All start at once, stay, lose a zone, and lose discovery; per watch, over all of them."""
    field = Field(0, seed)
    field.rows = [field._row(n, 9) for n in range(servers)]
    figures: Figures = {}

    def passed() -> float:
        return float(field.bytes["discovery to node"] + field.bytes["discovery from node"])

    begun = time.monotonic()
    with herd(field, watches, 0) as some:
        rows = some.all("heard", watches // PROCESSES, 60)
        figures["start_s"] = time.monotonic() - begun
        figures["start_cpu_ms"] = sum(row["cpu"] for row in rows) / some.count * 1e3
        figures["start_kb"] = passed() / some.count / 1e3
        rest, before = passed(), sum(row["cpu"] for row in rows)
        field.run(6.0)
        rows = some.ask()
        figures["rest_bytes_a_second"] = (passed() - rest) / some.count / 6
        figures["rest_cpu_share"] = (sum(row["cpu"] for row in rows) - before) / some.count / 6
        zone = [{**row, "state": "DELETED"} for row in field.rows if row["az"] == "z1"]
        rest, before, told = passed(), sum(row["cpu"] for row in rows), time.time()
        field.tell(zone)
        rows = some.all("first_left", told, 30)
        figures["zone_delay_s"] = max(row["left"] for row in rows) - told
        figures["zone_kb"] = (passed() - rest) / some.count / 1e3
        figures["zone_cpu_ms"] = (sum(row["cpu"] for row in rows) - before) / some.count * 1e3
        # Discovery goes down: watches end, calls are reset; it is back 8 s later, with a change.
        field.refusing = True
        for link in list(field.watches):
            link.close()
        field.run(8.0)
        calls = sum(row["discovery_calls"] for row in some.ask())
        calls -= sum(row["discovery_calls"] for row in rows)
        figures["down_calls_a_second"] = calls / 8 / some.count
        field.revision += 1
        field.pending = [{**field.rows[0], "state": "DRAINING"}]
        field.refusing, back = False, time.time()
        rows = some.all("first_left", back, 30)
        figures["back_delay_s"] = max(row["left"] for row in rows) - back
    for sock in field.listeners:
        sock.close()
    field.selector.close()
    return figures


if __name__ == "__main__":
    hollow(*map(int, sys.argv[1:]))
