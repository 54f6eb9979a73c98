"""Replicated decisions on usage windows.

The primary commits the counts of a window, and that the platform has accepted a window.
"""

from __future__ import annotations

from result import Err

from arrowfold.controlplane.primary_calls import PrimaryCalls
from arrowfold.controlplane.role_names import USAGE_ROLE
from arrowfold.internal.messages import (
    Acknowledgement,
    CallFailed,
    DecidedUsageWindow,
    DecideUsageWindow,
    MarkUsageReported,
)
from arrowfold.node.result_codes import ResultCode
from arrowfold.replication.ports import Caller
from arrowfold.replication.proposals import Proposal, ReplicaPort
from arrowfold.replication.state import ControlState
from arrowfold.replication.usage_ledger import UsageLedger, UsageWindowDecided, UsageWindowReported


class UsageDecisions:
    """Calls the primary for decisions, and makes them on the primary."""

    def __init__(self, replica: ReplicaPort, caller: Caller) -> None:
        self._replica = replica
        self._decide_calls = PrimaryCalls(replica, caller, self.on_decide, _is_decided)
        self._mark_calls = PrimaryCalls(replica, caller, self.on_reported, _is_acknowledged)

    @property
    def ledger(self) -> UsageLedger:
        """Committed windows, as far as known to this member."""
        return self._replica.committed.usage

    async def decide(self, window: int, counts: dict[str, int], token: int) -> DecidedUsageWindow | None:
        """Has the counts of a window committed under the token of a tenure.

        Returns the committed counts, or None if the outcome is unknown.
        """
        answer = await self._decide_calls.call_primary(DecideUsageWindow(window, counts, token))
        return answer if isinstance(answer, DecidedUsageWindow) else None

    async def mark_reported(self, window: int) -> bool:
        """Has it committed that the platform accepted a window; returns whether this is known."""
        return await self._mark_calls.call_primary(MarkUsageReported(window)) is not None

    async def on_decide(self, request: DecideUsageWindow) -> DecidedUsageWindow | CallFailed:
        """On the primary: commits the counts of a window unless it is already settled."""

        def decide(state: ControlState) -> Proposal[DecidedUsageWindow | CallFailed]:
            if state.usage.is_settled(request.window):
                return Proposal(_settled_window(state.usage, request.window))
            tenure = state.roles.get(USAGE_ROLE)
            if tenure is None or tenure.token != request.token:
                return Proposal(CallFailed(ResultCode.EPOCH_STALE, "another holds the duty"))
            entry = UsageWindowDecided(request.window, request.counts)
            return Proposal(DecidedUsageWindow(request.window, request.counts), entry)

        result = await self._replica.propose(decide)
        if isinstance(result, Err):
            return CallFailed(result.err_value.code, str(result.err_value))
        return result.ok_value

    async def on_reported(self, request: MarkUsageReported) -> Acknowledgement | CallFailed:
        """On the primary: commits that the platform accepted a window."""

        def decide(state: ControlState) -> Proposal[Acknowledgement]:
            if request.window not in state.usage.pending:
                return Proposal(Acknowledgement())
            return Proposal(Acknowledgement(), UsageWindowReported(request.window))

        result = await self._replica.propose(decide)
        if isinstance(result, Err):
            return CallFailed(result.err_value.code, str(result.err_value))
        return result.ok_value


def _settled_window(ledger: UsageLedger, window: int) -> DecidedUsageWindow:
    counts = ledger.counts(window)
    return DecidedUsageWindow(window, counts or {}, known=counts is not None)


def _is_decided(answer: object) -> bool:
    return isinstance(answer, DecidedUsageWindow)


def _is_acknowledged(answer: object) -> bool:
    return isinstance(answer, Acknowledgement)
