"""Runs the bench with limits on parallel jobs and memory; an interrupted round can be resumed."""

from __future__ import annotations

import shutil
import subprocess
import threading
import time
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tqdm import tqdm

from benchmarks.rounds.plays import Play, pending_plays

MEMORY_POLL_S = 2.0  # interval between checks of the available memory
START_PAUSE_S = 1.0  # between two starts, so that the memory used by the first is visible
JOURNAL_FOLDER = "journal"


@dataclass(frozen=True, slots=True)
class PlayOptions:
    """Options of the bench's runs; no play starts while less than `least_free_gb` is available."""

    bench: Path
    jobs: int
    small: bool
    no_cpu: bool
    least_free_gb: float
    reason: str


class BenchRunner:
    """Runs plays that have no report yet, each in one process of the bench."""

    def __init__(self, folder: Path, clones: Mapping[str, Path], options: PlayOptions) -> None:
        self._folder = folder
        self._clones = clones
        self._options = options
        self._start_lock = threading.Lock()

    def play_all(self, plays: Sequence[Play]) -> list[Play]:
        """Runs the plays that have no report; returns those that failed."""
        pending = pending_plays(plays, self._folder)
        failed = []
        with ThreadPoolExecutor(self._options.jobs) as pool:
            for play, succeeded in tqdm(pool.map(self._play, pending), total=len(pending), unit="play"):
                if not succeeded:
                    failed.append(play)
        return failed

    def _play(self, play: Play) -> tuple[Play, bool]:
        report = play.report_file(self._folder)
        report.parent.mkdir(parents=True, exist_ok=True)
        partial = report.with_suffix(".part")
        self._wait_for_memory()
        with report.with_suffix(".log").open("wb") as log:
            completed = subprocess.run(
                self._command(play, partial),
                cwd=self._clones[play.text],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                check=False,
            )
        if partial.exists():
            partial.rename(report)
        return play, completed.returncode == 0 and report.exists()

    def _command(self, play: Play, report: Path) -> list[str]:
        options = self._options
        command = [str(options.bench), "run", str(play.site_file), play.scenario.day]
        command += ["--seed", str(play.scenario.seed), "--jobs", "1", "--report", str(report)]
        command += ["--small"] if options.small else []
        command += ["--no-cpu"] if options.no_cpu else []
        return [*command, "--why", f"{options.reason} (text {play.text})"]

    def _wait_for_memory(self) -> None:
        with self._start_lock:
            while _available_gb() < self._options.least_free_gb:
                time.sleep(MEMORY_POLL_S)
            time.sleep(START_PAUSE_S)


def collect_journal(clones: Mapping[str, Path], journal: Path) -> int:
    """Copies the clones' new journal entries; returns the number of new entries."""
    copied = 0
    for clone in clones.values():
        for path in sorted((clone / JOURNAL_FOLDER).rglob("*")):
            target = journal / path.relative_to(clone / JOURNAL_FOLDER)
            if path.is_file() and not target.exists():
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy(path, target)
                copied += path.parent.name == JOURNAL_FOLDER
    return copied


def _available_gb() -> float:
    for line in Path("/proc/meminfo").read_text(encoding="ascii").splitlines():
        if line.startswith("MemAvailable:"):
            return int(line.split()[1]) / 2**20
    return 0.0
