"""The state of the model: members with their persisted state, attempts at new epochs, and delayed messages.

A member is a number, which is the identity of its disk. All values are tuples or frozen sets, so that states
can be compared and hashed.
"""

from __future__ import annotations

from typing import NamedTuple

Members = frozenset[int]
NO_MEMBER = -1


class Record(NamedTuple):
    """Models `replication.records.EpochRecord`; the last of `quorums` (sets of voters) is the witnesses."""

    epoch: int
    primary: int
    group: Members
    quorums: tuple[Members, ...]

    @property
    def witnesses(self) -> Members:
        """The voters that decide on the next epoch."""
        return self.quorums[-1]


class Member(NamedTuple):
    """One disk and its process. `status` is "absent", "up", "down" or "gone" (permanently lost)."""

    status: str
    promised: int
    promised_to: int
    record: Record | None
    confirmed: bool  # whether the process knows, in memory, that its record is chosen
    confirmed_on_disk: bool
    installed: int  # the epoch whose starting log is on the disk
    log: tuple[int, ...]  # the epoch in which each entry was written
    lease: int  # the member to which it grants the lease, or NO_MEMBER
    leaving: bool  # whether it has been asked to stop and requests its removal


class Attempt(NamedTuple):
    """An attempt of a candidate or primary to start a new epoch (models `replication.epochs.EpochChange`)."""

    epoch: int
    # For each member that promised: its number, record, `confirmed`, `installed` and log.
    answers: tuple[tuple[int, Record | None, bool, int, tuple[int, ...]], ...]
    record: Record | None  # None until the attempt has composed its record
    start: tuple[int, ...]  # the log from which the epoch starts
    installed: Members
    accepted: Members
    # Group and witnesses to which a primary changes; None for a candidate.
    target_membership: tuple[Members, Members] | None


class Message(NamedTuple):
    """A delayed message, which may arrive at any time or never."""

    kind: str  # "install", "accept" or "append"
    receiver: int
    record: Record
    log: tuple[int, ...]


class Term(NamedTuple):
    """The term of a primary (models `replication.primary.PrimaryTerm`)."""

    record: Record
    active: bool  # whether it holds leases of a majority
    appending: Members | None  # the members that have stored the entry being committed; None without one


class State(NamedTuple):
    """A state of the whole system, with the numbers of failures that may still occur."""

    members: tuple[Member, ...]
    attempts: tuple[Attempt | None, ...]
    terms: tuple[Term | None, ...]
    late: frozenset[Message]
    committed: tuple[int, ...]  # the longest log that has been acknowledged
    crashes: int  # crashes that may still occur
    wipes: int  # disks that may still be lost
    leaves: int  # members that may still be asked to stop
    drops: int  # messages that may still be delayed or lost
    arrivals: int = 0  # newcomers that may still start although no disk has been lost


def has_majorities(quorums: tuple[Members, ...], votes: Members) -> bool:
    """Returns whether the votes contain a majority of every quorum set."""
    return all(2 * len(quorum & votes) > len(quorum) for quorum in quorums)


def with_item(items: tuple, index: int, item: object) -> tuple:  # type: ignore[type-arg]
    """Returns a copy of the tuple with the item at `index` replaced."""
    return (*items[:index], item, *items[index + 1 :])
