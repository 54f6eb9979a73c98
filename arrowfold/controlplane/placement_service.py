"""Runs the placement of every service with models while this node owns it.

The owner is the active primary, its epoch the fencing token: no two primaries are active at a time, and
epochs rise. A node that was not active until now waits until orders of an earlier owner lie further back than
`leaseMs`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

import aiohttp

from arrowfold.configuration.json_text import read_object
from arrowfold.controlplane.placement_executor import PlacementExecutor, order_session
from arrowfold.controlplane.placement_notices import PlacementNotices
from arrowfold.internal.messages import Acknowledgement, DemandReport, WorkerCorrection, WorkerRecord
from arrowfold.node.logs import RateLimitedLog
from arrowfold.node.settings import Bounds
from arrowfold.placement.catalogue import ModelCatalogue, catalogue_of
from arrowfold.placement.ceiling import ANSWER_JITTER_S
from arrowfold.replication.state import ControlState

CHECK_INTERVAL_S = 0.1


class OwnershipPort(Protocol):
    """What the placement asks of replication."""

    @property
    def committed(self) -> ControlState:
        """The newest committed state."""

    @property
    def epoch(self) -> int:
        """The epoch of the newest record known."""

    @property
    def member(self) -> str:
        """This member's identity."""

    def active_for_s(self) -> float:
        """How much longer this member is surely the active primary; 0 or less if it is not."""


class PrimaryLease:
    """The ownership of a role by the active primary of one epoch."""

    def __init__(self, replica: OwnershipPort) -> None:
        self._replica = replica
        self._epoch = replica.epoch

    @property
    def token(self) -> int:
        """The epoch."""
        return self._epoch

    @property
    def holder(self) -> str:
        """The identity of the primary."""
        return self._replica.member

    def remaining_s(self) -> float:
        """The rest of the primary's lease; 0 after a change of the epoch."""
        return self._replica.active_for_s() if self._replica.epoch == self._epoch else 0.0


class PlacementService:
    """Starts and ends the executors of all services with models."""

    def __init__(
        self,
        replica: OwnershipPort,
        workers: Callable[[], Iterable[WorkerRecord]],
        notices: PlacementNotices,
        bounds: Bounds,
        clock: Callable[[], float],
        log: RateLimitedLog,
    ) -> None:
        self._replica = replica
        self._workers = workers
        self._notices = notices
        self._bounds = bounds
        self._clock = clock
        self._log = log
        self._session: aiohttp.ClientSession | None = None
        self._catalogues: dict[str, ModelCatalogue] = {}
        self._read_sequence = -1
        self._executors: dict[str, tuple[PlacementExecutor, asyncio.Task[None]]] = {}
        self._orders_from_s = clock() + self._takeover_wait_s

    async def run(self) -> None:
        """Follow the ownership until cancelled."""
        self._session = order_session()
        was_active = False
        epoch = self._replica.epoch
        try:
            while True:
                active = self._replica.active_for_s() > 0
                if active and not was_active and self._replica.epoch != epoch:
                    self._orders_from_s = self._clock() + self._takeover_wait_s
                was_active, epoch = active, self._replica.epoch
                if active and self._clock() >= self._orders_from_s:
                    self._follow_configuration(self._session)
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            for _, task in self._executors.values():
                task.cancel()
            await self._session.close()

    async def on_demand(self, report: DemandReport) -> Acknowledgement:
        """An edge tells what it saw."""
        for executor, _ in list(self._executors.values()):
            executor.take_demand(report)
        return Acknowledgement()

    def wake(self) -> None:
        """Workers or the committed state have changed."""
        for executor, _ in list(self._executors.values()):
            executor.wake()

    def workers(self) -> Iterable[WorkerRecord]:
        """Every worker known now."""
        return self._workers()

    def catalogue(self, service: str) -> ModelCatalogue | None:
        """The models of a service by the configuration in force."""
        self._read_configuration()
        return self._catalogues.get(service)

    def publish(self, service: str, token: int, corrections: tuple[WorkerCorrection, ...]) -> None:
        """Bring these corrections to every edge."""
        self._notices.publish(service, token, corrections)

    @property
    def _takeover_wait_s(self) -> float:
        return self._bounds.leaseMs / 1000 + ANSWER_JITTER_S

    def _follow_configuration(self, session: aiohttp.ClientSession) -> None:
        self._read_configuration()
        for service in self._catalogues:
            running = self._executors.get(service)
            if running is not None and not running[1].done():
                continue
            lease = PrimaryLease(self._replica)
            executor = PlacementExecutor(service, lease, self, self._bounds, session, self._clock)
            self._executors[service] = (executor, asyncio.create_task(executor.run()))
            self._log.info("placement.owned", service=service, token=lease.token)

    def _read_configuration(self) -> None:
        state = self._replica.committed
        if state.configuration is None or state.configuration_sequence == self._read_sequence:
            return
        self._read_sequence = state.configuration_sequence
        document = read_object(state.configuration).ok()
        if document is None:
            return
        found = (catalogue_of(service) for service in document.get("services", ()))
        self._catalogues = {catalogue.service: catalogue for catalogue in found if catalogue is not None}
