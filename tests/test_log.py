"""The log: a rate limit for each event name, three formats, and a closed standard error."""

from __future__ import annotations

import contextlib
import io
import json
import unittest
from unittest.mock import patch

from arrowfold.program import log as module
from arrowfold.program.log import MAX_LINES_PER_SECOND, Log
from tests.edge import EdgeCase


class ClosedStream(io.StringIO):
    def write(self, text: str) -> int:
        raise BrokenPipeError


class RateLimit(unittest.TestCase):
    def logged_lines(self, form: str | None) -> list[str]:
        stderr = io.StringIO()
        with contextlib.redirect_stderr(stderr), patch.object(module.time, "monotonic", lambda: self.now):
            log, self.now = Log("n1", form), 100.0
            for n in range(500):
                log("loud", n=n)
            log("rare", text="two words", count=3)
            self.now = 101.5
            log("rare")
        return stderr.getvalue().splitlines()

    def test_a_frequent_event_does_not_suppress_others(self) -> None:
        lines = self.logged_lines(None)
        self.assertEqual(sum("event='loud'" in line for line in lines), MAX_LINES_PER_SECOND)
        self.assertEqual(lines[MAX_LINES_PER_SECOND], "event='rare' node='n1' text='two words' count=3")
        self.assertEqual(lines[-2:], [
            "event='left_out' node='n1' of='loud' lines=480", "event='rare' node='n1'"])

    def test_structlog_formats_have_the_same_fields(self) -> None:
        plain = self.logged_lines("key-value")
        self.assertEqual(len(plain), MAX_LINES_PER_SECOND + 3)
        self.assertIn(
            "event='rare' node='n1' text='two words' count=3 timestamp=", plain[MAX_LINES_PER_SECOND])
        row = json.loads(self.logged_lines("json")[MAX_LINES_PER_SECOND])
        row.pop("timestamp")
        self.assertEqual(row, {"event": "rare", "node": "n1", "text": "two words", "count": 3})

    def test_a_closed_standard_error_is_ignored(self) -> None:
        for form in (None, "json"):
            with contextlib.redirect_stderr(ClosedStream()):
                Log("n1", form)("listens")


class Node(EdgeCase):
    def test_a_document_can_select_json_lines(self) -> None:
        node = self.node(self.worker("s1"), edge='log format="json"\n')
        node.post("t")
        self.assertEqual(node.terminate(), 0)
        rows = [json.loads(line) for line in node.close().splitlines()]
        self.assertEqual([row["event"] for row in rows], ["listens", "asked_to_end", "counters"])
        self.assertEqual((rows[-1]["answered_served"], rows[-1]["node"]), (1, "n0"))
        bad = self.node(wait=False, edge='log format="xml"\n')
        self.assertEqual(bad.process.wait(20), 2)
        self.assertIn("log: format is 'xml'; known are: key-value, json", bad.close())
