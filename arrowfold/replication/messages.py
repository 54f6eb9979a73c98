"""Messages between members of the group. Numbers are permanent; new fields are appended with defaults.

Epochs and sequences are counts; times are seconds by the steady clock of the member that the field names.
"""

from __future__ import annotations

from dataclasses import dataclass

from arrowfold.internal.codec import message
from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.records import EpochRecord, Position
from arrowfold.replication.state import ControlState, Entry


@message(60)
@dataclass(frozen=True, slots=True)
class PrepareEpoch:
    """A candidate asks for a promise; `trial` asks only whether it would be given."""

    epoch: int
    candidate: MemberInfo
    trial: bool = False


@message(61)
@dataclass(frozen=True, slots=True)
class PrepareAnswer:
    """Whether the promise was given, and what the member holds."""

    granted: bool
    member: MemberInfo
    founder: bool
    promised: int
    record: EpochRecord | None
    confirmed: bool
    state_epoch: int
    position: Position
    reason: str = ""


@message(62)
@dataclass(frozen=True, slots=True)
class FetchState:
    """The candidate of a promised epoch asks for the whole state."""

    epoch: int


@message(63)
@dataclass(frozen=True, slots=True)
class StateImage:
    """The whole state of a member that has promised `epoch`."""

    epoch: int
    state_epoch: int
    position_epoch: int
    state: ControlState


@message(64)
@dataclass(frozen=True, slots=True)
class InstallState:
    """Store the state with which `epoch` starts; `state` is None where `position` is held."""

    epoch: int
    candidate: str
    position: Position
    state: ControlState | None


@message(65)
@dataclass(frozen=True, slots=True)
class AcceptEpoch:
    """Accept the record of an epoch; all members of its group hold its state."""

    record: EpochRecord


@message(66)
@dataclass(frozen=True, slots=True)
class AppendEntries:
    """The primary's entries after position `previous`, and how far the log is committed."""

    epoch: int
    previous: Position
    entries: tuple[Entry, ...]
    committed: int


@message(67)
@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether the receiver did as it was asked, durably; `promised` is its highest epoch."""

    done: bool
    promised: int
    reason: str = ""


@message(68)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The primary lives. `echo`: the clock reading that the receiver told last, for its authority."""

    epoch: int
    primary: MemberInfo
    committed: int
    in_record: bool
    echo: float | None = None


@message(69)
@dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """Whether the receiver grants the lease, and how it is. `clock`: its own clock when it answered."""

    granted: bool
    member: MemberInfo
    promised: int
    record_epoch: int
    state_epoch: int
    sequence: int
    disk_healthy: bool
    clock: float
    confirmed_epoch: int = 0  # the epoch whose record is known, on the receiver's disk, to be chosen


@message(70)
@dataclass(frozen=True, slots=True)
class JoinRequest:
    """A core machine that is no witness asks to be taken in."""

    member: MemberInfo


@message(71)
@dataclass(frozen=True, slots=True)
class JoinAnswer:
    """The newest record that the receiver knows."""

    record: EpochRecord | None


@message(73)
@dataclass(frozen=True, slots=True)
class Introduction:
    """The newest record of the sender, for a node that the seeds name and the record does not."""

    record: EpochRecord


@message(74)
@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """A member that was told to end asks to be removed; it goes on voting until it is released."""

    member: MemberInfo


@message(75)
@dataclass(frozen=True, slots=True)
class LeaveAnswer:
    """Whether the member may end, as the primary decides; and the newest record that the receiver knows."""

    released: bool
    record: EpochRecord | None


@message(72)
@dataclass(frozen=True, slots=True)
class Departing:
    """The sender's term ended by itself: it hands over its lease."""

    epoch: int
    member: str
    was_primary: bool
