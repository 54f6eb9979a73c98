"""Signals as bytes in a pipe, from the process's first moment: none is lost and none is fatal."""

from __future__ import annotations

import os
import signal

CAUGHT = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


class Signals:
    """Catches signals; who reads, reads them in the order they came in."""

    def __init__(self) -> None:
        self._read, self._write = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(self._write, warn_on_full_buffer=False)
        for number in CAUGHT:
            signal.signal(number, lambda *_: None)

    def fileno(self) -> int:
        return self._read

    def take(self) -> bytes:
        """The numbers that have come in."""
        try:
            return os.read(self._read, 4096)
        except BlockingIOError:
            return b""
