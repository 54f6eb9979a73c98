"""Strict checks of a worker's answer: its bytes are those of one answer, or it is no answer at all.

A parser joins what one answer left unfinished with what the next one begins with, so a head that is merely
valid HTTP may hold parts of two answers. These checks reject every head that may be such a mixture.
"""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

from arrowfold.dataplane import headers as names

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 64 * 1024
MAX_EMBEDDED_HEAD_BYTES = 2048  # until the attempt id or the seal of an answer that begins in a body
MAX_LENGTH_DIGITS = 15

_START = b"HTTP/1."
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d +\d{3}")
_HEAD = re.compile(
    rb"HTTP/1\.[01] ([1-9]\d\d)(?: [\t\x20-\x7e\x80-\xff]*)?\r\n"
    rb"((?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*)\r\n"
)
_EMBEDDED_HEAD = re.compile(
    rb"HTTP/1\.[01] +\d{3}[^\r\n]{0,256}\r\n"
    rb"(?:[^\r\n]{1,512}\r\n){0,32}?"
    rb"(?:%s|%s)[ \t]*:" % (re.escape(names.ATTEMPT_ID), re.escape(names.SERVER_SEAL)),
    re.IGNORECASE,
)
# Headers of which an answer has one at most.
_SINGLE = frozenset(
    {
        names.ATTEMPT_ID,
        names.SERVER_SEAL,
        names.NOT_EXECUTED,
        names.CONTENT_LENGTH,
        names.CONTENT_TYPE,
        names.TRANSFER_ENCODING,
    }
)
_BODILESS = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


class AnswerFault(Enum):
    """Why bytes of a worker are not the awaited answer."""

    BYTES_WHILE_IDLE = "bytes while idle"  # no answer was awaited on the connection
    MALFORMED_HEAD = "malformed head"
    SECOND_STATUS_LINE = "second status line"  # within a head
    REPEATED_HEADER = "repeated header"
    AMBIGUOUS_LENGTH = "ambiguous length"
    MALFORMED_CHUNK = "malformed chunk"
    ANSWER_IN_BODY = "answer in body"  # another answer begins within the body


class InvalidAnswerError(Exception):
    """The bytes of a worker are not an answer, or not those of one answer alone."""

    def __init__(self, fault: AnswerFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the head of an answer says of its body.

    `length`: in bytes; None if the body is chunked, or ends with the connection.
    """

    is_interim: bool
    is_chunked: bool
    length: int | None


def may_begin_head(data: bytes) -> bool:
    """Whether a head may begin with these bytes, of which more may follow."""
    return data.startswith(_START) if len(data) >= len(_START) else _START.startswith(data)


def check_head(head: bytes) -> AnswerHead:
    """Returns what a complete head says of the body. Raises InvalidAnswerError."""
    if _STATUS_LINE.search(head, 1) is not None:
        raise InvalidAnswerError(AnswerFault.SECOND_STATUS_LINE)
    match = _HEAD.fullmatch(head)
    if match is None:
        raise InvalidAnswerError(AnswerFault.MALFORMED_HEAD)
    fields = [line.partition(b":") for line in match[2].split(b"\r\n")[:-1]]
    values = {name.lower(): value.strip() for name, _, value in fields}
    if len(values) < len(fields):
        counts = Counter(name.lower() for name, _, _ in fields)
        if any(counts[name] > 1 for name in _SINGLE):
            raise InvalidAnswerError(AnswerFault.REPEATED_HEADER)
    status = int(match[1])
    is_interim = status < HTTPStatus.OK
    if is_interim or status in _BODILESS:
        return AnswerHead(is_interim, is_chunked=False, length=0)
    return _body_framing(values)


def _body_framing(values: dict[bytes, bytes]) -> AnswerHead:
    length = values.get(names.CONTENT_LENGTH)
    encoding = values.get(names.TRANSFER_ENCODING)
    if encoding is not None:
        if length is not None or encoding.lower() != b"chunked":
            raise InvalidAnswerError(AnswerFault.AMBIGUOUS_LENGTH)
        return AnswerHead(is_interim=False, is_chunked=True, length=None)
    if length is None:
        return AnswerHead(is_interim=False, is_chunked=False, length=None)
    if not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
        raise InvalidAnswerError(AnswerFault.AMBIGUOUS_LENGTH)
    return AnswerHead(is_interim=False, is_chunked=False, length=int(length))


class EmbeddedHeadDetector:
    """Finds the head of another answer, with its attempt id or seal, in the bytes of a body."""

    __slots__ = ("_tail",)

    def __init__(self) -> None:
        self._tail = b""  # bytes in which a head may have begun

    def take(self, data: bytes, following: bytes = b"") -> None:
        """Check the next bytes of a body, and what follows its end if that was received with it.

        Raises InvalidAnswerError.
        """
        window = self._tail + data
        body_end = len(window)
        window += following[:MAX_EMBEDDED_HEAD_BYTES]
        start = window.find(_START)
        if start < 0:
            self._tail = window[-(len(_START) - 1) :]
            return
        match = _EMBEDDED_HEAD.search(window, start)
        if match is not None and match.start() < body_end:
            raise InvalidAnswerError(AnswerFault.ANSWER_IN_BODY)
        self._tail = window[max(start, len(window) - MAX_EMBEDDED_HEAD_BYTES) :]
