"""What the module keeps stays bounded, whatever it is told."""

from __future__ import annotations

import unittest

from arrowfold import interface as api
from arrowfold.choice import CANDIDATES
from arrowfold.state import Request
from tests.field import SECOND, Recorder, roster, sends, settings, started


class Bounds(unittest.TestCase):
    def test_servers_that_never_come_back_are_forgotten_and_the_others_serve_on(self) -> None:
        """Guards the memory: Faktory workers come under ever new names, and each once stayed known."""
        dispatcher = started(settings(), roster(2))
        for n in range(1000):
            for state in (api.Lifecycle.IN_SERVICE, api.Lifecycle.TERMINATED):
                entry = api.RosterEntry(f"once{n}", "a", "std", lifecycle=state)
                dispatcher.handle(n, [api.RosterUpdate(api.RosterMode.PARTIAL, (entry,))])
        self.assertLess(len(dispatcher.workers), 200)
        (sent,) = sends(dispatcher.handle(2000, [api.Arrival("r", "safe", 5 * SECOND)]))
        self.assertIn(sent.worker, ("w0", "w1"))


class Load(unittest.TestCase):
    def test_a_report_told_again_does_not_hide_what_was_sent_since(self) -> None:
        """Guards against herds: each answer repeats one old report, and once reset what had been sent."""
        field = Recorder(settings(), roster(1, zones="a"))
        (worker,) = field.dispatcher.workers.values()
        same = api.LoadReport(free_slots=6, held=0)
        field.feed(api.ProbeEnded(worker.name, api.Status.OK, 500, same))
        for n in range(5):
            field.arrive(f"r{n}")
        field.finish("r0", 0, api.Status.OK, same)
        field.finish("r1", 0, api.Status.OK, same)
        self.assertGreaterEqual(field.dispatcher._load(worker, 0), 3 / 6)
        # What others have there is what it holds beyond our own, those that wait there counted in.
        for n in range(40):
            field.advance(field.now + SECOND // 2)
            field.feed(api.ProbeEnded(worker.name, api.Status.OK, 500, api.LoadReport(0, held=9 + n % 2)))
        self.assertAlmostEqual(worker.others_used[0], 6.5, delta=1)


    def test_a_newcomer_soon_knows_how_large_servers_are(self) -> None:
        """Guards the time after a start: who was only seen busy counted as a fraction of its size."""
        field = Recorder(settings(may_probe=True), roster(3, zones="a"))
        one, two, _ = field.dispatcher.workers.values()
        field.feed(api.ProbeEnded(one.name, api.Status.OK, 500, api.LoadReport(free_slots=2.02, held=3.1)))
        field.feed(api.ProbeEnded(two.name, api.Status.OK, 500, api.LoadReport(free_slots=0, held=9)))
        sizes = [field.dispatcher._size(worker)[0] for worker in field.dispatcher.workers.values()]
        self.assertEqual(sizes, [5, 5, 5])


    def test_a_line_is_looked_at_in_time_however_long_jobs_run(self) -> None:
        """Guards work among long jobs: looks were an eighth of a run apart and more, beside free slots."""
        patient = (api.RequestClass("safe", 4 * SECOND, 5 * SECOND),)
        field = Recorder(settings(may_probe=True, classes=patient), roster(2, zones="a"))
        module = field.dispatcher
        module.mean_run_us, module.tables["safe"].run_us = 20.0 * SECOND, 1.0 * SECOND  # of all, of this
        full, free = api.LoadReport(free_slots=0, held=9), api.LoadReport(free_slots=5, held=4)

        def answer(report: api.LoadReport) -> None:
            while field.probes:
                field.feed(api.ProbeEnded(field.probes.pop(0), api.Status.OK, 500, report))

        for worker in list(module.workers):
            field.feed(api.ProbeEnded(worker, api.Status.OK, 500, full))
        field.arrive("first")  # a server is tried once, whatever it says, while nothing is out
        for nth in range(3):
            field.arrive(f"r{nth}")
            answer(full)
        waiting = sum(map(len, module.queues.values()))
        self.assertGreater(waiting, 0)
        begun, sent = field.now, len(field.sent)
        while len(field.sent) < sent + waiting and field.now < begun + 4 * SECOND:
            field.advance(field.now + SECOND // 20)
            answer(free)
        self.assertLess(field.now - begun, 3 * SECOND)

    def test_a_cold_servers_turn_pulls_a_job_that_waits(self) -> None:
        """Guards those who wait: its turn once passed unless one of them looked for room just then."""
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
        field.timers.clear()  # nothing ends, and nobody who waits looks by himself
        field.dispatcher.actions = []
        field.dispatcher._schedule_cold_turn(field.dispatcher.workers["w1"], SECOND / 5)
        for action in field.dispatcher.actions:
            field._check(action)
        field.advance(field.now + 2 * SECOND)
        self.assertIn("w1", [sent.worker for sent in field.sent])


class Keys(unittest.TestCase):
    def test_a_free_slot_pulls_the_waiting_job_whose_key_it_keeps(self) -> None:
        """Guards against fetches: pulled by worth alone, waiting jobs went where their shard was not kept."""
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
            homes = dispatcher._affinity_workers(probe)
            if worker is homes[0] or worker not in homes[:CANDIDATES]:
                keys.setdefault(worker is homes[0], f"k{n}")
        for n in range(9):  # others fill them all, and more wait there
            for name in dispatcher.workers:
                told = api.LoadReport(free_slots=0, held=20 + n)
                field.feed(api.ProbeEnded(name, api.Status.OK, 500, told))
        for home in (False, True):  # the stranger waits first
            field.arrive(f"waits-{home}", key=keys[home])
            while field.probes:
                name = field.probes.pop()
                full = api.LoadReport(free_slots=0, held=20)
                field.feed(api.ProbeEnded(name, api.Status.OK, 500, full))
        self.assertEqual(len(field.sent), 1)
        field.finish("first", 0, api.Status.OK, api.LoadReport(free_slots=1))
        self.assertEqual([(s.request, s.worker) for s in field.sent[1:]], [("waits-True", worker.name)])

    def test_every_dispatcher_sends_a_key_to_one_home_and_what_is_too_much_to_the_next(self) -> None:
        """Guards against fetches: drawn by chance alone, a key's jobs went to every server."""
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

    def test_a_request_that_was_turned_away_twice_waits_here(self) -> None:
        """Guards its last attempts: four were burnt within a round trip while every queue was full."""
        field = Recorder(settings(), roster(8, zones="a"))
        field.arrive("r", key="repo")
        for number in range(2):
            self.assertEqual(len(field.sent), number + 1)
            field.finish("r", number, api.Status.FULL)
        self.assertEqual(len(field.sent), 2)
        field.advance(field.now + SECOND)
        self.assertEqual(len(field.sent), 3, "and is sent again once slots have turned over")

    def test_each_server_is_first_home_of_about_its_share_of_keys(self) -> None:
        """Guards against an uneven ring: with few places on it, chance decided the shares."""
        dispatcher = started(settings(), roster(9))
        counts = dict.fromkeys(dispatcher.workers, 0)
        for n in range(3000):
            request = Request(api.Arrival("x", "safe", SECOND, f"k{n}"), dispatcher.tables["safe"], 0)
            counts[dispatcher._affinity_workers(request)[0].name] += 1
        self.assertLess(max(counts.values()), 1.5 * 3000 / 9)
        self.assertGreater(min(counts.values()), 0.5 * 3000 / 9)
