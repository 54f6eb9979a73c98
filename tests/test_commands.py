"""The command line, as a new user meets it."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.edge import ROOT
from tests.samples import SAMPLES
from tests.test_check import written


def arrowfold(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "arrowfold", *arguments], cwd=ROOT, capture_output=True, text=True)


class Commands(unittest.TestCase):
    def test_help_says_what_each_command_is_for(self) -> None:
        for arguments, words in (((), ("run", "check", "judge", "try")), (("run",), ("EDGE_FILE", "SIGHUP")),
                                 (("check",), ("--settings", "--seed", "--replay", "Exit code 0")),
                                 (("judge",), ("TRACE", "--fleet")), (("try",), ("--jobs", "stand-in"))):
            done = arrowfold(*arguments, "--help")
            self.assertEqual((done.returncode, done.stderr), (0, ""))
            for word in words:
                self.assertIn(word, done.stdout)

    def test_a_first_try_needs_nothing_and_ends_well(self) -> None:
        done = arrowfold("try", "--jobs", "8")
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        for words in ("HTTP ", "Faktory ", "come back after", "answered_served", "8 of 8 jobs answered"):
            self.assertIn(words, done.stdout)

    def test_check_says_what_fails_and_replays_it(self) -> None:
        sample = next(s for s in SAMPLES if s.name == "a denied network inside a preferred one, behind it")
        with tempfile.TemporaryDirectory() as folder:
            path = str(written(sample, Path(folder)))
            done = arrowfold("check", path)
            self.assertEqual(done.returncode, 1)
            for words in ("fails    inner: job-0 was dispatched", "replay: --replay ",
                          'routed by: routes > rule "outer"', "1 expectations, 1 of them do not hold"):
                self.assertIn(words, done.stdout)
            report = json.loads(arrowfold("check", path, "--json").stdout)
            (row,) = report["expectations"]
            self.assertEqual((row["verdict"], row["between"][0]), ("fails", 'routes > rule "outer" > prefer'))
            told = arrowfold("check", path, "--replay", row["token"])
            self.assertEqual(told.returncode, 0)
            self.assertIn(f"breaks 'inner': {row['broke']}", told.stdout)

    def test_settings_may_come_from_a_nodes_configuration_and_name_the_fleet(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "edge.kdl"
            path.write_text(
                'region "r" zones="x"\nexpectations {\n expect "e" {\n only-reaches region="r"\n }\n}\n')
            self.assertIn("check > settings is missing", arrowfold("check", str(path)).stderr)
            conf = json.loads((ROOT / "deploy/settings.json").read_text())
            conf["known"]["targets"] = [{"az": "x", "model": "m"}]
            settings = Path(folder) / "config.json"
            settings.write_text(json.dumps(conf))
            done = arrowfold("check", str(path), "--settings", str(settings))
            self.assertEqual((done.returncode, done.stdout[:8]), (0, "holds   "), done.stdout)
            del conf["settings"]["classes"][0]["onTimeUs"]
            settings.write_text(json.dumps(conf))
            self.assertIn("settings: key onTimeUs is missing",
                          arrowfold("check", str(path), "--settings", str(settings)).stderr)
