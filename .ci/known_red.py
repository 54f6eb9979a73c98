#!/usr/bin/env python3
"""Run the tests and pass over just those that KNOWN-RED.txt lists.

Usage: known_red.py LIST PYTEST-ARGUMENT...

Each line of LIST is `TEST | CAUSE | ISSUE`, TEST being pytest's whole id; lines that begin with # are
comments. Every test is run, also the listed ones, and each listed one is printed with its outcome.
Exit code 0: nothing failed but listed tests; 1: another test failed, or a listed one was not run;
2: LIST is at fault; else pytest's own.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from dataclasses import dataclass
from pathlib import Path

PYTEST_PASSED = 0
PYTEST_FAILED = 1
FAILED = 1
LIST_AT_FAULT = 2


class ListError(ValueError):
    """A line of the list is not `TEST | CAUSE | ISSUE`."""


@dataclass(frozen=True)
class KnownRed:
    """A test that may fail, why, and the issue that will mend it."""

    test: str
    cause: str
    issue: str

    @property
    def report_name(self) -> str:
        """The test as pytest's XML report names it: `tests.test_a.Class.test_b[x]`."""
        path, _, name = self.test.partition("::")
        classes, _, function = name.partition("[")[0].rpartition("::")
        parameters = name[len(name.partition("[")[0]):]
        parts = [path.removesuffix(".py").replace("/", "."), *classes.split("::"), function + parameters]
        return ".".join(part for part in parts if part)


def parse_list(text: str) -> list[KnownRed]:
    """The entries of a list; ListError names the line that is at fault."""
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ListError(f"line {number}: not 'TEST | CAUSE | ISSUE': {line}")
        entries.append(KnownRed(*parts))
    return entries


def outcomes(report: ElementTree.Element) -> dict[str, str]:
    """passed, failed or skipped, by the names of a report; a test with two entries has the worse outcome."""
    found: dict[str, str] = {}
    for case in report.iter("testcase"):
        name = ".".join(part for part in (case.get("classname"), case.get("name")) if part)
        tags = {child.tag for child in case}
        outcome = "failed" if tags & {"failure", "error"} else "skipped" if "skipped" in tags else "passed"
        if found.get(name) != "failed":
            found[name] = outcome
    return found


def judge(entries: list[KnownRed], found: dict[str, str]) -> tuple[list[str], bool]:
    """Lines to print, and whether nothing failed but listed tests, all of which were run."""
    lines, good = [], True
    for entry in entries:
        outcome = found.get(entry.report_name, "not run")
        advice = ": take it off the list" if outcome == "passed" else ""
        lines.append(f"known red: {outcome}{advice}: {entry.test} | {entry.cause} | {entry.issue}")
        good = good and outcome in ("passed", "failed")
    listed = {entry.report_name for entry in entries}
    for name, outcome in found.items():
        if outcome == "failed" and name not in listed:
            lines.append(f"failed: {name}")
            good = False
    return lines, good


def main(list_file: str, pytest_arguments: list[str]) -> int:
    """Run pytest and judge its report."""
    try:
        entries = parse_list(Path(list_file).read_text(encoding="utf-8"))
    except ListError as error:
        print(f"{list_file}: {error}")
        return LIST_AT_FAULT
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.xml"
        command = [sys.executable, "-m", "pytest", *pytest_arguments, f"--junitxml={report}"]
        code = subprocess.run(command, check=False).returncode
        if code not in (PYTEST_PASSED, PYTEST_FAILED):
            return code
        found = outcomes(ElementTree.parse(report).getroot())
    lines, good = judge(entries, found)
    print("\n".join(lines))
    if code == PYTEST_FAILED and "failed" not in found.values():
        return FAILED  # pytest failed for a reason that stands in no test
    return 0 if good else FAILED


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2:]))
