"""The identity of a member: drawn once per disk and never reused after that disk is lost."""

from __future__ import annotations

from dataclasses import dataclass

from arrowfold.internal.codec import CodecError, decode, encode, message
from arrowfold.storage.faults import DamagedStorage
from arrowfold.storage.folders import Folder
from arrowfold.storage.frames import encode_frame, scan

IDENTITY_FILE = "identity"
TEMPORARY_FILE = "identity.new"
FORMAT_VERSION = 1
SET_ASIDE_PREFIX = "damaged-"


@message(56)
@dataclass(frozen=True, slots=True)
class Identity:
    """The identity stored on a disk.

    `founder`: the disk was initialised at the first start of the system, not after a loss. `seeds`: the seed
    addresses at that time; only a majority of them may bootstrap the group.
    """

    format_version: int
    member: str
    founder: bool
    seeds: tuple[str, ...]


def read_identity(folder: Folder) -> Identity | None:
    """Returns the identity on this disk, or None if the disk is empty.

    Raises DamagedStorage if the file is unreadable, or missing beside other files.
    """
    names = folder.names()
    if IDENTITY_FILE not in names:
        leftovers = [
            name for name in names if name != TEMPORARY_FILE and not name.startswith(SET_ASIDE_PREFIX)
        ]
        if leftovers:
            raise DamagedStorage(IDENTITY_FILE, 0, f"missing beside {leftovers[0]}")
        return None
    payloads = scan(folder.read(IDENTITY_FILE), IDENTITY_FILE).payloads
    try:
        identity = decode(payloads[0]) if payloads else None
    except CodecError as error:
        raise DamagedStorage(IDENTITY_FILE, 0, str(error)) from error
    if not isinstance(identity, Identity) or identity.format_version != FORMAT_VERSION:
        raise DamagedStorage(IDENTITY_FILE, 0, "not an identity of this version")
    return identity


def store_identity(folder: Folder, member: str, founder: bool, seeds: tuple[str, ...]) -> Identity:
    """Store the new identity `member` on an empty disk; durable when this returns."""
    identity = Identity(FORMAT_VERSION, member, founder, seeds)
    file = folder.open(TEMPORARY_FILE)
    try:
        file.truncate(0)
        file.append(encode_frame(encode(identity), 0))
        file.sync()
    finally:
        file.close()
    folder.rename(TEMPORARY_FILE, IDENTITY_FILE)
    folder.sync()
    return identity
