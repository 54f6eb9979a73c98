"""What has to be unloaded from a worker so that something else fits, at the smallest loss."""

from __future__ import annotations

from dataclasses import dataclass, field

from arrowfold.placement.catalogue import ModelCatalogue
from arrowfold.placement.demand import DemandEstimator, ModelClass
from arrowfold.placement.options import EvictionOptions
from arrowfold.placement.valuation import CopyValuation
from arrowfold.placement.worker_state import WorkerState, order_mb

UNLISTED_LOSS = -1.0  # of a model that the configuration no longer lists: it goes first


@dataclass(frozen=True, slots=True)
class Victim:
    """Something to unload, and what that loses in worth a second."""

    loss: float
    target: ModelClass


@dataclass(frozen=True, slots=True)
class PlanningContext:
    """Everything that a decision at one moment looks at."""

    catalogue: ModelCatalogue
    demand: DemandEstimator
    values: CopyValuation
    options: EvictionOptions
    now_s: float
    _evictable: dict[str, list[Victim]] = field(default_factory=dict)  # by instance, the least valuable first

    def victims(self, worker: WorkerState, target: ModelClass) -> list[Victim] | None:
        """What has to go before the target fits; None if it can't be made to fit now."""
        if target.adapter and worker.adapters_held() >= self.catalogue.adapter_capacity:
            return self._adapter_victim(worker)
        if self._fits_without(worker, target, frozenset()):
            return []
        victims: list[Victim] = []
        for victim in self._evictable_models(worker):
            if victim.target.model == target.model:
                continue
            victims.append(victim)
            if self._fits_without(worker, target, frozenset(gone.target.model for gone in victims)):
                return victims
        return None

    def _evictable_models(self, worker: WorkerState) -> list[Victim]:
        """Models that may be unloaded from this worker, the least valuable first."""
        known = self._evictable.get(worker.instance)
        if known is not None:
            return known
        candidates = [
            Victim(self._model_loss(worker, model), ModelClass(model))
            for model in worker.holdings
            if self._is_evictable(worker, model)
        ]
        ordered = sorted(candidates, key=lambda victim: (victim.loss, victim.target))
        self._evictable[worker.instance] = ordered
        return ordered

    def cheapest_model(self, worker: WorkerState) -> Victim | None:
        """The model whose unload from this worker loses least, of those that may go now."""
        return next(iter(self._evictable_models(worker)), None)

    def _is_evictable(self, worker: WorkerState, model: str) -> bool:
        if not self.catalogue.known(model):
            return True
        if self.now_s - worker.holdings[model].since_s < self.options.residence_s:
            return False
        asked_lately = self.now_s - self.demand.model(model).asked_s < self.options.recent_s
        return not asked_lately or self.values.copies(model) > 1

    def _model_loss(self, worker: WorkerState, model: str) -> float:
        return self.values.loss(worker, model) if self.catalogue.known(model) else UNLISTED_LOSS

    def _fits_without(self, worker: WorkerState, target: ModelClass, gone: frozenset[str]) -> bool:
        kept = (item for item in worker.holdings.items() if item[0] not in gone)
        used_mb = sum(
            worker.holding_mb(self.catalogue, model, len(holding.adapters)) for model, holding in kept
        )
        return used_mb + order_mb(self.catalogue, target.model, target.adapter) <= self.catalogue.weights_mb

    def _adapter_victim(self, worker: WorkerState) -> list[Victim] | None:
        """The adapter whose loss is smallest; of equal ones the one that was asked for longest ago."""
        adapters = [
            ModelClass(model, adapter)
            for model, holding in worker.holdings.items()
            for adapter in holding.adapters
        ]
        idle = [key for key in adapters if self.now_s - self._asked_s(key) > self.options.adapter_recent_s]
        if not idle:
            return None
        victim = min(idle, key=lambda key: (self.values.adapter_loss(key), self._asked_s(key), key))
        return [Victim(self.values.adapter_loss(victim), victim)]

    def _asked_s(self, key: ModelClass) -> float:
        return self.demand.of_class(key).asked_s
