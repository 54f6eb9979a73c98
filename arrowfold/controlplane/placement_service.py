"""Runs the placement of every service with models while this node owns it.

Each service's placement is a fenced role of its own; `RoleAuthority` tells whether this node may act on it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import aiohttp

from arrowfold.configuration.json_text import read_object
from arrowfold.controlplane.placement_executor import PlacementExecutor, order_session
from arrowfold.controlplane.placement_notices import PlacementNotices
from arrowfold.controlplane.role_names import placement_role
from arrowfold.internal.messages import Acknowledgement, DemandReport, WorkerCorrection, WorkerRecord
from arrowfold.node.logs import RateLimitedLog
from arrowfold.node.settings import Bounds
from arrowfold.node.traces import TraceWriter
from arrowfold.placement.catalogue import ModelCatalogue, catalogue_of
from arrowfold.placement.options import PlacementOptions
from arrowfold.replication.proposals import ReplicaPort
from arrowfold.replication.roles import HeldRoleLease, RoleAuthority

CHECK_INTERVAL_S = 0.1


class PlacementService:
    """Starts and ends the executors of all services with models."""

    def __init__(
        self,
        replica: ReplicaPort,
        authority: RoleAuthority,
        workers: Callable[[], Iterable[WorkerRecord]],
        notices: PlacementNotices,
        bounds: Bounds,
        clock: Callable[[], float],
        log: RateLimitedLog,
        options: PlacementOptions,
        traces: TraceWriter | None = None,
    ) -> None:
        """`traces` takes a record of each load."""
        self._options = options
        self._traces = traces
        self._replica = replica
        self._authority = authority
        self._workers = workers
        self._notices = notices
        self._bounds = bounds
        self._clock = clock
        self._log = log
        self._session: aiohttp.ClientSession | None = None
        self._catalogues: dict[str, ModelCatalogue] = {}
        self._read_sequence = -1
        self._executors: dict[str, tuple[PlacementExecutor, asyncio.Task[None]]] = {}

    async def run(self) -> None:
        """Follow the ownership until cancelled."""
        self._session = order_session()
        try:
            while True:
                self._follow_roles(self._session)
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

    def _follow_roles(self, session: aiohttp.ClientSession) -> None:
        self._read_configuration()
        for service in self._catalogues:
            running = self._executors.get(service)
            if running is not None and not running[1].done():
                continue
            tenure = self._authority.tenure(placement_role(service))
            if tenure is None:
                continue
            lease = HeldRoleLease(self._authority, tenure, self._clock)
            executor = PlacementExecutor(
                service, lease, self, self._bounds, session, self._clock, self._options, self._traces
            )
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
