"""Bounds of a dispatcher's memory and load estimates; queues, cold turns and affinity workers."""

from __future__ import annotations

import unittest

from arrowfold import interface as api
from arrowfold.choice import CANDIDATES
from arrowfold.state import Request
from tests.field import SECOND, Recorder, roster, sends, settings, started


class Bounds(unittest.TestCase):
    def test_removed_workers_are_forgotten_and_others_still_serve(self) -> None:
        """Faktory workers register under ever new names, which filled the memory when none was forgotten."""
        dispatcher = started(settings(), roster(2))
        for n in range(1000):
            for state in (api.Lifecycle.IN_SERVICE, api.Lifecycle.TERMINATED):
                entry = api.RosterEntry(f"once{n}", "a", "std", lifecycle=state)
                dispatcher.handle(n, [api.RosterUpdate(api.RosterMode.PARTIAL, (entry,))])
        self.assertLess(len(dispatcher.workers), 200)
        (sent,) = sends(dispatcher.handle(2000, [api.Arrival("r", "safe", 5 * SECOND)]))
        self.assertIn(sent.worker, ("w0", "w1"))


class Load(unittest.TestCase):
    def test_a_repeated_report_does_not_hide_attempts_sent_since(self) -> None:
        """Answers repeat an old report; when each reset the load, all requests went to that worker."""
        field = Recorder(settings(), roster(1, zones="a"))
        (worker,) = field.dispatcher.workers.values()
        same = api.LoadReport(free_slots=6, held=0)
        field.feed(api.ProbeEnded(worker.name, api.Status.OK, 500, same))
        for n in range(5):
            field.arrive(f"r{n}")
        field.finish("r0", 0, api.Status.OK, same)
        field.finish("r1", 0, api.Status.OK, same)
        self.assertGreaterEqual(field.dispatcher._load(worker, 0), 3 / 6)
        # Others' share is what the worker holds beyond own requests, including those queued there.
        for n in range(40):
            field.advance(field.now + SECOND // 2)
            field.feed(api.ProbeEnded(worker.name, api.Status.OK, 500, api.LoadReport(0, held=9 + n % 2)))
        self.assertAlmostEqual(worker.others_used[0], 6.5, delta=1)


    def test_sizes_are_known_soon_after_a_start(self) -> None:
        """A worker that has only been seen busy must not count as a fraction of its size."""
        field = Recorder(settings(may_probe=True), roster(3, zones="a"))
        one, two, _ = field.dispatcher.workers.values()
        field.feed(api.ProbeEnded(one.name, api.Status.OK, 500, api.LoadReport(free_slots=2.02, held=3.1)))
        field.feed(api.ProbeEnded(two.name, api.Status.OK, 500, api.LoadReport(free_slots=0, held=9)))
        sizes = [field.dispatcher._size(worker)[0] for worker in field.dispatcher.workers.values()]
        self.assertEqual(sizes, [5, 5, 5])


    def test_a_queue_is_polled_in_time_however_long_requests_run(self) -> None:
        """With long requests, polls were an eighth of a run time apart or more, while slots were free."""
        patient = (api.RequestClass("safe", 4 * SECOND, 5 * SECOND),)
        field = Recorder(settings(may_probe=True, classes=patient), roster(2, zones="a"))
        dispatcher = field.dispatcher
        # Of all requests, and of this class.
        dispatcher.mean_run_us, dispatcher.tables["safe"].run_us = 20.0 * SECOND, 1.0 * SECOND
        full, free = api.LoadReport(free_slots=0, held=9), api.LoadReport(free_slots=5, held=4)

        def answer(report: api.LoadReport) -> None:
            while field.probes:
                field.feed(api.ProbeEnded(field.probes.pop(0), api.Status.OK, 500, report))

        for worker in list(dispatcher.workers):
            field.feed(api.ProbeEnded(worker, api.Status.OK, 500, full))
        field.arrive("first")  # with nothing in flight a worker is tried whatever it reports
        for nth in range(3):
            field.arrive(f"r{nth}")
            answer(full)
        waiting = sum(map(len, dispatcher.queues.values()))
        self.assertGreater(waiting, 0)
        begun, sent = field.now, len(field.sent)
        while len(field.sent) < sent + waiting and field.now < begun + 4 * SECOND:
            field.advance(field.now + SECOND // 20)
            answer(free)
        self.assertLess(field.now - begun, 3 * SECOND)

    def test_a_turn_at_a_cold_worker_serves_a_queued_request(self) -> None:
        """A turn was lost unless a queued request happened to search at that moment."""
        cold = settings(cold_us=9 * SECOND, cold_from=0.4, overload_factor=3.0, overload_for_us=SECOND)
        field = Recorder(cold, roster(1, zones="a"))
        for n in range(3):
            field.arrive(f"warm{n}")
            field.advance(field.now + SECOND // 5)
            field.finish(f"warm{n}", 0, api.Status.OK, api.LoadReport(free_slots=5, held=0))
        for n in range(30):
            field.arrive(f"r{n}")
        self.assertLess(len(field.sent), 20)
        entry = api.RosterEntry("w1", "a", "std", launched_us=field.now)
        field.feed(api.RosterUpdate(api.RosterMode.PARTIAL, (entry,)))
        field.timers.clear()  # no attempt ends, and no queued request searches
        field.dispatcher.actions = []
        field.dispatcher._schedule_cold_turn(field.dispatcher.workers["w1"], SECOND / 5)
        for action in field.dispatcher.actions:
            field._check(action)
        field.advance(field.now + 2 * SECOND)
        self.assertIn("w1", [sent.worker for sent in field.sent])


class Keys(unittest.TestCase):
    def test_a_freed_slot_serves_the_queued_request_with_affinity(self) -> None:
        """Chosen by value alone, queued requests went to workers that had to fetch their data first."""
        field = Recorder(settings(may_probe=True), roster(8, zones="a"))
        dispatcher = field.dispatcher
        field.arrive("first")
        while field.probes:
            field.feed(api.ProbeEnded(field.probes.pop(), api.Status.OK, 500, api.LoadReport(free_slots=1)))
        (sent,) = field.sent
        worker = dispatcher.workers[sent.worker]
        keys: dict[bool, str] = {}
        for n in range(200):
            probe = Request(api.Arrival("x", "safe", SECOND, f"k{n}"), dispatcher.tables["safe"], 0)
            affinity = dispatcher._affinity_workers(probe)
            if worker is affinity[0] or worker not in affinity[:CANDIDATES]:
                keys.setdefault(worker is affinity[0], f"k{n}")
        for n in range(9):  # other dispatchers fill all workers and their queues
            for name in dispatcher.workers:
                full = api.LoadReport(free_slots=0, held=20 + n)
                field.feed(api.ProbeEnded(name, api.Status.OK, 500, full))
        for is_affine in (False, True):  # the one without affinity is queued first
            field.arrive(f"waits-{is_affine}", key=keys[is_affine])
            while field.probes:
                name = field.probes.pop()
                full = api.LoadReport(free_slots=0, held=20)
                field.feed(api.ProbeEnded(name, api.Status.OK, 500, full))
        self.assertEqual(len(field.sent), 1)
        field.finish("first", 0, api.Status.OK, api.LoadReport(free_slots=1))
        self.assertEqual([(s.request, s.worker) for s in field.sent[1:]], [("waits-True", worker.name)])

    def test_every_dispatcher_sends_a_key_to_the_same_worker_and_its_excess_to_the_next(self) -> None:
        """With random draws alone, a key's requests went to every worker, and each fetched its data."""
        met: set[tuple[str, ...]] = set()
        for seed in range(4):
            field = Recorder(settings(), roster(8, zones="a"), seed=seed)
            field.advance(3 * SECOND)
            for n in range(12):
                field.arrive(f"warm{n}", key=f"other{n}")
            field.advance(field.now + 2 * SECOND)  # the market has granted tokens
            for request, number, _ in list(field.out()):
                field.finish(request, number, api.Status.OK, api.LoadReport(free_slots=5))
            field.sent.clear()
            for n in range(3):
                field.arrive(f"r{n}", key="repo")
            met.add(tuple(s.worker for s in field.sent))
        (workers,) = met
        self.assertEqual(workers[0], workers[1])
        self.assertNotEqual(workers[1], workers[2])

    def test_a_request_that_was_refused_twice_is_queued_here(self) -> None:
        """Four attempts were used up within a round trip while every worker's queue was full."""
        field = Recorder(settings(), roster(8, zones="a"))
        field.arrive("r", key="repo")
        for number in range(2):
            self.assertEqual(len(field.sent), number + 1)
            field.finish("r", number, api.Status.FULL)
        self.assertEqual(len(field.sent), 2)
        field.advance(field.now + SECOND)
        self.assertEqual(len(field.sent), 3, "and is sent again once slots have turned over")

    def test_each_worker_is_the_first_affinity_worker_of_about_its_share_of_keys(self) -> None:
        """With few points per worker on the ring, the shares were uneven."""
        dispatcher = started(settings(), roster(9))
        counts = dict.fromkeys(dispatcher.workers, 0)
        for n in range(3000):
            request = Request(api.Arrival("x", "safe", SECOND, f"k{n}"), dispatcher.tables["safe"], 0)
            counts[dispatcher._affinity_workers(request)[0].name] += 1
        self.assertLess(max(counts.values()), 1.5 * 3000 / 9)
        self.assertGreater(min(counts.values()), 0.5 * 3000 / 9)
