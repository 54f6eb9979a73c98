"""The log: events with fields, capped by event, in three forms; no reader's end breaks it."""

from __future__ import annotations

import contextlib
import io
import json
import unittest
from unittest.mock import patch

from arrowfold.program import log as module
from arrowfold.program.log import MAX_LINES_PER_SECOND, Log
from tests.edge import EdgeCase


class Gone(io.StringIO):
    def write(self, text: str) -> int:
        raise BrokenPipeError


class Capped(unittest.TestCase):
    def said(self, form: str | None) -> list[str]:
        out = io.StringIO()
        with contextlib.redirect_stderr(out), patch.object(module.time, "monotonic", lambda: self.now):
            log, self.now = Log("n1", form), 100.0
            for n in range(500):
                log("loud", n=n)
            log("rare", text="two words", count=3)
            self.now = 101.5
            log("rare")
        return out.getvalue().splitlines()

    def test_one_loud_event_hides_no_other(self) -> None:
        lines = self.said(None)
        self.assertEqual(sum("event='loud'" in line for line in lines), MAX_LINES_PER_SECOND)
        self.assertEqual(lines[MAX_LINES_PER_SECOND], "event='rare' node='n1' text='two words' count=3")
        self.assertEqual(lines[-2:], [
            "event='left_out' node='n1' of='loud' lines=480", "event='rare' node='n1'"])

    def test_the_librarys_forms_say_the_same(self) -> None:
        plain = self.said("key-value")
        self.assertEqual(len(plain), MAX_LINES_PER_SECOND + 3)
        self.assertIn(
            "event='rare' node='n1' text='two words' count=3 timestamp=", plain[MAX_LINES_PER_SECOND])
        row = json.loads(self.said("json")[MAX_LINES_PER_SECOND])
        row.pop("timestamp")
        self.assertEqual(row, {"event": "rare", "node": "n1", "text": "two words", "count": 3})

    def test_a_reader_that_has_gone_ends_nothing(self) -> None:
        for form in (None, "json"):
            with contextlib.redirect_stderr(Gone()):
                Log("n1", form)("listens")


class Node(EdgeCase):
    def test_a_document_asks_for_json_lines(self) -> None:
        node = self.node(self.worker("s1"), edge='log format="json"\n')
        node.post("t")
        self.assertEqual(node.terminate(), 0)
        rows = [json.loads(line) for line in node.close().splitlines()]
        self.assertEqual([row["event"] for row in rows], ["listens", "asked_to_end", "counters"])
        self.assertEqual((rows[-1]["answered_served"], rows[-1]["node"]), (1, "n0"))
        bad = self.node(wait=False, edge='log format="xml"\n')
        self.assertEqual(bad.process.wait(20), 2)
        self.assertIn("log: format is 'xml'; known are: key-value, json", bad.close())
