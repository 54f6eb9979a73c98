"""Stand-in model workers: they answer requests, stream tokens, accept placement orders and send heartbeats.

Each listens on a loopback address of its own. Tokens are words, and the headers of an answer name its worker.
A worker records the requests that it ran, so that a trial can detect one that ran twice or after a drain.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from aiohttp import web

ATTEMPT_HEADER = "X-Attempt-Id"
INSTANCE_HEADER = "X-Instance-Id"
TARGET_HEADER = "X-Target-Instance"
SEAL_HEADER = "X-Server-Seal"
NOT_EXECUTED_HEADER = "X-Not-Executed"
LAST_EVENT_HEADER = "Last-Event-Id"
MODEL_HEADER = "X-Model"
LOAD_HEADER = "X-Server-Load"
API_KEY_HEADER = "Authorization"
TENANT_HEADER = "X-Tenant"
HEARTBEAT_TIMEOUT_S = 1.0
STREAM_EVENTS = 8


@dataclass
class RequestRun:
    """A request that a worker started to process. `started_at` is the event loop's time in seconds."""

    attempt: str
    path: str
    started_at: float
    tenant: str | None = None  # from the header that the edge node sets
    had_api_key: bool = False  # whether the request carried an API key, which no worker may receive


@dataclass
class WorkerProfile:
    """The properties of a stand-in worker.

    `streams`: whether it answers with event streams. `work_s`: time before the answer begins.
    `event_pause_s`: time between the events of a stream.
    """

    instance: str
    service: str
    zone: str
    streams: bool
    models: list[str] = field(default_factory=list)
    capacity_slots: int = 8
    work_s: float = 0.01
    event_pause_s: float = 0.02


class StandInWorker:
    """One worker: an HTTP server and a task that sends heartbeats.

    `runs` are the requests that it processed, `orders` the placement orders that it accepted.
    """

    def __init__(
        self, profile: WorkerProfile, control_addresses: Sequence[str], heartbeat_interval_s: float
    ) -> None:
        self.profile = profile
        self.address = ""
        self.runs: list[RequestRun] = []
        self.orders: list[dict[str, Any]] = []
        self.state = "available"
        self.drained_at: float | None = None
        self._control_addresses = list(control_addresses)
        self._heartbeat_interval_s = heartbeat_interval_s
        self._call_sequence = 0
        self._active = 0
        self._runner: web.AppRunner | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._client: aiohttp.ClientSession | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port of `host` and start sending heartbeats."""
        await self._listen(host)
        self._client = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=HEARTBEAT_TIMEOUT_S))
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def _listen(self, host: str) -> None:
        """Listen on a free port of `host` and set the address."""
        application = web.Application()
        application.router.add_get("/healthz", self._answer_health)
        application.router.add_get("/report", self._answer_report)
        application.router.add_post("/order", self._answer_order)
        application.router.add_route("*", "/{path:.*}", self._answer_request)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, 0).start()
        port = self._runner.addresses[0][1]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop at once, without deregistering from the control nodes."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._heartbeat_task
        if self._client is not None:
            await self._client.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def drain(self) -> None:
        """Report `draining` until a control node acknowledges it, and set `drained_at` to that time."""
        self.state = "draining"
        while not await self._call_control_node("PUT"):
            await asyncio.sleep(self._heartbeat_interval_s / 2)
        self.drained_at = asyncio.get_running_loop().time()

    async def leave(self) -> None:
        """Stop the heartbeats and deregister; repeats the call until a control node acknowledges it."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        while not await self._call_control_node("DELETE"):
            await asyncio.sleep(self._heartbeat_interval_s / 2)

    async def _send_heartbeats(self) -> None:
        while True:
            acknowledged = await self._call_control_node("PUT")
            await asyncio.sleep(
                self._heartbeat_interval_s if acknowledged else self._heartbeat_interval_s / 4
            )

    async def _call_control_node(self, method: str) -> bool:
        """Call a control node, the next one after a failure; returns whether it acknowledged the call."""
        assert self._client is not None
        self._call_sequence += 1
        body = self._registration() if method == "PUT" else None
        url = f"http://{self._control_addresses[0]}/instances/{self.profile.instance}"
        try:
            async with self._client.request(method, url, json=body) as answer:
                await answer.read()
                acknowledged = 200 <= answer.status < 300
        except (aiohttp.ClientError, TimeoutError, OSError):
            acknowledged = False
        if not acknowledged:
            self._control_addresses.append(self._control_addresses.pop(0))
        return acknowledged

    def _registration(self) -> dict[str, Any]:
        return {
            "targetService": self.profile.service,
            "address": self.address,
            "zone": self.profile.zone,
            "version": "v1",
            "capacitySlots": self.profile.capacity_slots,
            "state": self.state,
            "coldLeftMs": 0,
            "stage": "both",
            "models": self._loaded_models(),
            "callSeq": self._call_sequence,
        }

    def _loaded_models(self) -> list[dict[str, Any]]:
        return [{"name": name, "version": 1, "adapters": []} for name in self.profile.models]

    async def _answer_health(self, _: web.Request) -> web.Response:
        status = 200 if self.state == "available" else 503
        return web.Response(status=status, headers={INSTANCE_HEADER: self.profile.instance})

    async def _answer_report(self, _: web.Request) -> web.Response:
        report = {
            "stage": "both",
            "models": self._loaded_models(),
            "busy": False,
            "callSeq": len(self.orders),
            "queued": 0,
            "active": self._active,
            "kvUsed": 0,
            "kvTotal": 100_000,
            "handles": 0,
        }
        return web.json_response(report)

    async def _answer_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if "holder" not in order or "fenceToken" not in order:
            return web.Response(status=400)
        self.orders.append(order)
        model = order.get("model")
        if order.get("operation") == "load" and model not in self.profile.models:
            self.profile.models.append(model)
        elif order.get("operation") == "unload" and model in self.profile.models:
            self.profile.models.remove(model)
        return web.Response(status=202)

    async def _answer_request(self, request: web.Request) -> web.StreamResponse:
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        attempt = request.headers[ATTEMPT_HEADER]
        await request.read()
        self.runs.append(
            RequestRun(
                attempt,
                request.path,
                asyncio.get_running_loop().time(),
                tenant=request.headers.get(TENANT_HEADER),
                had_api_key=API_KEY_HEADER in request.headers,
            )
        )
        self._active += 1
        try:
            return await (self._stream(request) if self.profile.streams else self._answer_whole(request))
        finally:
            self._active -= 1

    def _refusal(self, request: web.Request) -> web.Response | None:
        target = request.headers.get(TARGET_HEADER)
        model = request.headers.get(MODEL_HEADER, "").partition("/")[0]
        if target not in (None, self.profile.instance) or (model and model not in self.profile.models):
            return web.Response(status=421, headers=self._base_headers(request))
        if ATTEMPT_HEADER not in request.headers:
            return web.Response(status=400, headers={NOT_EXECUTED_HEADER: "1"})
        if self._active >= self.profile.capacity_slots:
            return web.Response(status=503, headers={**self._base_headers(request), NOT_EXECUTED_HEADER: "1"})
        return None

    def _base_headers(self, request: web.Request) -> dict[str, str]:
        return {
            ATTEMPT_HEADER: request.headers.get(ATTEMPT_HEADER, ""),
            INSTANCE_HEADER: self.profile.instance,
            LOAD_HEADER: f"{self._active},0,{self.profile.capacity_slots}",
        }

    def _sealed_headers(self, request: web.Request) -> dict[str, str]:
        return {**self._base_headers(request), SEAL_HEADER: f"{self.profile.instance}.{len(self.runs)}"}

    async def _answer_whole(self, request: web.Request) -> web.Response:
        headers = self._sealed_headers(request)
        await asyncio.sleep(self.profile.work_s)
        return web.Response(text=answer_text(headers[ATTEMPT_HEADER]), headers=headers)

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._sealed_headers(request))
        response.content_type = "text/event-stream"
        response.headers["Versions"] = "1"
        await asyncio.sleep(self.profile.work_s)
        await response.prepare(request)
        first = int(request.headers.get(LAST_EVENT_HEADER, "0")) + 1
        for number in range(first, STREAM_EVENTS + 1):
            await response.write(event_text(number).encode())
            await asyncio.sleep(self.profile.event_pause_s)
        await response.write_eof()
        return response


def answer_text(attempt: str) -> str:
    """Returns the body of an answer that is not a stream."""
    return f"answer to {attempt}"


def event_text(number: int) -> str:
    """Returns event `number` of every stream; numbers run from 1 to STREAM_EVENTS."""
    return f"id: {number}\ndata: token-{number}\n\n"
