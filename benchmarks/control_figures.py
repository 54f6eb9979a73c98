"""Writes the figures of the control side's runs into docs/control-guarantees.md, from their result files.

Usage:
  control_figures write
  control_figures show
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from docopt import docopt

from benchmarks.guards.catalogue import GUARDS

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "control-guarantees.md"
FIGURES_MARKER = "<!-- figures -->"
STATE_RESULTS = ROOT / "benchmarks" / "control_state" / "results"
KILL_RESULTS = ROOT / "benchmarks" / "control_kills" / "results"
GUARD_RESULTS = ROOT / "benchmarks" / "guards" / "results"
MODEL_RESULTS = ROOT / "benchmarks" / "control_model" / "results"


def _read(path: Path) -> Any:
    return json.loads(path.read_text()) if path.exists() else None


def _table(head: list[str], rows: list[list[object]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(str(cell) for cell in line) + " |" for line in lines)


def _model_section(name: str, command: str) -> str:
    rows = _read(MODEL_RESULTS / name)
    if rows is None:
        return f"`{command}`: not run.\n"
    cells = [
        [
            row["name"],
            f"{row['states']:,}",
            row["depth"],
            row["seconds"],
            "all" if row["complete"] else "part",
            row["violation"] or "none",
            len(row["trace"]) or "",
        ]
        for row in rows
    ]
    head = ["run", "states", "depth", "s", "visited", "broken promise", "steps to it"]
    return f"`{command}`\n\n{_table(head, cells)}\n"


def _schedule_section(command: str, files: tuple[str, ...]) -> str:
    runs = [_read(STATE_RESULTS / name) for name in files]
    names = ("schedules", "seconds", "core_s", "acknowledged", "departures", "reads", "acts", "lost")
    names += ("back_steps", "two_holders", "stuck", "other", "longest_recovery_s")
    rows: list[list[object]] = [
        [f"{run['machines']} / {run['losses']}", *(f"{run[name]:,}" if name in run else "" for name in names)]
        for run in runs
        if run is not None
    ]
    return f"`{command}`\n\n{_table(['size', *names], rows)}\n"


def _guard_section() -> str:
    command = "python -m benchmarks.guards run --result FILE"
    red_tests = {row["name"]: row["red"] for row in _read(GUARD_RESULTS / "guards.json") or []}
    rows: list[list[object]] = []
    for guard in GUARDS:
        red = red_tests.get(guard.name) or "**nothing red**" if guard.name in red_tests else "not run"
        rows.append([guard.name, f"`{guard.file}`", red.partition("::")[2] or red])
    return f"`{command}`\n\n{_table(['guard', 'file', 'red without it'], rows)}\n"


def _planted_fault_section() -> str:
    command = "python -m benchmarks.control_state planted --schedules 60 --result FILE"
    rows = _read(STATE_RESULTS / "planted.json") or []
    cells: list[list[object]] = [
        [row["fault"], row["schedules"], (row["found"] or "not found").split(";")[0]] for row in rows
    ]
    return f"`{command}` (3 / 1 and 5 / 2 by turns)\n\n{_table(['fault', 'schedules', 'found as'], cells)}\n"


def _kill_section() -> str:
    command = "python -m benchmarks.control_kills --faults 250 --result FILE"
    runs = [run for name in ("three.json", "five.json") if (run := _read(KILL_RESULTS / name)) is not None]
    names = ["seconds", "acknowledged", "sent again", "reads", "acknowledged and not found"]
    names += ["refused when sent again", "two under one number", "stuck"]
    names += ["ended by SIGKILL after the grace time"]
    rows: list[list[object]] = [
        [f"{run['members']} / {run['losses']}", sum(run["faults"].values()), *(run[name] for name in names)]
        for run in runs
    ]
    kinds = "; ".join(f"{run['members']} / {run['losses']}: {run['faults']}" for run in runs)
    return f"`{command}`\n\n{_table(['size', 'faults', *names], rows)}\n\n{kinds}\n"


def figures_section() -> str:
    """Returns the generated section of the page."""
    parts = [
        "### The model, no fault planted\n",
        _model_section("clean.json", "python -m benchmarks.control_model run --seconds 240 --result FILE"),
        "### The model, planted faults\n",
        _model_section(
            "planted.json", "python -m benchmarks.control_model planted --seconds 60 --result FILE"
        ),
        "### Schedules, planted faults\n",
        _planted_fault_section(),
        "### Schedules, long runs\n",
        _schedule_section(
            "python -m benchmarks.control_state run --seconds 1800 --result FILE",
            ("long-3-1.json", "long-4-1.json", "long-5-2.json"),
        ),
        "### Schedules in which all lose power, edges too, while disks are lost (5 / 2: --seconds 330)\n",
        _schedule_section(
            "python -m benchmarks.control_state run --blackouts --schedules 1000 --result FILE",
            ("blackouts-3-1.json", "blackouts-5-2.json"),
        ),
        "### Guards taken out one at a time\n",
        _guard_section(),
        "### Real processes on loopback\n",
        _kill_section(),
    ]
    return "\n".join(parts)


def page_with_figures() -> str:
    """Returns the whole page, with its figures regenerated from the result files."""
    before, marker, _ = PAGE.read_text().partition(FIGURES_MARKER)
    return f"{before}{marker}\n\n{figures_section()}"


def main() -> int:
    """Runs the command line and returns the exit code."""
    if docopt(__doc__)["write"]:
        PAGE.write_text(page_with_figures())
    else:
        print(figures_section())
    return 0


if __name__ == "__main__":
    sys.exit(main())
