"""Random schedules of faults in virtual time, with concurrent operators, readers, workers and edges."""

from __future__ import annotations

import asyncio
import functools
import random
from collections import Counter
from dataclasses import dataclass, field
from unittest.mock import patch

from arrowfold.replication import state
from arrowfold.replication.state import patched_document
from tests.system.control_simulation.edges import SimulatedEdge
from tests.system.control_simulation.faults import DiskBudget, Faults
from tests.system.control_simulation.history import Violation
from tests.system.control_simulation.world import WATCH_INTERVAL_S, World, run_world
from tests.system.virtual_time import Repeating

CATCH_UP_S = 4.0  # time after its return for which a node still counts as lost
CHECK_INTERVAL_S = 0.1  # interval of checks for the group's recovery
CALM_FAULTS = 5  # sequential faults, each after the group has recovered from the previous one
HARSH_FAULTS = 7  # faults in each of two concurrent sequences
MAX_PAUSE_S = 1.2  # maximum pause before a fault
COMPACT_BYTES = 20_000  # size of a segment, small enough for compactions in every schedule
EDGES_S = 3.0  # time after the last fault until every edge must have the newest configuration
CHANGE_S = 6.0  # time for which an operator retries a change
ENCODED_SHARE = 8  # one schedule in this many sends its messages as bytes
QUIET_AFTER_S = 1.5  # time after the last fault from which callers pause longer
OPERATOR_PAUSE_S = 0.4  # maximum pause between an operator's changes
STORM_PAUSE_S = 0.02  # the same during a burst of changes
READ_PAUSE_S = 0.15
DEPARTURE_PAUSE_S = 0.6  # maximum pause between departures
QUIET_PAUSE_FACTOR = 4.0
CACHED_DOCUMENTS = 256


@dataclass(slots=True)
class Outcome:
    """The counts of one schedule, and its violation, if any."""

    seed: int
    faults: Counter[str] = field(default_factory=Counter)
    acknowledged: int = 0
    departures: int = 0
    reads: int = 0
    acts: int = 0
    recovery_s: float = 0.0
    violation: str | None = None
    trace: list[str] = field(default_factory=list)


class Schedule:
    """One run of a world with faults."""

    def __init__(self, seed: int, machines: int, losses: int, world_type: type[World] = World) -> None:
        self.draw = random.Random(seed * 7919 + 1)
        sync_s = self.draw.choice([0.001, 0.005, 0.01])
        self.world = world_type(seed, machines, losses, sync_s)
        self.world.compact_bytes = COMPACT_BYTES
        self.world.network.encodes = seed % ENCODED_SHARE == 0
        for machine in self.world.machines.values():
            machine.compact_bytes = COMPACT_BYTES
        self.world.edges = [SimulatedEdge(f"edge{number}", self.world) for number in (1, 2)]
        self.outcome = Outcome(seed)
        self._budget = DiskBudget(self.world)
        self._faults = Faults(self.world, self.draw, self._budget)
        # Harsh schedules overlap faults beyond the tolerated losses: only availability may be reduced.
        self._harsh = self.draw.random() < 0.5
        self._active_faults = 0
        self._last_fault_s = 0.0  # time of the last start or end of a fault

    async def run(self) -> Outcome:
        """Run the schedule; a violation is reported in the outcome."""
        try:
            await self._play()
            self.world.raise_violations()
        except Violation as violation:
            self.outcome.violation = str(violation)
        history = self.world.history
        self.outcome.acknowledged = len(history.acknowledged)
        self.outcome.departures = len(history.departures)
        self.outcome.reads = history.reads
        self.outcome.acts = history.acts
        self.outcome.trace = self.world.trace.lines
        return self.outcome

    async def _play(self) -> None:
        world = self.world
        self._start()
        await world.until_primary(12.0)
        watch = Repeating(WATCH_INTERVAL_S, self._check)
        works = [self._operate(), self._operate(), self._read(), self._depart()]
        callers = [asyncio.create_task(work) for work in works]
        loop = asyncio.get_running_loop()
        await self._inject_faults()
        for caller in callers:
            caller.cancel()
        started = loop.time()
        await world.settle()
        self.outcome.recovery_s = loop.time() - started
        if not world.violations:
            await self._final_change()
        if not world.violations:
            await self._edges_follow()
        watch.cancel()

    async def _inject_faults(self) -> None:
        """Inject all faults of the schedule."""
        lanes = [HARSH_FAULTS, HARSH_FAULTS] if self._harsh else [CALM_FAULTS]
        await asyncio.gather(*(self._faults_in_turn(count) for count in lanes))

    def _check(self) -> None:
        self.world.check_primaries()
        self.world.check_claims()
        self.world.check_keys()
        self._budget.renew_when_whole()

    async def _final_change(self) -> None:
        """Check that a change is acknowledged after all faults have ended."""
        world = self.world
        deadline = asyncio.get_running_loop().time() + 10.0
        while asyncio.get_running_loop().time() < deadline:
            version = await world.read()
            base = 0 if version is None else version
            if await world.change(base, base + 10, 3.0):
                return
        raise Violation("no change was acknowledged after all faults had ended")

    async def _edges_follow(self) -> None:
        newest = self.world.history.newest_acknowledged()

        def have_it() -> bool:
            return all(edge.version() >= newest for edge in self.world.edges)

        await self.world.until(have_it, EDGES_S, "every edge has what is in force")

    async def _faults_in_turn(self, count: int) -> None:
        for _ in range(count):
            if self.world.violations:
                return
            await asyncio.sleep(self.draw.uniform(0.0, MAX_PAUSE_S))
            await self._one_fault()

    def _start(self) -> None:
        loop = asyncio.get_running_loop()
        for machine in self.world.machines.values():
            loop.call_later(self.draw.uniform(0.0, 0.3), machine.start)
        for edge in self.world.edges:
            loop.call_later(self.draw.uniform(0.0, 3.0), edge.start)

    async def _one_fault(self) -> None:
        name = self.draw.choice(list(self._faults.kinds))
        self.world.trace.add("FAULT", name)
        self._active_faults += 1
        if await self._faults.kinds[name]():
            self.outcome.faults[name] += 1
        self._active_faults -= 1
        self._last_fault_s = asyncio.get_running_loop().time()
        self.world.trace.add("FAULT", f"{name} ends")
        if self._harsh:
            await asyncio.sleep(self.draw.uniform(0.0, MAX_PAUSE_S))
        else:
            await self._recover()

    async def _recover(self) -> None:
        """Wait until the group is complete and confirmed on enough disks, for at most CATCH_UP_S."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CATCH_UP_S
        while loop.time() < deadline:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.world.is_secured():
                return

    # Callers

    async def _pause(self, pause_s: float) -> None:
        """Wait between calls, for longer if no fault is active or has just ended."""
        quiet_s = asyncio.get_running_loop().time() - self._last_fault_s
        is_quiet = self._active_faults == 0 and quiet_s > QUIET_AFTER_S
        await asyncio.sleep(pause_s * QUIET_PAUSE_FACTOR if is_quiet else pause_s)

    async def _operate(self) -> None:
        """One of two operators: both base changes on the version that they read, often on the same one."""
        world = self.world
        while True:
            base = world.history.newest_acknowledged()
            known = await world.read()
            base = max(base, known or 0)
            await world.change(base, base + self.draw.randint(1, 3), CHANGE_S)
            longest_s = STORM_PAUSE_S if self._faults.is_bursting else OPERATOR_PAUSE_S
            await self._pause(self.draw.uniform(0.0, longest_s))

    async def _read(self) -> None:
        while True:
            await self.world.read()
            await self._pause(READ_PAUSE_S)

    async def _depart(self) -> None:
        number = 0
        while True:
            number += 1
            await self.world.depart(f"i-{number}")
            await self._pause(self.draw.uniform(0.1, DEPARTURE_PAUSE_S))


def run_schedule(
    seed: int,
    machines: int = 3,
    losses: int = 1,
    world_type: type[World] = World,
    schedule_type: type[Schedule] = Schedule,
) -> Outcome:
    """Run one schedule in virtual time."""

    async def story() -> Outcome:
        return await schedule_type(seed, machines, losses, world_type).run()

    # Every member computes the same document from the same patch, so the results are cached.
    with patch.object(state, "patched_document", functools.lru_cache(CACHED_DOCUMENTS)(patched_document)):
        outcome: Outcome = run_world(story())
    return outcome
