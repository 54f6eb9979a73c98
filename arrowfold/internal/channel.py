"""Calls between nodes over TCP: frames of a length and a CBOR body, many calls on one connection.

A call that is not answered in its time closes the connection, so that a peer behind a cut is dialled anew.
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
LARGEST_FRAME = 8 * 1024 * 1024  # bytes; a longer frame ends the connection
CLOSE_TIMEOUT_S = 1.0  # for the tasks of ended connections
UNACKNOWLEDGED_MS = 2_000  # TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged
Handler = Callable[[Any], Awaitable[Any]]


class ChannelError(Exception):
    """The call got no answer; whether the peer took it is not known."""


def _tune(transport: asyncio.BaseTransport) -> None:
    connection = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


async def _read_frame(reader: asyncio.StreamReader) -> tuple[int, Any]:
    size = int.from_bytes(await reader.readexactly(4), "big")
    if size > LARGEST_FRAME:
        raise CodecError(f"a frame of {size} bytes")
    frame = decode(await reader.readexactly(size))
    if not isinstance(frame, list | tuple) or len(frame) != 3 or frame[0] != PROTOCOL_VERSION:
        raise CodecError("not a frame of this protocol")
    return frame[1], frame[2]


def _frame(call: int, body: Any) -> bytes:
    data = encode([PROTOCOL_VERSION, call, body])
    return len(data).to_bytes(4, "big") + data


class ChannelServer:
    """Answers calls: one handler for each type of message."""

    def __init__(self, handlers: dict[type[Any], Handler]) -> None:
        self._handlers = handlers
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._serving: set[asyncio.Task[None] | None] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: str) -> None:
        """Listen at HOST:PORT."""
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port), backlog=512)

    async def close(self) -> None:
        """Stop listening and end all connections; returns once their tasks have ended."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._connections):
            writer.transport.abort()
        serving = {task for task in self._serving if task is not None}
        if serving:
            await asyncio.wait(serving, timeout=CLOSE_TIMEOUT_S)

    def is_serving(self) -> bool:
        """Whether a connection is open."""
        return bool(self._serving)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _tune(writer.transport)
        self._connections.add(writer)
        self._serving.add(asyncio.current_task())
        calls: set[asyncio.Task[None]] = set()
        try:
            while True:
                call, body = await _read_frame(reader)
                task = asyncio.create_task(self._answer(writer, call, body))
                for group in (calls, self._tasks):
                    group.add(task)
                    task.add_done_callback(group.discard)
        except (OSError, asyncio.IncompleteReadError, CodecError):
            pass
        finally:
            for task in list(calls):
                task.cancel()
            self._connections.discard(writer)
            self._serving.discard(asyncio.current_task())
            writer.transport.abort()

    async def _answer(self, writer: asyncio.StreamWriter, call: int, body: Any) -> None:
        handler = self._handlers.get(type(body))
        if handler is None:
            answer: Any = CallFailed(ResultCode.REQUEST_MALFORMED, f"no handler for {type(body).__name__}")
        else:
            try:
                answer = await handler(body)
            except Exception as error:  # one call's fault must not end the others
                answer = CallFailed(ResultCode.STATE_DAMAGED, f"{type(error).__name__}: {error}")
        if not writer.transport.is_closing():
            writer.write(_frame(call, answer))


class _Connection:
    """One connection to a peer and the calls that wait on it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.waiting: dict[int, asyncio.Future[Any]] = {}
        self.closed = False
        self.task = asyncio.create_task(self._receive())

    async def _receive(self) -> None:
        try:
            while True:
                call, body = await _read_frame(self.reader)
                future = self.waiting.pop(call, None)
                if future is not None and not future.done():
                    future.set_result(body)
        except (OSError, asyncio.IncompleteReadError, CodecError):
            pass
        finally:
            self.close()

    def close(self) -> None:
        """End the connection; every call that waits on it fails."""
        self.closed = True
        self.writer.transport.abort()
        waiting, self.waiting = self.waiting, {}
        for future in waiting.values():
            if not future.done():
                future.set_exception(ChannelError("the connection ended"))


class ChannelClient:
    """Calls to any number of peers; one connection to each, dialled when it is needed."""

    def __init__(self) -> None:
        self._connections: dict[str, _Connection] = {}
        self._dialling: dict[str, asyncio.Lock] = {}
        self._numbers = itertools.count(1)
        self._dialler = Dialler()

    async def call(self, address: str, request: Any, timeout_s: float) -> Result[Any, ChannelError]:
        """The peer's answer, or why there is none; a `CallFailed` answer counts as none."""
        connection: _Connection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect(address)
                number = next(self._numbers)
                future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
                connection.waiting[number] = future
                try:
                    connection.writer.write(_frame(number, request))
                    answer = await future
                finally:
                    connection.waiting.pop(number, None)
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
        lock = self._dialling.setdefault(address, asyncio.Lock())
        async with lock:
            connection = self._connections.get(address)
            if connection is not None and not connection.closed:
                return connection
            reader, writer = await self._dialler.dial(address)
            _tune(writer.transport)
            connection = self._connections[address] = _Connection(reader, writer)
            return connection

    def drop(self, address: str, connection: _Connection | None = None) -> None:
        """Give up the connection to a peer; the next call dials anew."""
        current = self._connections.get(address)
        if current is not None and connection in (None, current):
            del self._connections[address]
        for ended in {connection, current if connection is None else None} - {None}:
            assert ended is not None
            ended.close()

    def close(self) -> None:
        """End all connections."""
        for address in list(self._connections):
            self.drop(address)
