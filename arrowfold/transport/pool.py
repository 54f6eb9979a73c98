"""Idle connections to one address, kept for reuse and closed before the far side would."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

from arrowfold.transport.budget import Budget
from arrowfold.transport.loop import ZERO, Loop, Steps
from arrowfold.transport.stream import Address, Broken, Stream, connect

# A connection that carried a job rests so long before its next request. Guards against a far side that
# answers twice: what comes late would be read as the answer to another request.
REST = timedelta(milliseconds=50)
SHORTEST_LIFE = timedelta(milliseconds=100)  # one closed sooner was not closed for standing idle


class NoRoom(Broken):
    """Every connection that this process may hold is in use: no fault of who was to be reached."""


class Pools:
    """All pools of a process."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.open: list[Pool] = []
        budget.sheds.append(self.drop_oldest)

    def drop_oldest(self) -> bool:
        """Give up the connection that has been idle longest."""
        idle = [pool for pool in self.open if pool.idle]
        return bool(idle) and min(idle, key=lambda pool: pool.idle[0][0]).drop_oldest()


class Pool:
    """Connections to one address; a connection carries one request at a time."""

    def __init__(self, loop: Loop, address: Address, idle: timedelta, pools: Pools) -> None:
        self.loop, self.address, self.idle_span = loop, address, idle
        self.pools, self.budget = pools, pools.budget
        self.idle: deque[tuple[timedelta, Stream]] = deque()
        self.rests: dict[Stream, timedelta] = {}  # until when some of the idle ones are left alone
        self.opened = 0
        self.sweeping = self.closed = False
        self.lives: deque[timedelta] = deque(maxlen=8)  # how long the far side lately let one stand idle
        pools.open.append(self)

    def take(self, until: timedelta) -> Steps[Stream]:
        """An idle connection that still stands, else a new one; Broken when none comes up."""
        now = self.loop.now()
        for place in reversed(range(len(self.idle))):
            since, stream = self.idle[place]
            if now < self.rests.get(stream, now):
                continue
            del self.idle[place]
            self._rouse(stream)
            if now - since < self._span() and self._stands(stream):
                return stream
            self.drop(stream)
        if not self.budget.room_for_server():
            raise NoRoom("every connection that this process may hold is in use")
        self.budget.servers += 1
        try:
            stream = yield from connect(self.loop, self.address, until)
        except BaseException:
            self.budget.servers -= 1
            raise
        self.opened += 1
        return stream

    def give_back(self, stream: Stream, rest: timedelta = ZERO) -> None:
        """Keep a connection on which nothing is under way, and leave it alone for a while."""
        if stream.closed or self.closed:
            self.drop(stream)
            return
        # Guards against sending on a connection that the far side has closed or written to meanwhile.
        stream.on_idle_event = lambda: self._discard(stream)
        if rest:
            self.rests[stream] = self.loop.now() + rest
        self.idle.append((self.loop.now(), stream))
        if not self.sweeping:
            self.sweeping = True
            self.loop.call_later(self.idle_span / 4, self._sweep)

    def drop(self, stream: Stream) -> None:
        """Close a connection that was taken from here."""
        self._rouse(stream)
        stream.close()
        self.budget.servers -= 1

    def _rouse(self, stream: Stream) -> None:
        """It is no longer idle."""
        stream.on_idle_event = None
        self.rests.pop(stream, None)

    def drop_oldest(self) -> bool:
        if not self.idle:
            return False
        self.drop(self.idle.popleft()[1])
        return True

    def close(self) -> None:
        """Close what is idle, and what is in use once it is given back."""
        self.closed = True
        while self.drop_oldest():
            pass
        if self in self.pools.open:
            self.pools.open.remove(self)

    @staticmethod
    def _stands(stream: Stream) -> bool:
        try:
            return stream.try_read() is None
        except Broken:
            return False

    def _discard(self, stream: Stream) -> None:
        for place, (since, other) in enumerate(self.idle):
            if other is stream:
                if self.loop.now() - since >= SHORTEST_LIFE:
                    self.lives.append(self.loop.now() - since)
                del self.idle[place]
                self.drop(stream)
                return

    def _span(self) -> timedelta:
        """How long one may stand idle here and still be used.

        Guards against a far side that closes sooner than agreed: a request that crosses its close is a reset.
        """
        return min(self.idle_span, min(self.lives) * 0.8) if self.lives else self.idle_span

    def _sweep(self) -> None:
        self.sweeping = False
        while self.idle and self.loop.now() - self.idle[0][0] >= self.idle_span * 0.7:
            self.drop_oldest()
        if self.idle:
            self.sweeping = True
            self.loop.call_later(self.idle_span / 4, self._sweep)
