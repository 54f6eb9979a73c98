"""Why a request was not answered in time, judged by the steps of its record."""

from __future__ import annotations

from enum import Enum

from arrowfold.explain.records import LateRequest
from arrowfold.node.result_codes import ResultCode

SLOW_EDGE_MS = 100  # from arrival to the first decision: more means that the edge itself was slow


class Cause(Enum):
    """The first step that took a request's time, or ended it."""

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


def cause_of(request: LateRequest) -> Cause:
    """The cause of one request's lateness or loss."""
    by_code = _OWN_ANSWERS.get(request.code)
    if by_code is not None and not request.sends:
        return by_code
    if request.missed_ms is not None and request.held_ms is not None and request.served:
        return Cause.MODEL_WAITED
    if any(send.outcome in ("lost", "unreachable") for send in request.sends):
        return Cause.WORKER_LOST
    if any(send.outcome == "failed" for send in request.sends):
        return Cause.WORKER_FAILED
    if by_code is not None:
        return by_code
    if request.served:
        return _lateness(request)
    return Cause.UNANSWERED


def _lateness(request: LateRequest) -> Cause:
    last = request.sends[-1] if request.sends else None
    came_ms = None if last is None else last.first_event_ms
    if came_ms is not None and came_ms <= request.objective_ms and request.pause_objective_ms:
        return Cause.PAUSE
    if last is not None and last.sent_ms > SLOW_EDGE_MS:
        return Cause.SENT_LATE
    return Cause.WORKER_SLOW


_OWN_ANSWERS = {
    int(ResultCode.MODEL_LOADING): Cause.MODEL_REFUSED,
    int(ResultCode.NO_WORKER): Cause.NO_WORKER,
    int(ResultCode.NO_CONFIGURATION_YET): Cause.NO_CONFIGURATION,
    int(ResultCode.OVERLOADED): Cause.OVERLOADED,
    int(ResultCode.WORKER_FAILED): Cause.WORKER_LOST,
    int(ResultCode.SHUTTING_DOWN): Cause.ENDING,
    int(ResultCode.DEADLINE_PASSED): Cause.UNANSWERED,
}
