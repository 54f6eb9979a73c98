"""Answers pulls with the updates that the version vector of the puller lacks, as soon as there are any."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import math
from collections.abc import Callable
from enum import Enum

from arrowfold.configuration.tenants import change_text_without_keys, text_without_keys
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
    view_checksum,
)
from arrowfold.registry.workers import WorkerRegistry
from arrowfold.replication.proposals import ReplicaPort
from arrowfold.replication.state import REMEMBERED_DELTAS, ControlState

MAX_PULL_WAIT_S = 5.0
ANSWERS_PER_S = 500.0  # with ordinary updates, over all edges: several changes share an answer beyond it
MAX_ANSWER_SPACING_S = 0.4  # maximum time between two answers with ordinary updates to one edge
NOTICES_PER_S = 100.0  # answers without the ordinary updates themselves, over all edges
MAX_NOTICE_SPACING_S = 1.0
CURRENT_VALID_S = 0.005  # caches the check for concurrent pulls; far below the safety margin of a lease
MAX_REMEMBERED_PULLERS = 4096  # for which the time of the last answer is kept
StateUpdate = ConfigurationUpdate | ConfigurationDelta | DepartureUpdate

# Keys are redacted once for each text, not for each edge. Two documents are cached, because answers with the
# previous one may overlap a change.
_document_without_keys = functools.lru_cache(maxsize=2)(text_without_keys)
_patch_without_keys = functools.lru_cache(maxsize=REMEMBERED_DELTAS)(change_text_without_keys)


def configuration_updates(state: ControlState, since: int) -> tuple[StateUpdate, ...]:
    """Returns the deltas from the configuration at position `since` to the latest, or the whole document.

    The updates hold digests in place of the API keys of tenants.
    """
    if state.configuration is None or state.configuration_sequence <= since:
        return ()
    steps = tuple(patch for patch in state.patches if patch.sequence > since)
    has_base = bool(steps) and 0 < steps[0].base_sequence <= since
    if not has_base or sum(len(step.patch) for step in steps) >= len(state.configuration):
        document = _document_without_keys(state.configuration)
        return (ConfigurationUpdate(state.configuration_sequence, state.configuration_version, document),)
    return tuple(
        ConfigurationDelta(step.sequence, step.base_version, step.version, _patch_without_keys(step.patch))
        for step in steps
    )


def state_updates(state: ControlState, since: int) -> tuple[StateUpdate, ...]:
    """Returns the updates for everything that was committed after position `since`."""
    departures = tuple(
        DepartureUpdate(departure.sequence, instance, departure.state, departure.remaining_ms)
        for instance, departure in state.departures.items()
        if departure.sequence > since
    )
    return (*departures, *configuration_updates(state, since))


class UpdateUrgency(Enum):
    """Urgency of the updates that are available for a puller."""

    NONE = 0
    ORDINARY = 1  # worker records and placements: several may be combined in one answer
    URGENT = 2  # configurations, departures, a new epoch: answered immediately


class Distributor:
    """Keeps pulls open until there are updates for them.

    In a large fleet ordinary updates are delayed and combined, so that the work grows with the number of
    edges and not with the number of edges times changes.
    """

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
        self._urgently_changed = asyncio.Event()
        self._vector: dict[str, int] | None = None
        self._cached_view: tuple[ClusterView, int] | None = None
        self._last_answer_s: dict[str, float] = {}  # time of the last answer, by member
        self._current_check = (-math.inf, False)  # time of the last check, and its result

    def wake(self) -> None:
        """Wakes the pulls that wait for ordinary updates."""
        self._vector = None
        self._changed.set()
        self._changed = asyncio.Event()

    def wake_urgently(self) -> None:
        """Wakes all pulls after a possible change of the committed state, the epoch or `is_current`."""
        self._urgently_changed.set()
        self._urgently_changed = asyncio.Event()
        self.wake()

    def vector(self) -> dict[str, int]:
        """Returns the version vector of the updates that this node can distribute."""
        return {
            **self._registry.vector(),
            **self._notices.vector(),
            STATE_ORIGIN: self._replica.committed.sequence,
        }

    def view(self) -> ClusterView:
        """Returns the group as known to this node."""
        primary = self._replica.primary()
        return ClusterView(
            epoch=self._replica.epoch,
            primary=primary.member if primary is not None else "",
            members=self._replica.members(),
            edges=self._presence.count(),
            roles=self._roles(),
        )

    def _update_urgency(self, request: PullRequest, known_epoch: int, known_current: bool) -> UpdateUrgency:
        if self._replica.epoch != known_epoch or self._is_current() != known_current:
            return UpdateUrgency.URGENT
        if self._replica.committed.sequence > request.vector.get(STATE_ORIGIN, 0):
            return UpdateUrgency.URGENT
        if self._vector is None:
            self._vector = self.vector()
        known = request.vector
        is_behind = any(counter > known.get(origin, 0) for origin, counter in self._vector.items())
        return UpdateUrgency.ORDINARY if is_behind else UpdateUrgency.NONE

    def _is_current(self) -> bool:
        """Returns whether this node is the primary or in recent contact with it (cached briefly)."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._current_check[0] > CURRENT_VALID_S:
            self._current_check = (now_s, self._replica.is_current())
        return self._current_check[1]

    def _spacing_s(self, notice_only: bool) -> float:
        """Returns the minimum time between two answers with ordinary updates, or notices, to an edge."""
        if notice_only:
            return min(MAX_NOTICE_SPACING_S, self._presence.count() / NOTICES_PER_S)
        return min(MAX_ANSWER_SPACING_S, self._presence.count() / ANSWERS_PER_S)

    async def pull(self, request: PullRequest) -> PullResponse:
        """Answers a pull and records the contact of the edge that sent it."""
        self._presence.record_contact(request.sender)
        clock = asyncio.get_running_loop().time
        deadline_s = clock() + min(request.wait_s, MAX_PULL_WAIT_S)
        spacing_s = self._spacing_s(request.notice_only)
        earliest_s = self._last_answer_s.get(request.sender.member, -math.inf) + spacing_s
        epoch, current = self._replica.epoch, self._is_current()
        while (urgency := self._update_urgency(request, epoch, current)) is not UpdateUrgency.URGENT:
            until_s = deadline_s if urgency is UpdateUrgency.NONE else min(earliest_s, deadline_s)
            if clock() >= until_s:
                break
            changed = self._changed if urgency is UpdateUrgency.NONE else self._urgently_changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(until_s):
                    await changed.wait()
        self._record_answer(request, clock())
        return self._answer(request)

    def _record_answer(self, request: PullRequest, now_s: float) -> None:
        if len(self._last_answer_s) > MAX_REMEMBERED_PULLERS:
            self._last_answer_s.clear()
        self._last_answer_s[request.sender.member] = now_s

    def _answer(self, request: PullRequest) -> PullResponse:
        updates: tuple[WorkerUpdate | StateUpdate | PlacementUpdate, ...] = ()
        if not request.notice_only:
            since = request.vector.get(STATE_ORIGIN, 0)
            updates = (
                *state_updates(self._replica.committed, since),
                *self._registry.missing(request.vector),
                *self._notices.missing(request.vector),
            )
        view, mark = self._marked_view()
        included_view = None if mark == request.known_view else view
        age_s = self._replica.state_age_s()
        return PullResponse(self._replica.is_current(), included_view, self.vector(), updates, age_s)

    def _marked_view(self) -> tuple[ClusterView, int]:
        view = self.view()
        if self._cached_view is None or self._cached_view[0] != view:
            self._cached_view = (view, view_checksum(view))
        return self._cached_view
