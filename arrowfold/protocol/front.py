"""The platform's front: HTTP/1.1 clients hand in jobs by POST and wait for the answer."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from urllib.parse import parse_qs, unquote, urlsplit

from arrowfold import interface as api
from arrowfold.protocol.http import BadRequest, Request, ServerSide
from arrowfold.protocol.waiting import Waiting
from arrowfold.routing.core import Core
from arrowfold.routing.session import Job, Verdict
from arrowfold.transport.loop import Loop, Steps
from arrowfold.transport.stream import Address, Broken, Late, Listener, Stream

IDLE_LIMIT = timedelta(seconds=75)
REQUEST_LIMIT = timedelta(seconds=10)  # from the first byte of a request to its last
ROOM_AFTER = timedelta(milliseconds=500)  # an idle connection this old may be closed for another
WRITE_LIMIT = timedelta(seconds=5)
STAY_OPEN = timedelta(milliseconds=450)  # after SIGTERM new connections come for 0.2 to 0.4 s
LINGER_LIMIT = timedelta(seconds=1)
LONGEST_WAIT = timedelta(hours=1)
_STATUS = {Verdict.SERVED: 200, Verdict.DENIED: 503, Verdict.FAILED: 502}
_UNITS = {"m": timedelta(milliseconds=1), "u": timedelta(microseconds=1)}
Check = Callable[[Request], None]


def read_span(text: str) -> timedelta:
    """A number and a unit: `480m` or `480000u`."""
    number, unit = text[:-1], text[-1:]
    if unit not in _UNITS:
        raise ValueError(text)
    count = float(number)
    if not abs(count) < 1e12:
        raise ValueError(text)
    return min(count * _UNITS[unit], LONGEST_WAIT)


class Connection(Waiting):
    """One client's connection."""

    __slots__ = ("busy", "idle_since", "side")

    def __init__(self, side: ServerSide, now: timedelta) -> None:
        super().__init__()
        self.side, self.busy, self.idle_since = side, False, now


class Front:
    """Listens for clients, reads their jobs, and writes their answers."""

    def __init__(
            self, loop: Loop, address: Address, core: Core, classes: dict[str, api.RequestClass],
            most: int, counters: Counter[str], check: Check | None = None,
    ) -> None:
        self.loop, self.core, self.classes, self.counters, self.check = loop, core, classes, counters, check
        self.connections: set[Connection] = set()
        self.drained_since: timedelta | None = None
        self.listener = Listener(loop, address, most, self._accepted, self._close_an_idle_one)

    # --- connections -----------------------------------------------------------------------------------

    def _accepted(self, stream: Stream) -> None:
        self.counters["connections_accepted"] += 1
        connection = Connection(ServerSide(stream), self.loop.now())
        self.connections.add(connection)
        connection.task = self.loop.spawn(self._serve(connection), "client connection")

    def _close_an_idle_one(self) -> None:
        """Guards against silent clients that fill the house: between requests a node may close one."""
        idle = [c for c in self.connections if not c.busy and not c.side.begun]
        oldest = min(idle, key=lambda c: c.idle_since, default=None)
        # One that has just come may have a request on its way: it is left its time.
        if oldest is not None and self.loop.now() - oldest.idle_since >= ROOM_AFTER:
            oldest.side.stream.close()
            self.counters["connections_closed_for_room"] += 1

    def drain(self) -> None:
        """A planned restart: go on serving, and let clients move away once they know of it."""
        self.drained_since = self.loop.now()
        self.loop.call_later(STAY_OPEN, self._close_idle)

    def _close_idle(self) -> None:
        for connection in list(self.connections):
            if not connection.busy and not connection.side.begun:
                connection.side.stream.close()

    def _leaving(self) -> bool:
        return self.drained_since is not None and self.loop.now() - self.drained_since >= STAY_OPEN

    def _serve(self, connection: Connection) -> Steps[None]:
        side = connection.side
        try:
            more = True
            while more:
                try:
                    request = yield from self._read(side)
                    if request is None:
                        return
                    connection.busy = True
                    more = yield from self._answer_one(connection, request)
                    connection.busy, connection.idle_since = False, self.loop.now()
                except BadRequest as error:
                    # Guards against malformed, oversize and half requests: said once, then closed.
                    self.counters["bad_requests"] += 1
                    yield from self._reply(side, error.status, _words(error), [], close=True)
                    yield from side.stream.linger(self.loop.now() + LINGER_LIMIT)
                    return
        except (Broken, Late):
            self.counters["connections_broken"] += 1
        finally:
            side.stream.close()
            self.connections.discard(connection)
            self.listener.released()

    def _read(self, side: ServerSide) -> Steps[Request | None]:
        """The next request. A client may idle between two, but not dawdle within one."""
        if not side.wire.trailing_data[0]:
            until = self.loop.now() + IDLE_LIMIT
            data = b""
            try:
                data = yield from side.stream.read(until)
            except Late:
                return None
            side.feed(data)
        try:
            return (yield from side.read_request(self.loop.now() + REQUEST_LIMIT))
        except Late as error:
            raise BadRequest(408, "the request did not come in time") from error

    def _reply(
            self, side: ServerSide, status: int, body: bytes, headers: list[tuple[str, str]], close: bool,
    ) -> Steps[bool]:
        close = close or self._leaving()
        return (yield from side.write_answer(status, body, headers, close, self.loop.now() + WRITE_LIMIT))

    # --- requests ----------------------------------------------------------------------------------------

    def _answer_one(self, connection: Connection, request: Request) -> Steps[bool]:
        """One request from its last byte to its answer's; whether the connection goes on."""
        side, path = connection.side, urlsplit(request.target).path
        try:
            if self.check is not None:
                self.check(request)
            if request.method in ("GET", "HEAD"):
                status, body = self._page(path)
                return (yield from self._reply(
                    side, status, b"" if request.method == "HEAD" else body, [], close=False))
            job = self._read_job(request)
        except BadRequest as error:
            self.counters["bad_requests"] += 1
            return (yield from self._reply(side, error.status, _words(error), [], close=False))
        answer = yield from connection.hand_in(self.loop, self.core, job, side.stream, side.wait_gone)
        if answer is None:
            return False
        headers = []
        if answer.retry_after is not None:
            headers.append(("Retry-After", f"{answer.retry_after.total_seconds():.3f}"))
        body = answer.body if answer.verdict is Verdict.SERVED else answer.verdict.value.encode() + b"\n"
        return (yield from self._reply(side, _STATUS[answer.verdict], body, headers, close=False))

    def _page(self, path: str) -> tuple[int, bytes]:
        """What is told about the node itself."""
        if path == "/health/ready":
            ready = self.drained_since is None and self.core.ready()
            return (200, b"ready\n") if ready else (503, b"not ready\n")
        if path == "/health/live":
            return 200, b"live\n"
        if path == "/counters":
            return 200, json.dumps(dict(sorted(self.counters.items()))).encode() + b"\n"
        raise BadRequest(404, f"no page {path!r}")

    def _read_job(self, request: Request) -> Job:
        """The job that a POST hands in, or what is wrong with it."""
        now, headers = self.loop.now(), request.headers
        if request.method != "POST":
            raise BadRequest(405, f"method {request.method} is not served; jobs come by POST")
        parts = urlsplit(request.target)
        name = unquote(parts.path.lstrip("/").split("/", 1)[0])
        cls = self.classes.get(name)
        if cls is None:
            raise BadRequest(404, f"unknown class {name!r}")
        for header in ("X-Trace-Id", "X-Qos", "X-Expires-In"):
            if not headers.get(header.lower()):
                raise BadRequest(400, f"header {header} is missing")
        if headers["x-qos"] != name:
            raise BadRequest(400, f"header X-Qos: {headers['x-qos']!r} is not the path's class {name!r}")
        if cls.idempotency is api.Idempotency.KEYED and not headers.get("idempotency-key"):
            raise BadRequest(400, f"header Idempotency-Key is missing; class {name!r} needs it")
        if self.core.holds(headers["x-trace-id"]):
            raise BadRequest(409, f"header X-Trace-Id: {headers['x-trace-id']!r} is open already")
        try:
            deadline = now + read_span(headers["x-expires-in"])
        except ValueError:
            raise BadRequest(400, "header X-Expires-In is no number with a unit, m or u") from None
        props = self._props(headers.get("x-props", ""))
        keys = parse_qs(parts.query).get("key")
        return Job(
            headers["x-trace-id"], name, deadline, request.body, keys[0] if keys else None,
            headers.get("idempotency-key"), headers.get("x-customer"), None,
            props.get("slots", 1.0), props.get("memory", 0.0), headers.get("x-second-try") == "1", request)

    @staticmethod
    def _props(text: str) -> dict[str, float]:
        props: dict[str, float] = {}
        for pair in filter(None, (part.strip() for part in text.split(","))):
            name, _, figure = pair.partition("=")
            try:
                props[name.strip()] = min(max(float(figure), 0.0), 1e6)
            except ValueError:
                raise BadRequest(400, f"header X-Props: {pair!r} is not name=number") from None
        return props


def _words(error: BadRequest) -> bytes:
    return f"{error}\n".encode()
