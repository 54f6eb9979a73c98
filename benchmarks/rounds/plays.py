"""The plays of a round: a text, a site, a day and a seed, and where the report lies."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

REPORTS = "plays"


@dataclass(frozen=True, slots=True, order=True)
class Occasion:
    """What is the same for both sides of a pair."""

    site: str  # the name of the site file, without its ending
    day: str
    seed: int

    @property
    def name(self) -> str:
        """A name for files and tables."""
        return f"{self.site}.{self.day}.{self.seed}"


@dataclass(frozen=True, slots=True)
class Play:
    """One text on one occasion."""

    text: str
    occasion: Occasion
    site_file: Path

    def report_file(self, folder: Path) -> Path:
        """Where its report lies once it has been played."""
        return folder / REPORTS / self.text / f"{self.occasion.name}.json"


def interleaved(
    texts: Sequence[str], site_files: Sequence[Path], days: Sequence[str], seeds: Sequence[int]
) -> list[Play]:
    """All plays, those of one occasion one after the other: a slow hour of the machine strikes all texts."""
    return [
        Play(text, Occasion(site_file.stem, day, seed), site_file)
        for seed in seeds
        for site_file in site_files
        for day in days
        for text in texts
    ]


def missing(plays: Sequence[Play], folder: Path) -> list[Play]:
    """The plays that have no report yet: a round that was cut off goes on with these."""
    return [play for play in plays if not play.report_file(folder).exists()]


def paired_occasions(folder: Path, first: str, second: str) -> list[Occasion]:
    """The occasions that both texts have played."""
    found = [set(_played(folder, text)) for text in (first, second)]
    return sorted(found[0] & found[1])


def _played(folder: Path, text: str) -> list[Occasion]:
    occasions = []
    for path in (folder / REPORTS / text).glob("*.json"):
        site, day, seed = path.stem.rsplit(".", 2)
        occasions.append(Occasion(site, day, int(seed)))
    return occasions
