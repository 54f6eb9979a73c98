"""A node's subset of a large worker list, and the block list of market tokens, against plain models."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st

from arrowfold import interface as api
from arrowfold.market.blocks import BLOCK, Blocks
from arrowfold.membership.part import (
    MERGE_RATIO,
    MIN_GROUP_SIZE,
    MIN_LOCAL_OR_REMOTE_SIZE,
    TARGET_SIZE,
    WorkerSubset,
    name_hash,
)
from arrowfold.routing.core import Core
from arrowfold.transport.loop import Loop
from tests.field import settings

WHOLE, CHANGE = api.RosterMode.COMPLETE, api.RosterMode.PARTIAL


def worker_entries(count: int, zones: int = 19, kinds: int = 2, first: int = 0) -> list[api.RosterEntry]:
    return [api.RosterEntry(f"s-{n:05}", f"z{n % zones}", f"m{n // zones % kinds}")
            for n in range(first, first + count)]


def terminated(entry: api.RosterEntry) -> api.RosterEntry:
    return replace(entry, lifecycle=api.Lifecycle.TERMINATED)


class ModuleModel:
    """A model of what the module knows: it applies updates as the module does."""

    def __init__(self) -> None:
        self.entries: dict[str, api.RosterEntry] = {}

    def apply(self, update: api.RosterUpdate) -> None:
        if update.mode is not CHANGE:
            self.entries.clear()
        for entry in update.entries:
            self.entries[entry.worker] = entry
            if entry.lifecycle is api.Lifecycle.TERMINATED:
                del self.entries[entry.worker]


class Subsets(unittest.TestCase):
    def test_a_short_list_is_passed_on_unchanged(self) -> None:
        part = WorkerSubset("z0", 7)
        for update in (api.RosterUpdate(WHOLE, tuple(worker_entries(TARGET_SIZE))),
                       api.RosterUpdate(api.RosterMode.ERROR),
                       api.RosterUpdate(CHANGE, (terminated(worker_entries(1)[0]),
                                                 *worker_entries(1, first=TARGET_SIZE))),
                       api.RosterUpdate(CHANGE, (terminated(worker_entries(1)[0]),))):
            result = part.take(update)
            if update.entries == (terminated(worker_entries(1)[0]),):
                self.assertEqual(result.entries, ())  # already terminated: the module no longer knows it
            else:
                self.assertEqual(result, update)

    def test_a_subset_is_bounded_and_has_the_own_zone_and_some_of_each_zone_and_kind(self) -> None:
        for count in (800, 2700, 5400, 10_000):
            part = WorkerSubset("z3", 11)
            result = part.take(api.RosterUpdate(WHOLE, tuple(worker_entries(count)))).entries
            self.assertLessEqual(len(result), TARGET_SIZE + 64)
            groups = Counter((entry.zone, entry.kind) for entry in result)
            self.assertEqual(len(groups), 19 * 2)
            self.assertGreaterEqual(min(groups.values()), MIN_GROUP_SIZE - 3)
            own = sum(entry.zone == "z3" for entry in worker_entries(count))
            if own <= MIN_LOCAL_OR_REMOTE_SIZE:
                self.assertEqual(sum(entry.zone == "z3" for entry in result), own)

    def test_workers_are_spread_evenly_over_the_nodes(self) -> None:
        many = tuple(worker_entries(2700))
        seen: Counter[str] = Counter()
        for number in range(200):
            part = WorkerSubset(f"z{number % 19}", number)
            seen.update(entry.worker for entry in part.take(api.RosterUpdate(WHOLE, many)).entries)
        self.assertEqual(len(seen), 2700)
        loads = sorted(seen.values())
        self.assertLess(loads[-1], 2 * loads[0])
        low = sum(name_hash(entry.worker) & 1 for entry in many)
        self.assertLess(abs(low - 1350), 150)

    def test_a_split_moves_no_worker_from_one_half_to_the_other(self) -> None:
        part = WorkerSubset("z0", 5)
        before = {e.worker for e in part.take(api.RosterUpdate(WHOLE, tuple(worker_entries(1400)))).entries}
        part.take(api.RosterUpdate(CHANGE, tuple(worker_entries(1400, first=1400))))
        self.assertLessEqual({n for n in part.members if n < "s-01400"}, before)
        self.assertGreater(part.other_zone_splits, 1)

    def test_workers_known_only_to_this_node_are_always_in_the_subset(self) -> None:
        part = WorkerSubset("z0", 5, lambda name: name.endswith("7"))
        result = part.take(api.RosterUpdate(WHOLE, tuple(worker_entries(2700))))
        self.assertEqual(sum(entry.worker.endswith("7") for entry in result.entries), 270)

    def test_after_the_loss_of_zones_the_subset_grows_from_the_others(self) -> None:
        part, module, many = WorkerSubset("z0", 5), ModuleModel(), worker_entries(2700)
        module.apply(part.take(api.RosterUpdate(WHOLE, tuple(many))))
        for zone in range(12):
            module.apply(part.take(api.RosterUpdate(
                CHANGE, tuple(terminated(e) for e in many if e.zone == f"z{zone}"))))
        self.assertGreater(len(module.entries), TARGET_SIZE * MERGE_RATIO / 2)
        self.assertEqual(module.entries.keys(), part.members)

    def test_another_number_or_zone_selects_another_subset(self) -> None:
        part, module, many = WorkerSubset("z0", 0), ModuleModel(), worker_entries(2700)
        module.apply(part.take(api.RosterUpdate(WHOLE, tuple(many))))
        module.apply(part.move("z1", 3))
        fresh = WorkerSubset("z1", 3).take(api.RosterUpdate(WHOLE, tuple(many)))
        self.assertEqual(module.entries.keys(), {entry.worker for entry in fresh.entries})

    def test_the_core_passes_a_subset_to_its_module_and_operators_reach_every_worker(self) -> None:
        loop = Loop(lambda where, error: None)
        self.addCleanup(loop.epoll.close)
        core = Core(settings(zone="z0", number=3), 1, loop, Counter(), lambda follow: None,
                    lambda event, **fields: None)
        rows = [(entry, object()) for entry in worker_entries(2700)]
        core.list_servers("list", rows, WHOLE, shared=True)  # type: ignore[arg-type]
        known = set(core.module.workers)
        self.assertLess(len(known), TARGET_SIZE + 64)
        self.assertEqual(core.table.serving(), 2700)
        other = next(name for entry, _ in rows if (name := entry.worker) not in known)
        mine = next(iter(known))
        for name in (other, mine):
            self.assertTrue(core.table.known(name))
            server = core.table.find(name)
            core._publish_list(core.table.start_maintenance(name))
            self.assertFalse(core.table.serves(name, server))  # type: ignore[arg-type]
        self.assertFalse(core.module.workers[mine].serving)
        self.assertNotIn(other, core.module.workers)
        core.list_servers("workers", [(api.RosterEntry("own", "z9", "m0"), object())])  # type: ignore[list-item]
        self.assertIn("own", core.module.workers)
        core.change_settings(settings(zone="z5", number=4), 100)
        self.assertTrue(core.module.workers["own"].serving)
        here = [w for w in core.module.workers.values() if w.serving and w.zone == "z5"]
        self.assertGreaterEqual(len(here), 141)  # all of the zone, except workers that may be out of service


@budget(max_examples=60, deadline=None, derandomize=True)
@given(steps=st.lists(st.tuples(st.sampled_from(["grow", "shrink", "drain", "whole", "move"]),
                                st.integers(0, 2000)), min_size=1, max_size=14))
def test_what_the_module_knows_is_always_the_subset(steps: list[tuple[str, int]]) -> None:
    part, module, chance = WorkerSubset("z1", 3), ModuleModel(), Random(1)
    listed: dict[str, api.RosterEntry] = {}
    for what, size in steps:
        some = worker_entries(size, zones=5, first=chance.randrange(2000))
        if what == "shrink":
            some = [terminated(entry) for entry in some]
        elif what == "drain":
            some = [replace(listed[e.worker], lifecycle=api.Lifecycle.TERMINATING) for e in some
                    if e.worker in listed]
        if what == "move":
            module.apply(part.move(f"z{size % 5}", size))
        else:
            if what == "whole":
                listed.clear()
            for entry in some:
                listed[entry.worker] = entry
                if entry.lifecycle is api.Lifecycle.TERMINATED:
                    del listed[entry.worker]
            module.apply(part.take(api.RosterUpdate(WHOLE if what == "whole" else CHANGE, tuple(some))))
        assert module.entries == {name: listed[name] for name in part.members}
        assert {name for name, entry in listed.items() if part._contains(entry)} == part.members
        assert sum(map(len, part.groups.values())) == len(part.entries) == len(listed)


class Item:
    def __init__(self) -> None:
        self.block: list[object] | None = None


@budget(max_examples=80, deadline=None, derandomize=True)
@given(steps=st.lists(st.integers(-400, 700), min_size=1, max_size=20))
def test_blocks_behave_like_a_list(steps: list[int]) -> None:
    blocks: Blocks[Item] = Blocks()
    plain: list[Item] = []
    chance = Random(2)
    for step in steps:
        for _ in range(step):
            plain.append(Item())
            blocks.append(plain[-1])
        for _ in range(min(len(plain), -step)):
            item = plain.pop(chance.randrange(len(plain)))
            blocks.remove(item)
            assert item.block is None
        assert len(blocks) == len(plain) and list(blocks) == plain
        for number in {0, len(plain) // 2, len(plain) - 1, -1} if plain else ():
            assert blocks[number] is plain[number]
        some = chance.sample(plain, min(7, len(plain)))
        assert blocks.in_order(some) == [item for item in plain if item in some]
    for number in (len(plain), -len(plain) - 1):
        try:
            blocks[number]
        except IndexError:
            continue
        raise AssertionError("an index out of range raised no IndexError")
    assert BLOCK > 1
