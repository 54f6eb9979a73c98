"""Whatever bytes a worker sends around its answers, a client gets its own whole answer or none."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.strategies import SearchStrategy

from arrowfold.dataplane.exchange import ClientRequest
from arrowfold.dataplane.worker_connections import WorkerConnections
from tests.system.byte_workers import (
    EVENTS,
    ByteLoop,
    ByteScript,
    ByteWorker,
    Content,
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
HEAD_BYTES = 40  # less than the shortest head
NAMED_HEAD_BYTES = 110  # of a surplus answer, up to and including its attempt id
MAX_CUT_BYTES = 180  # beyond the end of most answers
FRAGMENTS = (
    b"\r\n",
    b"0\r\n\r\n",
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 200 OK\r\nX-Other: ",
    b"HTTP/1.1 100 X\r\nA: ",
    b"X: y\r\n",
)

noises = st.one_of(st.just(b""), st.just(b""), st.binary(max_size=40), st.sampled_from(FRAGMENTS))
surpluses = st.builds(
    Surplus,
    place=st.sampled_from(Place),
    content=st.sampled_from(Content),
    stops_after=st.one_of(st.none(), st.integers(1, 90)),
    pause_s=st.sampled_from([0.0005, 0.002, 0.01, 0.3]),
    noise=noises,
)
piece_sizes = st.sampled_from([0, 0, 1, 7, 40])  # 0: in one piece
whole_replies = st.builds(
    Reply,
    kind=st.sampled_from(Kind),
    chunked=st.booleans(),
    piece_bytes=piece_sizes,
    surplus=st.one_of(st.none(), surpluses),
    closes=st.sampled_from([False, False, False, True]),
)


def cut_replies(
    stops_after: SearchStrategy[int], piece_bytes: SearchStrategy[int], least_surplus_bytes: int
) -> SearchStrategy[Reply]:
    """Returns replies whose first answer stops early, some with a surplus answer of so many bytes or more."""
    surplus = st.builds(
        Surplus,
        place=st.sampled_from(Place),
        content=st.sampled_from([Content.SUCCESS, Content.COPY]),
        stops_after=st.one_of(st.none(), st.integers(least_surplus_bytes, MAX_CUT_BYTES)),
    )
    return st.builds(
        Reply,
        kind=st.sampled_from(Kind),
        chunked=st.booleans(),
        stops_after=stops_after,
        piece_bytes=piece_bytes,
        surplus=st.one_of(st.none(), surplus),
        closes=st.booleans(),
    )


head_cuts = cut_replies(st.integers(1, HEAD_BYTES), piece_sizes, least_surplus_bytes=1)
# What follows a part of a body on its connection can be told from the rest of that body by nothing but the
# head of an answer, so that head comes whole and in one piece.
body_cuts = cut_replies(st.integers(1, MAX_CUT_BYTES), st.just(0), least_surplus_bytes=NAMED_HEAD_BYTES)
exchanges = st.lists(
    st.tuples(
        st.sampled_from(PATHS),
        st.lists(st.one_of(whole_replies, whole_replies, head_cuts, body_cuts), max_size=4),
        st.sampled_from([0.0, 0.001, 0.05]),
    ),
    min_size=1,
    max_size=6,
)


# Guards against MIXED, TWICE, REFUSED and ORDER: bytes of another answer reach the parser of an answer.
@settings(max_examples=150, deadline=None)
@given(exchanges, st.integers(1, 2))
def test_given_any_bytes_around_answers_then_a_client_gets_its_own_whole_answer_or_none(
    scripted: list[tuple[str, list[Reply], float]], workers: int
) -> None:
    play(*scripted, workers=workers)


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


# Guards against MIXED and REFUSED: a surplus answer on another connection passes for the answer to the next
# send of the same try.
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("kind", [Kind.MISDIRECTION, Kind.REFUSAL, Kind.FAILURE])
@pytest.mark.parametrize("content", [Content.SUCCESS, Content.COPY])
def test_given_a_surplus_answer_on_another_connection_then_it_is_not_that_to_the_next_send(
    path: str, kind: Kind, content: Content
) -> None:
    surplus = Surplus(Place.BEFORE_NEXT_ELSEWHERE, content)
    play((path, [Reply(kind, surplus=surplus), Reply(Kind.FAILURE)], 0.0))
    play((path, [Reply(kind, surplus=surplus), Reply(Kind.SUCCESS)], 0.0))


# Guards against a lost request: a surplus answer on another connection than its first is known by its id.
def test_given_a_whole_surplus_answer_on_another_connection_then_the_next_request_gets_its_own() -> None:
    surplus = Surplus(Place.BEFORE_NEXT_ELSEWHERE)
    _, received = play(("/pay/1", [Reply(surplus=surplus, closes=True)], 0.0), ("/pay/1", [], 0.1))
    assert [(answer.status, answer.body) for answer in received] == [(200, b"attempt-1"), (200, b"attempt-2")]


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
