"""Reuse of connections to workers: an answer that comes twice is never taken for the next one."""

from __future__ import annotations

import asyncio

from arrowfold.dataplane.connection_answer import ForeignAnswer
from arrowfold.dataplane.exchange import WorkerRequest
from arrowfold.dataplane.worker_connections import WorkerConnections
from tests.system.edge_loopback import (
    HTTP_ROUTES,
    LoopbackEdge,
    RawExchange,
    RawWorker,
    chunk,
    event,
    plain,
    request_bytes,
    run_on_loopback,
    stream_head,
)


class TwiceAnsweringWorker(RawWorker):
    """Refuses the first send with `status`; the surplus copy goes out before the connection's next answer."""

    def __init__(self, status: bytes, headers: bytes = b"") -> None:
        super().__init__(self._refuse, self._run)
        self._status = status
        self._headers = headers
        self._surplus: dict[int, bytes] = {}
        self.runs: list[bytes] = []

    async def _refuse(self, exchange: RawExchange) -> None:
        refusal = exchange.answer_bytes(b"", self._status, self._headers)
        self._surplus[exchange.connection] = refusal
        await exchange.write(refusal)

    async def _run(self, exchange: RawExchange) -> None:
        await exchange.write(self._surplus.pop(exchange.connection, b""))
        self.runs.append(exchange.attempt_id)
        await exchange.write(stream_head(exchange) + chunk(event(1)) + b"0\r\n\r\n")


# Guards against TWICE: the surplus copy of a 421 passes for the answer to the next send of the same request,
# which then counts as not executed and is sent a third time.
def test_given_a_421_that_comes_twice_then_a_stream_that_may_run_once_runs_once() -> None:
    async def scenario() -> None:
        raw = TwiceAnsweringWorker(b"421 Misdirected Request")
        edge = await LoopbackEdge(HTTP_ROUTES).start(w1=("cards", raw))
        client = await edge.client()
        await client.send(request_bytes("/draft/1", "a1"))
        answer = await client.read()
        assert (answer.status, answer.body, answer.complete) == (200, event(1), True)
        assert raw.runs == [b"a1"]
        client.close()
        await edge.stop()

    run_on_loopback(scenario)


def test_given_a_421_that_comes_twice_then_another_request_on_its_connection_gets_its_own_answer() -> None:
    async def scenario() -> None:
        raw = TwiceAnsweringWorker(b"400 Bad Request")
        edge = await LoopbackEdge(HTTP_ROUTES).start(w1=("cards", raw))
        client = await edge.client()
        await client.send(request_bytes("/draft/1", "a1"))
        assert (await client.read()).status == 400
        await client.send(request_bytes("/draft/1", "a2"))
        answer = await client.read()
        assert (answer.status, answer.body) == (200, event(1))
        assert raw.runs == [b"a2"]
        client.close()
        await edge.stop()

    run_on_loopback(scenario)


def test_given_a_request_that_is_sent_again_then_its_new_connection_stays_within_the_limit() -> None:
    async def scenario() -> None:
        raw = TwiceAnsweringWorker(b"421 Misdirected Request")
        edge = await LoopbackEdge(HTTP_ROUTES).start(w1=("cards", raw))
        assert edge.connections is not None
        edge.connections.set_connection_limits({"w1": 1})  # MIN_CONNECTIONS applies
        first, second = await edge.client(), await edge.client()
        raw._scripts.insert(0, plain)
        await first.send(request_bytes("/look/1", "a0"))
        assert (await first.read()).status == 200
        await second.send(request_bytes("/draft/1", "a1"))
        assert (await second.read()).status == 200
        pool = edge.connections.pools["w1"]
        assert pool.open_count == len(pool.idle) <= 2
        first.close()
        second.close()
        await edge.stop()

    run_on_loopback(scenario)


def test_given_a_surplus_answer_then_it_is_reported_with_the_request_that_it_came_before() -> None:
    async def scenario() -> None:
        raw = TwiceAnsweringWorker(b"400 Bad Request")
        await raw.start()
        reported: list[ForeignAnswer] = []
        connections = WorkerConnections(reported.append)
        for attempt in ("a1", "a2"):
            request = WorkerRequest(
                attempt, "POST", "/draft/1", ((b"X-Attempt-Id", attempt.encode()),), b"", True
            )
            answer = (await connections.send("w1", raw.address, request)).unwrap()
            while await answer.read_chunk():
                pass
            answer.close()
        assert reported == [ForeignAnswer("w1", 1, 400, "a1", "a2", is_surplus=True)]
        connections.keep_only(set())
        raw.stop()
        await asyncio.sleep(0)

    run_on_loopback(scenario)
