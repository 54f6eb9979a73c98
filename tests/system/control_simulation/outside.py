"""Calls by operators and workers, as messages of the simulated network."""

from __future__ import annotations

from dataclasses import dataclass

from arrowfold.internal.codec import message


@message(9001)
@dataclass(frozen=True, slots=True)
class OperatorChange:
    """PUT or PATCH /configuration."""

    kind: str
    if_match: str
    body: bytes


@message(9002)
@dataclass(frozen=True, slots=True)
class OperatorRead:
    """GET /configuration."""


@message(9003)
@dataclass(frozen=True, slots=True)
class WorkerDeparts:
    """PUT /instances/ID with state draining."""

    instance: str
