"""The plays of a round: a text, a site, a day and a seed, and the path of the report."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

REPORTS_FOLDER = "plays"


@dataclass(frozen=True, slots=True, order=True)
class Scenario:
    """The site, day and seed that both plays of a pair share."""

    site: str  # name of the site file without its suffix
    day: str
    seed: int

    @property
    def name(self) -> str:
        """The name used in file names and tables."""
        return f"{self.site}.{self.day}.{self.seed}"


@dataclass(frozen=True, slots=True)
class Play:
    """One text on one scenario."""

    text: str
    scenario: Scenario
    site_file: Path

    def report_file(self, folder: Path) -> Path:
        """Returns the path of the report, which exists once the play has finished."""
        return folder / REPORTS_FOLDER / self.text / f"{self.scenario.name}.json"


def interleaved(
    texts: Sequence[str], site_files: Sequence[Path], days: Sequence[str], seeds: Sequence[int]
) -> list[Play]:
    """Returns all plays, with those of one scenario next to each other.

    A period in which the machine is slow thus affects all texts equally.
    """
    return [
        Play(text, Scenario(site_file.stem, day, seed), site_file)
        for seed in seeds
        for site_file in site_files
        for day in days
        for text in texts
    ]


def pending_plays(plays: Sequence[Play], folder: Path) -> list[Play]:
    """Returns the plays that have no report yet, with which an interrupted round is resumed."""
    return [play for play in plays if not play.report_file(folder).exists()]


def paired_scenarios(folder: Path, first: str, second: str) -> list[Scenario]:
    """Returns the scenarios that both texts have played."""
    played = [set(_played_scenarios(folder, text)) for text in (first, second)]
    return sorted(played[0] & played[1])


def _played_scenarios(folder: Path, text: str) -> list[Scenario]:
    scenarios = []
    for path in (folder / REPORTS_FOLDER / text).glob("*.json"):
        site, day, seed = path.stem.rsplit(".", 2)
        scenarios.append(Scenario(site, day, int(seed)))
    return scenarios
