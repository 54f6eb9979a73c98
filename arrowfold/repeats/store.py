"""The store of request keys: whether a try is the first, joins a run, or is answered from one that has ended.

Memory is bounded in three steps. Answers go first, the oldest before all others; then what is known of single
keys goes into a filter, which may take a new key for an old one but never an old one for new; the filter
forgets by time alone. What may have run is run again only where its class permits that.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from hashlib import blake2b
from math import log
from secrets import token_bytes
from typing import Any

from rbloom import Bloom

from arrowfold.interface import Idempotency, RequestClass
from arrowfold.repeats.rules import ZERO, Repeats

MICROSECOND = timedelta(microseconds=1)
ENTRY_BYTES = 370  # of an entry with its key, without its answer's bytes: docs/repeats-design.md
FILTERS_PART = 0.25  # of the memory, for the filters of all classes together
LN2 = log(2)


class State(Enum):
    """What is known of a key."""

    RUNNING = "running"
    SERVED = "served"
    FAILED = "failed"  # and it may have run


class Found(Enum):
    """What is to be done with a try."""

    FIRST = "first"  # run it; the entry is new, or has been taken up again
    JOINED = "joined"  # wait for the run that is under way
    REPLAYED = "replayed"  # answer it as the entry says
    CONFLICT = "conflict"  # the same key for something else
    REFUSED = "refused"  # it has run, or may have, and must not run again


@dataclass(slots=True, eq=False)
class Entry:
    """One key."""

    digest: bytes
    fingerprint: bytes
    rule: RequestClass
    begun: timedelta
    state: State = State.RUNNING
    body: bytes | None = None  # of a served answer, while it is kept
    until: timedelta = ZERO  # when it is forgotten, once it has ended
    run: Any = None  # the core's, while it runs
    ran_before: bool = False  # an earlier run, of which this is the harmless repeat, may have run


class Shelf:
    """What has ended of one class: answers, keys without theirs, and a filter of keys that had to go."""

    __slots__ = ("answers", "capacity", "error", "filters", "held", "keep", "known", "since")

    def __init__(self, keep: timedelta, capacity: int, error: float, now: timedelta) -> None:
        self.keep, self.capacity, self.error, self.since = keep, capacity, error, now
        self.answers: OrderedDict[bytes, Entry] = OrderedDict()  # the one that ended first comes first
        self.known: OrderedDict[bytes, Entry] = OrderedDict()
        self.filters: list[Bloom | None] = [None, None]  # of this span, and of the one before
        self.held = 0  # keys in the first of them, for a filter counts its own bits anew each time

    def turn(self, now: timedelta) -> None:
        """A filter holds what came within one span, and is kept for one more."""
        if self.keep and now - self.since >= self.keep:
            whole = (now - self.since) // self.keep
            self.filters = [None, self.filters[0] if whole == 1 else None]
            self.since, self.held = self.since + whole * self.keep, 0

    def put_away(self, digest: bytes) -> bool:
        """Into the filter; whether it held more already than it was made for."""
        held = self.filters[0] or Bloom(self.capacity, self.error, _as_number)
        held.add(digest)
        self.filters[0] = held
        self.held += 1
        return self.held > self.capacity

    def may_hold(self, digest: bytes) -> tuple[bool, bool]:
        """Whether a filter may hold a key, and whether only the older one does."""
        new, old = (held is not None and digest in held for held in self.filters)
        return new or old, old and not new


class Store:
    """All keys of one node. `rules` are the classes as the settings have them."""

    def __init__(self, repeats: Repeats, rules: Mapping[str, RequestClass], now: timedelta = ZERO,
                 counters: Counter[str] | None = None) -> None:
        self.repeats = repeats
        # A secret, so that nobody can make two keys of different clients one.
        self._secret = token_bytes(16)
        self.entries: dict[bytes, Entry] = {}
        self.used = 0  # bytes, of entries and answers
        self.counters: Counter[str] = Counter() if counters is None else counters
        kept = [name for name in rules if repeats.keeps(name)]
        part = repeats.memory * FILTERS_PART / max(1, 2 * len(kept))
        capacity = max(64, int(part * 8 * LN2 * LN2 / -log(repeats.false_positives)))
        self.bound = int(repeats.memory * (1 - FILTERS_PART)) if kept else repeats.memory
        self.shelves = {name: Shelf(repeats.keeps(name), capacity, repeats.false_positives, now)
                        for name in kept}

    def digest(self, *parts: str | bytes | None) -> bytes:
        """Parts of a key, or of what was asked, in sixteen bytes."""
        mark = blake2b(digest_size=16, key=self._secret)
        for part in parts:
            data = part.encode() if isinstance(part, str) else part or b""
            mark.update(len(data).to_bytes(8, "little") + data)
        return mark.digest()

    # --- asked at arrival --------------------------------------------------------------------------------

    def ask(self, rule: RequestClass, digest: bytes, fingerprint: bytes, now: timedelta) -> tuple[
            Found, Entry | None]:
        """What to do with a try. FIRST and JOINED come with the entry that runs, REPLAYED with its answer."""
        self._forget(now)
        entry = self.entries.get(digest)
        if entry is not None and entry.state is not State.RUNNING and entry.until <= now:
            self._drop(entry)
            entry = None
        if entry is None:
            age = self._age(rule, digest, now)
            if age is not None and not may_run_again(rule, age):
                return Found.REFUSED, None
            entry = self._begin(rule, digest, fingerprint, now)
            if age is not None:
                entry.begun, entry.ran_before = now - age, True
            return Found.FIRST, entry
        if entry.fingerprint != fingerprint:
            return Found.CONFLICT, None
        if entry.state is State.RUNNING:
            return Found.JOINED, entry
        if entry.body is not None:
            return Found.REPLAYED, entry
        # Its answer is gone, or it has failed: once more, if that is harmless.
        if not may_run_again(rule, now - entry.begun):
            return (Found.REPLAYED if entry.state is State.FAILED else Found.REFUSED), entry
        begun = entry.begun
        self._drop(entry)
        entry = self._begin(rule, digest, fingerprint, now)
        entry.begun, entry.ran_before = begun, True  # its window counts from the first
        return Found.FIRST, entry

    def _age(self, rule: RequestClass, digest: bytes, now: timedelta) -> timedelta | None:
        """How long ago, at most, a key may have run of which only a filter knows; None: none does."""
        shelf = self.shelves.get(rule.name)
        held, old = shelf.may_hold(digest) if shelf is not None else (False, False)
        if not held:
            return None
        self.counters["repeats_by_filter"] += 1
        # How long ago it ran is known only as: within this span, or the one before, plus what it ran.
        assert shelf is not None
        return (now - shelf.since) + (shelf.keep if old else ZERO) + shelf.keep

    def _begin(self, rule: RequestClass, digest: bytes, fingerprint: bytes, now: timedelta) -> Entry:
        entry = self.entries[digest] = Entry(digest, fingerprint, rule, now)
        self.used += ENTRY_BYTES
        self._make_room()
        return entry

    # --- told --------------------------------------------------------------------------------------------

    def ended(self, entry: Entry, body: bytes | None, may_have_run: bool, now: timedelta) -> None:
        """Its run has ended: with an answer (`body`), or without one. What never ran is forgotten."""
        if self.entries.get(entry.digest) is not entry or entry.state is not State.RUNNING:
            return
        entry.run = None
        shelf = self.shelves.get(entry.rule.name)
        if shelf is None or not (may_have_run or entry.ran_before):
            self._drop(entry)
            return
        entry.until = now + shelf.keep
        if body is None:
            entry.state = State.FAILED
            shelf.known[entry.digest] = entry
        else:
            entry.state = State.SERVED
            if len(body) <= self.repeats.largest:
                entry.body = body
                self.used += len(body)
                shelf.answers[entry.digest] = entry
            else:
                self.counters["repeats_answers_too_large"] += 1
                shelf.known[entry.digest] = entry
        self._make_room()

    # --- memory ------------------------------------------------------------------------------------------

    def _drop(self, entry: Entry) -> None:
        del self.entries[entry.digest]
        self.used -= ENTRY_BYTES + len(entry.body or b"")
        shelf = self.shelves.get(entry.rule.name)
        if shelf is not None:
            shelf.answers.pop(entry.digest, None)
            shelf.known.pop(entry.digest, None)

    def _forget(self, now: timedelta) -> None:
        """What is older than its class's time."""
        for shelf in self.shelves.values():
            shelf.turn(now)
            for held in (shelf.answers, shelf.known):
                while held and (oldest := next(iter(held.values()))).until <= now:
                    self._drop(oldest)

    def _make_room(self) -> None:
        """Answers go before what is known of keys, and that goes into the filter; what runs stays."""
        while self.used > self.bound:
            shelves = [s for s in self.shelves.values() if s.answers]
            if shelves:
                shelf = min(shelves, key=lambda s: next(iter(s.answers.values())).until - s.keep)
                digest, entry = shelf.answers.popitem(last=False)
                self.used -= len(entry.body or b"")
                entry.body = None
                shelf.known[digest] = entry
                self.counters["repeats_answers_dropped"] += 1
                continue
            shelves = [s for s in self.shelves.values() if s.known]
            if not shelves:
                return  # all that is left runs, and sessions are bounded
            shelf = min(shelves, key=lambda s: next(iter(s.known.values())).until - s.keep)
            digest, entry = shelf.known.popitem(last=False)
            del self.entries[digest]
            self.used -= ENTRY_BYTES
            self.counters["repeats_keys_dropped"] += 1
            self.counters["repeats_filter_over"] += shelf.put_away(digest)


def may_run_again(rule: RequestClass, age: timedelta) -> bool:
    """Whether what may have run so long ago may run once more, at any server."""
    if rule.idempotency is Idempotency.SAFE:
        return True
    return (rule.idempotency is Idempotency.KEYED and rule.group == "all"
            and age < rule.window_us * MICROSECOND)


def _as_number(digest: bytes) -> int:
    return int.from_bytes(digest, "little", signed=True)
