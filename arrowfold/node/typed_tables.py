"""Reads a table of a settings file into a dataclass: types are checked, unknown keys are skipped.

A validation library would take a quarter of an edge's start to load, and a fleet that starts anew after a
loss of power waits for it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import MISSING, Field, fields, is_dataclass
from types import UnionType
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

SectionT = TypeVar("SectionT")
AT_LEAST = "at_least"  # the key of a field's metadata that holds its least value


class TableError(Exception):
    """A key that is missing, or whose value is of another kind; the text begins with the key's path."""

    def __init__(self, path: str, fault: str) -> None:
        super().__init__(f"{path}: {fault}")


def read_table(cls: type[SectionT], table: Mapping[str, Any], path: str = "") -> SectionT:
    """The dataclass that a table describes; raises TableError with the path of the first faulty key."""
    hints = get_type_hints(cls)
    values = {}
    for field in fields(cls):  # type: ignore[arg-type]
        place = f"{path}.{field.name}" if path else field.name
        if field.name in table:
            values[field.name] = _checked(
                field, _converted(hints[field.name], table[field.name], place), place
            )
        elif field.default is MISSING and field.default_factory is MISSING:
            raise TableError(place, "is required")
    return cls(**values)


def _checked(field: Field[Any], value: Any, place: str) -> Any:
    least = field.metadata.get(AT_LEAST)
    if least is not None and value < least:
        raise TableError(place, f"should be {least} or more")
    return value


def _converted(kind: Any, value: Any, place: str) -> Any:
    origin = get_origin(kind)
    if origin is UnionType:  # of a type and None: TOML has no null, so the value is of the type
        return _converted(get_args(kind)[0], value, place)
    if origin is tuple:
        return _tuple(get_args(kind), value, place)
    if origin is dict:
        if not isinstance(value, dict):
            raise TableError(place, "should be a table")
        return {key: _converted(get_args(kind)[1], item, f"{place}.{key}") for key, item in value.items()}
    if is_dataclass(kind) and isinstance(kind, type):
        if not isinstance(value, dict):
            raise TableError(place, "should be a table")
        return read_table(kind, value, place)
    return _SCALARS[kind](value, place)


def _tuple(kinds: tuple[Any, ...], value: Any, place: str) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise TableError(place, "should be an array")
    if kinds[-1] is not Ellipsis and len(value) != len(kinds):
        raise TableError(place, f"should have {len(kinds)} items")
    return tuple(_converted(kinds[0], item, f"{place}.{number}") for number, item in enumerate(value))


def _text(value: Any, place: str) -> str:
    if not isinstance(value, str):
        raise TableError(place, "should be a string")
    return value


def _truth(value: Any, place: str) -> bool:
    if not isinstance(value, bool):
        raise TableError(place, "should be true or false")
    return value


def _number(value: Any, place: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TableError(place, "should be a number")
    return float(value)


def _whole_number(value: Any, place: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float) or value != int(value):
        raise TableError(place, "should be a whole number")
    return int(value)


_SCALARS: dict[Any, Callable[[Any, str], Any]] = {
    str: _text,
    bool: _truth,
    float: _number,
    int: _whole_number,
}
