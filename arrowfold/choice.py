"""The decisions of one dispatcher: a token market after Chen's thesis (see docs/design.md).

A request is sent to the holder of a token of its class; arrowfold/market counts and trades the tokens. The
rest enforces the rules, tracks worker load, or is an exception whose conditions docs/design.md states.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable

from arrowfold import interface as api
from arrowfold.interface import Idempotency, Lifecycle, RosterMode, Status
from arrowfold.market.tokens import SECOND, Rate, Token
from arrowfold.market.trading import CANDIDATES, ROUND_SAMPLE, TokenMarket
from arrowfold.ring import Ring
from arrowfold.state import PENALTY_HALF_LIFE_US, Attempt, Request, RunningShare, Table, Timers, Worker

MARKET_ROUND_US = SECOND // 2  # mean time between token-trading rounds
REPORT_FRESH_US = SECOND  # a younger load report is not probed for again; doubled in a large fleet
AFFINITY_WORKERS = 4  # affinity workers of a key whose tokens are drawn first
AFFINITY_FACTOR = 1.25  # limit of own slots at an affinity worker: 1 + this times own attempts per worker
AFFINITY_MAX_LOAD = 1.8  # limit of its total load, penalties included; approaches 1 in a large fleet
REFUSAL_PAUSE_FACTOR = 0.05  # after a refusal, affinity is suspended for this fraction of a mean run time
REFUSAL_LIMIT = 2  # a request refused this often waits in this dispatcher's queue
SMALL_FLEET = 12  # up to this many dispatchers, own requests and own queue show enough of a worker's load
PROMPT_FACTOR = 0.25  # an attempt that starts later than this fraction of the objective was queued
ZONE_TOLL = 0.03  # added to the price of a worker in another zone, since the links between zones may fail
PROMPT_SHARE = 0.6  # above this share of prompt starts, another worker most likely starts a request at once
MAX_QUEUE = 0.65  # a worker's queue is joined up to this fraction of its size
LONG_QUEUE = 5  # behind a queue of this length a new request is queued without a search
QUEUE_POLL_US = SECOND // 10  # longest queue poll interval while searches succeed, however long requests run
REPORT_HALF_LIFE_US = 5 * SECOND  # half-life of a report of others' load at a worker, towards the mean
MAX_RETRY_US = 2 * SECOND  # longest roster retry interval; changes must be applied within 6 s of publication
RATE_SPAN_US = 10 * SECOND  # time constant of the measured arrival rates
STAGE_HOLDER, STAGE_LOCAL, STAGE_REMOTE = range(3)  # stages of a request's search for capacity
COLD_BUDGET_SHARE = 0.4  # fraction of the cold budget that all dispatchers together aim to use
REMOVED_KEPT = 100  # removed workers that are kept
COLD_REQUEST_SHARE = 1 / 6  # largest fraction of a window's cold budget for one request


def may_refuse(request: Request) -> bool:
    """Rule 2 (no unsafe repeat): returns whether a refusal, which invites the client to retry, is safe."""
    kind, group = request.cls.idempotency, request.cls.group
    harmless = kind is Idempotency.SAFE or (kind is Idempotency.KEYED and group == "all")
    return harmless or not any(a.may_have_run for a in request.attempts)


def may_repeat_on(request: Request, worker: Worker, now: int) -> bool:
    """Rule 2 (no unsafe repeat): returns whether earlier attempts permit a repeat on this worker."""
    cls = request.cls
    for attempt in request.attempts:
        if not attempt.may_have_run or cls.idempotency is Idempotency.SAFE:
            continue
        if cls.idempotency is Idempotency.UNSAFE or now - attempt.sent_us >= cls.window_us:
            return False
        if cls.group != "all" and getattr(attempt.worker, cls.group) != getattr(worker, cls.group):
            return False
    return True


class Dispatcher(Timers, TokenMarket[Worker, Table]):
    """Turns one dispatcher's events into actions; see `handle`. `counters` counts what no action shows."""

    def __init__(self, settings: api.Settings, seed: int, counters: Counter[str] | None = None) -> None:
        super().__init__()
        self.settings, self.random = settings, random.Random(seed)
        self.counters: Counter[str] = Counter() if counters is None else counters
        self.workers: dict[str, Worker] = {}
        self.pools: dict[tuple[str | None, bool], list[Worker]] = {}
        self.cold_workers: list[Worker] = []  # as of the last roster change
        self.ring = Ring()
        self.size_by_kind: dict[str, list[float]] = {}
        self.mean_penalty = 0.0  # of the serving workers, from failed attempts only
        self.roster_failures, self.poll_scheduled, self.failed_searches, self.in_flight, self.worker_count = \
            0, False, 0, 0, 0
        resources = 2 if settings.reports_memory else 1
        self.mean, self.spread = [0.5] * resources, 0.1  # L_avg^k, and the mean deviation of loads from it
        self.mean_others = [0.3] * resources  # mean fraction of a worker's size in use by other dispatchers
        self.prompt_starts = RunningShare(0.9)  # share of attempts that started promptly
        self.probe_rtt_us = {True: 4.0 * settings.tick_us, False: 12.0 * settings.tick_us}
        self.tables = {c.name: Table(c, RATE_SPAN_US) for c in settings.classes}
        self.start_delay_us = 0.0  # mean time from a send to its reported start
        self.mean_run_us = 1.0 * max(c.aim_us for c in settings.classes)  # mean run time
        self.requests: dict[str, Request] = {}
        self.queues: dict[str | None, list[Request]] = {c.kind: [] for c in settings.classes}
        self.tenant_rates = {t.name: Rate(RATE_SPAN_US) for t in settings.tenants}
        self.tenant_quotas = {t.name: t.quota_per_s / settings.fleet_size for t in settings.tenants}
        self.handlers: dict[type, Callable[..., None]] = {
            api.Arrival: self._on_arrival, api.AttemptEnded: self._on_ended, api.TimerFired: self._on_timer,
            api.RosterUpdate: self._on_roster, api.AttemptProgress: self._on_progress,
            api.StreamStarted: self._on_stream, api.ProbeEnded: self._on_probe,
            api.Withdrawn: self._on_withdrawn, api.SettingsChanged: self._on_settings,
        }

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Processes the events of time `now_us` and returns the resulting actions in order."""
        self.now, self.actions = now_us, []
        if not self.next_timer:  # the first call
            self._set_timer(self._jitter(MARKET_ROUND_US), self._market_round)
            if self.settings.roster_on_request:
                # Random delay: all dispatchers at once would overload a roster of fixed capacity.
                self._set_timer(int(self.random.random() * self.settings.ask_within_us / 4), self._subscribe)
        for event in events:
            if handler := self.handlers.get(type(event)):
                handler(event)
        return self.actions

    def _subscribe(self) -> None:
        self.actions.append(api.Subscribe())

    def _jitter(self, mean_us: float) -> int:
        return int(mean_us * (0.5 + self.random.random()))

    def _on_roster(self, event: api.RosterUpdate) -> None:
        if event.mode is RosterMode.ERROR:
            # Backs off to spare the roster; limited, so that no work goes to leaving workers (rule 3).
            self.roster_failures += 1
            wait = min(MAX_RETRY_US, self.settings.ask_within_us / 24 * 1.5 ** min(self.roster_failures, 8))
            self._set_timer(self._jitter(wait / 1.5), self._subscribe)
            return
        if event.mode is not RosterMode.PERSISTED:
            self.roster_failures = 0
        for entry in event.entries:
            self._upsert(entry)
        if event.mode is not RosterMode.PARTIAL:
            listed = {entry.worker for entry in event.entries}
            for worker in self.workers.values():
                worker.serving = worker.serving and worker.name in listed
        # Bounds the memory where names never return; the latest are kept, since they may return.
        for name in [w.name for w in self.workers.values() if not (w.serving or w.tokens)][:-REMOVED_KEPT]:
            del self.workers[name]
        self._index_workers()

    def _upsert(self, entry: api.RosterEntry) -> None:
        worker = self.workers.setdefault(entry.worker, Worker(entry.worker))
        if entry.launched_us != worker.launched_us:
            # A restarted process: what is known of the previous one, or arrives late, must not affect it.
            previous, worker = worker, Worker(entry.worker)
            worker.tokens, worker.launched_us, previous.serving = previous.tokens, entry.launched_us, False
            for token in worker.tokens:
                token.holder = worker
            self.workers[entry.worker] = worker
        worker.zone, worker.kind, worker.cell = entry.zone, entry.kind, entry.cell
        worker.local = entry.zone == self.settings.zone
        worker.serving = entry.lifecycle is Lifecycle.IN_SERVICE

    def _on_settings(self, event: api.SettingsChanged) -> None:
        """Applies new settings; open requests keep their class, kept tables their tokens and measurements."""
        new, previous, self.settings = event.settings, self.tables, event.settings
        self.tables = {c.name: previous.get(c.name) or Table(c, RATE_SPAN_US) for c in new.classes}
        dropped = [t for name, t in previous.items() if name not in self.tables]
        for cls in new.classes:
            self.queues.setdefault(cls.kind, [])
            if self.tables[cls.name].cls.kind != cls.kind:
                dropped.append(self.tables[cls.name])
            self.tables[cls.name].cls = cls
        for table in dropped:
            for token in list(table.tokens):
                token.recall()
        if len(self.mean) != 1 + new.reports_memory:
            self.mean, self.mean_others = [0.5] * (1 + new.reports_memory), [0.3] * (1 + new.reports_memory)
            self.size_by_kind = {}
            for worker in self.workers.values():
                worker.free, worker.size, worker.report = None, [], None
        for worker in self.workers.values():
            worker.local = worker.zone == new.zone
        self.tenant_rates = {t.name: self.tenant_rates.get(t.name) or Rate(RATE_SPAN_US) for t in new.tenants}
        self.tenant_quotas = {t.name: t.quota_per_s / new.fleet_size for t in new.tenants}
        self._index_workers()

    def _index_workers(self) -> None:
        """Rebuilds the pools that draws and trades sample from; moves tokens off removed workers."""
        serving = [w for w in self.workers.values() if w.serving]
        self.pools, self.worker_count = {}, len(serving)
        for worker in serving:
            for kind in (None, worker.kind):
                self.pools.setdefault((kind, worker.local), []).append(worker)
        self.cold_workers = [w for w in serving if w.launched_us and self._warmth(w) < 1.0]
        self.ring.set_workers({w.name for w in serving})
        self._reassign([t for w in self.workers.values() if w.tokens and not w.serving for t in w.tokens])

    def _warmth(self, worker: Worker) -> float:
        """Returns the fraction of its capacity that a worker is sure to have since its start."""
        age, cold_us = self.now - worker.launched_us, self.settings.cold_us
        if not worker.launched_us or age >= cold_us:
            return 1.0
        return self.settings.cold_from + (1 - self.settings.cold_from) * max(0, age) / cold_us

    def _schedule_cold_turn(self, worker: Worker, work_us: float) -> None:
        """Schedules the next turn at a cold worker, at a random time so that dispatchers stay out of step."""
        rate = COLD_BUDGET_SHARE * self._cold_budget(worker) / self.settings.fleet_size
        wait = 1 + int(self.random.expovariate(rate / max(work_us, 1.0)))
        worker.next_cold_turn_us = self.now + wait
        self._set_timer(wait, self._take_cold_turn, worker)

    def _take_cold_turn(self, worker: Worker) -> None:
        self.counters["cold_turns"] += worker.serving and self._warmth(worker) < 1.0
        if self._load(worker, 0) < 1 or self._visibility() < 1:  # outdated in a large fleet
            self._send_queued(worker)

    def _send_to_cold(self, request: Request) -> bool:
        """In a large fleet, sends to a cold worker that is due, with a free slot; returns whether it did."""
        usable = [w for w in self.cold_workers if self._warmth(w) < 1.0 and (w.free is None or w.free[0] > 0)
                  and self.allowed(request, w)] if self._visibility() < 1 else []
        self._send(request, self._pick_worker(usable, request.table))
        return bool(usable)

    def _cold_budget(self, worker: Worker) -> float:
        return self.settings.overload_factor * self._size(worker)[0] * self._warmth(worker)

    def allowed(self, request: Request, worker: Worker) -> bool:
        """Returns whether the rules permit sending this request to this worker now; checked at every send."""
        settings, cls = self.settings, request.cls
        if not (request.open and worker.serving and request.can_use(worker)) or request.streaming:
            return False  # rules 1 and 3: one final answer; no work to leaving workers
        if cls.kind not in (None, worker.kind) or not self._attempts_left(request):
            return False
        out = request.count_in_flight()
        if out and (not settings.second_copies or out > 1 or cls.idempotency is Idempotency.UNSAFE):
            return False
        if any(a.worker is worker and not a.ended for a in request.attempts):
            return False
        if self.now >= request.deadline_us or not may_repeat_on(request, worker, self.now):
            return False
        return self._warmth(worker) >= 1.0 or self._has_cold_turn(worker, request)

    def _has_cold_turn(self, worker: Worker, request: Request) -> bool:
        """Rule 4 (cold workers): light requests only, at a rate safe for all dispatchers together."""
        work = request.work_us() * request.slots
        if not worker.next_cold_turn_us:
            self._schedule_cold_turn(worker, work)
        # A single heavy request could exceed the window's budget.
        most_work = COLD_REQUEST_SHARE * self._cold_budget(worker) * self.settings.overload_for_us
        return self.now >= worker.next_cold_turn_us and work <= most_work

    def _size(self, worker: Worker) -> list[float]:
        """R_j^k: the largest free figures reported; its kind's until there is one."""
        return worker.size or self.size_by_kind.get(worker.kind) or [1.0] * len(self.mean)

    def _load(self, worker: Worker, k: int) -> float:
        """L_j^k: own requests in flight and others' by the last report, over the size; plus penalties."""
        size = max(self._size(worker)[k], 1e-9)
        load = self.mean_others[k]
        if worker.free is not None:  # the report of others' load decays towards the mean over all workers
            load += (worker.others_used[k] / size - load) * 2 ** (
                -(self.now - worker.last_report_us) / REPORT_HALF_LIFE_US)
        load += worker.out[k] / size
        if worker.strikes:  # relative to the mean, so that work goes on when all workers fail alike
            load += max(0.0, worker.strikes * 2 ** (
                -(self.now - worker.penalty_us) / PENALTY_HALF_LIFE_US) - self.mean_penalty)
        if worker.errors_per_s and self._visibility() < 1:  # failing fast, it has free slots and looks idle
            load += worker.errors_per_s * self.mean_run_us / SECOND * 2 ** (
                -(self.now - worker.last_report_us) / PENALTY_HALF_LIFE_US)
        if worker.slowness > 1.5:
            load += 0.5 * (worker.slowness - 1.5) * 2 ** (
                -(self.now - worker.slowness_us) / PENALTY_HALF_LIFE_US)
        return load

    def _cost(self, worker: Worker, table: Table) -> float:
        """C_j(w), equation 1, plus the price of a worker in another zone."""
        # J_w^k is the class's mean need of slots and memory; the rate share common to its tokens cancels out.
        load = self._load(worker, 0)
        if len(self.mean) > 1 and table.memory > 0:
            load = (table.slots * load + table.memory * self._load(worker, 1)) / (table.slots + table.memory)
        return load if worker.local else load + ZONE_TOLL

    def _pick_worker(self, workers: list[Worker], table: Table) -> Worker | None:
        """Returns the lowest C_j(w), with random noise so that dispatchers don't herd on one report."""
        noisy_costs = {w: self._cost(w, table) + self.spread * self.random.random() for w in workers}
        return min(noisy_costs, key=noisy_costs.__getitem__) if noisy_costs else None

    def _has_capacity(self, worker: Worker, request: Request) -> bool:
        if worker.free is None:
            return self._load(worker, 0) < 1  # no report yet: the mean, and penalties of unanswered probes
        needed, size = (request.slots, request.memory), self._size(worker)
        return all(size[k] * (1 - self._load(worker, k)) >= needed[k] for k in range(len(self.mean)))

    def _take_report(self, worker: Worker, report: api.LoadReport | None) -> None:
        if report is None or report.free_slots is None:
            return
        free = [report.free_slots - (report.waiting or 0.0), report.free_memory or 0.0][:len(self.mean)]
        if not worker.size:
            # Shared by a kind, as one report of a busy worker shows only a fraction of its size.
            worker.size = self.size_by_kind.setdefault(worker.kind or worker.name, [1.0] * len(free))
        # With two slots free none wait, so each request that it holds has at least one slot.
        sizes = [round(free[0]) + round(report.held or 0) if free[0] >= 1.5 else free[0], *free[1:]]
        for k, figure in enumerate(sizes):
            worker.size[k] = max(worker.size[k], figure)
        worker.free, worker.last_report_us, worker.errors_per_s = free, self.now, report.errors or 0.0
        worker.update_lagged_in_flight(self.now)
        for k, figure in enumerate(free):
            used = worker.size[k] - figure
            if not k and report.held is not None and report.free_slots <= 0:
                # Zero free slots shows neither the requests waiting there nor a worker without slots.
                used = max(used, report.held or 2 * worker.size[k])
            others = max(0.0, used - worker.lagged_in_flight[k])
            if report != worker.report:
                worker.others_used[k] += (0.5 if worker.report else 1.0) * (others - worker.others_used[k])
                self.mean_others[k] += 0.03 * (worker.others_used[k] / worker.size[k] - self.mean_others[k])
            deviation = min(2.0, self._load(worker, k)) - self.mean[k]
            self.mean[k] += 0.03 * deviation
        worker.report = report
        self.spread += 0.03 * (abs(deviation) - self.spread)

    def _on_probe(self, event: api.ProbeEnded) -> None:
        worker = self.workers.get(event.worker)
        if worker is None:
            return
        waiters, worker.probe_waiters, worker.probe_sent_us = worker.probe_waiters, [], None
        available = [self._has_capacity(worker, r) for r in waiters]
        if event.status is Status.OK:
            self.probe_rtt_us[worker.local] += 0.1 * (event.elapsed_us - self.probe_rtt_us[worker.local])
            self._take_report(worker, event.report)
            worker.add_penalty(self.now, -0.5)  # even a late answer reverts the penalty of a timeout
        else:
            worker.add_penalty(self.now)
        self.counters["probes_no_news"] += available == [self._has_capacity(worker, r) for r in waiters]
        for request in waiters:
            if worker in request.candidates and request.pending_probes:
                request.pending_probes -= 1
                if not request.pending_probes and request.open:
                    self._decide(request)

    def _probe_outdated(self, request: Request, workers: list[Worker]) -> None:
        """Probes workers whose reports are outdated, then decides; a timeout covers lost answers."""
        request.candidates, request.pending_probes = workers, 0
        # In a large fleet three of four probes show nothing new; the fourth may find a worker unresponsive.
        fresh_us = REPORT_FRESH_US * (1 if self._visibility() >= 1 else 2)
        if self.settings.may_probe and self.settings.load_source is not api.LoadSource.NONE:
            for worker in (w for w in workers if w.free is None or self.now - w.last_report_us >= fresh_us):
                if worker.probe_sent_us is None:
                    worker.probe_sent_us = self.now
                    self.actions.append(api.Probe(worker.name))
                worker.probe_waiters.append(request)
                request.pending_probes += 1
        if not request.pending_probes:
            self._decide(request)
            return
        request.probe_round += 1
        wait = 3 * self.probe_rtt_us[all(w.local for w in workers)] + 2 * self.settings.tick_us
        self._set_timer(wait, self._on_probe_timeout, request, request.probe_round)

    def _on_probe_timeout(self, request: Request, probe_round: int) -> None:
        if request.open and request.pending_probes and request.probe_round == probe_round:
            request.pending_probes = 0
            for worker in (w for w in request.candidates if w.probe_sent_us is not None):
                worker.add_penalty(self.now, 0.5)
            self._decide(request)

    def _draw_pool(self, table: Table, count: int, local: bool) -> list[Worker]:
        pool = self.pools.get((table.cls.kind, local)) or self.pools.get((table.cls.kind, not local)) or []
        return [pool[int(self.random.random() * len(pool))] for _ in range(count)] if pool else []

    def _sample(self, table: Table, count: int) -> list[Worker]:
        """Returns a few distinct workers that may hold this class's tokens, those of this zone first."""
        return list(dict.fromkeys(self._draw_pool(table, count - 1, True) + self._draw_pool(table, 1, False)))

    def _may_hold(self, worker: Worker, table: Table) -> bool:
        return table.cls.kind in (None, worker.kind)

    def _may_receive(self, worker: Worker) -> bool:
        return self._warmth(worker) >= 1.0

    def _market_round(self) -> None:
        """Runs a token-trading round: recounts the tokens, then trades among a few sampled workers."""
        self._set_timer(self._jitter(MARKET_ROUND_US), self._market_round)
        penalties = [w.failed * 2 ** (-(self.now - w.penalty_us) / PENALTY_HALF_LIFE_US)
                     for w in self.workers.values() if w.serving]
        self.mean_penalty = sum(penalties) / max(1, len(penalties))
        self._recount()
        tables = [t for t in self.tables.values() if t.tokens]
        holders = [self.random.choice(t.tokens).holder for t in tables for _ in range(2)]
        sampled = holders + [w for t in tables[:1] for w in self._sample(t, ROUND_SAMPLE)]
        self._trade(list(dict.fromkeys(w for w in sampled if w.serving)))

    def _on_arrival(self, event: api.Arrival) -> None:
        if event.request in self.requests:
            return
        table = self.tables.get(event.request_class)
        if table is None:
            # Not in the settings, so it is unknown whether repeats are safe: refused unsent.
            self.actions.append(api.Refuse(event.request))
            return
        attempt_cap = self.settings.attempt_cap
        request = self.requests[event.request] = Request(event, table, attempt_cap)
        table.rate.record_event(self.now)
        request.over_share = self._exceeds_share(event.tenant)
        table.slots += 0.05 * (request.slots - table.slots)
        table.memory += 0.05 * (request.memory - table.memory)
        # Rule 1 (one final answer): each open request ends by this timer, whatever else fails.
        self._set_timer(event.deadline_us - self.now - self.settings.tick_us, self._end_request, request)
        if len(self.queues[table.cls.kind]) < LONG_QUEUE:
            self._search(request)
        elif not self._send_to_cold(request):
            self._enqueue(request)  # many wait already: a search for each would overload the workers

    def _search(self, request: Request, tier: int = 0) -> None:
        """Draws a token and tries its holder first, among the workers of the route's tiers up to this one."""
        table = request.table
        request.token, request.tier = None, tier
        if not self._attempts_left(request):
            self._end_unless_in_flight(request)
            return
        if not request.attempts and self._send_to_cold(request):
            return  # otherwise cold workers would stay idle until all others are full
        if not table.tokens and self.tables.get(table.cls.name) is table:
            self._grant(table)
        tried = [a.worker for a in request.attempts]
        token = self._draw_token(request, tried)
        if token and token.holder not in tried and self.allowed(request, token.holder):
            request.token, request.search_stage = token, STAGE_HOLDER
            self._probe_outdated(request, [token.holder])
        else:
            self._widen_search(request, local=True)

    def _accepts_affinity(self, worker: Worker) -> bool:
        """Limits a popular key's load on an affinity worker, by own requests (exact) and reported load."""
        return worker.out[0] <= 1 + AFFINITY_FACTOR * self.in_flight / max(1, self.worker_count) \
            and self._load(worker, 0) < 1 + (AFFINITY_MAX_LOAD - 1) * self._visibility() \
            and self.now - worker.refused_us >= REFUSAL_PAUSE_FACTOR * self.mean_run_us

    def _visibility(self) -> float:
        """Returns less than 1 in a large fleet, where own requests show little of a worker's load."""
        return min(1.0, SMALL_FLEET / self.settings.fleet_size)

    def _lacks_load_reports(self) -> bool:
        """Returns whether this is a large fleet without load reports."""
        return self._visibility() < 1 and not self.settings.has_load_reports

    def _draw_token(self, request: Request, tried: list[Worker]) -> Token[Worker] | None:
        """Returns a token of the class: of an affinity worker of the request's key, else a random one."""
        # A large fleet has enough dispatchers in each zone to share the cache of an affinity worker there.
        for worker in sorted(self._affinity_workers(request)[:AFFINITY_WORKERS],
                             key=lambda w: self._visibility() < 1 and not w.local):
            if worker not in tried and self._accepts_affinity(worker) and self.allowed(request, worker):
                token = next((t for t in worker.tokens if t.table is request.table), None)
                if token is not None:
                    return token
        in_zone = self._visibility() < 1 and not request.attempts  # a large fleet prefers its own zone
        count, tokens = ROUND_SAMPLE if request.reach else CANDIDATES if in_zone else 1, request.table.tokens
        drawn = [self.random.choice(tokens) for _ in range(count)] if tokens else []
        drawn = [token for token in drawn if request.can_use(token.holder)]
        return next((t for t in drawn if in_zone and t.holder.local), drawn[0] if drawn else None)

    def _affinity_workers(self, request: Request) -> list[Worker]:
        """Returns a key's affinity workers, in the same order at every dispatcher, to avoid data fetches."""
        if not request.key or not self.ring.names or self._lacks_load_reports():
            return []  # in a large fleet without load reports, affinity would overload its workers
        if request.affinity_version != self.ring.version:
            request.affinity = [self.workers[n] for n in self.ring.successors(request.key, 4 * CANDIDATES)]
            request.affinity_version = self.ring.version
        return request.affinity

    def _decide(self, request: Request) -> None:
        """Sends to the token's holder, trades its token at once for another worker, or widens the search."""
        token, table = request.token, request.table
        usable = [w for w in request.candidates if self.allowed(request, w)]
        available = [w for w in usable if self._has_capacity(w, request)]
        if request.search_stage == STAGE_HOLDER and token:
            preferred = token.holder in self._affinity_workers(request)[:AFFINITY_WORKERS] \
                and self._accepts_affinity(token.holder)
            balanced = token.holder in available \
                and self._imbalance(token.holder)[0] <= self.spread * len(self.mean)
            if balanced or (preferred and token.holder in usable):
                self._send(request, token.holder)
            else:
                self._widen_search(request, local=True)
            return
        best = self._pick_worker(available, table)
        if best is not None:
            self.failed_searches = 0
            if token and token.holder is not best and token in request.table.tokens:
                token.move(best)  # its holder is full or excluded: traded by C_j(w)
            self._send(request, best)
        elif request.search_stage == STAGE_LOCAL and (request.cls.kind, False) in self.pools:
            self._widen_search(request, local=False)
        else:
            self._on_full(request, usable)

    def _widen_search(self, request: Request, local: bool) -> None:
        tried = [a.worker for a in request.attempts]
        affinity = self._affinity_workers(request)[0 if local else CANDIDATES:]
        workers = affinity[:CANDIDATES] or self._draw_pool(request.table, CANDIDATES, local)
        if request.reach:  # a small random sample could miss a small region
            workers = [w for w in self.workers.values() if w.serving and request.can_use(w)]
            workers = self.random.sample(workers, min(ROUND_SAMPLE, len(workers)))
        candidates = [w for w in dict.fromkeys(workers) if w not in tried and self.allowed(request, w)]
        if request.token and request.token.holder not in candidates and not affinity:
            candidates.append(request.token.holder)
        request.search_stage = STAGE_LOCAL if local else STAGE_REMOTE
        self._probe_outdated(request, candidates)

    def _on_full(self, request: Request, usable: list[Worker]) -> None:
        """Without free capacity: joins a worker's queue that is reported to be short, else waits here."""
        table = request.table
        if request.reach and request.tier < request.reach.last_tier:
            self._search(request, request.tier + 1)  # full: the next tier of regions
            return
        if self._send_to_cold(request):
            return
        # The last attempt is kept for a worker with free capacity: a full queue refuses requests.
        if usable and not self.in_flight:  # else workers that always report no free slot stop all traffic
            self._send(request, self._pick_worker(usable, table))
            return
        best = self._pick_worker(
            [w for w in usable if w.free is not None and self._attempts_left(request) > 1], table)
        if best is not None:
            ahead = (self._load(best, 0) - 1) + request.slots / self._size(best)[0]
            if ahead < MAX_QUEUE and self.now + 2 * ahead * table.run_us < self._latest_start_us(request):
                self._send(request, best)
                return
        self.failed_searches += 1
        self._enqueue(request)

    def _exceeds_share(self, tenant: str | None) -> bool:
        """Returns whether a request exceeds this dispatcher's part of its tenant's share, at random."""
        quota = self.tenant_quotas.get(tenant or "", 0.0)
        if tenant is None or quota <= 0:
            return False
        self.tenant_rates[tenant].record_event(self.now)
        return self.random.random() > quota / self.tenant_rates[tenant].now(self.now)

    def _priority(self, request: Request) -> float:
        """Returns the priority of a queued request: its importance per expected work; the highest goes first.

        Importance is set by the operator for each class, and for requests that exceed a tenant's share.
        """
        cls, work = request.cls, max(1.0, request.work_us() * request.slots)
        importance = cls.worth * (self.settings.over_share_worth if request.over_share else 1.0)
        return importance if self.settings.worth_by_work else importance / work

    def _enqueue(self, request: Request) -> None:
        """Queues a request here, as it would add to the overload in a full worker's queue."""
        # Polled as often as slots turn over: faster, all dispatchers would follow one stale report.
        if request not in (queue := self.queues[request.cls.kind]):
            queue.append(request)
        if not self.poll_scheduled:
            self.poll_scheduled = True
            self._set_timer(self._jitter(min(self.mean_run_us / 8, QUEUE_POLL_US)
                                         * min(8, 1 + self.failed_searches)), self._poll_queues)

    def _poll_queues(self) -> None:
        """Starts a new search for the best request of each queue; ends those that are too late."""
        self.poll_scheduled = False
        for queue in self.queues.values():
            # Work for a client that has left would delay the requests after it.
            for request in [queued for queued in queue if self.now >= self._latest_start_us(queued)]:
                queue.remove(request)
                self._end_unless_in_flight(request)
            if queue:
                best = max(queue, key=self._priority)
                queue.remove(best)
                self._search(best)
            if queue:
                self._enqueue(queue[0])

    def _send_queued(self, worker: Worker) -> None:
        """Sends the best queued request to a worker at which an own request has freed a slot."""
        for kind in (worker.kind, None):
            waiting = [queued for queued in self.queues.get(kind, ())
                       if self.now < self._latest_start_us(queued) and self.allowed(queued, worker)]
            if waiting:
                best = max(waiting, key=lambda queued: (
                    worker in self._affinity_workers(queued)[:CANDIDATES], self._priority(queued)))
                self.queues[kind].remove(best)
                self._send(best, worker)
                return

    def _attempts_left(self, request: Request) -> int:
        """Returns how many more attempts are permitted, by the lower of the caps at its arrival and now."""
        return max(0, min(request.attempt_cap, self.settings.attempt_cap) - len(request.attempts))

    def _latest_start_us(self, request: Request) -> float:
        """Returns the latest start at which the answer is still expected before the client gives up."""
        return request.deadline_us - request.work_us()

    def _end_unless_in_flight(self, request: Request) -> None:
        """Ends a request that gets no further attempt, unless an attempt is still in flight."""
        if not request.count_in_flight():
            self._end_request(request)

    def _end_request(self, request: Request) -> None:
        """Gives this dispatcher's own final answer: a refusal where a retry is safe, else a failure."""
        if request.open and not request.streaming:
            refusal = api.Refuse(request.id, self._retry_after_us())
            self.actions.append(refusal if may_refuse(request) else api.Fail(request.id))
            self._close(request)

    def _retry_after_us(self) -> int:
        """Returns the advised delay: about a mean run time, jittered so that clients don't return in step."""
        longest = self.settings.max_retry_after_us if self.settings.retry_after else 0
        return min(longest, self._jitter(self.mean_run_us))

    def _close(self, request: Request) -> None:
        request.open, request.candidates = False, []
        if request in self.queues[request.cls.kind]:
            self.queues[request.cls.kind].remove(request)
        for number, attempt in enumerate(request.attempts):
            if not attempt.ended and self.settings.may_cancel:
                self.actions.append(api.Cancel(request.id, number))
        if not request.count_in_flight():
            self.requests.pop(request.id, None)

    def _send(self, request: Request, worker: Worker | None) -> None:
        if worker is None or not self.allowed(request, worker):
            return
        request.attempts.append(Attempt(worker, self.now))
        worker.add_in_flight(self.now, request.slots, request.memory)
        self.in_flight += 1
        if self._warmth(worker) < 1.0:
            self.counters["cold_turns_used"] += 1
            self._schedule_cold_turn(worker, request.work_us() * request.slots)
        self.actions.append(api.Send(request.id, worker.name))
        number, work = len(request.attempts) - 1, request.work_us()
        self._set_timer(
            request.cls.aim_us + max(2.0, request.cls.stretch) * work, self._on_overdue, request, number)
        if self.settings.tells_start and self._visibility() < 1 and not self._lacks_load_reports():
            self._set_timer(self._latest_start_us(request) + self.start_delay_us - self.now,
                            self._cancel_unstarted, request, number)
            if self._attempts_left(request):
                self._set_timer(PROMPT_FACTOR * request.cls.aim_us, self._check_started, request, number)

    def _starts_promptly(self) -> bool:
        """Returns whether another worker will most likely start a request at once."""
        return self.prompt_starts.value > PROMPT_SHARE

    def _check_started(self, request: Request, number: int) -> None:
        """Cancels an attempt queued at a worker while others have free slots; reports are too late."""
        attempt = request.attempts[number]
        if self._starts_promptly() and not attempt.ended and attempt.start_us == attempt.sent_us:
            self.prompt_starts.add(False)
            self._cancel_unstarted(request, number)

    def _cancel_unstarted(self, request: Request, number: int) -> None:
        """Cancels an attempt that has not started: too late, it would delay what is queued behind it."""
        attempt = request.attempts[number]
        if request.open and attempt.start_us == attempt.sent_us and not (attempt.ended or request.streaming) \
                and self.settings.may_cancel and may_refuse(request) and not self._lacks_load_reports():
            self.actions.append(api.Cancel(request.id, number))  # without reports, it would be sent again

    def _on_overdue(self, request: Request, number: int) -> None:
        """Handles an attempt that is overdue because its worker is unresponsive or very slow."""
        attempt = request.attempts[number]
        if attempt.ended or not request.open or request.streaming:
            return
        attempt.worker.add_penalty(self.now, 0.5)
        if self.settings.second_copies:
            if request.count_in_flight() == 1 and request.cls.idempotency is not Idempotency.UNSAFE:
                self._search(request)
        elif self._attempts_left(request):
            self._cancel_unstarted(request, number)

    def _on_ended(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        self._note_outcome(attempt.worker, event)
        attempt.ended, attempt.may_have_run = True, not event.status.never_ran
        attempt.worker.add_in_flight(self.now, -request.slots, -request.memory)
        self.in_flight -= 1
        if event.final:
            self._close(request)
        if event.status is Status.OK:
            self._measure_run(request, attempt)
            self._send_queued(attempt.worker)
        if request.count_in_flight():
            return
        if not request.open:
            self.requests.pop(request.id, None)
        elif request.cls.idempotency is Idempotency.UNSAFE and attempt.may_have_run:
            self._end_request(request)  # rule 2: it may have run and must not run twice
        elif event.status is Status.FULL and len(request.attempts) >= REFUSAL_LIMIT \
                and self._attempts_left(request) and not (self._visibility() < 1 and self._starts_promptly()):
            self._enqueue(request)
        else:
            self._search(request)

    def _note_outcome(self, worker: Worker, event: api.AttemptEnded) -> None:
        """Updates the worker's load report and penalties from the outcome of an attempt."""
        self._take_report(worker, event.report)
        if event.status is Status.FULL:
            worker.refused_us = self.now
            self.prompt_starts.add(False)
        elif event.status in (Status.ERROR, Status.CONNECT_FAILED, Status.RESET, Status.TIMEOUT):
            worker.add_penalty(self.now, is_failure=event.status is not Status.TIMEOUT)

    def _measure_run(self, request: Request, attempt: Attempt) -> None:
        """Updates the mean run time C_i, reported start (else send) to outcome, and the worker's slowness."""
        table = request.table
        run = max(1.0, self.now - attempt.start_us)
        table.seen += 1
        step = max(0.03, 1 / table.seen)
        attempt.worker.note_slowness(self.now, run / max(1.0, request.work_us()))
        table.run_us += step * (run - table.run_us)
        self.mean_run_us += 0.03 * (run - self.mean_run_us)
        if request.effort_us:
            table.run_per_effort += step * (run / request.effort_us - table.run_per_effort)

    def _on_progress(self, event: api.AttemptProgress) -> None:
        request = self.requests.get(event.request)
        if request is not None and event.attempt < len(request.attempts) and event.done is None:
            attempt = request.attempts[event.attempt]
            attempt.start_us, waited = self.now, self.now - attempt.sent_us
            self.start_delay_us += 0.03 * (waited - self.start_delay_us)
            self.prompt_starts.add(waited < PROMPT_FACTOR * request.cls.aim_us)

    def _on_stream(self, event: api.StreamStarted) -> None:
        if event.request in self.requests:
            self.requests[event.request].streaming = True

    def _on_withdrawn(self, event: api.Withdrawn) -> None:
        if event.request in self.requests and self.requests[event.request].open:
            self._close(self.requests[event.request])
