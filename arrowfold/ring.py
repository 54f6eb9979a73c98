"""The consistent-hashing ring from which all dispatchers derive the same affinity workers of a key.

With n workers and M points each, a change of c workers costs c x M x log(n x M) comparisons and as many
memory moves, which take under a millisecond for hundreds of workers; a change of many workers rebuilds all
points in one pass. A lookup costs log(n x M). Memory: about 100 bytes per point.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from zlib import crc32

POINTS_PER_WORKER = 64  # with fewer, the workers' shares of the keys are uneven
REBUILD_DIVISOR = 8  # the ring is rebuilt when more than 1/REBUILD_DIVISOR of the workers change
Point = tuple[int, str]


def points_of(name: str) -> list[Point]:
    """Returns a worker's points on the ring."""
    return [(crc32(f"{i} {name}".encode()), name) for i in range(POINTS_PER_WORKER)]


class Ring:
    """The points of all workers in the order of their hashes; `version` increases with each change."""

    def __init__(self) -> None:
        self.points: list[Point] = []
        self.names: set[str] = set()
        self.version = 0

    def set_workers(self, names: set[str]) -> None:
        """Sets the workers on the ring. Hashes only added and removed ones if few change."""
        added, removed = names - self.names, self.names - names
        if not added and not removed:
            return
        self.version += 1
        self.names = names
        if (len(added) + len(removed)) * REBUILD_DIVISOR > len(names):
            kept = [point for point in self.points if point[1] not in removed]
            self.points = sorted(kept + [point for name in added for point in points_of(name)])
            return
        for name in removed:
            for point in points_of(name):
                del self.points[bisect_left(self.points, point)]
        for name in added:
            for point in points_of(name):
                insort(self.points, point)

    def successors(self, key: str, count: int) -> list[str]:
        """Returns the distinct workers of the `count` points that follow a key's hash, in order."""
        start, points = bisect_left(self.points, (crc32(key.encode()), "")), self.points
        return list(dict.fromkeys(points[(start + i) % len(points)][1] for i in range(count)))
