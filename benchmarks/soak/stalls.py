"""Detects when the process of the clients itself stood still, so that what they saw came late."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

POLL_S = 0.01
MIN_STALL_S = 0.05  # beyond a poll; shorter ones are not kept


@dataclass(frozen=True, slots=True)
class Stall:
    """A time in which the event loop did not run; seconds of its clock."""

    began_s: float
    ended_s: float

    @property
    def duration_s(self) -> float:
        """How long it lasted."""
        return self.ended_s - self.began_s


@dataclass
class StallMonitor:
    """Records the stalls of the running event loop."""

    stalls: list[Stall] = field(default_factory=list)

    async def run(self) -> None:
        """Record until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            await asyncio.sleep(POLL_S)
            if loop.time() - began_s > POLL_S + MIN_STALL_S:
                self.stalls.append(Stall(began_s, loop.time()))

    def longest_s(self) -> float:
        """Returns the duration of the longest stall."""
        return max((stall.duration_s for stall in self.stalls), default=0.0)

    def stalled_s(self, began_s: float, ended_s: float) -> float:
        """Returns for how long the loop stood still between two times."""
        return sum(
            max(0.0, min(ended_s, stall.ended_s) - max(began_s, stall.began_s)) for stall in self.stalls
        )
