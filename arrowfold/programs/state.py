"""The control state on a core machine's disk: read only, also while its node runs.

Usage:
  arrowfold state inspect DIR
  arrowfold state verify DIR
  arrowfold state export DIR
  arrowfold state --help

Commands:
  inspect  Show the member, its epoch record, how far its state is, roles and departures.
  verify   Read everything; name the file and the offset of what does not read back.
  export   Write the configuration (JSON) to standard output.

Exit code: 0; 1 where the folder is damaged; 2 where it or an option can't be used.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path

from docopt import DocoptExit, docopt

from arrowfold.node.result_codes import ResultCode
from arrowfold.replication.durable import image_of
from arrowfold.replication.identity import Identity, read_identity
from arrowfold.replication.records import MemberImage
from arrowfold.storage.faults import DamagedStorage
from arrowfold.storage.folders import OsFolder
from arrowfold.storage.log import read_log

PASSED = 0
DAMAGED = 1
FAULTY_INPUT = 2
READ_ATTEMPTS = 3  # a running node may start its next segment between two reads


def main(arguments: list[str]) -> int:
    """Obey the arguments after `arrowfold state`; returns the exit code."""
    try:
        options = docopt(__doc__, argv=["state", *arguments])
    except DocoptExit:
        return _refuse(ResultCode.USAGE, "not understood; see arrowfold state --help")
    path = Path(options["DIR"])
    if not path.is_dir():
        return _refuse(ResultCode.USAGE, f"{path}: no such folder")
    commands: dict[str, Callable[[Identity, MemberImage], int]] = {
        "inspect": _inspect,
        "verify": _verify,
        "export": _export,
    }
    command = next(act for name, act in commands.items() if options[name])
    try:
        identity, image = _read(OsFolder(path))
    except DamagedStorage as damage:
        print(f"arrowfold: error {int(ResultCode.STATE_DAMAGED)} STATE_DAMAGED: {damage}", file=sys.stderr)
        return DAMAGED
    if identity is None:
        return _refuse(ResultCode.USAGE, f"{path}: holds no control state")
    return command(identity, image)


def _read(folder: OsFolder) -> tuple[Identity | None, MemberImage]:
    for attempt in range(READ_ATTEMPTS):
        try:
            return read_identity(folder), image_of(read_log(folder))
        except (FileNotFoundError, DamagedStorage):
            if attempt == READ_ATTEMPTS - 1:
                raise
    raise AssertionError("unreachable")


def _inspect(identity: Identity, image: MemberImage) -> int:
    print(f"member {identity.member}{' (founder)' if identity.founder else ''}")
    print(f"promised epoch {image.promised} to {image.promised_to or 'nobody'}")
    record = image.record
    if record is not None:
        known = "chosen" if image.confirmed else "accepted"
        print(f"epoch {record.epoch} ({known}): primary {record.primary}")
        for witness in record.witnesses:
            place = "group" if witness.member in record.group else "witness"
            print(f"  {witness.member} {witness.name} {witness.address} {place}")
    state = image.state
    print(f"state of epoch {image.state_epoch}, position {image.position_epoch}.{state.sequence}")
    size = len(state.configuration) if state.configuration is not None else 0
    print(f"configuration version {state.configuration_version}, {size} bytes")
    print(f"accepted changes remembered {len(state.accepted)}, departures {len(state.departures)}")
    for role, tenure in sorted(state.roles.items()):
        print(f"role {role}: {tenure.member}, token {tenure.token}")
    return PASSED


def _verify(identity: Identity, image: MemberImage) -> int:
    print(f"member {identity.member}: everything reads back, position {image.state.sequence}")
    return PASSED


def _export(_: Identity, image: MemberImage) -> int:
    if image.state.configuration is None:
        return _refuse(ResultCode.CONFIGURATION_ABSENT, "no configuration in this state")
    sys.stdout.write(image.state.configuration.decode() + "\n")
    return PASSED


def _refuse(code: ResultCode, text: str) -> int:
    print(f"arrowfold: error {int(code)} {code.name}: {text}", file=sys.stderr)
    return FAULTY_INPUT
