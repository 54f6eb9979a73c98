"""Which workers edges find failing: what one edge learns at its own cost, the others need not learn again."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from arrowfold.placement.options import FailureOptions


@dataclass(slots=True)
class _Reports:
    """The reports on one worker."""

    by_edge_s: dict[str, float] = field(default_factory=dict)  # when each edge last told of a failure there
    troubled_until_s: float = -math.inf


class FailureReports:
    """Takes edges' reports and tells which workers are in trouble.

    One edge alone may be cut off, or may have sent a request that fails anywhere. So it takes reports of
    `edges` edges within `window_s`; what they told holds for `hold_s` after the last of them, so that a
    worker that recovers is soon tried again.
    """

    def __init__(self, options: FailureOptions) -> None:
        self._options = options
        self._reports: dict[str, _Reports] = {}

    def note(self, edge: str, instances: Iterable[str], now_s: float) -> None:
        """An edge tells that requests failed at these workers since its last report."""
        for instance in instances:
            reports = self._reports.setdefault(instance, _Reports())
            reports.by_edge_s[edge] = now_s
            recent = [at_s for at_s in reports.by_edge_s.values() if now_s - at_s < self._options.window_s]
            if len(recent) >= self._options.edges:
                reports.troubled_until_s = now_s + self._options.hold_s

    def is_troubled(self, instance: str, now_s: float) -> bool:
        """Whether edges found this worker failing lately."""
        reports = self._reports.get(instance)
        return reports is not None and now_s < reports.troubled_until_s

    def forget_all_but(self, instances: Iterable[str]) -> None:
        """Drop what was told of workers that are gone."""
        kept = set(instances)
        for instance in [known for known in self._reports if known not in kept]:
            del self._reports[instance]
