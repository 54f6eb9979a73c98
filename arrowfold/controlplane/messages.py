"""Messages between control nodes other than those of the replication. Message numbers are permanent."""

from __future__ import annotations

from dataclasses import dataclass

from arrowfold.internal.codec import message


@message(80)
@dataclass(frozen=True, slots=True)
class EdgeSightings:
    """Time in seconds since each edge node last contacted the sender or a node that reported to it."""

    ages_s: dict[str, float]
