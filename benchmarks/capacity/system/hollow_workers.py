"""Hollow workers: heartbeats over HTTP to control nodes, many in one process, with no work behind them."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from dataclasses import replace
from typing import Any

from arrowfold.internal.messages import WorkerRecord
from benchmarks.capacity.system import target
from benchmarks.capacity.system.hollow_processes import Answer, serve_commands
from benchmarks.capacity.system.population import held_models, registration_body, worker_record

ANSWER_S = 1.0


class HollowWorker:
    """One worker: it calls one control node, and the next one after a failure."""

    def __init__(self, record: WorkerRecord, addresses: list[str], draw: random.Random) -> None:
        self.record = record
        self._addresses = addresses
        self._draw = draw
        self._at = draw.randrange(len(addresses))
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.acknowledged = self.failed = self.sent_bytes = 0

    async def run(self, first_s: float) -> None:
        """Send heartbeats until cancelled."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(first_s)
        while True:
            started = loop.time()
            await self.heartbeat()
            await asyncio.sleep(max(0.0, started + target.HEARTBEAT_S - loop.time()))

    async def heartbeat(self) -> None:
        """One call; a failure moves on to the next control node."""
        self.record = replace(self.record, call_sequence=self.record.call_sequence + 1)
        body = registration_body(self.record)
        head = (
            f"PUT /instances/{self.record.instance} HTTP/1.1\r\nHost: control\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(ANSWER_S):
                self.acknowledged += await self._call(head.encode() + body)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.failed += 1
            self._at = (self._at + 1) % len(self._addresses)
            if self._stream is not None:
                self._stream[1].transport.abort()
            self._stream = None

    async def _call(self, request: bytes) -> int:
        if self._stream is None:
            host, port = self._addresses[self._at].rsplit(":", 1)
            self._stream = await asyncio.open_connection(host, int(port))
        reader, writer = self._stream
        writer.write(request)
        self.sent_bytes += len(request)
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(_content_length(head))
        return int(head.startswith(b"HTTP/1.1 200"))

    def change_models(self) -> None:
        """Hold other models from the next heartbeat on."""
        self.record = replace(self.record, models=held_models(self._draw))


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":", 1)[1])
    return 0


class HollowWorkers:
    """All hollow workers of this process; some change what they hold each second."""

    def __init__(self, first: int, count: int, addresses: list[str], seed: int, changes_per_s: float) -> None:
        draw = random.Random(seed * 100_003 + first)
        self._draw = draw
        self._changes_per_s = changes_per_s
        self._workers = [
            HollowWorker(worker_record(first + number, draw), addresses, draw) for number in range(count)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def handle(self, command: str) -> Answer:
        """`start`, `change` (begin to change models) or `figures`."""
        if command == "start":
            self._tasks = [
                asyncio.create_task(worker.run(self._draw.uniform(0.0, 3.0))) for worker in self._workers
            ]
        elif command == "change":
            self._tasks.append(asyncio.create_task(self._change()))
        return {
            "acknowledged": sum(worker.acknowledged for worker in self._workers),
            "failed": sum(worker.failed for worker in self._workers),
            "sent": sum(worker.sent_bytes for worker in self._workers),
            "heard": sum(worker.acknowledged > 0 for worker in self._workers),
        }

    async def _change(self) -> None:
        while self._changes_per_s > 0:
            await asyncio.sleep(self._draw.expovariate(self._changes_per_s))
            self._draw.choice(self._workers).change_models()


async def _run(arguments: dict[str, Any]) -> None:
    await serve_commands(HollowWorkers(**arguments).handle)


if __name__ == "__main__":
    asyncio.run(_run(json.loads(sys.argv[1])))
