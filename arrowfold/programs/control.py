"""arrowfold's control node: keeps the control state, takes heartbeats and operators' calls, places models.

Usage:
  control [--settings=FILE] [--log-level=LEVEL] [--json-log]
  control --help

Options:
  --settings=FILE    The settings file; else the one that ARROWFOLD_NODE_FILE names.
  --log-level=LEVEL  The least level that is logged [default: INFO].
  --json-log         Write the log as JSON lines.
"""

from __future__ import annotations

import asyncio
import sys

from docopt import docopt
from result import Err

from arrowfold.controlplane.node import ControlNode
from arrowfold.node.logs import configure
from arrowfold.programs.startup import open_settings, refuse, run_node


def main(arguments: list[str] | None = None) -> int:
    """Run a control node until it is told to end; returns the exit code."""
    options = docopt(__doc__, argv=arguments)
    configure(options["--log-level"], options["--json-log"])
    opened = open_settings(options["--settings"])
    if isinstance(opened, Err):
        return refuse(opened.err_value)
    file = opened.ok_value
    asyncio.run(run_node(file, lambda log: ControlNode(file.settings, log)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
