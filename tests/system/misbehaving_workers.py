"""A worker that speaks HTTP badly on purpose, over a transport in memory or over a socket."""

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
    "for somebody else first",
    "early",
    "without a length",
    "refuse",
    "reset before",
    "reset in",
    "reset after",
    "close after",
    "reset unread",
    "fail",
)
SURPLUS_S = 0.03  # until a second answer comes
LATE_S = 0.4


@dataclass
class WorkerScript:
    """What all connections of the workers share: the next behaviours, and what was run."""

    draw: random.Random
    behaviours: list[str] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    arrivals: Counter[str] = field(default_factory=Counter)

    def next_behaviour(self) -> str:
        """How the next request is treated."""
        return self.behaviours.pop(0) if self.behaviours else "answer"


def answer(attempt: str, status: int = 200, more: bytes = b"") -> bytes:
    """A whole answer that carries the attempt's id in its head and as its body."""
    body = attempt.encode()
    head = b"HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n" % (status, body)
    return head + SEAL + more + b"Content-Length: %d\r\n\r\n" % len(body) + body


class MisbehavingWorker(asyncio.Protocol):
    """One connection of such a worker."""

    def __init__(self, script: WorkerScript) -> None:
        self._script = script
        self._buffer = b""
        self._transport: Any = None
        self._last: str | None = None
        self._broken_off = False  # in the midst of an answer: what came now would be taken for its rest

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while self._take_one():
            pass

    def _take_one(self) -> bool:
        head, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return False
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        size = int(fields.get(b"content-length", b"0"))
        if len(rest) < size:
            return False
        self._buffer = rest[size:]
        self._serve(fields[b"x-attempt-id"].decode())
        return True

    def _serve(self, attempt: str) -> None:
        behaviour = self._script.next_behaviour()
        self._script.arrivals[attempt] += 1
        if behaviour not in ("refuse", "reset unread"):
            self._script.runs[attempt] += 1
        acts: dict[str, Callable[[str], None]] = {
            "answer": lambda it: self._send(answer(it)),
            "early": lambda it: self._send(answer(it)),
            "twice": self._twice,
            "late": lambda it: self._later(LATE_S, answer(it)),
            "for somebody else first": self._foreign,
            "without a length": self._unframed,
            "refuse": lambda it: self._send(answer(it, 503, b"X-Not-Executed: 1\r\n")),
            "reset before": lambda _: self._transport.abort(),
            "reset unread": lambda _: self._transport.abort(),
            "reset in": self._half,
            "reset after": self._whole_then_reset,
            "close after": self._whole_then_close,
            "fail": lambda it: self._send(answer(it, 500)),
        }
        acts[behaviour](attempt)
        self._last = attempt

    def _send(self, data: bytes) -> None:
        if not self._transport.is_closing() and not self._broken_off:
            self._transport.write(data)

    def _later(self, delay_s: float, data: bytes) -> None:
        asyncio.get_running_loop().call_later(delay_s, self._send, data)

    def _twice(self, attempt: str) -> None:
        self._send(answer(attempt))
        self._later(SURPLUS_S, answer(attempt))

    def _foreign(self, attempt: str) -> None:
        self._send(answer(self._last or "somebody-else") + answer(attempt))

    def _unframed(self, attempt: str) -> None:
        self._send(b"HTTP/1.1 200 X\r\nX-Attempt-Id: %s\r\n%s\r\n" % (attempt.encode(), SEAL))
        self._send(attempt.encode())
        self._transport.close()

    def _half(self, attempt: str) -> None:
        self._send(answer(attempt)[:-3])
        self._broken_off = True
        asyncio.get_running_loop().call_later(SURPLUS_S, self._transport.abort)

    def _whole_then_reset(self, attempt: str) -> None:
        self._send(answer(attempt))
        asyncio.get_running_loop().call_later(SURPLUS_S, self._transport.abort)

    def _whole_then_close(self, attempt: str) -> None:
        self._send(answer(attempt, 200, b"Connection: close\r\n"))
        self._transport.close()


class MemoryTransport(asyncio.Transport):
    """One end of a connection in memory: what is written arrives at the other end a moment later."""

    def __init__(self, delay_s: float) -> None:
        super().__init__()
        self._delay_s = delay_s
        self._closing = False
        self._protocol: asyncio.BaseProtocol | None = None
        self._other: MemoryTransport | None = None

    def connect(self, protocol: asyncio.Protocol, other: MemoryTransport) -> None:
        """Join this end, whose owner is `protocol`, to the other."""
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
        """All is delivered as it comes."""

    def resume_reading(self) -> None:
        """All is delivered as it comes."""

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
    """A loop whose `create_connection` leads to misbehaving workers in memory."""

    def __init__(self, loop: asyncio.AbstractEventLoop, script: WorkerScript) -> None:
        self._loop = loop
        self._script = script

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, factory: Any, host: str, port: int) -> tuple[Any, Any]:
        """Connect to a worker."""
        delay_s = self._script.draw.choice([0.0005, 0.002])
        ours, theirs = MemoryTransport(delay_s), MemoryTransport(delay_s)
        client = factory()
        theirs.connect(MisbehavingWorker(self._script), ours)
        ours.connect(client, theirs)
        return ours, client
