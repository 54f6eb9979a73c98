"""Stories about which worker an edge chooses: the ordinary path of the market, then each stated exception."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace
from unittest.mock import patch

import pytest

from arrowfold.internal.messages import ArrivingModel
from arrowfold.node.result_codes import ResultCode
from arrowfold.selection.interface import ChosenWorker, Outcome, RefusedRequest, WaitForWorker
from tests.system.selection_stage import LOAD_S, SERVICE, Stage, with_state, worker

LIBRARY = (("head", 2000), ("repository", 4000))


def three(*models: str) -> Stage:
    return Stage(*(worker(name, *models) for name in ("a", "b", "c")))


# --- the ordinary path ------------------------------------------------------------------------------------


def test_an_unmeasured_class_gets_one_token_and_its_holder_the_request() -> None:
    stage = three("m")
    chosen = stage.send(stage.request())
    (table,) = stage.selector.market.tables.values()
    assert [token.holder.instance for token in table.tokens] == [chosen]


def test_requests_follow_drawn_tokens() -> None:
    stage = three("m")
    for _ in range(60):
        stage.serve(stage.request())
        stage.selector.market_round(stage.now_s)
    (table,) = stage.selector.market.tables.values()
    assert len(table.tokens) > 20
    holders = {token.holder.instance for token in table.tokens}
    served = {stage.serve(stage.request()) for _ in range(40)}
    assert served <= holders
    assert len(served) > 1


def test_token_counts_follow_the_workload_of_classes() -> None:
    stage = three("m", "n")
    for _ in range(80):
        stage.serve(stage.request("m"))
        stage.selector.market_round(stage.now_s)
    stage.serve(stage.request("n"))
    stage.selector.market_round(stage.now_s)
    counts = {c.model: len(t.tokens) for c, t in stage.selector.market.tables.items()}
    assert counts["m"] > 5 * counts["n"] >= 5


def test_only_holders_of_the_model_and_the_adapter_get_a_request() -> None:
    stage = Stage(worker("a", "m"), worker("b", "m/x"), worker("c", "n/x"))
    assert {stage.serve(stage.request("m/x")) for _ in range(10)} == {"b"}
    assert {stage.serve(stage.request("m")) for _ in range(20)} <= {"a", "b"}


def test_a_service_without_models_uses_all_its_workers_and_no_others() -> None:
    stage = Stage(worker("a", service="cards"), worker("b", service="cards"), worker("c", "m"))
    served = Counter(stage.send(stage.request("", service="cards")) for _ in range(20))
    assert set(served) == {"a", "b"}
    assert min(served.values()) >= 7


def test_a_draining_worker_gets_nothing_and_its_tokens_move() -> None:
    one, two = worker("a", "m"), worker("b", "m")
    stage = Stage(one, two)
    for _ in range(40):
        stage.serve(stage.request())
        stage.selector.market_round(stage.now_s)
    stage.workers(with_state(one, "draining"), two)
    assert {stage.serve(stage.request()) for _ in range(10)} == {"b"}
    (table,) = stage.selector.market.tables.values()
    assert {token.holder.instance for token in table.tokens} == {"b"}


def test_tokens_that_nobody_can_hold_move_as_soon_as_somebody_can() -> None:
    # Given tokens of a class whose only holder has lost it
    one, two = worker("a", "m"), worker("b", "n")
    stage = Stage(one, two)
    stage.serve(stage.request())
    unloaded = worker("a", "n")
    stage.workers(unloaded, two)
    (table,) = [t for t in stage.selector.market.tables.values() if t.request_class.model == "m"]
    assert {token.holder.instance for token in table.tokens} == {"a"}
    # When another worker loads it, and nothing is new of the first
    stage.workers(unloaded, worker("b", "n", "m"))
    # Then they move there
    assert {token.holder.instance for token in table.tokens} == {"b"}


@pytest.mark.parametrize(("edges", "rounds"), [(1, 8), (16, 8), (41, 4), (400, 1)])
def test_rounds_of_trades_are_further_apart_with_many_edges(edges: int, rounds: int) -> None:
    stage = Stage(worker("a", "m"), worker("b", "m"), edges=edges)
    with patch.object(stage.selector.market, "run_round") as traded:
        stage.advance(4.0)
    assert traded.call_count == rounds


def test_a_silent_worker_is_used_only_where_nobody_else_holds_the_class() -> None:
    one, two = worker("a", "m", state="silent"), worker("b", "m")
    stage = Stage(one, two)
    assert {stage.serve(stage.request()) for _ in range(10)} == {"b"}
    stage.workers(one, with_state(two, "draining"))
    assert stage.serve(stage.request()) == "a"


# --- prompt parts -----------------------------------------------------------------------------------------


def test_all_edges_send_a_shared_part_to_the_same_worker() -> None:
    workers = [worker(f"w{number}", "m") for number in range(8)]
    chosen = set()
    for seed in range(6):
        stage = Stage(*workers, seed=seed, edges=6)
        chosen.add(stage.send(stage.request("m", (*LIBRARY, (f"own{seed}", 500)))))
    assert len(chosen) == 1


def test_other_parts_go_to_other_workers() -> None:
    stage = Stage(*(worker(f"w{number}", "m") for number in range(8)))
    served = {
        stage.serve(stage.request("m", (("head", 2000), (f"repository{n}", 4000), (f"own{n}", 500))))
        for n in range(40)
    }
    assert len(served) >= 6


def test_a_home_that_is_late_loses_the_request_to_another_worker() -> None:
    stage = Stage(*(worker(f"w{number}", "m") for number in range(4)))
    parts = (*LIBRARY, ("own", 500))
    home = stage.serve(stage.request("m", parts))
    for number in range(10):
        stage.reaches(stage.request("m", (("other", 6000), (f"x{number}", 500))), "w0", 0.2)
    for number in range(3):  # they stay without a first event
        stage.selector.sent(stage.request("m", ((f"long{number}", 30_000),)), home, stage.now_s)
    stage.now_s += 0.8
    assert stage.send(stage.request("m", parts)) != home


def test_a_session_returns_to_the_worker_that_keeps_its_prompt() -> None:
    stage = Stage(*(worker(f"w{number}", "m") for number in range(8)))
    first = stage.serve(stage.request("m", (*LIBRARY, ("session", 1500))))
    again = [stage.serve(stage.request("m", (*LIBRARY, ("session", 1500)))) for _ in range(5)]
    assert again == [first] * 5


def test_a_session_moves_when_its_worker_leaves() -> None:
    workers = [worker(f"w{number}", "m") for number in range(4)]
    stage = Stage(*workers)
    first = stage.serve(stage.request("m", (*LIBRARY, ("session", 1500))))
    stage.workers(*(with_state(w, "draining") if w.instance == first else w for w in workers))
    assert stage.serve(stage.request("m", (*LIBRARY, ("session", 1500)))) != first


def test_what_a_worker_keeps_of_a_model_is_forgotten_with_the_model() -> None:
    stage = Stage(worker("a", "m", "n"))
    request = stage.request("m", (*LIBRARY, ("own", 500)))
    stage.serve(request)
    kept = stage.selector._workers["a"].prompt_cache
    assert kept.cached_tokens(request) == 6500
    stage.workers(worker("a", "n"))
    assert kept.cached_tokens(request) == 0


# --- load -------------------------------------------------------------------------------------------------


def test_reports_of_load_turn_requests_to_the_worker_with_room() -> None:
    stage = Stage(worker("a", "m"), worker("b", "m"))
    stage.serve(stage.request())
    stage.selector.load_reported("a", 16, 4, 16, stage.now_s)
    stage.selector.load_reported("b", 1, 0, 16, stage.now_s)
    assert {stage.send(stage.request()) for _ in range(5)} == {"b"}


def test_first_events_that_come_late_turn_requests_away_for_a_while() -> None:
    stage = Stage(worker("a", "m"), worker("b", "m"))
    for name in ("a", "b") * 6:
        stage.reaches(stage.request(prompt_tokens=1000), name, 0.1)
    stage.reaches(stage.request(prompt_tokens=1000), "a", 1.5)
    stage.now_s += 1.5
    assert {stage.send(stage.request(prompt_tokens=1000)) for _ in range(4)} == {"b"}


@pytest.mark.parametrize(
    "outcome", [Outcome.FAILED, Outcome.LOST, Outcome.UNREACHABLE, Outcome.REJECTED_FULL]
)
def test_failures_raise_a_workers_load_and_fade(outcome: Outcome) -> None:
    stage = Stage(worker("a", "m"), worker("b", "m"))
    request = stage.request()
    stage.selector.sent(request, "a", stage.now_s)
    stage.selector.ended(request, "a", outcome, stage.now_s)
    assert {stage.serve(stage.request()) for _ in range(6)} == {"b"}
    stage.advance(60)
    served = set()
    for _ in range(30):
        served.add(stage.serve(stage.request()))
        stage.selector.market_round(stage.now_s)
    assert served == {"a", "b"}


def test_the_last_holder_is_never_left_out_for_its_failures() -> None:
    stage = Stage(worker("a", "m"))
    for _ in range(8):
        request = stage.request()
        stage.selector.sent(request, "a", stage.now_s)
        stage.selector.ended(request, "a", Outcome.FAILED, stage.now_s)
    assert stage.send(stage.request()) == "a"


def test_a_worker_that_denies_a_model_is_no_holder_until_it_says_so_again() -> None:
    stage = Stage(worker("a", "m"), worker("b", "m"))
    request = stage.request()
    stage.selector.sent(request, "a", stage.now_s)
    stage.selector.ended(request, "a", Outcome.MISDIRECTED, stage.now_s)
    assert {stage.serve(stage.request(), 0.01, 0.01) for _ in range(10)} == {"b"}


# --- order ------------------------------------------------------------------------------------------------


def priority_of(stage: Stage, **request: int) -> int:
    choice = stage.choose(stage.request(**request))  # type: ignore[arg-type]
    assert isinstance(choice, ChosenWorker) and choice.priority_header is not None
    return choice.priority_header


def test_urgent_routes_and_short_prompts_come_first_at_a_worker() -> None:
    stage = three("m")
    for _ in range(5):
        stage.serve(stage.request(prompt_tokens=1000))
    assert priority_of(stage, priority=0, prompt_tokens=1000) < priority_of(
        stage, priority=2, prompt_tokens=1000
    )
    assert priority_of(stage, prompt_tokens=100) < priority_of(stage, prompt_tokens=9000)
    assert priority_of(stage, priority=9, prompt_tokens=9000) == 9


# --- missing models ---------------------------------------------------------------------------------------


def test_a_request_waits_for_a_load_that_ends_in_time() -> None:
    arriving = (ArrivingModel("m", "", 0.4),)
    stage = Stage(worker("a", "n", arriving=arriving))
    assert isinstance(stage.choose(stage.request("m", objective_s=1.0)), WaitForWorker)
    stage.now_s += 0.4
    stage.workers(worker("a", "n", "m"))
    assert stage.send(stage.request("m")) == "a"


def test_a_request_that_a_load_makes_late_is_told_when_to_come_back() -> None:
    arriving = (ArrivingModel("m", "", 1.2),)
    stage = Stage(worker("a", "n", arriving=arriving))
    refusal = stage.choose(stage.request("m", objective_s=0.5, time_s=6.0))
    assert isinstance(refusal, RefusedRequest)
    assert refusal.code == ResultCode.MODEL_LOADING
    assert refusal.retry_after_s is not None
    assert 1.2 <= refusal.retry_after_s <= 2.0


def test_who_comes_again_waits_for_the_load() -> None:
    arriving = (ArrivingModel("m", "", 0.8),)
    stage = Stage(worker("a", "n", arriving=arriving))
    stage.choose(stage.request("m", objective_s=0.5, time_s=6.0))
    again = stage.request("m", objective_s=0.5, time_s=4.0)
    assert isinstance(stage.choose(again), WaitForWorker)


def test_who_comes_again_waits_longer_for_a_load_that_is_under_way() -> None:
    # Given a load that ends within the time until the client gives up, but late in it
    stage = Stage(worker("a", "n", arriving=(ArrivingModel("m", "", 1.5),)))
    stage.choose(stage.request("m", objective_s=0.5, time_s=6.0))
    again = stage.request("m", objective_s=0.5, time_s=4.0)
    # When its client comes again
    choice = stage.choose(again)
    # Then it waits, for less than its client does
    assert isinstance(choice, WaitForWorker)
    assert 1.5 < choice.wait_s < 2.0
    # And of a load that would end too late it is told at once
    stage = Stage(worker("a", "n", arriving=(ArrivingModel("m", "", 1.9),)))
    stage.choose(stage.request("m", objective_s=0.5, time_s=6.0))
    again = stage.request("m", objective_s=0.5, time_s=4.0)
    assert isinstance(stage.choose(again), RefusedRequest)


def test_a_request_waits_for_a_late_load_that_no_advice_reaches() -> None:
    arriving = (ArrivingModel("m", "", 2.0),)
    stage = Stage(worker("a", "n", arriving=arriving))
    choice = stage.choose(stage.request("m", objective_s=0.6, time_s=5.0))
    assert isinstance(choice, WaitForWorker)
    assert choice.wait_s < 0.5 * 2.4, "its client gives up after a silence of four objectives"


def test_nobody_is_held_for_half_of_the_time_after_which_clients_give_up() -> None:
    stage = Stage(worker("a", "n"))
    request = stage.request("m", objective_s=0.6, time_s=3.6)
    choice = stage.choose(request)
    while isinstance(choice, WaitForWorker):
        stage.now_s += choice.wait_s
        choice = stage.choose(request)
    assert isinstance(choice, RefusedRequest)
    assert stage.now_s - request.arrived_s < 0.5 * 2.4
    assert choice.retry_after_s is not None and choice.retry_after_s <= (3.6 - 1.0) / 3


def test_without_any_worker_of_the_service_the_code_says_so() -> None:
    stage = Stage(worker("a", "n"))
    refusal = stage.choose(stage.request("", service="cards", objective_s=0.1, time_s=0.3))
    while isinstance(refusal, WaitForWorker):
        stage.now_s += refusal.wait_s
        refusal = stage.choose(stage.request("", service="cards", objective_s=0.1, time_s=0.3))
        break
    assert not isinstance(refusal, ChosenWorker)


def test_nothing_is_refused_while_a_holder_has_free_places() -> None:
    stage = three("m")
    for name in ("a", "b", "c") * 4:
        stage.reaches(stage.request(prompt_tokens=1000), name, 4.0)
    assert isinstance(stage.choose(stage.request(prompt_tokens=50_000, time_s=1.0)), ChosenWorker)


def test_a_request_is_refused_when_all_places_are_taken_and_it_would_come_too_late() -> None:
    stage = Stage(worker("a", service="cards", slots=2), worker("b", service="cards", slots=2))
    for name in ("a", "b") * 6:
        stage.reaches(stage.request("", service="cards"), name, 0.5, 0.0)
    for name in ("a", "b"):
        stage.selector.load_reported(name, 2, 8, 2, stage.now_s)
    refusal = stage.choose(stage.request("", service="cards", time_s=0.6))
    assert isinstance(refusal, RefusedRequest)
    assert refusal.code == ResultCode.OVERLOADED
    assert refusal.retry_after_s is not None and 0 < refusal.retry_after_s <= 0.2


# --- demand -----------------------------------------------------------------------------------------------


def test_demand_tells_requests_workload_and_what_found_no_holder() -> None:
    stage = Stage(worker("a", "m"))
    for _ in range(4):
        stage.serve(stage.request("m"), 0.1, 0.4)
    waiting = stage.request("n/x", objective_s=2.0)
    stage.choose(waiting)
    stage.choose(waiting)  # it asks again while it waits, and counts once
    demand = {(d.service, d.model, d.adapter): d for d in stage.selector.take_demand(stage.now_s)}
    held, missed = demand[SERVICE, "m", ""], demand[SERVICE, "n", "x"]
    assert (held.requests, held.missing) == (4, 0)
    assert held.workload_s == pytest.approx(2.0)
    assert (missed.requests, missed.missing) == (1, 1)
    assert stage.selector.take_demand(stage.now_s) == ()


def test_the_learned_wait_for_loads_grows_with_what_loads_took() -> None:
    stage = Stage(worker("a", "n"))
    before = stage.choose(stage.request("m", objective_s=0.2, time_s=30.0))
    assert isinstance(before, RefusedRequest) and before.retry_after_s is not None
    stage.now_s += 6.0
    stage.workers(worker("a", "n", "m"))
    stage.workers(worker("a", "n"))
    after = stage.choose(stage.request("m", objective_s=0.2, time_s=30.0))
    assert isinstance(after, RefusedRequest) and after.retry_after_s is not None
    assert after.retry_after_s > before.retry_after_s >= LOAD_S


# --- herds ------------------------------------------------------------------------------------------------


def test_edges_that_heard_the_same_do_not_all_choose_the_same_worker() -> None:
    workers = [worker(f"w{number}", "m") for number in range(6)]
    chosen = set()
    for seed in range(12):
        stage = Stage(*workers, seed=seed, edges=12)
        for record in workers:
            stage.selector.load_reported(record.instance, 2, 0, 16, stage.now_s)
        chosen.add(stage.send(stage.request()))
    assert len(chosen) >= 3


def test_the_same_seed_and_events_give_the_same_choices() -> None:
    def play() -> list[str]:
        stage = Stage(*(worker(f"w{number}", "m") for number in range(5)), seed=3, edges=4)
        draw = random.Random(5)
        served = []
        for number in range(40):
            parts = ((f"shared{draw.randrange(4)}", 1000), (f"own{number}", 200))
            served.append(stage.serve(stage.request("m", parts if draw.random() < 0.5 else ())))
            stage.selector.market_round(stage.now_s)
        return served

    assert play() == play()


def test_a_worker_whose_streams_pause_long_gets_none_while_another_is_free() -> None:
    # Given two holders with the same load, one of which is slower: its streams pause for longer
    stage = Stage(worker("a", "m"), worker("b", "m"))
    stream = replace(stage.request(), pause_objective_s=0.4)
    for _ in range(8):
        stage.selector.stream_passed(stream, "a", 0.5)
        stage.selector.stream_passed(stream, "b", 0.2)
    # When streams come, then the faster one gets them
    streams = [replace(stage.request(), pause_objective_s=0.4) for _ in range(10)]
    assert {stage.serve(one) for one in streams} == {"b"}


def test_what_was_learned_of_pauses_does_not_keep_requests_without_a_pause_objective_away() -> None:
    stage = Stage(worker("a", "m"), worker("b", "m"))
    stream = replace(stage.request(), pause_objective_s=0.4)
    for _ in range(8):
        stage.selector.stream_passed(stream, "a", 0.5)
    served = set()
    for _ in range(30):
        served.add(stage.serve(stage.request()))
        stage.selector.market_round(stage.now_s)
    assert served == {"a", "b"}


# --- what others found ------------------------------------------------------------------------------------


def test_a_worker_that_other_edges_found_failing_gets_nothing_while_another_holds_the_class() -> None:
    # Given two holders, of which several edges found one failing
    stage = Stage(replace(worker("a", "m"), troubled=True), worker("b", "m"))
    # When requests come, then the other one gets them
    assert {stage.serve(stage.request()) for _ in range(10)} == {"b"}
    # But where both are found failing, both are used
    stage.workers(*(replace(worker(name, "m"), troubled=True) for name in "ab"))
    stage.selector.market_round(stage.now_s)
    served = set()
    for _ in range(30):
        served.add(stage.serve(stage.request()))
        stage.selector.market_round(stage.now_s)
    assert served == {"a", "b"}


def test_failures_are_told_to_the_owner_once() -> None:
    stage = Stage(worker("a", "m"))
    request = stage.request()
    stage.selector.sent(request, "a", stage.now_s)
    stage.selector.ended(request, "a", Outcome.FAILED, stage.now_s)
    assert stage.selector.take_failing() == ("a",)
    assert stage.selector.take_failing() == ()


def test_a_class_whose_only_holder_cannot_be_reached_is_missed_and_waited_for() -> None:
    # Given the only holder of a class, to which no connection comes up
    stage = Stage(worker("a", "m"), worker("b", "n"))
    request = stage.request("m", objective_s=3.0)
    stage.selector.sent(request, "a", stage.now_s)
    stage.selector.ended(request, "a", Outcome.UNREACHABLE, stage.now_s)
    # When it is asked for again, then it waits for a load elsewhere, and the owner is told that it is missed
    assert isinstance(stage.choose(stage.request("m", objective_s=3.0)), WaitForWorker)
    (demand,) = stage.selector.take_demand(stage.now_s)
    assert demand.missing == 1.0
    # And a little later the holder is tried again
    stage.now_s += 1.0
    assert stage.send(stage.request("m")) == "a"


def test_a_worker_that_denied_a_class_is_soon_asked_again() -> None:
    # Given the only holder of a class, which says that it does not hold it
    stage = Stage(worker("a", "m"))
    request = stage.request("m", objective_s=2.0)
    stage.selector.sent(request, "a", stage.now_s)
    stage.selector.ended(request, "a", Outcome.MISDIRECTED, stage.now_s)
    # When the request asks again, then it waits a moment, not for a whole load
    choice = stage.choose(request)
    assert isinstance(choice, WaitForWorker) and choice.wait_s <= 0.2
    # And then is sent there again
    stage.now_s += choice.wait_s + 0.01
    assert stage.send(request) == "a"


def test_an_edge_without_a_free_connection_tells_nothing_against_the_worker() -> None:
    # Given the only holder of a class, all of whose connections that this edge may open are in use
    stage = Stage(worker("a", "m"))
    request = stage.request("m")
    stage.selector.sent(request, "a", stage.now_s)
    stage.selector.ended(request, "a", Outcome.NO_CONNECTION_FREE, stage.now_s)
    # Then the other edges hear nothing, and the next request may go there at once
    assert stage.selector.take_failing() == ()
    assert stage.send(stage.request("m")) == "a"
