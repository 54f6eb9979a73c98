"""Schedules in which all nodes lose power simultaneously and the maximum tolerated number of disks is lost.

Edge nodes and leaving nodes lose power too. After all of them have restarted, everything that was
acknowledged before must still be there.
"""

from __future__ import annotations

import asyncio
import contextlib

from tests.system.control_simulation.machines import Machine
from tests.system.control_simulation.schedules import Schedule
from tests.system.control_simulation.world import World

DISKS = "disks lost in blackouts"  # key of this count among the counts of faults
NO_CONFIRMATION = "blackout after waiting for a confirmation in vain"
MAX_FAULTS_BEFORE = 2  # ordinary faults before the first blackout
BLACKOUTS = 3
MAX_CALM_S = 1.5  # maximum delay before a blackout at a random time
CONFIRMATION_TIMEOUT_S = 4.0  # maximum wait for the next acknowledgement
SHRINK_TIMEOUT_S = 5.0  # maximum time until the group has excluded frozen nodes
OUTAGE_S = (0.02, 0.3, 1.0, 4.0)  # time without power
STAGGER_S = (0.0, 0.1, 1.0)  # interval over which the restarts are spread


class BlackoutSchedule(Schedule):
    """A few ordinary faults, then blackouts, each after the group has recovered from the previous one."""

    def __init__(self, seed: int, machines: int, losses: int, world_type: type[World] = World) -> None:
        super().__init__(seed, machines, losses, world_type)
        self._harsh = False

    async def _inject_faults(self) -> None:
        await self._faults_in_turn(self.draw.randint(0, MAX_FAULTS_BEFORE))
        for _ in range(BLACKOUTS):
            if self.world.violations:
                return
            await self._blackout()
            await self._recover()

    async def _blackout(self) -> None:
        """One blackout, with all nodes in the group or with as few as an acknowledgement requires."""
        still = await self._shrink_group() if self.draw.random() < 0.5 else []
        moment = self.draw.choice(("drawn", "confirmation", "shortly after a confirmation"))
        name = f"blackout, {moment}{', few in the group' if still else ''}"
        self.world.trace.add("FAULT", name)
        if moment == "drawn":
            await asyncio.sleep(self.draw.uniform(0.0, MAX_CALM_S))
            self._fail_all(still)
        elif moment == "confirmation":
            await self._fail_all_at_confirmation(still)
        else:
            await self._next_confirmation()
            await asyncio.sleep(self.draw.uniform(0.0, 3 * self.world.sync_s))
            self._fail_all(still)
        self.outcome.faults[name] += 1
        await asyncio.sleep(self.draw.choice(OUTAGE_S))
        self._restart_all()

    async def _shrink_group(self) -> list[Machine]:
        """Freeze nodes until the group has the minimum size for acknowledgements; returns these nodes."""
        machines = list(self.world.machines.values())
        smallest = self.world.losses + 1
        still = self.draw.sample(machines, max(0, len(machines) - smallest))
        for machine in still:
            machine.freeze()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + SHRINK_TIMEOUT_S
        while loop.time() < deadline and self._group_size() != smallest:
            await asyncio.sleep(0.02)
        return still

    def _group_size(self) -> int:
        primary = self.world.primary()
        if primary is None or primary.replica is None or primary.replica.term is None:
            return 0
        return len(primary.replica.term.record.group)

    async def _next_confirmation(self) -> None:
        """Wait for the next acknowledgement, up to the timeout."""
        confirmed = asyncio.Event()
        self.world.on_confirmed = confirmed.set  # type: ignore[method-assign]
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(confirmed.wait(), CONFIRMATION_TIMEOUT_S)
        self.world.on_confirmed = _nothing  # type: ignore[method-assign]

    async def _fail_all_at_confirmation(self, still: list[Machine]) -> None:
        """Cut the power within the acknowledgement itself, before any other callback runs.

        After the timeout the power is cut without an acknowledgement.
        """
        struck = asyncio.Event()

        def inject() -> None:
            self.world.on_confirmed = _nothing  # type: ignore[method-assign]
            self._fail_all(still)
            struck.set()

        self.world.on_confirmed = inject  # type: ignore[method-assign]
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(struck.wait(), CONFIRMATION_TIMEOUT_S)
        if not struck.is_set():
            self.outcome.faults[NO_CONFIRMATION] += 1
            inject()

    def _fail_all(self, still: list[Machine]) -> None:
        """Wipe as many disks as allowed, preferably of nodes that are not frozen; all others lose power."""
        victims = self._victims(still)
        for machine in self.world.machines.values():
            if machine in victims:
                machine.wipe()
            else:
                machine.lose_power()
        for edge in self.world.edges:
            edge.lose_power()
        self.outcome.faults[DISKS] += len(victims)
        history = self.world.history
        history.least_version = history.newest_committed_version()

    def _victims(self, still: list[Machine]) -> list[Machine]:
        """The nodes whose disks are lost: as many as the budget allows."""
        count = self.world.losses
        while count and not self._budget.take(count):
            count -= 1
        machines = list(self.world.machines.values())
        self.draw.shuffle(machines)
        return sorted(machines, key=lambda machine: machine in still)[:count]

    def _restart_all(self) -> None:
        loop = asyncio.get_running_loop()
        longest_s = self.draw.choice(STAGGER_S)
        for machine in self.world.machines.values():
            loop.call_later(self.draw.uniform(0.0, longest_s), machine.start)
        for edge in self.world.edges:
            loop.call_later(self.draw.uniform(0.0, longest_s), edge.start)


def _nothing() -> None:
    """The callback of confirmations while none is awaited."""
