"""Detects HTTP exchanges that make no progress: at unresponsive instances, and on single connections.

A connection to a host without power hangs without an error, and a faulty worker may stop answering on one
connection only. Exchanges whose request can be retried are reported to its sender, which lets another worker
take over; all others run until their deadline.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from arrowfold.dataplane.worker_connection import InstancePool, WorkerConnection
from arrowfold.dataplane.worker_connections import WorkerConnections
from arrowfold.node.logs import RateLimitedLog

CHECK_INTERVAL_S = 0.2
UNRESPONSIVE_AFTER_S = 0.6  # without a byte from an instance with requests, until it is probed
STALL_TIMEOUT_S = 1.2  # without a byte on a connection, in addition to the time to read the prompt
# Time after which an exchange counts as stalled, once a later request of the same or lower urgency has begun
# to be answered.
OVERTAKEN_AFTER_S = 0.5
PROBE_TIMEOUT_S = 0.35  # to connect to an instance
REPROBE_DELAY_S = 1.0  # until a responsive instance is checked again
LATE_CHECK_S = 0.5  # a check delayed by more than this means that this process itself was suspended
AddressProbe = Callable[[str], Awaitable[bool]]


class StalledExchangeWatch:
    """Checks the exchanges in progress, and reports those that stall and can be retried."""

    def __init__(
        self, connections: WorkerConnections, log: RateLimitedLog, is_responsive: AddressProbe | None = None
    ) -> None:
        self._connections = connections
        self._log = log
        self._is_responsive = is_responsive or is_host_responsive
        self._loop = asyncio.get_running_loop()
        self._last_check_s = self._loop.time()
        self._skipped_until_s: dict[str, float] = {}
        self._probes: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check_exchanges()

    def check_exchanges(self) -> None:
        """Report stalled exchanges, and probe the instances that are unresponsive."""
        now_s = self._loop.time()
        is_late_check = now_s - self._last_check_s > CHECK_INTERVAL_S + LATE_CHECK_S
        self._last_check_s = now_s
        for instance, pool in self._connections.pools.items():
            if is_late_check:
                self._skipped_until_s[instance] = now_s + REPROBE_DELAY_S
            if now_s < self._skipped_until_s.get(instance, 0.0):
                continue
            for connection in [c for c in pool.active if _has_stalled(c, pool, now_s)]:
                self._log.info("exchange_stalled", instance=instance, silent_s=connection.silence_s(now_s))
                connection.report_silence()
            if instance not in self._probes and _is_unresponsive(pool, now_s):
                self._probes[instance] = asyncio.create_task(self._probe_instance(instance, pool))

    async def _probe_instance(self, instance: str, pool: InstancePool) -> None:
        try:
            if await self._is_responsive(pool.address):
                self._skipped_until_s[instance] = self._loop.time() + REPROBE_DELAY_S
            elif _is_unresponsive(pool, self._loop.time()):
                self._report_unresponsive(instance, pool)
        finally:
            del self._probes[instance]

    def _report_unresponsive(self, instance: str, pool: InstancePool) -> None:
        now_s = self._loop.time()
        silent = [c for c in pool.active if _can_move(c) and c.silence_s(now_s) > 0]
        self._log.warning("worker_dark", instance=instance, address=pool.address, silent=len(silent))
        for connection in silent:
            connection.report_silence()
        self._connections.close_idle(pool)


def _can_move(connection: WorkerConnection) -> bool:
    """Whether another worker may take over, and was not asked yet."""
    request = connection.request
    return request is not None and request.is_retryable and not connection.is_silence_reported


def _is_unresponsive(pool: InstancePool, now_s: float) -> bool:
    if now_s - pool.last_activity_s <= UNRESPONSIVE_AFTER_S:
        return False
    return any(_can_move(c) and c.silence_s(now_s) > UNRESPONSIVE_AFTER_S for c in pool.active)


def _has_stalled(connection: WorkerConnection, pool: InstancePool, now_s: float) -> bool:
    """Whether this exchange makes no progress while the instance answers others."""
    request = connection.request
    if request is None or not _can_move(connection) or now_s - pool.last_activity_s > UNRESPONSIVE_AFTER_S:
        return False
    if connection.silence_s(now_s) <= STALL_TIMEOUT_S + request.expected_prompt_read_s:
        return False
    return connection.has_body_started or _was_overtaken(connection, request.priority, pool, now_s)


def _was_overtaken(connection: WorkerConnection, priority: int, pool: InstancePool, now_s: float) -> bool:
    return any(
        other >= priority and sent_s > connection.sent_s and now_s - answered_s > OVERTAKEN_AFTER_S
        for other, (sent_s, answered_s) in pool.answered_by_priority.items()
    )


async def is_host_responsive(address: str) -> bool:
    """Returns whether the host answers a connection attempt, be it with a refusal."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except TimeoutError:
        return False
    except OSError:
        return True
    writer.transport.abort()
    return True
