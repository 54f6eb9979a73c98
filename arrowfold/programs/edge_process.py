"""The process of an edge node, from its checked settings to its end."""

from __future__ import annotations

import asyncio
import secrets

import uvloop
from result import Err

from arrowfold.dataplane.node import EdgeNode
from arrowfold.node.listeners import Listeners
from arrowfold.node.logs import RateLimitedLog, configure
from arrowfold.programs.startup import SettingsFile, open_settings, refuse, run_node
from arrowfold.selection.market_selector import MarketSelector


def make_edge(file: SettingsFile, log: RateLimitedLog, listeners: Listeners) -> EdgeNode:
    """An edge node that has not started; needs a running event loop."""
    selector = MarketSelector(file.settings.zone, secrets.randbits(64))
    return EdgeNode(file.settings, selector, log, listeners)


def serve(named: str | None, log_level: str, json_log: bool, listeners: Listeners) -> int:
    """Serve until SIGTERM, at sockets that listen already; returns the exit code."""
    configure(log_level, json_log)
    opened = open_settings(named)
    if isinstance(opened, Err):
        return refuse(opened.err_value)
    file = opened.ok_value
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_node(file, lambda log: make_edge(file, log, listeners)))
    return 0
