"""The log: plain lines on standard error, at most so many a second."""

from __future__ import annotations

import sys
import time

LINES_A_SECOND = 20


class Log:
    """Prints lines; what comes too fast is counted and said once there is room again."""

    def __init__(self, name: str) -> None:
        self.name, self.second, self.printed, self.dropped = name, 0, 0, 0

    def __call__(self, text: str) -> None:
        second = int(time.monotonic())
        if second != self.second:
            dropped, self.second, self.printed, self.dropped = self.dropped, second, 0, 0
            if dropped:
                self._print(f"{dropped} lines left out")
        if self.printed >= LINES_A_SECOND:
            self.dropped += 1
            return
        self.printed += 1
        self._print(text)

    def _print(self, text: str) -> None:
        try:
            print(f"{self.name}: {text}", file=sys.stderr, flush=True)
        except OSError:
            self.dropped += 1  # nobody reads the log: no reason to end
