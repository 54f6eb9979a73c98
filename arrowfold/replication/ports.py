"""What replication needs of the world, so that the same code runs under simulation."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from result import Result

from arrowfold.internal.channel import ChannelError

Clock = Callable[[], float]


class Caller(Protocol):
    """Calls to other nodes; `ChannelClient` is one."""

    async def call(self, address: str, request: Any, timeout_s: float) -> Result[Any, ChannelError]:
        """The peer's answer, or why there is none."""


class EventLog(Protocol):
    """Structured events; `RateLimitedLog` is one."""

    def info(self, event: str, **fields: Any) -> None:
        """What an operator may want to see on an ordinary day."""

    def warning(self, event: str, **fields: Any) -> None:
        """What an operator should look at."""
