"""Faults in series that overlap: signals, kills, stops, restarts, changes and leaving workers, by a seed."""

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
LONGEST_END_S = 60.0  # beyond the grace time: a process that has not ended by then never will
STOPS_S = (0.05, 0.3, 1.0)
SERIES_GAPS_S = (0.0, 0.1, 0.5, 1.5, 3.0)  # between the faults of a series


@dataclass(slots=True)
class Strike:
    """Something that was done to a process; times are seconds of the event loop's clock."""

    kind: str
    node: str
    process: int
    at_s: float
    ended_s: float | None = None  # when its process had ended, or was continued
    exit_code: int | None = None
    loading: bool = False  # the interpreter had not come as far as to handle SIGTERM

    @property
    def ended_badly(self) -> bool:
        """Whether a planned end was none in order."""
        allowed = (0, -signal.SIGTERM) if self.loading else (0,)
        return self.kind == "terminate" and self.exit_code not in allowed


def handles_termination(process: int) -> bool:
    """Whether a process has come as far as to handle SIGTERM."""
    try:
        status = Path(f"/proc/{process}/status").read_text(encoding="ascii")
    except OSError:
        return False
    caught = next((line for line in status.splitlines() if line.startswith("SigCgt:")), "SigCgt: 0")
    return bool(int(caught.split()[1], 16) & 1 << signal.SIGTERM - 1)


@dataclass
class Faults:
    """Plays series of faults; at most one control node is down at a time, as the losses to be borne ask."""

    system: LocalSystem
    operator: Operator
    workers: WorkerFleet
    draw: random.Random
    strikes: list[Strike] = field(default_factory=list)
    done: Counter[str] = field(default_factory=Counter)
    never_ended: list[str] = field(default_factory=list)
    _down: set[str] = field(default_factory=set)

    async def play(self, series: int, length: int) -> None:
        """Several series side by side, each of several faults one after the other."""
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
            fault = self.draw.choices([kind for kind, _ in kinds], [weight for _, weight in kinds])[0]
            self.done[fault.__name__.strip("_")] += 1
            await fault()
            await asyncio.sleep(self.draw.choice(SERIES_GAPS_S))

    def _free(self, nodes: list[LocalNode], most_down: int) -> LocalNode | None:
        """A running node that no other series has in hand."""
        down = sum(node.name in self._down for node in nodes)
        free = [node for node in nodes if node.name not in self._down and node.running]
        return self.draw.choice(free) if free and down < most_down else None

    def _note(self, kind: str, node: LocalNode) -> Strike:
        assert node.process is not None
        strike = Strike(kind, node.name, node.process.pid, asyncio.get_running_loop().time())
        self.strikes.append(strike)
        return strike

    async def _terminate(self, node: LocalNode) -> None:
        """SIGTERM, at times with further signals while it ends; then a start on the same disk."""
        self._down.add(node.name)
        assert node.process is not None
        strike = self._note("terminate", node)
        strike.loading = not handles_termination(node.process.pid)
        node.process.terminate()
        for _ in range(self.draw.choice((0, 0, 1, 3))):
            await asyncio.sleep(self.draw.random() * 1.5)
            if node.running and not strike.loading:
                node.process.send_signal(self.draw.choice((signal.SIGTERM, signal.SIGHUP)))
        await self._until_ended(node, strike)
        await asyncio.sleep(self.draw.choice((0.0, 0.5)))
        self.system.restart(node)
        self._down.discard(node.name)

    async def _until_ended(self, node: LocalNode, strike: Strike) -> None:
        assert node.process is not None
        try:
            async with asyncio.timeout(LONGEST_END_S):
                while node.running:
                    await asyncio.sleep(END_POLL_S)
        except TimeoutError:
            self.never_ended.append(f"{node.name} ({node.process.pid})")
            self.system.kill(node)
        strike.ended_s = asyncio.get_running_loop().time()
        strike.exit_code = node.process.poll()

    async def _kill(self, node: LocalNode) -> None:
        self._down.add(node.name)
        strike = self._note("kill", node)
        self.system.kill(node)
        strike.ended_s = asyncio.get_running_loop().time()
        await asyncio.sleep(self.draw.choice((0.0, 0.5, 2.0)))
        self.system.restart(node)
        self._down.discard(node.name)

    async def _terminate_edge(self) -> None:
        node = self._free(self.system.edges, max(1, len(self.system.edges) // 2))
        if node is not None:
            await self._terminate(node)

    async def _kill_edge(self) -> None:
        node = self._free(self.system.edges, max(1, len(self.system.edges) // 2))
        if node is not None:
            await self._kill(node)

    async def _terminate_control(self) -> None:
        node = self._free(self.system.controls, 1)
        if node is not None:
            await self._terminate(node)

    async def _kill_control(self) -> None:
        node = self._free(self.system.controls, 1)
        if node is not None:
            await self._kill(node)

    async def _stop_edge(self) -> None:
        """Its process stands still for a moment."""
        node = self._free(self.system.edges, max(1, len(self.system.edges) // 2))
        if node is None or node.process is None:
            return
        self._down.add(node.name)
        strike = self._note("stop", node)
        node.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.draw.choice(STOPS_S))
        node.process.send_signal(signal.SIGCONT)
        strike.ended_s = asyncio.get_running_loop().time()
        self._down.discard(node.name)

    async def _hang_up(self) -> None:
        """SIGHUP for several nodes, whatever else happens to them."""
        for _ in range(self.draw.choice((1, 3, 10))):
            node = self.draw.choice([*self.system.edges, *self.system.controls])
            # While the interpreter itself starts, some 50 ms, SIGHUP ends it: no program can help that.
            if node.running and node.process is not None and handles_termination(node.process.pid):
                node.process.send_signal(signal.SIGHUP)

    async def _change(self) -> None:
        await self.operator.change()

    async def _replace_worker(self) -> None:
        await self.workers.replace()
