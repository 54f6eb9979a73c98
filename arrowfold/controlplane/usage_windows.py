"""Collects the usage reports of edges and determines which window can be decided; no clock and no I/O.

Whether a window has ended depends on the clocks of the edges and not on that of this node: each edge reports
the last window for which its counts are complete. A window has ended once most edges report so, so that no
single stepped clock ends one.
"""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass

from arrowfold.internal.messages import DecidedUsageWindow, UsageReport

GATHERING_S = 2.5  # after the start of a tenure, by when each edge has reported to the new holder
LATE_REPORTS_SHARE = 0.4  # of `usageDelayS`: maximum wait after the end of a window for missing reports
MAX_WINDOWS = 128  # undecided windows that are kept; the oldest are dropped


@dataclass(frozen=True, slots=True)
class GatheredCounts:
    """Counts of a window by tenant. `is_complete`: whether all edges have reported theirs."""

    window: int
    counts: dict[str, int]
    is_complete: bool


class UsageGathering:
    """Latest counts of each edge process for the undecided windows."""

    def __init__(self, late_reports_s: float) -> None:
        """Creates an empty collection.

        `late_reports_s`: how long an ended window waits for edges that have not reported, in seconds.
        """
        self._late_reports_s = late_reports_s
        self._counts: dict[int, dict[str, dict[str, int]]] = defaultdict(dict)  # window, edge process, tenant
        self._ended_through: dict[str, int] = {}  # by name of the edge
        self._ended_s: dict[int, float] = {}  # time at which a window was first known to have ended

    def record_report(self, report: UsageReport, decided_through: int) -> None:
        """Records a report; duplicates and reports that arrive out of order don't change the counts."""
        sender = report.sender
        self._ended_through[sender.name] = report.ended_through
        for reported in report.windows:
            if reported.window <= decided_through:
                continue
            counts = self._counts[reported.window].setdefault(sender.member, {})
            for tenant, count in reported.counts.items():
                counts[tenant] = max(count, counts.get(tenant, 0))
        for window in sorted(self._counts)[:-MAX_WINDOWS]:
            self._drop(window)

    def drop_decided(self, decided_through: int) -> None:
        """Drops the windows up to `decided_through`."""
        for window in [window for window in self._counts if window <= decided_through]:
            self._drop(window)

    def due(self, edges: frozenset[str], now_s: float, gathering_since_s: float) -> GatheredCounts | None:
        """Returns the counts of the oldest window if it can be decided now, else None.

        `edges`: names of the edges that take traffic. `now_s`, `gathering_since_s`: monotonic times.
        """
        window = min(self._counts, default=None)
        if window is None:
            return None
        if not self._has_ended(window, edges):
            self._ended_s.pop(window, None)
            return None
        ended_s = self._ended_s.setdefault(window, now_s)
        if now_s - gathering_since_s < GATHERING_S:
            return None
        complete = all(self._has_reported_through(edge, window) for edge in edges)
        if not complete and now_s - ended_s < self._late_reports_s:
            return None
        return GatheredCounts(window, self._sum(window), complete)

    def _has_reported_through(self, edge: str, window: int) -> bool:
        return self._ended_through.get(edge, -1) >= window

    def _has_ended(self, window: int, edges: frozenset[str]) -> bool:
        """Returns whether a majority of the edges that have reported at all report its end."""
        reported = [edge for edge in edges if edge in self._ended_through]
        return bool(reported) and 2 * sum(
            self._has_reported_through(edge, window) for edge in reported
        ) > len(reported)

    def _sum(self, window: int) -> dict[str, int]:
        totals: dict[str, int] = defaultdict(int)
        for counts in self._counts[window].values():
            for tenant, count in counts.items():
                totals[tenant] += count
        return {tenant: totals[tenant] for tenant in sorted(totals)}

    def _drop(self, window: int) -> None:
        self._counts.pop(window, None)
        self._ended_s.pop(window, None)


def usage_body(decided: DecidedUsageWindow) -> bytes:
    """Returns the body of the call for a window; the same counts always yield the same bytes."""
    value = {"windowNumber": decided.window, "counts": dict(decided.counts)}
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()
