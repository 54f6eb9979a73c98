"""Expectations: a claim with the sessions that it covers, and the evaluation of all over a history."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from arrowfold.expectations.claims import Claim, Finding, GoesOver, Prefers, Regions
from arrowfold.expectations.history import Attempt, History, SessionRecord, State, View
from arrowfold.routes.rules import Match
from arrowfold.routes.table import holds


@dataclass(frozen=True, slots=True)
class When:
    """Selects sessions by a rule's match, and attempts by server states at the time of sending."""

    match: Match = field(default_factory=Match)
    server: frozenset[State] = frozenset()  # the selected server is in all of these
    region: frozenset[State] = frozenset()  # every server of its zone is in all of these
    # The node's server list lags behind the server's own events by less than this; None: any lag.
    lag_under: timedelta | None = None

    @property
    def has_attempt_conditions(self) -> bool:
        """Whether any condition on attempts is set."""
        return bool(self.server or self.region or self.lag_under is not None)

    def attempts(self, view: View, session: SessionRecord) -> list[Attempt]:
        """Returns the selected attempts of a session."""
        if not self.has_attempt_conditions:
            return session.attempts
        return [attempt for attempt in session.attempts if self._holds(view, attempt)]

    def _holds(self, view: View, attempt: Attempt) -> bool:
        server, at = attempt.server, attempt.sent
        if any(view.since(server, state, at) is None for state in self.server):
            return False
        if self.region:
            listed = view.listed_state(server, at)
            zone = {listed.zone} if listed is not None else set()
            if not all(view.all_in_state(zone, state, at) for state in self.region):
                return False
        return self.lag_under is None or view.lag(server, at) < self.lag_under


@dataclass(frozen=True, slots=True)
class Expectation:
    """One expectation: its name, its path in the document, the sessions that it covers, and its claim."""

    name: str
    path: str
    when: When
    claim: Claim


@dataclass(slots=True)
class Tally:
    """Counts the findings of one expectation over one history."""

    good: int = 0
    bad: list[Finding] = field(default_factory=list)

    @property
    def applied(self) -> int:
        """Number of all findings; zero if the expectation did not apply."""
        return self.good + len(self.bad)


def evaluate(expectation: Expectation, view: View, regions: Regions) -> Tally:
    """Evaluates one expectation over a history."""
    tally, when = Tally(), expectation.when
    for session in view.history.session_records:
        if not holds(when.match, session.subject):
            continue
        attempts = when.attempts(view, session)
        if when.has_attempt_conditions and not attempts:
            continue
        for finding in expectation.claim.evaluate(view, regions, session, attempts):
            if finding.ok:
                tally.good += 1
            else:
                tally.bad.append(finding)
    return tally


def required_share(claim: Claim) -> float:
    """Returns the share of findings that must be good: 1 unless the claim permits less."""
    return claim.share if isinstance(claim, Prefers | GoesOver) else 1.0


def evaluate_all(history: History, expectations: Sequence[Expectation], regions: Regions) -> list[Tally]:
    """Evaluates all expectations over a history, in their order."""
    view = View(history)
    return [evaluate(expectation, view, regions) for expectation in expectations]
