"""What the module keeps stays bounded, whatever it is told."""

from __future__ import annotations

import unittest

from arrowfold import interface as api
from tests.field import SECOND, roster, sends, settings, started


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
