"""Sequences of invalid answers: no client gets another's answer, and no unrepeatable request runs twice."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from arrowfold.dataplane.options import DataPlaneOptions
from arrowfold.dataplane.worker_connections import WorkerConnections
from arrowfold.internal.channel import ChannelClient, _frame, _read_frame
from arrowfold.internal.messages import SubmitChange, SubmitResult
from arrowfold.standins.servers import free_port
from tests.system.edge_stories import ROUTES, EdgeHarness, RecordedAnswer, worker
from tests.system.misbehaving_workers import BEHAVIOURS, MemoryLoop, MisbehavingWorker, WorkerScript
from tests.system.virtual_time import VirtualTimeLoop

PATHS = {"once": "/pay/1", "repeatable": "/look/1"}
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
MAX_ATTEMPTS = 2  # of the routes
HANG_TIMEOUT_S = 30.0  # only prevents the test from hanging
behaviours = st.lists(st.sampled_from(BEHAVIOURS), max_size=6)
bodies = st.sampled_from([b"", b"x" * 10, b"y" * 200_000])


class ConnectionMachine(RuleBasedStateMachine):
    """An edge's forwarder on its real connections, with misbehaving workers in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.script = WorkerScript(random.Random(1))
        self.edge: Any = None
        self.loop.run_until_complete(self._set_up())

    async def _set_up(self) -> None:
        records = tuple(worker(name, "cards") for name in ("w1", "w2", "w3"))
        self.edge = EdgeHarness(ROUTES, records)
        self.connections = WorkerConnections()
        self.connections._loop = MemoryLoop(asyncio.get_running_loop(), self.script)  # type: ignore[assignment]
        self.connections.set_connection_limits({record.instance: 4 for record in records})
        self.edge.forwarder._transport = self.connections

    @rule(scripted=behaviours, number=st.integers(1, 4), kind=st.sampled_from(list(PATHS)), body=bodies)
    def send_requests(self, scripted: list[str], number: int, kind: str, body: bytes) -> None:
        """Send several requests concurrently."""
        self.script.behaviours = list(scripted)
        self.loop.run_until_complete(self._send_concurrently(number, kind, body))

    @rule(wait_s=st.sampled_from([0.001, 0.02, 0.5, 3.0]))
    def wait(self, wait_s: float) -> None:
        """Let time pass, so that second answers arrive and connections expire."""
        self.loop.run_until_complete(asyncio.sleep(wait_s))
        self.loop.run_until_complete(self._expire())

    async def _expire(self) -> None:
        self.connections.close_expired()

    async def _send_concurrently(self, number: int, kind: str, body: bytes) -> None:
        requests = [self.edge.request(PATHS[kind], body=body) for _ in range(number)]
        answers = [RecordedAnswer() for _ in requests]
        await asyncio.gather(
            *(self.edge.forwarder.forward(*pair) for pair in zip(requests, answers, strict=True))
        )
        for request, answer in zip(requests, answers, strict=True):
            attempt = dict(request.headers)[b"X-Attempt-Id"].decode()
            self._check(attempt, kind, answer)

    def _check(self, attempt: str, kind: str, answer: RecordedAnswer) -> None:
        assert answer.complete or answer.aborted
        if answer.sealed:
            assert answer.body == attempt.encode(), "the answer to another request"
            assert self.script.runs[attempt] >= 1
        if kind == "once":
            assert self.script.runs[attempt] <= 1, "run twice"
            if answer.status in NOT_EXECUTED_STATUSES:
                assert self.script.runs[attempt] == 0, "ran although answered as not executed"
        free_misdirections = min(self.script.misdirections[attempt], DataPlaneOptions().misdirections)
        assert self.script.arrivals[attempt] - free_misdirections <= MAX_ATTEMPTS

    def teardown(self) -> None:
        self.loop.close()


ConnectionMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=12, deadline=None)
TestConnections = ConnectionMachine.TestCase


def test_given_a_refusal_and_misdirections_then_only_the_refusal_counts_as_an_attempt() -> None:
    machine = ConnectionMachine()
    scripted = ["refuse", "misdirect", "misdirect", "misdirect"]
    machine.send_requests(scripted, number=1, kind="once", body=b"")
    machine.teardown()


@settings(max_examples=12, deadline=None)
@given(st.lists(behaviours, min_size=1, max_size=4))
def test_given_misbehaving_workers_over_sockets_then_every_answer_reaches_its_own_client(
    rounds: list[list[str]],
) -> None:
    async def scenario() -> None:
        script = WorkerScript(random.Random(1))
        port = free_port()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: MisbehavingWorker(script), "127.0.0.1", port)
        record = worker("w1", "cards")
        edge = EdgeHarness(ROUTES, (record,))
        connections = WorkerConnections()
        connections.set_connection_limits({"w1": 4})
        edge.forwarder._transport = _FixedAddressTransport(connections, f"127.0.0.1:{port}")  # type: ignore[assignment]
        for scripted in rounds:
            script.behaviours = list(scripted)
            requests = [edge.request("/pay/1", body=b"z" * 100_000) for _ in range(3)]
            answers = [RecordedAnswer() for _ in requests]
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await asyncio.gather(
                    *(edge.forwarder.forward(*pair) for pair in zip(requests, answers, strict=True))
                )
            for request, answer in zip(requests, answers, strict=True):
                attempt = dict(request.headers)[b"X-Attempt-Id"].decode()
                assert not answer.sealed or answer.body == attempt.encode()
                assert script.runs[attempt] <= 1
        server.close()

    asyncio.run(scenario())


class _FixedAddressTransport:
    """Sends to a fixed address instead of that of the worker's record."""

    def __init__(self, connections: WorkerConnections, address: str) -> None:
        self._connections = connections
        self._address = address

    async def send(self, instance: str, _: str, request: Any) -> Any:
        return await self._connections.send(instance, self._address, request)


# The internal channel

PEER_BEHAVIOURS = ("answer", "twice", "other number", "late", "half", "reset", "garbage")


async def _serve_badly(
    peer_behaviours: list[str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter, seen: list[bytes]
) -> None:
    """A channel peer that treats each call by the next behaviour."""
    try:
        while True:
            number, body = await _read_frame(reader)
            seen.append(body.body)
            frame = _frame(number, SubmitResult(200, body.body))
            behaviour = peer_behaviours.pop(0) if peer_behaviours else "answer"
            if behaviour == "twice":
                writer.write(frame + frame)
            elif behaviour == "other number":
                writer.write(_frame(number + 1_000, SubmitResult(200, b"not yours")) + frame)
            elif behaviour == "late":
                asyncio.get_running_loop().call_later(0.08, writer.write, frame)
            elif behaviour == "half":
                writer.write(frame[:-2])
                writer.transport.abort()
            elif behaviour == "reset":
                writer.transport.abort()
            elif behaviour == "garbage":
                writer.write(b"\xff" * 64)
            else:
                writer.write(frame)
    except (OSError, asyncio.IncompleteReadError):
        writer.transport.abort()


@settings(max_examples=25, deadline=None)
@given(st.lists(st.sampled_from(PEER_BEHAVIOURS), max_size=12), st.integers(1, 6))
def test_given_a_misbehaving_channel_peer_then_no_call_gets_the_answer_of_another(
    peer_behaviours: list[str], concurrent_calls: int
) -> None:
    async def scenario() -> None:
        seen: list[bytes] = []
        remaining = list(peer_behaviours)
        server = await asyncio.start_server(
            lambda reader, writer: _serve_badly(remaining, reader, writer, seen), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()[:2]
        client = ChannelClient()
        sent = 0
        for _ in range(4):
            calls = []
            for _ in range(concurrent_calls):
                sent += 1
                body = b"call-%d" % sent
                calls.append(_one_call(client, f"{host}:{port}", body))
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await asyncio.gather(*calls)
        assert len(seen) == len(set(seen)), "a call was sent twice"
        client.close()
        server.close()

    asyncio.run(scenario())


async def _one_call(client: ChannelClient, address: str, body: bytes) -> None:
    answer = await client.call(address, SubmitChange("PUT", "1", body), 0.05)
    if answer.is_ok():
        assert answer.unwrap() == SubmitResult(200, body)
