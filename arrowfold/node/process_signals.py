"""Signal handling from process start to exit: no signal is lost or changes an exit code already decided.

The signals are blocked in every thread, and one thread receives them with `sigwait`. So no handler interrupts
the program, each signal costs one wake-up, and the default action of a signal never occurs: not while
libraries load, not while an event loop closes, and not while the interpreter exits.
"""

from __future__ import annotations

import contextlib
import os
import signal
import threading
import time
from collections.abc import Callable
from typing import Protocol

TERMINATION_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
HANDLED_SIGNALS = TERMINATION_SIGNALS | {signal.SIGHUP}


class CallScheduler(Protocol):
    """The method of an event loop that other threads may call."""

    def call_soon_threadsafe(self, callback: Callable[[], object]) -> object:
        """Run the callback in the loop's thread; raises RuntimeError once the loop is closed."""


class ProcessSignals:
    """Handles SIGTERM, SIGINT and SIGHUP for the lifetime of the process.

    While the program loads, SIGHUP is ignored, since the settings are read later anyway. SIGTERM and SIGINT
    exit with code 0 until `defer_termination` or `listen` is called. From then on the first one starts an
    orderly shutdown of the node, and further ones are ignored.
    """

    def __init__(self, end_process: Callable[[int], object] = os._exit) -> None:
        self._end_process = end_process
        self._lock = threading.Lock()
        self._is_deferring = False
        self._termination_received_s: float | None = None  # of the first one, on the monotonic clock
        self._loop: CallScheduler | None = None
        self._on_termination: Callable[[], object] = lambda: None
        self._on_hangup: Callable[[], object] = lambda: None

    def install(self) -> None:
        """Block the signals and start the thread that receives them.

        Must be called once, before any other thread is started.
        """
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
        threading.Thread(target=self._wait_for_signals, name="signals", daemon=True).start()

    def defer_termination(self) -> None:
        """Stop exiting at once on a termination signal, as that could lose data that clients have sent."""
        with self._lock:
            self._is_deferring = True

    def listen(
        self, loop: CallScheduler, on_termination: Callable[[], object], on_hangup: Callable[[], object]
    ) -> None:
        """Call back in the loop's thread on each signal, and now if a termination signal came earlier."""
        with self._lock:
            self._is_deferring = True
            self._loop = loop
            self._on_termination = on_termination
            self._on_hangup = on_hangup
            is_terminating = self._termination_received_s is not None
        if is_terminating:
            self._call_in_loop(on_termination)

    def termination_age_s(self) -> float | None:
        """Returns the time since the first SIGTERM or SIGINT in seconds, or None if there was none."""
        if self._termination_received_s is None:
            return None
        return time.monotonic() - self._termination_received_s

    def handle(self, number: int) -> None:
        """Handle a received signal; may be called from any thread."""
        if number in TERMINATION_SIGNALS:
            self._handle_termination()
        else:
            self._call_in_loop(self._on_hangup)

    def _handle_termination(self) -> None:
        with self._lock:
            if not self._is_deferring:
                self._end_process(0)
            if self._termination_received_s is not None:
                return
            self._termination_received_s = time.monotonic()
        self._call_in_loop(self._on_termination)

    def _call_in_loop(self, callback: Callable[[], object]) -> None:
        if self._loop is not None:
            with contextlib.suppress(RuntimeError):  # the loop is closed: the process is exiting
                self._loop.call_soon_threadsafe(callback)

    def _wait_for_signals(self) -> None:
        while True:
            self.handle(signal.sigwait(HANDLED_SIGNALS))
