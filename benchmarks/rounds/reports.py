"""Typed figures of the bench's report on a day: worth, its parts, classes and prices."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

MIN_PRICE = 0.005  # in units of worth; smaller prices are not compared
WORTH = "worth"


@dataclass(frozen=True, slots=True)
class DayReport:
    """The figures of one day by name: worth less prices, its parts, each class and each price."""

    figures: Mapping[str, float]
    violated_rules: tuple[str, ...]

    @property
    def worth(self) -> float:
        """The ratio of earned worth to owed worth, less prices."""
        return self.figures[WORTH]


def read_report(path: Path) -> DayReport:
    """Reads a report written by `fleetbench run --report`; raises ValueError if it is malformed."""
    try:
        return parse_report(json.loads(path.read_text(encoding="utf-8")))
    except (KeyError, TypeError, IndexError) as error:
        raise ValueError(f"{path}: not a report of a day: {error!r}") from error


def parse_report(document: Mapping[str, Any]) -> DayReport:
    """Returns the figures of a report; raises KeyError, TypeError or IndexError if it is malformed."""
    figures = {WORTH: float(document["G"])}
    figures |= {f"part: {name}": float(value) for name, _, value in document["parts"]}
    figures |= {f"class: {row['name']}": float(row["worth"]) for row in document["classes"]}
    figures |= {f"price: {name}": float(price) for name, _, price in document["prices"]}
    violations = tuple(rule for rule, times in document["breaks"].items() if times)
    fault = document["fault"]
    return DayReport(figures, (*violations, str(fault)) if fault else violations)


def compared_figures(reports: list[DayReport]) -> list[str]:
    """Returns the names of the figures to compare; prices only if one report has a significant one."""
    names = dict.fromkeys(name for report in reports for name in report.figures)
    return [
        name
        for name in names
        if not name.startswith("price: ")
        or any(abs(report.figures.get(name, 0.0)) >= MIN_PRICE for report in reports)
    ]
