"""Detects whether a chunked message ended without trailers.

The HTTP parser, used for clients and for workers, reports the last trailer of a message as the first header
of the next message on the connection. Therefore a connection on which trailers were received is not reused.
"""

from __future__ import annotations

_PLAIN_END = b"\r\n0\r\n\r\n"  # the last chunk, followed by the empty line only
_LENGTH = len(_PLAIN_END)


class ChunkedEnd:
    """Tracks the last bytes received on a connection."""

    __slots__ = ("_tail",)

    def __init__(self) -> None:
        self._tail = b""

    def take(self, data: bytes) -> None:
        """Record received bytes."""
        self._tail = data[-_LENGTH:] if len(data) >= _LENGTH else (self._tail + data)[-_LENGTH:]

    def has_no_trailers(self) -> bool:
        """Whether the last bytes end a chunked message without trailers."""
        return self._tail == _PLAIN_END
