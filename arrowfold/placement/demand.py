"""Demand for each class (a model, or an adapter of it), estimated from the reports of all edge nodes.

Estimates rise with the first requests and fall slowly: the larger of a fast and a slow average counts. The
rate for retention also falls with the time since the last request, so that a model whose demand has ended can
soon be evicted.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from arrowfold.internal.messages import ClassDemand
from arrowfold.placement.options import DemandOptions

DEFAULT_DURATION_S = 1.0  # of a request, until one has been reported
PRIORITY_WEIGHT = 0.2  # weight of a report in the mean priority rank of a class
DURATION_WEIGHT = 0.2  # weight of a new value in the mean duration


@dataclass(frozen=True, slots=True, order=True)
class ModelClass:
    """A request class: a model, or an adapter of it. `adapter` is empty for the base model."""

    model: str
    adapter: str = ""


class DecayingRate:
    """Rate of events per second, averaged with exponential decay."""

    __slots__ = ("_time_constant_s", "_value", "_at_s")

    def __init__(self, constant_s: float) -> None:
        """`constant_s`: time constant of the decay."""
        self._time_constant_s = constant_s
        self._value = 0.0
        self._at_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Adds `amount` events."""
        self._value = self.value(now_s) + amount / self._time_constant_s
        self._at_s = max(self._at_s, now_s)

    def value(self, now_s: float) -> float:
        """Returns the rate per second."""
        return self._value * math.exp(-max(0.0, now_s - self._at_s) / self._time_constant_s)


class _Rates(NamedTuple):
    """Averages of one class at one point in time, in requests per second."""

    at_s: float
    current: float
    retained: float  # including the average that retains rarely requested models


class ClassEstimate:
    """Estimated demand for one class."""

    __slots__ = (
        "_options",
        "_fast",
        "_slow",
        "_retention",
        "_cached_rates",
        "duration_s",
        "has_duration",
        "last_request_s",
        "last_miss_s",
        "missed_requests",
        "first_miss_s",
        "priority",
    )

    def __init__(self, options: DemandOptions) -> None:
        self._options = options
        self._fast = DecayingRate(options.fast_s)
        self._slow = DecayingRate(options.slow_s)
        self._retention = DecayingRate(options.rare_s)
        self._cached_rates = _Rates(math.nan, 0.0, 0.0)  # valid for their `at_s` only
        self.duration_s = DEFAULT_DURATION_S
        self.has_duration = False
        self.last_request_s = -math.inf  # when it was last requested
        self.last_miss_s = -math.inf  # when a request last found no holder of it
        self.missed_requests = 0.0  # found no holder; counted since the class last had a ready one
        self.first_miss_s = -math.inf  # when the first of these was reported
        self.priority: float | None = None  # mean rank of the routes that request it; None while unknown

    def add(self, requests: float, workload_s: float, missed: float, now_s: float) -> None:
        """Adds what one edge node counted since its last report."""
        for average in (self._fast, self._slow, self._retention):
            average.add(requests, now_s)
        self._cached_rates = _Rates(math.nan, 0.0, 0.0)
        if requests > 0 or missed > 0:
            self.last_request_s = now_s
        if missed > 0:
            self.last_miss_s = now_s
            if self.missed_requests <= 0:
                self.first_miss_s = now_s
            self.missed_requests += missed
        if requests > 0 and workload_s > 0:
            self._update_duration(workload_s / requests)

    def note_priority(self, priority: float) -> None:
        """Adds the mean rank of the routes that requested the class since an edge node's last report."""
        if self.priority is None:
            self.priority = priority
        self.priority += PRIORITY_WEIGHT * (priority - self.priority)

    def rate_per_s(self, now_s: float) -> float:
        """Returns requests per second, for decisions on the number of copies."""
        return self._rates_at(now_s).current

    def retention_rate_per_s(self, now_s: float) -> float:
        """Returns requests per second, for decisions on keeping a copy at all."""
        idle_s = now_s - self.last_request_s
        bound = math.inf if idle_s <= 0 else 1.0 / idle_s
        return min(self._rates_at(now_s).retained, bound)

    def _rates_at(self, now_s: float) -> _Rates:
        """Returns the averages at a time; cached, since all decisions of one pass use the same time."""
        if self._cached_rates.at_s != now_s:
            current = max(self._above_noise(self._fast.value(now_s)), self._slow.value(now_s))
            self._cached_rates = _Rates(now_s, current, max(current, self._retention.value(now_s)))
        return self._cached_rates

    def _above_noise(self, fast: float) -> float:
        """Returns the part of the fast average that exceeds random deviations.

        The average of a Poisson process of rate r with time constant t has the standard deviation
        sqrt(r / 2t). The larger of two averages would follow each upward deviation and cause loads of copies.
        """
        options = self._options
        return max(0.0, fast - options.noise_deviations * math.sqrt(fast / (2.0 * options.fast_s)))

    def workload(self, now_s: float) -> float:
        """Returns the mean number of running requests: rate x mean duration."""
        return self.rate_per_s(now_s) * self.duration_s

    def is_missed(self, now_s: float, valid_s: float) -> bool:
        """Returns True while a request that found no holder may still be waiting."""
        return self.missed_requests > 0 and now_s - self.last_miss_s < valid_s

    def _update_duration(self, duration_s: float) -> None:
        if not self.has_duration:
            self.duration_s = duration_s
            self.has_duration = True
            return
        self.duration_s += DURATION_WEIGHT * (duration_s - self.duration_s)


class DemandEstimator:
    """Estimated demand for all classes of one service."""

    def __init__(self, options: DemandOptions | None = None) -> None:
        self._options = options or DemandOptions()
        self._classes: dict[ModelClass, ClassEstimate] = {}
        self._models: dict[str, ClassEstimate] = {}
        self._least_urgent_rank = 0.0  # the highest mean rank reported for any class

    def add(self, classes: Iterable[ClassDemand], now_s: float) -> None:
        """Adds one edge node's report; the demand for a model includes that for all its adapters."""
        for report in classes:
            for estimate in (
                self._class_estimate(ModelClass(report.model, report.adapter)),
                self._model_estimate(report.model),
            ):
                estimate.add(report.requests, report.workload_s, report.missing, now_s)
                if report.priority is not None:
                    estimate.note_priority(report.priority)
            self._least_urgent_rank = max(self._least_urgent_rank, report.priority or 0.0)

    def urgency(self, model: str) -> float:
        """Returns the weight of a missed request for this model: 1 for the least urgent rank seen so far.

        Each more urgent rank adds 1, because ranks are ordinal: they define an order but no distances.
        """
        priority = self.model(model).priority
        if not self._options.urgency or priority is None:
            return 1.0
        return 1.0 + max(0.0, self._least_urgent_rank - priority)

    def model(self, model: str) -> ClassEstimate:
        """Returns the demand for a model including all its adapters."""
        return self._models.get(model, _NO_DEMAND)

    def of_class(self, key: ModelClass) -> ClassEstimate:
        """Returns the demand for exactly this class."""
        return self._classes.get(key, _NO_DEMAND)

    def missed_classes(self, now_s: float, valid_s: float | None = None) -> list[ModelClass]:
        """Returns classes without a holder that were requested within `valid_s`.

        They are sorted by the number of missed requests weighted by urgency, descending.

        Waiting requests are reported repeatedly, so classes that wait longer rise in this order and newer
        ones cannot starve them. Classes not reported for `heard_again_s` come last: their clients have given
        up, or will retry.
        """
        valid_s = self._options.missing_valid_s if valid_s is None else valid_s
        missed = [key for key, estimate in self._classes.items() if estimate.is_missed(now_s, valid_s)]

        def order(key: ModelClass) -> tuple[bool, float, float, ModelClass]:
            estimate = self._classes[key]
            return (
                now_s - estimate.last_miss_s > self._options.heard_again_s,
                -estimate.missed_requests * self.urgency(key.model),
                estimate.last_miss_s,
                key,
            )

        return sorted(missed, key=order)

    def requested_models(self) -> list[str]:
        """Returns every model that was ever requested."""
        return sorted(self._models)

    def requested_adapters(self) -> list[ModelClass]:
        """Returns every adapter class that was ever requested."""
        return sorted(key for key in self._classes if key.adapter)

    def clear_misses(self, key: ModelClass) -> None:
        """Resets the missed requests of a class that has a ready holder."""
        estimate = self._classes.get(key)
        if estimate is not None:
            estimate.missed_requests = 0.0

    def _class_estimate(self, key: ModelClass) -> ClassEstimate:
        return self._classes.setdefault(key, ClassEstimate(self._options))

    def _model_estimate(self, model: str) -> ClassEstimate:
        return self._models.setdefault(model, ClassEstimate(self._options))


_NO_DEMAND = ClassEstimate(DemandOptions())
