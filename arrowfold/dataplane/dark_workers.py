"""Finds workers that went dark while they answered: no byte comes, and no new connection is accepted.

A connection to a machine without power hangs without an error. What may run again elsewhere is broken off
there, so that it goes on; what may not is left to its deadline.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from arrowfold.dataplane.worker_connections import InstancePool, WorkerConnections
from arrowfold.node.logs import RateLimitedLog

LOOK_S = 0.2  # between looks
SILENCE_S = 0.6  # without a byte from an instance that answers, until it is tried
PROBE_S = 0.35  # for the connection that tries it
RETRY_S = 1.0  # until an instance that was found alive is tried again
STALL_S = 0.5  # a look that comes so late means that this process stood still itself
Probe = Callable[[str], Awaitable[bool]]


class DarkWorkerWatch:
    """Looks at the exchanges under way, and breaks off those with dark workers."""

    def __init__(
        self, connections: WorkerConnections, log: RateLimitedLog, accepts: Probe | None = None
    ) -> None:
        self._connections = connections
        self._log = log
        self._accepts = accepts or accepts_connections
        self._loop = asyncio.get_running_loop()
        self._looked_s = self._loop.time()
        self._trusted_until: dict[str, float] = {}
        self._probes: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Look again and again."""
        while True:
            await asyncio.sleep(LOOK_S)
            self.look()

    def look(self) -> None:
        """Try the instances that are silent though they should answer."""
        now_s = self._loop.time()
        stalled = now_s - self._looked_s > LOOK_S + STALL_S
        self._looked_s = now_s
        for instance, pool in self._connections.pools.items():
            if stalled:
                self._trusted_until[instance] = now_s + RETRY_S
            elif instance not in self._probes and self._is_suspect(instance, pool, now_s):
                self._probes[instance] = asyncio.create_task(self._probe(instance, pool))

    def _is_suspect(self, instance: str, pool: InstancePool, now_s: float) -> bool:
        if now_s < self._trusted_until.get(instance, 0.0) or now_s - pool.heard_s <= SILENCE_S:
            return False
        return any(c.repeatable and now_s - c.heard_s > SILENCE_S for c in pool.active)

    async def _probe(self, instance: str, pool: InstancePool) -> None:
        try:
            if await self._accepts(pool.address):
                self._trusted_until[instance] = self._loop.time() + RETRY_S
            elif self._is_suspect(instance, pool, self._loop.time()):
                self._break_off(instance, pool)
        finally:
            del self._probes[instance]

    def _break_off(self, instance: str, pool: InstancePool) -> None:
        broken = [connection for connection in pool.active if connection.repeatable]
        self._log.warning("worker_dark", instance=instance, address=pool.address, broken_off=len(broken))
        for connection in broken:
            connection.break_off()
        self._connections.drop_idle(pool)


async def accepts_connections(address: str) -> bool:
    """Whether the machine there answers at all; one that refuses a connection does."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(PROBE_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except TimeoutError:
        return False
    except OSError:
        return True
    writer.transport.abort()
    return True
