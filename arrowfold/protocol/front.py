"""The platform's front: HTTP/1.1 clients hand in jobs by POST and wait for the answer."""

from __future__ import annotations

import json
import re
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from enum import Enum
from itertools import islice
from urllib.parse import parse_qs, unquote, urlsplit

from arrowfold import interface as api
from arrowfold.protocol.http import BadRequest, Request, ServerSide
from arrowfold.protocol.waiting import Waiting
from arrowfold.routing.core import Core
from arrowfold.routing.session import Job, Verdict
from arrowfold.transport.budget import Budget, ClientShare
from arrowfold.transport.loop import ZERO, Loop, Steps
from arrowfold.transport.stream import Address, Broken, Late, Listener, Stream

IDLE_LIMIT = timedelta(seconds=75)  # between two requests
FIRST_LIMIT = timedelta(milliseconds=2700)  # from accept to the first request's last byte
REQUEST_LIMIT = timedelta(milliseconds=2700)  # from a later request's first byte to its last
SHORTEST_IDLE = timedelta(milliseconds=250)  # however many there are
WRITE_LIMIT = timedelta(seconds=5)
LAST_LINGER = timedelta(milliseconds=700)  # for what was sent ahead of an answer that ends the connection
STILL_WRITES = timedelta(milliseconds=600)  # since its last byte
STANDBY_AFTER = timedelta(milliseconds=500)  # clients' new connections have stopped by then
STANDBY_STEP = timedelta(milliseconds=100)
LINGER_LIMIT = timedelta(milliseconds=5500)  # from accept, for a client that still sends
LINGER_QUIET = timedelta(milliseconds=700)  # for one that sends nothing more
MOST_ID = 200
LONGEST_WAIT = timedelta(hours=1)
OVER_QUOTA = 429
CONFLICT = 422
_STATUS = {Verdict.SERVED: 200, Verdict.DENIED: 503, Verdict.FAILED: 502}
PAGES = ("/health/ready", "/health/live", "/counters")
_UNITS = {"m": timedelta(milliseconds=1), "u": timedelta(microseconds=1)}
_SPAN = re.compile(r"[0-9]{1,15}(?:[.][0-9]{1,9})?[mu]")
Check = Callable[[Request], None]


def read_span(text: str) -> timedelta:
    """A number above zero and a unit: `480m` or `480000u`."""
    if not _SPAN.fullmatch(text) or not float(text[:-1]):
        raise ValueError(text)
    return min(min(float(text[:-1]), 1e12) * _UNITS[text[-1]], LONGEST_WAIT)


class Stage(Enum):
    """Where a connection stands; its value is how old it must be to be closed for another, if it may."""

    SILENT = timedelta(milliseconds=150)  # connected, and not a byte came
    LEAVING = timedelta(milliseconds=300)  # has had its error
    LOOKING = timedelta(milliseconds=100)  # idle, and has asked for pages only
    HALF = timedelta(milliseconds=1000)  # a part of a request has come; counted from its last byte
    IDLE = timedelta(seconds=10)  # idle, and has handed in jobs
    OWED = None  # never closed: an answer is owed


_SHED_FIRST = list(Stage)


class Connection(Waiting):
    """One client's connection."""

    __slots__ = ("accepted", "ahead", "fresh", "held", "rest", "side", "since", "stage")

    def __init__(self, side: ServerSide, now: timedelta) -> None:
        super().__init__()
        self.side, self.accepted, self.fresh = side, now, True
        self.stage, self.since = Stage.SILENT, now
        self.rest = Stage.LOOKING  # where it stands between two requests
        self.held = 0  # bytes of a body that it holds here
        self.ahead = 0  # and of what its client sent ahead

    def enter(self, stage: Stage, now: timedelta) -> None:
        self.stage, self.since = stage, now

    def unchanged(self) -> timedelta:
        """Since when it stands as it does. Guards slow writers against those who stopped half way."""
        return self.side.heard if self.stage is Stage.HALF else self.since


class Front:
    """Listens for clients, reads their jobs, and writes their answers."""

    def __init__(
            self, loop: Loop, address: Address, core: Core, classes: dict[str, api.RequestClass],
            budget: Budget, share: float, most_held: int, most_idle: int, counters: Counter[str],
            check: Check | None = None, sock: socket.socket | None = None,
    ) -> None:
        self.loop, self.core, self.classes, self.counters, self.check = loop, core, classes, counters, check
        self.connections: set[Connection] = set()
        self.draining = self.leaving = self.finishing = self.standby = False
        self.starting, self.retired, self.sending_away = True, False, False
        self.last_job = loop.now()
        self.held, self.most_held = 0, most_held  # bytes of all bodies
        self.idle: dict[Connection, None] = {}  # those between two jobs, the longest idle first
        self.most_idle = most_idle
        self.house = ClientShare(budget, share)
        self.listener = Listener(loop, address, self.house, self._accepted, self._make_room, sock=sock)
        budget.sheds.append(self._make_room)

    # --- connections -----------------------------------------------------------------------------------

    def _accepted(self, stream: Stream) -> None:
        self.counters["connections_accepted"] += 1
        connection = Connection(ServerSide(stream), self.loop.now())
        self.connections.add(connection)
        connection.task = self.loop.spawn(self._serve(connection), "client connection")

    def _make_room(self) -> bool:
        """Guards against clients that fill the house and ask nothing: the silent, then the idle ones go.

        One that has just come may have a request on its way: it is left its time. Who is owed an answer
        stays. Several go at once, so that a crowd does not cost a search for each.
        """
        now = self.loop.now()
        may_go = [c for c in self.connections
                  if c.stage.value is not None and now - c.unchanged() >= c.stage.value]
        may_go.sort(key=lambda c: (_SHED_FIRST.index(c.stage), c.unchanged()))
        most = max(1, len(self.connections) // 8)
        # Guards a request that has come, and whose connection's turn has not: it is no longer silent or idle.
        gone = list(islice((c for c in may_go if c.stage is Stage.LEAVING or c.side.stream.quiet()), most))
        for connection in gone:
            self.counters["connections_closed_for_room"] += 1
            self._end(connection)
        return bool(gone)

    def _end(self, connection: Connection) -> None:
        """Close a connection, once; its task, if it is parked, finds it closed."""
        connection.side.stream.close()
        self._hold(connection, 0)
        self._count_ahead(connection, 0)
        self.idle.pop(connection, None)
        if connection in self.connections:
            self.connections.discard(connection)
            self.listener.released()

    def _rest(self, connection: Connection) -> None:
        """A connection is between two requests.

        Guards clients that leave connections behind and open new ones: those left use up what a client may
        hold, and its next request finds no way in. Of too many, the longest idle go.
        """
        connection.enter(connection.rest, self.loop.now())
        if connection.rest is Stage.IDLE:
            self.idle[connection] = None
        while len(self.idle) > self.most_idle:
            oldest = next(iter(self.idle))
            if self.loop.now() - oldest.since < SHORTEST_IDLE:
                return
            if not oldest.side.stream.quiet():
                del self.idle[oldest]  # its next request has come: its task is about to read it
                continue
            self.counters["connections_closed_as_idle"] += 1
            self._end(oldest)

    def busy(self, quiet: timedelta) -> bool:
        """Whether an answer is owed, a request is being written, or a job came less than a while ago."""
        now = self.loop.now()
        return now - self.last_job < quiet or any(
            c.stage is Stage.OWED or (c.stage is Stage.HALF and now - c.unchanged() < STILL_WRITES)
            for c in self.connections)

    def drain(self) -> None:
        """A planned restart: go on serving, on what clients have and on what still comes."""
        self.draining = True

    def stand_by(self, standby: bool) -> None:
        """Send clients away, each after its answer, or take them again."""
        self.standby = standby
        self._send_away()

    def _send_away(self) -> None:
        if not self.sending_away and (self.standby or self.retired):
            self.sending_away = True
            self.loop.call_later(STANDBY_AFTER, self._end_idle)

    def start(self) -> None:
        """Accept clients from now on."""
        self.starting = False
        self.listener.open()

    def retire(self) -> None:
        """Another process of this node accepts in this one's place: serve what is here to its end."""
        self.listener.close()
        self.draining = self.retired = True
        self._send_away()

    def _end_idle(self) -> None:
        """End what is idle, while standby lasts; who has just come may have a request on its way."""
        self.sending_away = self.standby or self.retired
        if not self.sending_away:
            return
        now = self.loop.now()
        for connection in list(self.connections):
            idle = connection.stage in (Stage.SILENT, Stage.LOOKING, Stage.IDLE)
            if idle and now - connection.since >= STANDBY_AFTER and connection.side.stream.quiet():
                self.counters["connections_sent_away"] += 1
                self._end(connection)
        self.loop.call_later(STANDBY_STEP, self._end_idle)

    def leave(self) -> None:
        """The end is near: clients move away, each once it has its answer."""
        self.leaving = True
        for connection in list(self.connections):
            idle = connection.stage in (Stage.SILENT, Stage.LOOKING, Stage.IDLE)
            if idle and connection.side.stream.quiet():  # else its request is answered first
                self._end(connection)

    def finish(self) -> None:
        """The process ends within moments: whoever still asks is denied at once, and may ask elsewhere."""
        self.leaving = self.finishing = True

    def unsettled(self) -> bool:
        """Whether an answer's last byte is still to go out, or somebody's request waits to be denied."""
        known = len(self.connections)
        self.listener.retry()  # the system has let in who was not taken in here yet
        return len(self.connections) > known or any(
            c.stage in (Stage.OWED, Stage.HALF, Stage.LEAVING) or not c.side.stream.quiet()
            for c in self.connections)

    def _serve(self, connection: Connection) -> Steps[None]:
        side = connection.side
        try:
            more = True
            while more:
                try:
                    more = yield from self._serve_one(connection)
                except BadRequest as error:
                    # Guards against malformed, oversize and half requests: said once, then closed.
                    self.counters["bad_requests"] += 1
                    self.counters[f"bad_requests_{error.status}"] += 1
                    yield from self._reply(side, error.status, _words(error), [], close=True)
                    connection.enter(Stage.LEAVING, self.loop.now())
                    until = max(connection.accepted + LINGER_LIMIT, self.loop.now() + LINGER_QUIET)
                    yield from side.stream.linger(until, LINGER_QUIET)
                    return
                yield from self.loop.turn()  # guards the others against requests sent ahead by the hundred
            if side.overrun or side.sent_ahead() or not side.stream.quiet():
                # Guards the last answer's bytes: closing over what was sent ahead would reset them.
                connection.enter(Stage.LEAVING, self.loop.now())
                yield from side.stream.linger(self.loop.now() + LAST_LINGER, LAST_LINGER)
        except (Broken, Late):
            self.counters["connections_broken"] += 1
        finally:
            self._end(connection)

    def _serve_one(self, connection: Connection) -> Steps[bool]:
        """One request from its first byte to its answer's last; whether the connection goes on."""
        side, now = connection.side, self.loop.now()
        if not side.sent_ahead():
            # A client may idle between two requests, but not before the first, nor dawdle within one.
            try:
                data = yield from side.stream.read(
                    connection.accepted + FIRST_LIMIT if connection.fresh else now + IDLE_LIMIT)
            except Late:
                self.counters["connections_silent"] += 1
                return False
            side.feed(data)
        now = self.loop.now()
        self.idle.pop(connection, None)
        self._count_ahead(connection, len(side.ahead))
        connection.enter(Stage.HALF, now)
        until = connection.accepted + FIRST_LIMIT if connection.fresh else now + REQUEST_LIMIT
        try:
            request = yield from side.read_head(until)
            if request is None:
                return False
            # A fault in the head is answered before the body is read: it may be long, or never come.
            page = request.method in ("GET", "HEAD")
            job, wait = (None, ZERO) if page else self._read_job(request)
            cls = self.classes.get(job.request_class) if job is not None else None
            yield from side.read_body(request, until, lambda size: self._hold(connection, size))
            if job is not None and self.classes.get(job.request_class) is not cls:
                # Guards rule 2: new settings came between the head and the body, and a stricter class may ask
                # for more of the head than the one under which it was read.
                job, wait = self._read_job(request)
        except Late as error:
            raise BadRequest(408, "the request did not come in time") from error
        connection.enter(Stage.OWED, self.loop.now())
        connection.fresh = False
        if self.check is not None:
            self.check(request)
        if job is None:
            status, body = self._page(urlsplit(request.target).path)
            # Guards those with jobs: in a house that fills up, who only looks does not stay.
            more = yield from self._reply(
                side, status, b"" if request.method == "HEAD" else body, [], close=self.house.crowded())
        else:
            self._not_open(job.id)
            if self.finishing:
                self.counters["denied_at_the_end"] += 1
                return (yield from self._reply(side, _STATUS[Verdict.DENIED], b"denied: the end\n", []))
            # Its time counts from its last byte.
            job = replace(job, deadline=self.loop.now() + wait, body=request.body, client=side.stream.peer)
            connection.rest = Stage.IDLE
            self.last_job = self.loop.now()
            more = yield from self._answer(connection, job)
        self._hold(connection, 0)
        if more:
            self._rest(connection)
        return more

    def _look(self, connection: Connection) -> bool | None:
        """Whether its client has gone; what it sends ahead is taken in as far as there is room for it."""
        side = connection.side
        heard = not side.overrun
        gone = side.wait_gone(self.most_held - self.held)
        self.counters["sent_ahead_unheard"] += heard and side.overrun
        self._count_ahead(connection, len(side.ahead))
        return gone

    def _count_ahead(self, connection: Connection, size: int) -> None:
        self.held += size - connection.ahead
        connection.ahead = size

    def _hold(self, connection: Connection, size: int) -> None:
        """Guards the memory: bodies that come slowly, or wait, may hold only their part of it."""
        self.held += size - connection.held
        connection.held = size
        if size and self.held > self.most_held:
            raise BadRequest(503, "too many bodies are held here: come back later")

    def _reply(
            self, side: ServerSide, status: int, body: bytes, headers: list[tuple[str, str]],
            close: bool = False,
    ) -> Steps[bool]:
        close = close or self.leaving or self.standby or self.retired or side.overrun
        return (yield from side.write_answer(status, body, headers, close, self.loop.now() + WRITE_LIMIT))

    # --- requests ----------------------------------------------------------------------------------------

    def _answer(self, connection: Connection, job: Job) -> Steps[bool]:
        """Hand a job in and write its one answer."""
        side = connection.side
        answer = yield from connection.hand_in(
            self.loop, self.core, job, side.stream, lambda: self._look(connection))
        if answer is None:
            return False
        headers = []
        if answer.retry_after is not None:
            headers.append(("Retry-After", f"{answer.retry_after.total_seconds():.3f}"))
        if answer.replayed:
            headers.append(("Idempotent-Replayed", "true"))
        body = answer.body
        if answer.verdict is not Verdict.SERVED:
            body = f"{answer.verdict.value}{answer.reason and ': '}{answer.reason}\n".encode()
        status = CONFLICT if answer.conflict else OVER_QUOTA if answer.over_quota else _STATUS[answer.verdict]
        return (yield from self._reply(side, status, body, headers))

    def why_not_ready(self) -> str | None:
        """What keeps the node from serving; None if nothing does."""
        if self.starting:
            return "it is starting"
        if self.draining:
            return "it is to end"
        if self.standby:
            return "standby"
        if not self.core.listed:
            return "the list of backend servers has not come yet"
        return None if self.core.ready() else "no backend server is known that may serve"

    def _page(self, path: str) -> tuple[int, bytes]:
        """What is told about the node itself."""
        if path == "/health/ready":
            why = self.why_not_ready()
            return (200, b"ready\n") if why is None else (503, f"not ready: {why}\n".encode())
        if path == "/health/live":
            return 200, b"live\n"
        if path == "/counters":
            return 200, json.dumps(dict(sorted(self.counters.items()))).encode() + b"\n"
        raise BadRequest(404, f"no page {path!r}")

    def _read_job(self, request: Request) -> tuple[Job, timedelta]:
        """The job that a POST's head hands in and how long its client waits, or what is wrong with it."""
        headers = request.headers
        if request.method != "POST" or urlsplit(request.target).path in PAGES:
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
        for header in ("X-Trace-Id", "Idempotency-Key"):
            text = headers.get(header.lower(), "")
            if len(text) > MOST_ID or not text.isprintable() or " " in text:
                raise BadRequest(400, f"header {header} is no short word")
        self._not_open(headers["x-trace-id"])
        try:
            wait = read_span(headers["x-expires-in"])
        except ValueError:
            said = headers["x-expires-in"][:40]
            raise BadRequest(
                400, f"header X-Expires-In: {said!r} is no number above 0 with a unit, m or u") from None
        account = headers.get("x-tenant")
        if self.core.quotas is not None and (fault := self.core.quotas.check(account)) is not None:
            raise BadRequest(400, f"header X-Tenant: {fault}")
        props = self._props(headers.get("x-props", ""))
        keys = parse_qs(parts.query).get("key")
        job = Job(
            headers["x-trace-id"], name, ZERO, b"", keys[0] if keys else None,
            headers.get("idempotency-key"), headers.get("x-customer"), None,
            props.get("slots", 1.0), props.get("memory", 0.0), headers.get("x-second-try") == "1",
            headers.get("x-region"), None, account, request,
            f"{request.method} {request.target}".encode())
        return job, wait

    def _not_open(self, job_id: str) -> None:
        """Guards an open session: its id belongs to the client that came first."""
        if self.core.holds(job_id):
            raise BadRequest(409, f"header X-Trace-Id: {job_id!r} is open already")

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
