"""arrowfold's edge node: takes clients' requests and forwards them to workers.

Usage:
  edge [--settings=FILE] [--log-level=LEVEL] [--json-log]
  edge --help

Options:
  --settings=FILE    The settings file; else the one that ARROWFOLD_NODE_FILE names.
  --log-level=LEVEL  The least level that is logged [default: INFO].
  --json-log         Log JSON lines.
"""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
from pathlib import Path

import uvloop
from docopt import docopt
from result import Err

from arrowfold.dataplane.node import EdgeNode
from arrowfold.node.logs import RateLimitedLog, configure
from arrowfold.node.result_codes import ResultCode
from arrowfold.node.settings import NodeSettings, load_settings, settings_path
from arrowfold.selection.market_selector import MarketSelector

SETTINGS_LOOK_S = 1.0  # between looks at the settings file, which may change without a signal


async def run(path: Path, settings: NodeSettings) -> None:
    """Run an edge node until SIGTERM."""
    log = RateLimitedLog(settings.nodeName)
    node = EdgeNode(settings, MarketSelector(settings.zone, secrets.randbits(64)), log)
    stopped = asyncio.Event()
    reread = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, reread.set)
    await node.start()
    log.info("started", zone=settings.zone)
    watcher = asyncio.create_task(_watch_settings(path, node, reread, log))
    await stopped.wait()
    log.info("stopping")
    await node.stop()
    watcher.cancel()
    log.info("stopped")


async def _watch_settings(path: Path, node: EdgeNode, reread: asyncio.Event, log: RateLimitedLog) -> None:
    known = _changed_at(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_LOOK_S):
                await reread.wait()
        except TimeoutError:
            pass
        seen = _changed_at(path)
        if seen == known and not reread.is_set():
            continue
        reread.clear()
        known = seen
        loaded = load_settings(path)
        if isinstance(loaded, Err):
            log.warning("settings_refused", reason=str(loaded.unwrap_err()))
        else:
            node.apply_settings(loaded.unwrap())


def _changed_at(path: Path) -> tuple[int, int]:
    try:
        status = path.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)


def main(arguments: list[str] | None = None) -> int:
    """The program; returns its exit status."""
    options = docopt(__doc__, argv=arguments)
    configure(options["--log-level"], options["--json-log"])
    path = Path(options["--settings"]) if options["--settings"] else settings_path()
    if path is None:
        print(f"error {ResultCode.USAGE}: no settings file is named", file=sys.stderr)
        return 2
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        print(f"error {ResultCode.SETTINGS_INVALID}: {loaded.unwrap_err()}", file=sys.stderr)
        return 2
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(path, loaded.unwrap()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
