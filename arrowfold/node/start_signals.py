"""Signals that come while a program still loads, before its node handles them."""

from __future__ import annotations

import os
import signal
import time
from types import FrameType


class StartSignals:
    """Keeps SIGHUP and SIGTERM from harming a program that loads.

    SIGHUP changes nothing: the settings are read later anyway. SIGTERM ends the process with code 0 until
    `defer_termination` was called; from then on it is only noted, for the node to end in order.
    """

    def __init__(self) -> None:
        self._is_deferring = False
        self._terminated_s: float | None = None  # when SIGTERM came, by the steady clock

    def guard(self) -> None:
        """Take the signals, until the node handles them itself."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, self._terminate)

    def defer_termination(self) -> None:
        """From now on clients may have sent something that an end at once would lose."""
        self._is_deferring = True

    def termination_age_s(self) -> float | None:
        """How long ago SIGTERM came, in seconds; None if it did not."""
        if self._terminated_s is None:
            return None
        return time.monotonic() - self._terminated_s

    def _terminate(self, number: int, frame: FrameType | None) -> None:
        del number, frame
        if not self._is_deferring:
            os._exit(0)
        if self._terminated_s is None:
            self._terminated_s = time.monotonic()
