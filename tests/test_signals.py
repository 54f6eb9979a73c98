"""Signals that arrive faster than the event loop handles them, or before it runs."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 20.0

# A burst of SIGHUPs arrives before the loop runs, as during the imports of a process; then one SIGTERM.
BURST_SCRIPT = """
import os, signal, sys
from arrowfold.program.signals import Signals
from arrowfold.transport.loop import Loop
from datetime import timedelta

signals = Signals()
for _ in range(int(sys.argv[1])):
    os.kill(os.getpid(), signal.SIGHUP)
loop = Loop(lambda where, error: print(where, error))
seen = []

class Watcher:
    def on_ready(self, mask):
        seen.extend(signals.take())
        if signal.SIGTERM in seen:
            loop.stopping = True

loop.watch(signals.fileno(), Watcher())
if sys.argv[2] == "before":
    os.kill(os.getpid(), signal.SIGTERM)
else:
    loop.call_later(timedelta(seconds=0.1), lambda: os.kill(os.getpid(), signal.SIGTERM))
loop.call_later(timedelta(seconds=3), lambda: setattr(loop, "stopping", True))
loop.run()
sys.exit(0 if signal.SIGTERM in seen and signal.SIGHUP in seen else 1)
"""


class Bursts(unittest.TestCase):
    def exit_code_after_burst(self, hangups: int, when: str) -> int:
        command = [sys.executable, "-c", BURST_SCRIPT, str(hangups), when]
        return subprocess.run(command, cwd=ROOT, timeout=TIMEOUT_S, env=dict(os.environ)).returncode

    def test_a_sigterm_behind_more_sighups_than_one_read_takes(self) -> None:
        self.assertEqual(self.exit_code_after_burst(20_000, "later"), 0)

    def test_a_sigterm_behind_sighups_that_fill_the_pipe(self) -> None:
        self.assertEqual(self.exit_code_after_burst(70_000, "before"), 0)

    def test_a_few_signals_are_taken_once(self) -> None:
        self.assertEqual(self.exit_code_after_burst(3, "later"), 0)


class Taking(unittest.TestCase):
    def test_each_signal_is_returned_once_and_the_first_one_first(self) -> None:
        script = (
            "import os, signal\n"
            "from arrowfold.program.signals import Signals\n"
            "signals = Signals()\n"
            "for name in ('SIGUSR1', 'SIGHUP', 'SIGHUP', 'SIGTERM'):\n"
            "    os.kill(os.getpid(), getattr(signal, name))\n"
            "takes = [[signal.Signals(n).name for n in signals.take()] for _ in range(4)]\n"
            "print(takes[0], sorted(sum(takes[1:], [])))\n"
        )
        run = subprocess.run(
            [sys.executable, "-c", script], cwd=ROOT, timeout=TIMEOUT_S, capture_output=True, text=True)
        self.assertEqual(run.stdout.strip(), "['SIGUSR1'] ['SIGHUP', 'SIGTERM']")


if __name__ == "__main__":
    unittest.main()
