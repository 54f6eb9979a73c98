"""`arrowfold quotas`: the tree with a node's parts, contradictions, and arrivals replayed in virtual time."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from tests.edge import ROOT
from tests.test_commands import arrowfold

GOOD = """
quotas {
    organisation "acme" {
        requests limit=30 per=(s)1
        worker-time limit=(s)60 per=(min)1
        team "web" {
            requests limit=18 per=(s)1
            borrow true
        }
        team "ops" {
            requests limit=12 per=(s)1
        }
    }
    nobody {
        requests limit=3 per=(s)1
    }
}
"""


class QuotaCommands(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def run_on(self, text: str, *options: str) -> Any:
        path = self.folder / "edge.kdl"
        path.write_text(text)
        return arrowfold("quotas", str(path), "--settings", str(ROOT / "deploy/settings.json"), *options)

    def test_the_tree_and_a_nodes_part_of_it(self) -> None:
        done = self.run_on(GOOD)
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        for line in ("3 nodes, all together at most 1 x a limit",
                     "acme: requests 30 per 1 s (here 10); worker-time 60 s per 60 s (here 20)",
                     "acme/web: requests 18 per 1 s (here 6); borrows with weight 1",
                     "nobody: requests 3 per 1 s"):
            self.assertIn(line, done.stdout)

    def test_contradictions_are_named_by_their_level(self) -> None:
        for change, line in (
                (("limit=18", "limit=19"),
                 "acme: requests 30 per 1 s: its children's shares add up to 31 (ops, web)"),
                (("limit=12 per=(s)1", "limit=12 per=(min)2"),
                 "acme/ops: requests 12 per 120 s: a window longer"),
                (("limit=(s)60", "limit=(ms)100"),
                 "acme: worker-time 0.1 s per 60 s: no single job fits in it"),
                (("limit=3", "limit=2"), "no single job fits in it at a node, of which there are 3")):
            done = self.run_on(GOOD.replace(*change))
            self.assertEqual(done.returncode, 1, done.stdout)
            self.assertIn(f"contradiction: {line}" if line.startswith("acme") else line, done.stdout)

    def test_faulty_quotas_are_located(self) -> None:
        for change, line in (
                (("limit=30", "limit=-1"),
                 'quotas > organisation "acme" > requests: limit is to be a whole number of 0'),
                (("limit=30", "limit=(s)3"), 'organisation "acme" > requests: limit is to be a whole number'),
                (("limit=(s)60", "limit=60"), 'organisation "acme" > worker-time: limit is to be a time'),
                ((" per=(min)1", ""), 'organisation "acme" > worker-time: per is missing'),
                (('"ops"', '"web"'), 'organisation "acme" > team "web": a second team of this name'),
                (('"ops"', '"o/ps"'), 'team "o/ps": its name may hold no /'),
                (("borrow true", "borrow 1"), 'team "web" > borrow: its value is to be true or false'),
                (("nobody {", "stretch 0.5\nnobody {"),
                 "quotas > stretch: its value is to be a number from 1"),
                (("limit=12 per=(s)1", "limit=12 per=(s)1\nrequests limit=2 per=(ms)1000"),
                 'team "ops" > requests: a second limit over the same time')):
            done = self.run_on(GOOD.replace(*change))
            self.assertEqual((done.returncode, done.stderr.count("\n")), (2, 1), done.stderr)
            self.assertIn(line, done.stderr)
        self.assertIn("quotas is missing", self.run_on("").stderr)

    def test_arrivals_are_replayed(self) -> None:
        arrivals = self.folder / "arrivals.jsonl"
        rows = [{"at": 0.01 * n, "tenant": "acme/ops", "class": "full-search", "run": 0.2} for n in range(6)]
        rows += [{"at": 0.1 + 0.01 * n, "tenant": "acme/web", "class": "full-search"} for n in range(9)]
        rows.append({"at": 2.0, "class": "full-search"})
        arrivals.write_text("\n".join(json.dumps(row) for row in rows))
        done = self.run_on(GOOD, "--replay", str(arrivals))
        self.assertEqual(done.returncode, 0, done.stderr)
        lines = done.stdout.splitlines()
        self.assertEqual(sum(": let in" in line for line in lines[:4]), 4)
        self.assertIn("denied, quota of acme/ops: requests 12 per 1 s; back after", lines[4])
        self.assertRegex(lines[-1], r"^let in \d+, denied \d+, in debt \d+$")
        arrivals.write_text('{"at": 0}\n')
        self.assertIn("arrivals.jsonl:1: KeyError", self.run_on(GOOD, "--replay", str(arrivals)).stderr)
