"""The usage windows in the replicated state: decided counts, and those not yet accepted by the platform.

Windows are decided in ascending order, each at most once. Deciding a window settles all earlier ones: a
window that was skipped is never decided.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from arrowfold.internal.codec import message

MAX_PENDING_WINDOWS = 720  # decided but unreported windows; beyond that the oldest are dropped
REPORTED_WINDOWS_KEPT = 4  # reported windows whose counts are kept for inspection
NONE_DECIDED = -1


@message(90)
@dataclass(frozen=True, slots=True)
class UsageWindowDecided:
    """Log entry: the final counts of a window, by tenant."""

    window: int
    counts: dict[str, int]


@message(91)
@dataclass(frozen=True, slots=True)
class UsageWindowReported:
    """Log entry: the platform has accepted a window's report."""

    window: int


UsageEntry = UsageWindowDecided | UsageWindowReported


@message(92)
@dataclass(frozen=True, slots=True)
class UsageLedger:
    """Usage counts by window and tenant; all windows up to `decided_through` are settled.

    `pending` holds the windows that are decided but not reported, `reported` the newest reported ones, both
    in ascending order of windows.
    """

    decided_through: int = NONE_DECIDED
    pending: dict[int, dict[str, int]] = field(default_factory=dict)
    reported: dict[int, dict[str, int]] = field(default_factory=dict)

    def is_settled(self, window: int) -> bool:
        """Whether a window's counts can no longer be decided."""
        return window <= self.decided_through

    def counts(self, window: int) -> dict[str, int] | None:
        """The decided counts of a window by tenant, or None if there are none or they were dropped."""
        return self.pending.get(window, self.reported.get(window))

    def oldest_pending(self) -> int | None:
        """The first window that the platform has not yet accepted, or None."""
        return min(self.pending, default=None)


def apply_usage(ledger: UsageLedger, entry: UsageEntry) -> UsageLedger:
    """The ledger after one more log entry; deciding a settled window again has no effect."""
    if isinstance(entry, UsageWindowDecided):
        return _with_decided(ledger, entry)
    return _with_reported(ledger, entry.window)


def _with_decided(ledger: UsageLedger, entry: UsageWindowDecided) -> UsageLedger:
    if ledger.is_settled(entry.window):
        return ledger
    pending = _newest({**ledger.pending, entry.window: entry.counts}, MAX_PENDING_WINDOWS)
    return replace(ledger, decided_through=entry.window, pending=pending)


def _with_reported(ledger: UsageLedger, window: int) -> UsageLedger:
    counts = ledger.pending.get(window)
    if counts is None:
        return ledger
    pending = {other: kept for other, kept in ledger.pending.items() if other != window}
    reported = _newest({**ledger.reported, window: counts}, REPORTED_WINDOWS_KEPT)
    return replace(ledger, pending=pending, reported=reported)


def _newest(windows: dict[int, dict[str, int]], limit: int) -> dict[int, dict[str, int]]:
    return {window: windows[window] for window in sorted(windows)[-limit:]}
