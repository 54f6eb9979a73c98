"""Each fault is noticed by the expectation that docs/faults.md names for it; and without one, all hold."""

from __future__ import annotations

import unittest
from typing import Any

from benchmarks.faults import FAULTS, Fault, failing_expectations
from tests.edge import ROOT

NONE = Fault("none", (), None)
TABLE = (ROOT / "docs/faults.md").read_text(encoding="utf-8")


class Faults(unittest.TestCase):
    def test_the_table_names_every_fault_and_who_notices(self) -> None:
        for fault in FAULTS:
            row = next(line for line in TABLE.splitlines() if line.startswith(f"| {fault.name} |"))
            self.assertIn(fault.detected_by or f"nobody: {fault.why}", row)
        self.assertGreaterEqual(len(FAULTS), 25)
        self.assertGreaterEqual(sum(fault.detected_by is not None for fault in FAULTS), 23)


def _case(fault: Fault) -> Any:
    def test(self: Faults) -> None:
        self.assertEqual(failing_expectations(fault, fault.detected_by), [fault.detected_by])
        self.assertEqual(failing_expectations(NONE, fault.detected_by), [])

    return test


for _number, _fault in enumerate(FAULTS):
    if _fault.detected_by is not None:
        _words = "_".join(_fault.name.replace(",", "").replace("'", "").split())
        setattr(Faults, f"test_{_number:02}_{_words}", _case(_fault))
