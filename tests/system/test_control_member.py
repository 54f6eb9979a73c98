"""The refusals of a single member, message by message; the safety of replication rests on each of them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.member import GroupMember
from arrowfold.replication.messages import (
    AcceptEpoch,
    AppendEntries,
    Departing,
    FetchState,
    Heartbeat,
    InstallState,
    PrepareEpoch,
)
from arrowfold.replication.records import EpochRecord, Position
from arrowfold.replication.state import ConfigurationStep, ControlState, DepartureNotice
from arrowfold.storage.faults import StorageFault
from tests.system.control_simulation.history import document
from tests.system.control_simulation.world import World, run_world

ENTRY = ConfigurationStep(9, b"digest", document(9, "nine"))


class IsolatedBackup:
    """A backup whose granted lease has expired; the test sends the messages of the two stopped members."""

    def __init__(
        self, member: GroupMember, record: EpochRecord, primary: MemberInfo, third: MemberInfo
    ) -> None:
        self.member = member
        self.record = record
        self.primary = primary
        self.third = third

    @property
    def position(self) -> Position:
        """The log position of the member's state."""
        return self.member.persisted.position

    def heartbeat(self, epoch: int, echo: float | None = None) -> Heartbeat:
        """A heartbeat of the primary."""
        return Heartbeat(epoch, self.primary, self.member.persisted.state.sequence, True, echo)

    def append(self, epoch: int, previous: Position) -> AppendEntries:
        """A request of the primary to append one entry."""
        return AppendEntries(epoch, previous, (ENTRY,), 0)


def _story(act: Callable[[IsolatedBackup], Awaitable[None]]) -> None:
    """Run `act` on a backup of a group of three whose other members have been killed."""

    async def story() -> None:
        world = World(61)
        world.start_all()
        assert await world.change(0, 1, 9.0) == 1
        await world.until(world.is_whole, 6.0, "a whole group")
        primary = await world.until_primary()
        backup, third = (machine for machine in world.machines.values() if machine is not primary)
        assert backup.replica is not None
        member = backup.replica.group_member
        for machine in (primary, third):
            machine.kill()
        await world.until(lambda: member.clock() >= member._lease_until, 3.0, "the expiry of the lease")
        record = member.persisted.record
        assert record is not None
        infos = {info.name: info for info in record.witnesses}
        await act(IsolatedBackup(member, record, infos[primary.name], infos[third.name]))

    run_world(story())


async def _promised(isolated: IsolatedBackup, ahead: int = 5) -> int:
    epoch = isolated.member.highest_epoch + ahead
    assert (await isolated.member.prepare(PrepareEpoch(epoch, isolated.third))).granted
    return epoch


def test_a_promise_binds_also_for_trials_and_for_the_same_epoch_of_another() -> None:
    async def act(isolated: IsolatedBackup) -> None:
        epoch = await _promised(isolated)
        for trial in (False, True):
            for requested in (epoch - 1, epoch):
                answer = await isolated.member.prepare(PrepareEpoch(requested, isolated.primary, trial))
                assert not answer.granted
        assert (
            await isolated.member.prepare(PrepareEpoch(epoch, isolated.third))
        ).granted  # repeated request

    _story(act)


def test_a_repeated_promise_does_not_undo_a_record_that_is_being_stored() -> None:
    async def act(isolated: IsolatedBackup) -> None:
        # Given a promise, and a record of a later epoch of the same candidate whose write is in progress
        epoch = await _promised(isolated)
        later = replace(isolated.record, epoch=epoch + 1, primary=isolated.third.member)
        storing = asyncio.create_task(isolated.member.accept(AcceptEpoch(later)))
        await asyncio.sleep(0.001)
        assert isolated.member.persisted.promised == epoch
        # When the request for the promise is repeated
        answer = await isolated.member.prepare(PrepareEpoch(epoch, isolated.third))
        # Then it is refused, and the record remains
        assert (await storing).done
        assert not answer.granted
        assert isolated.member.persisted.promised == epoch + 1

    _story(act)


def test_the_state_is_sent_only_to_the_candidate_of_the_promised_epoch() -> None:
    async def act(isolated: IsolatedBackup) -> None:
        epoch = await _promised(isolated)
        assert (await isolated.member.fetch(FetchState(epoch))).state == isolated.member.persisted.state
        for other in (epoch - 1, epoch + 1):
            with pytest.raises(StorageFault):
                await isolated.member.fetch(FetchState(other))

    _story(act)


def test_an_initial_state_is_stored_only_for_the_promised_epoch_and_at_the_claimed_position() -> None:
    async def act(isolated: IsolatedBackup) -> None:
        epoch = await _promised(isolated)
        before = isolated.member.persisted
        wrong = [
            InstallState(epoch - 1, isolated.third.member, isolated.position, ControlState()),
            InstallState(epoch, isolated.primary.member, isolated.position, ControlState()),
            InstallState(epoch, isolated.third.member, Position(1, isolated.position.sequence + 1), None),
        ]
        for request in wrong:
            assert not (await isolated.member.install(request)).done
        assert isolated.member.persisted == before
        right = InstallState(epoch, isolated.third.member, isolated.position, None)
        assert (await isolated.member.install(right)).done

    _story(act)


def test_a_record_is_accepted_neither_below_the_promise_nor_from_another_candidate() -> None:
    async def act(isolated: IsolatedBackup) -> None:
        epoch = await _promised(isolated)
        below = replace(isolated.record, epoch=epoch - 1, primary=isolated.primary.member)
        foreign = replace(isolated.record, epoch=epoch, primary=isolated.primary.member)
        for record in (below, foreign):
            assert not (await isolated.member.accept(AcceptEpoch(record))).done
        assert isolated.member.persisted.record == isolated.record
        own = replace(isolated.record, epoch=epoch, primary=isolated.third.member)
        assert (await isolated.member.accept(AcceptEpoch(own))).done

    _story(act)


def test_entries_are_stored_only_in_their_epoch_and_at_the_next_position() -> None:
    async def act(isolated: IsolatedBackup) -> None:
        epoch = isolated.record.epoch
        here = isolated.position
        for previous in (Position(here.epoch, here.sequence - 1), Position(here.epoch, here.sequence + 1)):
            assert not (await isolated.member.append(isolated.append(epoch, previous))).done
        assert not (await isolated.member.append(isolated.append(epoch - 1, here))).done
        assert (await isolated.member.append(isolated.append(epoch, here))).done
        await _promised(isolated)
        assert not (await isolated.member.append(isolated.append(epoch, isolated.position))).done

    _story(act)


def test_heartbeats_of_an_epoch_that_was_handed_over_are_not_granted() -> None:
    async def act(isolated: IsolatedBackup) -> None:
        epoch = isolated.record.epoch
        assert (await isolated.member.heartbeat(isolated.heartbeat(epoch))).granted
        isolated.member.handle_departing(Departing(epoch, isolated.primary.member, was_primary=True))
        assert not (await isolated.member.heartbeat(isolated.heartbeat(epoch))).granted
        assert (await isolated.member.prepare(PrepareEpoch(epoch + 1, isolated.third))).granted

    _story(act)


def test_only_an_echo_of_a_clock_reading_of_this_run_extends_authority_and_currency() -> None:
    async def act(isolated: IsolatedBackup) -> None:
        epoch = isolated.record.epoch
        until = (isolated.member.authority_until(), isolated.member._current_until)
        never_sent = isolated.member.clock() + 0.1
        await isolated.member.heartbeat(isolated.heartbeat(epoch, never_sent))
        assert (isolated.member.authority_until(), isolated.member._current_until) == until
        sent = (await isolated.member.heartbeat(isolated.heartbeat(epoch))).clock
        await isolated.member.heartbeat(isolated.heartbeat(epoch, sent))
        assert isolated.member.authority_until() == sent + isolated.member.timings.lease_s
        assert isolated.member.is_current()

    _story(act)


# Guards against a late echo, or one with a position not stored here, making a state look newer than it is.
def test_the_age_of_a_state_counts_from_the_newest_echo_whose_position_is_stored_here() -> None:
    async def act(isolated: IsolatedBackup) -> None:
        member, epoch = isolated.member, isolated.record.epoch
        here = member.persisted.state.sequence
        first = (await member.heartbeat(isolated.heartbeat(epoch))).clock
        await asyncio.sleep(0.1)
        second = (await member.heartbeat(isolated.heartbeat(epoch))).clock
        await member.heartbeat(isolated.heartbeat(epoch, second))
        await asyncio.sleep(0.1)
        assert member.state_age_s() == member.clock() - second
        # When an older echo arrives late, then the age is unchanged
        await member.heartbeat(isolated.heartbeat(epoch, first))
        assert member.state_age_s() == member.clock() - second
        # And when a newer echo arrives with a position not stored here, followed by an older position
        third = (await member.heartbeat(isolated.heartbeat(epoch))).clock
        await asyncio.sleep(0.1)
        await member.heartbeat(Heartbeat(epoch, isolated.primary, here + 1, True, third))
        await member.heartbeat(isolated.heartbeat(epoch))
        # Then the member is current, and reports no age
        assert member.is_current()
        assert member.state_age_s() is None

    _story(act)


def test_the_published_state_never_regresses() -> None:
    async def act(isolated: IsolatedBackup) -> None:
        published = isolated.member.published
        isolated.member.publish(replace(published, sequence=published.sequence - 1))
        assert isolated.member.published is published

    _story(act)


def test_entries_that_are_not_known_to_be_committed_are_not_published() -> None:
    async def act(isolated: IsolatedBackup) -> None:
        before = isolated.member.published
        request = AppendEntries(
            isolated.record.epoch, isolated.position, (DepartureNotice("i-9", "draining"),), before.sequence
        )
        assert (await isolated.member.append(request)).done
        assert isolated.member.published is before
        await isolated.member.heartbeat(isolated.heartbeat(isolated.record.epoch))
        assert "i-9" in isolated.member.published.departures

    _story(act)
