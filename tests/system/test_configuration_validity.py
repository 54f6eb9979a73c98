"""Validation of configurations, and the faults that it reports."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given

from arrowfold.configuration.faults import ConfigurationFault, fault_status
from arrowfold.configuration.validity import parse_configuration
from arrowfold.node.result_codes import ResultCode

from .configurations import configuration, route, tenant, text_of, valid_configurations


def fault_of(value: Any) -> ConfigurationFault:
    return parse_configuration(text_of(value)).unwrap_err()


def test_a_valid_configuration_keeps_unknown_members() -> None:
    value = configuration(xOwner={"team": [1, 1.0, None]}, routes=[route(xNote="kept")])
    document = parse_configuration(text_of(value)).unwrap()
    assert document.value == value
    assert json.loads(document.to_json()) == value


def test_a_configuration_without_routes_or_limits_is_valid() -> None:
    assert parse_configuration(b'{"version":1,"routes":[],"services":[]}').is_ok()


@given(valid_configurations())
def test_a_configuration_reads_back_as_it_was_sent(value: dict[str, Any]) -> None:
    document = parse_configuration(text_of(value)).unwrap()
    assert json.dumps(json.loads(document.to_json()), sort_keys=True) == json.dumps(value, sort_keys=True)


UNREADABLE = {
    "truncated": text_of(configuration())[:-20],
    "empty": b"",
    "not an object": b"[]",
    "trailing text": text_of(configuration()) + b"}",
    "not UTF-8": b'{"version":1,"routes":[],"services":[],"x":"\xff"}',
    "duplicate key": b'{"version":1,"version":2,"routes":[],"services":[]}',
    "an infinite number": b'{"version":1,"routes":[],"services":[],"x":1e999}',
    "a constant that is not JSON": b'{"version":1,"routes":[],"services":[],"x":NaN}',
    "nested too deeply": b'{"version":1,"routes":' + b"[" * 100_000,
}


@pytest.mark.parametrize("body", UNREADABLE.values(), ids=UNREADABLE.keys())
def test_an_unreadable_configuration_is_refused(body: bytes) -> None:
    fault = parse_configuration(body).unwrap_err()
    assert fault.code is ResultCode.CONFIGURATION_UNREADABLE
    assert fault_status(fault) == 400


INVALID = {
    "version missing": ({"routes": [], "services": []}, "version"),
    "version is a string": (configuration(version="7"), "version"),  # type: ignore[arg-type]
    "version is a boolean": (configuration(version=True), "version"),
    "version with a fraction": (configuration(version=7.5), "version"),  # type: ignore[arg-type]
    "version 0": (configuration(version=0), "version"),
    "routes missing": ({"version": 1, "services": []}, "routes"),
    "services missing": ({"version": 1, "routes": []}, "services"),
    "routes is not a list": (configuration(routes={}), "routes"),
    "route is not an object": (configuration(routes=["r"]), "routes[0]"),
    "unknown service": (
        configuration(routes=[route("q"), route(targetService="u")]),
        "routes[1].targetService",
    ),
    "unknown service in a split": (
        configuration(routes=[route(trafficSplit=[{"targetService": "u", "weight": 0}])]),
        "routes[0].trafficSplit[0].targetService",
    ),
    "no service": (configuration(routes=[route(targetService=None)]), "routes[0]"),
    "duplicate prefix": (configuration(routes=[route("q"), route(pathPrefix="/q/")]), "routes[1].pathPrefix"),
    "duplicate prefix, host in other case": (
        configuration(routes=[route("q"), route(pathPrefix="/q/", hostname="A.EXAMPLE")]),
        "routes[1].pathPrefix",
    ),
    "duplicate route name": (configuration(routes=[route(), route(pathPrefix="/q/")]), "routes[1].name"),
    "duplicate service name": (configuration(services=[{"name": "s"}, {"name": "s"}]), "services[1].name"),
    "weights add up to 0": (
        configuration(routes=[route(trafficSplit=[{"targetService": "s", "weight": 0}])]),
        "routes[0].trafficSplit",
    ),
    "empty split": (configuration(routes=[route(trafficSplit=[])]), "routes[0].trafficSplit"),
    "negative weight": (
        configuration(routes=[route(trafficSplit=[{"targetService": "s", "weight": -1}])]),
        "routes[0].trafficSplit[0].weight",
    ),
    "timeout 0": (configuration(routes=[route(timeoutMs=0)]), "routes[0].timeoutMs"),
    "negative timeout": (configuration(routes=[route(timeoutMs=-5)]), "routes[0].timeoutMs"),
    "timeout is a string": (configuration(routes=[route(timeoutMs="5")]), "routes[0].timeoutMs"),
    "no attempt allowed": (configuration(routes=[route(maxAttempts=0)]), "routes[0].maxAttempts"),
    "prefix without leading slash": (
        configuration(routes=[route(pathPrefix="a/")]),
        "routes[0].pathPrefix",
    ),
    "prefix without trailing slash": (configuration(routes=[route(pathPrefix="/a")]), "routes[0].pathPrefix"),
    "public access is a string": (configuration(routes=[route(publicAccess="no")]), "routes[0].publicAccess"),
    "public access is a number": (configuration(routes=[route(publicAccess=1)]), "routes[0].publicAccess"),
    "tenants is not a list": (configuration(tenants={"acme": ["k1"]}), "tenants"),
    "tenant without a name": (configuration(tenants=[{"apiKeys": []}]), "tenants[0].name"),
    "tenant without keys": (configuration(tenants=[{"name": "acme"}]), "tenants[0].apiKeys"),
    "keys is a string": (configuration(tenants=[tenant("acme") | {"apiKeys": "k1"}]), "tenants[0].apiKeys"),
    "keys is null": (configuration(tenants=[tenant("acme") | {"apiKeys": None}]), "tenants[0].apiKeys"),
    "key is a number": (
        configuration(tenants=[tenant("acme") | {"apiKeys": ["k1", 2]}]),
        "tenants[0].apiKeys[1]",
    ),
    "empty key": (configuration(tenants=[tenant("acme", "")]), "tenants[0].apiKeys[0]"),
    "key that is not valid Unicode": (
        configuration(tenants=[tenant("acme", "k\ud800")]),
        "tenants[0].apiKeys[0]",
    ),
    "tenant's priority is a string": (
        configuration(tenants=[tenant("acme", "k1", priority="1")]),
        "tenants[0].priority",
    ),
    "duplicate tenant name": (
        configuration(tenants=[tenant("a", "k1"), tenant("a", "k2")]),
        "tenants[1].name",
    ),
    "engine without slots": (
        configuration(services=[{"name": "s", "engine": {"kvCacheTokens": 1}}]),
        "services[0].engine.capacitySlots",
    ),
    "scaling with a minimum above the maximum": (
        configuration(services=[{"name": "s", "scaling": {"minCount": 3, "maxCount": 2}}]),
        "services[0].scaling.minCount",
    ),
    "scaling without a maximum": (
        configuration(services=[{"name": "s", "scaling": {"minCount": 3}}]),
        "services[0].scaling.maxCount",
    ),
    "scaling with a negative count": (
        configuration(services=[{"name": "s", "scaling": {"minCount": -1, "maxCount": 2}}]),
        "services[0].scaling.minCount",
    ),
}


@pytest.mark.parametrize(("value", "path"), INVALID.values(), ids=INVALID.keys())
def test_an_invalid_configuration_is_refused_with_the_path_of_the_fault(value: Any, path: str) -> None:
    fault = fault_of(value)
    assert fault.code is ResultCode.CONFIGURATION_INVALID
    assert fault.path == path
    assert path in str(fault)
    assert fault_status(fault) == 400


def test_a_body_over_the_limit_is_refused() -> None:
    body = text_of(configuration())
    assert parse_configuration(body, max_body_bytes=len(body)).is_ok()
    fault = parse_configuration(body, max_body_bytes=len(body) - 1).unwrap_err()
    assert fault.code is ResultCode.CONFIGURATION_TOO_LARGE
    assert fault_status(fault) == 413


@given(valid_configurations())
def test_a_text_truncated_anywhere_is_refused(value: dict[str, Any]) -> None:
    body = text_of(value)
    for length in range(0, len(body), max(1, len(body) // 10)):
        assert parse_configuration(body[:length]).is_err()


def test_a_fault_does_not_repeat_a_long_text() -> None:
    name = "long\n" * 10_000
    value = configuration(routes=[route(targetService=name)])
    fault = fault_of(value)
    assert len(str(fault)) < 300 and "\n" not in str(fault)


# Guards against two customers whose requests are served and counted as those of one tenant.
def test_two_tenants_that_share_a_key_are_refused() -> None:
    fault = fault_of(configuration(tenants=[tenant("a", "k1", "k2"), tenant("b"), tenant("c", "k3", "k2")]))
    assert (fault.code, fault.path) == (ResultCode.CONFIGURATION_INVALID, "tenants[2].apiKeys[1]")
    assert "tenants[0]" in fault.text


def test_one_tenant_may_list_a_key_twice() -> None:
    assert parse_configuration(text_of(configuration(tenants=[tenant("a", "k1", "k1")]))).is_ok()


@pytest.mark.parametrize("tenants", [None, [], [tenant("a")], [tenant("a", "k1", priority=None, quota={})]])
def test_tenants_may_be_null_or_have_no_keys_or_unknown_members(tenants: Any) -> None:
    value = configuration(tenants=tenants)
    assert parse_configuration(text_of(value)).unwrap().value == value


# Guards against HTTP header injection through a tenant's name, which is sent to workers in a header.
@pytest.mark.parametrize("name", ["a\r\nX-Model: b", "a\n", "\x00", "a\x7fb", " a", "a ", "a\tb"])
def test_a_tenant_name_that_no_header_can_carry_is_refused(name: str) -> None:
    fault = fault_of(configuration(tenants=[tenant(name, "k1")]))
    assert (fault.code, fault.path) == (ResultCode.CONFIGURATION_INVALID, "tenants[0].name")


@pytest.mark.parametrize("name", ["a", "ab", "Fuel Cards 7", "caf\u00e9"])
def test_any_other_tenant_name_is_accepted(name: str) -> None:
    assert parse_configuration(text_of(configuration(tenants=[tenant(name, "k1")]))).is_ok()
