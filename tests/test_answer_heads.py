"""Heads of workers' answers, as the client side of an exchange reads them."""

from __future__ import annotations

import unittest
from collections.abc import Generator
from datetime import timedelta
from typing import Any

from arrowfold.protocol.http import ClientSide
from arrowfold.transport.stream import StreamBroken

NEXT_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"


class ReadStream:
    """A stream from which some bytes are read at once."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def read(self, until: timedelta) -> Generator[Any, Any, bytes]:
        """Returns the bytes, then the end of the stream."""
        data, self._data = self._data, b""
        return data
        yield


def read_status(data: bytes) -> int:
    """Returns the status of the answer that these bytes begin with."""
    exchange = ClientSide(ReadStream(data))  # type: ignore[arg-type]
    steps = exchange.head(timedelta(seconds=1))
    try:
        while True:
            next(steps)
    except StopIteration as end:
        status: int = end.value[0]
        return status


class Heads(unittest.TestCase):
    """What a head may hold."""

    def test_a_head_that_goes_on_with_the_next_answer_is_none(self) -> None:
        """Guards rule 2: a late refusal stops in its head, and the answer to a job that ran goes on in it."""
        for late in (b"HTTP/1.1 503 ", b"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nX-Load: 1"):
            with self.subTest(late=late), self.assertRaises(StreamBroken):
                read_status(late + NEXT_ANSWER)

    def test_an_ordinary_head_is_read(self) -> None:
        via = b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 gateway\r\nContent-Length: 0\r\n\r\n"
        self.assertEqual(read_status(via), 200)
