"""One member of the replicated control state: joining, elections, its term as primary, and leaving."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from result import Err, Ok, Result

from arrowfold.internal.messages import Acknowledgement, MemberInfo
from arrowfold.node.result_codes import ResultCode
from arrowfold.replication.epochs import Composition, EpochChange, EpochFault, Promises
from arrowfold.replication.joining import GroupFinder
from arrowfold.replication.leaving import LeavingMembers
from arrowfold.replication.member import GroupMember
from arrowfold.replication.membership import copies_required
from arrowfold.replication.messages import (
    AcceptEpoch,
    AppendEntries,
    Departing,
    FetchState,
    Heartbeat,
    InstallState,
    Introduction,
    JoinAnswer,
    JoinRequest,
    LeaveAnswer,
    LeaveRequest,
    PrepareEpoch,
)
from arrowfold.replication.ports import Caller, EventLog
from arrowfold.replication.primary import PrimaryTerm
from arrowfold.replication.proposals import AnswerT, Decide, ReplicationFault
from arrowfold.replication.records import EpochRecord
from arrowfold.replication.roles import next_grant, no_companion, propose_grant
from arrowfold.replication.state import ControlState

BOOTSTRAP_STEP_S = 0.6  # delay per position in the seed list before a seed tries to bootstrap the group
LEAVE_TIMEOUT_S = 6.0  # maximum time that a stopping member waits to be released


class Replica:
    """Runs one member of the group; `run` is its main loop."""

    def __init__(
        self,
        member: GroupMember,
        caller: Caller,
        founding_seeds: tuple[str, ...],
        tolerated_losses: int,
        log: EventLog,
        draw: random.Random,
        leave_timeout_s: float = LEAVE_TIMEOUT_S,
    ) -> None:
        """`leave_timeout_s`: maximum time that a stopping member waits to be released."""
        self._member = member
        self._caller = caller
        self._seeds = founding_seeds
        self._tolerated_losses = tolerated_losses
        self._log = log
        self._draw = draw
        self._timings = member.timings
        self._clock = member.clock
        self._leave_timeout_s = leave_timeout_s
        self._leaving_members = LeavingMembers(member.clock, member.timings)
        self._change = EpochChange(member, caller, founding_seeds, self._leaving_members)
        self._term: PrimaryTerm | None = None
        self._started_at = member.clock()
        self._next_election_at = 0.0
        self._next_epoch = 0
        self._finder = GroupFinder(member.info, caller, member.clock, member.timings)
        self._finder.seeds = founding_seeds
        self._stopping = False
        self._stopped = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._role_grant_task: asyncio.Task[None] | None = None
        self._listeners: list[Callable[[], None]] = []
        self._required_roles: Callable[[ControlState], tuple[str, ...]] = lambda _state: ()
        self._companion: Callable[[str], str | None] = no_companion
        member.on_change = self._notify

    # Interface for the control plane

    @property
    def committed(self) -> ControlState:
        """The newest state known to be committed."""
        return self._member.published

    @property
    def epoch(self) -> int:
        """The epoch of the newest record known."""
        record = self._member.persisted.record
        return record.epoch if record is not None else 0

    @property
    def member(self) -> str:
        """This member's identity."""
        return self._member.info.member

    @property
    def term(self) -> PrimaryTerm | None:
        """This member's current term as primary, or None."""
        return self._term

    @property
    def group_member(self) -> GroupMember:
        """This member's state as witness and backup."""
        return self._member

    def members(self) -> tuple[MemberInfo, ...]:
        """The witnesses of the newest record known."""
        record = self._member.persisted.record
        return record.witnesses if record is not None else ()

    def primary(self) -> MemberInfo | None:
        """The primary of the newest record known, whether or not it is alive."""
        record = self._member.persisted.record
        return record.find(record.primary) if record is not None else None

    def is_primary(self) -> bool:
        """Whether this member is the active primary at this moment."""
        return self._term is not None and self._term.is_active()

    def is_current(self) -> bool:
        """Whether the primary recently confirmed that `committed` is the whole committed state."""
        return self._member.is_current() if self._term is None else self._term.is_current()

    def state_age_s(self) -> float | None:
        """Age bound of `committed` in seconds: it contains every change acknowledged at least this long ago.

        None if no bound is known; 0 on an active primary.
        """
        if self._term is None:
            return self._member.state_age_s()
        return 0.0 if self._term.is_current() else None

    async def propose(self, decide: Decide[AnswerT]) -> Result[AnswerT, ReplicationFault]:
        """On the primary: decide on the newest state, commit the entry, and answer under a valid lease."""
        if self._term is None or self._stopping:
            return Err(ReplicationFault(ResultCode.NOT_PRIMARY, "not the primary"))
        return await self._term.propose(decide)

    def authority_until(self) -> float:
        """When this member's authority to act under its roles ends, by its steady clock."""
        if self._stopping:
            return 0.0
        return self._term.lease_until() if self._term is not None else self._member.authority_until()

    def set_required_roles(
        self,
        roles: Callable[[ControlState], tuple[str, ...]],
        companion: Callable[[str], str | None] = no_companion,
    ) -> None:
        """Set how the primary derives the required roles from the state.

        `companion` returns the role that a role should share its holder with, or None. `roles` must list it
        before the role that depends on it.
        """
        self._required_roles = roles
        self._companion = companion

    async def _grant_next_role(self, term: PrimaryTerm) -> None:
        """Propose the grant of one role that needs a holder, if there is one."""
        state = self.committed
        required = self._required_roles(state)
        grant = next_grant(state, required, term.eligible_members(), term.authority_ended, self._companion)
        if grant is None:
            return
        passed = await term.propose(propose_grant(grant, state))
        if isinstance(passed, Ok):
            self._log.info("role.granted", role=grant.role, member=grant.member)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` whenever the committed state or the epoch has changed."""
        self._listeners.append(listener)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def set_addresses(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses at which to look for the group: the seeds of the current settings."""
        self._finder.seeds = addresses

    # Calls from other members

    def handlers(self) -> dict[type[Any], Callable[[Any], Awaitable[Any]]]:
        """The handler of each replication message, by message type."""
        return {
            PrepareEpoch: self._member.prepare,
            FetchState: self._member.fetch,
            InstallState: self._member.install,
            AcceptEpoch: self._member.accept,
            AppendEntries: self._member.append,
            Heartbeat: self._member.heartbeat,
            JoinRequest: self._on_join,
            LeaveRequest: self._on_leave,
            Departing: self._on_departing,
            Introduction: self._on_introduction,
        }

    async def _on_join(self, request: JoinRequest) -> JoinAnswer:
        if self._term is not None and not self._leaving_members.is_leaving(request.member.member):
            self._term.join(request.member)
        return JoinAnswer(self._member.persisted.record)

    async def _on_introduction(self, request: Introduction) -> Acknowledgement:
        self._finder.note(request.record)
        return Acknowledgement()

    async def _on_departing(self, request: Departing) -> Acknowledgement:
        self._member.handle_departing(request)
        return Acknowledgement()

    async def _on_leave(self, request: LeaveRequest) -> LeaveAnswer:
        self._leaving_members.note(request.member)
        released = self._term is not None and self._term.leave(request.member.member)
        return LeaveAnswer(released, self._finder.newest(self._member.persisted.record))

    # Main loop

    async def run(self) -> None:
        """Run the periodic work until `stop` has returned."""
        while not self._stopped:
            await self._step()
            leading = self._term is not None
            await asyncio.sleep(self._timings.heartbeat_s if leading else self._timings.election_check_s)

    async def _step(self) -> None:
        self._spawn(self._member.durable.repair())
        self._spawn(self._member.durable.flush())
        self._finder.introduce(self._member.persisted.record)
        if self._term is not None:
            self._term.tick()
            if self._term.ended:
                self._end_term()
            elif self._term.is_active() and (self._role_grant_task is None or self._role_grant_task.done()):
                self._role_grant_task = self._spawn(self._grant_next_role(self._term))
            return
        record = self._finder.newest(self._member.persisted.record)
        if self._stopping:
            return
        if record is None and self._may_bootstrap():
            await self._bootstrap_group()
        elif record is not None and record.find(self.member) is not None:
            await self._elect_if_leaderless()
        else:
            self._finder.ask_to_join(self._member.persisted.record)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _end_term(self) -> None:
        term, self._term = self._term, None
        if term is not None and term.hands_over:
            self._spawn(self._hand_over())
        self._next_election_at = self._clock() + self._timings.election_timeout_s
        self._notify()

    # Bootstrap

    def _may_bootstrap(self) -> bool:
        return self._member.founder and self._member.info.address in self._seeds

    async def _bootstrap_group(self) -> None:
        """Try to form the first group, after a delay that grows with the position in the seed list."""
        rank = self._seeds.index(self._member.info.address)
        if self._clock() < max(self._next_election_at, self._started_at + rank * BOOTSTRAP_STEP_S):
            return
        if self._clock() - self._member.last_promise_to_other_at < self._timings.bootstrap_promise_backoff_s:
            return
        await self._run_election(self._compose_bootstrap_group)

    def _compose_bootstrap_group(self, promises: Promises) -> Result[Composition, EpochFault]:
        if promises.record is not None:
            return self._compose_same_witnesses(promises)
        founders = {
            answer.member.address: answer.member for answer in promises.granted.values() if answer.founder
        }
        witnesses = tuple(founders[seed] for seed in self._seeds if seed in founders)
        copies = copies_required(self._tolerated_losses, len(witnesses))
        return Ok(Composition(tuple(witness.member for witness in witnesses), witnesses, copies))

    # Election

    async def _elect_if_leaderless(self) -> None:
        """Start an election if the primary has been silent for the election timeout.

        The timeout grows with the member's rank: first the group, then other witnesses, last the old primary.
        """
        record = self._finder.newest(self._member.persisted.record)
        assert record is not None
        order = [*record.group, *(name for name in record.witness_ids() if name not in record.group)]
        order = [name for name in order if name != record.primary] + [record.primary]
        rank = order.index(self._member.info.member)
        timeout_s = self._timings.election_timeout_s + rank * self._timings.election_stagger_s
        if record.primary == self.member and not self._member.has_received_heartbeat:
            timeout_s = 0.0  # this member was primary before its restart: no other member's lease is held
        now = self._clock()
        if now - self._member.primary_seen_at < timeout_s or now < self._next_election_at:
            return
        if now - self._member.last_promise_to_other_at < self._timings.promise_backoff_s:
            return
        await self._run_election(self._compose_same_witnesses)

    def _compose_same_witnesses(self, promises: Promises) -> Result[Composition, EpochFault]:
        record = promises.record
        assert record is not None
        if record.find(self._member.info.member) is None:
            return Err(EpochFault("no longer a witness"))
        group = tuple(member for member in record.witness_ids() if member in promises.granted)
        copies = copies_required(self._tolerated_losses, len(record.witnesses))
        if len(group) < copies:
            return Err(EpochFault(f"{len(group)} members promised, {copies} are needed"))
        return Ok(Composition(group, record.witnesses, copies))

    async def _run_election(self, compose: Callable[[Promises], Result[Composition, EpochFault]]) -> None:
        """Run for primary of the next epoch.

        A trial round comes first, so that a candidate without enough promises does not disrupt the primary.
        """
        epoch = max(self._member.highest_epoch, self._next_epoch) + 1
        result = await self._change.run(epoch, compose, trial=True)
        if isinstance(result, Ok):
            result = await self._change.run(epoch, compose)
        if isinstance(result, Err):
            self._next_epoch = max(self._next_epoch, result.err_value.promised)
            self._finder.note(result.err_value.newest)
            pause_s = self._timings.election_retry_s * (0.5 + self._draw.random())
            self._next_election_at = self._clock() + pause_s
            self._log.info("election.failed", epoch=epoch, reason=str(result.err_value))
            return
        self._log.info(
            "election.won",
            epoch=epoch,
            group=len(result.ok_value.group),
            sequence=self._member.persisted.state.sequence,
        )
        self._lead(result.ok_value)

    def _lead(self, record: EpochRecord) -> None:
        term = PrimaryTerm(
            record, self._member, self._caller, self._change, self._tolerated_losses, self._log
        )
        term.on_active = self._notify
        self._term = term
        self._spawn(term.serve())
        term.send_heartbeats()
        self._notify()

    # Leaving

    async def stop(self) -> bool:
        """Hand over the term, if there is one, and wait until the group releases this member.

        Returns whether it was released; if not, its disk may still be needed.
        """
        self._stopping = True
        term, self._term = self._term, None
        if term is not None:
            term.resign()
            await self._hand_over()
        released = await self._leave()
        self._stopped = True
        return released

    async def _hand_over(self) -> None:
        """Notify all witnesses, this one included, that the lease is released before it expires."""
        record = self._member.persisted.record
        if record is None:
            return
        notice = Departing(record.epoch, self.member, was_primary=True)
        self._member.handle_departing(notice)
        await self._call_others(record, notice)

    async def _leave(self) -> bool:
        """Keep voting until the primary releases this member, all others leave too, or the timeout ends."""
        deadline = self._clock() + self._leave_timeout_s
        while self._clock() < deadline:
            record = self._finder.newest(self._member.persisted.record)
            if record is None:
                return False
            # Sent before checking whether all others leave: once stopped, this member can't notify them.
            answers = await self._call_others(record, LeaveRequest(self._member.info))
            for answer in answers:
                self._finder.note(answer.record)
            if any(answer.released for answer in answers):
                self._log.info("member.released", epoch=record.epoch)
                return True
            if self._leaving_members.all_leaving(record, self.member):
                return False
            await asyncio.sleep(self._timings.leave_retry_s)
        self._log.warning("member.left_without_release", patience_s=self._leave_timeout_s)
        return False

    async def _call_others(self, record: EpochRecord, request: object) -> list[LeaveAnswer]:
        """Call every other witness of a record; returns those answers that are a `LeaveAnswer`."""
        calls = [
            self._caller.call(witness.address, request, self._timings.call_s)
            for witness in record.witnesses
            if witness.member != self.member
        ]
        results = await asyncio.gather(*calls)
        answers = [result.ok() for result in results]
        return [answer for answer in answers if isinstance(answer, LeaveAnswer)]
