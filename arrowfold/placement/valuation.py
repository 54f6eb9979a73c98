"""Value of model copies, in value per second, so that copies of all models can be compared.

The first copy saves the requests that would have to wait for a load. Each additional copy shortens the
queues: with k copies and workload w (mean number of running requests) the delay costs about `c x w^2 / k`,
so one more copy saves `c x w^2 / (k (k + 1))`. An answer within its deadline has the value 1.
"""

from __future__ import annotations

from collections.abc import Sequence

from arrowfold.placement.demand import ClassEstimate, DemandEstimator, ModelClass
from arrowfold.placement.fleet import PlacementFleet
from arrowfold.placement.options import ValuationOptions
from arrowfold.placement.worker_state import WorkerState


class CopyValuation:
    """Gains and losses of copies at one point in time."""

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
        """Returns the number of workers that hold or load the model and count as holders."""
        return self._copies[model]

    def adapter_copies(self, key: ModelClass) -> int:
        """Returns the number of workers that hold this adapter and count as holders."""
        return self._adapter_copies[key]

    def adapter_rate_per_s(self, model: str) -> float:
        """Returns the rate of requests for adapters of this model, per second."""
        rate_per_s = self._demand.model(model).rate_per_s(self._now_s)
        return max(0.0, rate_per_s - self._demand.of_class(ModelClass(model)).rate_per_s(self._now_s))

    def estimated_load(self, worker: WorkerState) -> float:
        """Returns the mean number of requests that run on this worker.

        Assumes that the workload of each class is spread evenly over its holders.
        """
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
        """Returns the gain of one more copy beside `copies` existing ones, by this model's queues alone."""
        estimate = self._demand.model(model)
        if copies == 0:
            miss_savings = estimate.retention_rate_per_s(self._now_s) * self._options.miss_cost
            return miss_savings + self._queue_gain(model, 0)
        gain = self._queue_gain(model, copies)
        if copies == 1:
            gain += self._redundancy_gain(estimate)
        return gain

    def _redundancy_gain(self, estimate: ClassEstimate) -> float:
        """Returns the gain of a second copy for the case that the worker of the first one fails."""
        rate_per_s = min(estimate.rate_per_s(self._now_s), self._options.spare_copy_rate_s)
        return self._options.spare_copy_worth * rate_per_s

    def queue_relief(self, model: str, copies: int, holders: Sequence[WorkerState]) -> float:
        """Returns the gain of one more copy beside `copies` existing ones, by the load of their workers.

        The queues of a worker cost `c x load^2`, regardless of the models that cause the load: a copy takes a
        part of the model's workload off each holder.
        """
        if copies == 0 or not holders:
            return self.gain(model, copies)
        estimate = self._demand.model(model)
        workload = estimate.workload(self._now_s)
        part = workload / (copies * (copies + 1))
        queue_relief = sum(2.0 * self.estimated_load(holder) * part - part * part for holder in holders)
        queue_relief *= self._options.queue_cost * copies / len(holders)
        if copies == 1:
            queue_relief += self._redundancy_gain(estimate)
        return queue_relief

    def added_queue_cost(self, worker: WorkerState, model: str) -> float:
        """Returns the cost of the load that a copy of the model would add to this worker."""
        share = self._demand.model(model).workload(self._now_s) / (self._copies[model] + 1)
        return self._options.queue_cost * (2.0 * self.estimated_load(worker) * share + share * share)

    def loss(self, worker: WorkerState, model: str) -> float:
        """Returns the value lost by unloading this model from this worker."""
        if not worker.counts_as_holder:
            return 0.0
        copies = max(1, self._copies[model])
        workload = self._demand.model(model).workload(self._now_s)
        running = self._options.running_cost * workload / copies
        if copies > 1 and self._options.loss_by_load:
            copy_loss = self._copy_loss(worker, model, copies)
        else:
            copy_loss = self.gain(model, copies - 1)
        return copy_loss + running + self._adapters_loss(worker, model)

    def _copy_loss(self, worker: WorkerState, model: str, copies: int) -> float:
        """Returns the cost of the other holders' added load without this copy, less this worker's relief."""
        estimate = self._demand.model(model)
        share = estimate.workload(self._now_s) / copies
        part = share / (copies - 1)
        others = [holder for holder in self._index.holders(model) if holder is not worker]
        added_load_cost = sum(2.0 * self.estimated_load(holder) * part + part * part for holder in others)
        relieved_load_cost = 2.0 * self.estimated_load(worker) * share - share * share
        loss = self._options.queue_cost * max(0.0, added_load_cost - relieved_load_cost)
        return loss + (self._redundancy_gain(estimate) if copies == 2 else 0.0)

    def adapter_loss(self, key: ModelClass) -> float:
        """Returns the value lost by unloading this adapter where it has no other copy."""
        estimate = self._demand.of_class(key)
        return estimate.retention_rate_per_s(self._now_s) * self._options.adapter_miss_cost

    def _adapters_loss(self, worker: WorkerState, model: str) -> float:
        adapters = worker.holdings[model].adapters
        return sum(self.adapter_loss(ModelClass(model, adapter)) for adapter in adapters)

    def _queue_gain(self, model: str, copies: int) -> float:
        workload = self._demand.model(model).workload(self._now_s)
        divisor = copies * (copies + 1) if copies else 1
        return self._options.queue_cost * workload * workload / divisor
