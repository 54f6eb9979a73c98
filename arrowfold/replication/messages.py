"""Messages between members of the group.

Message numbers are permanent; new fields are appended with defaults. Epochs and sequences are counts; times
are in seconds by the steady clock of the member that the field's description names.
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
    """Asks for the promise of an epoch; with `trial`, only whether the promise would be given."""

    epoch: int
    candidate: MemberInfo
    trial: bool = False


@message(61)
@dataclass(frozen=True, slots=True)
class PrepareAnswer:
    """Whether the promise was given, and the member's record and log position.

    `promised`: the highest epoch that the member promised; `confirmed`: `record` is known to be chosen;
    `state_epoch`: the last epoch whose initial state the member stored; `reason`: why it refused.
    """

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
    """Asks for the whole state, as the candidate of a promised epoch."""

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
    """Asks to store the initial state of `epoch`; `state` is None if the receiver is at `position`."""

    epoch: int
    candidate: str
    position: Position
    state: ControlState | None


@message(65)
@dataclass(frozen=True, slots=True)
class AcceptEpoch:
    """Asks to accept the record of an epoch, whose state all members of its group have stored."""

    record: EpochRecord


@message(66)
@dataclass(frozen=True, slots=True)
class AppendEntries:
    """The primary's entries that follow position `previous`, and the committed sequence."""

    epoch: int
    previous: Position
    entries: tuple[Entry, ...]
    committed: int


@message(67)
@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether the receiver durably stored what it was sent; `promised` is its highest promised epoch."""

    done: bool
    promised: int
    reason: str = ""


@message(68)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The primary's heartbeat, which asks for a renewal of its lease.

    `committed`: the committed sequence; `in_record`: the receiver is in the group; `echo`: the receiver's
    last clock reading, which extends its authority, or None.
    """

    epoch: int
    primary: MemberInfo
    committed: int
    in_record: bool
    echo: float | None = None


@message(69)
@dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """Whether the receiver grants the lease, and its state; `clock` is its own clock when it answered."""

    granted: bool
    member: MemberInfo
    promised: int
    record_epoch: int
    state_epoch: int
    sequence: int
    disk_healthy: bool
    clock: float
    confirmed_epoch: int = 0  # highest epoch whose record is known to be chosen, on the receiver's disk


@message(70)
@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Asks for membership, from a control node that is not a witness."""

    member: MemberInfo


@message(71)
@dataclass(frozen=True, slots=True)
class JoinAnswer:
    """The newest record known to the receiver of a request to join."""

    record: EpochRecord | None


@message(73)
@dataclass(frozen=True, slots=True)
class Introduction:
    """The sender's newest record, sent to a seed that the record does not list."""

    record: EpochRecord


@message(74)
@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """Asks for removal, from a stopping member; it keeps voting until it is released."""

    member: MemberInfo


@message(75)
@dataclass(frozen=True, slots=True)
class LeaveAnswer:
    """Whether the primary releases the member, and the newest record known to the receiver."""

    released: bool
    record: EpochRecord | None


@message(72)
@dataclass(frozen=True, slots=True)
class Departing:
    """Announces that the sender's term has ended and that its lease is released."""

    epoch: int
    member: str
    was_primary: bool
