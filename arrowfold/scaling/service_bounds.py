"""The bounds that the operator sets for the number of a service's workers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ScalingBounds:
    """The `scaling` section of a service. Counts are numbers of workers in each zone."""

    service: str
    min_count: int
    max_count: int
    boot_time_s: float

    def clamp(self, count: int) -> int:
        """Returns the nearest count within the bounds."""
        return max(self.min_count, min(self.max_count, count))


def scaling_bounds_of(service: Mapping[str, Any]) -> ScalingBounds | None:
    """Returns the bounds of one service of a valid configuration; None if its workers are not ordered."""
    scaling = service.get("scaling")
    if scaling is None:
        return None
    return ScalingBounds(
        service=str(service["name"]),
        min_count=int(scaling.get("minCount", 0)),
        max_count=int(scaling["maxCount"]),
        boot_time_s=float(scaling.get("bootTimeS", 0.0)),
    )
