"""The answer to a request on a connection to a worker, read as it comes and parsed by aiohttp."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import ClientError, http_exceptions
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, EofStream, StreamReader

from arrowfold.dataplane import headers as names
from arrowfold.dataplane.answer_heads import AnswerFault, InvalidAnswerError
from arrowfold.dataplane.exchange import IncompleteBodyError
from arrowfold.dataplane.headers import RawHeaders, find, parse_keep_alive_s
from arrowfold.dataplane.worker_connection import DEFAULT_KEEP_ALIVE_S, InstancePool, WorkerConnection

KEEP_ALIVE_MARGIN_S = 1.0  # closed this long before the worker closes it


class UnattributableAnswerError(Exception):
    """An answer that is neither the awaited one nor known to be that of an earlier request."""


READ_ERRORS = (
    ClientError,
    http_exceptions.HttpProcessingError,
    OSError,
    EofStream,
    UnattributableAnswerError,
    InvalidAnswerError,
)


@dataclass(frozen=True, slots=True)
class InvalidAnswer:
    """Bytes of a worker that are not the awaited answer.

    `awaited_attempt_id`: None while no answer was awaited.
    """

    instance: str
    connection: int  # its number at this edge
    fault: AnswerFault
    awaited_attempt_id: str | None


@dataclass(frozen=True, slots=True)
class ForeignAnswer:
    """An answer that came in the place of the awaited one, with another attempt id or without one.

    `is_surplus`: its id is that of another request to the same instance.
    """

    instance: str
    connection: int  # its number at this edge
    status: int
    attempt_id: str | None
    awaited_attempt_id: str
    is_surplus: bool


class ConnectionAnswer:
    """A worker's answer on a connection; implements `WorkerAnswer`."""

    def __init__(
        self,
        message: RawResponseMessage,
        payload: StreamReader,
        connection: WorkerConnection,
        pool: InstancePool,
        release: Callable[[InstancePool, WorkerConnection, bool], None],
        reusable: bool,
    ) -> None:
        self.status = message.code
        self.headers: RawHeaders = tuple(message.raw_headers)
        self._payload = payload
        self._connection: WorkerConnection | None = connection
        self._pool = pool
        self._loop = asyncio.get_running_loop()
        self._release = release
        self._reusable = reusable and not message.should_close
        self._is_complete = payload is EMPTY_PAYLOAD
        self._has_known_length = is_length_known(message)
        self._chunked = message.chunked

    async def read_chunk(self) -> bytes:
        """Returns the next bytes of the body, empty at its end. Raises IncompleteBodyError."""
        if not self._has_known_length:
            raise IncompleteBodyError("the answer has neither Content-Length nor chunked encoding")
        if self._is_complete:
            return b""
        if self._connection is not None:
            self._connection.awaited_since_s = self._loop.time()
        try:
            data = await self._payload.readany()
        except READ_ERRORS as error:
            raise IncompleteBodyError(str(error)) from error
        if not data:
            self._is_complete = True
        if self._connection is not None:
            self._pool.record_received(self._connection, self._loop.time())
        return data

    def close(self) -> None:
        """Release the connection for reuse if the answer was read completely, else close it."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        connection.keep_alive_s = _keep_alive_s(self.headers)
        has_trailers = self._chunked and connection.protocol.has_trailers
        is_complete = self._is_complete and self._has_known_length and not has_trailers
        self._release(self._pool, connection, self._reusable and is_complete)


def is_length_known(message: RawResponseMessage) -> bool:
    """Whether the end of the body can be told from the end of the connection."""
    if message.chunked or message.code in (204, 304):
        return True
    return find(message.raw_headers, names.CONTENT_LENGTH) is not None


def _keep_alive_s(headers: RawHeaders) -> float:
    timeout_s = parse_keep_alive_s(find(headers, names.KEEP_ALIVE))
    return DEFAULT_KEEP_ALIVE_S if timeout_s is None else max(0.0, timeout_s - KEEP_ALIVE_MARGIN_S)
