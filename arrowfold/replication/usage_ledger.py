"""The usage windows in the replicated state: what was decided, and what the platform has yet to accept.

Windows are decided in rising order, each once. To decide one settles all before it: what was not decided by
then never is.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from arrowfold.internal.codec import message

MAX_PENDING_WINDOWS = 720  # windows that were decided and not reported; of more, the oldest are given up
REPORTED_WINDOWS_KEPT = 4  # windows that were reported, kept with their counts to look at
NONE_DECIDED = -1


@message(90)
@dataclass(frozen=True, slots=True)
class UsageWindowDecided:
    """Log entry: these are a window's counts for good, by tenant."""

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
    """The windows up to `decided_through` are settled; of these, `pending` are decided and not reported.

    `pending` and `reported` (the newest few) hold the counts by window, in rising order.
    """

    decided_through: int = NONE_DECIDED
    pending: dict[int, dict[str, int]] = field(default_factory=dict)
    reported: dict[int, dict[str, int]] = field(default_factory=dict)

    def is_settled(self, window: int) -> bool:
        """Whether a window's counts can't be decided any longer."""
        return window <= self.decided_through

    def counts(self, window: int) -> dict[str, int] | None:
        """The counts that were decided, or None if there are none or they are forgotten."""
        return self.pending.get(window, self.reported.get(window))

    def oldest_pending(self) -> int | None:
        """The first window that the platform has yet to accept."""
        return min(self.pending, default=None)


def apply_usage(ledger: UsageLedger, entry: UsageEntry) -> UsageLedger:
    """The ledger after one more log entry; a second decision of a window changes nothing."""
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
