"""Signals of a process from its first moment to its last: none is lost, and none changes a decided exit.

The signals are blocked in every thread, and one thread takes them with `sigwait`. So no handler interrupts
the program, a storm of signals costs one wake-up each, and the default action of a signal never happens: not
while libraries load, not while an event loop closes, and not while the interpreter ends.
"""

from __future__ import annotations

import contextlib
import os
import signal
import threading
import time
from collections.abc import Callable
from typing import Protocol

TERMINATIONS = frozenset((signal.SIGTERM, signal.SIGINT))
TAKEN = TERMINATIONS | {signal.SIGHUP}


class CallScheduler(Protocol):
    """The part of an event loop that another thread may call."""

    def call_soon_threadsafe(self, callback: Callable[[], object]) -> object:
        """Run the callback in the loop's thread; RuntimeError once the loop is closed."""


class ProcessSignals:
    """Takes SIGTERM, SIGINT and SIGHUP for as long as the process lives.

    While the program loads, SIGHUP changes nothing: the settings are read later anyway. SIGTERM and SIGINT
    end the process with code 0 until `defer_termination` was called or a loop listens; from then on the first
    one is kept, for the node to end in order, and further ones change nothing.
    """

    def __init__(self, end_process: Callable[[int], object] = os._exit) -> None:
        self._end_process = end_process
        self._lock = threading.Lock()
        self._is_deferring = False
        self._terminated_s: float | None = None  # when the first SIGTERM or SIGINT came, by the steady clock
        self._loop: CallScheduler | None = None
        self._on_termination: Callable[[], object] = lambda: None
        self._on_hangup: Callable[[], object] = lambda: None

    def guard(self) -> None:
        """Block the signals and begin to take them; called once, before any other thread is started."""
        signal.pthread_sigmask(signal.SIG_BLOCK, TAKEN)
        threading.Thread(target=self._take_for_ever, name="signals", daemon=True).start()

    def defer_termination(self) -> None:
        """From now on clients may have sent something that an end at once would lose."""
        with self._lock:
            self._is_deferring = True

    def listen(
        self, loop: CallScheduler, on_termination: Callable[[], object], on_hangup: Callable[[], object]
    ) -> None:
        """Tell a loop of signals from now on, also of a termination that came earlier."""
        with self._lock:
            self._is_deferring = True
            self._loop = loop
            self._on_termination = on_termination
            self._on_hangup = on_hangup
            has_come = self._terminated_s is not None
        if has_come:
            self._call_in_loop(on_termination)

    def termination_age_s(self) -> float | None:
        """How long ago the first SIGTERM or SIGINT came, in seconds; None if none did."""
        if self._terminated_s is None:
            return None
        return time.monotonic() - self._terminated_s

    def note(self, number: int) -> None:
        """Act on a signal that was taken; called from any thread."""
        if number in TERMINATIONS:
            self._note_termination()
        else:
            self._call_in_loop(self._on_hangup)

    def _note_termination(self) -> None:
        with self._lock:
            if not self._is_deferring:
                self._end_process(0)
            if self._terminated_s is not None:
                return
            self._terminated_s = time.monotonic()
        self._call_in_loop(self._on_termination)

    def _call_in_loop(self, callback: Callable[[], object]) -> None:
        if self._loop is not None:
            with contextlib.suppress(RuntimeError):  # the loop is closed: the process is about to end
                self._loop.call_soon_threadsafe(callback)

    def _take_for_ever(self) -> None:
        while True:
            self.note(signal.sigwait(TAKEN))
