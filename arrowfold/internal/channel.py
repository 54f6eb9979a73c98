"""Calls between nodes over TCP: length-prefixed frames with a CBOR body, many calls on one connection.

A call that times out closes its connection, so that the next call after a network partition opens
a new one.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from result import Err, Ok, Result

from arrowfold.internal.codec import CodecError, decode, encode
from arrowfold.internal.dialling import Dialler
from arrowfold.internal.messages import CallFailed
from arrowfold.node.result_codes import ResultCode

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 8 * 1024 * 1024  # bytes; a larger frame closes the connection
CLOSE_TIMEOUT_S = 1.0  # maximum wait for the tasks of closed connections
TCP_USER_TIMEOUT_MS = 2_000  # maximum time that sent bytes may stay unacknowledged
Handler = Callable[[Any], Awaitable[Any]]


class ChannelError(Exception):
    """The call got no answer; whether the peer processed it is unknown."""


def _set_socket_options(transport: asyncio.BaseTransport) -> None:
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is not None:
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


async def _read_frame(reader: asyncio.StreamReader) -> tuple[int, Any]:
    size = int.from_bytes(await reader.readexactly(4), "big")
    if size > MAX_FRAME_BYTES:
        raise CodecError(f"frame of {size} bytes is too large")
    frame = decode(await reader.readexactly(size))
    if not isinstance(frame, list | tuple) or len(frame) != 3 or frame[0] != PROTOCOL_VERSION:
        raise CodecError("not a frame of this protocol")
    return frame[1], frame[2]


def _frame(call_id: int, body: Any) -> bytes:
    data = encode([PROTOCOL_VERSION, call_id, body])
    return len(data).to_bytes(4, "big") + data


class ChannelServer:
    """Answers calls with one handler for each message type."""

    def __init__(self, handlers: dict[type[Any], Handler]) -> None:
        self._handlers = handlers
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._connection_tasks: set[asyncio.Task[None] | None] = set()
        self._handler_tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: str) -> None:
        """Start listening at HOST:PORT."""
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve_connection, host, int(port), backlog=512)

    async def close(self) -> None:
        """Stop listening, close all connections and wait for their tasks, for `CLOSE_TIMEOUT_S` at most."""
        if self._server is not None:
            self._server.close()
        for task in list(self._handler_tasks):
            task.cancel()
        for writer in list(self._connections):
            writer.transport.abort()
        tasks = {task for task in self._connection_tasks if task is not None}
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_TIMEOUT_S)

    def has_connections(self) -> bool:
        """Whether any connection is open."""
        return bool(self._connection_tasks)

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _set_socket_options(writer.transport)
        self._connections.add(writer)
        self._connection_tasks.add(asyncio.current_task())
        calls: set[asyncio.Task[None]] = set()
        try:
            while True:
                call_id, body = await _read_frame(reader)
                task = asyncio.create_task(self._answer(writer, call_id, body))
                for group in (calls, self._handler_tasks):
                    group.add(task)
                    task.add_done_callback(group.discard)
        except (OSError, asyncio.IncompleteReadError, CodecError):
            pass
        finally:
            for task in list(calls):
                task.cancel()
            self._connections.discard(writer)
            self._connection_tasks.discard(asyncio.current_task())
            writer.transport.abort()

    async def _answer(self, writer: asyncio.StreamWriter, call_id: int, body: Any) -> None:
        handler = self._handlers.get(type(body))
        if handler is None:
            answer: Any = CallFailed(ResultCode.REQUEST_MALFORMED, f"no handler for {type(body).__name__}")
        else:
            try:
                answer = await handler(body)
            except Exception as error:  # an error in one call must not end the other calls
                answer = CallFailed(ResultCode.STATE_DAMAGED, f"{type(error).__name__}: {error}")
        if not writer.transport.is_closing():
            writer.write(_frame(call_id, answer))


class _Connection:
    """One connection to a peer and its pending calls, by call id."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.pending: dict[int, asyncio.Future[Any]] = {}
        self.closed = False
        self.task = asyncio.create_task(self._receive())

    async def _receive(self) -> None:
        try:
            while True:
                call_id, body = await _read_frame(self.reader)
                future = self.pending.pop(call_id, None)
                if future is not None and not future.done():
                    future.set_result(body)
        except (OSError, asyncio.IncompleteReadError, CodecError):
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection; its pending calls fail."""
        self.closed = True
        self.writer.transport.abort()
        pending, self.pending = self.pending, {}
        for future in pending.values():
            if not future.done():
                future.set_exception(ChannelError("connection closed"))


class ChannelClient:
    """Calls peers, over one connection to each, which is opened when it is needed."""

    def __init__(self) -> None:
        self._connections: dict[str, _Connection] = {}
        self._connect_locks: dict[str, asyncio.Lock] = {}
        self._call_ids = itertools.count(1)
        self._dialler = Dialler()

    async def call(self, address: str, request: Any, timeout_s: float) -> Result[Any, ChannelError]:
        """Returns the peer's answer, or a ChannelError if it fails, times out or answers `CallFailed`."""
        connection: _Connection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect(address)
                call_id = next(self._call_ids)
                future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
                connection.pending[call_id] = future
                try:
                    connection.writer.write(_frame(call_id, request))
                    answer = await future
                finally:
                    connection.pending.pop(call_id, None)
        except TimeoutError:
            if connection is not None:
                self.drop(address, connection)
            return Err(ChannelError(f"{address}: no answer in {timeout_s} s"))
        except (OSError, ChannelError) as error:
            return Err(ChannelError(f"{address}: {error}"))
        if isinstance(answer, CallFailed):
            return Err(ChannelError(f"{address}: {answer.code} {answer.text}"))
        return Ok(answer)

    async def _connect(self, address: str) -> _Connection:
        lock = self._connect_locks.setdefault(address, asyncio.Lock())
        async with lock:
            connection = self._connections.get(address)
            if connection is not None and not connection.closed:
                return connection
            reader, writer = await self._dialler.dial(address)
            _set_socket_options(writer.transport)
            connection = self._connections[address] = _Connection(reader, writer)
            return connection

    def drop(self, address: str, connection: _Connection | None = None) -> None:
        """Close the connection to a peer; the next call opens a new one."""
        current = self._connections.get(address)
        if current is not None and connection in (None, current):
            del self._connections[address]
        for closing in {connection, current if connection is None else None} - {None}:
            assert closing is not None
            closing.close()

    def close(self) -> None:
        """Close all connections."""
        for address in list(self._connections):
            self.drop(address)
