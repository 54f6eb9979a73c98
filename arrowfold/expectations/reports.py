"""Reports of the check, as JSON rows and as text lines."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from arrowfold.expectations.worlds import World


@dataclass(slots=True)
class Report:
    """Result of the check for one expectation."""

    name: str
    path: str
    verdict: str  # holds, fails, vacuous
    worlds: int = 0  # number of worlds in which it applied
    good: int = 0
    bad: int = 0
    share: float = 1.0  # share of good findings
    border_ms: int | None = None  # the expectation holds while the list lags less than this
    world: World | None = None  # minimal world that breaks it
    broke: str = ""  # text of the violation in that world
    routed_by: str = ""  # path of the rule that applied in that world
    between: list[str] = field(default_factory=list)  # paths of the settings that the failure depends on

    def as_row(self) -> dict[str, Any]:
        """Returns the row printed by `--json`."""
        row: dict[str, Any] = {
            "name": self.name, "path": self.path, "verdict": self.verdict, "worlds": self.worlds,
            "good": self.good, "bad": self.bad}
        if self.border_ms is not None:
            row["holds_while_lag_under_ms"] = self.border_ms
        if self.world is not None:
            row |= {"broke": self.broke, "world": self.world.words(), "token": self.world.token()}
        if self.routed_by:
            row["routed_by"] = self.routed_by
        if self.between:
            row["between"] = self.between
        return row

    def lines(self) -> Iterator[str]:
        """Yields the lines of the text output."""
        if self.verdict == "holds":
            yield f"holds    {self.name}  (applied in {self.worlds} worlds, {self.good + self.bad} times)"
            return
        if self.verdict == "vacuous":
            yield f"vacuous  {self.name}  (no world brought it about: it promises nothing)"
        elif self.border_ms is not None:
            border = f"{self.border_ms / 1000:.2f} s"
            yield f"fails    {self.name}: holds while the list lags less than {border}; breaks: {self.broke}"
        else:
            yield f"fails    {self.name}: {self.broke}"
        if self.verdict == "fails":
            yield f"           {self.bad} of {self.good + self.bad} findings in {self.worlds} worlds"
        if self.world is not None:
            yield f"           world: {self.world.words()}"
            yield f"           replay: --replay {self.world.token()}"
        if self.routed_by:
            yield f"           routed by: {self.routed_by}"
        if self.between:
            yield f"           between: {'; '.join(self.between)}"
