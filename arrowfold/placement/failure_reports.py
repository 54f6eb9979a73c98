"""Failure reports of edge nodes, shared so that other edge nodes avoid a failing worker beforehand."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from arrowfold.placement.options import FailureOptions


@dataclass(slots=True)
class _WorkerFailures:
    """Failure reports on one worker."""

    last_report_s_by_edge: dict[str, float] = field(default_factory=dict)
    failing_until_s: float = -math.inf


class FailureReports:
    """Collects failure reports of edge nodes and determines which workers are failing.

    A single edge node may be partitioned, or may have sent a request that fails on any worker. A worker
    therefore counts as failing only after reports of `edges` edge nodes within `window_s`, and only for
    `hold_s` after the last of them, so that a recovered worker is soon used again.
    """

    def __init__(self, options: FailureOptions) -> None:
        self._options = options
        self._reports: dict[str, _WorkerFailures] = {}

    def record(self, edge: str, instances: Iterable[str], now_s: float) -> None:
        """Records that requests of an edge node failed at these workers since its last report."""
        for instance in instances:
            reports = self._reports.setdefault(instance, _WorkerFailures())
            reports.last_report_s_by_edge[edge] = now_s
            recent = [
                at_s
                for at_s in reports.last_report_s_by_edge.values()
                if now_s - at_s < self._options.window_s
            ]
            if len(recent) >= self._options.edges:
                reports.failing_until_s = now_s + self._options.hold_s

    def is_failing(self, instance: str, now_s: float) -> bool:
        """Returns True if enough edge nodes have reported failures of this worker recently."""
        reports = self._reports.get(instance)
        return reports is not None and now_s < reports.failing_until_s

    def retain_only(self, instances: Iterable[str]) -> None:
        """Drops the reports on all other workers."""
        kept = set(instances)
        for instance in [known for known in self._reports if known not in kept]:
            del self._reports[instance]
