"""The planned end of an edge process: no request is admitted, or kept waiting, beyond that time."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator

from arrowfold.dataplane.end_schedule import EndSchedule

FINAL_ANSWER_MARGIN_S = 0.1  # before the end, for sending the last answers


class ProcessEnd:
    """When this process ends, once that is planned. Times are seconds of the event loop's clock."""

    def __init__(self) -> None:
        self._answers_end_s = math.inf  # when every answer must be complete
        self._grace_until_s = math.inf  # requests are admitted whatever their deadline is
        self._timeouts: set[asyncio.Timeout] = set()  # of the requests in progress

    @property
    def is_planned(self) -> bool:
        """Whether the end is planned."""
        return self._answers_end_s < math.inf

    def plan(self, schedule: EndSchedule) -> None:
        """Set the time of the end, which limits requests in progress from now on."""
        now_s = asyncio.get_running_loop().time()
        self._grace_until_s = now_s + schedule.admits_any_until_s
        self._answers_end_s = now_s + schedule.ends_s - FINAL_ANSWER_MARGIN_S
        for timeout in self._timeouts:
            timeout_at_s = timeout.when()
            if timeout_at_s is not None and timeout_at_s > self._answers_end_s:
                timeout.reschedule(self._answers_end_s)

    def admits(self, deadline_s: float) -> bool:
        """Whether a request that has just been read may be forwarded."""
        return deadline_s <= self._answers_end_s or asyncio.get_running_loop().time() <= self._grace_until_s

    def is_before(self, deadline_s: float) -> bool:
        """Whether the process ends before this deadline."""
        return self._answers_end_s < deadline_s

    @contextlib.asynccontextmanager
    async def limit_time(self, deadline_s: float) -> AsyncIterator[None]:
        """Raise TimeoutError at the deadline, or when all answers of the process must be complete."""
        async with asyncio.timeout_at(min(deadline_s, self._answers_end_s)) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)
