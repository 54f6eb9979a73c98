"""Names of fenced roles: placements of models, and duties towards the platform.

There is one placement role for each configured service with an engine, one duty for usage reports, and one
scaling duty for each service and zone.
"""

from __future__ import annotations

import functools
import json
from collections.abc import Callable, Iterable

from arrowfold.replication.state import ControlState

PLACEMENT_PREFIX = "placement/"
USAGE_ROLE = "duty/usage"
SCALING_PREFIX = "duty/scaling/"
USAGE_DUTY = "usage_report"  # name of the duty in the settings


@functools.lru_cache(maxsize=2)
def _services_with_engine(configuration: bytes) -> tuple[str, ...]:
    services = json.loads(configuration).get("services", [])
    return tuple(service["name"] for service in services if service.get("engine"))


def placement_role(service: str) -> str:
    """Returns the name of the role that places models on the workers of a service."""
    return PLACEMENT_PREFIX + service


def scaling_role(service: str, zone: str) -> str:
    """Returns the name of the role that orders the workers of a service in a zone."""
    return f"{SCALING_PREFIX}{service}/{zone}"


def placement_roles(state: ControlState) -> tuple[str, ...]:
    """Returns the placement roles that the committed configuration requires."""
    if state.configuration is None:
        return ()
    return tuple(placement_role(service) for service in _services_with_engine(state.configuration))


def usage_roles(duties: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the role that reports usage if it is among the duties of the settings."""
    return (USAGE_ROLE,) if USAGE_DUTY in duties else ()


@functools.lru_cache(maxsize=2)
def _services_with_scaling(configuration: bytes) -> tuple[str, ...]:
    services = json.loads(configuration).get("services", [])
    return tuple(service["name"] for service in services if service.get("scaling") is not None)


def scaling_roles(state: ControlState, zones: Callable[[str], Iterable[str]]) -> tuple[str, ...]:
    """Returns the scaling duties that the committed configuration requires.

    `zones`: returns the zones that have known workers of a service.
    """
    if state.configuration is None:
        return ()
    services = _services_with_scaling(state.configuration)
    return tuple(scaling_role(service, zone) for service in services for zone in sorted(zones(service)))


def companion_role(role: str) -> str | None:
    """Returns the placement role whose holder must also hold a scaling duty; None for other roles.

    They share a holder because edges report the demand of a service to the holder of its placement.
    """
    if not role.startswith(SCALING_PREFIX):
        return None
    service, _, _ = role.removeprefix(SCALING_PREFIX).rpartition("/")
    return placement_role(service)
