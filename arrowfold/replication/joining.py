"""Discovery between the group and control nodes that are not witnesses yet."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.messages import Introduction, JoinAnswer, JoinRequest
from arrowfold.replication.ports import Caller, Clock
from arrowfold.replication.records import EpochRecord, newest_record
from arrowfold.replication.timings import Timings

INTRODUCTION_INTERVAL_S = 1.0  # interval between calls to seeds that the record does not list


class GroupFinder:
    """Finds the group through the seeds and through the witnesses of records received from others."""

    def __init__(self, own: MemberInfo, caller: Caller, clock: Clock, timings: Timings) -> None:
        self._own = own
        self._caller = caller
        self._clock = clock
        self._timings = timings
        self._newest_received: EpochRecord | None = None
        self._next_join = 0.0
        self._next_introduction = 0.0
        self._calls: set[asyncio.Task[None]] = set()
        self.seeds: tuple[str, ...] = ()

    def newest(self, accepted: EpochRecord | None) -> EpochRecord | None:
        """The newest record that this member accepted or received."""
        return newest_record((accepted, self._newest_received))

    def note(self, record: EpochRecord | None) -> None:
        """Note a record received from another node."""
        self._newest_received = newest_record((self._newest_received, record))

    def ask_to_join(self, accepted: EpochRecord | None) -> None:
        """Send a request to join to all known addresses, at most once per `join_retry_s`."""
        if self._clock() < self._next_join:
            return
        self._next_join = self._clock() + self._timings.join_retry_s
        newest = self.newest(accepted)
        known = [witness.address for witness in newest.witnesses] if newest is not None else []
        for address in dict.fromkeys([*known, *self.seeds]):
            if address != self._own.address:
                self._spawn(self._join_at(address))

    async def _join_at(self, address: str) -> None:
        request = JoinRequest(self._own)
        answer = await self._caller.call(address, request, self._timings.call_s)
        found = answer.ok()
        if not isinstance(found, JoinAnswer) or found.record is None:
            return
        self.note(found.record)
        primary = found.record.find(found.record.primary)
        if primary is not None and primary.address not in (address, self._own.address):
            await self._caller.call(primary.address, request, self._timings.call_s)

    def introduce(self, record: EpochRecord | None) -> None:
        """Send the record to seeds that it does not list, so that they find the group."""
        if record is None or self._clock() < self._next_introduction:
            return
        self._next_introduction = self._clock() + INTRODUCTION_INTERVAL_S
        known = {self._own.address, *(witness.address for witness in record.witnesses)}
        for address in self.seeds:
            if address not in known:
                self._spawn(self._introduce_at(address, record))

    async def _introduce_at(self, address: str, record: EpochRecord) -> None:
        await self._caller.call(address, Introduction(record), self._timings.call_s)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
