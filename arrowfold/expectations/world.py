"""The description of a simulated world, its token, and the plan under which it is simulated."""

from __future__ import annotations

import json
from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections.abc import Callable
from dataclasses import asdict, dataclass, fields
from typing import Any

from arrowfold import interface as api
from arrowfold.quotas.tree import Tree
from arrowfold.routes.rules import Routes, Subject
from arrowfold.routes.table import RouteTable
from arrowfold.routing.core import Core

LOADS = ("idle", "busy", "region-full", "all-full")
ENDINGS = ("served", "turned-away", "refused", "error", "reset", "slow")
EVENTS = ("none", "drain", "gone", "vanish", "restart", "maintenance", "back", "silent", "list-lost",
          "fewer-attempts", "clients-leave")
TARGETS = ("one", "region", "all")


class TokenError(ValueError):
    """A token that does not decode to a valid world."""


@dataclass(frozen=True, slots=True)
class World:
    """The factors of one simulation. Times are in milliseconds, `at` counts from the first arrival."""

    request_class: str
    region: str | None = None
    key: str | None = None
    tenant: str | None = None
    client: str | None = None
    resent: bool = False
    servers: int = 1  # number of servers per zone and kind
    load: str = "idle"
    ending: str = "served"  # how the first attempt of each session ends
    event: str = "none"
    target: str = "one"  # servers that the event affects, in the region preferred for the request
    at: int = 300
    lag: int = 0  # delay from the event to the update of the worker list
    arrivals: int = 1
    gap: int = 150  # between arrivals
    seed: int = 1

    def subject(self) -> Subject:
        """Returns the attributes of its requests that rules match."""
        return Subject(self.request_class, self.region, self.key, self.tenant, self.client, self.resent)

    def token(self) -> str:
        """Returns the token that `check --replay` accepts."""
        row = {name: value for name, value in asdict(self).items() if value != _DEFAULTS.get(name)}
        return urlsafe_b64encode(json.dumps(row, separators=(",", ":")).encode()).decode().rstrip("=")

    @staticmethod
    def from_token(token: str) -> World:
        """Returns the world of a token. TokenError if it is malformed or a value is out of range."""
        try:
            row = json.loads(urlsafe_b64decode(token + "=" * (-len(token) % 4)))
            world = World(**row)
        except (ValueError, TypeError) as error:
            raise TokenError(f"{token[:40]!r} is no token of a world") from error
        allowed = (
            (world.load, LOADS), (world.ending, ENDINGS), (world.event, EVENTS), (world.target, TARGETS))
        numbers = (world.servers, world.at, world.lag, world.arrivals, world.gap, world.seed)
        if any(value not in names for value, names in allowed) or not all(
                isinstance(n, int) and 0 <= n <= 100_000 for n in numbers) or world.arrivals > 1000:
            raise TokenError(f"{token[:40]!r} is no token of a world")
        return world

    def words(self) -> str:
        """Returns a description in one line."""
        parts = [self.request_class]
        parts += [f"{name} {value}" for name, value in (
            ("region", self.region), ("key", self.key), ("tenant", self.tenant), ("from", self.client))
            if value]
        parts += ["a retry"] if self.resent else []
        parts.append(f"{self.arrivals} arrivals {self.gap} ms apart" if self.arrivals > 1 else "1 arrival")
        parts.append(f"{self.servers} server{'s'[:self.servers > 1]} a zone and kind, {self.load}")
        if self.ending != "served":
            parts.append(f"first attempts end {self.ending}")
        if self.event != "none":
            parts.append(f"{self.event} of {self.target} at {self.at} ms")
            parts.append(f"told {self.lag} ms later")
        return ", ".join(parts)


_DEFAULTS: dict[str, Any] = {f.name: f.default for f in fields(World) if f.name != "request_class"}
MakeCore = Callable[..., Core]


@dataclass(frozen=True, slots=True)
class SystemUnderTest:
    """What is checked: the platform's settings, the routes, the fleet and the quotas."""

    settings: api.Settings
    routes: Routes
    fleet: tuple[tuple[str, str], ...]  # pairs of zone and kind
    quotas: Tree | None = None
    make_core: MakeCore = Core
    make_table: Callable[[Routes], RouteTable] = RouteTable
