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
from functools import partial
from multiprocessing import Pool
from pathlib import Path
from typing import Any

from docopt import docopt

from benchmarks.control_model.actions import Bounds
from benchmarks.control_model.checker import Result, check
from benchmarks.control_model.scenarios import CLEAN, PLANTED


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


def _clean(name: str, seconds: float) -> dict[str, Any]:
    scenario, bounds = CLEAN[name]
    return _row(name, check(scenario, bounds, seconds=seconds))


def _planted(name: str, seconds: float) -> dict[str, Any]:
    scenario, epochs = PLANTED[name]
    return _row(name, check(scenario, Bounds(most_epochs=epochs, planted=name), seconds=seconds))


def _tell(row: dict[str, Any]) -> None:
    extent = "all states" if row["complete"] else "part of the states"
    print(
        f"{row['name']:34} {row['states']:9} states, depth {row['depth']:3}, {row['seconds']:6} s, "
        f"{extent}: {row['violation'] or 'every promise kept'}",
        flush=True,
    )


def main() -> int:
    """Run the command line."""
    options = docopt(__doc__)
    seconds = float(options["--seconds"])
    if options["trace"]:
        row = _planted(options["FAULT"], seconds)
        print("\n".join([*row["trace"], row["violation"] or "no broken promise found"]))
        return int(row["violation"] is None)
    play, names = (_clean, list(CLEAN)) if options["run"] else (_planted, list(PLANTED))
    with Pool(int(options["--processes"])) as pool:
        rows = []
        for row in pool.imap(partial(play, seconds=seconds), names):
            _tell(row)
            rows.append(row)
    if options["--result"]:
        Path(options["--result"]).write_text(json.dumps(rows, indent=1) + "\n")
    as_wanted = [(row["violation"] is None) == bool(options["run"]) for row in rows]
    return int(not all(as_wanted))


if __name__ == "__main__":
    sys.exit(main())
