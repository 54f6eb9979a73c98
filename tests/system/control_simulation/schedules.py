"""Random schedules of faults, within what may be lost at one time, beside operators, readers and workers."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.system.control_simulation.history import Violation
from tests.system.control_simulation.machines import Machine
from tests.system.control_simulation.world import World, run_world

CATCH_UP_S = 4.0  # a machine counts as lost for so long after it came back
LENGTH_S = 25.0
LOSE_A_DISK = {"wipe", "replace", "wipe and power of the rest"}


@dataclass(slots=True)
class Outcome:
    """What one schedule did, and what was wrong, if anything."""

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
        self.outcome = Outcome(seed)
        self._next_name = machines
        self._replaced: list[Machine] = []
        # Harsh schedules overlap faults beyond the losses to be borne: only availability may suffer.
        self._harsh = self.draw.random() < 0.5

    async def run(self) -> Outcome:
        """Play the schedule; violations are in the outcome."""
        try:
            await self._play()
            self.world.require_sound()
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
        callers = [asyncio.create_task(self._operate()) for _ in range(2)]
        callers.append(asyncio.create_task(world.watch_primaries()))
        callers += [asyncio.create_task(self._read()), asyncio.create_task(self._depart())]
        loop = asyncio.get_running_loop()
        end = loop.time() + LENGTH_S
        await asyncio.gather(*(self._faults_until(end) for _ in range(2 if self._harsh else 1)))
        for caller in callers:
            caller.cancel()
        started = loop.time()
        await world.settle()
        self.outcome.recovery_s = loop.time() - started
        if not world.violations and not await world.change(
            world.history.newest_acknowledged(), 10**6, patience_s=0.0
        ):
            await self._final_change()

    async def _final_change(self) -> None:
        """After all trouble a change is possible, and it is read back."""
        world = self.world
        deadline = asyncio.get_running_loop().time() + 10.0
        while asyncio.get_running_loop().time() < deadline:
            version = await world.read()
            base = 0 if version is None else version
            if await world.change(base, base + 10, 3.0):
                return
        raise Violation("no change was acknowledged after all trouble had ended")

    async def _faults_until(self, end: float) -> None:
        while asyncio.get_running_loop().time() < end and not self.world.violations:
            await asyncio.sleep(self.draw.uniform(0.0, 2.5))
            await self._one_fault()

    def _start(self) -> None:
        for machine in self.world.machines.values():
            asyncio.get_running_loop().call_later(self.draw.uniform(0.0, 0.3), machine.start)

    # Callers

    async def _operate(self) -> None:
        world = self.world
        while True:
            base = world.history.newest_acknowledged()
            known = await world.read()
            base = max(base, known or 0)
            await world.change(base, base + self.draw.randint(1, 3), 6.0)
            await asyncio.sleep(self.draw.uniform(0.0, 0.4))

    async def _read(self) -> None:
        while True:
            await self.world.read()
            await asyncio.sleep(0.15)

    async def _depart(self) -> None:
        number = 0
        while True:
            number += 1
            await self.world.depart(f"i-{number}")
            await asyncio.sleep(self.draw.uniform(0.1, 0.6))

    # Faults

    def _victims(self) -> list[Machine]:
        machines = list(self.world.machines.values())
        return self.draw.sample(machines, self.draw.randint(1, self.world.losses))

    async def _one_fault(self) -> None:
        faults: list[tuple[str, Callable[[list[Machine]], None], Callable[[list[Machine]], None]]] = [
            ("kill", _each(Machine.kill), _each(Machine.start)),
            ("power", _each(Machine.lose_power), _each(Machine.start)),
            ("wipe", _each(Machine.wipe), _each(Machine.start)),
            ("freeze", _each(Machine.freeze), _each(Machine.thaw)),
            ("hang", _each(lambda it: it.hang_disk(True)), _each(lambda it: it.hang_disk(False))),
            ("full", _each(_fill), _each(_empty)),
            ("cut", self._cut_both, self._heal),
            ("cut one way", self._cut_one_way, self._heal),
            ("late messages", self._delay, self._heal),
            ("power of all", self._power_of_all, self._start_everyone),
            ("kill of all", self._kill_all, self._start_everyone),
            ("wipe and power of the rest", self._wipe_and_power, self._start_everyone),
            ("replace", self._replace, self._nothing),
        ]
        name, strike, end = self.draw.choice(faults)
        if self._harsh and name in LOSE_A_DISK and not self.world.is_whole():
            return
        victims = self._victims()
        self.outcome.faults[name] += 1
        self.world.trace.add("FAULT", name, victims=[victim.name for victim in victims])
        strike(victims)
        await asyncio.sleep(self.draw.choice([0.02, 0.3, 1.0, 2.5, 4.0]))
        end(victims)
        self.world.trace.add("FAULT", f"{name} ends")
        await asyncio.sleep(self.draw.uniform(0.0, 1.0) if self._harsh else CATCH_UP_S)

    def _cut_both(self, victims: list[Machine]) -> None:
        self._cut_one_way(victims)
        for victim in victims:
            for other in self._others(victims):
                self.world.network.cut(other.address, victim.address)

    def _cut_one_way(self, victims: list[Machine]) -> None:
        for victim in victims:
            for other in self._others(victims):
                self.world.network.cut(victim.address, other.address)

    def _others(self, victims: list[Machine]) -> list[Machine]:
        return [machine for machine in self.world.machines.values() if machine not in victims]

    def _heal(self, _: list[Machine]) -> None:
        self.world.network.heal()
        self.world.network.slow_share = 0.0

    def _delay(self, _: list[Machine]) -> None:
        self.world.network.slow_share = 0.2

    def _power_of_all(self, _: list[Machine]) -> None:
        for machine in self.world.machines.values():
            machine.lose_power()

    def _kill_all(self, _: list[Machine]) -> None:
        for machine in self.world.machines.values():
            machine.kill()

    def _wipe_and_power(self, victims: list[Machine]) -> None:
        for machine in self.world.machines.values():
            if machine in victims:
                machine.wipe()
            else:
                machine.lose_power()

    def _start_everyone(self, _: list[Machine]) -> None:
        for machine in self.world.machines.values():
            machine.start()

    def _replace(self, victims: list[Machine]) -> None:
        victim = victims[0]
        victim.kill()
        del self.world.machines[victim.name]
        self._replaced.append(victim)
        self._next_name += 1
        newcomer = self.world.add_machine(f"core{self._next_name}")
        live = [machine.address for machine in self.world.machines.values()]
        newcomer.seeds = tuple(live[:3])
        newcomer.start()

    def _nothing(self, _: list[Machine]) -> None:
        return None


def _each(act: Callable[[Machine], None]) -> Callable[[list[Machine]], None]:
    def strike(victims: list[Machine]) -> None:
        for victim in victims:
            act(victim)

    return strike


def _fill(machine: Machine) -> None:
    machine.folder.full = True


def _empty(machine: Machine) -> None:
    machine.folder.full = False


def run_schedule(seed: int, machines: int = 3, losses: int = 1, world_type: type[World] = World) -> Outcome:
    """Play one schedule in virtual time."""

    async def story() -> Outcome:
        return await Schedule(seed, machines, losses, world_type).run()

    outcome: Outcome = run_world(story())
    return outcome
