"""Plays days with the bench: bounded in jobs and memory, and taken up where it was cut off."""

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

from benchmarks.rounds.plays import Play, missing

MEMORY_LOOK_S = 2.0  # between two looks at whether there is memory for one more play
START_PAUSE_S = 1.0  # between two starts, so that the first one's memory is seen
JOURNAL = "journal"


@dataclass(frozen=True, slots=True)
class PlayOptions:
    """How days are played. `least_free_gb`: no play begins while less memory is available."""

    bench: Path
    jobs: int
    small: bool
    no_cpu: bool
    least_free_gb: float
    reason: str


class Player:
    """Plays all that is missing, each with one process of the bench."""

    def __init__(self, folder: Path, clones: Mapping[str, Path], options: PlayOptions) -> None:
        self._folder = folder
        self._clones = clones
        self._options = options
        self._starting = threading.Lock()

    def play_all(self, plays: Sequence[Play]) -> list[Play]:
        """Play those that have no report; returns the plays that failed."""
        wanted = missing(plays, self._folder)
        failed = []
        with ThreadPoolExecutor(self._options.jobs) as pool:
            for play, passed in tqdm(pool.map(self._play, wanted), total=len(wanted), unit="play"):
                if not passed:
                    failed.append(play)
        return failed

    def _play(self, play: Play) -> tuple[Play, bool]:
        report = play.report_file(self._folder)
        report.parent.mkdir(parents=True, exist_ok=True)
        unfinished = report.with_suffix(".part")
        self._await_memory()
        with report.with_suffix(".log").open("wb") as log:
            ended = subprocess.run(
                self._command(play, unfinished),
                cwd=self._clones[play.text],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                check=False,
            )
        if unfinished.exists():
            unfinished.rename(report)
        return play, ended.returncode == 0 and report.exists()

    def _command(self, play: Play, report: Path) -> list[str]:
        options = self._options
        command = [str(options.bench), "run", str(play.site_file), play.occasion.day]
        command += ["--seed", str(play.occasion.seed), "--jobs", "1", "--report", str(report)]
        command += ["--small"] if options.small else []
        command += ["--no-cpu"] if options.no_cpu else []
        return [*command, "--why", f"{options.reason} (text {play.text})"]

    def _await_memory(self) -> None:
        with self._starting:
            while _available_gb() < self._options.least_free_gb:
                time.sleep(MEMORY_LOOK_S)
            time.sleep(START_PAUSE_S)


def collect_journal(clones: Mapping[str, Path], journal: Path) -> int:
    """Copy the clones' new journal entries; returns how many entries were new."""
    copied = 0
    for clone in clones.values():
        for path in sorted((clone / JOURNAL).rglob("*")):
            target = journal / path.relative_to(clone / JOURNAL)
            if path.is_file() and not target.exists():
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy(path, target)
                copied += path.parent.name == JOURNAL
    return copied


def _available_gb() -> float:
    for line in Path("/proc/meminfo").read_text(encoding="ascii").splitlines():
        if line.startswith("MemAvailable:"):
            return int(line.split()[1]) / 2**20
    return 0.0
