"""Numbers of requests begun by workers, by tenant and window of wall-clock time, since this edge's start."""

from __future__ import annotations

from collections.abc import Callable

from arrowfold.internal.messages import WindowCounts

MAX_UNDECIDED_WINDOWS = 64  # beyond this number, the oldest window is dropped


class UsageCounts:
    """Counts of the windows that are not known to be decided.

    Window k begins k window lengths after the Unix epoch.
    """

    def __init__(self, window_s: float, wall_clock: Callable[[], float]) -> None:
        """`window_s` is the length of a window; `wall_clock` returns seconds since the Unix epoch."""
        self._window_s = window_s
        self._wall_clock = wall_clock
        self._counts: dict[int, dict[str, int]] = {}
        self._decided_through = -1

    def count_request(self, tenant: str) -> None:
        """Counts a request of this tenant that a worker has begun."""
        window = self._window()
        if window <= self._decided_through:
            return
        counts = self._counts.setdefault(window, {})
        counts[tenant] = counts.get(tenant, 0) + 1
        if len(self._counts) > MAX_UNDECIDED_WINDOWS:
            del self._counts[min(self._counts)]

    def ended_through(self) -> int:
        """Returns the number of the last window that has ended."""
        return self._window() - 1

    def since_window_end_s(self) -> float:
        """Returns the time in seconds since the last window ended."""
        return self._wall_clock() % self._window_s

    def undecided(self) -> tuple[WindowCounts, ...]:
        """Returns the counts so far of each window that is not known to be decided, in order of time."""
        return tuple(WindowCounts(window, dict(self._counts[window])) for window in sorted(self._counts))

    def drop_decided(self, through: int) -> None:
        """Drops the windows up to `through`, whose totals are final."""
        self._decided_through = max(self._decided_through, through)
        for window in [window for window in self._counts if window <= through]:
            del self._counts[window]

    def _window(self) -> int:
        return int(self._wall_clock() // self._window_s)
