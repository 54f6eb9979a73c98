"""A node's part of a large list, and the sequence that tokens stand in, against plain models."""

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
from arrowfold.membership.part import LEAST, LEAST_SIDE, MOST, SLACK, Part, mark
from arrowfold.routing.core import Core
from arrowfold.transport.loop import Loop
from tests.field import settings

WHOLE, CHANGE = api.RosterMode.COMPLETE, api.RosterMode.PARTIAL


def servers(count: int, zones: int = 19, kinds: int = 2, first: int = 0) -> list[api.RosterEntry]:
    return [api.RosterEntry(f"s-{n:05}", f"z{n % zones}", f"m{n // zones % kinds}")
            for n in range(first, first + count)]


def gone(entry: api.RosterEntry) -> api.RosterEntry:
    return replace(entry, lifecycle=api.Lifecycle.TERMINATED)


class Module:
    """What the module would know: it takes updates as the module does, and nothing else."""

    def __init__(self) -> None:
        self.entries: dict[str, api.RosterEntry] = {}

    def hear(self, update: api.RosterUpdate) -> None:
        if update.mode is not CHANGE:
            self.entries.clear()
        for entry in update.entries:
            self.entries[entry.worker] = entry
            if entry.lifecycle is api.Lifecycle.TERMINATED:
                del self.entries[entry.worker]


class Parts(unittest.TestCase):
    def test_a_list_that_is_short_enough_is_told_word_for_word(self) -> None:
        part = Part("z0", 7)
        for update in (api.RosterUpdate(WHOLE, tuple(servers(MOST))), api.RosterUpdate(api.RosterMode.ERROR),
                       api.RosterUpdate(CHANGE, (gone(servers(1)[0]), *servers(1, first=MOST))),
                       api.RosterUpdate(CHANGE, (gone(servers(1)[0]),))):
            told = part.take(update)
            if update.entries == (gone(servers(1)[0]),):
                self.assertEqual(told.entries, ())  # it had gone before: nobody knows of it any more
            else:
                self.assertEqual(told, update)

    def test_a_part_is_bounded_holds_the_own_zone_and_some_of_each_zone_and_kind(self) -> None:
        for count in (800, 2700, 5400, 10_000):
            part = Part("z3", 11)
            told = part.take(api.RosterUpdate(WHOLE, tuple(servers(count)))).entries
            self.assertLessEqual(len(told), MOST + 64)
            groups = Counter((entry.zone, entry.kind) for entry in told)
            self.assertEqual(len(groups), 19 * 2)
            self.assertGreaterEqual(min(groups.values()), LEAST - 3)
            own = sum(entry.zone == "z3" for entry in servers(count))
            if own <= LEAST_SIDE:
                self.assertEqual(sum(entry.zone == "z3" for entry in told), own)

    def test_servers_have_about_as_many_nodes_each_and_nodes_of_one_number_the_same_part(self) -> None:
        many = tuple(servers(2700))
        seen: Counter[str] = Counter()
        for number in range(200):
            part = Part(f"z{number % 19}", number)
            seen.update(entry.worker for entry in part.take(api.RosterUpdate(WHOLE, many)).entries)
        self.assertEqual(len(seen), 2700)
        loads = sorted(seen.values())
        self.assertLess(loads[-1], 2 * loads[0])
        low = sum(mark(entry.worker) & 1 for entry in many)
        self.assertLess(abs(low - 1350), 150)

    def test_a_split_moves_nobody_from_one_half_to_the_other(self) -> None:
        part = Part("z0", 5)
        before = {e.worker for e in part.take(api.RosterUpdate(WHOLE, tuple(servers(1400)))).entries}
        part.take(api.RosterUpdate(CHANGE, tuple(servers(1400, first=1400))))
        self.assertLessEqual({n for n in part.within if n < "s-01400"}, before)
        self.assertGreater(part.far, 1)

    def test_servers_that_only_this_node_knows_are_always_within(self) -> None:
        part = Part("z0", 5, lambda name: name.endswith("7"))
        told = part.take(api.RosterUpdate(WHOLE, tuple(servers(2700))))
        self.assertEqual(sum(entry.worker.endswith("7") for entry in told.entries), 270)

    def test_a_lost_zone_makes_room_for_others(self) -> None:
        part, module, many = Part("z0", 5), Module(), servers(2700)
        module.hear(part.take(api.RosterUpdate(WHOLE, tuple(many))))
        for zone in range(12):
            module.hear(part.take(api.RosterUpdate(
                CHANGE, tuple(gone(e) for e in many if e.zone == f"z{zone}"))))
        self.assertGreater(len(module.entries), MOST * SLACK / 2)
        self.assertEqual(module.entries.keys(), part.within)

    def test_another_number_or_zone_is_another_part(self) -> None:
        part, module, many = Part("z0", 0), Module(), servers(2700)
        module.hear(part.take(api.RosterUpdate(WHOLE, tuple(many))))
        module.hear(part.move("z1", 3))
        anew = Part("z1", 3).take(api.RosterUpdate(WHOLE, tuple(many)))
        self.assertEqual(module.entries.keys(), {entry.worker for entry in anew.entries})

    def test_the_core_tells_its_module_a_part_and_operators_reach_every_server(self) -> None:
        loop = Loop(lambda where, error: None)
        self.addCleanup(loop.epoll.close)
        core = Core(settings(zone="z0", number=3), 1, loop, Counter(), lambda follow: None,
                    lambda event, **fields: None)
        rows = [(entry, object()) for entry in servers(2700)]
        core.list_servers("list", rows, WHOLE, shared=True)  # type: ignore[arg-type]
        known = set(core.module.workers)
        self.assertLess(len(known), MOST + 64)
        self.assertEqual(core.table.serving(), 2700)
        other = next(name for entry, _ in rows if (name := entry.worker) not in known)
        mine = next(iter(known))
        for name in (other, mine):
            self.assertTrue(core.table.known(name))
            server = core.table.find(name)
            core._tell_list(core.table.take_out(name))
            self.assertFalse(core.table.serves(name, server))  # type: ignore[arg-type]
        self.assertFalse(core.module.workers[mine].serving)
        self.assertNotIn(other, core.module.workers)
        core.list_servers("workers", [(api.RosterEntry("own", "z9", "m0"), object())])  # type: ignore[list-item]
        self.assertIn("own", core.module.workers)
        core.change_settings(settings(zone="z5", number=4), 100)
        self.assertTrue(core.module.workers["own"].serving)
        here = [w for w in core.module.workers.values() if w.serving and w.zone == "z5"]
        self.assertGreaterEqual(len(here), 141)  # all of them, but for who may be out


@budget(max_examples=60, deadline=None, derandomize=True)
@given(steps=st.lists(st.tuples(st.sampled_from(["grow", "shrink", "drain", "whole", "move"]),
                                st.integers(0, 2000)), min_size=1, max_size=14))
def test_what_the_module_knows_is_always_the_part(steps: list[tuple[str, int]]) -> None:
    part, module, chance = Part("z1", 3), Module(), Random(1)
    listed: dict[str, api.RosterEntry] = {}
    for what, size in steps:
        some = servers(size, zones=5, first=chance.randrange(2000))
        if what == "shrink":
            some = [gone(entry) for entry in some]
        elif what == "drain":
            some = [replace(listed[e.worker], lifecycle=api.Lifecycle.TERMINATING) for e in some
                    if e.worker in listed]
        if what == "move":
            module.hear(part.move(f"z{size % 5}", size))
        else:
            if what == "whole":
                listed.clear()
            for entry in some:
                listed[entry.worker] = entry
                if entry.lifecycle is api.Lifecycle.TERMINATED:
                    del listed[entry.worker]
            module.hear(part.take(api.RosterUpdate(WHOLE if what == "whole" else CHANGE, tuple(some))))
        assert module.entries == {name: listed[name] for name in part.within}
        assert {name for name, entry in listed.items() if part._holds(entry)} == part.within
        assert sum(map(len, part.groups.values())) == len(part.entries) == len(listed)


class Thing:
    def __init__(self) -> None:
        self.block: list[object] | None = None


@budget(max_examples=80, deadline=None, derandomize=True)
@given(steps=st.lists(st.integers(-400, 700), min_size=1, max_size=20))
def test_a_sequence_is_a_list_that_forgets_cheaply(steps: list[int]) -> None:
    blocks: Blocks[Thing] = Blocks()
    plain: list[Thing] = []
    chance = Random(2)
    for step in steps:
        for _ in range(step):
            plain.append(Thing())
            blocks.append(plain[-1])
        for _ in range(min(len(plain), -step)):
            thing = plain.pop(chance.randrange(len(plain)))
            blocks.remove(thing)
            assert thing.block is None
        assert len(blocks) == len(plain) and list(blocks) == plain
        for number in {0, len(plain) // 2, len(plain) - 1, -1} if plain else ():
            assert blocks[number] is plain[number]
        some = chance.sample(plain, min(7, len(plain)))
        assert blocks.in_order(some) == [thing for thing in plain if thing in some]
    for number in (len(plain), -len(plain) - 1):
        try:
            blocks[number]
        except IndexError:
            continue
        raise AssertionError("there is nothing")
    assert BLOCK > 1
