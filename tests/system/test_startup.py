"""Startup of both programs: finding and reloading settings, errors of one line, orderly shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from arrowfold.node import process_signals
from arrowfold.node.logs import RateLimitedLog
from arrowfold.node.process_signals import ProcessSignals
from arrowfold.node.settings import NodeSettings
from arrowfold.node.settings_path import SETTINGS_VARIABLE
from arrowfold.programs.startup import SETTINGS_CHECK_INTERVAL_S, follow_settings, open_settings, run_node
from arrowfold.standins.servers import TIMEOUT_S, eventually
from tests.system.virtual_time import run_virtual

SETTINGS = """
nodeName = "n"
ipAddress = "127.0.0.1"
internalPorts = [7660, 7675]
zone = "first"
"""
SECOND = SETTINGS.replace("first", "the second one")
BAD = "nodeName = "


class RecordingNode:
    """A node that records the settings that it is given, and its starts and stops."""

    def __init__(self) -> None:
        self.zones: list[str] = []
        self.calls: list[str] = []
        self.elapsed_grace_s = 0.0

    async def start(self) -> None:
        self.calls.append("start")

    async def stop(self, elapsed_grace_s: float = 0.0) -> None:
        self.calls.append("stop")
        self.elapsed_grace_s = elapsed_grace_s

    def apply_settings(self, settings: NodeSettings) -> None:
        self.zones.append(settings.zone)


@pytest.fixture
def file(tmp_path: Path) -> Path:
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS, encoding="utf-8")
    return path


def zones_applied(file: Path, texts: list[str], signalled: bool) -> list[str]:
    """Returns the zones that a node is given while the file is rewritten with each text in turn."""
    node = RecordingNode()

    async def scenario() -> None:
        hangup = asyncio.Event()
        task = asyncio.create_task(follow_settings(file, hangup, node.apply_settings, RateLimitedLog("n")))
        await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S / 2)
        for text in texts:
            file.write_text(text, encoding="utf-8")
            if signalled:
                hangup.set()
                await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S / 100)
            else:
                await asyncio.sleep(2 * SETTINGS_CHECK_INTERVAL_S)
        task.cancel()

    run_virtual(scenario())
    return node.zones


@pytest.mark.parametrize("signalled", [True, False])
def test_a_changed_file_is_applied_with_and_without_a_signal(file: Path, signalled: bool) -> None:
    assert zones_applied(file, [SECOND], signalled) == ["the second one"]


@pytest.mark.parametrize("signalled", [True, False])
def test_an_invalid_file_is_ignored_and_a_valid_one_after_it_is_applied(file: Path, signalled: bool) -> None:
    assert zones_applied(file, [BAD, SECOND], signalled) == ["the second one"]


def test_an_unchanged_file_is_applied_only_on_a_signal(file: Path) -> None:
    assert zones_applied(file, [SETTINGS], signalled=True) == ["first"]

    async def scenario() -> list[str]:
        node = RecordingNode()
        follower = follow_settings(file, asyncio.Event(), node.apply_settings, RateLimitedLog("n"))
        task = asyncio.create_task(follower)
        await asyncio.sleep(10 * SETTINGS_CHECK_INTERVAL_S)
        task.cancel()
        return node.zones

    assert run_virtual(scenario()) == []


def test_settings_are_found_by_path_or_by_the_environment(
    file: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv(SETTINGS_VARIABLE, str(file))
    assert open_settings().unwrap().settings.zone == "first"
    monkeypatch.delenv(SETTINGS_VARIABLE)
    assert open_settings(str(file)).unwrap().path == file
    assert "602" in open_settings().unwrap_err()


class FakeMonotonicClock:
    """Replaces the module `time`: the test sets the monotonic clock, in seconds."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> FakeMonotonicClock:
    fake_clock = FakeMonotonicClock()
    monkeypatch.setattr(process_signals, "time", fake_clock)
    return fake_clock


def test_a_node_is_started_and_stopped_in_order_by_a_signal(file: Path, clock: FakeMonotonicClock) -> None:
    node = RecordingNode()
    signals = ProcessSignals()

    def receive_signal_and_advance_clock() -> None:
        signals.handle(signal.SIGTERM)
        clock.now_s += 0.25

    async def scenario() -> None:
        asyncio.get_running_loop().call_soon(receive_signal_and_advance_clock)
        await run_node(open_settings(str(file)).unwrap(), lambda log: node, signals)

    asyncio.run(scenario())
    assert node.calls == ["start", "stop"]
    assert node.elapsed_grace_s == 0.25


def test_given_a_sigterm_while_loading_with_open_sockets_then_a_node_starts_and_stops_in_order(
    file: Path, clock: FakeMonotonicClock
) -> None:
    # Given a program whose sockets already listen and that receives SIGTERM while it loads
    node = RecordingNode()
    signals = ProcessSignals(end_process=lambda code: pytest.fail(f"ended with {code}"))
    signals.defer_termination()
    signals.handle(signal.SIGTERM)
    clock.now_s += 1.5
    # When it has loaded, after further signals
    signals.handle(signal.SIGTERM)
    signals.handle(signal.SIGINT)
    asyncio.run(run_node(open_settings(str(file)).unwrap(), lambda log: node, signals))
    # Then its node is started, to answer pending requests, and has the time since the first signal
    assert node.calls == ["start", "stop"]
    assert node.elapsed_grace_s == 1.5


@pytest.mark.parametrize("program", ["edge", "control"])
@pytest.mark.parametrize(
    ("text", "message"), [(BAD, "error 601"), (SETTINGS.replace("nodeName", "name"), "nodeName")]
)
def test_a_program_with_an_invalid_file_exits_with_one_line(
    program: str, text: str, message: str, file: Path
) -> None:
    file.write_text(text, encoding="utf-8")
    command = [sys.executable, "-m", f"arrowfold.programs.{program}", f"--settings={file}"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 2
    assert message in done.stderr and done.stderr.count("\n") == 1


def _blocks_hangup(process: subprocess.Popen[bytes]) -> bool:
    """Whether the program blocks SIGHUP, so that its signal thread receives it."""
    status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
    blocked = next(line for line in status.splitlines() if line.startswith("SigBlk:"))
    return bool(int(blocked.split()[1], 16) & 1 << signal.SIGHUP - 1)


@pytest.mark.parametrize("program", ["edge", "control"])
def test_signals_while_a_program_loads_are_handled(program: str, tmp_path: Path) -> None:
    # Given a program that loads and then waits for its settings file
    unwritten_file = tmp_path / "settings.toml"
    os.mkfifo(unwritten_file)
    command = [sys.executable, "-m", f"arrowfold.programs.{program}", f"--settings={unwritten_file}"]
    with subprocess.Popen(command) as process:
        try:
            eventually(lambda: process.poll() is not None or _blocks_hangup(process))
            # When it receives SIGHUP, then it continues
            process.send_signal(signal.SIGHUP)
            assert process.poll() is None
            # And on SIGTERM it exits with success
            process.terminate()
            assert process.wait(TIMEOUT_S) == 0
        finally:
            process.kill()
