"""arrowfold control node.

Usage:
  control [--check-settings] [--json-logs] [--log-level LEVEL]

Options:
  --check-settings   Read the settings, tell what is wrong with them, and end.
  --json-logs        Write the log as JSON lines.
  --log-level LEVEL  The least level that is logged [default: INFO].

The settings file is the one that ARROWFOLD_NODE_FILE names.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from docopt import docopt
from result import Err

from arrowfold.controlplane.node import ControlNode
from arrowfold.node import logs
from arrowfold.node.settings import SETTINGS_VARIABLE, load_settings, settings_path

SETTINGS_CHECK_INTERVAL_S = 1.0  # between looks at a settings file that may change without a signal
EXIT_SETTINGS = 2


def _modified(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


async def _follow_settings(path: Path, node: ControlNode, hangup: asyncio.Event) -> None:
    """Read the settings again after SIGHUP and when the file has changed."""
    seen = _modified(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_INTERVAL_S):
                await hangup.wait()
        except TimeoutError:
            pass
        signalled = hangup.is_set()
        hangup.clear()
        modified = _modified(path)
        if not signalled and modified == seen:
            continue
        seen = modified
        loaded = load_settings(path)
        if not isinstance(loaded, Err):
            node.take_settings(loaded.ok_value)


async def _run(path: Path, node: ControlNode) -> None:
    loop = asyncio.get_running_loop()
    terminated, hangup = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    loop.add_signal_handler(signal.SIGINT, terminated.set)
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    await node.start()
    following = asyncio.create_task(_follow_settings(path, node, hangup))
    await terminated.wait()
    following.cancel()
    await node.stop()


def main(arguments: list[str] | None = None) -> int:
    """Run a control node until it is told to end."""
    options = docopt(__doc__, argv=arguments)
    logs.configure(options["--log-level"], options["--json-logs"])
    path = settings_path()
    if path is None:
        print(f"{SETTINGS_VARIABLE} names no settings file", file=sys.stderr)
        return EXIT_SETTINGS
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        return EXIT_SETTINGS
    settings = loaded.ok_value
    if options["--check-settings"]:
        print(f"{path}: in order")
        return 0
    node = ControlNode(settings, logs.RateLimitedLog(settings.nodeName))
    asyncio.run(_run(path, node))
    return 0


if __name__ == "__main__":
    sys.exit(main())
