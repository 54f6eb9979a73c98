"""Settable options of the data plane. The defaults are independent of any deployment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DataPlaneOptions:
    """Options of an edge other than those of its worker selection."""

    misdirections: int = 3  # 421 responses that do not count as attempts: a load ended later than expected
    placement_overlay: bool = True  # the placement owner's corrections take precedence over heartbeats
