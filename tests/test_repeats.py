"""The store of idempotency keys, compared with a model without a memory limit, and its memory limit."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hypothesis import settings as budget
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from arrowfold.interface import Idempotency, RequestClass
from arrowfold.repeats.rules import Repeats
from arrowfold.repeats.store import ENTRY_BYTES, Decision, Entry, State, Store, may_run_again

SECOND = timedelta(seconds=1)
SAFE = RequestClass("safe", 300_000, 5_000_000)
KEYED = RequestClass("keyed", 300_000, 5_000_000, Idempotency.KEYED, "all", 2_000_000)
ZONED = RequestClass("zoned", 300_000, 5_000_000, Idempotency.KEYED, "zone", 2_000_000)
UNSAFE = RequestClass("unsafe", 300_000, 5_000_000, Idempotency.UNSAFE)
BRIEF = RequestClass("brief", 300_000, 5_000_000)  # not in KEEP: nothing is remembered
CLASSES = {cls.name: cls for cls in (SAFE, KEYED, ZONED, UNSAFE, BRIEF)}
KEEP = {name: 10 * SECOND for name in ("safe", "keyed", "zoned", "unsafe")}


@dataclass
class Known:
    """What a store without a memory limit has for a key."""

    rule: RequestClass
    fingerprint: bytes
    begun: timedelta
    state: State
    body: bytes | None = None
    until: timedelta = timedelta.max
    ran_before: bool = False


def expected(cls: RequestClass, known: Known | None, payload: bytes, now: timedelta) -> Decision:
    if known is None:
        return Decision.FIRST
    if known.fingerprint != payload:
        return Decision.CONFLICT
    if known.state is State.RUNNING:
        return Decision.JOINED
    if known.body is not None and len(known.body) <= 100:
        return Decision.REPLAYED
    if may_run_again(cls, now - known.begun):
        return Decision.FIRST
    return Decision.REPLAYED if known.state is State.FAILED else Decision.REFUSED


class SmallStoreMachine(RuleBasedStateMachine):
    """Repeated keys, other payloads, all outcomes and time: a small store must not run what must not run."""

    memory = 8_000

    def __init__(self) -> None:
        super().__init__()
        self.store, self.now = Store(Repeats(KEEP, self.memory, 100), CLASSES), 100 * SECOND
        self.known: dict[tuple[str, int], Known] = {}
        self.running: dict[tuple[str, int], Entry] = {}

    @rule(name=st.sampled_from(list(CLASSES)), key=st.integers(0, 12),
          payload=st.sampled_from([b"a"] * 9 + [b"b"]))
    def ask(self, name: str, key: int, payload: bytes) -> None:
        cls = CLASSES[name]
        found, entry = self.store.look_up(
            cls, self.store.digest(name, None, str(key)), self.store.digest(payload), self.now)
        known = self.known.get((name, key))
        if known is not None and known.state is not State.RUNNING and known.until <= self.now:
            known = None  # its retention has ended
        if self.memory > 1_000_000:
            assert found is expected(cls, known, payload, self.now)
        if found is Decision.FIRST:
            assert entry is not None
            assert known is None or (known.state is not State.RUNNING
                                     and may_run_again(cls, self.now - known.begun))
            begun = known.begun if known is not None else self.now
            if known is not None and entry.started_at == self.now:
                begun = self.now
            self.known[name, key] = Known(
                cls, payload, begun, State.RUNNING, ran_before=known is not None and entry.ran_before)
            self.running[name, key] = entry
        elif found is Decision.JOINED:
            assert known is not None and entry is self.running[name, key] and known.fingerprint == payload
        elif found is Decision.REPLAYED:
            assert known is not None and entry is not None and known.fingerprint == payload
            assert (known.state, known.body) == (entry.state, entry.body)
        elif found is Decision.CONFLICT:
            assert known is not None and known.fingerprint != payload
        elif found is Decision.REFUSED:
            assert cls.idempotency is not Idempotency.SAFE

    @precondition(lambda self: self.running)
    @rule(nth=st.integers(0, 1000), size=st.integers(0, 150),
          how=st.sampled_from(["served", "served", "failed", "never"]))
    def end(self, nth: int, size: int, how: str) -> None:
        name, key = place = sorted(self.running)[nth % len(self.running)]
        body = b"x" * size if how == "served" else None
        self.store.ended(self.running.pop(place), body, how != "never", self.now)
        known = self.known[place]
        if name == "brief" or (how == "never" and not known.ran_before):
            del self.known[place]
            return
        known.state = State.SERVED if how == "served" else State.FAILED
        known.body, known.until = body, self.now + KEEP[name]
        del key

    @rule(ms=st.integers(0, 4000))
    def wait(self, ms: int) -> None:
        self.now += timedelta(milliseconds=ms)

    @invariant()
    def what_is_counted_is_what_is_there(self) -> None:
        entries = self.store.entries.values()
        assert self.store.used_bytes == sum(ENTRY_BYTES + len(e.body or b"") for e in entries)
        running = sum(entry.state is State.RUNNING for entry in entries)
        assert running == len(self.running)
        assert self.store.used_bytes <= self.store.max_bytes + ENTRY_BYTES * running


class LargeStoreMachine(SmallStoreMachine):
    """With memory for all keys, each request gets exactly the decision of the model."""

    memory = 4_000_000


STEPS = budget(max_examples=80, stateful_step_count=80, deadline=None, derandomize=True)
SmallStoreMachine.TestCase.settings = LargeStoreMachine.TestCase.settings = STEPS
TestSmallStore = SmallStoreMachine.TestCase
TestStoreInRoom = LargeStoreMachine.TestCase


def served(store: Store, cls: RequestClass, key: str, now: timedelta, body: bytes = b"answer") -> None:
    found, entry = store.look_up(cls, store.digest(key), b"f", now)
    assert found is Decision.FIRST and entry is not None
    store.ended(entry, body, True, now)


def test_answers_are_dropped_before_keys_and_dropped_keys_are_in_the_filter() -> None:
    store = Store(Repeats({"unsafe": 60 * SECOND}, 1_000_000, false_positives=1e-9), CLASSES)
    for n in range(200):
        served(store, UNSAFE, f"big{n}", n * SECOND / 100, b"x" * 10_000)
    assert store.counters["repeats_answers_dropped"] > 100 and not store.counters["repeats_keys_dropped"]
    assert store.look_up(UNSAFE, store.digest("big0"), b"f", 3 * SECOND)[0] is Decision.REFUSED
    assert store.look_up(UNSAFE, store.digest("big199"), b"f", 3 * SECOND)[0] is Decision.REPLAYED
    for n in range(3000):
        served(store, UNSAFE, f"small{n}", 3 * SECOND + n * SECOND / 1000)
    assert store.counters["repeats_keys_dropped"] > 1000
    now = 7 * SECOND
    assert all(store.look_up(UNSAFE, store.digest(f"small{n}"), b"f", now)[0]
               in (Decision.REFUSED, Decision.REPLAYED) for n in range(3000))
    assert store.used_bytes <= store.max_bytes


def test_a_dropped_key_runs_again_only_if_its_class_permits_and_is_not_refused_forever() -> None:
    for cls, soon in ((SAFE, Decision.FIRST), (KEYED, Decision.REFUSED), (UNSAFE, Decision.REFUSED)):
        store = Store(Repeats({cls.name: 20 * SECOND}, 1_000_000, false_positives=1e-9), CLASSES)
        for n in range(4000):
            served(store, cls, f"k{n}", SECOND)
        assert store.digest("k0") not in store.entries
        assert store.look_up(cls, store.digest("k0"), b"f", 2 * SECOND)[0] is soon
        assert store.look_up(cls, store.digest("k1"), b"f", 22 * SECOND)[0] is soon  # one filter period later
        assert store.look_up(cls, store.digest("k2"), b"f", 62 * SECOND)[0] is Decision.FIRST  # three later


def test_the_rate_of_false_positives_is_as_configured() -> None:
    store = Store(Repeats({"unsafe": 3600 * SECOND}, 1_000_000, false_positives=0.001), CLASSES)
    history = store.histories["unsafe"]
    over = [history.add_to_filter(store.digest(f"k{n}")) for n in range(history.capacity)]
    assert history.capacity > 10_000 and not any(over[:history.capacity * 9 // 10])
    assert all(history.may_contain(store.digest(f"k{n}"))[0] for n in range(history.capacity))
    wrong = sum(history.may_contain(store.digest(f"other{n}"))[0] for n in range(50_000))
    assert wrong / 50_000 <= 0.002


def test_digests_of_one_key_of_different_clients_differ() -> None:
    store = Store(Repeats(KEEP), CLASSES)
    digests = {store.digest("safe", tenant, "key") for tenant in ("a", "b", None, "")}
    assert len(digests) == 3 and store.digest("ab", "c") != store.digest("a", "bc")
