"""Online estimators: moving means, a linear trend and the expected end of a wait.

They start without values for any deployment.
"""

from __future__ import annotations

TREND_DECAY = 0.98  # weight of the earlier samples at each new sample of a trend
SAMPLE_WEIGHT = 0.1  # weight of a new sample in a moving mean
PRIOR_SAMPLES = 2  # number of samples that the prior counts as


class MovingMean:
    """An exponentially weighted moving mean; `value` is None until the first sample."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value: float | None = None

    def add(self, sample: float) -> None:
        """Adds a sample."""
        self.value = sample if self.value is None else self.value + SAMPLE_WEIGHT * (sample - self.value)

    def get(self, default: float) -> float:
        """Returns the mean, or `default` without samples."""
        return default if self.value is None else self.value


class PriorMean:
    """A moving mean that starts at a prior, which counts as PRIOR_SAMPLES samples."""

    __slots__ = ("_samples", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._samples = 0

    def add(self, sample: float, prior: float) -> None:
        """Adds a sample; `prior`, the mean over all sources, is used only with the first one."""
        if self._samples == 0:
            self._value = prior
        self._samples += 1
        self._value += max(SAMPLE_WEIGHT, 1 / (self._samples + PRIOR_SAMPLES)) * (sample - self._value)

    def get(self, prior: float) -> float:
        """Returns the mean, or `prior` without samples."""
        return self._value if self._samples else prior


class Trend:
    """A line y = base + slope * x, fitted by least squares with exponentially decaying weights.

    Neither `base` nor `slope` is ever negative.
    """

    __slots__ = ("_weight", "_x", "_xx", "_xy", "_y", "base", "slope")

    def __init__(self) -> None:
        self._weight = self._x = self._y = self._xx = self._xy = 0.0
        self.base = self.slope = 0.0

    @property
    def samples(self) -> float:
        """The effective number of samples: the sum of their decayed weights."""
        return self._weight

    def add(self, x: float, y: float) -> None:
        """Adds a sample and fits the line again."""
        self._weight = self._weight * TREND_DECAY + 1
        self._x = self._x * TREND_DECAY + x
        self._y = self._y * TREND_DECAY + y
        self._xx = self._xx * TREND_DECAY + x * x
        self._xy = self._xy * TREND_DECAY + x * y
        mean_x, mean_y = self._x / self._weight, self._y / self._weight
        variance = self._xx / self._weight - mean_x * mean_x
        covariance = self._xy / self._weight - mean_x * mean_y
        if variance <= 1e-9 * max(1.0, mean_x * mean_x) or covariance <= 0:
            self.base, self.slope = mean_y, 0.0
            return
        self.slope = covariance / variance
        self.base = mean_y - self.slope * mean_x
        if self.base < 0:
            self.base, self.slope = 0.0, mean_y / mean_x

    def predict(self, x: float) -> float:
        """Returns the expected y; 0 without samples."""
        return self.base + self.slope * x


def expected_end_s(since_s: float, expected_s: float, now_s: float) -> float:
    """Returns when a state that began at `since_s` is expected to end.

    It is expected to last `expected_s`, but at least as long again as it has lasted: the longer it lasts
    without news, the less is known about its end.
    """
    return max(since_s + expected_s, now_s + (now_s - since_s))
