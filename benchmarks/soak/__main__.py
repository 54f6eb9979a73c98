"""Soaks of the whole system as real processes on loopback, one seed after the other.

Usage:
  soak [--first SEED] [--count N] [--edges N] [--clients N] [--workers N] [--series N] [--length N]
       [--doubled SHARE] [--keep FOLDER] [--result FILE] [--checkout FOLDER]

Options:
  --first SEED   The first seed [default: 1].
  --count N      How many seeds [default: 1].
  --edges N      Edge processes, 90 at most; there are always three control processes [default: 3].
  --clients N    Clients with a connection each [default: 60].
  --workers N    Stand-in workers [default: 12].
  --series N     Series of faults side by side [default: 3].
  --length N     Faults of each series [default: 5].
  --doubled SHARE  Share of the answers that are followed by a second one [default: 0.4].
  --keep FOLDER  Keep the logs of runs with faults there.
  --result FILE  Write the figures of all seeds as JSON.
  --checkout FOLDER  Run the programs of another checkout of this repository.
"""

from __future__ import annotations

import json
import logging
import shutil
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

from docopt import docopt

from benchmarks.soak.judge import MAX_FAULTS_SHOWN
from benchmarks.soak.run import SoakPlan, run_soak


def main() -> int:
    """Runs the command line; returns 1 if a run found a fault."""
    options = docopt(__doc__)
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)  # simulated workers log disconnects
    sizes = {name: int(options[f"--{name}"]) for name in ("edges", "clients", "workers", "series", "length")}
    doubled_share = float(options["--doubled"])
    first = int(options["--first"])
    checkout = Path(options["--checkout"]).resolve() if options["--checkout"] else None
    reports = []
    for seed in range(first, first + int(options["--count"])):
        with tempfile.TemporaryDirectory() as folder:
            report = run_soak(Path(folder), SoakPlan(seed, **sizes, doubled_share=doubled_share), checkout)
            if report.faults and options["--keep"]:
                shutil.copytree(folder, Path(options["--keep"]) / f"seed-{seed}", dirs_exist_ok=True)
        reports.append(asdict(report))
        print(f"seed {seed}: {len(report.faults)} faults; {json.dumps(report.figures)}", flush=True)
        for fault in report.faults[:MAX_FAULTS_SHOWN]:
            print(f"  {fault}", flush=True)
    if options["--result"]:
        Path(options["--result"]).write_text(json.dumps(reports, indent=1) + "\n")
    return int(any(report["faults"] for report in reports))


if __name__ == "__main__":
    sys.exit(main())
