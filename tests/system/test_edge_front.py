"""The clients' connections of an edge: limits of time, and the end of the process, on loopback."""

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
    play,
    request_bytes,
)


def test_after_draining_begins_answers_tell_clients_to_close() -> None:
    async def story() -> None:
        edge, _ = await edge_with(plain)
        assert edge.front is not None
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        assert field_of((await client.read()).head, b"connection") is None
        edge.front.begin_draining()
        await client.send(request_bytes("/pay/1", "a2"))
        assert field_of((await client.read()).head, b"connection") == b"close"
        newcomer = await edge.client()
        await newcomer.send(request_bytes("/pay/1", "a3"))
        assert (await newcomer.read()).status == 200
        await edge.stop()

    play(story)


def test_stopping_waits_for_requests_in_flight() -> None:
    async def slow(exchange: RawExchange) -> None:
        await asyncio.sleep(0.3)
        await exchange.answer()

    async def story() -> None:
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

    play(story)


def test_stopping_closes_connections_that_rest() -> None:
    async def story() -> None:
        edge, _ = await edge_with(plain)
        assert edge.front is not None
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        assert (await client.read()).status == 200
        await edge.front.stop(5.0)
        assert await client.reader.read() == b""

    play(story)


def test_a_request_that_comes_while_the_front_ends_is_answered() -> None:
    async def story() -> None:
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

    play(story)


def front_connection(edge: LoopbackEdge) -> ClientConnection:
    assert edge.front is not None
    (connection,) = edge.front._web.connections
    assert isinstance(connection, ClientConnection)
    return connection


@pytest.mark.parametrize(("rested_s", "closed"), [(14.9, False), (18.0, False), (19.0, True)])
def test_a_connection_may_rest_as_long_as_the_configuration_allows(rested_s: float, closed: bool) -> None:
    async def story() -> None:
        edge, _ = await edge_with(plain, idleTimeoutMs=15000, headerTimeoutMs=3000)
        assert edge.front is not None
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        assert (await client.read()).status == 200
        await asyncio.sleep(0.02)
        front_connection(edge).last_received_s -= rested_s
        edge.front.close_overdue()
        if closed:
            assert await client.reader.read() == b""
        else:
            await client.send(request_bytes("/pay/1", "a2"))
            assert (await client.read()).status == 200
        await edge.stop()

    play(story)


@pytest.mark.parametrize(("taken_s", "closed"), [(3.0, False), (4.0, True)])
def test_a_head_must_come_within_its_time(taken_s: float, closed: bool) -> None:
    async def story() -> None:
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

    play(story)


def test_a_request_under_way_is_never_overdue() -> None:
    async def slow(exchange: RawExchange) -> None:
        await asyncio.sleep(0.2)
        await exchange.answer()

    async def story() -> None:
        edge, _ = await edge_with(slow, idleTimeoutMs=15000, headerTimeoutMs=3000)
        assert edge.front is not None
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        await asyncio.sleep(0.05)
        front_connection(edge).last_received_s -= 100
        edge.front.close_overdue()
        assert (await client.read()).status == 200
        await edge.stop()

    play(story)


def test_a_body_that_comes_after_its_head_is_not_the_head_of_a_next_request() -> None:
    async def story() -> None:
        # Given a request whose body comes by itself, and its answer
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
        # Then nothing is taken to be on its way
        assert connection.head_started_s is None
        # And the connection may rest for longer than a head may take
        connection.last_received_s -= 10
        edge.front.close_overdue()
        await client.send(request_bytes("/pay/1", "a2"))
        assert (await client.read()).status == 200
        await edge.stop()

    play(story)
