"""Tables of the lost value by priority, time window and cause, and of the steps of loading a model."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from arrowfold.explain.causes import Cause, cause_of
from arrowfold.explain.records import ModelLoad, Records, UnsuccessfulRequest

WINDOW_S = 2
MEDIAN_QUANTILE, SLOW_QUANTILE = 0.5, 0.9  # of the duration of a step


@dataclass(frozen=True, slots=True)
class AnswerValue:
    """The value of an answer of one priority if it is in time and if it is late."""

    in_time: float = 1.0
    late: float = 0.3


AnswerValues = Mapping[int, AnswerValue]  # by the route's priority


def summary_lines(records: Records, answer_values: AnswerValues) -> Iterator[str]:
    """Yields the lines of the summary."""
    yield f"{len(records.requests)} requests late, refused or failed; {len(records.unrouted)} without a route"
    if records.suppressed or records.unreadable:
        yield f"left out: {records.suppressed} records by the nodes, {records.unreadable} unreadable lines"
    yield ""
    yield from _priority_rows(records.requests, answer_values)
    yield ""
    yield from _window_rows(records, answer_values)
    yield ""
    yield from _cause_rows(records, answer_values)
    yield ""
    yield from _step_rows(records)


def lost_value(request: UnsuccessfulRequest, answer_values: AnswerValues) -> float:
    """Returns the value that a request lost against an answer in time.

    A refused request that is sent again counts each time.
    """
    value = answer_values.get(request.priority, AnswerValue())
    return value.in_time - (value.late if request.is_served else 0.0)


def _priority_rows(requests: tuple[UnsuccessfulRequest, ...], answer_values: AnswerValues) -> Iterator[str]:
    yield "priority    late refused  failed   lost worth"
    for priority in sorted({request.priority for request in requests}):
        of_priority = [request for request in requests if request.priority == priority]
        refused = sum(request.status in (429, 503) for request in of_priority)
        late = sum(request.is_served for request in of_priority)
        lost = sum(lost_value(request, answer_values) for request in of_priority)
        yield f"{priority:8d} {late:7d} {refused:7d} {len(of_priority) - late - refused:7d} {lost:12.1f}"


def _window_rows(records: Records, answer_values: AnswerValues) -> Iterator[str]:
    lost: dict[int, float] = defaultdict(float)
    causes: dict[int, Counter[Cause]] = defaultdict(Counter)
    for request in records.requests:
        window = int(request.time_s // WINDOW_S) * WINDOW_S
        lost[window] += lost_value(request, answer_values)
        causes[window][cause_of(request)] += 1
    for unrouted in records.unrouted:
        causes[int(unrouted.time_s // WINDOW_S) * WINDOW_S][Cause.NO_CONFIGURATION] += 1
    yield f"from s   lost worth   causes, by requests (windows of {WINDOW_S} s)"
    for window in sorted(causes):
        named = ", ".join(f"{count} {cause.name.lower()}" for cause, count in causes[window].most_common(4))
        yield f"{window:6d} {lost[window]:12.1f}   {named}"


def _cause_rows(records: Records, answer_values: AnswerValues) -> Iterator[str]:
    lost: dict[Cause, float] = defaultdict(float)
    counts: Counter[tuple[Cause, int]] = Counter()
    for request in records.requests:
        cause = cause_of(request)
        lost[cause] += lost_value(request, answer_values)
        counts[cause, request.priority] += 1
    yield "lost worth   cause (requests by priority)"
    for cause in sorted(lost, key=lambda item: -lost[item]):
        by_priority = {priority: count for (known, priority), count in counts.items() if known is cause}
        named = ", ".join(f"{priority}: {by_priority[priority]}" for priority in sorted(by_priority))
        yield f"{lost[cause]:10.1f}   {cause.value} ({named})"


def _step_rows(records: Records) -> Iterator[str]:
    yield "the way of a missed model, in ms                          number  median     0.9"
    urgent = [load for load in records.loads if load.urgent and not load.adapter]
    missed = [request for request in records.requests if request.model_missing_ms is not None]
    waited = [request for request in missed if request.model_loaded_ms is not None]
    for name, load_step in _LOAD_STEPS:
        yield _step_row(f"owner: {name}", [load_step(load) for load in urgent])
    for name, request_step in _REQUEST_STEPS:
        yield _step_row(f"late requests that waited: {name}", [request_step(request) for request in waited])


def _step_row(name: str, values: list[int | None]) -> str:
    known = sorted(value for value in values if value is not None)
    if not known:
        return f"{name:56s} {0:7d}"
    slow = known[min(len(known) - 1, int(SLOW_QUANTILE * len(known)))]
    return f"{name:56s} {len(known):7d} {statistics.median(known):7.0f} {slow:7d}"


def _sent_to_first_event(request: UnsuccessfulRequest) -> int | None:
    last = request.attempts[-1] if request.attempts else None
    if last is None or last.first_event_ms is None:
        return None
    return last.first_event_ms - last.sent_ms


def _known_to_loaded(request: UnsuccessfulRequest) -> int | None:
    if request.load_known_ms is None or request.model_loaded_ms is None:
        return None
    return request.model_loaded_ms - request.load_known_ms


_LOAD_STEPS: tuple[tuple[str, Callable[[ModelLoad], int | None]], ...] = (
    ("missed until planned", lambda load: load.missed_to_planned_ms),
    ("planned until room is being made", lambda load: load.planned_to_eviction_ms),
    ("room being made until the order is sent", lambda load: load.eviction_to_order_ms),
    ("planned until the order is sent, all loads", lambda load: load.planned_to_order_ms),
    ("order sent until accepted", lambda load: load.order_to_accepted_ms),
    ("accepted until loaded, as expected", lambda load: load.accepted_to_done_ms),
)
_REQUEST_STEPS: tuple[tuple[str, Callable[[UnsuccessfulRequest], int | None]], ...] = (
    ("arrival until the load was known", lambda request: request.load_known_ms),
    ("load known until a holder was", _known_to_loaded),
    ("arrival until a holder was known", lambda request: request.model_loaded_ms),
    ("sent until the first event", _sent_to_first_event),
)
