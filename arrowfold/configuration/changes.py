"""Prepares an operator's change: checks its precondition, its version and the resulting configuration."""

from __future__ import annotations

import hashlib

from result import Err, Ok, Result

from arrowfold.configuration.documents import ConfigurationDocument
from arrowfold.configuration.faults import ConfigurationFault
from arrowfold.configuration.json_text import JsonObject, read_object, write_canonical
from arrowfold.configuration.patches import apply_patch
from arrowfold.configuration.validity import check_value, parse_configuration
from arrowfold.node.result_codes import ResultCode

NO_CONFIGURATION_VERSION = 0  # the version that If-Match names while no configuration exists
_EMPTY_CONFIGURATION: JsonObject = {"routes": [], "services": []}


def prepare_put(
    current: ConfigurationDocument | None,
    if_match: str | None,
    body: bytes,
    max_body_bytes: int | None = None,
) -> Result[ConfigurationDocument, ConfigurationFault]:
    """Returns the configuration that `PUT /configuration` would commit, or why it is refused.

    `max_body_bytes`: the largest body accepted; None for no limit.
    """
    fault = _precondition_fault(current, if_match)
    if fault is not None:
        return Err(fault)
    return parse_configuration(body, max_body_bytes).and_then(lambda new: _require_newer(current, new))


def prepare_patch(
    current: ConfigurationDocument | None, if_match: str | None, body: bytes
) -> Result[ConfigurationDocument, ConfigurationFault]:
    """Returns the configuration that `PATCH /configuration` would commit, or why it is refused."""
    fault = _precondition_fault(current, if_match)
    if fault is not None:
        return Err(fault)
    return read_object(body).and_then(lambda patch: _apply_and_check_patch(current, patch))


def change_digest(kind: str, if_match: str | None, body: bytes) -> bytes:
    """Returns a SHA-256 digest (32 bytes) that identifies a repeated change.

    It doesn't depend on the whitespace or the key order of the body.
    """
    text = read_object(body).map_or(body, write_canonical)
    head = f"{kind.upper()}\n{normalize_if_match(if_match)}\n".encode()
    return hashlib.sha256(head + text).digest()


def _apply_and_check_patch(
    current: ConfigurationDocument | None, patch: JsonObject
) -> Result[ConfigurationDocument, ConfigurationFault]:
    if "version" not in patch:
        return Err(ConfigurationFault(ResultCode.CONFIGURATION_INVALID, "version", "missing"))
    value = _EMPTY_CONFIGURATION if current is None else current.value
    return apply_patch(value, patch).and_then(check_value).and_then(lambda new: _require_newer(current, new))


def _current_version(current: ConfigurationDocument | None) -> int:
    return NO_CONFIGURATION_VERSION if current is None else current.version


def _require_newer(
    current: ConfigurationDocument | None, new: ConfigurationDocument
) -> Result[ConfigurationDocument, ConfigurationFault]:
    if new.version > _current_version(current):
        return Ok(new)
    text = f"{new.version} is not above the current {_current_version(current)}"
    return Err(ConfigurationFault(ResultCode.CONFIGURATION_VERSION_NOT_ABOVE, "version", text))


def normalize_if_match(if_match: str | None) -> str | None:
    """Returns the version in an If-Match header, without quotes and the weak-validator prefix."""
    return None if if_match is None else if_match.strip().removeprefix("W/").strip('"').strip()


def _precondition_fault(
    current: ConfigurationDocument | None, if_match: str | None
) -> ConfigurationFault | None:
    text = normalize_if_match(if_match)
    if text is None:
        return ConfigurationFault(ResultCode.CONFIGURATION_PRECONDITION_MISSING, "", "If-Match is missing")
    if text == str(_current_version(current)):
        return None
    text = f"If-Match does not hold the current version, {_current_version(current)}"
    return ConfigurationFault(ResultCode.CONFIGURATION_VERSION_CONFLICT, "", text)
