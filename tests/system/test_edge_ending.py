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
