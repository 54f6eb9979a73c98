"""HTTP requests and answers at an edge on loopback, both valid and invalid ones."""

from __future__ import annotations

import asyncio

import pytest

from tests.system.edge_loopback import (
    SEAL,
    RawExchange,
    chunk,
    edge_with,
    field_of,
    plain,
    request_bytes,
    run_on_loopback,
)


@pytest.mark.parametrize(
    "path", ["/pay/a%2Fb//c?x=%20&y", "/pay/?", "/pay/%7e/~/..;x?q=%zz#f", "/pay/%C3%A9"]
)
def test_the_raw_target_and_the_body_reach_the_worker_unchanged(path: str) -> None:
    async def scenario() -> None:
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

    run_on_loopback(scenario)


def test_a_request_received_byte_by_byte_is_served() -> None:
    async def scenario() -> None:
        edge, worker = await edge_with(plain)
        client = await edge.client()
        for byte in request_bytes("/pay/1", "a1", body=b"xyz"):
            await client.send(bytes([byte]))
        assert (await client.read()).status == 200
        assert worker.bodies == [b"xyz"]
        await edge.stop()

    run_on_loopback(scenario)


def test_a_chunked_request_arrives_complete() -> None:
    async def scenario() -> None:
        edge, worker = await edge_with(plain)
        client = await edge.client()
        head = b"POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a1\r\n"
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        await client.send(head + chunk(b"ab") + chunk(b"cd") + b"0\r\n\r\n")
        assert (await client.read()).status == 200
        assert worker.bodies == [b"abcd"]
        await edge.stop()

    run_on_loopback(scenario)


def test_a_request_without_an_id_is_answered_by_the_edge() -> None:
    async def scenario() -> None:
        edge, worker = await edge_with(plain)
        client = await edge.client()
        await client.send(b"POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n")
        assert (await client.read()).status == 400
        assert worker.heads == []
        await edge.stop()

    run_on_loopback(scenario)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def scenario() -> None:
        edge, worker = await edge_with(plain)
        client = await edge.client()
        await client.send(b"".join(request_bytes("/pay/1", f"a{n}") for n in range(5)))
        for number in range(5):
            answer = await client.read()
            assert field_of(answer.head, b"x-attempt-id") == b"a%d" % number
        assert len(worker.heads) == 5
        await edge.stop()

    run_on_loopback(scenario)


def test_connections_to_a_worker_are_reused() -> None:
    async def scenario() -> None:
        edge, worker = await edge_with(plain)
        client = await edge.client()
        for number in range(5):
            await client.send(request_bytes("/pay/1", f"a{number}"))
            await client.read()
        assert worker.connections == 1
        await edge.stop()

    run_on_loopback(scenario)


def test_a_connection_that_its_worker_soon_closes_is_not_reused() -> None:
    async def closes_soon(exchange: RawExchange) -> None:
        await exchange.answer(headers=SEAL + b"Keep-Alive: timeout=1\r\n")

    async def scenario() -> None:
        edge, worker = await edge_with(closes_soon)
        client = await edge.client()
        for number in range(3):
            await client.send(request_bytes("/pay/1", f"a{number}"))
            await client.read()
        assert worker.connections == 3
        await edge.stop()

    run_on_loopback(scenario)


def test_a_late_second_answer_reaches_no_client() -> None:
    async def twice(exchange: RawExchange) -> None:
        await exchange.answer(b"first")
        await exchange.answer(b"surplus")

    async def scenario() -> None:
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

    run_on_loopback(scenario)


def test_an_answer_to_an_earlier_request_before_the_expected_one_is_skipped() -> None:
    async def late(exchange: RawExchange) -> None:
        surplus = exchange.answer_bytes(b"surplus").replace(exchange.attempt_id, b"a1")
        await exchange.write(surplus + exchange.answer_bytes(b"own"))

    async def scenario() -> None:
        edge, worker = await edge_with(plain, late, plain)
        client = await edge.client()
        for attempt, body in (("a1", b"done"), ("a2", b"own"), ("a3", b"done")):
            await client.send(request_bytes("/pay/1", attempt))
            assert (await client.read()).body == body
        assert worker.connections == 2
        await edge.stop()

    run_on_loopback(scenario)


@pytest.mark.parametrize("invalid", [b"garbage\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Le", b""])
def test_invalid_answers_never_reach_the_client(invalid: bytes) -> None:
    async def answer_invalid(exchange: RawExchange) -> None:
        await exchange.write(invalid)
        exchange.writer.close()

    async def scenario() -> None:
        edge, _ = await edge_with(answer_invalid)
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        answer = await client.read()
        assert answer.status == 502
        assert field_of(answer.head, b"x-server-seal") is None
        await edge.stop()

    run_on_loopback(scenario)


def test_an_answer_without_a_length_is_not_accepted() -> None:
    async def unbounded(exchange: RawExchange) -> None:
        await exchange.write(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n" + SEAL + b"\r\npart")
        exchange.writer.close()

    async def scenario() -> None:
        edge, _ = await edge_with(unbounded)
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        assert (await client.read()).status == 502
        await edge.stop()

    run_on_loopback(scenario)


def test_a_truncated_body_becomes_a_failure_without_seal() -> None:
    async def short(exchange: RawExchange) -> None:
        await exchange.write(exchange.answer_bytes(b"0123456789")[:-3])
        exchange.writer.close()

    async def scenario() -> None:
        edge, _ = await edge_with(short)
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        answer = await client.read()
        assert answer.status == 502 and field_of(answer.head, b"x-server-seal") is None
        await edge.stop()

    run_on_loopback(scenario)


def test_limits_of_the_configuration_are_enforced() -> None:
    async def scenario() -> None:
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

    run_on_loopback(scenario)


def test_a_connection_that_its_worker_closes_is_not_reused() -> None:
    async def last(exchange: RawExchange) -> None:
        await exchange.answer(headers=SEAL + b"Connection: close\r\n")

    async def scenario() -> None:
        edge, worker = await edge_with(last, plain)
        client = await edge.client()
        for number in range(2):
            await client.send(request_bytes("/pay/1", f"a{number}"))
            assert (await client.read()).status == 200
        assert worker.connections == 2
        await edge.stop()

    run_on_loopback(scenario)


# Guards against this: the parser reports the last trailer of an answer as the first header of the next one on
# the connection, so that a request which ran counts as not executed (TWICE, REFUSED).
def test_a_connection_on_which_a_worker_sent_trailers_is_not_reused() -> None:
    async def with_trailer(exchange: RawExchange) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + exchange.attempt_id + b"\r\n" + SEAL
        body = b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Not-Executed: 1\r\n\r\n"
        exchange.writer.write(head + body)

    async def scenario() -> None:
        edge, worker = await edge_with(with_trailer, plain)
        client = await edge.client()
        for number in range(2):
            await client.send(request_bytes("/pay/1", f"a{number}"))
            assert (await client.read()).status == 200
        assert worker.connections == 2
        await edge.stop()

    run_on_loopback(scenario)


def test_a_request_to_a_worker_that_accepts_no_connections_is_refused_as_not_executed() -> None:
    async def scenario() -> None:
        edge, worker = await edge_with(plain)
        worker.stop()
        client = await edge.client()
        await client.send(request_bytes("/pay/1", "a1"))
        answer = await client.read()
        assert answer.status == 503
        assert field_of(answer.head, b"retry-after") is not None
        await edge.stop()

    run_on_loopback(scenario)
