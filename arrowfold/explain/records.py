"""Reads trace records from the logs of the system's processes into typed values."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

_RECORD_TEXT = re.compile(r'\{"trace":.*\}')
_COMMON_CLOCK_TIME = re.compile(r"^\s*(-?\d+\.\d+)\s")  # at the start of a line, in seconds


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a request at a worker; times in milliseconds after the request's arrival."""

    instance: str
    sent_ms: int
    predicted_ms: int
    first_event_ms: int | None
    ended_ms: int | None
    outcome: str
    connection: int | None = None  # its number at the edge; None if nothing was sent


@dataclass(frozen=True, slots=True)
class UnsuccessfulRequest:
    """A request that was late, refused or failed; times in milliseconds after its arrival.

    `model_missing_ms`: no worker had its model loaded; `load_known_ms`: a load of the model was known;
    `model_loaded_ms`: a worker had loaded the model. `client_wait_ms` is the maximum wait of the client.
    """

    time_s: float
    node: str
    route: str
    priority: int
    model: str
    adapter: str
    prompt_tokens: int
    objective_ms: int
    client_wait_ms: int
    model_missing_ms: int | None
    load_known_ms: int | None
    model_loaded_ms: int | None
    attempts: tuple[Attempt, ...]
    pause_ms: int
    pause_objective_ms: int
    end_ms: int
    status: int
    code: int
    cut: str = ""  # why an answer that had begun was broken off

    @property
    def is_served(self) -> bool:
        """Whether the final answer was a worker's success."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class UnroutedRequest:
    """A request that was refused before its route was known."""

    time_s: float
    node: str
    code: int


@dataclass(frozen=True, slots=True)
class ModelLoad:
    """One load of a model or adapter; durations of its steps in milliseconds.

    `planned_to_eviction_ms` and `eviction_to_order_ms` are None if no eviction was needed.
    """

    time_s: float
    model: str
    adapter: str
    urgent: bool
    missed_to_planned_ms: int | None
    planned_to_eviction_ms: int | None
    eviction_to_order_ms: int | None
    planned_to_order_ms: int
    order_to_accepted_ms: int
    accepted_to_done_ms: int | None


@dataclass(frozen=True, slots=True)
class Records:
    """All records read. `unreadable` counts lines that look like records but can't be parsed."""

    requests: tuple[UnsuccessfulRequest, ...]
    unrouted: tuple[UnroutedRequest, ...]
    loads: tuple[ModelLoad, ...]
    unreadable: int
    suppressed: int  # records that the nodes left out, as they report


def read_records(lines: Iterable[str]) -> Records:
    """Returns the records among the lines of one or more logs."""
    requests: list[UnsuccessfulRequest] = []
    unrouted: list[UnroutedRequest] = []
    loads: list[ModelLoad] = []
    unreadable = suppressed = 0
    for line in lines:
        found = _RECORD_TEXT.search(line)
        if found is None:
            continue
        try:
            fields = json.loads(found.group())
            suppressed += int(fields.get("suppressed", 0))
            kind, time_s = fields["trace"], _time_s(line, fields)
            if kind == "request":
                requests.append(_request(fields, time_s))
            elif kind == "unrouted":
                unrouted.append(UnroutedRequest(time_s, fields["node"], int(fields["code"])))
            elif kind == "load":
                loads.append(_load(fields, time_s))
        except (ValueError, KeyError, TypeError, AttributeError):
            unreadable += 1
    return Records(tuple(requests), tuple(unrouted), tuple(loads), unreadable, suppressed)


def _time_s(line: str, fields: dict[str, Any]) -> float:
    """Returns the start time on the log's common clock if it has one, else on the node's own clock.

    The common clock has the time at which the line was written; a request's record is written at its end.
    """
    written = _COMMON_CLOCK_TIME.match(line)
    if written is None:
        return float(fields["at"])
    return float(written.group(1)) - (fields.get("end") or 0) / 1000


def _request(fields: dict[str, Any], time_s: float) -> UnsuccessfulRequest:
    return UnsuccessfulRequest(
        time_s=time_s,
        node=fields["node"],
        route=fields["route"],
        priority=fields["priority"],
        model=fields["model"],
        adapter=fields["adapter"],
        prompt_tokens=fields["prompt"],
        objective_ms=fields["objective"],
        client_wait_ms=fields["patience"],
        model_missing_ms=fields["missed"],
        load_known_ms=fields["load_known"],
        model_loaded_ms=fields["held"],
        attempts=tuple(Attempt(*attempt) for attempt in fields["sends"]),
        pause_ms=fields["pause"],
        pause_objective_ms=fields["pause_objective"],
        end_ms=fields["end"],
        status=fields["status"],
        code=fields["code"],
        cut=fields.get("cut", ""),
    )


def _load(fields: dict[str, Any], time_s: float) -> ModelLoad:
    return ModelLoad(
        time_s=time_s,
        model=fields["model"],
        adapter=fields["adapter"],
        urgent=fields["urgent"],
        missed_to_planned_ms=fields["missed_to_planned"],
        planned_to_eviction_ms=fields["planned_to_room"],
        eviction_to_order_ms=fields["room_to_order"],
        planned_to_order_ms=fields["planned_to_order"],
        order_to_accepted_ms=fields["order_to_accepted"],
        accepted_to_done_ms=fields["accepted_to_done"],
    )
