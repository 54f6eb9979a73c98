"""Data types: how long runs are remembered, by class, and the memory limit."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

ZERO = timedelta(0)


@dataclass(frozen=True, slots=True)
class Repeats:
    """The `repeats` section of a configuration document."""

    keep: Mapping[str, timedelta] = field(default_factory=dict)  # by class: retention after a run's end
    memory: int = 16_000_000  # bytes for answers, keys and filters together
    max_answer_bytes: int = 65_536  # of a larger answer, only that it was served is remembered
    false_positives: float = 1e-6  # rate of a filter filled to its capacity

    def retention(self, request_class: str) -> timedelta:
        """Returns how long runs of a class are remembered; zero: not at all."""
        return self.keep.get(request_class, ZERO)
