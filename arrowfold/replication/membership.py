"""The choice of the members of the next epoch: a pure function of what the primary knows of its peers."""

from __future__ import annotations

from dataclasses import dataclass

from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.records import EpochRecord
from arrowfold.replication.timings import Timings


@dataclass(frozen=True, slots=True)
class PeerView:
    """What the primary knows of one witness.

    `silence_s`: time since its last answer; `healthy`: its disk accepts writes; `can_rejoin`: it was not
    excluded from the group recently; `leaving`: it is stopping and asked to be removed.
    """

    silence_s: float
    healthy: bool
    can_rejoin: bool = True
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Membership:
    """The members of an epoch: the group that stores the state, and the witnesses."""

    group: tuple[str, ...]
    witnesses: tuple[MemberInfo, ...]


def copies_required(tolerated_losses: int, witnesses: int) -> int:
    """Number of disks that must store a change: one more than may be lost, or all if there are fewer."""
    return min(tolerated_losses + 1, max(1, witnesses))


def witnesses_required(tolerated_losses: int) -> int:
    """Number of witnesses of which a majority remains after the tolerated losses."""
    return 2 * tolerated_losses + 1


def _next_witnesses(
    record: EpochRecord,
    primary: str,
    peers: dict[str, PeerView],
    newcomers: tuple[MemberInfo, ...],
    tolerated_losses: int,
    timings: Timings,
) -> tuple[MemberInfo, ...]:
    new = [newcomer for newcomer in newcomers if record.find(newcomer.member) is None]
    addresses = {newcomer.address for newcomer in new}
    # A new identity at a known address: that node lost its disk, and the old identity will not return.
    witnesses = [*(witness for witness in record.witnesses if witness.address not in addresses), *new]
    old = [witness for witness in witnesses if witness.member in peers and witness.member != primary]
    unresponsive = [witness for witness in old if peers[witness.member].silence_s > timings.removal_timeout_s]
    unresponsive.sort(key=lambda witness: peers[witness.member].silence_s, reverse=True)
    leaving = [witness for witness in old if peers[witness.member].leaving]
    # Leaving members are removed first: an unresponsive one may return with its disk, they may not.
    for witness in dict.fromkeys((*leaving, *unresponsive)):
        if len(witnesses) > witnesses_required(tolerated_losses):
            witnesses.remove(witness)
    return tuple(witnesses)


def _exclude_leaving(group: tuple[str, ...], peers: dict[str, PeerView], min_copies: int) -> tuple[str, ...]:
    """The group without leaving members, as far as at least `min_copies` members remain."""
    remaining = list(group)
    for member in group:
        if member in peers and peers[member].leaving and len(remaining) > min_copies:
            remaining.remove(member)
    return tuple(remaining)


def next_membership(
    record: EpochRecord,
    primary: str,
    peers: dict[str, PeerView],
    newcomers: tuple[MemberInfo, ...],
    tolerated_losses: int,
    timings: Timings,
) -> Membership:
    """The target group and witnesses; equal to the record's if no change is needed."""
    witnesses = _next_witnesses(record, primary, peers, newcomers, tolerated_losses, timings)
    joining = {newcomer.member for newcomer in newcomers}

    def is_in_group(member: str) -> bool:
        if member == primary or (member in joining and record.find(member) is None):
            return True
        peer = peers.get(member)
        if peer is None or not peer.healthy or peer.silence_s > timings.silent_s:
            return False
        return member in record.group or peer.can_rejoin

    group = tuple(witness.member for witness in witnesses if is_in_group(witness.member))
    min_copies = copies_required(tolerated_losses, len(witnesses))
    return Membership(_exclude_leaving(group, peers, min_copies), witnesses)
