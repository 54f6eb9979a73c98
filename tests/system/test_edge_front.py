"""The clients' connections of an edge on loopback: timeouts, draining and shutdown."""

from __future__ import annotations

import asyncio

import pytest

from arrowfold.dataplane.front import ClientConnection
from tests.system.edge_loopback import (
    LoopbackEdge,
    RawExchange,
    edge_with,
    field_of,
    plain,
    request_bytes,
    run_on_loopback,
)


def test_answers_after_the_begin_of_draining_close_their_connections() -> None:
    async def scenario() -> None:
        edge, _ = await edge_with(plain)
        assert edge.front is not None
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        assert field_of((await client.read()).head, b"connection") is None
        edge.front.begin_draining()
        await client.send(request_bytes("/pay/1", "a2"))
        assert field_of((await client.read()).head, b"connection") == b"close"
        new_client = await edge.client()
        await new_client.send(request_bytes("/pay/1", "a3"))
        assert (await new_client.read()).status == 200
        await edge.stop()

    run_on_loopback(scenario)


def test_stopping_waits_for_requests_in_flight() -> None:
    async def slow(exchange: RawExchange) -> None:
        await asyncio.sleep(0.3)
        await exchange.answer()

    async def scenario() -> None:
        edge, _ = await edge_with(slow)
        assert edge.front is not None
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(edge.front.stop(5.0))
        answer = await client.read()
        assert answer.status == 200 and answer.complete
        await stopping
        await edge.stop()

    run_on_loopback(scenario)


def test_stopping_closes_idle_connections() -> None:
    async def scenario() -> None:
        edge, _ = await edge_with(plain)
        assert edge.front is not None
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        assert (await client.read()).status == 200
        await edge.front.stop(5.0)
        assert await client.reader.read() == b""

    run_on_loopback(scenario)


def test_a_request_that_arrives_while_the_front_stops_is_answered() -> None:
    async def scenario() -> None:
        edge, worker = await edge_with(plain)
        assert edge.front is not None
        client = await edge.client()
        data = request_bytes("/pay/1", "a1", body=b"xy")
        await client.send(data[:-1])
        await asyncio.sleep(0.02)
        stopping = asyncio.create_task(edge.front.stop(5.0))
        await asyncio.sleep(0.2)
        await client.send(data[-1:])
        assert (await client.read()).status == 200
        await stopping
        assert len(worker.heads) == 1

    run_on_loopback(scenario)


def front_connection(edge: LoopbackEdge) -> ClientConnection:
    assert edge.front is not None
    (connection,) = edge.front._web.connections
    assert isinstance(connection, ClientConnection)
    return connection


@pytest.mark.parametrize(("idle_s", "closed"), [(14.9, False), (18.0, False), (19.0, True)])
def test_a_connection_may_be_idle_as_long_as_the_configuration_allows(idle_s: float, closed: bool) -> None:
    async def scenario() -> None:
        edge, _ = await edge_with(plain, idleTimeoutMs=15000, headerTimeoutMs=3000)
        assert edge.front is not None
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        assert (await client.read()).status == 200
        await asyncio.sleep(0.02)
        front_connection(edge).last_received_s -= idle_s
        edge.front.close_overdue()
        if closed:
            assert await client.reader.read() == b""
        else:
            await client.send(request_bytes("/pay/1", "a2"))
            assert (await client.read()).status == 200
        await edge.stop()

    run_on_loopback(scenario)


@pytest.mark.parametrize(("taken_s", "closed"), [(3.0, False), (4.0, True)])
def test_a_head_must_arrive_within_the_header_timeout(taken_s: float, closed: bool) -> None:
    async def scenario() -> None:
        edge, _ = await edge_with(plain, idleTimeoutMs=15000, headerTimeoutMs=3000)
        assert edge.front is not None
        client = await edge.client()
        data = request_bytes("/pay/1", "a1")
        await client.send(data[:20])
        await asyncio.sleep(0.05)
        connection = front_connection(edge)
        assert connection.head_started_s is not None
        connection.head_started_s -= taken_s
        edge.front.close_overdue()
        if closed:
            assert await client.reader.read() == b""
        else:
            await client.send(data[20:])
            assert (await client.read()).status == 200
        await edge.stop()

    run_on_loopback(scenario)


def test_a_connection_with_an_active_request_is_never_overdue() -> None:
    async def slow(exchange: RawExchange) -> None:
        await asyncio.sleep(0.2)
        await exchange.answer()

    async def scenario() -> None:
        edge, _ = await edge_with(slow, idleTimeoutMs=15000, headerTimeoutMs=3000)
        assert edge.front is not None
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        await asyncio.sleep(0.05)
        front_connection(edge).last_received_s -= 100
        edge.front.close_overdue()
        assert (await client.read()).status == 200
        await edge.stop()

    run_on_loopback(scenario)


def test_a_body_that_arrives_after_its_head_is_not_the_head_of_a_next_request() -> None:
    async def scenario() -> None:
        # Given a request whose body arrives apart from its head, and its answer
        edge, _ = await edge_with(plain, idleTimeoutMs=15000, headerTimeoutMs=3000)
        assert edge.front is not None
        client = await edge.client()
        data = request_bytes("/pay/1", "a1", body=b"in two parts")
        await client.send(data[:-8])
        await asyncio.sleep(0.05)
        await client.send(data[-8:])
        assert (await client.read()).status == 200
        await asyncio.sleep(0.02)
        connection = front_connection(edge)
        # Then no further request counts as started
        assert connection.head_started_s is None
        # And the connection may be idle for longer than the header timeout
        connection.last_received_s -= 10
        edge.front.close_overdue()
        await client.send(request_bytes("/pay/1", "a2"))
        assert (await client.read()).status == 200
        await edge.stop()

    run_on_loopback(scenario)
