"""The witness and backup side of replication: promises, accepted records, installed states, log entries.

Each method handles one message. Whatever an answer claims is durable on disk before the answer is returned.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from result import Err, Ok, Result

from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.durable import DurableState
from arrowfold.replication.messages import (
    AcceptEpoch,
    AppendEntries,
    Departing,
    FetchState,
    Heartbeat,
    HeartbeatAnswer,
    InstallState,
    PrepareAnswer,
    PrepareEpoch,
    StateImage,
    Verdict,
)
from arrowfold.replication.ports import Clock, EventLog
from arrowfold.replication.records import (
    EntriesAppended,
    LogRecord,
    PersistedState,
    PromiseStored,
    RecordAccepted,
    RecordConfirmed,
    StateInstalled,
)
from arrowfold.replication.state import ControlState
from arrowfold.replication.timings import Timings
from arrowfold.storage.faults import StorageFault

SENT_CLOCKS_KEPT = 32
Decision = Result[LogRecord, StorageFault]


def _refuse(reason: str) -> Decision:
    return Err(StorageFault(reason))


class GroupMember:
    """State of one member as a witness and, if the current record lists it in the group, as a backup.

    All times are seconds by this member's own steady clock.
    """

    def __init__(
        self,
        info: MemberInfo,
        founder: bool,
        durable: DurableState,
        clock: Clock,
        timings: Timings,
        log: EventLog,
    ) -> None:
        self.info = info
        self.founder = founder
        self.durable = durable
        self.timings = timings
        self.clock = clock
        self._log = log
        self._promising = 0  # epoch of a promise whose write is in progress
        # A lease may have been granted just before the last process ended, so it is assumed to be held.
        # Only the primary of the stored record can hold it: heartbeats of other epochs are not granted.
        record = durable.persisted.record
        self._lease_until = clock() + timings.lease_s if record is not None else 0.0
        self._lease_holder = record.primary if record is not None else ""
        self.last_promise_to_other_at = -math.inf
        self.primary_seen_at = clock()  # time of the last sign of the primary; starts the election timeout
        self.has_received_heartbeat = False  # since the start of this process
        self.known_committed = -1  # committed sequence in the primary's last message; -1 if unknown
        self._handed_over_epoch = 0  # its primary released the lease, so its late heartbeats are not granted
        self._authority_until = 0.0
        self._current_until = 0.0
        self._newest_echo = -math.inf  # newest reading of the own clock that the primary has echoed
        self._committed_at_echo = 0  # committed sequence that came with this echo
        # Clock readings sent by this process: an echo of a reading from before a restart extends nothing.
        self._sent_clocks: deque[float] = deque(maxlen=SENT_CLOCKS_KEPT)
        self.published = ControlState()
        self.on_change: Callable[[], None] = lambda: None

    @property
    def persisted(self) -> PersistedState:
        """The persisted state of this member."""
        return self.durable.persisted

    @property
    def highest_epoch(self) -> int:
        """The highest epoch that is promised, or whose promise is being written."""
        return max(self.persisted.promised, self._promising)

    def is_witness(self) -> bool:
        """Whether the newest accepted record lists this member as a witness."""
        record = self.persisted.record
        return record is not None and record.find(self.info.member) is not None

    def grant_lease(self, holder: str) -> None:
        """Refuse promises to candidates other than `holder` for `lease_s`."""
        self._lease_until = self.clock() + self.timings.lease_s
        self._lease_holder = holder

    def authority_until(self) -> float:
        """When this member's authority to act under its roles ends, while it is not the primary."""
        return self._authority_until

    def _refusal_reason(self, request: PrepareEpoch) -> str | None:
        """The reason for which a promise is refused, or None if it can be given."""
        persisted = self.persisted
        is_repeat = request.epoch == persisted.promised and request.candidate.member == persisted.promised_to
        if request.epoch <= self.highest_epoch and not is_repeat:
            return f"epoch {self.highest_epoch} is promised"
        if self.clock() < self._lease_until and self._lease_holder != request.candidate.member:
            return f"the lease of {self._lease_holder} holds"
        if not self.durable.is_healthy(self.timings.disk_s):
            return "the disk is in trouble"
        return None

    def _prepare_answer(self, reason: str | None) -> PrepareAnswer:
        persisted = self.persisted
        return PrepareAnswer(
            granted=reason is None,
            member=self.info,
            founder=self.founder,
            promised=self.highest_epoch,
            record=persisted.record,
            confirmed=persisted.confirmed,
            state_epoch=persisted.state_epoch,
            position=persisted.position,
            reason=reason or "",
        )

    async def prepare(self, request: PrepareEpoch) -> PrepareAnswer:
        """Promise an epoch to a candidate, or answer with the reason for the refusal.

        A trial request is answered without recording a promise.
        """
        reason = self._refusal_reason(request)
        if reason is not None or request.trial:
            return self._prepare_answer(reason)

        def decide(persisted: PersistedState) -> Decision:
            is_repeat = (
                request.epoch == persisted.promised and request.candidate.member == persisted.promised_to
            )
            if request.epoch <= persisted.promised and not is_repeat:
                return _refuse(f"epoch {persisted.promised} is promised")
            return Ok(PromiseStored(request.epoch, request.candidate.member))

        def on_failure() -> None:
            if self._promising == request.epoch:
                self._promising = 0

        if request.candidate.member != self.info.member:
            self.last_promise_to_other_at = self.clock()
        self._promising = request.epoch
        written = await self.durable.change(decide, self.timings.disk_s, on_failure)
        return self._prepare_answer(str(written.err_value) if isinstance(written, Err) else None)

    async def fetch(self, request: FetchState) -> StateImage:
        """Returns the stored state to the candidate of the promised epoch; raises StorageFault for others."""
        persisted = self.persisted
        if request.epoch != persisted.promised:
            raise StorageFault(f"epoch {persisted.promised} is promised")
        return StateImage(
            persisted.promised, persisted.state_epoch, persisted.position_epoch, persisted.state
        )

    async def _write_durably(self, decide: Callable[[PersistedState], Decision]) -> Verdict:
        written = await self.durable.change(decide, self.timings.disk_s)
        if isinstance(written, Err):
            return Verdict(False, self.highest_epoch, str(written.err_value))
        return Verdict(True, self.highest_epoch)

    async def install(self, request: InstallState) -> Verdict:
        """Store the initial state of the promised epoch."""

        def decide(persisted: PersistedState) -> Decision:
            if (persisted.promised, persisted.promised_to) != (request.epoch, request.candidate):
                return _refuse(f"epoch {persisted.promised} is promised to {persisted.promised_to}")
            if request.state is None and persisted.position != request.position:
                return _refuse(f"the state here is at {persisted.position}")
            return Ok(StateInstalled(request.epoch, request.position.epoch, request.state))

        return await self._write_durably(decide)

    async def accept(self, request: AcceptEpoch) -> Verdict:
        """Accept the record of an epoch and grant its primary a lease."""
        record = request.record

        def decide(persisted: PersistedState) -> Decision:
            if record.epoch < max(persisted.promised, self._promising):
                return _refuse(f"epoch {persisted.promised} is promised")
            if record.epoch == persisted.promised and record.primary != persisted.promised_to:
                return _refuse(f"epoch {persisted.promised} is promised to {persisted.promised_to}")
            self.grant_lease(record.primary)  # before the write, so that no other promise is given meanwhile
            return Ok(RecordAccepted(record))

        known = self.persisted.record
        if known is not None and known.epoch == record.epoch and self.highest_epoch == record.epoch:
            verdict = Verdict(True, self.highest_epoch)
        else:
            verdict = await self._write_durably(decide)
        if known is None or known.epoch != record.epoch:
            self.known_committed = -1  # the new primary has not yet sent its committed sequence
        if verdict.done and self.highest_epoch == record.epoch:
            self.grant_lease(record.primary)
            self.primary_seen_at = self.clock()
            self.on_change()
        return verdict

    async def append(self, request: AppendEntries) -> Verdict:
        """Append the primary's entries to the log."""
        self._update_committed(request.epoch, request.committed)

        def decide(persisted: PersistedState) -> Decision:
            record = persisted.record
            if record is None or record.epoch != request.epoch or self.highest_epoch != request.epoch:
                return _refuse(f"epoch {self.highest_epoch} is promised")
            if persisted.state_epoch != request.epoch or persisted.position != request.previous:
                return _refuse(f"the state here is at {persisted.position}")
            return Ok(EntriesAppended(request.epoch, request.entries))

        return await self._write_durably(decide)

    async def heartbeat(self, request: Heartbeat) -> HeartbeatAnswer:
        """Renew the primary's lease if its record is accepted here and no higher epoch is promised."""
        now = self.clock()
        persisted = self.persisted
        is_primary = request.epoch >= self.highest_epoch and request.epoch != self._handed_over_epoch
        granted = is_primary and persisted.record is not None and persisted.record.epoch == request.epoch
        if is_primary:
            self.primary_seen_at = now
            self.has_received_heartbeat = True
        if granted:
            self.grant_lease(request.primary.member)
            if request.echo is not None and request.echo in self._sent_clocks:
                self._authority_until = request.echo + self.timings.lease_s
                self._current_until = request.echo + self.timings.current_s
                self._note_echo(request.echo, request.committed)
            self._update_committed(request.epoch, request.committed)
        self._sent_clocks.append(now)
        return HeartbeatAnswer(
            granted=granted,
            member=self.info,
            promised=self.highest_epoch,
            record_epoch=persisted.record.epoch if persisted.record is not None else 0,
            state_epoch=persisted.state_epoch,
            sequence=persisted.state.sequence,
            disk_healthy=self.durable.is_healthy(self.timings.disk_s),
            clock=now,
            confirmed_epoch=self.durable.confirmed_epoch,
        )

    def _note_echo(self, echo: float, committed: int) -> None:
        """Record that the primary held its lease and had committed up to `committed` when it sent `echo`."""
        if echo > self._newest_echo:
            self._newest_echo, self._committed_at_echo = echo, committed

    def _update_committed(self, epoch: int, committed: int) -> None:
        """Record the primary's committed sequence; publish the stored state if all of it is committed."""
        persisted = self.persisted
        if persisted.record is None or persisted.record.epoch != epoch or self.highest_epoch != epoch:
            return
        if not persisted.confirmed:
            self.durable.note(RecordConfirmed(epoch))
        self.known_committed = committed
        if persisted.state_epoch == epoch and persisted.state.sequence == committed:
            self.publish(persisted.state)

    def publish(self, state: ControlState) -> None:
        """Make a committed state visible to readers; an older state never replaces a newer one."""
        if state.sequence > self.published.sequence:
            self.published = state
            self.on_change()

    def is_current(self) -> bool:
        """Whether the primary recently confirmed that the published state is the whole committed state.

        The time limit counts from this member's own clock reading that the primary echoed. A heartbeat that
        was delayed in the network, or buffered while this process was paused, therefore does not make the
        state current.
        """
        record = self.persisted.record
        return (
            record is not None
            and self.clock() < self._current_until
            and self.persisted.state_epoch == record.epoch
            and self.published.sequence == self.known_committed
        )

    def state_age_s(self) -> float | None:
        """Age bound of the published state in seconds; None if the state is not current.

        The published state contains every change acknowledged at least this long ago. A change acknowledged
        before the echoed clock reading was taken was acknowledged before the primary sent the echo. The
        primary held its lease then, so no other primary had acknowledged a change missing from its log. It
        read the committed sequence in the same step, and it advances that before it acknowledges a change.
        """
        if not self.is_current() or self.published.sequence < self._committed_at_echo:
            return None
        return self.clock() - self._newest_echo

    def handle_departing(self, request: Departing) -> None:
        """Release the lease of a primary that hands over, so that an election can start at once."""
        record = self.persisted.record
        if record is not None and request.was_primary and request.epoch == record.epoch:
            if self._lease_holder == request.member:
                self._lease_until = 0.0
            self._handed_over_epoch = request.epoch
            self.primary_seen_at = self.clock() - self.timings.election_timeout_s
            self._log.info("primary.handed_over", epoch=request.epoch, member=request.member)
