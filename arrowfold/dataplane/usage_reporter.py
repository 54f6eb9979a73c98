"""Reports of this edge's request counts to the holder of the usage duty.

A report is sent each second, and therefore also soon after the end of each window.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, Protocol

from result import Result

from arrowfold.dataplane.reports import role_address
from arrowfold.dataplane.usage_counts import UsageCounts
from arrowfold.internal.messages import ClusterView, NodeIdentity, UsageReceipt, UsageReport

USAGE_ROLE = "duty/usage"
USAGE_DUTY = "usage_report"  # the duty's name in the settings
REPORT_INTERVAL_S = 1.0
MIN_REPORT_PAUSE_S = 0.1  # a timer may fire slightly early; its report then counts as the one that is due
LAST_REPORT_TIMEOUT_S = 0.4  # for the report at the end of the process
REPORT_TIMEOUT_S = 0.8


class UsageCaller(Protocol):
    """Calls control nodes by their internal addresses."""

    async def call(self, address: str, request: Any, timeout_s: float) -> Result[Any, Any]:
        """Returns the node's answer, or the reason why there is none."""


class UsageReporter:
    """Reports periodically, at a random offset that spreads the edges' reports over the interval."""

    def __init__(
        self,
        caller: UsageCaller,
        identity: NodeIdentity,
        counts: UsageCounts,
        view: Callable[[], ClusterView | None],
        draw: random.Random | None = None,
    ) -> None:
        """`view` returns the control group as known to the edge; `draw` supplies the offset."""
        self._caller = caller
        self._identity = identity
        self._counts = counts
        self._view = view
        self._offset_s = (draw or random.Random()).random() * REPORT_INTERVAL_S

    async def run(self) -> None:
        """Sends reports until cancelled."""
        while True:
            await asyncio.sleep(self._pause_s())
            await self.report()

    async def report(self, timeout_s: float = REPORT_TIMEOUT_S) -> None:
        """Sends the counts of all undecided windows and drops those that the receipt lists as decided.

        Does nothing while no node is known to hold the duty; a failed report is repeated by the next one.
        """
        view = self._view()
        address = role_address(view, USAGE_ROLE) if view is not None else None
        if address is None:
            return
        report = UsageReport(self._identity, self._counts.undecided(), self._counts.ended_through())
        answer = (await self._caller.call(address, report, timeout_s)).ok()
        if isinstance(answer, UsageReceipt):
            self._counts.drop_decided(answer.decided_through)

    def _pause_s(self) -> float:
        """Returns the time in seconds until the next report; the offset counts from the ends of windows."""
        elapsed_s = (self._counts.since_window_end_s() - self._offset_s) % REPORT_INTERVAL_S
        pause_s = REPORT_INTERVAL_S - elapsed_s
        return pause_s if pause_s >= MIN_REPORT_PAUSE_S else pause_s + REPORT_INTERVAL_S
