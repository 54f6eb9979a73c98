"""One soak: start the system, let clients and faults work side by side, and judge what came of it."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from arrowfold.standins.local_system import LocalSystem
from benchmarks.soak.clients import SentRequest, SoakClient
from benchmarks.soak.faults import Faults
from benchmarks.soak.judge import Judge
from benchmarks.soak.operator import Operator
from benchmarks.soak.workers import WorkerFleet

READY_TIMEOUT_S = 120.0  # for many processes that start at once
CLIENT_END_S = 30.0
POLL_S = 0.1


@dataclass(frozen=True)
class SoakPlan:
    """How large a soak is. `series` of `length` faults each run side by side."""

    seed: int
    edges: int = 3
    workers: int = 12
    clients: int = 60
    series: int = 3
    length: int = 5
    holds_times: bool = True


@dataclass
class SoakReport:
    """What a soak saw."""

    seed: int
    faults: list[str] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)


def play(folder: Path, plan: SoakPlan) -> SoakReport:
    """Run one soak; every process that it starts has ended when it returns."""
    system = LocalSystem(folder, plan.edges, "INFO")
    report = SoakReport(plan.seed)
    started = time.monotonic()
    try:
        asyncio.run(_Soak(system, plan, report).run())
    finally:
        codes = system.terminate_all()
    for node, code in zip([*system.edges, *system.controls], codes, strict=True):
        if code != 0:
            report.faults.append(f"{node.name} ended with exit code {code}")
    report.figures["seconds"] = round(time.monotonic() - started, 1)
    return report


class _Soak:
    """The steps of one soak."""

    def __init__(self, system: LocalSystem, plan: SoakPlan, report: SoakReport) -> None:
        self._system = system
        self._plan = plan
        self._report = report
        self._draw = random.Random(plan.seed)
        self._requests: list[SentRequest] = []
        self._workers = WorkerFleet(system, self._draw)

    async def run(self) -> None:
        """Start, strike, settle, judge."""
        for node in [*self._system.controls, *self._system.edges]:
            self._system.start(node)
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            operator = Operator(self._system, self._draw, session)
            try:
                await self._workers.start(self._plan.workers)
                await operator.first()
                await self._until_all_serve(session)
                faults = Faults(self._system, operator, self._workers, self._draw)
                await self._strike(faults)
                await self._until_all_serve(session)
                await self._read_back(operator)
            finally:
                await self._workers.stop()
        self._judge(faults, operator)

    async def _strike(self, faults: Faults) -> None:
        clients = [
            SoakClient(self._system, random.Random(self._draw.random()), self._requests, number % 2 == 0)
            for number in range(self._plan.clients)
        ]
        running = [asyncio.create_task(client.run()) for client in clients]
        await faults.play(self._plan.series, self._plan.length)
        for client in clients:
            client.stopping.set()
        await asyncio.wait(running, timeout=CLIENT_END_S)
        for task in running:
            task.cancel()
        for outcome in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(outcome, Exception):
                self._report.faults.append(f"a client ended: {outcome!r}")

    async def _until_all_serve(self, session: aiohttp.ClientSession) -> None:
        """Every edge says that it is ready."""
        for edge in self._system.edges:
            url = f"http://{self._system.readiness_address(edge)}/readyz"
            await self._until(lambda url=url: _is_ready(session, url), f"{edge.name} is not ready")

    async def _until(self, holds: Callable[[], Any], otherwise: str) -> None:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await holds():
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            self._report.faults.append(f"{otherwise} after {READY_TIMEOUT_S:.0f} s")

    async def _read_back(self, operator: Operator) -> None:
        """Every control node tells the newest version that was acknowledged."""
        for node in self._system.controls:
            address = self._system.control_address(node)

            async def is_newest(address: str = address) -> bool:
                found = await operator.read(address)
                return found is not None and found["version"] == operator.acknowledged

            await self._until(is_newest, f"{node.name} does not tell version {operator.acknowledged}")

    def _judge(self, faults: Faults, operator: Operator) -> None:
        judge = Judge(faults.strikes, self._workers.run_counts(), self._plan.holds_times)
        requests = [request for request in self._requests if request.ended_s is not None]
        verdict = judge.judge(requests)
        self._report.faults += [*verdict.faults, *operator.faults]
        self._report.faults += [f"{name} did not end" for name in faults.never_ended]
        for strike in faults.strikes:
            if strike.ended_badly:
                self._report.faults.append(f"{strike.node} ({strike.process}) ended with {strike.exit_code}")
        ends = [s.ended_s - s.at_s for s in faults.strikes if s.kind == "terminate" and s.ended_s is not None]
        self._report.figures |= {
            "requests": len(requests),
            "on kept connections": sum(not request.first_on_connection for request in requests),
            "sent late to a process that ends": verdict.late_sends,
            "outcomes": dict(sorted(verdict.counts.items())),
            "faults": dict(sorted(faults.done.items())),
            "changes acknowledged": operator.changes,
            "longest planned end, s": round(max(ends, default=0.0), 2),
        }


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url, timeout=aiohttp.ClientTimeout(total=2.0)) as answer:
            return answer.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False
