"""Typed access to the deployment's KDL document. Every error names the path of the node at fault.

A path lists the nodes from the top, each with its name if it has one: `routes > rule "devices" > prefer`.
Times carry their unit as a type annotation: `(ms)250`, `(s)1.5`, `(min)5`.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

from kdl.errors import ParseError
from kdl.parsefuncs import parse
from kdl.parsing import ParseConfig
from kdl.types import Decimal, Node

TIME_UNITS = {
    "us": timedelta(microseconds=1), "ms": timedelta(milliseconds=1), "s": timedelta(seconds=1),
    "min": timedelta(minutes=1), "h": timedelta(hours=1)}
MAX_DURATION_S = 1e9  # about 30 years; more is a mistake in the document
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
_PARSE_CONFIG = ParseConfig(nativeUntaggedValues=True, nativeTaggedValues=False)


class DocumentError(ValueError):
    """An invalid document; the message names the file, the path of the node and the fault."""


def read_document(path: Path) -> DocumentNode:
    """Reads a document and returns its root node.

    Raises DocumentError if the file cannot be read; for a KDL syntax error with line and column.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        raise DocumentError(f"{path}: {error}") from error
    if len(text) > MAX_DOCUMENT_BYTES:
        raise DocumentError(f"{path}: over {MAX_DOCUMENT_BYTES} bytes")
    try:
        document = parse(text, _PARSE_CONFIG)
    except ParseError as error:
        raise DocumentError(f"{path}:{' '.join(str(error).split())}") from error
    except (RecursionError, OverflowError, ValueError) as error:
        raise DocumentError(f"{path}: {error}") from error
    root = Node(name="", nodes=document.nodes)
    return DocumentNode(root, "", path)


@dataclass(frozen=True, slots=True)
class DocumentNode:
    """One node of the document with its path and file. Accessors raise DocumentError on invalid values."""

    kdl_node: Node
    path: str
    file: Path

    @property
    def name(self) -> str:
        """The node's KDL name, such as `rule`."""
        return str(self.kdl_node.name)

    def fault(self, text: str) -> DocumentError:
        """Returns an error that names this node."""
        return DocumentError(f"{self.file}: {self.path}: {text}" if self.path else f"{self.file}: {text}")

    def validate(
            self, children: Collection[str] = (), props: Collection[str] = (), args: int | None = 0,
            repeated: Collection[str] = (),
    ) -> None:
        """Checks the node's children, properties and number of values.

        `children` may occur once and `repeated` any number of times. `args` None allows any number of values.
        """
        if self.kdl_node.tag is not None:
            raise self.fault(f"({self.kdl_node.tag}) before a node means nothing here")
        for node in self.children():
            if node.name not in children and node.name not in repeated:
                raise node.fault(f"unknown node; {_known_phrase([*children, *repeated])}")
            if node.name not in repeated and len(list(self.children(node.name))) > 1:
                raise node.fault("stands there twice")
        for name in self.kdl_node.props:
            if name not in props:
                raise self.fault(f"unknown property {name}; {_known_phrase(props)}")
        if args is not None and len(self.kdl_node.args) != args:
            raise self.fault(f"takes {_count_phrase(args)}, not {len(self.kdl_node.args)}")

    def children(self, name: str | None = None) -> Iterator[DocumentNode]:
        """Yields the child nodes, or those with the given node name."""
        for kdl_node in self.kdl_node.nodes:
            if name is None or kdl_node.name == name:
                path = kdl_node.name
                if kdl_node.args and isinstance(kdl_node.args[0], str) and kdl_node.name in NAMED_NODES:
                    path = f'{kdl_node.name} "{kdl_node.args[0]}"'
                yield DocumentNode(kdl_node, f"{self.path} > {path}" if self.path else path, self.file)

    def child(self, name: str) -> DocumentNode | None:
        """Returns the first child node with this name, if any."""
        return next(self.children(name), None)

    # --- values ------------------------------------------------------------------------------------------

    def texts(self, minimum: int = 1) -> tuple[str, ...]:
        """Returns all values of the node, which must be distinct non-empty strings."""
        if len(self.kdl_node.args) < minimum:
            raise self.fault(f"takes {_count_phrase(minimum)} or more, not {len(self.kdl_node.args)}")
        for value in self.kdl_node.args:
            self._text("a value", value)
        if len(set(self.kdl_node.args)) != len(self.kdl_node.args):
            raise self.fault("names one thing twice")
        return tuple(self.kdl_node.args)

    def single_value(self) -> Any:
        """Returns the node's single value as parsed."""
        if len(self.kdl_node.args) != 1:
            raise self.fault(f"takes {_count_phrase(1)}, not {len(self.kdl_node.args)}")
        return self.kdl_node.args[0]

    def text(self) -> str:
        """Returns the single value, a non-empty string."""
        return self._text("its value", self.single_value())

    def boolean(self) -> bool:
        """Returns the single value, a boolean."""
        value = self.single_value()
        if not isinstance(value, bool):
            raise self.fault(f"its value is to be true or false, not {_format_value(value)}")
        return value

    def duration(self) -> timedelta:
        """Returns the single value, a time with its unit."""
        return self._duration("its value", self.single_value())

    def integer(self, minimum: int = 1) -> int:
        """Returns the single value, an integer of at least `minimum`."""
        return self._integer("its value", self.single_value(), minimum)

    def has_prop(self, name: str) -> bool:
        """Whether the node has this property."""
        return name in self.kdl_node.props

    def prop_text(self, name: str, default: str | None = None) -> str | None:
        """Returns a property, a non-empty string."""
        return self._text(name, self.kdl_node.props[name]) if self.has_prop(name) else default

    def prop_choice(self, name: str, choices: Collection[str], default: str | None = None) -> str:
        """Returns a property that must be one of `choices`; without a default it is required."""
        text = self.prop_text(name, default)
        if text is None:
            raise self.fault(f"{name} is missing")
        if text not in choices:
            raise self.fault(f"{name} is {text!r}; {_known_phrase(choices)}")
        return text

    def prop_duration(self, name: str, default: timedelta | None = None) -> timedelta | None:
        """Returns a property, a time with its unit."""
        return self._duration(name, self.kdl_node.props[name]) if self.has_prop(name) else default

    def prop_integer(self, name: str, default: int, minimum: int = 1) -> int:
        """Returns a property, an integer of at least `minimum`."""
        return self._integer(name, self.kdl_node.props[name], minimum) if self.has_prop(name) else default

    def prop_fraction(self, name: str, default: float) -> float:
        """Returns a property, a number above 0 and at most 1."""
        value = self.kdl_node.props.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= 1:
            raise self.fault(f"{name} is to be a number above 0 and at most 1, not {_format_value(value)}")
        return float(value)

    def number(self, minimum: float, maximum: float) -> float:
        """Returns the single value, a number within the bounds."""
        value = self.single_value()
        if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
            raise self.fault(
                f"its value is to be a number from {minimum:g} to {maximum:g}, not {_format_value(value)}")
        return float(value)

    def prop_boolean(self, name: str) -> bool | None:
        """Returns a property, a boolean; None if it is absent."""
        value = self.kdl_node.props.get(name)
        if value is not None and not isinstance(value, bool):
            raise self.fault(f"{name} is to be true or false, not {_format_value(value)}")
        return value

    def _text(self, label: str, value: object) -> str:
        if not isinstance(value, str) or not value:
            raise self.fault(f"{label} is to be a text in quotes, not {_format_value(value)}")
        return value

    def _integer(self, label: str, value: object, minimum: int) -> int:
        is_integer = isinstance(value, int | float) and not isinstance(value, bool) and value == int(value)
        if not is_integer or value < minimum:  # type: ignore[operator]
            raise self.fault(
                f"{label} is to be a whole number of {minimum} or more, not {_format_value(value)}")
        return int(value)  # type: ignore[call-overload,no-any-return]

    def _duration(self, label: str, value: object) -> timedelta:
        if not isinstance(value, Decimal) or value.tag not in TIME_UNITS:
            raise self.fault(
                f"{label} is to be a time with its unit, such as (ms)250 or (s)1.5, "
                f"not {_format_value(value)}")
        if not 0 <= value.value < MAX_DURATION_S:
            raise self.fault(f"{label} is no time: {_format_value(value)}")
        return float(value.value) * TIME_UNITS[value.tag]


NAMED_NODES = ("region", "rule", "expect", "organisation", "team")  # their first value is shown in paths


def _count_phrase(number: int) -> str:
    return "no value" if not number else "one value" if number == 1 else f"{number} values"


def _known_phrase(names: Collection[str]) -> str:
    return f"known are: {', '.join(names)}" if names else "none is known here"


def _format_value(value: object) -> str:
    return repr(value) if isinstance(value, str | int | float | bool) or value is None else str(value)
