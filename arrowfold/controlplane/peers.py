"""Pulls worker records from other control nodes, and sends them the contact ages of edge nodes."""

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
RETRY_INTERVAL_S = 0.3
SIGHTINGS_INTERVAL_S = 2.0
UNBOUNDED_POSITION = 2**62  # above every position of an origin
LIVENESS_TIMEOUT_S = PULL_WAIT_S + PULL_MARGIN_S + RETRY_INTERVAL_S + 0.5  # since the last answer of a node


class PeerPulls:
    """Keeps a long pull open to every other member of the group."""

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
        self._last_answer_s: dict[str, float] = {}
        self._pulls: dict[str, asyncio.Task[None]] = {}
        # Known origins that control nodes don't distribute to one another.
        self._ignored_origins = {STATE_ORIGIN}

    def is_live(self, origin: str) -> bool:
        """Returns whether the control node of this origin has answered recently."""
        member = origin.partition(".")[0]
        return self._clock() - self._last_answer_s.get(member, -LIVENESS_TIMEOUT_S) < LIVENESS_TIMEOUT_S

    def follow_members(self) -> None:
        """Starts pulls from new members and cancels those from members that have left."""
        members = {
            info.member: info for info in self._replica.members() if info.member != self._replica.member
        }
        for member in [member for member in self._pulls if member not in members]:
            self._pulls.pop(member).cancel()
        for member, info in members.items():
            if member not in self._pulls:
                self._pulls[member] = asyncio.create_task(self._pull_from(info))

    def close(self) -> None:
        """Cancels all pulls."""
        for task in self._pulls.values():
            task.cancel()

    async def _pull_from(self, info: MemberInfo) -> None:
        next_sightings_s = 0.0
        while True:
            request = PullRequest(self._identity, self._vector(), PULL_WAIT_S)
            answer = await self._caller.call(info.address, request, PULL_WAIT_S + PULL_MARGIN_S)
            response = answer.ok()
            if not isinstance(response, PullResponse):
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            self._last_answer_s[info.member] = self._clock()
            self._merge(response)
            if self._clock() >= next_sightings_s:
                next_sightings_s = self._clock() + SIGHTINGS_INTERVAL_S
                await self._caller.call(info.address, EdgeSightings(self._presence.ages()), PULL_MARGIN_S)

    def _vector(self) -> dict[str, int]:
        # The replicated state is distributed by replication, and placements by their owner to the edges. Any
        # position of these origins is declared as known; otherwise every pull would be answered immediately.
        return {**self._registry.vector(), **dict.fromkeys(self._ignored_origins, UNBOUNDED_POSITION)}

    def _merge(self, response: PullResponse) -> None:
        updates = tuple(update for update in response.updates if isinstance(update, WorkerUpdate))
        self._ignored_origins.update(filter(is_placement_origin, response.vector))
        vector = {
            origin: counter
            for origin, counter in response.vector.items()
            if origin not in self._ignored_origins
        }
        if self._registry.merge(updates, vector):
            self._on_change()
