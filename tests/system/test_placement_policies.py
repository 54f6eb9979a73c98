"""Stories of the placement's policies. Each fails with its policy off, but for the one that says so."""

from __future__ import annotations

from dataclasses import replace

from arrowfold.internal.messages import ClassDemand
from arrowfold.placement.ceiling import LoadCeiling
from arrowfold.placement.demand import DemandEstimator, ModelClass
from arrowfold.placement.options import DemandOptions, PlacementOptions, PlannerOptions, ValuationOptions
from arrowfold.placement.orders import Operation
from arrowfold.placement.valuation import CopyValuation
from tests.system.placement_world import SERVICE, PlacementWorld, catalogue


def loads(world: PlacementWorld) -> list[str]:
    """The models that were loaded, in order."""
    return [order.model for order, _ in world.answers if order.operation is Operation.LOAD]


def full_world(workers: int, *, models: int = 100, load_rate_s: float = 17.0) -> PlacementWorld:
    """Workers that hold three models each, all different."""
    world = PlacementWorld(catalogue(models=models, load_rate_s=load_rate_s), workers=workers)
    for index, worker in enumerate(world.workers.values()):
        world.hold(worker.instance, *(f"m{3 * index + place}" for place in range(3)))
    return world


def test_while_models_are_missed_no_copies_are_begun_that_do_not_press() -> None:
    # Holds by the order of work alone, `copies_wait` off as well: a missed model that found no worker
    # leaves none to a copy either (docs/decisions.md).
    # Given a store that allows few loads, a model that gets somewhat warmer, and rare ones that are missed
    world = full_world(6, load_rate_s=1.0)
    world.run(4.0)
    rare = iter(range(60, 100))

    def ask_warm() -> None:
        world.ask("m0", requests=0.06, took_s=0.9)

    for _ in range(30):
        world.ask(f"m{next(rare)}", missing=True)
        world.run(0.25, ask_warm)
    # Then every load of that time is one that a request waits for
    assert all(int(model[1:]) >= 60 for model in loads(world))


def test_a_load_that_should_have_ended_keeps_neither_its_worker_nor_the_store() -> None:
    # Given one worker and two models that are missed
    world = PlacementWorld(catalogue(load_time_s=0.6), workers=1)
    world.run(1.0)
    world.ask("m5", missing=True)
    world.ask("m6", missing=True)
    # When the first load has just ended, and no report could tell yet
    world.run(0.75)
    # Then the second one is under way
    assert len(loads(world)) == 2
    world.run(1.0)
    assert world.held_by("m5") == world.held_by("m6") == ["w0"]


def test_a_load_that_runs_on_beyond_its_expected_end_is_taken_back() -> None:
    # Given a worker whose loads take three times as long as the configuration says
    world = PlacementWorld(catalogue(load_time_s=0.5), workers=1, load_slowness=3.0)
    world.run(1.0)
    world.ask("m5", missing=True)
    # When its expected end has passed, and reports say that it still runs
    world.run(1.2)
    assert world.placer is not None
    told = world.placer.corrections(world.now_s)
    # Then edges are not told that the model stands ready, and are once it does
    assert all(model.name != "m5" for item in told for model in item.models)
    world.run(1.0)
    assert world.held_by("m5") == ["w0"]


def test_rooms_are_free_before_the_next_model_is_missed() -> None:
    # Given a full fleet in which rare models are missed all the time
    world = full_world(12)
    world.run(4.0)
    rare = iter(range(40, 100))
    for _ in range(12):
        world.ask(f"m{next(rare)}", missing=True)
        world.run(0.4)
    # When the next one is missed
    world.run(2.0)
    world.ask("m99", missing=True)
    world.run(0.04)
    # Then its load is under way at once, with no unload before it
    assert loads(world)[-1] == "m99"
    assert world.nobody_fell()


def test_a_rise_within_what_chance_explains_asks_for_no_copy() -> None:
    # Given a class that is asked for twice a second
    estimate = DemandEstimator()
    for step in range(60):
        estimate.add([ClassDemand(SERVICE, "m0", "", 1.0, 0.5)], step * 0.5)
    model = estimate.model("m0")
    steady = model.rate_per_s(30.0)
    # When three requests come at once, as they do by chance, then its rate stays about what it was
    estimate.add([ClassDemand(SERVICE, "m0", "", 3.0, 1.5)], 30.0)
    assert model.rate_per_s(30.0) < 1.5 * steady
    # But when it is asked for ten times a second, it follows within a second
    for step in range(10):
        estimate.add([ClassDemand(SERVICE, "m0", "", 1.0, 0.5)], 30.1 + step * 0.1)
    assert model.rate_per_s(31.0) > 2.0 * steady


def test_no_rooms_are_made_where_nothing_is_missed() -> None:
    world = full_world(12)
    world.run(4.0)
    world.run(6.0, lambda: [world.ask(f"m{number}", requests=0.1) for number in range(36)])
    assert world.answers == []


def test_a_load_from_the_workers_own_disk_does_not_wait_for_the_ceiling() -> None:
    # Given an owner whose ceiling allows no load, and a worker that was seen to hold m0 in this life
    world = PlacementWorld(catalogue(models=20), workers=1)
    world.hold("w0", "m0", "m1", "m2")
    world.run(4.0)
    world.ask("m5", missing=True)
    world.run(2.0, lambda: [world.ask(name, requests=0.1) for name in ("m1", "m2")])
    assert world.held_by("m0") == []
    placer = world.placer
    assert placer is not None
    placer._ceiling = LoadCeiling(0.0, 5.0, 0.0, world.now_s)
    world.run(4.0)
    # When what it held is missed again, then it is loaded; and what it never held is not
    world.ask("m0", missing=True)
    world.run(1.5)
    assert world.held_by("m0") == ["w0"]
    world.ask("m9", missing=True)
    world.run(1.5)
    assert world.held_by("m9") == []


def test_what_urgent_routes_miss_comes_before_what_others_miss() -> None:
    # Given two models that one request each misses, of routes with rank 2 and rank 0
    demand = DemandEstimator()
    demand.add([ClassDemand(SERVICE, "m1", "", 1.0, 0.5, 1.0, 2.0)], 0.0)
    demand.add([ClassDemand(SERVICE, "m9", "", 1.0, 0.5, 1.0, 0.0)], 0.1)
    # Then the urgent one comes first, and weighs one more for each rank
    assert demand.missed_classes(0.2) == [ModelClass("m9"), ModelClass("m1")]
    assert (demand.urgency("m9"), demand.urgency("m1")) == (3.0, 1.0)
    # But a less urgent one that many wait for does not starve
    demand.add([ClassDemand(SERVICE, "m1", "", 4.0, 2.0, 4.0, 2.0)], 0.2)
    assert demand.missed_classes(0.2)[0] == ModelClass("m1")


def test_without_urgency_or_ranks_the_order_is_by_misses_alone() -> None:
    off = DemandEstimator(DemandOptions(urgency=False))
    unranked = DemandEstimator()
    for demand, priority in ((off, 0.0), (unranked, None)):
        demand.add([ClassDemand(SERVICE, "m1", "", 2.0, 1.0, 2.0, 2.0)], 0.0)
        demand.add([ClassDemand(SERVICE, "m9", "", 1.0, 0.5, 1.0, priority)], 0.1)
        assert demand.missed_classes(0.2) == [ModelClass("m1"), ModelClass("m9")]


def test_load_traces_tell_every_step_of_a_load_that_needed_room() -> None:
    # Given a full worker
    world = PlacementWorld(catalogue(), workers=1)
    world.hold("w0", "m0", "m1", "m2")
    world.run(4.0)
    # When a model is missed and loaded
    world.ask("m5", missing=True)
    world.run(1.5)
    assert world.placer is not None
    (trace,) = world.placer.take_load_traces()
    record = trace.record()
    # Then its record holds every step
    assert (record["model"], record["urgent"], record["worker"]) == ("m5", True, "w0")
    steps = ("missed_to_planned", "planned_to_room", "room_to_order", "order_to_accepted", "accepted_to_done")
    assert all(record[step] is not None and record[step] >= 0 for step in steps)
    assert world.placer.take_load_traces() == []


def test_an_owner_with_options_at_their_bounds_still_loads_what_is_missed() -> None:
    # Given an owner whose switches are all off and whose figures are as small as they may be
    options = PlacementOptions()
    rooms = replace(options.rooms, kept_ahead_s=0.0, trust_expected_end=False, least_rooms=1)
    planner = replace(options.planner, further_copies=False, pressing_copies=False, adapter_copies=False)
    world = PlacementWorld(catalogue(), 2, replace(options, rooms=rooms, planner=planner))
    world.run(1.0)
    world.ask("m5", missing=True)
    world.run(2.0)
    assert len(world.held_by("m5")) == 1


def troubled(world: PlacementWorld) -> list[str]:
    """The workers that edges are told to keep away from."""
    assert world.placer is not None
    return [item.instance for item in world.placer.corrections(world.now_s) if item.troubled]


def test_what_two_edges_find_failing_is_told_to_all_and_counts_as_no_copy() -> None:
    # Given three workers, one of which alone holds m0
    world = PlacementWorld(catalogue(), workers=3)
    world.hold("w0", "m0")
    world.run(1.0)
    # When one edge finds it failing, then nothing follows: the edge may be cut off itself
    world.tell_failing("e1", "w0")
    world.run(0.1)
    assert troubled(world) == []
    # When a second edge does, then all are told, and m0 is loaded elsewhere for who misses it
    world.tell_failing("e2", "w0")
    world.run(0.1)
    assert troubled(world) == ["w0"]
    world.ask("m0", missing=True)
    world.run(1.0)
    assert set(world.held_by("m0")) > {"w0"}
    # And it is tried again some seconds after the last failure
    world.run(2.5)
    assert troubled(world) == []


def test_failures_that_lie_far_apart_count_against_nobody() -> None:
    world = PlacementWorld(catalogue(), workers=3)
    world.run(1.0)
    for edge in ("e1", "e2", "e3"):
        world.tell_failing(edge, "w1")
        world.run(2.5)
        assert troubled(world) == []


def test_what_a_failing_worker_holds_still_counts_where_loads_take_long() -> None:
    # Given models that take longer to load than a failing worker is avoided for
    world = PlacementWorld(catalogue(load_time_s=3.0), workers=3)
    world.hold("w0", "m0")
    world.run(1.0)
    # When edges find the only holder of m0 failing, then all are told, and nothing is loaded elsewhere
    world.tell_failing("e1", "w0")
    world.tell_failing("e2", "w0")
    world.ask("m0", missing=True)
    world.run(1.0)
    assert troubled(world) == ["w0"]
    assert loads(world) == []


def valued_world(asked: dict[str, float], *holdings: tuple[str, ...]) -> PlacementWorld:
    """Workers that hold these models, each asked for so often a second; no copies are loaded."""
    options = PlacementOptions(planner=PlannerOptions(further_copies=False))
    world = PlacementWorld(catalogue(), len(holdings), options)
    for index, models in enumerate(holdings):
        world.hold(f"w{index}", *models)
    world.run(1.0)
    for _ in range(40):
        for model, rate_per_s in asked.items():
            world.ask(model, requests=rate_per_s * 0.5)
        world.run(0.5, step_s=0.5)
    return world


def losses(world: PlacementWorld, options: ValuationOptions, *places: tuple[str, str]) -> list[float]:
    """What the unload of a model from a worker loses, for each of these places."""
    assert world.placer is not None
    fleet = world.placer._fleet
    values = CopyValuation(fleet, world.placer._demand, options, world.now_s)
    return [values.loss(fleet.workers[instance], model) for instance, model in places]


def test_of_two_copies_the_one_on_the_busier_worker_loses_less() -> None:
    # Given a model on two workers, one of which is busy with another model besides
    world = valued_world({"m0": 4.0, "m1": 8.0}, ("m0", "m1"), ("m0",))
    places = (("w0", "m0"), ("w1", "m0"))
    # Then its copy there is worth less; counted by the model's own queues both are worth the same
    busy, light = losses(world, ValuationOptions(), *places)
    assert busy < light
    busy, light = losses(world, ValuationOptions(loss_by_load=False), *places)
    assert busy == light


def test_a_copy_that_runs_stays_rather_than_a_rare_model_that_is_idle() -> None:
    # Given a model that runs on two workers, and a rare one that stands on one of them
    world = valued_world({"m0": 1.2, "m1": 0.2}, ("m0", "m1"), ("m0",))
    places = (("w0", "m0"), ("w0", "m1"))
    # Then the rare one is what gives way: the other's unload would wait for its runs
    running, idle = losses(world, ValuationOptions(), *places)
    assert idle < running
    running, idle = losses(world, ValuationOptions(running_cost=0.2), *places)
    assert running < idle
