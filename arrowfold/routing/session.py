"""Sessions, their dispatches, and the two ways out of the core: backend server and client."""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any, Protocol

from arrowfold import interface as api

MICROSECOND = timedelta(microseconds=1)


def to_us(span: timedelta) -> int:
    """The module counts in whole microseconds."""
    return span // MICROSECOND


def from_us(count: float) -> timedelta:
    return timedelta(microseconds=count)


class Verdict(Enum):
    """What a session's one final answer says."""

    SERVED = "served"
    DENIED = "denied"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer; `body` is the backend server's result, word for word."""

    verdict: Verdict
    body: bytes = b""
    retry_after: timedelta | None = None
    reason: str = ""  # why it was denied, where there is something to say
    over_quota: bool = False
    conflict: bool = False  # its key was used for something else
    replayed: bool = False  # of a run that had ended before


@dataclass(frozen=True, slots=True)
class Job:
    """What a client hands in. `origin` is its own wire's form, which only that wire reads."""

    id: str
    request_class: str
    deadline: timedelta
    body: bytes = b""
    key: str | None = None
    effect_key: str | None = None  # by which backend servers drop a repeat
    tenant: str | None = None
    effort: timedelta | None = None
    slots: float = 1.0
    memory: float = 0.0
    resent: bool = False
    region: str | None = None  # the region tag that its client gave it
    client: str | None = None  # the address that its client called from
    account: str | None = None  # whose quotas it counts against: organisation and team
    origin: Any = None
    asked: bytes = b""  # all of what is asked beside the body, for telling another request of the same key

    @property
    def payer(self) -> str | None:
        """The tenant as routes, quotas and traces know it; the module knows `tenant` alone."""
        return self.account or self.tenant


class Client(Protocol):
    """Who handed a job in."""

    def answer(self, answer: Answer) -> None:
        """Take the one final answer."""


class BackendServer(Protocol):
    """A backend server as the core reaches it. Nothing is to be reported from within these calls."""

    def send(self, dispatch: Dispatch) -> None:
        """Start an attempt, and report on it to the dispatch."""

    def probe(self, probe: Probe) -> None:
        """Ask for the load, and report to the probe."""

    def cancel(self, errand: Dispatch | Probe) -> api.Status | None:
        """Stop it; its report is no longer wanted. What it ends as if it surely never ran, else None."""

    def rest(self) -> None:
        """Nothing more will be sent for a while: let go of what is kept for that."""


class Dispatch:
    """One attempt of a session at a backend server."""

    __slots__ = (
        "_report", "begun", "errand", "fetches", "number", "over", "sent", "server", "server_name", "session",
        "span", "timer", "whole")

    def __init__(
            self, session: Session, number: int, server_name: str, server: BackendServer, sent: timedelta,
            report: Callable[[Session, object], None],
    ) -> None:
        self.session, self.number, self.server_name, self.server = session, number, server_name, server
        self.sent, self.over, self._report = sent, False, report
        self.whole = False  # the server has its last byte, or may have: from here on it may run
        self.begun = sent  # its told start, once it was told
        self.fetches = 0  # of the index, as quotas count them
        self.timer: Cancellable | None = None
        self.errand: Any = None  # what the wire keeps of it
        self.span: Any = None  # what an observer keeps of it

    @property
    def job(self) -> Job:
        return self.session.job

    def started(self) -> None:
        self._report(self.session, Progress(self, None))

    def progressed(self, share: float) -> None:
        self._report(self.session, Progress(self, share))

    def ended(self, status: api.Status, body: bytes = b"", load: api.LoadReport | None = None,
              fetched: float | None = None) -> None:
        """Its outcome; `fetched`: how often it took something from the index, if the server says so."""
        self._report(self.session, Ended(self, status, body, load, fetched))


class Probe:
    """One question for a backend server's load."""

    __slots__ = ("_report", "errand", "over", "sent", "server", "server_name", "timer")

    def __init__(
            self, server_name: str, server: BackendServer, sent: timedelta,
            report: Callable[[Probe, api.Status, api.LoadReport | None], None],
    ) -> None:
        self.server_name, self.server, self.sent, self.over = server_name, server, sent, False
        self._report = report
        self.timer: Cancellable | None = None
        self.errand: Any = None

    def ended(self, status: api.Status, load: api.LoadReport | None = None) -> None:
        self._report(self, status, load)


@dataclass(frozen=True, slots=True)
class Progress:
    """A dispatch has started (`share` is None), or a part of it is done."""

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
class Shared:
    """The run that this try has waited for has its answer."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class Left:
    """The client has gone away."""


@dataclass(frozen=True, slots=True)
class Listed:
    """The list of servers may be served from."""


@dataclass(frozen=True, slots=True)
class Expired:
    """The session's deadline has come."""


class Observer(Protocol):
    """Is told what the core does, as it happens. It must not call back into the core, nor raise."""

    def settled(self, settings: api.Settings) -> None:
        """These settings hold from now on."""

    def listed(self, update: api.RosterUpdate) -> None:
        """The module was told this of the server table."""

    def called(self, server: str, out: bool) -> None:
        """An operator has called a server out for maintenance, or back."""

    def taken(self, session: Session) -> None:
        """A session has begun."""

    def dispatched(self, dispatch: Dispatch) -> None:
        """An attempt was sent to a backend server."""

    def progressed(self, dispatch: Dispatch, share: float | None) -> None:
        """It has started (`share` is None), or a part of it is done."""

    def ended(self, dispatch: Dispatch, status: api.Status, load: api.LoadReport | None) -> None:
        """It has had its one outcome."""

    def probed(self, server: str, status: api.Status, load: api.LoadReport | None) -> None:
        """A probe has had its one result."""

    def answered(self, session: Session, answer: Answer | None) -> None:
        """The session's final answer, or None where its client had left."""


class Session:
    """A job that was taken: it is owed exactly one final answer."""

    __slots__ = (
        "answered", "client", "dispatches", "is_run", "job", "life", "may_have_run", "rule", "span", "ticket",
        "timer", "worker_time")

    def __init__(self, job: Job, client: Client) -> None:
        self.job, self.client = job, client
        self.answered = False
        self.is_run = False  # it stands for all tries of its key, each a session of its own
        self.may_have_run = False  # one of its attempts that have ended
        self.rule: str | None = None  # the route's rule that held for it
        self.span: Any = None  # what an observer keeps of it
        self.ticket: Any = None  # what quotas charged for it
        self.worker_time = timedelta(0)  # what its attempts have used
        self.dispatches: list[Dispatch] = []
        self.life: Generator[None, object, None] | None = None
        self.timer: Cancellable | None = None

    def out(self) -> list[Dispatch]:
        """Attempts that have no outcome yet."""
        return [dispatch for dispatch in self.dispatches if not dispatch.over]


    def started(self) -> bool:
        """Whether a server may have begun to run it."""
        return self.may_have_run or bool(self.out())


class Logging(Protocol):
    """Says what happened, as an event with fields."""

    def __call__(self, event: str, **fields: object) -> None: ...


class Cancellable(Protocol):
    """A timer that can be taken back."""

    def cancel(self) -> None: ...


class Clock(Protocol):
    """Time and timers, as the layer below or a test provides them."""

    def now(self) -> timedelta: ...

    def call_at(self, when: timedelta, call: Callable[[], None]) -> Cancellable: ...
