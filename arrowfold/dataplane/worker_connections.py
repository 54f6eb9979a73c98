"""HTTP connections to workers, pooled by instance and limited to this edge's share.

A request is written once and never retried here; the caller decides what follows from a loss.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable
from http import HTTPStatus

from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader
from result import Err, Ok, Result

from arrowfold.dataplane import headers as names
from arrowfold.dataplane.answer_heads import MAX_HEAD_BYTES, AnswerFault
from arrowfold.dataplane.answer_protocol import AnswerProtocol
from arrowfold.dataplane.connection_answer import (
    READ_ERRORS,
    ConnectionAnswer,
    ForeignAnswer,
    InvalidAnswer,
    UnattributableAnswerError,
    is_length_known,
)
from arrowfold.dataplane.exchange import SendFailure, WorkerAnswer, WorkerRequest
from arrowfold.dataplane.headers import find
from arrowfold.dataplane.worker_connection import InstancePool, WorkerConnection

CONNECT_TIMEOUT_S = 0.4
TCP_USER_TIMEOUT_MS = 2_000  # until a connection with unacknowledged data is closed
NON_RETRYABLE_MAX_IDLE_S = 2.0  # idle for longer, a connection is not used for requests without a retry
MIN_CONNECTIONS = 2  # minimum per instance, regardless of this edge's share
MAX_SURPLUS_ANSWERS = 2  # answers to earlier requests that are skipped before the request counts as lost


class WorkerConnections:
    """All connections to workers, by instance."""

    def __init__(
        self,
        on_foreign_answer: Callable[[ForeignAnswer], None] = lambda foreign: None,
        on_invalid_answer: Callable[[InvalidAnswer], None] = lambda invalid: None,
    ) -> None:
        """`on_foreign_answer` is called with each answer that isn't the awaited one, `on_invalid_answer` with
        the reason why received bytes are not an awaited answer.
        """
        self._on_foreign_answer = on_foreign_answer
        self._on_invalid_answer = on_invalid_answer
        self._loop = asyncio.get_running_loop()
        self._pools: dict[str, InstancePool] = {}
        self._limits: dict[str, int] = {}
        self._numbers = itertools.count(1)

    def set_connection_limits(self, limits: dict[str, int]) -> None:
        """Set how many connections this edge may open to each instance."""
        self._limits = limits

    def keep_only(self, instances: set[str]) -> None:
        """Close the idle connections of all other instances."""
        for instance in [name for name in self._pools if name not in instances]:
            pool = self._pools[instance]
            self.close_idle(pool)
            if pool.open_count == 0:
                del self._pools[instance]

    def close_expired(self) -> None:
        """Close idle connections that the worker has closed or is about to close."""
        now_s = self._loop.time()
        for pool in self._pools.values():
            for connection in [c for c in pool.idle if not _is_usable(c, now_s)]:
                pool.idle.remove(connection)
                self._close(pool, connection)

    async def send(
        self, instance: str, address: str, request: WorkerRequest
    ) -> Result[WorkerAnswer, SendFailure]:
        """Send a request to an instance and read the head of its answer."""
        pool = self._pools.setdefault(instance, InstancePool(address))
        connection = self._acquire_idle(pool, request)
        if connection is None:
            connected = await self._connect(instance, pool)
            if connected.is_err():
                return Err(connected.unwrap_err())
            connection = connected.unwrap()
        pool.active.add(connection)
        try:
            connection.write(request, self._loop.time())
            pool.recent_attempts.append(request.attempt_id)
            answer = await self._read_answer(instance, pool, connection, request)
        except READ_ERRORS:
            self._close(pool, connection)
            return Err(SendFailure.LOST)
        except BaseException:
            self._close(pool, connection)
            raise
        return Ok(answer)

    def _acquire_idle(self, pool: InstancePool, request: WorkerRequest) -> WorkerConnection | None:
        """Returns the idle connection that was used last, of those that the request may use.

        A connection that carried the same attempt id before isn't one of them, whether for this request or
        for one that its client sent again: a surplus answer to the first would pass for that to the second.
        """
        now_s = self._loop.time()
        for connection in reversed(tuple(pool.idle)):
            has_sent_it = connection.number in request.connections.numbers
            if has_sent_it or connection.has_carried(request.attempt_id):
                continue
            if not _is_usable(connection, now_s):
                pool.idle.remove(connection)
                self._close(pool, connection)
            elif request.is_retryable or now_s - connection.idle_since_s <= NON_RETRYABLE_MAX_IDLE_S:
                pool.idle.remove(connection)
                return connection
            else:
                return None
        return None

    async def _connect(self, instance: str, pool: InstancePool) -> Result[WorkerConnection, SendFailure]:
        max_connections = max(MIN_CONNECTIONS, self._limits.get(instance, MIN_CONNECTIONS))
        if pool.open_count >= max_connections and pool.idle:
            self._close(pool, pool.idle.popleft())
        if pool.open_count >= max_connections:
            return Err(SendFailure.NO_CONNECTION_FREE)
        host, port = pool.address.rsplit(":", 1)
        pool.open_count += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, protocol = await self._loop.create_connection(
                    lambda: AnswerProtocol(self._loop), host, int(port)
                )
        except (OSError, TimeoutError):
            pool.open_count -= 1
            return Err(SendFailure.UNREACHABLE)
        except BaseException:
            pool.open_count -= 1
            raise
        _configure(protocol)
        connection = WorkerConnection(protocol, self._loop.time(), next(self._numbers))
        protocol.on_invalid_answer = lambda fault: self._report_invalid(instance, connection, fault)
        return Ok(connection)

    def _report_invalid(self, instance: str, connection: WorkerConnection, fault: AnswerFault) -> None:
        awaited = None if connection.request is None else connection.request.attempt_id
        self._on_invalid_answer(InvalidAnswer(instance, connection.number, fault, awaited))

    async def _read_answer(
        self, instance: str, pool: InstancePool, connection: WorkerConnection, request: WorkerRequest
    ) -> ConnectionAnswer:
        """Returns the answer to the request, after surplus answers to other requests to the instance.

        Any other answer may be the request's own, spoiled; a second answer to it may follow, which may differ
        from the first. So nothing after it is read.
        """
        reusable = request.method != "HEAD"
        for _ in range(MAX_SURPLUS_ANSWERS + 1):
            message, payload = await _read_final(connection)
            attempt_id = find(message.raw_headers, names.ATTEMPT_ID)
            if attempt_id == request.attempt_id:
                pool.last_activity_s = connection.last_activity_s = self._loop.time()
                return ConnectionAnswer(message, payload, connection, pool, self._release, reusable)
            is_surplus = self._is_surplus(instance, pool, connection, request, message)
            if not is_surplus or message.chunked:  # the parser takes trailers for headers of the next answer
                break
            if not is_length_known(message):
                break
            reusable = False
            while await payload.readany():
                pass
            connection.protocol.expect_answer()
        raise UnattributableAnswerError

    def _is_surplus(
        self,
        instance: str,
        pool: InstancePool,
        connection: WorkerConnection,
        request: WorkerRequest,
        message: RawResponseMessage,
    ) -> bool:
        """Whether a foreign answer is that to another request to the instance; reports it."""
        attempt_id = find(message.raw_headers, names.ATTEMPT_ID)
        is_surplus = attempt_id in pool.recent_attempts
        self._on_foreign_answer(
            ForeignAnswer(
                instance, connection.number, message.code, attempt_id, request.attempt_id, is_surplus
            )
        )
        return is_surplus

    @property
    def pools(self) -> dict[str, InstancePool]:
        """The connections by instance."""
        return self._pools

    def close_idle_connections(self, instance: str) -> None:
        """Close the idle connections to an instance that may be gone, so that the next request reconnects."""
        pool = self._pools.get(instance)
        if pool is not None:
            self.close_idle(pool)

    def close_idle(self, pool: InstancePool) -> None:
        """Close the connections of a pool that have no request in progress."""
        while pool.idle:
            self._close(pool, pool.idle.pop())

    def _release(self, pool: InstancePool, connection: WorkerConnection, keep: bool) -> None:
        if not keep or not connection.is_clean() or connection.keep_alive_s <= 0:
            self._close(pool, connection)
            return
        pool.active.discard(connection)
        connection.request = None
        connection.idle_since_s = self._loop.time()
        pool.idle.append(connection)

    def _close(self, pool: InstancePool, connection: WorkerConnection) -> None:
        if connection.protocol.has_surplus:
            connection.protocol.on_invalid_answer(AnswerFault.BYTES_WHILE_IDLE)
        pool.active.discard(connection)
        pool.open_count -= 1
        connection.close()


async def _read_final(connection: WorkerConnection) -> tuple[RawResponseMessage, StreamReader]:
    """Returns the head and the body of the next answer that is not an interim one."""
    message, payload = await connection.protocol.read()
    while message.code < HTTPStatus.OK:
        if message.code == HTTPStatus.SWITCHING_PROTOCOLS:
            raise UnattributableAnswerError
        message, payload = await connection.protocol.read()
    return message, payload


def _is_usable(connection: WorkerConnection, now_s: float) -> bool:
    return connection.is_clean() and now_s - connection.idle_since_s <= connection.keep_alive_s


def _configure(protocol: ResponseHandler) -> None:
    protocol.set_response_params(
        auto_decompress=False,
        max_line_size=MAX_HEAD_BYTES,
        max_field_size=MAX_HEAD_BYTES,
    )
    transport = protocol.transport
    connection = transport.get_extra_info("socket") if transport is not None else None
    if connection is not None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
