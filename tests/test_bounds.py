"""What the module keeps stays bounded, whatever it is told."""

from __future__ import annotations

import unittest

from arrowfold import interface as api
from arrowfold.choice import PARTNERS
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
            homes = dispatcher._homes_of(probe)
            if worker is homes[0] or worker not in homes[:PARTNERS]:
                keys.setdefault(worker is homes[0], f"k{n}")
        for home in (False, True):  # the stranger waits first
            field.arrive(f"waits-{home}", key=keys[home])
            while field.probes:
                name = field.probes.pop()
                field.feed(api.ProbeEnded(name, api.Status.OK, 500, api.LoadReport(free_slots=0)))
        self.assertEqual(len(field.sent), 1)
        field.finish("first", 0, api.Status.OK, api.LoadReport(free_slots=1))
        self.assertEqual([(s.request, s.worker) for s in field.sent[1:]], [("waits-True", worker.name)])

    def test_each_server_is_first_home_of_about_its_share_of_keys(self) -> None:
        """Guards against an uneven ring: with few places on it, chance decided the shares."""
        dispatcher = started(settings(), roster(9))
        counts = dict.fromkeys(dispatcher.workers, 0)
        for n in range(3000):
            request = Request(api.Arrival("x", "safe", SECOND, f"k{n}"), dispatcher.tables["safe"], 0)
            counts[dispatcher._homes_of(request)[0].name] += 1
        self.assertLess(max(counts.values()), 1.5 * 3000 / 9)
        self.assertGreater(min(counts.values()), 0.5 * 3000 / 9)
