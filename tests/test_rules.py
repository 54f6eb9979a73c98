"""The four rules under random sequences of events; tests/field.py checks each action independently."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st

from arrowfold import interface as api
from tests.field import MS, SECOND, Recorder, roster, sends, settings, started

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "arrive", "end", "end", "time", "withdraw", "roster", "probe"]),
        st.integers(0, 10_000)),
    min_size=5, max_size=60)


def play(field: Recorder, steps: list[tuple[str, int]]) -> None:
    """Plays random events; the recorder checks every action."""
    statuses = list(api.Status)
    for at, (kind, draw) in enumerate(steps):
        if kind == "arrive":
            field.arrive(f"r{at}", field.conf.classes[draw % len(field.conf.classes)].name)
        elif kind == "end" and field.out():
            request, number, _ = field.out()[draw % len(field.out())]
            field.finish(request, number, statuses[draw % len(statuses)], api.LoadReport(free_slots=draw % 5))
        elif kind == "time":
            field.advance(field.now + draw * 100)
        elif kind == "withdraw" and field.requests:
            request = sorted(field.requests)[draw % len(field.requests)]
            if request not in field.closed:
                field.feed(api.Withdrawn(request))
        elif kind == "roster":
            entries = roster(1 + draw % 6, first=draw % 4, zones="abc")
            mode = api.RosterMode.COMPLETE if draw % 2 else api.RosterMode.PARTIAL
            if draw % 3 == 0:
                entries = tuple(replace(e, lifecycle=api.Lifecycle.TERMINATING) for e in entries)
            field.feed(api.RosterUpdate(mode, entries))
        elif kind == "probe" and field.probes:
            worker = field.probes.pop(0)
            field.feed(api.ProbeEnded(worker, statuses[draw % 4], 900, api.LoadReport(free_slots=draw % 5)))


@budget(max_examples=150, deadline=None, derandomize=True)
@given(steps=STEPS, copies=st.booleans(), probing=st.booleans(), seed=st.integers(0, 99))
def test_rules_1_to_3_hold_in_any_order(
        steps: list[tuple[str, int]], copies: bool, probing: bool, seed: int) -> None:
    conf = settings(second_copies=copies, may_probe=probing)
    field = Recorder(conf, roster(5, zones="abc"), seed)
    play(field, steps)
    field.advance(field.now + 6 * SECOND)
    for request, arrival in field.requests.items():
        assert request in field.closed, f"{request} ({arrival.request_class}) was never answered"


def test_rule_1_an_open_request_is_answered_by_its_deadline() -> None:
    field = Recorder(settings(), ())
    for cls in field.conf.classes:
        field.arrive(cls.name, cls.name)
    field.advance(5 * SECOND)
    assert set(field.closed) == set(field.requests)


def test_rule_2_an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() -> None:
    for status in api.Status:
        field = Recorder(settings(), roster(6))
        field.arrive("r", "unsafe")
        field.finish("r", 0, status)
        again = len(field.attempts["r"]) == 2
        assert again is status.never_ran
        if not status.never_ran:
            assert field.closed["r"] == ("served" if status is api.Status.OK else "Fail")


def test_rule_2_a_keyed_request_stays_in_its_group() -> None:
    for group, same in (("zone", lambda a, b: a.zone == b.zone), ("cell", lambda a, b: a.cell == b.cell)):
        for seed in range(20):
            field = Recorder(settings(), roster(12, zones="ab"), seed)
            field.arrive("r", group)
            field.finish("r", 0, api.Status.RESET)
            if len(field.attempts["r"]) > 1:
                first, second = (field.entries[a["worker"]] for a in field.attempts["r"][:2])
                assert same(first, second)


def test_rule_3_nothing_is_sent_to_a_worker_once_it_is_reported_to_leave() -> None:
    dispatcher = started(settings(), roster(4))
    leaving = tuple(replace(e, lifecycle=api.Lifecycle.TERMINATING) for e in roster(3))
    arrivals = [api.Arrival(f"r{i}", "safe", 9 * SECOND) for i in range(20)]
    actions = dispatcher.handle(1, [api.RosterUpdate(api.RosterMode.PARTIAL, leaving), *arrivals])
    assert {s.worker for s in sends(actions)} == {"w3"}


@budget(max_examples=4, deadline=None, derandomize=True)
@given(first=st.integers(0, 9_999), gap_ms=st.integers(10, 30))
def test_rule_4_all_dispatchers_together_keep_the_cold_budget(first: int, gap_ms: int) -> None:
    fleet, window, slots = 20, SECOND, 8
    conf = settings(
        fleet_size=fleet, cold_from=0.3, cold_us=8 * SECOND, overload_factor=3.0, overload_for_us=window)
    sent: list[int] = []
    for seed in range(fleet):
        field = Recorder(conf, roster(4), first + seed)
        for at in range(8):  # first, the capacity of a warm worker becomes known
            field.arrive(f"warm{at}")
            request, number, _ = field.out()[0]
            field.now += 400 * MS
            field.finish(request, number, api.Status.OK, api.LoadReport(free_slots=slots))
        field.feed(api.RosterUpdate(api.RosterMode.COMPLETE, roster(4, launched_us=field.now)))
        start = field.now
        for at in range(400):
            field.advance(start + at * gap_ms * MS)
            field.arrive(f"r{at}")
        tries = [a for request in field.attempts.values() for a in request]
        sent += [a["at"] - start for a in tries if a["worker"] == "w0" and a["at"] >= start]
    for begin in range(0, 7 * SECOND, 100 * MS):
        work = 0.4 * sum(begin <= at < begin + window for at in sent)
        warmth = 0.3 + 0.7 * begin / (8 * SECOND)
        assert work <= 3.0 * warmth * slots * window / SECOND
    assert sent, "a cold worker is not left unused"


def test_a_restarted_worker_is_cold_again_and_launch_time_zero_is_warm() -> None:
    conf = settings(
        fleet_size=50, cold_from=0.3, cold_us=8 * SECOND, overload_factor=3.0, overload_for_us=SECOND)
    warm = started(conf, roster(1, launched_us=0))
    assert sends(warm.handle(1, [api.Arrival("r", "safe", 5 * SECOND)]))
    cold = started(conf, roster(1, launched_us=1))
    assert not sends(cold.handle(2, [api.Arrival("r", "safe", 5 * SECOND)]))


def test_hedges_beyond_the_cap_or_after_the_end_are_not_allowed() -> None:
    for changes, may in (({}, False), ({"second_copies": True}, True), (
            {"second_copies": True, "attempt_cap": 1}, False)):
        field = Recorder(settings(**changes), roster(2, zones="a"))
        field.arrive("r")
        request = field.dispatcher.requests["r"]
        other = next(w for w in field.dispatcher.workers.values() if w is not request.attempts[0].worker)
        assert field.dispatcher.allowed(request, other) is may
        field.feed(api.Withdrawn("r"))
        assert not field.dispatcher.allowed(request, other)


def test_a_cold_worker_gets_no_request_that_alone_would_spend_its_budget() -> None:
    """A single heavy request was 13.9 times the capacity of a cold worker (found on kl-scripting)."""
    conf = settings(cold_from=0.2, cold_us=20 * SECOND, overload_factor=2.5, overload_for_us=SECOND)
    dispatcher = started(conf, roster(2, zones="a", launched_us=1))
    worker = dispatcher.workers["w0"]
    worker.size = [4.0]
    for name, effort, may in (("light", 100 * MS, True), ("heavy", 3 * SECOND, False)):
        dispatcher.handle(2, [api.Arrival(name, "safe", 5 * SECOND, effort_us=effort)])
        request = dispatcher.requests[name]
        request.attempts.clear()
        worker.next_cold_turn_us = 1  # its turn has come
        assert dispatcher.allowed(request, worker) is may
