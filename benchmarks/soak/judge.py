"""Checks the observations of clients and workers against the guarantees for each request."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from arrowfold.standins.local_system import GRACE_S
from arrowfold.standins.trial_configuration import CHAT, trial_route
from benchmarks.soak.answers import AnswerRecord
from benchmarks.soak.clients import COMPLETE_STREAM, SentRequest
from benchmarks.soak.faults import FaultEvent
from benchmarks.soak.stalls import StallMonitor

ROUTE_TIMEOUT_S = trial_route("chat", CHAT, "streaming")["timeoutMs"] / 1000
REFUSALS = (408, 421, 429, 503)
LATE_SEND_S = 3.0  # a request sent later than this after SIGTERM must not be aborted
CLOSE_SLACK_S = 0.2  # a request sent while its connection closes sees the close within this time
DEADLINE_EARLY_S = 0.05  # X-Deadline-Ms has whole milliseconds, and clocks are read at different times
STOP_RECOVERY_S = 1.0  # after a stopped process has been continued
MAX_FAULTS_SHOWN = 20


@dataclass
class CheckResult:
    """The result of the checks: `faults` are violated guarantees, `counts` the requests by outcome."""

    counts: Counter[str] = field(default_factory=Counter)
    late_sends: int = 0  # requests sent later than LATE_SEND_S after the SIGTERM of their process
    faults: list[str] = field(default_factory=list)


@dataclass
class RequestChecker:
    """Checks requests against the injected faults and the runs that workers counted.

    `checks_timing` also checks guarantees about durations, which a busy machine can violate.
    """

    events: list[FaultEvent]
    run_counts: Counter[str]
    answers: AnswerRecord
    checks_timing: bool
    stalls: StallMonitor = field(default_factory=StallMonitor)
    result: CheckResult = field(default_factory=CheckResult)

    def check(self, requests: list[SentRequest]) -> CheckResult:
        """Checks every request and returns the result."""
        for request in requests:
            self.result.counts[self._outcome(request)] += 1
            since_s = self._since_termination(request)
            self.result.late_sends += since_s is not None and since_s > LATE_SEND_S
        changed = self.answers.changed_bodies
        self.result.faults += [f"UNASKED: {attempt} ran with another body" for attempt in changed]
        return self.result

    def _record_fault(self, request: SentRequest, what: str) -> str:
        ran = self.run_counts[request.attempt]
        since = self._since_termination(request)
        after = "" if since is None else f", sent {since:.3f} s after SIGTERM"
        self.result.faults.append(
            f"{what}: {request.attempt} ({request.kind.name}) at {request.edge}"
            f" ({request.process}){after}, status {request.status}, ran {ran} times{self._times(request)}"
        )
        return what

    def _times(self, request: SentRequest) -> str:
        """Returns when the request ended after its send, and how long the clients stood still in it."""
        if request.sent_s is None or request.ended_s is None:
            return ""
        stalled_s = self.stalls.stalled_s(request.sent_s, request.ended_s)
        return f", ended {request.ended_s - request.sent_s:.3f} s after, clients stalled {stalled_s:.3f} s"

    def _outcome(self, request: SentRequest) -> str:
        ran = self.run_counts[request.attempt]
        if ran > 1 and not request.kind.repeatable:
            return self._record_fault(request, "TWICE")
        if request.closed_by_client:
            return "left"
        if request.is_unanswered:
            return (
                "held by a stopped process"
                if self._was_hit(request)
                else self._record_fault(request, "FORGOTTEN")
            )
        if not request.complete:
            return self._closed_outcome(request, ran)
        mixed = self._mixed_answer(request)
        if mixed is not None:
            return self._record_fault(request, f"MIXED ({mixed})")
        if request.status == 200:
            return "served"
        if request.status in REFUSALS and ran and not request.kind.repeatable:
            return self._record_fault(request, "REFUSED")
        return f"answered {request.status}"

    def _mixed_answer(self, request: SentRequest) -> str | None:
        """Returns why a complete response is not the first answer of a worker to this request, or None."""
        if request.seal is None:
            return "a success without a seal" if request.status == 200 else None
        run = self.answers.by_seal.get(request.seal)
        if run is None or run.attempt != request.attempt:
            return "the answer to another request"
        if request.status != run.status:
            return f"{request.status} where the worker answered {run.status}"
        expected = COMPLETE_STREAM if run.body is None else run.body
        return None if request.body == expected else "not the whole body"

    def _closed_outcome(self, request: SentRequest, ran: int) -> str:
        """Returns the outcome of a request whose connection was closed without a complete response."""
        if self._was_hit(request):
            return "cut by a kill or a stop"
        if request.sent_s is None:
            return "closed before it was sent"
        if not ran and request.status is None:
            assert request.ended_s is not None
            late = self.checks_timing and request.ended_s - request.sent_s > CLOSE_SLACK_S
            return self._record_fault(request, "LOST unrun") if late else "crossed a close"
        if self._is_past_deadline(request):
            return "cut at its deadline"
        since = self._since_termination(request)
        if since is not None and since <= LATE_SEND_S and self._ended_late_in_grace(request):
            return "cut at the end of the grace time"
        return self._record_fault(request, "LOST")

    def _is_past_deadline(self, request: SentRequest) -> bool:
        """Returns whether the deadline or the route's timeout had passed.

        An edge counts both from the arrival of the head.
        """
        assert request.ended_s is not None
        limit_s = min(request.deadline_s, ROUTE_TIMEOUT_S)
        return request.ended_s - request.began_s >= limit_s - DEADLINE_EARLY_S

    def _since_termination(self, request: SentRequest) -> float | None:
        """Returns the seconds from the SIGTERM of its process until the request was sent completely."""
        termination_times_s = [
            event.at_s
            for event in self.events
            if event.kind == "terminate" and event.process == request.process
        ]
        if not termination_times_s or request.sent_s is None:
            return None
        return request.sent_s - termination_times_s[0]

    def _ended_late_in_grace(self, request: SentRequest) -> bool:
        """Returns whether the request ended in the last sixth of its process's grace time or later."""
        assert request.ended_s is not None
        return any(
            event.kind == "terminate"
            and event.process == request.process
            and request.ended_s - event.at_s >= GRACE_S * 5 / 6
            for event in self.events
        )

    def _was_hit(self, request: SentRequest) -> bool:
        """Returns whether its process was killed or stopped while the request was in flight."""
        assert request.ended_s is not None
        return any(
            event.kind in ("kill", "stop")
            and event.process == request.process
            and event.at_s <= request.ended_s
            and (event.ended_s is None or event.ended_s + STOP_RECOVERY_S >= request.began_s)
            for event in self.events
        )
