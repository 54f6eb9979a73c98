"""What is urgent is answered at once; in a large fleet ordinary news waits a little for more."""

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
    view_mark,
)
from arrowfold.registry.workers import WorkerRegistry
from arrowfold.replication.state import ConfigurationStep, ControlState, apply_entry
from tests.system.configurations import configuration, route, tenant, text_of
from tests.system.virtual_time import run_virtual

EDGES = 100  # so that ordinary news comes at most each 0.2 s
WORKER = WorkerRecord("i-1", "llm", "w:80", "z0", "v1", 8, "available")


class _Replica:
    """A member whose committed state the story sets."""

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


class _Stage:
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
        self._beats = 0

    def tell_ordinary(self) -> None:
        """A worker says something new."""
        self._beats += 1
        self.registry.heard(replace(WORKER, capacity_slots=self._beats, call_sequence=self._beats))
        self.distributor.wake()

    async def notice(self) -> PullResponse:
        """Wait for a notice, which brings no updates."""
        return await self.pull(wait_s=2.0, notice_only=True)

    async def pull(self, wait_s: float = 1.0, known_view: int = 0, notice_only: bool = False) -> PullResponse:
        sender = NodeIdentity("edge-0", "e0", "z0", "e:1", ("edge",))
        answer = await self.distributor.pull(
            PullRequest(sender, dict(self.vector), wait_s, notice_only, known_view)
        )
        self.vector = dict(answer.vector)
        return answer


async def _many_changes() -> None:
    # Given an edge that has just been answered
    stage = _Stage()
    stage.tell_ordinary()
    await stage.pull()
    answered_s = stage.clock()
    # When a worker changes often
    pull = asyncio.create_task(stage.pull())
    for _ in range(10):
        await asyncio.sleep(0.01)
        stage.tell_ordinary()
    answer = await pull
    # Then one answer brings all of it, a spacing after the one before
    assert 0.19 < stage.clock() - answered_s < 0.21
    assert [update.counter for update in answer.updates if hasattr(update, "record")] == [11]


def test_given_many_edges_then_ordinary_changes_share_an_answer() -> None:
    run_virtual(_many_changes())


async def _urgent_behind_ordinary() -> None:
    # Given ordinary news that waits for more
    stage = _Stage()
    stage.tell_ordinary()
    await stage.pull()
    answered_s = stage.clock()
    pull = asyncio.create_task(stage.pull())
    await asyncio.sleep(0.01)
    stage.tell_ordinary()
    await asyncio.sleep(0.01)
    # When something is committed
    stage.replica.committed = ControlState(sequence=1)
    stage.distributor.wake_urgently()
    answer = await pull
    # Then it is told at once, with the rest
    assert stage.clock() - answered_s < 0.03
    assert answer.vector[STATE_ORIGIN] == 1
    assert answer.updates


def test_given_waiting_news_then_a_commit_is_told_at_once() -> None:
    run_virtual(_urgent_behind_ordinary())


async def _notices() -> None:
    # Given an edge that gets its updates elsewhere and was just told that there is ordinary news
    stage = _Stage()
    stage.tell_ordinary()
    await stage.notice()
    told_s = stage.clock()
    # When there is more, then it hears of that a spacing of notices later
    stage.tell_ordinary()
    await stage.notice()
    assert 0.95 < stage.clock() - told_s < 1.05
    # But of what is committed at once
    told_s = stage.clock()
    pull = asyncio.create_task(stage.notice())
    await asyncio.sleep(0.01)
    stage.replica.committed = ControlState(sequence=1)
    stage.distributor.wake_urgently()
    answer = await pull
    assert stage.clock() - told_s < 0.03
    assert answer.vector[STATE_ORIGIN] == 1
    assert not answer.updates


def test_given_many_edges_then_notices_of_ordinary_news_are_few_and_urgent_ones_come_at_once() -> None:
    run_virtual(_notices())


async def _few_edges() -> None:
    stage = _Stage(edges=3)
    stage.tell_ordinary()
    await stage.pull()
    started_s = stage.clock()
    stage.tell_ordinary()
    await stage.pull()
    assert stage.clock() - started_s < 0.01


def test_given_few_edges_then_nothing_waits() -> None:
    run_virtual(_few_edges())


async def _known_view() -> None:
    stage = _Stage()
    stage.tell_ordinary()
    first = await stage.pull()
    assert first.view is not None
    stage.tell_ordinary()
    again = await stage.pull(known_view=view_mark(first.view))
    assert again.view is None
    # And another view is told
    stage.replica.epoch = 2
    stage.tell_ordinary()
    later = await stage.pull(known_view=view_mark(first.view))
    assert later.view is not None
    assert later.view.epoch == 2


def test_given_a_puller_that_has_the_view_then_it_is_left_out() -> None:
    run_virtual(_known_view())


class _Committed:
    """States to which configurations were committed one after another."""

    def __init__(self) -> None:
        self.state = ControlState()

    def put(self, version: int, *tenants: dict[str, Any]) -> None:
        """Commit a configuration with these tenants, as a patch where one is remembered."""
        many = [route(f"r{number}") for number in range(20)]
        new = parse_configuration(
            text_of(configuration(version, routes=many, tenants=list(tenants)))
        ).unwrap()
        digest = b"%d" % version
        if self.state.configuration is None:
            step = ConfigurationStep(version, digest, new.to_json())
        else:
            old = parse_configuration(self.state.configuration).unwrap()
            step = ConfigurationStep(version, digest, None, delta(old, new))
        self.state = apply_entry(self.state, step)


# Guards against keys on the way to edges, and in the traces and memory that lie on that way.
def test_given_tenants_then_neither_documents_nor_changes_tell_a_key() -> None:
    committed = _Committed()
    committed.put(1, tenant("acme", "marked-1"))
    first = configuration_updates(committed.state, 0)
    committed.put(2, tenant("acme", "marked-1"), tenant("b", "marked-2"))
    change = configuration_updates(committed.state, 1)
    whole = configuration_updates(committed.state, 0)
    assert isinstance(change[0], ConfigurationDelta)
    assert isinstance(whole[0], ConfigurationUpdate)
    assert "marked" not in repr((first, change, whole))
    # And what is read back is what was sent
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
    # One text for all edges: not made anew, so the same object
    wholes = {id(updates[0].document) for updates in answers if isinstance(updates[0], ConfigurationUpdate)}
    steps = {
        id(step.patch) for updates in answers for step in updates if isinstance(step, ConfigurationDelta)
    }
    assert (len(wholes), len(steps)) == (1, 2)
