"""Virtual time, an in-memory disk and a network with delays, for control nodes in one process."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from result import Err, Ok, Result

from arrowfold.internal.channel import ChannelError
from arrowfold.internal.codec import decode, encode
from tests.system.virtual_time import VirtualTimeLoop

T = TypeVar("T")
Handlers = dict[type[Any], Callable[[Any], Awaitable[Any]]]


def run_virtual(scenario: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine to its end in virtual time and cancels the remaining tasks."""
    loop = VirtualTimeLoop()  # type: ignore[abstract]
    try:
        result: T = loop.run_until_complete(scenario)
        return result
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class MemoryFile:
    """An `AppendFile` in memory."""

    def __init__(self, data: bytearray) -> None:
        self._data = data

    def append(self, data: bytes) -> None:
        self._data += data

    def truncate(self, size: int) -> None:
        del self._data[size:]

    def sync(self) -> None:
        """Does nothing: memory needs no sync."""

    def close(self) -> None:
        """Does nothing: there are no resources to release."""


class MemoryFolder:
    """A `Folder` in memory."""

    def __init__(self) -> None:
        self._files: dict[str, bytearray] = {}

    def names(self) -> list[str]:
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        return bytes(self._files[name])

    def open(self, name: str) -> MemoryFile:
        return MemoryFile(self._files.setdefault(name, bytearray()))

    def rename(self, old: str, new: str) -> None:
        self._files[new] = self._files.pop(old)

    def remove(self, name: str) -> None:
        del self._files[name]

    def sync(self) -> None:
        """Does nothing: memory needs no sync."""


class TimedDiskWorker:
    """A `DiskWorker` that takes `sync_s` for each operation."""

    def __init__(self, sync_s: float) -> None:
        self._sync_s = sync_s
        self._lock = asyncio.Lock()

    async def run(self, work: Callable[[], T]) -> T:
        async with self._lock:
            await asyncio.sleep(self._sync_s)
            return work()

    def close(self) -> None:
        """Does nothing: there are no resources to release."""


class DelayNetwork:
    """Calls between addresses with a one-way delay per pair; dead and partitioned addresses never answer."""

    def __init__(self, delay_s: Callable[[str, str], float]) -> None:
        self._delay_s = delay_s
        self.handlers: dict[str, Handlers] = {}
        self.dead: set[str] = set()
        self.partitions: dict[str, int] = {}
        self.calls: Counter[str] = Counter()
        self.call_bytes = 0

    def is_reachable(self, sender: str, receiver: str) -> bool:
        """Returns whether a message from the sender arrives at the receiver."""
        same_partition = self.partitions.get(sender, 0) == self.partitions.get(receiver, 0)
        return same_partition and not {sender, receiver} & self.dead

    async def deliver(self, sender: str, receiver: str, request: Any) -> Any:
        """Returns the receiver's answer after both delays; never returns if either direction is cut."""
        data = encode(request)
        self.calls[type(request).__name__] += 1
        self.call_bytes += len(data)
        await self._traverse(sender, receiver)
        answer = await self.handlers[receiver][type(request)](decode(data))
        encoded_answer = encode(answer)
        self.call_bytes += len(encoded_answer)
        await self._traverse(receiver, sender)
        return decode(encoded_answer)

    async def _traverse(self, sender: str, receiver: str) -> None:
        await asyncio.sleep(self._delay_s(sender, receiver))
        if not self.is_reachable(sender, receiver):
            await asyncio.Event().wait()


class NetworkCaller:
    """A `Caller` at one address of the network."""

    def __init__(self, network: DelayNetwork, address: str) -> None:
        self._network = network
        self._address = address

    async def call(self, address: str, request: Any, timeout_s: float) -> Result[Any, ChannelError]:
        if address not in self._network.handlers:
            return Err(ChannelError(f"{address}: no listener"))
        try:
            async with asyncio.timeout(timeout_s):
                return Ok(await self._network.deliver(self._address, address, request))
        except TimeoutError:
            return Err(ChannelError(f"{address}: no answer in {timeout_s} s"))


class SilentLog:
    """An `EventLog` that discards all events."""

    def info(self, event: str, **fields: Any) -> None:
        """Discards the event."""

    def warning(self, event: str, **fields: Any) -> None:
        """Discards the event."""
