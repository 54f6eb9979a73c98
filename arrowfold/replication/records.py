"""Epoch records, quorums, and the state that a member persists as a log of records."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from arrowfold.internal.codec import message
from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.state import ControlState, Entry, apply_entry

NO_EPOCH = 0
SEED_PREFIX = "@"  # prefix of the voter name by which a seed counts in the bootstrap quorum: "@address"


@message(55)
@dataclass(frozen=True, slots=True)
class Quorum:
    """A set of voters, identified by the names that `voter_names` returns."""

    voters: tuple[str, ...]

    def has_majority(self, votes: Collection[str]) -> bool:
        """Whether the votes include a majority of this set."""
        return 2 * sum(voter in votes for voter in self.voters) > len(self.voters)


@message(47)
@dataclass(frozen=True, slots=True)
class EpochRecord:
    """One epoch: its primary, the group that stores the state, and the witnesses that decide failover.

    The record is chosen once a majority of each of `quorums` has accepted it. While it is not known to be
    chosen, superseding it takes promises from a majority of each quorum; the last quorum is the record's
    own witnesses, and suffices after that. `former`: voters of the other quorums that are not witnesses of
    this record; their promises count until the record is known to be chosen.
    """

    epoch: int
    primary: str
    group: tuple[str, ...]
    witnesses: tuple[MemberInfo, ...]
    quorums: tuple[Quorum, ...]
    former: tuple[MemberInfo, ...] = ()

    def voters(self) -> tuple[MemberInfo, ...]:
        """All members whose promise may be needed to supersede this record."""
        return (*self.witnesses, *self.former)

    def witness_ids(self) -> tuple[str, ...]:
        """The identities of the witnesses."""
        return tuple(witness.member for witness in self.witnesses)

    def find(self, member: str) -> MemberInfo | None:
        """The witness with this identity, or None."""
        return next((witness for witness in self.witnesses if witness.member == member), None)


def newest_record(records: Iterable[EpochRecord | None]) -> EpochRecord | None:
    """The record with the highest epoch, or None if there is none."""
    known = [record for record in records if record is not None]
    return max(known, key=lambda record: record.epoch) if known else None


def voter_names(member: MemberInfo, founder: bool) -> tuple[str, ...]:
    """The names by which a member counts in quorums: its identity and, if `founder`, its seed address."""
    return (member.member, SEED_PREFIX + member.address) if founder else (member.member,)


def has_majorities(quorums: tuple[Quorum, ...], votes: Collection[str]) -> bool:
    """Whether the votes include a majority of every quorum."""
    return all(quorum.has_majority(votes) for quorum in quorums)


def merged_quorums(quorums: tuple[Quorum, ...], more: Quorum) -> tuple[Quorum, ...]:
    """The quorums with `more` moved or added to the end; an equal quorum is not repeated."""
    return (*(quorum for quorum in quorums if set(quorum.voters) != set(more.voters)), more)


@message(48)
@dataclass(frozen=True, slots=True)
class Position:
    """A log position: the epoch in which the last entry was written, and the number of entries."""

    epoch: int = NO_EPOCH
    sequence: int = 0

    def key(self) -> tuple[int, int]:
        """Sort key that orders the positions of members of one group."""
        return (self.epoch, self.sequence)


@message(49)
@dataclass(frozen=True, slots=True)
class PersistedState:
    """The persisted state of a member.

    `promised` and `promised_to`: the highest epoch promised, and its candidate. `record` and `confirmed`: the
    last accepted record, and whether it is known to be chosen. `state_epoch`: the last epoch for which this
    member stored the whole initial state; `position_epoch`: the epoch in which its last entry was written.
    """

    promised: int = NO_EPOCH
    promised_to: str = ""
    record: EpochRecord | None = None
    confirmed: bool = False
    state_epoch: int = NO_EPOCH
    position_epoch: int = NO_EPOCH
    state: ControlState = field(default_factory=ControlState)

    @property
    def position(self) -> Position:
        """The log position of the stored state."""
        return Position(self.position_epoch, self.state.sequence)

    def superseding_quorums(self) -> tuple[Quorum, ...]:
        """The quorums of which majorities must promise before this record may be superseded."""
        if self.record is None:
            return ()
        return self.record.quorums[-1:] if self.confirmed else self.record.quorums


@message(50)
@dataclass(frozen=True, slots=True)
class PromiseStored:
    """Log record: a promise to a candidate not to take part in lower epochs."""

    epoch: int
    candidate: str


@message(51)
@dataclass(frozen=True, slots=True)
class RecordAccepted:
    """Log record: an epoch's record was accepted."""

    record: EpochRecord


@message(52)
@dataclass(frozen=True, slots=True)
class RecordConfirmed:
    """Log record: the accepted record is known to be chosen."""

    epoch: int


@message(53)
@dataclass(frozen=True, slots=True)
class StateInstalled:
    """Log record: the initial state of an epoch; None if the member already stored exactly that state."""

    epoch: int
    position_epoch: int
    state: ControlState | None


@message(54)
@dataclass(frozen=True, slots=True)
class EntriesAppended:
    """Log record: entries written by the primary of an epoch."""

    epoch: int
    entries: tuple[Entry, ...]


LogRecord = PromiseStored | RecordAccepted | RecordConfirmed | StateInstalled | EntriesAppended


def apply_record(persisted: PersistedState, record: LogRecord) -> PersistedState:
    """The member's state after one more log record."""
    if isinstance(record, PromiseStored):
        return replace(persisted, promised=record.epoch, promised_to=record.candidate)
    if isinstance(record, RecordAccepted):
        accepted = record.record
        return replace(
            persisted, promised=accepted.epoch, promised_to=accepted.primary, record=accepted, confirmed=False
        )
    if isinstance(record, RecordConfirmed):
        current = persisted.record is not None and persisted.record.epoch == record.epoch
        return replace(persisted, confirmed=persisted.confirmed or current)
    if isinstance(record, StateInstalled):
        state = persisted.state if record.state is None else record.state
        return replace(persisted, state_epoch=record.epoch, position_epoch=record.position_epoch, state=state)
    state = persisted.state
    for entry in record.entries:
        state = apply_entry(state, entry)
    return replace(persisted, position_epoch=record.epoch, state=state)
