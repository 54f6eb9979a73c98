"""Streams and stalled exchanges of an edge node, on loopback."""

from __future__ import annotations

import asyncio

import pytest

from arrowfold.dataplane.stalled_exchanges import StalledExchangeWatch
from arrowfold.node.logs import RateLimitedLog
from tests.system.edge_loopback import (
    RawExchange,
    age,
    chunk,
    edge_with,
    event,
    field_of,
    plain,
    play,
    request_bytes,
    stream_head,
)


@pytest.mark.parametrize("reset", [True, False])
def test_a_stream_that_breaks_off_is_never_complete(reset: bool) -> None:
    async def broken(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange) + chunk(event(1)) + chunk(b"id: 2\nda"))
        await asyncio.sleep(0.05)
        if reset:
            exchange.reset()
        else:
            exchange.writer.close()

    async def story() -> None:
        edge, _ = await edge_with(broken)
        client = await edge.client()
        await client.send(request_bytes("/draft/1", "a1"))
        answer = await client.read()
        assert answer.status == 200
        assert answer.body == event(1)
        assert not answer.complete
        await edge.stop()

    play(story)


def test_each_event_is_passed_on_before_the_next_comes() -> None:
    turn = asyncio.Event()

    async def stepwise(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange))
        for number in range(1, 4):
            await exchange.write(chunk(event(number)))
            await turn.wait()
            turn.clear()
        await exchange.write(b"0\r\n\r\n")

    async def story() -> None:
        edge, _ = await edge_with(stepwise)
        client = await edge.client()
        await client.send(request_bytes("/talk/1", "a1"))
        await client.reader.readuntil(b"\r\n\r\n")
        for number in range(1, 4):
            assert await client.read_part() == event(number)
            turn.set()
        assert await client.read_part() == b""
        await edge.stop()

    play(story)


def test_a_client_that_leaves_closes_the_connection_to_the_worker() -> None:
    async def endless(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange))
        number = 0
        while True:
            number += 1
            await exchange.write(chunk(event(number)))
            await asyncio.sleep(0.01)

    async def story() -> None:
        edge, worker = await edge_with(endless)
        client = await edge.client()
        await client.send(request_bytes("/talk/1", "a1"))
        await client.reader.readuntil(b"\r\n\r\n")
        client.close()
        await worker.closed.wait()
        await edge.stop()

    play(story)


@pytest.mark.parametrize(("path", "broken_off"), [("/talk/1", True), ("/draft/1", False)])
def test_only_what_may_run_again_is_broken_off_at_a_dark_worker(path: str, broken_off: bool) -> None:
    async def stalls(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange) + chunk(event(1)))
        await asyncio.sleep(5)

    async def goes_on(exchange: RawExchange) -> None:
        assert field_of(exchange.head, b"last-event-id") == b"1"
        await exchange.write(stream_head(exchange) + chunk(event(2)) + b"0\r\n\r\n")

    async def dark(address: str) -> bool:
        return False

    async def story() -> None:
        edge, worker = await edge_with(stalls, goes_on)
        assert edge.connections is not None
        client = await edge.client()
        await client.send(request_bytes(path, "a1"))
        await client.reader.readuntil(b"\r\n\r\n")
        assert await client.read_part() == event(1)
        watch = StalledExchangeWatch(edge.connections, RateLimitedLog("edge"), dark)
        age(edge, 1.0)
        watch.check_exchanges()
        await asyncio.sleep(0.3)  # longer than the pause before a stream looks for a worker again
        assert len(worker.heads) == (2 if broken_off else 1)
        if broken_off:
            assert await client.read_part() == event(2)
            assert await client.read_part() == b""
        client.close()
        await edge.stop()

    play(story)


def test_a_silent_worker_that_accepts_connections_is_left_alone() -> None:
    async def stalls(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange) + chunk(event(1)))
        await asyncio.sleep(5)

    async def story() -> None:
        edge, worker = await edge_with(stalls)
        assert edge.connections is not None
        client = await edge.client()
        await client.send(request_bytes("/talk/1", "a1"))
        await client.reader.readuntil(b"\r\n\r\n")
        watch = StalledExchangeWatch(edge.connections, RateLimitedLog("edge"))
        age(edge, 1.0)
        watch.check_exchanges()
        await asyncio.sleep(0.1)
        assert worker.connections == 2
        assert len(edge.connections.pools["w1"].active) == 1
        client.close()
        await edge.stop()

    play(story)


def test_a_stream_that_stalls_alone_moves_on() -> None:
    async def stalls(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange) + chunk(event(1)))
        await asyncio.sleep(5)

    async def goes_on(exchange: RawExchange) -> None:
        await exchange.write(stream_head(exchange) + chunk(event(2)) + b"0\r\n\r\n")

    async def story() -> None:
        edge, worker = await edge_with(stalls, goes_on)
        assert edge.connections is not None
        client = await edge.client()
        await client.send(request_bytes("/talk/1", "a1"))
        await client.reader.readuntil(b"\r\n\r\n")
        assert await client.read_part() == event(1)
        watch = StalledExchangeWatch(edge.connections, RateLimitedLog("edge"))
        age(edge, 1.1, pools=False)
        watch.check_exchanges()
        await asyncio.sleep(0.05)
        assert len(worker.heads) == 1
        age(edge, 0.2, pools=False)
        watch.check_exchanges()
        assert await client.read_part() == event(2)
        assert await client.read_part() == b""
        await edge.stop()

    play(story)


@pytest.mark.parametrize("overtaken", [True, False])
def test_a_request_without_an_answer_moves_only_once_a_later_one_was_answered(overtaken: bool) -> None:
    async def mute(exchange: RawExchange) -> None:
        await asyncio.sleep(5)

    async def story() -> None:
        edge, worker = await edge_with(mute, plain)
        assert edge.connections is not None
        client = await edge.client()
        await client.send(request_bytes("/look/1", "a1"))
        await asyncio.sleep(0.05)
        age(edge, 2.0, pools=False)
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
        seen = len(worker.heads)
        StalledExchangeWatch(edge.connections, RateLimitedLog("edge")).check_exchanges()
        await asyncio.sleep(0.05)
        assert len(worker.heads) == seen + overtaken
        if overtaken:
            assert (await client.read()).status == 200
        client.close()
        await edge.stop()

    play(story)
