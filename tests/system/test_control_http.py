"""The HTTP interface of a control node over loopback, with clients that send raw bytes."""

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

TEST_TIMEOUT_S = 10.0
HEARTBEAT = json.dumps(
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
    """Accepts and records every change."""

    def __init__(self) -> None:
        self.changes: list[SubmitChange] = []
        self.delay_s = 0.0

    async def submit(self, change: SubmitChange) -> SubmitResult:
        self.changes.append(change)
        await asyncio.sleep(self.delay_s)
        return SubmitResult(200, b'{"taken":true}')

    async def read(self) -> SubmitResult:
        return SubmitResult(200, b'{"version":7}')


class Registrations:
    """Accepts and records every call; departures are refused while `durable` is false."""

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


class RawClient:
    """A client connection that writes raw bytes and reads whole responses."""

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


class RunningInterface:
    """The HTTP interface of a control node on a free loopback port."""

    def __init__(
        self,
        address: str,
        configurations: Configurations,
        registrations: Registrations,
        server: ControlHttpServer,
    ) -> None:
        self.address, self.configurations, self.registrations = address, configurations, registrations
        self.server = server

    async def connect(self) -> RawClient:
        host, port = self.address.rsplit(":", 1)
        return RawClient(*await asyncio.open_connection(host, int(port)))


@asynccontextmanager
async def running_interface() -> AsyncIterator[RunningInterface]:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    Sanic._app_registry.clear()
    configurations, registrations = Configurations(), Registrations()
    application = build_application(
        cast(ConfigurationService, configurations), cast(RegistrationService, registrations)
    )
    application.config.TOUCHUP = False  # Sanic can rewrite its methods only once per process
    server = await serve(application, address)
    try:
        yield RunningInterface(address, configurations, registrations, server)
    finally:
        await server.end(0.0)


def run_scenario(scenario: Callable[[RunningInterface], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S), running_interface() as interface:
            await scenario(interface)

    asyncio.run(bounded())


def request(method: str, path: str, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: control", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def test_a_change_that_arrives_byte_by_byte_is_read_completely() -> None:
    async def scenario(interface: RunningInterface) -> None:
        client = await interface.connect()
        for byte in request("PUT", "/configuration", b'{"version":2}', "If-Match: 1"):
            await client.write(bytes([byte]))
        assert await client.answer() == (200, b'{"taken":true}')
        assert interface.configurations.changes == [SubmitChange("PUT", "1", b'{"version":2}')]

    run_scenario(scenario)


def test_a_chunked_change_is_read_completely() -> None:
    async def scenario(interface: RunningInterface) -> None:
        client = await interface.connect()
        await client.write(
            b"PATCH /configuration HTTP/1.1\r\nHost: c\r\nIf-Match: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for part in (b'{"ver', b'sion":4}'):
            await client.write(b"%x\r\n%s\r\n" % (len(part), part))
        await client.write(b"0\r\n\r\n")
        assert (await client.answer())[0] == 200
        assert interface.configurations.changes == [SubmitChange("PATCH", "3", b'{"version":4}')]

    run_scenario(scenario)


def test_a_change_truncated_by_a_reset_or_a_half_close_is_never_submitted() -> None:
    async def scenario(interface: RunningInterface) -> None:
        whole = request("PUT", "/configuration", b'{"version":2}', "If-Match: 1")
        for cut in (len(whole) - 1, len(whole) - 8, 20):
            aborted = await interface.connect()
            await aborted.write(whole[:cut])
            aborted.reset()
            half_closed = await interface.connect()
            await half_closed.write(whole[:cut])
            half_closed.writer.write_eof()
        later = await interface.connect()
        await later.write(request("GET", "/configuration"))
        assert await later.answer() == (200, b'{"version":7}')
        assert interface.configurations.changes == []

    run_scenario(scenario)


def test_pipelined_calls_are_answered_in_order() -> None:
    async def scenario(interface: RunningInterface) -> None:
        client = await interface.connect()
        heartbeats = b"".join(request("PUT", f"/instances/i-{number}", HEARTBEAT) for number in range(3))
        await client.write(heartbeats + request("GET", "/configuration"))
        assert [(await client.answer())[0] for _ in range(3)] == [200, 200, 200]
        assert await client.answer() == (200, b'{"version":7}')
        assert [record.instance for record in interface.registrations.records] == ["i-0", "i-1", "i-2"]

    run_scenario(scenario)


def test_a_client_that_half_closes_gets_its_response() -> None:
    async def scenario(interface: RunningInterface) -> None:
        client = await interface.connect()
        await client.write(request("PUT", "/instances/i-1", HEARTBEAT))
        client.writer.write_eof()
        assert (await client.answer())[0] == 200

    run_scenario(scenario)


def test_the_record_of_a_registration_is_parsed() -> None:
    async def scenario(interface: RunningInterface) -> None:
        client = await interface.connect()
        await client.write(request("PUT", "/instances/i-1", HEARTBEAT))
        assert (await client.answer())[0] == 200
        (record,) = interface.registrations.records
        assert (record.instance, record.service, record.call_sequence) == ("i-1", "llm", 4)
        assert [(model.name, model.adapters) for model in record.models] == [("m", ("a1",))]

    run_scenario(scenario)


def test_the_remaining_time_of_a_draining_worker_is_parsed() -> None:
    async def scenario(interface: RunningInterface) -> None:
        client = await interface.connect()
        leaving = HEARTBEAT.replace(b'"available"', b'"draining", "remainingMs": 1500')
        await client.write(request("PUT", "/instances/i-1", leaving))
        assert (await client.answer())[0] == 200
        (record,) = interface.registrations.records
        assert (record.state, record.remaining_ms) == ("draining", 1500)

    run_scenario(scenario)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", HEARTBEAT.replace(b'"callSeq": 4', b'"callSeq": "x"')])
def test_a_malformed_heartbeat_is_refused_and_the_connection_stays_usable(body: bytes) -> None:
    async def scenario(interface: RunningInterface) -> None:
        client = await interface.connect()
        await client.write(request("PUT", "/instances/i-1", body))
        status, response_body = await client.answer()
        assert status == 400
        assert json.loads(response_body)["code"] == int(ResultCode.REGISTRATION_INVALID)
        await client.write(request("PUT", "/instances/i-1", HEARTBEAT))
        assert (await client.answer())[0] == 200
        assert len(interface.registrations.records) == 1

    run_scenario(scenario)


def test_a_departure_is_acknowledged_only_once_it_is_durable() -> None:
    async def scenario(interface: RunningInterface) -> None:
        client = await interface.connect()
        interface.registrations.durable = False
        await client.write(request("DELETE", "/instances/i-1"))
        assert (await client.answer())[0] == 503
        interface.registrations.durable = True
        await client.write(request("DELETE", "/instances/i-1"))
        assert (await client.answer())[0] == 200
        assert [notice.instance for notice in interface.registrations.departed] == ["i-1"]

    run_scenario(scenario)


def test_eight_changes_at_once_are_all_submitted() -> None:
    async def scenario(interface: RunningInterface) -> None:
        async def send(number: int) -> int:
            client = await interface.connect()
            await client.write(request("PATCH", "/configuration", b"%d" % number, "If-Match: 1"))
            return (await client.answer())[0]

        assert await asyncio.gather(*(send(number) for number in range(8))) == [200] * 8
        assert sorted(change.body for change in interface.configurations.changes) == [
            b"%d" % n for n in range(8)
        ]

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/nothing", 404), ("POST", "/configuration", 405), ("GET", "/instances/i-1", 405)],
)
def test_an_unknown_route_or_method_is_refused_without_effect(method: str, path: str, status: int) -> None:
    async def scenario(interface: RunningInterface) -> None:
        client = await interface.connect()
        await client.write(request(method, path))
        assert (await client.answer())[0] == status
        assert not interface.configurations.changes
        assert not interface.registrations.records

    run_scenario(scenario)


def test_a_body_beyond_the_limit_is_refused_unread() -> None:
    async def scenario(interface: RunningInterface) -> None:
        client = await interface.connect()
        head = f"PUT /configuration HTTP/1.1\r\nHost: c\r\nContent-Length: {MAX_BODY_BYTES + 1}\r\n\r\n"
        await client.write(head.encode())
        assert (await client.answer())[0] == 413
        assert interface.configurations.changes == []

    run_scenario(scenario)


def test_given_a_call_in_progress_when_the_server_stops_then_it_is_answered_and_idle_ones_are_closed() -> (
    None
):
    async def scenario(interface: RunningInterface) -> None:
        # Given a slow call in progress, and a connection that is idle after a call
        interface.configurations.delay_s = 0.3
        idle, busy = await interface.connect(), await interface.connect()
        await idle.write(request("GET", "/configuration"))
        assert (await idle.answer())[0] == 200
        await busy.write(request("PUT", "/configuration", b"{}", "If-Match: 1"))
        await asyncio.sleep(0.05)
        # When the server stops
        ending = asyncio.create_task(interface.server.end(2.0))
        # Then the call is answered, both connections are closed, and new connections fail
        assert await idle.reader.read() == b""
        assert (await busy.answer())[0] == 200
        assert await busy.reader.read() == b""
        await ending
        with pytest.raises(OSError):
            await interface.connect()

    run_scenario(scenario)


def test_given_a_call_that_exceeds_the_timeout_then_the_server_stops_anyway() -> None:
    async def scenario(interface: RunningInterface) -> None:
        interface.configurations.delay_s = 5.0
        busy = await interface.connect()
        await busy.write(request("PUT", "/configuration", b"{}", "If-Match: 1"))
        await asyncio.sleep(0.05)
        await asyncio.wait_for(interface.server.end(0.2), 1.0)
        assert await busy.reader.read() == b""

    run_scenario(scenario)
