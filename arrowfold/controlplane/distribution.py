"""Answers to pulls: what a puller lacks by its version vector, at once or as soon as there is something."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from arrowfold.controlplane.placement_notices import PlacementNotices
from arrowfold.controlplane.presence import EdgePresence
from arrowfold.internal.messages import (
    STATE_ORIGIN,
    ClusterView,
    ConfigurationDelta,
    ConfigurationUpdate,
    DepartureUpdate,
    PlacementUpdate,
    PullRequest,
    PullResponse,
    RoleOwner,
    WorkerUpdate,
)
from arrowfold.registry.workers import WorkerRegistry
from arrowfold.replication.proposals import ReplicaPort
from arrowfold.replication.state import ControlState

LONGEST_WAIT_S = 5.0
StateUpdate = ConfigurationUpdate | ConfigurationDelta | DepartureUpdate


def configuration_updates(state: ControlState, since: int) -> tuple[StateUpdate, ...]:
    """The steps from the configuration at position `since` to the newest, or the whole document."""
    if state.configuration is None or state.configuration_sequence <= since:
        return ()
    whole = ConfigurationUpdate(
        state.configuration_sequence, state.configuration_version, state.configuration
    )
    steps = tuple(patch for patch in state.patches if patch.sequence > since)
    chained = bool(steps) and 0 < steps[0].base_sequence <= since
    if not chained or sum(len(step.patch) for step in steps) >= len(state.configuration):
        return (whole,)
    return tuple(
        ConfigurationDelta(step.sequence, step.base_version, step.version, step.patch) for step in steps
    )


def state_updates(state: ControlState, since: int) -> tuple[StateUpdate, ...]:
    """Everything committed after position `since`, for distribution."""
    departures = tuple(
        DepartureUpdate(departure.sequence, instance, departure.state, departure.remaining_ms)
        for instance, departure in state.departures.items()
        if departure.sequence > since
    )
    return (*departures, *configuration_updates(state, since))


class Distributor:
    """Holds pulls open until there is something new for them."""

    def __init__(
        self,
        replica: ReplicaPort,
        registry: WorkerRegistry,
        presence: EdgePresence,
        roles: Callable[[], tuple[RoleOwner, ...]],
        notices: PlacementNotices,
    ) -> None:
        self._replica = replica
        self._registry = registry
        self._presence = presence
        self._roles = roles
        self._notices = notices
        self._changed = asyncio.Event()

    def wake(self) -> None:
        """Answer the pulls that wait for something new."""
        self._changed.set()
        self._changed = asyncio.Event()

    def vector(self) -> dict[str, int]:
        """The version vector of what this node can hand on."""
        return {
            **self._registry.vector(),
            **self._notices.vector(),
            STATE_ORIGIN: self._replica.committed.sequence,
        }

    def view(self) -> ClusterView:
        """The group as this node knows it."""
        primary = self._replica.primary()
        return ClusterView(
            epoch=self._replica.epoch,
            primary=primary.member if primary is not None else "",
            members=self._replica.members(),
            edges=self._presence.count(),
            roles=self._roles(),
        )

    def _has_news(self, request: PullRequest, known_epoch: int, known_current: bool) -> bool:
        if self._replica.epoch != known_epoch or self._replica.is_current() != known_current:
            return True
        vector = self.vector()
        return any(counter > request.vector.get(origin, 0) for origin, counter in vector.items())

    async def pull(self, request: PullRequest) -> PullResponse:
        """Answer a pull; an edge that pulls counts as present."""
        self._presence.seen(request.sender)
        deadline = asyncio.get_running_loop().time() + min(request.wait_s, LONGEST_WAIT_S)
        epoch, current = self._replica.epoch, self._replica.is_current()
        while not self._has_news(request, epoch, current):
            remaining_s = deadline - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                break
            changed = self._changed
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                break
        return self._answer(request)

    def _answer(self, request: PullRequest) -> PullResponse:
        updates: tuple[WorkerUpdate | StateUpdate | PlacementUpdate, ...] = ()
        if not request.notice_only:
            since = request.vector.get(STATE_ORIGIN, 0)
            updates = (
                *state_updates(self._replica.committed, since),
                *self._registry.missing(request.vector),
                *self._notices.missing(request.vector),
            )
        return PullResponse(self._replica.is_current(), self.view(), self.vector(), updates)
