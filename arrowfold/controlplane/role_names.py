"""The fenced roles that a configuration asks for: one placement of models for each service with an engine."""

from __future__ import annotations

import functools
import json

from arrowfold.replication.state import ControlState

PLACEMENT_PREFIX = "placement/"


@functools.lru_cache(maxsize=2)
def _services_with_engine(configuration: bytes) -> tuple[str, ...]:
    services = json.loads(configuration).get("services", [])
    return tuple(service["name"] for service in services if service.get("engine"))


def placement_role(service: str) -> str:
    """The name of the role that places models on the workers of a service."""
    return PLACEMENT_PREFIX + service


def placement_roles(state: ControlState) -> tuple[str, ...]:
    """The roles that the committed configuration asks for."""
    if state.configuration is None:
        return ()
    return tuple(placement_role(service) for service in _services_with_engine(state.configuration))
