"""An edge's pulls: which control node sends updates, also when one of them hangs, lags or is not current."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from arrowfold.dataplane.freshness import StateFreshness
from arrowfold.dataplane.puller import ControlPuller
from arrowfold.dataplane.tables import FleetTables
from arrowfold.internal.channel import ChannelError
from arrowfold.internal.messages import (
    STATE_ORIGIN,
    ClusterView,
    ConfigurationUpdate,
    MemberInfo,
    NodeIdentity,
    PullRequest,
    PullResponse,
)
from arrowfold.node.logs import RateLimitedLog
from tests.system.edge_stories import ROUTES, configuration
from tests.system.virtual_time import run_virtual

ZONES = {"a:1": "z1", "b:1": "z2", "c:1": "z3"}
ROUND_TRIP_S = 0.003
REVOKE_S = 5.0


@dataclass(slots=True)
class ScriptedControl:
    """A scripted control node: its committed position and its behaviour."""

    sequence: int = 0
    current: bool = True
    hangs: bool = False
    notices_only: bool = False  # it answers no pull for updates
    state_age_s: float | None = 0.0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def commit(self, sequence: int) -> None:
        self.sequence = sequence
        self.changed.set()
        self.changed = asyncio.Event()


@dataclass(slots=True)
class ScriptedChannel:
    """The channel to three scripted control nodes."""

    nodes: dict[str, ScriptedControl] = field(
        default_factory=lambda: {address: ScriptedControl() for address in ZONES}
    )
    full_responses: list[tuple[float, str]] = field(default_factory=list)
    calls: int = 0

    async def call(self, address: str, request: PullRequest, timeout_s: float) -> Result[Any, ChannelError]:
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_s):
                return Ok(await self._answer(self.nodes[address], address, request))
        except TimeoutError:
            return Err(ChannelError("no answer"))

    async def _answer(self, node: ScriptedControl, address: str, request: PullRequest) -> PullResponse:
        await asyncio.sleep(ROUND_TRIP_S)
        if node.notices_only and not request.notice_only:
            await asyncio.Event().wait()
        deadline = asyncio.get_running_loop().time() + request.wait_s
        while node.hangs or node.sequence <= request.vector.get(STATE_ORIGIN, 0):
            left_s = deadline - asyncio.get_running_loop().time()
            if left_s <= 0 and not node.hangs:
                break
            try:
                async with asyncio.timeout(max(left_s, 0) if not node.hangs else None):
                    await node.changed.wait()
            except TimeoutError:
                pass
        updates: tuple[ConfigurationUpdate, ...] = ()
        if not request.notice_only and node.sequence > request.vector.get(STATE_ORIGIN, 0):
            self.full_responses.append((asyncio.get_running_loop().time(), address))
            document = json.dumps(configuration(ROUTES, version=node.sequence)).encode()
            updates = (ConfigurationUpdate(node.sequence, node.sequence, document),)
        members = tuple(MemberInfo(a, a, a, a, zone) for a, zone in ZONES.items())
        view = ClusterView(1, "a:1", members, 2)
        vector = {STATE_ORIGIN: node.sequence}
        return PullResponse(node.current, view, vector, updates, node.state_age_s)


class PullScenario:
    """An edge in zone z2 that pulls from the scripted control nodes."""

    def __init__(
        self, seeds: tuple[str, ...] = ("a:1", "b:1", "c:1"), revoke_s: float | None = REVOKE_S
    ) -> None:
        self.channel = ScriptedChannel()
        self.freshness = StateFreshness(revoke_s, asyncio.get_running_loop().time)
        self.tables = FleetTables()
        identity = NodeIdentity("edge", "e1", "z2", "e:1", ("edge",))
        self.puller = ControlPuller(
            self.channel,  # type: ignore[arg-type]
            self.tables,
            identity,
            seeds,
            lambda: None,
            RateLimitedLog("edge"),
            self.freshness,
        )
        self.puller.start()

    def commit(self, sequence: int, *addresses: str) -> None:
        """Applies a committed change at these nodes, or at all if none is named."""
        for address in addresses or ZONES:
            self.channel.nodes[address].commit(sequence)

    def version(self) -> int:
        known = self.tables.snapshot.configuration
        return known.version if known is not None else 0

    async def settle(self) -> None:
        """Commits the first configuration and waits until the pulls have settled."""
        self.commit(1)
        await asyncio.sleep(3.0)
        assert self.version() == 1
        self.channel.full_responses.clear()


def test_updates_are_sent_once_and_by_the_node_of_this_zone() -> None:
    async def run_scenario() -> None:
        pulls = PullScenario()
        await pulls.settle()
        pulls.commit(2)
        await asyncio.sleep(1.0)
        assert pulls.version() == 2
        assert [address for _, address in pulls.channel.full_responses] == ["b:1"]
        pulls.puller.stop()

    run_virtual(run_scenario())


def test_one_seed_is_enough_to_find_the_others() -> None:
    async def run_scenario() -> None:
        pulls = PullScenario(seeds=("a:1",))
        await pulls.settle()
        pulls.channel.nodes["a:1"].hangs = True
        pulls.commit(2, "b:1")
        await asyncio.sleep(0.2)
        assert pulls.version() == 2
        pulls.puller.stop()

    run_virtual(run_scenario())


def test_a_node_that_hangs_delays_a_change_by_less_than_half_a_second() -> None:
    async def run_scenario() -> None:
        pulls = PullScenario()
        await pulls.settle()
        pulls.channel.nodes["b:1"].hangs = True
        pulls.commit(2, "a:1", "c:1")
        await asyncio.sleep(0.45)
        assert pulls.version() == 2
        pulls.puller.stop()

    run_virtual(run_scenario())


def test_a_node_that_lags_behind_the_others_delays_nothing() -> None:
    async def run_scenario() -> None:
        pulls = PullScenario()
        await pulls.settle()
        for sequence in range(2, 12):
            pulls.commit(sequence, "c:1")
            await asyncio.sleep(0.45)
            assert pulls.version() == sequence
        pulls.puller.stop()

    run_virtual(run_scenario())


def test_a_node_that_is_not_current_is_replaced_by_one_that_is() -> None:
    async def run_scenario() -> None:
        pulls = PullScenario()
        await pulls.settle()
        pulls.channel.nodes["b:1"].current = False
        await asyncio.sleep(3.0)
        pulls.commit(2, "a:1", "c:1")
        await asyncio.sleep(0.1)
        assert pulls.version() == 2
        assert {address for _, address in pulls.channel.full_responses} == {"a:1"}
        pulls.puller.stop()

    run_virtual(run_scenario())


def test_few_pulls_are_sent_without_changes() -> None:
    async def run_scenario() -> None:
        pulls = PullScenario()
        await pulls.settle()
        before = pulls.channel.calls
        await asyncio.sleep(10.0)
        assert pulls.channel.calls - before <= 30
        pulls.puller.stop()

    run_virtual(run_scenario())
