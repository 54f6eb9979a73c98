"""What may be set of the placement. The defaults are the project's; none is of one deployment.

Worth is counted in answers in time: an answer that is in time earns 1. Where a comment names no source, the
default was chosen by the trials in docs/placement.md.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class DemandOptions:
    """How demand is averaged."""

    fast_s: float = 1.0  # time constant of the average that sees a rise
    slow_s: float = 5.0  # time constant of the average that bridges gaps
    rare_s: float = 20.0  # time constant of the average by which rare models are kept
    noise_deviations: float = 1.5  # of chance, that a rise of the fast average has to exceed; 0: none
    urgency: bool = True  # what urgent routes miss is loaded first, by the ranks of all that ask
    missing_valid_s: float = 4.0  # a request that missed its model waits, or comes back, for this long
    heard_again_s: float = 2.0  # who waits for a class says so this often at least


@dataclass(frozen=True, slots=True)
class ValuationOptions:
    """What copies are worth, in worth a second."""

    miss_cost: float = 1.0  # worth lost by a request that has to wait for a load, with the load's own price
    queue_cost: float = 0.06  # worth a second that one request running beside another costs
    spare_copy_worth: float = 0.05  # of a second copy, for each request a second: the holder may fail
    spare_copy_rate_s: float = 2.0  # requests a second beyond which the second copy gains no more by this
    adapter_miss_cost: float = 0.1  # worth lost by a request that has to wait for an adapter
    loss_by_load: bool = True  # a copy's loss is counted as its gain is: by the loads of all its holders
    running_cost: float = 1.0  # for each request that runs on what is unloaded: the unload waits for it


@dataclass(frozen=True, slots=True)
class EvictionOptions:
    """What may not be unloaded yet."""

    residence_s: float = 3.0  # a model that was just loaded is not unloaded for this long
    recent_s: float = 2.0  # the last copy of a model that was asked for this lately stays
    adapter_recent_s: float = 0.5  # the same for an adapter


@dataclass(frozen=True, slots=True)
class PlannerOptions:
    """Which loads are worth it, and where."""

    load_price: float = 0.45  # worth: a load of weights with its two orders
    payback_s: float = 6.0  # a further copy has to earn its price within this time
    further_copies: bool = True  # copies beyond the first, for load and for the holder's failure
    copies_wait: bool = True  # while models are missed, only pressing copies are begun beside them
    pressing_copies: bool = True  # those that gain most go before models that one request misses
    pressing_gain: float = 0.3  # worth a second from which a further copy is pressing
    gain_ratio: float = 1.5  # how many times its loss a move has to gain
    worker_load_cost: float = 0.01  # worth a second for each request that runs on the chosen worker
    store_cost: float = 0.05  # worth a second for a worker that has to read the weights from the store
    same_zone_cost: float = 0.01  # worth a second for a zone that has a holder already
    adapter_miss_share: float = 0.3  # of the requests for adapters, taken to need a load
    adapter_copies: bool = True  # copies of adapters beyond the first
    adapter_count_cost: float = 0.02  # worth a second for each adapter of the model there already
    adapter_workload: float = 2.0  # requests running at a time that one further copy of an adapter serves
    spare_adapter_rate_s: float = 0.1  # requests a second from which an adapter has a second copy
    least_spread: int = 2  # further copies that may be on their way beside urgent loads
    intent_valid_s: float = 12.0  # after which a load that was decided on and not begun is dropped
    spread_interval_s: float = 0.1  # between two looks at whether further copies pay


@dataclass(frozen=True, slots=True)
class RoomOptions:
    """How many workers are emptied for loads at a time."""

    least_rooms: int = 2  # workers that may be emptied at a time, however few there are
    workers_a_room: int = 3  # of more workers, one in so many
    copies_share: float = 0.5  # of these, for further copies while a request misses its model; 1: all
    trust_expected_end: bool = True  # a load that should have ended frees its worker and the store at once
    own_disk_uncounted: bool = True  # a load of what the worker held in this life is none of the store's
    kept_ahead_s: float = 0.5  # rooms for the loads of so long are kept free before a request waits; 0: none
    room_worth: float = 0.25  # worth that a free room saves of one missed request
    idle_workload: float = 0.2  # an unload counts as done at once while fewer requests run on the model


@dataclass(frozen=True, slots=True)
class FailureOptions:
    """When edges' reports of failures count against a worker."""

    shared: bool = True  # what some edges find failing is told to all, and counts as no copy
    edges: int = 2  # edges that have to tell of failures
    window_s: float = 2.0  # within so long
    hold_s: float = 2.0  # for which it counts after the last report


@dataclass(frozen=True, slots=True)
class PlacementOptions:
    """All options of the placement (docs/placement.md)."""

    demand: DemandOptions = field(default_factory=DemandOptions)
    valuation: ValuationOptions = field(default_factory=ValuationOptions)
    eviction: EvictionOptions = field(default_factory=EvictionOptions)
    planner: PlannerOptions = field(default_factory=PlannerOptions)
    rooms: RoomOptions = field(default_factory=RoomOptions)
    failures: FailureOptions = field(default_factory=FailureOptions)
