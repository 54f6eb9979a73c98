"""Simulated workers, many in one process: heartbeats, load reports and orders, but no requests."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from dataclasses import replace
from typing import Any

from arrowfold.internal.messages import HeldModel, WorkerRecord
from benchmarks.capacity.system import target
from benchmarks.capacity.system.hollow_processes import Answer, serve_commands
from benchmarks.capacity.system.population import registration_body, worker_record

ANSWER_TIMEOUT_S = 1.0


class SimulatedWorker:
    """One worker, which calls one control node and switches to the next one after a failure."""

    def __init__(self, record: WorkerRecord, addresses: list[str], draw: random.Random) -> None:
        self.record = record
        self._addresses = addresses
        self._draw = draw
        self._address_index = draw.randrange(len(addresses))
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.acknowledged = self.failed = self.sent_bytes = self.orders = 0

    async def run(self, first_s: float) -> None:
        """Sends heartbeats until cancelled."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(first_s)
        while True:
            started = loop.time()
            await self.heartbeat()
            await asyncio.sleep(max(0.0, started + target.HEARTBEAT_S - loop.time()))

    async def heartbeat(self) -> None:
        """Sends one heartbeat; after a failure the next one goes to another control node."""
        self.record = replace(self.record, call_sequence=self.record.call_sequence + 1)
        body = registration_body(self.record)
        head = (
            f"PUT /instances/{self.record.instance} HTTP/1.1\r\nHost: control\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                self.acknowledged += await self._call(head.encode() + body)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.failed += 1
            self._address_index = (self._address_index + 1) % len(self._addresses)
            if self._stream is not None:
                self._stream[1].transport.abort()
            self._stream = None

    async def _call(self, request: bytes) -> int:
        if self._stream is None:
            host, port = self._addresses[self._address_index].rsplit(":", 1)
            self._stream = await asyncio.open_connection(host, int(port))
        reader, writer = self._stream
        writer.write(request)
        self.sent_bytes += len(request)
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(_content_length(head))
        return int(head.startswith(b"HTTP/1.1 200"))

    def change(self) -> None:
        """Changes the software version from the next heartbeat on, an update without any effect."""
        self.record = replace(self.record, version=f"v{self._draw.getrandbits(30)}")

    async def listen(self) -> None:
        """Serves load reports and orders at the worker's address."""
        host, port = self.record.address.rsplit(":", 1)
        await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(_content_length(head))
                if head.startswith(b"GET /report"):
                    _answer(writer, b"200 OK", self._report())
                else:
                    self._take_order(json.loads(body))
                    _answer(writer, b"202 Accepted", b"{}")
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    def _report(self) -> bytes:
        models = [
            {"name": held.name, "version": held.version, "adapters": list(held.adapters)}
            for held in self.record.models
        ]
        return json.dumps({"stage": "both", "models": models, "busy": False, "callSeq": self.orders}).encode()

    def _take_order(self, order: dict[str, Any]) -> None:
        self.orders += 1
        held = {model.name: model for model in self.record.models}
        name, adapter = order["model"], order.get("adapter", "")
        if order["operation"] == "load" and name not in held:
            held[name] = HeldModel(name)
        elif order["operation"] == "load" and adapter:
            held[name] = replace(held[name], adapters=(*held[name].adapters, adapter))
        elif adapter and name in held:
            remaining = tuple(other for other in held[name].adapters if other != adapter)
            held[name] = replace(held[name], adapters=remaining)
        elif order["operation"] == "unload":
            held.pop(name, None)
        self.record = replace(self.record, models=tuple(held.values()))


def _answer(writer: asyncio.StreamWriter, status: bytes, body: bytes) -> None:
    head = b"HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
    writer.write(head % (status, len(body)) + body)


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":", 1)[1])
    return 0


class SimulatedWorkers:
    """All simulated workers of this process; `changes_per_s` of them change their record."""

    def __init__(self, first: int, count: int, addresses: list[str], seed: int, changes_per_s: float) -> None:
        draw = random.Random(seed * 100_003 + first)
        self._draw = draw
        self._changes_per_s = changes_per_s
        self._workers = [
            SimulatedWorker(worker_record(first + number, draw), addresses, draw) for number in range(count)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def handle(self, command: str) -> Answer:
        """Handles `start`, `change` (start changing records) or `figures`."""
        if command == "start":
            for worker in self._workers:
                await worker.listen()
            self._tasks = [
                asyncio.create_task(worker.run(self._draw.uniform(0.0, 3.0))) for worker in self._workers
            ]
        elif command == "change":
            self._tasks.append(asyncio.create_task(self._change()))
        return {
            "acknowledged": sum(worker.acknowledged for worker in self._workers),
            "failed": sum(worker.failed for worker in self._workers),
            "sent": sum(worker.sent_bytes for worker in self._workers),
            "orders": sum(worker.orders for worker in self._workers),
            "heard": sum(worker.acknowledged > 0 for worker in self._workers),
        }

    async def _change(self) -> None:
        while self._changes_per_s > 0:
            await asyncio.sleep(self._draw.expovariate(self._changes_per_s))
            self._draw.choice(self._workers).change()


async def _run(arguments: dict[str, Any]) -> None:
    await serve_commands(SimulatedWorkers(**arguments).handle)


if __name__ == "__main__":
    asyncio.run(_run(json.loads(sys.argv[1])))
