"""A node's subset of a large worker list: deterministic subsetting by zone and name.

A list no longer than TARGET_SIZE is used whole. Of a longer one, the subset holds all workers of the node's
own zone and a slice of the other zones; the own zone is sliced as well if it is too large. A slice is a
fraction (a power of two) of the list, chosen by a hash of the workers' names and the node's number: nodes
whose numbers agree in the low bits share a slice. They therefore compute the same affinity worker for a key,
and each worker is used by about the same number of nodes. When the list grows, slices split in two, and no
worker moves from one half to the other.

A worker outside the subset stays in the worker table, so draining it, taking it out of service and finishing
its running requests work as before.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from zlib import crc32

from arrowfold import interface as api

TARGET_SIZE = 512  # approximate maximum number of workers in a subset
# Always allowed for the own zone, and for all others together, however large the other of the two is.
MIN_LOCAL_OR_REMOTE_SIZE = 256
MIN_GROUP_SIZE = 4  # minimum workers per zone and kind, since a class or a route may be bound to one of these
MERGE_RATIO = 0.8  # slices are merged when the merged slice holds at most this fraction of the limit
HASH_BITS = 16  # maximum number of splits

Group = tuple[str, str]


def name_hash(name: str) -> int:
    """The hash of a worker's name; slices use its low bits, so the high bits are mixed into them."""
    value = crc32(name.encode())
    return (value ^ value >> 16) & ((1 << HASH_BITS) - 1)


def split_count(count: int, limit: int, current: int) -> int:
    """How often a list of `count` workers is split so that a slice holds at most `limit`.

    Returns `current` unless slices exceed `limit` or merged slices are well below it (hysteresis).
    """
    while count >> current > limit and current < HASH_BITS:
        current += 1
    while current and count >> current - 1 <= limit * MERGE_RATIO:
        current -= 1
    return current


class WorkerSubset:
    """The subset of one node.

    The cost of an update is proportional to its size plus the number of zones and kinds; an update that
    splits or merges slices also visits all workers of the affected groups. Memory: about 200 bytes, and its
    entry, for each worker listed.
    """

    def __init__(
        self, zone: str, number: int, is_always_member: Callable[[str], bool] = lambda name: False
    ) -> None:
        """Starts with an empty list.

        `is_always_member` selects workers that are always in the subset, because possibly no other node
        knows them.
        """
        self.zone, self.number = zone, number
        self.is_always_member = is_always_member
        self.entries: dict[str, api.RosterEntry] = {}  # the whole list except terminated workers
        self.groups: dict[Group, dict[str, None]] = {}  # names of the workers by zone and kind
        self.members: set[str] = set()  # workers in the subset, as reported to the module
        self.own_zone_splits = self.other_zone_splits = 0  # how often the own zone and the others are split
        self.group_splits: dict[Group, int] = {}  # splits per zone and kind; fewer where workers are few

    def take(self, update: api.RosterUpdate) -> api.RosterUpdate:
        """Apply a whole or partial list; returns the update of the subset to pass to the module."""
        if update.mode is api.RosterMode.ERROR:
            return update
        updated = {entry.worker: entry for entry in update.entries}
        if update.mode is not api.RosterMode.PARTIAL:
            for name in self.entries.keys() - updated.keys():
                self._remove(name)
            self.members &= updated.keys()
        for entry in update.entries:
            self._add(entry)
        for group in self._update_splits():
            updated |= {name: self.entries[name] for name in self.groups[group]}
        rows = [row for entry in updated.values() for row in self._visible_entry(entry)]
        if update.mode is not api.RosterMode.PARTIAL:
            rows = [row for row in rows if row.worker in self.members]
        return replace(update, entries=tuple(rows))

    def move(self, zone: str, number: int) -> api.RosterUpdate:
        """Change the node's zone and number; returns the update of the subset to pass to the module."""
        self.zone, self.number = zone, number
        return self.take(api.RosterUpdate(api.RosterMode.PERSISTED, tuple(self.entries.values())))

    def _add(self, entry: api.RosterEntry) -> None:
        known = self.entries.get(entry.worker)
        if known is not None and (known.zone, known.kind) != (entry.zone, entry.kind):
            self._remove(entry.worker)
        if entry.lifecycle is api.Lifecycle.TERMINATED:
            self._remove(entry.worker)
        else:
            self.entries[entry.worker] = entry
            self.groups.setdefault((entry.zone, entry.kind), {})[entry.worker] = None

    def _remove(self, name: str) -> None:
        entry = self.entries.pop(name, None)
        if entry is not None:
            group = entry.zone, entry.kind
            del self.groups[group][name]
            if not self.groups[group]:
                del self.groups[group]
                self.group_splits.pop(group, None)

    def _visible_entry(self, entry: api.RosterEntry) -> Iterator[api.RosterEntry]:
        """The entry as the module receives it: unchanged, as terminated once it left the subset, or none."""
        if entry.worker in self.entries and self._contains(entry):
            self.members.add(entry.worker)
            yield entry
        elif entry.worker in self.members:
            self.members.discard(entry.worker)
            yield replace(entry, lifecycle=api.Lifecycle.TERMINATED)

    def _contains(self, entry: api.RosterEntry) -> bool:
        low = (1 << self.group_splits.get((entry.zone, entry.kind), 0)) - 1
        return (name_hash(entry.worker) ^ self.number) & low == 0 or self.is_always_member(entry.worker)

    def _update_splits(self) -> Iterable[Group]:
        """Split or merge slices as the list grows or shrinks; returns the groups whose slices changed."""
        own_count = sum(len(names) for (zone, _), names in self.groups.items() if zone == self.zone)
        other_count = len(self.entries) - own_count
        self.own_zone_splits = split_count(
            own_count, max(MIN_LOCAL_OR_REMOTE_SIZE, TARGET_SIZE - other_count), self.own_zone_splits
        )
        self.other_zone_splits = split_count(
            other_count, max(MIN_LOCAL_OR_REMOTE_SIZE, TARGET_SIZE - own_count), self.other_zone_splits
        )
        changed = []
        for group, names in self.groups.items():
            max_splits, current = (
                (self.own_zone_splits if group[0] == self.zone else self.other_zone_splits),
                self.group_splits.get(group, 0),
            )
            splits = min(max_splits, current)
            while splits < max_splits and len(names) >> splits + 1 >= MIN_GROUP_SIZE * 2:
                splits += 1
            while splits and len(names) >> splits < MIN_GROUP_SIZE:
                splits -= 1
            if splits != current:
                changed.append(group)
                self.group_splits[group] = splits
        return changed
