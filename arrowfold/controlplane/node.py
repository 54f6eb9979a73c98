"""A control node, assembled from storage, replication, worker registry, HTTP and internal interfaces."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from arrowfold.controlplane.changes import ConfigurationService
from arrowfold.controlplane.distribution import Distributor
from arrowfold.controlplane.http_interface import ControlHttpServer, build_application, serve
from arrowfold.controlplane.messages import EdgeSightings
from arrowfold.controlplane.peers import PeerPulls
from arrowfold.controlplane.placement_notices import PlacementNotices
from arrowfold.controlplane.placement_service import PlacementService
from arrowfold.controlplane.platform_client import PlatformClient
from arrowfold.controlplane.presence import EdgePresence
from arrowfold.controlplane.registration import RegistrationService
from arrowfold.controlplane.role_names import (
    USAGE_DUTY,
    companion_role,
    placement_roles,
    scaling_roles,
    usage_roles,
)
from arrowfold.controlplane.scaling_service import SCALING_DUTY, ScalingService
from arrowfold.controlplane.usage_decisions import UsageDecisions
from arrowfold.controlplane.usage_service import UsageService
from arrowfold.controlplane.usage_windows import LATE_REPORTS_SHARE, UsageGathering
from arrowfold.internal.channel import ChannelClient, ChannelServer
from arrowfold.internal.messages import (
    Acknowledgement,
    DecideUsageWindow,
    DemandReport,
    MarkUsageReported,
    MemberInfo,
    NodeIdentity,
    PullRequest,
    ReadConfiguration,
    RoleOwner,
    SubmitChange,
    SubmitDeparture,
    UsageReport,
)
from arrowfold.node.logs import RateLimitedLog
from arrowfold.node.settings import CloudApi, NodeSettings
from arrowfold.node.traces import TraceWriter
from arrowfold.placement.ceiling import MAX_ORDER_DELAY_S
from arrowfold.placement.options import PlacementOptions
from arrowfold.registry.workers import WorkerRegistry
from arrowfold.replication.durable import DurableState
from arrowfold.replication.identity import Identity
from arrowfold.replication.member import GroupMember
from arrowfold.replication.recovery import NewIdentity, open_storage
from arrowfold.replication.replica import Replica
from arrowfold.replication.roles import RoleAuthority, handover_wait_s
from arrowfold.replication.state import ControlState
from arrowfold.replication.timings import Timings
from arrowfold.scaling.options import ScalingOptions
from arrowfold.storage.folders import OsFolder
from arrowfold.storage.worker import ThreadDiskWorker

SWEEP_INTERVAL_S = 0.5
STORAGE_RETRY_INTERVAL_S = 0.3  # between attempts to open the storage while the disk refuses writes
CALL_DRAIN_GRACE_SHARE = 0.15  # of the grace period, for calls in progress after leaving the group
EDGE_PRESENCE_TIMEOUT_S = 7.0  # edges pull every 5 s or more often; usage reports don't wait beyond this
LEAVE_GRACE_SHARE = 0.75  # of the grace period, for the group to release a stopping member


class ControlNode:
    """A control node; `start` assembles and starts it, `stop` hands over its roles and stops it."""

    def __init__(
        self,
        settings: NodeSettings,
        log: RateLimitedLog,
        placement: PlacementOptions | None = None,
        traces: TraceWriter | None = None,
        scaling: ScalingOptions | None = None,
    ) -> None:
        """Creates a node; `traces` receives a record of each load that this node orders."""
        self._scaling_options = scaling or ScalingOptions()
        self._platform: PlatformClient | None = None
        self._placement_options = placement or PlacementOptions()
        self._traces = traces
        self._settings = settings
        self._log = log
        self._disk = ThreadDiskWorker()
        self._replication_client = ChannelClient()  # short calls of the replication
        self._forwarding_client = ChannelClient()  # calls forwarded to the primary, and long pulls
        self._tasks: list[asyncio.Task[None]] = []
        self._server: ChannelServer | None = None
        self._http: ControlHttpServer | None = None
        self._replica: Replica | None = None
        self._pulls: PeerPulls | None = None

    async def start(self) -> None:
        """Recovers the persisted state, starts the interfaces and joins the group."""
        settings = self._settings
        clock = asyncio.get_running_loop().time
        identity, durable = await self._recover(clock)
        info = MemberInfo(
            identity.member,
            settings.nodeName,
            settings.internal_address,
            settings.listenAddresses.control or "",
            settings.zone,
        )
        member = GroupMember(info, identity.founder, durable, clock, Timings(), self._log)
        replica = self._replica = Replica(
            member,
            self._replication_client,
            identity.seeds,
            settings.faultTolerance.machineLosses,
            self._log,
            random.Random(identity.member),
            LEAVE_GRACE_SHARE * settings.bounds.graceS,
        )
        replica.set_addresses(settings.seed_internal_addresses())
        origin = f"{identity.member}.{secrets.token_hex(3)}"
        registry = WorkerRegistry(origin, clock, settings.beatIntervalMs / 1000)
        presence = EdgePresence(clock, settings.bounds.budgetWindowS)
        notices = PlacementNotices(lambda: distributor.wake(), clock)
        distributor = Distributor(replica, registry, presence, lambda: _role_owners(replica), notices)
        wait_s = handover_wait_s(settings.bounds, MAX_ORDER_DELAY_S)
        authority = RoleAuthority(replica, clock, replica.authority_until, wait_s)
        placement = PlacementService(
            replica,
            authority,
            lambda: registry.records().values(),
            notices,
            settings.bounds,
            clock,
            self._log,
            self._placement_options,
            self._traces,
        )
        configurations = ConfigurationService(replica, self._forwarding_client, self._log)
        registrations = RegistrationService(replica, registry, self._forwarding_client, distributor.wake)
        node = NodeIdentity(
            settings.nodeName, identity.member, settings.zone, settings.internal_address, settings.serves
        )
        pulls = self._pulls = PeerPulls(
            node, replica, registry, presence, self._forwarding_client, clock, distributor.wake
        )
        cloud_api = settings.cloudApi
        duties = cloud_api.duties if cloud_api is not None else ()
        if cloud_api is not None:
            self._platform = PlatformClient(cloud_api.address)
        scaling = self._scaling_service(replica, authority, registry, clock)

        def required_roles(state: ControlState) -> tuple[str, ...]:
            workers = () if scaling is None else scaling_roles(state, scaling.zones)
            return (*placement_roles(state), *usage_roles(duties), *workers)

        replica.set_required_roles(required_roles, companion_role)
        replica.add_listener(authority.observe)
        replica.add_listener(distributor.wake_urgently)
        replica.add_listener(pulls.follow_members)
        replica.add_listener(placement.wake)
        handlers = {
            **replica.handlers(),
            **_control_handlers(distributor, configurations, registrations, presence, placement, scaling),
        }
        if cloud_api is not None and USAGE_DUTY in duties:
            decisions = UsageDecisions(replica, self._forwarding_client)
            usage = self._usage_service(cloud_api, decisions, authority, presence, clock)
            handlers |= _usage_handlers(decisions, usage)
            self._tasks.append(asyncio.create_task(usage.run()))
        self._server = ChannelServer(handlers)
        await self._server.start(settings.internal_address)
        if settings.listenAddresses.control is not None:
            application = build_application(configurations, registrations)
            self._http = await serve(application, settings.listenAddresses.control)
        self._tasks.append(asyncio.create_task(replica.run()))
        self._tasks.append(asyncio.create_task(placement.run()))
        if scaling is not None:
            self._tasks.append(asyncio.create_task(scaling.run()))
        self._tasks.append(asyncio.create_task(_sweep_registry(registry, pulls, distributor)))
        self._log.info(
            "control.started", member=identity.member, founder=identity.founder, epoch=replica.epoch
        )

    def _usage_service(
        self,
        cloud_api: CloudApi,
        decisions: UsageDecisions,
        authority: RoleAuthority,
        presence: EdgePresence,
        clock: Callable[[], float],
    ) -> UsageService:
        assert self._platform is not None
        return UsageService(
            self._settings.nodeName,
            decisions,
            authority,
            self._platform,
            lambda: presence.names(EDGE_PRESENCE_TIMEOUT_S),
            UsageGathering(LATE_REPORTS_SHARE * self._settings.bounds.usageDelayS),
            cloud_api.dutyRateS,
            clock,
            self._log,
        )

    def _scaling_service(
        self,
        replica: Replica,
        authority: RoleAuthority,
        registry: WorkerRegistry,
        clock: Callable[[], float],
    ) -> ScalingService | None:
        """Returns the scaling service, or None unless the platform and the policy both enable it."""
        api = self._settings.cloudApi
        if api is None or SCALING_DUTY not in api.duties or not self._scaling_options.orders:
            return None
        assert self._platform is not None
        return ScalingService(
            replica,
            authority,
            lambda: registry.records().values(),
            self._platform,
            self._settings.nodeName,
            api.dutyRateS,
            clock,
            self._log,
            self._scaling_options,
        )

    async def _recover(self, clock: Callable[[], float]) -> tuple[Identity, DurableState]:
        folder = OsFolder(Path(self._settings.dataDirectory or "/tmp/arrowfold-control"))
        seeds = self._settings.seed_internal_addresses()
        new = NewIdentity(secrets.token_hex(8), self._settings.firstStart, seeds)
        while True:
            try:
                opened = await self._disk.run(lambda: open_storage(folder, new))
                if opened.damage is not None:
                    self._log.error("storage.damaged", reason=str(opened.damage))
                return opened.identity, DurableState(opened.log, self._disk, clock, opened.persisted)
            except OSError as error:
                self._log.warning("storage.open_failed", reason=str(error))
                await asyncio.sleep(STORAGE_RETRY_INTERVAL_S)

    def apply_settings(self, settings: NodeSettings) -> None:
        """Applies changed settings, such as other seed addresses."""
        self._settings = settings
        if self._replica is not None:
            self._replica.set_addresses(settings.seed_internal_addresses())

    async def stop(self, elapsed_grace_s: float = 0.0) -> None:
        """Hands over the leadership, answers the calls in progress and stops.

        `elapsed_grace_s` has no effect here.
        """
        if self._replica is not None:
            await self._replica.stop()
        if self._http is not None:
            await self._http.end(CALL_DRAIN_GRACE_SHARE * self._settings.bounds.graceS)
        for task in self._tasks:
            task.cancel()
        if self._pulls is not None:
            self._pulls.close()
        if self._server is not None:
            await self._server.close()
        if self._platform is not None:
            await self._platform.close()
        self._replication_client.close()
        self._forwarding_client.close()
        self._disk.close()


def _role_owners(replica: Replica) -> tuple[RoleOwner, ...]:
    return tuple(
        RoleOwner(role, tenure.member, tenure.token) for role, tenure in replica.committed.roles.items()
    )


def _control_handlers(
    distributor: Distributor,
    configurations: ConfigurationService,
    registrations: RegistrationService,
    presence: EdgePresence,
    placement: PlacementService,
    scaling: ScalingService | None,
) -> dict[type[Any], Callable[[Any], Awaitable[Any]]]:
    async def on_sightings(message: EdgeSightings) -> Acknowledgement:
        presence.merge_ages(message.ages_s)
        return Acknowledgement()

    async def on_demand_report(report: DemandReport) -> Acknowledgement:
        if scaling is not None:
            scaling.take_demand(report)
        return await placement.on_demand(report)

    return {
        PullRequest: distributor.pull,
        SubmitChange: configurations.on_submit,
        ReadConfiguration: configurations.on_read,
        SubmitDeparture: registrations.on_departure,
        EdgeSightings: on_sightings,
        DemandReport: on_demand_report,
    }


def _usage_handlers(
    decisions: UsageDecisions, usage: UsageService
) -> dict[type[Any], Callable[[Any], Awaitable[Any]]]:
    return {
        DecideUsageWindow: decisions.on_decide,
        MarkUsageReported: decisions.on_reported,
        UsageReport: usage.on_report,
    }


async def _sweep_registry(registry: WorkerRegistry, pulls: PeerPulls, distributor: Distributor) -> None:
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S)
        if registry.sweep(pulls.is_live):
            distributor.wake()
