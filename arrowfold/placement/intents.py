"""Load intents: loads that are planned for a worker and not accepted by it yet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace

from arrowfold.placement.demand import ModelClass
from arrowfold.placement.worker_state import WorkerState


@dataclass(frozen=True, slots=True)
class LoadIntent:
    """A load planned for a worker; unloads precede it where memory is short."""

    target: ModelClass
    urgent: bool  # a request is waiting for it
    planned_s: float
    has_sent_unload: bool = False  # an unload for it was sent
    pressing: bool = False  # an additional copy with a gain above `pressing_gain`


class LoadIntents:
    """Load intents by instance, at most one for each worker."""

    def __init__(self) -> None:
        self._by_instance: dict[str, LoadIntent] = {}

    def __contains__(self, instance: str) -> bool:
        return instance in self._by_instance

    def __iter__(self) -> Iterator[tuple[str, LoadIntent]]:
        """Iterates over a copy of all intents, so that they can be dropped meanwhile."""
        return iter(tuple(self._by_instance.items()))

    def get(self, instance: str) -> LoadIntent | None:
        """Returns the load intent of this worker, or None."""
        return self._by_instance.get(instance)

    def add(self, instance: str, intent: LoadIntent) -> None:
        """Sets the load intent of this worker."""
        self._by_instance[instance] = intent

    def drop(self, instance: str) -> None:
        """Removes the load intent of this worker, if there is one."""
        self._by_instance.pop(instance, None)

    def note_unload(self, instance: str) -> None:
        """Records that an unload for the intent of this worker is being sent."""
        intent = self._by_instance.get(instance)
        if intent is not None:
            self._by_instance[instance] = replace(intent, has_sent_unload=True)

    def count_emptying(self, excluding: str) -> int:
        """Returns the number of other workers with an unload for a load that was not accepted yet."""
        return sum(
            1
            for instance, intent in self._by_instance.items()
            if intent.has_sent_unload and instance != excluding
        )

    def count_emptying_for_copies(self, excluding: str) -> int:
        """Returns the same as `count_emptying`, for additional copies only."""
        return sum(
            1
            for instance, intent in self._by_instance.items()
            if intent.has_sent_unload and not intent.urgent and instance != excluding
        )

    def has_unstarted_urgent(self) -> bool:
        """Returns True if an urgent load of a model is planned for which no unload was sent."""
        return any(
            intent.urgent and not intent.has_sent_unload and not intent.target.adapter
            for intent in self._by_instance.values()
        )

    def instances_by_urgency(self) -> list[str]:
        """Returns the instances with an intent, the most urgent first."""
        return sorted(self._by_instance, key=lambda instance: _urgency_key(self._by_instance[instance]))

    def includes(self, target: ModelClass) -> bool:
        """Returns True if a load of exactly this class is planned."""
        return any(intent.target == target for intent in self._by_instance.values())

    def planned_copies(self, workers: dict[str, WorkerState]) -> Counter[str]:
        """Counts for each model the workers with an intent for it that are not loading it yet."""
        return Counter(
            intent.target.model
            for instance, intent in self._by_instance.items()
            if not intent.target.adapter and workers[instance].loading_model() != intent.target.model
        )

    def count_additional_copies(self) -> int:
        """Returns the number of workers with an intent for an additional copy of a model."""
        return sum(
            1 for intent in self._by_instance.values() if not intent.target.adapter and not intent.urgent
        )


def _urgency_key(intent: LoadIntent) -> tuple[bool, float]:
    return not (intent.urgent or intent.pressing), intent.planned_s
