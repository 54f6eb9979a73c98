"""HTTP/1.1 on a stream: h11 parses, these generators feed it."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import h11

from arrowfold.transport.loop import Steps
from arrowfold.transport.stream import Broken, Stream

MOST_BODY = 64 * 1024
MOST_HEAD = 16 * 1024
MOST_AHEAD = 256 * 1024  # of what a client sends before it has its answer; what is beyond is not heard
MOST_ANSWER = 1024 * 1024  # of one answer, progress and all
_FOLD = re.compile(rb"\r?\n(?:[ \t]|(\r?\n))")  # a folded line, or the blank one that ends the head
_ONCE = ("host", "x-trace-id", "x-qos", "x-expires-in", "x-props", "x-customer", "x-region", "x-tenant",
         "idempotency-key")


class BadRequest(Exception):
    """What a peer sent can't be served; `status` says why, the text names the part at fault."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Request:
    """A whole request, its header names in lower case."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class ServerSide:
    """Reads requests from one connection and writes the answers."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.wire = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.begun = False  # whether a part of the next request has come
        self.ahead = bytearray()  # what has come while an answer was owed
        self.overrun = False  # more came than is kept: this connection ends with its next answer
        self.heard = stream.loop.now()  # when the last bytes came

    def feed(self, data: bytes) -> None:
        self.begun, self.heard = self.begun or bool(data), self.stream.loop.now()
        self.wire.receive_data(data)

    def sent_ahead(self) -> bool:
        """Whether a part of the next request is here already."""
        return bool(self.ahead or self.wire.trailing_data[0])

    def _more(self, until: timedelta) -> Steps[None]:
        """Feed the parser: with what was sent ahead, and else with what comes."""
        if self.ahead:
            data = bytes(self.ahead[:MOST_HEAD])
            del self.ahead[:MOST_HEAD]
            self.feed(data)
        else:
            self.feed((yield from self.stream.read(until)))

    def read_head(self, until: timedelta) -> Steps[Request | None]:
        """The next request's head; None once the client has ended the connection between two."""
        try:
            while True:
                raw = self.wire.trailing_data[0]
                event = self.wire.next_event()
                if event is h11.NEED_DATA:
                    yield from self._more(until)
                elif isinstance(event, h11.Request):
                    self.begun = True
                    return _checked_head(event, raw)
                else:  # ConnectionClosed, or PAUSED after a protocol switch that is not offered
                    return None
        except h11.RemoteProtocolError as error:
            raise BadRequest(error.error_status_hint, f"malformed HTTP: {error}") from error

    def read_body(self, request: Request, until: timedelta, hold: Callable[[int], None]) -> Steps[None]:
        """Take the body in, within the protocol's bound; `hold` is told how much of it is here."""
        body = bytearray()
        try:
            while True:
                event = self.wire.next_event()
                if event is h11.NEED_DATA:
                    if self.wire.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        yield from self.stream.write(self.wire.send(go_on) or b"", until)
                    yield from self._more(until)
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > MOST_BODY:
                        raise BadRequest(413, f"the body is over {MOST_BODY} bytes")
                    hold(len(body))
                elif isinstance(event, h11.EndOfMessage):
                    request.body = bytes(body)
                    self.begun = False
                    return
                else:
                    raise BadRequest(400, "the connection ended within a request")
        except h11.RemoteProtocolError as error:
            raise BadRequest(error.error_status_hint, f"malformed HTTP: {error}") from error

    def wait_gone(self, room: int = MOST_AHEAD) -> bool | None:
        """Take in what a client sends ahead; True once it has gone, None while there is nothing.

        Its end lies behind all that it has sent, so that all of it is read. Guards the memory against one
        that sends without end: what is beyond the bound is not kept, and the connection ends with its answer.
        """
        data = self.stream.try_read(MOST_HEAD)
        if data is None:
            return None
        self.overrun = self.overrun or len(data) > min(room, MOST_AHEAD - len(self.ahead))
        if not self.overrun:
            self.ahead += data
        return not data

    def write_answer(
            self, status: int, body: bytes, headers: list[tuple[str, str]], close: bool, until: timedelta,
    ) -> Steps[bool]:
        """Write an answer; whether the connection can carry another request."""
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


def _checked_head(event: h11.Request, raw: bytes) -> Request:
    """The head as a request, or what makes it unsafe to read or to pass on."""
    headers: dict[str, str] = {}
    for name, value in ((n.decode(), v.decode("latin-1")) for n, v in event.headers):
        if name in headers and name in _ONCE:
            raise BadRequest(400, f"header {name} comes more than once")
        headers[name] = value
    request = Request(event.method.decode(), event.target.decode("latin-1"), headers)
    # Guards rule 2: who reads the other length, or the folded line otherwise, may find a second request
    # hidden inside the first one's body.
    if "transfer-encoding" in headers and ("content-length" in headers or event.http_version < b"1.1"):
        raise BadRequest(400, "Transfer-Encoding must not come with Content-Length or HTTP/1.0")
    if (fold := _FOLD.search(raw)) is not None and fold.group(1) is None:
        raise BadRequest(400, "a header line is folded")
    if request.method == "POST" and not {"transfer-encoding", "content-length"} & headers.keys():
        raise BadRequest(411, "Content-Length is missing")
    if int(headers.get("content-length", "0")) > MOST_BODY:
        raise BadRequest(413, f"Content-Length: the body is over {MOST_BODY} bytes")
    return request


class ClientSide:
    """One exchange on a connection that another side serves."""

    def __init__(self, stream: Stream, most: float = MOST_ANSWER) -> None:
        self.stream = stream
        self.wire = h11.Connection(h11.CLIENT, max_incomplete_event_size=4 * MOST_HEAD)
        self.reusable = False
        self.left: float = most  # bytes that the answer may still have

    def send(
            self, method: str, target: str, headers: list[tuple[str, str]], body: bytes, until: timedelta,
    ) -> Steps[None]:
        """Write a whole request; Broken or Late if its last byte could not be handed over."""
        if body or method == "POST":
            headers = [*headers, ("Content-Length", str(len(body)))]
        # As they came: a header may hold any Latin-1 text, which h11 takes as bytes only.
        rows = [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]
        parts = [self.wire.send(h11.Request(method=method, target=target, headers=rows)) or b""]
        if body:
            parts.append(self.wire.send(h11.Data(data=body)) or b"")
        parts.append(self.wire.send(h11.EndOfMessage()) or b"")
        yield from self.stream.write(b"".join(parts), until)

    def _next(self, until: timedelta) -> Steps[h11.Event | type[h11.PAUSED]]:
        try:
            while True:
                event = self.wire.next_event()
                if event is not h11.NEED_DATA:
                    return event  # type: ignore[return-value]
                data = yield from self.stream.read(until)
                self.left -= len(data)
                if self.left < 0:
                    raise Broken("an answer is over the bound")
                self.wire.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise Broken(f"malformed HTTP: {error}") from error

    def head(self, until: timedelta) -> Steps[tuple[int, dict[str, str]]]:
        """Status and headers, names in lower case."""
        while True:
            event = yield from self._next(until)
            if isinstance(event, h11.Response):
                return event.status_code, {n.decode(): v.decode("latin-1") for n, v in event.headers}
            if not isinstance(event, h11.InformationalResponse):
                raise Broken("the connection ended before an answer")

    def part(self, until: timedelta) -> Steps[bytes | None]:
        """The next part of the body; None once it is whole."""
        event = yield from self._next(until)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.reusable = self.wire.their_state is h11.DONE and not self.wire.trailing_data[0]
            return None
        raise Broken("the connection ended within an answer")

    def rest(self, until: timedelta, most: int = MOST_BODY) -> Steps[bytes]:
        """What is left of the body, within a bound of bytes."""
        body = bytearray()
        while (data := (yield from self.part(until))) is not None:
            body += data
            if len(body) > most:
                raise Broken("an answer is over the protocol's bound")
        return bytes(body)


def parse_address(text: str) -> tuple[str, int]:
    """`host:port`, an IPv4 address and a number."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)
