"""The log: events with fields on standard error, with a rate limit for each event name.

With a deployment's document, structlog renders the events as key=value pairs or, if the document selects it,
as JSON lines. Without one structlog is not imported, because it would add 5 MB of memory to 21 MB and 29 ms
of start time to 49 ms; a plain writer prints the same events and fields.
"""

from __future__ import annotations

import contextlib
import sys
import time
from collections.abc import Callable

MAX_LINES_PER_SECOND = 20  # of one event name; each name has its own limit
FORMATS = ("key-value", "json")
Fields = dict[str, object]


class Log:
    """Writes events. Lines over the rate limit are counted, and their number is logged a second later."""

    def __init__(self, name: str, log_format: str | None = None) -> None:
        self.name, self.second = name, 0
        self.line_counts: dict[str, int] = {}
        self._write = _write_plain if log_format is None else _structlog_writer(log_format)

    def __call__(self, event: str, **fields: object) -> None:
        second = int(time.monotonic())
        if second != self.second:
            last, self.second, self.line_counts = self.line_counts, second, {}
            for name, count in last.items():
                if count > MAX_LINES_PER_SECOND:
                    self._print("left_out", {"of": name, "lines": count - MAX_LINES_PER_SECOND})
        count = self.line_counts[event] = self.line_counts.get(event, 0) + 1
        if count <= MAX_LINES_PER_SECOND:
            self._print(event, fields)

    def _print(self, event: str, fields: Fields) -> None:
        with contextlib.suppress(OSError):  # a closed log must not end the node
            self._write(event, {"node": self.name, **fields})


def _write_plain(event: str, fields: Fields) -> None:
    pairs = (f"{key}={value!r}" for key, value in {"event": event, **fields}.items())
    print(" ".join(pairs), file=sys.stderr, flush=True)


def _structlog_writer(log_format: str) -> Callable[[str, Fields], None]:
    """Configures structlog and returns a writer for the given format."""
    import structlog

    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer(default=str)
    if log_format != "json":
        renderer = structlog.processors.KeyValueRenderer(key_order=["event", "node"])
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr), wrapper_class=structlog.BoundLogger, context_class=dict,
        cache_logger_on_first_use=True,
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer])
    return lambda event, fields: logger.msg(event, **fields)
