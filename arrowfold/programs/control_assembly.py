"""Assembles and runs the control node.

Imported only once the process handles its signals, because its imports take long.
"""

from __future__ import annotations

import asyncio
from typing import Any

from result import Err

from arrowfold.controlplane.node import ControlNode
from arrowfold.node.logs import RateLimitedLog, configure
from arrowfold.node.process_signals import ProcessSignals
from arrowfold.node.result_codes import ResultCode
from arrowfold.node.traces import TraceWriter
from arrowfold.programs.policy_options import load_policy_options
from arrowfold.programs.startup import open_settings, report_startup_error, run_node


def run_control(options: dict[str, Any], signals: ProcessSignals) -> int:
    """Run a control node with the parsed command-line options; returns the exit code."""
    configure(options["--log-level"], options["--json-log"])
    loaded = open_settings(options["--settings"])
    if isinstance(loaded, Err):
        return report_startup_error(loaded.err_value)
    policy = load_policy_options(options["--policy"])
    if isinstance(policy, Err):
        return report_startup_error(f"error {int(ResultCode.POLICY_INVALID)}: {policy.err_value}")
    settings_file = loaded.ok_value
    traces = TraceWriter(settings_file.settings.nodeName) if options["--trace"] else None
    placement, scaling = policy.ok_value.placement, policy.ok_value.scaling

    def make_node(log: RateLimitedLog) -> ControlNode:
        return ControlNode(settings_file.settings, log, placement, traces, scaling)

    asyncio.run(run_node(settings_file, make_node, signals))
    return 0
