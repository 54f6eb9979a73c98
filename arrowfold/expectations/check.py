"""Simulates worlds, evaluates the expectations over them, and minimizes a world that breaks one."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Sequence
from dataclasses import replace
from typing import Any

from arrowfold.expectations.claims import Finding
from arrowfold.expectations.contradictions import contradicts
from arrowfold.expectations.judgement import Expectation, Tally, evaluate_all, required_share
from arrowfold.expectations.plan_settings import action_path, list_settings
from arrowfold.expectations.reports import Report
from arrowfold.expectations.sampling import sample_subjects, sample_worlds
from arrowfold.expectations.worlds import TARGETS, SystemUnderTest, World, play
from arrowfold.routes.table import holds

LAG_RESOLUTION_MS = 50  # resolution of the search for the least breaking lag
DENSE_GAP_MS = 20  # interval between arrivals during that search
VACUOUS_SAMPLE_SIZE = 40  # number of worlds simulated to find the settings that make an expectation vacuous


class Check:
    """Checks the expectations of one document against a plan.

    `played` counts the simulated worlds.
    """

    def __init__(self, plan: SystemUnderTest, expectations: Sequence[Expectation], seed: int = 1) -> None:
        self.plan, self.expectations, self.seed = plan, expectations, seed
        self.regions = plan.routes.regions
        self.played = 0

    def run(self, explain: bool = True, only: Collection[str] = ()) -> list[Report]:
        """Returns a report for each expectation, or only for those named in `only`, in document order.

        With `explain`, a report also names the cause of a failure. The worlds are always sampled from the
        whole document, so a restriction by `only` does not change them.
        """
        selected = [e for e in self.expectations if not only or e.name in only]
        worlds = [world for world in self.worlds()
                  if any(holds(e.when.match, world.subject()) for e in selected)]
        reports = [Report(e.name, e.path, "vacuous") for e in selected]
        breaking_worlds: list[list[World]] = [[] for _ in selected]
        for world in worlds:
            for number, tally in enumerate(self._tallies(world, self.plan, selected)):
                report = reports[number]
                report.worlds += bool(tally.applied)
                report.good += tally.good
                report.bad += len(tally.bad)
                if _is_broken(selected[number], tally):
                    breaking_worlds[number].append(world)
        for number, report in enumerate(reports):
            expectation, bad = selected[number], breaking_worlds[number]
            if not report.worlds:
                report.verdict = "vacuous"
                if explain:
                    self._explain_vacuous(expectation, report, worlds)
                continue
            report.share = report.good / (report.good + report.bad)
            report.verdict = "holds" if report.share >= required_share(expectation.claim) else "fails"
            if report.verdict == "fails" and bad and explain:
                self._explain_failure(expectation, report, bad)
        return reports

    def replay(self, world: World) -> Iterator[str]:
        """Yields the events of one world in order of time, then the expectations that it breaks."""
        history = play(world, self.plan)
        yield world.words()
        rows = [(s.at, f"told: {s.server} ({s.zone}, {s.kind}) is {s.state.value}")
                for s in history.listed_states]
        rows += [(o.at, f"{o.server} by itself: {o.state.value}") for o in history.own]
        for session in history.session_records:
            rows.append((session.arrived, f"{session.id} arrives"))
            for a in session.attempts:
                rows.append((a.sent, f"{session.id}: attempt {a.number} to {a.server}"))
                if a.ended is not None and a.status is not None:
                    rows.append((a.ended, f"{session.id}: attempt {a.number} ends {a.status.name.lower()}"))
            if session.answered is not None:
                by = f" by rule {session.rule!r}" if session.rule and not session.attempts else ""
                rows.append((session.answered, f"{session.id}: {session.verdict}{by}"))
        for at, text in sorted(rows, key=lambda row: row[0]):
            yield f"  {at.total_seconds():10.3f}  {text}"
        for expectation, tally in zip(
                self.expectations, evaluate_all(history, self.expectations, self.regions), strict=True):
            for finding in tally.bad:
                yield f"breaks {expectation.name!r}: {finding.text}"

    def worlds(self) -> list[World]:
        """Returns the sampled worlds."""
        return sample_worlds(self.plan, self.expectations, self.seed)

    def _tallies(
            self, world: World, plan: SystemUnderTest, expectations: Sequence[Expectation]) -> list[Tally]:
        self.played += 1
        return evaluate_all(play(world, plan), expectations, self.regions)

    # --- explanation -------------------------------------------------------------------------------------

    def _find_violation(
            self, expectation: Expectation, world: World, plan: SystemUnderTest) -> Finding | None:
        (tally,) = self._tallies(world, plan, [expectation])
        return tally.bad[0] if _is_broken(expectation, tally) else None

    def _explain_failure(self, expectation: Expectation, report: Report, bad: Sequence[World]) -> None:
        """Adds the minimal breaking world, the least breaking lag and the settings involved to a report."""
        without_lag = [world for world in bad if not world.lag]
        world = self._minimize(expectation, (without_lag or bad)[0])
        finding = self._find_violation(expectation, world, self.plan)
        assert finding is not None
        report.world, report.broke = world, finding.text
        found = self.plan.make_table(self.plan.routes).find(world.subject())
        if found is not None:
            report.routed_by = action_path(found[0])
        if not without_lag:
            self._find_least_breaking_lag(expectation, report)
            world = report.world
        settings = [s for s in list_settings(self.plan) if s.path != expectation.path]
        plan, remaining = self.plan, settings
        for setting in settings:  # drop each setting that the failure does not need
            reduced = setting.without(plan)
            if self._find_violation(expectation, world, reduced) is not None:
                plan, remaining = reduced, [s for s in remaining if s is not setting]
        report.between = [s.path for s in remaining] + self._contradicting_paths(expectation)
        if report.between:
            report.between.append(expectation.path)

    def _minimize(self, expectation: Expectation, world: World) -> World:
        """Simplifies a world one field at a time while it still breaks the expectation."""
        steps: list[dict[str, Any]] = [{"arrivals": n} for n in (1, 2, 3, 4, 6, 8, 10, 12, 16, 20, 30)]
        steps += [{"event": "none", "lag": 0, "target": "one"}, {"ending": "served"}, {"load": "idle"},
                  {"lag": 0}, {"servers": 1}, {"target": "one"}, {"at": 0}, {"tenant": None}, {"key": None},
                  {"client": None}, {"region": None}, {"resent": False}, {"seed": 1}]
        simplified = True
        while simplified:
            simplified = False
            for step in steps:
                smaller = replace(world, **step)
                if smaller == world or ("arrivals" in step and step["arrivals"] > world.arrivals):
                    continue
                if self._find_violation(expectation, smaller, self.plan) is not None:
                    world, simplified = smaller, True
        return world

    def _find_least_breaking_lag(self, expectation: Expectation, report: Report) -> None:
        """Finds the least lag that breaks the expectation, to the resolution of the search.

        Arrivals are dense, so that some request falls into the interval in which the list is out of date.
        """
        assert report.world is not None
        span = report.world.lag + 1500
        base = replace(report.world, gap=DENSE_GAP_MS, arrivals=min(1000, span // DENSE_GAP_MS))
        plain = replace(base, load="idle", ending="served")
        # An event that affects all servers shows in each request at once, but it may remove a condition that
        # the failure needs: narrower targets are therefore searched as well.
        for dense in dict.fromkeys((base, *(replace(plain, target=target) for target in TARGETS))):
            if self._find_violation(expectation, dense, self.plan) is None \
                    or self._find_violation(expectation, replace(dense, lag=0), self.plan) is not None:
                continue
            border = self._bisect_lag(expectation, dense)
            if report.border_ms is None or border < report.border_ms:
                report.border_ms, report.world = border, replace(dense, lag=border)
        finding = self._find_violation(expectation, report.world, self.plan)
        report.broke = finding.text if finding is not None else report.broke

    def _bisect_lag(self, expectation: Expectation, world: World) -> int:
        """Returns the least lag in milliseconds that breaks the expectation, by bisection.

        The expectation must hold without a lag and break at the lag of `world`.
        """
        low, high = 0, world.lag
        while high - low > LAG_RESOLUTION_MS:
            middle = max((low + high) // 2 // LAG_RESOLUTION_MS * LAG_RESOLUTION_MS, low + LAG_RESOLUTION_MS)
            if self._find_violation(expectation, replace(world, lag=middle), self.plan) is not None:
                high = middle
            else:
                low = middle
        return high

    def _explain_vacuous(self, expectation: Expectation, report: Report, worlds: Sequence[World]) -> None:
        """Adds the settings without which a vacuous expectation would apply."""
        matching = [w for w in worlds if holds(expectation.when.match, w.subject())][:VACUOUS_SAMPLE_SIZE]

        def vacuous(plan: SystemUnderTest) -> bool:
            return not any(self._tallies(world, plan, [expectation])[0].applied for world in matching)

        settings = [s for s in list_settings(self.plan) if s.path != expectation.path]
        plan, remaining = self.plan, settings
        for setting in settings:
            reduced = setting.without(plan)
            if vacuous(reduced):
                plan, remaining = reduced, [s for s in remaining if s is not setting]
        report.between = [s.path for s in remaining] + self._contradicting_paths(expectation)
        if report.between:
            report.between.append(expectation.path)

    def _contradicting_paths(self, expectation: Expectation) -> list[str]:
        """Returns the paths of expectations that no routing can satisfy together with this one."""
        subjects = sample_subjects(self.plan, self.expectations)
        return [other.path for other in self.expectations
                if other is not expectation and contradicts(expectation, other, self.plan, subjects)]


def _is_broken(expectation: Expectation, tally: Tally) -> bool:
    """Whether a simulated run violates an expectation: too small a share of the evaluations passed."""
    return bool(tally.bad) and tally.good / tally.applied < required_share(expectation.claim)
