"""Chooses the worker for each request of an edge: normally the holder of a random token of its class.

A token is a share of a class's load that is assigned to a worker. docs/selection.md states the exceptions and
their conditions.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from arrowfold.internal.messages import ClassDemand, WorkerRecord
from arrowfold.market.tokens import SECOND
from arrowfold.selection.admission import Admission, MissingClass
from arrowfold.selection.class_market import INITIAL_RUN_US, ClassMarket, ClassTable, RequestClass
from arrowfold.selection.engine_worker import UNRESPONSIVE, EngineWorker, InFlightAttempt
from arrowfold.selection.estimates import MovingMean
from arrowfold.selection.first_events import FirstEventEstimator
from arrowfold.selection.interface import (
    Choice,
    ChosenWorker,
    EngineFacts,
    Outcome,
    RefusedRequest,
    RequestProfile,
)
from arrowfold.selection.options import SelectionOptions
from arrowfold.selection.prompt_parts import affinity_key, rendezvous

# A waiting request is counted as missing again after this time, since the placement owner may have changed.
MISSING_RECOUNT_S = 0.5
MAX_RELATIVE_PAUSE = 2.0  # a longer pause of a stream counts as this multiple of its objective
MAX_REMEMBERED_REQUESTS = 4096  # entries kept for requests that wait, and for those chosen but not sent yet
REPORTED_FAILURES = frozenset({Outcome.FAILED, Outcome.UNREACHABLE, Outcome.LOST})  # reported to other edges
FAILURE_PENALTIES = {
    Outcome.FAILED: 1.0,
    Outcome.UNREACHABLE: 1.0,
    Outcome.NO_CONNECTION_FREE: 1.0,
    Outcome.LOST: 1.0,
    Outcome.REJECTED_FULL: 0.5,
}


@dataclass(slots=True)
class Candidate:
    """A worker under consideration. `score`: weighted price, predicted time and pauses; lower is better."""

    worker: EngineWorker
    prefill_tokens: float
    predicted_s: float
    score: float


@dataclass(slots=True)
class DemandCounts:
    """The demand for one class since the last report to the placement owner."""

    requests: float = 0.0
    missing: float = 0.0
    _priority_sum: float = 0.0
    _priority_count: int = 0

    def add_priority(self, priority: int) -> None:
        """Adds the priority of one request's route."""
        self._priority_sum += priority
        self._priority_count += 1

    def mean_priority(self) -> float:
        """Returns the mean priority of the requests."""
        return self._priority_sum / max(1, self._priority_count)


class MarketSelector:
    """Implements `WorkerSelector` by the token market (docs/selection.md)."""

    def __init__(self, zone: str, seed: int, options: SelectionOptions | None = None) -> None:
        """Creates a selector for an edge in `zone`; `seed` determines all its random draws."""
        self.options = options or SelectionOptions()
        self.counters: Counter[str] = Counter()  # counts of decisions, for logs and tests
        self._zone = zone
        self._rng = random.Random(seed)
        self._edge_count = 1
        self._next_round_s = 0.0
        self._workers: dict[str, EngineWorker] = {}
        self._unresponsive: list[EngineWorker] = []
        self._engine_facts: dict[str, EngineFacts] = {}
        self.market = ClassMarket(self.options, self._rng)
        self.first_events = FirstEventEstimator(self.options)
        self.admission = Admission(self.options, self._rng)
        self._relative_pauses: dict[str, MovingMean] = {}  # mean over all workers, by service
        self._demand: dict[RequestClass, DemandCounts] = {}
        self._failed_workers: dict[str, None] = {}  # workers at which requests failed since the last report
        self._chosen_prefill_tokens: dict[str, float] = {}  # of requests with a chosen worker, not sent yet
        self._counted_missing_s: dict[str, float] = {}  # when a waiting request was last counted as missing

    # --- updates from the edge ----------------------------------------------------------------------------

    def apply_workers(self, workers: tuple[WorkerRecord, ...], now_s: float) -> None:
        """Replaces the table of known workers; updates the index only if holders or states changed."""
        self.market.set_time(now_s)
        changed: list[EngineWorker] = []
        known = self._workers
        self._workers = {}
        for record in workers:
            worker = known.pop(record.instance, None)
            if worker is None:
                worker = EngineWorker(record, record.zone == self._zone)
                self._apply_facts(worker)
                worker.update_loading(now_s)
                changed.append(worker)
            elif record is not worker.record and worker.update_record(record, now_s):
                changed.append(worker)
            self._workers[record.instance] = worker
        if changed or known:
            self._update_index(list(known.values()), changed)

    def _update_index(self, removed: list[EngineWorker], changed: list[EngineWorker]) -> None:
        workers = list(self._workers.values())
        self.market.set_workers(workers)
        self._unresponsive = [worker for worker in workers if worker.record.state == UNRESPONSIVE]
        for worker in removed:
            self.market.remove_worker(worker)
        self.market.reassign_tokens(removed + changed)
        for request_class in self.admission.missing_classes():
            if self.market.holders(request_class):
                self.admission.record_found(request_class, self.market.now_s)

    def apply_edges(self, edges: int) -> None:
        """Sets the number of edge nodes that share the workers; with many, each has fewer tokens."""
        self._edge_count = max(1, edges)
        options = self.options
        tokens = options.tokens_per_worker * options.usual_edges // self._edge_count
        min_tokens = options.fewest_tokens_per_worker
        self.market.tokens_per_worker = max(min_tokens, min(options.tokens_per_worker, tokens))

    def apply_engine_facts(self, facts: tuple[EngineFacts, ...]) -> None:
        """Applies the configured facts of the services' engines."""
        self._engine_facts = {fact.service: fact for fact in facts}
        for worker in self._workers.values():
            self._apply_facts(worker)

    def _apply_facts(self, worker: EngineWorker) -> None:
        facts = self._engine_facts.get(worker.record.service)
        if facts is not None and facts.kv_cache_tokens > 0:
            worker.set_kv_capacity(facts.kv_cache_tokens)

    def load_reported(self, instance: str, running: int, waiting: int, slots: int, now_s: float) -> None:
        """Applies a load report: an answer carried X-Server-Load."""
        worker = self._workers.get(instance)
        if worker is not None:
            self.market.set_time(now_s)
            self.market.apply_load_report(worker, running, waiting, slots)

    def sent(self, request: RequestProfile, instance: str, now_s: float) -> None:
        """Records that an attempt of the request is in flight to this worker."""
        self._counted_missing_s.pop(request.request, None)
        worker = self._workers.get(instance)
        if worker is None:
            return
        seconds_per_token = self.first_events.seconds_per_token(request.service, request.model)
        prefill_tokens = self._chosen_prefill_tokens.pop(request.request, None)
        if prefill_tokens is None:
            prefill_tokens = self.first_events.prefill_tokens(worker, request, None)
        backlog_tokens = worker.backlog_tokens(now_s, seconds_per_token)
        self.first_events.record_prefill(request.service, prefill_tokens)
        expected_s = self.first_events.predict_unshared_s(request, prefill_tokens + backlog_tokens)
        worker.in_flight[request.request] = InFlightAttempt(
            request, now_s, prefill_tokens, backlog_tokens, expected_s
        )
        worker.prompt_cache.add(request)

    def first_event(self, request: RequestProfile, instance: str, now_s: float) -> None:
        """Records that the first bytes of an attempt's body have arrived."""
        worker = self._workers.get(instance)
        attempt = worker.in_flight.get(request.request) if worker is not None else None
        if worker is not None and attempt is not None and attempt.first_event_s is None:
            attempt.first_event_s = now_s
            self.first_events.record_first_event(worker, attempt, now_s)

    def stream_forwarded(self, request: RequestProfile, instance: str, longest_pause_s: float) -> None:
        """Records the longest pause of a forwarded stream in the means of its worker and service."""
        worker = self._workers.get(instance)
        if worker is None or request.pause_objective_s <= 0:
            return
        relative_pause = min(MAX_RELATIVE_PAUSE, longest_pause_s / request.pause_objective_s)
        service_mean = self._relative_pauses.setdefault(request.service, MovingMean())
        service_mean.add(relative_pause)
        worker.relative_pauses.add(relative_pause, service_mean.get(relative_pause))

    def ended(self, request: RequestProfile, instance: str, outcome: Outcome, now_s: float) -> None:
        """Records the end of an attempt and updates the worker's state by its outcome."""
        self.market.set_time(now_s)
        self.counters[outcome.value] += 1
        worker = self._workers.get(instance)
        if worker is None:
            return
        attempt = worker.in_flight.pop(request.request, None)
        if outcome in FAILURE_PENALTIES and self.options.strikes:
            worker.add_failure_penalty(now_s, self.options.strike_half_life_s, FAILURE_PENALTIES[outcome])
        if outcome in REPORTED_FAILURES:
            self._failed_workers[instance] = None
        if outcome is Outcome.UNREACHABLE and self.options.unreachable_s > 0:
            worker.set_unreachable(now_s + self.options.unreachable_s)
        if outcome is Outcome.MISDIRECTED:
            worker.misdirected_s[request.model, request.adapter] = now_s
            self.market.invalidate_holders(class_of(request))
        if outcome is Outcome.SUCCEEDED and attempt is not None:
            self.market.table(class_of(request)).record_run(now_s - attempt.sent_s)
            self.first_events.record_run(request.service, now_s - attempt.sent_s)

    def market_round(self, now_s: float) -> None:
        """Runs a token-trading round if one is due."""
        self.market.set_time(now_s)
        if now_s >= self._next_round_s:
            self._next_round_s = now_s + self._round_interval_s()
            self.market.run_round()

    def _round_interval_s(self) -> float:
        """Returns the minimum time between two token-trading rounds.

        It grows with the number of edges: with many, each of them sees little change between rounds.
        """
        longest_s = self.options.longest_round_s
        return min(
            longest_s, max(0, self._edge_count - self.options.usual_edges) * self.options.round_s_an_edge
        )

    def take_demand(self, now_s: float) -> tuple[ClassDemand, ...]:
        """Returns and clears the demand by class.

        It has the requests, their total run time, and the number of requests without a holder.
        """
        demand, self._demand = self._demand, {}
        return tuple(
            ClassDemand(
                *request_class,
                counts.requests,
                counts.requests * self._mean_run_s(request_class),
                counts.missing,
                counts.mean_priority(),
            )
            for request_class, counts in demand.items()
        )

    def take_failed_workers(self) -> tuple[str, ...]:
        """Returns and clears the workers at which requests failed."""
        failed_workers, self._failed_workers = self._failed_workers, {}
        return tuple(failed_workers)

    def _mean_run_s(self, request_class: RequestClass) -> float:
        table = self.market.tables.get(request_class)
        if table is not None and table.seen:
            return table.run_us / SECOND
        return self.first_events.mean_run_s(request_class.service)

    # --- choice -------------------------------------------------------------------------------------------

    def choose(self, request: RequestProfile, excluded: Collection[str], now_s: float) -> Choice:
        """Returns the worker to send a request to now, or that the request waits or is refused."""
        self.market.set_time(now_s)
        request_class = class_of(request)
        table = self.market.table(request_class)
        has_begun = request.last_event_s is not None
        is_new = not excluded and not has_begun and request.request not in self._counted_missing_s
        if is_new:
            table.count_request(request, now_s)
            counts = self._demand.setdefault(request_class, DemandCounts())
            counts.requests += 1
            counts.add_priority(request.priority)
        holders = self.market.holders(request_class) or self._unresponsive_holders(request_class)
        if not holders:
            return self._choose_without_holder(request, request_class, excluded)
        if not any(worker.is_reachable(now_s) for worker in holders):
            return self._choose_without_holder(request, request_class, excluded)
        self.admission.record_found(request_class, now_s)
        eligible = [w for w in holders if w.instance not in excluded and w.is_reachable(now_s)]
        if not eligible:
            self.counters["refused_tried_all"] += 1
            return self.refuse_overloaded(request, now_s)
        return self._choose_among(request, table, eligible, excluded)

    def _unresponsive_holders(self, request_class: RequestClass) -> list[EngineWorker]:
        service, model, adapter = request_class
        now_s = self.market.now_s
        return [
            w
            for w in self._unresponsive
            if w.record.service == service and w.holds(model, adapter, now_s, self.options.denied_s)
        ]

    def refuse_overloaded(self, request: RequestProfile, now_s: float) -> RefusedRequest:
        """Returns the refusal of a request that was given up although a worker was chosen for it."""
        run_s = self._mean_run_s(class_of(request)) or INITIAL_RUN_US / SECOND
        return self.admission.refuse_overloaded(request, run_s, now_s)

    def _latest_start_s(self, request: RequestProfile) -> float:
        """Returns when a worker has to get a request at the latest for its client to get the answer.

        The client has to get the next event before it gives up, and the whole answer before its deadline.
        Work that was not measured yet, and the rest of a stream that has begun, count as 0.
        """
        first_event_s = self.first_events.predict_unshared_s(request, request.prompt_tokens)
        has_begun = request.last_event_s is not None
        run_s = 0.0 if has_begun else self._mean_run_s(class_of(request))
        return min(request.next_event_deadline_s - first_event_s, request.deadline_s - run_s)

    def _choose_without_holder(
        self, request: RequestProfile, request_class: RequestClass, excluded: Collection[str]
    ) -> Choice:
        now_s = self.market.now_s
        self._count_missing(request, request_class, now_s)
        missing = self._missing_class(request_class, excluded, now_s)
        if missing.holder_returns_s is not None:
            self.market.invalidate_holders(request_class)
        choice = self.admission.decide_missing(request, missing, self._latest_start_s(request), now_s)
        self.counters["refused_missing" if isinstance(choice, RefusedRequest) else "waits"] += 1
        return choice

    def _count_missing(self, request: RequestProfile, request_class: RequestClass, now_s: float) -> None:
        """Counts a request without a holder in the demand, and again after MISSING_RECOUNT_S."""
        counted_s = self._counted_missing_s.get(request.request)
        if counted_s is not None and now_s - counted_s <= MISSING_RECOUNT_S:
            return
        counts = self._demand.setdefault(request_class, DemandCounts())
        counts.missing += 1
        counts.add_priority(request.priority)
        self._counted_missing_s[request.request] = now_s
        if len(self._counted_missing_s) > MAX_REMEMBERED_REQUESTS:
            del self._counted_missing_s[next(iter(self._counted_missing_s))]

    def _missing_class(
        self, request_class: RequestClass, excluded: Collection[str], now_s: float
    ) -> MissingClass:
        """Returns what is known of a class without a usable holder."""
        service, model, adapter = request_class
        serving = [w for w in self._workers.values() if w.is_available and w.record.service == service]
        ends_s = (worker.load_end_s(model, adapter) for worker in serving)
        returns_s = (
            worker.returns_as_holder_s(model, adapter, now_s, self.options.denied_s)
            for worker in serving
            if worker.instance not in excluded
        )
        return MissingClass(
            request_class,
            is_model_held=any(self.market.is_held_by(w, model, "") for w in serving),
            has_workers=bool(serving),
            load_end_s=min((end_s for end_s in ends_s if end_s is not None), default=None),
            facts=self._engine_facts.get(service),
            holder_returns_s=min((at_s for at_s in returns_s if at_s is not None), default=None),
        )

    def _choose_among(
        self,
        request: RequestProfile,
        table: ClassTable,
        eligible: list[EngineWorker],
        excluded: Collection[str],
    ) -> Choice:
        affinity_workers = self._affinity_workers(request, eligible)
        token = self.market.draw_token(table, excluded) if self.options.token_draws else None
        pool = list(
            dict.fromkeys(
                affinity_workers
                + ([token.holder] if token is not None else [])
                + self._sample_eligible(eligible)
            )
        )
        if not pool:
            pool = [self._rng.choice(eligible)]
        candidates = {w.instance: self._candidate(request, table, w, affinity_workers) for w in pool}
        best = min(candidates.values(), key=lambda c: c.score)
        preferred = [*affinity_workers, token.holder] if token is not None else affinity_workers
        chosen = next(
            (c for w in preferred if self._is_acceptable(request, c := candidates[w.instance], best)), best
        )
        if refusal := self.admission.refuse_late(request, eligible, chosen.predicted_s, self.market):
            self.counters["refused_late"] += 1
            return refusal
        if token is not None and self.market.find_token(chosen.worker, table) is None:
            self.counters["traded"] += 1
            token.move(chosen.worker)
        self._chosen_prefill_tokens[request.request] = chosen.prefill_tokens
        if len(self._chosen_prefill_tokens) > MAX_REMEMBERED_REQUESTS:
            del self._chosen_prefill_tokens[next(iter(self._chosen_prefill_tokens))]
        self.counters["homes" if chosen.worker in affinity_workers else "drawn"] += 1
        priority = self.admission.priority_header(request)
        address = chosen.worker.record.address
        return ChosenWorker(chosen.worker.instance, address, priority, chosen.predicted_s)

    def _affinity_workers(self, request: RequestProfile, eligible: list[EngineWorker]) -> list[EngineWorker]:
        key = affinity_key(request)
        return rendezvous(key, eligible, self.options.homes) if key is not None else []

    def _sample_eligible(self, eligible: list[EngineWorker]) -> list[EngineWorker]:
        options = self.options
        return (
            eligible if len(eligible) <= options.small_pool else self._rng.sample(eligible, options.compared)
        )

    def _candidate(
        self,
        request: RequestProfile,
        table: ClassTable,
        worker: EngineWorker,
        affinity_workers: list[EngineWorker],
    ) -> Candidate:
        affinity_rank = affinity_workers.index(worker) if worker in affinity_workers else None
        prefill_tokens = self.first_events.prefill_tokens(worker, request, affinity_rank)
        other_requests = self.market.expected_other_requests(worker)
        predicted_s = self.first_events.predict_s(
            worker, request, prefill_tokens, other_requests, self.market.now_s
        )
        price = self.market.price(worker, table)
        if self._edge_count > 1 and affinity_rank is None:
            # The noise keeps edges with the same load reports from all choosing the same worker.
            price += self.market.spread * self._rng.random()
        score = self.options.load_weight * price
        score += self.options.predicted_weight * predicted_s / max(0.001, request.latency_objective_s)
        if request.pause_objective_s > 0:
            score += self.options.pause_weight * worker.relative_pauses.get(
                self._mean_relative_pause(request.service)
            )
        return Candidate(worker, prefill_tokens, predicted_s, score)

    def _mean_relative_pause(self, service: str) -> float:
        pauses = self._relative_pauses.get(service)
        return pauses.get(0.0) if pauses is not None else 0.0

    def _is_acceptable(self, request: RequestProfile, preferred: Candidate, best: Candidate) -> bool:
        """Whether an affinity worker or the holder of the drawn token is used although another is better."""
        left_s = request.arrived_s + request.latency_objective_s - self.market.now_s
        if preferred.predicted_s > left_s and best.predicted_s < preferred.predicted_s:
            return False
        is_full = (
            preferred.worker.in_flight_count + self.market.expected_other_requests(preferred.worker)
            >= preferred.worker.slots
        )
        return not is_full and preferred.score <= best.score + self.options.follow_margin


def class_of(request: RequestProfile) -> RequestClass:
    """Returns the class of a request."""
    return RequestClass(request.service, request.model, request.adapter)
