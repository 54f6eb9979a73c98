"""Signal handling from the start of the process: no signal is lost or fatal, at any rate of arrival."""

from __future__ import annotations

import contextlib
import os
import signal
from types import FrameType

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
READ_BYTES = 4096


class Signals:
    """Records which signals arrived until `take` is called; a pipe only wakes the event loop.

    The pipe's bytes are not the record: a burst of signals fills the pipe, and later bytes are lost. After
    one signal all handled ones are blocked until `take`: the kernel keeps one of each kind pending, and
    handlers cannot nest without bound, which would end in a RecursionError.
    """

    def __init__(self) -> None:
        self._pending: dict[int, None] = {}  # signal numbers in the order of their first arrival
        self._read, self._write = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(self._write, warn_on_full_buffer=False)
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._on_signal)

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        """Records a signal and wakes the loop again: its wake-up byte may have been read before this runs."""
        del frame
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
        self._pending[number] = None
        with contextlib.suppress(BlockingIOError):  # a full pipe wakes the loop as well
            os.write(self._write, b"\0")

    def fileno(self) -> int:
        """Returns the descriptor that becomes readable when a signal arrives."""
        return self._read

    def take(self) -> tuple[int, ...]:
        """Returns the signals received since the last call, each once, and unblocks them.

        The pipe is emptied first, since the loop watches it edge-triggered: only new bytes wake it.
        """
        while True:
            try:
                os.read(self._read, READ_BYTES)
            except BlockingIOError:
                break
        pending, self._pending = self._pending, {}
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        return tuple(pending)

    def ignore_further(self) -> None:
        """Ignores all handled signals while the process exits, so that none changes its exit code.

        On exit the interpreter restores the default action of handled signals, but not of ignored ones.
        """
        signal.set_wakeup_fd(-1)
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
