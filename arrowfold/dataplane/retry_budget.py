"""This edge's share of the fleet's retry budget, for each service over a sliding window.

The fleet may send, in any window W, `ratio` x requests + `extra` arrivals beyond the first of each request,
where the requests are those of W, of the window before it, or of the one half a window before it, whichever
has most.

Each edge keeps its repeats of any window within RATIO_PART x `ratio` x its own requests of that window, plus
EXTRA_PART x `extra` / edges. Windows of different edges that end within W begin at most a window before it,
so their requests are at most those of W and of the window before it: twice the most of the two. With
RATIO_PART = 1/2 the edges' sum stays within the fleet's budget. A life of a process spends nothing of `extra`
in its first window, so that the shares of one machine's lives don't add up, and the number of edges is the
most that was told in the last window.
"""

from __future__ import annotations

from collections import deque

RATIO_PART = 0.5
EXTRA_PART = 0.9  # room for an edge that is not counted yet


class _Window:
    """Counts events of the last `length_s` seconds."""

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s
        self._times: deque[float] = deque()

    def add(self, now_s: float) -> None:
        self._times.append(now_s)

    def drop_last(self) -> None:
        if self._times:
            self._times.pop()

    def count(self, now_s: float) -> int:
        oldest = now_s - self._length_s
        while self._times and self._times[0] <= oldest:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Decides whether one more arrival after the first of a request is within this edge's share."""

    def __init__(self, ratio: float, extra: float, window_s: float, started_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._started_s = started_s
        self._requests: dict[str, _Window] = {}
        self._repeats: dict[str, _Window] = {}
        self._edge_counts: deque[tuple[float, int]] = deque()

    def apply_edges(self, edges: int, now_s: float) -> None:
        """Take how many edges share the budget; the most of the last window counts."""
        self._edge_counts.append((now_s, max(1, edges)))
        while len(self._edge_counts) > 1 and self._edge_counts[1][0] <= now_s - self._window_s:
            self._edge_counts.popleft()

    def count_request(self, service: str, now_s: float) -> None:
        """A request on a route to this service came."""
        window = self._requests.get(service)
        if window is None:
            window = self._requests[service] = _Window(self._window_s)
        window.count(now_s)
        window.add(now_s)

    def take(self, service: str, now_s: float) -> bool:
        """Spend one repeated arrival, or say that none is left."""
        repeats = self._repeats.get(service)
        if repeats is None:
            repeats = self._repeats[service] = _Window(self._window_s)
        if repeats.count(now_s) + 1 > self._allowance(service, now_s):
            return False
        repeats.add(now_s)
        return True

    def give_back(self, service: str) -> None:
        """Return what was taken last, since nothing was sent."""
        self._repeats[service].drop_last()

    def _allowance(self, service: str, now_s: float) -> float:
        requests = self._requests.get(service)
        own = requests.count(now_s) if requests is not None else 0
        return RATIO_PART * self._ratio * own + EXTRA_PART * self._extra_share(now_s)

    def _extra_share(self, now_s: float) -> float:
        if not self._edge_counts or now_s - self._started_s < self._window_s:
            return 0.0
        return self._extra / max(edges for _, edges in self._edge_counts)
