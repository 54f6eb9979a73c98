"""Frames of a log file: a fixed header with length, synced offset and checksum, followed by the payload.

The `synced` field of a frame is the offset up to which the file had been synced when the frame was written.
An invalid frame at or beyond all synced offsets is a torn tail: it was never acknowledged and is truncated.
An invalid frame below a synced offset is damage to acknowledged data.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

from arrowfold.storage.faults import DamagedStorage

MAGIC = b"AfL1"
_HEADER = struct.Struct(">4sIQI")  # magic, payload length, synced offset, checksum of both and the payload
HEADER_BYTES = _HEADER.size


@dataclass(frozen=True, slots=True)
class Frame:
    """One payload, the offset of its end, and the synced offset when it was written."""

    payload: bytes
    end: int
    synced: int


@dataclass(frozen=True, slots=True)
class ScannedFile:
    """The payloads of a file's valid frames, and the offset where the valid part ends."""

    payloads: tuple[bytes, ...]
    end: int


def _checksum(payload: bytes, synced: int) -> int:
    return zlib.crc32(payload, zlib.crc32(struct.pack(">IQ", len(payload), synced)))


def encode_frame(payload: bytes, synced: int) -> bytes:
    """The bytes of one frame; `synced` is the offset up to which the file is known to be durable."""
    return _HEADER.pack(MAGIC, len(payload), synced, _checksum(payload, synced)) + payload


def read_frame(data: bytes, offset: int) -> Frame | None:
    """The frame at `offset`, or None if it is incomplete or invalid."""
    if offset + HEADER_BYTES > len(data):
        return None
    magic, length, synced, checksum = _HEADER.unpack_from(data, offset)
    start = offset + HEADER_BYTES
    if magic != MAGIC or start + length > len(data):
        return None
    payload = data[start : start + length]
    if _checksum(payload, synced) != checksum:
        return None
    return Frame(payload, start + length, synced)


def _later_synced_offset(data: bytes, start: int) -> int:
    """The highest synced offset in any valid frame at or after `start`; 0 if there is none."""
    highest = 0
    offset = data.find(MAGIC, start)
    while offset >= 0:
        frame = read_frame(data, offset)
        if frame is not None:
            highest = max(highest, frame.synced)
        offset = data.find(MAGIC, offset + 1 if frame is None else frame.end)
    return highest


def scan(data: bytes, name: str) -> ScannedFile:
    """Read all frames before a torn tail; raises DamagedStorage if synced bytes are invalid.

    `name` is the file's name for error messages.
    """
    payloads: list[bytes] = []
    offset = 0
    while True:
        frame = read_frame(data, offset)
        if frame is None:
            break
        payloads.append(frame.payload)
        offset = frame.end
    if _later_synced_offset(data, offset) > offset:
        raise DamagedStorage(name, offset, "a synced frame is invalid")
    return ScannedFile(tuple(payloads), offset)
