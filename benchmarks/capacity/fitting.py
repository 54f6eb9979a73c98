"""Linear fits of results: intercept, slope and the slope's confidence interval, kept beside the results."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

from benchmarks.capacity.results import Result

PER = 1_000.0  # slopes are per this many units of the size
MIN_POINTS = 3
CONFIDENCE = 0.975  # of one tail: a two-sided interval of 95 %


class Results:
    """Looks up results by test and size."""

    def __init__(self, rows: list[Result]) -> None:
        self.rows = rows

    def of(self, test: str, **size: float | str) -> list[Result]:
        """Returns all results of a test that have these sizes."""
        return [row for row in self.rows if row.test == test
                and all(row.size.get(key) == value for key, value in size.items())]

    def one(self, test: str, **size: float | str) -> Result | None:
        """Returns the only result of a test with these sizes; None if there is none or more than one."""
        found = self.of(test, **size)
        return found[0] if len(found) == 1 else None


@dataclass(frozen=True)
class FitSpec:
    """A fit to make: a figure of a test, times `factor`, over one size, with the other sizes fixed."""

    label: str
    unit: str
    test: str
    figure: str
    over: str
    fixed: dict[str, float | str] = field(default_factory=dict)
    factor: float = 1.0
    least: float = 0.0  # smallest size included
    per: float = PER


@dataclass(frozen=True)
class FittedLine:
    """A least-squares line: `figure` = intercept + slope x size / `per`, with the slope's interval."""

    figure: str
    over: str
    start: float
    end: float
    intercept: float
    slope: float
    unit: str
    low: float
    high: float
    per: float = PER

    def at(self, size: float) -> float:
        """Returns the line's value at a size."""
        return self.intercept + self.slope * size / self.per


def fit_one(spec: FitSpec, rows: Sequence[Result]) -> FittedLine | None:
    """Fits a line to results; returns None if there are too few."""
    from scipy import stats  # imported here, since checking the page does not need it

    rows = [row for row in rows if float(row.size[spec.over]) >= spec.least]
    if len(rows) < MIN_POINTS:
        return None
    sizes = [float(row.size[spec.over]) / spec.per for row in rows]
    line = stats.linregress(sizes, [row[spec.figure] * spec.factor for row in rows])
    half_width = stats.t.ppf(CONFIDENCE, len(rows) - 2) * line.stderr
    return FittedLine(
        spec.label, spec.over, min(sizes) * spec.per, max(sizes) * spec.per,
        round(line.intercept, 5), round(line.slope, 5), spec.unit,
        round(line.slope - half_width, 5), round(line.slope + half_width, 5), spec.per)


def fit_all(specs: Iterable[FitSpec], results: Results) -> list[FittedLine]:
    """Fits all specs that have enough results."""
    found = (fit_one(spec, results.of(spec.test, **spec.fixed)) for spec in specs)
    return [line for line in found if line is not None]


def write_fits(lines: list[FittedLine], path: Path) -> None:
    """Writes lines to a file."""
    path.write_text(json.dumps({"fits": [asdict(line) for line in lines]}, indent=1) + "\n")


def read_fits(path: Path) -> list[FittedLine]:
    """Reads lines from a file; returns an empty list if there is no file."""
    if not path.exists():
        return []
    return [FittedLine(**row) for row in json.loads(path.read_text())["fits"]]
