"""The HTTP servers of an edge, on aiohttp's low-level server: the clients' front and readiness probes."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp import web
from aiohttp.web_request import BaseRequest
from multidict import CIMultiDict

from arrowfold.configuration.routes import Limits
from arrowfold.dataplane.chunked_ends import ChunkedEnd
from arrowfold.dataplane.end_schedule import plan_end_after_listening
from arrowfold.dataplane.exchange import ClientAnswer, ClientRequest
from arrowfold.dataplane.own_answers import EdgeAnswer
from arrowfold.dataplane.process_end import ProcessEnd
from arrowfold.node.listeners import BACKLOG
from arrowfold.node.result_codes import ResultCode

DEFAULT_HEADER_BYTES = 64 * 1024
DEFAULT_BODY_BYTES = 64 * 1024 * 1024
AIOHTTP_KEEPALIVE_S = 600.0  # longer than a client may keep a connection idle, which `close_overdue` enforces
SHUTDOWN_POLL_S = 0.05  # between checks of the remaining connections while the front stops
HEADER_TIMEOUT_SLACK_S = 0.5  # beyond the configured header timeout
IDLE_TIMEOUT_FACTOR = 1.25  # times the longest idle timeout that was ever in force
MIN_INPUT_PAUSE_S = 0.1  # without a byte received: no request is currently being read
PASSES_BEFORE_CLOSE = 4  # of the event loop: from readable bytes to the begin of a request's handler
_LOGGER = logging.getLogger("arrowfold.front")
Forward = Callable[[ClientRequest, ClientAnswer], Awaitable[None]]


class AiohttpAnswer:
    """Writes a `ClientAnswer` as a response of aiohttp."""

    def __init__(self, request: BaseRequest, closes_connection: Callable[[], bool]) -> None:
        """`closes_connection` is called when the head is sent: whether to close after this answer."""
        self._request = request
        self._closes_connection = closes_connection
        self.response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""
        return self.response is not None

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Sends the head of an answer whose body is of unknown length."""
        response = self._response(status, headers)
        response.enable_chunked_encoding()
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body immediately."""
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        """Ends the body, which completes the answer."""
        assert self.response is not None
        await self.response.write_eof()

    async def send_complete(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Sends a complete answer with a Content-Length."""
        response = self._response(status, headers)
        response.content_length = len(body)
        await response.prepare(self._request)
        await response.write_eof(body)

    def abort(self) -> None:
        """Closes the connection, so that the client sees the answer as incomplete."""
        if self._request.transport is not None:
            self._request.transport.close()

    def _response(self, status: int, headers: list[tuple[bytes, bytes]]) -> web.StreamResponse:
        fields: CIMultiDict[str] = CIMultiDict()
        for name, value in headers:
            fields.add(name.decode("latin-1"), value.decode("latin-1"))
        response = web.StreamResponse(status=status, reason=_reason(status), headers=fields)
        if self._closes_connection():
            response.force_close()
        self.response = response
        return response


async def _pass_loop() -> None:
    """Let the event loop accept and read what has arrived, and start the requests that are complete."""
    for _ in range(PASSES_BEFORE_CLOSE):
        await asyncio.sleep(0)


def _reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


class ClientConnection(web.RequestHandler):
    """A client's connection that tracks its last input and the progress of its current request."""

    last_received_s = 0.0
    head_started_s: float | None = None  # arrival of the first bytes of a request whose head is incomplete
    is_request_active = False  # the head was received and the answer has not ended
    chunked_end: ChunkedEnd

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Initialises the connection as idle."""
        self.chunked_end = ChunkedEnd()
        self.last_received_s = self._loop.time()
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Receives bytes from the client."""
        self.last_received_s = self._loop.time()
        if self.head_started_s is None and not self.is_request_active:
            self.head_started_s = self.last_received_s
        self.chunked_end.take(data)
        super().data_received(data)

    def request_began(self) -> None:
        """Records that the head of a request is complete; further input belongs to its body."""
        self.head_started_s = None
        self.is_request_active = True

    def request_ended(self) -> None:
        """Records that the answer has ended; the connection is idle again."""
        self.is_request_active = False
        self.last_received_s = self._loop.time()

    def is_overdue(self, limits: Limits, longest_idle_s: float, now_s: float) -> bool:
        """Returns whether the client has exceeded the time for a head, or the connection its idle time."""
        if self.head_started_s is not None:
            allowed_s = limits.header_timeout_s
            return allowed_s is not None and now_s - self.head_started_s > allowed_s + HEADER_TIMEOUT_SLACK_S
        return now_s - self.last_received_s > longest_idle_s * IDLE_TIMEOUT_FACTOR


class EdgeFront:
    """The HTTP server for clients, at one address."""

    def __init__(self, forward: Forward, limits: Callable[[], Limits], process_end: ProcessEnd) -> None:
        """`process_end` also bounds the forwarding of requests; `stop` plans it if it is not planned."""
        self._loop = asyncio.get_running_loop()
        self._forward = forward
        self._limits = limits
        self._process_end = process_end
        self._draining = False
        self._longest_idle_s = 0.0  # over all configurations that were in force
        self._busy: set[object] = set()  # connections with a request that has not been answered
        self._web = web.Server(self._handle, handler_cancellation=True)
        self._listener: asyncio.Server | None = None
        self._accepted = 0  # connections

    async def start(self, address: str, opened: socket.socket | None = None) -> str:
        """Serves at HOST:PORT, or on `opened`, a socket that listens there; returns the bound address."""
        self._listener = await _listen(self._connection, address, opened)
        return _bound_address(self._listener)

    def _connection(self) -> ClientConnection:
        self._accepted += 1
        return ClientConnection(
            self._web,
            loop=self._loop,
            access_log=None,  # type: ignore[arg-type]
            logger=_LOGGER,
            auto_decompress=False,
            keepalive_timeout=AIOHTTP_KEEPALIVE_S,
            max_line_size=DEFAULT_HEADER_BYTES,
            max_field_size=DEFAULT_HEADER_BYTES,
            lingering_time=1.0,
        )

    def begin_draining(self) -> None:
        """Closes each connection after its next answer, which contains `Connection: close`."""
        self._draining = True

    async def stop(self, grace_s: float) -> None:
        """Accepts no new connections, answers the requests received within `grace_s` seconds, then ends."""
        if not self._process_end.is_planned:
            self._process_end.plan(plan_end_after_listening(grace_s))
        deadline_s = self._loop.time() + grace_s
        await self._accept_waiting(deadline_s)
        if self._listener is not None:
            self._listener.close()
        while self._web.connections and self._loop.time() < deadline_s:
            await self._close_idle()
            await asyncio.sleep(SHUTDOWN_POLL_S)
        await self._web.shutdown(0.1)

    async def _accept_waiting(self, deadline_s: float) -> None:
        """Accepts the connections that wait, of which the event loop may take one in each pass."""
        accepted = -1
        while self._accepted > accepted and self._loop.time() < deadline_s:
            accepted = self._accepted
            await _pass_loop()

    def close_overdue(self) -> None:
        """Closes connections that exceed the configured header timeout or the longest idle timeout."""
        limits = self._limits()
        self._longest_idle_s = max(self._longest_idle_s, limits.idle_timeout_s or 0.0)
        if not self._longest_idle_s:
            return
        now_s = self._loop.time()
        for connection in self._web.connections:
            if not isinstance(connection, ClientConnection) or connection in self._busy:
                continue
            if connection.is_overdue(limits, self._longest_idle_s, now_s):
                connection.force_close()

    async def _close_idle(self) -> None:
        """Closes connections without a request in progress or currently being received.

        They are checked again after some passes of the event loop, in which it reads what has arrived and
        starts the requests that are complete: the process may have stood still since the last input.
        """
        idle = [c for c in self._web.connections if isinstance(c, ClientConnection) and self._is_idle(c)]
        if idle:
            await _pass_loop()
        for connection in idle:
            if self._is_idle(connection):
                connection.force_close()

    def _is_idle(self, connection: ClientConnection) -> bool:
        pause_s = self._loop.time() - connection.last_received_s
        return pause_s > MIN_INPUT_PAUSE_S and connection not in self._busy

    async def _handle(self, request: BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        self._busy.add(connection)
        if isinstance(connection, ClientConnection):
            connection.request_began()
        try:
            return await self._serve(request)
        finally:
            self._busy.discard(connection)
            if isinstance(connection, ClientConnection):
                connection.request_ended()

    async def _serve(self, request: BaseRequest) -> web.StreamResponse:
        arrived_s = asyncio.get_running_loop().time()
        refusal = self._size_refusal(request)
        body = b"" if refusal else await self._read_body(request)
        if refusal is None and body is None:
            refusal = EdgeAnswer(413, ResultCode.BODY_TOO_LARGE)
        if refusal is not None or body is None:
            assert refusal is not None
            answer = AiohttpAnswer(request, lambda: True)
            await answer.send_complete(refusal.status, refusal.headers(None), refusal.body())
        else:
            trailers = _may_have_trailers(request)
            answer = AiohttpAnswer(request, lambda: self._draining or trailers)
            await self._forward(_client_request(request, body, arrived_s), answer)
        assert answer.response is not None
        return answer.response

    def _size_refusal(self, request: BaseRequest) -> EdgeAnswer | None:
        limits = self._limits()
        head = sum(len(name) + len(value) + 4 for name, value in request._message.raw_headers)
        if limits.max_header_bytes is not None and head > limits.max_header_bytes:
            return EdgeAnswer(431, ResultCode.HEADERS_TOO_LARGE)
        max_bytes = limits.max_body_bytes
        if (
            max_bytes is not None
            and request.content_length is not None
            and request.content_length > max_bytes
        ):
            return EdgeAnswer(413, ResultCode.BODY_TOO_LARGE)
        return None

    async def _read_body(self, request: BaseRequest) -> bytes | None:
        """Returns the complete body, or None if it is larger than the configuration allows."""
        if not request.body_exists:
            return b""
        expected = request.headers.get("Expect", "").lower() == "100-continue"
        if expected and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        max_bytes = self._limits().max_body_bytes or DEFAULT_BODY_BYTES
        chunks = []
        size = 0
        while chunk := await request.content.readany():
            chunks.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                return None
        return b"".join(chunks)


def _may_have_trailers(request: BaseRequest) -> bool:
    """Returns whether something followed the body of a request that was read completely."""
    connection = request.protocol
    if not request._message.chunked or not isinstance(connection, ClientConnection):
        return False
    return not connection.chunked_end.has_no_trailers()


def _client_request(request: BaseRequest, body: bytes, arrived_s: float) -> ClientRequest:
    return ClientRequest(
        method=request.method,
        target=request.raw_path,
        host=request.headers.get("Host", ""),
        headers=tuple(request.raw_headers),
        body=body,
        arrived_s=arrived_s,
    )


class ReadinessServer:
    """The HTTP server for the platform's readiness probes: 200 while ready, else 503."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready
        self._web = web.Server(self._handle, access_log=None)
        self._listener: asyncio.Server | None = None

    async def start(self, address: str, opened: socket.socket | None = None) -> str:
        """Serves at HOST:PORT, or on `opened`, a socket that listens there; returns the bound address."""
        self._listener = await _listen(self._web, address, opened)
        return _bound_address(self._listener)

    async def stop(self) -> None:
        """Stops answering probes."""
        if self._listener is not None:
            self._listener.close()
        await self._web.shutdown(0.1)

    async def _handle(self, request: BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self._ready() else 503)


async def _listen(
    server: Callable[[], asyncio.BaseProtocol], address: str, opened: socket.socket | None
) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    if opened is not None:
        return await loop.create_server(server, sock=opened, backlog=BACKLOG)
    host, port = address.rsplit(":", 1)
    return await loop.create_server(server, host, int(port), backlog=BACKLOG)


def _bound_address(listener: asyncio.Server) -> str:
    host, port = listener.sockets[0].getsockname()[:2]
    return f"{host}:{port}"
