"""Random schedules of faults against the control state.

Usage:
  control_state run [--from SEED] [--schedules N] [--machines N] [--losses N] [--seconds S] [--processes N]
                    [--result FILE]
  control_state replay SEED [--machines N] [--losses N]
  control_state planted [--schedules N] [--processes N] [--result FILE] [NAME]...
  control_state failover [--schedules N]

`run` plays schedules and tells what was lost; `replay` plays one again and prints its trace; `planted` tells
how many schedules each planted fault takes to be found; `failover` measures the time from a failure of the
primary to the next acknowledged change.

Options:
  --from SEED    The first seed [default: 0].
  --schedules N  How many [default: 100].
  --machines N   Core machines [default: 3].
  --losses N     How many may be lost at one time [default: 1].
  --seconds S    Begin no further schedule after this time; 0: no bound [default: 0].
  --processes N  How many play at the same time [default: 1].
  --result FILE  Write the figures as JSON.
"""

from __future__ import annotations

import itertools
import json
import sys
import time
from collections import Counter
from collections.abc import Iterator
from functools import partial
from multiprocessing import Pool
from pathlib import Path
from typing import Any

from docopt import docopt

from benchmarks.control_state.failover import tell_fail_overs
from tests.system.control_simulation.planted import PLANTED, planted
from tests.system.control_simulation.schedules import Outcome, run_schedule

KINDS_OF_VIOLATION = {
    "lost": ("is gone", "are gone", "is acknowledged", "had been acknowledged", "is not what was"),
    "back_steps": ("went back", "as current", "other contents"),
    "two_holders": ("two active primaries", "two holders", "acted"),
    "stuck": ("not within", "no change was acknowledged"),
}


def _play(seed: int, machines: int, losses: int) -> Outcome:
    outcome = run_schedule(seed, machines, losses)
    if outcome.violation is None:
        outcome.trace = []
    return outcome


def _outcomes(
    first: int, count: int, machines: int, losses: int, seconds: float, processes: int
) -> Iterator[Outcome]:
    """The outcomes of schedules, none begun after `seconds` if that is not 0."""
    deadline = time.monotonic() + seconds
    seeds: Iterator[int] = iter(range(first, first + count)) if not seconds else itertools.count(first)
    timely = itertools.takewhile(lambda _: not seconds or time.monotonic() < deadline, seeds)
    play = partial(_play, machines=machines, losses=losses)
    with Pool(processes, maxtasksperchild=50) as pool:
        while batch := list(itertools.islice(timely, 4 * processes)):
            yield from pool.imap_unordered(play, batch)


def _kind_of(violation: str) -> str:
    first = violation.splitlines()[0]
    for kind, words in KINDS_OF_VIOLATION.items():
        if any(word in first for word in words):
            return kind
    return "other"


def _figures(outcomes: list[Outcome], spent_s: float, machines: int, losses: int) -> dict[str, Any]:
    faults: Counter[str] = Counter()
    for outcome in outcomes:
        faults += outcome.faults
    broken = Counter(_kind_of(outcome.violation) for outcome in outcomes if outcome.violation is not None)
    return {
        "machines": machines,
        "losses": losses,
        "schedules": len(outcomes),
        "seconds": round(spent_s),
        "acknowledged": sum(outcome.acknowledged for outcome in outcomes),
        "departures": sum(outcome.departures for outcome in outcomes),
        "reads": sum(outcome.reads for outcome in outcomes),
        "acts": sum(outcome.acts for outcome in outcomes),
        "longest_recovery_s": round(max((outcome.recovery_s for outcome in outcomes), default=0.0), 2),
        **{kind: broken[kind] for kind in (*KINDS_OF_VIOLATION, "other")},
        "faults": dict(sorted(faults.items())),
    }


def _run(options: dict[str, Any], machines: int, losses: int, count: int) -> int:
    started = time.monotonic()
    outcomes = []
    seconds, processes = float(options["--seconds"]), int(options["--processes"])
    for outcome in _outcomes(int(options["--from"]), count, machines, losses, seconds, processes):
        if outcome.violation is not None:
            print(f"seed {outcome.seed}: {outcome.violation.splitlines()[0]}", flush=True)
            Path(f"target/schedule-{machines}-{outcome.seed}.txt").write_text("\n".join(outcome.trace))
            outcome.trace = []
        outcomes.append(outcome)
    figures = _figures(outcomes, time.monotonic() - started, machines, losses)
    for name, value in figures.items():
        print(f"{name:20} {value}")
    if options["--result"]:
        Path(options["--result"]).write_text(json.dumps(figures, indent=1) + "\n")
    return int(any(outcome.violation for outcome in outcomes))


def _find(name: str, count: int) -> dict[str, Any]:
    """How many schedules it took to find a planted fault; three machines, then five, by turns."""
    with planted(name):
        for number in range(count):
            machines, losses = ((3, 1), (5, 2))[number % 2]
            violation = run_schedule(number, machines, losses).violation
            if violation is not None:
                return {"fault": name, "schedules": number + 1, "found": violation.splitlines()[0][:110]}
    return {"fault": name, "schedules": count, "found": None}


def _find_all(options: dict[str, Any], count: int) -> int:
    names = options["NAME"] or list(PLANTED)
    rows = []
    with Pool(int(options["--processes"])) as pool:
        for row in pool.imap_unordered(partial(_find, count=count), names):
            print(f"{row['fault']:26} {row['schedules']:4} {row['found'] or 'not found'}", flush=True)
            rows.append(row)
    if options["--result"]:
        ordered = sorted(rows, key=lambda row: names.index(row["fault"]))
        Path(options["--result"]).write_text(json.dumps(ordered, indent=1) + "\n")
    return int(not all(row["found"] for row in rows))


def main() -> int:
    """Run the command line."""
    options = docopt(__doc__)
    machines, losses, count = (int(options[name]) for name in ("--machines", "--losses", "--schedules"))
    if options["run"]:
        return _run(options, machines, losses, count)
    if options["replay"]:
        outcome = run_schedule(int(options["SEED"]), machines, losses)
        print("\n".join(outcome.trace))
        print(outcome.violation or "no violation")
        return int(outcome.violation is not None)
    if options["failover"]:
        return tell_fail_overs(count)
    return _find_all(options, count)


if __name__ == "__main__":
    sys.exit(main())
