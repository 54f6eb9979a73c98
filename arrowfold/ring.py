"""The ring of consistent hashing by which all dispatchers name the same homes for a key. Decides nothing.

With n servers and M places each: a change of c servers costs c x M x log(n x M) comparisons and as many
moves of memory, which stay under a millisecond for hundreds of servers; one of many servers, a pass over
all places. A look costs log(n x M). Memory: about 100 bytes a place.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from zlib import crc32

MARKS = 64  # places of a server; with few, shares are left to chance
PART = 8  # a change of more than one server in so many is made in one pass
Mark = tuple[int, str]


def marks(name: str) -> list[Mark]:
    """A server's places."""
    return [(crc32(f"{i} {name}".encode()), name) for i in range(MARKS)]


class Ring:
    """The places of all servers in the order of their hashes; `version` moves with each change."""

    def __init__(self) -> None:
        self.places: list[Mark] = []
        self.names: set[str] = set()
        self.version = 0

    def hold(self, names: set[str]) -> None:
        """Have just these servers. Only newcomers are hashed anew where few change."""
        new, gone = names - self.names, self.names - names
        if not new and not gone:
            return
        self.version += 1
        self.names = names
        if (len(new) + len(gone)) * PART > len(names):
            kept = [mark for mark in self.places if mark[1] not in gone]
            self.places = sorted(kept + [mark for name in new for mark in marks(name)])
            return
        for name in gone:
            for mark in marks(name):
                del self.places[bisect_left(self.places, mark)]
        for name in new:
            for mark in marks(name):
                insort(self.places, mark)

    def after(self, key: str, count: int) -> list[str]:
        """The servers of the next `count` places from a key's on, each once, in order."""
        at, places = bisect_left(self.places, (crc32(key.encode()), "")), self.places
        return list(dict.fromkeys(places[(at + i) % len(places)][1] for i in range(count)))
