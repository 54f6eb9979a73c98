"""The store of idempotency keys: decides whether a request is run, joins a run or gets a stored answer.

Memory is limited in three steps. Stored answers are dropped first, the oldest before all others. Then entries
of single keys are replaced by a Bloom filter, which may report a new key as known but never a known key as
new. Filters are dropped by age alone. A request that may have run is run again only if its class permits it.
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
ENTRY_BYTES = 370  # memory of an entry and its key without the answer: docs/repeats-design.md
FILTERS_MEMORY_SHARE = 0.25  # for the filters of all classes together
LN2 = log(2)


class State(Enum):
    """State of a key's run."""

    RUNNING = "running"
    SERVED = "served"
    FAILED = "failed"  # without an answer, but it may have run


class Decision(Enum):
    """Decision about a request with a key."""

    FIRST = "first"  # run it; the entry is new or replaces one whose run may be repeated
    JOINED = "joined"  # wait for the run in progress
    REPLAYED = "replayed"  # answer it from the entry
    CONFLICT = "conflict"  # the key was used for a different request
    REFUSED = "refused"  # it has run or may have run, and must not run again


@dataclass(slots=True, eq=False)
class Entry:
    """What is stored of one key. `fingerprint` is the digest of the request's content."""

    digest: bytes
    fingerprint: bytes
    request_class: RequestClass
    started_at: timedelta
    state: State = State.RUNNING
    body: bytes | None = None  # the served answer, while it is kept
    retained_until: timedelta = ZERO  # set when the run ends
    waiters: Any = None  # set by the core while the run is in progress
    ran_before: bool = False  # an earlier run, of which this is a permitted repetition, may have run


class ClassHistory:
    """Ended runs of one class: entries with answers, entries without, and filters of dropped keys."""

    __slots__ = (
        "answers", "capacity", "error", "filter_keys", "filters", "keep", "period_start", "without_answer")

    def __init__(self, keep: timedelta, capacity: int, error: float, now: timedelta) -> None:
        self.keep, self.capacity, self.error, self.period_start = keep, capacity, error, now
        self.answers: OrderedDict[bytes, Entry] = OrderedDict()  # in the order of their end
        self.without_answer: OrderedDict[bytes, Entry] = OrderedDict()
        self.filters: list[Bloom | None] = [None, None]  # of the current and of the previous period
        self.filter_keys = 0  # keys in the current filter; counting them from its bits would be slow

    def rotate_filters(self, now: timedelta) -> None:
        """Starts a new filter after each period of length `keep`; a filter is kept for one period more."""
        if self.keep and now - self.period_start >= self.keep:
            periods = (now - self.period_start) // self.keep
            self.filters = [None, self.filters[0] if periods == 1 else None]
            self.period_start, self.filter_keys = self.period_start + periods * self.keep, 0

    def add_to_filter(self, digest: bytes) -> bool:
        """Adds a key to the current filter; returns whether the filter now exceeds its capacity."""
        bloom = self.filters[0] or Bloom(self.capacity, self.error, _as_int)
        bloom.add(digest)
        self.filters[0] = bloom
        self.filter_keys += 1
        return self.filter_keys > self.capacity

    def may_contain(self, digest: bytes) -> tuple[bool, bool]:
        """Returns whether a filter may contain a key, and whether only the previous one does."""
        new, old = (bloom is not None and digest in bloom for bloom in self.filters)
        return new or old, old and not new


class Store:
    """The keys of one node. `classes` are the request classes of the settings, by name."""

    def __init__(self, repeats: Repeats, classes: Mapping[str, RequestClass], now: timedelta = ZERO,
                 counters: Counter[str] | None = None) -> None:
        self.repeats = repeats
        # A secret key for digests, so that no client can construct a key that collides with another's.
        self._secret = token_bytes(16)
        self.entries: dict[bytes, Entry] = {}
        self.used_bytes = 0  # bytes used by entries and answers
        self.counters: Counter[str] = Counter() if counters is None else counters
        kept = [name for name in classes if repeats.retention(name)]
        part = repeats.memory * FILTERS_MEMORY_SHARE / max(1, 2 * len(kept))
        capacity = max(64, int(part * 8 * LN2 * LN2 / -log(repeats.false_positives)))
        self.max_bytes = int(repeats.memory * (1 - FILTERS_MEMORY_SHARE)) if kept else repeats.memory
        self.histories = {name: ClassHistory(repeats.retention(name), capacity, repeats.false_positives, now)
                        for name in kept}

    def digest(self, *parts: str | bytes | None) -> bytes:
        """Returns a 16-byte digest of the parts of a key or of a request's content."""
        hasher = blake2b(digest_size=16, key=self._secret)
        for part in parts:
            data = part.encode() if isinstance(part, str) else part or b""
            hasher.update(len(data).to_bytes(8, "little") + data)
        return hasher.digest()

    # --- at arrival --------------------------------------------------------------------------------------

    def look_up(
            self, request_class: RequestClass, digest: bytes, fingerprint: bytes, now: timedelta,
    ) -> tuple[Decision, Entry | None]:
        """Decides what to do with a request.

        FIRST and JOINED come with the entry of the run in progress, REPLAYED with the entry of the ended
        run, CONFLICT and REFUSED with None.
        """
        self._drop_expired(now)
        entry = self.entries.get(digest)
        if entry is not None and entry.state is not State.RUNNING and entry.retained_until <= now:
            self._drop(entry)
            entry = None
        if entry is None:
            age = self._max_age(request_class, digest, now)
            if age is not None and not may_run_again(request_class, age):
                return Decision.REFUSED, None
            entry = self._add_running(request_class, digest, fingerprint, now)
            if age is not None:
                entry.started_at, entry.ran_before = now - age, True
            return Decision.FIRST, entry
        if entry.fingerprint != fingerprint:
            return Decision.CONFLICT, None
        if entry.state is State.RUNNING:
            return Decision.JOINED, entry
        if entry.body is not None:
            return Decision.REPLAYED, entry
        # It has failed or its answer was dropped: it is run again if its class permits.
        if not may_run_again(request_class, now - entry.started_at):
            return (Decision.REPLAYED if entry.state is State.FAILED else Decision.REFUSED), entry
        started_at = entry.started_at
        self._drop(entry)
        entry = self._add_running(request_class, digest, fingerprint, now)
        entry.started_at, entry.ran_before = started_at, True  # the class's window counts from the first run
        return Decision.FIRST, entry

    def _max_age(self, request_class: RequestClass, digest: bytes, now: timedelta) -> timedelta | None:
        """Returns the maximum age of the run of a key that only a filter has; None if no filter has it."""
        history = self.histories.get(request_class.name)
        is_known, only_previous = history.may_contain(digest) if history is not None else (False, False)
        if not is_known:
            return None
        self.counters["repeats_by_filter"] += 1
        # Only the period in which the run ended is known; one more is added for the duration of the run.
        assert history is not None
        return (now - history.period_start) + (history.keep if only_previous else ZERO) + history.keep

    def _add_running(
            self, request_class: RequestClass, digest: bytes, fingerprint: bytes, now: timedelta) -> Entry:
        entry = self.entries[digest] = Entry(digest, fingerprint, request_class, now)
        self.used_bytes += ENTRY_BYTES
        self._enforce_memory_limit()
        return entry

    # --- at the end of a run -----------------------------------------------------------------------------

    def ended(self, entry: Entry, body: bytes | None, may_have_run: bool, now: timedelta) -> None:
        """Records the end of a run with its answer (`body`) or without one; drops one that never ran."""
        if self.entries.get(entry.digest) is not entry or entry.state is not State.RUNNING:
            return
        entry.waiters = None
        history = self.histories.get(entry.request_class.name)
        if history is None or not (may_have_run or entry.ran_before):
            self._drop(entry)
            return
        entry.retained_until = now + history.keep
        if body is None:
            entry.state = State.FAILED
            history.without_answer[entry.digest] = entry
        else:
            entry.state = State.SERVED
            if len(body) <= self.repeats.max_answer_bytes:
                entry.body = body
                self.used_bytes += len(body)
                history.answers[entry.digest] = entry
            else:
                self.counters["repeats_answers_too_large"] += 1
                history.without_answer[entry.digest] = entry
        self._enforce_memory_limit()

    # --- memory ------------------------------------------------------------------------------------------

    def _drop(self, entry: Entry) -> None:
        del self.entries[entry.digest]
        self.used_bytes -= ENTRY_BYTES + len(entry.body or b"")
        history = self.histories.get(entry.request_class.name)
        if history is not None:
            history.answers.pop(entry.digest, None)
            history.without_answer.pop(entry.digest, None)

    def _drop_expired(self, now: timedelta) -> None:
        """Drops entries whose retention has ended."""
        for history in self.histories.values():
            history.rotate_filters(now)
            for entries in (history.answers, history.without_answer):
                while entries and (oldest := next(iter(entries.values()))).retained_until <= now:
                    self._drop(oldest)

    def _enforce_memory_limit(self) -> None:
        """Drops answers first, then moves keys into the filter; entries of runs in progress stay."""
        while self.used_bytes > self.max_bytes:
            histories = [h for h in self.histories.values() if h.answers]
            if histories:
                history = min(histories, key=lambda h: next(iter(h.answers.values())).retained_until - h.keep)
                digest, entry = history.answers.popitem(last=False)
                self.used_bytes -= len(entry.body or b"")
                entry.body = None
                history.without_answer[digest] = entry
                self.counters["repeats_answers_dropped"] += 1
                continue
            histories = [h for h in self.histories.values() if h.without_answer]
            if not histories:
                return  # the rest is in progress, which the limit of sessions bounds
            history = min(
                histories, key=lambda h: next(iter(h.without_answer.values())).retained_until - h.keep)
            digest, entry = history.without_answer.popitem(last=False)
            del self.entries[digest]
            self.used_bytes -= ENTRY_BYTES
            self.counters["repeats_keys_dropped"] += 1
            self.counters["repeats_filter_over"] += history.add_to_filter(digest)


def may_run_again(request_class: RequestClass, age: timedelta) -> bool:
    """Returns whether a request that may have run may run again at any server.

    `age` is the time since the start of its first run.
    """
    if request_class.idempotency is Idempotency.SAFE:
        return True
    return (request_class.idempotency is Idempotency.KEYED and request_class.group == "all"
            and age < request_class.window_us * MICROSECOND)


def _as_int(digest: bytes) -> int:
    return int.from_bytes(digest, "little", signed=True)
