"""Test environment for the scaling duty: an in-memory platform and two control nodes, in virtual time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any, cast

from arrowfold.controlplane.platform_client import DutyAnswer, DutyCall
from arrowfold.controlplane.role_names import scaling_role
from arrowfold.controlplane.scaling_service import ScalingService
from arrowfold.internal.messages import ClassDemand, DemandReport, NodeIdentity, WorkerRecord
from arrowfold.node.logs import RateLimitedLog
from arrowfold.replication.proposals import ReplicaPort
from arrowfold.replication.roles import RoleAuthority
from arrowfold.replication.state import ConfigurationStep, ControlState, RoleGrant, apply_entry
from arrowfold.scaling.options import ScalingOptions

SERVICE = "llm"
ZONES = ("z0", "z1")
SLOTS = 10
HANDOVER_WAIT_S = 0.2
REPORT_INTERVAL_S = 0.5
EDGE = NodeIdentity("edge", "e", "z0", "e:1")
OPTIONS = ScalingOptions(orders=True, floor_share=0.0, target_share=0.5, known_s=3.0, rise_s=6.0, fall_s=20.0)


def document(min_count: int = 2, max_count: int = 6, **service_fields: Any) -> dict[str, Any]:
    """Returns a configuration of one service with scaling."""
    scaling = {"minCount": min_count, "maxCount": max_count, "bootTimeS": 8.0}
    return {"version": 1, "routes": [], "services": [{"name": SERVICE, "scaling": scaling} | service_fields]}


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A call as received by the platform, its time and its outcome."""

    at_s: float
    holder: str
    token: int
    zone: str
    count: int
    answer: DutyAnswer


@dataclass
class MemoryPlatform:
    """Accepts calls unless they are fenced; a test can set other outcomes in `answers`."""

    clock: Callable[[], float]
    counts: dict[str, int] = field(default_factory=dict)
    calls: list[ReceivedCall] = field(default_factory=list)
    answers: list[DutyAnswer] = field(default_factory=list)  # outcomes of the next calls
    answer_s: float = 0.01
    in_progress: int = 0
    max_in_progress: int = 0
    _highest_tokens: dict[str, int] = field(default_factory=dict)

    async def send(self, call: DutyCall) -> DutyAnswer:
        assert call.path == "/scaling"
        body = json.loads(call.body)
        assert body["targetService"] == SERVICE
        zone, count = body["zone"], body["desiredCount"]
        answer = self._answer(call, zone)
        if answer in (DutyAnswer.ACCEPTED, DutyAnswer.UNANSWERED):
            self.counts[zone] = count
        self.calls.append(ReceivedCall(self.clock(), call.holder, call.token, zone, count, answer))
        self.in_progress += 1
        self.max_in_progress = max(self.max_in_progress, self.in_progress)
        await asyncio.sleep(self.answer_s)
        self.in_progress -= 1
        return answer

    def _answer(self, call: DutyCall, zone: str) -> DutyAnswer:
        if call.token < self._highest_tokens.get(zone, 0):
            return DutyAnswer.FENCED
        self._highest_tokens[zone] = call.token
        return self.answers.pop(0) if self.answers else DutyAnswer.ACCEPTED

    def counts_of(self, zone: str) -> list[int]:
        """Returns the counts that were ordered in a zone."""
        return [call.count for call in self.calls if call.zone == zone]


@dataclass
class MemoryReplica:
    """The replicated state as one member sees it."""

    member: str
    environment: ScalingEnvironment
    is_disconnected: bool = False
    _last: ControlState = field(default_factory=ControlState)

    @property
    def committed(self) -> ControlState:
        if not self.is_disconnected:
            self._last = self.environment.state
        return self._last

    def is_current(self) -> bool:
        return not self.is_disconnected

    def authority_until(self) -> float:
        return 0.0 if self.is_disconnected else self.environment.clock() + 1.0


class ScalingEnvironment:
    """Two control nodes, a platform, the workers of two zones, and an edge that reports a load."""

    def __init__(self, workers: int = 4, configuration: dict[str, Any] | None = None, rate_s: float = 50.0):
        """Creates the environment.

        `workers`: in each zone; `rate_s`: duty calls per second that the platform accepts.
        """
        self.clock = asyncio.get_running_loop().time
        self.state = ControlState()
        self.platform = MemoryPlatform(self.clock, dict.fromkeys(ZONES, workers))
        self.records = {f"{zone}-{index}": _record(zone, index) for zone in ZONES for index in range(workers)}
        self.concurrent_requests = 0.0  # over both zones
        self.models: tuple[str, ...] = ("m0",)
        self.sends_reports = True
        self.configure(configuration or document())
        self.nodes: dict[str, ScalingService] = {}
        self.replicas: dict[str, MemoryReplica] = {}
        self._rate_s = rate_s
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> ScalingEnvironment:
        for member in ("a", "b"):
            self._start(member)
        self.grant_duties("a")
        self._tasks.append(asyncio.create_task(self._report_demand()))
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def configure(self, value: dict[str, Any]) -> None:
        """Commits a configuration."""
        version = self.state.configuration_version + 1
        text = json.dumps(value | {"version": version}).encode()
        self.state = apply_entry(self.state, ConfigurationStep(version, str(version).encode(), text))

    def grant_duties(self, member: str) -> None:
        """Grants the duties of all zones to a member."""
        for zone in ZONES:
            self.state = apply_entry(self.state, RoleGrant(scaling_role(SERVICE, zone), member))

    def set_state(self, worker: str, state: str) -> None:
        """Changes the state of a worker."""
        self.records[worker] = replace(self.records[worker], state=state)

    def start_worker(self, zone: str, index: int) -> None:
        """Adds an available worker."""
        self.records[f"{zone}-{index}"] = _record(zone, index)

    async def serve_load(self, concurrent_requests: float, duration_s: float) -> None:
        """Keeps `concurrent_requests` running for `duration_s` seconds."""
        self.concurrent_requests = concurrent_requests
        await asyncio.sleep(duration_s)

    def _start(self, member: str) -> None:
        replica = self.replicas[member] = MemoryReplica(member, self)
        port = cast(ReplicaPort, replica)
        authority = RoleAuthority(port, self.clock, replica.authority_until, HANDOVER_WAIT_S)
        node = self.nodes[member] = ScalingService(
            port,
            authority,
            self._workers,
            self.platform,
            f"node-{member}",
            self._rate_s,
            self.clock,
            RateLimitedLog("stage", self.clock),
            OPTIONS,
        )
        self._tasks.append(asyncio.create_task(self._observe(authority)))
        self._tasks.append(asyncio.create_task(node.run()))

    def _workers(self) -> Iterable[WorkerRecord]:
        return tuple(self.records.values())

    async def _observe(self, authority: RoleAuthority) -> None:
        while True:
            authority.observe()
            await asyncio.sleep(0.05)

    async def _report_demand(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            if self.sends_reports:
                report = DemandReport(EDGE, REPORT_INTERVAL_S, tuple(self._demand()))
                for node in self.nodes.values():
                    node.take_demand(report)

    def _demand(self) -> Iterator[ClassDemand]:
        for model in self.models:
            workload_s = self.concurrent_requests * REPORT_INTERVAL_S / len(self.models)
            yield ClassDemand(SERVICE, model, "", workload_s, workload_s)


def _record(zone: str, index: int) -> WorkerRecord:
    return WorkerRecord(f"{zone}-{index}", SERVICE, f"{zone}-{index}:1", zone, "v1", SLOTS, "available")
