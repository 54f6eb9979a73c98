"""The trace: bounded in memory and on disk, never delays a request, and is read back as written."""

from __future__ import annotations

import errno
import json
import tempfile
import unittest
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from unittest.mock import patch

from arrowfold import interface as api
from arrowfold.expectations.history import State, View
from arrowfold.expectations.worlds import World, play
from arrowfold.program import trace as module
from arrowfold.program.commands import build_plan
from arrowfold.program.edge import TraceConfig, read_edge
from arrowfold.program.judging import TraceError, read_history
from arrowfold.program.trace import TraceFile
from arrowfold.routing.session import Answer, Dispatch, Job, Session, Verdict
from tests.edge import ROOT, EdgeCase, eventually

SECOND = timedelta(seconds=1)


class FakeLoop:
    """A loop with a fixed clock; scheduled calls are collected for the test to run."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], None]] = []

    def now(self) -> timedelta:
        return 1000 * SECOND

    def call_later(self, delay: timedelta, call: Callable[[], None]) -> None:
        self.calls.append(call)


class FullDisk:
    """A file on a disk that is full."""

    def write(self, data: bytes) -> int:
        raise OSError(errno.ENOSPC, "no space left")


class Bounds(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path, self.counters = Path(folder.name) / "trace.jsonl", Counter[str]()
        self.loop, self.logged_events = FakeLoop(), list[str]()

    def trace(self, max_bytes: int = 2**20, max_queued_spans: int = 100) -> TraceFile:
        return TraceFile(self.loop, TraceConfig(self.path, max_bytes, max_queued_spans), "n",  # type: ignore[arg-type]
                         self.counters, lambda event, **fields: self.logged_events.append(event))

    def session(self, trace: TraceFile, name: str) -> None:
        session = Session(Job(name, "search", 1005 * SECOND), None)  # type: ignore[arg-type]
        trace.session_started(session)
        dispatch = Dispatch(session, 0, "s1", None, self.loop.now(), lambda *_: None)  # type: ignore[arg-type]
        trace.dispatched(dispatch)
        trace.progressed(dispatch, None)
        trace.ended(dispatch, api.Status.OK, api.LoadReport(free_slots=2.0))
        trace.answered(session, Answer(Verdict.SERVED))

    def test_a_written_trace_is_read_back(self) -> None:
        trace = self.trace()
        trace.settings_changed(api.Settings((api.RequestClass("search", 1, 1, kind="k"),), cold_us=9_000_000))
        trace.listed(api.RosterUpdate(api.RosterMode.COMPLETE, (
            api.RosterEntry("s1", "z", "k", launched_us=5), api.RosterEntry("s2", "z", "k"))))
        trace.listed(api.RosterUpdate(api.RosterMode.COMPLETE, (api.RosterEntry("s1", "z", "k"),)))
        trace.maintenance_changed("s1", True)
        self.session(trace, "a")
        trace.close()
        history, dropped = read_history(self.path)
        (life,) = history.session_records
        (attempt,) = life.attempts
        self.assertEqual((history.cold, dropped), (9 * SECOND, 0))
        self.assertEqual((life.id, life.verdict, life.deadline), ("a", "served", 1005 * SECOND))
        self.assertEqual((attempt.server, attempt.status, attempt.free, attempt.started),
                         ("s1", api.Status.OK, 2.0, 1000 * SECOND))
        view = View(history)
        self.assertIsNotNone(view.since("s2", State.GONE, 1000 * SECOND))
        self.assertIsNotNone(view.since("s1", State.MAINTENANCE, 1000 * SECOND))

    def test_a_full_queue_drops_and_counts_and_a_turn_writes_one_batch(self) -> None:
        trace = self.trace(max_queued_spans=40)
        for n in range(100):
            self.session(trace, f"j{n}")
        self.assertEqual(self.counters["trace_dropped"], 160)
        self.assertEqual(self.path.read_bytes(), b"")  # nothing is written while requests are handled
        self.loop.calls.pop()()
        self.assertEqual(len(self.path.read_text().splitlines()), module.SPANS_PER_WRITE)
        self.assertEqual(len(self.loop.calls), 1)  # the next batch is scheduled
        trace.close()
        _, dropped = read_history(self.path)
        self.assertEqual((dropped, self.counters["trace_spans"]), (160, 41))

    def test_a_full_file_stays_within_its_bound_and_is_logged_once(self) -> None:
        trace = self.trace(max_bytes=20_000)
        for n in range(40):
            self.session(trace, f"j{n}")
            while self.loop.calls:
                self.loop.calls.pop()()
        self.assertLessEqual(self.path.stat().st_size, 20_000)
        self.assertGreater(self.counters["trace_dropped"], 10)
        self.assertEqual(len(self.logged_events), 1)
        trace.close()
        again = self.trace(max_bytes=20_000)  # the existing size of the file counts at the next start
        self.session(again, "late")
        again.close()
        self.assertLessEqual(self.path.stat().st_size, 20_000)

    def test_a_failing_disk_delays_no_request(self) -> None:
        trace = self.trace()
        self.session(trace, "a")
        with patch.object(trace, "_file", FullDisk()):
            self.loop.calls.pop()()
        self.assertEqual((self.counters["trace_errors"], self.counters["trace_dropped"]), (1, 2))

    def test_an_invalid_trace_is_reported_with_file_and_line(self) -> None:
        for text, location in (("{", "trace.jsonl"), ("[]", ":1"), ('{"name": "session"}', ":1"),
                            ('\n{"name": "server", "attributes": {}, "start_time": "noon"}', ":2")):
            self.path.write_text(text)
            with self.assertRaises(TraceError) as caught:
                read_history(self.path)
            self.assertIn(location, str(caught.exception))
        with self.assertRaises(TraceError):
            read_history(self.path.with_name("nowhere"))
        self.path.write_text("")
        fleet = self.path.with_name("fleet.jsonl")
        for row in ('{"at": 1, "server": "s"}', '{"at": "x", "server": "s", "state": "draining"}',
                    '{"at": 1, "server": "s", "state": "asleep"}',
                    '{"at": -1, "server": "s", "state": "gone"}'):
            fleet.write_text(row)
            with self.assertRaises(TraceError) as caught:
                read_history(self.path, fleet)
            self.assertIn("fleet.jsonl:1", str(caught.exception))


class TracedNode(EdgeCase):
    def test_a_node_writes_its_requests_and_an_invalid_path_is_named(self) -> None:
        node = self.node(self.worker("s1"), edge='trace {\n file "spans.jsonl"\n}\n')
        for n in range(5):
            node.post(f"t{n}")
        path = self.folder / "spans.jsonl"
        eventually(lambda: sum('"verdict"' in line for line in path.read_text().splitlines()) == 5)
        self.assertGreaterEqual(node.counters()["trace_spans"], 10)
        self.assertEqual(node.terminate(), 0)
        rows = [json.loads(line) for line in path.read_text().splitlines()]
        names = Counter(row["name"] for row in rows)
        self.assertEqual((names["session"], names["dispatch"], names["settings"]), (5, 5, 1))
        parents = {row["context"]["span_id"] for row in rows if row["name"] == "session"}
        self.assertEqual({row["parent_id"] for row in rows if row["name"] == "dispatch"}, parents)
        refused = self.node(wait=False, edge='trace {\n file "no/such/folder/x"\n}\n')
        self.assertEqual(refused.process.wait(20), 2)
        self.assertIn("trace > file", refused.close())


class StatesOfAView(unittest.TestCase):
    """The limits of when a state applies."""

    def test_a_state_applies_from_the_time_it_is_listed(self) -> None:
        plan = build_plan(read_edge(ROOT / "deploy/edge.kdl"), None)
        history = play(World("full-search", event="drain", target="all", lag=200, arrivals=8), plan)
        view = View(history)
        listed_at = {s.server: s.at for s in history.listed_states if s.state is State.DRAINING}
        self.assertEqual(len(listed_at), 6)
        for server, at in listed_at.items():
            own = view.since(server, State.DRAINING, at, own=True)
            self.assertIsNone(view.since(server, State.DRAINING, at - timedelta(microseconds=1)))
            self.assertEqual(view.since(server, State.DRAINING, at + SECOND), at)
            assert own is not None
            self.assertEqual(at - own, timedelta(milliseconds=200))
            self.assertEqual(view.lag(server, at), timedelta(milliseconds=200))
            self.assertFalse(view.has_free_capacity(server, at))

    def test_silent_is_one_second_without_a_message(self) -> None:
        plan = build_plan(read_edge(ROOT / "deploy/edge.kdl"), None)
        history = play(World("full-search", event="silent", target="all", at=60, arrivals=6), plan)
        view, found = View(history), 0
        for life in history.session_records:
            for attempt in life.attempts:
                if attempt.started is None and attempt.ended is not None \
                        and attempt.ended - attempt.sent > SECOND:
                    found += 1
                    self.assertIsNone(view.since(
                        attempt.server, State.SILENT, attempt.sent + timedelta(milliseconds=1)))
                    self.assertIsNotNone(view.since(attempt.server, State.SILENT, attempt.sent + SECOND))
        self.assertGreater(found, 0)
