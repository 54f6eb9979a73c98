"""The placement's executor against a worker on loopback, and what edges make of its updates."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any
from unittest.mock import patch

import pytest
from aiohttp import web

from arrowfold.controlplane.placement_executor import (
    ARRIVAL_S,
    PlacementExecutor,
    order_body,
    order_session,
    parse_report,
)
from arrowfold.controlplane.placement_notices import PlacementNotices
from arrowfold.dataplane.placement_overlay import UPDATE_VALID_S, PlacementOverlay
from arrowfold.dataplane.tables import FleetTables
from arrowfold.internal.messages import (
    ArrivingModel,
    ClassDemand,
    DemandReport,
    HeldModel,
    NodeIdentity,
    PullResponse,
    WorkerCorrection,
    WorkerRecord,
)
from arrowfold.node.settings import Bounds
from arrowfold.placement.catalogue import ModelCatalogue
from arrowfold.placement.orders import Operation, Order
from tests.system.placement_world import SERVICE, catalogue

EDGE = NodeIdentity("edge", "e", "z0", "e:1")


@dataclass
class Lease:
    """A tenure as the story sets it."""

    left_s: float = 10.0
    tenured: bool = True
    token: int = 7
    holder: str = "node"

    def is_tenured(self) -> bool:
        return self.tenured

    def remaining_s(self) -> float:
        return self.left_s


@dataclass
class Ports:
    """A control plane that knows one worker."""

    record: WorkerRecord
    models: ModelCatalogue
    published: list[tuple[WorkerCorrection, ...]] = field(default_factory=list)

    def workers(self) -> list[WorkerRecord]:
        return [self.record]

    def catalogue(self, service: str) -> ModelCatalogue | None:
        return self.models if service == SERVICE else None

    def publish(self, service: str, token: int, corrections: tuple[WorkerCorrection, ...]) -> None:
        self.published.append(corrections)


class LoopbackWorker:
    """Answers reports, and orders with the given statuses in turn; None breaks the connection off."""

    def __init__(self, *statuses: int | None) -> None:
        self.statuses = list(statuses)
        self.orders: list[dict[str, Any]] = []
        self.targets: list[str] = []
        self.ordered = asyncio.Event()

    async def start(self) -> str:
        application = web.Application()
        application.add_routes([web.get("/report", self._report), web.post("/order", self._order)])
        self._runner = web.AppRunner(application)
        await self._runner.setup()
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        await web.SockSite(self._runner, listener).start()
        return f"127.0.0.1:{listener.getsockname()[1]}"

    async def stop(self) -> None:
        await self._runner.cleanup()

    async def _report(self, request: web.Request) -> web.Response:
        return web.json_response({"stage": "both", "models": [], "busy": False, "callSeq": 0})

    async def _order(self, request: web.Request) -> web.Response:
        self.orders.append(json.loads(await request.text()))
        self.targets.append(request.headers["X-Target-Instance"])
        self.ordered.set()
        status = self.statuses.pop(0) if self.statuses else 202
        if status is None:
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        return web.Response(status=status)


def play(story: Callable[[], Awaitable[None]]) -> None:
    """Run a story on loopback with a bound on its time."""

    async def bounded() -> None:
        async with asyncio.timeout(10):
            await story()

    asyncio.run(bounded())


def record(address: str = "w:80", *models: str) -> WorkerRecord:
    held = tuple(HeldModel(name) for name in models)
    return WorkerRecord("i-1", SERVICE, address, "z0", "v1", 64, "available", held, 1)


def missed(model: str) -> DemandReport:
    return DemandReport(EDGE, 0.5, (ClassDemand(SERVICE, model, "", 1.0, 0.5, 1.0),))


async def executor_with(worker: LoopbackWorker, lease: Lease) -> tuple[PlacementExecutor, Ports, Any]:
    ports = Ports(record(await worker.start()), catalogue(load_rate_s=1000.0))
    session = order_session()
    clock = asyncio.get_running_loop().time
    return PlacementExecutor(SERVICE, lease, ports, Bounds(), session, clock), ports, session


async def keep_asking(executor: PlacementExecutor, until: asyncio.Event) -> None:
    while not until.is_set():
        executor.take_demand(missed("m1"))
        await asyncio.sleep(0.01)


def test_an_order_names_holder_token_revision_and_worker() -> None:
    async def story() -> None:
        # Given a worker and an executor whose lease holds
        worker, lease = LoopbackWorker(), Lease()
        executor, ports, session = await executor_with(worker, lease)
        running = asyncio.create_task(executor.run())
        # When a model is missed
        await keep_asking(executor, worker.ordered)
        # Then the order is as the protocol has it, and edges hear that the model arrives
        assert worker.orders[0] == {
            "operation": "load",
            "model": "m1",
            "ifRevision": 0,
            "holder": "node",
            "fenceToken": 7,
        }
        assert worker.targets == ["i-1"]
        while not any(item.arriving for published in ports.published for item in published):
            await asyncio.sleep(0.01)
        running.cancel()
        await session.close()
        await worker.stop()

    play(story)


def test_no_order_leaves_without_enough_of_the_lease() -> None:
    async def story() -> None:
        # Given a lease with less time left than an order takes
        worker, lease = LoopbackWorker(), Lease(left_s=ARRIVAL_S / 2)
        executor, _, session = await executor_with(worker, lease)
        running = asyncio.create_task(executor.run())
        for _ in range(20):
            executor.take_demand(missed("m1"))
            await asyncio.sleep(0.01)
        # When it is renewed
        assert worker.orders == []
        lease.left_s = 5.0
        await keep_asking(executor, worker.ordered)
        # Then the order leaves, and the executor ends with the tenure
        assert len(worker.orders) == 1
        lease.tenured = False
        executor.wake()
        await running
        await session.close()
        await worker.stop()

    play(story)


def test_an_owner_that_was_fenced_off_ends() -> None:
    async def story() -> None:
        # Given a worker that has seen a higher token
        worker, lease = LoopbackWorker(412), Lease()
        executor, _, session = await executor_with(worker, lease)
        running = asyncio.create_task(executor.run())
        # When an order meets 412
        await keep_asking(executor, worker.ordered)
        # Then the executor ends
        await running
        assert len(worker.orders) == 1
        await session.close()
        await worker.stop()

    play(story)


def test_an_order_whose_connection_breaks_is_not_sent_again_unread() -> None:
    async def story() -> None:
        # Given a worker that breaks the connection off after it has read an order
        worker, lease = LoopbackWorker(None), Lease()
        executor, _, session = await executor_with(worker, lease)
        running = asyncio.create_task(executor.run())
        await keep_asking(executor, worker.ordered)
        # When more demand comes before the worker's report was read again
        for _ in range(20):
            executor.take_demand(missed("m1"))
            await asyncio.sleep(0.01)
        # Then nothing more was ordered
        assert len(worker.orders) == 1
        running.cancel()
        await session.close()
        await worker.stop()

    play(story)


def test_an_order_for_an_adapter_names_it() -> None:
    order = Order("i-1", "w:80", Operation.LOAD, "m1", "a3", 4)
    assert order_body(order, Lease())["adapter"] == "a3"


def test_a_report_is_read_as_the_protocol_has_it() -> None:
    report = parse_report(
        {"models": [{"name": "m1", "version": 2, "adapters": ["a1"]}], "busy": True, "callSeq": 5}
    )
    assert (report.models, report.busy, report.revision) == ((HeldModel("m1", 2, ("a1",)),), True, 5)
    with pytest.raises(KeyError):
        parse_report({"busy": True})


def test_edges_lay_an_update_over_heartbeats_until_it_expires() -> None:
    # Given an owner that publishes what it unloads and loads
    notices = PlacementNotices(lambda: None, lambda: 0.0)
    correction = WorkerCorrection("i-1", (HeldModel("m1"),), (ArrivingModel("m2", "", 0.6),))
    notices.publish(SERVICE, 3, (correction,))
    placements = _tables_of(notices).snapshot.placements
    overlay = PlacementOverlay()
    heartbeat = record("w:80", "m1", "m5")
    # When an edge lays it over the heartbeat
    (seen,) = overlay.corrected([heartbeat], placements, 10.0)
    (unchanged,) = overlay.corrected([heartbeat], placements, 10.2)
    (later,) = overlay.corrected([replace(heartbeat, call_sequence=9)], placements, 10.5)
    # Then the worker holds what the owner says, nothing new is told while nothing is, and the wait shrinks
    assert [model.name for model in seen.models] == ["m1"]
    assert seen.arriving[0].ready_in_s == 0.6
    assert unchanged is seen
    assert later.arriving[0].ready_in_s == pytest.approx(0.1)
    # And an update that is not renewed gives way to the heartbeat
    assert overlay.has_expired(10.0 + UPDATE_VALID_S)
    assert overlay.corrected([heartbeat], placements, 10.0 + UPDATE_VALID_S) == (heartbeat,)


def _tables_of(notices: PlacementNotices, tables: FleetTables | None = None) -> FleetTables:
    """An edge's tables after a pull of what it lacks."""
    tables = tables or FleetTables()
    tables.take(PullResponse(True, None, notices.vector(), notices.missing(tables.vector)))
    return tables


def _corrections_at(tables: FleetTables) -> dict[str, WorkerCorrection]:
    return tables.snapshot.placements[SERVICE].corrections


def test_only_what_changed_is_told_again() -> None:
    # Given an edge that knows the corrections of two workers
    now_s = 0.0
    notices = PlacementNotices(lambda: None, lambda: now_s)
    one = WorkerCorrection("i-1", (HeldModel("m1"),))
    two = WorkerCorrection("i-2", (HeldModel("m2"),), (ArrivingModel("m3", "", 2.0),))
    notices.publish(SERVICE, 3, (one, two))
    tables = _tables_of(notices)
    # When one of them changes, and what arrives at the other comes nearer as expected
    now_s = 1.0
    changed = WorkerCorrection("i-1", (HeldModel("m5"),))
    nearer = replace(two, arriving=(ArrivingModel("m3", "", 1.0),))
    notices.publish(SERVICE, 3, (changed, nearer))
    # Then only the first is told, and the edge has both
    (update,) = notices.missing(tables.vector)
    assert update.corrections == (changed,)
    _tables_of(notices, tables)
    assert _corrections_at(tables) == {"i-1": changed, "i-2": two}
    # And a load that takes longer than was told is told again
    slower = replace(two, arriving=(ArrivingModel("m3", "", 1.5),))
    notices.publish(SERVICE, 3, (changed, slower))
    _tables_of(notices, tables)
    assert _corrections_at(tables)["i-2"] == slower
    # And a correction that is withdrawn goes
    notices.publish(SERVICE, 3, (slower,))
    _tables_of(notices, tables)
    assert _corrections_at(tables) == {"i-2": slower}


def test_a_renewal_tells_nothing_but_that_it_holds() -> None:
    notices = PlacementNotices(lambda: None, lambda: 0.0)
    correction = WorkerCorrection("i-1", (HeldModel("m1"),))
    notices.publish(SERVICE, 3, (correction,))
    tables = _tables_of(notices)
    overlay = PlacementOverlay()
    heartbeat = record("w:80", "m5")
    overlay.corrected([heartbeat], tables.snapshot.placements, 10.0)
    notices.publish(SERVICE, 3, (correction,))
    (renewal,) = notices.missing(tables.vector)
    assert (renewal.corrections, renewal.withdrawn) == ((), ())
    _tables_of(notices, tables)
    (renewed,) = overlay.corrected([heartbeat], tables.snapshot.placements, 12.0)
    assert renewed.models == correction.models
    assert not overlay.has_expired(12.0 + UPDATE_VALID_S - 0.1)


def test_a_restarted_owner_is_heard_at_once_under_its_old_token() -> None:
    # Given an edge that has many updates of an owner
    first = PlacementNotices(lambda: None, lambda: 0.0)
    for number in range(100):
        first.publish(SERVICE, 3, (WorkerCorrection("i-1", (HeldModel(f"m{number}"),)),))
    tables = _tables_of(first)
    # When its process starts anew, still under the same token, and publishes
    second = PlacementNotices(lambda: None, lambda: 0.0)
    correction = WorkerCorrection("i-2", (HeldModel("m2"),))
    second.publish(SERVICE, 3, (correction,))
    _tables_of(second, tables)
    # Then only what the new process told stands, also after its next updates
    assert _corrections_at(tables) == {"i-2": correction}
    later = WorkerCorrection("i-3", (HeldModel("m3"),))
    second.publish(SERVICE, 3, (correction, later))
    _tables_of(second, tables)
    assert _corrections_at(tables) == {"i-2": correction, "i-3": later}
    # And an owner of a lower token changes nothing
    old = PlacementNotices(lambda: None, lambda: 0.0)
    old.publish(SERVICE, 2, ())
    _tables_of(old, tables)
    assert _corrections_at(tables) == {"i-2": correction, "i-3": later}


def test_a_later_owner_replaces_all_that_the_earlier_one_told() -> None:
    # Given an edge that has corrections of an owner
    first = PlacementNotices(lambda: None, lambda: 0.0)
    first.publish(SERVICE, 3, (WorkerCorrection("i-1", (HeldModel("m1"),)),))
    tables = _tables_of(first)
    # When another owner, who knows nothing of them, publishes its first
    second = PlacementNotices(lambda: None, lambda: 0.0)
    correction = WorkerCorrection("i-2", (HeldModel("m2"),))
    second.publish(SERVICE, 4, (correction,))
    _tables_of(second, tables)
    # Then only its own stand
    assert _corrections_at(tables) == {"i-2": correction}


def test_an_edge_takes_a_later_owners_updates_and_no_longer_an_earlier_ones() -> None:
    # Given an owner that has published often, and a later one
    first = PlacementNotices(lambda: None, lambda: 0.0)
    second = PlacementNotices(lambda: None, lambda: 0.0)
    for _ in range(100):
        first.publish(SERVICE, 3, (WorkerCorrection("i-1", (HeldModel("m1"),)),))
    second.publish(SERVICE, 4, ())
    # Then an edge that has the first one's newest update lacks the second one's
    assert second.missing(first.vector())
    # And one that has the second one's does not go back
    tables = _tables_of(second)
    _tables_of(first, tables)
    assert tables.snapshot.placements[SERVICE].token == 4
    assert _corrections_at(tables) == {}


@pytest.mark.parametrize(("step_s", "rest_s"), [(0.01, 0.03), (1.0, 0.05)])
def test_steps_that_take_long_leave_time_to_others(step_s: float, rest_s: float) -> None:
    async def story() -> None:
        # Given steps on a clock that only they move, and demand that always wakes them
        passed_s, steps = 0.0, 0
        rests: list[float] = []
        session = order_session()
        ports = Ports(record(), catalogue())
        executor = PlacementExecutor(SERVICE, Lease(), ports, Bounds(), session, lambda: passed_s)

        def step() -> None:
            nonlocal passed_s, steps
            passed_s += step_s
            steps += 1
            executor.wake()

        async def rest(pause_s: float) -> None:
            rests.append(pause_s)
            if steps >= 20:
                raise asyncio.CancelledError

        # When it runs
        with (
            patch.object(executor, "_step", step),
            patch.object(asyncio, "sleep", rest),
            contextlib.suppress(asyncio.CancelledError),
        ):
            await executor.run()
        # Then each step is followed by a rest of three times its length, within a bound
        assert rests == [pytest.approx(rest_s)] * 20
        await session.close()

    play(story)
