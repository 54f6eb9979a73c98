"""The workers that control nodes heard, kept by origin and handed on by version vectors.

An *origin* is one life of a control node. It numbers the records that it makes; a record is made when a
worker says something new, when it starts to call this node, or when it has been silent. Ordinary heartbeats
that repeat what is known make none. Of several records of one worker, the one with the higher
`call_sequence` is in force.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from arrowfold.internal.messages import WorkerRecord, WorkerUpdate

AVAILABLE = "available"
DRAINING = "draining"
GONE = "gone"
SILENT = "silent"
MISSED_BEATS = 3  # heartbeats that a worker may miss before it counts as silent
DRAINED_SILENCE_S = 15.0  # after which a worker that was leaving is taken to be gone
KEPT_AFTER_END_S = 600.0  # how long a record of a silent or gone worker is kept
_FINAL_RANK = {AVAILABLE: 0, SILENT: 1, DRAINING: 2, GONE: 3}


@dataclass(frozen=True, slots=True)
class _Known:
    """The record in force of one worker."""

    update: WorkerUpdate
    heard_at: float  # when this node heard the worker itself, or took the record from another origin


def _same_content(one: WorkerRecord, other: WorkerRecord) -> bool:
    return replace(one, call_sequence=0, cold_left_ms=0.0) == replace(
        other, call_sequence=0, cold_left_ms=0.0
    )


def _supersedes(new: WorkerRecord, old: WorkerRecord) -> bool:
    new_rank = (new.call_sequence, _FINAL_RANK.get(new.state, 0))
    return new_rank > (old.call_sequence, _FINAL_RANK.get(old.state, 0))


class WorkerRegistry:
    """Records of workers of all origins, as one control node knows them."""

    def __init__(self, origin: str, clock: Callable[[], float], beat_interval_s: float) -> None:
        self.origin = origin
        self._clock = clock
        self._silence_s = MISSED_BEATS * beat_interval_s + 0.25
        self._known: dict[str, _Known] = {}
        self._counter = 0
        self._vector: dict[str, int] = {}
        self._last_sweep: float | None = None

    def vector(self) -> dict[str, int]:
        """For each origin, the number of its newest record that this node holds or has seen superseded."""
        return dict(self._vector)

    def records(self) -> dict[str, WorkerRecord]:
        """The record in force of each worker."""
        return {instance: known.update.record for instance, known in self._known.items()}

    def heard(self, record: WorkerRecord) -> bool:
        """Take a worker's own call; True if a record was made of it. Late calls change nothing."""
        known = self._known.get(record.instance)
        now = self._clock()
        if known is None:
            return self._make(record, now)
        current = known.update.record
        if record.call_sequence < current.call_sequence or current.state == GONE:
            return False
        if record.call_sequence == current.call_sequence and not _supersedes(record, current):
            return False
        if known.update.origin == self.origin and _same_content(record, current):
            update = replace(known.update, record=replace(current, call_sequence=record.call_sequence))
            self._known[record.instance] = _Known(update, now)
            return False
        return self._make(record, now)

    def departed(self, instance: str) -> bool:
        """A worker said that it is gone, and that is committed; True if a record was made of it."""
        known = self._known.get(instance)
        if known is None or known.update.record.state == GONE:
            return False
        return self._make(replace(known.update.record, state=GONE), self._clock())

    def _make(self, record: WorkerRecord, now: float) -> bool:
        self._counter += 1
        self._vector[self.origin] = self._counter
        self._known[record.instance] = _Known(WorkerUpdate(self.origin, self._counter, record), now)
        return True

    def merge(self, updates: tuple[WorkerUpdate, ...], vector: dict[str, int]) -> bool:
        """Take another node's answer to a pull; True if anything in it was new."""
        now = self._clock()
        changed = False
        for update in updates:
            changed |= self._merge_one(update, now)
        for origin, counter in vector.items():
            if origin != self.origin and counter > self._vector.get(origin, 0):
                self._vector[origin] = counter
                changed = True
        return changed

    def _merge_one(self, update: WorkerUpdate, now: float) -> bool:
        if update.origin == self.origin or update.counter <= self._vector.get(update.origin, 0):
            return False
        known = self._known.get(update.record.instance)
        if known is None or _supersedes(update.record, known.update.record):
            self._known[update.record.instance] = _Known(update, now)
            return True
        if known.update.origin == self.origin and _supersedes(known.update.record, update.record):
            # The other node lacks what this one heard later.
            self._make(known.update.record, known.heard_at)
        return True

    def missing(self, vector: dict[str, int]) -> tuple[WorkerUpdate, ...]:
        """The records in force that lie beyond a puller's version vector."""
        return tuple(
            known.update
            for known in self._known.values()
            if known.update.counter > vector.get(known.update.origin, 0)
        )

    def sweep(self, is_live: Callable[[str], bool]) -> bool:
        """Announce workers that have been silent; call it about once a second. True if there were any.

        This node answers for the workers that it heard last, and for those whose origin is not live. After
        a pause of its own (a freeze) every worker gets its whole time again.
        """
        now = self._clock()
        paused = self._last_sweep is not None and now - self._last_sweep > self._silence_s / 2
        self._last_sweep = now
        if paused:
            self._known = {key: replace(known, heard_at=now) for key, known in self._known.items()}
            return False
        changed = False
        for instance, known in list(self._known.items()):
            quiet_s = now - known.heard_at
            state = known.update.record.state
            if state in (SILENT, GONE):
                if quiet_s > KEPT_AFTER_END_S:
                    del self._known[instance]
                continue
            patience_s, ended = (DRAINED_SILENCE_S, GONE) if state == DRAINING else (self._silence_s, SILENT)
            if quiet_s > patience_s and not self._is_others(known.update.origin, is_live):
                changed |= self._make(replace(known.update.record, state=ended), now)
        return changed

    def _is_others(self, origin: str, is_live: Callable[[str], bool]) -> bool:
        """Whether another node answers for the workers of this origin."""
        return origin != self.origin and is_live(origin)
