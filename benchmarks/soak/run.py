"""One soak: starts the system, runs clients and faults concurrently, and checks the outcome."""

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
from benchmarks.soak.faults import FaultInjector
from benchmarks.soak.judge import RequestChecker
from benchmarks.soak.operator import Operator
from benchmarks.soak.stalls import StallMonitor
from benchmarks.soak.workers import DEFAULT_DOUBLED_SHARE, WorkerFleet

READY_TIMEOUT_S = 120.0  # many processes start at the same time
CLIENT_END_S = 30.0
POLL_S = 0.1


@dataclass(frozen=True)
class SoakPlan:
    """The size of a soak: `series` concurrent series of `length` faults each.

    `doubled_share`: of the answers that are followed by a second one. `checks_timing` also checks
    guarantees about durations, which a busy machine can violate.
    """

    seed: int
    edges: int = 3
    workers: int = 12
    clients: int = 60
    series: int = 3
    length: int = 5
    doubled_share: float = DEFAULT_DOUBLED_SHARE
    checks_timing: bool = True


@dataclass
class SoakReport:
    """The faults found by a soak, and its figures."""

    seed: int
    faults: list[str] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)


def run_soak(folder: Path, plan: SoakPlan, checkout: Path | None = None) -> SoakReport:
    """Runs one soak; all processes that it started have ended when it returns.

    `checkout`: the folder of another version of the programs.
    """
    system = LocalSystem(folder, plan.edges, "INFO", checkout)
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
        self._rng = random.Random(plan.seed)
        self._requests: list[SentRequest] = []
        self._workers = WorkerFleet(system, self._rng, plan.doubled_share)
        self._stalls = StallMonitor()

    async def run(self) -> None:
        """Starts the system, injects faults, waits for recovery and checks the outcome."""
        for node in [*self._system.controls, *self._system.edges]:
            self._system.start(node)
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            operator = Operator(self._system, self._rng, session)
            try:
                await self._workers.start(self._plan.workers)
                await operator.send_initial()
                await self._wait_until_ready(session)
                injector = FaultInjector(self._system, operator, self._workers, self._rng)
                await self._run_faults(injector)
                await self._wait_until_ready(session)
                await self._check_final_version(operator)
            finally:
                await self._workers.stop()
        self._check_outcome(injector, operator)

    async def _run_faults(self, injector: FaultInjector) -> None:
        clients = [
            SoakClient(self._system, random.Random(self._rng.random()), self._requests, number % 2 == 0)
            for number in range(self._plan.clients)
        ]
        running = [asyncio.create_task(client.run()) for client in clients]
        monitor = asyncio.create_task(self._stalls.run())
        await injector.run(self._plan.series, self._plan.length)
        for client in clients:
            client.stopping.set()
        await asyncio.wait(running, timeout=CLIENT_END_S)
        monitor.cancel()
        for task in running:
            task.cancel()
        for outcome in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(outcome, Exception):
                self._report.faults.append(f"a client ended: {outcome!r}")

    async def _wait_until_ready(self, session: aiohttp.ClientSession) -> None:
        """Waits until every edge reports that it is ready."""
        for edge in self._system.edges:
            url = f"http://{self._system.readiness_address(edge)}/readyz"
            await self._wait_until(lambda url=url: _is_ready(session, url), f"{edge.name} is not ready")

    async def _wait_until(self, condition: Callable[[], Any], problem: str) -> None:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await condition():
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            self._report.faults.append(f"{problem} after {READY_TIMEOUT_S:.0f} s")

    async def _check_final_version(self, operator: Operator) -> None:
        """Checks that every control node returns the newest acknowledged version."""
        for node in self._system.controls:
            address = self._system.control_address(node)

            async def is_newest(address: str = address) -> bool:
                found = await operator.read(address)
                return found is not None and found["version"] == operator.acknowledged

            await self._wait_until(is_newest, f"{node.name} does not return version {operator.acknowledged}")

    def _check_outcome(self, injector: FaultInjector, operator: Operator) -> None:
        checker = RequestChecker(
            injector.events,
            self._workers.run_counts(),
            self._workers.answers,
            self._plan.checks_timing,
            self._stalls,
        )
        requests = [request for request in self._requests if request.ended_s is not None]
        result = checker.check(requests)
        self._report.faults += [*result.faults, *operator.faults]
        self._report.faults += [f"{name} did not end" for name in injector.hung_nodes]
        for event in injector.events:
            if event.ended_abnormally:
                self._report.faults.append(f"{event.node} ({event.process}) ended with {event.exit_code}")
        termination_durations_s = [
            event.ended_s - event.at_s
            for event in injector.events
            if event.kind == "terminate" and event.ended_s is not None
        ]
        self._report.figures |= {
            "requests": len(requests),
            "on kept connections": sum(not request.first_on_connection for request in requests),
            "sent late to a process that ends": result.late_sends,
            "outcomes": dict(sorted(result.counts.items())),
            "faults": dict(sorted(injector.counts_by_kind.items())),
            "changes acknowledged": operator.changes,
            "streams preempted": self._workers.preemptions(),
            "answers doubled": self._workers.doubled_answers(),
            "longest stall of the clients, s": round(self._stalls.longest_s(), 2),
            "longest planned end, s": round(max(termination_durations_s, default=0.0), 2),
        }


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url, timeout=aiohttp.ClientTimeout(total=2.0)) as answer:
            return answer.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False
