"""Worker records from heartbeats, kept by origin and distributed between control nodes by version vector.

An *origin* is one process lifetime of a control node. It numbers the records that it creates. A record is
created when the data of a worker changes, when a worker starts to call this node, or when its heartbeats time
out; heartbeats that repeat known data create none. Of several records of one worker, the one with the highest
`call_sequence` applies.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from arrowfold.internal.messages import WorkerRecord, WorkerUpdate

AVAILABLE = "available"
DRAINING = "draining"
GONE = "gone"
SILENT = "silent"
MAX_MISSED_HEARTBEATS = 3  # before a worker counts as silent
DRAINING_TIMEOUT_S = 15.0  # without a heartbeat, after which a draining worker counts as gone
ENDED_RECORD_RETENTION_S = 600.0  # for records of silent and gone workers
_STATE_RANK = {AVAILABLE: 0, SILENT: 1, DRAINING: 2, GONE: 3}


@dataclass(frozen=True, slots=True)
class _CurrentRecord:
    """The current record of one worker."""

    update: WorkerUpdate
    last_contact_s: float  # time of the last heartbeat here, or of the merge from another origin


def _same_content(one: WorkerRecord, other: WorkerRecord) -> bool:
    return replace(one, call_sequence=0, cold_left_ms=0.0) == replace(
        other, call_sequence=0, cold_left_ms=0.0
    )


def _supersedes(new: WorkerRecord, old: WorkerRecord) -> bool:
    new_rank = (new.call_sequence, _STATE_RANK.get(new.state, 0))
    return new_rank > (old.call_sequence, _STATE_RANK.get(old.state, 0))


class WorkerRegistry:
    """Worker records of all origins, as known to one control node."""

    def __init__(self, origin: str, clock: Callable[[], float], beat_interval_s: float) -> None:
        """Creates an empty registry.

        `origin`: unique name of this process lifetime. `beat_interval_s`: interval of heartbeats, in seconds.
        """
        self.origin = origin
        self._clock = clock
        self._heartbeat_timeout_s = MAX_MISSED_HEARTBEATS * beat_interval_s + 0.25
        self._known: dict[str, _CurrentRecord] = {}
        self._counter = 0
        self._vector: dict[str, int] = {}
        self._last_sweep_s: float | None = None

    def vector(self) -> dict[str, int]:
        """Returns for each origin the number of its latest record that this node holds or has superseded."""
        return dict(self._vector)

    def records(self) -> dict[str, WorkerRecord]:
        """Returns the current record of each worker by instance id."""
        return {instance: known.update.record for instance, known in self._known.items()}

    def apply_call(self, record: WorkerRecord) -> bool:
        """Applies a call of a worker; returns whether a record was created. Late calls have no effect."""
        known = self._known.get(record.instance)
        now_s = self._clock()
        if known is None:
            return self._create_record(record, now_s)
        current = known.update.record
        if record.call_sequence < current.call_sequence or current.state == GONE:
            return False
        if record.call_sequence == current.call_sequence and not _supersedes(record, current):
            return False
        if known.update.origin == self.origin and _same_content(record, current):
            update = replace(known.update, record=replace(current, call_sequence=record.call_sequence))
            self._known[record.instance] = _CurrentRecord(update, now_s)
            return False
        return self._create_record(record, now_s)

    def apply_departure(self, instance: str) -> bool:
        """Records a committed departure of a worker; returns whether a record was created."""
        known = self._known.get(instance)
        if known is None or known.update.record.state == GONE:
            return False
        return self._create_record(replace(known.update.record, state=GONE), self._clock())

    def _create_record(self, record: WorkerRecord, now_s: float) -> bool:
        self._counter += 1
        self._vector[self.origin] = self._counter
        self._known[record.instance] = _CurrentRecord(WorkerUpdate(self.origin, self._counter, record), now_s)
        return True

    def merge(self, updates: tuple[WorkerUpdate, ...], vector: dict[str, int]) -> bool:
        """Merges the answer of another node to a pull; returns whether it held anything new."""
        now_s = self._clock()
        changed = False
        for update in updates:
            changed |= self._merge_one(update, now_s)
        for origin, counter in vector.items():
            if origin != self.origin and counter > self._vector.get(origin, 0):
                self._vector[origin] = counter
                changed = True
        return changed

    def _merge_one(self, update: WorkerUpdate, now_s: float) -> bool:
        if update.origin == self.origin or update.counter <= self._vector.get(update.origin, 0):
            return False
        known = self._known.get(update.record.instance)
        if known is None or _supersedes(update.record, known.update.record):
            self._known[update.record.instance] = _CurrentRecord(update, now_s)
            return True
        if known.update.origin == self.origin and _supersedes(known.update.record, update.record):
            # The other node lacks a later heartbeat of this node, so the record is published again.
            self._create_record(known.update.record, known.last_contact_s)
        return True

    def missing(self, vector: dict[str, int]) -> tuple[WorkerUpdate, ...]:
        """Returns the current records that the version vector of a puller lacks."""
        return tuple(
            known.update
            for known in self._known.values()
            if known.update.counter > vector.get(known.update.origin, 0)
        )

    def sweep(self, is_live: Callable[[str], bool]) -> bool:
        """Marks workers whose heartbeats timed out and returns whether there were any.

        To be called about once a second. This node is responsible for the workers whose current record is
        its own, and for those whose origin is not live. After a pause of this process (a freeze) the timeout
        of every worker starts again.
        """
        now_s = self._clock()
        was_paused = (
            self._last_sweep_s is not None and now_s - self._last_sweep_s > self._heartbeat_timeout_s / 2
        )
        self._last_sweep_s = now_s
        if was_paused:
            self._known = {key: replace(known, last_contact_s=now_s) for key, known in self._known.items()}
            return False
        changed = False
        for instance, known in list(self._known.items()):
            silent_s = now_s - known.last_contact_s
            state = known.update.record.state
            if state in (SILENT, GONE):
                if silent_s > ENDED_RECORD_RETENTION_S:
                    del self._known[instance]
                continue
            timeout_s, timeout_state = (
                (DRAINING_TIMEOUT_S, GONE) if state == DRAINING else (self._heartbeat_timeout_s, SILENT)
            )
            if silent_s > timeout_s and not self._is_owned_elsewhere(known.update.origin, is_live):
                changed |= self._create_record(replace(known.update.record, state=timeout_state), now_s)
        return changed

    def _is_owned_elsewhere(self, origin: str, is_live: Callable[[str], bool]) -> bool:
        """Returns whether another live node is responsible for the workers of this origin."""
        return origin != self.origin and is_live(origin)
