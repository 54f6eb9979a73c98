"""The state of the model: members with what is on their disks, attempts at new epochs, and late messages.

Members are numbers: the identities of disks. Everything is a tuple or a frozen set, so that states can be
compared and kept in a set.
"""

from __future__ import annotations

from typing import NamedTuple

Members = frozenset[int]
NOBODY = -1


class Record(NamedTuple):
    """`replication.records.EpochRecord`: quorums are sets of voters, the last one is the witnesses."""

    epoch: int
    primary: int
    group: Members
    quorums: tuple[Members, ...]

    @property
    def witnesses(self) -> Members:
        """The voters that decide what follows."""
        return self.quorums[-1]


class Member(NamedTuple):
    """One disk and its process. `status`: absent, up, down, or gone for good."""

    status: str
    promised: int
    promised_to: int
    record: Record | None
    confirmed: bool  # known to be chosen, in memory
    confirmed_on_disk: bool
    installed: int  # the epoch whose starting state is on the disk
    log: tuple[int, ...]  # the epochs in which its entries were written
    lease: int  # to whom it grants the lease, or NOBODY
    leaving: bool  # it was told to end and asks to be removed


class Attempt(NamedTuple):
    """A candidate's or primary's attempt at a new epoch (`replication.epochs.EpochChange`)."""

    epoch: int
    answers: tuple[tuple[int, Record | None, bool, int, tuple[int, ...]], ...]  # who promised, and its image
    record: Record | None  # once composed
    start: tuple[int, ...]  # the log with which the epoch starts
    installed: Members
    accepted: Members
    wanted: tuple[Members, Members] | None  # of a primary: group and witnesses


class Message(NamedTuple):
    """A message that is late: it may arrive at any time, or never."""

    kind: str  # install, accept or append
    receiver: int
    record: Record
    log: tuple[int, ...]


class Term(NamedTuple):
    """A primary's term (`replication.primary.PrimaryTerm`)."""

    record: Record
    active: bool  # it knows a majority of leases
    appending: Members | None  # the members that stored the entry under way, or None


class State(NamedTuple):
    """Everything."""

    members: tuple[Member, ...]
    attempts: tuple[Attempt | None, ...]
    terms: tuple[Term | None, ...]
    late: frozenset[Message]
    committed: tuple[int, ...]  # the longest log that was acknowledged
    crashes: int  # that may still come
    wipes: int  # disks that may still be lost
    leaves: int  # members that may still be told to end
    drops: int  # late messages that may still be made
    arrivals: int = 0  # newcomers that may still come though no disk was lost


def has_majorities(quorums: tuple[Members, ...], votes: Members) -> bool:
    """Whether the votes hold a majority of every set."""
    return all(2 * len(quorum & votes) > len(quorum) for quorum in quorums)


def replaced(items: tuple, index: int, item: object) -> tuple:  # type: ignore[type-arg]
    """The tuple with another item at an index."""
    return (*items[:index], item, *items[index + 1 :])
