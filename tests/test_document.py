"""Invalid documents: each is reported in one line with the path of the node at fault, and exit code 2."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

from arrowfold.program.document import DocumentError
from arrowfold.program.edge import read_edge
from tests.edge import ROOT

REGION = 'region "r" zones="a"\n'


def rule(text: str) -> str:
    return f'{REGION}routes {{\n rule "devices" {{\n {text}\n }}\n}}\n'


def expect(text: str) -> str:
    return f'{REGION}expectations {{\n expect "e" {{\n {text}\n }}\n}}\n'


FAULTS = (
    ("routes {", ":1:8 parse error"),
    ('a "x', ":1:3 parse error"),
    ("prefer 1e400", "out of range"),
    ("listen", "listen: unknown node; known are: faktory"),
    ("faktory {\n}\nfaktory {\n}", "faktory: stands there twice"),
    ("faktory {\n}", "faktory: listen is missing"),
    ('faktory {\n listen "10.0.0.1:5"\n}', "faktory > listen: 10.0.0.1 is no loopback"),
    ('faktory {\n listen "127.0.0.1"\n}', "faktory > listen: "),
    ("faktory {\n listen 7419\n}", "faktory > listen: its value is to be a text in quotes, not 7419"),
    ('faktory {\n listen "127.0.0.1:5" "127.0.0.1:6"\n}', "faktory > listen: takes one value, not 2"),
    ("descriptions {\n swagger \"x\"\n}", "descriptions > swagger: unknown node"),
    ("trace {\n most-mib 5\n}", "trace: file is missing"),
    ('trace {\n file "x"\n most-mib 1.5\n}', "trace > most-mib: its value is to be a whole number"),
    ('region "r"', 'region "r": zones is missing'),
    ('region "r" zones="a"\nregion "r" zones="b"', 'region "r": a second region of this name'),
    ('region "r" zones="a" kind="b"', 'region "r": unknown property kind'),
    (rule('prefer "s"'), 'routes > rule "devices" > prefer: unknown region \'s\'; known are: r'),
    (rule('prefer "r" "r"'), 'routes > rule "devices" > prefer: names one thing twice'),
    ("".join(f'region "r{n}" zones="a"\n' for n in range(17)) + 'routes {\n rule "devices" {\n prefer ' +
     " ".join(f'"r{n}"' for n in range(17)) + "\n }\n}\n",
     'rule "devices" > prefer: names more than 16 regions'),
    (rule("prefer"), 'routes > rule "devices" > prefer: takes one value or more, not 0'),
    (rule(""), 'routes > rule "devices": needs one action, not 0: prefer, only, kinds, deny'),
    (rule('only "r"\ndeny'), 'routes > rule "devices": needs one action, not 2'),
    (rule("deny retry-after=5"), 'routes > rule "devices" > deny: retry-after is to be a time with its unit'),
    (rule("deny retry-after=(weeks)5"), "retry-after is to be a time with its unit"),
    (rule("deny retry-after=(s)-5"), 'routes > rule "devices" > deny: retry-after is no time: (s)-5'),
    (rule('deny\nnetwork "10.0.0.1/8"'), 'routes > rule "devices" > network: \'10.0.0.1/8\' has bits set'),
    (rule('deny\nnetwork "example.org"'), 'routes > rule "devices" > network: \'example.org\' is no network'),
    (rule('deny\nretry "yes"'), 'routes > rule "devices" > retry: its value is to be true or false'),
    (rule('deny\nclass "a"\nclass "b"'), 'routes > rule "devices" > class: stands there twice'),
    (rule("(x)deny"), 'routes > rule "devices" > deny: (x) before a node means nothing'),
    ('routes {\n rule "a" {\n deny\n }\n rule "a" {\n deny\n }\n}', 'routes > rule "a": a second rule'),
    ("routes {\n rule {\n deny\n }\n}", "routes > rule: takes one value, not 0"),
    (expect(""), 'expectations > expect "e": needs one claim, not 0'),
    (expect("one-copy\nnot-repeated"), 'expectations > expect "e": needs one claim, not 2'),
    (expect('never-reaches state="asleep"'), "never-reaches: state is 'asleep'; known are: in-service"),
    (expect("never-reaches"), "never-reaches: names no server"),
    (expect('never-reaches state="cold" from="own"'), "never-reaches: from=\"own\" goes with state"),
    (expect('never-reaches kind="k" after=(s)1'), "never-reaches: after goes with a state"),
    (expect('prefers "s"'), "prefers: unknown region 's'"),
    (expect('prefers "r" share=0'), "prefers: share is to be a number above 0"),
    (expect('goes-over from="r"'), "goes-over: only-when is missing"),
    (expect("at-most-attempts 0"), "at-most-attempts: its value is to be a whole number of 1 or more"),
    (expect("answered"), "answered: within is missing"),
    (expect('answered within=(s)1 of="noon"'), "answered: of is 'noon'; known are: arrival"),
    (expect('at-most-at 3 state="cold"'), "at-most-at: per is missing"),
    (expect('denied advice="yes"'), "denied: advice is to be true or false"),
    (expect('one-copy\nwhen {\n server "lost"\n}'), "when > server: unknown state 'lost'"),
    (expect("one-copy\nwhen {\n list-lag\n}"), "when > list-lag: under is missing"),
    (expect("one-copy\nwhen {\n colour \"red\"\n}"), "when > colour: unknown node"),
    ('check {\n servers zone="a"\n}', "check > servers: zone and kind are needed"),
    (REGION + REGION.replace('"r"', '"s"') + "x {\n" * 3000, "recursion"),
)


class InvalidDocuments(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "edge.kdl"

    def test_each_fault_is_reported_in_one_line_with_its_path(self) -> None:
        for text, line in FAULTS:
            self.file.write_text(text)
            with self.assertRaises(DocumentError, msg=text) as caught:
                read_edge(self.file)
            message = str(caught.exception)
            self.assertIn(line, message)
            self.assertTrue(message.startswith(str(self.file)) and "\n" not in message, message)

    def test_an_unreadable_file_is_refused(self) -> None:
        self.file.write_bytes(b"\xff\xfe\x00")
        for path in (self.file, self.file.with_name("nowhere.kdl"), self.file.parent):
            with self.assertRaises(DocumentError):
                read_edge(path)

    def test_times_are_read_in_each_unit(self) -> None:
        for text, seconds in (("(us)1500", 0.0015), ("(ms)250", 0.25), ("(s)1.5", 1.5), ("(min)2", 120),
                           ("(h)1", 3600)):
            self.file.write_text(rule(f"deny retry-after={text}"))
            (rule_read,) = read_edge(self.file).routes.rules
            self.assertEqual(rule_read.action.retry_after, timedelta(seconds=seconds))

    def test_every_command_reports_the_fault_and_exits_with_2(self) -> None:
        self.file.write_text(rule('prefer "s"'))
        toml = self.file.with_name("edge.toml")
        toml.write_text("")
        for arguments, line in (
                (["check", str(self.file)], "configuration: " + str(self.file) + ': routes > rule "devices"'),
                (["judge", str(self.file), "x"], 'routes > rule "devices" > prefer'),
                (["run", str(toml)], "a KDL document now, such as deploy/edge.kdl"),
                ([str(toml)], "a KDL document now, such as deploy/edge.kdl"),
                (["check"], "Missing argument 'EDGE_FILE'"), (["fly"], "No such command 'fly'"),
                (["check", str(ROOT / "deploy/edge.kdl"), "--seed", "x"], "--seed"),
                (["check", str(ROOT / "deploy/edge.kdl"), "--replay", "x"], "no token of a world"),
                (["check", str(ROOT / "deploy/edge.kdl"), "--only", "x"], "no expectation is named 'x'"),
                (["try", "--jobs", "0"], "--jobs")):
            completed = subprocess.run(
                [sys.executable, "-m", "arrowfold", *arguments], cwd=ROOT, capture_output=True, text=True)
            self.assertEqual(
                (completed.returncode, completed.stdout, completed.stderr.count("\n")), (2, "", 1),
                completed.stderr)
            self.assertIn(line, completed.stderr)
