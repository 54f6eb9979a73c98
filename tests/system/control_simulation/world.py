"""A simulated control plane: nodes, operators that retry until an answer is definite, and checks."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from arrowfold.internal.messages import SubmitResult
from arrowfold.replication.durable import COMPACT_BYTES
from arrowfold.replication.replica import Replica
from arrowfold.replication.state import ControlState
from tests.system.control_simulation.history import History, Violation, document
from tests.system.control_simulation.lives import LivesLoop
from tests.system.control_simulation.machines import Machine, Trace
from tests.system.control_simulation.network import SimulatedNetwork
from tests.system.control_simulation.outside import OperatorChange, OperatorRead, WorkerDeparts
from tests.system.virtual_time import Repeating

OPERATOR = "operator:1"
WATCH_INTERVAL_S = 0.03  # interval of the checks for two primaries and for stale claims
CALL_S = 1.0  # timeout of a call, after which the caller tries another node
CLEAR_REFUSALS = {400, 412}


class World:
    """The control nodes of one schedule, with their network and history."""

    machine_type: type[Machine] = Machine

    def __init__(self, seed: int, machines: int = 3, losses: int = 1, sync_s: float = 0.005) -> None:
        self.draw = random.Random(seed)
        self.network = SimulatedNetwork(self.draw)
        self.history = History()
        self.trace = Trace()
        self.losses = losses
        self.sync_s = sync_s
        self.violations: list[str] = []
        self.fail_overs: list[float] = []
        self.edges: list[Any] = []  # `SimulatedEdge`, whose module imports this one
        self.compact_bytes = COMPACT_BYTES
        self._changes = 0
        self._acted_token = 0  # token of the last act
        names = [f"core{number}" for number in range(1, machines + 1)]
        self.seeds = tuple(f"{name}:1" for name in names[:3])
        self.machines = {name: self.new_machine(name) for name in names}

    def new_machine(self, name: str) -> Machine:
        """Create a node with an empty disk, not started."""
        rate = 1.0 + self.draw.uniform(-0.01, 0.01)
        machine = self.machine_type(
            name, self.network, self.seeds, self.losses, self.trace, self.sync_s, rate
        )
        machine.on_started = lambda replica: self._watch(name, replica)  # type: ignore[method-assign]
        machine.on_damage = self.violations.append  # type: ignore[method-assign]
        machine.on_act = self._note_act  # type: ignore[method-assign]
        return machine

    def add_machine(self, name: str) -> Machine:
        """Add a node with an empty disk after the first start of the system."""
        machine = self.machines[name] = self.new_machine(name)
        machine.first_start = False
        machine.compact_bytes = self.compact_bytes
        return machine

    def _watch(self, name: str, replica: Replica) -> None:
        last_seen = ControlState()

        def look() -> None:
            nonlocal last_seen
            if replica.committed is not last_seen:
                before, last_seen = last_seen, replica.committed
                self.check(lambda: self.history.publish(before, last_seen, name))

        replica.add_listener(look)

    def _note_act(self, holder: str, token: int) -> None:
        now = asyncio.get_running_loop().time()
        self.check(lambda: self.history.act(now, holder, token))
        if token != self._acted_token:
            self._acted_token = token
            self.on_confirmed()

    def on_confirmed(self) -> None:
        """Called when a change or a departure is acknowledged, or a new token is used for the first time."""

    def check(self, work: Callable[[], Any]) -> Any:
        """Run a check; a violation is recorded instead of being lost in a task."""
        try:
            return work()
        except Violation as violation:
            self.trace.add("CHECK", "violation", text=str(violation))
            self.violations.append(str(violation))
            return None

    # Calls

    async def call(self, machine: Machine, request: Any) -> Any:
        """Make one call by an operator or a worker; None if there was no answer."""
        answer = await self.network.call(OPERATOR, machine.address, request, CALL_S)
        return answer.ok()

    def any_machine(self) -> Machine:
        """A random node, which may be down."""
        return self.draw.choice(list(self.machines.values()))

    async def change(
        self, base: int, version: int, timeout_s: float, avoiding: Machine | None = None
    ) -> int | None:
        """Send one change to one node after the other until there is a definite answer.

        Returns its version if it was acknowledged, else None.
        """
        self._changes += 1
        marker = f"m{self._changes}"
        request = OperatorChange("PUT", str(base), document(version, marker))
        deadline = asyncio.get_running_loop().time() + timeout_s
        order: list[Machine] = []
        while asyncio.get_running_loop().time() < deadline:
            if not order:
                order = [machine for machine in self.machines.values() if machine is not avoiding]
                self.draw.shuffle(order)
            answer = await self.call(order.pop(), request)
            if isinstance(answer, SubmitResult) and answer.status == 200:
                self.trace.add("operator", "acknowledged", version=version, marker=marker)
                self.check(lambda: self.history.acknowledge(version, base, marker.encode()))
                self.history.note_acknowledged(asyncio.get_running_loop().time(), version)
                self.on_confirmed()
                return version
            if isinstance(answer, SubmitResult) and answer.status in CLEAR_REFUSALS:
                self.trace.add("operator", "refused", version=version, marker=marker)
                self.check(lambda: self.history.refuse(version, marker.encode()))
                return None
            await asyncio.sleep(0.1)
        return None

    async def read(self, machine: Machine | None = None) -> int | None:
        """Read the configuration once, at `machine` or a random node; returns its version or None."""
        newest_before = self.history.newest_acknowledged()
        answer = await self.call(machine or self.any_machine(), OperatorRead())
        if isinstance(answer, SubmitResult) and answer.status == 200:
            return self.check(lambda: self.history.read(answer.body, newest_before))  # type: ignore[no-any-return]
        return None

    async def depart(self, instance: str, machine: Machine | None = None) -> bool:
        """Announce that a worker is draining, to `machine` or a random node; whether it was acknowledged."""
        if await self.call(machine or self.any_machine(), WorkerDeparts(instance)):
            self.history.departures.add(instance)
            self.trace.add("worker", "departure acknowledged", instance=instance)
            self.on_confirmed()
            return True
        return False

    # Conditions, checks and waits

    def start_all(self) -> None:
        """Start every node."""
        for machine in self.machines.values():
            machine.start()

    def primary(self) -> Machine | None:
        """The running node that is the active primary, or None."""
        for machine in self.machines.values():
            if machine.running() and machine.replica is not None and machine.replica.is_primary():
                return machine
        return None

    def is_whole(self) -> bool:
        """Whether every node is in the primary's group."""
        primary = self.primary()
        if primary is None or primary.replica is None or primary.replica.term is None:
            return False
        record = primary.replica.term.record
        return len(record.group) == len(record.witnesses) == len(self.machines)

    def is_secured(self) -> bool:
        """Whether the group has every node, and its record is known to be chosen on enough disks."""
        primary = self.primary()
        if primary is None or primary.replica is None or primary.replica.term is None:
            return False
        term = primary.replica.term
        disks = {machine.replica.member for machine in self.machines.values() if machine.replica is not None}
        whole = len(disks) == len(self.machines) and disks == set(term.record.group)
        return whole and set(term.record.witness_ids()) == disks and term.is_secured()

    def watch_claims(self) -> Repeating:
        """Check from now on that no node that claims to be current shows an old configuration."""
        return Repeating(WATCH_INTERVAL_S, self.check_claims)

    def check_claims(self) -> None:
        """Check that no running node that claims to be current shows an old configuration now."""
        for machine in self.machines.values():
            self.check(lambda it=machine: self._check_claim(it))  # type: ignore[misc]

    def _check_claim(self, machine: Machine) -> None:
        if machine.running() and machine.replica is not None and machine.replica.is_current():
            version = machine.replica.committed.configuration_version
            self.history.show(asyncio.get_running_loop().time(), version, machine.name)

    def check_keys(self) -> None:
        """Check that no running edge serves a key that was revoked longer than REVOKE_S ago."""
        for edge in self.edges:
            edge.check_keys()

    def watch_primaries(self) -> Repeating:
        """Check from now on that no two running nodes are active primaries at the same time."""
        return Repeating(WATCH_INTERVAL_S, self.check_primaries)

    def check_primaries(self) -> None:
        """Check that no two running nodes are active primaries now."""
        active = [
            machine.name
            for machine in self.machines.values()
            if machine.running() and machine.replica is not None and machine.replica.is_primary()
        ]
        if len(active) > 1 and not self.violations:
            self.trace.add("CHECK", "two primaries", active=active)
            self.violations.append(f"two active primaries: {active}")

    async def until(self, condition: Callable[[], bool], timeout_s: float, what: str) -> float:
        """Wait for a condition; returns the seconds it took, or raises Violation after the timeout."""
        started = asyncio.get_running_loop().time()
        while not condition():
            if asyncio.get_running_loop().time() - started > timeout_s:
                raise Violation(f"not within {timeout_s} s: {what}")
            await asyncio.sleep(0.01)
        return asyncio.get_running_loop().time() - started

    async def until_primary(self, timeout_s: float = 5.0) -> Machine:
        """Wait for a primary and return it."""
        await self.until(lambda: self.primary() is not None, timeout_s, "a primary")
        primary = self.primary()
        assert primary is not None
        return primary

    async def settle(self, timeout_s: float = 15.0) -> None:
        """End all faults, wait for a primary, and check that nothing acknowledged is lost."""
        self.network.heal()
        self.network.loss = self.network.slow_share = self.network.reset_share = 0.0
        self.network.answer_loss.clear()
        self.network.late_s.clear()
        for machine in self.machines.values():
            machine.folder.full = False
            machine.hang_disk(False)
            if machine.life is not None and machine.life.frozen:
                machine.thaw()
            machine.start()
        primary = await self.until_primary(timeout_s)
        assert primary.replica is not None
        state = primary.replica.committed
        self.check(lambda: self.history.check_end(state))

    def raise_violations(self) -> None:
        """Fail if any check found a violation."""
        if self.violations:
            raise Violation("; ".join(self.violations[:3]) + "\n" + "\n".join(self.trace.lines[-60:]))


def run_world(story: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time on a `LivesLoop`."""
    loop = LivesLoop()
    loop.set_exception_handler(lambda _loop, _context: None)  # tasks of killed runs are dropped unfinished
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(story)
    finally:
        asyncio.set_event_loop(None)
        loop.close()
