"""Idle connections to servers, on a clock that the test sets."""

from __future__ import annotations

import unittest
from datetime import timedelta
from typing import Any

from arrowfold.transport.budget import Budget
from arrowfold.transport.pool import Pool, Pools


class Clock:
    """The loop, as far as a pool needs it."""

    def __init__(self) -> None:
        self.time = timedelta(0)

    def now(self) -> timedelta:
        return self.time

    def call_later(self, *_: Any) -> None:
        pass


class Connection:
    def __init__(self) -> None:
        self.closed, self.on_idle_event = False, None

    def try_read(self) -> None:
        return None

    def close(self) -> None:
        self.closed = True


class Idling(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        pools = Pools(Budget(100))
        self.pool = Pool(self.clock, ("127.0.0.1", 1), timedelta(seconds=24), pools)  # type: ignore[arg-type]

    def idle(self, seconds: float, rest: timedelta = timedelta(0)) -> Connection:
        """A connection that has been given back and has then stood idle for so long."""
        connection: Any = Connection()
        self.pool.give_back(connection, rest)
        self.clock.time += timedelta(seconds=seconds)
        return connection  # type: ignore[no-any-return]

    def taken(self) -> Any:
        """What the pool would use again, without opening a connection."""
        self.pool.budget.most = 0
        try:
            next(self.pool.take(self.clock.now()))
        except StopIteration as got:
            return got.value
        except Exception:
            return None

    def test_one_is_not_used_near_the_age_at_which_the_far_side_has_closed_others(self) -> None:
        """Guards against resets: a request that crosses the close of its connection may have run."""
        connection = self.idle(0.95)
        self.assertIs(self.taken(), connection)
        connection = self.idle(1)
        connection.on_idle_event()  # type: ignore[misc]  # the far side has closed it
        self.assertTrue(connection.closed)
        self.idle(0.95)
        self.assertIsNone(self.taken())
        connection = self.idle(0.7)
        self.assertIs(self.taken(), connection)

    def test_a_close_right_after_an_answer_says_nothing_of_idle_time(self) -> None:
        self.idle(0.01).on_idle_event()  # type: ignore[misc]
        connection = self.idle(5)
        self.assertIs(self.taken(), connection)

    def test_a_pool_that_is_closed_keeps_nothing(self) -> None:
        """Guards descriptors: what was in use when a server moved was kept, and never given up."""
        self.pool.close()
        self.assertTrue(self.idle(0).closed)
        self.assertEqual(self.pool.pools.open, [])
