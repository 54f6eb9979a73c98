"""All workers of a service as the owner knows them: copies of models, pending loads, models on disk."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from arrowfold.internal.messages import WorkerRecord
from arrowfold.placement.demand import ModelClass
from arrowfold.placement.orders import Operation
from arrowfold.placement.worker_state import WorkerState

STATE_GONE = "gone"


class FleetIndex:
    """Index of holders and pending loads by class, built once for all decisions at one point in time."""

    def __init__(self, workers: Iterable[WorkerState]) -> None:
        self._holders: dict[str, list[WorkerState]] = {}
        self._ready: set[ModelClass] = set()
        self._loading: set[ModelClass] = set()
        for worker in workers:
            if worker.counts_as_holder:
                self._add(worker)

    def _add(self, worker: WorkerState) -> None:
        for model in {*worker.holdings, worker.loading_model() or ""}:
            if model and worker.holds(model):
                self._holders.setdefault(model, []).append(worker)
                self._ready.add(ModelClass(model))
        self._ready.update(worker.ready_adapters())
        pending = worker.pending
        if pending is not None and pending.order.operation is Operation.LOAD:
            self._loading.add(ModelClass(pending.order.model, pending.order.adapter))

    def is_ready(self, key: ModelClass) -> bool:
        """Returns True if some worker can serve requests for this class now."""
        return key in self._ready

    def is_loading(self, key: ModelClass) -> bool:
        """Returns True if some worker is loading exactly this class."""
        return key in self._loading

    def holders(self, model: str) -> list[WorkerState]:
        """Returns the workers that hold the model and count as holders."""
        return self._holders.get(model, [])

    def zones_of(self, model: str) -> set[str]:
        """Returns the zones in which the model has a holder."""
        return {worker.zone for worker in self.holders(model)}


class PlacementFleet:
    """Workers of one service, and the models known to be on their disks."""

    def __init__(self) -> None:
        self.workers: dict[str, WorkerState] = {}
        self._on_disk_by_address: dict[str, set[str]] = {}
        self._confirmed_by_instance: dict[str, set[str]] = {}  # models that a report has shown

    def apply(self, records: Iterable[WorkerRecord], now_s: float) -> None:
        """Applies the complete list of known workers of this service."""
        listed = {record.instance: record for record in records if record.state != STATE_GONE}
        for instance in [known for known in self.workers if known not in listed]:
            del self.workers[instance]
            self._confirmed_by_instance.pop(instance, None)
        for instance, record in listed.items():
            if instance in self.workers:
                self.workers[instance].update_record(record, now_s)
            else:
                self.workers[instance] = WorkerState(record, now_s)
            self.note_on_disk(self.workers[instance])

    def note_on_disk(self, worker: WorkerState) -> None:
        """Records that the models of this worker are on its disk, where they survive a restart."""
        self._on_disk_by_address.setdefault(worker.address, set()).update(worker.holdings)

    def note_confirmed(self, worker: WorkerState) -> None:
        """Records the holdings that a report of this worker has shown."""
        self._confirmed_by_instance.setdefault(worker.instance, set()).update(worker.holdings)

    def is_confirmed(self, worker: WorkerState, model: str) -> bool:
        """Returns True if a report has shown that this instance held the model.

        Another load of the model on this instance does not read from the weight store.
        """
        return model in self._confirmed_by_instance.get(worker.instance, ())

    def is_on_disk(self, worker: WorkerState, model: str) -> bool:
        """Returns True if this owner knows that the model was loaded on a worker at this address."""
        return model in self._on_disk_by_address.get(worker.address, ())

    def index(self) -> FleetIndex:
        """Returns an index of the current holdings."""
        return FleetIndex(self.workers.values())

    def model_copies(self) -> Counter[str]:
        """Counts for each model the workers that hold or load it and count as holders."""
        copies: Counter[str] = Counter()
        for worker in self.workers.values():
            if worker.counts_as_holder:
                copies.update({*filter(worker.holds, worker.holdings), worker.loading_model() or ""})
        return copies

    def adapter_copies(self) -> Counter[ModelClass]:
        """Counts for each adapter the workers that hold it and count as holders."""
        copies: Counter[ModelClass] = Counter()
        for worker in self.workers.values():
            if worker.counts_as_holder:
                copies.update(worker.ready_adapters())
        return copies
