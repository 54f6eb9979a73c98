"""What each worker is being prepared for: the loads that are decided on and not accepted yet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace

from arrowfold.placement.demand import ModelClass
from arrowfold.placement.worker_state import WorkerState


@dataclass(frozen=True, slots=True)
class LoadIntent:
    """What a worker is being prepared for; unloads come first where there is no room."""

    target: ModelClass
    urgent: bool  # a request is waiting for it
    since_s: float
    begun: bool = False  # something was unloaded for it
    pressing: bool = False  # a further copy that gains more than a request that waits


class LoadIntents:
    """At most one intent for each worker, by instance."""

    def __init__(self) -> None:
        self._by_instance: dict[str, LoadIntent] = {}

    def __contains__(self, instance: str) -> bool:
        return instance in self._by_instance

    def __iter__(self) -> Iterator[tuple[str, LoadIntent]]:
        """All intents, as they are at this moment."""
        return iter(tuple(self._by_instance.items()))

    def get(self, instance: str) -> LoadIntent | None:
        """What this worker is being prepared for."""
        return self._by_instance.get(instance)

    def add(self, instance: str, intent: LoadIntent) -> None:
        """Prepare this worker for a load."""
        self._by_instance[instance] = intent

    def drop(self, instance: str) -> None:
        """The load was accepted, or can't be done there."""
        self._by_instance.pop(instance, None)

    def note_unload(self, instance: str) -> None:
        """Something is being unloaded for the intent of this worker."""
        intent = self._by_instance.get(instance)
        if intent is not None:
            self._by_instance[instance] = replace(intent, begun=True)

    def begun(self, beside: str) -> int:
        """Workers, apart from this one, on which something was unloaded for a load that has not been sent."""
        return sum(1 for instance, intent in self._by_instance.items() if intent.begun and instance != beside)

    def begun_copies(self, beside: str) -> int:
        """The same, for further copies only."""
        return sum(
            1
            for instance, intent in self._by_instance.items()
            if intent.begun and not intent.urgent and instance != beside
        )

    def has_waiting_urgent(self) -> bool:
        """Whether a model for which requests wait has a worker, and nothing was unloaded there yet."""
        return any(
            intent.urgent and not intent.begun and not intent.target.adapter
            for intent in self._by_instance.values()
        )

    def in_order(self) -> list[str]:
        """The workers with an intent, the most urgent first."""
        return sorted(self._by_instance, key=lambda instance: _urgency(self._by_instance[instance]))

    def includes(self, target: ModelClass) -> bool:
        """Whether some worker is being prepared for exactly this class."""
        return any(intent.target == target for intent in self._by_instance.values())

    def planned_copies(self, workers: dict[str, WorkerState]) -> Counter[str]:
        """For each model the workers that are being prepared for it and don't load it yet."""
        return Counter(
            intent.target.model
            for instance, intent in self._by_instance.items()
            if not intent.target.adapter and workers[instance].arriving_model() != intent.target.model
        )

    def spreading(self) -> int:
        """Workers that are being prepared for further copies of models."""
        return sum(
            1 for intent in self._by_instance.values() if not intent.target.adapter and not intent.urgent
        )


def _urgency(intent: LoadIntent) -> tuple[bool, float]:
    return not (intent.urgent or intent.pressing), intent.since_s
