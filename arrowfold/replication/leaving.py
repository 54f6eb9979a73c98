"""Members that recently asked to be removed; they still vote, even if the newest record lacks them."""

from __future__ import annotations

from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.ports import Clock
from arrowfold.replication.records import EpochRecord
from arrowfold.replication.timings import Timings


class LeavingMembers:
    """The stopping members that wait to be released, known from their requests."""

    def __init__(self, clock: Clock, timings: Timings) -> None:
        self._clock = clock
        self._timings = timings
        self._requests: dict[str, tuple[MemberInfo, float]] = {}

    def note(self, member: MemberInfo) -> None:
        """Record a member's request to be removed."""
        now = self._clock()
        recent = {name: entry for name, entry in self._requests.items() if self.is_leaving(name)}
        self._requests = {**recent, member.member: (member, now)}

    def is_leaving(self, member: str) -> bool:
        """Whether this member asked to be removed within `leaving_s`."""
        request = self._requests.get(member)
        return request is not None and self._clock() - request[1] <= self._timings.leaving_s

    def addresses(self) -> tuple[str, ...]:
        """Addresses of the leaving members; a record not known to be chosen may need their votes."""
        return tuple(info.address for info, _ in self._requests.values() if self.is_leaving(info.member))

    def all_leaving(self, record: EpochRecord, own: str) -> bool:
        """Whether all witnesses but `own` are leaving, so that none is left to become primary."""
        return all(self.is_leaving(member) for member in record.witness_ids() if member != own)
