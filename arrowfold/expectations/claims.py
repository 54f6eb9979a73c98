"""Claims: what an expectation says of the sessions that it is about, and how a history is held to it."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from arrowfold.expectations.history import ZERO, Attempt, Life, State, View

SOON = timedelta(milliseconds=50)
Regions = Mapping[str, frozenset[str]]  # a region's zones


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that a claim spoke of."""

    ok: bool
    at: timedelta
    text: str = ""


@dataclass(frozen=True, slots=True)
class Target:
    """Backend servers by state, region or kind; the parts that are given must all hold."""

    state: State | None = None
    region: str | None = None
    kind: str | None = None
    after: timedelta = ZERO  # only once the state has lasted longer
    own: bool = False  # the state counts from what the server did, not from what the node was told

    def holds(self, view: View, regions: Regions, server: str, at: timedelta) -> str | None:
        """Why the server is one of these at a moment; None if it is not."""
        sight = view.sight(server, at)
        zone, kind = (sight.zone, sight.kind) if sight is not None else ("", "")
        if self.region is not None and zone not in regions[self.region]:
            return None
        if self.kind is not None and kind != self.kind:
            return None
        if self.state is None:
            return f"in {zone or 'no zone'}, of kind {kind or 'none'}"
        since = view.since(server, self.state, at, self.own)
        if since is None or (self.after and at - since <= self.after):
            return None
        whose = "by itself" if self.own else "as told"
        return f"in {zone or 'no zone'}, {self.state.value} {whose} for {seconds(at - since)}"

    def at_hand(self, view: View, at: timedelta) -> bool:
        """Whether some server is in the state now: else not going there says nothing."""
        return self.state is None or view.any_is(self.state, at, self.own)

    def could_hold(self, regions: Regions, zone: str, kind: str) -> bool:
        """Whether a server of this zone and kind can be one of these at all."""
        return (self.region is None or zone in regions[self.region]) and self.kind in (None, kind)


class Claim(Protocol):
    """What is claimed of one session; `attempts` are those that the expectation is about."""

    def judge(
            self, view: View, regions: Regions, life: Life, attempts: Sequence[Attempt]) -> Iterator[Finding]:
        """What this session says for or against it; nothing where the claim does not apply."""


@dataclass(frozen=True, slots=True)
class Reaches:
    """Attempts go only to servers of a target, or never to one."""

    target: Target
    never: bool

    def judge(
            self, view: View, regions: Regions, life: Life, attempts: Sequence[Attempt]) -> Iterator[Finding]:
        for attempt in attempts:
            if self.never and not self.target.at_hand(view, attempt.sent):
                continue
            why = self.target.holds(view, regions, attempt.server, attempt.sent)
            text = ""
            if (why is not None) is self.never:
                text = f"{_sent(life, attempt)}, {why or _where(view, attempt)}"
            yield Finding(not text, attempt.sent, text)


@dataclass(frozen=True, slots=True)
class Prefers:
    """While a region of the list has room, the first attempts go to the first such region.

    `share` of them must; the rest allows for figures that run behind.
    """

    order: tuple[str, ...]
    share: float = 1.0

    def judge(
            self, view: View, regions: Regions, life: Life, attempts: Sequence[Attempt]) -> Iterator[Finding]:
        for attempt in attempts:
            owed = next((name for name in self.order
                         if not view.region_is(regions[name], State.FULL, attempt.sent)), None)
            if owed is None or attempt.number:
                continue
            sight = view.sight(attempt.server, attempt.sent)
            before = self.order[:self.order.index(owed) + 1]  # an earlier one that took it after all will do
            ok = sight is not None and any(sight.zone in regions[name] for name in before)
            yield Finding(ok, attempt.sent, "" if ok else
                          f"{_sent(life, attempt)}, {_where(view, attempt)}, while {owed} had room")


@dataclass(frozen=True, slots=True)
class GoesOver:
    """First attempts leave a region only when all its servers are in a state: full, draining, gone, …

    `share` of those that leave it must have cause; the rest allows for figures that run behind.
    """

    region: str
    state: State
    share: float = 1.0

    def judge(
            self, view: View, regions: Regions, life: Life, attempts: Sequence[Attempt]) -> Iterator[Finding]:
        for attempt in attempts:
            sight = view.sight(attempt.server, attempt.sent)
            if attempt.number or sight is None or sight.zone in regions[self.region]:
                continue
            ok = view.region_is(regions[self.region], self.state, attempt.sent)
            yield Finding(ok, attempt.sent, "" if ok else
                          f"{_sent(life, attempt)}, in {sight.zone}, while {self.region} "
                          f"was not {self.state.value}")


@dataclass(frozen=True, slots=True)
class AtMostAttempts:
    """A session is dispatched at most so often."""

    most: int

    def judge(
            self, view: View, regions: Regions, life: Life, attempts: Sequence[Attempt]) -> Iterator[Finding]:
        if attempts:
            count = len(life.attempts)
            yield Finding(count <= self.most, life.attempts[-1].sent, "" if count <= self.most else
                          f"{life.id} was dispatched {count} times")


@dataclass(frozen=True, slots=True)
class NotRepeated:
    """Once an attempt may have run, no other is begun."""

    def judge(
            self, view: View, regions: Regions, life: Life, attempts: Sequence[Attempt]) -> Iterator[Finding]:
        for number, attempt in enumerate(life.attempts):
            if attempt not in attempts:
                continue
            ran = next((a for a in life.attempts[:number] if _may_run_at(a, attempt.sent)), None)
            yield Finding(ran is None, attempt.sent, "" if ran is None else
                          f"{_sent(life, attempt)}, though attempt {ran.number} at {ran.server} may have run")


@dataclass(frozen=True, slots=True)
class Repeated:
    """A session whose first attempt was not served, or is silent, is sent again, given time and room."""

    within: timedelta
    of_silence: bool = False  # counted from an attempt that has not even been told to have started

    def judge(
            self, view: View, regions: Regions, life: Life, attempts: Sequence[Attempt]) -> Iterator[Finding]:
        if not attempts or attempts[0].number or life.verdict == "left":
            return
        first = attempts[0]
        since = self._since(first)
        if since is None or since + self.within > life.deadline:
            return
        until = since + self.within
        if not (view.any_room(since) and view.any_room(since + SOON)):
            return  # nowhere to go, or not for long
        again = any(a.sent <= until for a in life.attempts[1:])
        status = first.status.name.lower() if first.status is not None else "out"
        how = "was silent" if self.of_silence else f"ended {status}"
        yield Finding(again, until, "" if again else
                      f"{life.id}: attempt 0 at {first.server} {how} at {seconds(since)}, and no other "
                      f"followed within {seconds(self.within)}")

    def _since(self, first: Attempt) -> timedelta | None:
        """When it was clear that another is needed; None if it never was."""
        if self.of_silence:
            given_up = first.status is not None and first.status.name in ("CANCELLED", "TIMEOUT")
            words = [t for t in (first.started, None if given_up else first.ended) if t is not None]
            return first.sent if all(t > first.sent + self.within for t in words) else None
        if first.status is None or first.status.name in ("OK", "CANCELLED"):
            return None
        return first.ended


@dataclass(frozen=True, slots=True)
class OneCopy:
    """Never two attempts of a session out at once."""

    def judge(
            self, view: View, regions: Regions, life: Life, attempts: Sequence[Attempt]) -> Iterator[Finding]:
        for attempt in attempts:
            other = next((a for a in life.attempts if a.number < attempt.number
                          and (a.ended is None or a.ended > attempt.sent)), None)
            yield Finding(other is None, attempt.sent, "" if other is None else
                          f"{_sent(life, attempt)}, while attempt {other.number} was out at {other.server}")


@dataclass(frozen=True, slots=True)
class Denied:
    """The session is denied unsent, with or without advice on when to come back."""

    advice: bool | None = None
    at_least: timedelta | None = None
    at_most: timedelta | None = None

    def judge(
            self, view: View, regions: Regions, life: Life, attempts: Sequence[Attempt]) -> Iterator[Finding]:
        if life.verdict == "left":
            return
        why, told = "", life.retry_after
        if life.attempts:
            why = f"was dispatched to {life.attempts[0].server}"
        elif life.verdict != "denied":
            why = f"was answered {life.verdict}"
        elif self.advice is not None and (told is not None) is not self.advice:
            why = "was denied with advice" if told is not None else "was denied without advice"
        elif self.at_least is not None and (told is None or told < self.at_least):
            why = f"was told to come back after {seconds(told) if told is not None else 'nothing'}"
        elif self.at_most is not None and told is not None and told > self.at_most:
            why = f"was told to come back after {seconds(told)}"
        yield Finding(not why, life.answered or life.deadline, f"{life.id} {why}" if why else "")


@dataclass(frozen=True, slots=True)
class Answered:
    """One final answer within so long of an event, and of that kind where one is named."""

    within: timedelta
    of: str  # arrival, deadline, start, end
    verdict: str | None = None

    def judge(
            self, view: View, regions: Regions, life: Life, attempts: Sequence[Attempt]) -> Iterator[Finding]:
        event = self._event(life)
        if event is None or life.verdict == "left":
            return
        why = ""
        if life.answered is None:
            why = "was never answered"
        elif life.answered - event > self.within:
            why = f"was answered {seconds(life.answered - event)} after its {self.of}"
        elif self.verdict is not None and life.verdict != self.verdict:
            why = f"was answered {life.verdict}"
        yield Finding(not why, life.answered or life.deadline, f"{life.id} {why}" if why else "")

    def _event(self, life: Life) -> timedelta | None:
        if self.of == "arrival":
            return life.arrived
        if self.of == "deadline":
            return life.deadline
        if self.of == "start":
            return next((a.started for a in life.attempts if a.started is not None), None)
        return next((a.ended for a in life.attempts
                     if a.ended is not None and a.status is not None and a.status.name == "OK"), None)


@dataclass(frozen=True, slots=True)
class Served:
    """The session is served, if from its arrival to its answer some server, of a region where one is named,
    had room, and no attempt of it failed."""

    region: str | None = None

    def judge(
            self, view: View, regions: Regions, life: Life, attempts: Sequence[Attempt]) -> Iterator[Finding]:
        if life.answered is None or life.verdict == "left" or any(
                a.status is not None and a.status.name not in ("OK", "FULL") for a in life.attempts):
            return
        zones = regions[self.region] if self.region is not None else None
        steps = [life.arrived + (life.answered - life.arrived) * part / 4 for part in range(5)]
        if not all(view.any_room(at, zones) for at in steps):
            return
        ok = life.verdict == "served"
        yield Finding(ok, life.answered, "" if ok else
                      f"{life.id} was answered {life.verdict} after {seconds(life.answered - life.arrived)}, "
                      f"while {self.region or 'some server'} had room")


@dataclass(frozen=True, slots=True)
class AtMostAt:
    """In any time so long, one server in that state is reached at most so often, by all sessions together."""

    most: int
    per: timedelta
    target: Target

    def judge(
            self, view: View, regions: Regions, life: Life, attempts: Sequence[Attempt]) -> Iterator[Finding]:
        for attempt in attempts:
            if not self.target.at_hand(view, attempt.sent):
                continue
            if self.target.holds(view, regions, attempt.server, attempt.sent) is None:
                yield Finding(True, attempt.sent)
                continue
            begin = attempt.sent - self.per
            if self.target.state is not None:  # what it got before it came into the state does not count
                since = view.since(attempt.server, self.target.state, attempt.sent, self.target.own)
                begin = max(begin, since) if since is not None else begin
            count = view.sent_between(attempt.server, begin, attempt.sent)
            yield Finding(count <= self.most, attempt.sent, "" if count <= self.most else
                          f"{_sent(life, attempt)}: {count} within {seconds(self.per)}")


def seconds(span: timedelta) -> str:
    return f"{span.total_seconds():.3f} s"


def _sent(life: Life, attempt: Attempt) -> str:
    return f"attempt {attempt.number} of {life.id} went to {attempt.server} at {seconds(attempt.sent)}"


def _where(view: View, attempt: Attempt) -> str:
    sight = view.sight(attempt.server, attempt.sent)
    return f"in {sight.zone}, of kind {sight.kind}" if sight is not None else "which no list has named"


def _may_run_at(attempt: Attempt, at: timedelta) -> bool:
    """Whether an attempt, as far as it was known at a moment, may have run."""
    return attempt.ended is None or attempt.ended > at or attempt.may_have_run
