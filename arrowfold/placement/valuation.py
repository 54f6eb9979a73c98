"""What a copy of a model is worth, in worth a second, so that copies of all models can be compared.

The first copy saves the requests that would have to wait for a load. Each further copy shortens the
queues: with k copies and workload w (requests that run at a time) the delay costs about `c x w^2 / k`,
so one more copy saves `c x w^2 / (k (k + 1))`.
"""

from __future__ import annotations

from collections.abc import Sequence

from arrowfold.placement.demand import ClassEstimate, DemandEstimator, ModelClass
from arrowfold.placement.fleet import PlacementFleet
from arrowfold.placement.options import ValuationOptions
from arrowfold.placement.worker_state import WorkerState


class CopyValuation:
    """Gains and losses of copies at one moment."""

    def __init__(
        self, fleet: PlacementFleet, demand: DemandEstimator, options: ValuationOptions, now_s: float
    ) -> None:
        self._options = options
        self._demand = demand
        self._now_s = now_s
        self._copies = fleet.model_copies()
        self._adapter_copies = fleet.adapter_copies()
        self._loads: dict[str, float] = {}
        self._index = fleet.index()

    def copies(self, model: str) -> int:
        """Workers on which the model stands or to which it is on its way, and that will stay."""
        return self._copies[model]

    def adapter_copies(self, key: ModelClass) -> int:
        """Workers that hold this adapter and will stay."""
        return self._adapter_copies[key]

    def adapter_rate_s(self, model: str) -> float:
        """Requests a second for adapters of this model."""
        rate_s = self._demand.model(model).rate_s(self._now_s)
        return max(0.0, rate_s - self._demand.of_class(ModelClass(model)).rate_s(self._now_s))

    def load_of(self, worker: WorkerState) -> float:
        """Requests that run on this worker, if each class's workload is spread evenly over its holders."""
        load = self._loads.get(worker.instance)
        if load is None:
            load = self._loads[worker.instance] = self._estimate_load(worker)
        return load

    def _estimate_load(self, worker: WorkerState) -> float:
        load = sum(
            self._demand.of_class(ModelClass(model)).workload(self._now_s) / max(1, self._copies[model])
            for model in worker.holdings
        )
        return load + sum(
            self._demand.of_class(key).workload(self._now_s) / max(1, self._adapter_copies[key])
            for key in worker.ready_adapters()
        )

    def gain(self, model: str, copies: int) -> float:
        """What one more copy adds where `copies` stand."""
        estimate = self._demand.model(model)
        if copies == 0:
            kept = estimate.keep_rate_s(self._now_s) * self._options.miss_cost
            return kept + self._queue_gain(model, 0)
        gain = self._queue_gain(model, copies)
        if copies == 1:
            gain += self._spare_gain(estimate)
        return gain

    def _spare_gain(self, estimate: ClassEstimate) -> float:
        """What a second copy adds since the first one's worker may fail."""
        rate_s = min(estimate.rate_s(self._now_s), self._options.spare_copy_rate_s)
        return self._options.spare_copy_worth * rate_s

    def relief(self, model: str, copies: int, holders: Sequence[WorkerState]) -> float:
        """What one more copy adds beside `copies` that stand, by the load of their workers.

        A worker's queues cost `c x load^2`, whatever models its load is of: a copy takes a part of the
        model's workload off each of its holders.
        """
        if copies == 0 or not holders:
            return self.gain(model, copies)
        estimate = self._demand.model(model)
        workload = estimate.workload(self._now_s)
        part = workload / (copies * (copies + 1))
        relief = sum(2.0 * self.load_of(holder) * part - part * part for holder in holders)
        relief *= self._options.queue_cost * copies / len(holders)
        if copies == 1:
            relief += self._spare_gain(estimate)
        return relief

    def burden(self, worker: WorkerState, model: str) -> float:
        """What a copy costs by the load that it brings to a worker."""
        share = self._demand.model(model).workload(self._now_s) / (self._copies[model] + 1)
        return self._options.queue_cost * (2.0 * self.load_of(worker) * share + share * share)

    def loss(self, worker: WorkerState, model: str) -> float:
        """What it costs to unload this model from this worker."""
        if not worker.serves:
            return 0.0
        copies = max(1, self._copies[model])
        workload = self._demand.model(model).workload(self._now_s)
        running = self._options.running_cost * workload / copies
        if copies > 1 and self._options.loss_by_load:
            kept = self._copy_loss(worker, model, copies)
        else:
            kept = self.gain(model, copies - 1)
        return kept + running + self._adapters_loss(worker, model)

    def _copy_loss(self, worker: WorkerState, model: str, copies: int) -> float:
        """What the other holders' queues grow by without this copy, less what this worker's shrink by."""
        estimate = self._demand.model(model)
        share = estimate.workload(self._now_s) / copies
        part = share / (copies - 1)
        others = [holder for holder in self._index.holders(model) if holder is not worker]
        grown = sum(2.0 * self.load_of(holder) * part + part * part for holder in others)
        shrunk = 2.0 * self.load_of(worker) * share - share * share
        loss = self._options.queue_cost * max(0.0, grown - shrunk)
        return loss + (self._spare_gain(estimate) if copies == 2 else 0.0)

    def adapter_loss(self, key: ModelClass) -> float:
        """What it costs to unload this adapter, where it has no other copy."""
        estimate = self._demand.of_class(key)
        return estimate.keep_rate_s(self._now_s) * self._options.adapter_miss_cost

    def _adapters_loss(self, worker: WorkerState, model: str) -> float:
        adapters = worker.holdings[model].adapters
        return sum(self.adapter_loss(ModelClass(model, adapter)) for adapter in adapters)

    def _queue_gain(self, model: str, copies: int) -> float:
        workload = self._demand.model(model).workload(self._now_s)
        between = copies * (copies + 1) if copies else 1
        return self._options.queue_cost * workload * workload / between
