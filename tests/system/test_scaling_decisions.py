"""Decisions on the worker count of a zone, and the bounds, loads and fleets that they are based on."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from arrowfold.internal.messages import ClassDemand, DemandReport, NodeIdentity, WorkerRecord
from arrowfold.scaling.options import ScalingOptions
from arrowfold.scaling.service_bounds import ScalingBounds, scaling_bounds_of
from arrowfold.scaling.service_load import Load, ServiceLoad
from arrowfold.scaling.zone_fleet import ZoneFleet, zone_fleets
from arrowfold.scaling.zone_scaler import Reason, Situation, ZoneScaler

OPTIONS = ScalingOptions(orders=True, floor_share=0.0, target_share=0.5, known_s=3.0, rise_s=6.0, fall_s=20.0)
EDGE = NodeIdentity("edge", "e", "z0", "e:1")


@st.composite
def bounds(draw: st.DrawFn) -> ScalingBounds:
    min_count = draw(st.integers(0, 5))
    return ScalingBounds("s", min_count, min_count + draw(st.integers(0, 5)), 8.0)


SITUATIONS = st.tuples(
    st.sampled_from([0.5, 0.5, 0.5, 3.0, 30.0]),  # seconds since the previous situation
    bounds(),
    st.builds(ZoneFleet, st.integers(0, 12), st.integers(0, 2), st.sampled_from([0, 10])),
    st.builds(Load, st.floats(0, 500), st.integers(0, 30), st.booleans()),
    st.integers(0, 3),
)


@given(
    st.lists(SITUATIONS, max_size=30),
    st.sampled_from([0.0, 0.5, 1.0]),
    st.lists(st.booleans(), min_size=30, max_size=30),
)
def test_a_wanted_count_is_within_the_bounds_and_differs_from_the_accepted_one(
    steps: list[tuple[float, ScalingBounds, ZoneFleet, Load, int]],
    floor_share: float,
    orders_accepted: list[bool],
) -> None:
    options = ScalingOptions(True, floor_share, 0.5, known_s=1.0, rise_s=1.0, fall_s=2.0)
    scaler = ZoneScaler(options)
    now_s, accepted = 0.0, None
    for (interval_s, limits, fleet, load, models), is_accepted in zip(steps, orders_accepted, strict=False):
        now_s += interval_s
        wanted = scaler.evaluate(Situation(now_s, limits, fleet, load, 2, models))
        assert limits.min_count <= scaler.count(limits) <= limits.max_count
        if wanted is None:
            continue
        assert limits.min_count <= wanted.count <= limits.max_count
        assert wanted.count != accepted
        if wanted.reason is Reason.IDLE:
            assert wanted.count == scaler.count(limits) - 1
            assert fleet.draining == 0
        if is_accepted:
            accepted = wanted.count
            scaler.accepted(wanted.count)


def test_a_minimum_share_is_ordered_without_any_load() -> None:
    scaler = ZoneScaler(ScalingOptions(True, 1.0, 0.5, known_s=3.0, rise_s=6.0, fall_s=20.0))
    limits = ScalingBounds("s", 2, 4, 8.0)
    wanted = None
    for step in range(20):
        now = Situation(step * 0.5, limits, ZoneFleet(2, 0, 10), Load(0.0, 0, False), 1, 0)
        wanted = wanted or scaler.evaluate(now)
    assert wanted is not None and (wanted.count, wanted.reason) == (4, Reason.LOAD)


def test_observations_before_a_pause_of_the_process_are_discarded() -> None:
    # Guards against an order based on outdated observations after the duty holder's process was suspended.
    scaler = ZoneScaler(OPTIONS)
    limits = ScalingBounds("s", 1, 9, 8.0)

    def evaluate(now_s: float) -> object:
        return scaler.evaluate(Situation(now_s, limits, ZoneFleet(4, 0, 10), Load(1.0, 0, True), 1, 0))

    for step in range(30):
        assert evaluate(step * 0.5) is None
    for step in range(39):
        assert evaluate(100.0 + step * 0.5) is None
    assert evaluate(120.0) is not None


def test_the_bounds_of_a_service_have_defaults() -> None:
    assert scaling_bounds_of({"name": "s"}) is None
    assert scaling_bounds_of({"name": "s", "scaling": {"maxCount": 3}}) == ScalingBounds("s", 0, 3, 0.0)
    full = {"minCount": 2, "maxCount": 3, "bootTimeS": 8}
    assert scaling_bounds_of({"name": "s", "scaling": full}) == ScalingBounds("s", 2, 3, 8.0)


def test_workers_are_counted_by_zone_and_state() -> None:
    def worker(instance: str, zone: str, state: str, service: str = "s") -> WorkerRecord:
        return WorkerRecord(instance, service, f"{instance}:1", zone, "v1", 10, state)

    records = [
        worker("1", "z0", "available"),
        worker("2", "z0", "draining"),
        worker("3", "z0", "gone"),
        worker("4", "z1", "silent"),
        worker("5", "z2", "gone"),
        worker("6", "z2", "available", "t"),
    ]
    assert zone_fleets(records, "s") == {"z0": ZoneFleet(1, 1, 10), "z1": ZoneFleet(0, 0, 10)}


def test_a_load_is_known_after_edges_have_reported_for_some_time_and_lately() -> None:
    load = ServiceLoad("s", 20.0)
    classes = (ClassDemand("s", "m", "", 4.0, 2.0), ClassDemand("t", "n", "", 9.0, 9.0))
    assert not load.at(0.0).is_known
    for step in range(60):
        load.add(DemandReport(EDGE, 0.5, classes), step * 0.5)
    known = load.at(29.5)
    assert known.is_known and known.models == 1
    assert 3.5 < known.running < 4.5  # 2 s of work every half second
    assert not load.at(32.0).is_known
    load.add(DemandReport(EDGE, 0.5, classes), 40.0)
    assert not load.at(40.0).is_known
    assert load.at(70.0).models == 0
