"""Simulated workers without an engine whose answers fail, stutter, break off or come twice."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from arrowfold.standins.model_workers import RequestRun, StandInWorker, WorkerProfile, answer_text
from benchmarks.soak.answers import AnswerRecord, RunAnswer, is_request_body

SECOND_BODY = b"ok"
CLOSE_SHARE = 0.05  # of the answers that announce the end of their connection
LATEST_SECOND_S = 0.3  # from the first to the second answer, unless this goes out with the next answer
PIECE_BYTES = 11
PIECE_PAUSE_S = 0.002
SPOILED_HEADS = (
    b"HTTP/1.1 OK 200\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
)


class Treatment(Enum):
    """How a worker treats a request."""

    ANSWER = "answer"
    ANSWER_IN_PIECES = "answer in pieces"
    FAIL = "fail"  # 500, run
    FAIL_UNNAMED = "fail unnamed"  # 500 without the attempt id, run
    REFUSE = "refuse"
    REFUSE_EARLY = "refuse early"  # before the body is read
    MISDIRECT = "misdirect"
    CUT = "cut"
    SPOIL = "spoil"
    UNFRAMED = "unframed"
    RESET = "reset"


WEIGHTS = {
    Treatment.ANSWER: 66,
    Treatment.ANSWER_IN_PIECES: 6,
    Treatment.FAIL: 12,
    Treatment.FAIL_UNNAMED: 3,
    Treatment.REFUSE: 4,
    Treatment.REFUSE_EARLY: 2,
    Treatment.MISDIRECT: 4,
    Treatment.CUT: 2,
    Treatment.SPOIL: 3,
    Treatment.UNFRAMED: 2,
    Treatment.RESET: 2,
}
REFUSALS = {Treatment.REFUSE: 503, Treatment.REFUSE_EARLY: 503, Treatment.MISDIRECT: 421}


class SecondAnswer(Enum):
    """When the second answer goes out; at once it has no attempt id."""

    AT_ONCE = "at once"
    AFTER_PAUSE = "after a pause"
    IN_PLACE_OF_NEXT = "in place of the next"
    STOPS_IN_HEAD = "stops in its head"  # after a pause
    IN_PLACE_OF_NEXT_ELSEWHERE = "in place of the next elsewhere"  # on another connection to the worker


@dataclass(slots=True)
class WorkerConnection:
    """One connection of a caller. `due` goes out before the next answer, `is_writing`: within an answer."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    due: bytes = b""
    is_writing: bool = False

    def write_second(self, answer: bytes) -> None:
        """Write a second answer, after the answer that is being written if there is one."""
        if self.is_writing:
            self.due += answer
        elif not self.writer.is_closing():
            self.writer.write(answer)


@dataclass(frozen=True, slots=True)
class WorkerRequestHead:
    """The fields of a request that a worker looks at."""

    attempt: str
    path: str
    target: str | None
    body_bytes: int


class StutteringWorker(StandInWorker):
    """A worker that writes its answers byte by byte, so that they can be wrong in every way."""

    def __init__(
        self,
        profile: WorkerProfile,
        control_addresses: Sequence[str],
        heartbeat_interval_s: float,
        rng: random.Random,
        answers: AnswerRecord,
        doubled_share: float,
    ) -> None:
        """`doubled_share`: of the answers that are followed by a second one."""
        super().__init__(profile, control_addresses, heartbeat_interval_s)
        self.doubled_answers = 0
        self._doubled_share = doubled_share
        self._rng = rng
        self._answers = answers
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._due_elsewhere: list[tuple[WorkerConnection, bytes]] = []  # not on the connection named

    async def _listen(self, host: str) -> None:
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop at once, without deregistering from the control nodes."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections:
            connection.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)
        await super().stop()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = WorkerConnection(reader, writer)
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while not writer.is_closing():
                    await self._serve_request(connection)
        finally:
            writer.close()

    async def _serve_request(self, connection: WorkerConnection) -> None:
        head = parse_head(await connection.reader.readuntil(b"\r\n\r\n"))
        treatment = self._rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        if head.target not in (None, self.profile.instance):
            treatment = Treatment.MISDIRECT
        elif self._active >= self.profile.capacity_slots:
            treatment = Treatment.REFUSE
        if treatment is Treatment.REFUSE_EARLY:
            await self._refuse(connection, head, treatment)
            await connection.reader.readexactly(head.body_bytes)
            return
        body = await connection.reader.readexactly(head.body_bytes)
        if treatment in REFUSALS:
            await self._refuse(connection, head, treatment)
        else:
            await self._run(connection, head, body, treatment)

    async def _refuse(
        self, connection: WorkerConnection, head: WorkerRequestHead, treatment: Treatment
    ) -> None:
        status = REFUSALS[treatment]
        refusal = encode(head.attempt, status, b"", self._load_header() + b"X-Not-Executed: 1\r\n")
        await self._write(connection, refusal, second=refusal)

    async def _run(
        self, connection: WorkerConnection, head: WorkerRequestHead, body: bytes, treatment: Treatment
    ) -> None:
        if not is_request_body(head.attempt, body):
            self._answers.changed_bodies.append(head.attempt)
        self.runs.append(RequestRun(head.attempt, head.path, asyncio.get_running_loop().time()))
        seal = f"{self.profile.instance}.{len(self.runs)}"
        failed = treatment in (Treatment.FAIL, Treatment.FAIL_UNNAMED)
        status = 500 if failed else 200
        text = b"" if failed else answer_text(head.attempt).encode()
        self._answers.by_seal[seal] = RunAnswer(head.attempt, status, text)
        self._active += 1
        try:
            await asyncio.sleep(0 if failed else self.profile.work_s)
        finally:
            self._active -= 1
        await self._answer(connection, head, treatment, seal, status, text)

    async def _answer(
        self,
        connection: WorkerConnection,
        head: WorkerRequestHead,
        treatment: Treatment,
        seal: str,
        status: int,
        text: bytes,
    ) -> None:
        sealed = b"X-Server-Seal: %s\r\n" % seal.encode()
        attempt = None if treatment is Treatment.FAIL_UNNAMED else head.attempt
        first = encode(attempt, status, text, sealed + self._load_header() + self._close_header())
        second = encode(head.attempt, 200, SECOND_BODY, sealed)
        if treatment is Treatment.SPOIL:
            first = self._rng.choice(SPOILED_HEADS)
        if treatment is Treatment.CUT:
            connection.writer.write(connection.due + first[: self._rng.randrange(len(first))])
            connection.writer.close()
        elif treatment is Treatment.UNFRAMED:
            unframed = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n" % head.attempt.encode()
            connection.writer.write(connection.due + unframed + sealed + b"\r\n" + text)
            connection.writer.close()
        elif treatment is Treatment.RESET:
            connection.writer.transport.abort()
        elif treatment is Treatment.ANSWER_IN_PIECES:
            await self._write_in_pieces(connection, first)
        else:
            unnamed = encode(None, 200, SECOND_BODY, sealed)
            await self._write(connection, first, second, unnamed)
        if b"Connection: close" in first:
            connection.writer.close()

    async def _write(
        self, connection: WorkerConnection, first: bytes, second: bytes, unnamed: bytes = b""
    ) -> None:
        """Write an answer, sometimes followed by a second one."""
        due, connection.due = connection.due + self._take_due_elsewhere(connection), b""
        when = self._rng.choice(list(SecondAnswer)) if self._rng.random() < self._doubled_share else None
        self.doubled_answers += when is not None
        if when is SecondAnswer.AT_ONCE:
            first += unnamed
        connection.writer.write(due + first)
        if when is SecondAnswer.IN_PLACE_OF_NEXT:
            connection.due = second
        elif when is SecondAnswer.IN_PLACE_OF_NEXT_ELSEWHERE:
            self._due_elsewhere.append((connection, second))
        elif when in (SecondAnswer.AFTER_PAUSE, SecondAnswer.STOPS_IN_HEAD):
            if when is SecondAnswer.STOPS_IN_HEAD:
                second = second[: self._rng.randrange(1, second.index(b"\r\n\r\n"))]
            pause_s = self._rng.random() * LATEST_SECOND_S
            asyncio.get_running_loop().call_later(pause_s, connection.write_second, second)
        await connection.writer.drain()

    def _take_due_elsewhere(self, connection: WorkerConnection) -> bytes:
        """Returns, once, the second answers that are to go out on another connection than their first."""
        taken = [item for item in self._due_elsewhere if item[0] is not connection]
        self._due_elsewhere = [item for item in self._due_elsewhere if item[0] is connection]
        return b"".join(answer for _, answer in taken)

    async def _write_in_pieces(self, connection: WorkerConnection, answer: bytes) -> None:
        data = connection.due + answer
        connection.due, connection.is_writing = b"", True
        try:
            for start in range(0, len(data), PIECE_BYTES):
                connection.writer.write(data[start : start + PIECE_BYTES])
                await asyncio.sleep(PIECE_PAUSE_S)
        finally:
            connection.is_writing = False

    def _load_header(self) -> bytes:
        return b"X-Server-Load: %d,0,%d\r\n" % (self._active, self.profile.capacity_slots)

    def _close_header(self) -> bytes:
        return b"Connection: close\r\n" if self._rng.random() < CLOSE_SHARE else b""


def parse_head(data: bytes) -> WorkerRequestHead:
    """Returns the fields of the bytes of a request's head."""
    lines = data.decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
    return WorkerRequestHead(
        attempt=fields.get("x-attempt-id", ""),
        path=lines[0].split(" ")[1],
        target=fields.get("x-target-instance"),
        body_bytes=int(fields.get("content-length", "0")),
    )


def encode(attempt: str | None, status: int, body: bytes, headers: bytes) -> bytes:
    """Returns the bytes of an answer with a length; without an attempt id if that is None."""
    name = b"" if attempt is None else b"X-Attempt-Id: %s\r\n" % attempt.encode()
    head = b"HTTP/1.1 %d X\r\n%s%sContent-Length: %d\r\n\r\n" % (status, name, headers, len(body))
    return head + body
