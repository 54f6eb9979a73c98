"""Errors of the storage package."""

from __future__ import annotations


class StorageFault(Exception):
    """The disk did not take a write: it is full, broken, or did not answer in time."""


class DamagedStorage(Exception):
    """Bytes that were synced once do not read back; nothing is guessed about them."""

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file} at byte {offset}: {reason}")
        self.file = file
        self.offset = offset
        self.reason = reason
