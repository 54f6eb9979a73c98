"""Placement updates published by the placements on this node, distributed to edges by version vector.

Only the node of the owner distributes them, because edges keep a pull open to every control node. A puller
receives only the corrections that changed after the update that it has.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from arrowfold.internal.messages import PlacementUpdate, WorkerCorrection
from arrowfold.placement.corrections import same_corrections

ROLE_PREFIX = "placement/"
READY_TOLERANCE_S = 0.1  # a smaller change of an expected time is not published


@dataclass(frozen=True, slots=True)
class _Published:
    """Latest correction of one worker, or None once it has been withdrawn."""

    counter: int
    correction: WorkerCorrection | None
    published_s: float

    def is_equivalent_to(self, correction: WorkerCorrection, now_s: float) -> bool:
        """Returns whether this equals `correction`, allowing for the time since it was published."""
        if self.correction is None or not same_corrections([self.correction], [correction]):
            return False
        ready = zip(self.correction.arriving, correction.arriving, strict=True)
        return all(
            abs(self.published_s + old.ready_in_s - now_s - new.ready_in_s) < READY_TOLERANCE_S
            for old, new in ready
        )


@dataclass(slots=True)
class _ServiceNotices:
    """Corrections published for one service under one fencing token."""

    service: str
    token: int
    base_counter: int  # counter before the first update
    counter: int
    workers: dict[str, _Published] = field(default_factory=dict)


class PlacementNotices:
    """Latest corrections of each service whose placement this node owns or has owned."""

    def __init__(self, on_change: Callable[[], None], clock: Callable[[], float]) -> None:
        self._on_change = on_change
        self._clock = clock
        self._incarnation = secrets.token_hex(4)  # an owner that restarted keeps its role and token
        self._services: dict[str, _ServiceNotices] = {}

    def publish(self, service: str, token: int, corrections: tuple[WorkerCorrection, ...]) -> None:
        """Replaces the corrections of a service; pullers receive the difference."""
        origin = f"{ROLE_PREFIX}{service}@{self._incarnation}"
        notices = self._services.get(origin)
        if notices is None or token > notices.token:
            base_counter = notices.counter if notices is not None else 0
            notices = self._services[origin] = _ServiceNotices(service, token, base_counter, base_counter)
        notices.counter += 1
        self._record_corrections(notices, corrections)
        self._on_change()

    def _record_corrections(
        self, notices: _ServiceNotices, corrections: tuple[WorkerCorrection, ...]
    ) -> None:
        now_s = self._clock()
        for correction in corrections:
            previous = notices.workers.get(correction.instance)
            if previous is None or not previous.is_equivalent_to(correction, now_s):
                notices.workers[correction.instance] = _Published(notices.counter, correction, now_s)
        in_force = {correction.instance for correction in corrections}
        for instance, published in list(notices.workers.items()):
            if instance not in in_force and published.correction is not None:
                notices.workers[instance] = _Published(notices.counter, None, now_s)

    def vector(self) -> dict[str, int]:
        """Returns the counter of the latest update of each service."""
        return {origin: notices.counter for origin, notices in self._services.items()}

    def missing(self, vector: dict[str, int]) -> tuple[PlacementUpdate, ...]:
        """Returns the updates that the version vector of a puller lacks."""
        return tuple(
            self._update(origin, notices, vector.get(origin, 0))
            for origin, notices in self._services.items()
            if notices.counter > vector.get(origin, 0)
        )

    def _update(self, origin: str, notices: _ServiceNotices, since: int) -> PlacementUpdate:
        """Returns the changes after `since`, or everything if the puller has no update of this tenure."""
        if since <= notices.base_counter:
            since = 0
        changed = {
            instance: published
            for instance, published in notices.workers.items()
            if published.counter > since
        }
        corrections = tuple(
            published.correction for published in changed.values() if published.correction is not None
        )
        withdrawn = tuple(instance for instance, published in changed.items() if published.correction is None)
        return PlacementUpdate(
            origin,
            notices.counter,
            notices.service,
            corrections,
            withdrawn if since else (),
            since,
            notices.token,
        )


def is_placement_origin(origin: str) -> bool:
    """Returns whether an origin in a version vector belongs to placement updates."""
    return origin.startswith(ROLE_PREFIX)
