"""Trace records as typed values, read from the logs of a system's processes."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

_RECORD = re.compile(r'\{"trace":.*\}')
_PLACED = re.compile(r"^\s*(-?\d+\.\d+)\s")  # at a line's start: the time on a common clock


@dataclass(frozen=True, slots=True)
class Send:
    """One send of a request to a worker; times in milliseconds after the request's arrival."""

    instance: str
    sent_ms: int
    predicted_ms: int
    first_event_ms: int | None
    ended_ms: int | None
    outcome: str


@dataclass(frozen=True, slots=True)
class LateRequest:
    """A request that was late, refused or failed; times in milliseconds after its arrival."""

    at_s: float
    node: str
    route: str
    priority: int
    model: str
    adapter: str
    prompt_tokens: int
    objective_ms: int
    patience_ms: int
    missed_ms: int | None
    load_known_ms: int | None
    held_ms: int | None
    sends: tuple[Send, ...]
    pause_ms: int
    pause_objective_ms: int
    end_ms: int
    status: int
    code: int

    @property
    def served(self) -> bool:
        """Whether it got a worker's success in the end."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class UnroutedRequest:
    """A request that was refused before its route was known."""

    at_s: float
    node: str
    code: int


@dataclass(frozen=True, slots=True)
class Load:
    """One load; times in milliseconds from step to step."""

    at_s: float
    model: str
    adapter: str
    urgent: bool
    missed_to_planned_ms: int | None
    planned_to_room_ms: int | None
    room_to_order_ms: int | None
    planned_to_order_ms: int
    order_to_accepted_ms: int
    accepted_to_done_ms: int | None


@dataclass(frozen=True, slots=True)
class Records:
    """All that was read. `unreadable`: lines that look like records and are none."""

    requests: tuple[LateRequest, ...]
    unrouted: tuple[UnroutedRequest, ...]
    loads: tuple[Load, ...]
    unreadable: int
    suppressed: int  # records that the nodes left out, by their own word


def read_records(lines: Iterable[str]) -> Records:
    """The records among the lines of one or more logs."""
    requests: list[LateRequest] = []
    unrouted: list[UnroutedRequest] = []
    loads: list[Load] = []
    unreadable = suppressed = 0
    for line in lines:
        found = _RECORD.search(line)
        if found is None:
            continue
        try:
            fields = json.loads(found.group())
            suppressed += int(fields.get("suppressed", 0))
            kind, at_s = fields["trace"], _time(line, fields)
            if kind == "request":
                requests.append(_request(fields, at_s))
            elif kind == "unrouted":
                unrouted.append(UnroutedRequest(at_s, fields["node"], int(fields["code"])))
            elif kind == "load":
                loads.append(_load(fields, at_s))
        except (ValueError, KeyError, TypeError, AttributeError):
            unreadable += 1
    return Records(tuple(requests), tuple(unrouted), tuple(loads), unreadable, suppressed)


def _time(line: str, fields: dict[str, Any]) -> float:
    """The moment on a common clock where the log has one, else on the node's own.

    A common clock tells when the line was written: at the end of what it tells of.
    """
    placed = _PLACED.match(line)
    if placed is None:
        return float(fields["at"])
    return float(placed.group(1)) - (fields.get("end") or 0) / 1000


def _request(fields: dict[str, Any], at_s: float) -> LateRequest:
    return LateRequest(
        at_s=at_s,
        node=fields["node"],
        route=fields["route"],
        priority=fields["priority"],
        model=fields["model"],
        adapter=fields["adapter"],
        prompt_tokens=fields["prompt"],
        objective_ms=fields["objective"],
        patience_ms=fields["patience"],
        missed_ms=fields["missed"],
        load_known_ms=fields["load_known"],
        held_ms=fields["held"],
        sends=tuple(Send(*send) for send in fields["sends"]),
        pause_ms=fields["pause"],
        pause_objective_ms=fields["pause_objective"],
        end_ms=fields["end"],
        status=fields["status"],
        code=fields["code"],
    )


def _load(fields: dict[str, Any], at_s: float) -> Load:
    return Load(
        at_s=at_s,
        model=fields["model"],
        adapter=fields["adapter"],
        urgent=fields["urgent"],
        missed_to_planned_ms=fields["missed_to_planned"],
        planned_to_room_ms=fields["planned_to_room"],
        room_to_order_ms=fields["room_to_order"],
        planned_to_order_ms=fields["planned_to_order"],
        order_to_accepted_ms=fields["order_to_accepted"],
        accepted_to_done_ms=fields["accepted_to_done"],
    )
