"""The judge of soaks sees answers that are not a client's own, or not whole."""

from __future__ import annotations

from collections import Counter

import pytest

from arrowfold.standins.trial_configuration import CHAT, LOOKUP, RECORD
from benchmarks.soak.answers import AnswerRecord, RunAnswer
from benchmarks.soak.clients import COMPLETE_STREAM, SentRequest
from benchmarks.soak.judge import CheckResult, RequestChecker
from benchmarks.soak.stalls import Stall, StallMonitor

ANSWERS = AnswerRecord(
    {
        "w1.1": RunAnswer("a1", 200, b"answer to a1"),
        "w1.2": RunAnswer("a2", 500, b""),
        "w2.1": RunAnswer("a3", 200, None),
    }
)


def sent(attempt: str, status: int, seal: str | None, body: bytes = b"") -> SentRequest:
    """Returns a request with a complete response."""
    kind = {"a1": RECORD, "a2": LOOKUP, "a3": CHAT}[attempt]
    return SentRequest(
        attempt, kind, "edge-1", 1, 5.0, True, 1.0, 1.0, 1.1, status, seal, body, complete=True
    )


def check(request: SentRequest, answers: AnswerRecord = ANSWERS) -> CheckResult:
    """Returns the result of a soak with one request."""
    return RequestChecker([], Counter({request.attempt: 1}), answers, checks_timing=False).check([request])


@pytest.mark.parametrize(
    ("request_", "why"),
    [
        (sent("a2", 200, "w1.2", b"ok"), "200 where the worker answered 500"),
        (sent("a1", 200, "w1.1", b"ok"), "not the whole body"),
        (sent("a1", 500, "w1.1", b"answer to a1"), "500 where the worker answered 200"),
        (sent("a1", 200, "w2.1", COMPLETE_STREAM), "the answer to another request"),
        (sent("a1", 200, "w9.9", b"answer to a1"), "the answer to another request"),
        (sent("a1", 200, None, b"answer to a1"), "a success without a seal"),
        (sent("a3", 200, "w2.1", COMPLETE_STREAM[:-9]), "not the whole body"),
    ],
)
def test_given_an_answer_that_is_not_the_workers_own_then_the_judge_reports_mixed(
    request_: SentRequest, why: str
) -> None:
    (fault,) = check(request_).faults
    assert fault.startswith(f"MIXED ({why}): {request_.attempt} ")


@pytest.mark.parametrize(
    "request_",
    [
        sent("a1", 200, "w1.1", b"answer to a1"),
        sent("a2", 500, "w1.2"),
        sent("a2", 502, None, b"{}"),
        sent("a3", 200, "w2.1", COMPLETE_STREAM),
    ],
)
def test_given_a_workers_own_answer_then_the_judge_reports_nothing(request_: SentRequest) -> None:
    assert check(request_).faults == []


def test_given_a_request_that_ran_with_another_body_then_the_judge_reports_it() -> None:
    answers = AnswerRecord(ANSWERS.by_seal, ["a1"])
    assert check(sent("a1", 200, "w1.1", b"answer to a1"), answers).faults == [
        "UNASKED: a1 ran with another body"
    ]


def test_given_a_stall_of_the_clients_then_the_judge_says_how_much_of_it_was_in_the_request() -> None:
    stalls = StallMonitor([Stall(0.5, 1.04), Stall(1.06, 1.5)])
    checker = RequestChecker([], Counter({"a1": 1}), ANSWERS, checks_timing=False, stalls=stalls)
    (fault,) = checker.check([sent("a1", 200, None)]).faults
    assert fault.endswith("ended 0.100 s after, clients stalled 0.080 s")
    assert stalls.longest_s() == pytest.approx(0.54)
