"""Faults planted in the control state, none of which exists in the program; the schedules must find each."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from result import Ok

from arrowfold.configuration import changes
from arrowfold.controlplane import distribution
from arrowfold.dataplane import tables
from arrowfold.dataplane.freshness import StateFreshness
from arrowfold.dataplane.tables import FleetTables
from arrowfold.internal.messages import ConfigurationDelta, ConfigurationUpdate
from arrowfold.replication import epochs, roles, state
from arrowfold.replication.batches import Batch
from arrowfold.replication.durable import DurableState
from arrowfold.replication.epochs import Promises
from arrowfold.replication.member import GroupMember
from arrowfold.replication.messages import PrepareAnswer, PrepareEpoch, Verdict
from arrowfold.replication.primary import PrimaryTerm
from arrowfold.replication.records import EntriesAppended
from arrowfold.replication.replica import Replica
from tests.system.control_simulation.disks import SimulatedFolder
from tests.system.control_simulation.machines import Machine

Planted = Callable[[], AbstractContextManager[Any]]


def _acknowledge_before_sync() -> AbstractContextManager[Any]:
    """Writes are acknowledged before they are durable."""
    return patch.object(SimulatedFolder, "no_file_sync", True, create=True)


def _no_folder_sync() -> AbstractContextManager[Any]:
    """Renames are never made durable."""
    return patch.object(SimulatedFolder, "no_folder_sync", True, create=True)


def _no_amnesia_guard() -> AbstractContextManager[Any]:
    """A wiped node reuses its former identity."""
    return patch.object(Machine, "next_identity", lambda self: f"{self.name}-1")


def _wiped_node_bootstraps() -> AbstractContextManager[Any]:
    """A wiped node may bootstrap a group as on the first start."""
    return patch.object(Machine, "may_bootstrap", lambda self: True)


def _no_primary_lease() -> AbstractContextManager[Any]:
    """A primary answers without a lease until its term ends."""
    return patch.object(PrimaryTerm, "has_lease", lambda self: not self.ended)


def _no_witness_lease() -> AbstractContextManager[Any]:
    """A witness gives promises regardless of leases."""
    return patch.object(GroupMember, "grant_lease", lambda self, holder: None)


def _volatile_promise() -> AbstractContextManager[Any]:
    """A promise is kept only in memory."""

    async def prepare(self: GroupMember, request: PrepareEpoch) -> PrepareAnswer:
        reason = self._refusal_reason(request)
        if reason is None and not request.trial:
            self.durable.persisted = replace(
                self.durable.persisted, promised=request.epoch, promised_to=request.candidate.member
            )
        return self._prepare_answer(reason)

    return patch.object(GroupMember, "prepare", prepare)


def _volatile_append() -> AbstractContextManager[Any]:
    """A backup acknowledges an append that it keeps only in memory."""
    original = DurableState._write

    async def write(self: DurableState, records: Any) -> Any:
        if any(isinstance(record, EntriesAppended) for record in records):
            return Ok(None)
        return await original(self, records)

    return patch.object(DurableState, "_write", write)


def _one_volatile_member() -> AbstractContextManager[Any]:
    """One member acknowledges entries that it keeps only in memory."""
    original = Machine.make_member

    def make_member(
        self: Machine, info: Any, founder: bool, durable: DurableState, events: Any
    ) -> GroupMember:
        write = durable._write

        async def forget(records: Any) -> Any:
            if any(isinstance(record, EntriesAppended) for record in records):
                return Ok(None)
            return await write(records)

        if self.name == "core2":
            durable._write = forget  # type: ignore[method-assign]
        return original(self, info, founder, durable, events)

    return patch.object(Machine, "make_member", make_member)


def _commit_without_backups() -> AbstractContextManager[Any]:
    """A change is committed although backups did not store it."""
    original = PrimaryTerm._append_everywhere

    async def append(self: PrimaryTerm, request: Any) -> set[str]:
        missing = await original(self, request)
        return missing & {self._member.info.member}

    return patch.object(PrimaryTerm, "_append_everywhere", append)


def _any_source() -> AbstractContextManager[Any]:
    """A new epoch starts from the state of any member that promised."""

    def sources(promises: Promises) -> list[PrepareAnswer]:
        return sorted(promises.granted.values(), key=lambda answer: answer.position.key())[:1]

    return patch.object(epochs, "_state_sources", sources)


def _install_claimed() -> AbstractContextManager[Any]:
    """A member claims to have stored the initial state although it did not."""

    async def install(self: GroupMember, request: Any) -> Verdict:
        persisted = self.durable.persisted
        self.durable.persisted = replace(persisted, state_epoch=request.epoch)
        return Verdict(True, self.highest_epoch)

    return patch.object(GroupMember, "install", install)


def _forgotten_digests() -> AbstractContextManager[Any]:
    """Accepted changes are not remembered for a caller that retries."""
    original = state._apply_configuration

    def apply(before: Any, entry: Any, sequence: int) -> Any:
        return replace(original(before, entry, sequence), accepted={})

    return patch.object(state, "_apply_configuration", apply)


def _no_handover_wait() -> AbstractContextManager[Any]:
    """A new holder of a role acts at once."""
    original = roles.RoleAuthority.__init__

    def initialise(self: Any, replica: Any, clock: Any, until: Any, _: float) -> None:
        original(self, replica, clock, until, -roles.HANDOVER_MARGIN_S)

    return patch.object(roles.RoleAuthority, "__init__", initialise)


def _token_kept() -> AbstractContextManager[Any]:
    """A role is reassigned under the same token."""

    def apply(before: Any, entry: Any, sequence: int) -> Any:
        tenure = state.RoleTenure(entry.member, 1)
        return replace(before, sequence=sequence, roles={entry.role: tenure}, last_token=1)

    return patch.object(state, "_apply_grant", apply)


def _publish_uncommitted() -> AbstractContextManager[Any]:
    """A backup publishes entries before they are committed."""
    original = GroupMember.append

    async def append(self: GroupMember, request: Any) -> Verdict:
        verdict = await original(self, request)
        if verdict.done:
            self.publish(self.persisted.state)
        return verdict

    return patch.object(GroupMember, "append", append)


def _old_epoch_appends() -> AbstractContextManager[Any]:
    """A backup accepts entries of a superseded primary."""

    async def append(self: GroupMember, request: Any) -> Verdict:
        return await self._write_durably(
            lambda persisted: Ok(EntriesAppended(request.epoch, request.entries))
        )

    return patch.object(GroupMember, "append", append)


def _always_current() -> AbstractContextManager[Any]:
    """A control node counts as current regardless of the age of the primary's last confirmation."""

    def is_current(self: GroupMember) -> bool:
        record = self.persisted.record
        return (
            record is not None
            and self.persisted.state_epoch == record.epoch
            and self.published.sequence == self.known_committed
        )

    return patch.object(GroupMember, "is_current", is_current)


def _no_lease_after_restart() -> AbstractContextManager[Any]:
    """A witness gives promises right after a restart, without waiting for a lease to expire."""
    original = GroupMember.__init__

    def initialise(self: GroupMember, *arguments: Any, **named: Any) -> None:
        original(self, *arguments, **named)
        self._lease_until = 0.0

    return patch.object(GroupMember, "__init__", initialise)


def _current_by_any_heartbeat() -> AbstractContextManager[Any]:
    """A heartbeat makes a backup current from the time at which it is handled."""
    original = GroupMember.heartbeat

    async def heartbeat(self: GroupMember, request: Any) -> Any:
        answer = await original(self, request)
        if request.epoch >= self.highest_epoch:
            self._current_until = self.clock() + self.timings.current_s
        return answer

    return patch.object(GroupMember, "heartbeat", heartbeat)


def _any_precondition() -> AbstractContextManager[Any]:
    """All changes based on the same version are accepted."""
    return patch.object(changes, "_precondition_fault", lambda current, if_match: None)


def _leaves_without_release() -> AbstractContextManager[Any]:
    """A stopping member does not wait for its release."""

    async def leave(self: Replica) -> bool:
        return True

    return patch.object(Replica, "_leave", leave)


@contextlib.contextmanager
def _diff_on_any_base() -> Iterator[None]:
    """Configuration patches are sent and applied regardless of the puller's version."""

    def updates(held: Any, since: int) -> Any:
        if held.configuration is None or held.configuration_sequence <= since:
            return ()
        whole = ConfigurationUpdate(
            held.configuration_sequence, held.configuration_version, held.configuration
        )
        steps = [step for step in held.patches[-1:] if step.sequence > since]
        if not steps or since == 0:
            return (whole,)
        return tuple(
            ConfigurationDelta(step.sequence, step.base_version, step.version, step.patch) for step in steps
        )

    original = tables._after_delta

    def after(known: Any, update: Any) -> Any:
        version = update.base_version if known is None else known.version
        return original(known, replace(update, base_version=version))

    with (
        patch.object(distribution, "configuration_updates", updates),
        patch.object(tables, "_after_delta", after),
    ):
        yield


def _answers_exchanged() -> AbstractContextManager[Any]:
    """Each answer of a batch goes to the next caller of the batch."""

    def settle(self: Batch) -> None:
        answers = [answer for _, answer in self.answers]
        for (waiting, _), answer in zip(self.answers, answers[1:] + answers[:1], strict=True):
            waiting.settle(Ok(answer))

    return patch.object(Batch, "settle", settle)


def _fresh_from_the_answer() -> AbstractContextManager[Any]:
    """An edge counts its freshness from the time at which an answer is handled."""
    original = StateFreshness.answered

    def answered(self: StateFreshness, _: float, state_age_s: float) -> None:
        original(self, self.read_clock(), state_age_s)

    return patch.object(StateFreshness, "answered", answered)


def _age_zero_on_backup() -> AbstractContextManager[Any]:
    """A backup reports the age 0 for its state."""

    def state_age_s(self: GroupMember) -> float | None:
        return 0.0 if self.is_current() else None

    return patch.object(GroupMember, "state_age_s", state_age_s)


def _age_zero_always() -> AbstractContextManager[Any]:
    """A backup reports the age 0 regardless of the age of the primary's last confirmation."""
    return patch.object(GroupMember, "state_age_s", lambda self: 0.0)


def _age_zero_on_primary() -> AbstractContextManager[Any]:
    """A primary reports the age 0 for its state until its term ends, with or without a lease."""
    original = Replica.state_age_s

    def state_age_s(self: Replica) -> float | None:
        return original(self) if self.term is None else 0.0

    return patch.object(Replica, "state_age_s", state_age_s)


def _always_holds_state() -> AbstractContextManager[Any]:
    """An edge counts answers that report a newer state than it holds."""
    return patch.object(FleetTables, "holds_state", lambda self, vector: True)


PLANTED: dict[str, Planted] = {
    "acknowledge before sync": _acknowledge_before_sync,
    "no folder sync": _no_folder_sync,
    "no amnesia guard": _no_amnesia_guard,
    "a wiped machine founds": _wiped_node_bootstraps,
    "primary without lease": _no_primary_lease,
    "witness without lease": _no_witness_lease,
    "promise in memory": _volatile_promise,
    "append in memory": _volatile_append,
    "one member confirms from memory": _one_volatile_member,
    "commit without backups": _commit_without_backups,
    "state from anyone": _any_source,
    "install claimed": _install_claimed,
    "digests forgotten": _forgotten_digests,
    "no wait at hand-over": _no_handover_wait,
    "token kept": _token_kept,
    "uncommitted published": _publish_uncommitted,
    "entries of old epochs": _old_epoch_appends,
    "current for ever": _always_current,
    "no lease after a restart": _no_lease_after_restart,
    "current by any heartbeat": _current_by_any_heartbeat,
    "any precondition": _any_precondition,
    "ends at once": _leaves_without_release,
    "diff on any base": _diff_on_any_base,
    "answers exchanged": _answers_exchanged,
    "fresh from the answer on": _fresh_from_the_answer,
    "a backup of no age": _age_zero_on_backup,
    "a backup vouches for ever": _age_zero_always,
    "a primary vouches without lease": _age_zero_on_primary,
    "told is held": _always_holds_state,
}


@contextlib.contextmanager
def planted(name: str) -> Iterator[None]:
    """Plant the fault of this name for the duration of the context."""
    with PLANTED[name]():
        yield
