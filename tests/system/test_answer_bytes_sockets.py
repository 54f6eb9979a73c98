"""Workers over sockets that double half of their answers: a client gets its own answer or none."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

import pytest

from tests.system.edge_loopback import (
    LoopbackEdge,
    RawAnswer,
    RawExchange,
    RawWorker,
    field_of,
    request_bytes,
    run_on_loopback,
)
from tests.system.edge_stories import route

ROUTES = [
    route("pay", "/pay/", "cards", "non_idempotent"),
    route("look", "/look/", "cards", "idempotent", maxAttempts=3),
]
WORKERS = 3
CLIENTS = 20
REQUESTS_PER_CLIENT = 60
DOUBLED_SHARE = 0.5
LATEST_SECOND_S = 0.01
LATEST_REQUEST_S = 0.004
MAX_CONNECTIONS = 30
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
REFUSED_BELOW, MISDIRECTED_BELOW, FAILED_BELOW = 0.1, 0.15, 0.35  # of a number from 0 to 1


class Second(Enum):
    """How the second answers come."""

    STOPS_IN_HEAD = "stops in its head"
    WHOLE = "whole"
    ELSEWHERE = "elsewhere"  # in front of the next answer on another connection to the worker


@dataclass(frozen=True)
class Run:
    """What a worker answered first."""

    attempt: bytes
    status: int
    body: bytes


@dataclass
class DoublingWorker:
    """Answers half of its requests a second time, by a success."""

    name: str
    second: Second
    rng: random.Random
    runs: dict[bytes, Run]  # by seal
    _due_elsewhere: list[tuple[int, bytes]] = field(default_factory=list)  # not on this connection

    async def serve(self, exchange: RawExchange) -> None:
        """Answer one request."""
        due = b"".join(data for number, data in self._due_elsewhere if number != exchange.connection)
        self._due_elsewhere = [item for item in self._due_elsewhere if item[0] == exchange.connection]
        seal = b"%s.%d" % (self.name.encode(), len(self.runs))
        await exchange.write(due + self._first_answer(exchange, seal))
        if self.rng.random() < DOUBLED_SHARE:
            self._plan_second(exchange, seal)

    def _first_answer(self, exchange: RawExchange, seal: bytes) -> bytes:
        kind = self.rng.random()
        if kind < REFUSED_BELOW:
            return exchange.answer_bytes(b"", b"503 X", b"X-Not-Executed: 1\r\n")
        if kind < MISDIRECTED_BELOW:
            return exchange.answer_bytes(b"", b"421 X", b"")
        status = 500 if kind < FAILED_BELOW else 200
        body = b"answer to " + exchange.attempt_id
        self.runs[seal] = Run(exchange.attempt_id, status, body)
        return exchange.answer_bytes(body, b"%d X" % status, b"X-Server-Seal: %s\r\n" % seal)

    def _plan_second(self, exchange: RawExchange, seal: bytes) -> None:
        names = [b"X-Server-Seal: %s\r\n" % seal, b"X-Attempt-Id: %s\r\n" % exchange.attempt_id]
        self.rng.shuffle(names)
        second = b"HTTP/1.1 200 X\r\n%sContent-Length: 2\r\n\r\nok" % b"".join(names)
        if self.second is Second.ELSEWHERE:
            self._due_elsewhere.append((exchange.connection, second))
            return
        if self.second is Second.STOPS_IN_HEAD:
            second = second[: self.rng.randrange(1, second.index(b"\r\n\r\n"))]
        delay_s = self.rng.random() * LATEST_SECOND_S
        asyncio.get_running_loop().call_later(delay_s, _write, exchange.writer, second)


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


# Guards against MIXED, TWICE and REFUSED: bytes of a second answer reach the parser of the next answer, or a
# second answer passes for that to the next send of its try.
@pytest.mark.parametrize("second", Second)
def test_given_doubled_answers_at_a_high_rate_then_a_client_gets_its_own_answer_or_none(
    second: Second,
) -> None:
    rng = random.Random(1)
    runs: dict[bytes, Run] = {}
    faults: Counter[str] = Counter()
    answers: Counter[int] = Counter()

    async def send_requests(edge: LoopbackEdge, client_number: int) -> None:
        client = await edge.client()
        for number in range(REQUESTS_PER_CLIENT):
            path = rng.choice(["/pay/1", "/look/1"])
            attempt = f"{client_number}-{number}"
            await client.send(request_bytes(path, attempt))
            answer = await client.read()
            answers[answer.status] += 1
            faults.update(find_faults(path, attempt.encode(), answer, runs))
            await asyncio.sleep(rng.random() * LATEST_REQUEST_S)
        client.close()

    async def scenario() -> None:
        workers = [DoublingWorker(f"w{number}", second, rng, runs) for number in range(WORKERS)]
        raw = {worker.name: ("cards", RawWorker(worker.serve)) for worker in workers}
        edge = await LoopbackEdge(ROUTES).start(**raw)
        assert edge.connections is not None
        edge.connections.set_connection_limits(dict.fromkeys(raw, MAX_CONNECTIONS))
        await asyncio.gather(*(send_requests(edge, number) for number in range(CLIENTS)))
        await edge.stop()

    run_on_loopback(scenario, timeout_s=60)
    assert faults == {}
    assert answers[200] > CLIENTS * REQUESTS_PER_CLIENT // 2


def find_faults(path: str, attempt: bytes, answer: RawAnswer, runs: dict[bytes, Run]) -> list[str]:
    """Returns what is wrong with an answer."""
    faults = []
    own_runs = sum(run.attempt == attempt for run in runs.values())
    if path == "/pay/1" and own_runs > 1:
        faults.append("run twice")
    if path == "/pay/1" and own_runs and answer.status in NOT_EXECUTED_STATUSES:
        faults.append("run although answered as not executed")
    seal = field_of(answer.head, b"x-server-seal")
    if seal is None:
        return [*faults, "a success without a seal"] if answer.status < 400 else faults
    if runs.get(seal) != Run(attempt, answer.status, answer.body):
        faults.append("not the answer that the worker gave")
    return faults
