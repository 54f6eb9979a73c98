"""Options of the selection. The defaults are the project's; none is specific to one deployment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SelectionOptions:
    """Options of the token market and of the stated exceptions (docs/selection.md).

    Prices are fractions of a worker's size. The predicted share is the predicted time to the first event as a
    fraction of the latency objective.
    """

    tokens_per_worker: int = 24  # L_g is the whole workload over this many tokens for each worker
    fewest_tokens_per_worker: int = 4  # minimum with more than `usual_edges`, which share the workload
    trade_threshold: float = 1.0  # T_s = -T_r = T, in mean deviations of the loads from their mean
    rate_memory_s: float = 10.0  # time constant of the measured arrival rates
    usual_edges: int = 16  # each edge beyond these adds `round_s_an_edge` to the interval of trading rounds
    round_s_an_edge: float = 0.04
    longest_round_s: float = 4.0  # maximum interval of token-trading rounds
    trades: bool = True  # senders, receivers and exchangers trade tokens in rounds
    token_draws: bool = True  # requests go to the holder of a drawn token; else to the best sampled worker
    homes: int = 2  # affinity workers of a shared prompt part, the same at all edges; 0 disables affinity
    compared: int = 4  # random workers that the affinity workers and the drawn holder are compared with
    small_pool: int = 8  # up to this number of holders, all are compared
    home_kept: tuple[float, ...] = (0.75, 0.25)  # assumed cached share of shared parts, by affinity rank
    follow_margin: float = 0.15  # maximum score of the preferred worker above the best one's
    load_weight: float = 4.0  # of the price C_j(w): an engine slows down long before all its slots are taken
    pause_weight: float = 1.0  # of the mean longest pause of a worker's streams over the pause objective
    predicted_weight: float = 1.0  # of the predicted share, added to the weighted price
    cross_zone_toll: float = 0.03  # added to the price of a worker in another zone: links between may fail
    wait_for_loads: bool = True  # requests whose model is being loaded may be held
    load_time_s: float = 1.0  # load time of a model for which the configuration has none
    placement_delay_s: float = (
        0.3  # from a model's first request to its load, plus the delay of the load's report
    )
    discovery_s: float = 1.5  # time after which an edge that has just started knows a service's workers
    denied_s: float = 0.15  # after a 421 answer, a worker counts as no holder of the class for this long
    unreachable_s: float = 0.5  # after a failed connection, a worker counts as no holder for this long
    trouble_load: float = 1.0  # added to the load of a worker that several edges found failing
    strikes: bool = True  # failures add a penalty to their worker's load
    strike_half_life_s: float = 4.0  # half-life of the failure penalty
    delay_half_life_s: float = 1.0  # half-life of a worker's excess over the expected time to a first event
    others_half_life_s: float = 3.0  # half-life with which the others' load decays to the mean of all workers
    idle_class_s: float = 60.0  # a class without requests for this long is removed
