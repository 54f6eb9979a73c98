"""The structured log of a process: events with fields on standard error, limited in rate for each event."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

from loguru import logger

EVENTS_PER_SECOND = 20  # of one event; what lies beyond is counted and told with the next that passes


class RateLimitedLog:
    """Writes `event key=value ...` lines; no event can flood the log."""

    def __init__(self, node: str, clock: Callable[[], float] = time.monotonic) -> None:
        self._node = node
        self._clock = clock
        self._windows: dict[str, tuple[float, int]] = {}

    def info(self, event: str, **fields: Any) -> None:
        """Log what an operator may want to see on an ordinary day."""
        self._write("INFO", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log what an operator should look at."""
        self._write("WARNING", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log what must not happen."""
        self._write("ERROR", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        now = self._clock()
        started, count = self._windows.get(event, (now, 0))
        if now - started >= 1.0:
            suppressed = max(0, count - EVENTS_PER_SECOND)
            started, count = now, 0
            if suppressed:
                fields = {**fields, "suppressed": suppressed}
        self._windows[event] = (started, count + 1)
        if count >= EVENTS_PER_SECOND:
            return
        text = " ".join(f"{key}={value!r}" for key, value in fields.items())
        logger.log(level, f"event={event} node={self._node} {text}".rstrip())


def configure(level: str = "INFO", json_lines: bool = False) -> None:
    """Send the log to standard error, as key=value or as JSON lines."""
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        serialize=json_lines,
        format="{time:HH:mm:ss.SSS} {level} {message}",
        backtrace=False,
        diagnose=False,
    )
