"""The gate: what the core asks at a job's arrival, and tells of what the job used.

It turns jobs into costs: a request; worker time, by the class's mean run time and the job's slots until the
job has run; and an index fetch for a key that a server has not lately had from this node.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from datetime import timedelta

from arrowfold.networks import Networks
from arrowfold.quotas.accounts import Refusal, Ticket
from arrowfold.quotas.ledger import Ledger
from arrowfold.quotas.tree import UNIT, PathError, Resource, Tree, read_path

MICROSECOND = timedelta(microseconds=1)
STEP = 0.05  # how much one run moves its class's mean
KEYS_KEPT = 20_000  # pairs of server and key
FETCH = UNIT[Resource.FETCHES]
MOST_FETCHES = 1_000_000  # of one attempt; guards the sums against a server that says more than it can do


class Gate:
    """Quotas as the core sees them. `means` are the classes' run times to begin with."""

    def __init__(self, tree: Tree, nodes: int, means: Mapping[str, timedelta], now: timedelta) -> None:
        self.ledger = Ledger(tree, nodes, now // MICROSECOND)
        self.owners = Networks(tree.owners)
        self.means_us = {name: float(mean // MICROSECOND) for name, mean in means.items()}
        self._had: OrderedDict[tuple[str, str], None] = OrderedDict()

    def change(self, tree: Tree, nodes: int) -> None:
        """Another tree from now on; balances stay by path."""
        self.owners = Networks(tree.owners)
        self.ledger.change(tree, nodes)

    def check(self, account: str | None) -> str | None:
        """What is wrong with a tenant's path; None if nothing."""
        try:
            read_path(account)
        except PathError as error:
            return str(error)
        return None

    def admit(
            self, account: str | None, request_class: str, slots: float, key: str | None, now: timedelta,
            client: str | None = None, resent: bool = False,
    ) -> Ticket | Refusal:
        """Let a job in and charge it, or say what it lacks. PathError where the path is none.

        A job that names no tenant counts against the one whose network its client's address lies in.
        """
        run_us = self.means_us.get(request_class, 0.0)
        return self.ledger.admit(read_path(account or self.owners.find(client)), request_class, {
            Resource.REQUESTS: 1, Resource.WORKER_TIME: int(run_us * max(slots, 0.0)),
            Resource.FETCHES: FETCH if key is not None else 0}, now // MICROSECOND, resent)

    def fetches(self, server: str, key: str | None) -> int:
        """How many fetches sending a key to a server costs, by what this node has sent there lately."""
        if key is None:
            return 0
        pair = server, key
        known = pair in self._had
        self._had[pair] = None
        self._had.move_to_end(pair)
        if len(self._had) > KEYS_KEPT:
            self._had.popitem(last=False)
        return 0 if known else FETCH

    def said_fetches(self, count: float) -> int:
        """The same by the server's own word."""
        return int(min(count, MOST_FETCHES) * FETCH)

    def ran(self, request_class: str, span: timedelta) -> None:
        """A run of this class was served in so long."""
        span_us = span // MICROSECOND
        mean = self.means_us.setdefault(request_class, float(span_us))
        self.means_us[request_class] = mean + STEP * (span_us - mean)

    def settle(self, ticket: Ticket, worker_time: timedelta, fetches: int, now: timedelta) -> None:
        """All attempts of a job have ended: charge what they used, give back the rest."""
        self.ledger.settle(ticket, {
            Resource.REQUESTS: 1, Resource.WORKER_TIME: worker_time // MICROSECOND,
            Resource.FETCHES: fetches}, now // MICROSECOND)
