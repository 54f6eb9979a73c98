"""The deployment's document: KDL, read into checked values; every fault names the path of its node.

A path is the nodes from the top, each with its name where it has one: `routes > rule "devices" > prefer`.
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

UNITS = {
    "us": timedelta(microseconds=1), "ms": timedelta(milliseconds=1), "s": timedelta(seconds=1),
    "min": timedelta(minutes=1), "h": timedelta(hours=1)}
LONGEST = 1e9  # seconds; more is a slip
MOST_BYTES = 4 * 1024 * 1024
_AS_WRITTEN = ParseConfig(nativeUntaggedValues=True, nativeTaggedValues=False)


class DocumentError(ValueError):
    """What is wrong, and the path of the node at fault."""


def read_document(path: Path) -> Place:
    """The whole document. DocumentError where it can't be read, with line and column of a slip in KDL."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        raise DocumentError(f"{path}: {error}") from error
    if len(text) > MOST_BYTES:
        raise DocumentError(f"{path}: over {MOST_BYTES} bytes")
    try:
        document = parse(text, _AS_WRITTEN)
    except ParseError as error:
        raise DocumentError(f"{path}:{' '.join(str(error).split())}") from error
    except (RecursionError, OverflowError, ValueError) as error:
        raise DocumentError(f"{path}: {error}") from error
    root = Node(name="", nodes=document.nodes)
    return Place(root, "", path)


@dataclass(frozen=True, slots=True)
class Place:
    """One node of the document, and where it stands."""

    node: Node
    path: str
    file: Path

    @property
    def name(self) -> str:
        return str(self.node.name)

    def fault(self, text: str) -> DocumentError:
        return DocumentError(f"{self.file}: {self.path}: {text}" if self.path else f"{self.file}: {text}")

    def check(
            self, children: Collection[str] = (), props: Collection[str] = (), args: int | None = 0,
            repeated: Collection[str] = (),
    ) -> None:
        """Hold the node to what may stand in it. `args` None allows any number."""
        if self.node.tag is not None:
            raise self.fault(f"({self.node.tag}) before a node means nothing here")
        for place in self.children():
            if place.name not in children and place.name not in repeated:
                raise place.fault(f"unknown node; {_known([*children, *repeated])}")
            if place.name not in repeated and len(list(self.children(place.name))) > 1:
                raise place.fault("stands there twice")
        for name in self.node.props:
            if name not in props:
                raise self.fault(f"unknown property {name}; {_known(props)}")
        if args is not None and len(self.node.args) != args:
            raise self.fault(f"takes {_count(args)}, not {len(self.node.args)}")

    def children(self, name: str | None = None) -> Iterator[Place]:
        for node in self.node.nodes:
            if name is None or node.name == name:
                path = node.name
                if node.args and isinstance(node.args[0], str) and node.name in NAMED:
                    path = f'{node.name} "{node.args[0]}"'
                yield Place(node, f"{self.path} > {path}" if self.path else path, self.file)

    def child(self, name: str) -> Place | None:
        return next(self.children(name), None)

    # --- values ------------------------------------------------------------------------------------------

    def texts(self, least: int = 1) -> tuple[str, ...]:
        """All values of the node, each a text."""
        if len(self.node.args) < least:
            raise self.fault(f"takes {_count(least)} or more, not {len(self.node.args)}")
        for value in self.node.args:
            self._text("a value", value)
        if len(set(self.node.args)) != len(self.node.args):
            raise self.fault("names one thing twice")
        return tuple(self.node.args)

    def one(self) -> Any:
        """The node's one value, as it is written."""
        if len(self.node.args) != 1:
            raise self.fault(f"takes {_count(1)}, not {len(self.node.args)}")
        return self.node.args[0]

    def text(self) -> str:
        return self._text("its value", self.one())

    def flag(self) -> bool:
        value = self.one()
        if not isinstance(value, bool):
            raise self.fault(f"its value is to be true or false, not {_show(value)}")
        return value

    def span(self) -> timedelta:
        return self._span("its value", self.one())

    def whole(self, least: int = 1) -> int:
        return self._whole("its value", self.one(), least)

    def has(self, name: str) -> bool:
        return name in self.node.props

    def prop_text(self, name: str, default: str | None = None) -> str | None:
        return self._text(name, self.node.props[name]) if self.has(name) else default

    def prop_choice(self, name: str, choices: Collection[str], default: str | None = None) -> str:
        text = self.prop_text(name, default)
        if text is None:
            raise self.fault(f"{name} is missing")
        if text not in choices:
            raise self.fault(f"{name} is {text!r}; {_known(choices)}")
        return text

    def prop_span(self, name: str, default: timedelta | None = None) -> timedelta | None:
        return self._span(name, self.node.props[name]) if self.has(name) else default

    def prop_whole(self, name: str, default: int, least: int = 1) -> int:
        return self._whole(name, self.node.props[name], least) if self.has(name) else default

    def prop_share(self, name: str, default: float) -> float:
        value = self.node.props.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= 1:
            raise self.fault(f"{name} is to be a number above 0 and at most 1, not {_show(value)}")
        return float(value)

    def number(self, least: float, most: float) -> float:
        value = self.one()
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            raise self.fault(f"its value is to be a number from {least:g} to {most:g}, not {_show(value)}")
        return float(value)

    def prop_flag(self, name: str) -> bool | None:
        value = self.node.props.get(name)
        if value is not None and not isinstance(value, bool):
            raise self.fault(f"{name} is to be true or false, not {_show(value)}")
        return value

    def _text(self, what: str, value: object) -> str:
        if not isinstance(value, str) or not value:
            raise self.fault(f"{what} is to be a text in quotes, not {_show(value)}")
        return value

    def _whole(self, what: str, value: object, least: int) -> int:
        whole = isinstance(value, int | float) and not isinstance(value, bool) and value == int(value)
        if not whole or value < least:  # type: ignore[operator]
            raise self.fault(f"{what} is to be a whole number of {least} or more, not {_show(value)}")
        return int(value)  # type: ignore[call-overload,no-any-return]

    def _span(self, what: str, value: object) -> timedelta:
        if not isinstance(value, Decimal) or value.tag not in UNITS:
            raise self.fault(
                f"{what} is to be a time with its unit, such as (ms)250 or (s)1.5, not {_show(value)}")
        if not 0 <= value.value < LONGEST:
            raise self.fault(f"{what} is no time: {_show(value)}")
        return float(value.value) * UNITS[value.tag]


NAMED = ("region", "rule", "expect", "organisation", "team")  # nodes whose first value is their name


def _count(number: int) -> str:
    return "no value" if not number else "one value" if number == 1 else f"{number} values"


def _known(names: Collection[str]) -> str:
    return f"known are: {', '.join(names)}" if names else "none is known here"


def _show(value: object) -> str:
    return repr(value) if isinstance(value, str | int | float | bool) or value is None else str(value)
