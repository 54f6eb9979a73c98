"""Two texts compared over the occasions that both have played: tables, one sentence, a plot."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from benchmarks.rounds.plays import REPORTS, Occasion, paired_occasions
from benchmarks.rounds.reports import WORTH, DayReport, compared_figures, read_report
from benchmarks.rounds.statistics import PairedDifference, Verdict, paired_difference

OVERALL = "all"


@dataclass(frozen=True, slots=True)
class Pair:
    """One occasion as both texts played it."""

    occasion: Occasion
    first: DayReport
    second: DayReport


def load_pairs(folder: Path, first: str, second: str) -> list[Pair]:
    """All pairs of two texts."""

    def report(text: str, occasion: Occasion) -> DayReport:
        return read_report(folder / REPORTS / text / f"{occasion.name}.json")

    occasions = paired_occasions(folder, first, second)
    return [Pair(occasion, report(first, occasion), report(second, occasion)) for occasion in occasions]


def difference(pairs: Sequence[Pair], figure: str) -> PairedDifference:
    """The difference of one figure over some pairs."""
    return paired_difference(
        [pair.first.figures.get(figure, 0.0) for pair in pairs],
        [pair.second.figures.get(figure, 0.0) for pair in pairs],
    )


def sentence(first: str, second: str, worth: PairedDifference) -> str:
    """What the pairs tell, in one sentence."""
    verdict = worth.verdict(larger_is_better=True)
    relation = "is" if verdict is not Verdict.NOT_TOLD_APART else "and"
    words = f"{relation} {verdict.value} than {first}" if relation == "is" else f"and {first} {verdict.value}"
    return (
        f"{second} {words}: {worth.mean:+.4f} of worth, 95 % interval "
        f"{worth.low:+.4f} to {worth.high:+.4f}, {worth.pairs} pairs."
    )


def comparison_lines(pairs: Sequence[Pair], first: str, second: str) -> Iterator[str]:
    """The whole comparison, line by line."""
    yield sentence(first, second, difference(pairs, WORTH))
    broken = [
        (text, pair.occasion.name, report.broken_rules)
        for pair in pairs
        for text, report in ((first, pair.first), (second, pair.second))
        if report.broken_rules
    ]
    for text, occasion, rules in broken:
        yield f"BROKEN: {text} on {occasion}: {', '.join(rules)}"
    for group, members in _groups(pairs):
        yield ""
        yield f"{group}, {len(members)} pairs{'':24s} {first:>10s} {second:>10s} difference       interval"
        reports = [report for pair in members for report in (pair.first, pair.second)]
        for figure in compared_figures(reports):
            yield _row(members, figure)


def _groups(pairs: Sequence[Pair]) -> Iterator[tuple[str, list[Pair]]]:
    yield OVERALL, list(pairs)
    for key in sorted({(pair.occasion.site, pair.occasion.day) for pair in pairs}):
        yield " ".join(key), [pair for pair in pairs if (pair.occasion.site, pair.occasion.day) == key]


def _row(all_pairs: Sequence[Pair], figure: str) -> str:
    """One figure over the pairs that have it: sites differ in their classes."""
    pairs = [pair for pair in all_pairs if figure in pair.first.figures and figure in pair.second.figures]
    if not pairs:
        return f"  {figure[:44]:44s} not in both texts' reports"
    means = [
        sum(report.figures.get(figure, 0.0) for report in side) / len(pairs)
        for side in ([pair.first for pair in pairs], [pair.second for pair in pairs])
    ]
    found = difference(pairs, figure)
    verdict = found.verdict(larger_is_better=not figure.startswith("price: "))
    mark = "" if verdict is Verdict.NOT_TOLD_APART else f"  {verdict.value}"
    return (
        f"  {figure[:44]:44s} {means[0]:10.4f} {means[1]:10.4f} {found.mean:+10.4f}  "
        f"{found.low:+.4f} {found.high:+.4f}{mark}{_count(pairs, all_pairs)}"
    )


def _count(pairs: Sequence[Pair], all_pairs: Sequence[Pair]) -> str:
    return "" if len(pairs) == len(all_pairs) else f"  ({len(pairs)} pairs)"


def plot(pairs: Sequence[Pair], first: str, second: str, path: Path) -> None:
    """Draw the differences of worth and its parts, with their intervals and every pair as a dot."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [
        WORTH,
        *(name for name in compared_figures([p.first for p in pairs]) if name.startswith("part:")),
    ]
    figure, axes = pyplot.subplots(figsize=(8, 1 + 0.6 * len(names)))
    for place, name in enumerate(reversed(names)):
        found = difference(pairs, name)
        dots = [pair.second.figures[name] - pair.first.figures[name] for pair in pairs]
        axes.plot(dots, [place] * len(dots), "o", color="tab:gray", alpha=0.4)
        axes.errorbar(
            found.mean, place, xerr=[[found.mean - found.low], [found.high - found.mean]], fmt="s", capsize=4
        )
    axes.axvline(0.0, color="black", linewidth=0.8)
    axes.set_yticks(range(len(names)), list(reversed(names)))
    axes.set_xlabel(f"{second} less {first}, worth; {len(pairs)} pairs, 95 % intervals")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
