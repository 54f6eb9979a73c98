"""Splits the bytes of an event stream (text/event-stream) into events."""

from __future__ import annotations

from dataclasses import dataclass

EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
MAX_EVENT_BYTES = 1024 * 1024  # a stream without event ends is not an event stream


class EventTooLargeError(Exception):
    """An event exceeds MAX_EVENT_BYTES."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event: its raw bytes, and the number of its `id` line or None."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Buffers the bytes of a stream and returns its complete events."""

    def __init__(self) -> None:
        self._incomplete = b""

    @property
    def pending(self) -> bytes:
        """The bytes of an event whose end has not been received."""
        return self._incomplete

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that are completed by `data`. Raises EventTooLargeError."""
        buffer = self._incomplete + data if self._incomplete else data
        events = []
        start = 0
        while (end := _find_event_end(buffer, start)) is not None:
            event_bytes = buffer[start:end]
            events.append(StreamEvent(event_bytes, _event_id(event_bytes)))
            start = end
        self._incomplete = buffer[start:]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        return events


def _find_event_end(buffer: bytes, start: int) -> int | None:
    ends = [found + len(line) for line in EVENT_TERMINATORS if (found := buffer.find(line, start)) >= 0]
    return min(ends) if ends else None


def _event_id(event_bytes: bytes) -> int | None:
    for line in event_bytes.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
