"""Unit tests of safety conditions that no scenario test covers by itself."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest
from result import Err, Ok, Result

from arrowfold.internal.channel import ChannelError
from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.epochs import (
    Composition,
    EpochChange,
    EpochFault,
    Promises,
    _PrepareRound,
    _state_sources,
)
from arrowfold.replication.membership import Membership
from arrowfold.replication.messages import Heartbeat, PrepareAnswer, PrepareEpoch, Verdict
from arrowfold.replication.primary import PrimaryTerm
from arrowfold.replication.proposals import Proposal, ReplicationFault
from arrowfold.replication.records import EpochRecord, Position, Quorum
from arrowfold.replication.replica import Replica
from arrowfold.replication.state import ControlState
from tests.system.control_simulation.machines import Machine
from tests.system.control_simulation.world import World, run_world

Act = Callable[[World, Machine], Awaitable[None]]


def _info(name: str) -> MemberInfo:
    return MemberInfo(name, name, f"{name}:1", f"{name}:1", "zone")


def _promise(
    info: MemberInfo, record: EpochRecord | None, confirmed: bool = False, state_epoch: int = 0
) -> PrepareAnswer:
    return PrepareAnswer(
        granted=True,
        member=info,
        founder=False,
        promised=9,
        record=record,
        confirmed=confirmed,
        state_epoch=state_epoch,
        position=Position(state_epoch, 1),
        reason="",
    )


def _with_primary(act: Act) -> None:
    """Run `act` on a complete group of three and its primary."""

    async def story() -> None:
        world = World(71)
        world.start_all()
        assert await world.change(0, 1, 9.0) == 1
        await world.until(world.is_whole, 6.0, "a whole group")
        await world.until(world.is_secured, 6.0, "a confirmed group")
        await act(world, await world.until_primary())

    run_world(story())


def _replica(machine: Machine) -> Replica:
    assert machine.replica is not None
    return machine.replica


def _term(machine: Machine) -> PrimaryTerm:
    term = _replica(machine).term
    assert term is not None
    return term


def _backup(world: World, primary: Machine) -> Machine:
    return next(machine for machine in world.machines.values() if machine is not primary)


# Grants of a witness


def test_a_heartbeat_of_an_epoch_whose_record_is_not_stored_is_not_granted() -> None:
    async def act(world: World, primary: Machine) -> None:
        member = _replica(_backup(world, primary)).group_member
        info = _replica(primary).group_member.info
        epoch = member.highest_epoch
        assert (await member.heartbeat(Heartbeat(epoch, info, 1, True))).granted
        assert not (await member.heartbeat(Heartbeat(epoch + 5, info, 1, True))).granted

    _with_primary(act)


def test_a_witness_with_an_unhealthy_disk_refuses_promises_and_trials() -> None:
    async def act(world: World, primary: Machine) -> None:
        witness = _backup(world, primary)
        member = _replica(witness).group_member
        member._lease_until = 0.0
        request = PrepareEpoch(member.highest_epoch + 5, _info("candidate"), trial=True)
        assert (await member.prepare(request)).granted
        witness.hang_disk(True)
        stalled = asyncio.create_task(member.prepare(replace(request, trial=False)))
        await asyncio.sleep(2 * member.timings.disk_s)
        member._lease_until = 0.0
        refused = await member.prepare(replace(request, epoch=request.epoch + 1))
        assert not refused.granted and "disk" in refused.reason
        stalled.cancel()

    _with_primary(act)


# Conditions for a primary


def test_a_primary_that_promised_an_epoch_to_another_is_not_active() -> None:
    async def act(world: World, primary: Machine) -> None:
        member = _replica(primary).group_member
        member._lease_until = 0.0
        request = PrepareEpoch(member.highest_epoch + 1, _info("candidate"))
        assert (await member.prepare(request)).granted
        assert not _replica(primary).is_primary()

    _with_primary(act)


def test_a_read_that_was_queued_before_a_freeze_is_not_answered_after_it() -> None:
    async def act(world: World, primary: Machine) -> None:
        # Given a read that is queued when the primary freezes
        def decide(state: ControlState) -> Proposal[int]:
            return Proposal(state.configuration_version)

        assert primary.life is not None
        work = _replica(primary).propose(decide)
        reading = primary.loop.create_task(work, context=primary.life.context)
        await asyncio.sleep(0)
        primary.freeze()
        # When another primary acknowledges a change before the first one thaws
        assert await world.change(1, 2, 9.0, avoiding=primary) == 2
        primary.thaw()
        await asyncio.sleep(0.001)
        # Then the read fails
        answer: Result[int, ReplicationFault] = await asyncio.wait_for(reading, 1.0)
        assert answer.is_err()

    _with_primary(act)


def test_a_primary_with_an_unhealthy_disk_hands_over() -> None:
    async def act(world: World, primary: Machine) -> None:
        term = _term(primary)
        _replica(primary).group_member.durable.is_healthy = lambda timeout_s: False  # type: ignore[method-assign]
        term.tick()
        assert term.ended and term.hands_over

    _with_primary(act)


def test_a_membership_with_too_few_copies_is_not_targeted() -> None:
    async def act(world: World, primary: Machine) -> None:
        term = _term(primary)
        for witness in term.record.witness_ids():
            term._peers.get(witness).healthy = False
        assert term._compute_membership() == Membership(term.record.group, term.record.witnesses)

    _with_primary(act)


class _AcceptsLate:
    """The `Caller` of a primary whose record changes before its call is answered."""

    def __init__(self, term: PrimaryTerm) -> None:
        self._term = term

    async def call(self, address: str, request: Any, timeout_s: float) -> Result[Any, ChannelError]:
        self._term.record = replace(self._term.record, epoch=self._term.record.epoch + 1)
        return Ok(Verdict(True, self._term.record.epoch - 1))


def test_the_acceptance_of_a_superseded_record_grants_nothing() -> None:
    async def act(world: World, primary: Machine) -> None:
        term = _term(primary)
        witness = next(info for info in term.record.witnesses if info.member != _replica(primary).member)
        peer = term._peers.get(witness.member)
        before = peer.granted_at
        term._caller = _AcceptsLate(term)
        await term._send_record(witness, term.record)
        assert peer.granted_at == before

    _with_primary(act)


class _ComposesOnce:
    """A fake change of epoch: calls `compose` on given promises and fails."""

    def __init__(self, promises: Promises) -> None:
        self._promises = promises
        self.composed: Result[Composition, EpochFault] | None = None

    async def run(self, epoch: int, compose: Any, newcomers: Any = (), trial: bool = False) -> Any:
        self.composed = compose(self._promises)
        return Err(EpochFault("only composed"))


def _composed(term: PrimaryTerm, promises: Promises) -> Awaitable[Result[Composition, EpochFault]]:
    async def compose() -> Result[Composition, EpochFault]:
        change = _ComposesOnce(promises)
        term._change = change  # type: ignore[assignment]
        await term._try_epochs(Membership(term.record.group, term.record.witnesses), False)
        assert change.composed is not None
        return change.composed

    return compose()


def test_a_membership_change_requires_the_own_epoch_and_enough_copies() -> None:
    async def act(world: World, primary: Machine) -> None:
        term, own = _term(primary), _replica(primary).member
        record = term.record
        promises = {info.member: _promise(info, record) for info in record.witnesses}
        others = {member: answer for member, answer in promises.items() if member != own}
        later = replace(record, epoch=record.epoch + 1)
        assert (await _composed(term, Promises(record, record.quorums, promises))).is_ok()
        assert (await _composed(term, Promises(later, record.quorums, promises))).is_err()
        assert (await _composed(term, Promises(record, record.quorums, {own: promises[own]}))).is_err()
        assert (await _composed(term, Promises(record, record.quorums, others))).is_err()

    _with_primary(act)


# The release of a leaving member


@pytest.mark.parametrize(
    ("in_group", "voters", "changing", "released"),
    [
        (False, 3, False, True),
        (True, 3, False, False),
        (False, 4, False, False),  # it has to be removed from the witnesses first
        (False, 3, True, False),
    ],
)
def test_a_leaving_member_is_released_once_it_is_not_needed(
    in_group: bool, voters: int, changing: bool, released: bool
) -> None:
    async def act(world: World, primary: Machine) -> None:
        term, own = _term(primary), _replica(primary).member
        leaving = next(member for member in term.record.witness_ids() if member != own)
        group = tuple(member for member in term.record.group if in_group or member != leaving)
        extra = (_info("fourth"),) if voters == 4 else ()
        term.record = replace(term.record, group=group, witnesses=(*term.record.witnesses, *extra))
        term._consider_members = lambda: None  # type: ignore[method-assign]
        term.is_secured = lambda: True  # type: ignore[method-assign]
        term._is_changing, term._target_membership = changing, None
        assert term.leave(leaving) == released

    _with_primary(act)


# A new epoch


def test_a_state_source_is_in_the_newest_group_and_stored_its_initial_state() -> None:
    a, b, c = (_info(name) for name in "abc")
    record = EpochRecord(5, "a", ("a", "b"), (a, b, c), (Quorum(("a", "b", "c")),))
    promises = {
        "a": _promise(a, record, state_epoch=5),
        "b": _promise(b, record, state_epoch=4),
        "c": _promise(c, record, state_epoch=5),
    }
    assert _state_sources(Promises(record, record.quorums, promises)) == [promises["a"]]


def test_superseding_a_record_takes_majorities_of_all_its_quorums_until_it_is_confirmed() -> None:
    async def act(world: World, primary: Machine) -> None:
        own = _replica(primary).group_member.info
        b, c, d, e = (_info(name) for name in "bcde")
        before, now = (
            Quorum(tuple(info.member for info in infos)) for infos in ((own, b, d, e), (own, b, c))
        )
        record = EpochRecord(5, own.member, (own.member, "b"), (own, b, c), (before, now))
        for confirmed, expected in ((False, None), (True, (now,))):
            prepare_round = _PrepareRound()
            prepare_round.answers = {
                own.member: _promise(own, record, confirmed, state_epoch=5),
                "b": _promise(b, record, state_epoch=5),
            }
            found = _replica(primary)._change._evaluate_promises(prepare_round)
            assert (found.quorums if found is not None else None) == expected

    _with_primary(act)


class _StoredBy(EpochChange):
    """A change of epoch whose initial state is stored by `stored`, and whose record all members accept."""

    stored: set[str]

    async def _install(self, *_: Any) -> set[str]:
        return self.stored

    async def _accept(self, record: EpochRecord, promises: Promises) -> Result[EpochRecord, EpochFault]:
        return Ok(record)


@pytest.mark.parametrize(("stored", "starts"), [("own other", True), ("own", False), ("other third", False)])
def test_an_epoch_starts_only_if_enough_disks_and_the_candidates_own_stored_its_state(
    stored: str, starts: bool
) -> None:
    async def act(world: World, primary: Machine) -> None:
        replica = _replica(primary)
        infos = {"own": replica.group_member.info, "other": _info("other"), "third": _info("third")}
        change = _StoredBy(replica.group_member, replica._caller, (), replica._leaving_members)
        change.stored = {infos[name].member for name in stored.split()}
        members = tuple(info.member for info in infos.values())
        promises = {info.member: _promise(info, None) for info in infos.values()}
        found = Promises(None, (Quorum(members),), promises)
        established = await change._establish(9, found, Composition(members, tuple(infos.values()), 2))
        assert established.is_ok() == starts

    _with_primary(act)
