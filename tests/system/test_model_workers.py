"""The stand-in workers and the trial's client behave as the trial and its checks require."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from aiohttp import web

from arrowfold.standins.model_workers import (
    ATTEMPT_HEADER,
    SEAL_HEADER,
    STREAM_EVENTS,
    StandInWorker,
    WorkerProfile,
    event_text,
)
from arrowfold.standins.trial_client import Outcome, RequestKind, Tally, TrialClient

CHAT = RequestKind("chat", "/chat/", streams=True, model="m")
HOST = "127.0.0.1"


def with_worker(
    scenario: Callable[[StandInWorker, aiohttp.ClientSession], Awaitable[None]], streams: bool = True
) -> list[dict[str, Any]]:
    """Run a scenario with one worker; returns the calls that a stand-in control node received."""
    calls: list[dict[str, Any]] = []

    async def record_call(request: web.Request) -> web.Response:
        body = await request.json() if request.can_read_body else {}
        calls.append({"method": request.method, "path": request.path, **body})
        return web.Response()

    async def run_scenario() -> None:
        application = web.Application()
        application.router.add_route("*", "/instances/{id}", record_call)
        control = web.AppRunner(application)
        await control.setup()
        await web.TCPSite(control, HOST, 0).start()
        control_address = f"{HOST}:{control.addresses[0][1]}"
        worker = StandInWorker(WorkerProfile("i-1", "chat", "z", streams, ["m"]), [control_address], 0.05)
        try:
            await worker.start(HOST)
            async with aiohttp.ClientSession() as session:
                await scenario(worker, session)
        finally:
            await worker.stop()
            await control.cleanup()

    asyncio.run(run_scenario())
    return calls


async def post(
    session: aiohttp.ClientSession, worker: StandInWorker, path: str, headers: dict[str, str], body: str = ""
) -> tuple[int, dict[str, str], str]:
    async with session.post(f"http://{worker.address}{path}", data=body, headers=headers) as answer:
        return answer.status, dict(answer.headers), await answer.text()


def test_a_stream_has_all_its_events_and_resumes_after_the_last_received_one() -> None:
    async def scenario(worker: StandInWorker, session: aiohttp.ClientSession) -> None:
        status, headers, text = await post(session, worker, "/chat/x", {ATTEMPT_HEADER: "a"})
        assert status == 200 and headers[ATTEMPT_HEADER] == "a" and SEAL_HEADER in headers
        assert text == "".join(event_text(number) for number in range(1, STREAM_EVENTS + 1))
        resumed = {ATTEMPT_HEADER: "b", "Last-Event-Id": str(STREAM_EVENTS - 1)}
        assert (await post(session, worker, "/chat/x", resumed))[2] == event_text(STREAM_EVENTS)
        assert [run.attempt for run in worker.runs] == ["a", "b"]

    with_worker(scenario)


def test_a_request_for_another_worker_or_model_is_refused_and_not_run() -> None:
    async def scenario(worker: StandInWorker, session: aiohttp.ClientSession) -> None:
        other = {ATTEMPT_HEADER: "a", "X-Target-Instance": "i-2"}
        assert (await post(session, worker, "/chat/x", other))[0] == 421
        assert (await post(session, worker, "/chat/x", {ATTEMPT_HEADER: "a", "X-Model": "q/a1"}))[0] == 421
        assert (await post(session, worker, "/chat/x", {}))[0] == 400
        assert worker.runs == []

    with_worker(scenario)


def test_an_order_loads_a_model_and_one_without_fencing_token_is_refused() -> None:
    async def scenario(worker: StandInWorker, session: aiohttp.ClientSession) -> None:
        order = {"operation": "load", "model": "q", "holder": "n"}
        assert (await post(session, worker, "/order", {}, json.dumps(order)))[0] == 400
        assert (await post(session, worker, "/order", {}, json.dumps({**order, "fenceToken": 1})))[0] == 202
        async with session.get(f"http://{worker.address}/report") as answer:
            report = await answer.json()
        assert [model["name"] for model in report["models"]] == ["m", "q"]

    with_worker(scenario)


def test_heartbeats_are_numbered_in_order_and_a_drain_and_a_departure_are_reported() -> None:
    async def scenario(worker: StandInWorker, _: aiohttp.ClientSession) -> None:
        await worker.drain()
        await worker.leave()

    calls = with_worker(scenario)
    assert calls[-1] == {"method": "DELETE", "path": "/instances/i-1"}
    heartbeats = [call for call in calls if call["method"] == "PUT"]
    assert heartbeats[-1]["state"] == "draining" and heartbeats[-1]["targetService"] == "chat"
    assert [call["callSeq"] for call in heartbeats] == sorted({call["callSeq"] for call in heartbeats})


def test_the_client_of_the_trial_accepts_only_a_whole_answer() -> None:
    async def scenario(worker: StandInWorker, _: aiohttp.ClientSession) -> None:
        tally = Tally()
        client = TrialClient("h.example", tally)
        assert await client.send(CHAT, [worker.address]) is Outcome.SERVED
        lookup = RequestKind("lookup", "/lookup/")
        assert await client.send(lookup, [worker.address]) is Outcome.WRONG
        assert len(tally.faults) == 1
        worker.profile.capacity_slots = 0
        assert await client.send(CHAT, [worker.address]) is Outcome.REFUSED
        await client.close()

    with_worker(scenario)
