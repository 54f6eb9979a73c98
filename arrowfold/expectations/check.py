"""The check: plays worlds against the expectations, and says what breaks one, as small as it can be made."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from itertools import product
from typing import Any

from allpairspy import AllPairs  # type: ignore[import-untyped]

from arrowfold import interface as api
from arrowfold.expectations.claims import (
    Answered,
    Denied,
    Expectation,
    Finding,
    Prefers,
    Reaches,
    Tally,
    judge_all,
    share_owed,
)
from arrowfold.expectations.worlds import ENDINGS, EVENTS, LOADS, TARGETS, Plan, World, play
from arrowfold.networks import read_network
from arrowfold.routes.rules import Match, Routes, Rule, Subject
from arrowfold.routes.table import holds

LAGS = (0, 400, 1200, 3000)  # ms
TOLD_LATE = ("drain", "gone", "vanish", "restart")  # events that the list brings
GAPS = (150, 30)  # ms between arrivals: a trickle, and a burst
MOMENTS = (0, 60, 330)  # ms: before the first arrival, in the middle of its dispatch, between two
STEP = 50  # ms: how exactly the border of a lag is found
DENSE_GAP = 20  # ms between arrivals while it is looked for
ARRIVALS = {150: 12, 30: 20}
COLD_ARRIVALS = {150: 12, 30: 48}  # a cold server's budget shows over a second and a half
EXHAUSTIVE = 1500  # worlds; where all combinations are no more, all are played
NO_REGION: list[str | None] = [None]
FEW = 40  # worlds that stand for all when a setting's part in a verdict is looked for


@dataclass(frozen=True, slots=True)
class Setting:
    """One thing that is set: its path, and the plan without it."""

    path: str
    without: Callable[[Plan], Plan]


@dataclass(slots=True)
class Report:
    """What the check says of one expectation."""

    name: str
    path: str
    verdict: str  # holds, fails, vacuous
    worlds: int = 0  # in which it applied
    good: int = 0
    bad: int = 0
    share: float = 1.0  # of the findings that were good
    border_ms: int | None = None  # holds while the list lags less than this
    world: World | None = None  # the smallest that breaks it
    broke: str = ""
    routed_by: str = ""  # the path of the rule that held in that world
    between: list[str] = field(default_factory=list)  # paths of the settings without which it would not

    def as_row(self) -> dict[str, Any]:
        """For `--json`."""
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
        """For people."""
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


class Check:
    """One document, checked against a plan."""

    def __init__(self, plan: Plan, expectations: Sequence[Expectation], seed: int = 1) -> None:
        self.plan, self.expectations, self.seed = plan, expectations, seed
        self.regions = plan.routes.regions
        self.played = 0

    def run(self, explain: bool = True, only: Collection[str] = ()) -> list[Report]:
        """A report for each expectation, or for those named alone, in their order.

        With `explain`, why one does not hold. The worlds are those of the whole document in either case.
        """
        chosen = [e for e in self.expectations if not only or e.name in only]
        worlds = [world for world in self.worlds()
                  if any(holds(e.when.match, world.subject()) for e in chosen)]
        reports = [Report(e.name, e.path, "vacuous") for e in chosen]
        first_bad: list[list[World]] = [[] for _ in chosen]
        for world in worlds:
            for number, tally in enumerate(self._tallies(world, self.plan, chosen)):
                report = reports[number]
                report.worlds += bool(tally.applied)
                report.good += tally.good
                report.bad += len(tally.bad)
                if _broken(chosen[number], tally):
                    first_bad[number].append(world)
        for number, report in enumerate(reports):
            expectation, bad = chosen[number], first_bad[number]
            if not report.worlds:
                report.verdict = "vacuous"
                if explain:
                    self._explain_vacuous(expectation, report, worlds)
                continue
            report.share = report.good / (report.good + report.bad)
            report.verdict = "holds" if report.share >= share_owed(expectation.claim) else "fails"
            if report.verdict == "fails" and bad and explain:
                self._explain(expectation, report, bad)
        return reports

    def replay(self, world: World) -> Iterator[str]:
        """One world told step by step, with what it breaks."""
        history = play(world, self.plan)
        yield world.words()
        rows = [(s.at, f"told: {s.server} ({s.zone}, {s.kind}) is {s.state.value}") for s in history.sights]
        rows += [(o.at, f"{o.server} by itself: {o.state.value}") for o in history.own]
        for life in history.lives:
            rows.append((life.arrived, f"{life.id} arrives"))
            for a in life.attempts:
                rows.append((a.sent, f"{life.id}: attempt {a.number} to {a.server}"))
                if a.ended is not None and a.status is not None:
                    rows.append((a.ended, f"{life.id}: attempt {a.number} ends {a.status.name.lower()}"))
            if life.answered is not None:
                by = f" by rule {life.rule!r}" if life.rule and not life.attempts else ""
                rows.append((life.answered, f"{life.id}: {life.verdict}{by}"))
        for at, text in sorted(rows, key=lambda row: row[0]):
            yield f"  {at.total_seconds():10.3f}  {text}"
        for expectation, tally in zip(
                self.expectations, judge_all(history, self.expectations, self.regions), strict=True):
            for finding in tally.bad:
                yield f"breaks {expectation.name!r}: {finding.text}"

    # --- the worlds --------------------------------------------------------------------------------------

    def worlds(self) -> list[World]:
        """Every pair of what can happen, for every kind of job; every triple of the states themselves."""
        jobs = self.subjects()
        factors: list[Sequence[Any]] = [jobs, LOADS, ENDINGS, EVENTS, TARGETS, LAGS, MOMENTS, (1, 2), GAPS]
        if math.prod(map(len, factors)) <= EXHAUSTIVE:
            rows: Iterable[Any] = product(*factors)
        else:
            rows = [*AllPairs(factors), *self._triples(jobs)]
        rng = random.Random(self.seed)
        worlds = []
        for subject, load, ending, event, target, lag, at, servers, gap in rows:
            told_late = event in TOLD_LATE
            arrivals = COLD_ARRIVALS if event in ("restart", "back") else ARRIVALS
            worlds.append(World(
                subject.request_class, subject.region, subject.key, subject.tenant, subject.client,
                subject.resent, servers=servers, load=load, ending=ending, event=event,
                target=target if event != "none" else "one", at=at if event != "none" else 300,
                lag=lag if told_late else 0, arrivals=arrivals[gap], gap=gap, seed=rng.randrange(1, 10_000)))
        return list(dict.fromkeys(worlds))

    def _triples(self, jobs: Sequence[Subject]) -> Iterator[tuple[Any, ...]]:
        """Triples of job, event and moment, with every lag; of class, ending and load; the rest in turn."""
        turn = 0
        for subject, event in product(jobs, EVENTS[1:]):
            for at, lag in product(MOMENTS, LAGS) if event in TOLD_LATE else product(MOMENTS, (0,)):
                turn += 1
                if event in TOLD_LATE and (turn + at) % 2:  # half of these; pairs of lag and moment remain
                    continue
                yield (subject, LOADS[turn % 2], "served", event, TARGETS[turn // 2 % 3], lag, at,
                       1 + turn // 3 % 2, GAPS[turn // 5 % 2])
        plain = {subject.request_class: subject for subject in reversed(jobs)}.values()
        for subject, ending, load in product(plain, ENDINGS, LOADS):
            yield subject, load, ending, "none", "one", 0, 0, 1, GAPS[0]

    def subjects(self) -> list[Subject]:
        """Jobs that the rules and expectations speak of, and for each class one of which nothing speaks."""
        classes = [cls.name for cls in self.plan.settings.classes]
        found = {Subject(name): None for name in classes}
        matches = [rule.match for rule in self.plan.routes.rules]
        matches += [expectation.when.match for expectation in self.expectations]
        for number, match in enumerate(matches):
            found.update(dict.fromkeys(_subjects_of(match, classes, number)))
        return list(found)

    def _tallies(
            self, world: World, plan: Plan, expectations: Sequence[Expectation]) -> list[Tally]:
        self.played += 1
        return judge_all(play(world, plan), expectations, self.regions)

    # --- why it fails ------------------------------------------------------------------------------------

    def _breaks(self, expectation: Expectation, world: World, plan: Plan) -> Finding | None:
        (tally,) = self._tallies(world, plan, [expectation])
        return tally.bad[0] if _broken(expectation, tally) else None

    def _explain(self, expectation: Expectation, report: Report, bad: Sequence[World]) -> None:
        """The smallest world that breaks it, the border of the lag, and the settings that it takes."""
        quiet = [world for world in bad if not world.lag]
        world = self._smallest(expectation, (quiet or bad)[0])
        finding = self._breaks(expectation, world, self.plan)
        assert finding is not None
        report.world, report.broke = world, finding.text
        found = self.plan.make_table(self.plan.routes).find(world.subject())
        if found is not None:
            report.routed_by = _path_of(found[0])
        if not quiet:
            self._find_border(expectation, report)
            world = report.world
        settings = [s for s in self.settings() if s.path != expectation.path]
        plan, left = self.plan, settings
        for setting in settings:  # without whatever it breaks without as well
            fewer = setting.without(plan)
            if self._breaks(expectation, world, fewer) is not None:
                plan, left = fewer, [s for s in left if s is not setting]
        report.between = [s.path for s in left] + self._opponents(expectation)
        if report.between:
            report.between.append(expectation.path)

    def _smallest(self, expectation: Expectation, world: World) -> World:
        """Simpler one step at a time, as long as it still breaks."""
        steps: list[dict[str, Any]] = [{"arrivals": n} for n in (1, 2, 3, 4, 6, 8, 10, 12, 16, 20, 30)]
        steps += [{"event": "none", "lag": 0, "target": "one"}, {"ending": "served"}, {"load": "idle"},
                  {"lag": 0}, {"servers": 1}, {"target": "one"}, {"at": 0}, {"tenant": None}, {"key": None},
                  {"client": None}, {"region": None}, {"resent": False}, {"seed": 1}]
        again = True
        while again:
            again = False
            for step in steps:
                smaller = replace(world, **step)
                if smaller == world or ("arrivals" in step and step["arrivals"] > world.arrivals):
                    continue
                if self._breaks(expectation, smaller, self.plan) is not None:
                    world, again = smaller, True
        return world

    def _find_border(self, expectation: Expectation, report: Report) -> None:
        """The least lag that breaks it, to STEP; arrivals come close together, so that none slips by."""
        assert report.world is not None
        span = report.world.lag + 1500
        base = replace(report.world, gap=DENSE_GAP, arrivals=min(1000, span // DENSE_GAP))
        plain = replace(base, load="idle", ending="served")
        # Befalls it all, each job shows it at once; but then what it takes to break it may be missing.
        for dense in dict.fromkeys((base, *(replace(plain, target=target) for target in TARGETS))):
            if self._breaks(expectation, dense, self.plan) is None \
                    or self._breaks(expectation, replace(dense, lag=0), self.plan) is not None:
                continue
            border = self._least_lag(expectation, dense)
            if report.border_ms is None or border < report.border_ms:
                report.border_ms, report.world = border, replace(dense, lag=border)
        finding = self._breaks(expectation, report.world, self.plan)
        report.broke = finding.text if finding is not None else report.broke

    def _least_lag(self, expectation: Expectation, world: World) -> int:
        """It holds with no lag and breaks with the world's: the border between, in milliseconds."""
        low, high = 0, world.lag
        while high - low > STEP:
            middle = max((low + high) // 2 // STEP * STEP, low + STEP)
            if self._breaks(expectation, replace(world, lag=middle), self.plan) is not None:
                high = middle
            else:
                low = middle
        return high

    def _explain_vacuous(self, expectation: Expectation, report: Report, worlds: Sequence[World]) -> None:
        """The settings without which it would apply."""
        about = [w for w in worlds if holds(expectation.when.match, w.subject())][:FEW]

        def vacuous(plan: Plan) -> bool:
            return not any(self._tallies(world, plan, [expectation])[0].applied for world in about)

        settings = [s for s in self.settings() if s.path != expectation.path]
        plan, left = self.plan, settings
        for setting in settings:
            fewer = setting.without(plan)
            if vacuous(fewer):
                plan, left = fewer, [s for s in left if s is not setting]
        report.between = [s.path for s in left] + self._opponents(expectation)
        if report.between:
            report.between.append(expectation.path)

    def settings(self) -> list[Setting]:
        """Everything set that may take part, each with the plan that lacks it."""
        found = [Setting(_path_of(rule), _without_rule(rule.name)) for rule in self.plan.routes.rules]
        if self.plan.quotas is not None:
            found += [Setting(f'quotas > organisation "{name}"', _without_organisation(name))
                      for name in self.plan.quotas.root.children]
            if self.plan.quotas.root.default is not None:
                found.append(Setting("quotas > default", _without_quota_default))
            if self.plan.quotas.nobody is not None:
                found.append(Setting("quotas > nobody", _without_nobody))
        for number, cls in enumerate(self.plan.settings.classes):
            if cls.kind is not None:
                found.append(Setting(f"settings > domain > classKind[{number}]", _without_kind(cls.name)))
            if cls.idempotency is not api.Idempotency.SAFE:
                found.append(Setting(f"settings > classes[{number}] > idempotency", _as_safe(cls.name)))
        cap = self.plan.settings.attempt_cap
        if cap != 4:
            found.append(Setting("settings > permissions > sendCap", _with(attempt_cap=4)))
        if self.plan.settings.second_copies:
            found.append(Setting("settings > permissions > secondCopies", _with(second_copies=False)))
        if cap > 1:  # last: with one attempt nothing is ever repeated
            found.append(Setting("settings > permissions > sendCap", _with(attempt_cap=1)))
        return found

    def _opponents(self, expectation: Expectation) -> list[str]:
        """Other expectations that no routing can satisfy together with this one."""
        return [other.path for other in self.expectations
                if other is not expectation and contradict(expectation, other, self.plan, self.subjects())]


def _broken(expectation: Expectation, tally: Tally) -> bool:
    """Whether a world breaks an expectation; where a share is owed, by too low a share in this world."""
    return bool(tally.bad) and tally.good / tally.applied < share_owed(expectation.claim)


# --- contradictions between two expectations -----------------------------------------------------------


def contradict(
        one: Expectation, two: Expectation, plan: Plan, subjects: Sequence[Subject]) -> bool:
    """Whether both speak of some job, each can be met, and no server, nor a denial, meets both.

    Only claims that say where a job may go, or that it is denied, are held against each other.
    """
    if one.when.of_attempts or two.when.of_attempts:
        return False
    a, b = _outcomes(one, plan), _outcomes(two, plan)
    if a is None or b is None or not a or not b or a & b:
        return False
    of_one, of_two = ({s for s in subjects if holds(e.when.match, s)} for e in (one, two))
    if "denied" in a or "denied" in b:  # a denial of some of its jobs leaves the other its promise
        return bool(of_one and of_two) and (of_two <= of_one if "denied" in a else of_one <= of_two)
    return bool(of_one & of_two)


def _outcomes(expectation: Expectation, plan: Plan) -> frozenset[object] | None:
    """What may become of a job under this expectation: servers by zone and kind, or a denial."""
    claim, regions = expectation.claim, plan.routes.regions
    everywhere: frozenset[object] = frozenset(plan.fleet)
    if isinstance(claim, Denied):
        return frozenset({"denied"})
    if isinstance(claim, Answered):
        return everywhere if claim.verdict == "served" else None
    if isinstance(claim, Prefers):
        return frozenset(p for p in plan.fleet if p[0] in regions[claim.order[0]])
    if isinstance(claim, Reaches) and claim.target.state is None:
        return frozenset(p for p in plan.fleet if claim.target.could_hold(regions, *p) is not claim.never)
    return None


# --- parts of a plan -----------------------------------------------------------------------------------


def _subjects_of(match: Match, classes: Sequence[str], number: int) -> Iterator[Subject]:
    """Jobs that a match lets through: of each class that it names, else of one, in turn.

    They have the first of each other thing that it names, and each region.
    """
    key = min(match.keys, default=None) or min(match.key_prefixes, default=None)
    client = None
    if match.networks:
        network = read_network(min(match.networks))
        client = str(network.ip + (1 if network.size > 2 else 0))
    for name in sorted(match.classes & set(classes)) if match.classes else [classes[number % len(classes)]]:
        for region in sorted(match.regions) or NO_REGION:
            yield Subject(name, region, key, min(match.tenants, default=None), client, bool(match.retry))


def _action_name(rule: Rule) -> str:
    action = rule.action
    return "deny" if action.deny else "only" if action.only else "kinds" if action.kinds else "prefer"


def _path_of(rule: Rule) -> str:
    return f'routes > rule "{rule.name}" > {_action_name(rule)}'


def _without_rule(name: str) -> Callable[[Plan], Plan]:
    def without(plan: Plan) -> Plan:
        rules = tuple(rule for rule in plan.routes.rules if rule.name != name)
        return replace(plan, routes=Routes(plan.routes.regions, rules))

    return without


def _without_organisation(name: str) -> Callable[[Plan], Plan]:
    def without(plan: Plan) -> Plan:
        assert plan.quotas is not None
        root = plan.quotas.root
        rest = {other: level for other, level in root.children.items() if other != name}
        return replace(plan, quotas=replace(plan.quotas, root=replace(root, children=rest)))

    return without


def _without_quota_default(plan: Plan) -> Plan:
    assert plan.quotas is not None
    return replace(plan, quotas=replace(plan.quotas, root=replace(plan.quotas.root, default=None)))


def _without_nobody(plan: Plan) -> Plan:
    assert plan.quotas is not None
    return replace(plan, quotas=replace(plan.quotas, nobody=None))


def _with(**changes: Any) -> Callable[[Plan], Plan]:
    return lambda plan: replace(plan, settings=replace(plan.settings, **changes))


def _with_class(name: str, **changes: Any) -> Callable[[Plan], Plan]:
    def changed(plan: Plan) -> Plan:
        classes = tuple(replace(c, **changes) if c.name == name else c for c in plan.settings.classes)
        return replace(plan, settings=replace(plan.settings, classes=classes))

    return changed


def _without_kind(name: str) -> Callable[[Plan], Plan]:
    return _with_class(name, kind=None)


def _as_safe(name: str) -> Callable[[Plan], Plan]:
    return _with_class(name, idempotency=api.Idempotency.SAFE)


def fleet_of(
        settings: api.Settings, routes: Routes, listed: Iterable[tuple[str, str]], named: Mapping[str, None],
) -> tuple[tuple[str, str], ...]:
    """Which zones hold which kinds: as listed, else every kind that is named in every zone that is."""
    pairs = tuple(dict.fromkeys(listed))
    if pairs:
        return pairs
    zones = dict.fromkeys(sorted({settings.zone, *(z for zones in routes.regions.values() for z in zones)}))
    if len(zones) < 2:
        zones["elsewhere"] = None
    kinds = [cls.kind for cls in settings.classes if cls.kind]
    kinds += [kind for rule in routes.rules for kind in sorted(rule.action.kinds)]
    kinds += list(named)
    return tuple(product(zones, dict.fromkeys(kinds) or ["standard"]))
