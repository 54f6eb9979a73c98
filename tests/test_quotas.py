"""Quotas in virtual time: windows, nested levels, borrowing, refunds, promised retries, another tree."""

from __future__ import annotations

import heapq
import json
import random
import unittest
from datetime import timedelta
from typing import Any

from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st

from arrowfold.quotas.comebacks import PromisedRetries
from arrowfold.quotas.ledger import Ledger, Refusal, Ticket
from arrowfold.quotas.tree import Level, Limit, PathError, Resource, Tree, read_path
from arrowfold.quotas.window import SLOTS, Window

SECOND = 1_000_000
ONE = {Resource.REQUESTS: 1}
R, T = Resource.REQUESTS, Resource.WORKER_TIME


def limit(amount: int, seconds: float = 1, resource: Resource = R) -> Limit:
    return Limit(resource, amount, timedelta(seconds=seconds))


def org(*limits: Limit, **children: Level) -> Tree:
    return Tree(Level("", children={"o": Level("o", limits, children=children)}))


def is_admitted(ledger: Ledger, path: str, now: int, costs: Any = None) -> bool:
    return isinstance(ledger.admit(read_path(path), "c", costs or ONE, now), Ticket)


def refused(ledger: Ledger, path: str, now: int, costs: Any = None) -> Refusal:
    found = ledger.admit(read_path(path), "c", costs or ONE, now)
    assert isinstance(found, Refusal), found
    return found


@budget(max_examples=200, deadline=None, derandomize=True)
@given(steps=st.lists(st.tuples(st.integers(0, 400_000), st.integers(1, 9)), max_size=120),
       limit_=st.integers(1, 40), span=st.sampled_from([50_000, SECOND, 7 * SECOND]))
def test_no_interval_of_the_windows_length_exceeds_the_limit(
        steps: list[tuple[int, int]], limit_: int, span: int) -> None:
    window, now, charged = Window(limit_, span), 0, []
    for gap, amount in steps:
        now += gap
        if window.free_amount(now) >= amount:
            window.charge(amount, now)
            charged.append((now, amount))
        elif amount <= limit_:
            at = PromisedRetries().earliest_free_us(window, limit_, amount, now)
            assert at > now  # there is free capacity then, and none a microsecond before
            again = Window(limit_, span)
            for when, what in charged:
                again.charge(what, when)
            assert again.free_amount(at - 1) < amount <= again.free_amount(at)
    for begin, _ in charged:
        assert sum(amount for at, amount in charged if begin <= at <= begin + span) <= limit_


def test_constant_demand_gets_at_least_forty_parts_in_forty_one() -> None:
    window, got = Window(100, SECOND), 0
    for now in range(0, 60 * SECOND, 1000):
        if window.free_amount(now) >= 1:
            window.charge(1, now)
            got += 1
    assert 60 * 100 * SLOTS / (SLOTS + 1) - 100 <= got <= 60 * 100 + 100


TREE = Tree(Level("", children={"o": Level("o", (
    limit(20), limit(60, 10), limit(5 * SECOND, 10, T)), children={
    "a": Level("a", (limit(8), limit(2 * SECOND, 10, T)), borrow=True),
    "b": Level("b", (limit(8), limit(2 * SECOND, 10, T)), borrow=True, weight=2.0),
    "c": Level("c", (limit(4),), classes=frozenset({"other"}))},
    default=Level("*", (limit(2),)))}), nobody=Level("nobody", (limit(3),)))
PATHS = ("o/a", "o/b", "o/c", "o/d", "o/e", "o", "", "x", "o/a/deeper")


@budget(max_examples=150, deadline=None, derandomize=True)
@given(steps=st.lists(max_size=120, elements=st.tuples(
    st.sampled_from(["ask", "ask", "ask", "end", "change", "hand over"]), st.integers(0, 10_000))))
def test_charges_and_refunds_always_balance(steps: list[tuple[str, int]]) -> None:
    """Each window's total is the sum of its live charges; a refusal charges nothing at any level."""
    ledger, now, tickets = Ledger(TREE), 0, list[Ticket]()
    for what, dice in steps:
        now += dice * 37 - 20_000  # clocks may go back
        before = totals(ledger)
        if what == "ask":
            costs = {R: 1, T: dice * 100}
            found = ledger.admit(read_path(PATHS[dice % len(PATHS)]), ("c", "other")[dice % 2], costs, now,
                                 dice % 3 == 0)
            if isinstance(found, Ticket):
                tickets.append(found)
            else:
                assert all(after <= before.get(key, 0) for key, after in totals(ledger).items())
        elif what == "end" and tickets:
            ticket = tickets.pop(dice % len(tickets))
            ledger.settle(ticket, {R: 1, T: dice * 77}, now)
            once = totals(ledger)
            ledger.settle(ticket, {R: 0, T: 0}, now)
            assert totals(ledger) == once
        elif what == "change":
            ledger.replace_tree(TREE, 1 + dice % 3)
        elif what == "hand over" and not tickets:
            state = json.loads(json.dumps(ledger.state()))
            fresh = Ledger(TREE, ledger.nodes)
            fresh.restore(state, ledger.now_us)
            live = {key: value for key, value in totals(ledger).items() if value}
            assert {key: value for key, value in totals(fresh).items() if value} == live
            ledger = fresh
        for account in ledger.accounts.values():
            assert all(debt >= 0 for debt in account.debt)
            for window in account.windows:
                assert window.total == sum(slot.amount for slot in window.slots) >= 0
    for ticket in tickets:
        ledger.settle(ticket, {}, now)
    ledger.now_us += 11 * SECOND
    for account in ledger.accounts.values():
        assert account.open_tickets == 0
        assert all(window.free_amount(ledger.now_us) == window.limit for window in account.windows)


@budget(max_examples=150, deadline=None, derandomize=True)
@given(steps=st.lists(max_size=80, elements=st.tuples(
    st.sampled_from(["ask", "ask", "ask", "end"]), st.booleans(), st.integers(0, 10_000))))
def test_two_processes_of_a_node_count_each_charge_once(steps: list[tuple[str, bool, int]]) -> None:
    """While both run, both have the same balances, whichever admits or settles a job."""
    old, new, now, clock = Ledger(TREE), Ledger(TREE), 0, [0]
    tickets: list[tuple[Ledger, Ticket]] = []
    old.on_charge = lambda row: new.apply_replicated_charge(json.loads(json.dumps(row)), clock[0])
    for nth, (what, in_new, dice) in enumerate(steps):
        clock[0] = now = now + dice * 37
        if nth == len(steps) // 3:  # the second process starts while jobs run
            new.restore(json.loads(json.dumps(old.state())), now)
            new.on_charge = lambda row: old.apply_replicated_charge(json.loads(json.dumps(row)), clock[0])
        asked = new if in_new and new.on_charge is not None else old
        if what == "ask":
            found = asked.admit(read_path(PATHS[dice % len(PATHS)]), ("c", "other")[dice % 2],
                                {R: 1, T: dice * 100}, now)
            if isinstance(found, Ticket):
                tickets.append((asked, found))
        elif tickets:
            by, ticket = tickets.pop(dice % len(tickets))
            by.settle(ticket, {R: 1, T: dice * 77}, now)
        if new.on_charge is not None:
            assert live(old, now) == live(new, now)


def live(ledger: Ledger, now: int) -> dict[Any, int]:
    for account in ledger.accounts.values():
        for window in account.windows:
            window.advance(now)
    return {key: value for key, value in totals(ledger).items() if value}


def test_a_malformed_charge_is_refused() -> None:
    ledger = Ledger(TREE)
    assert is_admitted(ledger, "o/a", 5)
    before = totals(ledger)
    for row in (None, 5, [], [["o"], "c", 0, 0, 7, []], [["o"], "c", "x", 0, {"requests": -1}, []],
                [["o"], "c", 0, 0, {}, [[["o", "a"], 9, 1]]]):
        try:
            ledger.apply_replicated_charge(row, 10)
        except ValueError:
            continue
        raise AssertionError(row)
    assert totals(ledger) == before


def totals(ledger: Ledger) -> dict[Any, int]:
    return {(path, n): w.total for path, a in ledger.accounts.items() for n, w in enumerate(a.windows)}


class Nesting(unittest.TestCase):
    def test_a_refusal_at_one_level_charges_nothing_above_it(self) -> None:
        ledger = Ledger(org(limit(10), a=Level("a", (limit(2),)), b=Level("b")))
        self.assertEqual([is_admitted(ledger, "o/a", 0) for _ in range(5)], [True, True, False, False, False])
        self.assertEqual([is_admitted(ledger, "o/b", 0) for _ in range(9)], [True] * 8 + [False])
        found = refused(ledger, "o/b", 0)
        self.assertEqual((found.path, found.as_text()), (("o",), "quota of o: requests 10 per 1 s"))

    def test_every_window_counts_and_the_longest_wait_is_returned(self) -> None:
        ledger = Ledger(org(limit(2), limit(3, 60)))
        self.assertEqual([is_admitted(ledger, "o", n * SECOND // 2) for n in range(6)],
                         [True, True, False, True, False, False])
        found = refused(ledger, "o", 3 * SECOND)
        self.assertEqual(found.limit.per, timedelta(seconds=60))
        self.assertGreater(found.after, timedelta(seconds=55))

    def test_uncharged_classes_default_levels_and_jobs_without_a_tenant(self) -> None:
        ledger = Ledger(TREE)
        self.assertTrue(all(is_admitted(ledger, "o/c", 0) for _ in range(10)))  # charges "other" only
        self.assertEqual([is_admitted(ledger, "o/zzz", 0) for _ in range(3)], [True, True, False])
        self.assertEqual([is_admitted(ledger, "", 0) for _ in range(4)], [True] * 3 + [False])
        self.assertTrue(all(is_admitted(ledger, "unknown", 0) for _ in range(50)))

    def test_a_job_that_exceeds_a_whole_limit_gets_no_retry_after(self) -> None:
        ledger = Ledger(org(limit(SECOND, 10, T)))
        found = refused(ledger, "o", 0, {T: SECOND + 1})
        self.assertIsNone(found.after)
        self.assertIn("one job costs more", found.as_text())
        self.assertTrue(is_admitted(ledger, "o", 0, {T: SECOND}))
        none = Ledger(org(limit(0)))
        self.assertIsNone(refused(none, "o", 0).after)
        huge = Ledger(org(limit(2**62)))
        self.assertTrue(is_admitted(huge, "o", 0, {R: 2**61}))

    def test_paths(self) -> None:
        self.assertEqual([read_path(t) for t in (None, "", "o", "o/t")], [(), (), ("o",), ("o", "t")])
        for text in ("/", "o/", "/t", "o//t", "a b\n", " o", "x" * 101, "/".join("a" * 9)):
            with self.assertRaises(PathError):
                read_path(text)


class Settling(unittest.TestCase):
    def test_an_unused_reservation_is_refunded_once_and_an_excess_is_charged(self) -> None:
        ledger = Ledger(org(limit(10 * SECOND, 10, T)))
        ticket = ledger.admit(("o",), "c", {T: 8 * SECOND}, 0)
        assert isinstance(ticket, Ticket)
        self.assertFalse(is_admitted(ledger, "o", 0, {T: 3 * SECOND}))
        ledger.settle(ticket, {T: 2 * SECOND}, SECOND)
        ledger.settle(ticket, {T: 0}, SECOND)
        self.assertTrue(is_admitted(ledger, "o", SECOND, {T: 8 * SECOND}))
        self.assertFalse(is_admitted(ledger, "o", SECOND, {T: 1}))
        more = Ledger(org(limit(10 * SECOND, 10, T)))
        ticket = more.admit(("o",), "c", {T: SECOND}, 0)
        assert isinstance(ticket, Ticket)
        more.settle(ticket, {T: 12 * SECOND}, 5 * SECOND)
        self.assertFalse(is_admitted(more, "o", 5 * SECOND, {T: 1}))
        self.assertGreater(refused(more, "o", 5 * SECOND, {T: SECOND}).after, timedelta(seconds=9))

    def test_a_refund_after_its_window_has_no_effect(self) -> None:
        ledger = Ledger(org(limit(5)))
        ticket = ledger.admit(("o",), "c", ONE, 0)
        assert isinstance(ticket, Ticket)
        ledger.settle(ticket, {R: 0}, 5 * SECOND)
        self.assertEqual([is_admitted(ledger, "o", 5 * SECOND) for _ in range(6)], [True] * 5 + [False])


class Borrowing(unittest.TestCase):
    def tree(self) -> Tree:
        a, b = (Level(name, (limit(50),), borrow=True) for name in "ab")
        return org(limit(100), a=a, b=b)

    def test_an_idle_teams_share_can_be_borrowed_as_a_debt(self) -> None:
        ledger = Ledger(self.tree())
        self.assertEqual(sum(is_admitted(ledger, "o/a", 0) for _ in range(150)), 100)
        self.assertEqual(ledger.accounts["o", "a"].debt, [50])
        # In the next second a part of its own share repays the debt; it may still borrow.
        is_admitted(ledger, "o/a", 1_100_000)
        self.assertLess(ledger.accounts["o", "a"].debt[0], 50)

    def test_a_lender_that_returns_has_its_share_within_one_window(self) -> None:
        for gap in (1_000, 7_000, 20_000):
            ledger, now, first, got = Ledger(self.tree()), 0, None, 0
            while now < 5 * SECOND:  # team a uses all capacity
                is_admitted(ledger, "o/a", now)
                now += gap
            back = now
            while now < back + 3 * SECOND:
                is_admitted(ledger, "o/a", now)
                if is_admitted(ledger, "o/b", now):
                    first = first if first is not None else now
                    got += now >= back + SECOND + 2 * SECOND // SLOTS
                now += gap
            self.assertIsNotNone(first)
            assert first is not None
            self.assertLessEqual(first - back, SECOND + SECOND // SLOTS)
            possible = min(50, SECOND // gap) * (2 - 2 / SLOTS)
            self.assertGreaterEqual(got, 0.93 * possible, gap)

    def test_a_lender_active_every_other_second_is_served_within_the_limit(self) -> None:
        ledger, charged, lender_admitted, asked = Ledger(self.tree()), [], 0, 0
        for now in range(0, 40 * SECOND, 5_000):
            if is_admitted(ledger, "o/a", now):
                charged.append(now)
            if now // SECOND % 2:  # every other second
                asked += 1
                if is_admitted(ledger, "o/b", now):
                    charged.append(now)
                    lender_admitted += 1
        self.assertGreater(lender_admitted, 0.35 * 20 * 50)
        for begin in charged[::50]:
            self.assertLessEqual(sum(begin <= at <= begin + SECOND for at in charged), 100)

    def test_a_level_with_more_weight_borrows_more(self) -> None:
        tree = Tree(Level("", children={"o": Level("o", (limit(100),), children={
            "a": Level("a", (limit(10),), borrow=True),
            "b": Level("b", (limit(10),), borrow=True, weight=3.0),
            "idle": Level("idle", (limit(80),))})}), payback=0.0001)
        ledger, got = Ledger(tree), {"a": 0, "b": 0}
        for now in range(0, 20 * SECOND, 2_000):
            for name in got:
                got[name] += is_admitted(ledger, f"o/{name}", now)
        self.assertGreater(got["b"], 1.3 * got["a"])

    def test_nothing_is_borrowed_without_permission(self) -> None:
        ledger = Ledger(org(limit(100), a=Level("a", (limit(10),)), b=Level("b", (limit(90),))))
        self.assertEqual(sum(is_admitted(ledger, "o/a", 0) for _ in range(50)), 10)


class Advice(unittest.TestCase):
    def test_retries_at_the_promised_time_are_admitted(self) -> None:
        rng = random.Random(3)
        ledger = Ledger(org(limit(20), limit(300, 60), a=Level("a", (limit(10),))))
        due: list[tuple[int, int]] = []
        admitted, promises_kept, retried = 0, 0, 0
        for now in range(0, 30 * SECOND, 10_000):
            arrivals = [now] * (30 if now == 0 else rng.random() < 0.02)
            back = [row for row in due if row[0] <= now]
            due = [row for row in due if row[0] > now]
            for _ in back:
                retried += 1
                found = ledger.admit(("o", "a"), "c", ONE, now)
                if isinstance(found, Ticket):
                    promises_kept += 1
                elif found.after is not None:
                    due.append((now + found.after // timedelta(microseconds=1), now))
            for _ in arrivals:
                found = ledger.admit(("o", "a"), "c", ONE, now)
                admitted += isinstance(found, Ticket)
                if isinstance(found, Refusal) and found.after is not None:
                    due.append((now + found.after // timedelta(microseconds=1), now))
        self.assertGreater(retried, 20)
        self.assertGreaterEqual(promises_kept / retried, 0.95)

    def load_with_retries(self, resent: bool, borrow: bool) -> tuple[float, float]:
        """Under ten times the limit, returns the admitted share of promised retries and of the limit used."""
        rng, back, now = random.Random(5), list[int](), 0
        team = Level("a", (limit(10, 10), limit(100, 120)), borrow=borrow)
        ledger = Ledger(org(limit(13, 10), limit(130, 120), a=team, b=Level("b", (limit(3, 10),))))
        came = promises_kept = admitted = 0
        while now < 1200 * SECOND:
            now += int(rng.expovariate(8.3) * SECOND)
            while back and back[0] <= now:
                came += 1
                got = isinstance(ledger.admit(("o", "a"), "c", ONE, heapq.heappop(back), resent), Ticket)
                promises_kept, admitted = promises_kept + got, admitted + got
            found = ledger.admit(("o", "a"), "c", ONE, now)
            if isinstance(found, Ticket):
                admitted += 1
            elif rng.random() < 0.2 and found.after is not None:  # a little after the promised time
                back_us = now + found.after // timedelta(microseconds=1) + int(rng.random() * 50_000)
                heapq.heappush(back, back_us)
        self.assertGreater(came, 40)
        return promises_kept / came, admitted / 1000

    def test_promises_hold_while_new_jobs_keep_arriving(self) -> None:
        """For marked retries; at least 95 % of the limit is used all the same."""
        for borrow in (False, True):
            share, used = self.load_with_retries(True, borrow)
            self.assertGreaterEqual(share, 0.95)
            self.assertGreaterEqual(used, 0.95)
        self.assertLess(self.load_with_retries(False, False)[0], 0.9)  # none is reserved for unmarked

    def test_a_marked_retry_without_a_promise_has_no_advantage(self) -> None:
        ledger = Ledger(org(limit(10), a=Level("a", (limit(10),))))
        admitted = sum(isinstance(ledger.admit(("o", "a"), "c", ONE, 0, True), Ticket) for _ in range(40))
        self.assertEqual(admitted, 10)

    def test_a_promised_retry_uses_nothing_of_a_siblings_share(self) -> None:
        a, b = (Level(name, (limit(5),), borrow=True) for name in "ab")
        ledger = Ledger(org(limit(10), a=a, b=b))
        self.assertEqual(sum(is_admitted(ledger, "o/a", 0) for _ in range(12)), 10)  # and two promises
        now = SECOND + SECOND // SLOTS
        is_admitted(ledger, "o/b", now)
        admitted = sum(isinstance(ledger.admit(("o", "a"), "c", ONE, now, True), Ticket) for _ in range(12))
        self.assertLessEqual(admitted, 5)
        self.assertEqual(sum(is_admitted(ledger, "o/b", now) for _ in range(12)), 4)

    def test_a_thousand_refused_at_once_get_different_retry_times(self) -> None:
        ledger = Ledger(org(limit(10)))
        times = [found.after for _ in range(1010)
                 if isinstance(found := ledger.admit(("o",), "c", ONE, 0), Refusal)]
        self.assertEqual(len(times), 1000)
        for second in range(1, 90):
            due = sum(timedelta(seconds=second) <= t < timedelta(seconds=second + 1) for t in times if t)
            self.assertLessEqual(due, 20)
        self.assertLessEqual(max(t for t in times if t), timedelta(seconds=110))


class Nodes(unittest.TestCase):
    def test_all_nodes_parts_together_keep_the_limit_for_any_distribution_of_jobs(self) -> None:
        for nodes, stretch in ((1, 1.0), (2, 1.0), (4, 1.0), (4, 2.0), (16, 1.0), (16, 4.0)):
            tree = Tree(Level("", children={"o": Level("o", (limit(160),))}), stretch=stretch)
            ledgers = [Ledger(tree, nodes) for _ in range(nodes)]
            charged = []
            for now in range(0, 8 * SECOND, 1_000):  # all jobs at one node, another one in each window
                if is_admitted(ledgers[now // SECOND % nodes], "o", now):
                    charged.append(now)
                for ledger in ledgers:  # and at times at all nodes at once
                    if now % (3 * SECOND) < 200_000 and is_admitted(ledger, "o", now):
                        charged.append(now)
            most = max(sum(begin <= at <= begin + SECOND for at in charged) for begin in charged[::20])
            self.assertLessEqual(most, 160 * min(stretch, nodes), (nodes, stretch))

    def test_a_cautious_start_admits_a_part_of_the_limit_first(self) -> None:
        tree = Tree(Level("", children={"o": Level("o", (limit(100),))}), cautious=0.25)
        ledger = Ledger(tree, now_us=10 * SECOND)
        self.assertEqual(sum(is_admitted(ledger, "o", 10 * SECOND) for _ in range(200)), 25)
        self.assertEqual(sum(is_admitted(ledger, "o", 12 * SECOND) for _ in range(200)), 100)

    def test_a_tenant_long_after_a_cautious_start_has_its_whole_share(self) -> None:
        team = Level("*", (limit(100),))
        ledger = Ledger(Tree(Level("", default=team), cautious=0.25), now_us=10 * SECOND)
        self.assertEqual(sum(is_admitted(ledger, "early", 10_500_000) for _ in range(200)), 25)
        self.assertEqual(sum(is_admitted(ledger, "late", 3600 * SECOND) for _ in range(200)), 100)
        following = Ledger(ledger.tree, now_us=3600 * SECOND)
        following.restore(ledger.state(), 3600 * SECOND)  # not a start without balances
        self.assertEqual(sum(is_admitted(following, "other", 3600 * SECOND) for _ in range(200)), 100)


class Memory(unittest.TestCase):
    def test_idle_levels_are_evicted_only_if_no_decision_changes(self) -> None:
        team = Level("*", (limit(5), limit(50, 10)))
        tree = Tree(Level("", default=Level("*", default=team)), most_levels=2000)
        ledger = Ledger(tree)
        for n in range(20_000):
            ticket = ledger.admit((f"o{n % 7}", f"t{n}"), "c", ONE, n * 10_000)
            assert isinstance(ticket, Ticket)
            ledger.settle(ticket, ONE, n * 10_000)
        self.assertLess(len(ledger.accounts), 3200)
        self.assertGreater(ledger.evicted_count, 16_000)
        busy = Ledger(tree)
        for _ in range(5):
            is_admitted(busy, "o/t", 0)
        for n in range(5000):
            is_admitted(busy, f"o/x{n}", 100)
        self.assertFalse(is_admitted(busy, "o/t", 200))  # its share is used up, and it is not evicted

    def test_another_tree_keeps_balances_by_path(self) -> None:
        ledger = Ledger(org(limit(10), a=Level("a", (limit(6),))))
        tickets = [ledger.admit(("o", "a"), "c", ONE, 0) for _ in range(6)]
        ledger.replace_tree(org(limit(10), a=Level("a", (limit(8),))), 1)
        self.assertEqual([is_admitted(ledger, "o/a", 0) for _ in range(3)], [True, True, False])
        ledger.replace_tree(org(limit(9), b=Level("b")), 1)
        self.assertEqual([is_admitted(ledger, "o/b", 0) for _ in range(2)], [True, False])
        for ticket in tickets:
            assert isinstance(ticket, Ticket)
            ledger.settle(ticket, {R: 0}, 0)
        self.assertEqual(sum(is_admitted(ledger, "o/b", 0) for _ in range(9)), 6)

    def test_a_level_that_is_removed_and_added_again_keeps_its_balances(self) -> None:
        with_a = org(limit(10), a=Level("a", (limit(6),)))
        ledger = Ledger(with_a)
        self.assertEqual(sum(is_admitted(ledger, "o/a", 0) for _ in range(9)), 6)
        ledger.replace_tree(org(limit(10)), 1)
        ledger.replace_tree(with_a, 1)
        self.assertFalse(is_admitted(ledger, "o/a", 0))
        self.assertTrue(is_admitted(ledger, "o/a", 2 * SECOND))

    def test_the_handed_over_state_is_bounded_and_kept_by_resource(self) -> None:
        team = Level("*", (limit(5, 10), limit(5 * SECOND, 10, T)))
        ledger = Ledger(Tree(Level("", default=team)))
        for n in range(3000):
            ledger.admit((f"o{n}",), "c", {R: 1, T: n}, n)
        self.assertLess(len(json.dumps(ledger.state(10_000))), 200_000)
        reordered = Level("*", (limit(5 * SECOND, 10, T), limit(5, 10)))
        fresh = Ledger(Tree(Level("", default=reordered)))
        fresh.restore(json.loads(json.dumps(ledger.state())), 3000)
        time_used, requests_used = (w.total for w in fresh.accounts["o2999",].windows)
        self.assertEqual((time_used, requests_used), (2999, 1))

    def test_balances_are_handed_over_and_described(self) -> None:
        ledger = Ledger(org(limit(10), limit(10 * SECOND, 60, T)))
        for _ in range(7):
            ledger.admit(("o",), "c", {R: 1, T: SECOND}, 0)
        fresh = Ledger(ledger.tree)
        fresh.restore(json.loads(json.dumps(ledger.state())), 100)
        self.assertEqual(sum(is_admitted(fresh, "o", 100) for _ in range(9)), 3)
        self.assertIn("requests 10 per 1 s: used 10 of 10", fresh.describe(("o",), 100)[0])
        self.assertIn("worker-time 10 s per 60 s: used 7 of 10", fresh.describe(("o",), 100)[1])
        self.assertTrue(fresh.reset(("o",)))
        self.assertFalse(fresh.reset(("x",)))
        self.assertEqual(sum(is_admitted(fresh, "o", 100) for _ in range(20)), 10)
        for bad in ([1], [["o", 1, 2]], [[["o"], [], [[1]]]], {"a": 1}):
            with self.assertRaises(ValueError):
                fresh.restore(bad, 0)  # type: ignore[arg-type]
