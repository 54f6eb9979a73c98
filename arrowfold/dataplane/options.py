"""What may be set of the data plane. The defaults are the project's; none is of one deployment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DataPlaneOptions:
    """Options of an edge beside its selection."""

    misdirections: int = 3  # answers 421 that cost a request no attempt: a load ended later than expected
    placement_overlay: bool = True  # what the owner of the placement tells goes before workers' heartbeats
