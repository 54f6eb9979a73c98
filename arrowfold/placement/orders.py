"""Orders to workers, their answers, and the reports of workers, as typed values."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from arrowfold.internal.messages import HeldModel


class Operation(Enum):
    """What an order asks a worker to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class Order:
    """One order to one worker; it is carried out only while the worker has taken `if_revision` orders."""

    instance: str
    address: str
    operation: Operation
    model: str
    adapter: str
    if_revision: int

    @property
    def loads_weights(self) -> bool:
        """True for the load of a model, which may read from the weight store."""
        return self.operation is Operation.LOAD and not self.adapter


class OrderAnswer(Enum):
    """What became of an order, as far as its sender knows."""

    ACCEPTED = "accepted"  # 202: it is being carried out
    ALREADY = "already"  # 200: the worker is in that state
    CONFLICT = "conflict"  # 409: another order is under way, or the revision differs
    FENCED = "fenced"  # 412: the worker has seen a higher fencing token
    MISDIRECTED = "misdirected"  # 421: another worker has this address now
    REFUSED = "refused"  # any other answer: not taken
    UNSENT = "unsent"  # no connection, or the lease ended before it was sent: not taken
    UNANSWERED = "unanswered"  # sent, but nothing came back: it may have been taken


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """The answer to GET /report: the state of a worker some hundred milliseconds ago."""

    models: tuple[HeldModel, ...]
    busy: bool  # an order is under way
    revision: int  # orders taken since the worker started
    queued: int = 0
    active: int = 0
    kv_used: int = 0
    kv_total: int = 0


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Asks the executor to send an order, if the lease of the role is valid at that moment."""

    order: Order


@dataclass(frozen=True, slots=True)
class ReadReport:
    """Asks the executor to read the report of a worker."""

    instance: str
    address: str


Action = SendOrder | ReadReport
