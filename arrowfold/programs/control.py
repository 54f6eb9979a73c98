"""arrowfold's control node: keeps the control state, takes heartbeats and operators' calls, places models.

Usage:
  control [--settings=FILE] [--policy=FILE] [--trace] [--log-level=LEVEL] [--json-log]
  control --help

Options:
  --settings=FILE    The settings file; else the one that ARROWFOLD_NODE_FILE names.
  --policy=FILE      Options of the policies (docs/policy-options.md); else the defaults.
  --trace            Write what became of requests and loads, for `explain` (docs/explain.md).
  --log-level=LEVEL  The least level that is logged [default: INFO].
  --json-log         Write the log as JSON lines.
"""

from __future__ import annotations

import sys

from arrowfold.node.library_loading import loading_libraries
from arrowfold.node.process_signals import ProcessSignals


def main(arguments: list[str] | None = None) -> int:
    """Run a control node until SIGTERM or SIGINT; returns the exit code."""
    signals = ProcessSignals()
    signals.install()
    from docopt import docopt  # imported once signals are handled, as its import takes time

    options = docopt(__doc__, argv=arguments)
    with loading_libraries():
        from arrowfold.programs.control_assembly import run_control

    return run_control(options, signals)


if __name__ == "__main__":
    sys.exit(main())
