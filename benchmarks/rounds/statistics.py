"""Paired differences with bootstrap confidence intervals, and the verdicts drawn from them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import numpy as np
from scipy import stats

CONFIDENCE = 0.95
RESAMPLES = 4000
MIN_PAIRS = 4  # an interval of fewer pairs is not meaningful
SEED = 20261202  # of the resampling; fixed, so that the same pairs give the same interval


class Verdict(Enum):
    """The result for the second text relative to the first."""

    BETTER = "better"
    WORSE = "worse"
    NOT_TOLD_APART = "not told apart at this number of pairs"


@dataclass(frozen=True, slots=True)
class PairedDifference:
    """The mean difference (second text minus first) with its confidence interval."""

    pairs: int
    mean: float
    low: float
    high: float

    def verdict(self, larger_is_better: bool) -> Verdict:
        """Returns a verdict other than NOT_TOLD_APART only if the interval excludes 0 and pairs suffice."""
        if self.pairs < MIN_PAIRS or self.low <= 0.0 <= self.high:
            return Verdict.NOT_TOLD_APART
        return Verdict.BETTER if (self.mean > 0) == larger_is_better else Verdict.WORSE


def paired_difference(first: Sequence[float], second: Sequence[float]) -> PairedDifference:
    """Returns the mean difference of paired values with its percentile bootstrap interval.

    Raises ValueError if the sequences differ in length or are empty.
    """
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
