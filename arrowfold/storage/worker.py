"""Runs blocking disk work beside the event loop, one piece at a time."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import threading
from collections.abc import Callable
from typing import Protocol, TypeVar

T = TypeVar("T")


class DiskWorker(Protocol):
    """Where blocking disk work runs."""

    async def run(self, work: Callable[[], T]) -> T:
        """The result of `work`, which runs after all work that was given earlier."""

    def close(self) -> None:
        """Take no more work; work that hangs is left behind."""


class ThreadDiskWorker:
    """A `DiskWorker` by one daemon thread: a hung disk does not keep the process from ending."""

    def __init__(self) -> None:
        self._work: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._serve, name="disk", daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        while (work := self._work.get()) is not None:
            work()

    async def run(self, work: Callable[[], T]) -> T:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[T] = loop.create_future()

        def settle(result: T | None, error: BaseException | None) -> None:
            if future.done():
                return
            if error is not None:
                future.set_exception(error)
            else:
                future.set_result(result)  # type: ignore[arg-type]

        def perform() -> None:
            try:
                result, error = work(), None
            except Exception as caught:  # handed to the caller
                result, error = None, caught
            with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
                loop.call_soon_threadsafe(settle, result, error)

        self._work.put(perform)
        return await future

    def close(self) -> None:
        self._work.put(None)
