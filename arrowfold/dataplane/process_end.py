"""The planned end of an edge process: no request is taken, or kept waiting, beyond the time that is left."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator

ANSWER_MARGIN_S = 0.1  # before the end, for the last answers to go out
CROSSING_S = 0.5  # after listening has ended, requests that were on their way are taken as before
CROSSING_SHARE = 0.25  # of the time that is left then, at most


class ProcessEnd:
    """When this process ends, once that is planned; times are seconds by the event loop's clock."""

    def __init__(self) -> None:
        self._ends_s = math.inf  # by when every answer must have ended
        self._takes_until_s = math.inf  # until when requests are taken whatever their deadline is
        self._bounds: set[asyncio.Timeout] = set()  # of the requests under way

    def plan(self, ends_s: float) -> None:
        """Fix the end: requests under way are bounded by it from now on."""
        now_s = asyncio.get_running_loop().time()
        crossing_s = min(CROSSING_S, CROSSING_SHARE * (ends_s - now_s))
        self._takes_until_s = now_s + crossing_s
        self._ends_s = ends_s - ANSWER_MARGIN_S
        for bound in self._bounds:
            due_s = bound.when()
            if due_s is not None and due_s > self._ends_s:
                bound.reschedule(self._ends_s)

    def lets_in(self, deadline_s: float) -> bool:
        """Whether a request that has just been read may be sent on: its answer will have ended in time."""
        return deadline_s <= self._ends_s or asyncio.get_running_loop().time() <= self._takes_until_s

    def comes_before(self, deadline_s: float) -> bool:
        """Whether the process ends before this deadline."""
        return self._ends_s < deadline_s

    @contextlib.asynccontextmanager
    async def bounding(self, deadline_s: float) -> AsyncIterator[None]:
        """Raise TimeoutError at the deadline, or when the process must have ended its answers."""
        async with asyncio.timeout_at(min(deadline_s, self._ends_s)) as bound:
            self._bounds.add(bound)
            try:
                yield
            finally:
                self._bounds.discard(bound)
