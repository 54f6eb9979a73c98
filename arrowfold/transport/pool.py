"""Pools of idle connections, kept for reuse and closed before the server would close them."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

from arrowfold.transport.budget import ConnectionBudget
from arrowfold.transport.loop import ZERO, Loop, Steps
from arrowfold.transport.stream import Address, Stream, StreamBroken, connect

# Time between the answer to a job and the connection's next request. If a server answers twice, the second
# answer then arrives while the connection is idle, instead of being read as the answer to another request.
REST = timedelta(milliseconds=50)
MIN_IDLE_LIFETIME = timedelta(milliseconds=100)  # a connection closed sooner was not closed for being idle


class ConnectionLimitReached(StreamBroken):
    """Every connection that this process may hold is in use; the server is not at fault."""


class Pools:
    """All pools of a process, with their common budget."""

    def __init__(self, budget: ConnectionBudget) -> None:
        self.budget = budget
        self.open: list[Pool] = []
        budget.idle_closers.append(self.drop_oldest)

    def drop_oldest(self) -> bool:
        """Closes the connection that has been idle longest; returns whether there was one."""
        idle = [pool for pool in self.open if pool.idle]
        return bool(idle) and min(idle, key=lambda pool: pool.idle[0][0]).drop_oldest()


class Pool:
    """Connections to one address; a connection carries one request at a time."""

    def __init__(self, loop: Loop, address: Address, idle: timedelta, pools: Pools) -> None:
        self.loop, self.address, self.idle_limit = loop, address, idle
        self.pools, self.budget = pools, pools.budget
        self.idle: deque[tuple[timedelta, Stream]] = deque()
        self.reusable_at: dict[Stream, timedelta] = {}  # idle connections not to be used before a time
        self.opened = 0
        self.sweep_scheduled = self.closed = False
        # Idle times after which the server has recently closed connections.
        self.idle_lifetimes: deque[timedelta] = deque(maxlen=8)
        pools.open.append(self)

    def take(self, until: timedelta) -> Steps[Stream]:
        """Returns an open idle connection or else a new one; raises StreamBroken if none can be opened."""
        now = self.loop.now()
        for place in reversed(range(len(self.idle))):
            since, stream = self.idle[place]
            if now < self.reusable_at.get(stream, now):
                continue
            del self.idle[place]
            self._mark_in_use(stream)
            if now - since < self._max_idle() and self._is_open(stream):
                return stream
            self.drop(stream)
        if not self.budget.can_open_server_connection():
            raise ConnectionLimitReached("every connection that this process may hold is in use")
        self.budget.servers += 1
        try:
            stream = yield from connect(self.loop, self.address, until)
        except BaseException:
            self.budget.servers -= 1
            raise
        self.opened += 1
        return stream

    def give_back(self, stream: Stream, rest: timedelta = ZERO) -> None:
        """Returns a connection without a pending request to the pool; not reused for the time `rest`."""
        if stream.closed or self.closed:
            self.drop(stream)
            return
        # A connection that the server has closed or written to while idle must not be used again.
        stream.on_idle_event = lambda: self._discard_idle(stream)
        if rest:
            self.reusable_at[stream] = self.loop.now() + rest
        self.idle.append((self.loop.now(), stream))
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.loop.call_later(self.idle_limit / 4, self._sweep)

    def drop(self, stream: Stream) -> None:
        """Closes a connection of this pool."""
        self._mark_in_use(stream)
        stream.close()
        self.budget.servers -= 1

    def _mark_in_use(self, stream: Stream) -> None:
        """Removes the state that a connection has while idle."""
        stream.on_idle_event = None
        self.reusable_at.pop(stream, None)

    def drop_oldest(self) -> bool:
        """Closes the connection that has been idle longest; returns whether there was one."""
        if not self.idle:
            return False
        self.drop(self.idle.popleft()[1])
        return True

    def close(self) -> None:
        """Closes idle connections now and those in use when they are given back."""
        self.closed = True
        while self.drop_oldest():
            pass
        if self in self.pools.open:
            self.pools.open.remove(self)

    @staticmethod
    def _is_open(stream: Stream) -> bool:
        try:
            return stream.try_read() is None
        except StreamBroken:
            return False

    def _discard_idle(self, stream: Stream) -> None:
        for place, (since, other) in enumerate(self.idle):
            if other is stream:
                if self.loop.now() - since >= MIN_IDLE_LIFETIME:
                    self.idle_lifetimes.append(self.loop.now() - since)
                del self.idle[place]
                self.drop(stream)
                return

    def _max_idle(self) -> timedelta:
        """Returns the maximum idle time after which a connection may still be used.

        It adapts to a server that closes idle connections sooner than agreed, since a request sent while the
        server closes the connection ends in a reset.
        """
        return (
            min(self.idle_limit, min(self.idle_lifetimes) * 0.8) if self.idle_lifetimes else self.idle_limit)

    def _sweep(self) -> None:
        self.sweep_scheduled = False
        while self.idle and self.loop.now() - self.idle[0][0] >= self.idle_limit * 0.7:
            self.drop_oldest()
        if self.idle:
            self.sweep_scheduled = True
            self.loop.call_later(self.idle_limit / 4, self._sweep)
