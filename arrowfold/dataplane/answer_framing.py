"""Divides the bytes of a worker's connection into the awaited answer and what belongs to no answer."""

from __future__ import annotations

import re
from enum import Enum

from arrowfold.dataplane.answer_heads import (
    HEAD_END,
    MAX_HEAD_BYTES,
    AnswerFault,
    AnswerHead,
    EmbeddedHeadDetector,
    InvalidAnswerError,
    check_head,
    may_begin_head,
)

MAX_CHUNK_LINE_BYTES = 4096
CRLF = b"\r\n"
_CHUNK_SIZE = re.compile(rb"([0-9a-fA-F]{1,12})[ \t]*(?:;[^\r\n]*)?\r\n")


class AnswerPart(Enum):
    """What the next bytes of a connection belong to."""

    NONE = "none"  # no answer is awaited, or the awaited one is complete
    HEAD = "head"
    BODY = "body"  # with a length
    CHUNKS = "chunks"
    BODY_UNTIL_CLOSE = "body until close"


class ChunkScanner:
    """Finds the end of a chunked body."""

    def __init__(self) -> None:
        self.has_trailers = False
        self._line = b""  # begun
        self._data_bytes_left = 0  # of a chunk, including the line end after its data
        self._is_past_last_chunk = False

    def take(self, data: bytes) -> int | None:
        """Returns how many of the bytes belong to the body if it ends in them, else None.

        Raises InvalidAnswerError.
        """
        position = 0
        while position < len(data):
            if self._data_bytes_left:
                taken = min(self._data_bytes_left, len(data) - position)
                self._data_bytes_left -= taken
                position += taken
                continue
            end = data.find(b"\n", position) + 1 or len(data)
            self._line += data[position:end]
            position = end
            if len(self._line) > MAX_CHUNK_LINE_BYTES:
                raise InvalidAnswerError(AnswerFault.MALFORMED_CHUNK)
            if self._line.endswith(b"\n") and self._take_line():
                return position
        return None

    def _take_line(self) -> bool:
        """Take the size of a chunk, or a trailer; returns whether the body ends with this line."""
        line, self._line = self._line, b""
        if self._is_past_last_chunk:
            if line == CRLF:
                return True
            self.has_trailers = True
            return False
        match = _CHUNK_SIZE.fullmatch(line)
        if match is None:
            raise InvalidAnswerError(AnswerFault.MALFORMED_CHUNK)
        size = int(match[1], 16)
        self._is_past_last_chunk = size == 0
        self._data_bytes_left = size + len(CRLF) if size else 0
        return False


class AnswerFramer:
    """Passes on the bytes of the awaited answer alone, its head once that is whole and checked."""

    def __init__(self) -> None:
        self._part = AnswerPart.NONE
        self._held = b""  # a head that is incomplete, or bytes after the end of the answer
        self._body_bytes_left = 0
        self._chunks = ChunkScanner()
        self._detector = EmbeddedHeadDetector()

    @property
    def has_surplus(self) -> bool:
        """Whether bytes were received that belong to no awaited answer."""
        return self._part is AnswerPart.NONE and bool(self._held)

    @property
    def has_trailers(self) -> bool:
        """Whether the latest answer ended with trailers."""
        return self._chunks.has_trailers

    def expect_answer(self) -> None:
        """Await an answer, which begins with the bytes that are held."""
        self._part = AnswerPart.HEAD

    def take(self, data: bytes) -> bytes:
        """Returns the bytes of the awaited answer, of those held and received. Raises InvalidAnswerError."""
        if self._part is AnswerPart.NONE:
            self._hold(data)
            return b""
        if self._part is not AnswerPart.HEAD:
            return self._take_body(data)
        heads: list[bytes] = []
        rest = self._held + data
        self._held = b""
        while self._part is AnswerPart.HEAD:
            end = rest.find(HEAD_END)
            if end < 0:
                self._hold(rest)
                return b"".join(heads)
            head = rest[: end + len(HEAD_END)]
            heads.append(head)
            rest = rest[len(head) :]
            self._begin_body(check_head(head))
        return b"".join(heads) + self._take_body(rest)

    def _hold(self, data: bytes) -> None:
        if self._part is AnswerPart.HEAD and (len(data) > MAX_HEAD_BYTES or not may_begin_head(data)):
            raise InvalidAnswerError(AnswerFault.MALFORMED_HEAD)
        self._held = (self._held + data)[:MAX_HEAD_BYTES]

    def _begin_body(self, head: AnswerHead) -> None:
        if head.is_interim:
            return
        self._detector = EmbeddedHeadDetector()
        self._chunks = ChunkScanner()
        if head.is_chunked:
            self._part = AnswerPart.CHUNKS
        elif head.length is None:
            self._part = AnswerPart.BODY_UNTIL_CLOSE
        else:
            self._body_bytes_left = head.length
            self._part = AnswerPart.BODY

    def _take_body(self, data: bytes) -> bytes:
        end = self._body_end(data)
        if end is None:
            self._detector.take(data)
            return data
        body, following = data[:end], data[end:]
        self._detector.take(body, following)
        self._part = AnswerPart.NONE
        self._hold(following)
        return body

    def _body_end(self, data: bytes) -> int | None:
        """Returns how many of the bytes belong to the body if it ends in them, else None."""
        if self._part is AnswerPart.CHUNKS:
            return self._chunks.take(data)
        if self._part is AnswerPart.BODY_UNTIL_CLOSE:
            return None
        taken = min(self._body_bytes_left, len(data))
        self._body_bytes_left -= taken
        return taken if self._body_bytes_left == 0 else None
