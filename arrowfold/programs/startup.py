"""Start-up and shutdown common to the edge and the control program.

Finds and loads the settings file, runs the node, applies changed settings, and stops the node on a signal.
"""

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

EXIT_INVALID_INPUT = 2  # exit code for an invalid settings file, policy file or command line
SETTINGS_CHECK_INTERVAL_S = 1.0  # between checks of the settings file, which may change without a SIGHUP


class RunnableNode(Protocol):
    """The interface that an edge node and a control node share."""

    async def start(self) -> None:
        """Start serving."""

    async def stop(self, elapsed_grace_s: float = 0.0) -> None:
        """Shut down gracefully within the grace period of the settings.

        `elapsed_grace_s` is the part of the grace period that has already passed, in seconds.
        """

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply the contents of a changed settings file."""


@dataclass(frozen=True, slots=True)
class SettingsFile:
    """The path of a settings file and the settings that were read from it at the start."""

    path: Path
    settings: NodeSettings


def open_settings(path_option: str | None = None) -> Result[SettingsFile, str]:
    """Loads the settings file at `path_option`, or else the one that ARROWFOLD_NODE_FILE names.

    The error is one line of text that starts with the result code.
    """
    path = settings_path(path_option)
    if path is None:
        return Err(f"error {int(ResultCode.USAGE)}: {SETTINGS_VARIABLE} names no settings file")
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        return Err(f"error {int(ResultCode.SETTINGS_INVALID)}: {loaded.err_value}")
    return Ok(SettingsFile(path, loaded.ok_value))


def report_startup_error(message: str) -> int:
    """Print the message on standard error; returns the exit code for invalid input."""
    print(message, file=sys.stderr)
    return EXIT_INVALID_INPUT


async def run_node(
    settings_file: SettingsFile, make_node: Callable[[RateLimitedLog], RunnableNode], signals: ProcessSignals
) -> None:
    """Run a node until SIGTERM or SIGINT; SIGHUP or a changed file reloads the settings.

    A SIGTERM that arrived while the program was loading stops the node as soon as it has started.
    """
    log = RateLimitedLog(settings_file.settings.nodeName)
    node = make_node(log)
    terminated, hangup = asyncio.Event(), asyncio.Event()
    signals.listen(asyncio.get_running_loop(), terminated.set, hangup.set)
    await node.start()
    log.info("started", zone=settings_file.settings.zone)
    settings_follower = asyncio.create_task(
        follow_settings(settings_file.path, hangup, node.apply_settings, log)
    )
    await terminated.wait()
    log.info("stopping")
    settings_follower.cancel()
    await node.stop(signals.termination_age_s() or 0.0)
    log.info("stopped")


async def follow_settings(
    path: Path, hangup: asyncio.Event, apply: Callable[[NodeSettings], None], log: RateLimitedLog
) -> None:
    """Reload the file when `hangup` is set or the file has changed; an invalid file is logged and ignored."""
    last_fingerprint = _fingerprint(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_INTERVAL_S):
                await hangup.wait()
        except TimeoutError:
            pass
        was_signalled = hangup.is_set()
        hangup.clear()
        fingerprint = _fingerprint(path)
        if not was_signalled and fingerprint == last_fingerprint:
            continue
        last_fingerprint = fingerprint
        loaded = load_settings(path)
        if isinstance(loaded, Err):
            log.warning("settings_refused", reason=str(loaded.err_value))
        else:
            apply(loaded.ok_value)


def _fingerprint(path: Path) -> tuple[int, int]:
    """Returns the modification time (ns) and the size (bytes) of the file, or zeros if it can't be read."""
    try:
        status = path.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
