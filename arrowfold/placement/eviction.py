"""Choice of victims: what to unload from a worker so that a load fits, at the smallest loss of value."""

from __future__ import annotations

from dataclasses import dataclass, field

from arrowfold.placement.catalogue import ModelCatalogue
from arrowfold.placement.demand import DemandEstimator, ModelClass
from arrowfold.placement.options import EvictionOptions
from arrowfold.placement.valuation import CopyValuation
from arrowfold.placement.worker_state import WorkerState, load_size_mb

UNLISTED_LOSS = -1.0  # loss of a model that the configuration no longer lists: it is evicted first


@dataclass(frozen=True, slots=True)
class Victim:
    """A model or adapter to unload, and the value per second lost by that."""

    loss: float
    target: ModelClass


@dataclass(frozen=True, slots=True)
class PlanningContext:
    """Inputs of all planning decisions at one point in time."""

    catalogue: ModelCatalogue
    demand: DemandEstimator
    values: CopyValuation
    options: EvictionOptions
    now_s: float
    _evictable: dict[str, list[Victim]] = field(default_factory=dict)  # by instance, the least valuable first

    def victims(self, worker: WorkerState, target: ModelClass) -> list[Victim] | None:
        """Returns what has to be unloaded before the target fits, or None if it cannot be made to fit now."""
        if target.adapter and worker.adapter_count() >= self.catalogue.adapter_capacity:
            return self._adapter_victim(worker)
        if self._fits_without(worker, target, frozenset()):
            return []
        victims: list[Victim] = []
        for victim in self._evictable_models(worker):
            if victim.target.model == target.model:
                continue
            victims.append(victim)
            if self._fits_without(worker, target, frozenset(chosen.target.model for chosen in victims)):
                return victims
        return None

    def _evictable_models(self, worker: WorkerState) -> list[Victim]:
        """Returns the models that may be unloaded from this worker, the least valuable first."""
        cached = self._evictable.get(worker.instance)
        if cached is not None:
            return cached
        candidates = [
            Victim(self._model_loss(worker, model), ModelClass(model))
            for model in worker.holdings
            if self._is_evictable(worker, model)
        ]
        ordered = sorted(candidates, key=lambda victim: (victim.loss, victim.target))
        self._evictable[worker.instance] = ordered
        return ordered

    def cheapest_model(self, worker: WorkerState) -> Victim | None:
        """Returns the model whose unload from this worker loses least, of those that may be unloaded now."""
        return next(iter(self._evictable_models(worker)), None)

    def _is_evictable(self, worker: WorkerState, model: str) -> bool:
        if not self.catalogue.has_class(model):
            return True
        if self.now_s - worker.holdings[model].loaded_s < self.options.residence_s:
            return False
        is_recent = self.now_s - self.demand.model(model).last_request_s < self.options.recent_s
        return not is_recent or self.values.copies(model) > 1

    def _model_loss(self, worker: WorkerState, model: str) -> float:
        return self.values.loss(worker, model) if self.catalogue.has_class(model) else UNLISTED_LOSS

    def _fits_without(self, worker: WorkerState, target: ModelClass, removed: frozenset[str]) -> bool:
        kept = (item for item in worker.holdings.items() if item[0] not in removed)
        used_mb = sum(
            worker.holding_mb(self.catalogue, model, len(holding.adapters)) for model, holding in kept
        )
        return (
            used_mb + load_size_mb(self.catalogue, target.model, target.adapter) <= self.catalogue.weights_mb
        )

    def _adapter_victim(self, worker: WorkerState) -> list[Victim] | None:
        """Returns the adapter with the smallest loss; of equal ones the least recently requested one."""
        adapters = [
            ModelClass(model, adapter)
            for model, holding in worker.holdings.items()
            for adapter in holding.adapters
        ]
        idle = [
            key for key in adapters if self.now_s - self._last_request_s(key) > self.options.adapter_recent_s
        ]
        if not idle:
            return None
        victim = min(idle, key=lambda key: (self.values.adapter_loss(key), self._last_request_s(key), key))
        return [Victim(self.values.adapter_loss(victim), victim)]

    def _last_request_s(self, key: ModelClass) -> float:
        return self.demand.of_class(key).last_request_s
