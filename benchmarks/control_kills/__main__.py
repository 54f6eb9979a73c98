"""Kills of real control processes on loopback.

Usage:
  control_kills [--members N] [--losses N] [--faults N] [--seed SEED] [--result FILE]

Options:
  --members N    Control processes [default: 3].
  --losses N     How many may be lost at one time [default: 1].
  --faults N     How many faults [default: 250].
  --seed SEED    Of the draws [default: 1].
  --result FILE  Write the figures as JSON.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

from docopt import docopt

from benchmarks.control_kills.run import run_with_faults


def main() -> int:
    """Runs the command line and returns the exit code."""
    options = docopt(__doc__)
    members, losses, faults, seed = (
        int(options[name]) for name in ("--members", "--losses", "--faults", "--seed")
    )
    with tempfile.TemporaryDirectory() as folder:
        figures = asyncio.run(run_with_faults(Path(folder), members, losses, faults, seed))
    text = json.dumps(figures, indent=1)
    print(text)
    if options["--result"]:
        Path(options["--result"]).write_text(text + "\n")
    return int(bool(figures["wrong"] or figures["stuck"]))


if __name__ == "__main__":
    sys.exit(main())
