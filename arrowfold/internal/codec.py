"""Encoding of typed messages as CBOR: each registered dataclass is a tagged array of its fields.

A later version may append fields that have defaults; a reader that knows fewer fields skips the rest.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields
from typing import Any, TypeVar

import cbor2

FIRST_TAG = 41_000  # private range of CBOR tags
T = TypeVar("T")

_types_by_tag: dict[int, type[Any]] = {}
_tags_by_type: dict[type[Any], int] = {}
_field_names: dict[type[Any], tuple[str, ...]] = {}


class CodecError(Exception):
    """Bytes that are no message of this protocol."""


def message(number: int) -> Callable[[type[T]], type[T]]:
    """Register a frozen dataclass under a number that is never given to another type."""

    def register(cls: type[T]) -> type[T]:
        if "__dataclass_fields__" not in cls.__dict__:
            raise TypeError(f"{cls.__name__} is not a dataclass")
        tag = FIRST_TAG + number
        if tag in _types_by_tag:
            raise ValueError(f"message number {number} is taken by {_types_by_tag[tag].__name__}")
        _types_by_tag[tag] = cls
        _tags_by_type[cls] = tag
        _field_names[cls] = tuple(field.name for field in fields(cls))  # type: ignore[arg-type]
        return cls

    return register


def _encode_unknown(encoder: Any, value: Any) -> None:
    tag = _tags_by_type.get(type(value))
    if tag is None:
        raise CodecError(f"{type(value).__name__} is no registered message")
    encoder.encode(cbor2.CBORTag(tag, [getattr(value, name) for name in _field_names[type(value)]]))


def _decode_tag(tag: Any, *_: Any) -> Any:
    cls = _types_by_tag.get(tag.tag)
    if cls is None:
        raise CodecError(f"unknown message tag {tag.tag}")
    values = [tuple(value) if isinstance(value, list) else value for value in tag.value]
    return cls(*values[: len(_field_names[cls])])


def encode(value: Any) -> bytes:
    """The CBOR bytes of a message, or of plain values that hold messages."""
    return cbor2.dumps(value, default=_encode_unknown)


def decode(data: bytes) -> Any:
    """The message that `encode` made; raises CodecError for anything else."""
    try:
        return cbor2.loads(data, tag_hook=_decode_tag)
    except CodecError:
        raise
    except Exception as error:
        raise CodecError(f"not a message: {error}") from error
