"""Epochs, who decides them, and what one member keeps on its disk."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from arrowfold.internal.codec import message
from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.state import ControlState, Entry, apply_entry

NO_EPOCH = 0
SEED_PREFIX = "@"  # a founder counts in a quorum of seeds by this and its address


@message(55)
@dataclass(frozen=True, slots=True)
class Quorum:
    """A set of voters, by the names that `voter_names` gives."""

    voters: tuple[str, ...]

    def has_majority(self, votes: Collection[str]) -> bool:
        """Whether the votes hold a majority of this set."""
        return 2 * sum(voter in votes for voter in self.voters) > len(self.voters)


@message(47)
@dataclass(frozen=True, slots=True)
class EpochRecord:
    """One epoch: its primary, the group that holds the state, the witnesses that decide what follows.

    It is chosen once a majority of each of `quorums` has accepted it, and it takes the promise of a
    majority of each to supersede it while it is not known to be chosen. The last set are its witnesses.
    `former`: voters of the other sets that are no witnesses any more; their promises count until then.
    """

    epoch: int
    primary: str
    group: tuple[str, ...]
    witnesses: tuple[MemberInfo, ...]
    quorums: tuple[Quorum, ...]
    former: tuple[MemberInfo, ...] = ()

    def voters(self) -> tuple[MemberInfo, ...]:
        """Everyone whose promise may be needed to supersede it."""
        return (*self.witnesses, *self.former)

    def witness_ids(self) -> tuple[str, ...]:
        """The identities of the witnesses."""
        return tuple(witness.member for witness in self.witnesses)

    def find(self, member: str) -> MemberInfo | None:
        """The witness of this identity."""
        return next((witness for witness in self.witnesses if witness.member == member), None)


def newest_record(records: Iterable[EpochRecord | None]) -> EpochRecord | None:
    """The record of the highest epoch, if there is any."""
    known = [record for record in records if record is not None]
    return max(known, key=lambda record: record.epoch) if known else None


def voter_names(member: MemberInfo, founder: bool) -> tuple[str, ...]:
    """The names under which a member counts in quorums: its identity and, for a founder, its address."""
    return (member.member, SEED_PREFIX + member.address) if founder else (member.member,)


def has_majorities(quorums: tuple[Quorum, ...], votes: Collection[str]) -> bool:
    """Whether the votes hold a majority of every set."""
    return all(quorum.has_majority(votes) for quorum in quorums)


def merged_quorums(quorums: tuple[Quorum, ...], more: Quorum) -> tuple[Quorum, ...]:
    """The sets with one more at the end; a set that is there already is not repeated."""
    return (*(quorum for quorum in quorums if set(quorum.voters) != set(more.voters)), more)


@message(48)
@dataclass(frozen=True, slots=True)
class Position:
    """How far a state is: the epoch in which its last entry was written, and how many entries it has."""

    epoch: int = NO_EPOCH
    sequence: int = 0

    def key(self) -> tuple[int, int]:
        """Orders the positions of members of one group."""
        return (self.epoch, self.sequence)


@message(49)
@dataclass(frozen=True, slots=True)
class MemberImage:
    """Everything that a member must not forget.

    `promised` and `promised_to`: the highest epoch promised, and to which candidate. `state_epoch`: the
    epoch at whose start, or in which, this member stored the whole state; `position_epoch`: when its last
    entry was written.
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
        """How far the stored state is."""
        return Position(self.position_epoch, self.state.sequence)

    def superseding_quorums(self) -> tuple[Quorum, ...]:
        """Whose majorities must promise before this record may be superseded."""
        if self.record is None:
            return ()
        return self.record.quorums[-1:] if self.confirmed else self.record.quorums


@message(50)
@dataclass(frozen=True, slots=True)
class PromiseStored:
    """Log record: a promise to take no part in epochs below this one."""

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
    """Log record: the state with which an epoch starts; None where the member held exactly that state."""

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


def apply_record(image: MemberImage, record: LogRecord) -> MemberImage:
    """The image after one more log record."""
    if isinstance(record, PromiseStored):
        return replace(image, promised=record.epoch, promised_to=record.candidate)
    if isinstance(record, RecordAccepted):
        accepted = record.record
        return replace(
            image, promised=accepted.epoch, promised_to=accepted.primary, record=accepted, confirmed=False
        )
    if isinstance(record, RecordConfirmed):
        current = image.record is not None and image.record.epoch == record.epoch
        return replace(image, confirmed=image.confirmed or current)
    if isinstance(record, StateInstalled):
        state = image.state if record.state is None else record.state
        return replace(image, state_epoch=record.epoch, position_epoch=record.position_epoch, state=state)
    state = image.state
    for entry in record.entries:
        state = apply_entry(state, entry)
    return replace(image, position_epoch=record.epoch, state=state)
