"""Chooses the worker for each request of an edge: the holder of a drawn token, with stated exceptions.

docs/selection.md states the exceptions and their conditions.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from arrowfold.internal.messages import ClassDemand, WorkerRecord
from arrowfold.market.tokens import SECOND
from arrowfold.selection.admission import Admission, Shortage
from arrowfold.selection.class_market import ClassMarket, ClassTable, RequestClass
from arrowfold.selection.engine_worker import SILENT, EngineWorker, InFlight
from arrowfold.selection.estimates import MovingMean
from arrowfold.selection.first_events import FirstEventEstimate
from arrowfold.selection.interface import (
    Choice,
    ChosenWorker,
    EngineFacts,
    Outcome,
    RefusedRequest,
    RequestProfile,
)
from arrowfold.selection.options import SelectionOptions
from arrowfold.selection.prompt_parts import home_key, rendezvous

MISSING_AGAIN_S = 0.5  # a request that still waits is counted as missing again: its owner may have changed
MOST_PAUSE = 2.0  # a longer pause counts as so many objectives
MOST_WAITING = 4096  # requests remembered as counted while they wait
FAILURES = frozenset({Outcome.FAILED, Outcome.UNREACHABLE, Outcome.LOST})  # that other edges are told of
LATE_STRIKE = 0.5  # for a first event that is overdue by its whole objective
STRIKES = {
    Outcome.FAILED: 1.0,
    Outcome.UNREACHABLE: 1.0,
    Outcome.NO_CONNECTION_FREE: 1.0,
    Outcome.LOST: 1.0,
    Outcome.REJECTED_FULL: 0.5,
}


@dataclass(slots=True)
class Candidate:
    """A worker under consideration. `score`: its price and the predicted part of the objective, blurred."""

    worker: EngineWorker
    prefill_tokens: float
    predicted_s: float
    score: float


@dataclass(slots=True)
class SeenDemand:
    """What was asked of one class since the last report to the owner of the placement."""

    requests: float = 0.0
    missing: float = 0.0
    _priorities: float = 0.0
    _noted: int = 0

    def note_priority(self, priority: int) -> None:
        """The rank of one request's route."""
        self._priorities += priority
        self._noted += 1

    def priority(self) -> float:
        """The mean rank."""
        return self._priorities / max(1, self._noted)


class MarketSelector:
    """Implements `WorkerSelector` by the token market (docs/selection.md)."""

    def __init__(self, zone: str, seed: int, options: SelectionOptions | None = None) -> None:
        self.options = options or SelectionOptions()
        self.counters: Counter[str] = Counter()  # of decisions, for logs and tests
        self._zone = zone
        self._draw = random.Random(seed)
        self._edges = 1
        self._next_round_s = 0.0
        self._workers: dict[str, EngineWorker] = {}
        self._silent: list[EngineWorker] = []
        self._facts: dict[str, EngineFacts] = {}
        self.market = ClassMarket(self.options, self._draw)
        self.first_events = FirstEventEstimate(self.options)
        self.admission = Admission(self.options, self._draw)
        self._pauses: dict[str, MovingMean] = {}  # by service: of all its workers
        self._demand: dict[RequestClass, SeenDemand] = {}
        self._failing: dict[str, None] = {}  # workers at which requests failed, since the last report
        self._expected_prefill: dict[str, float] = {}  # of requests that were chosen for and not sent yet
        self._counted: dict[str, float] = {}  # requests that wait, and when they were last counted as missing

    # --- what the edge tells ------------------------------------------------------------------------------

    def apply_workers(self, workers: tuple[WorkerRecord, ...], now_s: float) -> None:
        """Take the whole table of known workers; who holds what is indexed anew only where that changed."""
        self.market.set_time(now_s)
        changed: list[EngineWorker] = []
        known = self._workers
        self._workers = {}
        for record in workers:
            worker = known.pop(record.instance, None)
            if worker is None:
                worker = EngineWorker(record, record.zone == self._zone)
                self._apply_facts(worker)
                worker.take_arrivals(now_s)
                changed.append(worker)
            elif record is not worker.record and worker.take(record, now_s):
                changed.append(worker)
            self._workers[record.instance] = worker
        if changed or known:
            self._index(list(known.values()), changed)

    def _index(self, gone: list[EngineWorker], changed: list[EngineWorker]) -> None:
        workers = list(self._workers.values())
        self.market.set_workers(workers)
        self._silent = [worker for worker in workers if worker.record.state == SILENT]
        for worker in gone:
            self.market.leave(worker)
        self.market.rehouse(gone + changed)
        for request_class in self.admission.missing_classes():
            if self.market.holders(request_class):
                self.admission.found(request_class, self.market.now_s)

    def apply_edges(self, edges: int) -> None:
        """Take how many edge nodes share the workers: of many each needs fewer tokens for its part."""
        self._edges = max(1, edges)
        options = self.options
        tokens = options.tokens_per_worker * options.usual_edges // self._edges
        least = options.fewest_tokens_per_worker
        self.market.tokens_per_worker = max(least, min(options.tokens_per_worker, tokens))

    def apply_engines(self, facts: tuple[EngineFacts, ...]) -> None:
        """Take what the configuration tells of the services' engines."""
        self._facts = {fact.service: fact for fact in facts}
        for worker in self._workers.values():
            self._apply_facts(worker)

    def _apply_facts(self, worker: EngineWorker) -> None:
        facts = self._facts.get(worker.record.service)
        if facts is not None and facts.kv_cache_tokens > 0:
            worker.set_kv_tokens(facts.kv_cache_tokens)

    def load_reported(self, instance: str, running: int, waiting: int, slots: int, now_s: float) -> None:
        """An answer carried X-Server-Load."""
        worker = self._workers.get(instance)
        if worker is not None:
            self.market.set_time(now_s)
            self.market.take_report(worker, running, waiting, slots)

    def sent(self, request: RequestProfile, instance: str, now_s: float) -> None:
        """The request is on its way to this worker."""
        self._counted.pop(request.request, None)
        worker = self._workers.get(instance)
        if worker is None:
            return
        seconds_per_token = self.first_events.seconds_per_token(request.service, request.model)
        prefill_tokens = self._expected_prefill.pop(request.request, None)
        if prefill_tokens is None:
            prefill_tokens = self.first_events.prefill_tokens(worker, request, None)
        backlog_tokens = worker.backlog_tokens(now_s, seconds_per_token)
        self.first_events.sent(request.service, prefill_tokens)
        expected_s = self.first_events.alone_s(request, prefill_tokens + backlog_tokens)
        worker.in_flight[request.request] = InFlight(
            request, now_s, prefill_tokens, backlog_tokens, expected_s
        )
        worker.kept.add(request)

    def first_event(self, request: RequestProfile, instance: str, now_s: float) -> None:
        """The first bytes of the body came."""
        worker = self._workers.get(instance)
        flight = worker.in_flight.get(request.request) if worker is not None else None
        if worker is not None and flight is not None and flight.first_event_s is None:
            flight.first_event_s = now_s
            self.first_events.first_event(worker, flight, now_s)

    def stream_passed(self, request: RequestProfile, instance: str, longest_pause_s: float) -> None:
        """A whole stream was passed on: learn how long its worker pauses."""
        worker = self._workers.get(instance)
        if worker is None or request.pause_objective_s <= 0:
            return
        part = min(MOST_PAUSE, longest_pause_s / request.pause_objective_s)
        usual = self._pauses.setdefault(request.service, MovingMean())
        usual.add(part)
        worker.pauses.add(part, usual.get(part))

    def ended(self, request: RequestProfile, instance: str, outcome: Outcome, now_s: float) -> None:
        """The send has ended: the worker's load falls, and what it tells of the worker is learned."""
        self.market.set_time(now_s)
        self.counters[outcome.value] += 1
        worker = self._workers.get(instance)
        if worker is None:
            return
        flight = worker.in_flight.pop(request.request, None)
        if outcome in STRIKES and self.options.strikes:
            worker.strike(now_s, self.options.strike_half_life_s, STRIKES[outcome])
        if outcome in FAILURES:
            self._failing[instance] = None
        if outcome is Outcome.UNREACHABLE and self.options.unreachable_s > 0:
            worker.note_unreachable(now_s + self.options.unreachable_s)
        if outcome is Outcome.MISDIRECTED:
            worker.misdirected[request.model, request.adapter] = now_s
            self.market.forget_holders(class_of(request))
        if outcome is Outcome.SUCCEEDED and flight is not None:
            self.market.table(class_of(request)).measure(now_s - flight.sent_s)
            self.first_events.ended(request.service, now_s - flight.sent_s)

    def market_round(self, now_s: float) -> None:
        """One round of the market, in a large fleet not at each call; late ones strike their worker."""
        self.market.set_time(now_s)
        for worker in self._workers.values():
            for flight in worker.in_flight.values():
                limit_s = 2 * flight.request.latency_objective_s
                if flight.first_event_s is None and not flight.overdue and now_s - flight.sent_s > limit_s:
                    flight.overdue = True
                    self._strike_late(worker, now_s)
        if now_s >= self._next_round_s:
            self._next_round_s = now_s + self._round_pause_s()
            self.market.round()

    def _strike_late(self, worker: EngineWorker, now_s: float) -> None:
        if self.options.strikes:
            worker.strike(now_s, self.options.strike_half_life_s, LATE_STRIKE)

    def _round_pause_s(self) -> float:
        """At least this long from one round of trades to the next: of many edges each sees little change."""
        longest_s = self.options.longest_round_s
        return min(longest_s, max(0, self._edges - self.options.usual_edges) * self.options.round_s_an_edge)

    def take_demand(self, now_s: float) -> tuple[ClassDemand, ...]:
        """Demand by class since the last call: requests, R_i x C_i, and requests that found no holder."""
        demand, self._demand = self._demand, {}
        return tuple(
            ClassDemand(
                *request_class,
                seen.requests,
                seen.requests * self._run_s(request_class),
                seen.missing,
                seen.priority(),
            )
            for request_class, seen in demand.items()
        )

    def take_failing(self) -> tuple[str, ...]:
        """The workers at which requests failed since the last call."""
        found, self._failing = self._failing, {}
        return tuple(found)

    def _run_s(self, request_class: RequestClass) -> float:
        table = self.market.tables.get(request_class)
        if table is not None and table.seen:
            return table.run_us / SECOND
        return self.first_events.run_s(request_class.service)

    # --- choice -------------------------------------------------------------------------------------------

    def choose(self, request: RequestProfile, excluded: Collection[str], now_s: float) -> Choice:
        """Where to send a request now."""
        self.market.set_time(now_s)
        request_class = class_of(request)
        table = self.market.table(request_class)
        first_time = not excluded and request.request not in self._counted
        if first_time:
            table.count(request, now_s)
            seen = self._demand.setdefault(request_class, SeenDemand())
            seen.requests += 1
            seen.note_priority(request.priority)
            self.admission.note_arrival(request)
        holders = self.market.holders(request_class) or self._silent_holders(request_class)
        if not holders:
            return self._missing(request, request_class)
        if not any(worker.is_reachable(now_s) for worker in holders):
            return self._missing(request, request_class)
        self.admission.found(request_class, now_s)
        fit = [w for w in holders if w.instance not in excluded and w.is_reachable(now_s)]
        if not fit:
            self.counters["refused_tried_all"] += 1
            return self.admission.refuse_tried(request, now_s)
        return self._choose_among(request, table, fit, excluded)

    def _silent_holders(self, request_class: RequestClass) -> list[EngineWorker]:
        service, model, adapter = request_class
        now_s = self.market.now_s
        return [
            w
            for w in self._silent
            if w.record.service == service and w.holds(model, adapter, now_s, self.options.denied_s)
        ]

    def _missing(self, request: RequestProfile, request_class: RequestClass) -> Choice:
        counted_s = self._counted.get(request.request)
        if counted_s is None or self.market.now_s - counted_s > MISSING_AGAIN_S:
            seen = self._demand.setdefault(request_class, SeenDemand())
            seen.missing += 1
            seen.note_priority(request.priority)
            self._counted[request.request] = self.market.now_s
            if len(self._counted) > MOST_WAITING:
                del self._counted[next(iter(self._counted))]
        serving = [w for w in self._workers.values() if w.available and w.record.service == request.service]
        now_s = self.market.now_s
        shortage = Shortage(
            request_class,
            model_is_held=any(self.market.held_by(w, request.model, "") for w in serving),
            served=bool(serving),
            arrival_s=min(
                (a for w in serving if (a := w.arrival_s(request.model, request.adapter)) is not None),
                default=None,
            ),
            facts=self._facts.get(request.service),
            denied=any(w.denies(request.model, request.adapter) for w in serving),
        )
        if shortage.denied:
            self.market.forget_holders(request_class)
        choice = self.admission.missing(request, shortage, now_s)
        self.counters["refused_missing" if isinstance(choice, RefusedRequest) else "waits"] += 1
        return choice

    def _choose_among(
        self, request: RequestProfile, table: ClassTable, fit: list[EngineWorker], excluded: Collection[str]
    ) -> Choice:
        homes = self._homes(request, fit)
        token = self.market.draw_token(table, excluded) if self.options.token_draws else None
        pool = list(dict.fromkeys(homes + ([token.holder] if token is not None else []) + self._some(fit)))
        if not pool:
            pool = [self._draw.choice(fit)]
        candidates = {w.instance: self._candidate(request, table, w, homes) for w in pool}
        best = min(candidates.values(), key=lambda c: c.score)
        preferred = [*homes, token.holder] if token is not None else homes
        chosen = next(
            (c for w in preferred if self._will_do(request, c := candidates[w.instance], best)), best
        )
        if refusal := self.admission.refuse_late(request, fit, chosen.predicted_s, self.market):
            self.counters["refused_late"] += 1
            return refusal
        if token is not None and self.market.token_of(chosen.worker, table) is None:
            self.counters["traded"] += 1
            token.move(chosen.worker)
        self._expected_prefill[request.request] = chosen.prefill_tokens
        if len(self._expected_prefill) > MOST_WAITING:
            del self._expected_prefill[next(iter(self._expected_prefill))]
        self.counters["homes" if chosen.worker in homes else "drawn"] += 1
        mean_prefill = self.first_events.mean_prefill(request.service)
        priority = self.admission.priority_header(request, chosen.prefill_tokens, mean_prefill)
        address = chosen.worker.record.address
        return ChosenWorker(chosen.worker.instance, address, priority, chosen.predicted_s)

    def _homes(self, request: RequestProfile, fit: list[EngineWorker]) -> list[EngineWorker]:
        key = home_key(request)
        return rendezvous(key, fit, self.options.homes) if key is not None else []

    def _some(self, fit: list[EngineWorker]) -> list[EngineWorker]:
        options = self.options
        return fit if len(fit) <= options.small_pool else self._draw.sample(fit, options.compared)

    def _candidate(
        self, request: RequestProfile, table: ClassTable, worker: EngineWorker, homes: list[EngineWorker]
    ) -> Candidate:
        rank = homes.index(worker) if worker in homes else None
        prefill_tokens = self.first_events.prefill_tokens(worker, request, rank)
        others = self.market.others(worker)
        predicted_s = self.first_events.predict(worker, request, prefill_tokens, others, self.market.now_s)
        price = self.market.price(worker, table)
        if self._edges > 1 and rank is None:
            price += self.market.spread * self._draw.random()  # edges that heard the same don't herd
        score = self.options.load_weight * price
        score += self.options.predicted_weight * predicted_s / max(0.001, request.latency_objective_s)
        if request.pause_objective_s > 0:
            score += self.options.pause_weight * worker.pauses.get(self._usual_pause(request.service))
        return Candidate(worker, prefill_tokens, predicted_s, score)

    def _usual_pause(self, service: str) -> float:
        pauses = self._pauses.get(service)
        return pauses.get(0.0) if pauses is not None else 0.0

    def _will_do(self, request: RequestProfile, drawn: Candidate, best: Candidate) -> bool:
        """Whether a home or the drawn holder is kept although another is better."""
        left_s = request.arrived_s + request.latency_objective_s - self.market.now_s
        if drawn.predicted_s > self.options.in_time * left_s and best.predicted_s < drawn.predicted_s:
            return False
        full = drawn.worker.out + self.market.others(drawn.worker) >= drawn.worker.slots
        return not full and drawn.score <= best.score + self.options.follow_margin


def class_of(request: RequestProfile) -> RequestClass:
    """The class of a request."""
    return RequestClass(request.service, request.model, request.adapter)
