"""A node's part of a large list: deterministic subsetting by zone and name, even over the nodes.

It holds all servers of the node's own zone and a slice of the others, as long as there are not too many; a
list that is short enough is its own part. A slice is a power of two's share of the list by a hash of the
names, and the node's number says which: nodes whose numbers agree in the low bits share one. So they still
name the same homes for a key, and each server has about as many nodes as any other. When the list grows,
slices split in two; nobody moves to another half.

A server that is in no part stays in the server table: a drain, a call out, the end of what runs there are
as before.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from zlib import crc32

from arrowfold import interface as api

MOST = 512  # servers in a part, about; a list no longer than this is its own part
LEAST_SIDE = 256  # of these, the own zone and all others may have so many, whatever the other side has
LEAST = 4  # servers of each zone and kind that are kept: a class or a route may be bound to them
SLACK = 0.8  # slices are joined again once the joined ones hold no more than this part of the most
HASH_BITS = 16  # slices are at most this fine

Group = tuple[str, str]


def mark(name: str) -> int:
    """Where a name falls; slices take its low bits, in which the high ones are mixed."""
    value = crc32(name.encode())
    return (value ^ value >> 16) & ((1 << HASH_BITS) - 1)


def splits(count: int, most: int, now: int) -> int:
    """How often a list is split: as before, unless slices are over the most, or joined ones well under."""
    while count >> now > most and now < HASH_BITS:
        now += 1
    while now and count >> now - 1 <= most * SLACK:
        now -= 1
    return now


class Part:
    """The part of one node.

    A change costs what it is large, and a look at each zone and kind; one that splits or joins slices also
    looks at all servers of those concerned. Memory: about 200 bytes, and its entry, for each server listed.
    """

    def __init__(self, zone: str, number: int, kept: Callable[[str], bool] = lambda name: False) -> None:
        self.zone, self.number = zone, number
        self.kept = kept  # servers that are always within: nobody else may know of them
        self.entries: dict[str, api.RosterEntry] = {}  # the whole list but for those that are gone
        self.groups: dict[Group, dict[str, None]] = {}  # their names by zone and kind
        self.within: set[str] = set()  # those that the module knows of
        self.near = self.far = 0  # how often the own zone and the others are split
        self.fine: dict[Group, int] = {}  # and each zone and kind, where that leaves few

    def take(self, update: api.RosterUpdate) -> api.RosterUpdate:
        """What the module is to be told of a list, or of a change of one."""
        if update.mode is api.RosterMode.ERROR:
            return update
        told = {entry.worker: entry for entry in update.entries}
        if update.mode is not api.RosterMode.PARTIAL:
            for name in self.entries.keys() - told.keys():
                self._drop(name)
            self.within &= told.keys()
        for entry in update.entries:
            self._enter(entry)
        for group in self._split():
            told |= {name: self.entries[name] for name in self.groups[group]}
        rows = [row for entry in told.values() for row in self._seen(entry)]
        if update.mode is not api.RosterMode.PARTIAL:
            rows = [row for row in rows if row.worker in self.within]
        return replace(update, entries=tuple(rows))

    def move(self, zone: str, number: int) -> api.RosterUpdate:
        """The node has another place: what the module is to be told."""
        self.zone, self.number = zone, number
        return self.take(api.RosterUpdate(api.RosterMode.PERSISTED, tuple(self.entries.values())))

    def _enter(self, entry: api.RosterEntry) -> None:
        known = self.entries.get(entry.worker)
        if known is not None and (known.zone, known.kind) != (entry.zone, entry.kind):
            self._drop(entry.worker)
        if entry.lifecycle is api.Lifecycle.TERMINATED:
            self._drop(entry.worker)
        else:
            self.entries[entry.worker] = entry
            self.groups.setdefault((entry.zone, entry.kind), {})[entry.worker] = None

    def _drop(self, name: str) -> None:
        entry = self.entries.pop(name, None)
        if entry is not None:
            group = entry.zone, entry.kind
            del self.groups[group][name]
            if not self.groups[group]:
                del self.groups[group]
                self.fine.pop(group, None)

    def _seen(self, entry: api.RosterEntry) -> Iterator[api.RosterEntry]:
        """An entry as the module is to hear of it: as it is, gone once it left the part, or not at all."""
        if entry.worker in self.entries and self._holds(entry):
            self.within.add(entry.worker)
            yield entry
        elif entry.worker in self.within:
            self.within.discard(entry.worker)
            yield replace(entry, lifecycle=api.Lifecycle.TERMINATED)

    def _holds(self, entry: api.RosterEntry) -> bool:
        low = (1 << self.fine.get((entry.zone, entry.kind), 0)) - 1
        return (mark(entry.worker) ^ self.number) & low == 0 or self.kept(entry.worker)

    def _split(self) -> Iterable[Group]:
        """Split or join slices as the list has grown or shrunk; the groups whose servers change sides."""
        near = sum(len(names) for (zone, _), names in self.groups.items() if zone == self.zone)
        far = len(self.entries) - near
        self.near = splits(near, max(LEAST_SIDE, MOST - far), self.near)
        self.far = splits(far, max(LEAST_SIDE, MOST - near), self.far)
        changed = []
        for group, names in self.groups.items():
            most, now = (self.near if group[0] == self.zone else self.far), self.fine.get(group, 0)
            often = min(most, now)
            while often < most and len(names) >> often + 1 >= LEAST * 2:
                often += 1
            while often and len(names) >> often < LEAST:
                often -= 1
            if often != now:
                changed.append(group)
                self.fine[group] = often
        return changed
