"""Calls to the primary from any member, retried while the primary changes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from arrowfold.replication.ports import Caller
from arrowfold.replication.proposals import ReplicaPort

RequestT = TypeVar("RequestT")
AnswerT = TypeVar("AnswerT")

TOTAL_TIMEOUT_S = 0.88  # below the second after which external callers retry at another node
MIN_ATTEMPT_TIMEOUT_S = 0.05
RETRY_INTERVAL_S = 0.03


class PrimaryCalls(Generic[RequestT, AnswerT]):
    """Calls the primary, locally or over the internal channel. The calls must be safe to repeat."""

    def __init__(
        self,
        replica: ReplicaPort,
        caller: Caller,
        local: Callable[[RequestT], Awaitable[AnswerT]],
        is_final: Callable[[object], bool],
    ) -> None:
        """Creates the caller.

        `local` answers on the primary itself. `is_final` returns False for an answer that requires a retry.
        """
        self._replica = replica
        self._caller = caller
        self._local = local
        self._is_final = is_final

    async def call_primary(self, request: RequestT) -> AnswerT | None:
        """Returns the answer of the primary, or None if it did not arrive in time."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + TOTAL_TIMEOUT_S
        while (remaining_s := deadline_s - loop.time()) > MIN_ATTEMPT_TIMEOUT_S:
            answer = await self._call_once(request, remaining_s)
            if answer is not None and self._is_final(answer):
                return answer
            await asyncio.sleep(RETRY_INTERVAL_S)
        return None

    async def _call_once(self, request: RequestT, timeout_s: float) -> AnswerT | None:
        if self._replica.is_primary():
            try:
                async with asyncio.timeout(timeout_s):
                    return await self._local(request)
            except TimeoutError:
                return None
        primary = self._replica.primary()
        if primary is None or primary.member == self._replica.member:
            return None
        call_task = asyncio.ensure_future(self._caller.call(primary.address, request, timeout_s))
        try:
            while not call_task.done():
                await asyncio.wait({call_task}, timeout=RETRY_INTERVAL_S)
                if self._replica.primary() != primary:
                    return None  # the call is retried at the new primary
            answer: AnswerT | None = call_task.result().ok()
            return answer
        finally:
            call_task.cancel()
