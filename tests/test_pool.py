"""Idle connections to servers, with a simulated clock."""

from __future__ import annotations

import unittest
from datetime import timedelta
from typing import Any

from arrowfold.transport.budget import ConnectionBudget
from arrowfold.transport.pool import Pool, Pools


class Clock:
    """A stand-in for the event loop with a clock that the test sets."""

    def __init__(self) -> None:
        self.time = timedelta(0)

    def now(self) -> timedelta:
        return self.time

    def call_later(self, *_: Any) -> None:
        pass


class Connection:
    """A stand-in for a stream without received data."""

    def __init__(self) -> None:
        self.closed, self.on_idle_event = False, None

    def try_read(self) -> None:
        return None

    def close(self) -> None:
        self.closed = True


class Idling(unittest.TestCase):
    """Reuse of idle connections."""

    def setUp(self) -> None:
        self.clock = Clock()
        pools = Pools(ConnectionBudget(100))
        self.pool = Pool(self.clock, ("127.0.0.1", 1), timedelta(seconds=24), pools)  # type: ignore[arg-type]

    def idle(self, seconds: float, rest: timedelta = timedelta(0)) -> Connection:
        """Returns a connection to the pool and advances the clock by its idle time."""
        connection: Any = Connection()
        self.pool.give_back(connection, rest)
        self.clock.time += timedelta(seconds=seconds)
        return connection  # type: ignore[no-any-return]

    def reused(self) -> Any:
        """Returns the idle connection that the pool reuses, or None if it would open a new one."""
        self.pool.budget.limit = 0
        try:
            next(self.pool.take(self.clock.now()))
        except StopIteration as stop:
            return stop.value
        except Exception:
            return None

    def test_a_connection_idle_nearly_as_long_as_closed_ones_is_not_reused(self) -> None:
        """A request sent while the server closes the connection ends in a reset and may have run."""
        connection = self.idle(0.95)
        self.assertIs(self.reused(), connection)
        connection = self.idle(1)
        connection.on_idle_event()  # type: ignore[misc]  # the server has closed it
        self.assertTrue(connection.closed)
        self.idle(0.95)
        self.assertIsNone(self.reused())
        connection = self.idle(0.7)
        self.assertIs(self.reused(), connection)

    def test_a_close_right_after_an_answer_does_not_shorten_the_idle_time(self) -> None:
        self.idle(0.01).on_idle_event()  # type: ignore[misc]
        connection = self.idle(5)
        self.assertIs(self.reused(), connection)

    def test_a_closed_pool_closes_returned_connections(self) -> None:
        """A connection in use while its server changed its address used to be kept open forever."""
        self.pool.close()
        self.assertTrue(self.idle(0).closed)
        self.assertEqual(self.pool.pools.open, [])
