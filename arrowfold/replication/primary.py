"""The term of a primary: heartbeats and lease, writes in batches, and the care for its group."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from arrowfold.internal.messages import MemberInfo
from arrowfold.node.result_codes import ResultCode
from arrowfold.replication.batches import ProposalQueue
from arrowfold.replication.epochs import Composition, EpochChange, EpochFault, Found
from arrowfold.replication.member import GroupMember
from arrowfold.replication.membership import (
    Membership,
    copies_required,
    next_membership,
    witnesses_required,
)
from arrowfold.replication.messages import AcceptEpoch, AppendEntries, Heartbeat, HeartbeatAnswer, Verdict
from arrowfold.replication.peers import Peer, PeerTable
from arrowfold.replication.ports import Caller, EventLog
from arrowfold.replication.proposals import Decide, ReplicationFault
from arrowfold.replication.records import EpochRecord, RecordConfirmed
from arrowfold.replication.state import Entry

CHANGE_ATTEMPTS = 3  # at a new epoch, before the term ends


class PrimaryTerm:
    """The work of a primary from the epoch that made it one until it loses its lease or resigns."""

    def __init__(
        self,
        record: EpochRecord,
        member: GroupMember,
        caller: Caller,
        change: EpochChange,
        machine_losses: int,
        log: EventLog,
    ) -> None:
        self.record = record
        self._member = member
        self._caller = caller
        self._change = change
        self._losses = machine_losses
        self._log = log
        self._timings = member.timings
        self._clock = member.clock
        self._started_at = self._leased_at = member.clock()
        self._peers = PeerTable(member.info.member, member.clock, member.timings)
        self._newcomers: dict[str, tuple[MemberInfo, float]] = {}
        self._queue = ProposalQueue()
        self._work = asyncio.Event()
        self._wanted: Membership | None = None
        self._changing = False  # a new epoch is being brought about
        self._outbid = 0  # a higher epoch that some witness promised to somebody
        self._heartbeats: set[asyncio.Task[None]] = set()
        self._committed = member.image.state.sequence
        self._ever_active = False
        self.ended = False
        self.hands_over = False  # the term ended by itself: others need not wait for its lease to run out
        self.on_active: Callable[[], None] = lambda: None

    @property
    def committed(self) -> int:
        """How far the log is committed."""
        return self._committed

    # Lease

    def has_lease(self) -> bool:
        """Whether no other primary can be active at this moment."""
        if self.ended or self._member.image.promised_to != self._member.info.member:
            return False
        return self._clock() < self.lease_until()

    def lease_until(self) -> float:
        """Until when the lease holds, by the own steady clock."""
        return self._peers.lease_until(self.record)

    def is_complete(self) -> bool:
        """Whether the group has the members that the losses to be borne ask for, as far as they exist."""
        if len(self.record.group) < copies_required(self._losses, len(self.record.witnesses)):
            return False
        waited_s = self._clock() - self._started_at
        enough = len(self.record.witnesses) >= witnesses_required(self._losses)
        return enough or waited_s >= self._timings.complete_group_s

    def is_active(self) -> bool:
        """Whether this term may commit, acknowledge and answer reads."""
        return self.has_lease() and self.is_complete()

    def is_current(self) -> bool:
        """Whether all that is committed is published here, and no other primary can commit more."""
        return self.is_active() and self._member.published.sequence == self._committed

    # Heartbeats

    def send_heartbeats(self) -> None:
        """Send one to every witness that does not still owe an answer to the last."""
        own = self._member.info.member
        self._member.grant_lease(own)
        for witness in self.record.witnesses:
            if witness.member != own and not self._peers.get(witness.member).calling:
                task = asyncio.create_task(self._heartbeat(witness))
                self._heartbeats.add(task)
                task.add_done_callback(self._heartbeats.discard)

    async def _heartbeat(self, witness: MemberInfo) -> None:
        peer = self._peers.get(witness.member)
        peer.calling = True
        sent_at = self._clock()
        record = self.record
        echo = peer.clock if self.has_lease() and self._peers.is_fit(record, witness.member) else None
        if echo is not None:
            peer.echoed_at = sent_at
        request = Heartbeat(
            record.epoch, self._member.info, self._committed, witness.member in record.group, echo
        )
        try:
            answer = await self._caller.call(witness.address, request, self._timings.call_s)
        finally:
            peer.calling = False
        found = answer.ok()
        if not isinstance(found, HeartbeatAnswer) or found.member.member != witness.member or self.ended:
            return
        peer.answered(self._clock(), found)
        if found.granted:
            self._granted(peer, sent_at)
        elif found.record_epoch < record.epoch and found.promised <= record.epoch:
            await self._bring_record(witness, record)
        elif found.promised > self._member.highest_epoch:
            self._outbid = max(self._outbid, found.promised)
            self._work.set()

    def _granted(self, peer: Peer, sent_at: float) -> None:
        had_lease = self.is_active()
        peer.granted_at = max(peer.granted_at, sent_at)
        if not had_lease and self.is_active():
            self._activated()

    async def _bring_record(self, witness: MemberInfo, record: EpochRecord) -> None:
        """A witness lacks the record: to accept it grants the lease as well."""
        sent_at = self._clock()
        request = AcceptEpoch(record)
        answer = await self._caller.call(witness.address, request, self._timings.durable_call_s)
        verdict = answer.ok()
        if isinstance(verdict, Verdict) and verdict.done and record == self.record and not self.ended:
            self._granted(self._peers.get(witness.member), sent_at)

    def _end(self, reason: str, hand_over: bool = False) -> None:
        self.hands_over = self.hands_over or hand_over
        if not self.ended:
            self._log.warning("primary.ended", epoch=self.record.epoch, reason=reason)
        self.ended = True
        self._work.set()

    def _activated(self) -> None:
        if not self._ever_active:
            self._ever_active = True
            self._log.info(
                "primary.active",
                epoch=self.record.epoch,
                group=len(self.record.group),
                witnesses=len(self.record.witnesses),
            )
        self._publish()
        self.on_active()

    def _publish(self) -> None:
        """Make the committed state visible here; the others learn it by the next heartbeat."""
        state = self._member.image.state
        if not self._member.image.confirmed:
            self._member.durable.note(RecordConfirmed(self.record.epoch))
        if state.sequence == self._committed:
            self._member.heard_at = self._clock()
            self._member.publish(state)

    def resign(self) -> None:
        """End the term; what waits is answered as not known to be committed."""
        self._end("resigned", hand_over=True)

    # Members

    def join(self, newcomer: MemberInfo) -> None:
        """A core machine asks to be taken in."""
        if self.record.find(newcomer.member) is None:
            self._newcomers[newcomer.member] = (newcomer, self._clock())

    def leave(self, member: str) -> bool:
        """A member was told to end and asks to be removed; whether it may end now.

        It may once the record without it is chosen, and known to be chosen on the disks that remain. Of the
        voters that the losses to be borne ask for none is removed: one of these only leaves the group.
        """
        self._newcomers.pop(member, None)
        self._peers.asks_to_leave(member)
        self._consider_members()
        if self._changing or self._wanted is not None or member in self.record.group:
            return False
        votes = self.record.find(member) is not None
        if votes and len(self.record.witnesses) > witnesses_required(self._losses):
            return False
        return self.is_secured()

    def is_secured(self) -> bool:
        """Whether enough disks that stay know the record to be chosen, also after the losses to be borne.

        A record with one set of voters is superseded by that set's majority, known as chosen or not.
        """
        if len(self.record.quorums) == 1:
            return True
        own = self._member.durable.confirmed_epoch >= self.record.epoch
        needed = copies_required(self._losses, len(self.record.witnesses))
        return own + self._peers.confirmed_on(self.record) >= needed

    def fit_members(self) -> tuple[str, ...]:
        """The members that may hold roles."""
        return tuple(member for member in self.record.group if self._peers.is_fit(self.record, member))

    def authority_ended(self, member: str) -> bool:
        """Whether a member can't act under any role any longer."""
        return self._peers.authority_ended(member)

    def tick(self) -> None:
        """The regular work: heartbeats, members that came or went, the own disk."""
        if self.ended:
            return
        self.send_heartbeats()
        now = self._clock()
        if self.has_lease():
            self._leased_at = self._member.heard_at = now
        elif now - self._leased_at > self._timings.leaderless_s:
            self._end("no lease")
            return
        if not self._member.durable.is_healthy(self._timings.disk_s):
            self._end("the own disk is in trouble", hand_over=True)
            return
        self._consider_members()

    def _consider_members(self) -> None:
        """Have the members changed if others are wanted than the record has."""
        wanted = self._wanted_membership()
        if self.has_lease() and wanted != Membership(self.record.group, self.record.witnesses):
            self._wanted = wanted
            self._work.set()

    def _wanted_membership(self) -> Membership:
        now = self._clock()
        recent_s = 3 * self._timings.join_retry_s
        newcomers = tuple(info for info, at in self._newcomers.values() if now - at <= recent_s)
        own = self._member.info.member
        wanted = next_membership(
            self.record, own, self._peers.views(self.record), newcomers, self._losses, self._timings
        )
        if len(wanted.group) < copies_required(self._losses, len(wanted.witnesses)):
            return Membership(self.record.group, self.record.witnesses)
        return wanted

    # Writes

    async def propose(self, decide: Decide[Any]) -> Result[Any, ReplicationFault]:
        """Queue a proposal; its answer is given once the batch that it belongs to is committed."""
        if not self.is_active():
            return Err(ReplicationFault(ResultCode.NO_QUORUM, "no lease, or too few members"))
        answer = self._queue.add(decide)
        self._work.set()
        return await answer

    async def serve(self) -> None:
        """Commit proposals and change members until the term ends."""
        try:
            while not self.ended:
                await self._work.wait()
                self._work.clear()
                if self.ended:
                    break
                if self._outbid > self.record.epoch:
                    await self._outbid_again()
                elif self._wanted is not None:
                    await self._change_members()
                while self._queue and not self.ended:
                    await self._commit_batch()
        finally:
            self.ended = True
            for task in list(self._heartbeats):
                task.cancel()
            self._queue.fail_all()

    async def _commit_batch(self) -> None:
        batch = self._queue.next_batch(self._member.image.state)
        committed = await self._commit(tuple(batch.entries)) if batch.entries else True
        if committed and self.is_active():
            batch.settle()
        else:
            batch.fail()

    async def _commit(self, entries: tuple[Entry, ...]) -> bool:
        """Store entries at every member of the group; a member that does not answer is left out."""
        request = AppendEntries(self.record.epoch, self._member.image.position, entries, self._committed)
        missing = await self._append_everywhere(request)
        if self._member.info.member in missing:
            self._end("the own disk did not take the entries", hand_over=True)
            return False
        if missing and not await self._leave_out(missing):
            return False
        self._committed = self._member.image.state.sequence
        self._publish()
        self.send_heartbeats()
        return True

    async def _append_everywhere(self, request: AppendEntries) -> set[str]:
        """The members of the group that did not store the entries."""

        async def append_at(member: str) -> str | None:
            if member == self._member.info.member:
                verdict: object = await self._member.append(request)
            else:
                info = self.record.find(member)
                assert info is not None
                answer = await self._caller.call(info.address, request, self._timings.durable_call_s)
                verdict = answer.ok()
            return None if isinstance(verdict, Verdict) and verdict.done else member

        results = await asyncio.gather(*(append_at(member) for member in self.record.group))
        return {member for member in results if member is not None}

    async def _leave_out(self, missing: set[str]) -> bool:
        """Go on without some backups, under a new epoch."""
        for member in missing:
            self._peers.get(member).left_out_at = self._clock()
        group = tuple(member for member in self.record.group if member not in missing)
        self._log.warning("group.members_missing", epoch=self.record.epoch, missing=sorted(missing))
        return await self._new_epoch(Membership(group, self.record.witnesses))

    async def _change_members(self) -> None:
        wanted, self._wanted = self._wanted, None
        assert wanted is not None
        if wanted == Membership(self.record.group, self.record.witnesses):
            return
        now = self._clock()
        for member in set(self.record.group) - set(wanted.group):
            self._peers.get(member).left_out_at = now
        await self._new_epoch(wanted)

    async def _outbid_again(self) -> None:
        """A witness promised a higher epoch: go on under a still higher one, unless another leads already."""
        trial = await self._new_epoch(Membership(self.record.group, self.record.witnesses), trial=True)
        if trial:
            await self._new_epoch(Membership(self.record.group, self.record.witnesses))

    async def _new_epoch(self, wanted: Membership, trial: bool = False) -> bool:
        """Bring a new membership about; the state with all that was appended is committed by it."""
        self._changing = True
        try:
            return await self._try_epochs(wanted, trial)
        finally:
            self._changing = False

    async def _try_epochs(self, wanted: Membership, trial: bool) -> bool:
        copies = copies_required(self._losses, len(wanted.witnesses))

        def compose(found: Found) -> Result[Composition, EpochFault]:
            group = tuple(member for member in wanted.group if member in found.granted)
            if found.record is None or found.record.epoch != self.record.epoch:
                return Err(EpochFault("another epoch came first"))
            if len(group) < copies or self._member.info.member not in group:
                return Err(EpochFault("too few members promised"))
            return Ok(Composition(group, wanted.witnesses, copies))

        newcomers = [witness for witness in wanted.witnesses if self.record.find(witness.member) is None]
        for _ in range(CHANGE_ATTEMPTS):
            epoch = max(self._member.highest_epoch, self._outbid) + 1
            result = await self._change.run(epoch, compose, newcomers, trial)
            if isinstance(result, Ok):
                if not trial:
                    self._adopt(result.ok_value)
                return True
            self._outbid = max(self._outbid, result.err_value.promised)
            self._log.warning("epoch.change_failed", epoch=epoch, reason=str(result.err_value))
        self._end("no new epoch came about")
        return False

    def _adopt(self, record: EpochRecord) -> None:
        self._log.info(
            "epoch.changed",
            epoch=record.epoch,
            group=len(record.group),
            witnesses=[witness.name for witness in record.witnesses],
        )
        self.record = record
        self._newcomers = {
            member: entry for member, entry in self._newcomers.items() if record.find(member) is None
        }
        self._committed = self._member.image.state.sequence
        self._publish()
        self.send_heartbeats()
