"""Urgent updates are distributed immediately; in a large fleet ordinary ones are delayed and combined."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any

from arrowfold.configuration.diffs import delta
from arrowfold.configuration.validity import parse_configuration
from arrowfold.controlplane.distribution import Distributor, configuration_updates
from arrowfold.controlplane.placement_notices import PlacementNotices
from arrowfold.controlplane.presence import EdgePresence
from arrowfold.internal.messages import (
    STATE_ORIGIN,
    ConfigurationDelta,
    ConfigurationUpdate,
    MemberInfo,
    NodeIdentity,
    PullRequest,
    PullResponse,
    WorkerRecord,
    view_checksum,
)
from arrowfold.registry.workers import WorkerRegistry
from arrowfold.replication.state import ConfigurationStep, ControlState, apply_entry
from tests.system.configurations import configuration, route, tenant, text_of
from tests.system.virtual_time import run_virtual

EDGES = 100  # limits ordinary updates to one answer every 0.2 s
WORKER = WorkerRecord("i-1", "llm", "w:80", "z0", "v1", 8, "available")


class _Replica:
    """A member whose committed state is set by the test."""

    def __init__(self) -> None:
        self.committed = ControlState()
        self.epoch = 1
        self.member = "m"

    def is_current(self) -> bool:
        return True

    def state_age_s(self) -> float | None:
        return 0.0

    def primary(self) -> MemberInfo | None:
        return None

    def members(self) -> tuple[MemberInfo, ...]:
        return ()


class _DistributorFixture:
    """A distributor with many edges, one of which pulls."""

    def __init__(self, edges: int = EDGES) -> None:
        clock = asyncio.get_running_loop().time
        self.clock = clock
        self.replica: Any = _Replica()
        self.registry = WorkerRegistry("origin", clock, 1.2)
        presence = EdgePresence(clock, 3_600.0)
        presence.merge_ages({f"edge-{number}": 0.0 for number in range(edges)})
        notices = PlacementNotices(lambda: None, clock)
        self.distributor = Distributor(self.replica, self.registry, presence, lambda: (), notices)
        self.vector: dict[str, int] = {}
        self._heartbeats = 0

    def make_ordinary_update(self) -> None:
        """Changes a worker record."""
        self._heartbeats += 1
        self.registry.apply_call(
            replace(WORKER, capacity_slots=self._heartbeats, call_sequence=self._heartbeats)
        )
        self.distributor.wake()

    async def pull_notice(self) -> PullResponse:
        """Pulls a notice, which holds no updates."""
        return await self.pull(wait_s=2.0, notice_only=True)

    async def pull(self, wait_s: float = 1.0, known_view: int = 0, notice_only: bool = False) -> PullResponse:
        sender = NodeIdentity("edge-0", "e0", "z0", "e:1", ("edge",))
        answer = await self.distributor.pull(
            PullRequest(sender, dict(self.vector), wait_s, notice_only, known_view)
        )
        self.vector = dict(answer.vector)
        return answer


async def _frequent_changes() -> None:
    # Given an edge that has just received an answer
    fixture = _DistributorFixture()
    fixture.make_ordinary_update()
    await fixture.pull()
    answered_s = fixture.clock()
    # When a worker changes often
    pull = asyncio.create_task(fixture.pull())
    for _ in range(10):
        await asyncio.sleep(0.01)
        fixture.make_ordinary_update()
    answer = await pull
    # Then one answer holds all changes, one spacing after the previous answer
    assert 0.19 < fixture.clock() - answered_s < 0.21
    assert [update.counter for update in answer.updates if hasattr(update, "record")] == [11]


def test_given_many_edges_then_ordinary_changes_share_an_answer() -> None:
    run_virtual(_frequent_changes())


async def _urgent_behind_ordinary() -> None:
    # Given a delayed ordinary update
    fixture = _DistributorFixture()
    fixture.make_ordinary_update()
    await fixture.pull()
    answered_s = fixture.clock()
    pull = asyncio.create_task(fixture.pull())
    await asyncio.sleep(0.01)
    fixture.make_ordinary_update()
    await asyncio.sleep(0.01)
    # When something is committed
    fixture.replica.committed = ControlState(sequence=1)
    fixture.distributor.wake_urgently()
    answer = await pull
    # Then it is distributed immediately, together with the delayed update
    assert fixture.clock() - answered_s < 0.03
    assert answer.vector[STATE_ORIGIN] == 1
    assert answer.updates


def test_given_a_delayed_update_then_a_commit_is_distributed_immediately() -> None:
    run_virtual(_urgent_behind_ordinary())


async def _notices() -> None:
    # Given an edge that gets its updates elsewhere and has just received a notice of an ordinary update
    fixture = _DistributorFixture()
    fixture.make_ordinary_update()
    await fixture.pull_notice()
    answered_s = fixture.clock()
    # When there is another update, then its notice arrives one notice spacing later
    fixture.make_ordinary_update()
    await fixture.pull_notice()
    assert 0.95 < fixture.clock() - answered_s < 1.05
    # But the notice of a commit arrives immediately
    answered_s = fixture.clock()
    pull = asyncio.create_task(fixture.pull_notice())
    await asyncio.sleep(0.01)
    fixture.replica.committed = ControlState(sequence=1)
    fixture.distributor.wake_urgently()
    answer = await pull
    assert fixture.clock() - answered_s < 0.03
    assert answer.vector[STATE_ORIGIN] == 1
    assert not answer.updates


def test_given_many_edges_then_ordinary_notices_are_delayed_and_urgent_ones_are_immediate() -> None:
    run_virtual(_notices())


async def _few_edges() -> None:
    fixture = _DistributorFixture(edges=3)
    fixture.make_ordinary_update()
    await fixture.pull()
    started_s = fixture.clock()
    fixture.make_ordinary_update()
    await fixture.pull()
    assert fixture.clock() - started_s < 0.01


def test_given_few_edges_then_updates_are_not_delayed() -> None:
    run_virtual(_few_edges())


async def _known_view() -> None:
    fixture = _DistributorFixture()
    fixture.make_ordinary_update()
    first = await fixture.pull()
    assert first.view is not None
    fixture.make_ordinary_update()
    again = await fixture.pull(known_view=view_checksum(first.view))
    assert again.view is None
    # And a changed view is included
    fixture.replica.epoch = 2
    fixture.make_ordinary_update()
    later = await fixture.pull(known_view=view_checksum(first.view))
    assert later.view is not None
    assert later.view.epoch == 2


def test_given_a_puller_that_has_the_view_then_the_answer_omits_it() -> None:
    run_virtual(_known_view())


class _Committed:
    """A state to which configurations are committed one after another."""

    def __init__(self) -> None:
        self.state = ControlState()

    def put(self, version: int, *tenants: dict[str, Any]) -> None:
        """Commits a configuration with these tenants, as a patch if there is a previous one."""
        routes = [route(f"r{number}") for number in range(20)]
        new = parse_configuration(
            text_of(configuration(version, routes=routes, tenants=list(tenants)))
        ).unwrap()
        digest = b"%d" % version
        if self.state.configuration is None:
            step = ConfigurationStep(version, digest, new.to_json())
        else:
            old = parse_configuration(self.state.configuration).unwrap()
            step = ConfigurationStep(version, digest, None, delta(old, new))
        self.state = apply_entry(self.state, step)


# Guards against sending API keys to edges, where they could end up in traces or memory.
def test_given_tenants_then_neither_documents_nor_deltas_hold_a_key() -> None:
    committed = _Committed()
    committed.put(1, tenant("acme", "marked-1"))
    first = configuration_updates(committed.state, 0)
    committed.put(2, tenant("acme", "marked-1"), tenant("b", "marked-2"))
    change = configuration_updates(committed.state, 1)
    whole = configuration_updates(committed.state, 0)
    assert isinstance(change[0], ConfigurationDelta)
    assert isinstance(whole[0], ConfigurationUpdate)
    assert "marked" not in repr((first, change, whole))
    # And the stored document still holds the keys
    assert committed.state.configuration is not None
    assert json.loads(committed.state.configuration)["tenants"] == [
        tenant("acme", "marked-1"),
        tenant("b", "marked-2"),
    ]


def test_given_many_edges_then_each_text_is_redacted_once() -> None:
    committed = _Committed()
    committed.put(1, tenant("acme", "k1"))
    committed.put(2, tenant("acme", "k1"), tenant("b", "k2"))
    committed.put(3, tenant("b", "k2"))
    answers = [configuration_updates(committed.state, since) for since in (0, 1, 2) for _ in range(50)]
    # The same object for all edges shows that a text is not redacted again
    wholes = {id(updates[0].document) for updates in answers if isinstance(updates[0], ConfigurationUpdate)}
    steps = {
        id(step.patch) for updates in answers for step in updates if isinstance(step, ConfigurationDelta)
    }
    assert (len(wholes), len(steps)) == (1, 2)
