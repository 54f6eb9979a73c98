"""The change of epoch, run by a candidate for primary.

Its steps: collect promises, fetch the newest state, install it in the new group, have the record accepted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.leaving import LeavingMembers
from arrowfold.replication.member import GroupMember
from arrowfold.replication.messages import (
    AcceptEpoch,
    FetchState,
    InstallState,
    PrepareAnswer,
    PrepareEpoch,
    StateImage,
    Verdict,
)
from arrowfold.replication.ports import Caller
from arrowfold.replication.records import (
    SEED_PREFIX,
    EpochRecord,
    Position,
    Quorum,
    has_majorities,
    merged_quorums,
    newest_record,
    voter_names,
)
from arrowfold.replication.state import ControlState

LATE_ANSWER_WAIT_S = 0.06  # further wait for promises once a quorum has answered


class EpochFault(Exception):
    """The change of epoch failed.

    `promised` is the highest epoch promised by any member that answered, `newest` the newest record received.
    """

    def __init__(self, text: str, promised: int = 0) -> None:
        super().__init__(text)
        self.promised = promised
        self.newest: EpochRecord | None = None


@dataclass(frozen=True, slots=True)
class Composition:
    """The members of the new epoch."""

    group: tuple[str, ...]
    witnesses: tuple[MemberInfo, ...]
    copies: int  # minimum number of group members that must store the state


@dataclass(frozen=True, slots=True)
class Promises:
    """A sufficient set of promises.

    `record` is the newest record among the answers, `quorums` are the sets of voters that a new record must
    have majorities of, and `granted` maps the identity of each member that promised to its answer.
    """

    record: EpochRecord | None
    quorums: tuple[Quorum, ...]
    granted: dict[str, PrepareAnswer]


Compose = Callable[[Promises], Result[Composition, EpochFault]]


@dataclass(slots=True)
class _PrepareRound:
    """The calls and answers of one round of promises."""

    calls: dict[str, asyncio.Task[PrepareAnswer | None]] = field(default_factory=dict)  # by address
    answers: dict[str, PrepareAnswer] = field(default_factory=dict)  # by identity

    def votes(self) -> set[str]:
        """The voter names of all members that promised."""
        return {
            name
            for answer in self.answers.values()
            if answer.granted
            for name in voter_names(answer.member, answer.founder)
        }

    def granted(self) -> dict[str, PrepareAnswer]:
        """The answers of the members that promised, by identity."""
        return {member: answer for member, answer in self.answers.items() if answer.granted}

    def highest_promise(self) -> int:
        """The highest promised epoch among the answers."""
        return max((answer.promised for answer in self.answers.values()), default=0)

    def newest_record(self) -> EpochRecord | None:
        """The newest record among the answers."""
        return newest_record(answer.record for answer in self.answers.values())

    def is_confirmed(self, record: EpochRecord) -> bool:
        """Whether any member that answered knows the record to be chosen."""
        return any(
            answer.confirmed and answer.record is not None and answer.record.epoch == record.epoch
            for answer in self.answers.values()
        )


class EpochChange:
    """Runs attempts to start a new epoch with this member as its primary."""

    def __init__(
        self, member: GroupMember, caller: Caller, seeds: tuple[str, ...], leaving_members: LeavingMembers
    ) -> None:
        self._member = member
        self._caller = caller
        self._seeds = seeds
        self._leaving_members = leaving_members
        self._timings = member.timings
        self._open_calls: set[asyncio.Task[Verdict | None]] = set()

    async def run(
        self, epoch: int, compose: Compose, new_witnesses: Iterable[MemberInfo] = (), trial: bool = False
    ) -> Result[EpochRecord, EpochFault]:
        """Returns the record of the new epoch once it is chosen.

        With `trial`, only checks whether enough promises would be given; no member stores anything.
        """
        prepare_round = _PrepareRound()
        try:
            result = await self._attempt(epoch, compose, tuple(new_witnesses), trial, prepare_round)
        finally:
            for task in prepare_round.calls.values():
                task.cancel()
        if isinstance(result, Err):
            result.err_value.newest = prepare_round.newest_record()
        return result

    async def _attempt(
        self,
        epoch: int,
        compose: Compose,
        new_witnesses: tuple[MemberInfo, ...],
        trial: bool,
        prepare_round: _PrepareRound,
    ) -> Result[EpochRecord, EpochFault]:
        prepared = await self._collect_promises(epoch, prepare_round, new_witnesses, trial)
        if isinstance(prepared, Err):
            return Err(prepared.err_value)
        promises = prepared.ok_value
        composed = compose(promises)
        if isinstance(composed, Err):
            return Err(composed.err_value)
        composition = composed.ok_value
        if trial:
            return Ok(self._make_record(epoch, composition.group, composition.witnesses, promises))
        return await self._establish(epoch, promises, composition)

    def _make_record(
        self,
        epoch: int,
        group: tuple[str, ...],
        witnesses: tuple[MemberInfo, ...],
        promises: Promises,
    ) -> EpochRecord:
        """Returns the record of the new epoch.

        Its quorums are the earlier ones that it must also win, plus the quorum of its own witnesses.
        """
        witness_quorum = Quorum(tuple(witness.member for witness in witnesses))
        merged = merged_quorums(promises.quorums, witness_quorum)
        former = _former_voters(promises.record, merged, witness_quorum)
        return EpochRecord(epoch, self._member.info.member, group, witnesses, merged, former)

    # Promises

    async def _collect_promises(
        self, epoch: int, prepare_round: _PrepareRound, new_witnesses: tuple[MemberInfo, ...], trial: bool
    ) -> Result[Promises, EpochFault]:
        """Ask for promises until there are enough and the grace period is over, or all calls have ended.

        Every record that an answer brings may name further voters, which are then asked as well.
        """
        request = PrepareEpoch(epoch, self._member.info, trial)
        self._send_prepares(prepare_round, request, [self._member.info.address, *self._known_addresses()])
        self._send_prepares(prepare_round, request, [witness.address for witness in new_witnesses])
        self._send_prepares(prepare_round, request, self._leaving_members.addresses())
        quorum_at: float | None = None
        while True:
            self._collect_answers(prepare_round)
            record = prepare_round.newest_record()
            if record is not None:
                self._send_prepares(prepare_round, request, [voter.address for voter in record.voters()])
            own = prepare_round.answers.get(self._member.info.member)
            if own is not None and not own.granted:
                return Err(EpochFault(own.reason, prepare_round.highest_promise()))
            promises = self._evaluate_promises(prepare_round)
            waiting = [task for task in prepare_round.calls.values() if not task.done()]
            if promises is not None and quorum_at is None:
                quorum_at = self._member.clock()
            if not waiting:
                break
            if quorum_at is None:
                await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
                continue
            remaining_s = quorum_at + self._grace_period_s(record, trial) - self._member.clock()
            if remaining_s <= 0:
                break
            await asyncio.wait(waiting, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED)
        if promises is None:
            return Err(EpochFault(self._describe_shortfall(prepare_round), prepare_round.highest_promise()))
        return Ok(promises)

    def _grace_period_s(self, record: EpochRecord | None, trial: bool) -> float:
        """How long to wait for further promises once there are enough."""
        if trial:
            return 0.0
        return LATE_ANSWER_WAIT_S if record is not None else self._timings.bootstrap_wait_s

    def _known_addresses(self) -> list[str]:
        record = self._member.persisted.record
        if record is not None:
            return [voter.address for voter in record.voters()]
        return list(self._seeds)

    def _send_prepares(
        self, prepare_round: _PrepareRound, request: PrepareEpoch, addresses: Iterable[str]
    ) -> None:
        for address in addresses:
            if address not in prepare_round.calls:
                prepare_round.calls[address] = asyncio.create_task(self._send_prepare(address, request))

    async def _send_prepare(self, address: str, request: PrepareEpoch) -> PrepareAnswer | None:
        if address == self._member.info.address:
            return await self._member.prepare(request)
        answer = await self._caller.call(address, request, self._timings.durable_call_s)
        reply = answer.ok()
        return reply if isinstance(reply, PrepareAnswer) else None

    def _collect_answers(self, prepare_round: _PrepareRound) -> None:
        for task in prepare_round.calls.values():
            answer = task.result() if task.done() else None
            if answer is not None:
                prepare_round.answers[answer.member.member] = answer

    def _evaluate_promises(self, prepare_round: _PrepareRound) -> Promises | None:
        """The promises so far if they are sufficient, else None.

        Sufficient are a majority of each quorum, the candidate's own promise, and, unless this is the first
        epoch, at least one member that holds the committed state.
        """
        record = prepare_round.newest_record()
        quorums: tuple[Quorum, ...]
        if record is None:
            quorums = (Quorum(tuple(SEED_PREFIX + seed for seed in self._seeds)),)
        else:
            quorums = record.quorums[-1:] if prepare_round.is_confirmed(record) else record.quorums
        if not has_majorities(quorums, prepare_round.votes()):
            return None
        promises = Promises(record, quorums, prepare_round.granted())
        if self._member.info.member not in promises.granted or (
            record is not None and not _state_sources(promises)
        ):
            return None
        return promises

    def _describe_shortfall(self, prepare_round: _PrepareRound) -> str:
        reasons = [
            f"{answer.member.name}: {answer.reason or 'promised'}"
            for answer in prepare_round.answers.values()
        ]
        return f"not enough promises ({'; '.join(reasons) or 'no answers'})"

    # Installation and acceptance

    async def _establish(
        self, epoch: int, promises: Promises, composition: Composition
    ) -> Result[EpochRecord, EpochFault]:
        start = await self._starting_state(epoch, promises)
        if isinstance(start, Err):
            return Err(start.err_value)
        position, state = start.ok_value
        group = await self._install(epoch, promises, composition, position, state)
        if self._member.info.member not in group:
            return Err(EpochFault("the candidate's disk did not store the state", epoch))
        if len(group) < composition.copies:
            return Err(EpochFault(f"only {sorted(group)} stored the state", epoch))
        members = tuple(member for member in composition.group if member in group)
        record = self._make_record(epoch, members, composition.witnesses, promises)
        return await self._accept(record, promises)

    async def _starting_state(
        self, epoch: int, promises: Promises
    ) -> Result[tuple[Position, ControlState], EpochFault]:
        """The newest state among the members that promised, and its position; fetched if not held here."""
        own = self._member.persisted
        if promises.record is None:
            return Ok((Position(), ControlState()))
        source = max(_state_sources(promises), key=lambda answer: answer.position.key())
        if source.position == own.position:
            return Ok((own.position, own.state))
        answer = await self._caller.call(
            source.member.address, FetchState(epoch), self._timings.durable_call_s
        )
        reply = answer.ok()
        if not isinstance(reply, StateImage) or reply.epoch != epoch:
            return Err(EpochFault(f"{source.member.name} did not send its state", epoch))
        return Ok((Position(reply.position_epoch, reply.state.sequence), reply.state))

    async def _install(
        self,
        epoch: int,
        promises: Promises,
        composition: Composition,
        position: Position,
        state: ControlState,
    ) -> set[str]:
        """Install the state in the new group; returns the identities of the members that stored it."""

        async def install_at(member: str) -> str | None:
            answer = promises.granted[member]
            has_state = answer.position == position
            request = InstallState(epoch, self._member.info.member, position, None if has_state else state)
            verdict = await self._durable_call(answer.member.address, request, self._member.install)
            return member if verdict is not None and verdict.done else None

        stored = await asyncio.gather(*(install_at(member) for member in composition.group))
        return {member for member in stored if member is not None}

    async def _durable_call(
        self, address: str, request: object, local: Callable[..., Awaitable[Verdict]]
    ) -> Verdict | None:
        """Call a member whose answer needs a disk write; `local` handles a call to this member itself."""
        if address == self._member.info.address:
            return await local(request)
        answer = await self._caller.call(address, request, self._timings.durable_call_s)
        verdict = answer.ok()
        return verdict if isinstance(verdict, Verdict) else None

    async def _accept(self, record: EpochRecord, promises: Promises) -> Result[EpochRecord, EpochFault]:
        """Propose the record to all known members; returns it once a majority of each quorum accepted it."""
        addresses = {voter.member: voter.address for voter in record.voters()}
        known = self._member.persisted.record
        for witness in known.witnesses if known is not None else ():
            addresses.setdefault(witness.member, witness.address)
        for member, answer in promises.granted.items():
            addresses.setdefault(member, answer.member.address)
        tasks = {
            asyncio.create_task(self._durable_call(address, AcceptEpoch(record), self._member.accept)): member
            for member, address in addresses.items()
        }
        votes: set[str] = set()
        waiting = set(tasks)
        for task in tasks:  # calls that are still open when the record is chosen go on to deliver it
            self._open_calls.add(task)
            task.add_done_callback(self._open_calls.discard)
        while waiting:
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                verdict = task.result()
                if verdict is not None and verdict.done:
                    votes |= _vote_names(promises, tasks[task])
            if self._member.info.member in votes and has_majorities(record.quorums, votes):
                return Ok(record)
        return Err(EpochFault("the record was not accepted by enough witnesses", record.epoch))


def _former_voters(
    superseded: EpochRecord | None, quorums: tuple[Quorum, ...], witness_quorum: Quorum
) -> tuple[MemberInfo, ...]:
    """The voters of the quorums that a new record inherits, except its own witnesses."""
    if superseded is None:
        return ()
    names = {voter for quorum in quorums for voter in quorum.voters if voter not in witness_quorum.voters}
    return tuple(voter for voter in superseded.voters() if voter.member in names)


def _vote_names(promises: Promises, member: str) -> set[str]:
    """The voter names under which an acceptance by this member counts."""
    answer = promises.granted.get(member)
    return set(voter_names(answer.member, answer.founder)) if answer is not None else {member}


def _state_sources(promises: Promises) -> list[PrepareAnswer]:
    """The answers of members that hold every entry that may have been committed under the newest record."""
    record = promises.record
    if record is None:
        return []
    return [
        answer
        for member, answer in promises.granted.items()
        if member in record.group and answer.state_epoch >= record.epoch
    ]
