"""Runs the placement of each service with models for which this node holds the placement role.

The placement of each service is a separate fenced role; `RoleAuthority` decides whether this node may act.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from arrowfold.configuration.json_text import read_object
from arrowfold.controlplane.placement_executor import PlacementExecutor, WorkerSessions, open_worker_sessions
from arrowfold.controlplane.placement_notices import PlacementNotices
from arrowfold.controlplane.role_names import placement_role
from arrowfold.internal.messages import Acknowledgement, DemandReport, WorkerCorrection, WorkerRecord
from arrowfold.node.logs import RateLimitedLog
from arrowfold.node.settings import Bounds
from arrowfold.node.traces import TraceWriter
from arrowfold.placement.catalogue import ModelCatalogue, parse_catalogue
from arrowfold.placement.options import PlacementOptions
from arrowfold.replication.proposals import ReplicaPort
from arrowfold.replication.roles import HeldRoleLease, RoleAuthority

CHECK_INTERVAL_S = 0.1


class PlacementService:
    """Starts the placement executors of services with models and cancels them on shutdown."""

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
        """Creates the service; `traces` receives a record of each load."""
        self._options = options
        self._traces = traces
        self._replica = replica
        self._authority = authority
        self._workers = workers
        self._notices = notices
        self._bounds = bounds
        self._clock = clock
        self._log = log
        self._catalogues: dict[str, ModelCatalogue] = {}
        self._catalogue_sequence = -1
        self._executors: dict[str, tuple[PlacementExecutor, asyncio.Task[None]]] = {}

    async def run(self) -> None:
        """Starts executors for owned placement roles until cancelled."""
        sessions = open_worker_sessions()
        try:
            while True:
                self._start_owned_executors(sessions)
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            for _, task in self._executors.values():
                task.cancel()
            await sessions.close()

    async def on_demand(self, report: DemandReport) -> Acknowledgement:
        """Passes a demand report of an edge to all executors."""
        for executor, _ in list(self._executors.values()):
            executor.take_demand(report)
        return Acknowledgement()

    def wake(self) -> None:
        """Wakes all executors after a change of the workers or of the committed state."""
        for executor, _ in list(self._executors.values()):
            executor.wake()

    def workers(self) -> Iterable[WorkerRecord]:
        """Returns all known workers."""
        return self._workers()

    def catalogue(self, service: str) -> ModelCatalogue | None:
        """Returns the model catalogue of a service from the current configuration, or None if it has none."""
        self._refresh_catalogues()
        return self._catalogues.get(service)

    def publish(self, service: str, token: int, corrections: tuple[WorkerCorrection, ...]) -> None:
        """Publishes the corrections of a service to all edges."""
        self._notices.publish(service, token, corrections)

    def _start_owned_executors(self, sessions: WorkerSessions) -> None:
        self._refresh_catalogues()
        for service in self._catalogues:
            running = self._executors.get(service)
            if running is not None and not running[1].done():
                continue
            tenure = self._authority.tenure(placement_role(service))
            if tenure is None:
                continue
            lease = HeldRoleLease(self._authority, tenure, self._clock)
            executor = PlacementExecutor(
                service, lease, self, self._bounds, sessions, self._clock, self._options, self._traces
            )
            self._executors[service] = (executor, asyncio.create_task(executor.run()))
            self._log.info("placement.owned", service=service, token=lease.token)

    def _refresh_catalogues(self) -> None:
        state = self._replica.committed
        if state.configuration is None or state.configuration_sequence == self._catalogue_sequence:
            return
        self._catalogue_sequence = state.configuration_sequence
        document = read_object(state.configuration).ok()
        if document is None:
            return
        catalogues = (parse_catalogue(service) for service in document.get("services", ()))
        self._catalogues = {catalogue.service: catalogue for catalogue in catalogues if catalogue is not None}
