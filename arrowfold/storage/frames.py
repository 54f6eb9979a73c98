"""Frames of a log file: a fixed head with length, checksum and how far the file was synced, then the payload.

The `synced` field of a frame tells up to which offset the file had been synced when the frame was written.
A bad frame at or beyond every such offset is a torn tail: it was never acknowledged, and is cut. A bad
frame below one is damage to acknowledged data.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

from arrowfold.storage.faults import DamagedStorage

MAGIC = b"AfL1"
_HEAD = struct.Struct(">4sIQI")  # magic, length of the payload, synced offset, checksum of all but itself
HEAD_BYTES = _HEAD.size


@dataclass(frozen=True, slots=True)
class Frame:
    """One payload, where it ends, and what the file had synced before it."""

    payload: bytes
    end: int
    synced: int


@dataclass(frozen=True, slots=True)
class ScannedFile:
    """The whole frames of a file, and the offset where its valid part ends."""

    payloads: tuple[bytes, ...]
    end: int


def _checksum(payload: bytes, synced: int) -> int:
    return zlib.crc32(payload, zlib.crc32(struct.pack(">IQ", len(payload), synced)))


def encode_frame(payload: bytes, synced: int) -> bytes:
    """The bytes of one frame; `synced` is the offset up to which the file is known to be durable."""
    return _HEAD.pack(MAGIC, len(payload), synced, _checksum(payload, synced)) + payload


def read_frame(data: bytes, offset: int) -> Frame | None:
    """The frame at `offset`, or None if there is no whole valid one."""
    if offset + HEAD_BYTES > len(data):
        return None
    magic, length, synced, checksum = _HEAD.unpack_from(data, offset)
    start = offset + HEAD_BYTES
    if magic != MAGIC or start + length > len(data):
        return None
    payload = data[start : start + length]
    if _checksum(payload, synced) != checksum:
        return None
    return Frame(payload, start + length, synced)


def _later_synced_offset(data: bytes, start: int) -> int:
    """The highest synced offset that any valid frame beyond `start` tells; 0 if there is none."""
    highest = 0
    offset = data.find(MAGIC, start)
    while offset >= 0:
        frame = read_frame(data, offset)
        if frame is not None:
            highest = max(highest, frame.synced)
        offset = data.find(MAGIC, offset + 1 if frame is None else frame.end)
    return highest


def scan(data: bytes, name: str) -> ScannedFile:
    """All frames up to the torn tail; raises DamagedStorage where synced bytes are bad."""
    payloads: list[bytes] = []
    offset = 0
    while True:
        frame = read_frame(data, offset)
        if frame is None:
            break
        payloads.append(frame.payload)
        offset = frame.end
    if _later_synced_offset(data, offset) > offset:
        raise DamagedStorage(name, offset, "a frame that was synced does not read back")
    return ScannedFile(tuple(payloads), offset)
