"""Roles with fencing tokens: which member may act under a role, and how the primary reassigns roles.

A role's tenure (holder and fencing token) is part of the replicated state. To act, a holder also needs
*authority*, a lease that the primary's heartbeats extend. The primary reassigns a role only after the old
holder's authority has expired, and the new holder waits in addition (`handover_wait_s`).
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from arrowfold.replication.ports import Clock
from arrowfold.replication.proposals import Proposal, ReplicaPort
from arrowfold.replication.state import ControlState, RoleGrant

HANDOVER_MARGIN_S = 0.1  # added to `handover_wait_s` before a new holder acts


@dataclass(frozen=True, slots=True)
class HeldRole:
    """A role held by this member, with its fencing token.

    The member may act from `since` until `authority_until`, both in seconds by its steady clock.
    """

    role: str
    token: int
    since: float
    authority_until: float


class HandoverBounds(Protocol):
    """The limits of the operating rules that apply to a handover of a role."""

    @property
    def leaseMs(self) -> float:
        """Interval within which two holders must not issue orders alternately."""

    @property
    def contactMs(self) -> float:
        """Time after a failure for which a node, and the control plane, do not count as in contact."""

    @property
    def fencingChecked(self) -> bool:
        """Whether workers reject a fencing token lower than the highest one they have received."""


def handover_wait_s(bounds: HandoverBounds, arrival_s: float) -> float:
    """Seconds that a new holder of a role waits after its predecessor's authority has expired.

    `arrival_s`: the maximum time that an order of the predecessor may still be in transit. If workers check
    fencing tokens, a late order of the predecessor is harmless, and alternating orders count only among
    holders in contact. A role is reassigned only after its holder has failed, which puts that holder, and the
    control plane, out of contact for `contactMs`, so that only the rest of `leaseMs` has to pass. If workers
    don't check, all of `leaseMs` has to pass.
    """
    exempt_ms = bounds.contactMs if bounds.fencingChecked else 0.0
    return max(0.0, bounds.leaseMs - exempt_ms) / 1000 + arrival_s


class RoleAuthority:
    """Decides whether this member may act under a role; must be checked before every order."""

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
        self._first_seen: dict[int, float] = {}  # by fencing token: when this member first saw its tenure

    @property
    def holder(self) -> str:
        """The identity under which this member acts."""
        return self._replica.member

    def observe(self) -> None:
        """Record new tenures; must be called whenever the committed state has changed."""
        own = {
            tenure.token: tenure
            for tenure in self._replica.committed.roles.values()
            if tenure.member == self._replica.member
        }
        now = self._clock()
        self._first_seen = {token: self._first_seen.get(token, now) for token in own}

    def is_tenured(self, role: str, token: int) -> bool:
        """Whether the committed state known here assigns the role to this member under this token."""
        tenure = self._replica.committed.roles.get(role)
        return tenure is not None and (tenure.member, tenure.token) == (self._replica.member, token)

    def tenure(self, role: str) -> HeldRole | None:
        """This member's tenure of a role, or None; `authority_until` is always 0 here.

        The tenure is returned whether or not the member may act under it yet.
        """
        tenure = self._replica.committed.roles.get(role)
        if tenure is None or tenure.member != self._replica.member:
            return None
        first_seen = self._first_seen.get(tenure.token)
        if first_seen is None:
            return None
        return HeldRole(role, tenure.token, first_seen + (self._wait_s if tenure.previous else 0.0), 0.0)

    def held(self, role: str) -> HeldRole | None:
        """This member's tenure of a role if it may act under it now, else None."""
        tenure = self.tenure(role)
        if tenure is None or not self._replica.is_current():
            return None
        now = self._clock()
        authority_until = self._authority_until()
        if now < tenure.since or now >= authority_until:
            return None
        return replace(tenure, authority_until=authority_until)


class HeldRoleLease:
    """A holder's handle on one tenure of a role."""

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
        """The identity under which this member acts."""
        return self._authority.holder

    def is_tenured(self) -> bool:
        """Whether this member still holds the role under this token, as far as it knows."""
        return self._authority.is_tenured(self._held.role, self._held.token)

    def remaining_s(self) -> float:
        """Time for which this member may certainly act, in seconds; 0 if it may not act now."""
        held = self._authority.held(self._held.role)
        if held is None or held.token != self._held.token:
            return 0.0
        return max(0.0, held.authority_until - self._clock())


def preferred_holder(role: str, members: tuple[str, ...]) -> str | None:
    """The member that rendezvous hashing assigns to a role, or None if there are no members."""
    if not members:
        return None
    return max(members, key=lambda member: hashlib.sha256(f"{role}\n{member}".encode()).digest())


def no_companion(_role: str) -> str | None:
    """The default for `companion`: no role shares its holder with another."""
    return None


def next_grant(
    state: ControlState,
    required: tuple[str, ...],
    eligible: tuple[str, ...],
    authority_ended: Callable[[str], bool],
    companion: Callable[[str], str | None] = no_companion,
) -> RoleGrant | None:
    """The next role to assign to an eligible member, or None.

    A role is reassigned once its holder is not eligible and that holder's authority has expired. `companion`
    returns the role that a role should share its holder with, or None. A role waits until its companion's
    holder is eligible; if the companion has no holder, rendezvous hashing by the role's own name decides.
    """
    for role in required:
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
    """A proposal that assigns a role, unless its tenure has changed since `seen`."""

    def decide(state: ControlState) -> Proposal[None]:
        if state.roles.get(grant.role) != seen.roles.get(grant.role):
            return Proposal(None)
        return Proposal(None, grant)

    return decide
