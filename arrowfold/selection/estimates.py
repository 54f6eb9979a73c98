"""Small estimators that learn from what is measured; nothing of a deployment is known beforehand."""

from __future__ import annotations

KEEP = 0.98  # weight of the past at each sample of a trend
STEP = 0.1  # weight of a sample in a moving mean
PRIOR_SAMPLES = 2  # that what is usual elsewhere counts for


class MovingMean:
    """A mean in which the newest samples weigh most; None until there is one."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value: float | None = None

    def add(self, sample: float) -> None:
        """One sample more."""
        self.value = sample if self.value is None else self.value + STEP * (sample - self.value)

    def get(self, default: float) -> float:
        """The mean, or `default` while nothing has been measured."""
        return default if self.value is None else self.value


class PriorMean:
    """A mean that begins at what is usual elsewhere, counted as a few samples, and then forgets slowly."""

    __slots__ = ("_samples", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._samples = 0

    def add(self, sample: float, usual: float) -> None:
        """One sample more; `usual` is the mean elsewhere."""
        if self._samples == 0:
            self._value = usual
        self._samples += 1
        self._value += max(STEP, 1 / (self._samples + PRIOR_SAMPLES)) * (sample - self._value)

    def get(self, usual: float) -> float:
        """The mean, or what is usual elsewhere while nothing has been measured."""
        return self._value if self._samples else usual


class Trend:
    """A line y = base + slope * x by least squares with fading weights; neither part is ever negative."""

    __slots__ = ("_weight", "_x", "_xx", "_xy", "_y", "base", "slope")

    def __init__(self) -> None:
        self._weight = self._x = self._y = self._xx = self._xy = 0.0
        self.base = self.slope = 0.0

    @property
    def samples(self) -> float:
        """How many samples count, the older ones in part."""
        return self._weight

    def add(self, x: float, y: float) -> None:
        """One sample more."""
        self._weight = self._weight * KEEP + 1
        self._x = self._x * KEEP + x
        self._y = self._y * KEEP + y
        self._xx = self._xx * KEEP + x * x
        self._xy = self._xy * KEEP + x * y
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

    def at(self, x: float) -> float:
        """The expected y; 0 while nothing has been measured."""
        return self.base + self.slope * x
