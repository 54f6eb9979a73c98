"""The edges' shares of the retry budget: their sum never exceeds the budget of the fleet."""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from arrowfold.dataplane.retry_budget import RetryBudget

RATIO, EXTRA, WINDOW_S = 0.2, 52.0, 10.0
STEP_S = 0.25


@dataclass
class Edge:
    """One edge; a restart creates a new budget."""

    edges: int
    budget: RetryBudget = field(init=False)

    def __post_init__(self) -> None:
        self.restart(-100.0)

    def restart(self, now_s: float) -> None:
        self.budget = RetryBudget(RATIO, EXTRA, WINDOW_S, now_s)
        self.budget.apply_edges(self.edges, now_s)


def count_within(times: list[float], start_s: float) -> int:
    return sum(start_s < moment <= start_s + WINDOW_S for moment in times)


def test_without_requests_only_the_extra_share_is_available() -> None:
    budget = Edge(4).budget
    taken = sum(budget.try_consume("s", 0.0) for _ in range(100))
    assert taken == int(0.9 * EXTRA / 4)


def test_a_refunded_repeat_can_be_consumed_again() -> None:
    budget = Edge(52).budget
    assert not budget.try_consume("s", 0.0)
    budget = Edge(26).budget
    assert budget.try_consume("s", 0.0)
    assert not budget.try_consume("s", 0.0)
    budget.refund("s")
    assert budget.try_consume("s", 0.0)


def test_services_have_separate_budgets() -> None:
    budget = Edge(26).budget
    assert budget.try_consume("a", 0.0) and budget.try_consume("b", 0.0)
    assert not budget.try_consume("a", 0.0)


def test_a_restarted_process_spends_nothing_of_the_extra_share_in_its_first_window() -> None:
    edge = Edge(1)
    edge.restart(0.0)
    assert not edge.budget.try_consume("s", 9.9)
    assert edge.budget.try_consume("s", 10.0)


def test_the_extra_is_shared_by_the_maximum_edges_of_the_last_window() -> None:
    budget = Edge(52).budget
    budget.apply_edges(1, 0.0)
    assert not budget.try_consume("s", 5.0)
    budget.apply_edges(1, 11.0)
    assert budget.try_consume("s", 21.5)


@settings(max_examples=60, deadline=None)
@given(st.data())
def test_the_shares_of_all_edges_stay_within_the_fleets_budget(data: st.DataObject) -> None:
    count = data.draw(st.integers(1, 5))
    edges = [Edge(count) for _ in range(count)]
    requests: list[float] = []
    repeats: list[float] = []
    for step in range(120):
        now_s = step * STEP_S
        for edge in edges:
            request_count, retries, restarts = data.draw(
                st.tuples(st.sampled_from([0, 0, 1, 8]), st.sampled_from([0, 0, 2, 30]), st.integers(0, 40))
            )
            if restarts == 40:
                edge.restart(now_s)
            for _ in range(request_count):
                edge.budget.count_request("s", now_s)
                requests.append(now_s)
            repeats.extend(now_s for _ in range(retries) if edge.budget.try_consume("s", now_s))
    for end in range(120):
        start_s = end * STEP_S - WINDOW_S
        most_requests = max(
            count_within(requests, start_s - shift) for shift in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        assert count_within(repeats, start_s) <= RATIO * most_requests + EXTRA
