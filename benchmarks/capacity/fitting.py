"""Straight lines through results: intercept and slope with its interval, kept beside the results."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

from benchmarks.capacity.results import Result

PER = 1_000.0  # slopes are told for so many of what the size counts
FEWEST_POINTS = 3
CONFIDENCE = 0.975  # both tails together leave 5 in 100


class Results:
    """Results by test and size."""

    def __init__(self, rows: list[Result]) -> None:
        self.rows = rows

    def of(self, test: str, **size: float | str) -> list[Result]:
        return [row for row in self.rows if row.test == test
                and all(row.size.get(key) == value for key, value in size.items())]

    def one(self, test: str, **size: float | str) -> Result | None:
        found = self.of(test, **size)
        return found[0] if len(found) == 1 else None


@dataclass(frozen=True)
class FitSpec:
    """What is fitted: a figure of a test, times `factor`, over a size, where the other sizes are fixed."""

    label: str
    unit: str
    test: str
    figure: str
    over: str
    fixed: dict[str, float | str] = field(default_factory=dict)
    factor: float = 1.0
    least: float = 0.0  # of the size; smaller ones are left out
    per: float = PER


@dataclass(frozen=True)
class FittedLine:
    """A line by least squares: `figure` = intercept + slope x size / `per`."""

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
        """The line's value at a size."""
        return self.intercept + self.slope * size / self.per


def fit_one(spec: FitSpec, rows: Sequence[Result]) -> FittedLine | None:
    """The line through so many results; None if they are too few."""
    from scipy import stats  # only here: whoever checks the page needs none of it

    rows = [row for row in rows if float(row.size[spec.over]) >= spec.least]
    if len(rows) < FEWEST_POINTS:
        return None
    sizes = [float(row.size[spec.over]) / spec.per for row in rows]
    line = stats.linregress(sizes, [row[spec.figure] * spec.factor for row in rows])
    wide = stats.t.ppf(CONFIDENCE, len(rows) - 2) * line.stderr
    return FittedLine(
        spec.label, spec.over, min(sizes) * spec.per, max(sizes) * spec.per,
        round(line.intercept, 5), round(line.slope, 5), spec.unit,
        round(line.slope - wide, 5), round(line.slope + wide, 5), spec.per)


def fit_all(specs: Iterable[FitSpec], results: Results) -> list[FittedLine]:
    """The lines of all specs that have results enough."""
    found = (fit_one(spec, results.of(spec.test, **spec.fixed)) for spec in specs)
    return [line for line in found if line is not None]


def write_fits(lines: list[FittedLine], path: Path) -> None:
    """Keep lines in a file."""
    path.write_text(json.dumps({"fits": [asdict(line) for line in lines]}, indent=1) + "\n")


def read_fits(path: Path) -> list[FittedLine]:
    """The lines of a file, none if there is no file."""
    if not path.exists():
        return []
    return [FittedLine(**row) for row in json.loads(path.read_text())["fits"]]
