"""Sessions (one request each), their dispatches (attempts) and the interfaces of the core.

The core reaches backend servers (workers) and clients only through the protocols defined here.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any, Protocol

from arrowfold import interface as api

MICROSECOND = timedelta(microseconds=1)


def to_us(span: timedelta) -> int:
    """Converts to the dispatcher's unit of time, integral microseconds, rounding down."""
    return span // MICROSECOND


def from_us(count: float) -> timedelta:
    """Converts from microseconds."""
    return timedelta(microseconds=count)


class Verdict(Enum):
    """Kind of a session's one final answer."""

    SERVED = "served"
    DENIED = "denied"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer; `body` is the backend server's result, unchanged."""

    verdict: Verdict
    body: bytes = b""
    retry_after: timedelta | None = None
    reason: str = ""  # why the request was denied or failed; may be empty
    over_quota: bool = False
    conflict: bool = False  # the idempotency key was used for a different request
    replayed: bool = False  # stored answer of an earlier run of the same key


@dataclass(frozen=True, slots=True)
class Job:
    """A client's request. `origin` is its form in the protocol that received it, read only there."""

    id: str
    request_class: str
    deadline: timedelta
    body: bytes = b""
    key: str | None = None
    effect_key: str | None = None  # idempotency key, by which backend servers recognise a duplicate
    tenant: str | None = None
    effort: timedelta | None = None
    slots: float = 1.0
    memory: float = 0.0
    resent: bool = False
    region: str | None = None  # region tag from the client
    client: str | None = None  # IP address of the client
    account: str | None = None  # path of the charged quota account: organisation and team
    origin: Any = None
    asked: bytes = b""  # the request without its body; distinguishes different requests with the same key

    @property
    def tenant_path(self) -> str | None:
        """The tenant as used by routes, quotas and traces; the dispatcher uses `tenant` alone."""
        return self.account or self.tenant


class Client(Protocol):
    """The sender of a job."""

    def answer(self, answer: Answer) -> None:
        """Receives the one final answer."""


class BackendServer(Protocol):
    """A backend server as the core uses it. Implementations must not report from within these calls."""

    def send(self, dispatch: Dispatch) -> None:
        """Starts an attempt; progress and outcome are reported to the dispatch."""

    def probe(self, probe: Probe) -> None:
        """Requests a load report; the result is reported to the probe."""

    def cancel(self, operation: Dispatch | Probe) -> api.Status | None:
        """Stops an attempt or probe, after which it must not report.

        Returns the status to end it with if it is certain never to have run, else None.
        """

    def rest(self) -> None:
        """Closes idle connections, because no attempts will follow for a while."""


class Dispatch:
    """One attempt of a session at a backend server."""

    __slots__ = (
        "_report", "task", "fetches", "number", "has_ended", "sent_at", "server", "server_name", "session",
        "span", "started_at", "timer", "is_sent")

    def __init__(
            self, session: Session, number: int, server_name: str, server: BackendServer, sent_at: timedelta,
            report: Callable[[Session, object], None],
    ) -> None:
        self.session, self.number, self.server_name, self.server = session, number, server_name, server
        self.sent_at, self.has_ended, self._report = sent_at, False, report
        self.is_sent = False  # its last byte was handed to the connection: from here on the server may run it
        self.started_at = sent_at  # replaced when the server reports the start
        self.fetches = 0  # index fetches, in the unit of quotas
        self.timer: Cancellable | None = None
        self.task: Any = None  # the protocol's task that carries it out
        self.span: Any = None  # state of the observer

    @property
    def job(self) -> Job:
        return self.session.job

    def started(self) -> None:
        """Reports that the server has started the attempt."""
        self._report(self.session, Progress(self, None))

    def progressed(self, share: float) -> None:
        """Reports that a share (0 to 1) of the work is done."""
        self._report(self.session, Progress(self, share))

    def ended(self, status: api.Status, body: bytes = b"", load: api.LoadReport | None = None,
              fetched: float | None = None) -> None:
        """Reports the outcome; `fetched` is the number of index fetches if the server reports it."""
        self._report(self.session, Ended(self, status, body, load, fetched))


class Probe:
    """One request for a backend server's load report."""

    __slots__ = ("_report", "task", "has_ended", "sent_at", "server", "server_name", "timer")

    def __init__(
            self, server_name: str, server: BackendServer, sent_at: timedelta,
            report: Callable[[Probe, api.Status, api.LoadReport | None], None],
    ) -> None:
        self.server_name, self.server, self.sent_at, self.has_ended = server_name, server, sent_at, False
        self._report = report
        self.timer: Cancellable | None = None
        self.task: Any = None  # the protocol's task that carries it out

    def ended(self, status: api.Status, load: api.LoadReport | None = None) -> None:
        """Reports the result."""
        self._report(self, status, load)


@dataclass(frozen=True, slots=True)
class Progress:
    """A dispatch has started (`share` is None), or a share of its work is done."""

    dispatch: Dispatch
    share: float | None


@dataclass(frozen=True, slots=True)
class Ended:
    """The one outcome of a dispatch."""

    dispatch: Dispatch
    status: api.Status
    body: bytes
    load: api.LoadReport | None
    fetched: float | None = None


@dataclass(frozen=True, slots=True)
class RunAnswered:
    """The run that this session waits for has its answer."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client has disconnected."""


@dataclass(frozen=True, slots=True)
class ListReady:
    """The list of servers is valid."""


@dataclass(frozen=True, slots=True)
class Expired:
    """The session's deadline has passed."""


class Observer(Protocol):
    """Receives what the core does as it happens. Must neither call back into the core nor raise."""

    def settings_changed(self, settings: api.Settings) -> None:
        """These settings apply from now on."""

    def listed(self, update: api.RosterUpdate) -> None:
        """The dispatcher received this update of the server table."""

    def maintenance_changed(self, server: str, out: bool) -> None:
        """An operator has started (`out`) or ended the maintenance of a server."""

    def session_started(self, session: Session) -> None:
        """A session has begun."""

    def dispatched(self, dispatch: Dispatch) -> None:
        """An attempt was sent to a backend server."""

    def progressed(self, dispatch: Dispatch, share: float | None) -> None:
        """An attempt has started (`share` is None), or a share of its work is done."""

    def ended(self, dispatch: Dispatch, status: api.Status, load: api.LoadReport | None) -> None:
        """An attempt has ended with its one outcome."""

    def probed(self, server: str, status: api.Status, load: api.LoadReport | None) -> None:
        """A probe has ended with its one result."""

    def answered(self, session: Session, answer: Answer | None) -> None:
        """A session has ended; `answer` is None if its client had disconnected."""


class Session:
    """An accepted job, which receives exactly one final answer."""

    __slots__ = (
        "answered", "client", "coroutine", "dispatches", "is_run", "job", "may_have_run", "rule", "span",
        "ticket", "timer", "worker_time")

    def __init__(self, job: Job, client: Client) -> None:
        self.job, self.client = job, client
        self.answered = False
        self.is_run = False  # executes the request for all sessions with the same key
        self.may_have_run = False  # whether one of its ended attempts may have run
        self.rule: str | None = None  # name of the route rule that matched
        self.span: Any = None  # state of the observer
        self.ticket: Any = None  # the quota charge
        self.worker_time = timedelta(0)  # used by its attempts
        self.dispatches: list[Dispatch] = []
        self.coroutine: Generator[None, object, None] | None = None
        self.timer: Cancellable | None = None

    def unfinished(self) -> list[Dispatch]:
        """Returns the attempts without an outcome."""
        return [dispatch for dispatch in self.dispatches if not dispatch.has_ended]


    def may_have_started(self) -> bool:
        """Returns whether a server may have started to run the job."""
        return self.may_have_run or bool(self.unfinished())


class Logging(Protocol):
    """Writes a log event with its fields."""

    def __call__(self, event: str, **fields: object) -> None: ...


class Cancellable(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Cancels the timer; has no effect once it has fired."""
        ...


class Clock(Protocol):
    """Time and timers, provided by the event loop or a test."""

    def now(self) -> timedelta:
        """Returns the current time, since the Unix epoch in a running node."""
        ...

    def call_at(self, when: timedelta, call: Callable[[], None]) -> Cancellable:
        """Schedules a call."""
        ...
