"""Client for platform duties, each of which one node holds at a time.

Each call carries the name of the holder and its fencing token.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import aiohttp

from arrowfold.controlplane.client_sessions import resetting_session

CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 3.0
IDLE_CONNECTION_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class DutyCall:
    """One call. `body`: JSON; a repeated call carries the same bytes."""

    path: str
    body: bytes
    holder: str
    token: int


class DutyAnswer(Enum):
    """Outcome of a call."""

    ACCEPTED = "accepted"
    FENCED = "fenced"  # the platform has seen a higher token
    BUSY = "busy"  # over the call rate; not accepted
    REFUSED = "refused"  # any other 4xx
    UNSENT = "unsent"  # no connection could be established
    UNANSWERED = "unanswered"  # may have been accepted


class DutyPlatform(Protocol):
    """Interface of the platform to the duties."""

    async def send(self, call: DutyCall) -> DutyAnswer:
        """Makes one call and returns its outcome; failures of the platform are never raised."""


class PlatformClient:
    """Client for the HTTP API of the platform."""

    def __init__(self, address: str) -> None:
        """Creates a client; `address`: HOST:PORT of the platform."""
        self._address = address
        self._session: aiohttp.ClientSession | None = None

    async def send(self, call: DutyCall) -> DutyAnswer:
        """Makes one call and returns its outcome."""
        if self._session is None:
            self._session = resetting_session(CONNECT_TIMEOUT_S, ANSWER_TIMEOUT_S, IDLE_CONNECTION_TIMEOUT_S)
        headers = {
            "Content-Type": "application/json",
            "X-Duty-Holder": call.holder,
            "X-Fence-Token": str(call.token),
        }
        url = f"http://{self._address}{call.path}"
        try:
            async with self._session.post(url, data=call.body, headers=headers) as response:
                await response.read()
                return _answer_for_status(response.status)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return DutyAnswer.UNSENT
        except (aiohttp.ClientError, TimeoutError, OSError):
            return DutyAnswer.UNANSWERED

    async def close(self) -> None:
        """Closes the connections; calls in progress are abandoned."""
        if self._session is not None:
            await self._session.close()


def _answer_for_status(status: int) -> DutyAnswer:
    if 200 <= status < 300:
        return DutyAnswer.ACCEPTED
    if status == 409:
        return DutyAnswer.FENCED
    if status == 429:
        return DutyAnswer.BUSY
    return DutyAnswer.REFUSED if 400 <= status < 500 else DutyAnswer.UNANSWERED
