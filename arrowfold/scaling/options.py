"""Options of the orders of workers. The defaults are the project's; none is specific to one deployment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ScalingOptions:
    """Whether and when workers are ordered. docs/scaling.md has the trials behind the defaults."""

    orders: bool = False  # whether workers are ordered at all
    floor_share: float = 0.0  # minimum count ordered, as a share of the range from minCount to maxCount
    target_share: float = 0.4  # share of a worker's slots that its load should take
    known_s: float = 3.0  # time from a zone's first available worker to its first order
    rise_s: float = 6.0  # more workers are ordered once needed for this long: most bursts are shorter
    fall_s: float = 20.0  # one worker fewer is ordered each time it has not been needed for this long
    models_kept_s: float = 20.0  # models requested within this time count as needed; 0: none does
