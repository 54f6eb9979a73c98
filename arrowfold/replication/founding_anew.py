"""Disaster recovery: bootstraps a new group from one exported state after the loss of a quorum of disks.

This is no agreement of members: every acknowledged change that is missing from the exported state is lost.
Epoch, log position and fencing tokens start far above all values that the lost group may have used, so that
members, edge nodes and workers that still hold older values accept those of the new group.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from arrowfold.internal.codec import CodecError, decode, encode, message
from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.identity import store_identity
from arrowfold.replication.records import EpochRecord, PersistedState, Quorum
from arrowfold.replication.state import ControlState
from arrowfold.storage.faults import DamagedStorage, StorageFault
from arrowfold.storage.folders import Folder
from arrowfold.storage.frames import encode_frame, scan
from arrowfold.storage.log import SegmentedLog

EXPORT_VERSION = 1
RECOVERY_OFFSET = 1_000_000  # added to the exported state's epoch, log position and fencing token


@message(57)
@dataclass(frozen=True, slots=True)
class ExportedState:
    """The state of one member; `epoch` is the highest epoch that it accepted or promised."""

    format_version: int
    member: str
    epoch: int
    state: ControlState


def export_state(member: str, persisted: PersistedState) -> bytes:
    """Returns the content of an export file: a member's whole state with a checksum."""
    epoch = max(persisted.promised, persisted.record.epoch if persisted.record is not None else 0)
    return encode_frame(encode(ExportedState(EXPORT_VERSION, member, epoch, persisted.state)), 0)


def read_export(data: bytes, name: str) -> Result[ExportedState, StorageFault]:
    """Parse the content of an export file; `name` is the file's name for error messages."""
    try:
        payloads = scan(data, name).payloads
        exported = decode(payloads[0]) if len(payloads) == 1 else None
    except (DamagedStorage, CodecError) as error:
        return Err(StorageFault(f"{name}: {error}"))
    if not isinstance(exported, ExportedState) or exported.format_version != EXPORT_VERSION:
        return Err(StorageFault(f"{name}: truncated, or not an exported state of this version"))
    return Ok(exported)


def _advance_beyond_lost_group(state: ControlState) -> ControlState:
    """The same content at a position and token above the lost group's.

    Patches are dropped, so that every puller receives the whole configuration.
    """
    sequence = state.sequence + RECOVERY_OFFSET
    return replace(
        state,
        sequence=sequence,
        configuration_sequence=sequence if state.configuration is not None else 0,
        departures={
            instance: replace(departure, sequence=sequence)
            for instance, departure in state.departures.items()
        },
        last_token=state.last_token + RECOVERY_OFFSET,
        patches=(),
    )


def bootstrap_state(exported: ExportedState, founder: MemberInfo) -> PersistedState:
    """The state of the first member of the new group, its only voter until others join."""
    epoch = exported.epoch + RECOVERY_OFFSET
    record = EpochRecord(epoch, founder.member, (founder.member,), (founder,), (Quorum((founder.member,)),))
    return PersistedState(
        promised=epoch,
        promised_to=founder.member,
        record=record,
        confirmed=True,
        state_epoch=epoch,
        position_epoch=epoch,
        state=_advance_beyond_lost_group(exported.state),
    )


def bootstrap_from_export(
    folder: Folder, exported: ExportedState, founder: MemberInfo
) -> Result[PersistedState, StorageFault]:
    """Initialise an empty folder as the disk of the new group's first member; blocks.

    The identity is written last: a node that starts on a folder without identity sets its files aside.
    """
    if folder.names():
        return Err(StorageFault("the folder is not empty: move its files away, they may still be needed"))
    persisted = bootstrap_state(exported, founder)
    log = SegmentedLog(folder)
    log.recover()
    log.compact(encode(persisted))
    log.close()
    store_identity(folder, founder.member, False, ())
    return Ok(persisted)
