"""Trace of the steps of one request at an edge, for `explain`. Times are in seconds after its arrival."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from arrowfold.selection.interface import RequestProfile

REQUEST_KIND = "request"
UNROUTED_KIND = "unrouted"  # refused before its route was known
MS_PER_S = 1000.0


class TraceSink(Protocol):
    """A destination of trace records."""

    def write(self, kind: str, fields: dict[str, Any]) -> None:
        """Writes one record."""


@dataclass(slots=True)
class AttemptStep:
    """One attempt at a worker."""

    instance: str
    sent_s: float
    predicted_s: float  # time to the first event, as predicted by the selection
    first_event_s: float | None = None
    ended_s: float | None = None
    outcome: str = ""
    connection: int | None = None  # its number at this edge; None if nothing was sent


@dataclass(slots=True)
class RequestTrace:
    """The steps of one request."""

    arrived_s: float  # by the edge's clock
    missed_s: float | None = None  # when no worker was found that holds its class
    load_known_s: float | None = None  # when the edge knew that a load of its class was in progress
    held_s: float | None = None  # when a worker held its class after it had been missing
    sends: list[AttemptStep] = field(default_factory=list)
    longest_pause_s: float = 0.0
    status: int = 0  # of the answer; 0 if the client disconnected or the answer was aborted
    code: int = 0  # result code, if the edge itself answered
    retry_after_s: float | None = None
    cut: str = ""  # why an answer that had begun was broken off

    def missed(self, now_s: float, load_is_known: bool) -> None:
        """Records that no worker holds the class."""
        if self.missed_s is None:
            self.missed_s = now_s - self.arrived_s
        if load_is_known and self.load_known_s is None:
            self.load_known_s = now_s - self.arrived_s

    def sent(self, instance: str, predicted_s: float, now_s: float) -> AttemptStep:
        """Records the begin of an attempt, and returns its step."""
        if self.missed_s is not None and self.held_s is None:
            self.held_s = now_s - self.arrived_s
        step = AttemptStep(instance, now_s - self.arrived_s, predicted_s)
        self.sends.append(step)
        return step

    def first_event(self, now_s: float) -> None:
        """Records the first bytes of the body in the last attempt."""
        if self.sends and self.sends[-1].first_event_s is None:
            self.sends[-1].first_event_s = now_s - self.arrived_s

    def attempt_ended(self, step: AttemptStep, outcome: str, now_s: float) -> None:
        """Records the end of an attempt."""
        step.ended_s = now_s - self.arrived_s
        step.outcome = outcome

    def is_in_time(self, profile: RequestProfile) -> bool:
        """Returns whether the answer met the latency and pause objectives, as far as the edge can see."""
        if not 200 <= self.status < 300 or not self.sends:
            return False
        first_events_s = [step.first_event_s for step in self.sends if step.first_event_s is not None]
        answered_s = min(first_events_s, default=None) if profile.streaming else self.sends[-1].ended_s
        has_long_pause = 0 < profile.pause_objective_s < self.longest_pause_s
        return answered_s is not None and answered_s <= profile.latency_objective_s and not has_long_pause

    def record(self, profile: RequestProfile, end_s: float) -> dict[str, Any]:
        """Returns the fields of the trace record; times in whole milliseconds, `at` in seconds."""
        return {
            "at": round(self.arrived_s, 3),
            "id": profile.request,
            "route": profile.route,
            "priority": profile.priority,
            "service": profile.service,
            "model": profile.model,
            "adapter": profile.adapter,
            "prompt": profile.prompt_tokens,
            "objective": _ms(profile.latency_objective_s),
            "patience": _ms(profile.client_wait_s),
            "missed": _ms(self.missed_s),
            "load_known": _ms(self.load_known_s),
            "held": _ms(self.held_s),
            "sends": [
                [
                    step.instance,
                    _ms(step.sent_s),
                    _ms(step.predicted_s),
                    _ms(step.first_event_s),
                    _ms(step.ended_s),
                    step.outcome,
                    step.connection,
                ]
                for step in self.sends
            ],
            "pause": _ms(self.longest_pause_s),
            "pause_objective": _ms(profile.pause_objective_s),
            "end": _ms(end_s - self.arrived_s),
            "status": self.status,
            "code": self.code,
            "retry_after": _ms(self.retry_after_s),
            "cut": self.cut,
        }


def _ms(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * MS_PER_S)
