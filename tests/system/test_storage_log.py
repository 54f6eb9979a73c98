"""The segmented log: torn tails are truncated, damage is reported, no synced record is lost."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from arrowfold.storage.faults import DamagedStorage
from arrowfold.storage.folders import OsFolder
from arrowfold.storage.frames import encode_frame, scan
from arrowfold.storage.log import SegmentedLog
from tests.system.control_simulation.disks import SimulatedFolder


def _contents(log: SegmentedLog) -> tuple[bytes | None, list[bytes]]:
    recovered = log.recover()
    return recovered.snapshot, list(recovered.records)


def test_given_records_and_a_snapshot_when_opened_again_then_they_are_there(tmp_path) -> None:  # type: ignore[no-untyped-def]
    log = SegmentedLog(OsFolder(tmp_path))
    log.recover()
    log.append([b"one", b"two"])
    log.compact(b"image")
    log.append([b"three"])
    log.close()
    assert _contents(SegmentedLog(OsFolder(tmp_path))) == (b"image", [b"three"])
    assert sorted(path.name for path in tmp_path.iterdir()) == ["segment-00000001", "snapshot-00000001"]


@given(st.lists(st.binary(max_size=40), max_size=6), st.integers(0, 400), st.binary(max_size=60))
def test_given_any_truncation_and_any_garbage_when_scanned_then_a_prefix_of_the_records_is_read(
    records: list[bytes], cut: int, garbage: bytes
) -> None:
    data = b"".join(encode_frame(record, 0) for record in records)
    scanned = scan(data[:cut] + garbage, "segment")
    whole = [record for record in records]
    assert list(scanned.payloads)[: len(whole)] == whole[: len(scanned.payloads)]


def test_given_damage_to_a_synced_record_then_file_and_offset_are_reported() -> None:
    folder = SimulatedFolder()
    log = SegmentedLog(folder)
    log.recover()
    log.append([b"first record"])
    second = log.segment_bytes
    log.append([b"second record"])
    log.append([b"third record"])
    folder.flip_byte("segment-00000000", second + 25)
    with pytest.raises(DamagedStorage) as caught:
        SegmentedLog(folder).recover()
    assert (caught.value.file, caught.value.offset) == ("segment-00000000", second)


def test_given_a_damaged_snapshot_then_it_is_reported() -> None:
    folder = SimulatedFolder()
    log = SegmentedLog(folder)
    log.recover()
    log.compact(b"image" * 10)
    folder.flip_byte("snapshot-00000001", 30)
    with pytest.raises(DamagedStorage) as caught:
        SegmentedLog(folder).recover()
    assert caught.value.file == "snapshot-00000001"


def test_given_a_disk_that_fills_during_compaction_then_the_old_segment_stays() -> None:
    folder = SimulatedFolder()
    log = SegmentedLog(folder)
    log.recover()
    log.append([b"kept"])
    folder.full = True
    with pytest.raises(OSError):
        log.compact(b"image")
    folder.full = False
    folder.lose_power(random.Random(1))
    assert _contents(SegmentedLog(folder)) == (None, [b"kept"])


class LogMachine(RuleBasedStateMachine):
    """Compares the log with a list: acknowledged records survive any power loss, in order, without gaps."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = SimulatedFolder()
        self.log = SegmentedLog(self.folder)
        self.log.recover()
        self.durable: list[bytes] = []  # records confirmed by an append or a compaction
        self.possible: list[bytes] = []  # records that a failed append may have left in addition
        self.draw = random.Random(0)
        self.broken = False

    @precondition(lambda self: not self.broken)
    @rule(records=st.lists(st.binary(min_size=1, max_size=30), min_size=1, max_size=3))
    def append(self, records: list[bytes]) -> None:
        try:
            self.log.append(records)
            self.durable += records
        except OSError:
            self.broken = True
            self.possible = records

    @rule()
    def compact(self) -> None:
        try:
            self.log.compact(b"\0".join(record.hex().encode() for record in self.durable))
            self.broken, self.possible = False, []
        except OSError:
            self.broken = True

    @rule(full=st.booleans())
    def set_full(self, full: bool) -> None:
        self.folder.full = full

    @rule(seed=st.integers(0, 10**6))
    def lose_power(self, seed: int) -> None:
        self.folder.full = False
        self.folder.lose_power(random.Random(seed))
        self._open_again()

    @rule()
    def restart(self) -> None:
        self._open_again()

    def _open_again(self) -> None:
        self.log = SegmentedLog(self.folder)
        recovered = self.log.recover()
        snapshot = recovered.snapshot or b""
        state = [bytes.fromhex(part.decode()) for part in snapshot.split(b"\0") if part]
        state += recovered.records
        assert state[: len(self.durable)] == self.durable
        extra = state[len(self.durable) :]
        assert extra == self.possible[: len(extra)]
        self.durable, self.possible, self.broken = state, [], False

    @invariant()
    def few_files(self) -> None:
        assert len(self.folder.names()) <= 6


TestLogMachine = LogMachine.TestCase
TestLogMachine.settings = settings(max_examples=150, stateful_step_count=25, deadline=None)
