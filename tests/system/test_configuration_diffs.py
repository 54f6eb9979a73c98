"""A delta between two configurations, applied to the old one, gives exactly the new one."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from arrowfold.configuration.diffs import apply_delta, delta
from arrowfold.configuration.documents import ConfigurationDocument
from arrowfold.configuration.patches import apply_delta_value
from arrowfold.configuration.validity import parse_configuration

from .configurations import configuration, route, text_of, valid_configurations


def document(value: dict[str, Any]) -> ConfigurationDocument:
    return parse_configuration(text_of(value)).unwrap()


def canonical(value: Any) -> str:
    return json.dumps(value, sort_keys=True)


@given(valid_configurations(version=1), valid_configurations(version=2))
def test_a_delta_leads_to_exactly_the_new_configuration(old: dict[str, Any], new: dict[str, Any]) -> None:
    change = delta(document(old), document(new))
    assert canonical(apply_delta(document(old), change).unwrap().value) == canonical(new)
    assert canonical(apply_delta_value(old, change).unwrap()) == canonical(new)


@given(valid_configurations(version=1), st.data())
def test_a_delta_after_small_changes_leads_to_the_new_configuration(
    value: dict[str, Any], data: st.DataObject
) -> None:
    routes = data.draw(st.permutations(value["routes"]))
    kept = data.draw(st.integers(0, len(routes)))
    changed = [item | {"timeoutMs": data.draw(st.sampled_from([1, 1.0, 2]))} for item in routes[:kept]]
    new = value | {"version": 2, "routes": changed}
    change = delta(document(value), document(new))
    assert canonical(apply_delta(document(value), change).unwrap().value) == canonical(new)


def test_a_small_change_of_a_large_configuration_is_a_small_delta() -> None:
    routes = [route(f"r{index}") for index in range(1000)]
    old = document(configuration(7, routes=routes))
    new = document(configuration(9, routes=[*routes[1:500], route("r500", timeoutMs=1), *routes[501:]]))
    change = delta(old, new)
    assert len(change) < 400
    assert apply_delta(old, change).unwrap() == new


def test_a_delta_is_not_longer_than_the_whole_configuration() -> None:
    old = document(configuration(7, routes=[route(f"long-name-{index}") for index in range(100)]))
    new = document(configuration(9, routes=[]))
    assert len(delta(old, new)) <= len(new.to_json()) + len('{"replaceWith":}')


def test_an_invalid_or_truncated_delta_is_a_fault() -> None:
    old = document(configuration(7))
    assert apply_delta(old, b'{"version":9,"remove":{"services":["s"]}}').is_err()
    assert apply_delta(old, b'{"version":').is_err()


def test_a_change_from_integer_to_float_is_a_change() -> None:
    old, new = document(configuration(7)), document(configuration(8, routes=[route(timeoutMs=5000.0)]))
    assert b"5000.0" in apply_delta(old, delta(old, new)).unwrap().to_json()
