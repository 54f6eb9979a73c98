"""Signals of whole programs: a storm of them from the first moment to the last changes no decided exit."""

from __future__ import annotations

import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import pytest

from arrowfold.node.process_signals import ProcessSignals
from arrowfold.standins.process import SETTINGS as SERVICE_SETTINGS
from arrowfold.standins.servers import LONG, free_port

ROOT = Path(__file__).parent.parent.parent
MOMENTS_S = (0.0, 0.03, 0.1, 0.2, 0.35, 0.5, 0.8, 1.2)  # from when signals are held until the first SIGTERM
PAUSE_S = 0.0002  # between signals of a storm
LONGEST_STORM_S = 60.0
Command = tuple[list[str], dict[str, str]]


def _system_program(name: str, folder: Path) -> Command:
    settings = folder / f"{name}.toml"
    host = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
    settings.write_text(
        f'nodeName = "n"\nipAddress = "{host}"\ninternalPorts = [7660, 7675]\nzone = "z"\n', encoding="utf-8"
    )
    return [sys.executable, "-m", f"arrowfold.programs.{name}", f"--settings={settings}"], {}


def _service_file(folder: Path) -> Path:
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "admin": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 1, "all": True, "targets": []},
        "settings": SERVICE_SETTINGS,
    }
    file = folder / "service.json"
    file.write_text(json.dumps(config), encoding="utf-8")
    return file


def _service_node(folder: Path) -> Command:
    return [sys.executable, "-m", "arrowfold"], {
        "EDGE_CONFIG": str(_service_file(folder)),
        "TMPDIR": str(folder),
    }


PROGRAMS: dict[str, Callable[[Path], Command]] = {
    "edge": lambda folder: _system_program("edge", folder),
    "control": lambda folder: _system_program("control", folder),
    "node in service": _service_node,
}


@dataclass(frozen=True)
class StormEnd:
    """How a program ended that was stormed: its exit code, and what it wrote on standard error."""

    code: int | None
    errors: str


def _holds_or_catches_hangup(process: subprocess.Popen[str]) -> bool:
    """Whether the program has taken SIGHUP over, by a mask or a handler; False once it ended."""
    try:
        status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
    except OSError:
        return False
    masks = [
        int(line.split()[1], 16) for line in status.splitlines() if line.startswith(("SigBlk:", "SigCgt:"))
    ]
    return any(mask & 1 << signal.SIGHUP - 1 for mask in masks)


def _storm(command: Command, moment_s: float) -> StormEnd:
    """Send SIGHUP all the time from the program's first moment, and all three once `moment_s` has passed."""
    arguments, variables = command
    environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
    with (
        tempfile.TemporaryFile("w+", encoding="utf-8") as errors,
        subprocess.Popen(
            arguments, cwd=ROOT, env={**environment, **variables}, stderr=errors, text=True
        ) as process,
    ):
        try:
            while process.poll() is None and not _holds_or_catches_hangup(process):
                time.sleep(PAUSE_S)
            begun_s = time.monotonic()
            while process.poll() is None and time.monotonic() - begun_s < LONGEST_STORM_S:
                process.send_signal(signal.SIGHUP)
                if time.monotonic() - begun_s >= moment_s:
                    process.send_signal(signal.SIGTERM)
                    process.send_signal(signal.SIGINT)
                time.sleep(PAUSE_S)
            code = process.poll()
        finally:
            process.kill()
        errors.seek(0)
        return StormEnd(code, errors.read())


@pytest.mark.parametrize("program", list(PROGRAMS))
def test_given_a_storm_of_signals_at_any_moment_then_a_program_ends_with_success(
    program: str, tmp_path: Path
) -> None:
    # Given one program for each moment at which it may be told to end
    folders = [tmp_path / str(number) for number in range(len(MOMENTS_S))]
    for folder in folders:
        folder.mkdir()
    commands = [PROGRAMS[program](folder) for folder in folders]
    # When signals never cease, from its first moment until it is gone
    with ThreadPoolExecutor(2) as pool:
        ends = list(pool.map(_storm, commands, MOMENTS_S))
    # Then each ends as if it had been told once
    assert [end.code for end in ends] == [0] * len(MOMENTS_S), [end.errors[-600:] for end in ends]
    assert not any("Traceback" in end.errors for end in ends)


def test_given_a_storm_of_signals_then_a_program_with_a_bad_file_still_says_so(tmp_path: Path) -> None:
    # Given a program whose settings are at fault, and which decides so a moment after its start
    bad = tmp_path / "bad.toml"
    bad.write_text("nodeName = ", encoding="utf-8")
    command = [sys.executable, "-m", "arrowfold.programs.control", f"--settings={bad}"], {}
    # When SIGHUP never ceases
    end = _storm(command, LONGEST_STORM_S)
    # Then its exit code is that of the fault
    assert end.code == 2
    assert "error 601" in end.errors


LATE_SIGNAL = """
import os, signal, sys

class SendsAtTheEnd:
    def __del__(self, kill=os.kill, process=os.getpid(), number=signal.SIGHUP):
        kill(process, number)

sends = SendsAtTheEnd()  # is cleared after the interpreter has given signals their default action back
{taking}
sys.exit(3)
"""
TAKING = {
    "system": "from arrowfold.node.process_signals import ProcessSignals\nProcessSignals().guard()",
    "service": "from arrowfold.program.signals import Signals\ntaken = Signals()\ntaken.ignore_further()",
    "nothing": "signal.signal(signal.SIGHUP, lambda number, frame: None)",
}


@pytest.mark.parametrize(
    ("taking", "code"), [("system", 3), ("service", 3), ("nothing", -signal.SIGHUP)], ids=list(TAKING)
)
def test_given_a_signal_while_the_interpreter_ends_then_the_exit_code_stays(taking: str, code: int) -> None:
    script = LATE_SIGNAL.format(taking=TAKING[taking])
    assert subprocess.run([sys.executable, "-c", script], cwd=ROOT, timeout=LONG).returncode == code


class _RecordingLoop:
    """Runs what is scheduled at once, and counts it; or is closed."""

    def __init__(self, is_closed: bool = False) -> None:
        self.is_closed = is_closed

    def call_soon_threadsafe(self, callback: Callable[[], object]) -> object:
        if self.is_closed:
            raise RuntimeError("Event loop is closed")
        return callback()


def test_given_no_open_sockets_then_a_termination_while_loading_ends_at_once() -> None:
    codes: list[int] = []
    signals = ProcessSignals(end_process=codes.append)
    signals.handle(signal.SIGHUP)
    assert codes == []
    signals.handle(signal.SIGINT)
    assert codes == [0]


def test_given_a_termination_then_further_ones_are_not_told() -> None:
    told: list[str] = []
    signals = ProcessSignals(end_process=lambda code: pytest.fail(f"ended with {code}"))
    signals.listen(_RecordingLoop(), lambda: told.append("end"), lambda: told.append("reload"))
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signals.handle(number)
    assert told == ["reload", "end", "reload"]
    age_s = signals.termination_age_s()
    assert age_s is not None and 0.0 <= age_s < LONG


def test_given_a_closed_loop_then_signals_change_nothing() -> None:
    signals = ProcessSignals(end_process=lambda code: pytest.fail(f"ended with {code}"))
    signals.listen(_RecordingLoop(is_closed=True), lambda: None, lambda: None)
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        signals.handle(number)
