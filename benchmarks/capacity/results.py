"""Points of scale tests and their results: one JSON file each, so that a run goes on where it ended."""

from __future__ import annotations

import json
import os
import platform
import resource
import statistics
import subprocess
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

VERSION = 1  # of the tests' meaning: results of another one are made again
FOLDER = Path(__file__).parent / "results"
ROOT = Path(__file__).resolve().parents[2]
MOST_MEMORY = 0.5  # of the machine's
MOST_PROCESSES = 300

Figures = dict[str, float]


class Faulty(ValueError):
    """A results' file that can't be used, and why."""


class TooLarge(RuntimeError):
    """A point asks for more than this machine may give it."""


@dataclass(frozen=True)
class Point:
    """One size of one test. `run` gives the figures for a seed."""

    test: str
    size: dict[str, float | str]
    run: Callable[[int], Figures]
    seeds: tuple[int, ...] = (1, 2, 3)
    descriptors: int = 64
    megabytes: int = 200
    processes: int = 1

    @property
    def name(self) -> str:
        return "-".join([self.test, *(f"{key}={value}" for key, value in self.size.items())])

    def check(self) -> None:
        """Raises TooLarge before anything has started."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 1e6
        for what, wanted, most in (("descriptors", self.descriptors, soft),
                                   ("MB of memory", self.megabytes, memory * MOST_MEMORY),
                                   ("processes", self.processes, MOST_PROCESSES)):
            if wanted > most:
                raise TooLarge(f"{self.name}: needs {wanted} {what}, and may have {most:.0f}")


@dataclass
class Result:
    """What a point gave: each figure's median, least and most over the seeds."""

    name: str
    test: str
    size: dict[str, float | str]
    seeds: list[int]
    figures: dict[str, list[float]]  # median, least, most
    version: int = VERSION
    machine: dict[str, Any] = field(default_factory=dict)

    def __getitem__(self, figure: str) -> float:
        return self.figures[figure][0]


def machine() -> dict[str, Any]:
    """What the figures were measured on, and of which text."""
    revision = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=ROOT, capture_output=True, text=True)
    return {"cores": os.cpu_count(), "processor": platform.processor() or platform.machine(),
            "python": platform.python_version(), "revision": revision.stdout.strip(),
            "load": round(os.getloadavg()[0], 1)}


def place(name: str, folder: Path = FOLDER) -> Path:
    return folder / f"{name}.json"


def read(path: Path) -> Result:
    """Raises Faulty where a file was cut off, lacks a part or comes from another version."""
    try:
        row = json.loads(path.read_text())
        found = Result(**row)
        if found.version != VERSION:
            raise Faulty(f"{path.name}: of version {found.version}, now {VERSION}")
        if not found.figures or any(len(spread) != 3 for spread in found.figures.values()):
            raise Faulty(f"{path.name}: figures are missing")
    except (json.JSONDecodeError, TypeError, AttributeError, UnicodeDecodeError) as error:
        raise Faulty(f"{path.name}: cut off or not a result ({type(error).__name__})") from error
    return found


def write(result: Result, folder: Path = FOLDER) -> None:
    """Whole or not at all."""
    folder.mkdir(exist_ok=True)
    fresh = place(result.name, folder).with_suffix(".new")
    fresh.write_text(json.dumps(asdict(result), indent=1, sort_keys=True) + "\n")
    fresh.replace(place(result.name, folder))


def measure(point: Point) -> Result:
    """Run a point for each of its seeds."""
    rows = [point.run(seed) for seed in point.seeds]
    figures = {key: [round(v, 6) for v in (statistics.median(r[key] for r in rows), min(r[key] for r in rows),
                                           max(r[key] for r in rows))] for key in rows[0]}
    return Result(point.name, point.test, point.size, list(point.seeds), figures, machine=machine())


def load(folder: Path = FOLDER) -> list[Result]:
    """All results that there are; raises Faulty at the first that can't be used."""
    return [read(path) for path in sorted(folder.glob("*=*.json"))]
