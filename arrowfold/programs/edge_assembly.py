"""The edge program behind its listening sockets: all that takes long to load."""

from __future__ import annotations

import asyncio
import secrets
from typing import Any

import uvloop
from result import Err

from arrowfold.dataplane.node import EdgeNode
from arrowfold.node.listeners import Listeners
from arrowfold.node.logs import RateLimitedLog, configure
from arrowfold.node.start_signals import StartSignals
from arrowfold.programs.startup import SettingsFile, open_settings, refuse, run_node
from arrowfold.selection.market_selector import MarketSelector


def run_edge(options: dict[str, Any], listeners: Listeners, signals: StartSignals) -> int:
    """Run an edge node with the options of the command line; returns the exit code."""
    configure(options["--log-level"], options["--json-log"])
    opened = open_settings(options["--settings"])
    if isinstance(opened, Err):
        return refuse(opened.err_value)
    file = opened.ok_value
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_node(file, lambda log: make_edge(file, log, listeners), signals))
    return 0


def make_edge(file: SettingsFile, log: RateLimitedLog, listeners: Listeners) -> EdgeNode:
    """An edge node that has not started; needs a running event loop."""
    selector = MarketSelector(file.settings.zone, secrets.randbits(64))
    return EdgeNode(file.settings, selector, log, listeners)
