"""A simulated disk in memory: a power loss independently keeps, drops or tears each unsynced write."""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

from arrowfold.storage.folders import AppendFile

T = TypeVar("T")


@dataclass(slots=True)
class _Write:
    """A write since the last sync: bytes at an offset, or a new length."""

    offset: int
    data: bytes | None


@dataclass(slots=True)
class _Content:
    """The bytes of one file: the durable content, and the writes since the last sync."""

    durable: bytes = b""
    unsynced: list[_Write] = field(default_factory=list)

    def current(self) -> bytes:
        return _apply(self.durable, self.unsynced)


def _apply(data: bytes, writes: list[_Write]) -> bytes:
    result = bytearray(data)
    for write in writes:
        if write.data is None:
            del result[write.offset :]
            result.extend(bytes(write.offset - len(result)))
            continue
        result.extend(bytes(max(0, write.offset - len(result))))
        result[write.offset : write.offset + len(write.data)] = write.data
    return bytes(result)


class SimulatedFolder:
    """A `Folder` in memory.

    `full` makes writes fail; the class attributes are overridden to plant faults.
    """

    no_folder_sync = False
    no_file_sync = False

    def __init__(self) -> None:
        self._files: dict[str, _Content] = {}
        self._durable_names: dict[str, _Content] = {}
        self.full = False
        self.syncs = 0

    def names(self) -> list[str]:
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        return self._files[name].current()

    def open(self, name: str) -> AppendFile:
        if name not in self._files:
            self.refuse_when_full()
            self._files[name] = _Content()
        return _SimulatedFile(self, name, self._files[name])

    def rename(self, old: str, new: str) -> None:
        self.refuse_when_full()
        self._files[new] = self._files.pop(old)

    def remove(self, name: str) -> None:
        del self._files[name]

    def sync(self) -> None:
        self.syncs += 1
        if not self.no_folder_sync:
            self._durable_names = dict(self._files)

    def keep_name(self, name: str, content: _Content) -> None:
        """Make the name of a new file durable after the file itself was synced."""
        if self._files.get(name) is content and name not in self._durable_names:
            self._durable_names[name] = content

    def refuse_when_full(self) -> None:
        if self.full:
            raise OSError(errno.ENOSPC, "no space left on device")

    def lose_power(self, draw: random.Random) -> None:
        """Keep synced data; keep or drop each unsynced write and each unsynced name independently."""
        lose_all = draw.random() < 0.3
        names: dict[str, _Content] = {}
        for name in sorted({*self._files, *self._durable_names}):
            old, new = self._durable_names.get(name), self._files.get(name)
            chosen = old if old is new or lose_all or draw.random() < 0.5 else new
            if chosen is not None:
                names[name] = chosen
        for content in {id(item): item for item in names.values()}.values():
            kept = [] if lose_all else _survivors(content.unsynced, draw)
            content.durable = _apply(content.durable, kept)
            content.unsynced = []
        self._files = names
        self._durable_names = dict(names)

    def flip_byte(self, name: str, offset: int) -> None:
        """Corrupt one synced byte."""
        content = self._files[name]
        data = bytearray(content.current())
        data[offset] ^= 0xFF
        content.durable, content.unsynced = bytes(data), []


def _survivors(writes: list[_Write], draw: random.Random) -> list[_Write]:
    kept: list[_Write] = []
    for write in writes:
        fate = draw.random()
        if fate < 0.4:
            kept.append(write)
        elif fate < 0.7 and write.data:
            kept.append(_Write(write.offset, write.data[: draw.randrange(len(write.data))]))
    return kept


class _SimulatedFile:
    def __init__(self, folder: SimulatedFolder, name: str, content: _Content) -> None:
        self._folder = folder
        self._name = name
        self._content = content

    def append(self, data: bytes) -> None:
        self._folder.refuse_when_full()
        self._content.unsynced.append(_Write(len(self._content.current()), data))

    def truncate(self, size: int) -> None:
        self._content.unsynced.append(_Write(size, None))

    def sync(self) -> None:
        self._folder.syncs += 1
        if self._folder.no_file_sync:
            return
        self._content.durable = self._content.current()
        self._content.unsynced = []
        self._folder.keep_name(self._name, self._content)

    def close(self) -> None:
        return None


class SimulatedDiskWorker:
    """A `DiskWorker` whose operations take virtual time and block while the disk hangs."""

    def __init__(self, sync_s: float) -> None:
        self.sync_s = sync_s
        self.running = asyncio.Event()
        self.running.set()
        self._turn = asyncio.Lock()

    async def run(self, work: Callable[[], T]) -> T:
        async with self._turn:
            await asyncio.sleep(self.sync_s)
            await self.running.wait()
            return work()

    def close(self) -> None:
        return None
