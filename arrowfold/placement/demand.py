"""Demand for each class (a model, or an adapter of it), estimated from the reports of all edges.

Estimates rise with the first requests and fall slowly: the larger of a fast and a slow average counts.
An estimate also falls with the time since the class was last asked for, so that a model whose demand has
moved on is soon free.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from arrowfold.internal.messages import ClassDemand
from arrowfold.placement.options import DemandOptions

DEFAULT_DURATION_S = 1.0  # of a request, until one was measured
PRIORITY_WEIGHT = 0.2  # of a report in the mean rank of a class's routes
DURATION_WEIGHT = 0.2  # of a new measurement of the mean duration


@dataclass(frozen=True, slots=True, order=True)
class ModelClass:
    """A request class: a model, or an adapter of it (empty for the bare model)."""

    model: str
    adapter: str = ""


class Average:
    """Events a second, averaged with exponential forgetting."""

    __slots__ = ("_constant_s", "_value", "_at_s")

    def __init__(self, constant_s: float) -> None:
        """`constant_s`: the time constant of the forgetting."""
        self._constant_s = constant_s
        self._value = 0.0
        self._at_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """So many events more."""
        self._value = self.value(now_s) + amount / self._constant_s
        self._at_s = max(self._at_s, now_s)

    def value(self, now_s: float) -> float:
        """The rate now."""
        return self._value * math.exp(-max(0.0, now_s - self._at_s) / self._constant_s)


class _Rates(NamedTuple):
    """The averages of one class at a moment, in requests a second."""

    at_s: float
    usual: float
    longest: float  # counting the average that keeps rare models


class ClassEstimate:
    """What is known of the demand for one class."""

    __slots__ = (
        "_options",
        "_fast",
        "_slow",
        "_rare",
        "_rates",
        "duration_s",
        "measured",
        "asked_s",
        "missing_s",
        "missing",
        "missed_since_s",
        "priority",
    )

    def __init__(self, options: DemandOptions) -> None:
        self._options = options
        self._fast = Average(options.fast_s)
        self._slow = Average(options.slow_s)
        self._rare = Average(options.rare_s)
        self._rates = _Rates(math.nan, 0.0, 0.0)  # of the moment that was last asked for
        self.duration_s = DEFAULT_DURATION_S
        self.measured = False
        self.asked_s = -math.inf  # when it was last asked for
        self.missing_s = -math.inf  # when a request last found no holder
        self.missing = 0.0  # requests that found none since a holder last stood ready
        self.missed_since_s = -math.inf  # when the first of these came
        self.priority: float | None = None  # mean rank of the routes that ask for it; None while unknown

    def add(self, requests: float, workload_s: float, missing: float, now_s: float) -> None:
        """Take what one edge saw since its last report."""
        for average in (self._fast, self._slow, self._rare):
            average.add(requests, now_s)
        self._rates = _Rates(math.nan, 0.0, 0.0)
        if requests > 0 or missing > 0:
            self.asked_s = now_s
        if missing > 0:
            self.missing_s = now_s
            if self.missing <= 0:
                self.missed_since_s = now_s
            self.missing += missing
        if requests > 0 and workload_s > 0:
            self._measure(workload_s / requests)

    def note_priority(self, priority: float) -> None:
        """Take the mean rank of the routes that asked for it since an edge's last report."""
        if self.priority is None:
            self.priority = priority
        self.priority += PRIORITY_WEIGHT * (priority - self.priority)

    def rate_s(self, now_s: float) -> float:
        """Requests a second, for the number of copies."""
        return self._at(now_s).usual

    def keep_rate_s(self, now_s: float) -> float:
        """Requests a second, for whether a copy is worth its room at all."""
        idle_s = now_s - self.asked_s
        bound = math.inf if idle_s <= 0 else 1.0 / idle_s
        return min(self._at(now_s).longest, bound)

    def _at(self, now_s: float) -> _Rates:
        """The averages at a moment; all decisions of one moment ask for the same."""
        if self._rates.at_s != now_s:
            usual = max(self._risen(self._fast.value(now_s)), self._slow.value(now_s))
            self._rates = _Rates(now_s, usual, max(usual, self._rare.value(now_s)))
        return self._rates

    def _risen(self, fast: float) -> float:
        """What the fast average surely tells of a rise.

        The average of a Poisson stream of rate r with time constant t deviates by sqrt(r / 2t): the largest
        of two averages would follow each deviation upwards, and load copies for it.
        """
        options = self._options
        return max(0.0, fast - options.noise_deviations * math.sqrt(fast / (2.0 * options.fast_s)))

    def workload(self, now_s: float) -> float:
        """Requests that run at a time: rate x mean duration."""
        return self.rate_s(now_s) * self.duration_s

    def is_missed(self, now_s: float, valid_s: float) -> bool:
        """True while a request that found no holder may still be waiting."""
        return self.missing > 0 and now_s - self.missing_s < valid_s

    def _measure(self, duration_s: float) -> None:
        if not self.measured:
            self.duration_s = duration_s
            self.measured = True
            return
        self.duration_s += DURATION_WEIGHT * (duration_s - self.duration_s)


class DemandEstimator:
    """Demand for all classes of one service."""

    def __init__(self, options: DemandOptions | None = None) -> None:
        self._options = options or DemandOptions()
        self._classes: dict[ModelClass, ClassEstimate] = {}
        self._models: dict[str, ClassEstimate] = {}
        self._least_urgent = 0.0  # the highest mean rank that any class was asked for with

    def add(self, classes: Iterable[ClassDemand], now_s: float) -> None:
        """Take one edge's report; a model's demand is that of itself and of all its adapters."""
        for seen in classes:
            for estimate in (self._class(ModelClass(seen.model, seen.adapter)), self._model(seen.model)):
                estimate.add(seen.requests, seen.workload_s, seen.missing, now_s)
                if seen.priority is not None:
                    estimate.note_priority(seen.priority)
            self._least_urgent = max(self._least_urgent, seen.priority or 0.0)

    def urgency(self, model: str) -> float:
        """How much a missed request for this model weighs: 1 on the least urgent rank that was seen.

        One more for each rank before that. An operator's rank says who goes first, not by how much: each
        rank counts the same.
        """
        priority = self.model(model).priority
        if not self._options.urgency or priority is None:
            return 1.0
        return 1.0 + max(0.0, self._least_urgent - priority)

    def model(self, model: str) -> ClassEstimate:
        """The demand for a model with all its adapters."""
        return self._models.get(model, _NOTHING)

    def of_class(self, key: ModelClass) -> ClassEstimate:
        """The demand for exactly this class."""
        return self._classes.get(key, _NOTHING)

    def missed_classes(self, now_s: float, valid_s: float | None = None) -> list[ModelClass]:
        """Classes that a request did not find in the last `valid_s`, those missed most first.

        Requests that wait are counted again and again, so this is also the order of waiting: of many rare
        classes that are asked for at once none is passed over for good by newer ones. Those of which nothing
        was heard for `heard_again_s` come last: whoever missed them has given up, or will come back.
        """
        valid_s = self._options.missing_valid_s if valid_s is None else valid_s
        missed = [key for key, estimate in self._classes.items() if estimate.is_missed(now_s, valid_s)]

        def order(key: ModelClass) -> tuple[bool, float, float, ModelClass]:
            estimate = self._classes[key]
            return (
                now_s - estimate.missing_s > self._options.heard_again_s,
                -estimate.missing * self.urgency(key.model),
                estimate.missing_s,
                key,
            )

        return sorted(missed, key=order)

    def asked_models(self) -> list[str]:
        """Every model that was ever asked for."""
        return sorted(self._models)

    def asked_adapters(self) -> list[ModelClass]:
        """Every adapter class that was ever asked for."""
        return sorted(key for key in self._classes if key.adapter)

    def served(self, key: ModelClass) -> None:
        """A holder of this class stands ready: nobody misses it any longer."""
        estimate = self._classes.get(key)
        if estimate is not None:
            estimate.missing = 0.0

    def _class(self, key: ModelClass) -> ClassEstimate:
        return self._classes.setdefault(key, ClassEstimate(self._options))

    def _model(self, model: str) -> ClassEstimate:
        return self._models.setdefault(model, ClassEstimate(self._options))


_NOTHING = ClassEstimate(DemandOptions())
