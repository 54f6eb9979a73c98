"""Data types of routes; the look-up is in `arrowfold.routes.table`.

A rule consists of a match, which selects jobs, and one action: prefer regions in order, allow only some
regions, allow only some kinds of server, or deny. The dispatcher chooses a server among those that remain.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from arrowfold.interface import Reach


@dataclass(frozen=True, slots=True)
class Subject:
    """The attributes of a job that rules can match; None where the job has none."""

    request_class: str
    region: str | None = None
    key: str | None = None
    tenant: str | None = None
    client: str | None = None  # the client's address, IPv4 or IPv6
    resent: bool = False


@dataclass(frozen=True, slots=True)
class Match:
    """The jobs that a rule matches: those that satisfy every part that is not empty."""

    classes: frozenset[str] = frozenset()
    regions: frozenset[str] = frozenset()
    keys: frozenset[str] = frozenset()
    key_prefixes: frozenset[str] = frozenset()
    tenants: frozenset[str] = frozenset()
    networks: frozenset[str] = frozenset()  # in CIDR form
    retry: bool | None = None  # whether the client has sent the job before


@dataclass(frozen=True, slots=True)
class Action:
    """The action of a rule. Exactly one of the first four fields is set."""

    prefer: tuple[str, ...] = ()  # regions in order of preference; others are used when these are full
    only: tuple[str, ...] = ()  # regions, without an order
    kinds: frozenset[str] = frozenset()
    deny: bool = False
    retry_after: timedelta | None = None  # with `deny`: when the client may retry; None: not stated

    def reach(self, regions: Mapping[str, frozenset[str]]) -> Reach | None:
        """Returns the servers that the action allows, given each region's zones; None for a denial."""
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
    """The routes of a configuration document: the zones of each region and the rules in order."""

    regions: Mapping[str, frozenset[str]]
    rules: tuple[Rule, ...] = ()


class Router(Protocol):
    """Look-up of a job's rule, as the core uses it."""

    def find(self, subject: Subject) -> tuple[Rule, Reach | None] | None:
        """Returns the rule that applies to a job and the reach it allows, or None if no rule matches."""
