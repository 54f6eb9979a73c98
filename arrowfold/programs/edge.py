"""arrowfold's edge node: takes clients' requests and forwards them to workers.

Usage:
  edge [--settings=FILE] [--log-level=LEVEL] [--json-log]
  edge --help

Options:
  --settings=FILE    The settings file; else the one that ARROWFOLD_NODE_FILE names.
  --log-level=LEVEL  The least level that is logged [default: INFO].
  --json-log         Log JSON lines.
"""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

from docopt import docopt

from arrowfold.node.listeners import open_listeners
from arrowfold.node.result_codes import ResultCode

SETTINGS_VARIABLE = "ARROWFOLD_NODE_FILE"


def main(arguments: list[str] | None = None) -> int:
    """The program; returns its exit status."""
    options = docopt(__doc__, argv=arguments)
    path = _settings_path(options["--settings"])
    if path is None:
        print(f"error {ResultCode.USAGE}: no settings file is named", file=sys.stderr)
        return 2
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the settings are watched
    listeners = open_listeners(path)
    # What follows takes a good part of a second to load; connections that come meanwhile wait.
    from arrowfold.dataplane.process import serve
    from arrowfold.node.logs import configure

    configure(options["--log-level"], options["--json-log"])
    fault = serve(path, listeners)
    if fault is not None:
        print(f"error {ResultCode.SETTINGS_INVALID}: {fault}", file=sys.stderr)
        return 2
    return 0


def _settings_path(named: str | None) -> Path | None:
    name = named or os.environ.get(SETTINGS_VARIABLE)
    return Path(name) if name else None


if __name__ == "__main__":
    sys.exit(main())
