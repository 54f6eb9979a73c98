"""Test harness: an edge's HTTP front and worker connections on loopback, with raw workers and clients."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import uvloop

from arrowfold.configuration.routes import Limits
from arrowfold.dataplane.forwarding import RequestForwarder
from arrowfold.dataplane.front import EdgeFront
from arrowfold.dataplane.process_end import ProcessEnd
from arrowfold.dataplane.retry_budget import RetryBudget
from arrowfold.dataplane.tables import FleetTables
from arrowfold.dataplane.worker_connections import WorkerConnections
from arrowfold.internal.messages import WorkerRecord, WorkerUpdate
from tests.system.edge_stories import HOST, configuration, configuration_update, response, route
from tests.system.least_loaded_selector import LeastLoadedSelector

SEAL = b"X-Server-Seal: seal\r\n"
Serve = Callable[["RawExchange"], Awaitable[None]]


@dataclass(slots=True)
class RawExchange:
    """One request that a raw worker has read, with methods to answer it."""

    head: bytes
    body: bytes
    attempt_id: bytes
    writer: asyncio.StreamWriter
    connection: int

    async def write(self, data: bytes) -> None:
        """Write bytes of the answer without delay."""
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, body: bytes = b"done", status: bytes = b"200 OK", headers: bytes = SEAL) -> None:
        """Write a complete answer."""
        await self.write(self.answer_bytes(body, status, headers))

    def answer_bytes(self, body: bytes = b"done", status: bytes = b"200 OK", headers: bytes = SEAL) -> bytes:
        """Returns the bytes of a complete answer."""
        return (
            b"HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n"
            % (status, self.attempt_id, headers, len(body))
            + body
        )

    def reset(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


class RawWorker:
    """A worker that answers each request by the next script; the last script is used repeatedly."""

    def __init__(self, *scripts: Serve) -> None:
        self._scripts = list(scripts)
        self._server: asyncio.Server | None = None
        self.address = ""
        self.heads: list[bytes] = []
        self.bodies: list[bytes] = []
        self.connections = 0
        self.closed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(int(field_of(head, b"content-length") or b"0"))
                self.heads.append(head)
                self.bodies.append(body)
                script = self._scripts.pop(0) if len(self._scripts) > 1 else self._scripts[0]
                attempt = field_of(head, b"x-attempt-id") or b""
                await script(RawExchange(head, body, attempt, writer, number))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.set()
            writer.close()


def field_of(head: bytes, name: bytes) -> bytes | None:
    """Returns the value of a header (name in lower case) in the bytes of a head, or None."""
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return None


@dataclass(slots=True)
class RawAnswer:
    """An answer that a raw client read; `complete` is False if the body was truncated."""

    status: int
    head: bytes
    body: bytes
    complete: bool


class RawClient:
    """One client connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: str) -> RawClient:
        """Connect to an edge at HOST:PORT."""
        host, port = address.rsplit(":", 1)
        return cls(*await asyncio.open_connection(host, int(port)))

    async def send(self, data: bytes) -> None:
        """Write bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def read(self) -> RawAnswer:
        """Read one answer."""
        async with asyncio.timeout(5):
            head = await self.reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            if field_of(head, b"transfer-encoding") == b"chunked":
                body, complete = await self._read_chunked()
                return RawAnswer(status, head, body, complete)
            length = int(field_of(head, b"content-length") or b"0")
            try:
                return RawAnswer(status, head, await self.reader.readexactly(length), True)
            except asyncio.IncompleteReadError as error:
                return RawAnswer(status, head, error.partial, False)

    async def read_part(self) -> bytes:
        """Read one chunk of a body."""
        async with asyncio.timeout(5):
            size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
            return (await self.reader.readexactly(size + 2))[:-2]

    async def _read_chunked(self) -> tuple[bytes, bool]:
        body = b""
        try:
            while part := await self.read_part():
                body += part
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False
        return body, True

    def close(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()


def request_bytes(
    path: str, attempt: str, *headers: str, body: bytes = b"", method: str = "POST", host: str = HOST
) -> bytes:
    """Returns the bytes of a client's request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Attempt-Id: {attempt}", *headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass(slots=True)
class LoopbackEdge:
    """A forwarder with its front and worker connections, without control nodes."""

    routes: list[dict[str, Any]]
    limits: dict[str, Any] = field(default_factory=dict)
    workers: dict[str, tuple[str, RawWorker]] = field(default_factory=dict)
    address: str = ""
    front: EdgeFront | None = None
    connections: WorkerConnections | None = None
    budget: RetryBudget | None = None
    selector: LeastLoadedSelector | None = None
    tables: FleetTables = field(default_factory=FleetTables)

    async def start(
        self, opened: socket.socket | None = None, **workers: tuple[str, RawWorker]
    ) -> LoopbackEdge:
        """Start the workers, given as (service, worker) by instance, and the edge, at `opened` if given."""
        loop = asyncio.get_running_loop()
        self.workers = workers
        updates: list[Any] = [configuration_update(configuration(self.routes, **self.limits))]
        for instance, (service, raw) in workers.items():
            if not raw.address:
                await raw.start()
            record = WorkerRecord(instance, service, raw.address, "z1", "v1", 8, "available", (), 1)
            updates.append(WorkerUpdate("origin", 1, record))
        tables = self.tables
        tables.apply(response(*updates))
        selector = self.selector = LeastLoadedSelector(random.Random(1))
        selector.apply_workers(tuple(tables.snapshot.workers.values()), loop.time())
        budget = self.budget = RetryBudget(0.2, 50, 10, loop.time() - 100)
        budget.apply_edges(1, loop.time())
        self.connections = WorkerConnections()
        self.connections.set_connection_limits({instance: 4 for instance in workers})
        process_end = ProcessEnd()
        forwarder = RequestForwarder(
            self.connections,
            selector,
            budget,
            lambda: tables.snapshot,
            loop.time,
            random.Random(1),
            process_end,
        )

        def limits() -> Limits:
            assert tables.snapshot.configuration is not None
            return tables.snapshot.configuration.routes.limits

        self.front = EdgeFront(forwarder.forward, limits, process_end)
        self.address = await self.front.start("127.0.0.1:0", opened)
        return self

    async def add_worker(self, instance: str, service: str, raw: RawWorker) -> None:
        """Start a further worker, and let the edge know it."""
        assert self.connections is not None and self.selector is not None
        await raw.start()
        self.workers[instance] = (service, raw)
        record = WorkerRecord(instance, service, raw.address, "z1", "v1", 8, "available", (), 1)
        self.tables.apply(response(WorkerUpdate("origin", 1, record)))
        now_s = asyncio.get_running_loop().time()
        self.selector.apply_workers(tuple(self.tables.snapshot.workers.values()), now_s)
        self.connections.set_connection_limits({name: 4 for name in self.workers})

    async def client(self) -> RawClient:
        """A new client connection."""
        return await RawClient.connect(self.address)

    async def stop(self) -> None:
        """Stop the edge and the workers."""
        assert self.front is not None and self.connections is not None
        await self.front.stop(0.1)
        self.connections.keep_only(set())
        for _, raw in self.workers.values():
            raw.stop()


HTTP_ROUTES = [
    route("pay", "/pay/", "cards", "non_idempotent"),
    route("look", "/look/", "cards", "idempotent"),
    route("talk", "/talk/", "cards", "streaming", resumable=True),
    route("draft", "/draft/", "cards", "streaming"),
]
CHUNKED = SEAL + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


async def plain(exchange: RawExchange) -> None:
    await exchange.answer()


def stream_head(exchange: RawExchange) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s\r\n" % (exchange.attempt_id, CHUNKED)


def run_on_loopback(scenario: Callable[[], Awaitable[None]], timeout_s: float = 10) -> None:
    """Run a scenario on uvloop, the event loop of the program, with a timeout."""

    async def bounded() -> None:
        async with asyncio.timeout(timeout_s):
            await scenario()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


def backdate_activity(edge: LoopbackEdge, seconds: float, pools: bool = True) -> None:
    """Move the last activity of all exchanges, and of instances with `pools`, back by `seconds`."""
    assert edge.connections is not None
    for pool in edge.connections.pools.values():
        pool.last_activity_s -= seconds if pools else 0.0
        for connection in pool.active:
            connection.last_activity_s -= seconds
            if connection.awaited_since_s is not None:
                connection.awaited_since_s -= seconds
            connection.sent_s -= seconds


async def edge_with(*scripts: Any, **limits: Any) -> tuple[LoopbackEdge, RawWorker]:
    worker = RawWorker(*scripts)
    edge = await LoopbackEdge(HTTP_ROUTES, limits).start(w1=("cards", worker))
    return edge, worker
