"""Trace records for `explain`: JSON lines, off by default, with a rate limit for each kind."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable, Mapping
from typing import Any, TextIO

MAX_RECORDS_PER_SECOND = 200  # for each kind; suppressed records are counted in a later one
KIND = "trace"  # the key of a record's kind


class TraceWriter:
    """Writes records to standard error, between the lines of the log."""

    def __init__(
        self, node: str, clock: Callable[[], float] = time.monotonic, stream: TextIO | None = None
    ) -> None:
        self._node = node
        self._clock = clock
        self._stream = stream or sys.stderr
        self._seconds: dict[str, tuple[int, int]] = {}  # by kind: the current second and its count

    def write(self, kind: str, fields: Mapping[str, Any]) -> None:
        """Write one record, unless its kind has reached the limit of this second."""
        second = int(self._clock())
        started, count = self._seconds.get(kind, (second, 0))
        suppressed = 0
        if second != started:
            suppressed = max(0, count - MAX_RECORDS_PER_SECOND)
            started, count = second, 0
        self._seconds[kind] = (started, count + 1)
        if count >= MAX_RECORDS_PER_SECOND:
            return
        record = {KIND: kind, "node": self._node, **fields}
        if suppressed:
            record["suppressed"] = suppressed
        self._stream.write(json.dumps(record, separators=(",", ":")) + "\n")
