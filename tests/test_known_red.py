"""CI tolerates failures of exactly the tests that KNOWN-RED.txt lists, and no other failure."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SCRIPT = ROOT / ".ci" / "known_red.py"
TESTS = """
import pytest

def test_good():
    pass

def test_bad():
    raise AssertionError

def test_bad_too():
    raise AssertionError

@pytest.mark.parametrize("x", ["a::b", "c.d"])
def test_each(x):
    assert x == "c.d"

class TestGroup:
    def test_bad(self):
        raise AssertionError

@pytest.fixture
def broken():
    yield
    raise AssertionError

def test_with_broken_end(broken):
    pass
"""
FAILING_TESTS = ["test_bad", "test_bad_too", "test_each[a::b]", "TestGroup::test_bad", "test_with_broken_end"]


def run_with_list(folder: Path, listed: list[str], tests: str = TESTS) -> tuple[int, str]:
    (folder / "test_a.py").write_text(tests, encoding="utf-8")
    lines = ["# test | cause | issue", "", *(f"test_a.py::{name} | a cause | 31" for name in listed)]
    (folder / "LIST").write_text("\n".join(lines), encoding="utf-8")
    return run_script(folder)


def run_script(folder: Path) -> tuple[int, str]:
    completed = subprocess.run([sys.executable, str(SCRIPT), "LIST", "-q", "-p", "no:cacheprovider"],
                               cwd=folder, capture_output=True, text=True, check=False)
    return completed.returncode, completed.stdout


def test_failures_that_are_all_listed_pass_and_are_printed(tmp_path: Path) -> None:
    code, output = run_with_list(tmp_path, FAILING_TESTS)
    assert code == 0
    for name in FAILING_TESTS:
        assert f"known red: failed: test_a.py::{name} | a cause | 31" in output


@pytest.mark.parametrize("left_out", FAILING_TESTS)
def test_a_failure_that_is_not_listed_fails(tmp_path: Path, left_out: str) -> None:
    code, output = run_with_list(tmp_path, [name for name in FAILING_TESTS if name != left_out])
    assert code == 1
    assert "\nfailed: test_a." in output


def test_a_listed_test_that_passes_is_reported(tmp_path: Path) -> None:
    code, output = run_with_list(tmp_path, [*FAILING_TESTS, "test_good"])
    assert code == 0
    assert "known red: passed: take it off the list: test_a.py::test_good" in output


def test_a_listed_test_that_does_not_exist_fails(tmp_path: Path) -> None:
    code, output = run_with_list(tmp_path, [*FAILING_TESTS, "test_gone"])
    assert code == 1
    assert "known red: not run: test_a.py::test_gone" in output


def test_a_listed_test_that_is_skipped_fails(tmp_path: Path) -> None:
    skipped = "import pytest\n\n@pytest.mark.skip\ndef test_s():\n    pass\n"
    code, output = run_with_list(tmp_path, ["test_s"], skipped)
    assert code == 1
    assert "known red: skipped: test_a.py::test_s" in output


def test_a_file_that_cannot_be_collected_fails(tmp_path: Path) -> None:
    code, _ = run_with_list(tmp_path, ["test_bad"], "import nothing_of_this_name\n")
    assert code not in (0, None)


@pytest.mark.parametrize("line", ["test_a.py::test_a", "test_a.py::test_a | a cause |", "test_a.py | a | b"])
def test_a_line_without_cause_or_issue_is_refused(tmp_path: Path, line: str) -> None:
    (tmp_path / "LIST").write_text(line, encoding="utf-8")
    code, output = run_script(tmp_path)
    assert code == 2
    assert "line 1" in output


def test_ci_uses_the_list_only_if_it_is_not_empty() -> None:
    text = (ROOT / ".ci" / "run").read_text(encoding="utf-8")
    with_list, _, without_list = text.partition("if [ -s KNOWN-RED.txt ]; then")[2].partition("else")
    assert "known_red.py KNOWN-RED.txt -n 4" in with_list and "make lint\n" in with_list
    assert without_list.split("\n")[1].strip() == "make lint test"
