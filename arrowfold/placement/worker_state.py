"""What the owner of the placement knows of one worker: what it holds, its order under way, its room.

Holdings change only by the owner's orders, so after the first report the owner's own view is newer than
heartbeats. A worker that restarts has a new instance and starts a new state.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from arrowfold.internal.messages import HeldModel, WorkerRecord
from arrowfold.placement.catalogue import ModelCatalogue
from arrowfold.placement.demand import ModelClass
from arrowfold.placement.orders import Operation, Order, WorkerReport

AVAILABLE = "available"
DRAINING = "draining"


class OrderPhase(Enum):
    """How far an order has come."""

    SENT = "sent"  # no answer yet
    UNANSWERED = "unanswered"  # the answer never came: it may have been taken
    RUNNING = "running"  # accepted, not yet known to be done


@dataclass(slots=True)
class PendingOrder:
    """An order that may still change what the worker holds."""

    order: Order
    sent_s: float
    phase: OrderPhase = OrderPhase.SENT
    accepted_s: float = math.inf
    expected_done_s: float = math.inf
    from_own_disk: bool = False
    counted: bool = False  # a load that the ceiling counts
    presumed_done: bool = False  # its time is over; the next report will tell


@dataclass(slots=True)
class Holding:
    """A model on a worker: its adapters with the time each was loaded, and since when it has been there."""

    since_s: float
    adapters: dict[str, float] = field(default_factory=dict)


class WorkerState:
    """One worker as the owner sees it."""

    def __init__(self, record: WorkerRecord, now_s: float) -> None:
        self.instance = record.instance
        self.address = record.address
        self.zone = record.zone
        self.state = record.state
        self.holdings: dict[str, Holding] = {}
        self.revision: int | None = None  # orders taken; None until a report told it
        self.pending: PendingOrder | None = None
        self.confirming: PendingOrder | None = None  # a load that is taken to be done; a report will tell
        self.report_due_s = now_s  # inf: none is wanted
        self.report_under_way = False
        self.failures = 0  # reports and orders without an answer, in a row
        self.unload_unproven = False  # its last unload is taken to be done, but nothing has told so
        self.is_troubled = False  # several edges found it failing lately
        self.is_replaced = False  # and what it holds counts as no copy meanwhile
        self.unusable = False  # another worker has its address, or it refuses our fence
        self._take_models(record.models, now_s)

    def update_record(self, record: WorkerRecord, now_s: float) -> None:
        """Take a later record; its models count only until the first report."""
        self.state = record.state
        if self.revision is None:
            self._take_models(record.models, now_s)

    @property
    def serves(self) -> bool:
        """True if what it holds counts as a copy for the time to come."""
        return self.state == AVAILABLE and not self.unusable and not self.is_replaced

    @property
    def takes_orders(self) -> bool:
        """True if an order may be sent now."""
        if not self.serves or self.revision is None or self.pending is not None:
            return False
        return self.confirming is not None or not self.report_wanted

    @property
    def report_wanted(self) -> bool:
        """True if a report has to be read before the next order."""
        return self.report_under_way or self.report_due_s != math.inf

    def leaving_model(self) -> str | None:
        """The model that is being unloaded, or may be."""
        return self._pending_model(Operation.UNLOAD)

    def arriving_model(self) -> str | None:
        """The model that is being loaded, or may be."""
        return self._pending_model(Operation.LOAD)

    def holds(self, model: str, adapter: str = "") -> bool:
        """True if requests for this class can be sent there now."""
        holding = self.holdings.get(model)
        if holding is None:
            return not adapter and self.arriving_model() == model and self._is_presumed_done()
        if self.leaving_model() == model:
            return False
        if adapter and self._is_pending(Operation.UNLOAD, model, adapter):
            return False
        return not adapter or adapter in holding.adapters

    def ready_adapters(self) -> list[ModelClass]:
        """The adapters to which requests can be sent there now."""
        return [
            ModelClass(model, adapter)
            for model, holding in self.holdings.items()
            for adapter in holding.adapters
            if self.holds(model, adapter)
        ]

    def used_mb(self, catalogue: ModelCatalogue) -> float:
        """The room taken, if every load that may have been taken was."""
        used = sum(
            self.holding_mb(catalogue, model, len(held.adapters)) for model, held in self.holdings.items()
        )
        pending = self.pending
        if pending is None or pending.order.operation is not Operation.LOAD:
            return used
        return used + order_mb(catalogue, pending.order.model, pending.order.adapter)

    def has_room(self, catalogue: ModelCatalogue, without: str = "") -> bool:
        """Whether any model of the catalogue would fit, once the model `without` is gone."""
        largest_mb = max((spec.weights_mb for spec in catalogue.models.values()), default=0.0)
        freed = self.holdings.get(without)
        freed_mb = 0.0 if freed is None else self.holding_mb(catalogue, without, len(freed.adapters))
        return self.used_mb(catalogue) - freed_mb + largest_mb <= catalogue.weights_mb

    def adapters_held(self) -> int:
        """How many adapters it may hold."""
        held = sum(len(holding.adapters) for holding in self.holdings.values())
        pending = self.pending
        arriving = (
            pending is not None and pending.order.operation is Operation.LOAD and bool(pending.order.adapter)
        )
        return held + int(arriving)

    def apply_done(self, now_s: float) -> None:
        """The order under way is done."""
        pending, self.pending = self.pending, None
        if pending is None:
            return
        order = pending.order
        if order.operation is Operation.LOAD and not order.adapter:
            self.holdings.setdefault(order.model, Holding(now_s))
        elif order.operation is Operation.LOAD and order.model in self.holdings:
            self.holdings[order.model].adapters.setdefault(order.adapter, now_s)
        elif order.operation is Operation.UNLOAD and not order.adapter:
            self.holdings.pop(order.model, None)
        elif order.operation is Operation.UNLOAD and order.model in self.holdings:
            self.holdings[order.model].adapters.pop(order.adapter, None)

    def apply_report(self, report: WorkerReport, now_s: float) -> None:
        """Take a report that is at least as new as every order of ours and shows no order under way."""
        self.revision = report.revision
        self.pending = None
        self.confirming = None
        self._take_models(report.models, now_s)

    def _take_models(self, models: Iterable[HeldModel], now_s: float) -> None:
        before = self.holdings
        self.holdings = {}
        for model in models:
            known = before.get(model.name, Holding(now_s))
            adapters = {name: known.adapters.get(name, now_s) for name in model.adapters}
            self.holdings[model.name] = Holding(known.since_s, adapters)

    def holding_mb(self, catalogue: ModelCatalogue, model: str, adapters: int) -> float:
        """The room that a model with so many adapters takes."""
        spec = catalogue.models.get(model)
        if spec is None:  # no longer listed: unknown size, so no room is taken to be left
            return math.inf
        return spec.weights_mb + adapters * spec.adapter_size_mb

    def _is_presumed_done(self) -> bool:
        return self.pending is not None and self.pending.presumed_done

    def _pending_model(self, operation: Operation) -> str | None:
        pending = self.pending
        if pending is None or pending.order.operation is not operation or pending.order.adapter:
            return None
        return pending.order.model

    def _is_pending(self, operation: Operation, model: str, adapter: str) -> bool:
        pending = self.pending
        if pending is None or pending.order.operation is not operation:
            return False
        return pending.order.model == model and pending.order.adapter == adapter


def order_mb(catalogue: ModelCatalogue, model: str, adapter: str) -> float:
    """The room that a load takes."""
    spec = catalogue.models[model]
    return spec.adapter_size_mb if adapter else spec.weights_mb
