"""What becomes of requests that come, or are under way, while an edge process ends, on loopback."""

from __future__ import annotations

import asyncio

from arrowfold.node.result_codes import ResultCode
from tests.system.edge_loopback import (
    LoopbackEdge,
    RawAnswer,
    RawClient,
    RawExchange,
    chunk,
    edge_with,
    event,
    field_of,
    plain,
    play,
    request_bytes,
    stream_head,
)
from tests.system.edge_stories import ROUTES, EdgeStory, answers, events, whole, worker
from tests.system.virtual_time import run_virtual

GAPS_S = (0.0, 0.003, 0.02, 0.05, 0.09)  # from the end of an answer to the next request of its connection
STREAM_S = 1.2
ENDS_S = 2.0  # from the moment at which the front stops until its process ends
LONG_MS = "X-Deadline-Ms: 60000"


async def streaming(exchange: RawExchange) -> None:
    """A stream of two events that takes STREAM_S."""
    await exchange.write(stream_head(exchange) + chunk(event(1)))
    await asyncio.sleep(STREAM_S)
    await exchange.write(chunk(event(2)) + b"0\r\n\r\n")


async def silent(exchange: RawExchange) -> None:
    """No answer, for longer than any test lasts."""
    await asyncio.sleep(60)


def is_refused(answer: RawAnswer) -> bool:
    """Whether it says: not run, come back, on another connection."""
    code = b'"code":%d' % ResultCode.SHUTTING_DOWN
    retry = field_of(answer.head, b"retry-after")
    closes = field_of(answer.head, b"connection") == b"close"
    return answer.status == 503 and code in answer.body and retry is not None and closes


async def ending_edge(edge: LoopbackEdge) -> asyncio.Task[None]:
    """Tell the edge to end; its front stops at once, and the process would end ENDS_S later."""
    assert edge.front is not None
    edge.front.begin_draining()
    return asyncio.create_task(edge.front.stop(ENDS_S))


def test_given_a_request_right_after_a_stream_that_outlived_the_listener_then_it_is_not_sent_on() -> None:
    async def next_request(gap_s: float) -> None:
        # Given a stream that began before the edge was told to end
        edge, worker = await edge_with(streaming)
        client = await edge.client()
        await client.send(request_bytes("/draft/1", "a1", LONG_MS))
        await asyncio.sleep(0.05)
        stopping = await ending_edge(edge)
        assert (await client.read()).complete
        # When its client sends the next request on the same connection, with more time than the process has
        await asyncio.sleep(gap_s)
        await client.send(request_bytes("/draft/2", "a2", LONG_MS))
        # Then no worker sees it, and it is refused at once
        assert is_refused(await client.read())
        assert len(worker.heads) == 1
        await stopping
        await edge.stop()

    async def story() -> None:
        await asyncio.gather(*(next_request(gap_s) for gap_s in GAPS_S))

    play(story)


def test_given_a_body_that_ends_while_the_process_ends_then_the_request_is_not_sent_on() -> None:
    async def story() -> None:
        # Given a request whose head came before the edge was told to end
        edge, worker = await edge_with(plain)
        client = await edge.client()
        data = request_bytes("/draft/1", "a1", LONG_MS, body=b"xy")
        await client.send(data[:-1])
        await asyncio.sleep(0.05)
        stopping = await ending_edge(edge)
        # When its last byte comes late
        await asyncio.sleep(1.5)
        await client.send(data[-1:])
        # Then it is refused, unrun
        assert is_refused(await client.read())
        assert not worker.heads
        await stopping
        await edge.stop()

    play(story)


async def _answer_of(client: RawClient) -> RawAnswer | None:
    try:
        return await client.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def test_given_a_worker_that_is_still_at_work_when_the_process_ends_then_its_client_gets_an_answer() -> None:
    async def story() -> None:
        # Given a request whose worker does not answer for longer than the process has
        edge, worker = await edge_with(silent)
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1", LONG_MS))
        await asyncio.sleep(0.05)
        # When the process ends
        stopping = await ending_edge(edge)
        # Then its client is told that it may have run, rather than nothing
        answer = await _answer_of(client)
        assert answer is not None and answer.status == 502 and answer.complete
        assert len(worker.heads) == 1
        await stopping
        await edge.stop()

    play(story)


def test_given_a_deadline_before_the_end_of_the_process_then_a_late_request_is_served_and_closes() -> None:
    async def story() -> None:
        # Given a stream that outlived the listener
        edge, worker = await edge_with(streaming, plain)
        client = await edge.client()
        await client.send(request_bytes("/draft/1", "a1", LONG_MS))
        await asyncio.sleep(0.05)
        stopping = await ending_edge(edge)
        assert (await client.read()).complete
        # When the next request's own time ends before the process
        await client.send(request_bytes("/pay/2", "a2", "X-Deadline-Ms: 300"))
        # Then it is served, and its client is told to go elsewhere afterwards
        answer = await client.read()
        assert answer.status == 200 and answer.complete
        assert field_of(answer.head, b"connection") == b"close"
        assert len(worker.heads) == 2
        await stopping
        await edge.stop()

    play(story)


def test_given_an_answer_that_begins_after_draining_began_then_it_tells_its_client_to_close() -> None:
    async def slow(exchange: RawExchange) -> None:
        await asyncio.sleep(0.2)
        await exchange.answer()

    async def story() -> None:
        # Given a request that was read before the edge was told to end
        edge, _ = await edge_with(slow)
        assert edge.front is not None
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        await asyncio.sleep(0.05)
        # When its answer begins afterwards
        edge.front.begin_draining()
        # Then it says that the connection ends with it
        assert field_of((await client.read()).head, b"connection") == b"close"
        await edge.stop()

    play(story)


def test_given_a_request_that_waits_for_its_model_when_the_process_ends_then_it_is_refused_unrun() -> None:
    async def story() -> None:
        # Given an edge on which nobody holds the model, and a request that waits for it
        edge = EdgeStory(ROUTES, ())
        waiting = asyncio.create_task(edge.ask("/talk/1"))
        await asyncio.sleep(0.01)
        # When the process is to end before the wait does
        edge.process_end.plan(edge.loop.time() + 0.3)
        answer = await waiting
        # Then the client is told to come back elsewhere, before the end
        assert answer.status == 503 and answer.header("Retry-After") is not None
        assert b"%d" % ResultCode.SHUTTING_DOWN in answer.body
        assert answer.ended_s <= 0.3

    run_virtual(story())


def test_given_a_planned_end_then_only_what_ends_before_it_is_sent_on_once_the_crossing_time_is_over() -> (
    None
):
    async def story() -> None:
        # Given an edge whose process ends in four seconds
        edge = EdgeStory(ROUTES, (worker("w1", "cards"),))
        edge.workers.scripts["w1"] = answers(whole())
        edge.process_end.plan(edge.loop.time() + 4.0)
        # Then requests that were on their way are taken whatever their deadline is
        assert (await edge.ask("/pay/1")).status == 200
        # And later ones only if their deadline comes first
        await asyncio.sleep(0.6)
        assert (await edge.ask("/pay/1", (b"X-Deadline-Ms", b"3000"))).status == 200
        assert (await edge.ask("/pay/1", (b"X-Deadline-Ms", b"3900"))).status == 503
        assert len(edge.workers.arrivals) == 2

    run_virtual(story())


def test_given_a_stream_under_way_when_the_process_ends_then_it_is_broken_off_and_never_looks_whole() -> None:
    async def story() -> None:
        # Given a stream that lasts longer than the process
        edge = EdgeStory(ROUTES, (worker("w1", "models"),))
        edge.workers.scripts["w1"] = answers(events(1, 50, pause_s=0.1))
        streaming_on = asyncio.create_task(edge.ask("/draft/1"))
        await asyncio.sleep(0.5)
        edge.process_end.plan(edge.loop.time() + 1.0)
        # Then it goes on until the end, and is broken off there
        answer = await streaming_on
        assert answer.aborted and not answer.complete
        assert answer.ended_s >= 1.3

    run_virtual(story())
