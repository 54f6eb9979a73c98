"""The file operations that the log needs: protocols, and an implementation on the operating system.

All operations block until the disk has finished; they run on the disk thread (see `worker`).
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class AppendFile(Protocol):
    """A file opened for appending."""

    def append(self, data: bytes) -> None:
        """Write `data` at the end; raises OSError if it is not written completely."""

    def truncate(self, size: int) -> None:
        """Truncate the file to `size` bytes."""

    def sync(self) -> None:
        """Return once all written data is durable."""

    def close(self) -> None:
        """Close the file; writes that are not synced may be lost."""


class Folder(Protocol):
    """A folder of files without subfolders."""

    def names(self) -> list[str]:
        """The names of the files in the folder, sorted."""

    def read(self, name: str) -> bytes:
        """The whole content of a file."""

    def open(self, name: str) -> AppendFile:
        """Open a file for appending; it is created if it does not exist."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing `new`; durable after `sync`."""

    def remove(self, name: str) -> None:
        """Remove a file; durable after `sync`."""

    def sync(self) -> None:
        """Make renames and removals durable."""


class OsAppendFile:
    """An `AppendFile` on a file descriptor."""

    def __init__(self, path: Path) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        self._end = os.lseek(self._descriptor, 0, os.SEEK_END)

    def append(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            written = os.pwrite(self._descriptor, view, self._end)
            self._end += written
            view = view[written:]

    def truncate(self, size: int) -> None:
        os.ftruncate(self._descriptor, size)
        self._end = size

    def sync(self) -> None:
        os.fsync(self._descriptor)

    def close(self) -> None:
        os.close(self._descriptor)


class OsFolder:
    """A `Folder` in the file system; created if it does not exist."""

    def __init__(self, path: Path) -> None:
        self._path = path
        path.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        return sorted(entry.name for entry in self._path.iterdir() if entry.is_file())

    def read(self, name: str) -> bytes:
        return (self._path / name).read_bytes()

    def open(self, name: str) -> AppendFile:
        return OsAppendFile(self._path / name)

    def rename(self, old: str, new: str) -> None:
        os.replace(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        os.remove(self._path / name)

    def sync(self) -> None:
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
