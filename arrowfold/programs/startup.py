"""What both programs do around their node: find the settings file, follow it, obey signals, end in order."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from result import Err, Ok, Result

from arrowfold.node.logs import RateLimitedLog
from arrowfold.node.process_signals import ProcessSignals
from arrowfold.node.result_codes import ResultCode
from arrowfold.node.settings import NodeSettings, load_settings
from arrowfold.node.settings_path import SETTINGS_VARIABLE, settings_path

EXIT_FAULTY = 2  # exit code where the settings file or the command line is at fault
SETTINGS_CHECK_INTERVAL_S = 1.0  # between looks at a settings file that may change without a signal


class RunnableNode(Protocol):
    """An edge or a control node."""

    async def start(self) -> None:
        """Begin to serve."""

    async def stop(self, told_ago_s: float = 0.0) -> None:
        """End in order, within the grace time of the settings; `told_ago_s` of it has passed already."""

    def apply_settings(self, settings: NodeSettings) -> None:
        """Take a settings file that has changed."""


@dataclass(frozen=True, slots=True)
class SettingsFile:
    """A settings file and what it held at the start."""

    path: Path
    settings: NodeSettings


def open_settings(named: str | None = None) -> Result[SettingsFile, str]:
    """The settings file that is named, else that of the environment; or one line that says what is wrong."""
    path = settings_path(named)
    if path is None:
        return Err(f"error {int(ResultCode.USAGE)}: {SETTINGS_VARIABLE} names no settings file")
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        return Err(f"error {int(ResultCode.SETTINGS_INVALID)}: {loaded.err_value}")
    return Ok(SettingsFile(path, loaded.ok_value))


def refuse(text: str) -> int:
    """Print one line on standard error; returns the exit code."""
    print(text, file=sys.stderr)
    return EXIT_FAULTY


async def run_node(
    file: SettingsFile, make_node: Callable[[RateLimitedLog], RunnableNode], signals: ProcessSignals
) -> None:
    """Run a node until SIGTERM or SIGINT; SIGHUP and a changed file bring new settings.

    A SIGTERM that came while the program was loading ends the node as soon as it has started.
    """
    log = RateLimitedLog(file.settings.nodeName)
    node = make_node(log)
    terminated, hangup = asyncio.Event(), asyncio.Event()
    signals.listen(asyncio.get_running_loop(), terminated.set, hangup.set)
    await node.start()
    log.info("started", zone=file.settings.zone)
    following = asyncio.create_task(follow_settings(file.path, hangup, node.apply_settings, log))
    await terminated.wait()
    log.info("stopping")
    following.cancel()
    await node.stop(signals.termination_age_s() or 0.0)
    log.info("stopped")


async def follow_settings(
    path: Path, hangup: asyncio.Event, apply: Callable[[NodeSettings], None], log: RateLimitedLog
) -> None:
    """Read the file again once `hangup` is set and whenever it has changed; a bad file changes nothing."""
    seen = _fingerprint(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_INTERVAL_S):
                await hangup.wait()
        except TimeoutError:
            pass
        signalled = hangup.is_set()
        hangup.clear()
        current = _fingerprint(path)
        if not signalled and current == seen:
            continue
        seen = current
        loaded = load_settings(path)
        if isinstance(loaded, Err):
            log.warning("settings_refused", reason=str(loaded.err_value))
        else:
            apply(loaded.ok_value)


def _fingerprint(path: Path) -> tuple[int, int]:
    """When the file was changed (ns) and its size; zeros where there is none."""
    try:
        status = path.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
