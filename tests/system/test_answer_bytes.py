"""Whatever bytes a worker sends around its answers, a client gets its own whole answer or none."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from arrowfold.dataplane.exchange import ClientRequest
from arrowfold.dataplane.worker_connections import WorkerConnections
from tests.system.byte_workers import (
    EVENTS,
    ByteLoop,
    ByteScript,
    ByteWorker,
    Kind,
    Place,
    Reply,
    Surplus,
    event,
)
from tests.system.edge_stories import HOST, EdgeHarness, RecordedAnswer, route, worker
from tests.system.virtual_time import run_virtual

ROUTES = [
    route("pay", "/pay/", "models", "non_idempotent"),
    route("look", "/look/", "models", "idempotent", maxAttempts=4),
    route("draft", "/draft/", "models", "streaming", maxAttempts=4),
    route("talk", "/talk/", "models", "streaming", maxAttempts=4, resumable=True),
]
PATHS = ("/pay/1", "/look/1", "/draft/1", "/talk/1")
UNREPEATABLE = ("/pay/1", "/draft/1")
STREAMS = ("/draft/1", "/talk/1")
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


def play(
    *scripted: tuple[str, list[Reply], float], workers: int = 1
) -> tuple[ByteScript, list[RecordedAnswer]]:
    """Sends requests (path, replies of the workers, pause before) one after the other; checks each answer."""
    script = ByteScript()

    async def scenario() -> list[RecordedAnswer]:
        edge = edge_with_workers(script, [f"w{number + 1}" for number in range(workers)])
        received = []
        for number, (path, replies, pause_s) in enumerate(scripted):
            await asyncio.sleep(pause_s)
            script.replies = list(replies)
            attempt = f"attempt-{number + 1}"
            received.append(await ask(edge, path, attempt))
            check_answer(script, path, attempt, received[-1])
        return received

    return script, run_virtual(scenario())


def edge_with_workers(script: ByteScript, instances: list[str]) -> EdgeHarness:
    """Returns an edge whose connections lead to these workers in memory."""
    records = tuple(worker(name, "models") for name in instances)
    edge = EdgeHarness(ROUTES, records)
    connections = WorkerConnections()
    connections._loop = ByteLoop(asyncio.get_running_loop(), script, ByteWorker)  # type: ignore[assignment]
    connections.set_connection_limits({record.instance: 4 for record in records})
    edge.forwarder._transport = connections
    return edge


async def ask(edge: EdgeHarness, path: str, attempt: str) -> RecordedAnswer:
    """Forward a request with this attempt id and return its answer."""
    headers: tuple[Any, ...] = ((b"Host", HOST.encode()), (b"X-Attempt-Id", attempt.encode()))
    if path in STREAMS:
        headers += ((b"X-Model", b"m1"),)
    answer = RecordedAnswer()
    request = ClientRequest("POST", path, HOST, headers, b"", asyncio.get_running_loop().time())
    await edge.forwarder.forward(request, answer)
    return answer


def check_answer(script: ByteScript, path: str, attempt: str, answer: RecordedAnswer) -> None:
    """Check that a sealed answer is the first answer to a run of this attempt, and what others promise."""
    assert answer.complete or answer.aborted
    runs = script.run_count(attempt)
    if path in UNREPEATABLE:
        assert runs <= 1, "run twice"
        assert (
            runs == 0 or answer.status not in NOT_EXECUTED_STATUSES
        ), "ran although answered as not executed"
    if not answer.sealed:
        assert answer.status is not None and answer.status >= 400, "a success without a seal"
        return
    run = script.runs.get(answer.header("X-Server-Seal") or "")
    assert run is not None and run.attempt == attempt, "the answer to another request"
    assert answer.status == run.status, "not the status that the worker gave"
    if answer.aborted:
        assert whole_body(path, attempt, run.status, run.body).startswith(
            answer.body
        ), "not a part of the stream"
    else:
        assert answer.body == whole_body(path, attempt, run.status, run.body), "not the whole body"


def whole_body(path: str, attempt: str, status: int, body: bytes) -> bytes:
    """Returns the body of a run, or all events of a stream, which later runs may have continued."""
    if path != "/talk/1" or status != 200:
        return body
    return b"".join(event(attempt, number) for number in range(1, EVENTS + 1))


LATE_HEAD_BYTES = (5, 13, 15, 17, 30, 38, 60, 75, 88)
RESTING = [Place.WITH_END, Place.AFTER_PAUSE, Place.BEFORE_NEXT]


# Guards against MIXED: a surplus answer stops in its head, and the next answer goes on in that head.
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("place", RESTING)
@pytest.mark.parametrize("stops_after", LATE_HEAD_BYTES)
def test_given_a_surplus_answer_that_stops_in_its_head_then_the_next_one_is_read_by_itself(
    path: str, place: Place, stops_after: int
) -> None:
    surplus = Surplus(place, stops_after=stops_after, pause_s=0.01)
    play((path, [Reply(surplus=surplus)], 0.0), (path, [Reply(Kind.FAILURE)], 0.1))


# Guards against MIXED: an answer stops in its head or body, and the second answer to the same run follows.
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("kind", [Kind.SUCCESS, Kind.FAILURE])
@pytest.mark.parametrize("chunked", [False, True])
def test_given_an_answer_that_stops_before_its_second_then_neither_is_passed_on(
    path: str, kind: Kind, chunked: bool
) -> None:
    for stops_after in range(1, 200):
        for place in (Place.WITH_END, Place.AFTER_PAUSE):
            surplus = Surplus(place, pause_s=0.01)
            play((path, [Reply(kind, chunked, stops_after, surplus=surplus)], 0.0))
