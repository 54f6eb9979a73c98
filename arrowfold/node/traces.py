"""Trace records: one JSON line for each thing worth explaining, off by default and limited in rate."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable, Mapping
from typing import Any, TextIO

RECORDS_A_SECOND = 200  # of one kind; what lies beyond is counted and told with the next that passes
KIND = "trace"  # the key that tells the kind of a record


class TraceWriter:
    """Writes records to standard error, among the lines of the log."""

    def __init__(
        self, node: str, clock: Callable[[], float] = time.monotonic, stream: TextIO | None = None
    ) -> None:
        self._node = node
        self._clock = clock
        self._stream = stream or sys.stderr
        self._seconds: dict[str, tuple[int, int]] = {}  # by kind: the second that runs, records in it

    def write(self, kind: str, fields: Mapping[str, Any]) -> None:
        """Write one record, if its kind has room in this second."""
        second = int(self._clock())
        started, count = self._seconds.get(kind, (second, 0))
        suppressed = 0
        if second != started:
            suppressed = max(0, count - RECORDS_A_SECOND)
            started, count = second, 0
        self._seconds[kind] = (started, count + 1)
        if count >= RECORDS_A_SECOND:
            return
        record = {KIND: kind, "node": self._node, **fields}
        if suppressed:
            record["suppressed"] = suppressed
        self._stream.write(json.dumps(record, separators=(",", ":")) + "\n")
