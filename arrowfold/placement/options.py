"""Options of model placement. The defaults are not specific to a deployment.

The unit of value is one answer within its deadline. docs/placement.md describes the defaults.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class DemandOptions:
    """Estimation of demand."""

    fast_s: float = 1.0  # time constant of the average that follows a rise
    slow_s: float = 5.0  # time constant of the average that bridges gaps between requests
    rare_s: float = 20.0  # time constant of the average that retains rarely requested models
    noise_deviations: float = 1.5  # standard deviations by which the fast average is reduced; 0: none
    urgency: bool = True  # order missing models by the priority ranks of the routes that request them
    missing_valid_s: float = 4.0  # how long a request that missed its model waits or is retried
    heard_again_s: float = 2.0  # maximum time between two reports of a request that waits for a class


@dataclass(frozen=True, slots=True)
class ValuationOptions:
    """Value of copies, in value per second unless a comment names another unit."""

    miss_cost: float = 1.0  # value lost by a request that waits for a load
    queue_cost: float = 0.06  # value per second lost by one request that runs concurrently with another
    spare_copy_worth: float = 0.05  # of a second copy per request rate, since the holder may fail
    spare_copy_rate_s: float = 2.0  # request rate per second above which `spare_copy_worth` adds no more
    adapter_miss_cost: float = 0.1  # value lost by a request that waits for an adapter
    loss_by_load: bool = True  # compute the loss of a copy, like its gain, from the loads of all holders
    running_cost: float = 1.0  # per request that runs on an unloaded model: the unload waits for it


@dataclass(frozen=True, slots=True)
class EvictionOptions:
    """Protection of models and adapters from eviction."""

    residence_s: float = 3.0  # minimum time that a loaded model stays
    recent_s: float = 2.0  # the last copy of a model requested within this time stays
    adapter_recent_s: float = 0.5  # an adapter requested within this time stays


@dataclass(frozen=True, slots=True)
class PlannerOptions:
    """Choice of loads and of their workers."""

    payback_s: float = 20.0  # time for which demand is assumed to last: the memory of its slowest average
    further_copies: bool = True  # load more than one copy, for load and for failures of holders
    copies_wait: bool = True  # while requests miss models, start no additional copies but pressing ones
    pressing_copies: bool = True  # load copies with the largest gain before missing models
    pressing_gain: float = 0.3  # value per second from which an additional copy is pressing
    gain_ratio: float = 1.5  # minimum ratio of the gain of a copy to the loss by evictions for it
    worker_load_cost: float = 0.01  # value per second for each request that runs on the chosen worker
    store_cost: float = 0.05  # value per second for a worker that has to read from the weight store
    same_zone_cost: float = 0.01  # value per second for a zone that already has a holder
    adapter_miss_share: float = 0.3  # share of the requests for adapters that is assumed to need a load
    adapter_copies: bool = True  # load more than one copy of an adapter
    adapter_count_cost: float = 0.02  # value per second for each adapter of the model on the worker
    adapter_workload: float = 2.0  # running requests for each additional copy of an adapter
    spare_adapter_rate_s: float = 0.1  # request rate per second from which an adapter has two copies
    least_spread: int = 2  # minimum limit of additional copies under way beside urgent loads
    intent_valid_s: float = 12.0  # lifetime of a planned load that was not accepted
    spread_interval_s: float = 0.1  # interval at which additional copies are planned


@dataclass(frozen=True, slots=True)
class RoomOptions:
    """Number of workers that are emptied for loads at a time, and the reserve of memory headroom."""

    least_rooms: int = 2  # workers that may be emptied at a time in a small service
    workers_a_room: int = 3  # in a larger service one worker in so many may be emptied at a time
    copies_share: float = 0.5  # share of these for additional copies while requests miss models; 1: all
    trust_expected_end: bool = True  # treat a load as done at its expected end, before a report confirms it
    own_disk_uncounted: bool = True  # the rate limit ignores loads of models the instance has held
    kept_ahead_s: float = 0.5  # headroom is reserved for the loads expected within this time; 0: none
    idle_workload: float = 0.2  # below this number of running requests an unload is assumed to need no wait


@dataclass(frozen=True, slots=True)
class FailureOptions:
    """Conditions under which failure reports of edge nodes mark a worker as failing."""

    shared: bool = True  # tell all edge nodes about failing workers, and ignore the copies there
    edges: int = 2  # edge nodes that have to report failures
    window_s: float = 2.0  # time within which these reports have to arrive
    hold_s: float = 2.0  # how long the worker stays marked after the last report


@dataclass(frozen=True, slots=True)
class PlacementOptions:
    """All options of model placement (docs/placement.md)."""

    demand: DemandOptions = field(default_factory=DemandOptions)
    valuation: ValuationOptions = field(default_factory=ValuationOptions)
    eviction: EvictionOptions = field(default_factory=EvictionOptions)
    planner: PlannerOptions = field(default_factory=PlannerOptions)
    rooms: RoomOptions = field(default_factory=RoomOptions)
    failures: FailureOptions = field(default_factory=FailureOptions)
