"""Interface of quotas to the core: admission at a job's arrival, and settlement of what it used.

It converts jobs to costs: one request; worker time, estimated by the class's mean run time and the job's
slots until the job has run; and an index fetch for a key that this node has not recently sent to the worker.
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
RUN_TIME_STEP = 0.05  # weight of one run in its class's moving average
MAX_RECENT_KEYS = 20_000  # pairs of worker and key
FETCH_COST = UNIT[Resource.FETCHES]
MAX_REPORTED_FETCHES = 1_000_000  # of one attempt; bounds the sums when impossible counts are reported


class Gate:
    """Quota checks of one node. `means` are the initial mean run times of the classes."""

    def __init__(self, tree: Tree, nodes: int, means: Mapping[str, timedelta], now: timedelta) -> None:
        self.ledger = Ledger(tree, nodes, now // MICROSECOND)
        self.tenants_by_network = Networks(tree.owners)
        self.mean_run_us = {name: float(mean // MICROSECOND) for name, mean in means.items()}
        self._recent_keys: OrderedDict[tuple[str, str], None] = OrderedDict()

    def replace_tree(self, tree: Tree, nodes: int) -> None:
        """Switch to another tree; balances are kept by path."""
        self.tenants_by_network = Networks(tree.owners)
        self.ledger.replace_tree(tree, nodes)

    def check(self, account: str | None) -> str | None:
        """Returns the fault of a tenant's path; None if it is valid."""
        try:
            read_path(account)
        except PathError as error:
            return str(error)
        return None

    def admit(
            self, account: str | None, request_class: str, slots: float, key: str | None, now: timedelta,
            client: str | None = None, resent: bool = False,
    ) -> Ticket | Refusal:
        """Admit a job and charge it, or refuse it. PathError if the tenant's path is invalid.

        A job without a tenant is charged to the tenant whose networks contain the client's address.
        """
        run_us = self.mean_run_us.get(request_class, 0.0)
        return self.ledger.admit(read_path(account or self.tenants_by_network.find(client)), request_class, {
            Resource.REQUESTS: 1, Resource.WORKER_TIME: int(run_us * max(slots, 0.0)),
            Resource.FETCHES: FETCH_COST if key is not None else 0}, now // MICROSECOND, resent)

    def fetches(self, worker: str, key: str | None) -> int:
        """Returns the cost in fetches of sending a key to a worker, by the keys recently sent to it."""
        if key is None:
            return 0
        pair = worker, key
        known = pair in self._recent_keys
        self._recent_keys[pair] = None
        self._recent_keys.move_to_end(pair)
        if len(self._recent_keys) > MAX_RECENT_KEYS:
            self._recent_keys.popitem(last=False)
        return 0 if known else FETCH_COST

    def reported_fetches(self, count: float) -> int:
        """Returns the cost of the number of fetches that a worker has reported."""
        return int(min(count, MAX_REPORTED_FETCHES) * FETCH_COST)

    def record_run(self, request_class: str, span: timedelta) -> None:
        """Update the mean run time of a class by one run."""
        span_us = span // MICROSECOND
        mean = self.mean_run_us.setdefault(request_class, float(span_us))
        self.mean_run_us[request_class] = mean + RUN_TIME_STEP * (span_us - mean)

    def settle(self, ticket: Ticket, worker_time: timedelta, fetches: int, now: timedelta) -> None:
        """Settle a job whose attempts have all ended: charge what they used, refund the rest."""
        self.ledger.settle(ticket, {
            Resource.REQUESTS: 1, Resource.WORKER_TIME: worker_time // MICROSECOND,
            Resource.FETCHES: fetches}, now // MICROSECOND)
