"""Which members the next epoch should have: a pure decision on what the primary sees."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.records import EpochRecord
from arrowfold.replication.timings import Timings


@dataclass(frozen=True, slots=True)
class PeerView:
    """What the primary sees of one witness.

    `silence_s`: since its last answer; `healthy`: its disk takes writes; `rested`: it was not left out
    lately.
    """

    silence_s: float
    healthy: bool
    rested: bool = True


@dataclass(frozen=True, slots=True)
class Membership:
    """The members that the primary wants."""

    group: tuple[str, ...]
    witnesses: tuple[MemberInfo, ...]


def copies_required(machine_losses: int, witnesses: int) -> int:
    """On how many disks a change must be: one more than may be lost, or all where there are fewer."""
    return min(machine_losses + 1, max(1, witnesses))


def _next_witnesses(
    record: EpochRecord,
    primary: str,
    silence_s: Callable[[str], float],
    newcomers: tuple[MemberInfo, ...],
    machine_losses: int,
    timings: Timings,
) -> tuple[MemberInfo, ...]:
    new = [newcomer for newcomer in newcomers if record.find(newcomer.member) is None]
    addresses = {newcomer.address for newcomer in new}
    # A new identity at an old address: that machine lost its disk, and the old identity will not come back.
    witnesses = [*(witness for witness in record.witnesses if witness.address not in addresses), *new]
    silent = [
        witness
        for witness in witnesses
        if witness.member != primary and witness not in new and silence_s(witness.member) > timings.replaced_s
    ]
    silent.sort(key=lambda witness: silence_s(witness.member), reverse=True)
    for witness in silent:
        if len(witnesses) > 2 * machine_losses + 1:
            witnesses.remove(witness)
    return tuple(witnesses)


def next_membership(
    record: EpochRecord,
    primary: str,
    peers: dict[str, PeerView],
    newcomers: tuple[MemberInfo, ...],
    machine_losses: int,
    timings: Timings,
) -> Membership:
    """The witnesses and the group that the primary wants; equal to the record's if all is well."""

    def silence_s(member: str) -> float:
        return peers[member].silence_s if member in peers else 0.0

    witnesses = _next_witnesses(record, primary, silence_s, newcomers, machine_losses, timings)
    arriving = {newcomer.member for newcomer in newcomers}

    def belongs(member: str) -> bool:
        if member == primary or (member in arriving and record.find(member) is None):
            return True
        peer = peers.get(member)
        if peer is None or not peer.healthy or peer.silence_s > timings.silent_s:
            return False
        return member in record.group or peer.rested

    group = tuple(witness.member for witness in witnesses if belongs(witness.member))
    return Membership(group, witnesses)
