"""Determines why a request was not answered in time, from the steps in its trace record."""

from __future__ import annotations

from enum import Enum

from arrowfold.explain.records import UnsuccessfulRequest
from arrowfold.node.result_codes import ResultCode

SLOW_EDGE_MS = 100  # maximum time before an attempt is sent; above it the edge node itself was slow


class Cause(Enum):
    """The first step that delayed or ended a request. Names and texts appear in the summary."""

    MODEL_REFUSED = "its model was not held: refused until the load's end"
    MODEL_WAITED = "its model was not held: waited for a load"
    NO_WORKER = "no worker of the service was known"
    NO_CONFIGURATION = "the edge had no configuration yet"
    OVERLOADED = "no worker had room, or every one had been tried"
    WORKER_FAILED = "the worker answered with a failure"
    WORKER_LOST = "the worker broke off, or could not be reached"
    WORKER_SLOW = "the first event came late from the worker"
    SENT_LATE = "it was sent late by the edge, though its model was held"
    PAUSE = "a pause within the stream was too long"
    ENDING = "the edge was ending"
    UNANSWERED = "the client left, or its time was up"


def cause_of(request: UnsuccessfulRequest) -> Cause:
    """Returns why a request was late or failed."""
    cause_of_code = _CAUSE_BY_CODE.get(request.code)
    if cause_of_code is not None and not request.attempts:
        return cause_of_code
    if request.model_missing_ms is not None and request.model_loaded_ms is not None and request.is_served:
        return Cause.MODEL_WAITED
    if any(attempt.outcome in ("lost", "unreachable") for attempt in request.attempts):
        return Cause.WORKER_LOST
    if any(attempt.outcome == "failed" for attempt in request.attempts):
        return Cause.WORKER_FAILED
    if cause_of_code is not None:
        return cause_of_code
    if request.is_served:
        return _cause_of_lateness(request)
    return Cause.UNANSWERED


def _cause_of_lateness(request: UnsuccessfulRequest) -> Cause:
    last = request.attempts[-1] if request.attempts else None
    last_first_event_ms = None if last is None else last.first_event_ms
    if (
        last_first_event_ms is not None
        and last_first_event_ms <= request.objective_ms
        and request.pause_objective_ms
    ):
        return Cause.PAUSE
    if last is not None and last.sent_ms > SLOW_EDGE_MS:
        return Cause.SENT_LATE
    return Cause.WORKER_SLOW


_CAUSE_BY_CODE = {
    int(ResultCode.MODEL_LOADING): Cause.MODEL_REFUSED,
    int(ResultCode.NO_WORKER): Cause.NO_WORKER,
    int(ResultCode.NO_CONFIGURATION_YET): Cause.NO_CONFIGURATION,
    int(ResultCode.OVERLOADED): Cause.OVERLOADED,
    int(ResultCode.WORKER_FAILED): Cause.WORKER_LOST,
    int(ResultCode.SHUTTING_DOWN): Cause.ENDING,
    int(ResultCode.DEADLINE_PASSED): Cause.UNANSWERED,
}
