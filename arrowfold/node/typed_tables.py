"""Reads a table of a settings file into a dataclass: types are checked, unknown keys are ignored.

No validation library is used: loading one would take a quarter of an edge node's start time, which delays
the restart of a fleet after a power loss.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import MISSING, Field, fields, is_dataclass
from types import UnionType
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

SectionT = TypeVar("SectionT")
MINIMUM = "at_least"  # key of a field's minimum value in its metadata


class TableError(Exception):
    """A key is missing or its value is invalid; the text begins with the key's path."""

    def __init__(self, path: str, fault: str) -> None:
        super().__init__(f"{path}: {fault}")


def read_table(cls: type[SectionT], table: Mapping[str, Any], path: str = "") -> SectionT:
    """Builds a dataclass from a table; raises TableError with the path of the first invalid key."""
    hints = get_type_hints(cls)
    values = {}
    for field in fields(cls):  # type: ignore[arg-type]
        key_path = f"{path}.{field.name}" if path else field.name
        if field.name in table:
            values[field.name] = _check_minimum(
                field, _convert(hints[field.name], table[field.name], key_path), key_path
            )
        elif field.default is MISSING and field.default_factory is MISSING:
            raise TableError(key_path, "is required")
    return cls(**values)


def _check_minimum(field: Field[Any], value: Any, key_path: str) -> Any:
    minimum = field.metadata.get(MINIMUM)
    if minimum is not None and value < minimum:
        raise TableError(key_path, f"should be {minimum} or more")
    return value


def _convert(kind: Any, value: Any, key_path: str) -> Any:
    origin = get_origin(kind)
    if origin is UnionType:  # optional type: TOML has no null, so the value has the first type
        return _convert(get_args(kind)[0], value, key_path)
    if origin is tuple:
        return _read_tuple(get_args(kind), value, key_path)
    if origin is dict:
        if not isinstance(value, dict):
            raise TableError(key_path, "should be a table")
        return {key: _convert(get_args(kind)[1], item, f"{key_path}.{key}") for key, item in value.items()}
    if is_dataclass(kind) and isinstance(kind, type):
        if not isinstance(value, dict):
            raise TableError(key_path, "should be a table")
        return read_table(kind, value, key_path)
    return _SCALARS[kind](value, key_path)


def _read_tuple(kinds: tuple[Any, ...], value: Any, key_path: str) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise TableError(key_path, "should be an array")
    if kinds[-1] is not Ellipsis and len(value) != len(kinds):
        raise TableError(key_path, f"should have {len(kinds)} items")
    return tuple(_convert(kinds[0], item, f"{key_path}.{number}") for number, item in enumerate(value))


def _read_string(value: Any, key_path: str) -> str:
    if not isinstance(value, str):
        raise TableError(key_path, "should be a string")
    return value


def _read_boolean(value: Any, key_path: str) -> bool:
    if not isinstance(value, bool):
        raise TableError(key_path, "should be true or false")
    return value


def _read_number(value: Any, key_path: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TableError(key_path, "should be a number")
    return float(value)


def _read_integer(value: Any, key_path: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float) or value != int(value):
        raise TableError(key_path, "should be a whole number")
    return int(value)


_SCALARS: dict[Any, Callable[[Any, str], Any]] = {
    str: _read_string,
    bool: _read_boolean,
    float: _read_number,
    int: _read_integer,
}
