"""Claims: the conditions that an expectation puts on sessions, and their evaluation over a history."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from arrowfold.expectations.history import ZERO, Attempt, SessionRecord, State, View

CAPACITY_DURATION = timedelta(milliseconds=50)  # free capacity must last this long to count
Regions = Mapping[str, frozenset[str]]  # zones by region


@dataclass(frozen=True, slots=True)
class Finding:
    """Result of one evaluation of a claim; `text` describes the violation, empty if there is none."""

    ok: bool
    at: timedelta
    text: str = ""


@dataclass(frozen=True, slots=True)
class Target:
    """Selects backend servers by state, region and kind; all given conditions must hold."""

    state: State | None = None
    region: str | None = None
    kind: str | None = None
    after: timedelta = ZERO  # matches only after the state has lasted longer than this
    own: bool = False  # count the state from the server's own event instead of the node's list

    def describe_match(self, view: View, regions: Regions, server: str, at: timedelta) -> str | None:
        """Returns a description of how the server matches at a given time, or None if it does not match."""
        listed = view.listed_state(server, at)
        zone, kind = (listed.zone, listed.kind) if listed is not None else ("", "")
        if self.region is not None and zone not in regions[self.region]:
            return None
        if self.kind is not None and kind != self.kind:
            return None
        if self.state is None:
            return f"in {zone or 'no zone'}, of kind {kind or 'none'}"
        since = view.since(server, self.state, at, self.own)
        if since is None or (self.after and at - since <= self.after):
            return None
        source = "by itself" if self.own else "as told"
        return f"in {zone or 'no zone'}, {self.state.value} {source} for {seconds(at - since)}"

    def is_any_in_state(self, view: View, at: timedelta) -> bool:
        """Whether any server is in the state; if none is, avoiding such servers proves nothing."""
        return self.state is None or view.any_in_state(self.state, at, self.own)

    def could_match(self, regions: Regions, zone: str, kind: str) -> bool:
        """Whether a server of this zone and kind can match, in whatever state."""
        return (self.region is None or zone in regions[self.region]) and self.kind in (None, kind)


class Claim(Protocol):
    """A condition on one session; `attempts` are those selected by the expectation's `When`."""

    def evaluate(
            self, view: View, regions: Regions, session: SessionRecord, attempts: Sequence[Attempt],
    ) -> Iterator[Finding]:
        """Yields a finding for each evaluation; none if the claim does not apply to this session."""


@dataclass(frozen=True, slots=True)
class Reaches:
    """Attempts go only to servers that match a target or, with `never`, to none of them."""

    target: Target
    never: bool

    def evaluate(
            self, view: View, regions: Regions, session: SessionRecord, attempts: Sequence[Attempt],
    ) -> Iterator[Finding]:
        for attempt in attempts:
            if self.never and not self.target.is_any_in_state(view, attempt.sent):
                continue
            reason = self.target.describe_match(view, regions, attempt.server, attempt.sent)
            text = ""
            if (reason is not None) is self.never:
                text = f"{_describe_attempt(session, attempt)}, {reason or _describe_server(view, attempt)}"
            yield Finding(not text, attempt.sent, text)


@dataclass(frozen=True, slots=True)
class Prefers:
    """First attempts go to the first region in `order` that has free capacity.

    At least `share` of them must; the rest allows for load reports that are out of date.
    """

    order: tuple[str, ...]
    share: float = 1.0

    def evaluate(
            self, view: View, regions: Regions, session: SessionRecord, attempts: Sequence[Attempt],
    ) -> Iterator[Finding]:
        for attempt in attempts:
            expected = next((name for name in self.order
                             if not view.all_in_state(regions[name], State.FULL, attempt.sent)), None)
            if expected is None or attempt.number:
                continue
            listed = view.listed_state(attempt.server, attempt.sent)
            # An earlier region that accepted the attempt after all is fine too.
            allowed = self.order[:self.order.index(expected) + 1]
            ok = listed is not None and any(listed.zone in regions[name] for name in allowed)
            yield Finding(ok, attempt.sent, "" if ok else
                          f"{_describe_attempt(session, attempt)}, {_describe_server(view, attempt)}, "
                          f"while {expected} had room")


@dataclass(frozen=True, slots=True)
class GoesOver:
    """First attempts leave a region only when all its servers are in a state: full, draining, gone, …

    At least `share` of the attempts outside the region must meet this; the rest allows for load reports
    that are out of date.
    """

    region: str
    state: State
    share: float = 1.0

    def evaluate(
            self, view: View, regions: Regions, session: SessionRecord, attempts: Sequence[Attempt],
    ) -> Iterator[Finding]:
        for attempt in attempts:
            listed = view.listed_state(attempt.server, attempt.sent)
            if attempt.number or listed is None or listed.zone in regions[self.region]:
                continue
            ok = view.all_in_state(regions[self.region], self.state, attempt.sent)
            yield Finding(ok, attempt.sent, "" if ok else
                          f"{_describe_attempt(session, attempt)}, in {listed.zone}, while {self.region} "
                          f"was not {self.state.value}")


@dataclass(frozen=True, slots=True)
class AtMostAttempts:
    """A session has at most `most` attempts."""

    most: int

    def evaluate(
            self, view: View, regions: Regions, session: SessionRecord, attempts: Sequence[Attempt],
    ) -> Iterator[Finding]:
        if attempts:
            count = len(session.attempts)
            yield Finding(count <= self.most, session.attempts[-1].sent, "" if count <= self.most else
                          f"{session.id} was dispatched {count} times")


@dataclass(frozen=True, slots=True)
class NotRepeated:
    """No attempt starts once an earlier one may have run."""

    def evaluate(
            self, view: View, regions: Regions, session: SessionRecord, attempts: Sequence[Attempt],
    ) -> Iterator[Finding]:
        for number, attempt in enumerate(session.attempts):
            if attempt not in attempts:
                continue
            ran = next((a for a in session.attempts[:number] if _may_have_run_by(a, attempt.sent)), None)
            yield Finding(ran is None, attempt.sent, "" if ran is None else
                          f"{_describe_attempt(session, attempt)}, though attempt {ran.number} at "
                          f"{ran.server} may have run")


@dataclass(frozen=True, slots=True)
class Repeated:
    """A session whose first attempt was not served, or is not answered, is retried within `within`.

    Applies only if the deadline allows it and some server has free capacity.
    """

    within: timedelta
    of_silence: bool = False  # counted from the sending of an attempt that is not known to have started

    def evaluate(
            self, view: View, regions: Regions, session: SessionRecord, attempts: Sequence[Attempt],
    ) -> Iterator[Finding]:
        if not attempts or attempts[0].number or session.verdict == "left":
            return
        first = attempts[0]
        since = self._since(first)
        if since is None or since + self.within > session.deadline:
            return
        until = since + self.within
        if not (view.has_any_capacity(since) and view.has_any_capacity(since + CAPACITY_DURATION)):
            return  # no server had free capacity for long enough
        was_retried = any(a.sent <= until for a in session.attempts[1:])
        status = first.status.name.lower() if first.status is not None else "out"
        how = "was silent" if self.of_silence else f"ended {status}"
        yield Finding(was_retried, until, "" if was_retried else
                      f"{session.id}: attempt 0 at {first.server} {how} at {seconds(since)}, and no other "
                      f"followed within {seconds(self.within)}")

    def _since(self, first: Attempt) -> timedelta | None:
        """Returns the time at which a retry became necessary, or None."""
        if self.of_silence:
            given_up = first.status is not None and first.status.name in ("CANCELLED", "TIMEOUT")
            answers = [t for t in (first.started, None if given_up else first.ended) if t is not None]
            return first.sent if all(t > first.sent + self.within for t in answers) else None
        if first.status is None or first.status.name in ("OK", "CANCELLED"):
            return None
        return first.ended


@dataclass(frozen=True, slots=True)
class OneCopy:
    """A session never has two outstanding attempts."""

    def evaluate(
            self, view: View, regions: Regions, session: SessionRecord, attempts: Sequence[Attempt],
    ) -> Iterator[Finding]:
        for attempt in attempts:
            other = next((a for a in session.attempts if a.number < attempt.number
                          and (a.ended is None or a.ended > attempt.sent)), None)
            yield Finding(other is None, attempt.sent, "" if other is None else
                          f"{_describe_attempt(session, attempt)}, while attempt {other.number} was out at "
                          f"{other.server}")


@dataclass(frozen=True, slots=True)
class Denied:
    """The session is denied without an attempt, optionally with a retry-after between two bounds.

    `advice` is whether a retry-after must be present; None accepts both.
    """

    advice: bool | None = None
    at_least: timedelta | None = None
    at_most: timedelta | None = None

    def evaluate(
            self, view: View, regions: Regions, session: SessionRecord, attempts: Sequence[Attempt],
    ) -> Iterator[Finding]:
        if session.verdict == "left":
            return
        reason, advised = "", session.retry_after
        if session.attempts:
            reason = f"was dispatched to {session.attempts[0].server}"
        elif session.verdict != "denied":
            reason = f"was answered {session.verdict}"
        elif self.advice is not None and (advised is not None) is not self.advice:
            reason = "was denied with advice" if advised is not None else "was denied without advice"
        elif self.at_least is not None and (advised is None or advised < self.at_least):
            reason = f"was told to come back after {seconds(advised) if advised is not None else 'nothing'}"
        elif self.at_most is not None and advised is not None and advised > self.at_most:
            reason = f"was told to come back after {seconds(advised)}"
        yield Finding(not reason, session.answered or session.deadline,
                      f"{session.id} {reason}" if reason else "")


@dataclass(frozen=True, slots=True)
class Answered:
    """The session is answered within `within` of an event, with `verdict` if it is given."""

    within: timedelta
    of: str  # arrival, deadline, start, end
    verdict: str | None = None

    def evaluate(
            self, view: View, regions: Regions, session: SessionRecord, attempts: Sequence[Attempt],
    ) -> Iterator[Finding]:
        event = self._event(session)
        if event is None or session.verdict == "left":
            return
        reason = ""
        if session.answered is None:
            reason = "was never answered"
        elif session.answered - event > self.within:
            reason = f"was answered {seconds(session.answered - event)} after its {self.of}"
        elif self.verdict is not None and session.verdict != self.verdict:
            reason = f"was answered {session.verdict}"
        yield Finding(not reason, session.answered or session.deadline,
                      f"{session.id} {reason}" if reason else "")

    def _event(self, session: SessionRecord) -> timedelta | None:
        if self.of == "arrival":
            return session.arrived
        if self.of == "deadline":
            return session.deadline
        if self.of == "start":
            return next((a.started for a in session.attempts if a.started is not None), None)
        return next((a.ended for a in session.attempts
                     if a.ended is not None and a.status is not None and a.status.name == "OK"), None)


@dataclass(frozen=True, slots=True)
class Served:
    """The session is served if some server had free capacity from its arrival to its answer.

    Only servers of `region` count if it is given. Does not apply to a session with an attempt that
    failed; a refusal by a full server is no failure.
    """

    region: str | None = None

    def evaluate(
            self, view: View, regions: Regions, session: SessionRecord, attempts: Sequence[Attempt],
    ) -> Iterator[Finding]:
        if session.answered is None or session.verdict == "left" or any(
                a.status is not None and a.status.name not in ("OK", "FULL") for a in session.attempts):
            return
        zones = regions[self.region] if self.region is not None else None
        steps = [session.arrived + (session.answered - session.arrived) * part / 4 for part in range(5)]
        if not all(view.has_any_capacity(at, zones) for at in steps):
            return
        ok = session.verdict == "served"
        yield Finding(ok, session.answered, "" if ok else
                      f"{session.id} was answered {session.verdict} after "
                      f"{seconds(session.answered - session.arrived)}, "
                      f"while {self.region or 'some server'} had room")


@dataclass(frozen=True, slots=True)
class AtMostAt:
    """A server that matches the target gets at most `most` attempts of all sessions in any period `per`."""

    most: int
    per: timedelta
    target: Target

    def evaluate(
            self, view: View, regions: Regions, session: SessionRecord, attempts: Sequence[Attempt],
    ) -> Iterator[Finding]:
        for attempt in attempts:
            if not self.target.is_any_in_state(view, attempt.sent):
                continue
            if self.target.describe_match(view, regions, attempt.server, attempt.sent) is None:
                yield Finding(True, attempt.sent)
                continue
            begin = attempt.sent - self.per
            if self.target.state is not None:  # attempts before the server entered the state do not count
                since = view.since(attempt.server, self.target.state, attempt.sent, self.target.own)
                begin = max(begin, since) if since is not None else begin
            count = view.count_sent(attempt.server, begin, attempt.sent)
            yield Finding(count <= self.most, attempt.sent, "" if count <= self.most else
                          f"{_describe_attempt(session, attempt)}: {count} within {seconds(self.per)}")


def seconds(span: timedelta) -> str:
    """Formats a time span in seconds with three decimals."""
    return f"{span.total_seconds():.3f} s"


def _describe_attempt(session: SessionRecord, attempt: Attempt) -> str:
    return f"attempt {attempt.number} of {session.id} went to {attempt.server} at {seconds(attempt.sent)}"


def _describe_server(view: View, attempt: Attempt) -> str:
    listed = view.listed_state(attempt.server, attempt.sent)
    return f"in {listed.zone}, of kind {listed.kind}" if listed is not None else "which no list has named"


def _may_have_run_by(attempt: Attempt, at: timedelta) -> bool:
    """Whether an attempt may have run, as far as the node knew at a given time."""
    return attempt.ended is None or attempt.ended > at or attempt.may_have_run
