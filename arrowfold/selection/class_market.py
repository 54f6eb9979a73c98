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

FIRST_RUN_US = SECOND  # C_i until one is measured
MEAN_STEP = 0.03  # weight of a report in the means over all workers
NEED_STEP = 0.05  # weight of a request in a class's mean needs
MOST_LOAD = 2.0  # of one worker in the mean of all
DRAWS = 8  # tokens drawn for a request at most


class RequestClass(NamedTuple):
    """A model or an adapter of a service; a service without models is one class."""

    service: str
    model: str
    adapter: str


class ClassTable(TokenTable[EngineWorker]):
    """The tokens of one class, and what is measured of it. `memory` is its mean need of KV tokens."""

    __slots__ = ("asked_s", "request_class")

    def __init__(self, request_class: RequestClass, memory_us: int) -> None:
        super().__init__(FIRST_RUN_US, memory_us)
        self.request_class = request_class
        self.asked_s = 0.0  # when it was last asked for

    def count(self, request: RequestProfile, now_s: float) -> None:
        """One request more."""
        self.asked_s = now_s
        self.rate.count(int(now_s * SECOND))
        self.memory += NEED_STEP * (request.prompt_tokens + request.output_tokens - self.memory)

    def measure(self, run_s: float) -> None:
        """C_i: the mean time from a send to its outcome."""
        self.seen += 1
        self.run_us += max(MEAN_STEP, 1 / self.seen) * (run_s * SECOND - self.run_us)


class ClassMarket(TokenMarket[EngineWorker, ClassTable]):
    """Loads and prices over two resources: slots (0) and KV memory (1)."""

    def __init__(self, options: SelectionOptions, draw: random.Random) -> None:
        self.options = options
        self.tokens_per_worker = options.tokens_per_worker
        self.trade_threshold = options.trade_threshold
        self.random = draw
        self.now = 0
        self.now_s = 0.0
        self.mean = [0.1, 0.1]
        self.spread = 0.1
        self.fleet = 0
        self.tables = {}
        self.mean_others = 0.0  # what other edges have at a worker, over its slots
        self.mean_strikes = 0.0
        self._stranded: list[EngineWorker] = []  # with tokens of classes that nobody holds
        self._workers: dict[str, list[EngineWorker]] = {}
        self._holders: dict[RequestClass, list[EngineWorker]] = {}

    def set_time(self, now_s: float) -> None:
        """The time of what is decided next."""
        self.now_s, self.now = now_s, int(now_s * SECOND)

    def set_workers(self, workers: Iterable[EngineWorker]) -> None:
        """Index the workers that may get requests, and move the tokens of those that leave."""
        self._workers, self._holders = {}, {}
        self.fleet = 0
        for worker in workers:
            if worker.available:
                self._workers.setdefault(worker.record.service, []).append(worker)
                self.fleet += 1

    def rehouse(self, workers: Iterable[EngineWorker]) -> None:
        """Tokens whose holder left, or lost their model, go to the lowest price; else they wait there.

        `workers` are those that changed; tokens that wait are tried again.
        """
        changed = dict.fromkeys([*workers, *self._stranded])
        misplaced = [token for worker in changed for token in worker.tokens if not self._is_placed(token)]
        self._rehouse(misplaced)
        waiting = (token.holder for token in misplaced if not self._is_placed(token))
        self._stranded = list(dict.fromkeys(waiting))

    def _is_placed(self, token: Token[EngineWorker]) -> bool:
        """Whether requests of its class may be sent to its holder."""
        return token.holder.available and self._may_hold(token.holder, cast(ClassTable, token.table))

    def leave(self, worker: EngineWorker) -> None:
        """A worker is gone: its tokens go to the lowest price, or out where nobody holds the class."""
        self.rehouse([worker])
        for token in list(worker.tokens):
            token.recall()
        self._stranded = [other for other in self._stranded if other is not worker]

    def table(self, request_class: RequestClass) -> ClassTable:
        """The class's table; one token while nothing is measured."""
        table = self.tables.get(request_class)
        if table is None:
            memory_us = int(self.options.rate_memory_s * SECOND)
            table = self.tables[request_class] = ClassTable(request_class, memory_us)
        return table

    def holders(self, request_class: RequestClass) -> list[EngineWorker]:
        """The available workers that hold the class."""
        holders = self._holders.get(request_class)
        if holders is None:
            _, model, adapter = request_class
            serving = self._workers.get(request_class.service, [])
            holders = [w for w in serving if self.held_by(w, model, adapter)]
            self._holders[request_class] = holders
        return holders

    def held_by(self, worker: EngineWorker, model: str, adapter: str) -> bool:
        """Whether a worker holds a class, and did not deny that lately."""
        return worker.holds(model, adapter, self.now_s, self.options.denied_s)

    def forget_holders(self, request_class: RequestClass) -> None:
        """A worker denied that it holds the class."""
        self._holders.pop(request_class, None)

    def token_of(self, worker: EngineWorker, table: ClassTable) -> Token[EngineWorker] | None:
        """A token of the class that the worker holds."""
        return next((token for token in worker.tokens if token.table is table), None)

    def draw_token(self, table: ClassTable, excluded: Iterable[str]) -> Token[EngineWorker] | None:
        """A token of the class by chance, not of an excluded holder; granted first if there is none."""
        if not table.tokens and not self._grant(table):
            return None
        excluded = set(excluded)
        for _ in range(DRAWS):
            token = self.random.choice(table.tokens)
            holder = token.holder
            if holder.instance not in excluded and holder.available and self._may_hold(holder, table):
                return token
        return None

    def round(self) -> None:
        """One round: recount the tokens, then trade among a few sampled workers."""
        self._forget_idle_classes()
        workers = [w for some in self._workers.values() for w in some]
        self.mean_strikes = sum(self._failures(worker) for worker in workers) / max(1, len(workers))
        self._recount()
        for service, serving in self._workers.items():
            tables = [t for t in self.tables.values() if t.request_class.service == service and t.tokens]
            holders = [self.random.choice(t.tokens).holder for t in tables[:DRAWS]]
            sampled = holders + [w for t in tables[:1] for w in self._sample(t, DRAWS)]
            if len(serving) > 1 and self.options.trades:
                self._trade(list(dict.fromkeys(w for w in sampled if w.available)))

    def _forget_idle_classes(self) -> None:
        limit_s = self.now_s - self.options.idle_class_s
        for request_class in [c for c, t in self.tables.items() if t.asked_s < limit_s]:
            for token in list(self.tables[request_class].tokens):
                token.recall()
            del self.tables[request_class]

    def others(self, worker: EngineWorker) -> float:
        """What other edges have there, in requests: by the last report, fading into the mean of all."""
        usual = self.mean_others * worker.slots
        if worker.heard_s is None:
            return usual
        part = 2 ** (-(self.now_s - worker.heard_s) / self.options.others_half_life_s)
        return float(usual + (worker.others - usual) * part)

    def take_report(self, worker: EngineWorker, running: int, waiting: int, slots: int) -> None:
        """A worker told its load; what this edge has there is known exactly and taken off."""
        worker.slots = max(1, slots)
        worker.others = max(0.0, running + waiting - worker.out)
        worker.waiting_others = max(0.0, waiting - worker.unstarted())
        worker.heard_s = self.now_s
        self.mean_others += MEAN_STEP * (worker.others / worker.slots - self.mean_others)
        away = 0.0
        for k in range(len(self.mean)):
            away = min(MOST_LOAD, self._load(worker, k)) - self.mean[k]
            self.mean[k] += MEAN_STEP * away
            self.spread += MEAN_STEP * (abs(away) - self.spread) / len(self.mean)

    def price(self, worker: EngineWorker, table: ClassTable) -> float:
        """C_j(w) of the class at this worker."""
        return self._cost(worker, table)

    def _load(self, worker: EngineWorker, k: int) -> float:
        others = self.others(worker)
        if k == 0:
            load = (worker.out + others) / worker.slots
        else:
            each = worker.own_tokens() / worker.out if worker.out else worker.kv_tokens / worker.slots
            load = (worker.own_tokens() + others * each) / worker.kv_tokens
        strikes = self._failures(worker)
        # Guards the work when all workers fail: who fails no more than the others is not left out.
        return load + max(0.0, strikes - self.mean_strikes)

    def _failures(self, worker: EngineWorker) -> float:
        """What failures add to its load: those that this edge saw, and those that several edges told of."""
        strikes = worker.strikes(self.now_s, self.options.strike_half_life_s)
        return strikes + (self.options.trouble_load if worker.record.troubled else 0.0)

    def _size(self, worker: EngineWorker) -> list[float]:
        return [float(worker.slots), worker.kv_tokens]

    def _cost(self, worker: EngineWorker, table: ClassTable) -> float:
        slots, memory = table.slots / worker.slots, table.memory / worker.kv_tokens
        load = (slots * self._load(worker, 0) + memory * self._load(worker, 1)) / (slots + memory)
        return load if worker.local else load + self.options.cross_zone_toll

    def _sample(self, table: ClassTable, count: int) -> list[EngineWorker]:
        holders = self.holders(table.request_class)
        return self.random.sample(holders, min(count, len(holders)))

    def _may_hold(self, worker: EngineWorker, table: ClassTable) -> bool:
        service, model, adapter = table.request_class
        return worker.record.service == service and worker.holds(
            model, adapter, self.now_s, self.options.denied_s
        )

    def _may_receive(self, worker: EngineWorker) -> bool:
        return worker.available and worker.record.cold_left_ms <= 0
