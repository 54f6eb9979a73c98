"""Calls of workers: any control node accepts heartbeats, departure notices are committed first."""

from __future__ import annotations

from collections.abc import Callable

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from arrowfold.controlplane.primary_calls import PrimaryCalls
from arrowfold.internal.messages import (
    Acknowledgement,
    CallFailed,
    HeldModel,
    SubmitDeparture,
    WorkerRecord,
)
from arrowfold.node.result_codes import ResultCode
from arrowfold.registry.workers import AVAILABLE, DRAINING, GONE, WorkerRegistry
from arrowfold.replication.ports import Caller
from arrowfold.replication.proposals import Proposal, ReplicaPort
from arrowfold.replication.state import ControlState, DepartureNotice

_STATE_RANK = {AVAILABLE: 0, DRAINING: 1, GONE: 2}


class HeldModelBody(BaseModel):
    """An item of `models` in a registration."""

    model_config = ConfigDict(extra="ignore")
    name: str
    version: int = 1
    adapters: tuple[str, ...] = ()


class RegistrationBody(BaseModel):
    """The body of `PUT /instances/ID`."""

    model_config = ConfigDict(extra="ignore")
    targetService: str
    address: str
    zone: str = ""
    version: str = ""
    capacitySlots: int = Field(default=1, ge=0)
    state: str = AVAILABLE
    coldLeftMs: float = 0
    stage: str = "both"
    models: tuple[HeldModelBody, ...] = ()
    callSeq: int = 0
    remainingMs: float | None = None

    def record(self, instance: str) -> WorkerRecord:
        """Returns the record of the worker."""
        return WorkerRecord(
            instance=instance,
            service=self.targetService,
            address=self.address,
            zone=self.zone,
            version=self.version,
            capacity_slots=self.capacitySlots,
            state=self.state,
            models=tuple(HeldModel(model.name, model.version, model.adapters) for model in self.models),
            call_sequence=self.callSeq,
            remaining_ms=self.remainingMs,
            cold_left_ms=self.coldLeftMs,
            stage=self.stage,
        )


class RegistrationFault(Exception):
    """A call of a worker is refused; the text states the reason."""

    def __init__(self, code: ResultCode, text: str) -> None:
        super().__init__(text)
        self.code = code


def parse_registration(instance: str, body: bytes) -> Result[WorkerRecord, RegistrationFault]:
    """Parses the body of a registration into a worker record."""
    try:
        return Ok(RegistrationBody.model_validate_json(body).record(instance))
    except ValidationError as error:
        first = error.errors()[0]
        path = ".".join(str(part) for part in first["loc"])
        return Err(RegistrationFault(ResultCode.REGISTRATION_INVALID, f"{path}: {first['msg']}"))


def already_committed(state: ControlState, instance: str, notice_state: str) -> bool:
    """Returns whether this notice, or one of a later state, is in the replicated state."""
    departure = state.departures.get(instance)
    return departure is not None and _STATE_RANK.get(departure.state, 0) >= _STATE_RANK.get(notice_state, 0)


def _is_acknowledged(answer: object) -> bool:
    return isinstance(answer, Acknowledgement)


class RegistrationService:
    """Accepts registrations and departure notices of workers on any member of the group."""

    def __init__(
        self,
        replica: ReplicaPort,
        registry: WorkerRegistry,
        caller: Caller,
        on_change: Callable[[], None],
    ) -> None:
        self._replica = replica
        self._registry = registry
        self._departures = PrimaryCalls(replica, caller, self.on_departure, _is_acknowledged)
        self._on_change = on_change

    async def register(self, record: WorkerRecord) -> Result[None, RegistrationFault]:
        """Records a registration; after Ok it may be acknowledged."""
        if record.state != AVAILABLE:
            notice = SubmitDeparture(record.instance, record.state, record.remaining_ms)
            committed = await self.depart(notice)
            if isinstance(committed, Err):
                return Err(committed.err_value)
        if self._registry.apply_call(record):
            self._on_change()
        return Ok(None)

    async def depart(self, notice: SubmitDeparture) -> Result[None, RegistrationFault]:
        """Has a departure notice committed within a second; after Ok it may be acknowledged."""
        if already_committed(self._replica.committed, notice.instance, notice.state):
            return Ok(None)
        if await self._departures.call_primary(notice) is not None:
            if notice.state == GONE and self._registry.apply_departure(notice.instance):
                self._on_change()
            return Ok(None)
        return Err(RegistrationFault(ResultCode.REGISTRATION_NOT_DURABLE, "no primary committed it in time"))

    async def on_departure(self, notice: SubmitDeparture) -> Acknowledgement | CallFailed:
        """On the primary: commits a departure notice."""

        def decide(state: ControlState) -> Proposal[Acknowledgement]:
            if already_committed(state, notice.instance, notice.state):
                return Proposal(Acknowledgement())
            entry = DepartureNotice(notice.instance, notice.state, notice.remaining_ms)
            return Proposal(Acknowledgement(), entry)

        result = await self._replica.propose(decide)
        if isinstance(result, Err):
            return CallFailed(result.err_value.code, str(result.err_value))
        return result.ok_value
