"""Interfaces between request forwarding and HTTP: client requests, worker exchanges and client answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from result import Result

from arrowfold.dataplane.headers import RawHeaders


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A complete request from a client. `target` is the raw path and query."""

    method: str
    target: str
    host: str
    headers: RawHeaders = field(repr=False)  # may hold a key
    body: bytes
    arrived_s: float


@dataclass(slots=True)
class ConnectionHistory:
    """The connections on which the attempts of one request were sent, in order.

    Connections to workers are numbered in the order in which the edge opened them.
    """

    numbers: list[int] = field(default_factory=list)

    @property
    def last(self) -> int | None:
        """The number of the connection of the latest attempt; None before the first."""
        return self.numbers[-1] if self.numbers else None


Interrupt = Callable[[], None]  # interrupts an exchange as a failure of the network does
SilenceHandler = Callable[[Interrupt], None]


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """A request to a worker. `headers` are complete except for Content-Length.

    `is_retryable`: whether it may be sent to another worker after a loss. `expected_prompt_read_s`: time in
    which a busy worker reads the prompt. `priority`: of the tenant or the route; 0 is the most urgent.
    `connections`: where its attempts were sent; the transport adds the connection that it uses.
    `on_silence` is called when the exchange makes no progress, with a function that interrupts it; without it
    the exchange is interrupted at once.
    """

    attempt_id: str
    method: str
    target: str
    headers: RawHeaders
    body: bytes
    is_retryable: bool
    expected_prompt_read_s: float = 0.0
    priority: int = 0
    connections: ConnectionHistory = field(default_factory=ConnectionHistory, compare=False)
    on_silence: SilenceHandler | None = field(default=None, compare=False)


class SendFailure(Enum):
    """Why a worker returned no answer."""

    UNREACHABLE = "unreachable"  # no connection: the request was not sent
    NO_CONNECTION_FREE = "no_connection_free"  # this edge's connections to the worker are in use: not sent
    LOST = "lost"  # sent, then interrupted or answered with invalid HTTP: it may have run


class IncompleteBodyError(Exception):
    """The body of an answer is truncated, too large or invalid."""


class WorkerAnswer(Protocol):
    """A worker's answer whose head has been read and whose body is still to be read."""

    status: int
    headers: RawHeaders

    async def read_chunk(self) -> bytes:
        """Returns the next bytes of the body, empty at its end. Raises IncompleteBodyError."""

    def close(self) -> None:
        """Release the connection for reuse if the answer was read completely, else close it."""


class WorkerTransport(Protocol):
    """Sends requests to workers."""

    async def send(
        self, instance: str, address: str, request: WorkerRequest
    ) -> Result[WorkerAnswer, SendFailure]:
        """Send a request to an instance and read the head of its answer."""


class ClientAnswer(Protocol):
    """The one answer to a client's request."""

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of an answer whose body has an unknown length."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body without delay."""

    async def finish(self) -> None:
        """End the body and complete the answer."""

    async def send_complete(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Send a complete answer."""

    def abort(self) -> None:
        """Close the connection, so that the client cannot treat the answer as complete."""
