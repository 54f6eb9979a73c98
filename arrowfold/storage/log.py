"""A log in numbered segments, each with the snapshot that it starts from.

`snapshot-N` holds the state before the first record of `segment-N`. Compaction writes the next snapshot
under a temporary name, syncs it, renames it, syncs the folder, and only then removes the files that it
replaces. At any time the state consists of the snapshot with the highest number and the segment of the same
number.
"""

from __future__ import annotations

from dataclasses import dataclass

from arrowfold.storage.faults import DamagedStorage
from arrowfold.storage.folders import AppendFile, Folder
from arrowfold.storage.frames import encode_frame, scan

SNAPSHOT_PREFIX = "snapshot-"
SEGMENT_PREFIX = "segment-"
TEMPORARY_SUFFIX = ".new"


@dataclass(frozen=True, slots=True)
class RecoveredLog:
    """The content of a log: the last snapshot, or None if there is none, and the records after it."""

    snapshot: bytes | None
    records: tuple[bytes, ...]
    cut_bytes: int = 0  # length of the torn tail


def _numbers(names: list[str], prefix: str) -> list[int]:
    found = [name.removeprefix(prefix) for name in names if name.startswith(prefix)]
    return sorted(int(number) for number in found if number.isdigit())


def _file_name(prefix: str, number: int) -> str:
    return f"{prefix}{number:08d}"


def _read_snapshot(folder: Folder, number: int) -> bytes:
    name = _file_name(SNAPSHOT_PREFIX, number)
    payloads = scan(folder.read(name), name).payloads
    if len(payloads) != 1:
        raise DamagedStorage(name, 0, "a synced snapshot is invalid")
    return payloads[0]


def _read(folder: Folder) -> tuple[int, RecoveredLog, int]:
    """Returns the number of the last segment, the log's content, and the end of the segment's valid part."""
    names = folder.names()
    snapshots = _numbers(names, SNAPSHOT_PREFIX)
    number = snapshots[-1] if snapshots else 0
    snapshot = _read_snapshot(folder, number) if snapshots else None
    segment = _file_name(SEGMENT_PREFIX, number)
    data = folder.read(segment) if segment in names else b""
    scanned = scan(data, segment)
    return number, RecoveredLog(snapshot, scanned.payloads, len(data) - scanned.end), scanned.end


def read_log(folder: Folder) -> RecoveredLog:
    """Read a log without changing its folder; raises DamagedStorage if synced bytes are invalid."""
    return _read(folder)[1]


class SegmentedLog:
    """Appends records durably.

    All methods block. After an OSError, `compact` must be called before the next `append`.
    """

    def __init__(self, folder: Folder) -> None:
        self._folder = folder
        self._number = 0
        self._file: AppendFile | None = None
        self._end = 0
        self._synced = 0

    @property
    def segment_bytes(self) -> int:
        """The size of the current segment in bytes."""
        return self._end

    def recover(self) -> RecoveredLog:
        """Read the folder and truncate a torn tail; raises DamagedStorage if synced bytes are invalid."""
        self._number, recovered, end = _read(self._folder)
        self._file = self._folder.open(_file_name(SEGMENT_PREFIX, self._number))
        if recovered.cut_bytes:
            self._file.truncate(end)
        self._file.sync()
        self._folder.sync()
        self._end = self._synced = end
        self._remove_others()
        return recovered

    def append(self, records: list[bytes]) -> None:
        """Write records; returns once they are durable."""
        assert self._file is not None
        data = b"".join(encode_frame(record, self._synced) for record in records)
        self._file.append(data)
        self._file.sync()
        self._end += len(data)
        self._synced = self._end

    def compact(self, image: bytes) -> None:
        """Start the next segment from the snapshot `image`; also recovers from a failed append."""
        number = self._number + 1
        snapshot = _file_name(SNAPSHOT_PREFIX, number)
        self._write_new(snapshot, image)
        file = self._folder.open(_file_name(SEGMENT_PREFIX, number))
        file.truncate(0)
        file.sync()
        self._folder.rename(snapshot + TEMPORARY_SUFFIX, snapshot)
        self._folder.sync()
        if self._file is not None:
            self._file.close()
        self._number, self._file = number, file
        self._end = self._synced = 0
        self._remove_others()

    def _write_new(self, snapshot: str, image: bytes) -> None:
        file = self._folder.open(snapshot + TEMPORARY_SUFFIX)
        try:
            file.truncate(0)
            file.append(encode_frame(image, 0))
            file.sync()
        finally:
            file.close()

    def _remove_others(self) -> None:
        kept = {_file_name(SNAPSHOT_PREFIX, self._number), _file_name(SEGMENT_PREFIX, self._number)}
        for name in self._folder.names():
            if name.startswith((SNAPSHOT_PREFIX, SEGMENT_PREFIX)) and name not in kept:
                self._folder.remove(name)

    def close(self) -> None:
        """Close the current segment."""
        if self._file is not None:
            self._file.close()
            self._file = None
