"""Reports usage to the platform while this node holds the duty.

Two independent loops: one decides windows from the reports of the edges, the other sends decided windows that
the platform has not accepted yet, oldest first. The bodies are built from the replicated state alone, so
every holder of the duty sends the same bytes for a window.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from arrowfold.controlplane.platform_client import DutyAnswer, DutyCall, DutyPlatform
from arrowfold.controlplane.role_names import USAGE_ROLE
from arrowfold.controlplane.usage_decisions import UsageDecisions
from arrowfold.controlplane.usage_windows import UsageGathering, usage_body
from arrowfold.internal.messages import DecidedUsageWindow, UsageReceipt, UsageReport
from arrowfold.node.logs import RateLimitedLog
from arrowfold.replication.ports import Clock
from arrowfold.replication.roles import HeldRoleLease, RoleAuthority

USAGE_PATH = "/usage"
CHECK_INTERVAL_S = 0.2
MIN_LEASE_REMAINING_S = 0.15  # required to start a call, so that it reaches the platform under the lease
PLATFORM_RATE_SHARE = 0.2  # of the call rate that the platform accepts from all nodes; one holder calls
INITIAL_BACKOFF_S = 1.0  # after a call that was or may have been rejected; doubled after each
MAX_BACKOFF_S = 4.0
NO_TOKEN = 0


class UsageService:
    """Collects usage reports on every member and sends them to the platform while holding the duty."""

    def __init__(
        self,
        name: str,
        decisions: UsageDecisions,
        authority: RoleAuthority,
        platform: DutyPlatform,
        edges: Callable[[], frozenset[str]],
        gathering: UsageGathering,
        call_rate: float,
        clock: Clock,
        log: RateLimitedLog,
    ) -> None:
        """Creates the service.

        `name`: name of this node. `edges`: returns the names of the edges that take traffic. `call_rate`:
        calls per second that the platform accepts from all nodes.
        """
        self._name = name
        self._decisions = decisions
        self._authority = authority
        self._platform = platform
        self._edges = edges
        self._gathering = gathering
        self._call_spacing_s = 1.0 / (PLATFORM_RATE_SHARE * call_rate)
        self._clock = clock
        self._log = log
        self._lease: HeldRoleLease | None = None
        self._held_since_s = 0.0
        self._fenced_token = NO_TOKEN  # refused by the platform, which has seen a higher one
        self._accepted: set[int] = set()  # windows not yet marked as reported in the replicated state
        self._rejected: set[int] = set()  # windows that the platform refused; not sent again in this tenure
        self._backoff_s = INITIAL_BACKOFF_S

    async def run(self) -> None:
        """Decides and sends windows until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_repeatedly(self._decide_next))
            tasks.create_task(self._run_repeatedly(self._send_next))

    async def _run_repeatedly(self, step: Callable[[], Awaitable[float]]) -> None:
        """Repeats a step, which returns the time until the next one in seconds."""
        while True:
            try:
                delay_s = await step()
            except Exception as error:  # an error in one step must not end the duty
                self._log.error("usage.failed", holder=self._name, error=repr(error))
                delay_s = MAX_BACKOFF_S
            await asyncio.sleep(delay_s)

    async def on_report(self, report: UsageReport) -> UsageReceipt:
        """Records the counts of an edge; on every member, as any may become the next holder of the duty."""
        decided_through = self._decisions.ledger.decided_through
        self._gathering.drop_decided(decided_through)
        self._gathering.record_report(report, decided_through)
        return UsageReceipt(decided_through)

    def _current_lease(self) -> HeldRoleLease | None:
        """Returns the lease of the duty, or None if it is not held or too short for one more call."""
        tenure = self._authority.tenure(USAGE_ROLE)
        if tenure is None:
            self._lease = None
            return None
        if self._lease is None or self._lease.token != tenure.token:
            self._lease = HeldRoleLease(self._authority, tenure, self._clock)
            self._held_since_s = self._clock()
            self._rejected.clear()
            self._backoff_s = INITIAL_BACKOFF_S
            self._log.info("usage.owned", holder=self._name, token=tenure.token)
        return self._lease if self._lease.remaining_s() > MIN_LEASE_REMAINING_S else None

    async def _decide_next(self) -> float:
        """Has the oldest window decided if it is due; returns the time until the next step in seconds."""
        lease = self._current_lease()
        if lease is None:
            return CHECK_INTERVAL_S
        self._gathering.drop_decided(self._decisions.ledger.decided_through)
        due = self._gathering.due(self._edges(), self._clock(), self._held_since_s)
        if due is None:
            return CHECK_INTERVAL_S
        decided = await self._decisions.decide(due.window, due.counts, lease.token)
        if decided is None:
            return CHECK_INTERVAL_S
        self._gathering.drop_decided(due.window)
        self._log.info(
            "usage.decided",
            holder=self._name,
            token=lease.token,
            window=due.window,
            requests=sum(decided.counts.values()),
            complete=due.is_complete,
        )
        return CHECK_INTERVAL_S

    async def _send_next(self) -> float:
        """Sends one window if one is pending; returns the time until the next step in seconds."""
        await self._mark_accepted()
        lease = self._current_lease()
        if lease is None or lease.token <= self._fenced_token:
            return CHECK_INTERVAL_S
        unsent = self._next_pending_window()
        if unsent is None:
            return CHECK_INTERVAL_S
        call = DutyCall(USAGE_PATH, usage_body(unsent), self._name, lease.token)
        answer = await self._platform.send(call)
        self._log.info(
            "usage.sent", holder=self._name, token=lease.token, window=unsent.window, answer=answer.value
        )
        return self._record_answer(answer, unsent.window, lease.token)

    def _next_pending_window(self) -> DecidedUsageWindow | None:
        """Returns the oldest decided window that the platform has not accepted, or None."""
        pending = self._decisions.ledger.pending
        unsent = [window for window in pending if window not in self._accepted | self._rejected]
        return DecidedUsageWindow(min(unsent), pending[min(unsent)]) if unsent else None

    def _record_answer(self, answer: DutyAnswer, window: int, token: int) -> float:
        """Records an answer; returns the time until the next call in seconds."""
        if answer is DutyAnswer.ACCEPTED:
            self._accepted.add(window)
            self._backoff_s = INITIAL_BACKOFF_S
            return self._call_spacing_s
        if answer is DutyAnswer.FENCED:
            self._fenced_token = max(self._fenced_token, token)
            return CHECK_INTERVAL_S
        if answer is DutyAnswer.REFUSED:
            self._rejected.add(window)
            self._log.error("usage.rejected", holder=self._name, token=token, window=window)
        delay_s, self._backoff_s = self._backoff_s, min(MAX_BACKOFF_S, 2 * self._backoff_s)
        return delay_s

    async def _mark_accepted(self) -> None:
        """Marks accepted windows in the replicated state, so that no later holder sends them again."""
        for window in sorted(self._accepted):
            if window not in self._decisions.ledger.pending:
                self._accepted.discard(window)
            else:
                await self._decisions.mark_reported(window)
