"""Which members asked lately to be removed: they still vote, also where the newest record lacks them."""

from __future__ import annotations

from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.ports import Clock
from arrowfold.replication.records import EpochRecord
from arrowfold.replication.timings import Timings


class LeavingMembers:
    """Members that were told to end and wait to be released, as their requests told."""

    def __init__(self, clock: Clock, timings: Timings) -> None:
        self._clock = clock
        self._timings = timings
        self._asked: dict[str, tuple[MemberInfo, float]] = {}

    def note(self, member: MemberInfo) -> None:
        """A member asks to be removed."""
        now = self._clock()
        recent = {name: entry for name, entry in self._asked.items() if self.is_leaving(name)}
        self._asked = {**recent, member.member: (member, now)}

    def is_leaving(self, member: str) -> bool:
        """Whether this member asked lately."""
        asked = self._asked.get(member)
        return asked is not None and self._clock() - asked[1] <= self._timings.leaving_s

    def addresses(self) -> tuple[str, ...]:
        """Where those that asked lately are reached: a record not known to be chosen may need their votes."""
        return tuple(info.address for info, _ in self._asked.values() if self.is_leaving(info.member))

    def all_leaving(self, record: EpochRecord, own: str) -> bool:
        """Whether every other witness asked lately, so that nobody is left to lead."""
        return all(self.is_leaving(member) for member in record.witness_ids() if member != own)
