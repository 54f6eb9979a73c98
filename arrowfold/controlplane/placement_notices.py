"""The placement updates that this node's owners publish, handed to edges by version vector.

Only the owner's own node hands them on: edges keep a pull open to every control node. A puller gets just the
corrections that changed after the update that it has.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from arrowfold.internal.messages import PlacementUpdate, WorkerCorrection
from arrowfold.placement.corrections import same_corrections

ROLE_PREFIX = "placement/"
READY_TOLERANCE_S = 0.1  # an expected time that moved by less is not told again


@dataclass(frozen=True, slots=True)
class _Published:
    """The newest word on one worker: its correction, or None once that was withdrawn."""

    counter: int
    correction: WorkerCorrection | None
    at_s: float

    def says(self, correction: WorkerCorrection, now_s: float) -> bool:
        """Whether this tells the same, with the time that has passed since."""
        if self.correction is None or not same_corrections([self.correction], [correction]):
            return False
        ready = zip(self.correction.arriving, correction.arriving, strict=True)
        return all(
            abs(self.at_s + old.ready_in_s - now_s - new.ready_in_s) < READY_TOLERANCE_S for old, new in ready
        )


@dataclass(slots=True)
class _ServiceNotices:
    """What was published of one service under one fencing token."""

    service: str
    token: int
    first: int  # the counter before its first update
    counter: int
    workers: dict[str, _Published] = field(default_factory=dict)


class PlacementNotices:
    """The newest corrections of each service whose placement this node owns, or did."""

    def __init__(self, on_change: Callable[[], None], clock: Callable[[], float]) -> None:
        self._on_change = on_change
        self._clock = clock
        self._life = secrets.token_hex(4)  # a restarted owner has its role under the same token
        self._services: dict[str, _ServiceNotices] = {}

    def publish(self, service: str, token: int, corrections: tuple[WorkerCorrection, ...]) -> None:
        """Take all corrections of a service that are in force now; pullers learn what changed."""
        origin = f"{ROLE_PREFIX}{service}@{self._life}"
        known = self._services.get(origin)
        if known is None or token > known.token:
            first = known.counter if known is not None else 0
            known = self._services[origin] = _ServiceNotices(service, token, first, first)
        known.counter += 1
        self._note(known, corrections)
        self._on_change()

    def _note(self, known: _ServiceNotices, corrections: tuple[WorkerCorrection, ...]) -> None:
        now_s = self._clock()
        for correction in corrections:
            before = known.workers.get(correction.instance)
            if before is None or not before.says(correction, now_s):
                known.workers[correction.instance] = _Published(known.counter, correction, now_s)
        in_force = {correction.instance for correction in corrections}
        for instance, published in list(known.workers.items()):
            if instance not in in_force and published.correction is not None:
                known.workers[instance] = _Published(known.counter, None, now_s)

    def vector(self) -> dict[str, int]:
        """The counter of the newest update of each service."""
        return {origin: known.counter for origin, known in self._services.items()}

    def missing(self, vector: dict[str, int]) -> tuple[PlacementUpdate, ...]:
        """The updates that lie beyond a puller's version vector."""
        return tuple(
            self._update(origin, known, vector.get(origin, 0))
            for origin, known in self._services.items()
            if known.counter > vector.get(origin, 0)
        )

    def _update(self, origin: str, known: _ServiceNotices, since: int) -> PlacementUpdate:
        """What changed after `since`; everything for a puller that has nothing of this tenure."""
        if since <= known.first:
            since = 0
        changed = {
            instance: published for instance, published in known.workers.items() if published.counter > since
        }
        corrections = tuple(item.correction for item in changed.values() if item.correction is not None)
        withdrawn = tuple(instance for instance, item in changed.items() if item.correction is None)
        return PlacementUpdate(
            origin,
            known.counter,
            known.service,
            corrections,
            withdrawn if since else (),
            since,
            known.token,
        )


def is_placement_origin(origin: str) -> bool:
    """True for the entries of a version vector that belong to placement updates."""
    return origin.startswith(ROLE_PREFIX)
