"""The log: events with fields on standard error, at most so many a second of each event.

Where a deployment's document is read, structlog renders them: as key=value, or as JSON lines where the
document asks. A node of the platform's loads no such library (it would add 5 MB to 21 and 29 ms to 49): there
one plain form stands in, with the same events and fields.
"""

from __future__ import annotations

import contextlib
import sys
import time
from collections.abc import Callable

LINES_A_SECOND = 20  # of one event; others have their own
FORMS = ("key-value", "json")
Fields = dict[str, object]


class Log:
    """Says events. What comes too fast is counted, and said once the second is over."""

    def __init__(self, name: str, form: str | None = None) -> None:
        self.name, self.second = name, 0
        self.printed: dict[str, int] = {}
        self._write = _plain if form is None else _structured(form)

    def __call__(self, event: str, **fields: object) -> None:
        second = int(time.monotonic())
        if second != self.second:
            last, self.second, self.printed = self.printed, second, {}
            for name, count in last.items():
                if count > LINES_A_SECOND:
                    self._print("left_out", {"of": name, "lines": count - LINES_A_SECOND})
        count = self.printed[event] = self.printed.get(event, 0) + 1
        if count <= LINES_A_SECOND:
            self._print(event, fields)

    def _print(self, event: str, fields: Fields) -> None:
        with contextlib.suppress(OSError):  # nobody reads the log: no reason to end
            self._write(event, {"node": self.name, **fields})


def _plain(event: str, fields: Fields) -> None:
    words = (f"{key}={value!r}" for key, value in {"event": event, **fields}.items())
    print(" ".join(words), file=sys.stderr, flush=True)


def _structured(form: str) -> Callable[[str, Fields], None]:
    """The one configuration of structlog."""
    import structlog

    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer(default=str)
    if form != "json":
        renderer = structlog.processors.KeyValueRenderer(key_order=["event", "node"])
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr), wrapper_class=structlog.BoundLogger, context_class=dict,
        cache_logger_on_first_use=True,
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer])
    return lambda event, fields: logger.msg(event, **fields)
