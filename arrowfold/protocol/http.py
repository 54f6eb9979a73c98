"""HTTP/1.1 on a stream: h11 parses, the generators here do the I/O."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import h11

from arrowfold.transport.loop import Steps
from arrowfold.transport.stream import Stream, StreamBroken

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_PIPELINED_BYTES = 256 * 1024  # pipelined bytes kept before an answer; anything beyond is discarded
MAX_ANSWER_BYTES = 1024 * 1024  # bytes of one answer, including progress lines
_FOLDED_LINE = re.compile(rb"\r?\n(?:[ \t]|(\r?\n))")  # or the blank line that ends the head, in group 1
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d +\d{3}")
_SINGLE_HEADERS = ("host", "x-trace-id", "x-qos", "x-expires-in", "x-props", "x-customer", "x-region",
                   "x-tenant", "idempotency-key")  # must not be repeated


class BadRequest(Exception):
    """A request that can't be served: `status` is the HTTP status, the text names the faulty part."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Request:
    """A request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class ServerSide:
    """Server side of one connection: reads requests and writes the answers."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.wire = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request_begun = False  # whether a part of the next request has been received
        self.pipelined = bytearray()  # received while an answer was due
        self.overrun = False  # some of it was discarded: the connection ends with its next answer
        self.last_received = stream.loop.now()  # time of the last received bytes

    def feed(self, data: bytes) -> None:
        """Give received bytes to the parser."""
        self.request_begun, self.last_received = self.request_begun or bool(data), self.stream.loop.now()
        self.wire.receive_data(data)

    def has_pipelined(self) -> bool:
        """Whether a part of the next request has been received already."""
        return bool(self.pipelined or self.wire.trailing_data[0])

    def _feed_more(self, until: timedelta) -> Steps[None]:
        """Feed the parser, first with buffered pipelined data, else from the stream."""
        if self.pipelined:
            data = bytes(self.pipelined[:MAX_HEAD_BYTES])
            del self.pipelined[:MAX_HEAD_BYTES]
            self.feed(data)
        else:
            self.feed((yield from self.stream.read(until)))

    def read_head(self, until: timedelta) -> Steps[Request | None]:
        """Read the next request's head; None if the client closes the connection between two requests.

        BadRequest if it is malformed.
        """
        try:
            while True:
                raw = self.wire.trailing_data[0]
                event = self.wire.next_event()
                if event is h11.NEED_DATA:
                    yield from self._feed_more(until)
                elif isinstance(event, h11.Request):
                    self.request_begun = True
                    return _check_head(event, raw)
                else:  # ConnectionClosed, or PAUSED after a protocol switch that is not offered
                    return None
        except h11.RemoteProtocolError as error:
            raise BadRequest(error.error_status_hint, f"malformed HTTP: {error}") from error

    def read_body(self, request: Request, until: timedelta, hold: Callable[[int], None]) -> Steps[None]:
        """Read the body; `hold` is called with the number of bytes so far.

        BadRequest if it is malformed or too large.
        """
        body = bytearray()
        try:
            while True:
                event = self.wire.next_event()
                if event is h11.NEED_DATA:
                    if self.wire.they_are_waiting_for_100_continue:
                        continue_response = h11.InformationalResponse(status_code=100, headers=[])
                        yield from self.stream.write(self.wire.send(continue_response) or b"", until)
                    yield from self._feed_more(until)
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > MAX_BODY_BYTES:
                        raise BadRequest(413, f"the body is over {MAX_BODY_BYTES} bytes")
                    hold(len(body))
                elif isinstance(event, h11.EndOfMessage):
                    request.body = bytes(body)
                    self.request_begun = False
                    return
                else:
                    raise BadRequest(400, "the connection ended within a request")
        except h11.RemoteProtocolError as error:
            raise BadRequest(error.error_status_hint, f"malformed HTTP: {error}") from error

    def poll_disconnect(self, free_bytes: int = MAX_PIPELINED_BYTES) -> bool | None:
        """Buffer pipelined data; True after the client's disconnect, None if nothing is there to read.

        All data is read, as the end of the stream follows it. Bounds memory when a client sends without
        end: data beyond the bound is discarded, and the connection ends with its answer.
        """
        data = self.stream.try_read(MAX_HEAD_BYTES)
        if data is None:
            return None
        self.overrun = self.overrun or len(data) > min(free_bytes, MAX_PIPELINED_BYTES - len(self.pipelined))
        if not self.overrun:
            self.pipelined += data
        return not data

    def write_answer(
            self, status: int, body: bytes, headers: list[tuple[str, str]], close: bool, until: timedelta,
    ) -> Steps[bool]:
        """Write an answer; whether the connection can serve another request."""
        rows = [("Content-Length", str(len(body))), *headers]
        if close:
            rows.append(("Connection", "close"))
        if self.wire.our_state not in (h11.SEND_RESPONSE, h11.IDLE):
            return False
        parts = [self.wire.send(h11.Response(status_code=status, headers=rows)) or b""]
        if body:
            parts.append(self.wire.send(h11.Data(data=body)) or b"")
        parts.append(self.wire.send(h11.EndOfMessage()) or b"")
        yield from self.stream.write(b"".join(parts), until)
        if self.wire.our_state is not h11.DONE or self.wire.their_state is not h11.DONE:
            return False
        self.wire.start_next_cycle()
        return True


def _check_head(event: h11.Request, raw: bytes) -> Request:
    """Returns the head as a request; BadRequest if it is unsafe to parse or to forward."""
    headers: dict[str, str] = {}
    for name, value in ((n.decode(), v.decode("latin-1")) for n, v in event.headers):
        if name in headers and name in _SINGLE_HEADERS:
            raise BadRequest(400, f"header {name} comes more than once")
        headers[name] = value
    request = Request(event.method.decode(), event.target.decode("latin-1"), headers)
    # Prevents request smuggling, which would violate rule 2 (no repeat of what may have run): a peer that
    # uses the other length, or reads a folded line differently, may find a second request inside the first
    # one's body.
    if "transfer-encoding" in headers and ("content-length" in headers or event.http_version < b"1.1"):
        raise BadRequest(400, "Transfer-Encoding must not come with Content-Length or HTTP/1.0")
    if (fold := _FOLDED_LINE.search(raw)) is not None and fold.group(1) is None:
        raise BadRequest(400, "a header line is folded")
    if request.method == "POST" and not {"transfer-encoding", "content-length"} & headers.keys():
        raise BadRequest(411, "Content-Length is missing")
    if int(headers.get("content-length", "0")) > MAX_BODY_BYTES:
        raise BadRequest(413, f"Content-Length: the body is over {MAX_BODY_BYTES} bytes")
    return request


class ClientSide:
    """Client side of one exchange; `most` is the bound on the answer's bytes."""

    def __init__(self, stream: Stream, most: float = MAX_ANSWER_BYTES) -> None:
        self.stream = stream
        self.wire = h11.Connection(h11.CLIENT, max_incomplete_event_size=4 * MAX_HEAD_BYTES)
        self.reusable = False
        self.remaining_bytes: float = most  # that the answer may still have

    def send(
            self, method: str, target: str, headers: list[tuple[str, str]], body: bytes, until: timedelta,
    ) -> Steps[None]:
        """Write a complete request; StreamBroken or TimedOut if its last byte could not be sent."""
        if body or method == "POST":
            headers = [*headers, ("Content-Length", str(len(body)))]
        # Unchanged: a header may hold any Latin-1 text, which h11 accepts as bytes only.
        rows = [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]
        parts = [self.wire.send(h11.Request(method=method, target=target, headers=rows)) or b""]
        if body:
            parts.append(self.wire.send(h11.Data(data=body)) or b"")
        parts.append(self.wire.send(h11.EndOfMessage()) or b"")
        yield from self.stream.write(b"".join(parts), until)

    def _next(self, until: timedelta) -> Steps[h11.Event | type[h11.PAUSED]]:
        """Returns the next event of the answer; StreamBroken if it is malformed or too large."""
        try:
            while True:
                event = self.wire.next_event()
                if event is not h11.NEED_DATA:
                    return event  # type: ignore[return-value]
                data = yield from self.stream.read(until)
                self.remaining_bytes -= len(data)
                if self.remaining_bytes < 0:
                    raise StreamBroken("an answer exceeds its size limit")
                self.wire.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise StreamBroken(f"malformed HTTP: {error}") from error

    def head(self, until: timedelta) -> Steps[tuple[int, dict[str, str]]]:
        """Returns status and headers; header names are in lower case."""
        while True:
            event = yield from self._next(until)
            if isinstance(event, h11.Response):
                if _holds_second_head(event):
                    raise StreamBroken("a head that holds the beginning of another answer")
                return event.status_code, {n.decode(): v.decode("latin-1") for n, v in event.headers}
            if not isinstance(event, h11.InformationalResponse):
                raise StreamBroken("the connection ended before an answer")

    def part(self, until: timedelta) -> Steps[bytes | None]:
        """Returns the next part of the body; None at its end."""
        event = yield from self._next(until)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.reusable = self.wire.their_state is h11.DONE and not self.wire.trailing_data[0]
            return None
        raise StreamBroken("the connection ended within an answer")

    def rest(self, until: timedelta, most: int = MAX_BODY_BYTES) -> Steps[bytes]:
        """Returns the rest of the body; StreamBroken if it has more than `most` bytes."""
        body = bytearray()
        while (data := (yield from self.part(until))) is not None:
            body += data
            if len(body) > most:
                raise StreamBroken(f"an answer's body is over {most} bytes")
        return bytes(body)


def _holds_second_head(response: h11.Response) -> bool:
    """Whether an answer stopped in its head, and the next one went on in it."""
    values = [value for _, value in response.headers]
    return any(_STATUS_LINE.search(text) for text in (bytes(response.reason), *values))


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port`, an IPv4 address and a port number; ValueError if malformed."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)
