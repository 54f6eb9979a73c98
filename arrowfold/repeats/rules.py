"""How long runs are remembered, by class, and within how much memory. Plain types."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

ZERO = timedelta(0)


@dataclass(frozen=True, slots=True)
class Repeats:
    """What the document says of repeats."""

    keep: Mapping[str, timedelta] = field(default_factory=dict)  # by class, how long a run is remembered
    memory: int = 16_000_000  # bytes, of answers, keys and filters together
    largest: int = 65_536  # bytes of an answer that is kept; of a larger one only that it was served
    false_positives: float = 1e-6  # of a filter that holds what it was made for

    def keeps(self, request_class: str) -> timedelta:
        return self.keep.get(request_class, ZERO)
