"""Orders to workers, their answers, worker reports and the actions of a placement owner."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from arrowfold.internal.messages import HeldModel


class Operation(Enum):
    """Operation of an order."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class Order:
    """One order to one worker; the worker accepts it only if it has accepted `if_revision` orders before."""

    instance: str
    address: str
    operation: Operation
    model: str
    adapter: str
    if_revision: int

    @property
    def loads_weights(self) -> bool:
        """True for the load of a model, which can read from the weight store."""
        return self.operation is Operation.LOAD and not self.adapter


class OrderAnswer(Enum):
    """Outcome of an order, as far as its sender knows."""

    ACCEPTED = "accepted"  # 202: the worker carries it out
    ALREADY = "already"  # 200: the worker is in that state already
    CONFLICT = "conflict"  # 409: another order is in progress, or the revision differs
    FENCED = "fenced"  # 412: the worker has seen a higher fencing token
    MISDIRECTED = "misdirected"  # 421: another worker has this address now
    REFUSED = "refused"  # any other answer: not accepted
    UNSENT = "unsent"  # no connection, or the lease ended before it was sent: not accepted
    UNANSWERED = "unanswered"  # sent, but not answered: it may have been accepted


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer to GET /report: the state of a worker some hundred milliseconds ago."""

    models: tuple[HeldModel, ...]
    busy: bool  # an order is in progress
    revision: int  # orders accepted since the worker started
    queued: int = 0
    active: int = 0
    kv_used: int = 0
    kv_total: int = 0


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Action: send an order, if the lease of the role is valid at that time."""

    order: Order


@dataclass(frozen=True, slots=True)
class ReadReport:
    """Action: read the report of a worker."""

    instance: str
    address: str


Action = SendOrder | ReadReport
