"""An edge node: all parts of the data plane put together, and its life from start to end."""

from __future__ import annotations

import asyncio
import secrets
import time
from dataclasses import dataclass

from arrowfold.configuration.routes import Limits
from arrowfold.dataplane.credentials import TENANTS_CONTRACT
from arrowfold.dataplane.forwarding import RequestForwarder
from arrowfold.dataplane.freshness import StateFreshness
from arrowfold.dataplane.front import EdgeFront, ReadinessFront
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
from arrowfold.dataplane.worker_connections import FEWEST_CONNECTIONS, WorkerConnections
from arrowfold.internal.channel import ChannelClient
from arrowfold.internal.messages import NodeIdentity, WorkerRecord
from arrowfold.node.listeners import Listeners
from arrowfold.node.logs import RateLimitedLog
from arrowfold.node.settings import NodeSettings
from arrowfold.selection.interface import EngineFacts, WorkerSelector

EARLY_REPORT_S = 0.005  # requests that find no model are told of this soon, several at once
ROUND_S = 0.5  # between market rounds, reports of demand and looks at idle connections
REPORTS_A_S = 100.0  # of demand, over all edges: in a large fleet each reports less often
LONGEST_REPORT_PAUSE_S = 2.0
PROBE_MISSES_S = 2.3  # after readiness ends until the platform sends no new connections
END_MARGIN_S = 0.7  # of the grace time, left for the end itself
MS_PER_S = 1_000.0
DEFAULT_CONNECTIONS = 64  # to one worker, where the configuration has no bound


@dataclass(frozen=True, slots=True)
class _ConnectionSharers:
    """What the shares of the workers' connections depend on."""

    configuration: int | None  # its position in the replicated state
    edges: int
    states: frozenset[tuple[str, str]]  # of the workers, by instance

    @classmethod
    def of(cls, snapshot: FleetSnapshot, edges: int) -> _ConnectionSharers:
        """Those of a snapshot."""
        configuration = snapshot.configuration
        states = frozenset((instance, record.state) for instance, record in snapshot.workers.items())
        return cls(configuration.sequence if configuration is not None else None, edges, states)

    def has_unresponsive(self) -> bool:
        """Whether a worker is silent: connections to it that rest are dropped again and again."""
        return any(state == UNRESPONSIVE for _, state in self.states)


class EdgeNode:
    """One edge process."""

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
        self._configured = False
        bounds = settings.bounds
        self._budget = RetryBudget(
            bounds.retryBudgetRatio, bounds.budgetExtra, bounds.budgetWindowS, loop.time()
        )
        self._tables = FleetTables()
        revoke_s = bounds.revokeMs / MS_PER_S if bounds.revocationClosed else None
        freshness = StateFreshness(revoke_s)
        self._connections = WorkerConnections()
        process_end = ProcessEnd()
        self._usage = UsageCounts(bounds.usageWindowS, time.time)
        self._forwarder = RequestForwarder(
            self._connections,
            selector,
            self._budget,
            lambda: self._tables.snapshot,
            loop.time,
            process_end=process_end,
            traces=traces,
            options=self._options,
            on_begun=self._usage.begun,
            always_hides_keys=TENANTS_CONTRACT in settings.contracts,
            keys_are_fresh=freshness.is_fresh,
        )
        self._front = EdgeFront(self._forwarder.forward, self._limits, process_end)
        self._readiness = ReadinessFront(self.is_ready)
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
        self._facts_of: ConfigurationSnapshot | None = None  # whose facts the selector has
        self._sharers: _ConnectionSharers | None = None  # between whom connections were last shared
        self._tasks: list[asyncio.Task[None]] = []
        self._overlay = PlacementOverlay()
        self._reported_s = loop.time()
        self._early_report: asyncio.Task[None] | None = None
        self._forwarder.on_missing = self._report_missing

    async def start(self) -> None:
        """Serve, at the sockets that are open already or at new ones, and begin to pull."""
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
        if self._owes_usage():
            self._tasks.append(asyncio.create_task(self._usage_reporter.run()))

    def is_ready(self) -> bool:
        """Whether the platform should send new connections here."""
        return not self._stopping and self._tables.snapshot.configuration is not None

    def apply_settings(self, settings: NodeSettings) -> None:
        """Take a settings file that changed."""
        self._puller.set_seeds(settings.seed_internal_addresses())

    async def stop(self, told_ago_s: float = 0.0) -> None:
        """Leave without losing a request: not ready first, then no new connections, then the end.

        `told_ago_s`: how much of the grace time has passed since the process was told to end.
        """
        if self._stopping:
            return
        self._stopping = True
        self._front.begin_draining()
        await asyncio.sleep(PROBE_MISSES_S)
        grace_s = self._settings.bounds.graceS - told_ago_s - PROBE_MISSES_S - END_MARGIN_S
        await self._front.stop(max(0.0, grace_s))
        if self._owes_usage():
            await self._usage_reporter.report(LAST_REPORT_TIMEOUT_S)
        self._puller.stop()
        for task in self._tasks:
            task.cancel()

    def _owes_usage(self) -> bool:
        cloud = self._settings.cloudApi
        return cloud is not None and USAGE_DUTY in cloud.duties

    def _limits(self) -> Limits:
        configuration = self._tables.snapshot.configuration
        return configuration.routes.limits if configuration is not None else Limits()

    def _apply_tables(self) -> None:
        snapshot = self._tables.snapshot
        now_s = self._clock()
        if snapshot.configuration is not None and not self._configured:
            self._configured = True
            self._log.info("ready", version=snapshot.configuration.version)
        workers = self._workers_now(snapshot, now_s)
        self._selector.apply_workers(workers, now_s)
        if snapshot.configuration is not self._facts_of:
            self._facts_of = snapshot.configuration
            self._selector.apply_engines(_engine_facts(snapshot))
        edges = snapshot.view.edges if snapshot.view is not None else 0
        if edges > 0:
            self._selector.apply_edges(edges)
            self._budget.apply_edges(edges, now_s)
        shared = _ConnectionSharers.of(snapshot, max(1, edges))
        if shared != self._sharers or shared.has_unresponsive():
            self._sharers = shared
            self._share_connections(shared.edges)
        self._forwarder.workers_changed()

    def _workers_now(self, snapshot: FleetSnapshot, now_s: float) -> tuple[WorkerRecord, ...]:
        """The workers' records, as far as the owners of placements know better."""
        if not self._options.placement_overlay:
            return tuple(snapshot.workers.values())
        return self._overlay.corrected(snapshot.workers.values(), snapshot.placements, now_s)

    def _share_connections(self, edges: int) -> None:
        snapshot = self._tables.snapshot
        services = snapshot.configuration.routes.services if snapshot.configuration is not None else {}
        shares = {}
        for instance, record in snapshot.workers.items():
            if not snapshot.may_send(instance):
                continue
            service = services.get(record.service)
            most = service.max_connections if service is not None else None
            shares[instance] = max(FEWEST_CONNECTIONS, (most or DEFAULT_CONNECTIONS) // edges)
            if record.state == UNRESPONSIVE:
                self._connections.drop_idle_of(instance)
        self._connections.set_shares(shares)
        self._connections.keep_only(set(shares))

    async def _run_rounds(self) -> None:
        while True:
            await asyncio.sleep(ROUND_S)
            self._selector.market_round(self._clock())
            self._connections.close_expired()
            self._front.close_overdue()
            if self._overlay.has_expired(self._clock()):
                self._apply_tables()
            if self._clock() - self._reported_s >= self._report_pause_s():
                await self._report_demand()

    def _report_pause_s(self) -> float:
        """How long after a report of demand the next regular one is due."""
        view = self._tables.snapshot.view
        edges = view.edges if view is not None else 0
        return min(LONGEST_REPORT_PAUSE_S, edges / REPORTS_A_S)

    async def _report_demand(self) -> None:
        now_s = self._clock()
        period_s, self._reported_s = now_s - self._reported_s, now_s
        await self._reporter.report(self._tables.snapshot.view, period_s, now_s)

    def _report_missing(self) -> None:
        """A request found no worker that holds its model: tell the owner of the placement at once."""
        if self._early_report is None or self._early_report.done():
            self._early_report = asyncio.create_task(self._report_soon())

    async def _report_soon(self) -> None:
        await asyncio.sleep(EARLY_REPORT_S)
        await self._report_demand()


def _engine_facts(snapshot: FleetSnapshot) -> tuple[EngineFacts, ...]:
    """What the configuration in force tells of the services' engines."""
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
