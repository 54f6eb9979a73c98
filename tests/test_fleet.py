"""What all nodes of a large fleet do at once: several modules in virtual time, sharing nothing."""

from __future__ import annotations

import unittest
from collections import Counter

from arrowfold import Dispatcher
from arrowfold import interface as api
from arrowfold.state import Request, Token
from tests.field import MS, SECOND, roster, sends, settings

SLOTS = 5.0


def fleet(nodes: int, servers: int, **changes: object) -> list[Dispatcher]:
    """Nodes that have their list and nothing else."""
    conf = settings(zone="a", fleet_size=nodes, **changes)
    made = [Dispatcher(conf, seed) for seed in range(nodes)]
    for node in made:
        node.handle(0, [api.RosterUpdate(api.RosterMode.COMPLETE, roster(servers, zones="a"))])
    return made


def hear(node: Dispatcher, now: int, held: dict[str, float]) -> None:
    """Tell a node how many slots are taken at each server."""
    for name in list(node.workers):
        taken = held.get(name, 0.0)
        node.handle(now, [api.ProbeEnded(
            name, api.Status.OK, MS, api.LoadReport(free_slots=SLOTS - taken, held=taken))])


class PopularKey(unittest.TestCase):
    def sent(self, nodes: int) -> Counter[str]:
        """Where a first job of each node for one key goes, once its first home is reported full."""
        taken: Counter[str] = Counter()
        members = fleet(nodes, 12)
        for node in members:
            table = node.tables["safe"]
            for worker in node.workers.values():  # as later: each holds some of every class
                table.tokens.append(Token(table, worker))
                worker.tokens.append(table.tokens[-1])
            hear(node, SECOND, {})  # the size of every server is known
        home = members[0]._homes_of(_request(members[0]))[0].name
        for step in range(1, 7):  # what is believed of a server follows a few reports
            for node in members:
                hear(node, (1 + step) * SECOND, {home: 1.5 * SLOTS + step / 10})
        for number, node in enumerate(members):
            actions = node.handle(7 * SECOND + 1, [api.Arrival(
                f"job{number}", "safe", 11 * SECOND, key="popular")])
            taken.update(send.worker for send in sends(actions))
        self.assertEqual(sum(taken.values()), nodes)
        self.home = home
        return taken

    def test_a_large_fleet_sends_no_more_to_a_home_that_is_reported_full(self) -> None:
        taken = self.sent(40)
        self.assertEqual(taken[self.home], 0)

    def test_a_small_fleet_goes_by_its_own_jobs_there(self) -> None:
        self.assertEqual(self.sent(3)[self.home], 3)


def _request(node: Dispatcher) -> Request:
    return Request(api.Arrival("probe", "safe", SECOND, key="popular"), node.tables["safe"], 0)
