"""Reports of this edge's demand for models to the owners of the services' placements."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from arrowfold.internal.channel import ChannelClient
from arrowfold.internal.messages import ClassDemand, ClusterView, DemandReport, NodeIdentity
from arrowfold.selection.interface import WorkerSelector

PLACEMENT_ROLE_PREFIX = "placement/"
REPORT_TIMEOUT_S = 1.0


class DemandReporter:
    """Sends each class's demand to the owner of its service's placement."""

    def __init__(self, client: ChannelClient, identity: NodeIdentity, selector: WorkerSelector) -> None:
        self._client = client
        self._identity = identity
        self._selector = selector
        self._tasks: set[asyncio.Task[None]] = set()

    async def report(self, view: ClusterView | None, period_s: float, now_s: float) -> None:
        """Sends the demand since the last call, without waiting for the answers.

        `period_s` is the time in seconds that the demand covers. Demand is discarded while no view is known.
        """
        demand = self._selector.take_demand(now_s)
        failing = self._selector.take_failed_workers()
        if view is None or not demand:
            return
        by_address: dict[str, list[ClassDemand]] = defaultdict(list)
        for entry in demand:
            address = owner_address(view, entry.service)
            if address is not None:
                by_address[address].append(entry)
        for address, entries in by_address.items():
            report = DemandReport(self._identity, period_s, tuple(entries), failing)
            task = asyncio.create_task(self._send(address, report))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, address: str, report: DemandReport) -> None:
        await self._client.call(address, report, REPORT_TIMEOUT_S)


def owner_address(view: ClusterView, service: str) -> str | None:
    """Returns the internal address of the owner of this service's placement, or else of the primary."""
    owners = {role.role: role.member for role in view.roles}
    owner = owners.get(PLACEMENT_ROLE_PREFIX + service, view.primary)
    return _member_address(view, owner)


def role_address(view: ClusterView, role: str) -> str | None:
    """Returns the internal address of the holder of a role, or None if no holder is known."""
    holder = next((owner.member for owner in view.roles if owner.role == role), None)
    return _member_address(view, holder)


def _member_address(view: ClusterView, identity: str | None) -> str | None:
    return next((member.address for member in view.members if member.member == identity), None)
