"""What a primary knows of the other witnesses: lease grants, disk health, and the authority it extended."""

from __future__ import annotations

import math
from dataclasses import dataclass

from arrowfold.replication.membership import PeerView
from arrowfold.replication.messages import HeartbeatAnswer
from arrowfold.replication.ports import Clock
from arrowfold.replication.records import EpochRecord
from arrowfold.replication.timings import Timings

AUTHORITY_MARGIN = 1.1  # steady clocks of two nodes may run at different speeds


@dataclass(slots=True)
class Peer:
    """One witness; times are in seconds by the primary's steady clock."""

    answered_at: float  # when its last answer arrived
    granted_at: float = -math.inf  # when the last heartbeat that it granted was sent
    clock: float | None = None  # its own clock reading in its last answer
    healthy: bool = True
    excluded_at: float = -math.inf  # when it was last excluded from the group
    echoed_at: float = -math.inf  # when its authority was last extended
    leaving_at: float = -math.inf  # when it last asked to be removed
    confirmed_epoch: int = 0  # highest epoch whose record is known to be chosen, on its disk
    heartbeat_in_flight: bool = False

    def record_answer(self, now: float, answer: HeartbeatAnswer) -> None:
        """Store the state that the witness reported about itself."""
        self.answered_at = now
        self.healthy = answer.disk_healthy
        self.clock = answer.clock
        self.confirmed_epoch = answer.confirmed_epoch

    def takes_writes(self, in_group: bool) -> bool:
        """Whether its disk accepts writes; outside the group this is known only after an answer."""
        return self.healthy and (in_group or self.clock is not None)


class PeerTable:
    """All witnesses known to a term; the primary itself always counts as responsive."""

    def __init__(self, own: str, clock: Clock, timings: Timings) -> None:
        self._own = own
        self._clock = clock
        self._timings = timings
        self._started_at = clock()
        self._peers: dict[str, Peer] = {}

    def get(self, member: str) -> Peer:
        """The entry of a member; a new entry counts as having answered now."""
        return self._peers.setdefault(member, Peer(answered_at=self._clock()))

    def lease_until(self, record: EpochRecord) -> float:
        """Time until which a majority of the witnesses will not promise an epoch to another candidate."""
        voters = record.quorums[-1].voters
        grants = sorted((self._granted_at(voter) for voter in voters), reverse=True)
        start = grants[len(voters) // 2]  # the last grant of the smallest majority
        return start + self._timings.lease_s * self._timings.lease_margin

    def _granted_at(self, member: str) -> float:
        """When the last heartbeat granted by this member was sent; for the primary itself, now."""
        if member == self._own:
            return self._clock()
        peer = self._peers.get(member)
        return -math.inf if peer is None else peer.granted_at

    def note_leaving(self, member: str) -> None:
        """Mark a member as leaving: it still votes and answers, but is not eligible for roles."""
        self.get(member).leaving_at = self._clock()

    def is_leaving(self, member: str) -> bool:
        """Whether a member recently asked to be removed; after a restart it no longer asks."""
        peer = self._peers.get(member)
        return peer is not None and self._clock() - peer.leaving_at <= self._timings.leaving_s

    def count_confirmed(self, record: EpochRecord) -> int:
        """Number of other, remaining witnesses on whose disks the record is known to be chosen."""
        return sum(
            self.get(member).confirmed_epoch >= record.epoch and not self.is_leaving(member)
            for member in record.witness_ids()
            if member != self._own
        )

    def is_eligible(self, record: EpochRecord, member: str) -> bool:
        """Whether a member may hold roles: in the group, not leaving, responsive, and with a healthy disk."""
        if member == self._own:
            return True
        peer = self._peers.get(member)
        if peer is None or member not in record.group or not peer.healthy or self.is_leaving(member):
            return False
        return self._clock() - peer.answered_at <= self._timings.lease_s

    def authority_ended(self, member: str) -> bool:
        """Whether a member can't act under any role: its authority has expired by its own clock."""
        if member == self._own:
            return False
        peer = self.get(member)
        # An extension counts from the member's clock reading, taken before the primary echoed it.
        last_extension = min(peer.answered_at, max(peer.echoed_at, self._started_at))
        return self._clock() - last_extension > self._timings.lease_s * AUTHORITY_MARGIN

    def views(self, record: EpochRecord) -> dict[str, PeerView]:
        """The input of `next_membership`: a view of each witness of the record."""
        now = self._clock()
        views = {}
        for witness in record.witness_ids():
            peer = self.get(witness)
            views[witness] = PeerView(
                silence_s=now - peer.answered_at,
                healthy=peer.takes_writes(witness in record.group),
                can_rejoin=now - peer.excluded_at > self._timings.rejoin_delay_s,
                leaving=self.is_leaving(witness),
            )
        return views
