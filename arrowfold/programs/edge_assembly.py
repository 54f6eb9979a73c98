"""Assembles and runs the edge node.

Imported only once the listening sockets are open, because its imports take long.
"""

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
from arrowfold.programs.startup import SettingsFile, open_settings, report_startup_error, run_node
from arrowfold.selection.market_selector import MarketSelector


def run_edge(options: dict[str, Any], listeners: Listeners, signals: ProcessSignals) -> int:
    """Run an edge node with the parsed command-line options; returns the exit code."""
    configure(options["--log-level"], options["--json-log"])
    loaded = open_settings(options["--settings"])
    if isinstance(loaded, Err):
        return report_startup_error(loaded.err_value)
    policy = load_policy_options(options["--policy"])
    if isinstance(policy, Err):
        return report_startup_error(f"error {int(ResultCode.POLICY_INVALID)}: {policy.err_value}")
    settings_file = loaded.ok_value
    traces = TraceWriter(settings_file.settings.nodeName) if options["--trace"] else None
    components = EdgeComponents(settings_file, listeners, policy.ok_value, traces)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_node(settings_file, lambda log: make_edge(components, log), signals))
    return 0


@dataclass(frozen=True, slots=True)
class EdgeComponents:
    """Everything that an edge node is constructed from."""

    settings_file: SettingsFile
    listeners: Listeners
    policy: PolicyOptions
    traces: TraceWriter | None  # writes a record of each request that is not answered in time


def make_edge(components: EdgeComponents, log: RateLimitedLog) -> EdgeNode:
    """Returns an edge node that is not started yet; needs a running event loop."""
    settings, policy = components.settings_file.settings, components.policy
    selector = MarketSelector(settings.zone, secrets.randbits(64), policy.selection)
    return EdgeNode(settings, selector, log, components.listeners, policy.data_plane, components.traces)
