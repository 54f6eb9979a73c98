"""This edge's share of the fleet's retry budget, for each service over a sliding window.

In any window W the fleet may send `ratio` x requests + `extra` deliveries beyond the first of each request.
The requests are counted over W, over the window before it, or over the window that starts half a window
before W, whichever contains the most.

Each edge limits its repeats in any window to LOCAL_RATIO_FACTOR x `ratio` x its own requests of that window,
plus LOCAL_EXTRA_FACTOR x `extra` / edges. The windows of different edges that end within W begin at most one
window before W. So the requests counted in them are at most those of W and of the window before it, which is
at most twice the larger of the two. With LOCAL_RATIO_FACTOR = 1/2 the sum over all edges therefore stays
within the fleet's budget for W. A process spends nothing of `extra` in its first window, so that a restart
does not spend the share of the same machine twice.
The number of edges is the largest that was reported in the last window.
"""

from __future__ import annotations

from collections import deque

LOCAL_RATIO_FACTOR = 0.5
LOCAL_EXTRA_FACTOR = 0.9  # margin for an edge that is not counted yet


class _SlidingWindow:
    """Counts the events of the last `length_s` seconds."""

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s
        self._times: deque[float] = deque()

    def add(self, now_s: float) -> None:
        self._times.append(now_s)

    def remove_last(self) -> None:
        if self._times:
            self._times.pop()

    def count(self, now_s: float) -> int:
        expired_until_s = now_s - self._length_s
        while self._times and self._times[0] <= expired_until_s:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Limits repeated deliveries, those after the first of each request, to this edge's share."""

    def __init__(self, ratio: float, extra: float, window_s: float, started_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._started_s = started_s
        self._requests: dict[str, _SlidingWindow] = {}
        self._repeats: dict[str, _SlidingWindow] = {}
        self._edge_counts: deque[tuple[float, int]] = deque()

    def apply_edges(self, edges: int, now_s: float) -> None:
        """Set the number of edges that share the budget; the maximum of the last window applies."""
        self._edge_counts.append((now_s, max(1, edges)))
        while len(self._edge_counts) > 1 and self._edge_counts[1][0] <= now_s - self._window_s:
            self._edge_counts.popleft()

    def count_request(self, service: str, now_s: float) -> None:
        """Count a request on a route to this service."""
        window = self._requests.get(service)
        if window is None:
            window = self._requests[service] = _SlidingWindow(self._window_s)
        window.count(now_s)
        window.add(now_s)

    def try_consume(self, service: str, now_s: float) -> bool:
        """Consume one repeated delivery. Returns False if none is left."""
        repeats = self._repeats.get(service)
        if repeats is None:
            repeats = self._repeats[service] = _SlidingWindow(self._window_s)
        if repeats.count(now_s) + 1 > self._allowance(service, now_s):
            return False
        repeats.add(now_s)
        return True

    def refund(self, service: str) -> None:
        """Return the last repeat that was consumed, after nothing was sent."""
        self._repeats[service].remove_last()

    def _allowance(self, service: str, now_s: float) -> float:
        requests = self._requests.get(service)
        request_count = requests.count(now_s) if requests is not None else 0
        return LOCAL_RATIO_FACTOR * self._ratio * request_count + LOCAL_EXTRA_FACTOR * self._extra_share(
            now_s
        )

    def _extra_share(self, now_s: float) -> float:
        if not self._edge_counts or now_s - self._started_s < self._window_s:
            return 0.0
        return self._extra / max(edges for _, edges in self._edge_counts)
