"""What a route is: the jobs that a rule matches, and what it says of them. Plain types with no look-up.

A rule says which jobs it matches and one action: prefer regions in order, only these regions, only these
kinds, or deny. It chooses no server: the decision module does, among what the rule leaves.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from arrowfold.interface import Reach


@dataclass(frozen=True, slots=True)
class Subject:
    """What a route can tell of a job; None where the job does not say."""

    request_class: str
    region: str | None = None
    key: str | None = None
    tenant: str | None = None
    client: str | None = None  # the client's address, IPv4 or IPv6
    resent: bool = False


@dataclass(frozen=True, slots=True)
class Match:
    """Which jobs a rule matches: all that satisfy each part that is not empty."""

    classes: frozenset[str] = frozenset()
    regions: frozenset[str] = frozenset()
    keys: frozenset[str] = frozenset()
    key_prefixes: frozenset[str] = frozenset()
    tenants: frozenset[str] = frozenset()
    networks: frozenset[str] = frozenset()  # in CIDR form
    retry: bool | None = None


@dataclass(frozen=True, slots=True)
class Action:
    """What a rule says. Exactly one of the parts is given."""

    prefer: tuple[str, ...] = ()  # regions, the preferred first; others serve when these have no room
    only: tuple[str, ...] = ()  # regions, in no order
    kinds: frozenset[str] = frozenset()
    deny: bool = False
    retry_after: timedelta | None = None  # with `deny`: when to come back; None where nothing is said

    def reach(self, regions: Mapping[str, frozenset[str]]) -> Reach | None:
        """What this leaves of the backend servers, with each region's zones; None for a denial."""
        if self.deny:
            return None
        if self.only:
            return Reach((frozenset().union(*(regions[name] for name in self.only)),), others=False)
        return Reach(tuple(regions[name] for name in self.prefer), kinds=self.kinds)


@dataclass(frozen=True, slots=True)
class Rule:
    """One row of the table."""

    name: str
    match: Match
    action: Action


@dataclass(frozen=True, slots=True)
class Routes:
    """What a document says of routes: the regions' zones, and the rules in their order."""

    regions: Mapping[str, frozenset[str]]
    rules: tuple[Rule, ...] = ()


class Router(Protocol):
    """What the core asks for each job."""

    def find(self, subject: Subject) -> tuple[Rule, Reach | None] | None:
        """The rule that holds for a job, and what it leaves; None where no rule does."""
