"""Forwarding of single requests at an edge: choice of workers, retries, and the client's answer."""

from __future__ import annotations

import asyncio

import pytest

from arrowfold.dataplane.exchange import SendFailure
from arrowfold.internal.messages import WorkerUpdate
from tests.system.edge_stories import (
    HOST,
    ROUTES,
    EdgeHarness,
    ScriptedAnswer,
    answers,
    configuration,
    configuration_update,
    events,
    rejected,
    route,
    silent,
    whole,
    worker,
)
from tests.system.virtual_time import run_virtual


def card_edge(*names: str) -> EdgeHarness:
    """Returns an edge with these workers of the service `cards`."""
    return EdgeHarness(ROUTES, tuple(worker(name, "cards") for name in names))


def model_edge(*names: str) -> EdgeHarness:
    """Returns an edge with these workers of the service `models`."""
    return EdgeHarness(ROUTES, tuple(worker(name, "models") for name in names))


ONE_ATTEMPT = route("talk", "/talk/", "models", "streaming", maxAttempts=1)


def header_values(request_headers: tuple[tuple[bytes, bytes], ...], name: bytes) -> list[bytes]:
    return [value for key, value in request_headers if key.lower() == name]


def test_before_any_configuration_requests_are_refused_as_not_executed() -> None:
    async def scenario() -> None:
        edge = EdgeHarness()
        answer = await edge.ask("/pay/1")
        assert answer.status == 503
        assert answer.header("Retry-After") is not None
        # Every client waits for 2 s; after half of it, no configuration is expected within the rest
        assert answer.ended_s == pytest.approx(1.0)

    run_virtual(scenario())


# Guards against holding a client until its time is over although the configuration is expected later.
def test_before_any_configuration_a_client_with_little_time_is_refused_at_once() -> None:
    async def scenario() -> None:
        edge = EdgeHarness()
        answer = await edge.ask("/pay/1", (b"X-Deadline-Ms", b"600"))
        assert answer.status == 503
        assert answer.ended_s == pytest.approx(0.0)
        retry_after = answer.header("Retry-After")
        assert retry_after is not None and 0 < float(retry_after) <= 0.2

    run_virtual(scenario())


def test_a_request_before_the_first_configuration_waits_for_it() -> None:
    async def scenario() -> None:
        edge = EdgeHarness()
        edge.workers.scripts["w1"] = answers(whole())
        task = asyncio.create_task(edge.ask("/pay/1"))
        await asyncio.sleep(0.5)
        updates = (configuration_update(configuration(ROUTES)), WorkerUpdate("o", 1, worker("w1", "cards")))
        edge.tell(*updates)
        answer = await task
        assert answer.status == 200
        assert answer.ended_s == pytest.approx(0.51, abs=0.01)

    run_virtual(scenario())


def test_an_unknown_path_gets_404() -> None:
    async def scenario() -> None:
        edge = card_edge("w1")
        assert (await edge.ask("/nowhere/1")).status == 404
        assert edge.workers.arrivals == []

    run_virtual(scenario())


def test_the_request_reaches_the_worker_unchanged() -> None:
    async def scenario() -> None:
        edge = card_edge("w1")
        edge.workers.scripts["w1"] = answers(whole())
        path = "/pay/a%2Fb//c?x=%20&y"
        answer = await edge.ask(
            path,
            (b"X-Deadline-Ms", b"1000"),
            (b"X-Custom", b"kept"),
            (b"Connection", b"x-secret"),
            (b"X-Secret", b"hop"),
            (b"X-Target-Instance", b"forged"),
            body=b"\x00body",
        )
        assert answer.status == 200 and answer.body == b"done" and answer.sealed
        ((instance, sent),) = edge.workers.arrivals
        assert (instance, sent.method, sent.target, sent.body) == ("w1", "POST", path, b"\x00body")
        assert header_values(sent.headers, b"x-custom") == [b"kept"]
        assert header_values(sent.headers, b"x-secret") == []
        assert header_values(sent.headers, b"x-target-instance") == [b"w1"]
        assert header_values(sent.headers, b"host") == [HOST.encode()]
        assert header_values(sent.headers, b"x-attempt-id") == [b"attempt-1"]

    run_virtual(scenario())


def test_the_worker_gets_the_remaining_time_to_the_deadline() -> None:
    async def scenario() -> None:
        edge = card_edge("w1", "w2")
        edge.workers.scripts["w1"] = answers(rejected(), after_s=0.3)
        edge.workers.scripts["w2"] = answers(rejected(), after_s=0.3)
        await edge.ask("/pay/1", (b"X-Deadline-Ms", b"1000"))
        left = [int(header_values(sent.headers, b"x-deadline-ms")[0]) for _, sent in edge.workers.arrivals]
        assert left[0] == 1000
        assert 690 <= left[1] <= 700

    run_virtual(scenario())


def test_a_rejected_request_is_retried_at_another_worker() -> None:
    async def scenario() -> None:
        edge = card_edge("w1", "w2")
        edge.workers.scripts["w1"] = answers(rejected())
        edge.workers.scripts["w2"] = answers(rejected())
        answer = await edge.ask("/pay/1")
        assert sorted(edge.workers.receivers()) == ["w1", "w2"]
        assert answer.status == 503 and not answer.sealed
        assert answer.header("Retry-After") is not None

    run_virtual(scenario())


@pytest.mark.parametrize(
    "lost", [SendFailure.LOST, ScriptedAnswer(200, (), ((0, b"half"),), is_interrupted=True)]
)
def test_a_request_that_may_have_run_is_not_repeated_nor_reported_as_not_executed(
    lost: ScriptedAnswer | SendFailure,
) -> None:
    async def scenario() -> None:
        edge = card_edge("w1", "w2")
        edge.workers.scripts = {"w1": answers(lost), "w2": answers(lost)}
        answer = await edge.ask("/pay/1")
        assert len(edge.workers.arrivals) == 1
        assert answer.status == 502 and not answer.sealed

    run_virtual(scenario())


def test_an_idempotent_request_is_repeated_after_a_loss() -> None:
    async def scenario() -> None:
        edge = card_edge("w1", "w2")
        edge.workers.scripts = {"w1": answers(SendFailure.LOST), "w2": answers(SendFailure.LOST)}
        await edge.ask("/look/1")
        assert sorted(edge.workers.receivers()) == ["w1", "w2"]

    run_virtual(scenario())


def test_an_unreachable_worker_counts_as_no_attempt() -> None:
    async def scenario() -> None:
        edge = card_edge("dead1", "dead2", "dead3", "w1")
        edge.workers.scripts["w1"] = answers(whole())
        for _ in range(8):
            assert (await edge.ask("/pay/1")).status == 200

    run_virtual(scenario())


def test_a_request_without_a_reachable_worker_is_refused_as_not_executed() -> None:
    async def scenario() -> None:
        edge = card_edge("dead1", "dead2")
        assert (await edge.ask("/pay/1")).status == 503

    run_virtual(scenario())


def test_a_failure_of_the_worker_is_forwarded_with_its_seal() -> None:
    async def scenario() -> None:
        edge = card_edge("w1", "w2")
        edge.workers.scripts = {name: answers(whole(b"broken", 500)) for name in ("w1", "w2")}
        answer = await edge.ask("/pay/1")
        assert (answer.status, answer.body, answer.sealed) == (500, b"broken", True)
        assert len(edge.workers.arrivals) == 1

    run_virtual(scenario())


def test_an_unconfirmed_503_of_a_worker_is_not_forwarded_as_not_executed() -> None:
    async def scenario() -> None:
        edge = card_edge("w1", "w2")
        edge.workers.scripts = {name: answers(whole(b"busy", 503)) for name in ("w1", "w2")}
        answer = await edge.ask("/pay/1")
        assert answer.status == 502 and not answer.sealed
        assert len(edge.workers.arrivals) == 1

    run_virtual(scenario())


def test_an_unresponsive_worker_leads_to_a_504_at_the_deadline() -> None:
    async def scenario() -> None:
        edge = card_edge("w1")
        edge.workers.scripts["w1"] = silent
        answer = await edge.ask("/pay/1", (b"X-Deadline-Ms", b"700"))
        assert answer.status == 504
        assert answer.ended_s == pytest.approx(0.7, abs=0.01)

    run_virtual(scenario())


def test_the_routes_timeout_bounds_a_longer_deadline() -> None:
    async def scenario() -> None:
        edge = card_edge("w1")
        edge.workers.scripts["w1"] = silent
        answer = await edge.ask("/pay/1", (b"X-Deadline-Ms", b"60000"))
        assert answer.ended_s == pytest.approx(4.0, abs=0.01)

    run_virtual(scenario())


def test_a_draining_worker_gets_no_requests_even_after_an_update_from_another_origin() -> None:
    async def scenario() -> None:
        edge = card_edge("w1")
        edge.workers.scripts["w1"] = answers(whole())
        edge.depart("w1")
        assert (await edge.ask("/pay/1")).status == 503
        edge.tell(WorkerUpdate("other", 5, worker("w1", "cards", "available", call=9)))
        assert (await edge.ask("/pay/1")).status == 503
        assert edge.workers.arrivals == []

    run_virtual(scenario())


def test_the_split_follows_the_weights() -> None:
    async def scenario() -> None:
        split = [{"targetService": "a", "weight": 90}, {"targetService": "b", "weight": 10}]
        shared = route("shared", "/s/", "a", "idempotent", trafficSplit=split)
        del shared["targetService"]
        edge = EdgeHarness([shared], (worker("wa", "a"), worker("wb", "b")))
        edge.workers.scripts = {"wa": answers(whole()), "wb": answers(whole())}
        for _ in range(300):
            await edge.ask("/s/1")
        assert 10 <= edge.workers.receivers().count("wb") <= 55

    run_virtual(scenario())


def test_a_request_that_waits_for_its_model_is_sent_when_a_worker_has_it() -> None:
    async def scenario() -> None:
        edge = model_edge()
        edge.workers.scripts["m1"] = answers(events(1, 1))
        task = asyncio.create_task(edge.ask("/talk/1"))
        await asyncio.sleep(0.4)
        edge.tell(WorkerUpdate("origin", 2, worker("m1", "models")))
        answer = await task
        assert answer.complete
        assert answer.ended_s == pytest.approx(0.43, abs=0.01)

    run_virtual(scenario())


def test_a_later_configuration_replaces_the_routes_and_an_older_one_does_not() -> None:
    async def scenario() -> None:
        edge = card_edge("w1")
        edge.workers.scripts["w1"] = answers(whole())
        new_configuration = configuration([route("new", "/new/", "cards", "idempotent")], version=5)
        edge.tell(configuration_update(new_configuration, sequence=7))
        assert (await edge.ask("/pay/1")).status == 404
        assert (await edge.ask("/new/1")).status == 200
        edge.tell(configuration_update(configuration(ROUTES, version=1), sequence=3))
        assert (await edge.ask("/pay/1")).status == 404

    run_virtual(scenario())


def test_a_new_edge_ignores_a_control_node_that_is_not_current() -> None:
    async def scenario() -> None:
        edge = EdgeHarness()
        edge.tell(configuration_update(configuration(ROUTES)), current=False)
        assert (await edge.ask("/pay/1")).status == 503

    run_virtual(scenario())


def test_the_retry_budget_limits_the_repeats() -> None:
    async def scenario() -> None:
        edge = card_edge("w1", "w2")
        edge.workers.scripts = {name: answers(rejected(), after_s=0.0) for name in ("w1", "w2")}
        for _ in range(200):
            await edge.ask("/look/1")
        repeats = len(edge.workers.arrivals) - 200
        assert 0 < repeats <= 0.2 * 200 + 50 / 4

    run_virtual(scenario())


def test_given_a_load_that_ends_late_then_its_request_is_retried_and_served() -> None:
    async def scenario() -> None:
        # Given a worker that, unlike its record, has not loaded the model when the request arrives
        edge = EdgeHarness(
            [route("talk", "/talk/", "models", "streaming", maxAttempts=1, resumable=True)],
            (worker("w1", "models"),),
        )
        edge.workers.scripts["w1"] = answers(rejected(421), rejected(421), events(1, 2))
        # When the request is forwarded
        answer = await edge.ask("/talk/1")
        # Then it is retried there until the model is loaded; misdirections do not count as attempts
        assert answer.status == 200 and answer.complete
        assert edge.workers.receivers() == ["w1", "w1", "w1"]

    run_virtual(scenario())


def test_given_a_worker_that_never_has_the_model_then_the_request_is_refused() -> None:
    async def scenario() -> None:
        edge = EdgeHarness(
            [route("talk", "/talk/", "models", "streaming", maxAttempts=1, resumable=True)],
            (worker("w1", "models"),),
        )
        edge.workers.scripts["w1"] = answers(rejected(421))
        answer = await edge.ask("/talk/1")
        assert answer.status == 503 and not answer.sealed
        assert len(edge.workers.arrivals) <= 5

    run_virtual(scenario())


# Guards against TWICE: the second 421 of a worker may be a surplus answer to the first send, while the second
# send runs; it may come on any connection to the worker.
def test_given_a_second_421_of_a_worker_then_a_stream_that_may_run_once_is_not_sent_a_third_time() -> None:
    async def scenario() -> None:
        edge = EdgeHarness(
            [route("draft", "/draft/", "models", "streaming", maxAttempts=1)], (worker("w1", "models"),)
        )
        edge.workers.scripts["w1"] = answers(rejected(421), rejected(421), events(1, 2))
        answer = await edge.ask("/draft/1")
        assert answer.status == 502 and not answer.sealed
        assert edge.workers.receivers() == ["w1", "w1"]

    run_virtual(scenario())


def test_given_a_load_that_ends_late_then_a_stream_that_may_run_once_is_served_by_its_second_send() -> None:
    async def scenario() -> None:
        edge = EdgeHarness(
            [route("draft", "/draft/", "models", "streaming", maxAttempts=1)], (worker("w1", "models"),)
        )
        edge.workers.scripts["w1"] = answers(rejected(421), events(1, 2))
        answer = await edge.ask("/draft/1")
        assert answer.status == 200 and answer.complete
        assert edge.workers.receivers() == ["w1", "w1"]

    run_virtual(scenario())
