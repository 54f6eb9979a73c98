"""Deltas between two configurations: patches that are shorter to send than the whole document."""

from __future__ import annotations

from typing import Any

from result import Err, Result

from arrowfold.configuration.documents import ConfigurationDocument
from arrowfold.configuration.faults import ConfigurationFault
from arrowfold.configuration.json_text import JsonObject, same_value, write_canonical
from arrowfold.configuration.patches import NAME, REMOVE, REPLACE_WITH, UPSERT, apply_delta_value, apply_patch
from arrowfold.configuration.validity import check_value

_NAMED_LISTS = ("routes", "services", "tenants")


def delta(old: ConfigurationDocument, new: ConfigurationDocument) -> bytes:
    """Returns a JSON patch that turns `old` into exactly `new`, or the whole of `new` if that is shorter."""
    whole = write_canonical({REPLACE_WITH: new.value})
    patch = _patch_between(old.value, new.value)
    applied = apply_patch(old.value, patch)
    if isinstance(applied, Err) or not same_value(applied.ok_value, new.value):
        return whole
    text = write_canonical(patch)
    return min(text, whole, key=len)


def apply_delta(
    old: ConfigurationDocument, patch: bytes
) -> Result[ConfigurationDocument, ConfigurationFault]:
    """Applies a patch made by `delta` and validates the resulting configuration."""
    return apply_delta_value(old.value, patch).and_then(check_value)


def _patch_between(old: JsonObject, new: JsonObject) -> JsonObject:
    patch: JsonObject = {}
    upsert: dict[str, list[Any]] = {}
    remove: dict[str, list[str]] = {}
    for member, value in new.items():
        if not _has_named_items(member, old, new):
            if member not in old or not same_value(old[member], value):
                patch[member] = value
            continue
        before = {item[NAME]: item for item in old[member]}
        after = {item[NAME]: item for item in value}
        changed = [item for name, item in after.items() if not _is_unchanged(before, name, item)]
        removed = [name for name in before if name not in after]
        if changed:
            upsert[member] = changed
        if removed:
            remove[member] = removed
    if upsert:
        patch[UPSERT] = upsert
    if remove:
        patch[REMOVE] = remove
    return patch


def _has_named_items(member: str, old: JsonObject, new: JsonObject) -> bool:
    """Whether this member is a list of named items in both; `tenants` may be absent or null."""
    return member in _NAMED_LISTS and isinstance(old.get(member), list) and isinstance(new[member], list)


def _is_unchanged(before: dict[str, Any], name: str, item: Any) -> bool:
    return name in before and same_value(before[name], item)
