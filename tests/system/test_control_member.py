"""What one member refuses, message by message: each is a step of the argument that nothing is lost."""

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


class Alone:
    """A backup whose lease has run out, and the two others, which are dark and whose part the test plays."""

    def __init__(
        self, member: GroupMember, record: EpochRecord, primary: MemberInfo, third: MemberInfo
    ) -> None:
        self.member = member
        self.record = record
        self.primary = primary
        self.third = third

    @property
    def position(self) -> Position:
        """How far the member's state is."""
        return self.member.image.position

    def heartbeat(self, epoch: int, echo: float | None = None) -> Heartbeat:
        """One of the primary."""
        return Heartbeat(epoch, self.primary, self.member.image.state.sequence, True, echo)

    def append(self, epoch: int, previous: Position) -> AppendEntries:
        """One entry of the primary."""
        return AppendEntries(epoch, previous, (ENTRY,), 0)


def _story(act: Callable[[Alone], Awaitable[None]]) -> None:
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
        await world.until(lambda: member.clock() >= member._lease_until, 3.0, "the end of the lease")
        record = member.image.record
        assert record is not None
        infos = {info.name: info for info in record.witnesses}
        await act(Alone(member, record, infos[primary.name], infos[third.name]))

    run_world(story())


async def _promised(alone: Alone, ahead: int = 5) -> int:
    epoch = alone.member.highest_epoch + ahead
    assert (await alone.member.prepare(PrepareEpoch(epoch, alone.third))).granted
    return epoch


def test_a_promise_binds_also_for_trials_and_for_the_same_epoch_of_another() -> None:
    async def act(alone: Alone) -> None:
        epoch = await _promised(alone)
        for trial in (False, True):
            for asked in (epoch - 1, epoch):
                answer = await alone.member.prepare(PrepareEpoch(asked, alone.primary, trial))
                assert not answer.granted
        assert (await alone.member.prepare(PrepareEpoch(epoch, alone.third))).granted  # asked again

    _story(act)


def test_a_promise_asked_for_again_does_not_take_back_a_record_that_is_being_stored() -> None:
    async def act(alone: Alone) -> None:
        # Given a promise, and a record of a later epoch of the same candidate that is on its way to the disk
        epoch = await _promised(alone)
        later = replace(alone.record, epoch=epoch + 1, primary=alone.third.member)
        storing = asyncio.create_task(alone.member.accept(AcceptEpoch(later)))
        await asyncio.sleep(0.001)
        assert alone.member.image.promised == epoch
        # When the request for the promise comes once more
        answer = await alone.member.prepare(PrepareEpoch(epoch, alone.third))
        # Then it is refused, and the record stands
        assert (await storing).done
        assert not answer.granted
        assert alone.member.image.promised == epoch + 1

    _story(act)


def test_the_state_is_handed_to_the_promised_epoch_alone() -> None:
    async def act(alone: Alone) -> None:
        epoch = await _promised(alone)
        assert (await alone.member.fetch(FetchState(epoch))).state == alone.member.image.state
        for other in (epoch - 1, epoch + 1):
            with pytest.raises(StorageFault):
                await alone.member.fetch(FetchState(other))

    _story(act)


def test_a_starting_state_is_taken_only_for_the_promise_and_at_the_position_that_is_claimed() -> None:
    async def act(alone: Alone) -> None:
        epoch = await _promised(alone)
        before = alone.member.image
        wrong = [
            InstallState(epoch - 1, alone.third.member, alone.position, ControlState()),
            InstallState(epoch, alone.primary.member, alone.position, ControlState()),
            InstallState(epoch, alone.third.member, Position(1, alone.position.sequence + 1), None),
        ]
        for request in wrong:
            assert not (await alone.member.install(request)).done
        assert alone.member.image == before
        right = InstallState(epoch, alone.third.member, alone.position, None)
        assert (await alone.member.install(right)).done

    _story(act)


def test_a_record_is_accepted_neither_below_the_promise_nor_from_another_candidate() -> None:
    async def act(alone: Alone) -> None:
        epoch = await _promised(alone)
        below = replace(alone.record, epoch=epoch - 1, primary=alone.primary.member)
        foreign = replace(alone.record, epoch=epoch, primary=alone.primary.member)
        for record in (below, foreign):
            assert not (await alone.member.accept(AcceptEpoch(record))).done
        assert alone.member.image.record == alone.record
        own = replace(alone.record, epoch=epoch, primary=alone.third.member)
        assert (await alone.member.accept(AcceptEpoch(own))).done

    _story(act)


def test_entries_are_taken_only_in_their_epoch_and_after_exactly_what_is_held() -> None:
    async def act(alone: Alone) -> None:
        epoch = alone.record.epoch
        here = alone.position
        for previous in (Position(here.epoch, here.sequence - 1), Position(here.epoch, here.sequence + 1)):
            assert not (await alone.member.append(alone.append(epoch, previous))).done
        assert not (await alone.member.append(alone.append(epoch - 1, here))).done
        assert (await alone.member.append(alone.append(epoch, here))).done
        await _promised(alone)
        assert not (await alone.member.append(alone.append(epoch, alone.position))).done

    _story(act)


def test_an_epoch_that_was_handed_over_is_granted_nothing_more() -> None:
    async def act(alone: Alone) -> None:
        epoch = alone.record.epoch
        assert (await alone.member.heartbeat(alone.heartbeat(epoch))).granted
        alone.member.handle_departing(Departing(epoch, alone.primary.member, was_primary=True))
        assert not (await alone.member.heartbeat(alone.heartbeat(epoch))).granted
        assert (await alone.member.prepare(PrepareEpoch(epoch + 1, alone.third))).granted

    _story(act)


def test_only_an_own_reading_of_this_life_extends_authority_and_currency() -> None:
    async def act(alone: Alone) -> None:
        epoch = alone.record.epoch
        until = (alone.member.authority_until(), alone.member._current_until)
        never_told = alone.member.clock() + 0.1
        await alone.member.heartbeat(alone.heartbeat(epoch, never_told))
        assert (alone.member.authority_until(), alone.member._current_until) == until
        told = (await alone.member.heartbeat(alone.heartbeat(epoch))).clock
        await alone.member.heartbeat(alone.heartbeat(epoch, told))
        assert alone.member.authority_until() == told + alone.member.timings.lease_s
        assert alone.member.is_current()

    _story(act)


# Guards against: a late word, or one with a position that is not held, makes a state look new (CONFIG).
def test_the_age_of_a_state_counts_from_the_newest_reading_that_came_back_with_a_position_held_here() -> None:
    async def act(alone: Alone) -> None:
        member, epoch = alone.member, alone.record.epoch
        here = member.image.state.sequence
        first = (await member.heartbeat(alone.heartbeat(epoch))).clock
        await asyncio.sleep(0.1)
        second = (await member.heartbeat(alone.heartbeat(epoch))).clock
        await member.heartbeat(alone.heartbeat(epoch, second))
        await asyncio.sleep(0.1)
        assert member.state_age_s() == member.clock() - second
        # When an older reading comes late, then the age stays
        await member.heartbeat(alone.heartbeat(epoch, first))
        assert member.state_age_s() == member.clock() - second
        # And when a newer one comes with a position that is not held, and an older position comes after it
        third = (await member.heartbeat(alone.heartbeat(epoch))).clock
        await asyncio.sleep(0.1)
        await member.heartbeat(Heartbeat(epoch, alone.primary, here + 1, True, third))
        await member.heartbeat(alone.heartbeat(epoch))
        # Then the member is current, and tells no age
        assert member.is_current()
        assert member.state_age_s() is None

    _story(act)


def test_what_is_published_never_goes_back() -> None:
    async def act(alone: Alone) -> None:
        published = alone.member.published
        alone.member.publish(replace(published, sequence=published.sequence - 1))
        assert alone.member.published is published

    _story(act)


def test_entries_that_are_not_known_to_be_committed_are_not_published() -> None:
    async def act(alone: Alone) -> None:
        before = alone.member.published
        request = AppendEntries(
            alone.record.epoch, alone.position, (DepartureNotice("i-9", "draining"),), before.sequence
        )
        assert (await alone.member.append(request)).done
        assert alone.member.published is before
        await alone.member.heartbeat(alone.heartbeat(alone.record.epoch))
        assert "i-9" in alone.member.published.departures

    _story(act)
