"""Fenced roles: who may act under a role at this moment, and how the primary passes roles on.

A role's tenure (holder and fencing token) is part of the replicated state. To act, a holder needs more than
the tenure: its *authority*, which it has while it is in touch with the primary. The primary passes a role on
only after the old holder's authority has ended, and the new holder waits besides (`hand_over_wait_s`).
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from arrowfold.replication.ports import Clock
from arrowfold.replication.proposals import Proposal, ReplicaPort
from arrowfold.replication.state import ControlState, RoleGrant

HANDOVER_MARGIN_S = 0.1  # beyond `hand_over_wait_s`, before a new holder acts


@dataclass(frozen=True, slots=True)
class HeldRole:
    """A role under which this member may act until `authority_until` by its steady clock."""

    role: str
    token: int
    since: float
    authority_until: float


class HandoverBounds(Protocol):
    """The figures of the operating rules that a hand-over keeps to."""

    @property
    def leaseMs(self) -> float:
        """Within which no two holders may give orders by turns."""

    @property
    def contactMs(self) -> float:
        """For how long after trouble a machine, and the core, do not count as in touch."""

    @property
    def fencingChecked(self) -> bool:
        """Whether workers refuse a fencing token below one that they have seen."""


def hand_over_wait_s(bounds: HandoverBounds, arrival_s: float) -> float:
    """How long a new holder of a role waits once its predecessor's authority has ended.

    `arrival_s`: how long an order of the predecessor may still be on its way. Where workers check fences, a
    late order of the predecessor does no harm, and turns count only among holders in touch. A role passes on
    only from a member that failed, which leaves it, and the core, out of touch for `contactMs`; the rest of
    `leaseMs` is waited out. Where workers don't check, all of it is.
    """
    exempt_ms = bounds.contactMs if bounds.fencingChecked else 0.0
    return max(0.0, bounds.leaseMs - exempt_ms) / 1000 + arrival_s


class RoleAuthority:
    """Tells whether this member may act under a role; to be asked before every order."""

    def __init__(
        self,
        replica: ReplicaPort,
        clock: Clock,
        authority_until: Callable[[], float],
        hand_over_s: float,
    ) -> None:
        self._replica = replica
        self._clock = clock
        self._authority_until = authority_until
        self._wait_s = hand_over_s + HANDOVER_MARGIN_S
        self._first_seen: dict[int, float] = {}  # when this member first saw each of its tokens

    @property
    def holder(self) -> str:
        """The name under which this member acts."""
        return self._replica.member

    def observe(self) -> None:
        """Note new tenures; call it whenever the committed state changed."""
        own = {
            tenure.token: tenure
            for tenure in self._replica.committed.roles.values()
            if tenure.member == self._replica.member
        }
        now = self._clock()
        self._first_seen = {token: self._first_seen.get(token, now) for token in own}

    def is_tenured(self, role: str, token: int) -> bool:
        """Whether the committed state known here gives this member the role under this token."""
        tenure = self._replica.committed.roles.get(role)
        return tenure is not None and (tenure.member, tenure.token) == (self._replica.member, token)

    def tenure(self, role: str) -> HeldRole | None:
        """This member's tenure of a role, whether or not it may act under it yet; no authority is told."""
        tenure = self._replica.committed.roles.get(role)
        if tenure is None or tenure.member != self._replica.member:
            return None
        first_seen = self._first_seen.get(tenure.token)
        if first_seen is None:
            return None
        return HeldRole(role, tenure.token, first_seen + (self._wait_s if tenure.previous else 0.0), 0.0)

    def held(self, role: str) -> HeldRole | None:
        """This member's tenure of a role, if it may act under it at this moment."""
        tenure = self.tenure(role)
        if tenure is None or not self._replica.is_current():
            return None
        now = self._clock()
        authority_until = self._authority_until()
        if now < tenure.since or now >= authority_until:
            return None
        return replace(tenure, authority_until=authority_until)


class HeldRoleLease:
    """One tenure of a role as its holder uses it."""

    def __init__(self, authority: RoleAuthority, held: HeldRole, clock: Clock) -> None:
        self._authority = authority
        self._held = held
        self._clock = clock

    @property
    def token(self) -> int:
        """The fencing token of this tenure."""
        return self._held.token

    @property
    def holder(self) -> str:
        """The name under which this member acts."""
        return self._authority.holder

    def is_tenured(self) -> bool:
        """Whether the role is still this member's under this token, as far as it knows."""
        return self._authority.is_tenured(self._held.role, self._held.token)

    def remaining_s(self) -> float:
        """How much longer this member surely may act; 0 while it may not."""
        held = self._authority.held(self._held.role)
        if held is None or held.token != self._held.token:
            return 0.0
        return max(0.0, held.authority_until - self._clock())


def preferred_holder(role: str, members: tuple[str, ...]) -> str | None:
    """The member that a role falls to by rendezvous hashing."""
    if not members:
        return None
    return max(members, key=lambda member: hashlib.sha256(f"{role}\n{member}".encode()).digest())


def no_companion(_role: str) -> str | None:
    """Every role falls to a member by its own name."""
    return None


def next_grant(
    state: ControlState,
    wanted: tuple[str, ...],
    eligible: tuple[str, ...],
    authority_ended: Callable[[str], bool],
    companion: Callable[[str], str | None] = no_companion,
) -> RoleGrant | None:
    """The next role to pass on: to a fit member, once the authority of the one that holds it has ended.

    `companion`: the role whose holder is to hold this one, too; a role waits until its companion's holder is
    fit, and falls to a member by its own name where the companion has no holder.
    """
    for role in wanted:
        tenure = state.roles.get(role)
        if tenure is not None and (tenure.member in eligible or not authority_ended(tenure.member)):
            continue
        companion_tenure = state.roles.get(companion(role) or "")
        if companion_tenure is not None and companion_tenure.member not in eligible:
            continue
        holder = preferred_holder(role, eligible) if companion_tenure is None else companion_tenure.member
        if holder is not None:
            return RoleGrant(role, holder)
    return None


def propose_grant(grant: RoleGrant, seen: ControlState) -> Callable[[ControlState], Proposal[None]]:
    """A proposal that passes a role on unless its tenure changed meanwhile."""

    def decide(state: ControlState) -> Proposal[None]:
        if state.roles.get(grant.role) != seen.roles.get(grant.role):
            return Proposal(None)
        return Proposal(None, grant)

    return decide
