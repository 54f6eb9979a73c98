"""Streams and stalled exchanges of an edge node, on loopback."""

from __future__ import annotations

import asyncio

import pytest

from arrowfold.dataplane.stalled_exchanges import StalledExchangeWatch
from arrowfold.node.logs import RateLimitedLog
from tests.system.edge_loopback import (
    LoopbackEdge,
    RawExchange,
    RawWorker,
    backdate_activity,
    chunk,
    edge_with,
    event,
    field_of,
    plain,
    request_bytes,
    run_on_loopback,
    stream_head,
)
from tests.system.edge_stories import route


@pytest.mark.parametrize("reset", [True, False])
def test_an_interrupted_stream_is_never_complete(reset: bool) -> None:
    async def broken(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange) + chunk(event(1)) + chunk(b"id: 2\nda"))
        await asyncio.sleep(0.05)
        if reset:
            exchange.reset()
        else:
            exchange.writer.close()

    async def scenario() -> None:
        edge, _ = await edge_with(broken)
        client = await edge.client()
        await client.send(request_bytes("/draft/1", "a1"))
        answer = await client.read()
        assert answer.status == 200
        assert answer.body == event(1)
        assert not answer.complete
        await edge.stop()

    run_on_loopback(scenario)


def test_each_event_is_forwarded_before_the_next_arrives() -> None:
    event_was_read = asyncio.Event()

    async def stepwise(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange))
        for number in range(1, 4):
            await exchange.write(chunk(event(number)))
            await event_was_read.wait()
            event_was_read.clear()
        await exchange.write(b"0\r\n\r\n")

    async def scenario() -> None:
        edge, _ = await edge_with(stepwise)
        client = await edge.client()
        await client.send(request_bytes("/talk/1", "a1"))
        await client.reader.readuntil(b"\r\n\r\n")
        for number in range(1, 4):
            assert await client.read_part() == event(number)
            event_was_read.set()
        assert await client.read_part() == b""
        await edge.stop()

    run_on_loopback(scenario)


def test_a_client_disconnect_closes_the_connection_to_the_worker() -> None:
    async def endless(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange))
        number = 0
        while True:
            number += 1
            await exchange.write(chunk(event(number)))
            await asyncio.sleep(0.01)

    async def scenario() -> None:
        edge, worker = await edge_with(endless)
        client = await edge.client()
        await client.send(request_bytes("/talk/1", "a1"))
        await client.reader.readuntil(b"\r\n\r\n")
        client.close()
        await worker.closed.wait()
        await edge.stop()

    run_on_loopback(scenario)


@pytest.mark.parametrize(("path", "is_reset"), [("/talk/1", True), ("/draft/1", False)])
def test_only_retryable_requests_are_reset_at_an_unresponsive_worker(path: str, is_reset: bool) -> None:
    async def stall_after_first_event(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange) + chunk(event(1)))
        await asyncio.sleep(5)

    async def resume_after_first_event(exchange: RawExchange) -> None:
        assert field_of(exchange.head, b"last-event-id") == b"1"
        await exchange.write(stream_head(exchange) + chunk(event(2)) + b"0\r\n\r\n")

    async def never_responsive(address: str) -> bool:
        return False

    async def scenario() -> None:
        edge, worker = await edge_with(stall_after_first_event, resume_after_first_event)
        assert edge.connections is not None
        client = await edge.client()
        await client.send(request_bytes(path, "a1"))
        await client.reader.readuntil(b"\r\n\r\n")
        assert await client.read_part() == event(1)
        watch = StalledExchangeWatch(edge.connections, RateLimitedLog("edge"), never_responsive)
        backdate_activity(edge, 1.0)
        watch.check_exchanges()
        await asyncio.sleep(0.3)  # longer than the interval at which a stream searches for a worker
        assert len(worker.heads) == (2 if is_reset else 1)
        if is_reset:
            assert await client.read_part() == event(2)
            assert await client.read_part() == b""
        client.close()
        await edge.stop()

    run_on_loopback(scenario)


def test_a_stalled_stream_is_not_reset_while_its_worker_accepts_connections() -> None:
    async def stall_after_first_event(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange) + chunk(event(1)))
        await asyncio.sleep(5)

    async def scenario() -> None:
        edge, worker = await edge_with(stall_after_first_event)
        assert edge.connections is not None
        client = await edge.client()
        await client.send(request_bytes("/talk/1", "a1"))
        await client.reader.readuntil(b"\r\n\r\n")
        watch = StalledExchangeWatch(edge.connections, RateLimitedLog("edge"))
        backdate_activity(edge, 1.0)
        watch.check_exchanges()
        await asyncio.sleep(0.1)
        assert worker.connections == 2
        assert len(edge.connections.pools["w1"].active) == 1
        client.close()
        await edge.stop()

    run_on_loopback(scenario)


def test_a_stream_that_stalls_on_one_connection_is_resumed_on_another() -> None:
    async def stall_after_first_event(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange) + chunk(event(1)))
        await asyncio.sleep(5)

    async def resume_after_first_event(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange) + chunk(event(2)) + b"0\r\n\r\n")

    async def scenario() -> None:
        edge, worker = await edge_with(stall_after_first_event, resume_after_first_event)
        assert edge.connections is not None
        client = await edge.client()
        await client.send(request_bytes("/talk/1", "a1"))
        await client.reader.readuntil(b"\r\n\r\n")
        assert await client.read_part() == event(1)
        watch = StalledExchangeWatch(edge.connections, RateLimitedLog("edge"))
        backdate_activity(edge, 1.1, pools=False)
        watch.check_exchanges()
        await asyncio.sleep(0.05)
        assert len(worker.heads) == 1
        backdate_activity(edge, 0.2, pools=False)
        watch.check_exchanges()
        assert await client.read_part() == event(2)
        assert await client.read_part() == b""
        await edge.stop()

    run_on_loopback(scenario)


@pytest.mark.parametrize("overtaken", [True, False])
def test_a_request_without_an_answer_is_retried_only_after_a_later_one_was_answered(overtaken: bool) -> None:
    async def never_answers(exchange: RawExchange) -> None:
        await asyncio.sleep(5)

    async def scenario() -> None:
        edge, worker = await edge_with(never_answers, plain)
        assert edge.connections is not None
        client = await edge.client()
        await client.send(request_bytes("/look/1", "a1"))
        await asyncio.sleep(0.05)
        backdate_activity(edge, 2.0, pools=False)
        pool = edge.connections.pools["w1"]
        if overtaken:
            other = await edge.client()
            await other.send(request_bytes("/look/2", "a2"))
            assert (await other.read()).status == 200
            pool.answered_by_priority = {
                key: (sent_s, at_s - 1) for key, (sent_s, at_s) in pool.answered_by_priority.items()
            }
        else:
            pool.last_activity_s = asyncio.get_running_loop().time()
        heads_before = len(worker.heads)
        second = RawWorker(plain)
        await edge.add_worker("w2", "cards", second)
        StalledExchangeWatch(edge.connections, RateLimitedLog("edge")).check_exchanges()
        await asyncio.sleep(0.05)
        assert len(worker.heads) == heads_before
        assert len(second.heads) == int(overtaken)
        if overtaken:
            assert (await client.read()).status == 200
        client.close()
        await edge.stop()

    run_on_loopback(scenario)


# Guards against LOST: a stream whose client reads slowly is taken for one whose worker is silent, and is
# broken off.
def test_a_stream_with_a_slow_client_is_not_taken_for_a_silent_worker() -> None:
    events = 200
    padding = b"x" * 100_000
    routes = [
        route("look", "/look/", "cards", "idempotent"),
        route("talk", "/talk/", "cards", "streaming", resumable=True, timeoutMs=60_000),
    ]

    async def write_all(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange))
        for number in range(1, events + 1):
            await exchange.write(chunk(b"id: %d\ndata: %s\n\n" % (number, padding)))
        await exchange.write(b"0\r\n\r\n")

    async def scenario() -> None:
        worker = RawWorker(write_all, plain)
        edge = await LoopbackEdge(routes).start(w1=("cards", worker))
        assert edge.connections is not None
        client = await edge.client()
        await client.send(request_bytes("/talk/1", "a1"))
        await asyncio.sleep(0.5)  # until the buffers on the way to the client are full
        other = await edge.client()
        await other.send(request_bytes("/look/1", "a2"))
        assert (await other.read()).status == 200
        backdate_activity(edge, 2.0, pools=False)
        StalledExchangeWatch(edge.connections, RateLimitedLog("edge")).check_exchanges()
        await asyncio.sleep(0.1)
        await client.reader.readuntil(b"\r\n\r\n")
        received = 0
        while part := await client.read_part():
            received += part.count(b"id: ")
        assert received == events
        assert len(worker.heads) == 2
        await edge.stop()

    run_on_loopback(scenario)
