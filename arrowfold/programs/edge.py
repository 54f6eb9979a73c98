"""arrowfold's edge node: takes clients' requests and forwards them to workers.

Usage:
  edge [--settings=FILE] [--log-level=LEVEL] [--json-log]
  edge --help

Options:
  --settings=FILE    The settings file; else the one that ARROWFOLD_NODE_FILE names.
  --log-level=LEVEL  The least level that is logged [default: INFO].
  --json-log         Write the log as JSON lines.
"""

from __future__ import annotations

import asyncio
import secrets
import sys

import uvloop
from docopt import docopt
from result import Err

from arrowfold.dataplane.node import EdgeNode
from arrowfold.node.logs import RateLimitedLog, configure
from arrowfold.programs.startup import SettingsFile, open_settings, refuse, run_node
from arrowfold.selection.market_selector import MarketSelector


def make_edge(file: SettingsFile, log: RateLimitedLog) -> EdgeNode:
    """An edge node that has not started; needs a running event loop."""
    selector = MarketSelector(file.settings.zone, secrets.randbits(64))
    return EdgeNode(file.settings, selector, log)


def main(arguments: list[str] | None = None) -> int:
    """Run an edge node until it is told to end; returns the exit code."""
    options = docopt(__doc__, argv=arguments)
    configure(options["--log-level"], options["--json-log"])
    opened = open_settings(options["--settings"])
    if isinstance(opened, Err):
        return refuse(opened.err_value)
    file = opened.ok_value
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_node(file, lambda log: make_edge(file, log)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
