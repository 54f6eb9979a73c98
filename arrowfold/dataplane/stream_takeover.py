"""Asks other workers for the rest of a stream while its own worker is silent.

Silence does not tell a worker that is lost from one that goes on later, so the exchange with the silent
worker stays open. Whichever worker sends the next event serves the rest of the stream.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from arrowfold.dataplane.attempts import RequestProgress
from arrowfold.dataplane.exchange import ClientAnswer, IncompleteBodyError, Interrupt, WorkerAnswer
from arrowfold.dataplane.give_up import GiveUp

SEARCH_INTERVAL_S = 0.1  # between searches for a worker
RunAttempts = Callable[[RequestProgress, ClientAnswer], Awaitable[GiveUp | None]]


class StreamTakeover:
    """The takeover of one attempt's stream: the silent exchange against attempts at other workers.

    Until one of these attempts has an event, nothing of it reaches the client: if the silent worker goes on
    first, the attempt is cancelled. With the first event of an attempt the silent exchange is interrupted.
    """

    def __init__(
        self,
        progress: RequestProgress,
        answer: ClientAnswer,
        run_attempts: RunAttempts,
        clock: Callable[[], float],
    ) -> None:
        """`run_attempts` makes attempts for the rest of the stream; returns None if it was forwarded."""
        self._progress = progress
        self._answer = answer
        self._run_attempts = run_attempts
        self._clock = clock
        self._interrupt: Interrupt | None = None  # of the silent exchange
        self._task: asyncio.Task[GiveUp | None] | None = None
        self._exchange_ended = asyncio.Event()
        self._has_taken_over = False

    def report_silence(self, interrupt: Interrupt) -> None:
        """Begin to ask other workers. An exchange is interrupted at once if the client has nothing yet."""
        if not self._answer.started:
            interrupt()
        elif self._progress.can_retry and (self._task is None or self._task.done()):
            self._interrupt = interrupt
            self._task = asyncio.create_task(self._search())

    async def read_chunk(self, worker_answer: WorkerAnswer) -> bytes:
        """Returns the next bytes of the worker's answer, which end a takeover that has no event yet.

        Raises IncompleteBodyError if the worker's stream is interrupted, or goes on at another worker.
        """
        if not self._has_taken_over:
            chunk = await worker_answer.read_chunk()
            if not self._has_taken_over:
                await self._withdraw()
                return chunk
        raise IncompleteBodyError("the stream goes on at another worker")

    async def finish(self) -> tuple[bool, GiveUp | None]:
        """Wait for the takeover after the worker's exchange has ended without the end of the stream.

        Returns whether the stream was taken over, and if so why its rest was given up, or None if it ended.
        """
        if self._task is None:
            return False, None
        self._exchange_ended.set()
        give_up = await self._task
        return self._has_taken_over, give_up

    def cancel(self) -> None:
        """Cancel the attempts, without waiting for their end."""
        if self._task is not None:
            self._task.cancel()

    async def _search(self) -> GiveUp | None:
        """Make attempts until one has taken over, none is left, or the silent exchange has ended."""
        answer = TakeoverAnswer(self._answer, self._claim)
        give_up = None
        while self._progress.can_retry:
            self._progress.interrupted_at_s = self._clock()
            give_up = await self._run_attempts(self._progress, answer)
            if self._has_taken_over or self._exchange_ended.is_set():
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SEARCH_INTERVAL_S):
                    await self._exchange_ended.wait()
        return give_up

    def _claim(self) -> None:
        """Interrupt the silent exchange: an attempt has the next event."""
        if not self._has_taken_over:
            self._has_taken_over = True
            if self._interrupt is not None:
                self._interrupt()

    async def _withdraw(self) -> None:
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            await asyncio.wait({task})


class TakeoverAnswer:
    """The client's answer for the attempts of a takeover; implements `ClientAnswer`.

    The first bytes written claim the answer.
    """

    def __init__(self, answer: ClientAnswer, claim: Callable[[], None]) -> None:
        self._answer = answer
        self._claim = claim

    @property
    def started(self) -> bool:
        """Whether the head has been sent: always, since the client has a part of the stream."""
        return self._answer.started

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of the answer."""
        self._claim()
        await self._answer.start(status, headers)

    async def write(self, data: bytes) -> None:
        """Send a part of the body without delay."""
        self._claim()
        await self._answer.write(data)

    async def finish(self) -> None:
        """End the body and complete the answer."""
        self._claim()
        await self._answer.finish()

    async def send_complete(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Send a complete answer."""
        self._claim()
        await self._answer.send_complete(status, headers, body)

    def abort(self) -> None:
        """Close the client's connection."""
        self._answer.abort()
