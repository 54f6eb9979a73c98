"""Test harness: a worker that answers some requests twice, in memory or over a socket.

Each run has a seal of its own. A second answer carries the seal of its run, and is a success whatever the
first answer was.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from tests.system.misbehaving_workers import RequestReader

SECOND_BODY = b"ok"
NOT_EXECUTED = b"X-Not-Executed: 1\r\n"
PIECE_BYTES = 7
PIECE_PAUSE_S = 0.001


class Naming(Enum):
    """The attempt id that an answer carries."""

    OWN = "own"
    NONE = "none"
    UNKNOWN = "unknown"  # one that no client has sent


class SecondAnswer(Enum):
    """When the second answer is sent."""

    NEVER = "never"
    AT_ONCE = "at once"
    AFTER_PAUSE = "after a pause"
    IN_PLACE_OF_NEXT = "in place of the next"


@dataclass(frozen=True)
class Stutter:
    """How a worker answers one request; `before` is sent ahead of the first answer."""

    status: int = 200
    runs: bool = True
    naming: Naming = Naming.OWN
    second: SecondAnswer = SecondAnswer.NEVER
    second_naming: Naming = Naming.OWN
    pause_s: float = 0.03
    before: bytes = b""
    in_pieces: bool = False
    closes: bool = False


PLAIN = Stutter()


@dataclass(frozen=True)
class RunRecord:
    """The first answer to a run."""

    attempt: str
    status: int
    body: bytes


@dataclass
class StutterScript:
    """State shared by all connections: the next stutters, what arrived, and the first answer of each run."""

    rng: random.Random = field(default_factory=lambda: random.Random(1))
    stutters: list[Stutter] = field(default_factory=list)
    runs: dict[str, RunRecord] = field(default_factory=dict)  # by seal
    arrivals: Counter[str] = field(default_factory=Counter)
    arrival_connections: list[tuple[str, int]] = field(default_factory=list)
    connections: int = 0

    def run_count(self, attempt: str) -> int:
        """Returns how often an attempt ran."""
        return sum(run.attempt == attempt for run in self.runs.values())


class StutteringWorker(RequestReader):
    """One connection of a stuttering worker."""

    def __init__(self, script: StutterScript) -> None:
        super().__init__()
        self._script = script
        script.connections += 1
        self._number = script.connections
        self._due = b""  # a second answer, sent in the place of the next one

    def _serve(self, attempt: str) -> None:
        script = self._script
        stutter = script.stutters.pop(0) if script.stutters else PLAIN
        script.arrivals[attempt] += 1
        script.arrival_connections.append((attempt, self._number))
        first, second = self._answers(attempt, stutter)
        self._send(self._due, in_pieces=False)
        self._due = b""
        self._send(stutter.before + first, stutter.in_pieces)
        if stutter.second is SecondAnswer.AT_ONCE:
            self._send(second, stutter.in_pieces)
        elif stutter.second is SecondAnswer.AFTER_PAUSE:
            asyncio.get_running_loop().call_later(stutter.pause_s, self._send, second, stutter.in_pieces)
        elif stutter.second is SecondAnswer.IN_PLACE_OF_NEXT:
            self._due = second
        if stutter.closes:
            self._transport.close()

    def _answers(self, attempt: str, stutter: Stutter) -> tuple[bytes, bytes]:
        """Returns the first answer, which is recorded if the request runs, and the second one."""
        seal = f"run-{len(self._script.runs) + 1}"
        if not stutter.runs:
            promise = b"" if stutter.status == 200 else NOT_EXECUTED
            refusal = encode_answer(_name(attempt, stutter.naming), stutter.status, b"", promise)
            return refusal, encode_answer(_name(attempt, stutter.second_naming), 200, SECOND_BODY)
        body = b"" if stutter.status >= 500 else attempt.encode()
        self._script.runs[seal] = RunRecord(attempt, stutter.status, body)
        sealed = b"X-Server-Seal: %s\r\n" % seal.encode()
        first = encode_answer(_name(attempt, stutter.naming), stutter.status, body, sealed)
        return first, encode_answer(_name(attempt, stutter.second_naming), 200, SECOND_BODY, sealed)

    def _send(self, data: bytes, in_pieces: bool) -> None:
        if not in_pieces:
            self._write(data)
            return
        loop = asyncio.get_running_loop()
        for number, start in enumerate(range(0, len(data), PIECE_BYTES)):
            loop.call_later(number * PIECE_PAUSE_S, self._write, data[start : start + PIECE_BYTES])

    def _write(self, data: bytes) -> None:
        if data and not self._transport.is_closing():
            self._transport.write(data)


def encode_answer(attempt: str | None, status: int, body: bytes, headers: bytes = b"") -> bytes:
    """Returns the bytes of an answer with a length; without an attempt id if that is None."""
    name = b"" if attempt is None else b"X-Attempt-Id: %s\r\n" % attempt.encode()
    return b"HTTP/1.1 %d X\r\n%s%sContent-Length: %d\r\n\r\n%s" % (status, name, headers, len(body), body)


def _name(attempt: str, naming: Naming) -> str | None:
    return {Naming.OWN: attempt, Naming.NONE: None, Naming.UNKNOWN: "sent-by-nobody"}[naming]
