"""Streaming workers and clients of a real edge, in one process, so that one clock times every event."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import secrets
import sys
from dataclasses import replace
from typing import Any

from arrowfold.internal.messages import HeldModel
from benchmarks.capacity.system import target
from benchmarks.capacity.system.hollow_processes import Answer, serve_commands
from benchmarks.capacity.system.hollow_workers import SimulatedWorker
from benchmarks.capacity.system.population import model_name, worker_record

STREAM_MODEL = model_name(0xFFFF)
BODY = b"x" * 2_000
PROMPT_TOKENS = 9_190
EVENT_BYTES = 55
DEADLINE_MS = 15_000


class StreamWorker(SimulatedWorker):
    """A simulated worker that answers requests with events that carry their creation time."""

    events = 1
    gap_s = 0.02

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(_length(head))
                if head.startswith(b"GET /report"):
                    self._write_report(writer)
                else:
                    await self._write_events(writer, _field(head, b"x-attempt-id"))
        writer.close()

    def _write_report(self, writer: asyncio.StreamWriter) -> None:
        body = self._report()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    async def _write_events(self, writer: asyncio.StreamWriter, attempt: bytes) -> None:
        head = (
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\n"
            b"X-Server-Seal: seal\r\nX-Server-Load: 3,0,64\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head % attempt)
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        for number in range(1, self.events + 1):
            text = b"id: %d\ndata: %.6f " % (number, loop.time())
            event = text + b"." * (EVENT_BYTES - len(text)) + b"\n\n"
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            next_s += self.gap_s
            await asyncio.sleep(max(0.0, next_s - loop.time()))
        writer.write(b"0\r\n\r\n")


def _length(head: bytes) -> int:
    return int(_field(head, b"content-length") or b"0")


def _field(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return b""


class StreamClients:
    """Clients that send requests at a rate to one edge and record the delays of events."""

    def __init__(
        self, edge: str, control: list[str], workers: int, first: int, rate: float, events: int, seed: int
    ) -> None:
        self._edge = edge
        self._rate = rate
        self._draw = random.Random(seed)
        StreamWorker.events = events
        self._workers = [
            StreamWorker(
                replace(worker_record(first + number, self._draw), models=(HeldModel(STREAM_MODEL),)),
                control,
                self._draw,
            )
            for number in range(workers)
        ]
        self._events = events
        self._delays: list[float] = []
        self._first_events: list[float] = []
        self._done = self._failed = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def handle(self, command: str) -> Answer:
        """Handles `start` (workers), `serve` (start requests), `reset` (the delays) or `figures`."""
        if command == "start":
            for worker in self._workers:
                await worker.listen()
                self._spawn(worker.run(0.0))
        elif command == "serve":
            self._spawn(self._send_all())
        elif command == "reset":
            self._delays, self._first_events = [], []
        return {
            "heard": sum(worker.acknowledged > 0 for worker in self._workers),
            "done": self._done,
            "failed": self._failed,
            "event_p50_ms": _quantile(self._delays, 0.5),
            "event_p95_ms": _quantile(self._delays, 0.95),
            "first_p95_ms": _quantile(self._first_events, 0.95),
        }

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_all(self) -> None:
        while True:
            await asyncio.sleep(self._draw.expovariate(self._rate))
            self._spawn(self._request())

    async def _request(self) -> None:
        host, port = self._edge.rsplit(":", 1)
        complete = False
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(self._request_head() + BODY)
                complete = await self._read(reader)
                writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            complete = False  # disconnected, or incomplete at the deadline
        self._done += complete
        self._failed += not complete

    def _request_head(self) -> bytes:
        usage = f"{PROMPT_TOKENS},{self._events * target.TOKENS_PER_EVENT}"
        return (
            f"POST /p000000/x HTTP/1.1\r\nHost: models.example\r\nX-Attempt-Id: {secrets.token_hex(8)}\r\n"
            f"X-Model: {STREAM_MODEL}\r\nX-Token-Usage: {usage}\r\n"
            f"X-Prompt-Prefix: 5c1e07a2:6300,{secrets.token_hex(4)}:2890\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n"
        ).encode()

    async def _read(self, reader: asyncio.StreamReader) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            return False
        loop = asyncio.get_running_loop()
        seen = 0
        while size := int(await reader.readline(), 16):
            data = (await reader.readexactly(size + 2))[:-2]
            now_s = loop.time()
            for line in data.split(b"\n"):
                if line.startswith(b"data: "):
                    delay_s = now_s - float(line[6:].split(b" ", 1)[0])
                    self._delays.append(delay_s)
                    if seen == 0:
                        self._first_events.append(delay_s)
                    seen += 1
        return seen == self._events


def _quantile(values: list[float], quantile: float) -> float:
    return 1000 * sorted(values)[int(quantile * (len(values) - 1))] if values else 0.0


async def _run(arguments: dict[str, Any]) -> None:
    await serve_commands(StreamClients(**arguments).handle)


if __name__ == "__main__":
    asyncio.run(_run(json.loads(sys.argv[1])))
