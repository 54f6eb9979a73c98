"""Samples the worlds to simulate, by pairwise coverage of all factors, and derives their fleet."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import product
from typing import Any

from allpairspy import AllPairs  # type: ignore[import-untyped]

from arrowfold import interface as api
from arrowfold.expectations.judgement import Expectation
from arrowfold.expectations.worlds import ENDINGS, EVENTS, LOADS, TARGETS, SystemUnderTest, World
from arrowfold.networks import read_network
from arrowfold.routes.rules import Match, Routes, Subject

LAGS_MS = (0, 400, 1200, 3000)
LISTED_EVENTS = ("drain", "gone", "vanish", "restart")  # events that the worker list reports with a lag
GAPS_MS = (150, 30)  # between arrivals: low rate and burst
EVENT_TIMES_MS = (0, 60, 330)  # before the first arrival, during its attempt, between two arrivals
ARRIVALS = {150: 12, 30: 20}  # number of arrivals by gap
COLD_ARRIVALS = {150: 12, 30: 48}  # the budget of a cold server takes about 1.5 s to show
MAX_EXHAUSTIVE = 1500  # up to this number of combinations, all are simulated
NO_REGION: list[str | None] = [None]


def sample_worlds(plan: SystemUnderTest, expectations: Sequence[Expectation], seed: int) -> list[World]:
    """Returns worlds that cover every pair of factor values, and selected triples.

    All combinations are returned if there are no more than MAX_EXHAUSTIVE. Equal seeds give equal worlds.
    """
    subjects = sample_subjects(plan, expectations)
    factors: list[Sequence[Any]] = [
        subjects, LOADS, ENDINGS, EVENTS, TARGETS, LAGS_MS, EVENT_TIMES_MS, (1, 2), GAPS_MS]
    if math.prod(map(len, factors)) <= MAX_EXHAUSTIVE:
        rows: Iterable[Any] = product(*factors)
    else:
        rows = [*AllPairs(factors), *_triples(subjects)]
    rng = random.Random(seed)
    worlds = []
    for subject, load, ending, event, target, lag, at, servers, gap in rows:
        is_listed = event in LISTED_EVENTS
        arrivals = COLD_ARRIVALS if event in ("restart", "back") else ARRIVALS
        worlds.append(World(
            subject.request_class, subject.region, subject.key, subject.tenant, subject.client,
            subject.resent, servers=servers, load=load, ending=ending, event=event,
            target=target if event != "none" else "one", at=at if event != "none" else 300,
            lag=lag if is_listed else 0, arrivals=arrivals[gap], gap=gap, seed=rng.randrange(1, 10_000)))
    return list(dict.fromkeys(worlds))


def _triples(subjects: Sequence[Subject]) -> Iterator[tuple[Any, ...]]:
    """Yields triples of subject, event and time, with every lag, and of class, ending and load.

    The remaining factors cycle through their values.
    """
    index = 0
    for subject, event in product(subjects, EVENTS[1:]):
        for at, lag in (product(EVENT_TIMES_MS, LAGS_MS) if event in LISTED_EVENTS
                        else product(EVENT_TIMES_MS, (0,))):
            index += 1
            # Skips half of these; all pairs of lag and time remain.
            if event in LISTED_EVENTS and (index + at) % 2:
                continue
            yield (subject, LOADS[index % 2], "served", event, TARGETS[index // 2 % 3], lag, at,
                   1 + index // 3 % 2, GAPS_MS[index // 5 % 2])
    by_class = {subject.request_class: subject for subject in reversed(subjects)}.values()
    for subject, ending, load in product(by_class, ENDINGS, LOADS):
        yield subject, load, ending, "none", "one", 0, 0, 1, GAPS_MS[0]


def sample_subjects(plan: SystemUnderTest, expectations: Sequence[Expectation]) -> list[Subject]:
    """Returns subjects that the rules and expectations match, and for each class one without attributes."""
    classes = [cls.name for cls in plan.settings.classes]
    found = {Subject(name): None for name in classes}
    matches = [rule.match for rule in plan.routes.rules]
    matches += [expectation.when.match for expectation in expectations]
    for number, match in enumerate(matches):
        found.update(dict.fromkeys(_subjects_of(match, classes, number)))
    return list(found)


def _subjects_of(match: Match, classes: Sequence[str], number: int) -> Iterator[Subject]:
    """Yields subjects that a match accepts: one per named class and region.

    A match without classes gets one class, chosen by `number`. Other attributes take the first value named.
    """
    key = min(match.keys, default=None) or min(match.key_prefixes, default=None)
    client = None
    if match.networks:
        network = read_network(min(match.networks))
        client = str(network.ip + (1 if network.size > 2 else 0))
    for name in sorted(match.classes & set(classes)) if match.classes else [classes[number % len(classes)]]:
        for region in sorted(match.regions) or NO_REGION:
            yield Subject(name, region, key, min(match.tenants, default=None), client, bool(match.retry))


def derive_fleet(
        settings: api.Settings, routes: Routes, listed: Iterable[tuple[str, str]], named: Mapping[str, None],
) -> tuple[tuple[str, str], ...]:
    """Returns the pairs of zone and kind in the fleet.

    Without `listed` pairs, every kind that is named anywhere runs in every named zone.
    """
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
