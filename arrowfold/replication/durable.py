"""The persisted state of one member, changed by one log record at a time.

The copy in memory changes only after the record is durable on disk.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from arrowfold.internal.codec import decode, encode
from arrowfold.replication.ports import Clock
from arrowfold.replication.records import LogRecord, PersistedState, RecordConfirmed, apply_record
from arrowfold.storage.faults import DamagedStorage, StorageFault
from arrowfold.storage.log import RecoveredLog, SegmentedLog
from arrowfold.storage.worker import DiskWorker

COMPACT_BYTES = 4 * 1024 * 1024  # size of a segment above which the log is compacted
REPAIR_INTERVAL_S = 0.5  # minimum time between attempts to restart the log after a failed write


def recover_member_state(recovered: RecoveredLog) -> PersistedState:
    """Rebuild a member's state from a recovered log; raises DamagedStorage if a record can't be read."""
    try:
        persisted = PersistedState() if recovered.snapshot is None else decode(recovered.snapshot)
        for record in recovered.records:
            persisted = apply_record(persisted, decode(record))
    except Exception as error:
        raise DamagedStorage("log", 0, f"a record can't be read: {error}") from error
    assert isinstance(persisted, PersistedState)
    return persisted


class DurableState:
    """A `PersistedState` and the log that persists it.

    `change` holds the lock until the disk has finished, also beyond the caller's timeout; a change that
    becomes durable late is equivalent to a message that arrives late. After a failed write the log is
    compacted from the state in memory before anything else is written. `confirmed_epoch` is the highest
    epoch whose record is known to be chosen according to the disk.
    """

    def __init__(
        self, log: SegmentedLog, worker: DiskWorker, clock: Clock, persisted: PersistedState
    ) -> None:
        self._log = log
        self._worker = worker
        self._clock = clock
        self._lock = asyncio.Lock()
        self._broken = False
        self._busy_since: float | None = None
        self._next_repair = 0.0
        self._unwritten: list[RecordConfirmed] = []
        self._tasks: set[asyncio.Task[Result[PersistedState, StorageFault]]] = set()
        self.compact_bytes = COMPACT_BYTES
        self.persisted = persisted
        self.confirmed_epoch = (
            persisted.record.epoch if persisted.confirmed and persisted.record is not None else 0
        )

    def is_healthy(self, timeout_s: float) -> bool:
        """Whether the last write succeeded and no write has been in progress for more than `timeout_s`."""
        stalled = self._busy_since is not None and self._clock() - self._busy_since > timeout_s
        return not self._broken and not stalled

    def note(self, record: RecordConfirmed) -> None:
        """Apply a record in memory now and write it with the next record or the next `flush`.

        Only for records that are safe to lose: if power is lost before the write, this member needs promises
        from more voters than necessary.
        """
        self.persisted = apply_record(self.persisted, record)
        self._unwritten.append(record)

    async def flush(self) -> None:
        """Write the noted records, unless a write that may include them is in progress."""
        if not self._unwritten or self._broken or self._lock.locked():
            return
        async with self._lock:
            await self._write([])

    async def change(
        self,
        decide: Callable[[PersistedState], Result[LogRecord, StorageFault]],
        timeout_s: float,
        on_failure: Callable[[], None] | None = None,
    ) -> Result[PersistedState, StorageFault]:
        """Write the record that `decide` returns for the current state.

        Returns the new state once it is durable, or a StorageFault if `decide` refused, the write failed or
        `timeout_s` passed. `on_failure` is called if the write fails, also after the timeout.
        """
        task = asyncio.create_task(self._change(decide, on_failure))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(task)
        except TimeoutError:
            return Err(StorageFault(f"the disk did not answer in {timeout_s} s"))

    async def _change(
        self,
        decide: Callable[[PersistedState], Result[LogRecord, StorageFault]],
        on_failure: Callable[[], None] | None,
    ) -> Result[PersistedState, StorageFault]:
        async with self._lock:
            decision = decide(self.persisted)
            if isinstance(decision, Err):
                return Err(decision.err_value)
            written = await self._write([decision.ok_value])
            if isinstance(written, Err):
                if on_failure is not None:
                    on_failure()
                return Err(written.err_value)
            self.persisted = apply_record(self.persisted, decision.ok_value)
            if self._log.segment_bytes > self.compact_bytes:
                await self._compact()
            return Ok(self.persisted)

    async def _write(self, records: Sequence[LogRecord]) -> Result[None, StorageFault]:
        """Append the noted records, then these, with one sync; restart a broken log first."""
        notes, self._unwritten = self._unwritten, []
        encoded = [encode(item) for item in (*notes, *records)]
        try:
            if self._broken:
                await self._run(lambda: self._log.compact(encode(self.persisted)))
                self._broken = False
            await self._run(lambda: self._log.append(encoded))
        except OSError as error:
            self._broken = True
            self._unwritten = [*notes, *self._unwritten]
            return Err(StorageFault(f"the disk refused a write: {error}"))
        self.confirmed_epoch = max((self.confirmed_epoch, *(note.epoch for note in notes)))
        return Ok(None)

    async def _compact(self) -> None:
        """Start the next segment.

        A failure does not undo the write before it; the log is restarted before the next write.
        """
        try:
            await self._run(lambda: self._log.compact(encode(self.persisted)))
        except OSError:
            self._broken = True

    async def _run(self, work: Callable[[], None]) -> None:
        self._busy_since = self._clock()
        try:
            await self._worker.run(work)
        finally:
            self._busy_since = None

    async def repair(self) -> None:
        """After a failed write, try to restart the log, so that the disk counts as healthy again."""
        if not self._broken or self._lock.locked() or self._clock() < self._next_repair:
            return
        self._next_repair = self._clock() + REPAIR_INTERVAL_S
        async with self._lock:
            try:
                await self._run(lambda: self._log.compact(encode(self.persisted)))
                self._broken = False
            except OSError:
                return
