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
from arrowfold.replication.durable import recover_member_state
from arrowfold.replication.founding_anew import (
    ExportedState,
    bootstrap_from_export,
    export_state,
    read_export,
)
from arrowfold.replication.identity import Identity, read_identity
from arrowfold.replication.records import PersistedState
from arrowfold.storage.faults import DamagedStorage
from arrowfold.storage.folders import OsFolder
from arrowfold.storage.log import read_log

EXIT_SUCCESS = 0
EXIT_DAMAGED = 1
EXIT_INVALID_INPUT = 2
READ_ATTEMPTS = 3  # a running node may start its next log segment between two file reads


def main(arguments: list[str]) -> int:
    """Run the command given by the arguments after `arrowfold state`; returns the exit code."""
    try:
        options = docopt(__doc__, argv=["state", *arguments])
    except DocoptExit:
        return _report_error(ResultCode.USAGE, "not understood; see arrowfold state --help")
    if options["found-anew"]:
        return _bootstrap_group(Path(options["FILE"]), Path(options["--settings"]), options["--accept-loss"])
    path = Path(options["DIR"])
    if not path.is_dir():
        return _report_error(ResultCode.USAGE, f"{path}: no such folder")
    commands: dict[str, Callable[[Identity, PersistedState], int]] = {
        "inspect": _inspect,
        "verify": _verify,
        "export": lambda identity, persisted: _export(identity, persisted, options["--whole"]),
    }
    command = next(command for name, command in commands.items() if options[name])
    try:
        identity, persisted = _read_persisted_state(OsFolder(path))
    except DamagedStorage as damage:
        print(f"arrowfold: error {int(ResultCode.STATE_DAMAGED)} STATE_DAMAGED: {damage}", file=sys.stderr)
        return EXIT_DAMAGED
    if identity is None:
        return _report_error(ResultCode.USAGE, f"{path}: holds no control state")
    return command(identity, persisted)


def _read_persisted_state(folder: OsFolder) -> tuple[Identity | None, PersistedState]:
    """Read the folder, again if its node changes it meanwhile; raises DamagedStorage or FileNotFoundError."""
    for attempt in range(READ_ATTEMPTS):
        try:
            return read_identity(folder), recover_member_state(read_log(folder))
        except (FileNotFoundError, DamagedStorage):
            if attempt == READ_ATTEMPTS - 1:
                raise
    raise AssertionError("unreachable")


def _inspect(identity: Identity, persisted: PersistedState) -> int:
    print(f"member {identity.member}{' (founder)' if identity.founder else ''}")
    print(f"promised epoch {persisted.promised} to {persisted.promised_to or 'nobody'}")
    record = persisted.record
    if record is not None:
        status = "chosen" if persisted.confirmed else "accepted"
        print(f"epoch {record.epoch} ({status}): primary {record.primary}")
        for witness in record.witnesses:
            kind = "group" if witness.member in record.group else "witness"
            print(f"  {witness.member} {witness.name} {witness.address} {kind}")
    state = persisted.state
    print(f"state of epoch {persisted.state_epoch}, position {persisted.position_epoch}.{state.sequence}")
    size = len(state.configuration) if state.configuration is not None else 0
    print(f"configuration version {state.configuration_version}, {size} bytes")
    print(f"accepted changes remembered {len(state.accepted)}, departures {len(state.departures)}")
    for role, tenure in sorted(state.roles.items()):
        print(f"role {role}: {tenure.member}, token {tenure.token}")
    return EXIT_SUCCESS


def _verify(identity: Identity, persisted: PersistedState) -> int:
    print(f"member {identity.member}: everything reads back, position {persisted.state.sequence}")
    return EXIT_SUCCESS


def _export(identity: Identity, persisted: PersistedState, state_file: str | None) -> int:
    """Write the whole state to `state_file`, or the configuration to standard output if it is None."""
    if state_file is not None:
        Path(state_file).write_bytes(export_state(identity.member, persisted))
        print(f"{state_file}: position {persisted.state.sequence} of member {identity.member}")
        return EXIT_SUCCESS
    if persisted.state.configuration is None:
        return _report_error(ResultCode.CONFIGURATION_ABSENT, "no configuration in this state")
    sys.stdout.write(persisted.state.configuration.decode() + "\n")
    return EXIT_SUCCESS


def _bootstrap_group(source: Path, settings_file: Path, accepts_loss: bool) -> int:
    """Bootstrap a new group from an exported state; without `accepts_loss`, only describe that state."""
    if not source.is_file():
        return _report_error(ResultCode.USAGE, f"{source}: no such file")
    loaded = load_settings(settings_file)
    if isinstance(loaded, Err):
        return _report_error(ResultCode.SETTINGS_INVALID, str(loaded.err_value))
    settings = loaded.ok_value
    if settings.dataDirectory is None:
        return _report_error(ResultCode.SETTINGS_INVALID, f"{settings_file}: dataDirectory is missing")
    exported = read_export(source.read_bytes(), source.name)
    if isinstance(exported, Err):
        return _report_error(ResultCode.STATE_DAMAGED, str(exported.err_value))
    state = exported.ok_value.state
    print(
        f"{source}: configuration version {state.configuration_version}, position {state.sequence}, "
        f"epoch {exported.ok_value.epoch}, of member {exported.ok_value.member}"
    )
    if not accepts_loss:
        return _report_error(
            ResultCode.USAGE,
            "nothing founded: what the lost group acknowledged beyond this needs --accept-loss",
        )
    return _create_first_member(exported.ok_value, settings, settings.dataDirectory)


def _create_first_member(exported: ExportedState, settings: NodeSettings, directory: str) -> int:
    """Write the exported state to an empty data directory, as the first member of a new group."""
    member = MemberInfo(
        secrets.token_hex(8),
        settings.nodeName,
        settings.internal_address,
        settings.listenAddresses.control or "",
        settings.zone,
    )
    Path(directory).mkdir(parents=True, exist_ok=True)
    written = bootstrap_from_export(OsFolder(Path(directory)), exported, member)
    if isinstance(written, Err):
        return _report_error(ResultCode.USAGE, f"{directory}: {written.err_value}")
    print(f"{directory}: member {member.member}, epoch {written.ok_value.promised}; start its node next")
    return EXIT_SUCCESS


def _report_error(code: ResultCode, message: str) -> int:
    """Print one line on standard error; returns the exit code for invalid input."""
    print(f"arrowfold: error {int(code)} {code.name}: {message}", file=sys.stderr)
    return EXIT_INVALID_INPUT
