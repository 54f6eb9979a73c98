"""The model of epochs and membership: every state within bounds, and counterexamples of planted faults.

Usage:
  control_model run [--seconds S] [--processes N] [--result FILE]
  control_model planted [--seconds S] [--processes N] [--result FILE]
  control_model trace FAULT [--seconds S]

`run` visits the states of each clean scenario; `planted` looks for the shortest way to a broken promise for
each planted fault; `trace` prints that way.

Options:
  --seconds S    At most, for each run [default: 600].
  --processes N  Runs at the same time [default: 1].
  --result FILE  Write the figures as JSON.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from docopt import docopt
from result import Err

from benchmarks.control_model.checker import Result
from benchmarks.control_model.playing import Visit, visit
from benchmarks.control_model.scenarios import CLEAN, PLANTED
from benchmarks.jobs import run_jobs

DEADLINE_SLACK_S = 300.0  # a run checks its time limit only between two states


def _row(name: str, result: Result) -> dict[str, Any]:
    return {
        "name": name,
        "states": result.states,
        "depth": result.depth,
        "seconds": round(result.seconds, 1),
        "complete": result.complete,
        "violation": result.violation,
        "trace": list(result.trace),
    }


def _print_row(row: dict[str, Any]) -> None:
    extent = "all states" if row["complete"] else "part of the states"
    print(
        f"{row['name']:34} {row['states']:9} states, depth {row['depth']:3}, {row['seconds']:6} s, "
        f"{extent}: {row['violation'] or 'every promise kept'}",
        flush=True,
    )


def _visit_all(names: list[str], is_planted: bool, options: dict[str, Any]) -> int:
    seconds = float(options["--seconds"])
    visits = [Visit(name, is_planted, seconds) for name in names]
    rows = {}
    processes = int(options["--processes"])
    for requested, result in run_jobs(visit, visits, processes, seconds + DEADLINE_SLACK_S):
        if isinstance(result, Err):
            print(f"{requested.name}: {result.err_value.reason}\n{result.err_value.stacks}", flush=True)
            continue
        rows[requested.name] = _row(requested.name, result.ok_value)
        _print_row(rows[requested.name])
    if options["--result"]:
        ordered = [rows[name] for name in names if name in rows]
        Path(options["--result"]).write_text(json.dumps(ordered, indent=1) + "\n")
    as_expected = [(row["violation"] is not None) == is_planted for row in rows.values()]
    return int(len(rows) < len(names) or not all(as_expected))


def main() -> int:
    """Runs the command line and returns the exit code."""
    options = docopt(__doc__)
    if options["trace"]:
        row = _row(options["FAULT"], visit(Visit(options["FAULT"], True, float(options["--seconds"]))))
        print("\n".join([*row["trace"], row["violation"] or "no broken promise found"]))
        return int(row["violation"] is None)
    is_planted = bool(options["planted"])
    return _visit_all(list(PLANTED if is_planted else CLEAN), is_planted, options)


if __name__ == "__main__":
    sys.exit(main())
