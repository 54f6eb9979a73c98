"""The route table: matching by host and longest prefix, splits by weight, defaults and units."""

from __future__ import annotations

import subprocess
import sys
from collections import Counter
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arrowfold.configuration.routes import Limits, Route, RouteTable
from arrowfold.configuration.validity import parse_configuration

from .configurations import configuration, route, text_of, valid_configurations

PATHS = st.lists(st.sampled_from(["a", "b", "c", "long-name", "x", ""]), max_size=6).map(
    lambda parts: "/" + "/".join(parts)
)


def table(**members: Any) -> RouteTable:
    return RouteTable.from_document(parse_configuration(text_of(configuration(**members))).unwrap())


def split_route(*weights: float) -> Route:
    split = [
        {"targetService": service, "weight": weight} for service, weight in zip("st", weights, strict=False)
    ]
    return table(routes=[route(trafficSplit=split)]).routes[0]


@given(valid_configurations(), st.sampled_from(["a.example", "b.example", "other"]), PATHS)
def test_the_longest_prefix_of_the_host_wins(value: dict[str, Any], host: str, path: str) -> None:
    routes = RouteTable.from_document(parse_configuration(text_of(value)).unwrap())
    matching = [
        item
        for item in value["routes"]
        if item["hostname"].lower() == host and path.startswith(item["pathPrefix"])
    ]
    expected = max(matching, key=lambda item: len(item["pathPrefix"]))["name"] if matching else None
    found = routes.match(host, path)
    assert (found.name if found else None) == expected


@given(valid_configurations(), st.floats(0, 1, exclude_max=True))
def test_every_route_of_a_valid_configuration_leads_to_a_known_service(
    value: dict[str, Any], fraction: float
) -> None:
    routes = RouteTable.from_document(parse_configuration(text_of(value)).unwrap())
    for item in routes.routes:
        assert routes.match(item.host, item.prefix + "x") is item
        assert item.pick_service(fraction) in routes.services
        assert item.timeout_s > 0


@pytest.mark.parametrize("host", ["a.example", "A.Example", "a.example:8080", "a.example.", " a.example "])
def test_a_host_matches_regardless_of_case_and_port(host: str) -> None:
    assert table().match(host, "/r/x") is not None


@pytest.mark.parametrize("path", ["/r", "/", "", "r/", "/R/x", "/q/r/x", "/?x=/r/", "/q?/r/"])
def test_a_path_outside_every_prefix_has_no_route(path: str) -> None:
    assert table().match("a.example", path) is None


def test_a_query_does_not_lengthen_the_path() -> None:
    routes = table(routes=[route("a"), route("b", pathPrefix="/a/x?y/")])
    found = routes.match("a.example", "/a/x?y/z")
    assert found is not None and found.name == "a"


def test_a_split_follows_the_weights() -> None:
    item = split_route(90, 10)
    picked = Counter(item.pick_service(step / 1000) for step in range(1000))
    assert picked == {"s": 900, "t": 100}


def test_a_service_with_weight_0_gets_no_requests() -> None:
    assert {split_route(0, 3).pick_service(step / 100) for step in range(100)} == {"t"}


def test_a_split_takes_precedence_over_a_single_service() -> None:
    split = [{"targetService": "t", "weight": 1}]
    assert table(routes=[route(targetService="s", trafficSplit=split)]).routes[0].pick_service(0.5) == "t"


def test_times_are_seconds_and_absent_members_have_defaults() -> None:
    item = table(
        routes=[
            route(gap_aim_ms=400),
            {"name": "q", "hostname": "h", "pathPrefix": "/", "timeoutMs": 900, "targetService": "s"},
        ]
    )
    first, second = item.routes
    assert (first.timeout_s, first.latency_objective_s, first.gap_objective_s) == (5.0, 0.8, 0.4)
    assert (second.latency_objective_s, second.gap_objective_s, second.max_attempts) == (0.9, None, 1)
    assert not second.repeatable
    assert item.limits == Limits(max_header_bytes=16384, idle_timeout_s=15.0)


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        ("idempotent", False, True),
        ("non_idempotent", False, False),
        ("non_idempotent", True, False),
        ("streaming", False, False),
        ("streaming", True, True),
    ],
)
def test_which_routes_are_repeatable(kind: str, resumable: bool, repeatable: bool) -> None:
    assert table(routes=[route(routeKind=kind, resumable=resumable)]).routes[0].repeatable is repeatable


def test_the_engine_of_a_service_is_read() -> None:
    engine = {
        "capacitySlots": 64,
        "kvCacheTokens": 100,
        "stride": 5,
        "models": [{"name": "m", "weightsMb": 2.5, "adapters": 3}],
    }
    service = table(services=[{"name": "s", "engine": engine}]).services["s"]
    assert service.engine is not None
    assert (service.engine.capacity_slots, service.engine.stride) == (64, 5)
    assert (service.engine.models[0].name, service.engine.models[0].adapters) == ("m", 3)


def test_a_route_table_needs_no_pydantic() -> None:
    modules = "arrowfold.configuration.routes, arrowfold.configuration.patches"
    script = f"import sys, {modules}; print('pydantic' in sys.modules)"
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "False"
