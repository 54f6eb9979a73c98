"""Signals as bytes in a socket, from the process's first moment: none is lost and none is fatal."""

from __future__ import annotations

import signal
import socket

CAUGHT = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


class Signals:
    """Catches signals; who reads, reads them in the order they came in."""

    def __init__(self) -> None:
        self._read, self._write = socket.socketpair()
        for end in (self._read, self._write):
            end.setblocking(False)
        signal.set_wakeup_fd(self._write.fileno(), warn_on_full_buffer=False)
        for number in CAUGHT:
            signal.signal(number, lambda *_: None)

    def fileno(self) -> int:
        return self._read.fileno()

    def take(self) -> bytes:
        """The numbers that have come in."""
        try:
            return self._read.recv(4096)
        except BlockingIOError:
            return b""
