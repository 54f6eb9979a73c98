"""Messages between control nodes beside replication. Numbers are permanent."""

from __future__ import annotations

from dataclasses import dataclass

from arrowfold.internal.codec import message


@message(80)
@dataclass(frozen=True, slots=True)
class EdgeSightings:
    """How long ago, in seconds, the sender or those that it heard from saw each edge node."""

    ages_s: dict[str, float]
