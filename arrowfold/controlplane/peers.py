"""Pulls from other control nodes: worker records by version vector, and sightings of edge nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from arrowfold.controlplane.messages import EdgeSightings
from arrowfold.controlplane.placement_notices import is_placement_origin
from arrowfold.controlplane.presence import EdgePresence
from arrowfold.internal.messages import (
    STATE_ORIGIN,
    MemberInfo,
    NodeIdentity,
    PullRequest,
    PullResponse,
    WorkerUpdate,
)
from arrowfold.registry.workers import WorkerRegistry
from arrowfold.replication.ports import Caller, Clock
from arrowfold.replication.proposals import ReplicaPort

PULL_WAIT_S = 2.0
PULL_MARGIN_S = 0.7
RETRY_PAUSE_S = 0.3
SIGHTINGS_INTERVAL_S = 2.0
ANY_POSITION = 2**62
LIVE_S = PULL_WAIT_S + PULL_MARGIN_S + RETRY_PAUSE_S + 0.5  # after its last answer, a node counts as live


class PeerPulls:
    """Keeps one long pull open to every other member of the group."""

    def __init__(
        self,
        identity: NodeIdentity,
        replica: ReplicaPort,
        registry: WorkerRegistry,
        presence: EdgePresence,
        caller: Caller,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._replica = replica
        self._registry = registry
        self._presence = presence
        self._caller = caller
        self._clock = clock
        self._on_change = on_change
        self._answered_at: dict[str, float] = {}
        self._pulls: dict[str, asyncio.Task[None]] = {}
        self._skipped = {STATE_ORIGIN}  # origins met that control nodes do not hand on to one another

    def is_live(self, origin: str) -> bool:
        """Whether the control node that this origin belongs to answered lately."""
        member = origin.partition(".")[0]
        return self._clock() - self._answered_at.get(member, -LIVE_S) < LIVE_S

    def follow_members(self) -> None:
        """Start pulls from new members and end those from members that left."""
        members = {
            info.member: info for info in self._replica.members() if info.member != self._replica.member
        }
        for member in [member for member in self._pulls if member not in members]:
            self._pulls.pop(member).cancel()
        for member, info in members.items():
            if member not in self._pulls:
                self._pulls[member] = asyncio.create_task(self._pull_from(info))

    def close(self) -> None:
        """End all pulls."""
        for task in self._pulls.values():
            task.cancel()

    async def _pull_from(self, info: MemberInfo) -> None:
        next_sightings = 0.0
        while True:
            request = PullRequest(self._identity, self._vector(), PULL_WAIT_S)
            answer = await self._caller.call(info.address, request, PULL_WAIT_S + PULL_MARGIN_S)
            found = answer.ok()
            if not isinstance(found, PullResponse):
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._answered_at[info.member] = self._clock()
            self._take(found)
            if self._clock() >= next_sightings:
                next_sightings = self._clock() + SIGHTINGS_INTERVAL_S
                await self._caller.call(info.address, EdgeSightings(self._presence.ages()), PULL_MARGIN_S)

    def _vector(self) -> dict[str, int]:
        # The replicated state comes by replication, and placements go from their owner to the edges: any
        # position of them counts as known here. Else each pull would be answered at once, for ever.
        return {**self._registry.vector(), **dict.fromkeys(self._skipped, ANY_POSITION)}

    def _take(self, response: PullResponse) -> None:
        updates = tuple(update for update in response.updates if isinstance(update, WorkerUpdate))
        self._skipped.update(filter(is_placement_origin, response.vector))
        vector = {origin: count for origin, count in response.vector.items() if origin not in self._skipped}
        if self._registry.merge(updates, vector):
            self._on_change()
