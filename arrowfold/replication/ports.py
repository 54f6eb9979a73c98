"""The interfaces that replication depends on; a simulation provides its own implementations."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from result import Result

from arrowfold.internal.channel import ChannelError

Clock = Callable[[], float]


class Caller(Protocol):
    """Sends requests to other nodes; implemented by `ChannelClient`."""

    async def call(self, address: str, request: Any, timeout_s: float) -> Result[Any, ChannelError]:
        """Returns the peer's answer, or the error if there is none within `timeout_s`."""


class EventLog(Protocol):
    """A log of structured events; implemented by `RateLimitedLog`."""

    def info(self, event: str, **fields: Any) -> None:
        """Log an event of normal operation."""

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that needs an operator's attention."""
