"""A group founded anew from one exported state, when more disks are lost than the group can bear.

Nobody agrees to it: whatever was acknowledged and is not in the exported state is lost. Epoch, position and
fencing tokens go far beyond all that the lost group may have used, so that members, edges and workers that
still hold something of it take what the new group says.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from arrowfold.internal.codec import CodecError, decode, encode, message
from arrowfold.internal.messages import MemberInfo
from arrowfold.replication.identity import store_identity
from arrowfold.replication.records import EpochRecord, MemberImage, Quorum
from arrowfold.replication.state import ControlState
from arrowfold.storage.faults import DamagedStorage, StorageFault
from arrowfold.storage.folders import Folder
from arrowfold.storage.frames import encode_frame, scan
from arrowfold.storage.log import SegmentedLog

EXPORT_VERSION = 1
RECOVERY_OFFSET = 1_000_000  # epochs, log positions and fencing tokens beyond those of the exported state


@message(57)
@dataclass(frozen=True, slots=True)
class ExportedState:
    """What one member held. `epoch`: the highest that it took part in, or promised."""

    format_version: int
    member: str
    epoch: int
    state: ControlState


def export_state(member: str, image: MemberImage) -> bytes:
    """A file that holds a member's whole state, with a checksum."""
    epoch = max(image.promised, image.record.epoch if image.record is not None else 0)
    return encode_frame(encode(ExportedState(EXPORT_VERSION, member, epoch, image.state)), 0)


def read_export(data: bytes, name: str) -> Result[ExportedState, StorageFault]:
    """The state in a file that `export_state` made; `name` is the file's, for errors."""
    try:
        payloads = scan(data, name).payloads
        exported = decode(payloads[0]) if len(payloads) == 1 else None
    except (DamagedStorage, CodecError) as error:
        return Err(StorageFault(f"{name}: {error}"))
    if not isinstance(exported, ExportedState) or exported.format_version != EXPORT_VERSION:
        return Err(StorageFault(f"{name}: no exported state of this version, or cut short"))
    return Ok(exported)


def _advance_beyond_lost_group(state: ControlState) -> ControlState:
    """The same contents at a position and token beyond the lost group's; every puller is told all of it."""
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


def bootstrap_image(exported: ExportedState, founder: MemberInfo) -> MemberImage:
    """The image of the first member of the new group: its only voter, until others join it."""
    epoch = exported.epoch + RECOVERY_OFFSET
    record = EpochRecord(epoch, founder.member, (founder.member,), (founder,), (Quorum((founder.member,)),))
    return MemberImage(
        promised=epoch,
        promised_to=founder.member,
        record=record,
        confirmed=True,
        state_epoch=epoch,
        position_epoch=epoch,
        state=_advance_beyond_lost_group(exported.state),
    )


def found_anew(
    folder: Folder, exported: ExportedState, founder: MemberInfo
) -> Result[MemberImage, StorageFault]:
    """Blocking: make an empty folder the disk of the new group's first member.

    The identity comes last: without it a folder that was left half made is set aside by the node's start.
    """
    if folder.names():
        return Err(StorageFault("the folder is not empty: move away what it holds, it may be needed"))
    image = bootstrap_image(exported, founder)
    log = SegmentedLog(folder)
    log.recover()
    log.compact(encode(image))
    log.close()
    store_identity(folder, founder.member, False, ())
    return Ok(image)
