"""Whole events of an event stream (text/event-stream), cut from the bytes as they come."""

from __future__ import annotations

from dataclasses import dataclass

BLANK_LINES = (b"\n\n", b"\r\n\r\n")
LARGEST_EVENT = 1024 * 1024  # bytes; a stream without event ends is no event stream


class EventTooLargeError(Exception):
    """More bytes than an event may hold came without an event's end."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event, with its raw bytes and the number on its `id` line, if there is one."""

    data: bytes
    identity: int | None


class EventSplitter:
    """Collects the bytes of a stream and gives its whole events."""

    def __init__(self) -> None:
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """The bytes of an event whose end has not come."""
        return self._pending

    def feed(self, data: bytes) -> list[StreamEvent]:
        """The events that these bytes complete."""
        buffer = self._pending + data if self._pending else data
        events = []
        start = 0
        while (end := _event_end(buffer, start)) is not None:
            raw = buffer[start:end]
            events.append(StreamEvent(raw, _identity(raw)))
            start = end
        self._pending = buffer[start:]
        if len(self._pending) > LARGEST_EVENT:
            raise EventTooLargeError
        return events


def _event_end(buffer: bytes, start: int) -> int | None:
    ends = [found + len(line) for line in BLANK_LINES if (found := buffer.find(line, start)) >= 0]
    return min(ends) if ends else None


def _identity(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
