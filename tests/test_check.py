"""The check on sample documents: each expectation's verdict, and what the report of a failure names."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from arrowfold.expectations.check import Check, Report
from arrowfold.expectations.worlds import TokenError, World
from arrowfold.program.commands import build_plan
from arrowfold.program.edge import EdgeDocument, read_edge
from tests.edge import ROOT
from tests.samples import SAMPLES, Sample


def write_document(sample: Sample, folder: Path) -> Path:
    """Writes a sample as a document with its settings file beside it; returns the document's path."""
    conf: Any = json.loads((ROOT / "deploy/settings.json").read_text())
    conf["settings"]["permissions"] |= sample.settings
    conf["settings"]["domain"]["classKind"] = list(sample.kinds)
    (folder / "settings.json").write_text(json.dumps(conf))
    path = folder / "edge.kdl"
    path.write_text(sample.text())
    return path


def load_check(sample: Sample) -> tuple[EdgeDocument, Check]:
    with tempfile.TemporaryDirectory() as folder:
        document = read_edge(write_document(sample, Path(folder)))
        return document, Check(build_plan(document, None), document.expectations)


class Samples(unittest.TestCase):
    def check_sample(self, sample: Sample) -> dict[str, Report]:
        _, check = load_check(sample)
        reports = {report.name: report for report in check.run()}
        verdicts = {name: report.verdict for name, report in reports.items()}
        self.assertEqual(verdicts, {name: row[2] for name, row in sample.expectations.items()})
        for name, paths in sample.named.items():
            for path in (*paths, reports[name].path):
                self.assertIn(path, reports[name].between, f"{sample.name}: {name}")
        for name, limit_ms in sample.borders.items():
            found = reports[name].border_ms
            assert found is not None, f"{sample.name}: {name} has no border"
            self.assertLessEqual(abs(found - limit_ms), 50)
        for report in reports.values():
            if report.verdict == "fails":
                assert report.world is not None
                world = World.from_token(report.world.token())
                self.assertEqual(world, report.world)
                replayed = list(check.replay(world))
                self.assertIn(f"breaks {report.name!r}: {report.broke}", replayed)
        return reports


def _case(sample: Sample) -> Any:
    def test(self: Samples) -> None:
        self.check_sample(sample)

    return test


for _number, _sample in enumerate(SAMPLES):
    _words = "_".join(_sample.name.replace(",", "").replace("'", "").replace(":", "").split())
    setattr(Samples, f"test_{_number:02}_{_words}", _case(_sample))


class Checking(unittest.TestCase):
    def test_the_same_seed_gives_the_same_output_to_the_byte(self) -> None:
        def output(seed: int) -> str:
            document, check = load_check(SAMPLES[3])
            again = Check(check.plan, document.expectations, seed)
            return json.dumps([report.as_row() for report in again.run()])

        self.assertEqual(output(1), output(1))
        self.assertNotEqual(output(1), output(2))

    def test_every_pair_of_options_is_played(self) -> None:
        _, check = load_check(SAMPLES[0])
        worlds = check.worlds()
        pairs = {(w.load, w.ending) for w in worlds}
        events = {(w.request_class, w.event) for w in worlds}
        lags = {(w.event, w.lag) for w in worlds if w.event in ("drain", "gone", "vanish", "restart")}
        self.assertEqual((len(pairs), len(events), len(lags)), (4 * 6, 3 * 11, 4 * 4))

    def test_a_token_that_names_no_world_is_refused(self) -> None:
        for token in ("", "x", "bm90aGluZw", World("a").token()[:-3], World("a", load="heavy").token(),
                      World("a", arrivals=10**9).token()):
            with self.assertRaises(TokenError):
                World.from_token(token)

    def test_the_shipped_document_holds(self) -> None:
        document = read_edge(ROOT / "deploy/edge.kdl")
        plan = build_plan(document, None)
        self.assertGreaterEqual(len(document.expectations), 20)
        named = {name for e in document.expectations for name in e.when.match.classes}
        self.assertEqual(named, {cls.name for cls in plan.settings.classes})
        for report in Check(plan, document.expectations).run():
            self.assertEqual(report.verdict, "holds", "\n".join(report.lines()))
