"""The change of epoch: promises, the newest state, its installation, and the acceptance of the new record."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.leaving import Leavers
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

LATE_ANSWER_S = 0.06  # for further answers, once those that are needed are there


class EpochFault(Exception):
    """No new epoch; `promised` is the highest epoch met, `newest` the newest record."""

    def __init__(self, text: str, promised: int = 0) -> None:
        super().__init__(text)
        self.promised = promised
        self.newest: EpochRecord | None = None


@dataclass(frozen=True, slots=True)
class Composition:
    """Who is to be in the new epoch."""

    group: tuple[str, ...]
    witnesses: tuple[MemberInfo, ...]
    copies: int  # members of the group that must store the state, at least


@dataclass(frozen=True, slots=True)
class Found:
    """What the promises told: the newest record, whose majorities it takes, and who promised."""

    record: EpochRecord | None
    quorums: tuple[Quorum, ...]
    granted: dict[str, PrepareAnswer]


Compose = Callable[[Found], Result[Composition, EpochFault]]


@dataclass(slots=True)
class _Inquiry:
    """The answers to one round of promises."""

    asked: dict[str, asyncio.Task[PrepareAnswer | None]] = field(default_factory=dict)
    answers: dict[str, PrepareAnswer] = field(default_factory=dict)

    def votes(self) -> set[str]:
        """The names of all who promised."""
        return {
            name
            for answer in self.answers.values()
            if answer.granted
            for name in voter_names(answer.member, answer.founder)
        }

    def granted(self) -> dict[str, PrepareAnswer]:
        """The answers of those who promised, by identity."""
        return {member: answer for member, answer in self.answers.items() if answer.granted}

    def highest_promise(self) -> int:
        """The highest epoch that anyone told."""
        return max((answer.promised for answer in self.answers.values()), default=0)

    def newest_record(self) -> EpochRecord | None:
        """The newest record that anyone told."""
        return newest_record(answer.record for answer in self.answers.values())

    def is_confirmed(self, record: EpochRecord) -> bool:
        """Whether anyone knows the record to be chosen."""
        return any(
            answer.confirmed and answer.record is not None and answer.record.epoch == record.epoch
            for answer in self.answers.values()
        )


class EpochChange:
    """One attempt to bring about an epoch with this member as its primary."""

    def __init__(self, member: GroupMember, caller: Caller, seeds: tuple[str, ...], leavers: Leavers) -> None:
        self._member = member
        self._caller = caller
        self._seeds = seeds
        self._leavers = leavers
        self._timings = member.timings
        self._late_calls: set[asyncio.Task[Verdict | None]] = set()

    async def run(
        self, epoch: int, compose: Compose, newcomers: Iterable[MemberInfo] = (), trial: bool = False
    ) -> Result[EpochRecord, EpochFault]:
        """The record of the new epoch, once chosen; with `trial`, only whether promises would be given."""
        inquiry = _Inquiry()
        try:
            result = await self._attempt(epoch, compose, tuple(newcomers), trial, inquiry)
        finally:
            for task in inquiry.asked.values():
                task.cancel()
        if isinstance(result, Err):
            result.err_value.newest = inquiry.newest_record()
        return result

    async def _attempt(
        self,
        epoch: int,
        compose: Compose,
        newcomers: tuple[MemberInfo, ...],
        trial: bool,
        inquiry: _Inquiry,
    ) -> Result[EpochRecord, EpochFault]:
        prepared = await self._prepare(epoch, inquiry, newcomers, trial)
        if isinstance(prepared, Err):
            return Err(prepared.err_value)
        found = prepared.ok_value
        composed = compose(found)
        if isinstance(composed, Err):
            return Err(composed.err_value)
        composition = composed.ok_value
        if trial:
            return Ok(self._record(epoch, composition.group, composition.witnesses, found))
        return await self._establish(epoch, found, composition)

    def _record(
        self,
        epoch: int,
        group: tuple[str, ...],
        witnesses: tuple[MemberInfo, ...],
        found: Found,
    ) -> EpochRecord:
        deciders = Quorum(tuple(witness.member for witness in witnesses))
        merged = merged_quorums(found.quorums, deciders)
        former = _former_voters(found.record, merged, deciders)
        return EpochRecord(epoch, self._member.info.member, group, witnesses, merged, former)

    # Promises

    async def _prepare(
        self, epoch: int, inquiry: _Inquiry, newcomers: tuple[MemberInfo, ...], trial: bool
    ) -> Result[Found, EpochFault]:
        request = PrepareEpoch(epoch, self._member.info, trial)
        self._ask(inquiry, request, [self._member.info.address, *self._known_addresses()])
        self._ask(inquiry, request, [newcomer.address for newcomer in newcomers])
        self._ask(inquiry, request, self._leavers.addresses())
        enough_at: float | None = None
        while True:
            self._collect(inquiry)
            record = inquiry.newest_record()
            if record is not None:
                self._ask(inquiry, request, [voter.address for voter in record.voters()])
            own = inquiry.answers.get(self._member.info.member)
            if own is not None and not own.granted:
                return Err(EpochFault(own.reason, inquiry.highest_promise()))
            found = self._found(inquiry)
            waiting = [task for task in inquiry.asked.values() if not task.done()]
            if found is not None and enough_at is None:
                enough_at = self._member.clock()
            if not waiting:
                break
            if enough_at is None:
                await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
                continue
            remaining_s = enough_at + self._patience_s(record, trial) - self._member.clock()
            if remaining_s <= 0:
                break
            await asyncio.wait(waiting, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED)
        if found is None:
            return Err(EpochFault(self._shortfall(inquiry), inquiry.highest_promise()))
        return Ok(found)

    def _patience_s(self, record: EpochRecord | None, trial: bool) -> float:
        """How long to wait for further answers, once those that are needed are there."""
        if trial:
            return 0.0
        return LATE_ANSWER_S if record is not None else self._timings.founding_wait_s

    def _known_addresses(self) -> list[str]:
        record = self._member.image.record
        if record is not None:
            return [voter.address for voter in record.voters()]
        return list(self._seeds)

    def _ask(self, inquiry: _Inquiry, request: PrepareEpoch, addresses: Iterable[str]) -> None:
        for address in addresses:
            if address not in inquiry.asked:
                inquiry.asked[address] = asyncio.create_task(self._ask_one(address, request))

    async def _ask_one(self, address: str, request: PrepareEpoch) -> PrepareAnswer | None:
        if address == self._member.info.address:
            return await self._member.prepare(request)
        answer = await self._caller.call(address, request, self._timings.durable_call_s)
        found = answer.ok()
        return found if isinstance(found, PrepareAnswer) else None

    def _collect(self, inquiry: _Inquiry) -> None:
        for task in inquiry.asked.values():
            answer = task.result() if task.done() else None
            if answer is not None:
                inquiry.answers[answer.member.member] = answer

    def _found(self, inquiry: _Inquiry) -> Found | None:
        """What the promises told, if they are enough."""
        record = inquiry.newest_record()
        quorums: tuple[Quorum, ...]
        if record is None:
            quorums = (Quorum(tuple(SEED_PREFIX + seed for seed in self._seeds)),)
        else:
            quorums = record.quorums[-1:] if inquiry.is_confirmed(record) else record.quorums
        if not has_majorities(quorums, inquiry.votes()):
            return None
        found = Found(record, quorums, inquiry.granted())
        if self._member.info.member not in found.granted or (record is not None and not _sources(found)):
            return None
        return found

    def _shortfall(self, inquiry: _Inquiry) -> str:
        reasons = [
            f"{answer.member.name}: {answer.reason or 'promised'}" for answer in inquiry.answers.values()
        ]
        return f"not enough promises ({'; '.join(reasons) or 'no answers'})"

    # Installation and acceptance

    async def _establish(
        self, epoch: int, found: Found, composition: Composition
    ) -> Result[EpochRecord, EpochFault]:
        start = await self._starting_state(epoch, found)
        if isinstance(start, Err):
            return Err(start.err_value)
        position, state = start.ok_value
        group = await self._install(epoch, found, composition, position, state)
        if self._member.info.member not in group:
            return Err(EpochFault("the own disk did not take the state", epoch))
        if len(group) < composition.copies:
            return Err(EpochFault(f"only {sorted(group)} took the state", epoch))
        members = tuple(member for member in composition.group if member in group)
        record = self._record(epoch, members, composition.witnesses, found)
        return await self._accept(record, found)

    async def _starting_state(
        self, epoch: int, found: Found
    ) -> Result[tuple[Position, ControlState], EpochFault]:
        own = self._member.image
        if found.record is None:
            return Ok((Position(), ControlState()))
        source = max(_sources(found), key=lambda answer: answer.position.key())
        if source.position == own.position:
            return Ok((own.position, own.state))
        answer = await self._caller.call(
            source.member.address, FetchState(epoch), self._timings.durable_call_s
        )
        image = answer.ok()
        if not isinstance(image, StateImage) or image.epoch != epoch:
            return Err(EpochFault(f"{source.member.name} did not hand over its state", epoch))
        return Ok((Position(image.position_epoch, image.state.sequence), image.state))

    async def _install(
        self,
        epoch: int,
        found: Found,
        composition: Composition,
        position: Position,
        state: ControlState,
    ) -> set[str]:
        """Who of the new group has stored the state."""

        async def install_at(member: str) -> str | None:
            answer = found.granted[member]
            held = answer.position == position
            request = InstallState(epoch, self._member.info.member, position, None if held else state)
            verdict = await self._durable_call(answer.member.address, request, self._member.install)
            return member if verdict is not None and verdict.done else None

        stored = await asyncio.gather(*(install_at(member) for member in composition.group))
        return {member for member in stored if member is not None}

    async def _durable_call(
        self, address: str, request: object, local: Callable[..., Awaitable[Verdict]]
    ) -> Verdict | None:
        if address == self._member.info.address:
            return await local(request)
        answer = await self._caller.call(address, request, self._timings.durable_call_s)
        verdict = answer.ok()
        return verdict if isinstance(verdict, Verdict) else None

    async def _accept(self, record: EpochRecord, found: Found) -> Result[EpochRecord, EpochFault]:
        addresses = {voter.member: voter.address for voter in record.voters()}
        known = self._member.image.record
        for witness in known.witnesses if known is not None else ():
            addresses.setdefault(witness.member, witness.address)
        for member, answer in found.granted.items():
            addresses.setdefault(member, answer.member.address)
        tasks = {
            asyncio.create_task(self._durable_call(address, AcceptEpoch(record), self._member.accept)): member
            for member, address in addresses.items()
        }
        votes: set[str] = set()
        waiting = set(tasks)
        for task in tasks:  # those that come late bring the record to the rest
            self._late_calls.add(task)
            task.add_done_callback(self._late_calls.discard)
        while waiting:
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                verdict = task.result()
                if verdict is not None and verdict.done:
                    votes |= _vote_names(found, tasks[task])
            if self._member.info.member in votes and has_majorities(record.quorums, votes):
                return Ok(record)
        return Err(EpochFault("the record was not accepted by enough witnesses", record.epoch))


def _former_voters(
    superseded: EpochRecord | None, quorums: tuple[Quorum, ...], deciders: Quorum
) -> tuple[MemberInfo, ...]:
    """The voters of the sets that a new record takes over, but for its witnesses."""
    if superseded is None:
        return ()
    names = {voter for quorum in quorums for voter in quorum.voters if voter not in deciders.voters}
    return tuple(voter for voter in superseded.voters() if voter.member in names)


def _vote_names(found: Found, member: str) -> set[str]:
    """Under which names an acceptance by this member counts."""
    answer = found.granted.get(member)
    return set(voter_names(answer.member, answer.founder)) if answer is not None else {member}


def _sources(found: Found) -> list[PrepareAnswer]:
    """The members that hold everything that may have been committed under the newest record."""
    record = found.record
    if record is None:
        return []
    return [
        answer
        for member, answer in found.granted.items()
        if member in record.group and answer.state_epoch >= record.epoch
    ]
