"""The control state on a core machine's disk: read, also while its node runs, or founded anew after a loss.

Usage:
  arrowfold state inspect DIR
  arrowfold state verify DIR
  arrowfold state export DIR [--whole=FILE]
  arrowfold state found-anew FILE --settings=BOOT [--accept-loss]
  arrowfold state --help

Commands:
  inspect  Show the member, its epoch record, how far its state is, roles and departures.
  verify   Read everything; name the file and the offset of what does not read back.
  export   Write the configuration (JSON) to standard output, or the whole state to a file.
  found-anew  Make the empty data directory that a settings file names the first member of a new group, from
              an exported whole state. Only when the old group can never form again: what it acknowledged and
              the export lacks is lost. Without --accept-loss it only shows what it would found.

Options:
  --whole=FILE     Where to write the whole state.
  --settings=BOOT  The settings file of the control node that is to found the group.
  --accept-loss    Do it.

Exit code: 0; 1 where the folder is damaged; 2 where it or an option can't be used.
"""

from __future__ import annotations

import secrets
import sys
from collections.abc import Callable
from pathlib import Path

from docopt import DocoptExit, docopt
from result import Err

from arrowfold.internal.messages import MemberInfo
from arrowfold.node.result_codes import ResultCode
from arrowfold.node.settings import NodeSettings, load_settings
from arrowfold.replication.durable import image_of
from arrowfold.replication.founding_anew import ExportedState, export_state, found_anew, read_export
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
    if options["found-anew"]:
        return _found_anew(Path(options["FILE"]), Path(options["--settings"]), options["--accept-loss"])
    path = Path(options["DIR"])
    if not path.is_dir():
        return _refuse(ResultCode.USAGE, f"{path}: no such folder")
    commands: dict[str, Callable[[Identity, MemberImage], int]] = {
        "inspect": _inspect,
        "verify": _verify,
        "export": lambda identity, image: _export(identity, image, options["--whole"]),
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


def _export(identity: Identity, image: MemberImage, whole: str | None) -> int:
    if whole is not None:
        Path(whole).write_bytes(export_state(identity.member, image))
        print(f"{whole}: position {image.state.sequence} of member {identity.member}")
        return PASSED
    if image.state.configuration is None:
        return _refuse(ResultCode.CONFIGURATION_ABSENT, "no configuration in this state")
    sys.stdout.write(image.state.configuration.decode() + "\n")
    return PASSED


def _found_anew(source: Path, settings_file: Path, accepts_loss: bool) -> int:
    if not source.is_file():
        return _refuse(ResultCode.USAGE, f"{source}: no such file")
    loaded = load_settings(settings_file)
    if isinstance(loaded, Err):
        return _refuse(ResultCode.SETTINGS_INVALID, str(loaded.err_value))
    settings = loaded.ok_value
    if settings.dataDirectory is None:
        return _refuse(ResultCode.SETTINGS_INVALID, f"{settings_file}: dataDirectory is missing")
    exported = read_export(source.read_bytes(), source.name)
    if isinstance(exported, Err):
        return _refuse(ResultCode.STATE_DAMAGED, str(exported.err_value))
    state = exported.ok_value.state
    print(
        f"{source}: configuration version {state.configuration_version}, position {state.sequence}, "
        f"epoch {exported.ok_value.epoch}, of member {exported.ok_value.member}"
    )
    if not accepts_loss:
        return _refuse(
            ResultCode.USAGE,
            "nothing founded: what the lost group acknowledged beyond this needs --accept-loss",
        )
    return _write_founder(exported.ok_value, settings, settings.dataDirectory)


def _write_founder(exported: ExportedState, settings: NodeSettings, directory: str) -> int:
    founder = MemberInfo(
        secrets.token_hex(8),
        settings.nodeName,
        settings.internal_address,
        settings.listenAddresses.control or "",
        settings.zone,
    )
    Path(directory).mkdir(parents=True, exist_ok=True)
    founded = found_anew(OsFolder(Path(directory)), exported, founder)
    if isinstance(founded, Err):
        return _refuse(ResultCode.USAGE, f"{directory}: {founded.err_value}")
    print(f"{directory}: member {founder.member}, epoch {founded.ok_value.promised}; start its node next")
    return PASSED


def _refuse(code: ResultCode, text: str) -> int:
    print(f"arrowfold: error {int(code)} {code.name}: {text}", file=sys.stderr)
    return FAULTY_INPUT
