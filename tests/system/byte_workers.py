"""Test harness: workers whose answers are followed, preceded or interrupted by bytes of other answers.

Each run has a seal of its own. Besides its first answer, a run may have a surplus one, of which any part may
come: with the end of the first, while the connection rests, or in front of the next answer, on its own
connection or on another one.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from tests.system.misbehaving_workers import MemoryLoop, RequestReader
from tests.system.stuttering_workers import SECOND_BODY, RunRecord

EVENTS = 3  # of a stream


class Kind(Enum):
    """How a worker treats a request."""

    SUCCESS = "success"
    FAILURE = "failure"  # 500, run
    REFUSAL = "refusal"  # 503, not executed
    MISDIRECTION = "misdirection"  # 421


class Place(Enum):
    """Where the bytes of a surplus answer come."""

    WITH_END = "with the end"  # in one write with the end of the first answer
    AFTER_PAUSE = "after a pause"
    BEFORE_NEXT = "before the next answer"  # of the same connection, in one write
    BEFORE_NEXT_ELSEWHERE = "before the next answer elsewhere"  # of another connection to the worker


class Content(Enum):
    """What a surplus answer is."""

    SUCCESS = "success"
    UNNAMED = "unnamed"  # a success without the attempt id
    COPY = "copy"  # of the first answer


@dataclass(frozen=True)
class Surplus:
    """A surplus answer, of which at most `stops_after` bytes come, preceded by `noise`."""

    place: Place
    content: Content = Content.SUCCESS
    stops_after: int | None = None
    pause_s: float = 0.02
    noise: bytes = b""


@dataclass(frozen=True)
class Reply:
    """How a worker answers one request.

    The first answer stops after `stops_after` bytes. It is written in pieces of `piece_bytes`, if not 0.
    """

    kind: Kind = Kind.SUCCESS
    chunked: bool = False
    stops_after: int | None = None
    piece_bytes: int = 0
    surplus: Surplus | None = None
    closes: bool = False


PLAIN = Reply()


@dataclass(frozen=True)
class DueBytes:
    """Bytes that come before the next answer of a connection, or of another one to the same worker."""

    worker: str
    connection: int
    is_elsewhere: bool
    data: bytes

    def comes_on(self, worker: str, connection: int) -> bool:
        """Whether they come on this connection."""
        return worker == self.worker and (connection != self.connection) == self.is_elsewhere


@dataclass
class ByteScript:
    """State shared by all connections: the next replies, the runs, and the bytes that are due."""

    rng: random.Random = field(default_factory=lambda: random.Random(1))
    replies: list[Reply] = field(default_factory=list)
    runs: dict[str, RunRecord] = field(default_factory=dict)  # by seal
    arrivals: Counter[str] = field(default_factory=Counter)
    due: list[DueBytes] = field(default_factory=list)
    connections: int = 0
    connected_worker: str = ""  # of the latest connection

    def run_count(self, attempt: str) -> int:
        """Returns how often an attempt ran."""
        return sum(run.attempt == attempt for run in self.runs.values())

    def take_due(self, worker: str, connection: int) -> bytes:
        """Returns, once, the bytes that are to come before the next answer of this connection."""
        taken = [item for item in self.due if item.comes_on(worker, connection)]
        self.due = [item for item in self.due if not item.comes_on(worker, connection)]
        return b"".join(item.data for item in taken)


class ByteWorker(RequestReader):
    """One connection of a worker that replies as scripted."""

    def __init__(self, script: ByteScript) -> None:
        super().__init__()
        self._script = script
        script.connections += 1
        self._number = script.connections
        self._worker = script.connected_worker

    def _serve(self, attempt: str) -> None:
        script = self._script
        reply = script.replies.pop(0) if script.replies else PLAIN
        script.arrivals[attempt] += 1
        first, success = self._answers(attempt, reply)
        written = script.take_due(self._worker, self._number) + first[: reply.stops_after]
        if reply.surplus is not None:
            written = self._add_surplus(
                reply.surplus,
                written,
                {
                    Content.SUCCESS: success,
                    Content.UNNAMED: success.replace(b"X-Attempt-Id: %s\r\n" % attempt.encode(), b""),
                    Content.COPY: first,
                }[reply.surplus.content],
            )
        size = reply.piece_bytes or len(written)
        for number, start in enumerate(range(0, len(written), size)):
            self._write_later(0.001 * number, written[start : start + size])
        if reply.closes:
            self._transport.close()

    def _add_surplus(self, surplus: Surplus, written: bytes, answer: bytes) -> bytes:
        """Returns what is to be written now, after planning a surplus answer that comes later."""
        data = surplus.noise + answer[: surplus.stops_after]
        if surplus.place is Place.WITH_END:
            return written + data
        if surplus.place is Place.AFTER_PAUSE:
            self._write_later(surplus.pause_s, data)
        else:
            is_elsewhere = surplus.place is Place.BEFORE_NEXT_ELSEWHERE
            self._script.due.append(DueBytes(self._worker, self._number, is_elsewhere, data))
        return written

    def _answers(self, attempt: str, reply: Reply) -> tuple[bytes, bytes]:
        """Returns the first answer, which is recorded if the request runs, and a surplus success."""
        script = self._script
        is_run = reply.kind in (Kind.SUCCESS, Kind.FAILURE)
        seal = f"run-{len(script.runs) + 1}" if is_run else f"none-{script.arrivals.total()}"
        status = {Kind.SUCCESS: 200, Kind.FAILURE: 500, Kind.REFUSAL: 503, Kind.MISDIRECTION: 421}[reply.kind]
        headers = b"X-Server-Seal: %s\r\n" % seal.encode()
        body = attempt.encode()
        if not is_run:
            headers = b"X-Not-Executed: 1\r\n" if reply.kind is Kind.REFUSAL else b""
        elif status == 200 and b"x-model" in self._fields:
            first_event = int(self._fields.get(b"last-event-id", b"0")) + 1
            body = b"".join(event(attempt, number) for number in range(first_event, EVENTS + 1))
            headers += b"Content-Type: text/event-stream\r\n"
        if is_run:
            script.runs[seal] = RunRecord(attempt, status, body)
        first = encode_answer(attempt, status, body, headers, reply.chunked)
        sealed = b"X-Server-Seal: %s\r\n" % seal.encode()
        return first, encode_answer(attempt, 200, SECOND_BODY, sealed, chunked=False)

    def _write_later(self, delay_s: float, data: bytes) -> None:
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s, self._write, data)
        else:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if data and not self._transport.is_closing():
            self._transport.write(data)


class ByteLoop(MemoryLoop):
    """An event loop whose `create_connection` connects to byte workers, named by their host."""

    async def create_connection(self, factory: Any, host: str, port: int) -> tuple[Any, Any]:
        """Connect to a worker."""
        self._script.connected_worker = host
        return await super().create_connection(factory, host, port)


def event(attempt: str, number: int) -> bytes:
    """Returns one event of an attempt's stream."""
    return b"id: %d\ndata: %s token %d\n\n" % (number, attempt.encode(), number)


def encode_answer(attempt: str, status: int, body: bytes, headers: bytes, chunked: bool) -> bytes:
    """Returns the bytes of an answer, in chunks of eight bytes or with a length."""
    head = b"HTTP/1.1 %d X\r\n%sX-Attempt-Id: %s\r\n" % (status, headers, attempt.encode())
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    pieces = [body[start : start + 8] for start in range(0, len(body), 8)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
