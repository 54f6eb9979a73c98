"""Which members the next epoch should have: a pure decision on what the primary sees."""

from __future__ import annotations

from dataclasses import dataclass

from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.records import EpochRecord
from arrowfold.replication.timings import Timings


@dataclass(frozen=True, slots=True)
class PeerView:
    """What the primary sees of one witness.

    `silence_s`: since its last answer; `healthy`: its disk takes writes; `can_rejoin`: it was not left out
    lately; `leaving`: it was told to end and asked to be removed.
    """

    silence_s: float
    healthy: bool
    can_rejoin: bool = True
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Membership:
    """The members that the primary wants."""

    group: tuple[str, ...]
    witnesses: tuple[MemberInfo, ...]


def copies_required(tolerated_losses: int, witnesses: int) -> int:
    """On how many disks a change must be: one more than may be lost, or all where there are fewer."""
    return min(tolerated_losses + 1, max(1, witnesses))


def witnesses_required(tolerated_losses: int) -> int:
    """How many voters there must be so that a majority is left after the losses to be borne."""
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
    # A new identity at an old address: that machine lost its disk, and the old identity will not come back.
    witnesses = [*(witness for witness in record.witnesses if witness.address not in addresses), *new]
    old = [witness for witness in witnesses if witness.member in peers and witness.member != primary]
    unresponsive = [witness for witness in old if peers[witness.member].silence_s > timings.removal_timeout_s]
    unresponsive.sort(key=lambda witness: peers[witness.member].silence_s, reverse=True)
    leaving = [witness for witness in old if peers[witness.member].leaving]
    # Those that leave go first: they may never come back, but a silent one may, with its disk.
    for witness in dict.fromkeys((*leaving, *unresponsive)):
        if len(witnesses) > witnesses_required(tolerated_losses):
            witnesses.remove(witness)
    return tuple(witnesses)


def _exclude_leaving(group: tuple[str, ...], peers: dict[str, PeerView], min_copies: int) -> tuple[str, ...]:
    """The group less those that leave, one after the other as long as enough copies remain."""
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
    """The witnesses and the group that the primary wants; equal to the record's if all is well."""
    witnesses = _next_witnesses(record, primary, peers, newcomers, tolerated_losses, timings)
    arriving = {newcomer.member for newcomer in newcomers}

    def belongs(member: str) -> bool:
        if member == primary or (member in arriving and record.find(member) is None):
            return True
        peer = peers.get(member)
        if peer is None or not peer.healthy or peer.silence_s > timings.silent_s:
            return False
        return member in record.group or peer.can_rejoin

    group = tuple(witness.member for witness in witnesses if belongs(witness.member))
    min_copies = copies_required(tolerated_losses, len(witnesses))
    return Membership(_exclude_leaving(group, peers, min_copies), witnesses)
