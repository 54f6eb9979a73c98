"""The capacity page is generated from results; costs grow with the size as expected, by counts of calls."""

from __future__ import annotations

import random
import re
import tempfile
from dataclasses import replace
from pathlib import Path

import pytest
from result import Ok

from arrowfold.configuration.changes import prepare_patch
from arrowfold.configuration.diffs import delta
from arrowfold.configuration.validity import parse_configuration
from arrowfold.controlplane.distribution import configuration_updates
from arrowfold.internal.codec import encode
from arrowfold.internal.messages import PullResponse
from arrowfold.replication.state import ConfigurationStep, ControlState, apply_entry
from benchmarks.capacity.fitting import FitSpec, FittedLine, Results, fit_one
from benchmarks.capacity.page import MISSING
from benchmarks.capacity.results import Result, read_result, result_path
from benchmarks.capacity.system import (
    documents,
    monitoring,
    page,
    placements,
    pulls,
    registries,
    selection,
    target,
)
from benchmarks.capacity.system.fits import SPECS, Lines
from benchmarks.capacity.system.points import POINTS
from benchmarks.capacity.system.population import model_name, worker_records
from benchmarks.capacity.system.worked_out import BOUNDED, Bounded
from tests.system.virtual_time import run_virtual
from tests.test_capacity import calls

FEW, MANY = 250, 2_500
FLAT = 1.2  # maximum growth of calls at ten times the size, for costs that should stay constant
LINEAR = 1.2 * MANY / FEW


# The page


def test_the_tables_are_those_of_the_results() -> None:
    text = page.PAGE.read_text()
    assert page.fill_tables(text) == text, "make capacity"
    assert set(re.findall(r"<!-- table: (\w+) -->", text)) == set(page.TABLES)


def test_a_figure_typed_into_a_table_is_replaced() -> None:
    text = page.PAGE.read_text()
    wrong = text.replace("**does not**", "holds", 1)
    assert wrong != text
    assert page.fill_tables(wrong) == text


def test_tables_by_hand_hold_no_figures() -> None:
    by_hand = re.sub(r"<!-- table: \w+ -->.*?<!-- end -->", "", page.PAGE.read_text(), flags=re.S)
    assert [line for line in by_hand.splitlines() if line.startswith("|") and re.search(r"\d", line)] == []


def test_every_table_can_say_that_nothing_is_measured() -> None:
    with tempfile.TemporaryDirectory() as folder:
        for name in page.TABLES:
            text = page.fill_tables(f"<!-- table: {name} -->\n<!-- end -->", Path(folder))
            assert text.count("\n") >= 3
        verdict = page.fill_tables("<!-- table: breaks -->\n<!-- end -->", Path(folder))
        assert MISSING in verdict


def test_the_results_are_sound() -> None:
    kept = [point for point in POINTS if result_path(point.name).exists()]
    assert len(kept) > len(POINTS) // 2
    for point in kept:
        result = read_result(result_path(point.name))
        assert (result.test, result.size) == (point.test, point.size)


def test_points_have_names_of_their_own() -> None:
    assert len({point.name for point in POINTS}) == len(POINTS)


def test_a_bound_is_found_where_the_cost_meets_it() -> None:
    cost = Bounded("edges", "", "", 2 * target.NODES, lambda at: at.edges)
    assert cost.breaks_at(Lines([]), Results([])) == pytest.approx(2.0)
    assert len({cost.name for cost in BOUNDED}) == len(BOUNDED)


def test_a_line_is_carried_to_a_size() -> None:
    pytest.importorskip("scipy")
    spec = FitSpec("cost", "ms", "some", "cost", "size", per=1)
    rows = [Result("some", "some", {"size": n}, [1], {"cost": [3.0 + 2.0 * n] * 3}) for n in (1, 2, 4)]
    line = fit_one(spec, rows)
    assert isinstance(line, FittedLine)
    assert line.at(100) == pytest.approx(203.0)
    assert fit_one(spec, rows[:2]) is None
    assert len({spec.label for spec in SPECS}) == len(SPECS)


# Growth at a control node


def test_a_heartbeat_costs_the_same_however_many_workers_there_are() -> None:
    counts = []
    for workers in (FEW, MANY):
        records = worker_records(workers, 1)
        registry = registries.filled_registry(records)
        known = replace(records[0], call_sequence=9)
        counts.append(calls(lambda registry=registry, known=known: registry.apply_call(known)))  # type: ignore[misc]
    assert counts[1] <= FLAT * counts[0]


def test_the_sweep_for_unresponsive_workers_grows_only_with_the_workers() -> None:
    few, many = (registries.filled_registry(worker_records(workers, 1)) for workers in (FEW, MANY))
    counts = [
        calls(lambda registry=registry: registry.sweep(lambda origin: True)) for registry in (few, many)
    ]  # type: ignore[misc]
    assert counts[1] <= LINEAR * counts[0]


def test_an_update_is_answered_once_to_each_edge_with_the_same_bytes() -> None:
    records = worker_records(FEW, 1)
    few = run_virtual(pulls.answer_all(5, records, 4, together=False))
    many = run_virtual(pulls.answer_all(50, records, 4, together=False))
    assert (few["answers_a_change"], many["answers_a_change"]) == (5.0, 50.0)
    assert many["bytes_a_change"] == pytest.approx(10 * few["bytes_a_change"], rel=0.02)


def test_changes_that_come_at_once_share_their_answers() -> None:
    burst = run_virtual(pulls.answer_all(10, worker_records(FEW, 1), 20, together=True))
    assert burst["answers_a_change"] * 20 == 10


def test_a_pull_grows_by_the_origins_and_not_by_the_workers() -> None:
    sizes = [pulls.rest_bytes(origins) for origins in (8, 80, 800)]
    a_first = (sizes[1] - sizes[0]) / 72
    a_later = (sizes[2] - sizes[1]) / 720
    assert a_later == pytest.approx(a_first, rel=0.05)
    assert a_first < 80  # bytes of request and answer


def test_a_record_grows_by_its_adapters_and_by_nothing_else() -> None:
    draw = random.Random(1)
    sizes = [len(encode(registries.worker_record(1, draw, adapters))) for adapters in (8, 32, 64)]
    assert (sizes[2] - sizes[1]) / 32 < 8
    assert (sizes[1] - sizes[0]) / 24 < 8


def test_the_owner_of_a_placement_without_demand_grows_by_the_workers_alone() -> None:
    counts = []
    for workers in (FEW, MANY):
        placer = placements.settled_placer(worker_records(workers, 1), 100.0)
        counts.append(calls(lambda placer=placer: placer.actions(100.0)))  # type: ignore[misc]
    assert counts[1] <= LINEAR * counts[0]


# Growth of configurations


def test_a_delta_is_the_same_however_large_the_configuration() -> None:
    sizes = []
    for models in (13, 130):
        parsed = parse_configuration(documents.document_text(models, 92 * models, models))
        assert isinstance(parsed, Ok)
        changed = prepare_patch(parsed.ok_value, "1", documents.change_of_one_route(2))
        assert isinstance(changed, Ok)
        sizes.append(len(delta(parsed.ok_value, changed.ok_value)))
    assert sizes[0] == sizes[1]


def test_adapters_do_not_enlarge_a_configuration() -> None:
    few = documents.document_text(130, 1_300, 130)
    many = documents.document_text(130, 12_000, 130)
    assert len(many) - len(few) <= 130 * 4


def test_an_hour_apart_is_caught_up_by_deltas() -> None:
    state = ControlState()
    changes = target.CHANGES_PER_DAY * target.APART_S // target.SECONDS_PER_DAY
    for version in range(1, changes + 1):
        whole = documents.document_text(130, 12_000, 130) if version == 1 else None
        patch = documents.change_of_one_route(version) if version > 1 else None
        step = ConfigurationStep(version, version.to_bytes(32, "big"), whole, patch)
        state = apply_entry(state, step)
    assert len(state.patches) == changes - 1
    assert len(configuration_updates(state, 1)) == changes - 1


# Growth at an edge


def test_a_request_costs_the_same_however_many_workers_there_are() -> None:
    counts = []
    for workers in (FEW, MANY):
        edge = selection.SelectorSimulation(worker_records(workers, 1), 1, 1)
        edge.play(20.0, 4.0)
        counts.append(min(calls(lambda edge=edge: edge.request(0.0)) for _ in range(20)))  # type: ignore[misc]
    assert counts[1] <= 2 * counts[0]  # there are more holders, but only a few are compared


def test_tokens_and_tables_are_bounded_by_what_is_asked_for() -> None:
    edge = selection.SelectorSimulation(worker_records(MANY, 1), target.CLASSES, 1)
    edge.play(30.0, 4.0)
    assert len(edge.selector.market.tables) <= 30 * 4
    assert edge.tokens <= 10_000


def test_an_answer_without_updates_changes_no_table() -> None:
    first = pulls.first_answer(worker_records(FEW, 1))
    tables = pulls.FleetTables()
    tables.apply(first)
    snapshot = tables.snapshot
    assert not tables.apply(PullResponse(True, first.view, first.vector))
    assert tables.snapshot is snapshot


# The model of monitoring


def test_each_node_is_watched_by_as_many_and_a_loss_moves_only_its_own() -> None:
    figures = monitoring.monitoring(100, 0.01, 1)
    assert figures["watched_mean"] == monitoring.WATCHERS
    assert figures["moved_by_one_loss"] == figures["expected_moved"]


def test_simulated_workers_hold_models_of_the_configuration() -> None:
    names = {model_name(number) for number in range(target.MODELS)}
    held = {model.name for record in worker_records(FEW, 1) for model in record.models}
    assert held <= names
