"""Differences of pairs with bootstrap intervals, and what can be said of them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import numpy as np
from scipy import stats

CONFIDENCE = 0.95
RESAMPLES = 4000
FEWEST_PAIRS = 4  # of fewer, an interval says nothing
SEED = 20261202  # of the resampling, so that the same pairs give the same interval


class Verdict(Enum):
    """What the pairs tell of the second text."""

    BETTER = "better"
    WORSE = "worse"
    NOT_TOLD_APART = "not told apart at this number of pairs"


@dataclass(frozen=True, slots=True)
class PairedDifference:
    """The mean difference, second text less first, with its interval."""

    pairs: int
    mean: float
    low: float
    high: float

    def verdict(self, larger_is_better: bool) -> Verdict:
        """Whether the interval lies on one side of 0."""
        if self.pairs < FEWEST_PAIRS or self.low <= 0.0 <= self.high:
            return Verdict.NOT_TOLD_APART
        return Verdict.BETTER if (self.mean > 0) == larger_is_better else Verdict.WORSE


def paired_difference(first: Sequence[float], second: Sequence[float]) -> PairedDifference:
    """The difference of pairs in the same order; the interval is the percentile bootstrap of the mean."""
    if len(first) != len(second) or not first:
        raise ValueError(f"{len(first)} and {len(second)} values are no pairs")
    differences = np.asarray(second, dtype=float) - np.asarray(first, dtype=float)
    mean = float(differences.mean())
    if len(differences) < 2 or np.ptp(differences) == 0.0:
        return PairedDifference(len(differences), mean, mean, mean)
    found = stats.bootstrap(
        (differences,),
        np.mean,
        confidence_level=CONFIDENCE,
        n_resamples=RESAMPLES,
        method="percentile",
        rng=np.random.default_rng(SEED),
    )
    interval = found.confidence_interval
    return PairedDifference(len(differences), mean, float(interval.low), float(interval.high))
