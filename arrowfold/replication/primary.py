"""The term of a primary: heartbeats and lease, batched writes, and changes of its group's membership."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from arrowfold.internal.messages import MemberInfo
from arrowfold.node.result_codes import ResultCode
from arrowfold.replication.batches import ProposalQueue
from arrowfold.replication.epochs import Composition, EpochChange, EpochFault, Promises
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

CHANGE_ATTEMPTS = 3  # failed attempts at one change of epoch before the term ends


class PrimaryTerm:
    """A member's term as primary, from its election until it loses its lease or resigns.

    The term spans several epochs if the primary changes the membership. Times are in seconds by its steady
    clock.
    """

    def __init__(
        self,
        record: EpochRecord,
        member: GroupMember,
        caller: Caller,
        change: EpochChange,
        tolerated_losses: int,
        log: EventLog,
    ) -> None:
        self.record = record
        self._member = member
        self._caller = caller
        self._change = change
        self._tolerated_losses = tolerated_losses
        self._log = log
        self._timings = member.timings
        self._clock = member.clock
        self._started_at = self._leased_at = member.clock()
        self._peers = PeerTable(member.info.member, member.clock, member.timings)
        self._newcomers: dict[str, tuple[MemberInfo, float]] = {}
        self._queue = ProposalQueue()
        self._work = asyncio.Event()
        self._target_membership: Membership | None = None
        self._is_changing = False  # a change of epoch is in progress
        self._higher_promise = 0  # highest epoch above the own that a witness is known to have promised
        self._heartbeats: set[asyncio.Task[None]] = set()
        self._committed = member.persisted.state.sequence
        self._was_activated = False
        self.ended = False
        self.hands_over = False  # the term released its lease, so others need not wait for it to expire
        self.on_active: Callable[[], None] = lambda: None

    @property
    def committed(self) -> int:
        """The committed sequence of the log."""
        return self._committed

    # Lease

    def has_lease(self) -> bool:
        """Whether no other primary can be active at this moment."""
        if self.ended or self._member.persisted.promised_to != self._member.info.member:
            return False
        return self._clock() < self.lease_until()

    def lease_until(self) -> float:
        """When the lease expires, by the own steady clock."""
        return self._peers.lease_until(self.record)

    def is_complete(self) -> bool:
        """Whether the group has enough members to tolerate the configured losses.

        After `complete_group_wait_s`, a group with fewer witnesses than required counts as complete too.
        """
        if len(self.record.group) < copies_required(self._tolerated_losses, len(self.record.witnesses)):
            return False
        waited_s = self._clock() - self._started_at
        enough = len(self.record.witnesses) >= witnesses_required(self._tolerated_losses)
        return enough or waited_s >= self._timings.complete_group_wait_s

    def is_active(self) -> bool:
        """Whether this term may commit, acknowledge and answer reads."""
        return self.has_lease() and self.is_complete()

    def is_current(self) -> bool:
        """Whether the whole committed state is published here and no other primary can commit more."""
        return self.is_active() and self._member.published.sequence == self._committed

    # Heartbeats

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every other witness that has none in flight."""
        own = self._member.info.member
        self._member.grant_lease(own)
        for witness in self.record.witnesses:
            if witness.member != own and not self._peers.get(witness.member).heartbeat_in_flight:
                task = asyncio.create_task(self._heartbeat(witness))
                self._heartbeats.add(task)
                task.add_done_callback(self._heartbeats.discard)

    async def _heartbeat(self, witness: MemberInfo) -> None:
        peer = self._peers.get(witness.member)
        peer.heartbeat_in_flight = True
        sent_at = self._clock()
        record = self.record
        echo = peer.clock if self.has_lease() and self._peers.is_eligible(record, witness.member) else None
        if echo is not None:
            peer.echoed_at = sent_at
        request = Heartbeat(
            record.epoch, self._member.info, self._committed, witness.member in record.group, echo
        )
        try:
            answer = await self._caller.call(witness.address, request, self._timings.call_s)
        finally:
            peer.heartbeat_in_flight = False
        reply = answer.ok()
        if not isinstance(reply, HeartbeatAnswer) or reply.member.member != witness.member or self.ended:
            return
        peer.record_answer(self._clock(), reply)
        if reply.granted:
            self._on_grant(peer, sent_at)
        elif reply.record_epoch < record.epoch and reply.promised <= record.epoch:
            await self._send_record(witness, record)
        elif reply.promised > self._member.highest_epoch:
            self._higher_promise = max(self._higher_promise, reply.promised)
            self._work.set()

    def _on_grant(self, peer: Peer, sent_at: float) -> None:
        had_lease = self.is_active()
        peer.granted_at = max(peer.granted_at, sent_at)
        if not had_lease and self.is_active():
            self._on_activated()

    async def _send_record(self, witness: MemberInfo, record: EpochRecord) -> None:
        """Send the current record to a witness that lacks it; accepting it also grants the lease."""
        sent_at = self._clock()
        request = AcceptEpoch(record)
        answer = await self._caller.call(witness.address, request, self._timings.durable_call_s)
        verdict = answer.ok()
        if isinstance(verdict, Verdict) and verdict.done and record == self.record and not self.ended:
            self._on_grant(self._peers.get(witness.member), sent_at)

    def _end(self, reason: str, hand_over: bool = False) -> None:
        self.hands_over = self.hands_over or hand_over
        if not self.ended:
            self._log.warning("primary.ended", epoch=self.record.epoch, reason=reason)
        self.ended = True
        self._work.set()

    def _on_activated(self) -> None:
        if not self._was_activated:
            self._was_activated = True
            self._log.info(
                "primary.active",
                epoch=self.record.epoch,
                group=len(self.record.group),
                witnesses=len(self.record.witnesses),
            )
        self._publish()
        self.on_active()

    def _publish(self) -> None:
        """Publish the committed state on this member; backups learn its sequence by the next heartbeat."""
        state = self._member.persisted.state
        if not self._member.persisted.confirmed:
            self._member.durable.note(RecordConfirmed(self.record.epoch))
        if state.sequence == self._committed:
            self._member.primary_seen_at = self._clock()
            self._member.publish(state)

    def resign(self) -> None:
        """End the term; a batch in progress is answered as not known to be committed."""
        self._end("resigned", hand_over=True)

    # Members

    def join(self, newcomer: MemberInfo) -> None:
        """Handle the request of a control node to join the group."""
        if self.record.find(newcomer.member) is None:
            self._newcomers[newcomer.member] = (newcomer, self._clock())

    def leave(self, member: str) -> bool:
        """Handle the request of a stopping member to be removed; returns whether it may stop now.

        It may stop once a record without it is chosen, and known to be chosen on enough remaining disks. The
        number of witnesses never falls below the number required to tolerate the configured losses: a member
        that is still needed as a witness only leaves the group.
        """
        self._newcomers.pop(member, None)
        self._peers.note_leaving(member)
        self._consider_members()
        if self._is_changing or self._target_membership is not None or member in self.record.group:
            return False
        votes = self.record.find(member) is not None
        if votes and len(self.record.witnesses) > witnesses_required(self._tolerated_losses):
            return False
        return self.is_secured()

    def is_secured(self) -> bool:
        """Whether enough remaining disks to tolerate the configured losses know the record to be chosen.

        A record with a single quorum needs no confirmation: it is superseded by a majority of that quorum,
        whether or not it is known to be chosen.
        """
        if len(self.record.quorums) == 1:
            return True
        own = self._member.durable.confirmed_epoch >= self.record.epoch
        needed = copies_required(self._tolerated_losses, len(self.record.witnesses))
        return own + self._peers.count_confirmed(self.record) >= needed

    def eligible_members(self) -> tuple[str, ...]:
        """The members that may be granted roles."""
        return tuple(member for member in self.record.group if self._peers.is_eligible(self.record, member))

    def authority_ended(self, member: str) -> bool:
        """Whether a member can no longer act under any role."""
        return self._peers.authority_ended(member)

    def tick(self) -> None:
        """Periodic work: send heartbeats, check the lease and the own disk, consider membership changes."""
        if self.ended:
            return
        self.send_heartbeats()
        now = self._clock()
        if self.has_lease():
            self._leased_at = self._member.primary_seen_at = now
        elif now - self._leased_at > self._timings.lease_loss_timeout_s:
            self._end("no lease")
            return
        if not self._member.durable.is_healthy(self._timings.disk_s):
            self._end("the own disk is unhealthy", hand_over=True)
            return
        self._consider_members()

    def _consider_members(self) -> None:
        """Request a change of membership if the target differs from the current record."""
        target = self._compute_membership()
        if self.has_lease() and target != Membership(self.record.group, self.record.witnesses):
            self._target_membership = target
            self._work.set()

    def _compute_membership(self) -> Membership:
        now = self._clock()
        recent_s = 3 * self._timings.join_retry_s
        newcomers = tuple(info for info, at in self._newcomers.values() if now - at <= recent_s)
        own = self._member.info.member
        target = next_membership(
            self.record, own, self._peers.views(self.record), newcomers, self._tolerated_losses, self._timings
        )
        if len(target.group) < copies_required(self._tolerated_losses, len(target.witnesses)):
            return Membership(self.record.group, self.record.witnesses)
        return target

    # Writes

    async def propose(self, decide: Decide[Any]) -> Result[Any, ReplicationFault]:
        """Queue a proposal; returns its answer once the batch that contains it is committed.

        Returns NO_QUORUM if the term is not active, NOT_PRIMARY if it ends before the proposal is decided,
        STATE_DAMAGED if `decide` raises, and REPLICATION_TIMEOUT if the outcome is unknown.
        """
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
                if self._higher_promise > self.record.epoch:
                    await self._supersede_higher_promise()
                elif self._target_membership is not None:
                    await self._change_members()
                while self._queue and not self.ended:
                    await self._commit_batch()
        finally:
            self.ended = True
            for task in list(self._heartbeats):
                task.cancel()
            self._queue.fail_all()

    async def _commit_batch(self) -> None:
        batch = self._queue.next_batch(self._member.persisted.state)
        committed = await self._commit(tuple(batch.entries)) if batch.entries else True
        if committed and self.is_active():
            batch.settle()
        else:
            batch.fail()

    async def _commit(self, entries: tuple[Entry, ...]) -> bool:
        """Store entries at every member of the group; members that fail to are excluded by a new epoch."""
        request = AppendEntries(self.record.epoch, self._member.persisted.position, entries, self._committed)
        missing = await self._append_everywhere(request)
        if self._member.info.member in missing:
            self._end("the own disk did not store the entries", hand_over=True)
            return False
        if missing and not await self._exclude(missing):
            return False
        self._committed = self._member.persisted.state.sequence
        self._publish()
        self.send_heartbeats()
        return True

    async def _append_everywhere(self, request: AppendEntries) -> set[str]:
        """Send the entries to the group; returns the members that did not store them."""

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

    async def _exclude(self, missing: set[str]) -> bool:
        """Continue without some backups, under a new epoch."""
        for member in missing:
            self._peers.get(member).excluded_at = self._clock()
        group = tuple(member for member in self.record.group if member not in missing)
        self._log.warning("group.members_missing", epoch=self.record.epoch, missing=sorted(missing))
        return await self._new_epoch(Membership(group, self.record.witnesses))

    async def _change_members(self) -> None:
        target, self._target_membership = self._target_membership, None
        assert target is not None
        if target == Membership(self.record.group, self.record.witnesses):
            return
        now = self._clock()
        for member in set(self.record.group) - set(target.group):
            self._peers.get(member).excluded_at = now
        await self._new_epoch(target)

    async def _supersede_higher_promise(self) -> None:
        """Continue under an epoch above the one that a witness promised, unless it has a primary already."""
        trial = await self._new_epoch(Membership(self.record.group, self.record.witnesses), trial=True)
        if trial:
            await self._new_epoch(Membership(self.record.group, self.record.witnesses))

    async def _new_epoch(self, target: Membership, trial: bool = False) -> bool:
        """Start a new epoch with a new membership, which also commits all entries appended so far."""
        self._is_changing = True
        try:
            return await self._try_epochs(target, trial)
        finally:
            self._is_changing = False

    async def _try_epochs(self, target: Membership, trial: bool) -> bool:
        copies = copies_required(self._tolerated_losses, len(target.witnesses))

        def compose(promises: Promises) -> Result[Composition, EpochFault]:
            group = tuple(member for member in target.group if member in promises.granted)
            if promises.record is None or promises.record.epoch != self.record.epoch:
                return Err(EpochFault("another epoch was started first"))
            if len(group) < copies or self._member.info.member not in group:
                return Err(EpochFault("too few members promised"))
            return Ok(Composition(group, target.witnesses, copies))

        new_witnesses = [witness for witness in target.witnesses if self.record.find(witness.member) is None]
        for _ in range(CHANGE_ATTEMPTS):
            epoch = max(self._member.highest_epoch, self._higher_promise) + 1
            result = await self._change.run(epoch, compose, new_witnesses, trial)
            if isinstance(result, Ok):
                if not trial:
                    self._adopt(result.ok_value)
                return True
            self._higher_promise = max(self._higher_promise, result.err_value.promised)
            self._log.warning("epoch.change_failed", epoch=epoch, reason=str(result.err_value))
        self._end("no new epoch could be started")
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
        self._committed = self._member.persisted.state.sequence
        self._publish()
        self.send_heartbeats()
