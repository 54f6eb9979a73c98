"""Runs blocking disk operations outside the event loop, one at a time."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import threading
from collections.abc import Callable
from typing import Protocol, TypeVar

T = TypeVar("T")


class DiskWorker(Protocol):
    """An executor of blocking disk operations."""

    async def run(self, work: Callable[[], T]) -> T:
        """Run `work` after all work submitted earlier; returns its result or raises its exception."""

    def close(self) -> None:
        """Stop after the submitted work; an operation that hangs is abandoned."""


class ThreadDiskWorker:
    """A `DiskWorker` on one daemon thread, so that a hung disk does not prevent the process from exiting."""

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
            except Exception as caught:  # raised in the caller
                result, error = None, caught
            with contextlib.suppress(RuntimeError):  # the event loop is closed
                loop.call_soon_threadsafe(settle, result, error)

        self._work.put(perform)
        return await future

    def close(self) -> None:
        self._work.put(None)
