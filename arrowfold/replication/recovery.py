"""Recovers a member from its disk. Damaged files are renamed and kept; no data is reconstructed from them."""

from __future__ import annotations

from dataclasses import dataclass

from arrowfold.replication.durable import recover_member_state
from arrowfold.replication.identity import SET_ASIDE_PREFIX, Identity, read_identity, store_identity
from arrowfold.replication.records import PersistedState
from arrowfold.storage.faults import DamagedStorage
from arrowfold.storage.folders import Folder
from arrowfold.storage.log import SegmentedLog


@dataclass(frozen=True, slots=True)
class OpenedStorage:
    """A member's identity, log and recovered state; `damage` is the reason why files were set aside."""

    identity: Identity
    log: SegmentedLog
    persisted: PersistedState
    damage: DamagedStorage | None = None


@dataclass(frozen=True, slots=True)
class NewIdentity:
    """The identity to store on an empty disk."""

    member: str
    founder: bool
    seeds: tuple[str, ...]


def _open(folder: Folder, new: NewIdentity, damage: DamagedStorage | None) -> OpenedStorage:
    identity = read_identity(folder)
    if identity is None:
        identity = store_identity(folder, new.member, new.founder and damage is None, new.seeds)
    log = SegmentedLog(folder)
    return OpenedStorage(identity, log, recover_member_state(log.recover()), damage)


def _set_aside(folder: Folder) -> None:
    """Rename all files, so that the node starts as with an empty disk."""
    names = [name for name in folder.names() if not name.startswith(SET_ASIDE_PREFIX)]
    for name in names:
        folder.rename(name, SET_ASIDE_PREFIX + name)
    folder.sync()


def open_storage(folder: Folder, new: NewIdentity) -> OpenedStorage:
    """Recover a member; blocks. After damage it starts as a new member, as after the loss of its disk."""
    try:
        return _open(folder, new, None)
    except DamagedStorage as damage:
        _set_aside(folder)
        return _open(folder, new, damage)
