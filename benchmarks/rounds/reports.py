"""What a played day was worth: the parts and prices of the bench's report, as typed values."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

LEAST_PRICE = 0.005  # of the worth: smaller prices are not compared
WORTH = "worth"


@dataclass(frozen=True, slots=True)
class DayReport:
    """One played day. `figures`: worth less prices, its parts, each class, each price, all by name."""

    figures: Mapping[str, float]
    broken_rules: tuple[str, ...]

    @property
    def worth(self) -> float:
        """Worth earned over worth owed, less prices."""
        return self.figures[WORTH]


def read_report(path: Path) -> DayReport:
    """Read the file that `fleetbench run --report` wrote; raises ValueError where it is none."""
    try:
        return parse_report(json.loads(path.read_text(encoding="utf-8")))
    except (KeyError, TypeError, IndexError) as error:
        raise ValueError(f"{path}: not a report of a day: {error!r}") from error


def parse_report(document: Mapping[str, Any]) -> DayReport:
    """The figures of a report; raises KeyError, TypeError or IndexError where it is none."""
    figures = {WORTH: float(document["G"])}
    figures |= {f"part: {name}": float(value) for name, _, value in document["parts"]}
    figures |= {f"class: {row['name']}": float(row["worth"]) for row in document["classes"]}
    figures |= {f"price: {name}": float(price) for name, _, price in document["prices"]}
    broken = tuple(rule for rule, times in document["breaks"].items() if times)
    fault = document["fault"]
    return DayReport(figures, (*broken, str(fault)) if fault else broken)


def compared_figures(reports: list[DayReport]) -> list[str]:
    """The names of what is compared: prices only where one of the reports has one that counts."""
    names = dict.fromkeys(name for report in reports for name in report.figures)
    return [
        name
        for name in names
        if not name.startswith("price: ")
        or any(abs(report.figures.get(name, 0.0)) >= LEAST_PRICE for report in reports)
    ]
