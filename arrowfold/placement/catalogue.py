"""The models of a service and the room of its workers, as the operator's configuration gives them."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """One model that may be loaded. `adapters` is how many exist; they are named a1, a2 and so on."""

    name: str
    weights_mb: float
    load_time_s: float  # from the weight store, while few loads run
    adapters: int
    adapter_size_mb: float


@dataclass(frozen=True, slots=True)
class ModelCatalogue:
    """All models of a service, and what one worker can hold of them."""

    service: str
    models: Mapping[str, ModelSpec]
    weights_mb: float  # room of a worker for weights and adapters together
    adapter_capacity: int  # adapters that a worker can hold, over all its models
    load_rate_s: float  # loads a second that the weight store allows over all workers

    def known(self, model: str, adapter: str = "") -> bool:
        """True if the configuration lists this model, and this adapter of it where one is named."""
        spec = self.models.get(model)
        if spec is None:
            return False
        if not adapter:
            return True
        return adapter[:1] == "a" and adapter[1:].isdigit() and 1 <= int(adapter[1:]) <= spec.adapters

    @property
    def parallel_loads(self) -> int:
        """How many loads the store carries at once at full speed, judged by its rate and the load time."""
        longest = max((spec.load_time_s for spec in self.models.values()), default=1.0)
        return max(1, math.ceil(self.load_rate_s * longest - 1e-9))


def catalogue_of(service: Mapping[str, Any]) -> ModelCatalogue | None:
    """The catalogue of one service of a valid configuration document; None if it lists no models."""
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
        load_rate_s=float(engine.get("loadRateS", 1.0)),
    )


def _model_spec(document: Mapping[str, Any]) -> ModelSpec:
    return ModelSpec(
        name=str(document["name"]),
        weights_mb=float(document.get("weightsMb", 0.0)),
        load_time_s=float(document.get("loadTimeS", 1.0)),
        adapters=int(document.get("adapters", 0)),
        adapter_size_mb=float(document.get("adapterSizeMb", 0.0)),
    )
