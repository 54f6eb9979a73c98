"""Requests that arrive, or are in progress, while an edge process ends."""

from __future__ import annotations

import asyncio
import socket
from unittest.mock import patch

from arrowfold.dataplane.end_schedule import plan_end_after_listening
from arrowfold.dataplane.front import MIN_INPUT_PAUSE_S, ClientConnection
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
    request_bytes,
    run_on_loopback,
    stream_head,
)
from tests.system.edge_stories import ROUTES, EdgeHarness, answers, events, whole, worker
from tests.system.virtual_time import run_virtual

GAPS_S = (0.0, 0.003, 0.02, 0.05, 0.09)  # from the end of an answer to the next request on its connection
STREAM_S = 1.2
PROCESS_END_S = 2.0  # from the stop of the front to the end of its process
LONG_DEADLINE = "X-Deadline-Ms: 60000"


async def streaming(exchange: RawExchange) -> None:
    """Answer with a stream of two events that takes STREAM_S."""
    await exchange.write(stream_head(exchange) + chunk(event(1)))
    await asyncio.sleep(STREAM_S)
    await exchange.write(chunk(event(2)) + b"0\r\n\r\n")


async def never_answers(exchange: RawExchange) -> None:
    """Send no answer for longer than any test lasts."""
    await asyncio.sleep(60)


def is_shutdown_refusal(answer: RawAnswer) -> bool:
    """Whether the answer is a SHUTTING_DOWN refusal with Retry-After that closes the connection."""
    code = b'"code":%d' % ResultCode.SHUTTING_DOWN
    retry = field_of(answer.head, b"retry-after")
    closes = field_of(answer.head, b"connection") == b"close"
    return answer.status == 503 and code in answer.body and retry is not None and closes


async def begin_stream(client: RawClient) -> None:
    """Request a stream, and wait for the head of its answer."""
    await client.send(request_bytes("/draft/1", "a1", LONG_DEADLINE))
    head = await client.reader.readuntil(b"\r\n\r\n")
    assert field_of(head, b"connection") != b"close"


async def read_stream(client: RawClient) -> None:
    """Read the complete body of the answer that `streaming` sends."""
    assert [await client.read_part() for _ in range(3)] == [event(1), event(2), b""]


async def start_ending(edge: LoopbackEdge) -> asyncio.Task[None]:
    """Stop the edge's front; the end of its process is planned PROCESS_END_S later."""
    assert edge.front is not None
    edge.front.begin_draining()
    return asyncio.create_task(edge.front.stop(PROCESS_END_S))


def test_given_a_request_after_a_stream_that_outlasted_the_listener_then_it_is_not_forwarded() -> None:
    async def is_played(gap_s: float) -> bool:
        """Returns whether the client kept the gap; after a longer pause the edge may close the connection."""
        # Given a stream that began before the edge began to end
        edge, worker = await edge_with(streaming)
        client = await edge.client()
        await begin_stream(client)
        stopping = await start_ending(edge)
        await read_stream(client)
        ended_s = asyncio.get_running_loop().time()
        # When its client sends the next request on the same connection, with a deadline after the end
        await asyncio.sleep(gap_s)
        await client.send(request_bytes("/draft/2", "a2", LONG_DEADLINE))
        was_gap_kept = asyncio.get_running_loop().time() - ended_s < MIN_INPUT_PAUSE_S
        # Then it reaches no worker and is refused immediately
        answer = await _answer_of(client)
        assert len(worker.heads) == 1
        assert is_shutdown_refusal(answer) if answer is not None else not was_gap_kept
        await stopping
        await edge.stop()
        return was_gap_kept

    async def play(gap_s: float) -> None:
        while not await is_played(gap_s):
            pass

    async def scenario() -> None:
        await asyncio.gather(*(play(gap_s) for gap_s in GAPS_S))

    run_on_loopback(scenario)


# Guards against LOST: a process that stood still between reading a request and starting its handler takes the
# connection for idle, and closes it without an answer.
def test_given_a_pause_of_the_process_after_a_request_was_read_then_it_is_answered() -> None:
    async def scenario() -> None:
        original = ClientConnection.data_received
        checks: list[asyncio.Task[None]] = []

        def data_received(connection: ClientConnection, data: bytes) -> None:
            is_next = front is not None and b"a2" in data
            if is_next:
                checks.append(asyncio.create_task(front._close_idle()))
            original(connection, data)
            if is_next:
                connection.last_received_s -= 2 * MIN_INPUT_PAUSE_S

        # Given an ending edge with an idle connection
        edge, _ = await edge_with(streaming, plain)
        front = edge.front
        with patch.object(ClientConnection, "data_received", data_received):
            client = await edge.client()
            await begin_stream(client)
            stopping = await start_ending(edge)
            await read_stream(client)
            # When the process stands still after it has read the next request
            await client.send(request_bytes("/pay/2", "a2", "X-Deadline-Ms: 300"))
            answer = await _answer_of(client)
        # Then it is answered all the same
        assert answer is not None and answer.status == 200
        assert checks
        await stopping
        await edge.stop()

    run_on_loopback(scenario)


def test_given_a_body_that_ends_while_the_process_ends_then_the_request_is_not_forwarded() -> None:
    async def scenario() -> None:
        # Given a request whose head arrived before the edge began to end
        edge, worker = await edge_with(plain)
        client = await edge.client()
        data = request_bytes("/draft/1", "a1", LONG_DEADLINE, body=b"xy")
        await client.send(data[:-1])
        await asyncio.sleep(0.05)
        stopping = await start_ending(edge)
        # When its last byte arrives after the grace period
        await asyncio.sleep(1.5)
        await client.send(data[-1:])
        # Then it is refused without having run
        assert is_shutdown_refusal(await client.read())
        assert not worker.heads
        await stopping
        await edge.stop()

    run_on_loopback(scenario)


async def _answer_of(client: RawClient) -> RawAnswer | None:
    try:
        return await client.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def test_given_a_worker_that_has_not_answered_when_the_process_ends_then_its_client_gets_an_answer() -> None:
    async def scenario() -> None:
        # Given a request whose worker does not answer before the end of the process
        edge, worker = await edge_with(never_answers)
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1", LONG_DEADLINE))
        await asyncio.sleep(0.05)
        # When the process ends
        stopping = await start_ending(edge)
        # Then its client gets an answer which states that the request may have run
        answer = await _answer_of(client)
        assert answer is not None and answer.status == 502 and answer.complete
        assert len(worker.heads) == 1
        await stopping
        await edge.stop()

    run_on_loopback(scenario)


def test_given_a_deadline_before_the_end_of_the_process_then_a_late_request_is_served_and_closes() -> None:
    async def scenario() -> None:
        # Given a stream that outlasted the listener
        edge, worker = await edge_with(streaming, plain)
        client = await edge.client()
        await begin_stream(client)
        stopping = await start_ending(edge)
        await read_stream(client)
        # When the deadline of the next request is before the end of the process
        await client.send(request_bytes("/pay/2", "a2", "X-Deadline-Ms: 300"))
        # Then it is served, and its connection is closed afterwards
        answer = await client.read()
        assert answer.status == 200 and answer.complete
        assert field_of(answer.head, b"connection") == b"close"
        assert len(worker.heads) == 2
        await stopping
        await edge.stop()

    run_on_loopback(scenario)


def test_given_an_answer_that_starts_after_draining_began_then_its_connection_is_closed() -> None:
    async def slow(exchange: RawExchange) -> None:
        await asyncio.sleep(0.2)
        await exchange.answer()

    async def scenario() -> None:
        # Given a request that was read before the edge began to end
        edge, _ = await edge_with(slow)
        assert edge.front is not None
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        await asyncio.sleep(0.05)
        # When its answer starts afterwards
        edge.front.begin_draining()
        # Then the answer closes the connection
        assert field_of((await client.read()).head, b"connection") == b"close"
        await edge.stop()

    run_on_loopback(scenario)


def test_given_a_request_that_waits_for_its_model_when_the_process_ends_then_it_is_refused() -> None:
    async def scenario() -> None:
        # Given a request that waits for a model that no worker has loaded
        edge = EdgeHarness(ROUTES, ())
        waiting = asyncio.create_task(edge.ask("/talk/1"))
        await asyncio.sleep(0.01)
        # When the process is to end before the wait
        edge.process_end.plan(plan_end_after_listening(0.3))
        answer = await waiting
        # Then the client gets a refusal with Retry-After before the end
        assert answer.status == 503 and answer.header("Retry-After") is not None
        assert b"%d" % ResultCode.SHUTTING_DOWN in answer.body
        assert answer.ended_s <= 0.3

    run_virtual(scenario())


def test_given_a_planned_end_then_after_the_grace_period_only_earlier_deadlines_are_admitted() -> None:
    async def scenario() -> None:
        # Given an edge whose process ends in four seconds
        edge = EdgeHarness(ROUTES, (worker("w1", "cards"),))
        edge.workers.scripts["w1"] = answers(whole())
        edge.process_end.plan(plan_end_after_listening(4.0))
        # Then requests within the grace period are admitted whatever their deadline is
        assert (await edge.ask("/pay/1")).status == 200
        # And later ones only if their deadline is before the end
        await asyncio.sleep(0.6)
        assert (await edge.ask("/pay/1", (b"X-Deadline-Ms", b"3000"))).status == 200
        assert (await edge.ask("/pay/1", (b"X-Deadline-Ms", b"3900"))).status == 503
        assert len(edge.workers.arrivals) == 2

    run_virtual(scenario())


def test_given_a_stream_in_progress_when_the_process_ends_then_it_is_aborted() -> None:
    async def scenario() -> None:
        # Given a stream that lasts beyond the end of the process
        edge = EdgeHarness(ROUTES, (worker("w1", "models"),))
        edge.workers.scripts["w1"] = answers(events(1, 50, pause_s=0.1))
        stream_task = asyncio.create_task(edge.ask("/draft/1"))
        await asyncio.sleep(0.5)
        edge.process_end.plan(plan_end_after_listening(1.0))
        # Then it continues until the end, and is aborted there
        answer = await stream_task
        assert answer.aborted and not answer.complete
        assert answer.ended_s >= 1.3

    run_virtual(scenario())


# Guards against LOST: connections that waited while the program loaded are reset, with their requests unread,
# if the signal to end came meanwhile.
def test_given_requests_that_waited_for_an_ending_process_then_they_are_answered() -> None:
    async def scenario() -> None:
        # Given an edge that has just begun to listen, and requests that waited for it
        edge, worker = await edge_with(plain)
        assert edge.front is not None
        host, port = edge.address.rsplit(":", 1)
        clients = []
        for number in range(20):
            connection = socket.create_connection((host, int(port)))
            connection.sendall(request_bytes("/pay/1", f"a{number}", LONG_DEADLINE))
            clients.append(connection)
        # When its end begins before it has looked at its listener
        await edge.front.stop(PROCESS_END_S)
        # Then each is answered
        for connection in clients:
            connection.settimeout(5)
            assert connection.recv(4096).startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 "))
            connection.close()
        assert len(worker.heads) > len(clients) // 2
        await edge.stop()

    run_on_loopback(scenario)


# Guards against LOST: a request that waits for the first configuration is cut at the end of the process.
def test_given_a_request_without_a_configuration_when_the_process_ends_then_it_is_refused() -> None:
    async def scenario() -> None:
        edge = EdgeHarness()
        waiting = asyncio.create_task(edge.ask("/pay/1"))
        await asyncio.sleep(0.1)
        edge.process_end.plan(plan_end_after_listening(0.3))
        await asyncio.sleep(0.25)
        assert waiting.done()
        assert (await waiting).status == 503

    run_virtual(scenario())
