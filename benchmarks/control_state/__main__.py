"""Random schedules of faults against the control state.

Usage:
  control_state run [--from SEED] [--schedules N] [--machines N] [--losses N] [--seconds S] [--processes N]
                    [--result FILE] [--blackouts]
  control_state replay SEED [--machines N] [--losses N] [--blackouts]
  control_state planted [--schedules N] [--processes N] [--result FILE] [--blackouts] [NAME]...
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
  --processes N  How many play at the same time [default: 1]. Each plays some schedules and ends; one that
                 stands still is ended, and its stacks are printed.
  --result FILE  Write the figures as JSON.
  --blackouts    Play schedules in which as many disks are lost as may be while everything else loses power.
"""

from __future__ import annotations

import itertools
import json
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict
from pathlib import Path
from typing import Any

from docopt import docopt
from result import Err

from benchmarks.control_state.failover import print_failover_times
from benchmarks.control_state.playing import (
    Batch,
    BatchResult,
    Finding,
    Search,
    find_planted,
    play,
    play_batch,
)
from benchmarks.jobs import run_jobs
from tests.system.control_simulation.planted import PLANTED
from tests.system.control_simulation.schedules import Outcome

# Words in the first line of a violation's text, by the kind under which it is counted.
KINDS_OF_VIOLATION = {
    "lost": ("is gone", "are gone", "is acknowledged", "had been acknowledged", "is not what was"),
    "back_steps": ("went back", "as current", "other contents"),
    "two_holders": ("two active primaries", "two holders", "acted"),
    "stuck": ("not within", "no change was acknowledged"),
}

SCHEDULES_PER_BATCH = 20
SCHEDULE_DEADLINE_S = 60.0  # real time; a schedule takes about 1 s on an idle machine


def _batches(
    first: int, count: int, machines: int, losses: int, seconds: float, blackouts: bool
) -> Iterator[Batch]:
    """Yields batches of schedules; with `seconds` other than 0, until that time has passed."""
    deadline = time.monotonic() + seconds
    seeds: Iterator[int] = iter(range(first, first + count)) if not seconds else itertools.count(first)
    while not seconds or time.monotonic() < deadline:
        batch = tuple(itertools.islice(seeds, SCHEDULES_PER_BATCH))
        if not batch:
            return
        yield Batch(batch, machines, losses, blackouts)


def _violation_kind(violation: str) -> str:
    first = violation.splitlines()[0]
    for kind, words in KINDS_OF_VIOLATION.items():
        if any(word in first for word in words):
            return kind
    return "other"


def _figures(total: BatchResult, elapsed_s: float, machines: int, losses: int) -> dict[str, Any]:
    outcomes = total.outcomes
    faults: Counter[str] = Counter()
    for outcome in outcomes:
        faults += outcome.faults
    violations = Counter(
        _violation_kind(outcome.violation) for outcome in outcomes if outcome.violation is not None
    )
    return {
        "machines": machines,
        "losses": losses,
        "schedules": len(outcomes),
        "seconds": round(elapsed_s),
        "core_s": round(total.cpu_s),
        "acknowledged": sum(outcome.acknowledged for outcome in outcomes),
        "departures": sum(outcome.departures for outcome in outcomes),
        "reads": sum(outcome.reads for outcome in outcomes),
        "acts": sum(outcome.acts for outcome in outcomes),
        "longest_recovery_s": round(max((outcome.recovery_s for outcome in outcomes), default=0.0), 2),
        **{kind: violations[kind] for kind in (*KINDS_OF_VIOLATION, "other")},
        "faults": dict(sorted(faults.items())),
    }


def _run(options: dict[str, Any], machines: int, losses: int, count: int) -> int:
    started = time.monotonic()
    total = BatchResult([], 0.0)
    failed_batches = 0
    first, seconds, blackouts = int(options["--from"]), float(options["--seconds"]), options["--blackouts"]
    batches = _batches(first, count, machines, losses, seconds, blackouts)
    deadline_s = SCHEDULES_PER_BATCH * SCHEDULE_DEADLINE_S
    for batch, result in run_jobs(play_batch, batches, int(options["--processes"]), deadline_s):
        if isinstance(result, Err):
            failed_batches += 1
            print(f"seeds {batch.seeds}: {result.err_value.reason}\n{result.err_value.stacks}", flush=True)
            continue
        _report_violations(result.ok_value.outcomes, machines)
        total.outcomes += result.ok_value.outcomes
        total.cpu_s += result.ok_value.cpu_s
    figures = _figures(total, time.monotonic() - started, machines, losses)
    figures["batches_without_result"] = failed_batches
    for name, value in figures.items():
        print(f"{name:20} {value}")
    if options["--result"]:
        Path(options["--result"]).write_text(json.dumps(figures, indent=1) + "\n")
    return int(failed_batches > 0 or any(outcome.violation for outcome in total.outcomes))


def _report_violations(outcomes: list[Outcome], machines: int) -> None:
    """Prints the seeds of schedules with a violation, and writes their traces to `target/`."""
    for outcome in outcomes:
        if outcome.violation is not None:
            print(f"seed {outcome.seed}: {outcome.violation.splitlines()[0]}", flush=True)
            Path("target").mkdir(exist_ok=True)
            Path(f"target/schedule-{machines}-{outcome.seed}.txt").write_text("\n".join(outcome.trace))
            outcome.trace = []


def _search_all(options: dict[str, Any], count: int) -> int:
    names = options["NAME"] or list(PLANTED)
    searches = [Search(name, count, options["--blackouts"]) for name in names]
    findings = {}
    for search, result in run_jobs(
        find_planted, searches, int(options["--processes"]), count * SCHEDULE_DEADLINE_S
    ):
        finding = Finding(search.fault, 0, None) if isinstance(result, Err) else result.ok_value
        print(f"{finding.fault:26} {finding.schedules:4} {finding.found or 'not found'}", flush=True)
        findings[search.fault] = finding
    if options["--result"]:
        rows = [asdict(findings[name]) for name in names]
        Path(options["--result"]).write_text(json.dumps(rows, indent=1) + "\n")
    return int(not all(finding.found for finding in findings.values()))


def main() -> int:
    """Runs the command line and returns the exit code."""
    options = docopt(__doc__)
    machines, losses, count = (int(options[name]) for name in ("--machines", "--losses", "--schedules"))
    if options["run"]:
        return _run(options, machines, losses, count)
    if options["replay"]:
        outcome = play(int(options["SEED"]), machines, losses, options["--blackouts"])
        print("\n".join(outcome.trace))
        print(outcome.violation or "no violation")
        return int(outcome.violation is not None)
    if options["failover"]:
        return print_failover_times(count)
    return _search_all(options, count)


if __name__ == "__main__":
    sys.exit(main())
