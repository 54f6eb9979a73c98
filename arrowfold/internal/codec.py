"""CBOR encoding of typed messages: each registered dataclass becomes a tagged array of its fields.

Later versions may append fields with defaults; a reader that knows fewer fields skips the rest.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields
from typing import Any, TypeVar

import cbor2

FIRST_TAG = 41_000  # CBOR tag of message number 0, in a private range
T = TypeVar("T")

_types_by_tag: dict[int, type[Any]] = {}
_tags_by_type: dict[type[Any], int] = {}
_field_names: dict[type[Any], tuple[str, ...]] = {}


class CodecError(Exception):
    """The value is not a registered message, or the bytes are not a message of this protocol."""


def message(number: int) -> Callable[[type[T]], type[T]]:
    """Registers a frozen dataclass under a number, which must never be used for another type."""

    def register(cls: type[T]) -> type[T]:
        if "__dataclass_fields__" not in cls.__dict__:
            raise TypeError(f"{cls.__name__} is not a dataclass")
        tag = FIRST_TAG + number
        if tag in _types_by_tag:
            raise ValueError(f"message number {number} is already used by {_types_by_tag[tag].__name__}")
        _types_by_tag[tag] = cls
        _tags_by_type[cls] = tag
        _field_names[cls] = tuple(field.name for field in fields(cls))  # type: ignore[arg-type]
        return cls

    return register


def _encode_message(encoder: Any, value: Any) -> None:
    tag = _tags_by_type.get(type(value))
    if tag is None:
        raise CodecError(f"{type(value).__name__} is no registered message")
    encoder.encode(cbor2.CBORTag(tag, [getattr(value, name) for name in _field_names[type(value)]]))


def _decode_message(tag: Any, *_: Any) -> Any:
    cls = _types_by_tag.get(tag.tag)
    if cls is None:
        raise CodecError(f"unknown message tag {tag.tag}")
    values = [tuple(value) if isinstance(value, list) else value for value in tag.value]
    return cls(*values[: len(_field_names[cls])])


def encode(value: Any) -> bytes:
    """Returns the CBOR bytes of a message, or of plain values that contain messages.

    Raises CodecError for other types.
    """
    return cbor2.dumps(value, default=_encode_message)


def decode(data: bytes) -> Any:
    """Returns the value that `encode` was given; raises CodecError for any other bytes."""
    try:
        return cbor2.loads(data, tag_hook=_decode_message)
    except CodecError:
        raise
    except Exception as error:
        raise CodecError(f"not a message: {error}") from error
