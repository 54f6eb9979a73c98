"""The HTTP edges of an edge node, on loopback: bytes in every shape that clients and workers may send."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import uvloop

from arrowfold.dataplane.front import ClientConnection
from arrowfold.dataplane.stalled_exchanges import StalledExchangeWatch
from arrowfold.node.logs import RateLimitedLog
from tests.system.edge_loopback import SEAL, LoopbackEdge, RawExchange, RawWorker, field_of, request_bytes
from tests.system.edge_stories import route

ROUTES = [
    route("pay", "/pay/", "cards", "non_idempotent"),
    route("look", "/look/", "cards", "idempotent"),
    route("talk", "/talk/", "cards", "streaming", resumable=True),
    route("draft", "/draft/", "cards", "streaming"),
]
CHUNKED = SEAL + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


async def plain(exchange: RawExchange) -> None:
    await exchange.answer()


def stream_head(exchange: RawExchange) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s\r\n" % (exchange.attempt_id, CHUNKED)


def play(story: Callable[[], Awaitable[None]]) -> None:
    """Run a story on loopback, on the loop that the program uses, with a bound on its time."""

    async def bounded() -> None:
        async with asyncio.timeout(10):
            await story()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


def age(edge: LoopbackEdge, seconds: float, pools: bool = True) -> None:
    """Let all exchanges (and instances) have been silent for so long."""
    assert edge.connections is not None
    for pool in edge.connections.pools.values():
        pool.heard_s -= seconds if pools else 0.0
        for connection in pool.active:
            connection.heard_s -= seconds
            connection.sent_s -= seconds


async def edge_with(*scripts: Any, **limits: Any) -> tuple[LoopbackEdge, RawWorker]:
    worker = RawWorker(*scripts)
    edge = await LoopbackEdge(ROUTES, limits).start(w1=("cards", worker))
    return edge, worker


@pytest.mark.parametrize(
    "path", ["/pay/a%2Fb//c?x=%20&y", "/pay/?", "/pay/%7e/~/..;x?q=%zz#f", "/pay/%C3%A9"]
)
def test_the_raw_target_and_the_body_reach_the_worker_byte_for_byte(path: str) -> None:
    async def story() -> None:
        edge, worker = await edge_with(plain)
        client = await edge.client()
        body = bytes(range(256)) * 40
        await client.send(request_bytes(path, "a1", body=body))
        answer = await client.read()
        assert (answer.status, answer.body) == (200, b"done")
        assert field_of(answer.head, b"x-server-seal") == b"seal"
        assert worker.heads[0].split(b"\r\n")[0] == f"POST {path} HTTP/1.1".encode()
        assert worker.bodies == [body]
        await edge.stop()

    play(story)


def test_a_request_that_comes_byte_by_byte_is_served() -> None:
    async def story() -> None:
        edge, worker = await edge_with(plain)
        client = await edge.client()
        for byte in request_bytes("/pay/1", "a1", body=b"xyz"):
            await client.send(bytes([byte]))
        assert (await client.read()).status == 200
        assert worker.bodies == [b"xyz"]
        await edge.stop()

    play(story)


def test_a_chunked_request_arrives_whole() -> None:
    async def story() -> None:
        edge, worker = await edge_with(plain)
        client = await edge.client()
        head = b"POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a1\r\n"
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        await client.send(head + chunk(b"ab") + chunk(b"cd") + b"0\r\n\r\n")
        assert (await client.read()).status == 200
        assert worker.bodies == [b"abcd"]
        await edge.stop()

    play(story)


def test_a_request_without_an_id_is_answered_by_the_edge() -> None:
    async def story() -> None:
        edge, worker = await edge_with(plain)
        client = await edge.client()
        await client.send(b"POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n")
        assert (await client.read()).status == 400
        assert worker.heads == []
        await edge.stop()

    play(story)


def test_pipelined_requests_are_answered_in_turn() -> None:
    async def story() -> None:
        edge, worker = await edge_with(plain)
        client = await edge.client()
        await client.send(b"".join(request_bytes("/pay/1", f"a{n}") for n in range(5)))
        for number in range(5):
            answer = await client.read()
            assert field_of(answer.head, b"x-attempt-id") == b"a%d" % number
        assert len(worker.heads) == 5
        await edge.stop()

    play(story)


def test_connections_to_a_worker_are_used_again() -> None:
    async def story() -> None:
        edge, worker = await edge_with(plain)
        client = await edge.client()
        for number in range(5):
            await client.send(request_bytes("/pay/1", f"a{number}"))
            await client.read()
        assert worker.connections == 1
        await edge.stop()

    play(story)


def test_a_late_second_answer_reaches_nobody() -> None:
    async def twice(exchange: RawExchange) -> None:
        await exchange.answer(b"first")
        await exchange.answer(b"surplus")

    async def story() -> None:
        edge, worker = await edge_with(twice, plain)
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        assert (await client.read()).body == b"first"
        await asyncio.sleep(0.05)
        await client.send(request_bytes("/pay/1", "a2"))
        answer = await client.read()
        assert (answer.body, field_of(answer.head, b"x-attempt-id")) == (b"done", b"a2")
        assert worker.connections == 2
        await edge.stop()

    play(story)


def test_a_surplus_answer_in_the_place_of_the_next_one_is_skipped() -> None:
    async def late(exchange: RawExchange) -> None:
        surplus = exchange.answer_bytes(b"surplus").replace(exchange.attempt_id, b"other")
        await exchange.write(surplus + exchange.answer_bytes(b"own"))

    async def story() -> None:
        edge, worker = await edge_with(late, plain)
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        assert (await client.read()).body == b"own"
        await client.send(request_bytes("/pay/1", "a2"))
        assert (await client.read()).body == b"done"
        assert worker.connections == 2
        await edge.stop()

    play(story)


@pytest.mark.parametrize("spoilt", [b"garbage\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Le", b""])
def test_bytes_that_are_no_answer_never_reach_the_client(spoilt: bytes) -> None:
    async def spoil(exchange: RawExchange) -> None:
        await exchange.write(spoilt)
        exchange.writer.close()

    async def story() -> None:
        edge, _ = await edge_with(spoil)
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        answer = await client.read()
        assert answer.status == 502
        assert field_of(answer.head, b"x-server-seal") is None
        await edge.stop()

    play(story)


def test_an_answer_without_a_length_is_no_whole_answer() -> None:
    async def unbounded(exchange: RawExchange) -> None:
        await exchange.write(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n" + SEAL + b"\r\npart")
        exchange.writer.close()

    async def story() -> None:
        edge, _ = await edge_with(unbounded)
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        assert (await client.read()).status == 502
        await edge.stop()

    play(story)


def test_a_short_body_becomes_a_failure_without_seal() -> None:
    async def short(exchange: RawExchange) -> None:
        await exchange.write(exchange.answer_bytes(b"0123456789")[:-3])
        exchange.writer.close()

    async def story() -> None:
        edge, _ = await edge_with(short)
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        answer = await client.read()
        assert answer.status == 502 and field_of(answer.head, b"x-server-seal") is None
        await edge.stop()

    play(story)


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


def test_limits_of_the_configuration_hold() -> None:
    async def story() -> None:
        edge, worker = await edge_with(plain, maxHeaderBytes=400, maxBodyBytes=10)
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1", body=b"x" * 11))
        assert (await client.read()).status == 413
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1", "X-Long: " + "y" * 500))
        assert (await client.read()).status == 431
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1", "X-Long: " + "y" * 200, body=b"x" * 10))
        assert (await client.read()).status == 200
        assert len(worker.heads) == 1
        await edge.stop()

    play(story)


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


def test_a_worker_that_closes_is_not_sent_more_on_that_connection() -> None:
    async def last(exchange: RawExchange) -> None:
        await exchange.answer(headers=SEAL + b"Connection: close\r\n")

    async def story() -> None:
        edge, worker = await edge_with(last, plain)
        client = await edge.client()
        for number in range(2):
            await client.send(request_bytes("/pay/1", f"a{number}"))
            assert (await client.read()).status == 200
        assert worker.connections == 2
        await edge.stop()

    play(story)


def test_a_worker_that_resets_new_connections_did_not_run_the_request() -> None:
    async def story() -> None:
        edge, worker = await edge_with(plain)
        worker.stop()
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        answer = await client.read()
        assert answer.status == 503
        assert field_of(answer.head, b"retry-after") is not None
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
        watch.look()
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
        watch.look()
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
        watch.look()
        await asyncio.sleep(0.05)
        assert len(worker.heads) == 1
        age(edge, 0.2, pools=False)
        watch.look()
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
            pool.answered = {key: (sent_s, at_s - 1) for key, (sent_s, at_s) in pool.answered.items()}
        else:
            pool.heard_s = asyncio.get_running_loop().time()
        seen = len(worker.heads)
        StalledExchangeWatch(edge.connections, RateLimitedLog("edge")).look()
        await asyncio.sleep(0.05)
        assert len(worker.heads) == seen + overtaken
        if overtaken:
            assert (await client.read()).status == 200
        client.close()
        await edge.stop()

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
        front_connection(edge).received_s -= rested_s
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
        assert connection.coming_since_s is not None
        connection.coming_since_s -= taken_s
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
        front_connection(edge).received_s -= 100
        edge.front.close_overdue()
        assert (await client.read()).status == 200
        await edge.stop()

    play(story)
