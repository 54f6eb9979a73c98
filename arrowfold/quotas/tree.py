"""The tree of quotas: levels by path, with their limits.

Amounts are integers, so that charges and refunds always balance: requests in requests, worker time in
microseconds, index fetches in thousandths.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

MAX_PATH_PARTS = 8
MAX_PART_CHARS = 100  # characters of one part of a path
MOST_AMOUNT = 2**62


class Resource(Enum):
    """A limited resource. The value is its node's name in the document."""

    REQUESTS = "requests"
    WORKER_TIME = "worker-time"
    FETCHES = "index-fetches"


UNIT = {Resource.REQUESTS: 1, Resource.WORKER_TIME: 1_000_000, Resource.FETCHES: 1000}


@dataclass(frozen=True, slots=True)
class Limit:
    """At most `amount` in any window of length `per`."""

    resource: Resource
    amount: int
    per: timedelta

    def as_text(self) -> str:
        """Returns the limit as text, such as `worker-time 10 s per 60 s`."""
        amount = self.amount / UNIT[self.resource]
        unit = " s" if self.resource is Resource.WORKER_TIME else ""
        return f"{self.resource.value} {amount:g}{unit} per {self.per.total_seconds():g} s"


@dataclass(frozen=True, slots=True)
class Level:
    """An organisation, a team or a deeper level. Its limits are also the share that siblings can't borrow."""

    name: str
    limits: tuple[Limit, ...] = ()
    classes: frozenset[str] = frozenset()  # classes that are charged here; empty: all
    borrow: bool = False  # may use its siblings' unused quota
    weight: float = 1.0  # its relative part of the pool to borrow from
    children: Mapping[str, Level] = field(default_factory=dict)
    default: Level | None = None  # for children without an entry

    def child(self, name: str) -> Level | None:
        """Returns the child of this name, or the default."""
        return self.children.get(name) or self.default


@dataclass(frozen=True, slots=True)
class Tree:
    """The whole tree and its settings. The root has no limits of its own."""

    root: Level
    nobody: Level | None = None  # for jobs without a tenant
    payback: float = 0.5  # part of a debtor's own share that repays its debt
    stretch: float = 1.0  # bound on the sum of all nodes' parts, as a multiple of the limit
    cautious: float = 1.0  # part of every limit that is free at a start without balances
    most_levels: int = 200_000  # accounts kept in memory
    owners: tuple[tuple[str, str], ...] = ()  # networks, and the tenant path of jobs from there without one

    def chain(self, path: tuple[str, ...]) -> Iterator[tuple[tuple[str, ...], Level]]:
        """Yields the levels along a path from the top, each with its own path."""
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
    """An invalid tenant path."""


def read_path(text: str | None) -> tuple[str, ...]:
    """Split a tenant path such as `org/team`; no text is the empty path. PathError if it is invalid."""
    if not text:
        return ()
    parts = tuple(text.split("/"))
    if len(parts) > MAX_PATH_PARTS:
        raise PathError(f"more than {MAX_PATH_PARTS} parts")
    for part in parts:
        if not part or len(part) > MAX_PART_CHARS or not part.isprintable() or part != part.strip():
            raise PathError(f"{part[:MAX_PART_CHARS]!r} is no name of an organisation or a team")
    return parts
