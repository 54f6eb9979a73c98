"""The durable image of one member: changed one record at a time, in memory only after it is on the disk."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from arrowfold.internal.codec import decode, encode
from arrowfold.replication.ports import Clock
from arrowfold.replication.records import LogRecord, MemberImage, RecordConfirmed, apply_record
from arrowfold.storage.faults import DamagedStorage, StorageFault
from arrowfold.storage.log import RecoveredLog, SegmentedLog
from arrowfold.storage.worker import DiskWorker

COMPACT_BYTES = 4 * 1024 * 1024  # of a segment, before the next one starts from a snapshot
REPAIR_INTERVAL_S = 0.5  # between attempts to start anew after a failed write


def image_of(recovered: RecoveredLog) -> MemberImage:
    """The image that a recovered log holds; raises DamagedStorage if a record can't be read."""
    try:
        image = MemberImage() if recovered.snapshot is None else decode(recovered.snapshot)
        for record in recovered.records:
            image = apply_record(image, decode(record))
    except Exception as error:
        raise DamagedStorage("log", 0, f"a record can't be read: {error}") from error
    assert isinstance(image, MemberImage)
    return image


class DurableImage:
    """A `MemberImage` and the log that keeps it.

    `change` holds the lock while the disk works, also beyond the caller's time-out: a late change is as a
    late message. After a failed write the log is started anew from the image in memory before anything else
    is written. `confirmed_epoch` is the highest epoch whose record is known on the disk to be chosen.
    """

    def __init__(self, log: SegmentedLog, worker: DiskWorker, clock: Clock, image: MemberImage) -> None:
        self._log = log
        self._worker = worker
        self._clock = clock
        self._lock = asyncio.Lock()
        self._broken = False
        self._busy_since: float | None = None
        self._next_repair = 0.0
        self._unwritten: list[RecordConfirmed] = []
        self._tasks: set[asyncio.Task[Result[MemberImage, StorageFault]]] = set()
        self.compact_bytes = COMPACT_BYTES
        self.image = image
        self.confirmed_epoch = image.record.epoch if image.confirmed and image.record is not None else 0

    def is_healthy(self, patience_s: float) -> bool:
        """Whether the disk took the last write and no write has been waiting for `patience_s`."""
        stalled = self._busy_since is not None and self._clock() - self._busy_since > patience_s
        return not self._broken and not stalled

    def note(self, record: RecordConfirmed) -> None:
        """Adopt a record now and write it with the next one, or with the next `flush`.

        Only for what is safe to forget: until it is written, a power loss makes this member ask more voters.
        """
        self.image = apply_record(self.image, record)
        self._unwritten.append(record)

    async def flush(self) -> None:
        """Write the noted records, if no other write that would take them along is under way."""
        if not self._unwritten or self._broken or self._lock.locked():
            return
        async with self._lock:
            await self._write([])

    async def change(
        self,
        decide: Callable[[MemberImage], Result[LogRecord, StorageFault]],
        timeout_s: float,
        on_failure: Callable[[], None] | None = None,
    ) -> Result[MemberImage, StorageFault]:
        """Write the record that `decide` makes of the image; answers once it is durable, or with why not.

        `on_failure` is called when the write turns out to have failed, also after the time-out.
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
        decide: Callable[[MemberImage], Result[LogRecord, StorageFault]],
        on_failure: Callable[[], None] | None,
    ) -> Result[MemberImage, StorageFault]:
        async with self._lock:
            decision = decide(self.image)
            if isinstance(decision, Err):
                return Err(decision.err_value)
            written = await self._write([decision.ok_value])
            if isinstance(written, Err):
                if on_failure is not None:
                    on_failure()
                return Err(written.err_value)
            self.image = apply_record(self.image, decision.ok_value)
            if self._log.segment_bytes > self.compact_bytes:
                await self._compact()
            return Ok(self.image)

    async def _write(self, records: Sequence[LogRecord]) -> Result[None, StorageFault]:
        """Append the noted records and then these, with one sync."""
        notes, self._unwritten = self._unwritten, []
        encoded = [encode(item) for item in (*notes, *records)]
        try:
            if self._broken:
                await self._run(lambda: self._log.compact(encode(self.image)))
                self._broken = False
            await self._run(lambda: self._log.append(encoded))
        except OSError as error:
            self._broken = True
            self._unwritten = [*notes, *self._unwritten]
            return Err(StorageFault(f"the disk refused a write: {error}"))
        self.confirmed_epoch = max((self.confirmed_epoch, *(note.epoch for note in notes)))
        return Ok(None)

    async def _compact(self) -> None:
        """Start the next segment; a failure is mended before the next write and does not undo this one."""
        try:
            await self._run(lambda: self._log.compact(encode(self.image)))
        except OSError:
            self._broken = True

    async def _run(self, work: Callable[[], None]) -> None:
        self._busy_since = self._clock()
        try:
            await self._worker.run(work)
        finally:
            self._busy_since = None

    async def repair(self) -> None:
        """After a failed write: try to start the log anew, so that the disk may count as healthy again."""
        if not self._broken or self._lock.locked() or self._clock() < self._next_repair:
            return
        self._next_repair = self._clock() + REPAIR_INTERVAL_S
        async with self._lock:
            try:
                await self._run(lambda: self._log.compact(encode(self.image)))
                self._broken = False
            except OSError:
                return
