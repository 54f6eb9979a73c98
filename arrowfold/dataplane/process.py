"""The life of an edge process: settings read and watched, signals, start and end."""

from __future__ import annotations

import asyncio
import secrets
import signal
from pathlib import Path

import uvloop
from result import Err

from arrowfold.dataplane.node import EdgeNode
from arrowfold.node.listeners import Listeners
from arrowfold.node.logs import RateLimitedLog
from arrowfold.node.settings import NodeSettings, SettingsError, load_settings
from arrowfold.selection.market_selector import MarketSelector

SETTINGS_LOOK_S = 1.0  # between looks at the settings file, which may change without a signal


def serve(path: Path, listeners: Listeners) -> SettingsError | None:
    """Serve until SIGTERM; returns why the settings can't be used, if they can't."""
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        return loaded.unwrap_err()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(path, loaded.unwrap(), listeners))
    return None


async def _run(path: Path, settings: NodeSettings, listeners: Listeners) -> None:
    """Run an edge node until SIGTERM."""
    log = RateLimitedLog(settings.nodeName)
    node = EdgeNode(settings, MarketSelector(settings.zone, secrets.randbits(64)), log)
    stopped = asyncio.Event()
    reread = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, reread.set)
    await node.start(listeners)
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
