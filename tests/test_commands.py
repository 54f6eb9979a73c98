"""The command line: help texts, `try`, `make run`, `check` and its replay."""

from __future__ import annotations

import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
import urllib.request
from pathlib import Path
from typing import IO

from arrowfold.standins.servers import TIMEOUT_S, eventually, free_port
from tests.edge import ROOT
from tests.samples import SAMPLES
from tests.test_check import write_document


def arrowfold(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "arrowfold", *arguments], cwd=ROOT, capture_output=True, text=True)


class Commands(unittest.TestCase):
    def test_help_describes_each_command(self) -> None:
        for arguments, words in (((), ("run", "check", "judge", "try")), (("run",), ("EDGE_FILE", "SIGHUP")),
                                 (("check",), ("--settings", "--seed", "--replay", "Exit code 0")),
                                 (("judge",), ("TRACE", "--fleet")), (("try",), ("--jobs", "stand-in"))):
            completed = arrowfold(*arguments, "--help")
            self.assertEqual((completed.returncode, completed.stderr), (0, ""))
            for word in words:
                self.assertIn(word, completed.stdout)

    def test_try_runs_without_configuration_and_exits_with_0(self) -> None:
        completed = arrowfold("try", "--jobs", "8")
        self.assertEqual(completed.returncode, 0, completed.stdout + completed.stderr)
        for words in ("HTTP ", "Faktory ", "come back after", "answered_served", "8 of 8 jobs answered"):
            self.assertIn(words, completed.stdout)

    def test_make_run_starts_a_node_that_serves_the_printed_request(self) -> None:
        """Guards against `make run` on a fresh clone ending with `EDGE_CONFIG is missing`."""
        ports = {name: free_port() for name in ("LISTEN", "ADMIN", "DISCOVERY")}
        environ = {k: v for k, v in os.environ.items() if k != "EDGE_CONFIG"}
        environ |= {f"EDGE_{name}": f"127.0.0.1:{port}" for name, port in ports.items()}
        with tempfile.TemporaryFile() as log:
            node = subprocess.Popen(
                ["make", "run", "EDGE=", f"VENV={os.path.relpath(sys.prefix, ROOT)}"], cwd=ROOT, env=environ,
                stdout=log, stderr=subprocess.STDOUT, start_new_session=True)
            try:
                eventually(lambda: bool(self.line_after(log, "send it a job: "))
                           and self.is_ready(ports["LISTEN"]))
                words = shlex.split(self.line_after(log, "send it a job: "))
                self.assertEqual(words[:2], ["curl", "-d"])
                job = urllib.request.Request(words[-1], words[2].encode(), dict(
                    word.split(": ") for word in words if ": " in word))
                with urllib.request.urlopen(job, timeout=TIMEOUT_S) as answer:
                    self.assertRegex(answer.read().decode(), "search-[0-9]:job-1")
            finally:
                os.killpg(node.pid, signal.SIGTERM)
                node.wait(TIMEOUT_S)
            eventually(lambda: not self.accepts_connections(ports["DISCOVERY"]))  # the stand-ins end with it

    @staticmethod
    def line_after(log: IO[bytes], words: str) -> str:
        log.seek(0)
        lines = log.read().decode().splitlines()
        return next((line.partition(words)[2] for line in lines if words in line), "")

    @staticmethod
    def is_ready(port: int) -> bool:
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{port}/health/ready", timeout=TIMEOUT_S) as answer:
                return bool(answer.status == 200)
        except OSError:
            return False

    @staticmethod
    def accepts_connections(port: int) -> bool:
        with socket.socket() as sock:
            return sock.connect_ex(("127.0.0.1", port)) == 0

    def test_check_reports_a_failure_and_replays_it(self) -> None:
        sample = next(s for s in SAMPLES if s.name == "a denied network inside a preferred one, behind it")
        with tempfile.TemporaryDirectory() as folder:
            path = str(write_document(sample, Path(folder)))
            completed = arrowfold("check", path)
            self.assertEqual(completed.returncode, 1)
            for words in ("fails    inner: job-0 was dispatched", "replay: --replay ",
                          'routed by: routes > rule "outer"', "1 expectations, 1 of them do not hold"):
                self.assertIn(words, completed.stdout)
            report = json.loads(arrowfold("check", path, "--json").stdout)
            (row,) = report["expectations"]
            self.assertEqual((row["verdict"], row["between"][0]), ("fails", 'routes > rule "outer" > prefer'))
            replayed = arrowfold("check", path, "--replay", row["token"])
            self.assertEqual(replayed.returncode, 0)
            self.assertIn(f"breaks 'inner': {row['broke']}", replayed.stdout)

    def test_settings_may_come_from_a_nodes_configuration_and_name_the_fleet(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "edge.kdl"
            path.write_text(
                'region "r" zones="x"\nexpectations {\n expect "e" {\n only-reaches region="r"\n }\n}\n')
            self.assertIn("check > settings is missing", arrowfold("check", str(path)).stderr)
            conf = json.loads((ROOT / "deploy/settings.json").read_text())
            conf["known"] = {"rev": 1, "all": True, "targets": [{"az": "x", "model": "m"}]}
            settings = Path(folder) / "config.json"
            settings.write_text(json.dumps(conf))
            completed = arrowfold("check", str(path), "--settings", str(settings))
            self.assertEqual((completed.returncode, completed.stdout[:8]), (0, "holds   "), completed.stdout)
            del conf["settings"]["classes"][0]["onTimeUs"]
            settings.write_text(json.dumps(conf))
            self.assertIn(f"{settings}: settings.classes[0].onTimeUs is missing",
                          arrowfold("check", str(path), "--settings", str(settings)).stderr)
