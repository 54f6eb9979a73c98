"""The replicated control state as an immutable value, and the log entries that change it.

Every member applies the same entries in the same order, so `apply` is deterministic: it reads no clock and
draws no random numbers.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TypeVar

from result import Err

from arrowfold.configuration.json_text import read_object, write_canonical
from arrowfold.configuration.patches import apply_delta_value
from arrowfold.internal.codec import message
from arrowfold.replication.usage_ledger import (
    UsageEntry,
    UsageLedger,
    UsageWindowDecided,
    UsageWindowReported,
    apply_usage,
)

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")
REMEMBERED_CHANGES = 2_048  # digests of accepted changes, kept to recognise a change that is sent again
REMEMBERED_DEPARTURES = 4_096  # workers that announced their departure; identifiers are never reused
REMEMBERED_DELTAS = 128  # configuration patches kept for pullers that are only a few versions behind
REMEMBERED_DELTA_BYTES = 256 * 1024  # maximum total size of these patches


@message(40)
@dataclass(frozen=True, slots=True)
class ConfigurationStep:
    """Log entry: a configuration change by the operator, as a whole document or as a patch.

    Exactly one of `document` and `patch` is set; a patch applies to the previous document. `digest`
    identifies the change, so that one that is sent again is recognised.
    """

    version: int
    digest: bytes
    document: bytes | None
    patch: bytes | None = None


@message(41)
@dataclass(frozen=True, slots=True)
class DepartureNotice:
    """Log entry: a worker announced that it is draining or has terminated."""

    instance: str
    state: str
    remaining_ms: float | None = None


@message(42)
@dataclass(frozen=True, slots=True)
class RoleGrant:
    """Log entry: assigns a role to a member under the next fencing token."""

    role: str
    member: str


Entry = ConfigurationStep | DepartureNotice | RoleGrant | UsageEntry


@message(43)
@dataclass(frozen=True, slots=True)
class Departure:
    """The last state announced by a departing worker, and the log sequence of that entry."""

    sequence: int
    state: str
    remaining_ms: float | None = None


@message(44)
@dataclass(frozen=True, slots=True)
class RoleTenure:
    """The holder of a role and its fencing token; `previous` is the different holder before it, or empty."""

    member: str
    token: int
    previous: str = ""


@message(45)
@dataclass(frozen=True, slots=True)
class ConfigurationPatch:
    """A patch between two configurations, kept for distribution.

    It applies to the configuration of `base_version`, committed at log sequence `base_sequence`.
    """

    sequence: int
    base_version: int
    version: int
    patch: bytes
    base_sequence: int = 0


@message(46)
@dataclass(frozen=True, slots=True)
class ControlState:
    """The whole replicated state at log sequence `sequence`."""

    sequence: int = 0
    configuration: bytes | None = None
    configuration_version: int = 0
    configuration_sequence: int = 0
    accepted: dict[bytes, int] = field(default_factory=dict)
    departures: dict[str, Departure] = field(default_factory=dict)
    roles: dict[str, RoleTenure] = field(default_factory=dict)
    last_token: int = 0
    patches: tuple[ConfigurationPatch, ...] = ()
    usage: UsageLedger = field(default_factory=UsageLedger)


def _with_newest(items: dict[KeyT, ValueT], key: KeyT, value: ValueT, limit: int) -> dict[KeyT, ValueT]:
    """A copy with `key` as the newest item; the oldest items beyond `limit` are removed."""
    copy = {other: kept for other, kept in items.items() if other != key}
    copy[key] = value
    while len(copy) > limit:
        del copy[next(iter(copy))]
    return copy


def _newest_patches(patches: tuple[ConfigurationPatch, ...]) -> tuple[ConfigurationPatch, ...]:
    """The newest patches, bounded in number and in total bytes."""
    kept = patches[-REMEMBERED_DELTAS:]
    while sum(len(step.patch) for step in kept) > REMEMBERED_DELTA_BYTES:
        kept = kept[1:]
    return kept


def patched_document(document: bytes, patch: bytes) -> bytes:
    """Apply a committed patch to a document; yields the same bytes on every member.

    Raises ValueError if the patch can't be applied.
    """
    value = read_object(document).and_then(lambda base: apply_delta_value(base, patch))
    if isinstance(value, Err):
        raise ValueError(f"a committed patch can't be applied: {value.err_value}")
    return write_canonical(value.ok_value)


def _apply_configuration(state: ControlState, entry: ConfigurationStep, sequence: int) -> ControlState:
    if entry.document is not None:
        document = entry.document
    else:
        assert entry.patch is not None and state.configuration is not None
        document = patched_document(state.configuration, entry.patch)
    patches: tuple[ConfigurationPatch, ...] = ()
    if entry.patch is not None:
        step = ConfigurationPatch(
            sequence,
            state.configuration_version,
            entry.version,
            entry.patch,
            state.configuration_sequence,
        )
        patches = _newest_patches((*state.patches, step))
    return replace(
        state,
        sequence=sequence,
        configuration=document,
        configuration_version=entry.version,
        configuration_sequence=sequence,
        accepted=_with_newest(state.accepted, entry.digest, entry.version, REMEMBERED_CHANGES),
        patches=patches,
    )


def _apply_departure(state: ControlState, entry: DepartureNotice, sequence: int) -> ControlState:
    departure = Departure(sequence, entry.state, entry.remaining_ms)
    departures = _with_newest(state.departures, entry.instance, departure, REMEMBERED_DEPARTURES)
    return replace(state, sequence=sequence, departures=departures)


def _apply_grant(state: ControlState, entry: RoleGrant, sequence: int) -> ControlState:
    token = state.last_token + 1
    before = state.roles.get(entry.role)
    previous = before.member if before is not None and before.member != entry.member else ""
    roles = {**state.roles, entry.role: RoleTenure(entry.member, token, previous)}
    return replace(state, sequence=sequence, roles=roles, last_token=token)


def apply_entry(state: ControlState, entry: Entry) -> ControlState:
    """The state after one more log entry."""
    sequence = state.sequence + 1
    if isinstance(entry, ConfigurationStep):
        return _apply_configuration(state, entry, sequence)
    if isinstance(entry, DepartureNotice):
        return _apply_departure(state, entry, sequence)
    if isinstance(entry, UsageWindowDecided | UsageWindowReported):
        return replace(state, sequence=sequence, usage=apply_usage(state.usage, entry))
    return _apply_grant(state, entry, sequence)
