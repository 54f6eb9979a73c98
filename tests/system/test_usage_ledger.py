"""The usage windows of the replicated state: each is decided once, whatever the order of entries."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok, Result

from arrowfold.controlplane.role_names import USAGE_ROLE
from arrowfold.controlplane.usage_decisions import UsageDecisions
from arrowfold.controlplane.usage_windows import GATHERING_S, UsageGathering, usage_body
from arrowfold.dataplane.usage_reporter import REPORT_INTERVAL_S
from arrowfold.internal.codec import FIRST_TAG, decode, encode
from arrowfold.internal.messages import (
    Acknowledgement,
    CallFailed,
    DecidedUsageWindow,
    DecideUsageWindow,
    MarkUsageReported,
    NodeIdentity,
    UsageReport,
    WindowCounts,
)
from arrowfold.replication.proposals import Decide
from arrowfold.replication.state import ControlState, RoleGrant, apply_entry
from arrowfold.replication.usage_ledger import (
    MAX_PENDING_WINDOWS,
    REPORTED_WINDOWS_KEPT,
    UsageEntry,
    UsageLedger,
    UsageWindowDecided,
    UsageWindowReported,
    apply_usage,
)

LATE_S = 4.0
_windows = st.integers(min_value=0, max_value=30)
_counts = st.dictionaries(st.sampled_from(["huka", "puhu", "nyti"]), st.integers(1, 500), max_size=3)
_entries = st.one_of(
    st.builds(UsageWindowDecided, _windows, _counts), st.builds(UsageWindowReported, _windows)
)


@settings(max_examples=300, deadline=None)
@given(st.lists(_entries, max_size=60))
def test_given_any_entries_then_a_window_never_has_two_bodies(entries: list[UsageEntry]) -> None:
    state = ControlState()
    bodies: dict[int, bytes] = {}
    settled = state.usage.decided_through
    for entry in entries:
        state = apply_entry(state, decode(encode(entry)))
        for window, counts in {**state.usage.pending, **state.usage.reported}.items():
            body = usage_body(DecidedUsageWindow(window, counts))
            assert bodies.setdefault(window, body) == body
            assert state.usage.is_settled(window)
        assert state.usage.decided_through >= settled
        settled = state.usage.decided_through
        assert decode(encode(state)) == state


def test_given_a_decided_window_then_a_second_decision_and_an_earlier_window_change_nothing() -> None:
    ledger = apply_usage(UsageLedger(), UsageWindowDecided(7, {"huka": 3}))
    assert apply_usage(ledger, UsageWindowDecided(7, {"huka": 4})) == ledger
    assert apply_usage(ledger, UsageWindowDecided(6, {"huka": 4})) == ledger


def test_given_many_windows_then_pending_and_reported_ones_are_bounded() -> None:
    ledger = UsageLedger()
    for window in range(MAX_PENDING_WINDOWS + 10):
        ledger = apply_usage(ledger, UsageWindowDecided(window, {"huka": 1}))
    assert list(ledger.pending) == list(range(10, MAX_PENDING_WINDOWS + 10))
    for window in list(ledger.pending):
        ledger = apply_usage(ledger, UsageWindowReported(window))
    assert not ledger.pending and len(ledger.reported) == REPORTED_WINDOWS_KEPT
    assert ledger.is_settled(0)


def test_given_a_snapshot_without_usage_then_it_reads_with_an_empty_ledger() -> None:
    # An older node's snapshot ends before the field `usage`; reading it must not fail after an upgrade.
    state = apply_entry(ControlState(), RoleGrant("placement/s", "m1"))
    older = cbor2.loads(encode(state), tag_hook=lambda tag, *_: tag)
    assert older.tag == FIRST_TAG + 46
    shortened = cbor2.CBORTag(older.tag, list(older.value)[:-1])
    assert decode(cbor2.dumps(shortened)) == state


def _report(
    edge: str, ended_through: int, *windows: tuple[int, dict[str, int]], run: str = "1"
) -> UsageReport:
    identity = NodeIdentity(edge, f"{edge}.{run}", "zone", "a:1", ("edge",))
    return UsageReport(identity, tuple(WindowCounts(*window) for window in windows), ended_through)


_EDGES = frozenset({"e1", "e2", "e3"})


@pytest.mark.parametrize("times", [1, 3])
def test_given_a_repeated_report_then_nothing_counts_twice(times: int) -> None:
    gathering = UsageGathering(LATE_S)
    for _ in range(times):
        gathering.record_report(_report("e1", 7, (7, {"huka": 3})), 6)
        gathering.record_report(_report("e2", 7, (7, {"huka": 2, "puhu": 1})), 6)
        gathering.record_report(_report("e2", 7, (7, {"huka": 1})), 6)  # an older report that arrived late
    gathering.record_report(_report("e3", 7), 6)
    due = gathering.due(_EDGES, 10.0, 0.0)
    assert due is not None
    assert (due.window, due.counts, due.is_complete) == (7, {"huka": 5, "puhu": 1}, True)


def test_given_a_restarted_edge_then_the_counts_of_both_runs_add_up() -> None:
    gathering = UsageGathering(LATE_S)
    gathering.record_report(_report("e1", 6, (7, {"huka": 3})), 6)
    gathering.record_report(_report("e1", 7, (7, {"huka": 2}), run="2"), 6)
    due = gathering.due(frozenset({"e1"}), 10.0, 0.0)
    assert due is not None and due.counts == {"huka": 5}


def test_given_one_edge_with_its_clock_set_ahead_then_no_window_ends_by_it() -> None:
    gathering = UsageGathering(LATE_S)
    gathering.record_report(_report("e1", 90, (7, {"huka": 3})), 6)
    gathering.record_report(_report("e2", 6, (7, {"huka": 3})), 6)
    gathering.record_report(_report("e3", 6, (7, {"huka": 3})), 6)
    assert gathering.due(_EDGES, 100.0, 0.0) is None


def test_given_an_unresponsive_edge_then_an_ended_window_waits_for_it_only_for_a_time() -> None:
    gathering = UsageGathering(LATE_S)
    gathering.record_report(_report("e1", 7, (7, {"huka": 3})), 6)
    gathering.record_report(_report("e2", 7), 6)
    assert gathering.due(_EDGES, 10.0, 0.0) is None
    assert gathering.due(_EDGES, 10.0 + LATE_S - 0.1, 0.0) is None
    due = gathering.due(_EDGES, 10.0 + LATE_S, 0.0)
    assert due is not None and not due.is_complete


def test_given_a_new_holder_then_it_gathers_before_it_decides() -> None:
    # A new holder that decided on the first reports would omit counts that other edges have yet to report.
    gathering = UsageGathering(LATE_S)
    gathering.record_report(_report("e1", 7, (7, {"huka": 3})), 6)
    only = frozenset({"e1"})
    assert GATHERING_S > 2 * REPORT_INTERVAL_S  # each edge has reported twice
    assert gathering.due(only, 50.0 + GATHERING_S - 0.1, 50.0) is None
    assert gathering.due(only, 50.0 + GATHERING_S, 50.0) is not None


def test_given_settled_windows_then_they_are_dropped_and_not_counted_again() -> None:
    gathering = UsageGathering(LATE_S)
    gathering.record_report(_report("e1", 7, (7, {"huka": 3})), 6)
    gathering.drop_decided(7)
    gathering.record_report(_report("e1", 7, (7, {"huka": 3})), 7)
    assert gathering.due(frozenset({"e1"}), 50.0, 0.0) is None


def test_given_counts_in_any_order_then_the_body_has_the_same_bytes() -> None:
    one = usage_body(DecidedUsageWindow(7, {"puhu": 1, "huka": 2}))
    assert one == usage_body(decode(encode(DecidedUsageWindow(7, {"huka": 2, "puhu": 1}))))
    assert json.loads(one) == {"windowNumber": 7, "counts": {"huka": 2, "puhu": 1}}


class Primary:
    """A primary that commits at once."""

    member = "m1"

    def __init__(self) -> None:
        self.committed = apply_entry(ControlState(), RoleGrant(USAGE_ROLE, "m1"))

    async def propose(self, decide: Decide[Any]) -> Result[Any, Any]:
        proposal = decide(self.committed)
        if proposal.entry is not None:
            self.committed = apply_entry(self.committed, proposal.entry)
        return Ok(proposal.answer)


async def _decide(primary: Primary, window: int, count: int, token: int) -> Any:
    decisions = UsageDecisions(primary, None)  # type: ignore[arg-type]
    return await decisions.on_decide(DecideUsageWindow(window, {"huka": count}, token))


def test_given_a_holder_that_lost_the_duty_then_it_decides_no_window() -> None:
    # A holder that was frozen would decide on the few counts that it had gathered before.
    async def story() -> None:
        primary = Primary()
        primary.committed = apply_entry(primary.committed, RoleGrant(USAGE_ROLE, "m2"))
        assert isinstance(await _decide(primary, 7, 1, token=1), CallFailed)
        assert not primary.committed.usage.is_settled(7)
        assert await _decide(primary, 7, 5, token=2) == DecidedUsageWindow(7, {"huka": 5})

    asyncio.run(story())


def test_given_a_settled_window_then_every_caller_gets_the_decided_counts() -> None:
    async def story() -> None:
        primary = Primary()
        decisions = UsageDecisions(primary, None)  # type: ignore[arg-type]
        await _decide(primary, 7, 5, token=1)
        assert await _decide(primary, 7, 6, token=1) == DecidedUsageWindow(7, {"huka": 5})
        assert await _decide(primary, 6, 6, token=1) == DecidedUsageWindow(6, {}, known=False)
        for _ in range(2):
            assert await decisions.on_reported(MarkUsageReported(7)) == Acknowledgement()
        assert not primary.committed.usage.pending
        assert await _decide(primary, 7, 6, token=1) == DecidedUsageWindow(7, {"huka": 5})

    asyncio.run(story())
