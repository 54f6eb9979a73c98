"""Applies patch documents to a configuration's JSON value. Does not import pydantic.

A patch holds `version`, `upsert` (for each list of the configuration, items to add, or to replace by `name`)
and `remove` (for each list, names to remove). Objects such as `limits` are merged member by member
(RFC 7396), both under `upsert` and at the top level; any other member replaces that of the configuration.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from arrowfold.configuration.faults import ConfigurationFault
from arrowfold.configuration.json_text import JsonObject, read_object
from arrowfold.node.result_codes import ResultCode

_MemberChange = Callable[[Any, Any, str], Result[Any, ConfigurationFault]]

UPSERT = "upsert"
REMOVE = "remove"
NAME = "name"
_KNOWN_MEMBERS = ("routes", "services", "limits", "tenants")
REPLACE_WITH = "replaceWith"  # only in deltas between nodes: the whole new configuration


def apply_delta_value(value: JsonObject, delta: bytes) -> Result[JsonObject, ConfigurationFault]:
    """Applies a delta made by `diffs.delta` without validating the result.

    For edge nodes, which receive only committed changes.
    """
    return read_object(delta).and_then(lambda change: _apply_parsed_delta(value, change))


def _apply_parsed_delta(value: JsonObject, change: JsonObject) -> Result[JsonObject, ConfigurationFault]:
    whole = change.get(REPLACE_WITH)
    return Ok(whole) if isinstance(whole, dict) else apply_patch(value, change)


def apply_patch(value: JsonObject, patch: JsonObject) -> Result[JsonObject, ConfigurationFault]:
    """Returns the configuration value after a patch, not validated as a whole; `value` is not modified."""
    changed = dict(value)
    for member, item in patch.items():
        if member in (UPSERT, REMOVE):
            continue
        changed[member] = _merge_patch(changed.get(member), item)
    for action, change in ((REMOVE, _remove_by_name), (UPSERT, _upsert_by_name)):
        fault = _change_members(changed, patch, action, change)
        if fault is not None:
            return Err(fault)
    return Ok(changed)


def _invalid(path: str, text: str) -> ConfigurationFault:
    return ConfigurationFault(ResultCode.CONFIGURATION_INVALID, path, text)


def _change_members(
    changed: JsonObject, patch: JsonObject, action: str, change: _MemberChange
) -> ConfigurationFault | None:
    members = patch.get(action)
    if members is None:
        return None
    if not isinstance(members, dict):
        return _invalid(action, "not an object of lists")
    for member, items in members.items():
        result = change(changed.get(member), items, _member_path(action, member))
        if isinstance(result, Err):
            return result.err_value
        changed[member] = result.ok_value
    return None


def _member_path(action: str, member: str) -> str:
    """Path of a list in a patch; omits the name of an unknown list, which may be an API key."""
    return f"{action}.{member}" if member in _KNOWN_MEMBERS else action


def _remove_by_name(current: Any, names: Any, path: str) -> Result[Any, ConfigurationFault]:
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        return Err(_invalid(path, "not a list of names"))
    if current is None:
        return Ok([])
    if not isinstance(current, list):
        return Err(_invalid(path, "the configuration has no such list"))
    removed = set(names)
    return Ok([item for item in current if _name_of(item) not in removed])


def _upsert_by_name(current: Any, items: Any, path: str) -> Result[Any, ConfigurationFault]:
    if isinstance(items, dict) and not isinstance(current, list):
        return Ok(_merge_patch(current, items))
    if not isinstance(items, list) or not isinstance(current, list | None):
        return Err(_invalid(path, "not a list of named items"))
    replacements: dict[str, Any] = {}
    for index, item in enumerate(items):
        name = _name_of(item)
        if name is None:
            return Err(_invalid(f"{path}[{index}].{NAME}", "an item needs a name"))
        if name in replacements:
            return Err(_invalid(f"{path}[{index}].{NAME}", "the patch names this item twice"))
        replacements[name] = item
    changed = [replacements.pop(_name_of(item) or "", item) for item in current or []]
    return Ok(changed + list(replacements.values()))


def _name_of(item: Any) -> str | None:
    name = item.get(NAME) if isinstance(item, dict) else None
    return name if isinstance(name, str) and name else None


def _merge_patch(current: Any, change: Any) -> Any:
    if not isinstance(change, dict):
        return change
    merged = dict(current) if isinstance(current, dict) else {}
    for member, item in change.items():
        if item is None:
            merged.pop(member, None)
        else:
            merged[member] = _merge_patch(merged.get(member), item)
    return merged
