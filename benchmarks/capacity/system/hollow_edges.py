"""Simulated edges: the program's own pulls and tables, many in one process, without serving requests.

Edges may start with the first one's tables, which are immutable, so that hundreds can share a process.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
import sys
from typing import Any

from arrowfold.dataplane.puller import ControlPuller
from arrowfold.dataplane.reports import owner_address
from arrowfold.dataplane.tables import FleetTables
from arrowfold.internal.channel import ChannelClient
from arrowfold.node.logs import RateLimitedLog, configure
from benchmarks.capacity.system import target
from benchmarks.capacity.system.hollow_processes import Answer, serve_commands
from benchmarks.capacity.system.placements import demand_report
from benchmarks.capacity.system.population import SERVICE, edge_identity

BYTES_ACKED_AT = 120  # in the kernel's `tcp_info`: bytes_acked, then bytes_received
TCP_INFO_BYTES = 136
CHECK_INTERVAL_S = 0.05
CLASSES_PER_REPORT = 2
REPORT_TIMEOUT_S = 1.0


def connection_bytes(client: ChannelClient) -> tuple[int, int]:
    """Returns the bytes sent and received on open connections, without packet headers."""
    sent = received = 0
    for connection in client._connections.values():
        endpoint = connection.writer.get_extra_info("socket")
        if endpoint is None or connection.closed:
            continue
        info = endpoint.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        acked, arrived = struct.unpack_from("QQ", info, BYTES_ACKED_AT)
        sent, received = sent + acked, received + arrived
    return sent, received


class SimulatedEdge:
    """One edge's pulls and tables, without its listeners."""

    def __init__(self, number: int, seeds: tuple[str, ...]) -> None:
        self.number = number
        self._seeds = seeds
        self.changes = 0
        self.tables = FleetTables()
        self.client = ChannelClient()
        self.puller: ControlPuller | None = None

    def start(self, template: SimulatedEdge | None) -> None:
        """Starts pulling, with empty tables or with the tables of another edge."""
        if template is not None:
            self.tables.snapshot = template.tables.snapshot
            self.tables.vector = dict(template.tables.vector)
        log = RateLimitedLog(f"hollow-{self.number}")
        identity = edge_identity(self.number)
        self.puller = ControlPuller(self.client, self.tables, identity, self._seeds, self._changed, log)
        self.puller.start()

    def _changed(self) -> None:
        self.changes += 1

    async def report_demand(self) -> None:
        """Reports demand for a few classes to the placement owner, at the interval of a real edge."""
        draw = random.Random(self.number)
        while True:
            await asyncio.sleep(target.REPORT_INTERVAL_S)
            view = self.tables.snapshot.view
            address = owner_address(view, SERVICE) if view is not None else None
            if address is not None:
                await self.client.call(
                    address, demand_report(self.number, CLASSES_PER_REPORT, draw), REPORT_TIMEOUT_S
                )

    def stop(self) -> None:
        """Stops all pulls and discards the tables."""
        assert self.puller is not None
        self.puller.stop()
        self.client.close()
        self.client = ChannelClient()
        self.tables = FleetTables()

    def knows(self, workers: int) -> bool:
        """Returns whether a configuration and so many workers are known."""
        snapshot = self.tables.snapshot
        return snapshot.configuration is not None and len(snapshot.workers) >= workers


class SimulatedEdges:
    """All simulated edges of this process."""

    def __init__(self, first: int, count: int, seeds: list[str], workers: int) -> None:
        self._edges = [SimulatedEdge(first + number, tuple(seeds)) for number in range(count)]
        self._workers = workers
        self._reporting: list[asyncio.Task[None]] = []

    async def handle(self, command: str) -> Answer:
        """Handles `start`, `restart` (all at once, with empty tables), `demand` (reports) or `figures`."""
        if command == "start":
            await self._start()
        elif command == "restart":
            return {"all_s": await self._restart()}
        elif command == "demand":
            self._reporting = [asyncio.create_task(edge.report_demand()) for edge in self._edges]
        return self._figures()

    async def _start(self) -> None:
        first = self._edges[0]
        first.start(None)
        while not first.knows(self._workers):
            await asyncio.sleep(CHECK_INTERVAL_S)
        for edge in self._edges[1:]:
            edge.start(first)
            await asyncio.sleep(0.003)

    async def _restart(self) -> float:
        loop = asyncio.get_running_loop()
        for edge in self._edges:
            edge.stop()
        started = loop.time()
        for edge in self._edges:
            edge.start(None)
        while not all(edge.knows(self._workers) for edge in self._edges):
            await asyncio.sleep(CHECK_INTERVAL_S)
            if loop.time() - started > 60.0:
                break
        return loop.time() - started

    def _figures(self) -> Answer:
        totals = [connection_bytes(edge.client) for edge in self._edges]
        return {
            "sent": sum(sent for sent, _ in totals),
            "received": sum(received for _, received in totals),
            "changes": sum(edge.changes for edge in self._edges),
            "connections": sum(len(edge.client._connections) for edge in self._edges),
            "versions": [
                edge.tables.snapshot.configuration.version if edge.tables.snapshot.configuration else 0
                for edge in self._edges
            ],
        }


async def _run(arguments: dict[str, Any]) -> None:
    await serve_commands(SimulatedEdges(**arguments).handle)


if __name__ == "__main__":
    configure("ERROR")
    asyncio.run(_run(json.loads(sys.argv[1])))
