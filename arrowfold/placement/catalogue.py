"""Models of a service and memory of its workers, from the operator's configuration."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """One model that can be loaded. `adapters` is the number of its adapters, named a1, a2 and so on."""

    name: str
    weights_mb: float
    load_time_s: float  # from the weight store, unless it is overloaded
    adapters: int
    adapter_size_mb: float


@dataclass(frozen=True, slots=True)
class ModelCatalogue:
    """All models of a service, and the capacity of one worker."""

    service: str
    models: Mapping[str, ModelSpec]
    weights_mb: float  # memory of a worker for weights and adapters together
    adapter_capacity: int  # adapters that a worker can hold, across all its models
    load_rate_per_s: float  # loads per second that the weight store allows, across all workers

    def has_class(self, model: str, adapter: str = "") -> bool:
        """Returns True if the configuration lists this model and this adapter of it, if one is given."""
        spec = self.models.get(model)
        if spec is None:
            return False
        if not adapter:
            return True
        return adapter[:1] == "a" and adapter[1:].isdigit() and 1 <= int(adapter[1:]) <= spec.adapters

    @property
    def parallel_loads(self) -> int:
        """Number of concurrent loads that the weight store carries at full speed (rate x load time)."""
        longest = max((spec.load_time_s for spec in self.models.values()), default=1.0)
        return max(1, math.ceil(self.load_rate_per_s * longest - 1e-9))


def parse_catalogue(service: Mapping[str, Any]) -> ModelCatalogue | None:
    """Returns the catalogue of one service of a valid configuration document; None if it lists no models."""
    engine = service.get("engine") or {}
    documents = engine.get("models") or []
    if not documents:
        return None
    specs = [_model_spec(document) for document in documents]
    return ModelCatalogue(
        service=str(service["name"]),
        models={spec.name: spec for spec in specs},
        weights_mb=float(engine.get("weightsMb", 0.0)),
        adapter_capacity=int(engine.get("adapterCapacity", 0)),
        load_rate_per_s=float(engine.get("loadRateS", 1.0)),
    )


def _model_spec(document: Mapping[str, Any]) -> ModelSpec:
    return ModelSpec(
        name=str(document["name"]),
        weights_mb=float(document.get("weightsMb", 0.0)),
        load_time_s=float(document.get("loadTimeS", 1.0)),
        adapters=int(document.get("adapters", 0)),
        adapter_size_mb=float(document.get("adapterSizeMb", 0.0)),
    )
