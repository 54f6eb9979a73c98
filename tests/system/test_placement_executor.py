"""The placement executor against a loopback worker, and the application of its updates at edges."""

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
    MIN_LEASE_REMAINING_S,
    PlacementExecutor,
    open_worker_sessions,
    order_body,
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
from arrowfold.placement.orders import Operation, Order, OrderAnswer, ReadReport
from tests.system.edge_loopback import field_of
from tests.system.placement_world import SERVICE, catalogue

EDGE = NodeIdentity("edge", "e", "z0", "e:1")


@dataclass
class Lease:
    """A lease that is controlled by the test."""

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
    """A control plane with one worker."""

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
    """Answers report reads, and orders with the given statuses in order; None aborts the connection."""

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


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    """Runs a scenario with a time limit."""

    async def bounded() -> None:
        async with asyncio.timeout(10):
            await scenario()

    asyncio.run(bounded())


def record(address: str = "w:80", *models: str) -> WorkerRecord:
    held = tuple(HeldModel(name) for name in models)
    return WorkerRecord("i-1", SERVICE, address, "z0", "v1", 64, "available", held, 1)


def demand_for_missing(model: str) -> DemandReport:
    return DemandReport(EDGE, 0.5, (ClassDemand(SERVICE, model, "", 1.0, 0.5, 1.0),))


async def executor_with(worker: LoopbackWorker, lease: Lease) -> tuple[PlacementExecutor, Ports, Any]:
    ports = Ports(record(await worker.start()), catalogue(load_rate_per_s=1000.0))
    session = open_worker_sessions()
    clock = asyncio.get_running_loop().time
    return PlacementExecutor(SERVICE, lease, ports, Bounds(), session, clock), ports, session


async def keep_reporting_demand(executor: PlacementExecutor, event: asyncio.Event) -> None:
    while not event.is_set():
        executor.take_demand(demand_for_missing("m1"))
        await asyncio.sleep(0.01)


def test_an_order_carries_holder_token_revision_and_worker() -> None:
    async def scenario() -> None:
        # Given a worker and an executor with a valid lease
        worker, lease = LoopbackWorker(), Lease()
        executor, ports, session = await executor_with(worker, lease)
        running = asyncio.create_task(executor.run())
        # When there is demand for a missing model
        await keep_reporting_demand(executor, worker.ordered)
        # Then the order follows the protocol, and the load is published to edges
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

    run_scenario(scenario)


def test_no_order_is_sent_without_enough_lease_time() -> None:
    async def scenario() -> None:
        # Given a lease with less time left than an order needs
        worker, lease = LoopbackWorker(), Lease(left_s=MIN_LEASE_REMAINING_S / 2)
        executor, _, session = await executor_with(worker, lease)
        running = asyncio.create_task(executor.run())
        for _ in range(20):
            executor.take_demand(demand_for_missing("m1"))
            await asyncio.sleep(0.01)
        # When it is renewed
        assert worker.orders == []
        lease.left_s = 5.0
        await keep_reporting_demand(executor, worker.ordered)
        # Then the order is sent, and the executor ends with the tenure
        assert len(worker.orders) == 1
        lease.tenured = False
        executor.wake()
        await running
        await session.close()
        await worker.stop()

    run_scenario(scenario)


def test_a_fenced_owner_stops() -> None:
    async def scenario() -> None:
        # Given a worker that has seen a higher token
        worker, lease = LoopbackWorker(412), Lease()
        executor, _, session = await executor_with(worker, lease)
        running = asyncio.create_task(executor.run())
        # When an order is answered with 412
        await keep_reporting_demand(executor, worker.ordered)
        # Then the executor ends
        await running
        assert len(worker.orders) == 1
        await session.close()
        await worker.stop()

    run_scenario(scenario)


def test_an_order_whose_connection_breaks_is_not_repeated_before_the_report_is_read() -> None:
    async def scenario() -> None:
        # Given a worker that aborts the connection after it has read an order
        worker, lease = LoopbackWorker(None), Lease()
        executor, _, session = await executor_with(worker, lease)
        running = asyncio.create_task(executor.run())
        await keep_reporting_demand(executor, worker.ordered)
        # When more demand arrives before the report of the worker has been read again
        for _ in range(20):
            executor.take_demand(demand_for_missing("m1"))
            await asyncio.sleep(0.01)
        # Then no further order is sent
        assert len(worker.orders) == 1
        running.cancel()
        await session.close()
        await worker.stop()

    run_scenario(scenario)


def test_an_order_for_an_adapter_carries_its_name() -> None:
    order = Order("i-1", "w:80", Operation.LOAD, "m1", "a3", 4)
    assert order_body(order, Lease())["adapter"] == "a3"


def test_a_report_is_parsed_as_the_protocol_defines() -> None:
    report = parse_report(
        {"models": [{"name": "m1", "version": 2, "adapters": ["a1"]}], "busy": True, "callSeq": 5}
    )
    assert (report.models, report.busy, report.revision) == ((HeldModel("m1", 2, ("a1",)),), True, 5)
    with pytest.raises(KeyError):
        parse_report({"busy": True})


def test_edges_apply_an_update_to_heartbeats_until_it_expires() -> None:
    # Given an owner that publishes an unload and a load
    notices = PlacementNotices(lambda: None, lambda: 0.0)
    correction = WorkerCorrection("i-1", (HeldModel("m1"),), (ArrivingModel("m2", "", 0.6),))
    notices.publish(SERVICE, 3, (correction,))
    placements = _tables_of(notices).snapshot.placements
    overlay = PlacementOverlay()
    heartbeat = record("w:80", "m1", "m5")
    # When an edge applies the update to the heartbeat
    (corrected,) = overlay.corrected([heartbeat], placements, 10.0)
    (unchanged,) = overlay.corrected([heartbeat], placements, 10.2)
    (later,) = overlay.corrected([replace(heartbeat, call_sequence=9)], placements, 10.5)
    # Then the record has the published models, is unchanged without a change, and the waiting time decreases
    assert [model.name for model in corrected.models] == ["m1"]
    assert corrected.arriving[0].ready_in_s == 0.6
    assert unchanged is corrected
    assert later.arriving[0].ready_in_s == pytest.approx(0.1)
    # And an update that is not renewed expires
    assert overlay.has_expired(10.0 + UPDATE_VALID_S)
    assert overlay.corrected([heartbeat], placements, 10.0 + UPDATE_VALID_S) == (heartbeat,)


def _tables_of(notices: PlacementNotices, tables: FleetTables | None = None) -> FleetTables:
    """Returns the tables of an edge after a pull."""
    tables = tables or FleetTables()
    tables.apply(PullResponse(True, None, notices.vector(), notices.missing(tables.vector)))
    return tables


def _corrections_in(tables: FleetTables) -> dict[str, WorkerCorrection]:
    return tables.snapshot.placements[SERVICE].corrections


def test_only_changed_corrections_are_published_again() -> None:
    # Given an edge that has the corrections of two workers
    now_s = 0.0
    notices = PlacementNotices(lambda: None, lambda: now_s)
    one = WorkerCorrection("i-1", (HeldModel("m1"),))
    two = WorkerCorrection("i-2", (HeldModel("m2"),), (ArrivingModel("m3", "", 2.0),))
    notices.publish(SERVICE, 3, (one, two))
    tables = _tables_of(notices)
    # When one of them changes, and the load at the other proceeds as expected
    now_s = 1.0
    changed = WorkerCorrection("i-1", (HeldModel("m5"),))
    nearer = replace(two, arriving=(ArrivingModel("m3", "", 1.0),))
    notices.publish(SERVICE, 3, (changed, nearer))
    # Then only the first is published, and the edge has both
    (update,) = notices.missing(tables.vector)
    assert update.corrections == (changed,)
    _tables_of(notices, tables)
    assert _corrections_in(tables) == {"i-1": changed, "i-2": two}
    # And a load that takes longer than published is published again
    slower = replace(two, arriving=(ArrivingModel("m3", "", 1.5),))
    notices.publish(SERVICE, 3, (changed, slower))
    _tables_of(notices, tables)
    assert _corrections_in(tables)["i-2"] == slower
    # And a withdrawn correction is removed
    notices.publish(SERVICE, 3, (slower,))
    _tables_of(notices, tables)
    assert _corrections_in(tables) == {"i-2": slower}


def test_a_renewal_carries_no_corrections_and_extends_the_validity() -> None:
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


def test_updates_of_a_restarted_owner_apply_at_once_under_its_old_token() -> None:
    # Given an edge that has many updates of an owner
    first = PlacementNotices(lambda: None, lambda: 0.0)
    for number in range(100):
        first.publish(SERVICE, 3, (WorkerCorrection("i-1", (HeldModel(f"m{number}"),)),))
    tables = _tables_of(first)
    # When its process restarts under the same token and publishes
    second = PlacementNotices(lambda: None, lambda: 0.0)
    correction = WorkerCorrection("i-2", (HeldModel("m2"),))
    second.publish(SERVICE, 3, (correction,))
    _tables_of(second, tables)
    # Then only the corrections of the new process apply, also after its next updates
    assert _corrections_in(tables) == {"i-2": correction}
    later = WorkerCorrection("i-3", (HeldModel("m3"),))
    second.publish(SERVICE, 3, (correction, later))
    _tables_of(second, tables)
    assert _corrections_in(tables) == {"i-2": correction, "i-3": later}
    # And an update with a lower token has no effect
    old = PlacementNotices(lambda: None, lambda: 0.0)
    old.publish(SERVICE, 2, ())
    _tables_of(old, tables)
    assert _corrections_in(tables) == {"i-2": correction, "i-3": later}


def test_a_later_owner_replaces_all_corrections_of_the_earlier_one() -> None:
    # Given an edge that has corrections of an owner
    first = PlacementNotices(lambda: None, lambda: 0.0)
    first.publish(SERVICE, 3, (WorkerCorrection("i-1", (HeldModel("m1"),)),))
    tables = _tables_of(first)
    # When another owner, which does not have them, publishes for the first time
    second = PlacementNotices(lambda: None, lambda: 0.0)
    correction = WorkerCorrection("i-2", (HeldModel("m2"),))
    second.publish(SERVICE, 4, (correction,))
    _tables_of(second, tables)
    # Then only its own corrections apply
    assert _corrections_in(tables) == {"i-2": correction}


def test_an_edge_applies_updates_of_a_later_owner_and_ignores_an_earlier_one() -> None:
    # Given an owner that has published often, and a later one
    first = PlacementNotices(lambda: None, lambda: 0.0)
    second = PlacementNotices(lambda: None, lambda: 0.0)
    for _ in range(100):
        first.publish(SERVICE, 3, (WorkerCorrection("i-1", (HeldModel("m1"),)),))
    second.publish(SERVICE, 4, ())
    # Then an edge that has the first one's newest update lacks the second one's
    assert second.missing(first.vector())
    # And one that has the second one's ignores the first one's
    tables = _tables_of(second)
    _tables_of(first, tables)
    assert tables.snapshot.placements[SERVICE].token == 4
    assert _corrections_in(tables) == {}


class TwiceAnsweringWorker:
    """Answers a report read with 200 and an order with 409, each a second time in the place of the next."""

    def __init__(self) -> None:
        self.orders = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        surplus = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                size = int(field_of(head, b"content-length") or b"0")
                await reader.readexactly(size)
                is_order = head.startswith(b"POST /order")
                self.orders += is_order
                report = b"" if is_order else b'{"models":[],"busy":false,"callSeq":0}'
                status = b"409 Conflict" if is_order else b"200 OK"
                answer = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(report), report)
                writer.write(surplus + answer)
                surplus = answer
        writer.close()


# Guards against CEILING: the second copy of a worker's answer passes for the answer to the next order on its
# connection, which then counts as not begun and is not held against the rate of loads.
def test_given_answers_that_come_twice_then_an_order_gets_its_own() -> None:
    async def scenario() -> None:
        twice = TwiceAnsweringWorker()
        server = await asyncio.start_server(twice.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        worker_record = record(f"{host}:{port}")
        sessions = open_worker_sessions()
        clock = asyncio.get_running_loop().time
        ports = Ports(worker_record, catalogue())
        executor = PlacementExecutor(SERVICE, Lease(), ports, Bounds(), sessions, clock)
        order = Order(worker_record.instance, worker_record.address, Operation.LOAD, "m1", "", 0)
        for _ in range(3):
            report = await executor._read_report(ReadReport(order.instance, order.address))
            assert report is not None and report.revision == 0
            assert await executor._send_order(order) is OrderAnswer.CONFLICT
        assert twice.orders == 3
        await sessions.close()
        server.close()

    run_scenario(scenario)


# Guards against CEILING: a client's surplus answer passes for the answer to an order, which then counts as
# not begun, or for a report.
def test_given_an_answer_to_a_clients_request_then_it_is_none_to_an_order_or_a_report() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        report = b'{"models":[],"busy":false,"callSeq":0}'
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(int(field_of(head, b"content-length") or b"0"))
                status = b"409 Conflict" if head.startswith(b"POST") else b"200 OK"
                named = b"HTTP/1.1 %s\r\nX-Attempt-Id: a1\r\nContent-Length: %d\r\n\r\n"
                writer.write(named % (status, len(report)) + report)
        writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        worker_record = record(f"{host}:{port}")
        sessions = open_worker_sessions()
        clock = asyncio.get_running_loop().time
        ports = Ports(worker_record, catalogue())
        executor = PlacementExecutor(SERVICE, Lease(), ports, Bounds(), sessions, clock)
        order = Order(worker_record.instance, worker_record.address, Operation.LOAD, "m1", "", 0)
        assert await executor._read_report(ReadReport(order.instance, order.address)) is None
        assert await executor._send_order(order) is OrderAnswer.UNANSWERED
        await sessions.close()
        server.close()

    run_scenario(scenario)


@pytest.mark.parametrize(("step_s", "expected_pause_s"), [(0.01, 0.03), (1.0, 0.05)])
def test_long_steps_are_followed_by_a_pause(step_s: float, expected_pause_s: float) -> None:
    async def scenario() -> None:
        # Given a clock that only steps advance, and an executor that is woken all the time
        now_s, steps = 0.0, 0
        pauses: list[float] = []
        session = open_worker_sessions()
        ports = Ports(record(), catalogue())
        executor = PlacementExecutor(SERVICE, Lease(), ports, Bounds(), session, lambda: now_s)

        def step() -> None:
            nonlocal now_s, steps
            now_s += step_s
            steps += 1
            executor.wake()

        async def record_pause(pause_s: float) -> None:
            pauses.append(pause_s)
            if steps >= 20:
                raise asyncio.CancelledError

        # When it runs
        with (
            patch.object(executor, "_step", step),
            patch.object(asyncio, "sleep", record_pause),
            contextlib.suppress(asyncio.CancelledError),
        ):
            await executor.run()
        # Then each step is followed by a pause of three times its length, up to the limit
        assert pauses == [pytest.approx(expected_pause_s)] * 20
        await session.close()

    run_scenario(scenario)
