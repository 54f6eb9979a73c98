"""The edge program behind its listening sockets: all that takes long to load."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass
from typing import Any

import uvloop
from result import Err

from arrowfold.dataplane.node import EdgeNode
from arrowfold.node.listeners import Listeners
from arrowfold.node.logs import RateLimitedLog, configure
from arrowfold.node.process_signals import ProcessSignals
from arrowfold.node.result_codes import ResultCode
from arrowfold.node.traces import TraceWriter
from arrowfold.programs.policy_options import PolicyOptions, load_policy_options
from arrowfold.programs.startup import SettingsFile, open_settings, refuse, run_node
from arrowfold.selection.market_selector import MarketSelector


def run_edge(options: dict[str, Any], listeners: Listeners, signals: ProcessSignals) -> int:
    """Run an edge node with the options of the command line; returns the exit code."""
    configure(options["--log-level"], options["--json-log"])
    opened = open_settings(options["--settings"])
    if isinstance(opened, Err):
        return refuse(opened.err_value)
    policy = load_policy_options(options["--policy"])
    if isinstance(policy, Err):
        return refuse(f"error {int(ResultCode.POLICY_INVALID)}: {policy.err_value}")
    file = opened.ok_value
    traces = TraceWriter(file.settings.nodeName) if options["--trace"] else None
    parts = EdgeParts(file, listeners, policy.ok_value, traces)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_node(file, lambda log: make_edge(parts, log), signals))
    return 0


@dataclass(frozen=True, slots=True)
class EdgeParts:
    """What an edge node is made of."""

    file: SettingsFile
    listeners: Listeners
    policy: PolicyOptions
    traces: TraceWriter | None  # takes a record of each request that is not answered in time


def make_edge(parts: EdgeParts, log: RateLimitedLog) -> EdgeNode:
    """An edge node that has not started; needs a running event loop."""
    settings, policy = parts.file.settings, parts.policy
    selector = MarketSelector(settings.zone, secrets.randbits(64), policy.selection)
    return EdgeNode(settings, selector, log, parts.listeners, policy.data_plane, parts.traces)
