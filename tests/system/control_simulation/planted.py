"""Faults planted in the control state, each of which the schedules must find. None exists in the program."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from result import Ok

from arrowfold.replication import epochs, roles, state
from arrowfold.replication.durable import DurableImage
from arrowfold.replication.epochs import Found
from arrowfold.replication.member import GroupMember
from arrowfold.replication.messages import PrepareAnswer, PrepareEpoch, Verdict
from arrowfold.replication.primary import PrimaryTerm
from arrowfold.replication.records import EntriesAppended
from tests.system.control_simulation.disks import SimulatedFolder
from tests.system.control_simulation.machines import Machine

Planted = Callable[[], AbstractContextManager[Any]]


def _acknowledge_before_sync() -> AbstractContextManager[Any]:
    """Writes are answered before they are durable."""
    return patch.object(SimulatedFolder, "no_file_sync", True, create=True)


def _no_folder_sync() -> AbstractContextManager[Any]:
    """Renames are never made durable."""
    return patch.object(SimulatedFolder, "no_folder_sync", True, create=True)


def _no_amnesia_guard() -> AbstractContextManager[Any]:
    """A wiped machine takes up the identity that it forgot."""
    return patch.object(Machine, "next_identity", lambda self: f"{self.name}-1")


def _everyone_founds() -> AbstractContextManager[Any]:
    """A wiped machine may found a group as on the first start."""
    return patch.object(Machine, "may_found", lambda self: True)


def _no_primary_lease() -> AbstractContextManager[Any]:
    """A primary answers until it hears of another."""
    return patch.object(PrimaryTerm, "has_lease", lambda self: not self.ended)


def _no_witness_lease() -> AbstractContextManager[Any]:
    """A witness promises at any time."""
    return patch.object(GroupMember, "grant_lease", lambda self, holder: None)


def _volatile_promise() -> AbstractContextManager[Any]:
    """A promise is kept in memory alone."""

    async def prepare(self: GroupMember, request: PrepareEpoch) -> PrepareAnswer:
        reason = self._refusal(request)
        if reason is None and not request.trial:
            self.durable.image = replace(
                self.durable.image, promised=request.epoch, promised_to=request.candidate.member
            )
        return self._prepare_answer(reason)

    return patch.object(GroupMember, "prepare", prepare)


def _volatile_append() -> AbstractContextManager[Any]:
    """A backup answers an append that it keeps in memory alone."""
    original = DurableImage._write

    async def write(self: DurableImage, records: Any) -> Any:
        if any(isinstance(record, EntriesAppended) for record in records):
            return Ok(None)
        return await original(self, records)

    return patch.object(DurableImage, "_write", write)


def _commit_without_backups() -> AbstractContextManager[Any]:
    """A change counts as committed although backups did not store it."""
    original = PrimaryTerm._append_everywhere

    async def append(self: PrimaryTerm, request: Any) -> set[str]:
        missing = await original(self, request)
        return missing & {self._member.info.member}

    return patch.object(PrimaryTerm, "_append_everywhere", append)


def _any_source() -> AbstractContextManager[Any]:
    """A new epoch starts from the state of whoever promised."""

    def sources(found: Found) -> list[PrepareAnswer]:
        return sorted(found.granted.values(), key=lambda answer: answer.position.key())[:1]

    return patch.object(epochs, "_sources", sources)


def _install_claimed() -> AbstractContextManager[Any]:
    """A member says that it stored the starting state although it did not."""

    async def install(self: GroupMember, request: Any) -> Verdict:
        image = self.durable.image
        self.durable.image = replace(image, state_epoch=request.epoch)
        return Verdict(True, self.highest_epoch)

    return patch.object(GroupMember, "install", install)


def _forgotten_digests() -> AbstractContextManager[Any]:
    """Accepted changes are not remembered for a caller that sends again."""
    original = state._apply_configuration

    def apply(before: Any, entry: Any, sequence: int) -> Any:
        return replace(original(before, entry, sequence), accepted={})

    return patch.object(state, "_apply_configuration", apply)


def _no_hand_over_wait() -> AbstractContextManager[Any]:
    """A new holder of a role acts at once."""
    original = roles.RoleAuthority.__init__

    def initialise(self: Any, replica: Any, clock: Any, until: Any, _: float) -> None:
        original(self, replica, clock, until, -roles.HAND_OVER_SLACK_S)

    return patch.object(roles.RoleAuthority, "__init__", initialise)


def _token_kept() -> AbstractContextManager[Any]:
    """A role passes on under the token that it had."""

    def apply(before: Any, entry: Any, sequence: int) -> Any:
        tenure = state.RoleTenure(entry.member, 1)
        return replace(before, sequence=sequence, roles={entry.role: tenure}, last_token=1)

    return patch.object(state, "_apply_grant", apply)


def _publish_uncommitted() -> AbstractContextManager[Any]:
    """A backup shows what it stored before it is committed."""
    original = GroupMember.append

    async def append(self: GroupMember, request: Any) -> Verdict:
        verdict = await original(self, request)
        if verdict.done:
            self.publish(self.image.state)
        return verdict

    return patch.object(GroupMember, "append", append)


def _old_epoch_appends() -> AbstractContextManager[Any]:
    """A backup takes entries of a primary that was superseded."""

    async def append(self: GroupMember, request: Any) -> Verdict:
        return await self._durably(lambda image: Ok(EntriesAppended(request.epoch, request.entries)))

    return patch.object(GroupMember, "append", append)


PLANTED: dict[str, Planted] = {
    "acknowledge before sync": _acknowledge_before_sync,
    "no folder sync": _no_folder_sync,
    "no amnesia guard": _no_amnesia_guard,
    "a wiped machine founds": _everyone_founds,
    "primary without lease": _no_primary_lease,
    "witness without lease": _no_witness_lease,
    "promise in memory": _volatile_promise,
    "append in memory": _volatile_append,
    "commit without backups": _commit_without_backups,
    "state from anyone": _any_source,
    "install claimed": _install_claimed,
    "digests forgotten": _forgotten_digests,
    "no wait at hand-over": _no_hand_over_wait,
    "token kept": _token_kept,
    "uncommitted published": _publish_uncommitted,
    "entries of old epochs": _old_epoch_appends,
}


@contextlib.contextmanager
def planted(name: str) -> Iterator[None]:
    """The fault of this name, as long as the context lasts."""
    with PLANTED[name]():
        yield
