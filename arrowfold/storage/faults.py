"""Errors of the storage package."""

from __future__ import annotations


class StorageFault(Exception):
    """A write failed: the disk is full or broken, did not complete in time, or the change was refused."""


class DamagedStorage(Exception):
    """Bytes that were synced cannot be read back intact; no attempt is made to reconstruct them.

    `offset` is the byte position in `file`.
    """

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file} at byte {offset}: {reason}")
        self.file = file
        self.offset = offset
        self.reason = reason
