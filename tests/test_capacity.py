"""Growth of a node's work with its list, by counts of calls instead of time; results; the page's tables."""

from __future__ import annotations

import json
import sys
import tempfile
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from click.testing import CliRunner

from arrowfold import interface as api
from arrowfold.protocol.discovery import SOURCE, Discovery
from arrowfold.routing.core import Core
from arrowfold.transport.loop import Loop
from benchmarks.capacity import __main__ as command
from benchmarks.capacity import page
from benchmarks.capacity.module import Node, example_settings, make_roster
from benchmarks.capacity.results import (
    FOLDER,
    VERSION,
    InvalidResult,
    Point,
    PointTooLarge,
    measure_point,
    read_result,
    result_path,
    write_result,
)


def calls(action: Callable[[], Any]) -> int:
    """Returns the number of calls, of Python and built-in functions, that `action` makes."""
    count = 0

    def note(frame: object, event: str, arg: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(note)
    try:
        action()
    finally:
        sys.setprofile(None)
    return count


class Growth(unittest.TestCase):
    """Costs that do not depend on the size of the list must stay constant."""

    def call_counts(self, servers: int) -> dict[str, float]:
        node, rows = Node(example_settings()), make_roster(servers)
        figures: dict[str, float] = {"first list": calls(lambda: node.update_list(rows, whole=True))}
        node.run(12.0, 20.0)  # arrival rates are known and market tokens are granted
        figures["ten seconds"] = calls(lambda: node.run(10.0, 20.0))
        listed = next(row for row in rows if row.worker in node.dispatcher.workers and row.zone != "z1")
        figures["one change"] = calls(
            lambda: node.update_list([replace(listed, lifecycle=api.Lifecycle.TERMINATING)]))
        zone = [row for row in rows if row.zone == "z1"]
        figures["zone lost"] = calls(
            lambda: node.update_list(replace(row, lifecycle=api.Lifecycle.TERMINATED) for row in zone))
        figures["in view"] = len(node.dispatcher.workers)
        return figures

    def test_from_400_servers_to_5400_nothing_but_the_first_list_grows_by_half(self) -> None:
        few, many = self.call_counts(400), self.call_counts(5400)
        for name in ("ten seconds", "one change"):
            self.assertLess(many[name], 1.5 * few[name], name)
        self.assertLess(many["zone lost"], 1.5 * few["zone lost"] + 12 * 284)  # each server's own entry
        self.assertLess(many["first list"], 2.5 * few["first list"])
        self.assertLess(many["in view"], 600)

    def test_without_parts_it_would_grow(self) -> None:
        """Shows that the counts above reveal growth."""
        few, many = (
            Node(example_settings(), has_partial_list=False),
            Node(example_settings(), has_partial_list=False))
        lists = [calls(lambda node=node, n=n: node.update_list(make_roster(n), whole=True))  # type: ignore[misc]
                 for node, n in ((few, 400), (many, 2700))]
        self.assertGreater(lists[1], 4 * lists[0])

    def test_a_start_costs_each_server_on_the_list_the_same(self) -> None:
        """From the parsed configuration until readiness, with 10, 400 and 2,700 workers in `known`."""
        def start(servers: int) -> float:
            loop = Loop(lambda where, error: None)
            self.addCleanup(loop.epoll.close)
            core = Core(
                example_settings(), 1, loop, Counter(), lambda follow: None, lambda event, **fields: None)
            found = Discovery(loop, None, core, lambda address: mock.sentinel.server, Counter(),
                              lambda event, **fields: None)
            known = {"rev": 3, "all": True, "targets": [
                {"uid": row.worker, "endpoint": f"127.0.0.1:{n + 1}", "az": row.zone, "model": row.kind,
                 "pod_group": 0, "state": "SERVING", "capacity_hint": 1.0, "boot_ms": 0}
                for n, row in enumerate(make_roster(servers))]}

            def begin() -> None:
                found.take(known, api.RosterMode.PERSISTED)
                found.begin()
                self.assertTrue(core.ready())

            count = calls(begin)
            self.assertEqual(len(core.table.rows(SOURCE)), servers)
            return count / servers

        few, some, many = start(10), start(400), start(2700)
        self.assertLess(some, 1.5 * few)
        self.assertLess(many, some)  # the hash ring holds only the node's part

    def test_one_change_of_a_long_list_does_not_pass_over_the_server_table(self) -> None:
        """Guards against recording all names at each change, and against losing those of a long list."""
        def change(servers: int) -> int:
            loop = Loop(lambda where, error: None)
            self.addCleanup(loop.epoll.close)
            core = Core(
                example_settings(), 1, loop, Counter(), lambda follow: None, lambda event, **fields: None)
            rows: Any = [(entry, object()) for entry in make_roster(servers)]
            core.list_servers("list", rows, api.RosterMode.COMPLETE, shared=True)
            self.assertTrue(all(core.table.known(entry.worker) for entry, _ in rows))
            one = [(replace(rows[0][0], lifecycle=api.Lifecycle.TERMINATING), rows[0][1])]
            return calls(lambda: core.list_servers("list", one, shared=True))

        self.assertLess(change(5400), 1.5 * change(400))


class InvalidLists(unittest.TestCase):
    def test_twice_the_size_with_duplicates_unknown_zones_and_nonsense(self) -> None:
        """Unreadable entries are skipped and counted; the last entry of a name applies."""
        loop, counters = Loop(lambda where, error: None), Counter[str]()
        self.addCleanup(loop.epoll.close)
        core = Core(example_settings(), 1, loop, counters, lambda follow: None, lambda event, **fields: None)
        found = Discovery(loop, None, core, lambda address: mock.Mock(), counters,
                          lambda event, **fields: None)
        rows: list[Any] = [
            {"uid": f"s{n}", "endpoint": f"127.0.0.1:{n + 1}",
             "az": f"z{n % 19}" if n % 5 else f"nowhere{n % 900}", "model": "m", "pod_group": 0,
             "state": "SERVING", "capacity_hint": 1.0, "boot_ms": 0}
            for n in range(5400)]
        again = [{**row, "state": "DRAINING"} for row in rows[:200]]
        broken = [None, 7, {}, {**rows[0], "endpoint": "nowhere"}, {**rows[1], "state": "LOST"},
                  {**rows[2], "boot_ms": "soon"}, {**rows[3], "az": None, "uid": "nozone"}]
        found.take({"rev": 5, "all": True, "targets": [*rows, *again, *broken]})
        self.assertEqual(counters["discovery_bad_entries"], 6)
        self.assertEqual(core.table.serving(), 5400 - 200 + 1)
        self.assertNotIn("module_faults", counters)
        serving = [w for w in core.module.workers.values() if w.serving]
        self.assertLess(len(serving), 2000)  # some of each of 900 unknown zones are included
        self.assertFalse({w.name for w in serving} & {row["uid"] for row in again})
        found.take({"rev": 6, "all": True, "targets": rows[:3]})
        self.assertEqual(core.table.serving(), 3)
        self.assertEqual({w.name for w in core.module.workers.values() if w.serving}, {"s0", "s1", "s2"})


class ResultFiles(unittest.TestCase):
    """Result files: written, read, rejected, measured again."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.point = Point("some", {"size": 3}, lambda seed: {"figure": float(seed)}, (1, 2, 6))

    def test_a_result_is_read_as_it_was_written(self) -> None:
        write_result(measure_point(self.point), self.folder)
        found = read_result(result_path(self.point.name, self.folder))
        self.assertEqual(found.figures, {"figure": [2.0, 1.0, 6.0]})
        self.assertEqual((found["figure"], found.size, found.seeds), (2.0, {"size": 3}, [1, 2, 6]))
        self.assertEqual([path.name for path in self.folder.iterdir()], [f"{self.point.name}.json"])

    def test_one_that_is_cut_off_or_of_another_version_is_named(self) -> None:
        write_result(measure_point(self.point), self.folder)
        path = result_path(self.point.name, self.folder)
        whole = path.read_text()
        other = json.dumps({**json.loads(whole), "version": VERSION + 1})
        for text in (whole[:-20], "", "[]", "7", other, json.dumps({**json.loads(whole), "figures": {}}),
                     json.dumps({**json.loads(whole), "more": 1})):
            path.write_text(text)
            with self.assertRaisesRegex(InvalidResult, path.name):
                read_result(path)

    def test_only_what_has_no_sound_result_is_run(self) -> None:
        some = [replace(self.point, size={"size": n}) for n in (1, 2, 3)]
        for point in some[:2]:
            write_result(measure_point(point), self.folder)
        result_path(some[1].name, self.folder).write_text("{")
        with mock.patch.object(command, "POINTS", some), \
                mock.patch.object(command, "result_path", lambda name: result_path(name, self.folder)), \
                mock.patch.object(command, "write_result", lambda result: write_result(result, self.folder)):
            outcome = CliRunner().invoke(command.main, ["run", "some"])
            self.assertEqual(outcome.exit_code, 0, outcome.output)
            self.assertIn(f"run again: {some[1].name}", outcome.output)
            self.assertEqual(command.points_to_run((), False), [])
            self.assertEqual(command.points_to_run(("other",), True), [])
            self.assertEqual(len(command.points_to_run((), True)), 3)

    def test_a_point_that_asks_too_much_is_refused_before_it_starts(self) -> None:
        run: list[int] = []
        for more in ({"descriptors": 10**9}, {"megabytes": 10**9}, {"processes": 10**6}):
            point = replace(self.point, run=lambda seed: run.append(seed) or {}, **more)  # type: ignore[arg-type, func-returns-value]
            with self.assertRaises(PointTooLarge):
                point.check()
            with mock.patch.object(command, "POINTS", [point]), \
                    mock.patch.object(command, "result_path", lambda name: result_path(name, self.folder)):
                outcome = CliRunner().invoke(command.main, ["run"])
            self.assertEqual(outcome.exit_code, 1)
            self.assertIn("needs", outcome.output)
        self.assertEqual(run, [])


class Page(unittest.TestCase):
    def test_its_tables_are_those_of_the_results(self) -> None:
        text = page.PAGE.read_text()
        self.assertEqual(page.fill_tables(text), text, "make capacity")
        self.assertEqual({found[2] for found in page.TABLE_PATTERN.finditer(text)}, set(page.TABLES))

    def test_a_figure_typed_by_hand_shows(self) -> None:
        text = page.PAGE.read_text()
        table = page.TABLE_PATTERN.search(text)
        assert table is not None
        wrong = text.replace(table[0], table[0].replace("| holds |", "| **does not** |", 1), 1)
        self.assertNotEqual(wrong, text)
        self.assertEqual(page.fill_tables(wrong), text)

    def test_what_was_not_measured_is_said_to_be_so(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            text = page.fill_tables("<!-- table: verdict -->\n<!-- end -->", Path(folder))
        self.assertIn(page.MISSING, text)
        self.assertNotIn("| holds |", text)

    def test_every_result_is_sound(self) -> None:
        self.assertGreater(sum(bool(read_result(path)) for path in FOLDER.glob("*=*.json")), 30)
