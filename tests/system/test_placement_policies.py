"""Tests of placement policies. Each fails with its policy disabled, except where a comment says otherwise."""

from __future__ import annotations

from dataclasses import replace

from arrowfold.internal.messages import ClassDemand
from arrowfold.placement.ceiling import LoadRateLimiter
from arrowfold.placement.demand import DemandEstimator, ModelClass
from arrowfold.placement.options import DemandOptions, PlacementOptions, PlannerOptions, ValuationOptions
from arrowfold.placement.orders import Operation
from arrowfold.placement.valuation import CopyValuation
from tests.system.placement_world import SERVICE, PlacementSimulation, catalogue


def loads(simulation: PlacementSimulation) -> list[str]:
    """Returns the loaded models in order."""
    return [order.model for order, _ in simulation.answers if order.operation is Operation.LOAD]


def full_simulation(workers: int, *, models: int = 100, load_rate_per_s: float = 17.0) -> PlacementSimulation:
    """Returns a simulation whose workers hold three models each, all different."""
    simulation = PlacementSimulation(
        catalogue(models=models, load_rate_per_s=load_rate_per_s), workers=workers
    )
    for index, worker in enumerate(simulation.workers.values()):
        simulation.set_holdings(worker.instance, *(f"m{3 * index + offset}" for offset in range(3)))
    return simulation


def test_while_models_are_missed_only_pressing_copies_are_started() -> None:
    # Passes with `copies_wait` disabled as well: missing models are planned first, and one for which no
    # worker was found leaves none to an additional copy either (docs/decisions.md).
    # Given a store that allows few loads, a model with slightly rising demand, and missed rare models
    simulation = full_simulation(6, load_rate_per_s=1.0)
    simulation.run(4.0)
    rare_models = iter(range(60, 100))

    def report_warm_model() -> None:
        simulation.report_requests("m0", requests=0.06, took_s=0.9)

    for _ in range(30):
        simulation.report_requests(f"m{next(rare_models)}", missing=True)
        simulation.run(0.25, report_warm_model)
    # Then every load is one that a request waits for
    assert all(int(model[1:]) >= 60 for model in loads(simulation))


def test_a_load_at_its_expected_end_frees_its_worker_and_the_store() -> None:
    # Given one worker and two models that are missed
    simulation = PlacementSimulation(catalogue(load_time_s=0.6), workers=1)
    simulation.run(1.0)
    simulation.report_requests("m5", missing=True)
    simulation.report_requests("m6", missing=True)
    # When the first load has just ended, and no report can have shown it
    simulation.run(0.75)
    # Then the second one is in progress
    assert len(loads(simulation)) == 2
    simulation.run(1.0)
    assert simulation.holders_of("m5") == simulation.holders_of("m6") == ["w0"]


def test_a_load_that_exceeds_its_expected_end_becomes_pending_again() -> None:
    # Given a worker whose loads take three times as long as the configuration says
    simulation = PlacementSimulation(catalogue(load_time_s=0.5), workers=1, load_time_factor=3.0)
    simulation.run(1.0)
    simulation.report_requests("m5", missing=True)
    # When its expected end has passed, and reports show it still running
    simulation.run(1.2)
    assert simulation.placer is not None
    corrections = simulation.placer.corrections(simulation.now_s)
    # Then corrections do not list the model as ready until it is loaded
    assert all(model.name != "m5" for item in corrections for model in item.models)
    simulation.run(1.0)
    assert simulation.holders_of("m5") == ["w0"]


def test_headroom_is_reserved_before_the_next_model_is_missed() -> None:
    # Given full workers, and rare models that are missed continuously
    simulation = full_simulation(12)
    simulation.run(4.0)
    rare_models = iter(range(40, 100))
    for _ in range(12):
        simulation.report_requests(f"m{next(rare_models)}", missing=True)
        simulation.run(0.4)
    # When the next one is missed
    simulation.run(2.0)
    simulation.report_requests("m99", missing=True)
    simulation.run(0.04)
    # Then its load starts at once, without an unload before it
    assert loads(simulation)[-1] == "m99"
    assert simulation.no_worker_overfilled()


def test_a_random_deviation_of_the_rate_requires_no_copy() -> None:
    # Given a class with two requests per second
    estimate = DemandEstimator()
    for step in range(60):
        estimate.add([ClassDemand(SERVICE, "m0", "", 1.0, 0.5)], step * 0.5)
    model = estimate.model("m0")
    steady = model.rate_per_s(30.0)
    # When three requests arrive at once, as random arrivals do, then its rate stays nearly unchanged
    estimate.add([ClassDemand(SERVICE, "m0", "", 3.0, 1.5)], 30.0)
    assert model.rate_per_s(30.0) < 1.5 * steady
    # But at ten requests per second it follows within a second
    for step in range(10):
        estimate.add([ClassDemand(SERVICE, "m0", "", 1.0, 0.5)], 30.1 + step * 0.1)
    assert model.rate_per_s(31.0) > 2.0 * steady


def test_no_headroom_is_reserved_without_missed_requests() -> None:
    simulation = full_simulation(12)
    simulation.run(4.0)
    simulation.run(
        6.0, lambda: [simulation.report_requests(f"m{number}", requests=0.1) for number in range(36)]
    )
    assert simulation.answers == []


def test_a_load_from_the_workers_own_disk_does_not_wait_for_the_rate_limit() -> None:
    # Given a rate limit that allows no load, and a worker that a report has shown to hold m0
    simulation = PlacementSimulation(catalogue(models=20), workers=1)
    simulation.set_holdings("w0", "m0", "m1", "m2")
    simulation.run(4.0)
    simulation.report_requests("m5", missing=True)
    simulation.run(2.0, lambda: [simulation.report_requests(name, requests=0.1) for name in ("m1", "m2")])
    assert simulation.holders_of("m0") == []
    placer = simulation.placer
    assert placer is not None
    placer._load_limiter = LoadRateLimiter(0.0, 5.0, 0.0, simulation.now_s)
    simulation.run(4.0)
    # Then a model that it held before is loaded when missed again, and one that it never held is not
    simulation.report_requests("m0", missing=True)
    simulation.run(1.5)
    assert simulation.holders_of("m0") == ["w0"]
    simulation.report_requests("m9", missing=True)
    simulation.run(1.5)
    assert simulation.holders_of("m9") == []


def test_models_missed_by_urgent_routes_come_first() -> None:
    # Given two models, missed by one request each, of routes with rank 2 and rank 0
    demand = DemandEstimator()
    demand.add([ClassDemand(SERVICE, "m1", "", 1.0, 0.5, 1.0, 2.0)], 0.0)
    demand.add([ClassDemand(SERVICE, "m9", "", 1.0, 0.5, 1.0, 0.0)], 0.1)
    # Then the urgent one comes first, and its weight is higher by one for each rank
    assert demand.missed_classes(0.2) == [ModelClass("m9"), ModelClass("m1")]
    assert (demand.urgency("m9"), demand.urgency("m1")) == (3.0, 1.0)
    # But a less urgent one that many requests wait for does not starve
    demand.add([ClassDemand(SERVICE, "m1", "", 4.0, 2.0, 4.0, 2.0)], 0.2)
    assert demand.missed_classes(0.2)[0] == ModelClass("m1")


def test_without_urgency_or_ranks_the_order_is_by_misses_alone() -> None:
    off = DemandEstimator(DemandOptions(urgency=False))
    unranked = DemandEstimator()
    for demand, priority in ((off, 0.0), (unranked, None)):
        demand.add([ClassDemand(SERVICE, "m1", "", 2.0, 1.0, 2.0, 2.0)], 0.0)
        demand.add([ClassDemand(SERVICE, "m9", "", 1.0, 0.5, 1.0, priority)], 0.1)
        assert demand.missed_classes(0.2) == [ModelClass("m1"), ModelClass("m9")]


def test_load_traces_contain_every_step_of_a_load_that_needed_an_unload() -> None:
    # Given a full worker
    simulation = PlacementSimulation(catalogue(), workers=1)
    simulation.set_holdings("w0", "m0", "m1", "m2")
    simulation.run(4.0)
    # When a model is missed and loaded
    simulation.report_requests("m5", missing=True)
    simulation.run(1.5)
    assert simulation.placer is not None
    (trace,) = simulation.placer.take_load_traces()
    record = trace.record()
    # Then its record holds every step
    assert (record["model"], record["urgent"], record["worker"]) == ("m5", True, "w0")
    steps = ("missed_to_planned", "planned_to_room", "room_to_order", "order_to_accepted", "accepted_to_done")
    assert all(record[step] is not None and record[step] >= 0 for step in steps)
    assert simulation.placer.take_load_traces() == []


def test_an_owner_with_options_at_their_bounds_still_loads_what_is_missed() -> None:
    # Given options with all switches off and minimum numbers
    options = PlacementOptions()
    rooms = replace(options.rooms, kept_ahead_s=0.0, trust_expected_end=False, least_rooms=1)
    planner = replace(options.planner, further_copies=False, pressing_copies=False, adapter_copies=False)
    simulation = PlacementSimulation(catalogue(), 2, replace(options, rooms=rooms, planner=planner))
    simulation.run(1.0)
    simulation.report_requests("m5", missing=True)
    simulation.run(2.0)
    assert len(simulation.holders_of("m5")) == 1


def failing_workers(simulation: PlacementSimulation) -> list[str]:
    """Returns the workers that corrections mark as failing."""
    assert simulation.placer is not None
    return [item.instance for item in simulation.placer.corrections(simulation.now_s) if item.troubled]


def test_a_worker_reported_failing_by_two_edges_is_marked_and_its_copies_are_ignored() -> None:
    # Given three workers, of which one holds m0
    simulation = PlacementSimulation(catalogue(), workers=3)
    simulation.set_holdings("w0", "m0")
    simulation.run(1.0)
    # When one edge node reports failures, then nothing happens: it may be partitioned itself
    simulation.report_failing("e1", "w0")
    simulation.run(0.1)
    assert failing_workers(simulation) == []
    # When a second edge node does, then corrections mark the worker, and a missed m0 is loaded elsewhere
    simulation.report_failing("e2", "w0")
    simulation.run(0.1)
    assert failing_workers(simulation) == ["w0"]
    simulation.report_requests("m0", missing=True)
    simulation.run(1.0)
    assert set(simulation.holders_of("m0")) > {"w0"}
    # And the mark ends some seconds after the last failure
    simulation.run(2.5)
    assert failing_workers(simulation) == []


def test_failures_far_apart_mark_no_worker() -> None:
    simulation = PlacementSimulation(catalogue(), workers=3)
    simulation.run(1.0)
    for edge in ("e1", "e2", "e3"):
        simulation.report_failing(edge, "w1")
        simulation.run(2.5)
        assert failing_workers(simulation) == []


def test_copies_on_a_failing_worker_count_if_loads_take_long() -> None:
    # Given models that take longer to load than a failing worker stays marked
    simulation = PlacementSimulation(catalogue(load_time_s=3.0), workers=3)
    simulation.set_holdings("w0", "m0")
    simulation.run(1.0)
    # When edge nodes report failures of the only holder of m0, then it is marked, but nothing is loaded
    simulation.report_failing("e1", "w0")
    simulation.report_failing("e2", "w0")
    simulation.report_requests("m0", missing=True)
    simulation.run(1.0)
    assert failing_workers(simulation) == ["w0"]
    assert loads(simulation) == []


def simulation_with_demand(asked: dict[str, float], *holdings: tuple[str, ...]) -> PlacementSimulation:
    """Returns a simulation with these holdings and requests per second, without additional copies."""
    options = PlacementOptions(planner=PlannerOptions(further_copies=False))
    simulation = PlacementSimulation(catalogue(), len(holdings), options)
    for index, models in enumerate(holdings):
        simulation.set_holdings(f"w{index}", *models)
    simulation.run(1.0)
    for _ in range(40):
        for model, rate_per_s in asked.items():
            simulation.report_requests(model, requests=rate_per_s * 0.5)
        simulation.run(0.5, step_s=0.5)
    return simulation


def losses(
    simulation: PlacementSimulation, options: ValuationOptions, *places: tuple[str, str]
) -> list[float]:
    """Returns the loss of unloading the model from the worker, for each (instance, model)."""
    assert simulation.placer is not None
    fleet = simulation.placer._fleet
    values = CopyValuation(fleet, simulation.placer._demand, options, simulation.now_s)
    return [values.loss(fleet.workers[instance], model) for instance, model in places]


def test_of_two_copies_the_one_on_the_busier_worker_has_less_value() -> None:
    # Given a model on two workers, of which one also runs another model
    simulation = simulation_with_demand({"m0": 4.0, "m1": 8.0}, ("m0", "m1"), ("m0",))
    places = (("w0", "m0"), ("w1", "m0"))
    # Then its copy there has less value; by the model's own queues both copies have the same value
    busy, light = losses(simulation, ValuationOptions(), *places)
    assert busy < light
    busy, light = losses(simulation, ValuationOptions(loss_by_load=False), *places)
    assert busy == light


def test_an_idle_rare_model_is_evicted_before_a_busy_copy() -> None:
    # Given a model that runs on two workers, and a rare one that one of them holds
    simulation = simulation_with_demand({"m0": 1.2, "m1": 0.2}, ("m0", "m1"), ("m0",))
    places = (("w0", "m0"), ("w0", "m1"))
    # Then the rare one is the victim: the other's unload would wait for running requests
    running, idle = losses(simulation, ValuationOptions(), *places)
    assert idle < running
    running, idle = losses(simulation, ValuationOptions(running_cost=0.2), *places)
    assert running < idle
