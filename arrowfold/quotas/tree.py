"""The tree of quotas: levels by path, and what each may use. Plain types.

Amounts are whole numbers, so that no sequence of charges and refunds mints or loses any: requests in
requests, worker time in microseconds, index fetches in thousandths.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

MOST_DEPTH = 8
MOST_PART = 100  # characters of one part of a path
MOST_AMOUNT = 2**62


class Resource(Enum):
    """What is limited. The value is its node's name in the document."""

    REQUESTS = "requests"
    WORKER_TIME = "worker-time"
    FETCHES = "index-fetches"


UNIT = {Resource.REQUESTS: 1, Resource.WORKER_TIME: 1_000_000, Resource.FETCHES: 1000}


@dataclass(frozen=True, slots=True)
class Limit:
    """At most `amount` in any time of length `per`."""

    resource: Resource
    amount: int
    per: timedelta

    def words(self) -> str:
        amount = self.amount / UNIT[self.resource]
        unit = " s" if self.resource is Resource.WORKER_TIME else ""
        return f"{self.resource.value} {amount:g}{unit} per {self.per.total_seconds():g} s"


@dataclass(frozen=True, slots=True)
class Level:
    """An organisation, a team, or something deeper. Its limits are also what siblings can't take from it."""

    name: str
    limits: tuple[Limit, ...] = ()
    classes: frozenset[str] = frozenset()  # those that count here; empty: all
    borrow: bool = False  # may use what idle siblings don't
    weight: float = 1.0  # its part of what there is to borrow
    children: Mapping[str, Level] = field(default_factory=dict)
    default: Level | None = None  # for children that are not named

    def child(self, name: str) -> Level | None:
        return self.children.get(name) or self.default


@dataclass(frozen=True, slots=True)
class Tree:
    """All of it. The root has no limits of its own."""

    root: Level
    nobody: Level | None = None  # for jobs that name no tenant
    payback: float = 0.5  # the part of a debtor's own share that pays its debt
    stretch: float = 1.0  # how far all nodes' parts together may go beyond a limit
    cautious: float = 1.0  # the part of every limit that is free at a start from nothing
    most_levels: int = 200_000  # remembered at once
    owners: tuple[tuple[str, str], ...] = ()  # networks, and whose jobs come from there without a tenant

    def chain(self, path: tuple[str, ...]) -> Iterator[tuple[tuple[str, ...], Level]]:
        """The levels that a path passes, from the top, each with its path."""
        if not path:
            if self.nobody is not None:
                yield ("",), self.nobody
            return
        level = self.root
        at: tuple[str, ...] = ()
        for part in path:
            found = level.child(part)
            if found is None:
                return
            level, at = found, (*at, part)
            yield at, level


class PathError(ValueError):
    """What is no valid path of a tenant."""


def read_path(text: str | None) -> tuple[str, ...]:
    """`org/team` as its parts; nothing at all is an empty path. PathError says what is wrong with it."""
    if not text:
        return ()
    parts = tuple(text.split("/"))
    if len(parts) > MOST_DEPTH:
        raise PathError(f"more than {MOST_DEPTH} parts")
    for part in parts:
        if not part or len(part) > MOST_PART or not part.isprintable() or part != part.strip():
            raise PathError(f"{part[:MOST_PART]!r} is no name of an organisation or a team")
    return parts
