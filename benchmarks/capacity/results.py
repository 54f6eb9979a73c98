"""Points of the scale tests and their results: one JSON file per point, so that a run can be resumed."""

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

VERSION = 1  # of the tests' definitions; results of another version are measured again
FOLDER = Path(__file__).parent / "results"
ROOT = Path(__file__).resolve().parents[2]
MAX_MEMORY_SHARE = 0.5  # of the machine's memory
MAX_PROCESSES = 300

Figures = dict[str, float]


class InvalidResult(ValueError):
    """A result file cannot be used; the message says why."""


class PointTooLarge(RuntimeError):
    """A point needs more resources than this machine offers."""


@dataclass(frozen=True)
class Point:
    """One size of one test. `run(seed)` returns its figures.

    `descriptors`, `megabytes` and `processes` are the resources needed, which are checked before the run.
    """

    test: str
    size: dict[str, float | str]
    run: Callable[[int], Figures]
    seeds: tuple[int, ...] = (1, 2, 3)
    descriptors: int = 64
    megabytes: int = 200
    processes: int = 1

    @property
    def name(self) -> str:
        """The test and its sizes; also the result file's name."""
        return "-".join([self.test, *(f"{key}={value}" for key, value in self.size.items())])

    def check(self) -> None:
        """Raises PointTooLarge if this machine's resources do not suffice."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 1e6
        for what, needed, available in (("descriptors", self.descriptors, soft),
                                        ("MB of memory", self.megabytes, memory * MAX_MEMORY_SHARE),
                                        ("processes", self.processes, MAX_PROCESSES)):
            if needed > available:
                raise PointTooLarge(
                    f"{self.name}: needs {needed} {what}, of which {available:.0f} are available")


@dataclass
class Result:
    """The figures of a point: for each one the median, minimum and maximum over the seeds."""

    name: str
    test: str
    size: dict[str, float | str]
    seeds: list[int]
    figures: dict[str, list[float]]  # (median, minimum, maximum)
    version: int = VERSION
    machine: dict[str, Any] = field(default_factory=dict)

    def __getitem__(self, figure: str) -> float:
        """The median of a figure."""
        return self.figures[figure][0]


def describe_machine() -> dict[str, Any]:
    """Describes the machine of a measurement, its load and the revision of the source."""
    revision = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=ROOT, capture_output=True, text=True)
    return {"cores": os.cpu_count(), "processor": platform.processor() or platform.machine(),
            "python": platform.python_version(), "revision": revision.stdout.strip(),
            "load": round(os.getloadavg()[0], 1)}


def result_path(name: str, folder: Path = FOLDER) -> Path:
    """Returns the file of a point's result."""
    return folder / f"{name}.json"


def read_result(path: Path) -> Result:
    """Reads a result file. Raises InvalidResult if it is truncated, incomplete or of another version."""
    try:
        row = json.loads(path.read_text())
        found = Result(**row)
        if found.version != VERSION:
            raise InvalidResult(f"{path.name}: version {found.version}, expected {VERSION}")
        if not found.figures or any(len(spread) != 3 for spread in found.figures.values()):
            raise InvalidResult(f"{path.name}: figures are missing")
    except (json.JSONDecodeError, TypeError, AttributeError, UnicodeDecodeError) as error:
        raise InvalidResult(f"{path.name}: truncated or not a result ({type(error).__name__})") from error
    return found


def write_result(result: Result, folder: Path = FOLDER) -> None:
    """Writes a result file atomically."""
    folder.mkdir(exist_ok=True)
    temporary = result_path(result.name, folder).with_suffix(".new")
    temporary.write_text(json.dumps(asdict(result), indent=1, sort_keys=True) + "\n")
    temporary.replace(result_path(result.name, folder))


def measure_point(point: Point) -> Result:
    """Runs a point for each of its seeds."""
    rows = [point.run(seed) for seed in point.seeds]
    figures = {key: [round(v, 6) for v in (statistics.median(r[key] for r in rows), min(r[key] for r in rows),
                                           max(r[key] for r in rows))] for key in rows[0]}
    return Result(point.name, point.test, point.size, list(point.seeds), figures, machine=describe_machine())


def load_results(folder: Path = FOLDER) -> list[Result]:
    """Reads all results. Raises InvalidResult for the first file that cannot be used."""
    return [read_result(path) for path in sorted(folder.glob("*=*.json"))]
