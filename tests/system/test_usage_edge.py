"""Which requests an edge counts for a tenant, and how it reports them to the holder of the usage duty."""

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
    EdgeHarness,
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
CARDS_WORKERS = ("i-1", "i-2")
MODELS_WORKERS = ("i-3", "i-4")


class CountingEdge:
    """An edge whose configuration has a tenant, and the tenants of the requests that it counted."""

    def __init__(self, key: bytes = KEY) -> None:
        self.counted: list[str] = []
        self.edge = EdgeHarness()
        self.edge.forwarder._on_execution_started = self.counted.append
        tenants = [{"name": "huka", "apiKeys": [KEY.decode()]}]
        self.edge.tell(configuration_update({**configuration(TENANT_ROUTES), "tenants": tenants}))
        self.edge.tell(*(WorkerUpdate("origin", 1, record) for record in WORKERS))
        self._headers = ((b"Authorization", b"Bearer " + key),) if key else ()

    def script(self, instances: tuple[str, ...], *scripted: ScriptedAnswer | SendFailure) -> None:
        """Scripts the answers of these instances, which share one sequence."""
        script = answers(*scripted)
        for instance in instances:
            self.edge.workers.scripts[instance] = script

    async def ask(self, path: str) -> None:
        """Sends a request and waits for the end of its answer."""
        await self.edge.ask(path, *self._headers)


def _counted_tenants(path: str, *scripted: ScriptedAnswer | SendFailure, key: bytes = KEY) -> list[str]:
    async def scenario() -> list[str]:
        counting_edge = CountingEdge(key)
        counting_edge.script(
            MODELS_WORKERS if path.startswith(("/talk", "/draft")) else CARDS_WORKERS, *scripted
        )
        await counting_edge.ask(path)
        return counting_edge.counted

    return run_virtual(scenario())


@pytest.mark.parametrize(
    ("path", "scripted"),
    [
        ("/pay/1", (whole(),)),
        ("/talk/1", (events(1, 3),)),
        ("/pay/1", (whole(b"", 500),)),  # a worker's own failures count as run
        ("/pay/1", (whole(b"", 504),)),
        ("/talk/1", (whole(b"", 504),)),
        ("/pay/1", (SendFailure.LOST,)),  # the request was sent and may have run
        ("/look/1", (SendFailure.LOST, whole())),  # one request, whichever worker ran it
        ("/look/1", (rejected(), whole())),
        ("/talk/1", (events(1, 2, is_interrupted=True), events(3, 4))),
        ("/draft/1", (events(1, 2, is_interrupted=True),)),
    ],
)
def test_given_a_request_that_a_worker_began_then_it_counts_once(
    path: str, scripted: tuple[ScriptedAnswer | SendFailure, ...]
) -> None:
    assert _counted_tenants(path, *scripted) == ["huka"]


@pytest.mark.parametrize(
    ("path", "scripted"),
    [
        ("/pay/1", (rejected(),)),
        ("/pay/1", (rejected(421),)),
        ("/talk/1", (rejected(),)),
        ("/draft/1", (SendFailure.LOST,)),  # it may still have been waiting for its first token
        ("/pay/1", (SendFailure.UNREACHABLE,)),
    ],
)
def test_given_a_request_that_no_worker_is_known_to_have_begun_then_it_does_not_count(
    path: str, scripted: tuple[ScriptedAnswer | SendFailure, ...]
) -> None:
    assert _counted_tenants(path, *scripted) == []


def test_given_a_request_without_a_tenant_then_it_does_not_count() -> None:
    assert _counted_tenants("/open/1", whole(), key=b"") == []


def test_given_a_request_with_a_key_on_a_public_route_then_it_counts() -> None:
    assert _counted_tenants("/open/1", whole()) == ["huka"]


def test_given_a_stream_then_it_counts_at_its_first_event() -> None:
    async def scenario() -> None:
        counting_edge = CountingEdge()
        counting_edge.script(MODELS_WORKERS, events(1, 3, pause_s=1.0))
        request = asyncio.create_task(counting_edge.ask("/talk/1"))
        await asyncio.sleep(0.9)
        assert counting_edge.counted == []
        await asyncio.sleep(0.2)
        assert counting_edge.counted == ["huka"]
        await request

    run_virtual(scenario())


def test_given_a_worker_that_never_answers_then_a_request_that_may_have_run_counts() -> None:
    # A request abandoned at its deadline was sent, and its worker may be running it, so it must count.
    async def scenario() -> None:
        counting_edge = CountingEdge()
        for instance in CARDS_WORKERS:
            counting_edge.edge.workers.scripts[instance] = silent
        await counting_edge.ask("/pay/1")
        assert counting_edge.counted == ["huka"]

    run_virtual(scenario())


def _counts_at(now: list[float]) -> UsageCounts:
    return UsageCounts(WINDOW_S, lambda: now[0])


def test_given_requests_then_each_counts_in_its_window_until_that_is_decided() -> None:
    now = [9.9]
    counts = _counts_at(now)
    counts.count_request("huka")
    now[0] = 10.0
    counts.count_request("huka")
    counts.count_request("puhu")
    assert counts.undecided() == (WindowCounts(1, {"huka": 1}), WindowCounts(2, {"huka": 1, "puhu": 1}))
    assert counts.ended_through() == 1
    counts.drop_decided(1)
    assert [entry.window for entry in counts.undecided()] == [2]
    counts.drop_decided(2)
    counts.count_request("huka")  # a clock that runs behind: the window is already decided
    assert counts.undecided() == ()


def test_given_no_decision_then_a_bounded_number_of_windows_is_kept() -> None:
    now = [0.0]
    counts = _counts_at(now)
    for _ in range(MAX_UNDECIDED_WINDOWS + 3):
        counts.count_request("huka")
        now[0] += WINDOW_S
    assert [entry.window for entry in counts.undecided()] == list(range(3, MAX_UNDECIDED_WINDOWS + 3))


class ScriptedHolders:
    """A `UsageCaller` that records reports; an address without a decided window does not answer."""

    def __init__(self) -> None:
        self.reports: list[tuple[float, str, UsageReport]] = []
        self.decided_through: dict[str, int] = {}

    async def call(self, address: str, request: Any, timeout_s: float) -> Result[Any, Any]:
        self.reports.append((asyncio.get_running_loop().time(), address, request))
        if address not in self.decided_through:
            await asyncio.sleep(timeout_s)
            return Err("silent")
        return Ok(UsageReceipt(self.decided_through[address]))


def _view(holder: str | None) -> ClusterView:
    members = tuple(MemberInfo(name, name, f"{name}:1", f"{name}:2", "z1") for name in ("m1", "m2"))
    roles = (RoleOwner("duty/usage", holder, 3),) if holder is not None else ()
    return ClusterView(1, "m1", members, 1, roles)


def _run_reporter(
    scenario: Callable[[ScriptedHolders, UsageCounts, list[ClusterView]], Awaitable[None]],
) -> None:
    async def run() -> None:
        holders, views = ScriptedHolders(), [_view("m1")]
        counts = UsageCounts(WINDOW_S, asyncio.get_running_loop().time)
        identity = NodeIdentity("e1", "life", "z1", "e1:1", ("edge",))
        reporter = UsageReporter(holders, identity, counts, lambda: views[0], random.Random(1))
        reporting = asyncio.create_task(reporter.run())
        await scenario(holders, counts, views)
        reporting.cancel()

    run_virtual(run())


def test_given_a_holder_then_it_receives_a_report_each_second_and_soon_after_a_window_ends() -> None:
    async def scenario(holders: ScriptedHolders, counts: UsageCounts, views: list[ClusterView]) -> None:
        holders.decided_through["m1:1"] = -1
        counts.count_request("huka")
        await asyncio.sleep(WINDOW_S + REPORT_INTERVAL_S)
        assert len(holders.reports) == WINDOW_S + REPORT_INTERVAL_S
        assert holders.reports[-1][2].ended_through == 0
        assert all(report.windows == (WindowCounts(0, {"huka": 1}),) for _, _, report in holders.reports)

    _run_reporter(scenario)


def test_given_a_decided_window_then_it_is_no_longer_reported() -> None:
    async def scenario(holders: ScriptedHolders, counts: UsageCounts, views: list[ClusterView]) -> None:
        holders.decided_through["m1:1"] = 0
        counts.count_request("huka")
        await asyncio.sleep(3 * REPORT_INTERVAL_S)
        assert holders.reports[0][2].windows and not holders.reports[-1][2].windows

    _run_reporter(scenario)


def test_given_a_new_holder_then_it_receives_all_undecided_windows() -> None:
    async def scenario(holders: ScriptedHolders, counts: UsageCounts, views: list[ClusterView]) -> None:
        counts.count_request("huka")
        await asyncio.sleep(2 * WINDOW_S)  # the first holder never answers
        counts.count_request("puhu")
        holders.decided_through["m2:1"] = -1
        views[0] = _view("m2")
        await asyncio.sleep(2 * REPORT_INTERVAL_S)
        _, address, last = holders.reports[-1]
        assert address == "m2:1"
        assert last.windows == (WindowCounts(0, {"huka": 1}), WindowCounts(2, {"puhu": 1}))

    _run_reporter(scenario)


def test_given_no_holder_of_the_duty_then_no_report_is_sent() -> None:
    async def scenario(holders: ScriptedHolders, counts: UsageCounts, views: list[ClusterView]) -> None:
        views[0] = _view(None)
        await asyncio.sleep(3 * REPORT_INTERVAL_S)
        assert holders.reports == []

    _run_reporter(scenario)
