"""All workers of a service as the owner sees them: copies of each model, loads under way, models on disks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from arrowfold.internal.messages import WorkerRecord
from arrowfold.placement.demand import ModelClass
from arrowfold.placement.orders import Operation
from arrowfold.placement.worker_state import WorkerState

GONE = "gone"


class FleetIndex:
    """Who holds what at one moment: made once for all decisions of that moment."""

    def __init__(self, workers: Iterable[WorkerState]) -> None:
        self._holders: dict[str, list[WorkerState]] = {}
        self._ready: set[ModelClass] = set()
        self._arriving: set[ModelClass] = set()
        for worker in workers:
            if worker.serves:
                self._add(worker)

    def _add(self, worker: WorkerState) -> None:
        for model in {*worker.holdings, worker.arriving_model() or ""}:
            if model and worker.holds(model):
                self._holders.setdefault(model, []).append(worker)
                self._ready.add(ModelClass(model))
        self._ready.update(worker.ready_adapters())
        pending = worker.pending
        if pending is not None and pending.order.operation is Operation.LOAD:
            self._arriving.add(ModelClass(pending.order.model, pending.order.adapter))

    def is_ready(self, key: ModelClass) -> bool:
        """True if a request for this class can be sent somewhere now."""
        return key in self._ready

    def is_arriving(self, key: ModelClass) -> bool:
        """True if exactly this class is being loaded somewhere."""
        return key in self._arriving

    def holders(self, model: str) -> list[WorkerState]:
        """Workers that hold the model now and will stay."""
        return self._holders.get(model, [])

    def zones_of(self, model: str) -> set[str]:
        """Zones in which the model has a holder."""
        return {worker.zone for worker in self.holders(model)}


class PlacementFleet:
    """The workers of one service."""

    def __init__(self) -> None:
        self.workers: dict[str, WorkerState] = {}
        self._on_disk: dict[str, set[str]] = {}
        self._held: dict[str, set[str]] = {}  # by instance: models that it was seen to hold in this life

    def apply(self, records: Iterable[WorkerRecord], now_s: float) -> None:
        """Take the whole list of known workers of this service."""
        listed = {record.instance: record for record in records if record.state != GONE}
        for instance in [known for known in self.workers if known not in listed]:
            del self.workers[instance]
            self._held.pop(instance, None)
        for instance, record in listed.items():
            if instance in self.workers:
                self.workers[instance].update_record(record, now_s)
            else:
                self.workers[instance] = WorkerState(record, now_s)
            self.remember(self.workers[instance])

    def remember(self, worker: WorkerState) -> None:
        """Note that the models of this worker stand on its disk; a restart at the same address keeps them."""
        self._on_disk.setdefault(worker.address, set()).update(worker.holdings)

    def confirm(self, worker: WorkerState) -> None:
        """Note what a report said that this worker holds."""
        self._held.setdefault(worker.instance, set()).update(worker.holdings)

    def has_held(self, worker: WorkerState, model: str) -> bool:
        """True if this instance surely held the model before: its load is none of the weight store's."""
        return model in self._held.get(worker.instance, ())

    def is_on_disk(self, worker: WorkerState, model: str) -> bool:
        """True if this worker has held the model before, as far as this owner saw."""
        return model in self._on_disk.get(worker.address, ())

    def index(self) -> FleetIndex:
        """Who holds what now."""
        return FleetIndex(self.workers.values())

    def model_copies(self) -> Counter[str]:
        """For each model the workers on which it stands or to which it is on its way, and that will stay."""
        copies: Counter[str] = Counter()
        for worker in self.workers.values():
            if worker.serves:
                copies.update({*filter(worker.holds, worker.holdings), worker.arriving_model() or ""})
        return copies

    def adapter_copies(self) -> Counter[ModelClass]:
        """For each adapter the workers that hold it and will stay."""
        copies: Counter[ModelClass] = Counter()
        for worker in self.workers.values():
            if worker.serves:
                copies.update(worker.ready_adapters())
        return copies
