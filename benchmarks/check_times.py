"""Measures the run time of a check by the number of expectations, on one processor core.

Run it with `python -m benchmarks.check_times`.
"""

from __future__ import annotations

import resource
import time
from dataclasses import replace
from pathlib import Path

from arrowfold.expectations.check import Check
from arrowfold.program.commands import build_plan
from arrowfold.program.edge import read_edge

SHIPPED = Path(__file__).parent.parent / "deploy" / "edge.kdl"


def main() -> None:
    """Prints one row per number of expectations; the shipped expectations are repeated as needed."""
    document = read_edge(SHIPPED)
    print("expectations  worlds  seconds  worlds/s  peak MB")
    for count in (5, len(document.expectations), 50, 200):
        shipped = document.expectations
        repeated = [replace(shipped[n % len(shipped)], name=str(n)) for n in range(count)]
        check = Check(build_plan(document, None), repeated)
        started_at = time.process_time()
        reports = check.run()
        elapsed = time.process_time() - started_at
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        assert all(report.verdict == "holds" for report in reports)
        print(f"{count:12}  {check.played:6}  {elapsed:7.2f}  {check.played / elapsed:8.0f}  {peak:7.0f}")


if __name__ == "__main__":
    main()
