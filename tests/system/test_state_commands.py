"""`arrowfold state`: inspects, verifies and exports a state folder without modifying it."""

from __future__ import annotations

from pathlib import Path

import pytest

from arrowfold.__main__ import main as arrowfold
from arrowfold.internal.codec import encode
from arrowfold.replication.records import EntriesAppended, PromiseStored
from arrowfold.replication.recovery import NewIdentity, open_storage
from arrowfold.replication.state import ConfigurationStep, DepartureNotice, RoleGrant
from arrowfold.storage.folders import OsFolder


@pytest.fixture
def state_folder(tmp_path: Path) -> Path:
    opened = open_storage(OsFolder(tmp_path), NewIdentity("m1", True, ("10.1.0.38:7660",)))
    step = ConfigurationStep(7, b"digest", b'{"version":7}')
    entries = (step, DepartureNotice("i-1", "draining"), RoleGrant("placement/s", "m1"))
    opened.log.append([encode(PromiseStored(1, "m1"))])
    opened.log.append([encode(EntriesAppended(1, entries))])
    opened.log.close()
    return tmp_path


def test_a_folder_is_inspected(state_folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    before = {path.name: path.read_bytes() for path in state_folder.iterdir()}
    assert arrowfold(["state", "inspect", str(state_folder)]) == 0
    output = capsys.readouterr().out
    for text in ("member m1 (founder)", "promised epoch 1 to m1", "position 1.3", "version 7", "token 1"):
        assert text in output
    assert {path.name: path.read_bytes() for path in state_folder.iterdir()} == before


def test_the_configuration_is_exported(state_folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert arrowfold(["state", "export", str(state_folder)]) == 0
    assert capsys.readouterr().out == '{"version":7}\n'


def test_damage_is_reported_with_file_and_offset(
    state_folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    segment = state_folder / "segment-00000000"
    data = bytearray(segment.read_bytes())
    data[5] ^= 0xFF
    segment.write_bytes(bytes(data))
    assert arrowfold(["state", "verify", str(state_folder)]) == 1
    assert "404 STATE_DAMAGED: segment-00000000 at byte 0" in capsys.readouterr().err


@pytest.mark.parametrize("arguments", [["state", "inspect", "/nowhere"], ["state", "burn", "/"], ["state"]])
def test_invalid_arguments_give_one_line(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert arrowfold(arguments) == 2
    assert capsys.readouterr().err.count("\n") == 1
