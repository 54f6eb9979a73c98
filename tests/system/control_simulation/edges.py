"""Simulated edge nodes with the real puller and tables; their state must never regress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from arrowfold.configuration.json_text import write_canonical
from arrowfold.configuration.tenants import text_without_keys
from arrowfold.dataplane.freshness import StateFreshness
from arrowfold.dataplane.puller import ControlPuller
from arrowfold.dataplane.tables import FleetTables
from arrowfold.internal.messages import NodeIdentity
from tests.system.control_simulation.history import REVOKE_S, Violation
from tests.system.control_simulation.lives import Life, LivesLoop
from tests.system.control_simulation.network import SimulatedCaller
from tests.system.control_simulation.world import World

SPEED_ERROR = 0.04  # relative error of an edge's steady clock, alternately slow and fast


class _NoLog:
    """Discards the puller's log events."""

    def info(self, event: str, **fields: Any) -> None:
        """Discard the event."""


class _ObservedFreshness(StateFreshness):
    """Runs a check of what the edge would serve right after each answer that is counted."""

    def __init__(self, clock: Callable[[], float], counted: Callable[[], None]) -> None:
        super().__init__(REVOKE_S, clock)
        self._counted = counted

    def answered(self, asked_s: float, state_age_s: float) -> None:
        super().answered(asked_s, state_age_s)
        self._counted()


class SimulatedEdge:
    """An edge node that pulls the state; it starts with empty tables after each restart."""

    def __init__(self, name: str, world: World) -> None:
        self.name = name
        self.address = f"{name}:1"
        self._world = world
        self._life: Life | None = None
        self._tables = FleetTables()
        self._clock_rate = 1.0 + (SPEED_ERROR if int(name[-1]) % 2 == 0 else -SPEED_ERROR)
        self._freshness = _ObservedFreshness(self._clock, self.check_keys)
        self._tasks: list[asyncio.Task[None]] = []
        self._applied = (0, 0)  # log position and version of the configuration in force

    def version(self) -> int:
        """The configuration version that requests are handled by, 0 for none."""
        return self._applied[1]

    def _clock(self) -> float:
        """The steady clock of this edge."""
        return asyncio.get_running_loop().time() * self._clock_rate

    def serves_keys(self) -> bool:
        """Whether it is running, has a configuration and would accept a request with an API key now."""
        runs = self._life is not None and not self._life.dead and not self._life.frozen
        return runs and self.version() > 0 and self._freshness.is_fresh()

    def check_keys(self) -> None:
        """Check that it does not serve a key that was revoked longer than REVOKE_S ago."""
        if self.serves_keys():
            now = asyncio.get_running_loop().time()
            self._world.check(lambda: self._world.history.serve_keys(now, self.version(), self.name))

    def freeze(self) -> None:
        """Freeze its process, if it is running."""
        if self._life is not None:
            self._loop.freeze(self._life)

    def thaw(self) -> None:
        """Resume its process; requests that arrived meanwhile are checked before anything else runs."""
        if self._life is not None:
            self._loop.thaw(self._life)
        self.check_keys()

    @property
    def _loop(self) -> LivesLoop:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, LivesLoop)
        return loop

    def start(self) -> None:
        """Start or restart it."""
        loop = self._loop
        if self._life is not None:
            loop.kill(self._life)
        life = self._life = Life(self.name)
        self._tables = FleetTables()
        self._freshness = _ObservedFreshness(self._clock, self.check_keys)
        self._applied = (0, 0)
        seeds = tuple(machine.address for machine in list(self._world.machines.values())[:3])
        self._tasks = [loop.create_task(self._run(seeds), context=life.context)]

    def lose_power(self) -> None:
        """End its process; all of its state is lost."""
        if self._life is not None:
            self._loop.kill(self._life)

    async def _run(self, seeds: tuple[str, ...]) -> None:
        caller = SimulatedCaller(self._world.network, self.address)
        identity = NodeIdentity(self.name, self.name, "zone", self.address, ("edge",))
        puller = ControlPuller(
            caller,  # type: ignore[arg-type]
            self._tables,
            identity,
            seeds,
            self._on_update,
            _NoLog(),  # type: ignore[arg-type]
            self._freshness,
        )
        puller.start()
        await asyncio.get_running_loop().create_future()

    def _on_update(self) -> None:
        configuration = self._tables.snapshot.configuration
        if configuration is None or (configuration.sequence, configuration.version) == self._applied:
            return
        before, self._applied = self._applied, (configuration.sequence, configuration.version)
        self._world.check(lambda: self._check(before))

    def _text(self) -> bytes | None:
        configuration = self._tables.snapshot.configuration
        return None if configuration is None else write_canonical(configuration.document)

    def _check(self, before: tuple[int, int]) -> None:
        if self._applied[0] < before[0] or self._applied[1] < before[1]:
            raise Violation(f"{self.name} went back from {before} to {self._applied}")
        least = self._world.history.least_version
        if self._applied[1] < least:
            raise Violation(f"{self.name} went back to {self._applied}, all lost power with version {least}")
        published = self._world.history.published.get(self._applied[0])
        if published is not None and text_without_keys(published) != self._text():
            raise Violation(f"{self.name} has other contents at position {self._applied[0]} than the group")
        if before == (0, 0):
            self._world.history.show(asyncio.get_running_loop().time(), self._applied[1], self.name)
