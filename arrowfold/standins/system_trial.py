"""`arrowfold system try`: runs the whole system on loopback and checks what is served.

Requests are sent during configuration changes, the drain of a worker and the loss of the primary.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import aiohttp

from arrowfold.standins.local_system import LocalNode, LocalSystem
from arrowfold.standins.model_workers import StandInWorker, WorkerProfile
from arrowfold.standins.trial_client import Outcome, RequestKind, Tally, TrialClient
from arrowfold.standins.trial_configuration import (
    ADDED,
    CHAT,
    HOST,
    LOOKUP,
    MODEL,
    RECORD,
    REMOVED_TENANT,
    REMOVED_TENANT_KEY,
    TENANT,
    TENANT_KEY,
    trial_configuration,
    trial_route,
    trial_tenants,
)

TRIAL_TIMEOUT_S = 300.0
WAIT_TIMEOUT_S = 90.0  # for one condition; the programs take seconds to start on an overloaded machine
POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 3.0
HEARTBEAT_INTERVAL_S = 0.5
DRAIN_S = 1.0  # drainMs in the settings of local_system
LOG_EVENTS_SHOWN = 40  # last events of each node's log that are printed after a failed trial
LOG_LINES_SHOWN = 15  # last lines of each node's log that are printed after a failed trial
PrintLine = Callable[[str], None]


class TrialError(Exception):
    """A step of the trial failed; the text says what was expected."""


@dataclass
class TrialReport:
    """The outcomes and faults of a trial."""

    tally: Tally = field(default_factory=Tally)
    faults: list[str] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Whether every step succeeded and no answer was wrong."""
        return not self.faults and not self.tally.faults


def run_trial(edges: int, requests: int, print_line: PrintLine) -> TrialReport:
    """Run the trial; every process that it started has ended when this returns."""
    with tempfile.TemporaryDirectory(prefix="arrowfold-try-") as folder:
        system = LocalSystem(Path(folder), edges)
        trial = SystemTrial(system, requests, print_line)
        try:
            asyncio.run(trial.run())
        finally:
            codes = system.terminate_all()
        trial.check_exit_codes(codes)
        trial.print_report()
        if not trial.report.passed:
            _print_logs(system, print_line)
        return trial.report


class SystemTrial:
    """One trial: its steps, in order, and the report that they fill."""

    def __init__(self, system: LocalSystem, requests: int, print_line: PrintLine) -> None:
        self.report = TrialReport()
        self._system = system
        self._requests = requests
        self._print = print_line
        self._version = 0
        self._killed_primary: LocalNode | None = None
        self._workers: list[StandInWorker] = []

    async def run(self) -> None:
        """Run every step; a step that fails ends the run and is added to the report's faults."""
        client = TrialClient(HOST, self.report.tally, TENANT_KEY)
        revoked_client = TrialClient(HOST, self.report.tally, REMOVED_TENANT_KEY)
        try:
            async with asyncio.timeout(TRIAL_TIMEOUT_S), aiohttp.ClientSession() as operator:
                await self._start_system(operator)
                await self._run_phase(client, "at the start", [CHAT, LOOKUP, RECORD])
                await self._add_route(client, operator)
                await self._run_phase(client, "after the change", [CHAT, LOOKUP, RECORD, ADDED])
                await self._remove_tenant(client, revoked_client, operator)
                await self._drain_worker(client)
                await self._kill_primary(client, operator)
                await self._restart_primary(operator)
        except TimeoutError:
            self.report.faults.append(f"the trial was not done after {TRIAL_TIMEOUT_S:.0f} s")
        except TrialError as error:
            self.report.faults.append(str(error))
        finally:
            await client.close()
            await revoked_client.close()
            await asyncio.gather(*(worker.stop() for worker in self._workers))
        self._check_runs()

    def check_exit_codes(self, codes: list[int | None]) -> None:
        """Report each node whose exit code is not 0; `codes` has the edge nodes first."""
        for node, code in zip([*self._system.edges, *self._system.controls], codes, strict=True):
            if code != 0:
                self.report.faults.append(f"{node.name} ended with exit code {code}")

    def print_report(self) -> None:
        """Print the table of outcomes, the number of requests that each worker ran, and every fault."""
        outcomes = list(Outcome)
        self._print(f"{'phase':22} {'kind':14}" + "".join(f"{outcome.value:>10}" for outcome in outcomes))
        counts = self.report.tally.counts
        for phase, kind in dict.fromkeys((phase, kind) for phase, kind, _ in counts):
            row = "".join(f"{counts[phase, kind, outcome]:>10}" for outcome in outcomes)
            self._print(f"{phase:22} {kind:14}{row}")
        for worker in self._workers:
            self._print(f"worker {worker.profile.instance}: {len(worker.runs)} requests run")
        for fault in [*self.report.faults, *self.report.tally.faults]:
            self._print(f"fault: {fault}")
        self._print("passed" if self.report.passed else "failed")

    async def _start_system(self, operator: aiohttp.ClientSession) -> None:
        system = self._system
        for node in [*system.controls, *system.edges]:
            system.start(node)
        self._print(f"{len(system.controls)} control nodes, {len(system.edges)} edge nodes on loopback")
        await self._start_workers()
        first = {**trial_configuration(), "tenants": trial_tenants()}
        await self._change_configuration(operator, "PUT", first)
        self._print(f"configuration {self._version} acknowledged")
        for edge in system.edges:
            await self._wait_until(partial(self._is_ready, operator, edge), f"{edge.name} is not ready")
        self._print("all edge nodes are ready")

    async def _start_workers(self) -> None:
        controls = [self._system.control_address(node) for node in self._system.controls]
        for number in range(5):
            streams = number < 3
            service = "chat" if streams else "lookup"
            models = [MODEL] if streams else []
            profile = WorkerProfile(f"i-{number + 1}", service, f"zone-{number % 3 + 1}", streams, models)
            worker = StandInWorker(
                profile, controls[number % 3 :] + controls[: number % 3], HEARTBEAT_INTERVAL_S
            )
            await worker.start(self._system.worker_host)
            self._workers.append(worker)
        self._print(f"{len(self._workers)} stand-in workers")

    async def _run_phase(self, client: TrialClient, phase: str, kinds: list[RequestKind]) -> None:
        edges = self._edge_addresses()
        await client.send_many(phase, kinds, edges, self._requests)
        served = self.report.tally.count(phase, Outcome.SERVED)
        if served < self._requests:
            self.report.faults.append(f"{phase}: {served} of {self._requests} requests served")

    def _edge_addresses(self) -> list[str]:
        return [self._system.front_address(edge) for edge in self._system.edges]

    async def _add_route(self, client: TrialClient, operator: aiohttp.ClientSession) -> None:
        added = trial_route("added", ADDED, "idempotent")
        await self._change_configuration(operator, "PATCH", {"upsert": {"routes": [added]}})
        for edge in self._edge_addresses():
            await self._wait_until(partial(_serves, client, ADDED, edge), f"{edge} lacks the added route")
        self._print(f"configuration {self._version} acknowledged: a route added, served by every edge node")

    async def _remove_tenant(
        self, client: TrialClient, revoked_client: TrialClient, operator: aiohttp.ClientSession
    ) -> None:
        for edge in self._edge_addresses():
            await self._wait_until(
                partial(_serves, revoked_client, LOOKUP, edge), f"{edge} does not know a key"
            )
        await self._change_configuration(operator, "PATCH", {"remove": {"tenants": [REMOVED_TENANT]}})
        for edge in self._edge_addresses():
            await self._wait_until(
                partial(_refuses_key, revoked_client, edge), f"{edge} serves a key taken away"
            )
        self._print(f"configuration {self._version} acknowledged: a key taken away, 401 at every edge node")
        await self._run_phase(client, "a key taken away", [CHAT, LOOKUP, RECORD])

    async def _drain_worker(self, client: TrialClient) -> None:
        worker = self._workers[0]
        phase = asyncio.create_task(self._run_phase(client, "while one drains", [CHAT, LOOKUP, RECORD]))
        await worker.drain()
        assert worker.drained_at is not None
        await phase
        await asyncio.sleep(DRAIN_S)
        runs_before = len(worker.runs)
        await self._run_phase(client, "after the drain", [CHAT, LOOKUP, RECORD])
        late_runs = [run for run in worker.runs if run.started_at > worker.drained_at + DRAIN_S]
        if late_runs or len(worker.runs) > runs_before:
            self.report.faults.append(f"{len(worker.runs) - runs_before} requests reached a drained worker")
        await worker.leave()
        self._print(f"worker {worker.profile.instance} drained and left")

    async def _kill_primary(self, client: TrialClient, operator: aiohttp.ClientSession) -> None:
        self._killed_primary = self._system.primary()
        self._system.kill(self._killed_primary)
        self._print(f"{self._killed_primary.name}, the primary, killed")
        await self._run_phase(client, "the primary lost", [CHAT, LOOKUP, RECORD, ADDED])
        await self._change_configuration(operator, "PATCH", {"remove": {"routes": ["added"]}})
        for edge in self._edge_addresses():
            await self._wait_until(
                partial(_has_no_route, client, ADDED, edge), f"{edge} keeps a removed route"
            )
        self._print(f"configuration {self._version} acknowledged by the others, in force at every edge node")
        await self._run_phase(client, "after that change", [CHAT, LOOKUP, RECORD])

    async def _restart_primary(self, operator: aiohttp.ClientSession) -> None:
        assert self._killed_primary is not None
        self._system.restart(self._killed_primary)
        self._print(f"{self._killed_primary.name} started again on its disk")
        version = self._version
        for node in self._system.controls:
            address = self._system.control_address(node)
            await self._wait_until(partial(_has_version, operator, address, version), f"{address}: read back")
        self._print(f"configuration {self._version} read back from every control node")

    async def _change_configuration(
        self, operator: aiohttp.ClientSession, method: str, change: dict[str, Any]
    ) -> None:
        """Send a configuration change to the control nodes in turn until one acknowledges it.

        Raises TrialError if it is refused or not acknowledged in time.
        """
        headers = {"If-Match": str(self._version)}
        body = {"version": self._version + 2, **change}

        async def acknowledged() -> bool:
            for node in self._system.controls:
                url = f"http://{self._system.control_address(node)}/configuration"
                status, text = await _call(operator, method, url, headers, body)
                if status == 200:
                    return True
                if 400 <= status < 500 and status not in (408, 429):
                    raise TrialError(f"{method} {body['version']}: {status} {text}")
            return False

        await self._wait_until(acknowledged, f"configuration {body['version']} is not acknowledged")
        self._version = body["version"]

    async def _is_ready(self, operator: aiohttp.ClientSession, edge: LocalNode) -> bool:
        url = f"http://{self._system.readiness_address(edge)}/readyz"
        return (await _call(operator, "GET", url))[0] == 200

    async def _wait_until(self, condition: Callable[[], Awaitable[bool]], failure: str) -> None:
        """Poll the condition until it is true; raises TrialError with the text `failure` after a timeout."""
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while not await condition():
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise TrialError(f"{failure} after {WAIT_TIMEOUT_S:.0f} s") from None

    def _check_runs(self) -> None:
        attempts = [
            run.attempt for worker in self._workers for run in worker.runs if run.path.startswith(RECORD.path)
        ]
        repeated = len(attempts) - len(set(attempts))
        if repeated:
            self.report.faults.append(f"{repeated} requests that may run once ran again")
        self._check_tenants()

    def _check_tenants(self) -> None:
        runs = [run for worker in self._workers for run in worker.runs]
        leaked_keys = sum(run.had_api_key for run in runs)
        wrong_tenants = sum(run.tenant not in (TENANT, REMOVED_TENANT) for run in runs)
        if leaked_keys:
            self.report.faults.append(f"{leaked_keys} requests brought a key to a worker")
        if wrong_tenants:
            self.report.faults.append(f"{wrong_tenants} requests did not name the tenant of their key")


async def _call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    headers: dict[str, str] | None = None,
    body: dict[str, Any] | None = None,
) -> tuple[int, str]:
    """Returns the status and the text of an answer; without an answer, status 0 and the error's text."""
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with session.request(method, url, headers=headers, json=body, timeout=timeout) as answer:
            return answer.status, await answer.text()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return 0, str(error)


async def _serves(client: TrialClient, kind: RequestKind, edge: str) -> bool:
    return await client.send(kind, [edge]) is Outcome.SERVED


async def _has_no_route(client: TrialClient, kind: RequestKind, edge: str) -> bool:
    return await client.send(kind, [edge]) is Outcome.NO_ROUTE


async def _refuses_key(client: TrialClient, edge: str) -> bool:
    return await client.send(LOOKUP, [edge]) is Outcome.NO_KEY


async def _has_version(operator: aiohttp.ClientSession, address: str, version: int) -> bool:
    status, text = await _call(operator, "GET", f"http://{address}/configuration")
    return status == 200 and f'"version":{version}' in text.replace(" ", "")


def _print_logs(system: LocalSystem, print_line: PrintLine) -> None:
    for node in [*system.controls, *system.edges]:
        lines = system.log_file(node).read_text(encoding="utf-8", errors="replace").splitlines()
        events = [line for line in lines if "event=" in line]
        for line in [*events[-LOG_EVENTS_SHOWN:], *lines[-LOG_LINES_SHOWN:]]:
            print_line(f"{node.name}: {line}")
