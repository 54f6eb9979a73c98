"""Tables of what was lost: by rank, by time, by cause, and by step of the way of a missed model."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from arrowfold.explain.causes import Cause, cause_of
from arrowfold.explain.records import LateRequest, Load, Records

WINDOW_S = 2
MEDIAN, SLOW = 0.5, 0.9  # quantiles of a step that are shown


@dataclass(frozen=True, slots=True)
class Worth:
    """What answers of one rank are worth: in time, and late."""

    whole: float = 1.0
    late: float = 0.3


Worths = Mapping[int, Worth]  # by the route's priority


def summary_lines(records: Records, worths: Worths) -> Iterator[str]:
    """The whole summary, line by line."""
    yield f"{len(records.requests)} requests late, refused or failed; {len(records.unrouted)} without a route"
    if records.suppressed or records.unreadable:
        yield f"left out: {records.suppressed} records by the nodes, {records.unreadable} unreadable lines"
    yield ""
    yield from _by_rank(records.requests, worths)
    yield ""
    yield from _by_window(records, worths)
    yield ""
    yield from _by_cause(records, worths)
    yield ""
    yield from _steps(records)


def lost_worth(request: LateRequest, worths: Worths) -> float:
    """What it earned less than in time, by its rank; a refused one that comes again counts each time."""
    worth = worths.get(request.priority, Worth())
    return worth.whole - (worth.late if request.served else 0.0)


def _by_rank(requests: tuple[LateRequest, ...], worths: Worths) -> Iterator[str]:
    yield "priority    late refused  failed   lost worth"
    for priority in sorted({request.priority for request in requests}):
        own = [request for request in requests if request.priority == priority]
        refused = sum(request.status in (429, 503) for request in own)
        late = sum(request.served for request in own)
        lost = sum(lost_worth(request, worths) for request in own)
        yield f"{priority:8d} {late:7d} {refused:7d} {len(own) - late - refused:7d} {lost:12.1f}"


def _by_window(records: Records, worths: Worths) -> Iterator[str]:
    lost: dict[int, float] = defaultdict(float)
    causes: dict[int, Counter[Cause]] = defaultdict(Counter)
    for request in records.requests:
        window = int(request.at_s // WINDOW_S) * WINDOW_S
        lost[window] += lost_worth(request, worths)
        causes[window][cause_of(request)] += 1
    for unrouted in records.unrouted:
        causes[int(unrouted.at_s // WINDOW_S) * WINDOW_S][Cause.NO_CONFIGURATION] += 1
    yield f"from s   lost worth   causes, by requests (windows of {WINDOW_S} s)"
    for window in sorted(causes):
        named = ", ".join(f"{count} {cause.name.lower()}" for cause, count in causes[window].most_common(4))
        yield f"{window:6d} {lost[window]:12.1f}   {named}"


def _by_cause(records: Records, worths: Worths) -> Iterator[str]:
    lost: dict[Cause, float] = defaultdict(float)
    counts: Counter[tuple[Cause, int]] = Counter()
    for request in records.requests:
        cause = cause_of(request)
        lost[cause] += lost_worth(request, worths)
        counts[cause, request.priority] += 1
    yield "lost worth   cause (requests by priority)"
    for cause in sorted(lost, key=lambda item: -lost[item]):
        by_rank = {priority: count for (known, priority), count in counts.items() if known is cause}
        named = ", ".join(f"{priority}: {by_rank[priority]}" for priority in sorted(by_rank))
        yield f"{lost[cause]:10.1f}   {cause.value} ({named})"


def _steps(records: Records) -> Iterator[str]:
    yield "the way of a missed model, in ms                          number  median     0.9"
    urgent = [load for load in records.loads if load.urgent and not load.adapter]
    missed = [request for request in records.requests if request.missed_ms is not None]
    waited = [request for request in missed if request.held_ms is not None]
    for name, load_step in _LOAD_STEPS:
        yield _step(f"owner: {name}", [load_step(load) for load in urgent])
    for name, request_step in _REQUEST_STEPS:
        yield _step(f"late requests that waited: {name}", [request_step(request) for request in waited])


def _step(name: str, values: list[int | None]) -> str:
    known = sorted(value for value in values if value is not None)
    if not known:
        return f"{name:56s} {0:7d}"
    slow = known[min(len(known) - 1, int(SLOW * len(known)))]
    return f"{name:56s} {len(known):7d} {statistics.median(known):7.0f} {slow:7d}"


def _after_held(request: LateRequest) -> int | None:
    last = request.sends[-1] if request.sends else None
    if last is None or last.first_event_ms is None:
        return None
    return last.first_event_ms - last.sent_ms


def _known_to_held(request: LateRequest) -> int | None:
    if request.load_known_ms is None or request.held_ms is None:
        return None
    return request.held_ms - request.load_known_ms


_LOAD_STEPS: tuple[tuple[str, Callable[[Load], int | None]], ...] = (
    ("missed until planned", lambda load: load.missed_to_planned_ms),
    ("planned until room is being made", lambda load: load.planned_to_room_ms),
    ("room being made until the order is sent", lambda load: load.room_to_order_ms),
    ("planned until the order is sent, all loads", lambda load: load.planned_to_order_ms),
    ("order sent until accepted", lambda load: load.order_to_accepted_ms),
    ("accepted until loaded, as expected", lambda load: load.accepted_to_done_ms),
)
_REQUEST_STEPS: tuple[tuple[str, Callable[[LateRequest], int | None]], ...] = (
    ("arrival until the load was known", lambda request: request.load_known_ms),
    ("load known until a holder was", _known_to_held),
    ("arrival until a holder was known", lambda request: request.held_ms),
    ("sent until the first event", _after_held),
)
