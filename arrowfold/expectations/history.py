"""Events of one node: the server list that it received, its sessions, and state changes of the servers.

A history is recorded in a world simulated by `check` or read from a trace of real traffic; both are evaluated
by the same code. `View` looks up the state of a server at a given time, as far as the node could know it.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from arrowfold import interface as api
from arrowfold.routes.rules import Subject

ZERO = timedelta(0)
MICROSECOND = timedelta(microseconds=1)
FULL_VALIDITY = timedelta(seconds=1)  # time for which a load report is trusted
FAILURE_AVOIDANCE = timedelta(seconds=4)  # time for which the node may avoid a server after a failure
SILENCE_TIMEOUT = timedelta(seconds=1)  # a server that leaves an attempt unanswered for this long is silent


class State(Enum):
    """States of a backend server; several may apply at once."""

    IN_SERVICE = "in-service"
    DRAINING = "draining"
    GONE = "gone"
    MAINTENANCE = "maintenance"
    COLD = "cold"
    SILENT = "silent"
    FULL = "full"


LISTED_STATES = {
    api.Lifecycle.IN_SERVICE: State.IN_SERVICE, api.Lifecycle.TERMINATING: State.DRAINING,
    api.Lifecycle.TERMINATED: State.GONE}


@dataclass(frozen=True, slots=True)
class ListedState:
    """State of a server in the list that the node received, and the time of receipt."""

    at: timedelta
    server: str
    zone: str
    kind: str
    state: State  # in service, draining or gone
    launched: timedelta | None = None  # None: unknown or long ago


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """A state change at the server itself, regardless of when the node learned of it."""

    at: timedelta
    server: str
    state: State


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    """An operator's command that takes a server out for maintenance, or returns it to service."""

    at: timedelta
    server: str
    out: bool


@dataclass(frozen=True, slots=True)
class LoadSample:
    """A load report: free slots of a server, None if it did not report any."""

    at: timedelta
    server: str
    free: float | None


@dataclass(slots=True)
class Attempt:
    """One try of a session at one server."""

    number: int
    server: str
    sent: timedelta
    started: timedelta | None = None  # time at which the node learned of its start
    ended: timedelta | None = None
    status: api.Status | None = None
    free: float | None = None  # free slots in the load report that came with the outcome

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the request."""
        return self.status is None or not self.status.never_ran


@dataclass(slots=True)
class SessionRecord:
    """One session: a request from its arrival to its answer, with its attempts."""

    id: str
    subject: Subject
    arrived: timedelta
    deadline: timedelta
    rule: str | None = None
    attempts: list[Attempt] = field(default_factory=list)
    answered: timedelta | None = None
    verdict: str | None = None  # served, denied, failed, or left
    retry_after: timedelta | None = None


@dataclass(slots=True)
class History:
    """All recorded events of a node, each list in order of time."""

    cold: timedelta = ZERO  # time for which a server is cold after its start
    listed_states: list[ListedState] = field(default_factory=list)
    own: list[ServerEvent] = field(default_factory=list)
    commands: list[OperatorCommand] = field(default_factory=list)
    reports: list[LoadSample] = field(default_factory=list)  # answers to probes only
    session_records: list[SessionRecord] = field(default_factory=list)
    until: timedelta = ZERO  # end of the recording


class View:
    """Indexes a history for look-ups by server and time."""

    def __init__(self, history: History) -> None:
        self.history = history
        self._listed_states: dict[str, list[ListedState]] = {}
        self._own: dict[str, list[ServerEvent]] = {}
        self._reports: dict[str, list[LoadSample]] = {}
        self._sent: dict[str, list[Attempt]] = {}
        self._failures: dict[str, list[timedelta]] = {}
        for listed in history.listed_states:
            self._listed_states.setdefault(listed.server, []).append(listed)
        for own in history.own:
            self._own.setdefault(own.server, []).append(own)
        for session in history.session_records:
            for attempt in session.attempts:
                self._sent.setdefault(attempt.server, []).append(attempt)
                load_reports = self._reports.setdefault(attempt.server, [])
                if attempt.ended is not None and attempt.status in _FAILURE_STATUSES:
                    self._failures.setdefault(attempt.server, []).append(attempt.ended)
                if attempt.started is not None:
                    load_reports.append(LoadSample(attempt.started, attempt.server, None))
                if attempt.ended is not None and attempt.status not in _STATUSES_WITHOUT_REPORT:
                    free = 0.0 if attempt.status is api.Status.FULL else attempt.free
                    load_reports.append(LoadSample(attempt.ended, attempt.server, free))
        for report in history.reports:
            self._reports.setdefault(report.server, []).append(report)
        for rows in (self._listed_states, self._own, self._reports):
            for row in rows.values():
                row.sort(key=_time_of)
        for failures in self._failures.values():
            failures.sort()
        for attempts in self._sent.values():
            attempts.sort(key=lambda attempt: attempt.sent)

    # --- one server --------------------------------------------------------------------------------------

    def listed_state(self, server: str, at: timedelta) -> ListedState | None:
        """Returns the last listed state of a server at a given time, or None if it was never listed."""
        rows = self._listed_states.get(server, [])
        number = bisect_right(rows, at, key=_time_of)
        return rows[number - 1] if number else None

    def since(self, server: str, state: State, at: timedelta, own: bool = False) -> timedelta | None:
        """Returns the time since which a server has been in a state, or None if it is not.

        Counts from the node's knowledge or, with `own`, from the server's own event, which may be earlier.
        """
        if own:
            return _run_start(self._own.get(server, []), state, at)
        if state is State.MAINTENANCE:
            return self._maintenance_since(server, at)
        if state is State.COLD:
            listed = self.listed_state(server, at)
            if listed is None or listed.launched is None or at >= listed.launched + self.history.cold:
                return None
            # The node can know of a start only from the first list that holds it.
            return next(s.at for s in self._listed_states[server] if s.launched == listed.launched)
        if state is State.SILENT:
            return self._silent_since(server, at)
        if state is State.FULL:
            latest = self._last_report(server, at, with_free_slots=True)
            full = (latest is not None and latest.free is not None and latest.free <= 0
                    and at - latest.at < FULL_VALIDITY)
            return latest.at if full and latest is not None else None
        return _run_start(self._listed_states.get(server, []), state, at)

    def lag(self, server: str, at: timedelta) -> timedelta:
        """Returns the delay from the server's last own event to its listing; zero if no event is known."""
        rows = self._own.get(server, [])
        number = bisect_right(rows, at, key=_time_of)
        if not number:
            return ZERO
        own, listed_states = rows[number - 1], self._listed_states.get(server, [])
        listing = next((s for s in listed_states[bisect_left(listed_states, own.at, key=_time_of):]
                        if s.state is own.state and s.at >= own.at), None)
        return (listing.at if listing is not None else self.history.until) - own.at

    def _maintenance_since(self, server: str, at: timedelta) -> timedelta | None:
        """Returns the time since which a server is in maintenance; a repeated command changes nothing."""
        since = None
        for call in self.history.commands:
            if call.server == server and call.at <= at:
                since = (since if since is not None else call.at) if call.out else None
        return since

    def _last_report(self, server: str, at: timedelta, with_free_slots: bool = False) -> LoadSample | None:
        load_reports = self._reports.get(server, [])
        number = bisect_right(load_reports, at, key=_time_of)
        while number and with_free_slots and load_reports[number - 1].free is None:
            number -= 1
        return load_reports[number - 1] if number else None

    def _last_failure(self, server: str, at: timedelta) -> timedelta | None:
        failures = self._failures.get(server, [])
        number = bisect_right(failures, at)
        return failures[number - 1] if number else None

    def _silent_since(self, server: str, at: timedelta) -> timedelta | None:
        latest, sent = self._last_report(server, at), self._sent.get(server, [])
        first = bisect_left(sent, latest.at, key=lambda a: a.sent) if latest is not None else 0
        if first >= len(sent) or sent[first].sent + SILENCE_TIMEOUT > at:
            return None
        return sent[first].sent + SILENCE_TIMEOUT

    # --- several servers ---------------------------------------------------------------------------------

    def servers(self) -> Collection[str]:
        """Returns the names of all servers ever listed."""
        return self._listed_states.keys()

    def any_in_state(self, state: State, at: timedelta, own: bool = False) -> bool:
        """Whether any server is in a state at a given time."""
        return any(self.since(server, state, at, own) is not None for server in self._listed_states)

    def has_any_capacity(self, at: timedelta, zones: Collection[str] | None = None) -> bool:
        """Whether some server, in `zones` if given, certainly has free capacity."""
        if zones is None:
            return any(self.has_free_capacity(server, at) for server in self._listed_states)
        return not self.all_in_state(zones, State.FULL, at)

    def has_free_capacity(self, server: str, at: timedelta) -> bool:
        """Whether a server certainly has free capacity, as far as the node could know.

        It must be in service, neither cold, silent nor full, and without a recent failure. By a load report
        no older than FULL_VALIDITY, less the attempts sent since, more than one slot must be free: other
        nodes send there too and may have taken the last one. A server without a report does not qualify.
        """
        if any(self.since(server, state, at) is not None for state in (State.COLD, State.SILENT, State.FULL)):
            return False
        if self.since(server, State.IN_SERVICE, at) is None:
            return False
        if (failed := self._last_failure(server, at)) is not None and at - failed < FAILURE_AVOIDANCE:
            return False
        latest = self._last_report(server, at, with_free_slots=True)
        if latest is None or latest.free is None or at - latest.at > FULL_VALIDITY:
            return False
        return latest.free - self.count_sent(server, latest.at - MICROSECOND, at - MICROSECOND) > 1

    def count_sent(self, server: str, after: timedelta, until: timedelta) -> int:
        """Returns the number of attempts sent to a server later than `after` and no later than `until`."""
        sent = self._sent.get(server, [])
        first, last = (bisect_right(sent, at, key=lambda a: a.sent) for at in (after, until))
        return last - first

    def all_in_state(self, zones: Collection[str], state: State, at: timedelta) -> bool:
        """Whether all servers of these zones are in a state.

        FULL also includes servers that cannot take requests for other reasons.
        """
        in_zones = [s for s in self.servers()
                    if (listed := self.listed_state(s, at)) is not None and listed.zone in zones]
        if state is State.FULL:
            return not any(self.has_free_capacity(server, at) for server in in_zones)
        return all(self.since(server, state, at) is not None for server in in_zones)


def _time_of(row: ListedState | ServerEvent | LoadSample) -> timedelta:
    return row.at


def _run_start(rows: list[ListedState] | list[ServerEvent], state: State, at: timedelta) -> timedelta | None:
    """Returns the start of the unbroken run of rows in a state that ends at a given time, or None."""
    number = bisect_right(rows, at, key=_time_of)
    if not number or rows[number - 1].state is not state:
        return None
    while number > 1 and rows[number - 2].state is state:
        number -= 1
    return rows[number - 1].at


_FAILURE_STATUSES = frozenset({
    api.Status.ERROR, api.Status.CONNECT_FAILED, api.Status.RESET, api.Status.TIMEOUT, api.Status.CANCELLED})
_STATUSES_WITHOUT_REPORT = frozenset({None, api.Status.TIMEOUT, api.Status.CANCELLED, api.Status.MOOT})


def read_listed_states(
        at: timedelta, update: api.RosterUpdate, known: dict[str, ListedState]) -> Iterable[ListedState]:
    """Yields the listed states that follow from one update of the worker list.

    `known` holds the last listed state of each server and is updated in place. A server that is missing from
    a complete list is yielded as gone.
    """
    if update.mode is api.RosterMode.ERROR:
        return
    listed = set()
    for entry in update.entries:
        listed.add(entry.worker)
        state = LISTED_STATES[entry.lifecycle]
        launched = timedelta(microseconds=entry.launched_us) if entry.launched_us else None
        known[entry.worker] = ListedState(at, entry.worker, entry.zone, entry.kind, state, launched)
        yield known[entry.worker]
    if update.mode is not api.RosterMode.PARTIAL:
        for server, last in list(known.items()):
            if server not in listed and last.state is not State.GONE:
                known[server] = ListedState(at, server, last.zone, last.kind, State.GONE)
                yield known[server]
