"""The edge node: assembles the parts of the data plane and runs them from start to shutdown."""

from __future__ import annotations

import asyncio
import secrets
import time
from dataclasses import dataclass

from arrowfold.configuration.routes import Limits
from arrowfold.dataplane.attempts import RequestProgress
from arrowfold.dataplane.connection_answer import ForeignAnswer, InvalidAnswer
from arrowfold.dataplane.credentials import TENANTS_CONTRACT
from arrowfold.dataplane.end_schedule import plan_end
from arrowfold.dataplane.forwarding import RequestForwarder
from arrowfold.dataplane.freshness import StateFreshness
from arrowfold.dataplane.front import EdgeFront, ReadinessServer
from arrowfold.dataplane.give_up import GiveUpReason
from arrowfold.dataplane.options import DataPlaneOptions
from arrowfold.dataplane.placement_overlay import PlacementOverlay
from arrowfold.dataplane.process_end import ProcessEnd
from arrowfold.dataplane.puller import ControlPuller
from arrowfold.dataplane.reports import DemandReporter
from arrowfold.dataplane.request_trace import TraceSink
from arrowfold.dataplane.retry_budget import RetryBudget
from arrowfold.dataplane.stalled_exchanges import StalledExchangeWatch
from arrowfold.dataplane.tables import UNRESPONSIVE, ConfigurationSnapshot, FleetSnapshot, FleetTables
from arrowfold.dataplane.usage_counts import UsageCounts
from arrowfold.dataplane.usage_reporter import LAST_REPORT_TIMEOUT_S, USAGE_DUTY, UsageReporter
from arrowfold.dataplane.worker_connections import MIN_CONNECTIONS, WorkerConnections
from arrowfold.internal.channel import ChannelClient
from arrowfold.internal.messages import NodeIdentity, WorkerRecord
from arrowfold.node.listeners import Listeners
from arrowfold.node.logs import RateLimitedLog
from arrowfold.node.settings import NodeSettings
from arrowfold.selection.interface import EngineFacts, WorkerSelector

MISSING_MODEL_REPORT_DELAY_S = 0.005  # collects requests whose model is missing into one report
MAINTENANCE_INTERVAL_S = 0.5  # between market rounds, which also check connections and demand reports
MAX_REPORTS_PER_S = 100.0  # of demand, over all edges: in a large fleet each edge reports less often
MAX_REPORT_INTERVAL_S = 2.0
MS_PER_S = 1_000.0
DEFAULT_CONNECTIONS_PER_WORKER = 64  # of all edges together, if the configuration has no bound
MAX_LOGGED_ID_CHARS = 64  # of an id that a worker sent


@dataclass(frozen=True, slots=True)
class _ConnectionShareInputs:
    """The inputs that the edge's shares of the workers' connections depend on."""

    configuration: int | None  # its position in the replicated state
    edges: int
    states: frozenset[tuple[str, str]]  # of the workers, by instance

    @classmethod
    def from_snapshot(cls, snapshot: FleetSnapshot, edges: int) -> _ConnectionShareInputs:
        """Returns the inputs of a snapshot."""
        configuration = snapshot.configuration
        states = frozenset((instance, record.state) for instance, record in snapshot.workers.items())
        return cls(configuration.sequence if configuration is not None else None, edges, states)

    def has_unresponsive(self) -> bool:
        """Returns whether a worker is unresponsive: its idle connections are dropped at each update."""
        return any(state == UNRESPONSIVE for _, state in self.states)


class EdgeNode:
    """An edge node. Create it within the event loop that it runs in."""

    def __init__(
        self,
        settings: NodeSettings,
        selector: WorkerSelector,
        log: RateLimitedLog,
        listeners: Listeners | None = None,
        options: DataPlaneOptions | None = None,
        traces: TraceSink | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._listeners = listeners or {}
        self._options = options or DataPlaneOptions()
        self._settings = settings
        self._selector = selector
        self._log = log
        self._clock = loop.time
        self._stopping = False
        self._has_logged_ready = False
        bounds = settings.bounds
        self._budget = RetryBudget(
            bounds.retryBudgetRatio, bounds.budgetExtra, bounds.budgetWindowS, loop.time()
        )
        self._tables = FleetTables()
        revoke_s = bounds.revokeMs / MS_PER_S if bounds.revocationClosed else None
        freshness = StateFreshness(revoke_s)
        self._connections = WorkerConnections(self._log_foreign_answer, self._log_invalid_answer)
        self._process_end = ProcessEnd()
        self._usage = UsageCounts(bounds.usageWindowS, time.time)
        self._forwarder = RequestForwarder(
            self._connections,
            selector,
            self._budget,
            lambda: self._tables.snapshot,
            loop.time,
            process_end=self._process_end,
            traces=traces,
            options=self._options,
            on_execution_started=self._usage.count_request,
            on_answer_cut=self._log_answer_cut,
            always_hides_keys=TENANTS_CONTRACT in settings.contracts,
            keys_are_fresh=freshness.is_fresh,
        )
        self._front = EdgeFront(self._forwarder.forward, self._limits, self._process_end)
        self._readiness = ReadinessServer(self.is_ready)
        self._client = ChannelClient()
        identity = NodeIdentity(
            settings.nodeName,
            secrets.token_hex(8),
            settings.zone,
            settings.internal_address,
            settings.serves,
        )
        self._puller = ControlPuller(
            self._client,
            self._tables,
            identity,
            settings.seed_internal_addresses(),
            self._apply_tables,
            log,
            freshness,
        )
        self._reporter = DemandReporter(self._client, identity, selector)
        self._usage_reporter = UsageReporter(
            self._client, identity, self._usage, lambda: self._tables.snapshot.view
        )
        self._stalled_exchanges = StalledExchangeWatch(self._connections, log)
        self._engine_facts_source: ConfigurationSnapshot | None = None  # whose engine facts the selector has
        self._share_inputs: _ConnectionShareInputs | None = None  # of the last computed shares
        self._tasks: list[asyncio.Task[None]] = []
        self._placement_overlay = PlacementOverlay()
        self._last_report_s = loop.time()
        self._early_report: asyncio.Task[None] | None = None
        self._forwarder.on_early_report_due = self._report_missing_model

    async def start(self) -> None:
        """Starts to serve, on the sockets that are already open or on new ones, and to pull."""
        addresses = self._settings.listenAddresses
        if addresses.readiness is not None:
            await self._readiness.start(addresses.readiness, self._listeners.get("readiness"))
        if addresses.front is not None:
            await self._front.start(addresses.front, self._listeners.get("front"))
        self._puller.start()
        self._tasks = [
            asyncio.create_task(self._run_rounds()),
            asyncio.create_task(self._stalled_exchanges.run()),
        ]
        if self._has_usage_duty():
            self._tasks.append(asyncio.create_task(self._usage_reporter.run()))

    def is_ready(self) -> bool:
        """Returns whether the platform should send new connections here."""
        return not self._stopping and self._tables.snapshot.configuration is not None

    def apply_settings(self, settings: NodeSettings) -> None:
        """Applies the seeds of a changed settings file."""
        self._puller.set_seeds(settings.seed_internal_addresses())

    async def stop(self, elapsed_grace_s: float = 0.0) -> None:
        """Shuts down without losing a request: first not ready, then no new connections, then the end.

        `elapsed_grace_s` is the part of the grace time, in seconds, that has passed since the stop signal.
        """
        if self._stopping:
            return
        self._stopping = True
        self._front.begin_draining()
        schedule = plan_end(self._settings.bounds.graceS, elapsed_grace_s)
        self._process_end.plan(schedule)
        await asyncio.sleep(schedule.listener_closes_s)
        await self._front.stop(schedule.ends_s - schedule.listener_closes_s)
        if self._has_usage_duty():
            await self._usage_reporter.report(LAST_REPORT_TIMEOUT_S)
        self._puller.stop()
        for task in self._tasks:
            task.cancel()

    def _has_usage_duty(self) -> bool:
        cloud = self._settings.cloudApi
        return cloud is not None and USAGE_DUTY in cloud.duties

    def _log_answer_cut(self, progress: RequestProgress, reason: GiveUpReason) -> None:
        self._log.info(
            "answer_cut",
            attempt=progress.attempt_id,
            reason=reason.value,
            events=progress.events_forwarded,
            deliveries=progress.deliveries,
        )

    def _log_foreign_answer(self, foreign: ForeignAnswer) -> None:
        attempt_id = foreign.attempt_id
        self._log.warning(
            "foreign_answer",
            attempt=foreign.awaited_attempt_id,
            instance=foreign.instance,
            connection=foreign.connection,
            got=None if attempt_id is None else attempt_id[:MAX_LOGGED_ID_CHARS],
            status=foreign.status,
            is_surplus=foreign.is_surplus,
        )

    def _log_invalid_answer(self, invalid: InvalidAnswer) -> None:
        self._log.warning(
            "invalid_answer",
            attempt=invalid.awaited_attempt_id,
            instance=invalid.instance,
            connection=invalid.connection,
            reason=invalid.fault.value,
        )

    def _limits(self) -> Limits:
        configuration = self._tables.snapshot.configuration
        return configuration.routes.limits if configuration is not None else Limits()

    def _apply_tables(self) -> None:
        snapshot = self._tables.snapshot
        now_s = self._clock()
        if snapshot.configuration is not None and not self._has_logged_ready:
            self._has_logged_ready = True
            self._log.info("ready", version=snapshot.configuration.version)
        workers = self._corrected_workers(snapshot, now_s)
        self._selector.apply_workers(workers, now_s)
        if snapshot.configuration is not self._engine_facts_source:
            self._engine_facts_source = snapshot.configuration
            self._selector.apply_engine_facts(_engine_facts(snapshot))
        edges = snapshot.view.edges if snapshot.view is not None else 0
        if edges > 0:
            self._selector.apply_edges(edges)
            self._budget.apply_edges(edges, now_s)
        share_inputs = _ConnectionShareInputs.from_snapshot(snapshot, max(1, edges))
        if share_inputs != self._share_inputs or share_inputs.has_unresponsive():
            self._share_inputs = share_inputs
            self._share_connections(share_inputs.edges)
        self._forwarder.notify_workers_changed()

    def _corrected_workers(self, snapshot: FleetSnapshot, now_s: float) -> tuple[WorkerRecord, ...]:
        """Returns the workers' records, with the corrections of the owners of placements."""
        if not self._options.placement_overlay:
            return tuple(snapshot.workers.values())
        return self._placement_overlay.corrected(snapshot.workers.values(), snapshot.placements, now_s)

    def _share_connections(self, edges: int) -> None:
        snapshot = self._tables.snapshot
        services = snapshot.configuration.routes.services if snapshot.configuration is not None else {}
        shares = {}
        for instance, record in snapshot.workers.items():
            if not snapshot.can_send_to(instance):
                continue
            service = services.get(record.service)
            max_connections = service.max_connections if service is not None else None
            shares[instance] = max(
                MIN_CONNECTIONS, (max_connections or DEFAULT_CONNECTIONS_PER_WORKER) // edges
            )
            if record.state == UNRESPONSIVE:
                self._connections.close_idle_connections(instance)
        self._connections.set_connection_limits(shares)
        self._connections.keep_only(set(shares))

    async def _run_rounds(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._selector.market_round(self._clock())
            self._connections.close_expired()
            self._front.close_overdue()
            if self._placement_overlay.has_expired(self._clock()):
                self._apply_tables()
            if self._clock() - self._last_report_s >= self._report_interval_s():
                await self._report_demand()

    def _report_interval_s(self) -> float:
        """Returns the time in seconds between regular demand reports."""
        view = self._tables.snapshot.view
        edges = view.edges if view is not None else 0
        return min(MAX_REPORT_INTERVAL_S, edges / MAX_REPORTS_PER_S)

    async def _report_demand(self) -> None:
        now_s = self._clock()
        period_s, self._last_report_s = now_s - self._last_report_s, now_s
        await self._reporter.report(self._tables.snapshot.view, period_s, now_s)

    def _report_missing_model(self) -> None:
        """Reports demand shortly, after a request found no worker that holds its model."""
        if self._early_report is None or self._early_report.done():
            self._early_report = asyncio.create_task(self._report_soon())

    async def _report_soon(self) -> None:
        await asyncio.sleep(MISSING_MODEL_REPORT_DELAY_S)
        await self._report_demand()


def _engine_facts(snapshot: FleetSnapshot) -> tuple[EngineFacts, ...]:
    """Returns the engine facts of the services in the configuration in force."""
    if snapshot.configuration is None:
        return ()
    return tuple(
        EngineFacts(
            service.name,
            service.engine.kv_cache_tokens,
            {model.name: model.load_time_s for model in service.engine.models},
        )
        for service in snapshot.configuration.routes.services.values()
        if service.engine is not None
    )
