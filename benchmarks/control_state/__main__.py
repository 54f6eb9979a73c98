"""Random schedules of faults against the control state.

Usage:
  control_state run [--from SEED] [--schedules N] [--machines N] [--losses N]
  control_state replay SEED [--machines N] [--losses N]
  control_state planted [--schedules N] [NAME]...
  control_state failover [--schedules N]

`run` plays schedules and tells what was lost; `replay` prints the trace of one; `planted` tells how many
schedules each planted fault takes to be found; `failover` measures the time from a failure of the primary to
the next acknowledged change.

Options:
  --from SEED    The first seed [default: 0].
  --schedules N  How many [default: 100].
  --machines N   Core machines [default: 3].
  --losses N     How many may be lost at one time [default: 1].
"""

from __future__ import annotations

import sys
import time
from collections import Counter

from docopt import docopt

from benchmarks.control_state.failover import tell_fail_overs
from tests.system.control_simulation.planted import PLANTED, planted
from tests.system.control_simulation.schedules import Outcome, run_schedule


def _tell(outcomes: list[Outcome], spent_s: float) -> None:
    faults: Counter[str] = Counter()
    for outcome in outcomes:
        faults += outcome.faults
    broken = [outcome for outcome in outcomes if outcome.violation is not None]
    print(f"schedules             {len(outcomes)} in {spent_s:.0f} s, {len(outcomes) / spent_s:.2f} a second")
    print(f"acknowledged changes  {sum(outcome.acknowledged for outcome in outcomes)}")
    print(f"departures            {sum(outcome.departures for outcome in outcomes)}")
    print(f"reads                 {sum(outcome.reads for outcome in outcomes)}")
    print(f"acts under a role     {sum(outcome.acts for outcome in outcomes)}")
    print(f"longest recovery      {max(outcome.recovery_s for outcome in outcomes):.2f} s")
    print(f"broken schedules      {len(broken)}")
    for name, count in sorted(faults.items()):
        print(f"  {name:28} {count}")


def _run(first: int, count: int, machines: int, losses: int) -> int:
    started = time.monotonic()
    outcomes = []
    for seed in range(first, first + count):
        outcome = run_schedule(seed, machines, losses)
        outcomes.append(outcome)
        if outcome.violation is not None:
            print(f"seed {seed}: {outcome.violation.splitlines()[0]}")
    _tell(outcomes, time.monotonic() - started)
    return int(any(outcome.violation for outcome in outcomes))


def _find(name: str, count: int) -> bool:
    with planted(name):
        for seed in range(count):
            violation = run_schedule(seed).violation
            if violation is not None:
                print(f"{name:26} schedule {seed + 1}: {violation.splitlines()[0]}", flush=True)
                return True
    print(f"{name:26} not found in {count}", flush=True)
    return False


def main() -> int:
    """Run the command line."""
    options = docopt(__doc__)
    machines, losses, count = (int(options[name]) for name in ("--machines", "--losses", "--schedules"))
    if options["run"]:
        return _run(int(options["--from"]), count, machines, losses)
    if options["replay"]:
        outcome = run_schedule(int(options["SEED"]), machines, losses)
        print("\n".join(outcome.trace))
        print(outcome.violation or "no violation")
        return int(outcome.violation is not None)
    if options["failover"]:
        return tell_fail_overs(count)
    return int(not all([_find(name, count) for name in options["NAME"] or PLANTED]))


if __name__ == "__main__":
    sys.exit(main())
