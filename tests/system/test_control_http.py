"""The control node's HTTP interface on loopback, with callers that speak raw bytes."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import cast

import pytest
from result import Err, Ok, Result
from sanic import Sanic

from arrowfold.controlplane.changes import ConfigurationService
from arrowfold.controlplane.http_interface import MAX_BODY_BYTES, ControlHttpServer, build_application, serve
from arrowfold.controlplane.registration import RegistrationFault, RegistrationService
from arrowfold.internal.messages import SubmitChange, SubmitDeparture, SubmitResult, WorkerRecord
from arrowfold.node.result_codes import ResultCode

LIMIT_S = 10.0  # of a whole story
BEAT = json.dumps(
    {
        "targetService": "llm",
        "address": "10.0.0.9:80",
        "zone": "z0",
        "version": "v1",
        "capacitySlots": 64,
        "state": "available",
        "coldLeftMs": 0,
        "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": ["a1"]}],
        "callSeq": 4,
    }
).encode()


class Configurations:
    """Takes every change and remembers it."""

    def __init__(self) -> None:
        self.changes: list[SubmitChange] = []
        self.takes_s = 0.0

    async def submit(self, change: SubmitChange) -> SubmitResult:
        self.changes.append(change)
        await asyncio.sleep(self.takes_s)
        return SubmitResult(200, b'{"taken":true}')

    async def read(self) -> SubmitResult:
        return SubmitResult(200, b'{"version":7}')


class Registrations:
    """Takes every call and remembers it; departures are refused while `durable` is false."""

    def __init__(self) -> None:
        self.records: list[WorkerRecord] = []
        self.departed: list[SubmitDeparture] = []
        self.durable = True

    async def register(self, record: WorkerRecord) -> Result[None, RegistrationFault]:
        self.records.append(record)
        return Ok(None)

    async def depart(self, notice: SubmitDeparture) -> Result[None, RegistrationFault]:
        if not self.durable:
            return Err(RegistrationFault(ResultCode.REGISTRATION_NOT_DURABLE, "no primary"))
        self.departed.append(notice)
        return Ok(None)


class Caller:
    """One connection that writes bytes and reads whole answers."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def write(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self) -> tuple[int, bytes]:
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1])
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"content-length")
        )
        return int(head.split(b" ")[1]), await self.reader.readexactly(length)

    def reset(self) -> None:
        self.writer.transport.abort()


class Stage:
    """A control node's HTTP interface at a free port of loopback."""

    def __init__(
        self,
        address: str,
        configurations: Configurations,
        registrations: Registrations,
        server: ControlHttpServer,
    ) -> None:
        self.address, self.configurations, self.registrations = address, configurations, registrations
        self.server = server

    async def call(self) -> Caller:
        host, port = self.address.rsplit(":", 1)
        return Caller(*await asyncio.open_connection(host, int(port)))


@asynccontextmanager
async def staged() -> AsyncIterator[Stage]:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    Sanic._app_registry.clear()
    configurations, registrations = Configurations(), Registrations()
    application = build_application(
        cast(ConfigurationService, configurations), cast(RegistrationService, registrations)
    )
    application.config.TOUCHUP = False  # Sanic's rewriting of its own methods works once in a process
    server = await serve(application, address)
    try:
        yield Stage(address, configurations, registrations, server)
    finally:
        await server.end(0.0)


def play(story: Callable[[Stage], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(LIMIT_S), staged() as stage:
            await story(stage)

    asyncio.run(bounded())


def request(method: str, path: str, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: control", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def test_a_change_that_comes_byte_by_byte_is_taken_whole() -> None:
    async def story(stage: Stage) -> None:
        caller = await stage.call()
        for byte in request("PUT", "/configuration", b'{"version":2}', "If-Match: 1"):
            await caller.write(bytes([byte]))
        assert await caller.answer() == (200, b'{"taken":true}')
        assert stage.configurations.changes == [SubmitChange("PUT", "1", b'{"version":2}')]

    play(story)


def test_a_chunked_change_is_taken_whole() -> None:
    async def story(stage: Stage) -> None:
        caller = await stage.call()
        await caller.write(
            b"PATCH /configuration HTTP/1.1\r\nHost: c\r\nIf-Match: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for part in (b'{"ver', b'sion":4}'):
            await caller.write(b"%x\r\n%s\r\n" % (len(part), part))
        await caller.write(b"0\r\n\r\n")
        assert (await caller.answer())[0] == 200
        assert stage.configurations.changes == [SubmitChange("PATCH", "3", b'{"version":4}')]

    play(story)


def test_a_change_cut_short_by_a_reset_or_an_end_is_never_submitted() -> None:
    async def story(stage: Stage) -> None:
        whole = request("PUT", "/configuration", b'{"version":2}', "If-Match: 1")
        for cut in (len(whole) - 1, len(whole) - 8, 20):
            broken = await stage.call()
            await broken.write(whole[:cut])
            broken.reset()
            ended = await stage.call()
            await ended.write(whole[:cut])
            ended.writer.write_eof()
        later = await stage.call()
        await later.write(request("GET", "/configuration"))
        assert await later.answer() == (200, b'{"version":7}')
        assert stage.configurations.changes == []

    play(story)


def test_pipelined_calls_are_answered_in_turn() -> None:
    async def story(stage: Stage) -> None:
        caller = await stage.call()
        beats = b"".join(request("PUT", f"/instances/i-{number}", BEAT) for number in range(3))
        await caller.write(beats + request("GET", "/configuration"))
        assert [(await caller.answer())[0] for _ in range(3)] == [200, 200, 200]
        assert await caller.answer() == (200, b'{"version":7}')
        assert [record.instance for record in stage.registrations.records] == ["i-0", "i-1", "i-2"]

    play(story)


def test_a_caller_that_half_closes_gets_its_answer() -> None:
    async def story(stage: Stage) -> None:
        caller = await stage.call()
        await caller.write(request("PUT", "/instances/i-1", BEAT))
        caller.writer.write_eof()
        assert (await caller.answer())[0] == 200

    play(story)


def test_what_a_worker_says_of_itself_is_read() -> None:
    async def story(stage: Stage) -> None:
        caller = await stage.call()
        await caller.write(request("PUT", "/instances/i-1", BEAT))
        assert (await caller.answer())[0] == 200
        (record,) = stage.registrations.records
        assert (record.instance, record.service, record.call_sequence) == ("i-1", "llm", 4)
        assert [(model.name, model.adapters) for model in record.models] == [("m", ("a1",))]

    play(story)


def test_the_time_left_of_a_worker_that_is_taken_away_is_read() -> None:
    async def story(stage: Stage) -> None:
        caller = await stage.call()
        leaving = BEAT.replace(b'"available"', b'"draining", "remainingMs": 1500')
        await caller.write(request("PUT", "/instances/i-1", leaving))
        assert (await caller.answer())[0] == 200
        (record,) = stage.registrations.records
        assert (record.state, record.remaining_ms) == ("draining", 1500)

    play(story)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", BEAT.replace(b'"callSeq": 4', b'"callSeq": "x"')])
def test_a_bad_heartbeat_is_refused_and_the_connection_goes_on(body: bytes) -> None:
    async def story(stage: Stage) -> None:
        caller = await stage.call()
        await caller.write(request("PUT", "/instances/i-1", body))
        status, told = await caller.answer()
        assert status == 400
        assert json.loads(told)["code"] == int(ResultCode.REGISTRATION_INVALID)
        await caller.write(request("PUT", "/instances/i-1", BEAT))
        assert (await caller.answer())[0] == 200
        assert len(stage.registrations.records) == 1

    play(story)


def test_a_departure_is_acknowledged_only_once_it_is_durable() -> None:
    async def story(stage: Stage) -> None:
        caller = await stage.call()
        stage.registrations.durable = False
        await caller.write(request("DELETE", "/instances/i-1"))
        assert (await caller.answer())[0] == 503
        stage.registrations.durable = True
        await caller.write(request("DELETE", "/instances/i-1"))
        assert (await caller.answer())[0] == 200
        assert [notice.instance for notice in stage.registrations.departed] == ["i-1"]

    play(story)


def test_eight_changes_at_once_are_all_submitted() -> None:
    async def story(stage: Stage) -> None:
        async def send(number: int) -> int:
            caller = await stage.call()
            await caller.write(request("PATCH", "/configuration", b"%d" % number, "If-Match: 1"))
            return (await caller.answer())[0]

        assert await asyncio.gather(*(send(number) for number in range(8))) == [200] * 8
        assert sorted(change.body for change in stage.configurations.changes) == [b"%d" % n for n in range(8)]

    play(story)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/nothing", 404), ("POST", "/configuration", 405), ("GET", "/instances/i-1", 405)],
)
def test_what_is_not_there_is_refused_and_nothing_is_taken(method: str, path: str, status: int) -> None:
    async def story(stage: Stage) -> None:
        caller = await stage.call()
        await caller.write(request(method, path))
        assert (await caller.answer())[0] == status
        assert not stage.configurations.changes
        assert not stage.registrations.records

    play(story)


def test_a_body_beyond_the_limit_is_refused_unread() -> None:
    async def story(stage: Stage) -> None:
        caller = await stage.call()
        head = f"PUT /configuration HTTP/1.1\r\nHost: c\r\nContent-Length: {MAX_BODY_BYTES + 1}\r\n\r\n"
        await caller.write(head.encode())
        assert (await caller.answer())[0] == 413
        assert stage.configurations.changes == []

    play(story)


def test_given_a_call_under_way_when_the_server_ends_then_it_is_answered_and_idle_ones_are_closed() -> None:
    async def story(stage: Stage) -> None:
        # Given a call that takes a while, and a connection that rests after its own
        stage.configurations.takes_s = 0.3
        rests, calls = await stage.call(), await stage.call()
        await rests.write(request("GET", "/configuration"))
        assert (await rests.answer())[0] == 200
        await calls.write(request("PUT", "/configuration", b"{}", "If-Match: 1"))
        await asyncio.sleep(0.05)
        # When the server ends
        ending = asyncio.create_task(stage.server.end(2.0))
        # Then the call is answered, both connections are closed, and nobody can connect
        assert await rests.reader.read() == b""
        assert (await calls.answer())[0] == 200
        assert await calls.reader.read() == b""
        await ending
        with pytest.raises(OSError):
            await stage.call()

    play(story)


def test_given_a_call_that_takes_too_long_then_the_server_ends_all_the_same() -> None:
    async def story(stage: Stage) -> None:
        stage.configurations.takes_s = 5.0
        calls = await stage.call()
        await calls.write(request("PUT", "/configuration", b"{}", "If-Match: 1"))
        await asyncio.sleep(0.05)
        await asyncio.wait_for(stage.server.end(0.2), 1.0)
        assert await calls.reader.read() == b""

    play(story)
