"""Simulation for the tests of usage reports: control nodes with the duty, counting edges, the platform."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from arrowfold.controlplane.role_names import USAGE_ROLE
from arrowfold.controlplane.usage_decisions import UsageDecisions
from arrowfold.controlplane.usage_service import UsageService
from arrowfold.controlplane.usage_windows import LATE_REPORTS_SHARE, UsageGathering
from arrowfold.dataplane.usage_counts import UsageCounts
from arrowfold.dataplane.usage_reporter import UsageReporter
from arrowfold.internal.messages import (
    ClusterView,
    DecideUsageWindow,
    MarkUsageReported,
    NodeIdentity,
    RoleOwner,
    UsageReport,
)
from arrowfold.node.settings import Bounds
from arrowfold.replication.replica import Replica
from arrowfold.replication.roles import RoleAuthority, handover_wait_s
from arrowfold.replication.state import ControlState
from tests.system.control_simulation.lives import Life, LivesLoop
from tests.system.control_simulation.machines import ROLE, Machine, TraceLog
from tests.system.control_simulation.network import SimulatedCaller
from tests.system.control_simulation.world import World
from tests.system.platform_judge import PlatformChecker, SimulatedPlatform

WINDOW_S = 5.0
DELAY_S = 10.0  # a report is due this long after the end of its window
EPOCH_S = 1_700_000_000.0  # wall clock time at the start of a test
ORDER_DELIVERY_S = 0.25
TENANTS = ("huka", "puhu")


def wall_clock() -> float:
    """Returns the simulated wall clock time in seconds since 1970."""
    return EPOCH_S + asyncio.get_running_loop().time()


def window_now() -> int:
    """Returns the number of the current window."""
    return int(wall_clock() // WINDOW_S)


class DutyMachine(Machine):
    """A control node that receives usage reports and may hold the duty."""

    world: DutyWorld

    def wrap_handlers(self, replica: Replica) -> dict[type[Any], Any]:
        """Adds the usage handlers and runs the usage service for the lifetime of the process."""
        self.roles = (ROLE, USAGE_ROLE)
        wait_s = handover_wait_s(Bounds(fencingChecked=True, contactMs=4000), ORDER_DELIVERY_S)
        authority = RoleAuthority(replica, self.clock, replica.authority_until, wait_s)
        replica.add_listener(authority.observe)
        decisions = UsageDecisions(replica, SimulatedCaller(self.network, self.address))
        service = UsageService(
            self.name,
            decisions,
            authority,
            self.world.platform,
            self.world.edge_names,
            UsageGathering(LATE_REPORTS_SHARE * DELAY_S),
            self.world.checker.rate,
            self.clock,
            TraceLog(self._trace, self.name),  # type: ignore[arg-type]
        )
        self._tasks.append(asyncio.create_task(service.run()))
        return {
            **super().wrap_handlers(replica),
            DecideUsageWindow: decisions.on_decide,
            MarkUsageReported: decisions.on_reported,
            UsageReport: service.on_report,
        }


class CountingEdge:
    """An edge that counts requests and reports them; its counts are lost on a restart."""

    def __init__(self, name: str, world: DutyWorld) -> None:
        self.name = name
        self._world = world
        self._life: Life | None = None
        self._starts = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.counts = UsageCounts(WINDOW_S, wall_clock)

    @property
    def running(self) -> bool:
        """Whether the edge is running."""
        return self._life is not None and not self._life.dead

    def start(self) -> None:
        """Starts or restarts the edge."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, LivesLoop)
        self._life = Life(self.name)
        self._starts += 1
        self.counts = UsageCounts(WINDOW_S, wall_clock)
        address = f"{self.name}:1"
        identity = NodeIdentity(self.name, f"{self.name}-{self._starts}", "zone", address, ("edge",))
        caller = SimulatedCaller(self._world.network, address)
        reporter = UsageReporter(caller, identity, self.counts, self._world.view, self._world.draw)
        self._tasks.append(loop.create_task(reporter.run(), context=self._life.context))

    def crash(self) -> None:
        """Ends the edge without a shutdown."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, LivesLoop) and self._life is not None
        loop.kill(self._life)

    def serve(self, tenant: str, requests: int = 1) -> None:
        """Counts requests of a tenant that workers start through this edge."""
        for _ in range(requests):
            self.counts.count_request(tenant)
            self._world.count_actual(tenant)


class DutyWorld(World):
    """Five control nodes, some edges, the platform, and the actual number of started requests."""

    machine_type = DutyMachine

    def __init__(
        self, seed: int = 1, machines: int = 5, losses: int = 2, sync_s: float = 0.005, edge_count: int = 4
    ) -> None:
        self.checker = PlatformChecker()
        self.platform = SimulatedPlatform(self.checker)
        super().__init__(seed, machines, losses, sync_s)
        self.actual_counts: dict[int, dict[str, int]] = {}
        self.counting_edges = [CountingEdge(f"edge{number}", self) for number in range(edge_count)]
        self._serving: asyncio.Task[None] | None = None

    def new_machine(self, name: str) -> Machine:
        """Creates a machine that belongs to this world."""
        machine = super().new_machine(name)
        assert isinstance(machine, DutyMachine)
        machine.world = self
        return machine

    def edge_names(self) -> frozenset[str]:
        """Returns the names of the running edges."""
        return frozenset(edge.name for edge in self.counting_edges if edge.running)

    def count_actual(self, tenant: str) -> None:
        """Records that a worker started a request."""
        counts = self.actual_counts.setdefault(window_now(), {})
        counts[tenant] = counts.get(tenant, 0) + 1

    def newest_state(self) -> ControlState:
        """Returns the latest committed state of any running machine."""
        states = [
            machine.replica.committed
            for machine in self.machines.values()
            if machine.running() and machine.replica
        ]
        return max(states, key=lambda state: state.sequence, default=ControlState())

    def view(self) -> ClusterView | None:
        """Returns the group as known to the edges."""
        primary = self.primary()
        if primary is None or primary.replica is None:
            return None
        roles = tuple(
            RoleOwner(role, tenure.member, tenure.token) for role, tenure in self.newest_state().roles.items()
        )
        members = primary.replica.members()
        return ClusterView(
            primary.replica.epoch, primary.replica.member, members, len(self.counting_edges), roles
        )

    def holder(self) -> Machine:
        """Returns the machine that holds the duty; it may be down."""
        member = self.newest_state().roles[USAGE_ROLE].member
        return self.machines[member.partition("-")[0]]

    async def start(self) -> None:
        """Starts all machines and edges, which continuously serve some requests of each tenant."""
        self.start_all()
        self.start_serving()
        await self.until(self.is_whole, 9.0, "a whole group")
        await self.until(lambda: USAGE_ROLE in self.newest_state().roles, 5.0, "a holder of the duty")

    def start_serving(self) -> None:
        """Starts the edges unless they are running."""
        if self._serving is not None:
            return
        for edge in self.counting_edges:
            edge.start()
        self._serving = asyncio.create_task(self._serve())

    async def _serve(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for edge in self.counting_edges:
                if edge.running:
                    edge.serve(self.draw.choice(TENANTS))

    async def until_reported(self, window: int, patience_s: float) -> None:
        """Waits until the platform has accepted a window."""
        await self.until(lambda: window in self.checker.reports, patience_s, f"the report of {window}")

    async def until_window_ends(self) -> int:
        """Waits for the end of the current window and returns its number."""
        window = window_now()
        await self.until(lambda: window_now() > window, 2 * WINDOW_S, "the end of a window")
        return window

    def require_reported(self, first: int, last: int, error: float = 0.0) -> None:
        """Requires one report of each window from `first` to `last`.

        `error`: maximum relative error of the count of each tenant.
        """
        for window in range(first, last + 1):
            counts = json.loads(self.checker.reports[window])["counts"]
            for tenant, actual in self.actual_counts[window].items():
                assert abs(counts.get(tenant, 0) - actual) <= error * actual, (window, tenant, counts, actual)
        assert self.checker.violations == []
        self.raise_violations()


class ScheduledDutyWorld(DutyWorld):
    """A world for random fault schedules, with random faults of the platform.

    Machines are disconnected most of the time, so the order of holders within a lease is not checked.
    """

    def __init__(self, seed: int, machines: int, losses: int, sync_s: float) -> None:
        super().__init__(seed, machines, losses, sync_s)
        self.checker.lease_s = 0.0
        self._platform_faults: asyncio.Task[None] | None = None

    async def until_primary(self, patience_s: float = 5.0) -> Machine:
        """Waits for a primary and starts the edges and the faults of the platform."""
        primary = await super().until_primary(patience_s)
        self.start_serving()
        if self._platform_faults is None:
            self._platform_faults = asyncio.create_task(self._inject_platform_faults())
        return primary

    async def _inject_platform_faults(self) -> None:
        while True:
            await asyncio.sleep(self.draw.uniform(0.0, WINDOW_S))
            self.platform.down = self.draw.random() < 0.3
            self.platform.slow_s = self.draw.choice([0.0, 0.5, 2.5, 3.5])
            self.platform.lost_answers = self.draw.randint(0, 1)

    def raise_violations(self) -> None:
        """Fails if any check, including those of the platform, found a violation."""
        self.violations += self.checker.violations
        super().raise_violations()
