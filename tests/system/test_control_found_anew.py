"""Disaster recovery after the loss of a quorum of disks: a new group from one exported state."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from result import Err

from arrowfold.__main__ import main as arrowfold
from arrowfold.controlplane.distribution import state_updates
from arrowfold.dataplane.tables import FleetTables
from arrowfold.internal.codec import encode
from arrowfold.internal.messages import STATE_ORIGIN, MemberInfo, PullResponse
from arrowfold.replication.durable import recover_member_state
from arrowfold.replication.founding_anew import (
    RECOVERY_OFFSET,
    bootstrap_from_export,
    export_state,
    read_export,
)
from arrowfold.replication.records import EntriesAppended, PersistedState, PromiseStored
from arrowfold.replication.recovery import NewIdentity, open_storage
from arrowfold.replication.state import (
    ConfigurationStep,
    ControlState,
    DepartureNotice,
    RoleGrant,
    apply_entry,
)
from arrowfold.storage.folders import OsFolder
from arrowfold.storage.log import SegmentedLog, read_log
from tests.system.control_simulation.disks import SimulatedFolder
from tests.system.control_simulation.history import describe, document
from tests.system.control_simulation.world import World, run_world


async def _two_of_three_disks_lost() -> None:
    # Given a group of three that has lost two disks, more than it tolerates
    world = World(51)
    world.start_all()
    assert await world.change(0, 1, 9.0) == 1
    assert await world.change(1, 2, 9.0) == 2
    await world.until(world.is_whole, 6.0, "a whole group")
    assert await world.depart("i-1")
    await asyncio.sleep(1.0)
    survivor, *lost = world.machines.values()
    epoch = survivor.replica.epoch if survivor.replica is not None else 0
    for machine in lost:
        machine.wipe()
        machine.start()
    assert await world.change(2, 3, 6.0) is None
    # When the survivor's state is used to bootstrap a group on another node's empty disk
    exported = read_export(
        export_state("m", recover_member_state(read_log(survivor.folder))), "export"
    ).unwrap()
    founder = lost[0]
    founder.kill()
    founder.folder = SimulatedFolder()
    info = MemberInfo("founder", founder.name, founder.address, founder.address, "zone")
    assert bootstrap_from_export(founder.folder, exported, info).is_ok()
    founder.start()
    # Then that node becomes primary, and the other wiped node and the survivor join its group
    await world.until(world.is_whole, 15.0, "everyone in the new group")
    assert founder.replica is not None and founder.replica.epoch > epoch + RECOVERY_OFFSET - 1
    # And acknowledged changes are kept, and new changes are accepted
    state = founder.replica.committed
    assert state.configuration is not None and describe(state.configuration)[0] >= 2
    assert "i-1" in state.departures
    assert await world.change(describe(state.configuration)[0], 9, 9.0) == 9
    world.raise_violations()


def test_given_too_many_lost_disks_then_a_new_group_is_bootstrapped_and_everyone_joins_it() -> None:
    run_world(_two_of_three_disks_lost())


def _image() -> PersistedState:
    step = ConfigurationStep(7, b"digest", document(7, "seven"))
    state = ControlState()
    for entry in (step, DepartureNotice("i-1", "draining"), RoleGrant("placement/s", "m1")):
        state = apply_entry(state, entry)
    return PersistedState(promised=4, promised_to="m1", state=state)


def _bootstrapped() -> PersistedState:
    folder = SimulatedFolder()
    exported = read_export(export_state("m1", _image()), "f").unwrap()
    return bootstrap_from_export(folder, exported, MemberInfo("m9", "n", "a:1", "a:2", "z")).unwrap()


def test_epochs_positions_and_tokens_are_above_those_of_the_lost_group() -> None:
    persisted = _bootstrapped()
    assert (
        persisted.promised >= 4 + RECOVERY_OFFSET
        and persisted.record is not None
        and persisted.record.epoch == persisted.promised
    )
    assert persisted.state.sequence >= 3 + RECOVERY_OFFSET
    assert persisted.state.last_token >= 1 + RECOVERY_OFFSET
    assert persisted.state.roles["placement/s"].token == 1  # the next grant gets a higher token


def test_an_edge_that_is_ahead_of_the_export_accepts_the_new_group_s_state() -> None:
    # Given an edge with a later version than the export: acknowledged, but lost
    tables = FleetTables()
    later = ConfigurationStep(8, b"later", document(8, "eight"))
    ahead = apply_entry(_image().state, later)
    tables.apply(PullResponse(True, None, {STATE_ORIGIN: ahead.sequence}, state_updates(ahead, 0)))
    assert tables.snapshot.configuration is not None and tables.snapshot.configuration.version == 8
    # When it pulls from the new group
    state = _bootstrapped().state
    known = tables.vector[STATE_ORIGIN]
    tables.apply(PullResponse(True, None, {STATE_ORIGIN: state.sequence}, state_updates(state, known)))
    # Then it has the version in force there
    assert tables.snapshot.configuration.version == 7


def test_a_truncated_or_corrupted_export_is_refused() -> None:
    data = export_state("m1", _image())
    assert isinstance(read_export(data[:-1], "f"), Err)
    changed = bytearray(data)
    changed[40] ^= 1
    assert isinstance(read_export(bytes(changed), "f"), Err)
    assert isinstance(read_export(b"", "f"), Err)


@pytest.fixture
def old_folder(tmp_path: Path) -> Path:
    path = tmp_path / "old"
    path.mkdir()
    opened = open_storage(OsFolder(path), NewIdentity("m1", True, ("10.1.0.38:7660",)))
    opened.log.append([encode(PromiseStored(4, "m1"))])
    opened.log.append([encode(EntriesAppended(4, (ConfigurationStep(7, b"digest", document(7, "seven")),)))])
    opened.log.close()
    return path


@pytest.fixture
def settings_file(tmp_path: Path) -> Path:
    path = tmp_path / "boot.toml"
    path.write_text(
        'nodeName = "core-1"\nrole = "control"\nmachineClass = "core"\nserves = ["control_plane"]\n'
        'ipAddress = "127.0.0.1"\nzone = "z"\nregion = "r"\ninternalPorts = [7660, 7675]\n'
        f'seedNodes = ["127.0.0.1:8146"]\ndataDirectory = "{tmp_path / "new"}"\n'
        '[listenAddresses]\ncontrol = "127.0.0.1:8146"\n'
    )
    return path


def test_the_command_bootstraps_only_with_its_flag_and_only_in_an_empty_folder(
    old_folder: Path, settings_file: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    export = str(tmp_path / "whole")
    assert arrowfold(["state", "export", str(old_folder), f"--whole={export}"]) == 0
    command = ["state", "found-anew", export, f"--settings={settings_file}"]
    # Without the flag: it prints what it would do, and refuses
    assert arrowfold(command) == 2
    captured = capsys.readouterr()
    assert "configuration version 7" in captured.out and "--accept-loss" in captured.err
    assert not (tmp_path / "new").exists()
    # With the flag: the folder becomes that of a new group's first member
    assert arrowfold([*command, "--accept-loss"]) == 0
    persisted = recover_member_state(read_log(OsFolder(tmp_path / "new")))
    assert persisted.state.configuration_version == 7 and persisted.confirmed
    # And never in a folder that is not empty
    assert arrowfold([*command, "--accept-loss"]) == 2
    assert "not empty" in capsys.readouterr().err


@pytest.mark.parametrize("content", [b"", b"rubbish"])
def test_an_invalid_export_file_is_reported_in_one_line(
    content: bytes, settings_file: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    bad = tmp_path / "bad"
    bad.write_bytes(content)
    assert arrowfold(["state", "found-anew", str(bad), f"--settings={settings_file}", "--accept-loss"]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_a_partially_written_folder_starts_as_an_empty_one() -> None:
    # Given a command that ended before it wrote the identity
    folder = SimulatedFolder()
    log = SegmentedLog(folder)
    log.recover()
    log.compact(encode(_bootstrapped()))
    log.close()
    # When the node starts
    opened = open_storage(folder, NewIdentity("m5", False, ()))
    # Then its content is set aside
    assert opened.damage is not None and opened.persisted == PersistedState()
