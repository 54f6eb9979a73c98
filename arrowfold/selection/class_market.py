"""The token market of one edge: its classes are models and adapters of services, its holders workers."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple, cast

from arrowfold.market.tokens import SECOND, Token, TokenTable
from arrowfold.market.trading import TokenMarket
from arrowfold.selection.engine_worker import EngineWorker
from arrowfold.selection.interface import RequestProfile
from arrowfold.selection.options import SelectionOptions

INITIAL_RUN_US = SECOND  # mean run time (C_i in the thesis) of a class without a measured run
MEAN_WEIGHT = 0.03  # weight of a load report in the means over all workers, and of a run in a class's mean
KV_NEED_WEIGHT = 0.05  # weight of a request in a class's mean need of KV tokens
MAX_SAMPLED_LOAD = 2.0  # a worker's load counts as at most this in the mean over all workers
SAMPLE_LIMIT = 8  # tokens drawn for a request, and classes and workers sampled in a token-trading round


class RequestClass(NamedTuple):
    """A model or an adapter of a service; a service without models is one class."""

    service: str
    model: str
    adapter: str


class ClassTable(TokenTable[EngineWorker]):
    """The tokens and measurements of one class. `memory`: its mean need of KV memory, in tokens."""

    __slots__ = ("last_request_s", "request_class")

    def __init__(self, request_class: RequestClass, memory_us: int) -> None:
        super().__init__(INITIAL_RUN_US, memory_us)
        self.request_class = request_class
        self.last_request_s = 0.0

    def count_request(self, request: RequestProfile, now_s: float) -> None:
        """Counts a request in the class's arrival rate and mean need of KV memory."""
        self.last_request_s = now_s
        self.rate.record_event(int(now_s * SECOND))
        self.memory += KV_NEED_WEIGHT * (request.prompt_tokens + request.output_tokens - self.memory)

    def record_run(self, run_s: float) -> None:
        """Updates the mean run time (C_i in the thesis), from sending an attempt to its successful end."""
        self.seen += 1
        self.run_us += max(MEAN_WEIGHT, 1 / self.seen) * (run_s * SECOND - self.run_us)


class ClassMarket(TokenMarket[EngineWorker, ClassTable]):
    """Loads and prices over two resources: slots (0) and KV memory (1)."""

    def __init__(self, options: SelectionOptions, rng: random.Random) -> None:
        self.options = options
        self.tokens_per_worker = options.tokens_per_worker
        self.trade_threshold = options.trade_threshold
        self.random = rng
        self.now = 0
        self.now_s = 0.0
        self.mean = [0.1, 0.1]
        self.spread = 0.1
        self.worker_count = 0
        self.tables = {}
        self.mean_other_load = 0.0  # mean load of a worker by requests of other edges, relative to its slots
        self.mean_failure_penalty = 0.0
        self._misplaced_holders: list[EngineWorker] = []  # with tokens that no available worker could take
        self._workers: dict[str, list[EngineWorker]] = {}
        self._holders: dict[RequestClass, list[EngineWorker]] = {}

    def set_time(self, now_s: float) -> None:
        """Sets the time of the next operations, in seconds of a monotonic clock."""
        self.now_s, self.now = now_s, int(now_s * SECOND)

    def set_workers(self, workers: Iterable[EngineWorker]) -> None:
        """Replaces the workers; indexes the available ones by service and clears the holders of classes."""
        self._workers, self._holders = {}, {}
        self.worker_count = 0
        for worker in workers:
            if worker.is_available:
                self._workers.setdefault(worker.record.service, []).append(worker)
                self.worker_count += 1

    def reassign_tokens(self, workers: Iterable[EngineWorker]) -> None:
        """Moves tokens whose holder may no longer hold them to the worker with the lowest price.

        Covers the tokens of `workers`, whose records changed, and those that could not be moved earlier. A
        token stays where it is if no worker may hold it.
        """
        changed = dict.fromkeys([*workers, *self._misplaced_holders])
        misplaced = [
            token for worker in changed for token in worker.tokens if not self._has_valid_holder(token)
        ]
        self._reassign(misplaced)
        unmoved = (token.holder for token in misplaced if not self._has_valid_holder(token))
        self._misplaced_holders = list(dict.fromkeys(unmoved))

    def _has_valid_holder(self, token: Token[EngineWorker]) -> bool:
        """Whether requests of the token's class may be sent to its holder."""
        return token.holder.is_available and self._may_hold(token.holder, cast(ClassTable, token.table))

    def remove_worker(self, worker: EngineWorker) -> None:
        """Moves the tokens of a removed worker; recalls those of classes without another holder."""
        self.reassign_tokens([worker])
        for token in list(worker.tokens):
            token.recall()
        self._misplaced_holders = [other for other in self._misplaced_holders if other is not worker]

    def table(self, request_class: RequestClass) -> ClassTable:
        """Returns the table of a class, created empty on first use."""
        table = self.tables.get(request_class)
        if table is None:
            memory_us = int(self.options.rate_memory_s * SECOND)
            table = self.tables[request_class] = ClassTable(request_class, memory_us)
        return table

    def holders(self, request_class: RequestClass) -> list[EngineWorker]:
        """Returns the available workers that hold a class."""
        holders = self._holders.get(request_class)
        if holders is None:
            _, model, adapter = request_class
            serving = self._workers.get(request_class.service, [])
            holders = [w for w in serving if self.is_held_by(w, model, adapter)]
            self._holders[request_class] = holders
        return holders

    def is_held_by(self, worker: EngineWorker, model: str, adapter: str) -> bool:
        """Whether a worker holds a model and adapter, and sent no 421 for them lately."""
        return worker.holds(model, adapter, self.now_s, self.options.denied_s)

    def invalidate_holders(self, request_class: RequestClass) -> None:
        """Discards the indexed holders of a class, after a worker answered 421 for it."""
        self._holders.pop(request_class, None)

    def find_token(self, worker: EngineWorker, table: ClassTable) -> Token[EngineWorker] | None:
        """Returns a token of the class that the worker holds, if any."""
        return next((token for token in worker.tokens if token.table is table), None)

    def draw_token(self, table: ClassTable, excluded: Iterable[str]) -> Token[EngineWorker] | None:
        """Draws a random token of the class whose holder is available and not excluded.

        A class without tokens is granted its first one. Returns None if SAMPLE_LIMIT draws find no token.
        """
        if not table.tokens and not self._grant(table):
            return None
        excluded = set(excluded)
        for _ in range(SAMPLE_LIMIT):
            token = self.random.choice(table.tokens)
            holder = token.holder
            if holder.instance not in excluded and holder.is_available and self._may_hold(holder, table):
                return token
        return None

    def run_round(self) -> None:
        """Runs one token-trading round: recounts the tokens, then trades among a few sampled workers."""
        self._remove_idle_classes()
        workers = [w for serving in self._workers.values() for w in serving]
        self.mean_failure_penalty = sum(self._failure_penalty(worker) for worker in workers) / max(
            1, len(workers)
        )
        self._recount()
        for service, serving in self._workers.items():
            tables = [t for t in self.tables.values() if t.request_class.service == service and t.tokens]
            holders = [self.random.choice(t.tokens).holder for t in tables[:SAMPLE_LIMIT]]
            sampled = holders + [w for t in tables[:1] for w in self._sample(t, SAMPLE_LIMIT)]
            if len(serving) > 1 and self.options.trades:
                self._trade(list(dict.fromkeys(w for w in sampled if w.is_available)))

    def _remove_idle_classes(self) -> None:
        limit_s = self.now_s - self.options.idle_class_s
        for request_class in [c for c, t in self.tables.items() if t.last_request_s < limit_s]:
            for token in list(self.tables[request_class].tokens):
                token.recall()
            del self.tables[request_class]

    def expected_other_requests(self, worker: EngineWorker) -> float:
        """Returns the expected number of other edges' requests at a worker.

        Starts at the last load report and decays to the mean over all workers.
        """
        mean_requests = self.mean_other_load * worker.slots
        if worker.last_report_s is None:
            return mean_requests
        decay = 2 ** (-(self.now_s - worker.last_report_s) / self.options.others_half_life_s)
        return float(mean_requests + (worker.other_requests - mean_requests) * decay)

    def apply_load_report(self, worker: EngineWorker, running: int, waiting: int, slots: int) -> None:
        """Applies a worker's load report; this edge's own attempts are known and subtracted."""
        worker.slots = max(1, slots)
        worker.other_requests = max(0.0, running + waiting - worker.in_flight_count)
        worker.other_waiting_requests = max(0.0, waiting - worker.unstarted_count())
        worker.last_report_s = self.now_s
        self.mean_other_load += MEAN_WEIGHT * (worker.other_requests / worker.slots - self.mean_other_load)
        deviation = 0.0
        for k in range(len(self.mean)):
            deviation = min(MAX_SAMPLED_LOAD, self._load(worker, k)) - self.mean[k]
            self.mean[k] += MEAN_WEIGHT * deviation
            self.spread += MEAN_WEIGHT * (abs(deviation) - self.spread) / len(self.mean)

    def price(self, worker: EngineWorker, table: ClassTable) -> float:
        """Returns the price of the class at this worker (C_j(w) in the thesis)."""
        return self._cost(worker, table)

    def _load(self, worker: EngineWorker, k: int) -> float:
        other_requests = self.expected_other_requests(worker)
        if k == 0:
            load = (worker.in_flight_count + other_requests) / worker.slots
        else:
            tokens_per_request = (
                worker.own_kv_tokens() / worker.in_flight_count
                if worker.in_flight_count
                else worker.kv_capacity_tokens / worker.slots
            )
            load = (worker.own_kv_tokens() + other_requests * tokens_per_request) / worker.kv_capacity_tokens
        failure_penalty = self._failure_penalty(worker)
        # Only the excess over the mean counts: if all workers fail, none of them is avoided.
        return load + max(0.0, failure_penalty - self.mean_failure_penalty)

    def _failure_penalty(self, worker: EngineWorker) -> float:
        """The penalty for failures that this edge saw, and for those that several edges reported."""
        failure_penalty = worker.failure_penalty(self.now_s, self.options.strike_half_life_s)
        return failure_penalty + (self.options.trouble_load if worker.record.troubled else 0.0)

    def _size(self, worker: EngineWorker) -> list[float]:
        return [float(worker.slots), worker.kv_capacity_tokens]

    def _cost(self, worker: EngineWorker, table: ClassTable) -> float:
        slots, memory = table.slots / worker.slots, table.memory / worker.kv_capacity_tokens
        load = (slots * self._load(worker, 0) + memory * self._load(worker, 1)) / (slots + memory)
        return load if worker.is_local else load + self.options.cross_zone_toll

    def _sample(self, table: ClassTable, count: int) -> list[EngineWorker]:
        holders = self.holders(table.request_class)
        return self.random.sample(holders, min(count, len(holders)))

    def _may_hold(self, worker: EngineWorker, table: ClassTable) -> bool:
        service, model, adapter = table.request_class
        return worker.record.service == service and worker.holds(
            model, adapter, self.now_s, self.options.denied_s
        )

    def _may_receive(self, worker: EngineWorker) -> bool:
        return worker.is_available and worker.record.cold_left_ms <= 0
