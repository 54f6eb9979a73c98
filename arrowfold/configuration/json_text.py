"""Strict reading, canonical writing and comparison of JSON values."""

from __future__ import annotations

import json
import math
from typing import Any, NoReturn

from result import Err, Ok, Result

from arrowfold.configuration.faults import ConfigurationFault
from arrowfold.node.result_codes import ResultCode

JsonObject = dict[str, Any]


class _StrictJsonError(ValueError):
    """Text that Python's parser accepts although it is not valid JSON, or is ambiguous."""


def _object_with_unique_keys(pairs: list[tuple[str, Any]]) -> JsonObject:
    members = dict(pairs)
    if len(members) != len(pairs):
        raise _StrictJsonError("an object names a key twice")
    return members


def _parse_finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise _StrictJsonError("a number is beyond the range")
    return number


def _reject_constant(text: str) -> NoReturn:
    raise _StrictJsonError(f"{text} is no JSON")


def read_object(body: bytes) -> Result[JsonObject, ConfigurationFault]:
    """Parses a JSON object; duplicate keys, infinite numbers and text that is not UTF-8 are faults."""
    try:
        value = json.loads(
            body.decode("utf-8"),
            object_pairs_hook=_object_with_unique_keys,
            parse_float=_parse_finite_float,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        return Err(ConfigurationFault(ResultCode.CONFIGURATION_UNREADABLE, "", str(error)))
    if not isinstance(value, dict):
        return Err(ConfigurationFault(ResultCode.CONFIGURATION_UNREADABLE, "", "not a JSON object"))
    return Ok(value)


def write_canonical(value: Any) -> bytes:
    """Returns the canonical text of a JSON value: sorted keys, no whitespace, ASCII."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False).encode("ascii")


def same_value(left: Any, right: Any) -> bool:
    """Whether two JSON values are the same; unlike with `==`, 1, 1.0 and true differ."""
    return left is right or write_canonical(left) == write_canonical(right)
