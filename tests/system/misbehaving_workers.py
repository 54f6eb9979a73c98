"""Test harness: a worker that violates HTTP, over an in-memory transport or a socket."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

SEAL = b"X-Server-Seal: seal\r\n"
BEHAVIOURS = (
    "answer",
    "twice",
    "late",
    "other answer first",
    "early",
    "without a length",
    "refuse",
    "misdirect",
    "misdirect twice",
    "reset before",
    "reset in",
    "reset after",
    "close after",
    "reset unread",
    "fail",
)
MISDIRECTIONS = ("misdirect", "misdirect twice")
NOT_RUNNING_BEHAVIOURS = ("refuse", "misdirect", "misdirect twice", "reset unread")
SECOND_ANSWER_DELAY_S = 0.03
LATE_ANSWER_DELAY_S = 0.4


@dataclass
class WorkerScript:
    """State shared by all connections of the workers: the next behaviours, and the requests that ran."""

    rng: random.Random
    behaviours: list[str] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    arrivals: Counter[str] = field(default_factory=Counter)
    misdirections: Counter[str] = field(default_factory=Counter)  # arrivals that were answered with 421

    def next_behaviour(self) -> str:
        """Returns the behaviour for the next request."""
        return self.behaviours.pop(0) if self.behaviours else "answer"


def answer(attempt: str, status: int = 200, extra_headers: bytes = b"") -> bytes:
    """Returns a complete answer with the attempt's id as a header and as its body."""
    body = attempt.encode()
    head = b"HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n" % (status, body)
    return head + SEAL + extra_headers + b"Content-Length: %d\r\n\r\n" % len(body) + body


class RequestReader(asyncio.Protocol):
    """One connection of a worker in a test: reads requests with a length and serves them in order."""

    def __init__(self) -> None:
        self._buffer = b""
        self._fields: dict[bytes, bytes] = {}  # of the request that is served, in lower case
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while self._serve_buffered_request():
            pass

    def _serve_buffered_request(self) -> bool:
        head, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return False
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        size = int(fields.get(b"content-length", b"0"))
        if len(rest) < size:
            return False
        self._buffer = rest[size:]
        self._fields = fields
        self._serve(fields[b"x-attempt-id"].decode())
        return True

    def _serve(self, attempt: str) -> None:
        """Answer the request of this attempt."""
        raise NotImplementedError


class MisbehavingWorker(RequestReader):
    """One connection of a misbehaving worker."""

    def __init__(self, script: WorkerScript) -> None:
        super().__init__()
        self._script = script
        self._last_attempt: str | None = None
        self._is_truncated = False  # within an answer: further bytes would be parsed as its body
        self._surplus = b""  # a second copy of the last answer, sent in the place of the next one

    def _serve(self, attempt: str) -> None:
        behaviour = self._script.next_behaviour()
        self._script.arrivals[attempt] += 1
        self._script.misdirections[attempt] += behaviour in MISDIRECTIONS
        if behaviour not in NOT_RUNNING_BEHAVIOURS:
            self._script.runs[attempt] += 1
        self._send(self._surplus)
        self._surplus = b""
        actions: dict[str, Callable[[str], None]] = {
            "answer": lambda it: self._send(answer(it)),
            "early": lambda it: self._send(answer(it)),
            "twice": self._answer_twice,
            "late": lambda it: self._send_later(LATE_ANSWER_DELAY_S, answer(it)),
            "other answer first": self._answer_other_first,
            "without a length": self._answer_without_length,
            "refuse": lambda it: self._send(answer(it, 503, b"X-Not-Executed: 1\r\n")),
            "misdirect": lambda it: self._send(answer(it, 421)),
            "misdirect twice": self._misdirect_twice,
            "reset before": lambda _: self._transport.abort(),
            "reset unread": lambda _: self._transport.abort(),
            "reset in": self._truncate_then_reset,
            "reset after": self._answer_then_reset,
            "close after": self._answer_then_close,
            "fail": lambda it: self._send(answer(it, 500)),
        }
        actions[behaviour](attempt)
        self._last_attempt = attempt

    def _send(self, data: bytes) -> None:
        if not self._transport.is_closing() and not self._is_truncated:
            self._transport.write(data)

    def _send_later(self, delay_s: float, data: bytes) -> None:
        asyncio.get_running_loop().call_later(delay_s, self._send, data)

    def _answer_twice(self, attempt: str) -> None:
        self._send(answer(attempt))
        self._send_later(SECOND_ANSWER_DELAY_S, answer(attempt))

    def _misdirect_twice(self, attempt: str) -> None:
        self._surplus = answer(attempt, 421)
        self._send(self._surplus)

    def _answer_other_first(self, attempt: str) -> None:
        self._send(answer(self._last_attempt or "somebody-else") + answer(attempt))

    def _answer_without_length(self, attempt: str) -> None:
        self._send(b"HTTP/1.1 200 X\r\nX-Attempt-Id: %s\r\n%s\r\n" % (attempt.encode(), SEAL))
        self._send(attempt.encode())
        self._transport.close()

    def _truncate_then_reset(self, attempt: str) -> None:
        self._send(answer(attempt)[:-3])
        self._is_truncated = True
        asyncio.get_running_loop().call_later(SECOND_ANSWER_DELAY_S, self._transport.abort)

    def _answer_then_reset(self, attempt: str) -> None:
        self._send(answer(attempt))
        asyncio.get_running_loop().call_later(SECOND_ANSWER_DELAY_S, self._transport.abort)

    def _answer_then_close(self, attempt: str) -> None:
        self._send(answer(attempt, 200, b"Connection: close\r\n"))
        self._transport.close()


class MemoryTransport(asyncio.Transport):
    """One end of an in-memory connection, which delivers to the other end after a delay."""

    def __init__(self, delay_s: float) -> None:
        super().__init__()
        self._delay_s = delay_s
        self._closing = False
        self._protocol: asyncio.BaseProtocol | None = None
        self._other: MemoryTransport | None = None

    def connect(self, protocol: asyncio.Protocol, other: MemoryTransport) -> None:
        """Connect this end, which belongs to `protocol`, to the other end."""
        self._protocol, self._other = protocol, other
        protocol.connection_made(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def is_closing(self) -> bool:
        return self._closing

    def get_protocol(self) -> asyncio.BaseProtocol:
        assert self._protocol is not None
        return self._protocol

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self._protocol = protocol

    def pause_reading(self) -> None:
        """Has no effect: bytes are always delivered."""

    def resume_reading(self) -> None:
        """Has no effect: bytes are always delivered."""

    def write(self, data: Any) -> None:
        if not self._closing and self._other is not None:
            asyncio.get_running_loop().call_later(self._delay_s, self._other._arrive, bytes(data))

    def _arrive(self, data: bytes) -> None:
        if not self._closing and isinstance(self._protocol, asyncio.Protocol):
            self._protocol.data_received(data)

    def close(self) -> None:
        self._end(None)

    def abort(self) -> None:
        self._end(ConnectionResetError("reset by the peer"))

    def _end(self, error: Exception | None) -> None:
        if self._closing:
            return
        self._closing = True
        loop = asyncio.get_running_loop()
        assert self._protocol is not None and self._other is not None
        loop.call_soon(self._protocol.connection_lost, None)
        loop.call_later(self._delay_s, self._other._lost, error)

    def _lost(self, error: Exception | None) -> None:
        if self._closing:
            return
        self._closing = True
        assert self._protocol is not None
        if error is None and isinstance(self._protocol, asyncio.Protocol):
            self._protocol.eof_received()
        self._protocol.connection_lost(error)


class MemoryLoop:
    """An event loop whose `create_connection` connects to misbehaving workers in memory."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        script: Any,
        protocol: Callable[[Any], asyncio.Protocol] = MisbehavingWorker,
    ) -> None:
        """`protocol` creates a worker's side of a connection from the script, which has an `rng`."""
        self._loop = loop
        self._script = script
        self._protocol = protocol

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, factory: Any, host: str, port: int) -> tuple[Any, Any]:
        """Connect to a worker."""
        delay_s = self._script.rng.choice([0.0005, 0.002])
        ours, theirs = MemoryTransport(delay_s), MemoryTransport(delay_s)
        client = factory()
        theirs.connect(self._protocol(self._script), ours)
        ours.connect(client, theirs)
        return ours, client
