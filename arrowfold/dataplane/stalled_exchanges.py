"""Finds exchanges that will not end: at workers that went dark, and such as a worker has lost or holds still.

A connection to a machine without power hangs without an error, and a worker in trouble may be silent on
one connection only. What may move to another worker is broken off there, so that it goes on; what may not is
left to its deadline.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from arrowfold.dataplane.exchange import WorkerRequest
from arrowfold.dataplane.worker_connections import InstancePool, WorkerConnection, WorkerConnections
from arrowfold.node.logs import RateLimitedLog

LOOK_S = 0.2  # between looks
SILENCE_S = 0.6  # without a byte from an instance that should answer, until it is tried
STALL_S = 1.2  # without a byte on a connection, beside the time to read the prompt, until it is given up
OVERTAKEN_S = 0.5  # since an answer to a later request of no more urgent a route began
PROBE_S = 0.35  # for the connection that tries an instance
RETRY_S = 1.0  # until an instance that was found alive is tried again
LATE_S = 0.5  # a look that comes so late means that this process stood still itself
Probe = Callable[[str], Awaitable[bool]]


class StalledExchangeWatch:
    """Looks at the exchanges under way, and breaks off those that stall and may move."""

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
        """Give up stalled exchanges, and try the instances that are silent though they should answer."""
        now_s = self._loop.time()
        late = now_s - self._looked_s > LOOK_S + LATE_S
        self._looked_s = now_s
        for instance, pool in self._connections.pools.items():
            if late:
                self._trusted_until[instance] = now_s + RETRY_S
            if now_s < self._trusted_until.get(instance, 0.0):
                continue
            for connection in [c for c in pool.active if _has_stalled(c, pool, now_s)]:
                self._log.info("exchange_stalled", instance=instance, silent_s=now_s - connection.heard_s)
                connection.break_off()
            if instance not in self._probes and _is_silent(pool, now_s):
                self._probes[instance] = asyncio.create_task(self._probe(instance, pool))

    async def _probe(self, instance: str, pool: InstancePool) -> None:
        try:
            if await self._accepts(pool.address):
                self._trusted_until[instance] = self._loop.time() + RETRY_S
            elif _is_silent(pool, self._loop.time()):
                self._break_off(instance, pool)
        finally:
            del self._probes[instance]

    def _break_off(self, instance: str, pool: InstancePool) -> None:
        broken = [connection for connection in pool.active if _may_move(connection.request)]
        self._log.warning("worker_dark", instance=instance, address=pool.address, broken_off=len(broken))
        for connection in broken:
            connection.break_off()
        self._connections.drop_idle(pool)


def _may_move(request: WorkerRequest | None) -> bool:
    return request is not None and request.movable


def _is_silent(pool: InstancePool, now_s: float) -> bool:
    if now_s - pool.heard_s <= SILENCE_S:
        return False
    return any(_may_move(c.request) and now_s - c.heard_s > SILENCE_S for c in pool.active)


def _has_stalled(connection: WorkerConnection, pool: InstancePool, now_s: float) -> bool:
    """Whether this exchange alone is silent, while the instance answers others."""
    request = connection.request
    if request is None or not request.movable or now_s - pool.heard_s > SILENCE_S:
        return False
    if now_s - connection.heard_s <= STALL_S + request.usual_read_s:
        return False
    return connection.body_began or _was_overtaken(connection, request.priority, pool, now_s)


def _was_overtaken(connection: WorkerConnection, priority: int, pool: InstancePool, now_s: float) -> bool:
    return any(
        other >= priority and sent_s > connection.sent_s and now_s - answered_s > OVERTAKEN_S
        for other, (sent_s, answered_s) in pool.answered.items()
    )


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
