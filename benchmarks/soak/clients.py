"""Clients that reuse their connection at once, until it is closed, and note what came of each request."""

from __future__ import annotations

import asyncio
import random
import secrets
from dataclasses import dataclass, field

from arrowfold.standins.local_system import LocalNode, LocalSystem
from arrowfold.standins.model_workers import STREAM_EVENTS, answer_text, event_text
from arrowfold.standins.trial_client import RequestKind
from arrowfold.standins.trial_configuration import ADDED, CHAT, HOST, LOOKUP, RECORD

KINDS = (CHAT, CHAT, LOOKUP, RECORD, RECORD, ADDED)
GAPS_S = (0.0, 0.0, 0.003, 0.02, 0.05, 0.09, 0.3)  # from an answer to the next request of its connection
SHORT_GAPS_S = (0.0, 0.0, 0.003, 0.02, 0.05, 0.09)  # before an edge closes a connection that rests
DEADLINES_S = (0.5, 2.0, 5.0, 15.0)
SLOW_BODY_SHARE = 0.1  # of the requests: the last byte of the body comes later than the head
LONGEST_BODY_S = 1.5
LEAVING_SHARE = 0.03  # of the requests: the client closes its connection before the answer
CONNECT_TIMEOUT_S = 2.0
DEADLINE_SLACK_S = 3.0  # beyond its deadline, before a client takes its request for forgotten
RETRY_LIMIT_S = 0.5
WHOLE_STREAM = "".join(event_text(number) for number in range(1, STREAM_EVENTS + 1)).encode()
_CHUNK_END = 2


@dataclass(slots=True)
class SentRequest:
    """One request and what came of it; times are seconds of the event loop's clock."""

    attempt: str
    kind: RequestKind
    edge: str
    process: int  # the edge's process id when the connection was opened
    deadline_s: float
    first_on_connection: bool
    began_s: float
    sent_s: float | None = None  # when its last byte was written
    ended_s: float | None = None
    status: int | None = None  # of an answer whose head came
    sealed: bool = False
    body: bytes = b""
    complete: bool = False
    left: bool = False  # the client closed the connection itself
    forgotten: bool = False  # neither an answer nor a close came


@dataclass(slots=True)
class _Head:
    """The head of an answer."""

    status: int
    fields: dict[bytes, bytes]

    @property
    def closes(self) -> bool:
        return self.fields.get(b"connection", b"").lower() == b"close"


@dataclass
class SoakClient:
    """One client: a connection at a time, requests one after the other."""

    system: LocalSystem
    draw: random.Random
    requests: list[SentRequest]
    only_streams: bool = False  # long ones, with no gap worth mention between them
    stopping: asyncio.Event = field(default_factory=asyncio.Event)

    async def run(self) -> None:
        """Send until told to stop."""
        while not self.stopping.is_set():
            edge = self.draw.choice(self.system.edges)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(edge.host, self.system.ports.front)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                await self._use(edge, reader, writer)
            finally:
                writer.transport.abort()

    async def _use(self, edge: LocalNode, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send on this connection until it ends."""
        process = edge.process.pid if edge.process is not None else 0
        first = True
        goes_on = True
        while goes_on and not self.stopping.is_set():
            request = self._request(edge, process, first)
            self.requests.append(request)
            first = False
            goes_on = await self._exchange(request, reader, writer)
            if goes_on:
                await asyncio.sleep(self.draw.choice(SHORT_GAPS_S if self.only_streams else GAPS_S))

    def _request(self, edge: LocalNode, process: int, first: bool) -> SentRequest:
        now_s = asyncio.get_running_loop().time()
        deadline_s = max(DEADLINES_S) if self.only_streams else self.draw.choice(DEADLINES_S)
        kind = CHAT if self.only_streams else self.draw.choice(KINDS)
        return SentRequest(secrets.token_hex(8), kind, edge.name, process, deadline_s, first, now_s)

    async def _exchange(
        self, request: SentRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """One request and its answer; whether the connection goes on."""
        loop = asyncio.get_running_loop()
        retry_s = None
        try:
            async with asyncio.timeout(request.deadline_s + LONGEST_BODY_S + DEADLINE_SLACK_S):
                await self._send(request, writer)
                if self.draw.random() < LEAVING_SHARE:
                    await asyncio.sleep(self.draw.random() * 0.1)
                    request.left = True
                    return False
                head = await _read_head(reader)
                request.status = head.status
                request.sealed = b"x-server-seal" in head.fields
                await _read_body(request, reader, head)
                retry_s = head.fields.get(b"retry-after")
        except (OSError, asyncio.IncompleteReadError):
            return False
        except TimeoutError:
            request.forgotten = True
            return False
        finally:
            request.ended_s = loop.time()
        if retry_s is not None:
            await asyncio.sleep(min(RETRY_LIMIT_S, float(retry_s)))
        return not head.closes

    async def _send(self, request: SentRequest, writer: asyncio.StreamWriter) -> None:
        body = b"{}"
        lines = [
            f"POST {request.kind.path}x HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {request.attempt}",
            f"X-Deadline-Ms: {int(request.deadline_s * 1000)}",
            f"Content-Length: {len(body)}",
        ]
        if request.kind.model is not None:
            lines += [f"X-Model: {request.kind.model}", "X-Token-Usage: 40,8"]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        if self.draw.random() < SLOW_BODY_SHARE:
            writer.write(head + body[:-1])
            await asyncio.sleep(self.draw.random() * LONGEST_BODY_S)
            writer.write(body[-1:])
        else:
            writer.write(head + body)
        request.sent_s = asyncio.get_running_loop().time()
        await writer.drain()


def expected_body(request: SentRequest) -> bytes:
    """The whole body of a success."""
    return WHOLE_STREAM if request.kind.streams else answer_text(request.attempt).encode()


async def _read_head(reader: asyncio.StreamReader) -> _Head:
    lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        fields[name.strip().lower()] = value.strip()
    return _Head(int(lines[0].split(b" ")[1]), fields)


async def _read_body(request: SentRequest, reader: asyncio.StreamReader, head: _Head) -> None:
    """The body as far as it comes; `complete` once it has come whole."""
    if head.fields.get(b"transfer-encoding", b"").lower() == b"chunked":
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            request.body += (await reader.readexactly(size + _CHUNK_END))[:-_CHUNK_END]
        await reader.readexactly(_CHUNK_END)
    else:
        request.body = await reader.readexactly(int(head.fields.get(b"content-length", b"0")))
    request.complete = True
