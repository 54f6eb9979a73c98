"""Faults, log lines, error bodies and printed state never contain an API key, even a misplaced one."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from arrowfold.configuration.changes import change_digest
from arrowfold.configuration.validity import parse_configuration
from arrowfold.controlplane.changes import ConfigurationService, _decide_read, _log_entry
from arrowfold.controlplane.distribution import configuration_updates
from arrowfold.dataplane.tables import FleetTables
from arrowfold.internal.codec import encode
from arrowfold.internal.messages import PullResponse, SubmitChange, SubmitResult
from arrowfold.programs import state as state_command
from arrowfold.programs import system as system_command
from arrowfold.replication.proposals import Proposal
from arrowfold.replication.records import EntriesAppended, PromiseStored
from arrowfold.replication.recovery import NewIdentity, open_storage
from arrowfold.replication.state import ControlState, apply_entry
from arrowfold.storage.folders import OsFolder

from .configurations import configuration, tenant, text_of

KEY = "marked48wuakn2ftimaj3nr26t"
NUMBER_KEY = "77123456789e999"  # a key without quotes, which reads as a number out of range
OLD_KEY = "marked7old"


class _RecordingLog:
    """Records events in place of the log."""

    def __init__(self) -> None:
        self.text = ""

    def info(self, event: str, **fields: Any) -> None:
        self.text += f"{event} {fields!r}\n"

    warning = info
    error = info


def _committed(value: dict[str, Any]) -> ControlState:
    document = parse_configuration(text_of(value)).unwrap()
    return apply_entry(ControlState(), _log_entry(None, None, document, b"digest"))


def _decided(change: SubmitChange, log: _RecordingLog) -> Proposal[SubmitResult]:
    service = ConfigurationService(None, None, log)  # type: ignore[arg-type]
    state = _committed(configuration(7, tenants=[tenant("acme", OLD_KEY)]))
    return service._decide(state, change, change_digest(change.kind, change.if_match, change.body))


def _with_key_replaced_by(text: bytes) -> bytes:
    """Returns the JSON text of a configuration with `text` in place of a key, quotes included."""
    return text_of(configuration(9, tenants=[tenant("a", KEY)])).replace(b'"%s"' % KEY.encode(), text)


REFUSED_PUTS = {
    "two tenants with the same key": text_of(configuration(9, tenants=[tenant("a", KEY), tenant("b", KEY)])),
    "a list in place of a key": text_of(configuration(9, tenants=[{"name": "a", "apiKeys": [[KEY]]}])),
    "a key for the list": text_of(configuration(9, tenants=[{"name": "a", "apiKeys": KEY}])),
    "keys as an object": text_of(configuration(9, tenants=[{"name": "a", "apiKeys": {KEY: KEY}}])),
    "tenants by key": text_of(configuration(9, tenants={KEY: "a"})),
    "a key for the priority": text_of(configuration(9, tenants=[tenant("a", priority=KEY)])),
    "a key for the name, twice": text_of(configuration(9, tenants=[tenant(KEY), tenant(KEY)])),
    "a key that is no Unicode": text_of(configuration(9, tenants=[tenant("a", KEY + "\ud800")])),
    "cut short within a key": _with_key_replaced_by(b'"' + KEY.encode()).partition(KEY.encode())[0]
    + KEY.encode(),
    "not UTF-8 within a key": _with_key_replaced_by(b'"%s\xff"' % KEY.encode()),
    "a line end within a key": _with_key_replaced_by(b'"%s\n"' % KEY.encode()),
    "a bad escape within a key": _with_key_replaced_by(b'"%s\\q"' % KEY.encode()),
    "a key without quotes": _with_key_replaced_by(KEY.encode()),
    "a number for a key": _with_key_replaced_by(NUMBER_KEY.encode()),
    "a key named twice as a member": b'{"version":9,"%s":1,"%s":2}' % (KEY.encode(), KEY.encode()),
}
REFUSED_PATCHES = {
    "a key that another tenant holds": {"upsert": {"tenants": [tenant("b", OLD_KEY)]}},
    "the same name twice": {"upsert": {"tenants": [tenant(KEY), tenant(KEY)]}},
    "a tenant for the list": {"upsert": {"tenants": tenant("a", KEY)}},
    "a key for the list": {"upsert": {"tenants": KEY}},
    "a key for a member": {"upsert": {KEY: 5}},
    "a key removed as a member": {"remove": {KEY: 5}},
    "a tenant removed whole": {"remove": {"tenants": [tenant("a", KEY)]}},
    "an item without a name": {"upsert": {"tenants": [{"apiKeys": [KEY]}]}},
}


def _assert_refused_without_quoting_keys(change: SubmitChange) -> None:
    log = _RecordingLog()
    proposal = _decided(change, log)
    assert 400 <= proposal.answer.status < 500
    output = log.text + proposal.answer.body.decode()
    assert log.text
    assert not [key for key in (KEY, KEY[:-4], OLD_KEY, NUMBER_KEY) if key in output], output


# Guards against disclosing keys to readers of logs and answers.
@pytest.mark.parametrize("body", REFUSED_PUTS.values(), ids=REFUSED_PUTS.keys())
def test_given_a_put_that_is_refused_then_neither_answer_nor_log_quotes_a_key(body: bytes) -> None:
    _assert_refused_without_quoting_keys(SubmitChange("PUT", "7", body))


@pytest.mark.parametrize("patch", REFUSED_PATCHES.values(), ids=REFUSED_PATCHES.keys())
def test_given_a_patch_that_is_refused_then_neither_answer_nor_log_quotes_a_key(patch: Any) -> None:
    _assert_refused_without_quoting_keys(SubmitChange("PATCH", "7", text_of({"version": 9} | patch)))


def test_given_a_key_as_the_precondition_then_neither_answer_nor_log_quotes_it() -> None:
    _assert_refused_without_quoting_keys(SubmitChange("PUT", KEY, text_of(configuration(9))))


def test_given_an_accepted_change_then_the_log_has_no_key_and_the_state_has_the_whole_document() -> None:
    log = _RecordingLog()
    value = configuration(9, tenants=[tenant("acme", KEY, quota=1.0), tenant("b")])
    proposal = _decided(SubmitChange("PUT", "7", text_of(value)), log)
    assert proposal.answer.status == 200
    assert proposal.entry is not None and KEY not in log.text + proposal.answer.body.decode()
    before = _committed(configuration(7, tenants=[tenant("acme", OLD_KEY)]))
    # And the configuration reads back as it was sent
    read_back = _decide_read(apply_entry(before, proposal.entry)).answer
    assert read_back.status == 200
    assert json.loads(read_back.body) == value


# Guards against an unknown member, named like a member of a patch, that makes the decision fail.
@pytest.mark.parametrize("member", ["upsert", "replaceWith"])
def test_given_an_unknown_member_with_the_name_of_a_patch_member_then_it_is_kept_unchanged(
    member: str,
) -> None:
    unknown = {"tenants": [{"name": "a", "apiKeys": 5}, {"name": "b", "apiKeys": [7]}]}
    value = configuration(9, tenants=[tenant("acme", KEY)]) | {member: unknown}
    proposal = _decided(SubmitChange("PUT", "7", text_of(value)), _RecordingLog())
    assert proposal.answer.status == 200
    assert proposal.entry is not None
    state = apply_entry(_committed(configuration(7, tenants=[tenant("acme", OLD_KEY)])), proposal.entry)
    tables = FleetTables()
    tables.apply(PullResponse(True, None, {}, configuration_updates(state, 0)))
    held = tables.snapshot.configuration
    assert held is not None and held.document[member] == unknown
    assert KEY not in repr(held.document)


def test_the_representation_of_a_document_has_no_key() -> None:
    document = parse_configuration(text_of(configuration(9, tenants=[tenant("acme", KEY)]))).unwrap()
    assert KEY not in repr(document) + str(document)


def _folder_with_keys(folder: Path) -> Path:
    """Writes a member's storage with a configuration that holds KEY; returns the path of its log segment."""
    opened = open_storage(OsFolder(folder), NewIdentity("m1", True, ("10.1.0.38:7660",)))
    document = parse_configuration(text_of(configuration(9, tenants=[tenant("acme", KEY)]))).unwrap()
    opened.log.append([encode(PromiseStored(1, "m1"))])
    opened.log.append([encode(EntriesAppended(1, (_log_entry(None, None, document, b"digest"),)))])
    opened.log.close()
    return folder / "segment-00000000"


def test_given_a_state_with_keys_then_inspect_and_verify_print_none(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    _folder_with_keys(tmp_path)
    assert state_command.main(["inspect", str(tmp_path)]) == 0
    assert state_command.main(["verify", str(tmp_path)]) == 0
    output = capsys.readouterr()
    assert "configuration version 9" in output.out
    assert KEY not in output.out + output.err


def test_given_a_damaged_state_with_keys_then_the_message_has_none(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    segment = _folder_with_keys(tmp_path)
    data = segment.read_bytes()
    assert KEY.encode() in data
    segment.write_bytes(data.replace(KEY.encode(), b"X" + KEY.encode()[1:]))
    state_command.main(["verify", str(tmp_path)])
    output = capsys.readouterr()
    assert KEY[1:] not in output.out + output.err


@pytest.mark.parametrize("body", REFUSED_PUTS.values(), ids=REFUSED_PUTS.keys())
def test_given_a_faulty_file_then_checking_it_prints_no_key(
    body: bytes, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "configuration.json"
    file.write_bytes(body)
    assert system_command.main(["check-configuration", str(file)]) == 2
    output = capsys.readouterr()
    assert not [key for key in (KEY, KEY[:-4], NUMBER_KEY) if key in output.out + output.err]
