"""Stories about one request at an edge: where it goes, what counts as run, what the client gets."""

from __future__ import annotations

import asyncio

import pytest

from arrowfold.dataplane.exchange import SendFailure
from arrowfold.internal.messages import WorkerUpdate
from tests.system.edge_stories import (
    HOST,
    ROUTES,
    EdgeStory,
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


def cards(*names: str) -> EdgeStory:
    """An edge with these card workers."""
    return EdgeStory(ROUTES, tuple(worker(name, "cards") for name in names))


def models(*names: str) -> EdgeStory:
    """An edge with these model workers."""
    return EdgeStory(ROUTES, tuple(worker(name, "models") for name in names))


ONE_ATTEMPT = route("talk", "/talk/", "models", "streaming", maxAttempts=1)


def header_of(request_headers: tuple[tuple[bytes, bytes], ...], name: bytes) -> list[bytes]:
    return [value for key, value in request_headers if key.lower() == name]


def test_before_any_configuration_requests_are_refused_with_a_promise() -> None:
    async def story() -> None:
        edge = EdgeStory()
        answer = await edge.ask("/pay/1")
        assert answer.status == 503
        assert answer.header("Retry-After") is not None
        assert answer.ended_s <= 0.8 + 0.01

    run_virtual(story())


def test_a_request_that_comes_before_the_first_configuration_waits_a_little_for_it() -> None:
    async def story() -> None:
        edge = EdgeStory()
        edge.workers.scripts["w1"] = answers(whole())
        task = asyncio.create_task(edge.ask("/pay/1"))
        await asyncio.sleep(0.5)
        updates = (configuration_update(configuration(ROUTES)), WorkerUpdate("o", 1, worker("w1", "cards")))
        edge.tell(*updates)
        answer = await task
        assert answer.status == 200
        assert answer.ended_s == pytest.approx(0.51, abs=0.01)

    run_virtual(story())


def test_an_unknown_path_or_host_gets_404() -> None:
    async def story() -> None:
        edge = cards("w1")
        assert (await edge.ask("/nowhere/1")).status == 404
        assert edge.workers.arrivals == []

    run_virtual(story())


def test_the_request_reaches_the_worker_unchanged() -> None:
    async def story() -> None:
        edge = cards("w1")
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
        assert header_of(sent.headers, b"x-custom") == [b"kept"]
        assert header_of(sent.headers, b"x-secret") == []
        assert header_of(sent.headers, b"x-target-instance") == [b"w1"]
        assert header_of(sent.headers, b"host") == [HOST.encode()]
        assert header_of(sent.headers, b"x-attempt-id") == [b"attempt-1"]

    run_virtual(story())


def test_the_worker_is_told_what_is_left_of_the_deadline() -> None:
    async def story() -> None:
        edge = cards("w1", "w2")
        edge.workers.scripts["w1"] = answers(rejected(), after_s=0.3)
        edge.workers.scripts["w2"] = answers(rejected(), after_s=0.3)
        await edge.ask("/pay/1", (b"X-Deadline-Ms", b"1000"))
        left = [int(header_of(sent.headers, b"x-deadline-ms")[0]) for _, sent in edge.workers.arrivals]
        assert left[0] == 1000
        assert 690 <= left[1] <= 700

    run_virtual(story())


def test_a_rejected_request_goes_on_to_another_worker() -> None:
    async def story() -> None:
        edge = cards("w1", "w2")
        edge.workers.scripts["w1"] = answers(rejected())
        edge.workers.scripts["w2"] = answers(rejected())
        answer = await edge.ask("/pay/1")
        assert sorted(edge.workers.receivers()) == ["w1", "w2"]
        assert answer.status == 503 and not answer.sealed
        assert answer.header("Retry-After") is not None

    run_virtual(story())


@pytest.mark.parametrize("lost", [SendFailure.LOST, ScriptedAnswer(200, (), ((0, b"half"),), breaks=True)])
def test_what_may_have_run_is_not_repeated_and_gets_no_promise(lost: ScriptedAnswer | SendFailure) -> None:
    async def story() -> None:
        edge = cards("w1", "w2")
        edge.workers.scripts = {"w1": answers(lost), "w2": answers(lost)}
        answer = await edge.ask("/pay/1")
        assert len(edge.workers.arrivals) == 1
        assert answer.status == 502 and not answer.sealed

    run_virtual(story())


def test_an_idempotent_request_is_repeated_after_a_loss() -> None:
    async def story() -> None:
        edge = cards("w1", "w2")
        edge.workers.scripts = {"w1": answers(SendFailure.LOST), "w2": answers(SendFailure.LOST)}
        await edge.ask("/look/1")
        assert sorted(edge.workers.receivers()) == ["w1", "w2"]

    run_virtual(story())


def test_an_unreachable_worker_counts_as_no_attempt() -> None:
    async def story() -> None:
        edge = cards("dead1", "dead2", "dead3", "w1")
        edge.workers.scripts["w1"] = answers(whole())
        for _ in range(8):
            assert (await edge.ask("/pay/1")).status == 200

    run_virtual(story())


def test_a_request_to_no_reachable_worker_gets_a_promise() -> None:
    async def story() -> None:
        edge = cards("dead1", "dead2")
        assert (await edge.ask("/pay/1")).status == 503

    run_virtual(story())


def test_a_failure_of_the_worker_is_passed_on_with_its_seal() -> None:
    async def story() -> None:
        edge = cards("w1", "w2")
        edge.workers.scripts = {name: answers(whole(b"broken", 500)) for name in ("w1", "w2")}
        answer = await edge.ask("/pay/1")
        assert (answer.status, answer.body, answer.sealed) == (500, b"broken", True)
        assert len(edge.workers.arrivals) == 1

    run_virtual(story())


def test_an_unproven_503_of_a_worker_is_no_promise_to_the_client() -> None:
    async def story() -> None:
        edge = cards("w1", "w2")
        edge.workers.scripts = {name: answers(whole(b"busy", 503)) for name in ("w1", "w2")}
        answer = await edge.ask("/pay/1")
        assert answer.status == 502 and not answer.sealed
        assert len(edge.workers.arrivals) == 1

    run_virtual(story())


def test_a_silent_worker_ends_in_504_at_the_deadline() -> None:
    async def story() -> None:
        edge = cards("w1")
        edge.workers.scripts["w1"] = silent
        answer = await edge.ask("/pay/1", (b"X-Deadline-Ms", b"700"))
        assert answer.status == 504
        assert answer.ended_s == pytest.approx(0.7, abs=0.01)

    run_virtual(story())


def test_the_routes_timeout_bounds_a_longer_deadline() -> None:
    async def story() -> None:
        edge = cards("w1")
        edge.workers.scripts["w1"] = silent
        answer = await edge.ask("/pay/1", (b"X-Deadline-Ms", b"60000"))
        assert answer.ended_s == pytest.approx(4.0, abs=0.01)

    run_virtual(story())


def test_a_draining_worker_gets_nothing_more_even_from_older_news() -> None:
    async def story() -> None:
        edge = cards("w1")
        edge.workers.scripts["w1"] = answers(whole())
        edge.depart("w1")
        assert (await edge.ask("/pay/1")).status == 503
        edge.tell(WorkerUpdate("other", 5, worker("w1", "cards", "available", call=9)))
        assert (await edge.ask("/pay/1")).status == 503
        assert edge.workers.arrivals == []

    run_virtual(story())


def test_the_split_follows_the_weights() -> None:
    async def story() -> None:
        split = [{"targetService": "a", "weight": 90}, {"targetService": "b", "weight": 10}]
        shared = route("shared", "/s/", "a", "idempotent", trafficSplit=split)
        del shared["targetService"]
        edge = EdgeStory([shared], (worker("wa", "a"), worker("wb", "b")))
        edge.workers.scripts = {"wa": answers(whole()), "wb": answers(whole())}
        for _ in range(300):
            await edge.ask("/s/1")
        assert 10 <= edge.workers.receivers().count("wb") <= 55

    run_virtual(story())


def test_a_request_that_waits_for_its_model_goes_out_when_a_worker_has_it() -> None:
    async def story() -> None:
        edge = models()
        edge.workers.scripts["m1"] = answers(events(1, 1))
        task = asyncio.create_task(edge.ask("/talk/1"))
        await asyncio.sleep(0.4)
        edge.tell(WorkerUpdate("origin", 2, worker("m1", "models")))
        answer = await task
        assert answer.complete
        assert answer.ended_s == pytest.approx(0.43, abs=0.01)

    run_virtual(story())


def test_a_later_configuration_replaces_the_routes_and_an_older_one_never_does() -> None:
    async def story() -> None:
        edge = cards("w1")
        edge.workers.scripts["w1"] = answers(whole())
        fresh = configuration([route("new", "/new/", "cards", "idempotent")], version=5)
        edge.tell(configuration_update(fresh, sequence=7))
        assert (await edge.ask("/pay/1")).status == 404
        assert (await edge.ask("/new/1")).status == 200
        edge.tell(configuration_update(configuration(ROUTES, version=1), sequence=3))
        assert (await edge.ask("/pay/1")).status == 404

    run_virtual(story())


def test_a_newcomer_takes_nothing_from_a_control_node_that_is_not_current() -> None:
    async def story() -> None:
        edge = EdgeStory()
        edge.tell(configuration_update(configuration(ROUTES)), current=False)
        assert (await edge.ask("/pay/1")).status == 503

    run_virtual(story())


def test_the_retry_budget_ends_the_repeats() -> None:
    async def story() -> None:
        edge = cards("w1", "w2")
        edge.workers.scripts = {name: answers(rejected(), after_s=0.0) for name in ("w1", "w2")}
        for _ in range(200):
            await edge.ask("/look/1")
        repeats = len(edge.workers.arrivals) - 200
        assert 0 < repeats <= 0.2 * 200 + 50 / 4

    run_virtual(story())


def test_given_a_load_that_ends_a_little_late_then_its_request_is_sent_again_and_served() -> None:
    async def story() -> None:
        # Given a worker that does not hold the model yet when the request comes, though it was said to
        edge = EdgeStory(
            [route("talk", "/talk/", "models", "streaming", maxAttempts=1)], (worker("w1", "models"),)
        )
        edge.workers.scripts["w1"] = answers(rejected(421), rejected(421), events(1, 2))
        # When it is asked
        answer = await edge.ask("/talk/1")
        # Then it is asked again until it does; the refusals cost no attempt
        assert answer.status == 200 and answer.complete
        assert edge.workers.receivers() == ["w1", "w1", "w1"]

    run_virtual(story())


def test_given_a_worker_that_never_holds_the_class_then_the_request_is_refused_in_the_end() -> None:
    async def story() -> None:
        edge = EdgeStory(
            [route("talk", "/talk/", "models", "streaming", maxAttempts=1)], (worker("w1", "models"),)
        )
        edge.workers.scripts["w1"] = answers(rejected(421))
        answer = await edge.ask("/talk/1")
        assert answer.status == 503 and not answer.sealed
        assert len(edge.workers.arrivals) <= 5

    run_virtual(story())
