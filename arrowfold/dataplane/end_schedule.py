"""The steps of an edge's orderly end, all of which are due by the time of the stop signal.

A signal may be handled late: while the program loads, it waits until the node has started.
"""

from __future__ import annotations

from dataclasses import dataclass

READINESS_PROPAGATION_S = 2.3  # from the stop signal until the platform sends no new connections
IN_FLIGHT_GRACE_S = 0.5  # for requests that clients had sent before the listener closed
SHUTDOWN_MARGIN_S = 0.7  # part of the grace time reserved for the end of the process itself
IN_FLIGHT_GRACE_SHARE = 0.25  # maximum in-flight grace, as a part of the time from then to the end
MIN_LISTENING_S = 0.2  # in which connections that waited while the program loaded are accepted
MIN_ANSWERING_S = 0.2  # in which the requests that have arrived are at least refused


@dataclass(frozen=True, slots=True)
class EndSchedule:
    """The steps, in seconds from now.

    Until `admits_any_until_s`, requests are admitted whatever their deadline is, then only those whose
    deadline is before `ends_s`, when every request must have been answered.
    """

    listener_closes_s: float
    admits_any_until_s: float
    ends_s: float


def plan_end(grace_s: float, elapsed_s: float) -> EndSchedule:
    """Returns the schedule for a process with this grace time, `elapsed_s` seconds after the stop signal."""
    listener_closes_s = max(MIN_LISTENING_S, READINESS_PROPAGATION_S - elapsed_s)
    ends_s = max(listener_closes_s + MIN_ANSWERING_S, grace_s - SHUTDOWN_MARGIN_S - elapsed_s)
    in_flight_grace_s = min(IN_FLIGHT_GRACE_S, IN_FLIGHT_GRACE_SHARE * (ends_s - listener_closes_s))
    latest_s = READINESS_PROPAGATION_S + IN_FLIGHT_GRACE_S - elapsed_s
    admits_any_until_s = max(0.0, min(listener_closes_s + in_flight_grace_s, latest_s))
    return EndSchedule(listener_closes_s, admits_any_until_s, ends_s)


def plan_end_after_listening(remaining_s: float) -> EndSchedule:
    """Returns the schedule for a process that listens no longer and ends after `remaining_s`."""
    in_flight_grace_s = min(IN_FLIGHT_GRACE_S, IN_FLIGHT_GRACE_SHARE * remaining_s)
    return EndSchedule(0.0, in_flight_grace_s, remaining_s)
