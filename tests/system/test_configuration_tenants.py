"""Redaction of API keys: whole configurations and deltas give an edge node the same digests."""

from __future__ import annotations

import copy
import json
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from arrowfold.configuration.diffs import delta
from arrowfold.configuration.documents import ConfigurationDocument
from arrowfold.configuration.json_text import write_canonical
from arrowfold.configuration.patches import REPLACE_WITH, apply_delta_value
from arrowfold.configuration.routes import RouteTable
from arrowfold.configuration.tenants import (
    TenantTable,
    change_text_without_keys,
    key_digest,
    text_without_keys,
    without_keys,
)
from arrowfold.configuration.validity import parse_configuration

from .configurations import configuration, tenant, tenant_lists, text_of, valid_configurations

KEY_PREFIX = "secret-"  # of every key from the strategies


def document(value: dict[str, Any]) -> ConfigurationDocument:
    return parse_configuration(text_of(value)).unwrap()


def redacted_by_delta(old: dict[str, Any], change: bytes) -> bytes:
    """Returns the text at an edge node that has `old` without keys and applies the redacted delta."""
    return write_canonical(apply_delta_value(without_keys(old), change_text_without_keys(change)).unwrap())


@given(valid_configurations(version=1), valid_configurations(version=2))
def test_a_redacted_delta_leads_to_the_redacted_configuration(
    old: dict[str, Any], new: dict[str, Any]
) -> None:
    expected = write_canonical(without_keys(new))
    assert KEY_PREFIX.encode() not in expected
    assert redacted_by_delta(old, delta(document(old), document(new))) == expected
    assert redacted_by_delta(old, write_canonical({REPLACE_WITH: new})) == expected


@given(st.none() | tenant_lists(), st.none() | tenant_lists(), st.data())
def test_added_changed_removed_and_replaced_tenants_are_redacted_alike(
    old_tenants: Any, new_tenants: Any, data: st.DataObject
) -> None:
    others = {"xNote": "long enough that a delta is shorter than the whole" * 9}
    kept = data.draw(st.permutations(old_tenants or []))[: data.draw(st.integers(0, 4))]
    used = {item["name"] for item in kept} | {key for item in kept for key in item["apiKeys"]}
    added = [item for item in new_tenants or [] if not used & {item["name"], *item["apiKeys"]}]
    old = configuration(1, tenants=old_tenants, **others)
    for tenants in (new_tenants, [*kept, *added]):
        new = configuration(2, tenants=tenants, **others)
        change = delta(document(old), document(new))
        assert redacted_by_delta(old, change) == write_canonical(without_keys(new))


@given(valid_configurations())
def test_redaction_is_idempotent_and_does_not_modify_the_original(value: dict[str, Any]) -> None:
    before = copy.deepcopy(value)
    redacted = without_keys(value)
    assert value == before
    assert without_keys(redacted) == redacted
    text = text_without_keys(write_canonical(value))
    assert text == write_canonical(redacted)
    assert KEY_PREFIX.encode() not in text


@given(valid_configurations())
def test_digests_identify_the_same_tenants_as_keys(value: dict[str, Any]) -> None:
    with_keys, without = TenantTable.from_value(value), TenantTable.from_value(without_keys(value))
    assert with_keys.required == without.required == (value.get("tenants") is not None)
    for item in value.get("tenants") or ():
        for key in item["apiKeys"]:
            owner = without.find(key_digest(key.encode()))
            assert owner == with_keys.find(key_digest(key.encode()))
            assert owner is not None and owner.name == item["name"]
            assert owner.priority == item.get("priority")


def test_an_empty_list_of_tenants_requires_keys_and_no_list_does_not() -> None:
    required = {
        case: RouteTable.from_document(document(configuration(**members))).tenants.required
        for case, members in {"empty": {"tenants": []}, "null": {"tenants": None}, "absent": {}}.items()
    }
    assert required == {"empty": True, "null": False, "absent": False}


# Guards against a digest that an operator wrote into a document and that would grant access.
def test_digests_that_an_operator_writes_beside_keys_are_ignored() -> None:
    digest = key_digest(b"never-held")
    value = configuration(tenants=[tenant("acme", "k1", keyDigests=[digest])])
    for variant in (value, without_keys(value)):
        assert TenantTable.from_value(variant).find(digest) is None
        assert TenantTable.from_value(variant).find(key_digest(b"k1")) is not None


def test_the_removal_of_one_tenants_key_is_a_small_delta() -> None:
    tenants = [tenant(f"t{number}", f"k{number}") for number in range(200)]
    old = document(configuration(7, tenants=tenants))
    new = document(configuration(9, tenants=[*tenants[:50], tenant("t50"), *tenants[51:]]))
    change = delta(old, new)
    assert len(change) < 100
    assert json.loads(change)["upsert"] == {"tenants": [tenant("t50")]}
