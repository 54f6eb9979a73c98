"""What an edge counts for a tenant, and how it tells the holder of the duty."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from result import Err, Ok, Result

from arrowfold.dataplane.exchange import SendFailure
from arrowfold.dataplane.usage_counts import MAX_UNDECIDED_WINDOWS, UsageCounts
from arrowfold.dataplane.usage_reporter import REPORT_INTERVAL_S, UsageReporter
from arrowfold.internal.messages import (
    ClusterView,
    MemberInfo,
    NodeIdentity,
    RoleOwner,
    UsageReceipt,
    UsageReport,
    WindowCounts,
    WorkerUpdate,
)
from tests.system.edge_stories import (
    ROUTES,
    EdgeStory,
    ScriptedAnswer,
    answers,
    configuration,
    configuration_update,
    events,
    rejected,
    route,
    silent,
    whole,
    worker,
)
from tests.system.virtual_time import run_virtual

WINDOW_S = 5.0
KEY = b"k3y-of-huka-9f27c1"
TENANT_ROUTES = [*ROUTES, route("open", "/open/", "cards", "idempotent", publicAccess=True)]
WORKERS = (worker("i-1", "cards"), worker("i-2", "cards"), worker("i-3", "models"), worker("i-4", "models"))
OF_CARDS = ("i-1", "i-2")
OF_MODELS = ("i-3", "i-4")


class CountingStory:
    """An edge whose configuration has a tenant, and how many requests it counted."""

    def __init__(self, key: bytes = KEY) -> None:
        self.begun: list[str] = []
        self.edge = EdgeStory()
        self.edge.forwarder._on_begun = self.begun.append
        tenants = [{"name": "huka", "apiKeys": [KEY.decode()]}]
        self.edge.tell(configuration_update({**configuration(TENANT_ROUTES), "tenants": tenants}))
        self.edge.tell(*(WorkerUpdate("origin", 1, record) for record in WORKERS))
        self._headers = ((b"Authorization", b"Bearer " + key),) if key else ()

    def script(self, instances: tuple[str, ...], *scripted: ScriptedAnswer | SendFailure) -> None:
        """Let these instances answer in turn, together."""
        script = answers(*scripted)
        for instance in instances:
            self.edge.workers.scripts[instance] = script

    async def ask(self, path: str) -> None:
        """Send a request and wait for the end of its answer."""
        await self.edge.ask(path, *self._headers)


def _counted(path: str, *scripted: ScriptedAnswer | SendFailure, key: bytes = KEY) -> list[str]:
    async def story() -> list[str]:
        stage = CountingStory(key)
        stage.script(OF_MODELS if path.startswith(("/talk", "/draft")) else OF_CARDS, *scripted)
        await stage.ask(path)
        return stage.begun

    return run_virtual(story())


@pytest.mark.parametrize(
    ("path", "scripted"),
    [
        ("/pay/1", (whole(),)),
        ("/talk/1", (events(1, 3),)),
        ("/pay/1", (whole(b"", 500),)),  # a worker's own failures count as run
        ("/pay/1", (whole(b"", 504),)),
        ("/talk/1", (whole(b"", 504),)),
        ("/pay/1", (SendFailure.LOST,)),  # it was sent and may have run
        ("/look/1", (SendFailure.LOST, whole())),  # one request, whoever ran it
        ("/look/1", (rejected(), whole())),
        ("/talk/1", (events(1, 2, breaks=True), events(3, 4))),
        ("/draft/1", (events(1, 2, breaks=True),)),
    ],
)
def test_given_a_request_that_a_worker_began_then_it_counts_once(
    path: str, scripted: tuple[ScriptedAnswer | SendFailure, ...]
) -> None:
    assert _counted(path, *scripted) == ["huka"]


@pytest.mark.parametrize(
    ("path", "scripted"),
    [
        ("/pay/1", (rejected(),)),
        ("/pay/1", (rejected(421),)),
        ("/talk/1", (rejected(),)),
        ("/draft/1", (SendFailure.LOST,)),  # it may still have waited for its first token
        ("/pay/1", (SendFailure.UNREACHABLE,)),
    ],
)
def test_given_a_request_that_no_worker_is_known_to_have_begun_then_it_does_not_count(
    path: str, scripted: tuple[ScriptedAnswer | SendFailure, ...]
) -> None:
    assert _counted(path, *scripted) == []


def test_given_a_request_without_a_tenant_then_it_does_not_count() -> None:
    assert _counted("/open/1", whole(), key=b"") == []


def test_given_a_request_with_a_key_on_a_public_route_then_it_counts() -> None:
    assert _counted("/open/1", whole()) == ["huka"]


def test_given_a_stream_then_it_counts_at_its_first_event() -> None:
    async def story() -> None:
        stage = CountingStory()
        stage.script(OF_MODELS, events(1, 3, pause_s=1.0))
        asking = asyncio.create_task(stage.ask("/talk/1"))
        await asyncio.sleep(0.9)
        assert stage.begun == []
        await asyncio.sleep(0.2)
        assert stage.begun == ["huka"]
        await asking

    run_virtual(story())


def test_given_a_worker_that_never_answers_then_a_request_that_may_run_counts() -> None:
    # A request given up at its deadline was sent, and its worker may be at work: it must not be left out.
    async def story() -> None:
        stage = CountingStory()
        for instance in OF_CARDS:
            stage.edge.workers.scripts[instance] = silent
        await stage.ask("/pay/1")
        assert stage.begun == ["huka"]

    run_virtual(story())


def _counts_at(now: list[float]) -> UsageCounts:
    return UsageCounts(WINDOW_S, lambda: now[0])


def test_given_requests_then_each_counts_in_its_window_until_that_is_decided() -> None:
    now = [9.9]
    counts = _counts_at(now)
    counts.begun("huka")
    now[0] = 10.0
    counts.begun("huka")
    counts.begun("puhu")
    assert counts.undecided() == (WindowCounts(1, {"huka": 1}), WindowCounts(2, {"huka": 1, "puhu": 1}))
    assert counts.ended_through() == 1
    counts.decided(1)
    assert [told.window for told in counts.undecided()] == [2]
    counts.decided(2)
    counts.begun("huka")  # a clock that runs behind: the window is settled
    assert counts.undecided() == ()


def test_given_no_decision_then_only_so_many_windows_are_kept() -> None:
    now = [0.0]
    counts = _counts_at(now)
    for _ in range(MAX_UNDECIDED_WINDOWS + 3):
        counts.begun("huka")
        now[0] += WINDOW_S
    assert [told.window for told in counts.undecided()] == list(range(3, MAX_UNDECIDED_WINDOWS + 3))


class Holders:
    """Implements the reporter's caller; each address answers or is silent."""

    def __init__(self) -> None:
        self.told: list[tuple[float, str, UsageReport]] = []
        self.decided_through: dict[str, int] = {}

    async def call(self, address: str, request: Any, timeout_s: float) -> Result[Any, Any]:
        self.told.append((asyncio.get_running_loop().time(), address, request))
        if address not in self.decided_through:
            await asyncio.sleep(timeout_s)
            return Err("silent")
        return Ok(UsageReceipt(self.decided_through[address]))


def _view(holder: str | None) -> ClusterView:
    members = tuple(MemberInfo(name, name, f"{name}:1", f"{name}:2", "z1") for name in ("m1", "m2"))
    roles = (RoleOwner("duty/usage", holder, 3),) if holder is not None else ()
    return ClusterView(1, "m1", members, 1, roles)


def _reporting(story: Callable[[Holders, UsageCounts, list[ClusterView]], Awaitable[None]]) -> None:
    async def run() -> None:
        holders, views = Holders(), [_view("m1")]
        counts = UsageCounts(WINDOW_S, asyncio.get_running_loop().time)
        identity = NodeIdentity("e1", "life", "z1", "e1:1", ("edge",))
        reporter = UsageReporter(holders, identity, counts, lambda: views[0], random.Random(1))
        running = asyncio.create_task(reporter.run())
        await story(holders, counts, views)
        running.cancel()

    run_virtual(run())


def test_given_a_holder_then_it_is_told_each_second_and_soon_after_a_window_ends() -> None:
    async def story(holders: Holders, counts: UsageCounts, views: list[ClusterView]) -> None:
        holders.decided_through["m1:1"] = -1
        counts.begun("huka")
        await asyncio.sleep(WINDOW_S + REPORT_INTERVAL_S)
        assert len(holders.told) == WINDOW_S + REPORT_INTERVAL_S
        assert holders.told[-1][2].ended_through == 0
        assert all(told.windows == (WindowCounts(0, {"huka": 1}),) for _, _, told in holders.told)

    _reporting(story)


def test_given_a_decided_window_then_it_is_told_no_more() -> None:
    async def story(holders: Holders, counts: UsageCounts, views: list[ClusterView]) -> None:
        holders.decided_through["m1:1"] = 0
        counts.begun("huka")
        await asyncio.sleep(3 * REPORT_INTERVAL_S)
        assert holders.told[0][2].windows and not holders.told[-1][2].windows

    _reporting(story)


def test_given_another_holder_then_it_is_told_all_that_is_not_decided() -> None:
    async def story(holders: Holders, counts: UsageCounts, views: list[ClusterView]) -> None:
        counts.begun("huka")
        await asyncio.sleep(2 * WINDOW_S)  # the first holder never answers
        counts.begun("puhu")
        holders.decided_through["m2:1"] = -1
        views[0] = _view("m2")
        await asyncio.sleep(2 * REPORT_INTERVAL_S)
        _, address, last = holders.told[-1]
        assert address == "m2:1"
        assert last.windows == (WindowCounts(0, {"huka": 1}), WindowCounts(2, {"puhu": 1}))

    _reporting(story)


def test_given_nobody_who_holds_the_duty_then_nobody_is_told() -> None:
    async def story(holders: Holders, counts: UsageCounts, views: list[ClusterView]) -> None:
        views[0] = _view(None)
        await asyncio.sleep(3 * REPORT_INTERVAL_S)
        assert holders.told == []

    _reporting(story)
