"""The placement updates that this node's owners publish, handed to edges by version vector.

Only the owner's own node hands them on: edges keep a pull open to every control node.
"""

from __future__ import annotations

from collections.abc import Callable

from arrowfold.internal.messages import PlacementUpdate, WorkerCorrection

ROLE_PREFIX = "placement/"
_UPDATES_A_TOKEN = 2**32


class PlacementNotices:
    """The newest update of each service whose placement this node owns, or did."""

    def __init__(self, on_change: Callable[[], None]) -> None:
        self._on_change = on_change
        self._updates: dict[str, PlacementUpdate] = {}

    def publish(self, service: str, token: int, corrections: tuple[WorkerCorrection, ...]) -> None:
        """Replace the update of a service."""
        origin = ROLE_PREFIX + service
        known = self._updates.get(origin)
        counter = max(token * _UPDATES_A_TOKEN, known.counter if known is not None else 0) + 1
        self._updates[origin] = PlacementUpdate(origin, counter, service, corrections)
        self._on_change()

    def vector(self) -> dict[str, int]:
        """The counter of each update held."""
        return {origin: update.counter for origin, update in self._updates.items()}

    def missing(self, vector: dict[str, int]) -> tuple[PlacementUpdate, ...]:
        """The updates that lie beyond a puller's version vector."""
        return tuple(
            update for origin, update in self._updates.items() if update.counter > vector.get(origin, 0)
        )


def is_placement_origin(origin: str) -> bool:
    """True for the entries of a version vector that belong to placement updates."""
    return origin.startswith(ROLE_PREFIX)
