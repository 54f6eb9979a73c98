"""Workers that answer twice: a client's success is the first and whole answer to its own send."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from arrowfold.dataplane.exchange import ClientRequest
from arrowfold.dataplane.worker_connections import WorkerConnections
from tests.system.edge_stories import HOST, EdgeHarness, RecordedAnswer, route, worker
from tests.system.misbehaving_workers import MemoryLoop
from tests.system.stuttering_workers import Naming, SecondAnswer, Stutter, StutteringWorker, StutterScript
from tests.system.virtual_time import VirtualTimeLoop, run_virtual

ROUTES = [
    route("pay", "/pay/", "cards", "non_idempotent"),
    route("look", "/look/", "cards", "idempotent", maxAttempts=4),
]
PATHS = ("/pay/1", "/look/1")
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
SWITCH = b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n"
SPOILED = b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"


stutters = st.one_of(
    st.just(Stutter()),
    st.builds(
        Stutter,
        status=st.sampled_from([200, 500, 504]),
        naming=st.sampled_from(Naming),
        second=st.sampled_from(SecondAnswer),
        second_naming=st.sampled_from([Naming.OWN, Naming.NONE]),
        pause_s=st.sampled_from([0.001, 0.03, 0.4]),
        before=st.sampled_from([b"", INTERIM, INTERIM * 3, SWITCH, SPOILED]),
        in_pieces=st.booleans(),
        closes=st.sampled_from([False, False, False, True]),
    ),
    st.builds(
        Stutter,
        status=st.sampled_from([200, 421, 429, 503]),
        runs=st.just(False),
        naming=st.sampled_from([Naming.OWN, Naming.OWN, Naming.NONE]),
        second=st.sampled_from(SecondAnswer),
        pause_s=st.sampled_from([0.001, 0.03]),
    ),
)


class SecondAnswerMachine(RuleBasedStateMachine):
    """An edge's forwarder on its real connections, with stuttering workers in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.script = StutterScript(random.Random(1))
        self.edge: Any = None
        self.sent = 0
        self.loop.run_until_complete(self._set_up())

    async def _set_up(self) -> None:
        self.edge, self.connections = edge_with_workers(self.script, ["w1", "w2"])

    @rule(
        scripted=st.lists(stutters, max_size=5),
        number=st.integers(1, 3),
        path=st.sampled_from(PATHS),
        reuses_id=st.booleans(),
    )
    def send_requests(self, scripted: list[Stutter], number: int, path: str, reuses_id: bool) -> None:
        """Send several requests concurrently, some with an id that was sent before."""
        self.script.stutters = list(scripted)
        self.loop.run_until_complete(self._send_concurrently(number, path, reuses_id))

    @rule(wait_s=st.sampled_from([0.001, 0.02, 0.5, 3.0]))
    def wait(self, wait_s: float) -> None:
        """Let time pass, so that second answers arrive and connections expire."""
        self.loop.run_until_complete(self._wait(wait_s))

    async def _wait(self, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        self.connections.close_expired()

    async def _send_concurrently(self, number: int, path: str, reuses_id: bool) -> None:
        first = max(1, self.sent) if reuses_id else self.sent + 1
        attempts = [f"attempt-{first + offset}" for offset in range(number)]
        self.sent = max(self.sent, first + number - 1)
        answers = await asyncio.gather(*(ask(self.edge, path, attempt) for attempt in attempts))
        for attempt, answer in zip(attempts, answers, strict=True):
            check_answer(self.script, attempt, answer)
            if path == "/pay/1" and not reuses_id:
                check_single_run(self.script, attempt, answer)

    def teardown(self) -> None:
        self.loop.close()


SecondAnswerMachine.TestCase.settings = settings(max_examples=80, stateful_step_count=10, deadline=None)
TestSecondAnswers = SecondAnswerMachine.TestCase


def edge_with_workers(script: StutterScript, instances: list[str]) -> tuple[EdgeHarness, WorkerConnections]:
    """Returns an edge, and its connections to these workers in memory."""
    records = tuple(worker(name, "cards") for name in instances)
    edge = EdgeHarness(ROUTES, records)
    connections = WorkerConnections()
    loop = MemoryLoop(asyncio.get_running_loop(), script, StutteringWorker)
    connections._loop = loop  # type: ignore[assignment]
    connections.set_connection_limits({record.instance: 4 for record in records})
    edge.forwarder._transport = connections
    return edge, connections


async def ask(edge: EdgeHarness, path: str, attempt: str) -> RecordedAnswer:
    """Forward a request with this attempt id and return its answer."""
    headers = ((b"Host", HOST.encode()), (b"X-Attempt-Id", attempt.encode()))
    answer = RecordedAnswer()
    request = ClientRequest("POST", path, HOST, headers, b"", asyncio.get_running_loop().time())
    await edge.forwarder.forward(request, answer)
    return answer


def check_answer(script: StutterScript, attempt: str, answer: RecordedAnswer) -> None:
    """Check that a sealed answer is the first answer to a run of this attempt."""
    assert answer.complete or answer.aborted
    if answer.sealed:
        seal = answer.header("X-Server-Seal")
        run = script.runs[seal or ""]
        assert run.attempt == attempt, "the answer to another request"
        assert (answer.status, answer.body) == (run.status, run.body), "not the answer that the worker gave"
    else:
        assert answer.status is not None and answer.status >= 400, "a success without a seal"


def check_single_run(script: StutterScript, attempt: str, answer: RecordedAnswer) -> None:
    """Check that an attempt ran at most once, and not at all if its answer says so."""
    runs = script.run_count(attempt)
    assert runs <= 1, "run twice"
    if answer.status in NOT_EXECUTED_STATUSES:
        assert runs == 0, "ran although answered as not executed"


def play(*sends: tuple[str, str, Stutter], workers: int = 1) -> tuple[StutterScript, list[RecordedAnswer]]:
    """Sends requests (path, attempt id, how the worker answers) one after the other; checks each answer."""
    script = StutterScript()

    async def scenario() -> list[RecordedAnswer]:
        edge, connections = edge_with_workers(script, [f"w{number + 1}" for number in range(workers)])
        answers = []
        for path, attempt, stutter in sends:
            script.stutters.append(stutter)
            answers.append(await ask(edge, path, attempt))
        connections.keep_only(set())
        return answers

    answers = run_virtual(scenario())
    for (_, attempt, _), answer in zip(sends, answers, strict=True):
        check_answer(script, attempt, answer)
    return script, answers


SECOND_ANSWERS = [SecondAnswer.AT_ONCE, SecondAnswer.AFTER_PAUSE]


# Guards against MIXED: a failure that can't be told to be the request's own is passed over, and the second
# answer to the same run, a success, is taken for the first.
@pytest.mark.parametrize("second", SECOND_ANSWERS)
@pytest.mark.parametrize("naming", [Naming.NONE, Naming.UNKNOWN])
@pytest.mark.parametrize("path", PATHS)
def test_given_a_failure_of_an_unclear_request_then_the_second_answer_is_no_success(
    path: str, naming: Naming, second: SecondAnswer
) -> None:
    script, (answer,) = play((path, "a1", Stutter(500, naming=naming, second=second)), workers=2)
    assert script.run_count("a1") == (1 if path == "/pay/1" else 2)
    assert answer.status == (502 if path == "/pay/1" else 200)


# Guards against MIXED: the second answer to a failed send is taken for the answer to the next send.
@pytest.mark.parametrize("second", [*SECOND_ANSWERS, SecondAnswer.IN_PLACE_OF_NEXT])
def test_given_a_failure_that_is_sent_again_then_the_second_answer_is_no_success(
    second: SecondAnswer,
) -> None:
    script, (answer,) = play(("/look/1", "a1", Stutter(500, second=second)), workers=2)
    assert script.run_count("a1") == 2
    assert (answer.status, answer.body) == (200, b"a1")


# Guards against MIXED: a worker is sent a try again, and its second answer to the first send, which may come
# on any of its connections, is taken for the answer to the next.
@pytest.mark.parametrize(
    "stutter", [Stutter(500), Stutter(500, naming=Naming.NONE), Stutter(421, runs=False)]
)
def test_given_a_worker_alone_then_it_is_not_sent_the_same_try_again(stutter: Stutter) -> None:
    script, (answer,) = play(("/look/1", "a1", stutter))
    assert script.arrivals["a1"] == 1
    assert answer.status == (502 if stutter.runs else 503)


# Guards against MIXED: an id that comes again gets the connection on which its second answer is still due.
@pytest.mark.parametrize("second", [SecondAnswer.AFTER_PAUSE, SecondAnswer.IN_PLACE_OF_NEXT])
def test_given_an_id_that_comes_again_then_the_second_answer_to_its_first_send_is_no_success(
    second: SecondAnswer,
) -> None:
    script, answers = play(("/pay/1", "a1", Stutter(500, second=second)), ("/pay/1", "a1", Stutter()))
    assert [answer.status for answer in answers] == [500, 200]
    assert answers[1].body == b"a1"


# Guards against MIXED: a success without a worker's seal.
@pytest.mark.parametrize("path", PATHS)
def test_given_a_success_without_a_seal_then_it_is_not_passed_on(path: str) -> None:
    _, (answer,) = play((path, "a1", Stutter(200, runs=False)), workers=2)
    assert answer.status == (502 if path == "/pay/1" else 200)


# Guards against MIXED: what follows a spoiled answer, or a switch of protocols, is read as an answer.
@pytest.mark.parametrize("before", [SPOILED, SWITCH])
def test_given_an_answer_after_bytes_that_are_none_then_it_is_not_passed_on(before: bytes) -> None:
    _, (answer,) = play(("/pay/1", "a1", Stutter(before=before)))
    assert answer.status == 502


# Guards against REFUSED: the trailer of a skipped answer is read as a header of the next one, which has run.
def test_given_a_surplus_answer_with_a_trailer_then_the_next_one_is_not_read() -> None:
    surplus = (
        b"HTTP/1.1 200 X\r\nX-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\nX-Not-Executed: 1\r\n\r\n"
    )
    script, answers = play(("/pay/1", "a1", Stutter()), ("/pay/1", "a2", Stutter(before=surplus)))
    assert [answer.status for answer in answers] == [200, 502]
    assert script.run_count("a2") == 1


def test_given_interim_answers_then_the_final_one_is_passed_on() -> None:
    _, (answer,) = play(("/pay/1", "a1", Stutter(before=INTERIM * 2)))
    assert (answer.status, answer.body) == (200, b"a1")


@pytest.mark.parametrize("second", [SecondAnswer.AFTER_PAUSE, SecondAnswer.IN_PLACE_OF_NEXT])
def test_given_an_answer_that_came_twice_then_the_next_request_gets_its_own(second: SecondAnswer) -> None:
    stutter = Stutter(second=second, pause_s=0.0025)
    _, answers = play(("/pay/1", "a1", stutter), ("/pay/1", "a2", Stutter()))
    assert [(answer.status, answer.body) for answer in answers] == [(200, b"a1"), (200, b"a2")]
