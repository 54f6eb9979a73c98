"""Calls that only the primary may answer: made there, wherever it is, and again while it changes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from arrowfold.replication.ports import Caller
from arrowfold.replication.proposals import ReplicaPort

RequestT = TypeVar("RequestT")
AnswerT = TypeVar("AnswerT")

WHOLE_CALL_S = 0.88  # a caller from outside goes to another node after a second of silence
SHORTEST_CALL_S = 0.05
PAUSE_S = 0.03


class PrimaryCalls(Generic[RequestT, AnswerT]):
    """Asks the primary, locally or by the internal channel. The calls must be safe to repeat."""

    def __init__(
        self,
        replica: ReplicaPort,
        caller: Caller,
        local: Callable[[RequestT], Awaitable[AnswerT]],
        is_settled: Callable[[object], bool],
    ) -> None:
        """`is_settled` tells an answer of the primary from one that asks to be called again."""
        self._replica = replica
        self._caller = caller
        self._local = local
        self._is_settled = is_settled

    async def ask(self, request: RequestT) -> AnswerT | None:
        """The primary's answer, or None if it did not come in time."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WHOLE_CALL_S
        while (remaining_s := deadline - loop.time()) > SHORTEST_CALL_S:
            answer = await self._ask_once(request, remaining_s)
            if answer is not None and self._is_settled(answer):
                return answer
            await asyncio.sleep(PAUSE_S)
        return None

    async def _ask_once(self, request: RequestT, timeout_s: float) -> AnswerT | None:
        if self._replica.is_primary():
            try:
                async with asyncio.timeout(timeout_s):
                    return await self._local(request)
            except TimeoutError:
                return None
        primary = self._replica.primary()
        if primary is None or primary.member == self._replica.member:
            return None
        calling = asyncio.ensure_future(self._caller.call(primary.address, request, timeout_s))
        try:
            while not calling.done():
                await asyncio.wait({calling}, timeout=PAUSE_S)
                if self._replica.primary() != primary:
                    return None  # another primary: what was asked of the old one is asked again there
            answer: AnswerT | None = calling.result().ok()
            return answer
        finally:
            calling.cancel()
