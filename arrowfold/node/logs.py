"""Structured logging: events with fields on standard error, with a rate limit for each event."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

from loguru import logger

MAX_LINES_PER_SECOND = 20  # for each event; suppressed lines are counted in a later one


class RateLimitedLog:
    """Writes `event key=value ...` lines, with a limited rate for each event."""

    def __init__(self, node: str, clock: Callable[[], float] = time.monotonic) -> None:
        self._node = node
        self._clock = clock
        self._windows: dict[str, tuple[float, int]] = {}

    def info(self, event: str, **fields: Any) -> None:
        """Log an event of normal operation."""
        self._write("INFO", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that an operator should look into."""
        self._write("WARNING", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an error that must not occur."""
        self._write("ERROR", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        now = self._clock()
        started, count = self._windows.get(event, (now, 0))
        if now - started >= 1.0:
            suppressed = max(0, count - MAX_LINES_PER_SECOND)
            started, count = now, 0
            if suppressed:
                fields = {**fields, "suppressed": suppressed}
        self._windows[event] = (started, count + 1)
        if count >= MAX_LINES_PER_SECOND:
            return
        text = " ".join(f"{key}={value!r}" for key, value in fields.items())
        logger.log(level, f"event={event} node={self._node} {text}".rstrip())


def configure(level: str = "INFO", json_lines: bool = False) -> None:
    """Configure the log: the least level, and key=value or JSON lines on standard error."""
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        serialize=json_lines,
        format="{time:HH:mm:ss.SSS} {level} {message}",
        backtrace=False,
        diagnose=False,
    )
