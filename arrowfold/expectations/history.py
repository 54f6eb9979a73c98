"""What happened at one node: what it was told of servers, its sessions, and what the servers did themselves.

A history comes from a world that `check` plays or from a trace of real traffic; both are judged by the same
code. `View` answers what state a server was in at a moment, as the node could know it.
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
FULL_FOR = timedelta(seconds=1)  # a server is held to be full this long after it has said so
FAILED_FOR = timedelta(seconds=4)  # who has failed is passed over for a while, and rightly
SILENT_AFTER = timedelta(seconds=1)  # and silent once it has held an attempt this long without a word


class State(Enum):
    """What a backend server may be in; more than one may hold at once."""

    IN_SERVICE = "in-service"
    DRAINING = "draining"
    GONE = "gone"
    MAINTENANCE = "maintenance"
    COLD = "cold"
    SILENT = "silent"
    FULL = "full"


LISTED = {
    api.Lifecycle.IN_SERVICE: State.IN_SERVICE, api.Lifecycle.TERMINATING: State.DRAINING,
    api.Lifecycle.TERMINATED: State.GONE}


@dataclass(frozen=True, slots=True)
class Sight:
    """What the node was told of a server, and when."""

    at: timedelta
    server: str
    zone: str
    kind: str
    state: State  # in service, draining or gone
    launched: timedelta | None = None  # None: long ago


@dataclass(frozen=True, slots=True)
class Own:
    """What a server did itself, whenever the node learned of it."""

    at: timedelta
    server: str
    state: State


@dataclass(frozen=True, slots=True)
class Call:
    """An operator's call: a server is out for maintenance from now on, or back."""

    at: timedelta
    server: str
    out: bool


@dataclass(frozen=True, slots=True)
class Report:
    """What a server answered to a probe: its free slots."""

    at: timedelta
    server: str
    free: float | None


@dataclass(slots=True)
class Attempt:
    """One dispatch."""

    number: int
    server: str
    sent: timedelta
    started: timedelta | None = None  # told start
    ended: timedelta | None = None
    status: api.Status | None = None
    free: float | None = None  # free slots by the report that came with the outcome

    @property
    def may_have_run(self) -> bool:
        return self.status is None or not self.status.never_ran


@dataclass(slots=True)
class Life:
    """One session."""

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
    """All of it, in the order of time."""

    cold: timedelta = ZERO  # how long a server is cold after its start
    sights: list[Sight] = field(default_factory=list)
    own: list[Own] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    reports: list[Report] = field(default_factory=list)  # those of probes
    lives: list[Life] = field(default_factory=list)
    until: timedelta = ZERO


class View:
    """A history with its look-ups."""

    def __init__(self, history: History) -> None:
        self.history = history
        self._sights: dict[str, list[Sight]] = {}
        self._own: dict[str, list[Own]] = {}
        self._words: dict[str, list[Report]] = {}
        self._sent: dict[str, list[Attempt]] = {}
        self._failures: dict[str, list[timedelta]] = {}
        for sight in history.sights:
            self._sights.setdefault(sight.server, []).append(sight)
        for own in history.own:
            self._own.setdefault(own.server, []).append(own)
        for life in history.lives:
            for attempt in life.attempts:
                self._sent.setdefault(attempt.server, []).append(attempt)
                words = self._words.setdefault(attempt.server, [])
                if attempt.ended is not None and attempt.status in _FAILED:
                    self._failures.setdefault(attempt.server, []).append(attempt.ended)
                if attempt.started is not None:
                    words.append(Report(attempt.started, attempt.server, None))
                if attempt.ended is not None and attempt.status not in _NO_WORD:
                    free = 0.0 if attempt.status is api.Status.FULL else attempt.free
                    words.append(Report(attempt.ended, attempt.server, free))
        for report in history.reports:
            self._words.setdefault(report.server, []).append(report)
        for rows in (self._sights, self._own, self._words):
            for row in rows.values():
                row.sort(key=_at)
        for failures in self._failures.values():
            failures.sort()
        for attempts in self._sent.values():
            attempts.sort(key=lambda attempt: attempt.sent)

    # --- one server --------------------------------------------------------------------------------------

    def sight(self, server: str, at: timedelta) -> Sight | None:
        """What the node had last been told of a server."""
        rows = self._sights.get(server, [])
        number = bisect_right(rows, at, key=_at)
        return rows[number - 1] if number else None

    def since(self, server: str, state: State, at: timedelta, own: bool = False) -> timedelta | None:
        """Since when a server has been in this state; None if it is not.

        As the node was told, or with `own` as the server did it, which may be earlier.
        """
        if own:
            return _run(self._own.get(server, []), state, at)
        if state is State.MAINTENANCE:
            return self._out_since(server, at)
        if state is State.COLD:
            sight = self.sight(server, at)
            if sight is None or sight.launched is None or at >= sight.launched + self.history.cold:
                return None
            # The node can know of a start only once it was told.
            return next(s.at for s in self._sights[server] if s.launched == sight.launched)
        if state is State.SILENT:
            return self._silent_since(server, at)
        if state is State.FULL:
            word = self._last_word(server, at, of_room=True)
            full = word is not None and word.free is not None and word.free <= 0 and at - word.at < FULL_FOR
            return word.at if full and word is not None else None
        return _run(self._sights.get(server, []), state, at)

    def lag(self, server: str, at: timedelta) -> timedelta:
        """How far the list ran behind what this server last did itself; zero if that is not known."""
        rows = self._own.get(server, [])
        number = bisect_right(rows, at, key=_at)
        if not number:
            return ZERO
        own, sights = rows[number - 1], self._sights.get(server, [])
        told = next((s for s in sights[bisect_left(sights, own.at, key=_at):]
                     if s.state is own.state and s.at >= own.at), None)
        return (told.at if told is not None else self.history.until) - own.at

    def _out_since(self, server: str, at: timedelta) -> timedelta | None:
        """Since when an operator has had it out; called out twice, it is out since the first time."""
        since = None
        for call in self.history.calls:
            if call.server == server and call.at <= at:
                since = (since if since is not None else call.at) if call.out else None
        return since

    def _last_word(self, server: str, at: timedelta, of_room: bool = False) -> Report | None:
        words = self._words.get(server, [])
        number = bisect_right(words, at, key=_at)
        while number and of_room and words[number - 1].free is None:
            number -= 1
        return words[number - 1] if number else None

    def _last_failure(self, server: str, at: timedelta) -> timedelta | None:
        failures = self._failures.get(server, [])
        number = bisect_right(failures, at)
        return failures[number - 1] if number else None

    def _silent_since(self, server: str, at: timedelta) -> timedelta | None:
        word, sent = self._last_word(server, at), self._sent.get(server, [])
        first = bisect_left(sent, word.at, key=lambda a: a.sent) if word is not None else 0
        if first >= len(sent) or sent[first].sent + SILENT_AFTER > at:
            return None
        return sent[first].sent + SILENT_AFTER

    # --- several -----------------------------------------------------------------------------------------

    def servers(self) -> Collection[str]:
        return self._sights.keys()

    def any_is(self, state: State, at: timedelta, own: bool = False) -> bool:
        """Whether any server is in a state at a moment."""
        return any(self.since(server, state, at, own) is not None for server in self._sights)

    def any_room(self, at: timedelta, zones: Collection[str] | None = None) -> bool:
        """Whether some server, of these zones where they are named, surely has room."""
        if zones is None:
            return any(self.has_room(server, at) for server in self._sights)
        return not self.region_is(zones, State.FULL, at)

    def has_room(self, server: str, at: timedelta) -> bool:
        """Whether a server would surely do, as the node could know: in service, warm, not silent, not full.

        It has not failed lately, and by a report that is no older than FULL_FOR, less what was sent there
        since, more than one slot is free: other nodes send there too, and the last slot may have gone. Who
        has not reported has no sure room.
        """
        if any(self.since(server, state, at) is not None for state in (State.COLD, State.SILENT, State.FULL)):
            return False
        if self.since(server, State.IN_SERVICE, at) is None:
            return False
        if (failed := self._last_failure(server, at)) is not None and at - failed < FAILED_FOR:
            return False
        word = self._last_word(server, at, of_room=True)
        if word is None or word.free is None or at - word.at > FULL_FOR:
            return False
        return word.free - self.sent_between(server, word.at - MICROSECOND, at - MICROSECOND) > 1

    def sent_between(self, server: str, after: timedelta, until: timedelta) -> int:
        """How many attempts went to a server after one moment and up to another."""
        sent = self._sent.get(server, [])
        first, last = (bisect_right(sent, at, key=lambda a: a.sent) for at in (after, until))
        return last - first

    def region_is(self, zones: Collection[str], state: State, at: timedelta) -> bool:
        """Whether no server of these zones may serve for that reason: full (or worse), or none in service."""
        here = [s for s in self.servers() if (sight := self.sight(s, at)) is not None and sight.zone in zones]
        if state is State.FULL:
            return not any(self.has_room(server, at) for server in here)
        return all(self.since(server, state, at) is not None for server in here)


def _at(row: Sight | Own | Report) -> timedelta:
    return row.at


def _run(rows: list[Sight] | list[Own], state: State, at: timedelta) -> timedelta | None:
    """Since when the last rows up to a moment have been of one state."""
    number = bisect_right(rows, at, key=_at)
    if not number or rows[number - 1].state is not state:
        return None
    while number > 1 and rows[number - 2].state is state:
        number -= 1
    return rows[number - 1].at


_FAILED = frozenset({
    api.Status.ERROR, api.Status.CONNECT_FAILED, api.Status.RESET, api.Status.TIMEOUT, api.Status.CANCELLED})
_NO_WORD = frozenset({None, api.Status.TIMEOUT, api.Status.CANCELLED, api.Status.MOOT})


def sights_of(at: timedelta, update: api.RosterUpdate, known: dict[str, Sight]) -> Iterable[Sight]:
    """What one update of the list says, as sights; `known` holds the last of each server and is kept."""
    if update.mode is api.RosterMode.ERROR:
        return
    listed = set()
    for entry in update.entries:
        listed.add(entry.worker)
        state = LISTED[entry.lifecycle]
        launched = timedelta(microseconds=entry.launched_us) if entry.launched_us else None
        known[entry.worker] = Sight(at, entry.worker, entry.zone, entry.kind, state, launched)
        yield known[entry.worker]
    if update.mode is not api.RosterMode.PARTIAL:
        for server, last in list(known.items()):
            if server not in listed and last.state is not State.GONE:
                known[server] = Sight(at, server, last.zone, last.kind, State.GONE)
                yield known[server]
