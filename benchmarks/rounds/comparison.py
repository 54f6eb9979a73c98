"""Compares two texts over the scenarios that both have played: tables, a summary sentence and a plot."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from benchmarks.rounds.plays import REPORTS_FOLDER, Scenario, paired_scenarios
from benchmarks.rounds.reports import WORTH, DayReport, compared_figures, read_report
from benchmarks.rounds.statistics import PairedDifference, Verdict, paired_difference

OVERALL = "all"


@dataclass(frozen=True, slots=True)
class Pair:
    """The reports of both texts on one scenario."""

    scenario: Scenario
    first: DayReport
    second: DayReport


def load_pairs(folder: Path, first: str, second: str) -> list[Pair]:
    """Loads the reports of all scenarios that both texts have played."""

    def report(text: str, scenario: Scenario) -> DayReport:
        return read_report(folder / REPORTS_FOLDER / text / f"{scenario.name}.json")

    scenarios = paired_scenarios(folder, first, second)
    return [Pair(scenario, report(first, scenario), report(second, scenario)) for scenario in scenarios]


def difference(pairs: Sequence[Pair], figure: str) -> PairedDifference:
    """Returns the difference of one figure over the pairs; a missing figure counts as 0."""
    return paired_difference(
        [pair.first.figures.get(figure, 0.0) for pair in pairs],
        [pair.second.figures.get(figure, 0.0) for pair in pairs],
    )


def summary_sentence(first: str, second: str, worth: PairedDifference) -> str:
    """Summarizes the difference of worth in one sentence."""
    verdict = worth.verdict(larger_is_better=True)
    relation = "is" if verdict is not Verdict.NOT_TOLD_APART else "and"
    words = f"{relation} {verdict.value} than {first}" if relation == "is" else f"and {first} {verdict.value}"
    return (
        f"{second} {words}: {worth.mean:+.4f} of worth, 95 % interval "
        f"{worth.low:+.4f} to {worth.high:+.4f}, {worth.pairs} pairs."
    )


def comparison_lines(pairs: Sequence[Pair], first: str, second: str) -> Iterator[str]:
    """Yields the lines of the whole comparison."""
    yield summary_sentence(first, second, difference(pairs, WORTH))
    violations = [
        (text, pair.scenario.name, report.violated_rules)
        for pair in pairs
        for text, report in ((first, pair.first), (second, pair.second))
        if report.violated_rules
    ]
    for text, scenario, rules in violations:
        yield f"BROKEN: {text} on {scenario}: {', '.join(rules)}"
    for group, members in _groups(pairs):
        yield ""
        yield f"{group}, {len(members)} pairs{'':24s} {first:>10s} {second:>10s} difference       interval"
        reports = [report for pair in members for report in (pair.first, pair.second)]
        for figure in compared_figures(reports):
            yield _row(members, figure)


def _groups(pairs: Sequence[Pair]) -> Iterator[tuple[str, list[Pair]]]:
    yield OVERALL, list(pairs)
    for key in sorted({(pair.scenario.site, pair.scenario.day) for pair in pairs}):
        yield " ".join(key), [pair for pair in pairs if (pair.scenario.site, pair.scenario.day) == key]


def _row(all_pairs: Sequence[Pair], figure: str) -> str:
    """Formats one figure over the pairs that have it, since sites have different classes."""
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
    """Plots the differences of worth and its parts with their intervals, and each pair as a point."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [
        WORTH,
        *(name for name in compared_figures([p.first for p in pairs]) if name.startswith("part:")),
    ]
    figure, axes = pyplot.subplots(figsize=(8, 1 + 0.6 * len(names)))
    for position, name in enumerate(reversed(names)):
        found = difference(pairs, name)
        points = [pair.second.figures[name] - pair.first.figures[name] for pair in pairs]
        axes.plot(points, [position] * len(points), "o", color="tab:gray", alpha=0.4)
        axes.errorbar(
            found.mean,
            position,
            xerr=[[found.mean - found.low], [found.high - found.mean]],
            fmt="s",
            capsize=4,
        )
    axes.axvline(0.0, color="black", linewidth=0.8)
    axes.set_yticks(range(len(names)), list(reversed(names)))
    axes.set_xlabel(f"{second} less {first}, worth; {len(pairs)} pairs, 95 % intervals")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
