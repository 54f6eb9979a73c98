"""Guards taken out one at a time: which test needs each.

Usage:
  guards run [--processes N] [--result FILE] [NAME]...
  guards list

`run` makes a copy of the project for each guard, takes it out there, and runs the tests of its area up to the
first that fails. Exit code 1 where nothing fails without some guard. With names, only these are run, and with
a result file only their rows are replaced.

Options:
  --processes N  How many trials at a time [default: 1].
  --result FILE  Write the findings as JSON.
"""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

from docopt import docopt
from result import Err

from benchmarks.guards.catalogue import GUARDS, Guard
from benchmarks.guards.trial import TRIAL_TIMEOUT_S, Finding, run_trial
from benchmarks.jobs import run_jobs

DEADLINE_S = TRIAL_TIMEOUT_S + 60.0


def _run(guards: list[Guard], processes: int) -> dict[str, Finding]:
    findings = {}
    for guard, result in run_jobs(run_trial, guards, processes, DEADLINE_S):
        if isinstance(result, Err):
            print(f"{guard.name}: {result.err_value.reason}\n{result.err_value.stacks}", flush=True)
            continue
        findings[guard.name] = result.ok_value
        print(f"{guard.name:52} {result.ok_value.red or 'NOTHING RED'}", flush=True)
    return findings


def _merge_results(path: Path, findings: dict[str, Finding]) -> None:
    previous_rows: dict[str, dict[str, Any]] = {}
    if path.exists():
        previous_rows = {row["name"]: row for row in json.loads(path.read_text(encoding="utf-8"))}
    rows = {**previous_rows, **{name: asdict(finding) for name, finding in findings.items()}}
    ordered = [rows[guard.name] for guard in GUARDS if guard.name in rows]
    path.write_text(json.dumps(ordered, indent=1) + "\n", encoding="utf-8")


def main() -> int:
    """Runs the command line and returns the exit code."""
    options = docopt(__doc__)
    if options["list"]:
        for guard in GUARDS:
            print(f"{guard.file:36} {guard.name}")
        return 0
    selected = [guard for guard in GUARDS if not options["NAME"] or guard.name in options["NAME"]]
    findings = _run(selected, int(options["--processes"]))
    if options["--result"]:
        _merge_results(Path(options["--result"]), findings)
    return int(any(finding.red is None for finding in findings.values()) or len(findings) < len(selected))


if __name__ == "__main__":
    sys.exit(main())
