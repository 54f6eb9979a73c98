"""The load of a service, computed from the demand reports of edges."""

from __future__ import annotations

import math
from dataclasses import dataclass

from arrowfold.internal.messages import DemandReport
from arrowfold.placement.demand import DecayingRate

AVERAGING_TIME_S = 3.0  # time constant of the running requests: longer than the interval of reports
REPORT_TIMEOUT_S = 2.0  # maximum age of the last report; edges with traffic report more often


@dataclass(frozen=True, slots=True)
class Load:
    """The known load of a service. `running`: mean concurrent requests; `models`: models requested lately.

    `is_known`: edges have reported for long enough, and lately. A service without requests can't be
    distinguished from one whose edges can't report: its load is unknown.
    """

    running: float
    models: int
    is_known: bool


class ServiceLoad:
    """Aggregates the demand reports of all edges for one service."""

    def __init__(self, service: str, models_kept_s: float) -> None:
        """`models_kept_s`: how long a model counts after its last request."""
        self._service = service
        self._models_kept_s = models_kept_s
        self._running = DecayingRate(AVERAGING_TIME_S)
        self._last_request_s: dict[str, float] = {}  # by model
        self._reported_since_s = math.inf
        self._last_report_s = -math.inf

    def add(self, report: DemandReport, now_s: float) -> None:
        """Adds an edge's report, ignoring its demand for other services."""
        for demand in report.classes:
            if demand.service != self._service:
                continue
            if now_s - self._last_report_s > REPORT_TIMEOUT_S:
                self._reported_since_s = now_s
            self._last_report_s = now_s
            self._running.add(demand.workload_s, now_s)
            if demand.model:
                self._last_request_s[demand.model] = now_s

    def at(self, now_s: float) -> Load:
        """Returns the load at `now_s` and forgets models without a request within `models_kept_s`."""
        recent = {
            model: last_s
            for model, last_s in self._last_request_s.items()
            if now_s - last_s < self._models_kept_s
        }
        self._last_request_s = recent
        is_known = (
            now_s - self._last_report_s <= REPORT_TIMEOUT_S
            and now_s - self._reported_since_s >= 2 * AVERAGING_TIME_S
        )
        return Load(self._running.value(now_s), len(recent), is_known)
