"""Holds what clients and workers saw against what every request is owed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from arrowfold.standins.local_system import GRACE_S
from benchmarks.soak.clients import SentRequest, expected_body
from benchmarks.soak.faults import Strike

REFUSALS = (408, 421, 429, 503)
LATE_SEND_S = 3.0  # a request sent later than this after the SIGTERM is never cut
CLOSE_SLACK_S = 0.2  # a request that crosses a close is not sent on, and has its close by then
DEADLINE_EARLY_S = 0.05  # X-Deadline-Ms is passed on in whole milliseconds, and clocks are read apart
TROUBLE_AFTER_S = 1.0  # after a process stood still
MOST_SHOWN = 20


@dataclass
class Verdict:
    """What was found; `faults` are broken promises, `counts` all requests by what came of them."""

    counts: Counter[str] = field(default_factory=Counter)
    late_sends: int = 0  # requests that came later than LATE_SEND_S after their process was told to end
    faults: list[str] = field(default_factory=list)


@dataclass
class Judge:
    """`holds_times`: whether promises that are about times are held too; a busy machine breaks those."""

    strikes: list[Strike]
    run_counts: Counter[str]
    holds_times: bool
    verdict: Verdict = field(default_factory=Verdict)

    def judge(self, requests: list[SentRequest]) -> Verdict:
        """Look at every request."""
        for request in requests:
            self.verdict.counts[self._outcome(request)] += 1
            since_s = self._since_termination(request)
            self.verdict.late_sends += since_s is not None and since_s > LATE_SEND_S
        return self.verdict

    def _fault(self, request: SentRequest, what: str) -> str:
        ran = self.run_counts[request.attempt]
        since = self._since_termination(request)
        after = "" if since is None else f", sent {since:.3f} s after SIGTERM"
        self.verdict.faults.append(
            f"{what}: {request.attempt} ({request.kind.name}) at {request.edge}"
            f" ({request.process}){after}, status {request.status}, ran {ran} times"
        )
        return what

    def _outcome(self, request: SentRequest) -> str:
        ran = self.run_counts[request.attempt]
        if ran > 1 and not request.kind.repeatable:
            return self._fault(request, "TWICE")
        if request.left:
            return "left"
        if request.forgotten:
            return "held by a stopped process" if self._struck(request) else self._fault(request, "FORGOTTEN")
        if not request.complete:
            return self._unanswered(request, ran)
        if request.status == 200:
            whole = request.sealed and request.body == expected_body(request)
            return "served" if whole else self._fault(request, "MIXED")
        if request.status in REFUSALS and ran and not request.kind.repeatable:
            return self._fault(request, "REFUSED")
        return f"answered {request.status}"

    def _unanswered(self, request: SentRequest, ran: int) -> str:
        """The connection was closed without a complete answer."""
        if self._struck(request):
            return "cut by a kill or a stop"
        if request.sent_s is None:
            return "closed before it was sent"
        if not ran and request.status is None:
            assert request.ended_s is not None
            late = self.holds_times and request.ended_s - request.sent_s > CLOSE_SLACK_S
            return self._fault(request, "LOST unrun") if late else "crossed a close"
        if self._is_past_deadline(request):
            return "cut at its deadline"
        since = self._since_termination(request)
        if since is not None and since <= LATE_SEND_S and self._ran_out(request):
            return "cut at the end of the grace time"
        return self._fault(request, "LOST")

    def _is_past_deadline(self, request: SentRequest) -> bool:
        """An edge counts from when the head came."""
        assert request.ended_s is not None
        return request.ended_s - request.began_s >= request.deadline_s - DEADLINE_EARLY_S

    def _since_termination(self, request: SentRequest) -> float | None:
        """How long after its process was told to end it was sent whole."""
        told = [
            strike.at_s
            for strike in self.strikes
            if strike.kind == "terminate" and strike.process == request.process
        ]
        if not told or request.sent_s is None:
            return None
        return request.sent_s - told[0]

    def _ran_out(self, request: SentRequest) -> bool:
        """Whether it ended in the last part of its process's grace time."""
        assert request.ended_s is not None
        return any(
            strike.kind == "terminate"
            and strike.process == request.process
            and request.ended_s - strike.at_s >= GRACE_S * 5 / 6
            for strike in self.strikes
        )

    def _struck(self, request: SentRequest) -> bool:
        """Whether its process was killed, or stood still, while it was under way."""
        assert request.ended_s is not None
        return any(
            strike.kind in ("kill", "stop")
            and strike.process == request.process
            and strike.at_s <= request.ended_s
            and (strike.ended_s is None or strike.ended_s + TROUBLE_AFTER_S >= request.began_s)
            for strike in self.strikes
        )
