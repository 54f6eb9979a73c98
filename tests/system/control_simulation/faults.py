"""The faults of random schedules; each is injected, lasts for a time, and ends by itself.

Overlapping faults are limited only by the number of lost disks: between two times at which the group was
complete and confirmed, at most the tolerated number of disks is lost.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from tests.system.control_simulation.machines import Machine
from tests.system.control_simulation.world import OPERATOR, World

GRACE_S = 8.0
SHORT_S = (0.02, 0.3, 1.0, 2.5, 4.0)
LONG_S = (8.0, 20.0)
PROMISE_TIMEOUT_S = 3.0  # maximum wait for the next promise by any node


class DiskBudget:
    """Counts the disks that may still be lost before the group is complete again.

    No disk may be lost before the group is complete for the first time, since a group with fewer witnesses
    than required tolerates fewer losses.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._lost = world.losses

    def renew_when_whole(self) -> None:
        """Reset the count if the group is complete and confirmed on enough disks; called periodically."""
        if self._lost and self._world.is_secured():
            self._lost = 0

    def take(self, disks: int = 1) -> bool:
        """Reserve the loss of `disks` more disks; returns whether the budget allows it."""
        if self._lost + disks > self._world.losses:
            return False
        self._lost += disks
        return True


class Faults:
    """All kinds of faults, injected into one world."""

    def __init__(self, world: World, draw: random.Random, budget: DiskBudget) -> None:
        self.world = world
        self.draw = draw
        self.budget = budget
        self.is_bursting = False
        self._next_name = len(world.machines)
        self._serial = 0
        self._leaving: set[str] = set()
        self.kinds: dict[str, Callable[[], Awaitable[bool]]] = {
            "kill": lambda: self._affect_victims(Machine.kill, Machine.start),
            "power": lambda: self._affect_victims(Machine.lose_power, Machine.start),
            "freeze": lambda: self._affect_victims(Machine.freeze, Machine.thaw),
            "hang": lambda: self._affect_victims(
                lambda it: it.hang_disk(True), lambda it: it.hang_disk(False)
            ),
            "full": lambda: self._affect_victims(_fill, _empty),
            "wipe": self._wipe,
            "wipe and power of the rest": self._wipe_and_power,
            "power of all": lambda: self._affect_all(Machine.lose_power),
            "kill of all": lambda: self._affect_all(Machine.kill),
            "cut": lambda: self._cut(both_ways=True),
            "cut one way": lambda: self._cut(both_ways=False),
            "long cut": lambda: self._cut(both_ways=self.draw.random() < 0.7, durations=LONG_S),
            "cut between two": self._cut_between_two,
            "split": self._split,
            "behind": self._wipe_with_minority_behind,
            "late messages": self._late,
            "resets": self._resets,
            "answers lost": self._answers_lost,
            "replace": self._replace,
            "planned replacement": self._planned_replacement,
            "terminate": self._terminate,
            "seeds": self._exchange_seeds,
            "storm of changes": self._burst,
            "kill at a promise": self._kill_at_promise,
            "power at a promise": self._power_at_promise,
            "old primary after a promise": self._old_primary_after_promise,
            "wiped beside a newcomer": self._wiped_beside_newcomer,
            "edge cut off": self._edge_cut_off,
            "edge frozen": self._edge_frozen,
            "edge behind one": self._edge_behind_one,
        }

    # Helpers

    def _machines(self) -> list[Machine]:
        return [machine for name, machine in self.world.machines.items() if name not in self._leaving]

    def _victims(self) -> list[Machine]:
        machines = self._machines()
        return self.draw.sample(machines, min(len(machines), self.draw.randint(1, self.world.losses)))

    async def _wait(self, durations: tuple[float, ...] = SHORT_S) -> None:
        await asyncio.sleep(self.draw.choice(durations))

    async def _affect_victims(
        self, inject: Callable[[Machine], object], end: Callable[[Machine], object]
    ) -> bool:
        victims = self._victims()
        for victim in victims:
            inject(victim)
        await self._wait()
        for victim in victims:
            end(victim)
        return True

    async def _affect_all(self, inject: Callable[[Machine], object]) -> bool:
        machines = self._machines()
        for machine in machines:
            inject(machine)
        await self._wait()
        for machine in machines:
            machine.start()
        return True

    # Disks

    async def _wipe(self) -> bool:
        victims = self._victims()
        if not self.budget.take(len(victims)):
            return False
        for victim in victims:
            victim.wipe()
        await self._wait()
        for victim in victims:
            victim.start()
        if self.draw.random() < 0.5:  # another loss as soon as the repair is complete
            await self._another_loss()
        return True

    async def _another_loss(self) -> None:
        deadline = asyncio.get_running_loop().time() + 4.0
        while asyncio.get_running_loop().time() < deadline:
            if self.world.is_secured() and self.budget.take():
                victim = self.draw.choice(self._machines())
                self.world.trace.add("FAULT", "another loss", victim=victim.name)
                victim.wipe()
                victim.start()
                return
            await asyncio.sleep(0.005)

    async def _wipe_and_power(self) -> bool:
        victims = self._victims()
        if not self.budget.take(len(victims)):
            return False
        machines = self._machines()
        for machine in machines:
            if machine in victims:
                machine.wipe()
            else:
                machine.lose_power()
        await self._wait()
        for machine in machines:
            machine.start()
        return True

    async def _wipe_with_minority_behind(self) -> bool:
        """A minority misses changes; then another node loses its disk while the rest are without power."""
        machines = self._machines()
        self.draw.shuffle(machines)
        minority, others = machines[: self.world.losses], machines[self.world.losses :]
        cuts = self._cut_between(minority, others, both_ways=True)
        await self._wait()
        if not others or not self.budget.take():
            self.world.network.restore(cuts)
            return False
        victim, *rest = others
        victim.wipe()
        for machine in rest:
            machine.lose_power()
        victim.start()
        await self._wait((0.3, 1.0, 2.5))
        self.world.network.restore(cuts)
        await self._wait((0.02, 1.0))
        for machine in rest:
            machine.start()
        return True

    # Network partitions and other network faults

    def _cut_between(
        self, some: list[Machine], others: list[Machine], both_ways: bool
    ) -> list[tuple[str, str]]:
        cuts = [(one.address, other.address) for one in some for other in others]
        if both_ways:
            cuts += [(receiver, sender) for sender, receiver in cuts]
        for sender, receiver in cuts:
            self.world.network.cut(sender, receiver)
        return cuts

    async def _cut(self, both_ways: bool, durations: tuple[float, ...] = SHORT_S) -> bool:
        victims = self._victims()
        others = [machine for machine in self._machines() if machine not in victims]
        cuts = self._cut_between(victims, others, both_ways)
        await self._call_isolated(victims, durations)
        self.world.network.restore(cuts)
        return True

    async def _call_isolated(self, victims: list[Machine], durations: tuple[float, ...]) -> None:
        """While nodes are cut off, let operators and workers call only these."""
        end = asyncio.get_running_loop().time() + self.draw.choice(durations)
        while asyncio.get_running_loop().time() < end:
            victim = self.draw.choice(victims)
            self._serial += 1
            await self.world.depart(f"cut-{self._serial}", victim)
            await self.world.read(victim)
            await asyncio.sleep(0.2)

    async def _split(self) -> bool:
        machines = self._machines()
        self.draw.shuffle(machines)
        half = len(machines) // 2
        cuts = self._cut_between(machines[:half], machines[half:], both_ways=True)
        await self._call_isolated(machines[:half] or machines, SHORT_S)
        self.world.network.restore(cuts)
        return True

    async def _cut_between_two(self) -> bool:
        """The primary and another node can't reach each other; the rest reach both and are restarted."""
        leader = self.world.primary()
        others = [machine for machine in self._machines() if machine is not leader]
        if leader is None or len(others) < 2:
            return False
        other, *rest = self.draw.sample(others, len(others))
        cuts = self._cut_between([leader], [other], both_ways=True)
        end = asyncio.get_running_loop().time() + self.draw.choice((2.5, 4.0))
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.draw.uniform(0.1, 0.9))
            for machine in rest:
                if machine.running():
                    machine.kill()
                    machine.start()
        self.world.network.restore(cuts)
        return True

    async def _late(self) -> bool:
        """Delay messages, some by more than the duration of a failover."""
        self.world.network.slow_share = 0.2
        self.world.network.slow_s = self.draw.choice((0.4, 2.5))
        await self._wait((1.0, 2.5, 4.0))
        self.world.network.slow_share = 0.0
        return True

    async def _resets(self) -> bool:
        self.world.network.reset_share = self.draw.choice([0.1, 0.4])
        await self._wait((0.3, 1.0, 2.5))
        self.world.network.reset_share = 0.0
        return True

    async def _answers_lost(self) -> bool:
        self.world.network.answer_loss[OPERATOR] = 0.7
        await self._wait((2.5, 4.0))
        self.world.network.answer_loss.clear()
        return True

    async def _edge_cut_off(self) -> bool:
        """An edge reaches only one control node, which may be cut off itself; the edge restarts meanwhile."""
        edge = self.draw.choice(self.world.edges)
        only = self.draw.choice(self._machines())
        others = [machine for machine in self._machines() if machine is not only]
        cuts = [(edge.address, machine.address) for machine in others]
        if self.draw.random() < 0.5:
            cuts += [(only.address, machine.address) for machine in others]
            cuts += [(machine.address, only.address) for machine in others]
        for sender, receiver in cuts:
            self.world.network.cut(sender, receiver)
        await self._wait((0.3, 1.0, 2.5))
        edge.start()
        await self._wait((1.0, 2.5))
        self.world.network.restore(cuts)
        return True

    async def _edge_frozen(self) -> bool:
        """Freeze an edge, at times for longer than the answer to a pull takes."""
        edge = self.draw.choice(self.world.edges)
        edge.freeze()
        await self._wait((0.3, 4.0, 6.0))
        edge.thaw()
        return True

    async def _edge_behind_one(self) -> bool:
        """An edge reaches only one control node, which is cut off from the others or frozen a bit later."""
        edge = self.draw.choice(self.world.edges)
        only = self.draw.choice(self._machines())
        others = [machine for machine in self._machines() if machine is not only]
        cuts = [(edge.address, machine.address) for machine in others]
        freezes = self.draw.random() < 0.3
        if not freezes:
            cuts += [(only.address, machine.address) for machine in others]
            cuts += [(machine.address, only.address) for machine in others]
        for sender, receiver in cuts:
            self.world.network.cut(sender, receiver)
        if freezes:
            await self._wait((0.02, 0.3))
            only.freeze()
        await self._wait((2.5, 4.0))
        if freezes:
            only.thaw()
            await self._wait((0.3, 1.0))
        self.world.network.restore(cuts)
        return True

    # Members

    def _newcomer(self, starts: bool = True) -> Machine:
        self._next_name += 1
        newcomer = self.world.add_machine(f"core{self._next_name}")
        live = [machine.address for machine in self._machines()]
        newcomer.seeds = tuple(live[:3])
        if starts:
            newcomer.start()
        return newcomer

    async def _replace(self) -> bool:
        """A node is removed permanently, and one with an empty disk is added."""
        if not self.budget.take():
            return False
        victim = self.draw.choice(self._machines())
        victim.remove_permanently()
        del self.world.machines[victim.name]
        await self._wait((0.02, 1.0))
        self._newcomer()
        if self.draw.random() < 0.5:
            await self._another_loss()
        return True

    async def _planned_replacement(self) -> bool:
        """Add a node with an empty disk, then stop an old one; another may be lost meanwhile."""
        victim = self.draw.choice(self._machines())
        if victim.replica is None or not victim.running():
            return False
        self._newcomer()
        await self._wait((1.0, 2.5))
        if not self.world.is_secured() or not victim.running():
            return False
        self._leaving.add(victim.name)
        self.world.trace.add("FAULT", "told to end", victim=victim.name)
        ended = victim.terminate()
        if self.draw.random() < 0.6:
            await asyncio.sleep(self.draw.uniform(0.0, 1.5))
            if self.budget.take():
                other = self.draw.choice(self._machines())
                self.world.trace.add("FAULT", "a loss beside it", victim=other.name)
                other.wipe()
                other.start()
        await asyncio.wait({ended}, timeout=GRACE_S)
        victim.kill()
        if victim.released or self.budget.take():
            victim.remove_permanently()
            del self.world.machines[victim.name]
        else:
            victim.start()  # it was not released in time, so its disk is still needed
        self._leaving.discard(victim.name)
        return True

    async def _terminate(self) -> bool:
        """Stop and start nodes, one after the other."""
        victims = self._machines() if self.draw.random() < 0.5 else self._victims()
        for victim in victims:
            if not victim.running() or victim.replica is None:
                continue
            ended = victim.terminate()
            await asyncio.wait({ended}, timeout=GRACE_S)
            victim.kill()
            await self._wait((0.02, 0.3, 1.0))
            victim.start()
        return True

    async def _exchange_seeds(self) -> bool:
        machines = self._machines()
        self.draw.shuffle(machines)
        seeds = tuple(machine.address for machine in machines[:3])
        for machine in machines:
            machine.seeds = seeds
            if machine.replica is not None:
                machine.replica.set_addresses(seeds)
        victim = self.draw.choice(machines)
        victim.kill()
        victim.start()
        return True

    # Load and timing

    async def _burst(self) -> bool:
        self.is_bursting = True
        await self._wait((4.0,))
        self.is_bursting = False
        return True

    async def _kill_at_promise(self) -> bool:
        """Kill the node that gives the next promise, at once or a little later, and restart it."""
        cuts = self._cut_off_leader()
        promise = await self._next_promise()
        if promise is not None:
            await asyncio.sleep(self.draw.choice([0.0, 0.005, 0.02, 0.06]))
            await self._restart(promise.witness, Machine.kill)
        await self._wait((0.02, 0.3))
        self.world.network.restore(cuts)
        return True

    async def _power_at_promise(self) -> bool:
        """Cut the power of the node asked for the next promise: before, during or right after its sync."""
        cuts = self._cut_off_leader()
        requested: asyncio.Future[Machine] = asyncio.get_running_loop().create_future()
        machines = self._machines()
        for machine in machines:
            machine.on_promise_request = functools.partial(_set_result, requested, machine)  # type: ignore[method-assign]
        await asyncio.wait({requested}, timeout=PROMISE_TIMEOUT_S)
        for machine in machines:
            machine.on_promise_request = lambda: None  # type: ignore[method-assign]
        if requested.done():
            await asyncio.sleep(self.draw.uniform(0.0, 2 * self.world.sync_s))
            await self._restart(requested.result(), Machine.lose_power)
        await self._wait((0.02, 0.3))
        self.world.network.restore(cuts)
        return True

    async def _old_primary_after_promise(self) -> bool:
        """Restart a witness between its promise and the record, so that the old primary reaches it first.

        The candidate's disk is slow meanwhile, so that its record arrives late.
        """
        cuts = self._cut_off_leader()
        promise = await self._next_promise()
        if promise is not None:
            await self._delay_record(promise, [cut for cut in cuts if promise.witness.address in cut])
        await self._wait((0.3, 1.0))
        self.world.network.restore(cuts)
        return True

    async def _delay_record(self, promise: _Promise, cuts: list[tuple[str, str]]) -> None:
        """Restart the cut-off witness before the record arrives, delayed by a slow disk and a slow link."""
        witness, candidate = promise.witness, self.world.machines.get(promise.candidate)
        if candidate is None:
            return
        installed = asyncio.Event()
        witness.on_installed = installed.set  # type: ignore[method-assign]
        await asyncio.sleep(3 * self.world.sync_s)  # the candidate's own promise is stored by then
        candidate.hang_disk(True)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(installed.wait(), 0.2)
        witness.on_installed = lambda: None  # type: ignore[method-assign]
        await asyncio.sleep(self.draw.choice([0.0, 0.005]))
        self.world.network.restore(cuts)
        await self._restart(witness, Machine.lose_power, pause_s=0.001)
        link = (candidate.address, witness.address)
        self.world.network.late_s[link] = self.draw.choice([0.1, 0.3, 0.5])
        await self._wait((0.1, 0.2, 0.3))
        candidate.hang_disk(False)
        await self._wait((0.3, 1.0))
        self.world.network.late_s.pop(link, None)

    def _cut_off_leader(self) -> list[tuple[str, str]]:
        """Cut the primary off from the others, so that they soon start an election; returns the cuts."""
        leader = self.world.primary()
        if leader is None:
            return []
        others = [machine for machine in self._machines() if machine is not leader]
        return self._cut_between([leader], others, both_ways=True)

    async def _next_promise(self) -> _Promise | None:
        """Returns the next promise of one node to another as soon as it is given; None after the timeout."""
        promised: asyncio.Future[_Promise] = asyncio.get_running_loop().create_future()
        machines = self._machines()
        for machine in machines:
            machine.on_promise = lambda candidate, it=machine: _set_result(  # type: ignore[misc]
                promised, _Promise(it, candidate)
            )
        await asyncio.wait({promised}, timeout=PROMISE_TIMEOUT_S)
        for machine in machines:
            machine.on_promise = lambda candidate: None  # type: ignore[method-assign]
        return promised.result() if promised.done() else None

    async def _restart(
        self, machine: Machine, inject: Callable[[Machine], object], pause_s: float | None = None
    ) -> None:
        if not machine.running():
            return
        inject(machine)
        await asyncio.sleep(self.draw.choice([0.001, 0.02, 0.1]) if pause_s is None else pause_s)
        machine.start()

    async def _wiped_beside_newcomer(self) -> bool:
        """A node returns with an empty disk while another empty node is added; neither knows the group.

        Both are configured as seeds of each other, and they reach no other node for longer than a bootstrap
        waits for further seeds. Neither is on its first start, so neither may bootstrap a group.
        """
        victim = self.draw.choice(self._machines())
        if victim.replica is None or not self.budget.take():
            return False
        newcomer = self._newcomer(starts=False)
        isolated = [victim, newcomer]
        others = [machine for machine in self._machines() if machine not in isolated]
        seeds = (victim.address, newcomer.address, self.draw.choice(others).address)
        cuts = self._cut_between(isolated, others, both_ways=True)
        victim.wipe()
        for node in isolated:
            node.seeds = seeds
            node.start()
        await self._wait(LONG_S[:1])
        self.world.network.restore(cuts)
        return True


@dataclass(frozen=True, slots=True)
class _Promise:
    """A witness promised an epoch to the node named `candidate`."""

    witness: Machine
    candidate: str


def _set_result(future: asyncio.Future[Any], value: Any) -> None:
    if not future.done():
        future.set_result(value)


def _fill(machine: Machine) -> None:
    machine.folder.full = True


def _empty(machine: Machine) -> None:
    machine.folder.full = False
