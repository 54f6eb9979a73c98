"""How long a check takes by the number of expectations, on one core: `python -m benchmarks.check_times`."""

from __future__ import annotations

import resource
import time
from dataclasses import replace
from pathlib import Path

from arrowfold.expectations.check import Check
from arrowfold.program.commands import _plan
from arrowfold.program.edge import read_edge

SHIPPED = Path(__file__).parent.parent / "deploy" / "edge.kdl"


def main() -> None:
    """Print one row for each number; the shipped expectations, taken in turn."""
    document = read_edge(SHIPPED)
    print("expectations  worlds  seconds  worlds/s  peak MB")
    for count in (5, len(document.expectations), 50, 200):
        shipped = document.expectations
        many = [replace(shipped[n % len(shipped)], name=str(n)) for n in range(count)]
        check = Check(_plan(document, None), many)
        begin = time.process_time()
        reports = check.run()
        spent = time.process_time() - begin
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        assert all(report.verdict == "holds" for report in reports)
        print(f"{count:12}  {check.played:6}  {spent:7.2f}  {check.played / spent:8.0f}  {peak:7.0f}")


if __name__ == "__main__":
    main()
