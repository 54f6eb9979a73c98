"""Requests that arrive before an edge node has received its first configuration: wait or refusal."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Awaitable, Callable

from arrowfold.dataplane.exchange import ClientRequest
from arrowfold.dataplane.headers import DEADLINE_MS, find, parse_number
from arrowfold.dataplane.own_answers import EdgeAnswer, not_executed
from arrowfold.dataplane.process_end import ProcessEnd
from arrowfold.dataplane.tables import ConfigurationSnapshot
from arrowfold.node.result_codes import ResultCode
from arrowfold.selection.estimates import expected_end_s
from arrowfold.selection.interface import MIN_STREAM_TIMEOUT_S
from arrowfold.selection.retry_after import retry_after_s

FIRST_CONFIGURATION_S = 1.2  # usual time from the start of a node to its first configuration
MS_PER_S = 1000.0


class FirstConfiguration:
    """Decides which requests wait for the first configuration of a node.

    A request waits while the configuration is expected within the time that its client has. Without its route
    only its X-Deadline-Ms is known, and that every client of a stream waits for MIN_STREAM_TIMEOUT_S. All
    others are refused at once.
    """

    def __init__(
        self,
        configuration: Callable[[], ConfigurationSnapshot | None],
        wait_for_change: Callable[[float], Awaitable[None]],
        process_end: ProcessEnd,
        clock: Callable[[], float],
    ) -> None:
        """`wait_for_change` waits for a change of the tables, at most for the given time in seconds."""
        self._configuration = configuration
        self._wait_for_change = wait_for_change
        self._process_end = process_end
        self._clock = clock
        self._started_s = clock()

    async def wait_for(self, request: ClientRequest) -> ConfigurationSnapshot | None:
        """Returns the configuration in force; None if the request is to be refused without one."""
        latest_s = request.arrived_s + _shortest_client_wait_s(request)
        with contextlib.suppress(TimeoutError):
            async with self._process_end.limit_time(latest_s):
                while self._is_expected_by(latest_s):
                    # From this time on, the configuration is no longer expected by `latest_s`.
                    await self._wait_for_change((self._started_s + latest_s) / 2 - self._clock())
        return self._configuration()

    def _is_expected_by(self, latest_s: float) -> bool:
        """Whether there is no configuration yet, but it is expected before this time."""
        return self._configuration() is None and self._expected_s(self._clock()) < latest_s

    def refusal(self, request: ClientRequest, rng: random.Random) -> EdgeAnswer:
        """Returns the refusal, whose Retry-After is the time until the configuration is expected."""
        now_s = self._clock()
        client_left_s = request.arrived_s + (_client_wait_s(request) or MIN_STREAM_TIMEOUT_S) - now_s
        wait_s = self._expected_s(now_s) - now_s
        return not_executed(ResultCode.NO_CONFIGURATION_YET, retry_after_s(wait_s, client_left_s, rng))

    def _expected_s(self, now_s: float) -> float:
        return expected_end_s(self._started_s, FIRST_CONFIGURATION_S, now_s)


def _client_wait_s(request: ClientRequest) -> float | None:
    deadline_ms = parse_number(find(request.headers, DEADLINE_MS))
    return None if deadline_ms is None else deadline_ms / MS_PER_S


def _shortest_client_wait_s(request: ClientRequest) -> float:
    """Returns the time for which the client waits for an answer whatever its route is."""
    client_wait_s = _client_wait_s(request)
    return MIN_STREAM_TIMEOUT_S if client_wait_s is None else min(client_wait_s, MIN_STREAM_TIMEOUT_S)
