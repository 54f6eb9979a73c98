"""Runs the duty of ordering workers for each service and zone for which this node holds it.

Each duty is a separate fenced role. The duties for all zones of a service are assigned to the node that
places its models, because edges report the demand of the service there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from arrowfold.configuration.json_text import read_object
from arrowfold.controlplane.duty_pace import CallRateLimiter
from arrowfold.controlplane.platform_client import DutyPlatform
from arrowfold.controlplane.role_names import scaling_role
from arrowfold.controlplane.scaling_subject import ScalingPorts, ScalingTenure, ServiceZone
from arrowfold.internal.messages import DemandReport, WorkerRecord
from arrowfold.node.logs import RateLimitedLog
from arrowfold.placement.catalogue import ModelCatalogue, parse_catalogue
from arrowfold.replication.proposals import ReplicaPort
from arrowfold.replication.roles import HeldRoleLease, RoleAuthority
from arrowfold.scaling.options import ScalingOptions
from arrowfold.scaling.service_bounds import ScalingBounds, scaling_bounds_of
from arrowfold.scaling.service_load import ServiceLoad
from arrowfold.scaling.zone_fleet import ZoneFleet, zone_fleets
from arrowfold.scaling.zone_scaler import Situation

SCALING_DUTY = "autoscale"  # name of the duty in the settings
CHECK_INTERVAL_S = 0.5
PLATFORM_RATE_SHARE = 0.5  # of the call rate that the platform accepts; the rest is left for other duties


@dataclass(frozen=True, slots=True)
class _ScaledService:
    """A service with scaling in the current configuration.

    `models_per_worker`: how many models of the largest size fit on one worker; 0 if unknown.
    """

    bounds: ScalingBounds
    models_per_worker: int


class ScalingService:
    """Maintains a `ScalingTenure` for each duty that this node holds."""

    def __init__(
        self,
        replica: ReplicaPort,
        authority: RoleAuthority,
        workers: Callable[[], Iterable[WorkerRecord]],
        platform: DutyPlatform,
        holder: str,
        duty_rate_s: float,
        clock: Callable[[], float],
        log: RateLimitedLog,
        options: ScalingOptions,
    ) -> None:
        """Creates the service.

        `holder`: name of this node. `duty_rate_s`: calls per second that all nodes together may make.
        """
        self._replica = replica
        self._authority = authority
        self._workers = workers
        self._clock = clock
        self._options = options
        self._duty_rate_s = duty_rate_s
        self._rate_limiter = CallRateLimiter(PLATFORM_RATE_SHARE * duty_rate_s)
        self._ports = ScalingPorts(platform, self._rate_limiter, holder, clock, log)
        self._services: Mapping[str, _ScaledService] = {}
        self._services_sequence = -1
        self._loads: dict[str, ServiceLoad] = {}
        self._tenures: dict[ServiceZone, ScalingTenure] = {}

    async def run(self) -> None:
        """Runs a step at each interval until cancelled."""
        try:
            while True:
                self.step()
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            for tenure in self._tenures.values():
                tenure.close()

    def take_demand(self, report: DemandReport) -> None:
        """Adds a demand report of an edge to the loads of the services."""
        for load in self._loads.values():
            load.add(report, self._clock())

    def zones(self, service: str) -> Iterable[str]:
        """Returns the zones that have known workers of a service."""
        return zone_fleets(self._workers(), service)

    def step(self) -> None:
        """Evaluates each service and zone for which this node holds the duty once."""
        self._refresh_services()
        records = tuple(self._workers()) if self._services else ()
        for service, scaled in self._services.items():
            fleets = zone_fleets(records, service)
            for zone, fleet in fleets.items():
                tenure = self._current_tenure(ServiceZone(service, zone))
                if tenure is not None and not tenure.is_fenced:
                    tenure.step(self._situation(service, scaled, fleet, len(fleets)))

    def _situation(self, service: str, scaled: _ScaledService, fleet: ZoneFleet, zones: int) -> Situation:
        now_s = self._clock()
        load = self._loads[service].at(now_s)
        return Situation(now_s, scaled.bounds, fleet, load, zones, scaled.models_per_worker)

    def _current_tenure(self, key: ServiceZone) -> ScalingTenure | None:
        """Returns the current tenure of a duty, or None if this node does not hold it."""
        tenure = self._authority.tenure(scaling_role(key.service, key.zone))
        known = self._tenures.get(key)
        if tenure is not None and known is not None and known.token == tenure.token:
            return known
        if known is not None:
            known.close()
            del self._tenures[key]
        if tenure is None:
            return None
        lease = HeldRoleLease(self._authority, tenure, self._clock)
        self._tenures[key] = ScalingTenure(key, lease, self._ports, self._options)
        return self._tenures[key]

    def _refresh_services(self) -> None:
        state = self._replica.committed
        if state.configuration is None or state.configuration_sequence == self._services_sequence:
            return
        self._services_sequence = state.configuration_sequence
        self._services = _scaled_services(state.configuration)
        self._loads = {name: self._loads.get(name) or self._new_load(name) for name in self._services}
        # One node holds all zones of a service, so there are at most as many calling nodes as services.
        self._rate_limiter.calls_per_s = PLATFORM_RATE_SHARE * self._duty_rate_s / max(1, len(self._services))

    def _new_load(self, service: str) -> ServiceLoad:
        return ServiceLoad(service, self._options.models_kept_s)


def _scaled_services(configuration: bytes) -> dict[str, _ScaledService]:
    """Returns the services of a configuration that have scaling, by name."""
    document = read_object(configuration).ok()
    if document is None:
        return {}
    scaled_services = {}
    for service in document.get("services", ()):
        bounds = scaling_bounds_of(service)
        if bounds is not None:
            scaled_services[bounds.service] = _ScaledService(
                bounds, _models_per_worker(parse_catalogue(service))
            )
    return scaled_services


def _models_per_worker(catalogue: ModelCatalogue | None) -> int:
    if catalogue is None:
        return 0
    largest_mb = max(spec.weights_mb for spec in catalogue.models.values())
    return int(catalogue.weights_mb / largest_mb) if largest_mb > 0 else 0
