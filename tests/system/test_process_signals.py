"""Signal handling of whole programs: a flood of signals at any time does not change the exit code."""

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
from arrowfold.standins.servers import TIMEOUT_S, free_port

ROOT = Path(__file__).parent.parent.parent
# From when the program handles signals until the first SIGTERM.
TERMINATION_DELAYS_S = (0.0, 0.03, 0.1, 0.2, 0.35, 0.5, 0.8, 1.2)
PAUSE_S = 0.0002  # between signals of a flood
FLOOD_TIMEOUT_S = 60.0
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
class ProgramExit:
    """Exit code (None if the program was still running) and standard error of a program."""

    code: int | None
    errors: str


def _handles_hangup(process: subprocess.Popen[str]) -> bool:
    """Whether the program blocks SIGHUP or has a handler for it; False once it has ended."""
    try:
        status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
    except OSError:
        return False
    masks = [
        int(line.split()[1], 16) for line in status.splitlines() if line.startswith(("SigBlk:", "SigCgt:"))
    ]
    return any(mask & 1 << signal.SIGHUP - 1 for mask in masks)


def _flood_with_signals(command: Command, termination_delay_s: float) -> ProgramExit:
    """Send SIGHUP from the time that the program handles it, and also SIGTERM and SIGINT after the delay."""
    arguments, variables = command
    environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
    with (
        tempfile.TemporaryFile("w+", encoding="utf-8") as errors,
        subprocess.Popen(
            arguments, cwd=ROOT, env={**environment, **variables}, stderr=errors, text=True
        ) as process,
    ):
        try:
            while process.poll() is None and not _handles_hangup(process):
                time.sleep(PAUSE_S)
            started_s = time.monotonic()
            while process.poll() is None and time.monotonic() - started_s < FLOOD_TIMEOUT_S:
                process.send_signal(signal.SIGHUP)
                if time.monotonic() - started_s >= termination_delay_s:
                    process.send_signal(signal.SIGTERM)
                    process.send_signal(signal.SIGINT)
                time.sleep(PAUSE_S)
            code = process.poll()
        finally:
            process.kill()
        errors.seek(0)
        return ProgramExit(code, errors.read())


@pytest.mark.parametrize("program", list(PROGRAMS))
def test_given_a_flood_of_signals_and_a_termination_at_any_time_then_a_program_exits_with_success(
    program: str, tmp_path: Path
) -> None:
    # Given one program for each time of its termination
    folders = [tmp_path / str(number) for number in range(len(TERMINATION_DELAYS_S))]
    for folder in folders:
        folder.mkdir()
    commands = [PROGRAMS[program](folder) for folder in folders]
    # When signals are sent without pause until it has ended
    with ThreadPoolExecutor(2) as pool:
        exits = list(pool.map(_flood_with_signals, commands, TERMINATION_DELAYS_S))
    # Then each exits as after a single SIGTERM
    assert [program_exit.code for program_exit in exits] == [0] * len(TERMINATION_DELAYS_S), [
        program_exit.errors[-600:] for program_exit in exits
    ]
    assert not any("Traceback" in program_exit.errors for program_exit in exits)


def test_given_a_flood_of_signals_then_a_program_with_an_invalid_file_still_exits_with_its_error(
    tmp_path: Path,
) -> None:
    # Given a program with invalid settings, which it finds shortly after its start
    bad = tmp_path / "bad.toml"
    bad.write_text("nodeName = ", encoding="utf-8")
    command = [sys.executable, "-m", "arrowfold.programs.control", f"--settings={bad}"], {}
    # When SIGHUP is sent without pause
    program_exit = _flood_with_signals(command, FLOOD_TIMEOUT_S)
    # Then it exits with the code for invalid settings
    assert program_exit.code == 2
    assert "error 601" in program_exit.errors


LATE_SIGNAL = """
import os, signal, sys

class SendsSignalAtExit:
    def __del__(self, kill=os.kill, process=os.getpid(), number=signal.SIGHUP):
        kill(process, number)

sender = SendsSignalAtExit()  # deleted after the interpreter has restored the default actions
{handling}
sys.exit(3)
"""
SIGNAL_HANDLING = {
    "system": "from arrowfold.node.process_signals import ProcessSignals\nProcessSignals().install()",
    "service": "from arrowfold.program.signals import Signals\ntaken = Signals()\ntaken.ignore_further()",
    "nothing": "signal.signal(signal.SIGHUP, lambda number, frame: None)",
}


@pytest.mark.parametrize(
    ("handling", "code"),
    [("system", 3), ("service", 3), ("nothing", -signal.SIGHUP)],
    ids=list(SIGNAL_HANDLING),
)
def test_given_a_signal_while_the_interpreter_exits_then_the_exit_code_is_unchanged(
    handling: str, code: int
) -> None:
    script = LATE_SIGNAL.format(handling=SIGNAL_HANDLING[handling])
    assert subprocess.run([sys.executable, "-c", script], cwd=ROOT, timeout=TIMEOUT_S).returncode == code


class _ImmediateLoop:
    """Runs callbacks at once, or raises as a closed loop does."""

    def __init__(self, is_closed: bool = False) -> None:
        self.is_closed = is_closed

    def call_soon_threadsafe(self, callback: Callable[[], object]) -> object:
        if self.is_closed:
            raise RuntimeError("Event loop is closed")
        return callback()


def test_given_no_open_sockets_then_a_termination_while_loading_exits_at_once() -> None:
    codes: list[int] = []
    signals = ProcessSignals(end_process=codes.append)
    signals.handle(signal.SIGHUP)
    assert codes == []
    signals.handle(signal.SIGINT)
    assert codes == [0]


def test_given_a_termination_then_further_ones_are_ignored() -> None:
    calls: list[str] = []
    signals = ProcessSignals(end_process=lambda code: pytest.fail(f"ended with {code}"))
    signals.listen(_ImmediateLoop(), lambda: calls.append("end"), lambda: calls.append("reload"))
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signals.handle(number)
    assert calls == ["reload", "end", "reload"]
    age_s = signals.termination_age_s()
    assert age_s is not None and 0.0 <= age_s < TIMEOUT_S


def test_given_a_closed_loop_then_signals_are_ignored() -> None:
    signals = ProcessSignals(end_process=lambda code: pytest.fail(f"ended with {code}"))
    signals.listen(_ImmediateLoop(is_closed=True), lambda: None, lambda: None)
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        signals.handle(number)
