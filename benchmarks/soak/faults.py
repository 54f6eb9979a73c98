"""Seeded, overlapping series of faults: signals, kills, stops, restarts, changes and worker replacements."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from arrowfold.standins.local_system import LocalNode, LocalSystem
from benchmarks.soak.operator import Operator
from benchmarks.soak.workers import WorkerFleet

END_POLL_S = 0.05
END_TIMEOUT_S = 60.0  # longer than the grace time: a process that still runs then counts as hung
STOP_DURATIONS_S = (0.05, 0.3, 1.0)
SERIES_GAPS_S = (0.0, 0.1, 0.5, 1.5, 3.0)  # between successive faults of a series


@dataclass(slots=True)
class FaultEvent:
    """A fault injected into a process; times are in seconds of the event loop's clock."""

    kind: str
    node: str
    process: int
    at_s: float
    ended_s: float | None = None  # when the process had ended or was continued
    exit_code: int | None = None
    is_loading: bool = False  # whether the program had not yet installed its SIGTERM handler

    @property
    def ended_abnormally(self) -> bool:
        """Whether a terminated process ended with an unexpected exit code."""
        allowed = (0, -signal.SIGTERM) if self.is_loading else (0,)
        return self.kind == "terminate" and self.exit_code not in allowed


def handles_termination(process: int) -> bool:
    """Returns whether a process has installed a SIGTERM handler."""
    try:
        status = Path(f"/proc/{process}/status").read_text(encoding="ascii")
    except OSError:
        return False
    caught = next((line for line in status.splitlines() if line.startswith("SigCgt:")), "SigCgt: 0")
    return bool(int(caught.split()[1], 16) & 1 << signal.SIGTERM - 1)


@dataclass
class FaultInjector:
    """Injects series of faults into the system.

    At most one control node is down at a time, which is the tolerated number of losses.
    """

    system: LocalSystem
    operator: Operator
    workers: WorkerFleet
    rng: random.Random
    events: list[FaultEvent] = field(default_factory=list)
    counts_by_kind: Counter[str] = field(default_factory=Counter)
    hung_nodes: list[str] = field(default_factory=list)
    _down: set[str] = field(default_factory=set)

    async def run(self, series: int, length: int) -> None:
        """Runs several series concurrently, each with `length` faults one after the other."""
        await asyncio.gather(*(self._series(length) for _ in range(series)))

    async def _series(self, length: int) -> None:
        kinds: list[tuple[Callable[[], Awaitable[None]], int]] = [
            (self._terminate_edge, 6),
            (self._hang_up, 2),
            (self._kill_edge, 1),
            (self._stop_edge, 1),
            (self._terminate_control, 2),
            (self._kill_control, 1),
            (self._change, 3),
            (self._replace_worker, 1),
        ]
        for _ in range(length):
            fault = self.rng.choices([kind for kind, _ in kinds], [weight for _, weight in kinds])[0]
            # The methods' names are keys of the result files.
            self.counts_by_kind[fault.__name__.strip("_")] += 1
            await fault()
            await asyncio.sleep(self.rng.choice(SERIES_GAPS_S))

    def _choose_node(self, nodes: list[LocalNode], max_down: int) -> LocalNode | None:
        """Returns a running node with no fault in progress, or None if `max_down` nodes already have one."""
        down = sum(node.name in self._down for node in nodes)
        free = [node for node in nodes if node.name not in self._down and node.running]
        return self.rng.choice(free) if free and down < max_down else None

    def _record(self, kind: str, node: LocalNode) -> FaultEvent:
        assert node.process is not None
        event = FaultEvent(kind, node.name, node.process.pid, asyncio.get_running_loop().time())
        self.events.append(event)
        return event

    async def _terminate(self, node: LocalNode) -> None:
        """Sends SIGTERM, sometimes with further signals before the end, and restarts the node on its disk."""
        self._down.add(node.name)
        assert node.process is not None
        event = self._record("terminate", node)
        event.is_loading = not handles_termination(node.process.pid)
        node.process.terminate()
        for _ in range(self.rng.choice((0, 0, 1, 3))):
            await asyncio.sleep(self.rng.random() * 1.5)
            if node.running and not event.is_loading:
                node.process.send_signal(self.rng.choice((signal.SIGTERM, signal.SIGHUP)))
        await self._wait_for_end(node, event)
        await asyncio.sleep(self.rng.choice((0.0, 0.5)))
        self.system.restart(node)
        self._down.discard(node.name)

    async def _wait_for_end(self, node: LocalNode, event: FaultEvent) -> None:
        assert node.process is not None
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                while node.running:
                    await asyncio.sleep(END_POLL_S)
        except TimeoutError:
            self.hung_nodes.append(f"{node.name} ({node.process.pid})")
            self.system.kill(node)
        event.ended_s = asyncio.get_running_loop().time()
        event.exit_code = node.process.poll()

    async def _kill(self, node: LocalNode) -> None:
        self._down.add(node.name)
        event = self._record("kill", node)
        self.system.kill(node)
        event.ended_s = asyncio.get_running_loop().time()
        await asyncio.sleep(self.rng.choice((0.0, 0.5, 2.0)))
        self.system.restart(node)
        self._down.discard(node.name)

    async def _terminate_edge(self) -> None:
        node = self._choose_node(self.system.edges, max(1, len(self.system.edges) // 2))
        if node is not None:
            await self._terminate(node)

    async def _kill_edge(self) -> None:
        node = self._choose_node(self.system.edges, max(1, len(self.system.edges) // 2))
        if node is not None:
            await self._kill(node)

    async def _terminate_control(self) -> None:
        node = self._choose_node(self.system.controls, 1)
        if node is not None:
            await self._terminate(node)

    async def _kill_control(self) -> None:
        node = self._choose_node(self.system.controls, 1)
        if node is not None:
            await self._kill(node)

    async def _stop_edge(self) -> None:
        """Stops the process of an edge with SIGSTOP and continues it after a moment."""
        node = self._choose_node(self.system.edges, max(1, len(self.system.edges) // 2))
        if node is None or node.process is None:
            return
        self._down.add(node.name)
        event = self._record("stop", node)
        node.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.choice(STOP_DURATIONS_S))
        node.process.send_signal(signal.SIGCONT)
        event.ended_s = asyncio.get_running_loop().time()
        self._down.discard(node.name)

    async def _hang_up(self) -> None:
        """Sends SIGHUP to several nodes, including those with a fault in progress."""
        for _ in range(self.rng.choice((1, 3, 10))):
            node = self.rng.choice([*self.system.edges, *self.system.controls])
            # SIGHUP ends an interpreter that is still starting (some 50 ms), before a program can handle it.
            if node.running and node.process is not None and handles_termination(node.process.pid):
                node.process.send_signal(signal.SIGHUP)

    async def _change(self) -> None:
        await self.operator.change()

    async def _replace_worker(self) -> None:
        await self.workers.replace()
