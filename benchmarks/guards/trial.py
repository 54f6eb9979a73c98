"""One trial: removes a guard in a copy of the project and runs the tests of its area until one fails."""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from benchmarks.guards.catalogue import Area, Guard

ROOT = Path(__file__).parent.parent.parent
COPIED_PATHS = ("arrowfold", "benchmarks", "tests", "deploy", "docs", "pyproject.toml")
FAILED_LINE = re.compile(r"^(?:FAILED|ERROR) (tests/.+?)(?: - .*)?$", re.MULTILINE)
TRIAL_TIMEOUT_S = 900.0
TIMED_OUT = "the tests stood still"
_CONTROL_TESTS = (
    "member",
    "guards",
    "peers",
    "leaving",
    "currency",
    "founding",
    "hand_over",
    "changes",
    "confirmation",
    "failures",
    "found_anew",
    "planted",
    "schedules",
)
_DATA_PLANE_TESTS = (
    "tables",
    "pulls",
    "freshness",
    "retry_budget",
    "forwarding",
    "streams",
    "ending",
    "front",
    "http",
    "http_streams",
)
TESTS: dict[Area, tuple[str, ...]] = {
    Area.REPLICATION: (
        *(f"tests/system/test_control_{name}.py" for name in _CONTROL_TESTS),
        "tests/system/test_edge_freshness.py",
    ),
    Area.CONTROL_PLANE: (
        "tests/system/test_placement_executor.py",
        "tests/system/test_control_distribution.py",
        "tests/system/test_control_changes.py",
        "tests/system/test_control_http.py",
        "tests/system/test_registry_workers.py",
        "tests/system/test_edge_tables.py",
        "tests/system/test_control_currency.py",
        "tests/system/test_control_failures.py",
        "tests/system/test_control_planted.py",
        "tests/system/test_control_schedules.py",
    ),
    Area.REGISTRY: ("tests/system/test_registry_workers.py", "tests/system/test_control_http.py"),
    Area.DATA_PLANE: (
        *(f"tests/system/test_edge_{name}.py" for name in _DATA_PLANE_TESTS),
        "tests/system/test_answer_framing.py",
        "tests/system/test_answer_bytes.py",
        "tests/system/test_second_answers.py",
        "tests/system/test_connection_machine.py",
        "tests/system/test_control_distribution.py",
        "tests/system/test_control_planted.py",
    ),
}


class GuardFault(Exception):
    """Raised if a guard's text does not occur exactly once in its file: the catalogue is out of date."""


@dataclass(frozen=True, slots=True)
class Finding:
    """The result of a trial; `red` is the first test that failed without the guard, or None."""

    name: str
    file: str
    red: str | None


def without_guard(guard: Guard, source: str) -> str:
    """Returns the source of the guard's file with the guard removed; raises GuardFault."""
    if source.count(guard.text) != 1:
        raise GuardFault(f"{guard.file}: {guard.name!r} is there {source.count(guard.text)} times")
    return source.replace(guard.text, guard.without)


def run_trial(guard: Guard) -> Finding:
    """Runs the tests of the guard's area on a copy of the project without the guard."""
    with tempfile.TemporaryDirectory(prefix="guard-") as folder:
        root = Path(folder)
        _copy_project(root)
        file = root / "arrowfold" / guard.file
        file.write_text(without_guard(guard, file.read_text(encoding="utf-8")), encoding="utf-8")
        return Finding(guard.name, guard.file, _first_failing_test(root, guard.area))


def _copy_project(root: Path) -> None:
    ignored = shutil.ignore_patterns("__pycache__", "results")
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, root / name, ignore=ignored)
        else:
            shutil.copy2(source, root / name)


def _first_failing_test(root: Path, area: Area) -> str | None:
    command = [sys.executable, "-W", "ignore", "-m", "pytest", "-x", "-q", "-p", "no:cacheprovider"]
    command += ["--no-header", "-rfE", *TESTS[area]]
    # The copy takes precedence over the installed project.
    environment = {**os.environ, "PYTHONPATH": str(root), "PYTHONDONTWRITEBYTECODE": "1"}
    try:
        completed = subprocess.run(
            command, cwd=root, env=environment, capture_output=True, text=True, timeout=TRIAL_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return TIMED_OUT
    if completed.returncode == 0:
        return None
    failed = FAILED_LINE.search(completed.stdout)
    return failed.group(1) if failed else f"code {completed.returncode}: {completed.stdout.strip()[-200:]}"
