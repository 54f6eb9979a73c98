"""The steps of an edge's orderly end, all of which are due by the time of the stop signal.

A signal may be handled late: while the program loads, it waits until the node has started.
"""

from __future__ import annotations

from dataclasses import dataclass

READINESS_PROPAGATION_S = 2.3  # from the stop signal until the platform sends no new connections
IN_FLIGHT_GRACE_S = 0.5  # for requests that clients had sent before the listener closed
SHUTDOWN_MARGIN_S = 0.7  # part of the grace time reserved for the end of the process itself
MIN_ANSWERING_S = 0.2  # in which the requests that have arrived are at least refused


@dataclass(frozen=True, slots=True)
class EndSchedule:
    """Durations in seconds: until the listener closes, and from then on.

    For `in_flight_grace_s`, requests are admitted whatever their deadline is; for `answering_s`, they are
    answered.
    """

    until_listener_closes_s: float
    in_flight_grace_s: float
    answering_s: float


def plan_end(grace_s: float, elapsed_s: float) -> EndSchedule:
    """Returns the schedule for a process with this grace time, `elapsed_s` seconds after the stop signal."""
    until_listener_closes_s = max(0.0, READINESS_PROPAGATION_S - elapsed_s)
    closes_s = elapsed_s + until_listener_closes_s  # after the signal
    return EndSchedule(
        until_listener_closes_s,
        max(0.0, READINESS_PROPAGATION_S + IN_FLIGHT_GRACE_S - closes_s),
        max(MIN_ANSWERING_S, grace_s - SHUTDOWN_MARGIN_S - closes_s),
    )
