"""What may be set of the selection. The defaults are the project's; none is of one deployment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SelectionOptions:
    """Options of the market and of its stated exceptions (docs/selection.md).

    Prices are fractions of a worker's size; `predicted` is the predicted time to the first event as a part of
    the latency objective.
    """

    tokens_per_worker: int = 24  # L_g is the whole workload over so many tokens a worker
    fewest_tokens_per_worker: int = (
        4  # with more than `usual_edges`, each of which has a part of the workload
    )
    trade_threshold: float = 1.0  # T_s = -T_r = T, in usual spreads of loads round their mean
    rate_memory_s: float = 10.0  # of the measured arrival rates R_i
    usual_edges: int = 16  # more edges than these make rounds of trades further apart, each by so much
    round_s_an_edge: float = 0.04
    longest_round_s: float = 4.0
    trades: bool = True  # senders, receivers and exchangers trade tokens in rounds
    token_draws: bool = True  # a request goes to the holder of a drawn token; else to the best worker seen
    homes: int = 2  # workers that all edges name for a shared prompt part; 0: none
    compared: int = 4  # workers drawn by chance that a drawn holder is compared with
    small_pool: int = 8  # of up to so many holders all are compared
    home_kept: tuple[float, ...] = (0.75, 0.25)  # part of what is shared that a home keeps, if unknown
    follow_margin: float = 0.15  # the drawn holder is left when another is better by more
    load_weight: float = 4.0  # of the price C_j(w): an engine is slow long before its places are taken
    pause_weight: float = 1.0  # of the usual longest pause of a worker's streams, as a part of the objective
    predicted_weight: float = 1.0  # of the predicted part of the objective, beside the price
    cross_zone_toll: float = 0.03  # on the price of a worker in another zone
    in_time: float = 0.9  # predicted beyond this part of the objective counts as late
    wait_for_loads: bool = True  # a request whose model is being loaded may be held
    known_loads: bool = True  # a client that comes again waits longer for a load that is under way
    advice_by_load: bool = True  # a refused client is told to come back when the load has ended
    priority_steps: bool = True  # long prompts, and who comes again, are a step less urgent at the worker
    hold_share: float = 0.45  # of the time a request has, waiting for its model at most
    load_time_s: float = 1.0  # of a model, where the configuration names none
    placement_delay_s: float = 0.3  # from a model's first request to its load, and the news of its end
    discovery_s: float = 1.5  # until the workers of a service are known to an edge that has just started
    denied_s: float = 0.15  # a worker that said it doesn't hold a class is not asked for it again so soon
    unreachable_s: float = 0.5  # a worker that could not be reached counts as no holder for so long
    trouble_load: float = 1.0  # on a worker that several edges found failing, in its whole size
    strikes: bool = True  # a failure raises its worker's load
    strike_half_life_s: float = 4.0  # a failure raises a worker's load, and fades
    delay_half_life_s: float = 1.0  # what first events came later than expected at a worker fades
    others_half_life_s: float = 3.0  # what others had at a worker fades into their mean
    busy_share: float = 0.5  # a service with fewer of its places taken refuses nothing
    idle_class_s: float = 60.0  # a class that nobody asked for this long is forgotten
