"""Preparation of an operator's PUT and PATCH, and the digest that identifies a repeated change."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given

from arrowfold.configuration.changes import change_digest, prepare_patch, prepare_put
from arrowfold.configuration.documents import ConfigurationDocument
from arrowfold.configuration.faults import ConfigurationFault, fault_status
from arrowfold.configuration.validity import parse_configuration
from arrowfold.node.result_codes import ResultCode

from .configurations import configuration, route, tenant, text_of, valid_configurations


def document(version: int = 7, **members: Any) -> ConfigurationDocument:
    return parse_configuration(text_of(configuration(version, **members))).unwrap()


def apply(patch: dict[str, Any], current: ConfigurationDocument | None = None) -> ConfigurationDocument:
    return prepare_patch(current or document(), "7", text_of({"version": 9} | patch)).unwrap()


def fault_of_patch(patch: dict[str, Any]) -> ConfigurationFault:
    return prepare_patch(document(), "7", text_of({"version": 9} | patch)).unwrap_err()


def names_of(items: list[Any]) -> list[str]:
    return [item.name for item in items]


def test_the_first_configuration_builds_on_version_0() -> None:
    assert prepare_put(None, "0", text_of(configuration(3))).unwrap().version == 3


@pytest.mark.parametrize("if_match", ["7", '"7"', ' "7" ', 'W/"7"'])
def test_a_put_on_the_current_version_is_accepted(if_match: str) -> None:
    assert prepare_put(document(7), if_match, text_of(configuration(9))).unwrap().version == 9


@pytest.mark.parametrize("if_match", ["6", "8", "0", "*", "", "x"])
@pytest.mark.parametrize("prepare", [prepare_put, prepare_patch])
def test_another_version_in_if_match_is_a_conflict(prepare: Any, if_match: str) -> None:
    fault = prepare(document(7), if_match, text_of(configuration(9))).unwrap_err()
    assert fault.code is ResultCode.CONFIGURATION_VERSION_CONFLICT
    assert fault_status(fault) == 412


@pytest.mark.parametrize("prepare", [prepare_put, prepare_patch])
def test_a_missing_if_match_is_refused(prepare: Any) -> None:
    fault = prepare(document(7), None, text_of(configuration(9))).unwrap_err()
    assert fault.code is ResultCode.CONFIGURATION_PRECONDITION_MISSING
    assert fault_status(fault) == 400


@pytest.mark.parametrize("version", [1, 6, 7])
@pytest.mark.parametrize("prepare", [prepare_put, prepare_patch])
def test_a_version_not_above_the_current_is_refused(prepare: Any, version: int) -> None:
    fault = prepare(document(7), "7", text_of(configuration(version))).unwrap_err()
    assert fault.code is ResultCode.CONFIGURATION_VERSION_NOT_ABOVE
    assert fault_status(fault) == 400


def test_an_invalid_put_is_refused() -> None:
    body = text_of(configuration(9, routes=[route(timeoutMs=0)]))
    assert prepare_put(document(7), "7", body).unwrap_err().path == "routes[0].timeoutMs"


def test_a_patch_replaces_in_place_adds_at_the_end_and_removes() -> None:
    current = document(routes=[route("a"), route("b"), route("c")], xOwner="kept")
    upsert = {"routes": [route("d"), route("b", timeoutMs=9)], "services": [{"name": "u"}]}
    new = apply({"upsert": upsert, "remove": {"routes": ["a", "not there"]}}, current)
    assert new.version == 9
    assert names_of(new.routes) == ["b", "c", "d"]
    assert new.routes[0].timeoutMs == 9
    assert names_of(new.services) == ["s", "t", "u"]
    assert new.value["limits"] == current.value["limits"]
    assert new.value["xOwner"] == "kept"
    assert names_of(current.routes) == ["a", "b", "c"]


def test_an_upsert_replaces_the_whole_item() -> None:
    new = apply({"upsert": {"routes": [route(targetLatencyMs=None)]}})
    assert new.value["routes"] == [route(targetLatencyMs=None)]


def test_an_item_that_is_removed_and_upserted_is_kept() -> None:
    new = apply({"upsert": {"routes": [route(timeoutMs=9)]}, "remove": {"routes": ["r"]}})
    assert [item.timeoutMs for item in new.routes] == [9]


@pytest.mark.parametrize(
    "patch", [{"limits": {"idleTimeoutMs": 9}}, {"upsert": {"limits": {"idleTimeoutMs": 9}}}]
)
def test_limits_are_merged(patch: dict[str, Any]) -> None:
    assert apply(patch).value["limits"] == {"maxHeaderBytes": 16384, "idleTimeoutMs": 9}


def test_an_unknown_list_of_named_items_is_also_changed_by_name() -> None:
    current = document(regions=[{"name": "x"}, {"name": "y"}])
    patch = {"upsert": {"regions": [{"name": "y", "quota": 1}]}, "remove": {"regions": ["x"]}}
    assert apply(patch, current).value["regions"] == [{"name": "y", "quota": 1}]


def test_tenants_are_added_replaced_and_removed_by_name() -> None:
    current = document(tenants=[tenant("x", "k1"), tenant("y", "k2", quota=1)])
    patch = {"upsert": {"tenants": [tenant("z", "k1"), tenant("y", "k3")]}, "remove": {"tenants": ["x"]}}
    assert apply(patch, current).value["tenants"] == [tenant("y", "k3"), tenant("z", "k1")]


def test_a_patch_that_removes_the_last_tenant_leaves_an_empty_list() -> None:
    new = apply({"remove": {"tenants": ["x"]}}, document(tenants=[tenant("x", "k1")]))
    assert new.value["tenants"] == []


def test_a_patch_may_be_the_first_change() -> None:
    body = text_of({"version": 1, "upsert": {"routes": [route()], "services": [{"name": "s"}]}})
    assert names_of(prepare_patch(None, "0", body).unwrap().routes) == ["r"]


INVALID_PATCHES = {
    "the service of a route is removed": ({"remove": {"services": ["s"]}}, "routes[0].targetService"),
    "duplicate prefix": ({"upsert": {"routes": [route("q", pathPrefix="/r/")]}}, "routes[1].pathPrefix"),
    "no timeout": ({"upsert": {"routes": [route("q", timeoutMs=0)]}}, "routes[1].timeoutMs"),
    "item without a name": ({"upsert": {"routes": [{"hostname": "x"}]}}, "upsert.routes[0].name"),
    "item named twice": ({"upsert": {"routes": [route(), route()]}}, "upsert.routes[1].name"),
    "upsert is not an object": ({"upsert": []}, "upsert"),
    "upsert of a list is a string": ({"upsert": {"routes": "r"}}, "upsert.routes"),
    "remove of a number": ({"remove": {"routes": [1]}}, "remove.routes"),
    "remove from an object": ({"remove": {"limits": ["x"]}}, "remove.limits"),
    "version is a string": ({"version": "9"}, "version"),
    "a key of two tenants": (
        {"upsert": {"tenants": [tenant("x", "k1"), tenant("y", "k1")]}},
        "tenants[1].apiKeys[0]",
    ),
    "a tenant named twice": (
        {"upsert": {"tenants": [tenant("x", "k1"), tenant("x", "k2")]}},
        "upsert.tenants[1].name",
    ),
    "tenants is an object": ({"upsert": {"tenants": tenant("x", "k1")}}, "tenants"),
}


@pytest.mark.parametrize(("patch", "path"), INVALID_PATCHES.values(), ids=INVALID_PATCHES.keys())
def test_an_invalid_patch_is_refused(patch: dict[str, Any], path: str) -> None:
    fault = fault_of_patch(patch)
    assert (fault.code, fault.path) == (ResultCode.CONFIGURATION_INVALID, path)


# Guards against two tenants with the same key after a patch.
def test_a_patch_that_adds_the_key_of_another_tenant_is_refused() -> None:
    current = document(tenants=[tenant("x", "k1")])
    patch = text_of({"version": 9, "upsert": {"tenants": [tenant("y", "k1")]}})
    fault = prepare_patch(current, "7", patch).unwrap_err()
    assert (fault.code, fault.path) == (ResultCode.CONFIGURATION_INVALID, "tenants[1].apiKeys[0]")


def test_a_patch_without_version_is_refused() -> None:
    assert prepare_patch(document(), "7", b'{"upsert":{}}').unwrap_err().path == "version"


def test_a_truncated_patch_is_refused() -> None:
    fault = prepare_patch(document(), "7", b'{"version":9,"upsert":').unwrap_err()
    assert fault.code is ResultCode.CONFIGURATION_UNREADABLE


@given(valid_configurations())
def test_the_digest_does_not_depend_on_key_order_and_whitespace(value: dict[str, Any]) -> None:
    shuffled = dict(reversed(value.items()))
    assert change_digest("PUT", '"6"', text_of(value)) == change_digest("put", "6", text_of(shuffled) + b" ")


def test_different_changes_have_different_digests() -> None:
    body = text_of(configuration())
    bodies = [
        body,
        text_of(configuration(8)),
        body[:-1],
        b'{"a":1}',
        b'{"a":1.0}',
        b'{"a":true}',
        b'{"a":1,"a":1}',
    ]
    digests = {
        change_digest(kind, match, text)
        for kind in ("PUT", "PATCH")
        for match in ("6", "7", None)
        for text in bodies
    }
    assert len(digests) == 2 * 3 * len(bodies)
