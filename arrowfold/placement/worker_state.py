"""State of one worker as the placement owner knows it: holdings, pending order and memory headroom.

Holdings change only by the owner's orders, so after the first report the owner's own state is newer than
heartbeats. A worker that restarts has a new instance id and a new state.
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
    """Progress of a pending order."""

    SENT = "sent"  # not answered yet
    UNANSWERED = "unanswered"  # timed out: the worker may have accepted it
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
    is_rate_limited: bool = False  # a load that the rate limit counts
    is_presumed_done: bool = False  # its expected end has passed; the next report shows whether it is done


@dataclass(slots=True)
class Holding:
    """A model that a worker holds: when it was loaded, and its adapters with the time of each load."""

    loaded_s: float
    adapters: dict[str, float] = field(default_factory=dict)


class WorkerState:
    """State of one worker."""

    def __init__(self, record: WorkerRecord, now_s: float) -> None:
        self.instance = record.instance
        self.address = record.address
        self.zone = record.zone
        self.state = record.state
        self.holdings: dict[str, Holding] = {}
        self.revision: int | None = None  # orders accepted by the worker; None until the first report
        self.pending: PendingOrder | None = None
        self.unconfirmed_load: PendingOrder | None = None  # a load treated as done before a report
        self.report_due_s = now_s  # inf: no report is needed
        self.is_reading_report = False
        self.failures = 0  # consecutive reports and orders without an answer
        self.has_unconfirmed_unload = False  # its last unload is treated as done without confirmation
        self.is_failing = False  # several edge nodes have reported failures recently
        self.has_ignored_copies = False  # what it holds does not count as a copy while it is failing
        self.is_unusable = False  # another worker has its address
        self._replace_holdings(record.models, now_s)

    def update_record(self, record: WorkerRecord, now_s: float) -> None:
        """Applies a newer record; its models count only until the first report."""
        self.state = record.state
        if self.revision is None:
            self._replace_holdings(record.models, now_s)

    @property
    def counts_as_holder(self) -> bool:
        """True if its models count as copies: it is available, reachable by its address and not ignored."""
        return self.state == AVAILABLE and not self.is_unusable and not self.has_ignored_copies

    @property
    def can_take_order(self) -> bool:
        """True if an order can be sent now."""
        if not self.counts_as_holder or self.revision is None or self.pending is not None:
            return False
        return self.unconfirmed_load is not None or not self.needs_report

    @property
    def needs_report(self) -> bool:
        """True if a report has to be read before the next order."""
        return self.is_reading_report or self.report_due_s != math.inf

    def unloading_model(self) -> str | None:
        """Returns the model that is being unloaded, or may be; None if there is none."""
        return self._pending_model(Operation.UNLOAD)

    def loading_model(self) -> str | None:
        """Returns the model that is being loaded, or may be; None if there is none."""
        return self._pending_model(Operation.LOAD)

    def holds(self, model: str, adapter: str = "") -> bool:
        """Returns True if the worker can serve requests for this class now."""
        holding = self.holdings.get(model)
        if holding is None:
            return not adapter and self.loading_model() == model and self._is_presumed_done()
        if self.unloading_model() == model:
            return False
        if adapter and self._is_pending(Operation.UNLOAD, model, adapter):
            return False
        return not adapter or adapter in holding.adapters

    def ready_adapters(self) -> list[ModelClass]:
        """Returns the adapters that the worker can serve now."""
        return [
            ModelClass(model, adapter)
            for model, holding in self.holdings.items()
            for adapter in holding.adapters
            if self.holds(model, adapter)
        ]

    def used_mb(self, catalogue: ModelCatalogue) -> float:
        """Returns the memory in use in MB, including a pending load that the worker may have accepted."""
        used = sum(
            self.holding_mb(catalogue, model, len(held.adapters)) for model, held in self.holdings.items()
        )
        pending = self.pending
        if pending is None or pending.order.operation is not Operation.LOAD:
            return used
        return used + load_size_mb(catalogue, pending.order.model, pending.order.adapter)

    def has_headroom(self, catalogue: ModelCatalogue, without: str = "") -> bool:
        """Returns True if any model of the catalogue would fit, once the model `without` is unloaded."""
        largest_mb = max((spec.weights_mb for spec in catalogue.models.values()), default=0.0)
        freed = self.holdings.get(without)
        freed_mb = 0.0 if freed is None else self.holding_mb(catalogue, without, len(freed.adapters))
        return self.used_mb(catalogue) - freed_mb + largest_mb <= catalogue.weights_mb

    def adapter_count(self) -> int:
        """Returns how many adapters the worker holds, including one that is being loaded."""
        held = sum(len(holding.adapters) for holding in self.holdings.values())
        pending = self.pending
        is_loading_adapter = (
            pending is not None and pending.order.operation is Operation.LOAD and bool(pending.order.adapter)
        )
        return held + int(is_loading_adapter)

    def apply_completed_order(self, now_s: float) -> None:
        """Applies the effect of the pending order to the holdings."""
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
        """Applies a report that is not older than the owner's last order and shows no order in progress."""
        self.revision = report.revision
        self.pending = None
        self.unconfirmed_load = None
        self._replace_holdings(report.models, now_s)

    def _replace_holdings(self, models: Iterable[HeldModel], now_s: float) -> None:
        before = self.holdings
        self.holdings = {}
        for model in models:
            known = before.get(model.name, Holding(now_s))
            adapters = {name: known.adapters.get(name, now_s) for name in model.adapters}
            self.holdings[model.name] = Holding(known.loaded_s, adapters)

    def holding_mb(self, catalogue: ModelCatalogue, model: str, adapters: int) -> float:
        """Returns the memory in MB of a model with so many adapters; infinite if it is not listed."""
        spec = catalogue.models.get(model)
        if spec is None:  # no longer listed: its size is unknown, so no memory is assumed to be free
            return math.inf
        return spec.weights_mb + adapters * spec.adapter_size_mb

    def _is_presumed_done(self) -> bool:
        return self.pending is not None and self.pending.is_presumed_done

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


def load_size_mb(catalogue: ModelCatalogue, model: str, adapter: str) -> float:
    """Returns the memory in MB that a load takes."""
    spec = catalogue.models[model]
    return spec.adapter_size_mb if adapter else spec.weights_mb
