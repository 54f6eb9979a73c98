"""Stand-in model workers that follow PROTOCOL.md: heartbeats, orders, reports and event streams.

A worker holds models as it is ordered to. A model that it never held comes from the weight store in
`load_s`, one that it held before comes from its own disk, sooner. A request for a model that isn't there
gets 421 and does not run.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rig import Record, call, read_head

BEAT_S = 1.2


@dataclass
class Engine:
    """What all workers of the pool have in common."""

    service: str
    slots: int
    weights_mb: float
    model_mb: float
    load_s: float
    events: int
    event_pause_s: float


class WeightStore:
    """The weight store: past `at_once` loads at the same time each takes longer in proportion."""

    def __init__(self, at_once: int) -> None:
        self._at_once = at_once
        self._loads = 0

    async def load(self, load_s: float) -> None:
        """Return once a load that takes `load_s` at full speed is done."""
        loop = asyncio.get_running_loop()
        self._loads += 1
        try:
            left_s, before_s = load_s, loop.time()
            while left_s > 0:
                share = min(1.0, self._at_once / self._loads)
                await asyncio.sleep(min(0.01, left_s / share))
                now_s = loop.time()
                left_s -= (now_s - before_s) * share
                before_s = now_s
        finally:
            self._loads -= 1


class EngineWorker:
    """One worker; `runs` are the requests that it began to work on, in order."""

    def __init__(
        self,
        instance: str,
        host: str,
        zone: str,
        engine: Engine,
        models: list[str],
        controls: list[str],
        record: Record,
        rng: random.Random,
        store: WeightStore,
    ) -> None:
        self.instance = instance
        self.runs: list[str] = []
        self.answers = 0
        self.garbled = 0
        self.address = ""
        self._host = host
        self._zone = zone
        self._engine = engine
        self._models = {name: 1 for name in models}
        self._on_disk = set(models)
        self._controls = list(controls)
        self._record = record
        self._rng = rng
        self._store = store
        self._order: str | None = None  # the model that an order under way concerns
        self._orders_taken = 0
        self._highest_fence = 0
        self._calls = 0
        self._active = 0
        self._running: dict[str, int] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._server: asyncio.Server | None = None
        self._readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}
        # Returns whether the answer that is about to be sent gets a late second copy.
        self.doubles_answer: Callable[[EngineWorker, int, str], bool] = lambda worker, status, attempt: False

    async def start(self) -> None:
        """Listen on a free port and start the heartbeats."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"
        self._spawn(self._beat())

    async def stop(self) -> None:
        """Stop listening and end all tasks."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Heartbeats

    async def _beat(self) -> None:
        while True:
            self._calls += 1
            body = {
                "targetService": self._engine.service,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "capacitySlots": self._engine.slots,
                "state": "available",
                "coldLeftMs": 0,
                "stage": "both",
                "models": self._model_list(),
                "callSeq": self._calls,
            }
            path = f"/instances/{self.instance}"
            data = json.dumps(body).encode()
            headers = {"Content-Type": "application/json"}
            answer = await call(self._controls[0], "PUT", path, headers, data, timeout_s=1.0)
            if not 200 <= answer.status < 300:
                self._controls.append(self._controls.pop(0))
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(BEAT_S)

    def _model_list(self) -> list[dict[str, Any]]:
        return [{"name": name, "version": 1, "adapters": []} for name in sorted(self._models)]

    # Calls

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._readers[writer] = reader
        surplus = b""  # a second copy of the last answer, sent in the place where the next one is due
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if surplus:
                    self._record.write("surplus answer sent", worker=self.instance, next=first)
                    writer.write(surplus)
                    surplus = b""
                if path in ("/order", "/report", "/healthz"):
                    writer.write(self._own_call(method, path, headers, body))
                else:
                    surplus = await self._request(headers, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            del self._readers[writer]
            writer.transport.abort()

    def _own_call(self, method: str, path: str, headers: dict[str, str], body: bytes) -> bytes:
        if headers.get("x-target-instance", self.instance) != self.instance:
            return answer_bytes(421, {})
        if path == "/order" and method == "POST":
            return answer_bytes(self._take_order(json.loads(body)), {})
        if path == "/report":
            report = {
                "stage": "both",
                "models": self._model_list(),
                "busy": self._order is not None,
                "callSeq": self._orders_taken,
                "queued": 0,
                "active": self._active,
                "kvUsed": 0,
                "kvTotal": 256290,
                "handles": 0,
            }
            return answer_bytes(200, {"Content-Type": "application/json"}, json.dumps(report).encode())
        return answer_bytes(200, {"X-Instance-Id": self.instance})

    def _take_order(self, order: dict[str, Any]) -> int:
        if "holder" not in order or "fenceToken" not in order:
            return 400
        if int(order["fenceToken"]) < self._highest_fence:
            return 412
        self._highest_fence = int(order["fenceToken"])
        model, operation = order["model"], order["operation"]
        if self._order is not None or order.get("ifRevision", self._orders_taken) != self._orders_taken:
            return 409
        if (operation == "load") == (model in self._models):
            return 200
        self._orders_taken += 1
        self._order = model
        self._spawn(self._carry_out(operation, model))
        return 202

    async def _carry_out(self, operation: str, model: str) -> None:
        if operation == "unload":
            while self._running.get(model, 0):
                await asyncio.sleep(0.005)
            self._models.pop(model, None)
        else:
            if model in self._on_disk:
                await asyncio.sleep(self._engine.load_s * self._rng.uniform(0.3, 0.85))
            else:
                await self._store.load(self._engine.load_s)
            self._models[model] = 1
            self._on_disk.add(model)
            if len(self._models) * self._engine.model_mb > self._engine.weights_mb:
                self._record.write("over the limit", worker=self.instance, models=sorted(self._models))
        self._record.write("order done", worker=self.instance, operation=operation, model=model)
        self._order = None

    # Requests

    async def _request(self, headers: dict[str, str], writer: asyncio.StreamWriter) -> bytes:
        """Answer a request; returns a second copy of the answer, or nothing."""
        attempt, model = headers.get("x-attempt-id", ""), headers.get("x-model", "")
        told = {"X-Attempt-Id": attempt, "X-Server-Load": f"{self._active},0,{self._engine.slots}"}
        is_other = headers.get("x-target-instance", self.instance) != self.instance
        if is_other or model not in self._models or (model == self._order and model in self._models):
            status = 421 if is_other or model not in self._models else 503
            fields = told if status == 421 else {**told, "X-Not-Executed": "1"}
            answer = answer_bytes(status, fields)
            self._record.write("not run", worker=self.instance, attempt=attempt, model=model, status=status)
            writer.write(answer)
            return answer if self._doubles(status, attempt) else b""
        self.runs.append(attempt)
        self._record.write("run", worker=self.instance, attempt=attempt, model=model)
        self._active += 1
        self._running[model] = self._running.get(model, 0) + 1
        try:
            await self._stream(told, attempt, writer)
        finally:
            self._active -= 1
            self._running[model] -= 1
        self._doubles(200, attempt)
        return b""

    def _doubles(self, status: int, attempt: str) -> bool:
        self.answers += 1
        if not self.doubles_answer(self, status, attempt):
            return False
        self.garbled += 1
        self._record.write("answer will come twice", worker=self.instance, attempt=attempt, status=status)
        return True

    async def _stream(self, told: dict[str, str], attempt: str, writer: asyncio.StreamWriter) -> None:
        fields = {
            **told,
            "X-Server-Seal": f"{self.instance}.{len(self.runs)}",
            "Versions": "1",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(head_bytes(200, fields))
        for number in range(1, self._engine.events + 1):
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self._engine.event_pause_s)
        writer.write(b"0\r\n\r\n")


def head_bytes(status: int, fields: dict[str, str]) -> bytes:
    """Returns the head of an answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def answer_bytes(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Returns a whole answer."""
    return head_bytes(status, {**fields, "Content-Length": str(len(body))}) + body
