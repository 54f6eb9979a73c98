"""Signals from the process's first moment: none is lost and none is fatal, however many come at once."""

from __future__ import annotations

import contextlib
import os
import signal
from types import FrameType

CAUGHT = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
READ_BYTES = 4096


class Signals:
    """Catches signals and keeps, until they are taken, which ones came; a pipe only wakes the loop.

    The pipe's bytes are no record: a storm of signals would fill it, and the last one's byte would be lost.
    Once one has come, all are blocked until they are taken: the kernel keeps each kind, and handlers don't
    run within one another without bound, which a storm would drive into a RecursionError.
    """

    def __init__(self) -> None:
        self._pending: dict[int, None] = {}  # the numbers that came, in the order of their first arrival
        self._read, self._write = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(self._write, warn_on_full_buffer=False)
        for number in CAUGHT:
            signal.signal(number, self._note)

    def _note(self, number: int, frame: FrameType | None) -> None:
        """Keep a signal, and wake the loop: the byte of the signal may have been read before this runs."""
        del frame
        signal.pthread_sigmask(signal.SIG_BLOCK, CAUGHT)
        self._pending[number] = None
        with contextlib.suppress(BlockingIOError):  # full: what is in the pipe wakes the loop
            os.write(self._write, b"\0")

    def fileno(self) -> int:
        return self._read

    def take(self) -> tuple[int, ...]:
        """The signals that have come since the last call, each once; more come with the next.

        The pipe is emptied first: the loop is told of what is written only when that is new (edge-triggered).
        """
        while True:
            try:
                os.read(self._read, READ_BYTES)
            except BlockingIOError:
                break
        pending, self._pending = self._pending, {}
        signal.pthread_sigmask(signal.SIG_UNBLOCK, CAUGHT)
        return tuple(pending)

    def ignore_further(self) -> None:
        """The process is about to end, and its exit code is decided: no signal changes it any more.

        While it ends, the interpreter gives caught signals their default action back; ignored ones stay so.
        """
        signal.set_wakeup_fd(-1)
        for number in CAUGHT:
            signal.signal(number, signal.SIG_IGN)
