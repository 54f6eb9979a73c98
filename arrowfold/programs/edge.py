"""arrowfold's edge node: takes clients' requests and forwards them to workers.

Usage:
  edge [--settings=FILE] [--policy=FILE] [--trace] [--log-level=LEVEL] [--json-log]
  edge --help

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
from arrowfold.node.listeners import open_listeners
from arrowfold.node.process_signals import ProcessSignals


def main(arguments: list[str] | None = None) -> int:
    """Run an edge node until SIGTERM or SIGINT; returns the exit code."""
    signals = ProcessSignals()
    signals.install()
    from docopt import docopt  # imported once signals are handled, as its import takes time

    options = docopt(__doc__, argv=arguments)
    listeners = open_listeners(options["--settings"], signals.defer_termination)
    # These imports take a considerable part of a second; connections that arrive meanwhile wait.
    with loading_libraries():
        from arrowfold.programs.edge_assembly import run_edge

    return run_edge(options, listeners, signals)


if __name__ == "__main__":
    sys.exit(main())
