"""The decisions of one dispatcher: a token market after Chen's thesis (see docs/design.md).

A request follows the holder of a token of its class; arrowfold/market counts and trades them. All else guards
the rules, keeps the view of load, or is an exception whose conditions docs/design.md states.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable

from arrowfold import interface as api
from arrowfold.interface import Idempotency, Lifecycle, RosterMode, Status
from arrowfold.market.tokens import SECOND, Rate, Token
from arrowfold.market.trading import PARTNERS, SAMPLE, TokenMarket
from arrowfold.ring import Ring
from arrowfold.state import STRIKE_US, Attempt, Request, Share, Table, Timers, Worker

ROUND_US = SECOND // 2  # mean time between market rounds
FRESH_US = SECOND  # a figure younger than this is not asked for again; twice that in a large fleet
HOMES = 4  # homes of a key whose tokens are drawn first
HOME_SHARE = 1.25  # a home holds at most this many times the mean of this dispatcher's jobs out, and one
HOME_LOAD = 1.8  # and no more load than this, others' jobs and failures counted in; 1 in a large fleet
FULL_PART = 0.05  # a worker that turned a job away is no home for this part of a mean run time
FULLS = 2  # turned away this often, a request waits here
FEW = 12  # of up to so many dispatchers each knows enough of a server by its own jobs and its own line
PATIENCE = 0.25  # of the aim: a job that has not started for so long waits in the worker's queue
EASE = 0.6  # more of the last attempts than this started at once: another worker will most likely do
QUEUE = 0.65  # a queue is joined up to this part of a worker's size
LINE = 5  # behind a line of this length who arrives waits too
LOOK = SECOND // 10  # a line is looked at this often at least while slots are free, however long jobs run
FORGET_US = 5 * SECOND  # what others had at a worker has faded half-way into their mean after this
DEAF_US = 2 * SECOND  # the longest wait between failed calls: the list counts as told 6 s after it was there
RATE_US = 10 * SECOND  # memory of the measured arrival rates
HOLDER, NEAR, FAR = range(3)  # how far a request has looked for room
COLD_SHARE = 0.4  # part of the cold budget that all dispatchers together aim to use
GONE_KEPT = 100  # workers remembered after they have left the roster
COLD_PART = 1 / 6  # the most that one request may take of a window's cold budget


def may_refuse(request: Request) -> bool:
    """Rule 2: a refusal says that trying again is harmless, so it must be."""
    kind, group = request.cls.idempotency, request.cls.group
    harmless = kind is Idempotency.SAFE or (kind is Idempotency.KEYED and group == "all")
    return harmless or not any(a.may_have_run for a in request.attempts)


def may_repeat_on(request: Request, worker: Worker, now: int) -> bool:
    """Rule 2: whether an earlier attempt that may have run lets the request go to this worker."""
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
    """Decides for one dispatcher; see `handle`."""

    def __init__(self, settings: api.Settings, seed: int, counters: Counter[str] | None = None) -> None:
        super().__init__()
        self.settings, self.random = settings, random.Random(seed)
        self.counters: Counter[str] = Counter() if counters is None else counters  # what no action tells
        self.workers: dict[str, Worker] = {}
        self.pools: dict[tuple[str | None, bool], list[Worker]] = {}
        self.cold: list[Worker] = []  # those that were cold when the roster last changed
        self.homes = Ring()
        self.kind_size: dict[str, list[float]] = {}
        self.struck = 0.0  # the mean of the serving workers' strikes for failed attempts
        self.failed_asks, self.line_due, self.misses, self.out, self.fleet = 0, False, 0, 0, 0
        resources = 2 if settings.reports_memory else 1
        self.mean, self.spread = [0.5] * resources, 0.1  # L_avg^k, and how far loads lie from it
        self.others = [0.3] * resources  # what other dispatchers have at a worker, over its size, on average
        self.ease = Share(0.9)  # of the attempts that started at once
        self.rtt = {True: 4.0 * settings.tick_us, False: 12.0 * settings.tick_us}
        self.tables = {c.name: Table(c, RATE_US) for c in settings.classes}
        self.wait_us = 0.0  # mean time from a send to its told start
        self.run_us = 1.0 * max(c.aim_us for c in settings.classes)  # mean run time
        self.requests: dict[str, Request] = {}
        self.lines: dict[str | None, list[Request]] = {c.kind: [] for c in settings.classes}
        self.tenants = {t.name: Rate(RATE_US) for t in settings.tenants}
        self.quotas = {t.name: t.quota_per_s / settings.fleet_size for t in settings.tenants}
        self.handlers: dict[type, Callable[..., None]] = {
            api.Arrival: self._on_arrival, api.AttemptEnded: self._on_ended, api.TimerFired: self._on_timer,
            api.RosterUpdate: self._on_roster, api.AttemptProgress: self._on_progress,
            api.StreamStarted: self._on_stream, api.ProbeEnded: self._on_probe,
            api.Withdrawn: self._on_withdrawn, api.SettingsChanged: self._on_settings,
        }

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Take what happened at `now_us`, return what to do now, in order."""
        self.now, self.actions = now_us, []
        if not self.next_timer:  # the first call
            self._after(self._jitter(ROUND_US), self._round)
            if self.settings.roster_on_request:
                # Guards against every dispatcher of a fleet asking a roster of fixed capacity at once.
                self._after(int(self.random.random() * self.settings.ask_within_us / 4), self._ask_roster)
        for event in events:
            if handler := self.handlers.get(type(event)):
                handler(event)
        return self.actions

    def _ask_roster(self) -> None:
        self.actions.append(api.Subscribe())

    def _jitter(self, mean_us: float) -> int:
        return int(mean_us * (0.5 + self.random.random()))

    def _on_roster(self, event: api.RosterUpdate) -> None:
        if event.mode is RosterMode.ERROR:
            # Backs off, lest a fleet swamp the roster, but is never deaf for long (rule 3).
            self.failed_asks += 1
            wait = min(DEAF_US, self.settings.ask_within_us / 24 * 1.5 ** min(self.failed_asks, 8))
            self._after(self._jitter(wait / 1.5), self._ask_roster)
            return
        if event.mode is not RosterMode.PERSISTED:
            self.failed_asks = 0
        for entry in event.entries:
            self._enter(entry)
        if event.mode is not RosterMode.PARTIAL:
            listed = {entry.worker for entry in event.entries}
            for worker in self.workers.values():
                worker.serving = worker.serving and worker.name in listed
        # Guards the memory against names that never come back; the latest are kept, for they may.
        for name in [w.name for w in self.workers.values() if not (w.serving or w.tokens)][:-GONE_KEPT]:
            del self.workers[name]
        self._index_roster()

    def _enter(self, entry: api.RosterEntry) -> None:
        worker = self.workers.setdefault(entry.worker, Worker(entry.worker))
        if entry.launched_us != worker.launched_us:
            # A restarted process: nothing believed of the last one, or still told of it, is held against it.
            last, worker = worker, Worker(entry.worker)
            worker.tokens, worker.launched_us, last.serving = last.tokens, entry.launched_us, False
            for token in worker.tokens:
                token.holder = worker
            self.workers[entry.worker] = worker
        worker.zone, worker.kind, worker.cell = entry.zone, entry.kind, entry.cell
        worker.local = entry.zone == self.settings.zone
        worker.serving = entry.lifecycle is Lifecycle.IN_SERVICE

    def _on_settings(self, event: api.SettingsChanged) -> None:
        """Other settings; requests keep their class, tables that stay their tokens and measurements."""
        new, last, self.settings = event.settings, self.tables, event.settings
        self.tables = {c.name: last.get(c.name) or Table(c, RATE_US) for c in new.classes}
        gone = [t for name, t in last.items() if name not in self.tables]
        for cls in new.classes:
            self.lines.setdefault(cls.kind, [])
            if self.tables[cls.name].cls.kind != cls.kind:
                gone.append(self.tables[cls.name])
            self.tables[cls.name].cls = cls
        for table in gone:
            for token in list(table.tokens):
                token.recall()
        if len(self.mean) != 1 + new.reports_memory:
            self.mean, self.others = [0.5] * (1 + new.reports_memory), [0.3] * (1 + new.reports_memory)
            self.kind_size = {}
            for worker in self.workers.values():
                worker.free, worker.size, worker.report = None, [], None
        for worker in self.workers.values():
            worker.local = worker.zone == new.zone
        self.tenants = {t.name: self.tenants.get(t.name) or Rate(RATE_US) for t in new.tenants}
        self.quotas = {t.name: t.quota_per_s / new.fleet_size for t in new.tenants}
        self._index_roster()

    def _index_roster(self) -> None:
        """Rebuild what draws and trades sample from, and move tokens off workers that leave."""
        serving = [w for w in self.workers.values() if w.serving]
        self.pools, self.fleet = {}, len(serving)
        for worker in serving:
            for kind in (None, worker.kind):
                self.pools.setdefault((kind, worker.local), []).append(worker)
        self.cold = [w for w in serving if w.launched_us and self._warmth(w) < 1.0]
        self.homes.hold({w.name for w in serving})
        self._rehouse([t for w in self.workers.values() if w.tokens and not w.serving for t in w.tokens])

    def _warmth(self, worker: Worker) -> float:
        """The share of its capacity that a worker surely has by now."""
        age, whole = self.now - worker.launched_us, self.settings.cold_us
        if not worker.launched_us or age >= whole:
            return 1.0
        return self.settings.cold_from + (1 - self.settings.cold_from) * max(0, age) / whole

    def _cold_wait(self, worker: Worker, work_us: float) -> None:
        """When this dispatcher may next send to a cold worker: its part of a share of the budget.

        Random times keep the dispatchers from coming in step. Who waits here is looked at right then.
        """
        rate = COLD_SHARE * self._cold_budget(worker) / self.settings.fleet_size
        wait = 1 + int(self.random.expovariate(rate / max(work_us, 1.0)))
        worker.cold_next_us = self.now + wait
        self._after(wait, self._cold_pull, worker)

    def _cold_pull(self, worker: Worker) -> None:
        self.counters["cold_turns"] += worker.serving and self._warmth(worker) < 1.0
        if self._load(worker, 0) < 1 or self._part() < 1:  # what a large fleet believes of it is old
            self._pull(worker)

    def _to_cold(self, request: Request) -> bool:
        """In a large fleet, take a turn at a cold server that has come, if it still shows a free slot."""
        fit = [w for w in self.cold if self._warmth(w) < 1.0 and (w.free is None or w.free[0] > 0)
               and self.allowed(request, w)] if self._part() < 1 else []
        self._send(request, self._pick(fit, request.table))
        return bool(fit)

    def _cold_budget(self, worker: Worker) -> float:
        return self.settings.overload_factor * self._size(worker)[0] * self._warmth(worker)

    def allowed(self, request: Request, worker: Worker) -> bool:
        """The one guard that every send passes: may this worker get this request now?"""
        settings, cls = self.settings, request.cls
        if not (request.open and worker.serving and request.reaches(worker)) or request.streaming:  # 1 and 3
            return False
        if cls.kind not in (None, worker.kind) or not self._attempts_left(request):
            return False
        out = request.out()
        if out and (not settings.second_copies or out > 1 or cls.idempotency is Idempotency.UNSAFE):
            return False
        if any(a.worker is worker and not a.ended for a in request.attempts):
            return False
        if self.now >= request.deadline_us or not may_repeat_on(request, worker, self.now):
            return False
        return self._warmth(worker) >= 1.0 or self._cold_turn(worker, request)

    def _cold_turn(self, worker: Worker, request: Request) -> bool:
        """Rule 4: a cold worker gets light requests only, at a rate that holds for all dispatchers."""
        work = request.work_us() * request.slots
        if not worker.cold_next_us:
            self._cold_wait(worker, work)
        # Guards against one heavy request that alone would spend the window's budget.
        light = COLD_PART * self._cold_budget(worker) * self.settings.overload_for_us
        return self.now >= worker.cold_next_us and work <= light

    # --- workers' load view -------------------------------------------------------------------------

    def _size(self, worker: Worker) -> list[float]:
        """R_j^k: the largest free figures seen, its kind's until one is."""
        return worker.size or self.kind_size.get(worker.kind) or [1.0] * len(self.mean)

    def _load(self, worker: Worker, k: int) -> float:
        """L_j^k: what this dispatcher has out there, what the others have by the last report, over size.

        The first is known at any time; the second fades into the fleet's mean. Failures add to it.
        """
        size = max(self._size(worker)[k], 1e-9)
        load = self.others[k]
        if worker.free is not None:
            load += (worker.others[k] / size - load) * 2 ** (-(self.now - worker.heard_us) / FORGET_US)
        load += worker.out[k] / size
        if worker.strikes:
            # Guards the work when all servers fail: who fails no more than others is not left out.
            load += max(0.0, worker.strikes * 2 ** (-(self.now - worker.strike_us) / STRIKE_US) - self.struck)
        if worker.errors and self._part() < 1:  # by its own word: who fails fast shows free slots
            load += worker.errors * self.run_us / SECOND * 2 ** (-(self.now - worker.heard_us) / STRIKE_US)
        if worker.slow > 1.5:
            load += 0.5 * (worker.slow - 1.5) * 2 ** (-(self.now - worker.slow_us) / STRIKE_US)
        return load

    def _cost(self, worker: Worker, table: Table) -> float:
        """C_j(w), equation 1, and the toll for a worker in another zone.

        J_w^k is the class's mean need of slots and memory; its tokens' common rate share cancels out.
        """
        load = self._load(worker, 0)
        if len(self.mean) > 1 and table.memory > 0:
            load = (table.slots * load + table.memory * self._load(worker, 1)) / (table.slots + table.memory)
        return load if worker.local else load + 0.02 + 5 * self.settings.prices.cross_zone

    def _pick(self, workers: list[Worker], table: Table) -> Worker | None:
        """The lowest C_j(w), blurred by the spread so that dispatchers do not herd on one report."""
        blur = {w: self._cost(w, table) + self.spread * self.random.random() for w in workers}
        return min(blur, key=blur.__getitem__) if blur else None

    def _has_room(self, worker: Worker, request: Request) -> bool:
        if worker.free is None:
            return self._load(worker, 0) < 1  # unheard: the mean, and what probes left unanswered added
        asked, size = (request.slots, request.memory), self._size(worker)
        return all(size[k] * (1 - self._load(worker, k)) >= asked[k] for k in range(len(self.mean)))

    def _take_report(self, worker: Worker, report: api.LoadReport | None) -> None:
        if report is None or report.free_slots is None:
            return
        free = [report.free_slots - (report.waiting or 0.0), report.free_memory or 0.0][:len(self.mean)]
        if not worker.size:
            # One figure for a kind: a worker that was never seen idle once counted as a fraction of its size.
            worker.size = self.kind_size.setdefault(worker.kind or worker.name, [1.0] * len(free))
        # With two slots free nobody waits there, so each that it holds has one at least.
        seen = [round(free[0]) + round(report.held or 0) if free[0] >= 1.5 else free[0], *free[1:]]
        for k, figure in enumerate(seen):
            worker.size[k] = max(worker.size[k], figure)
        worker.free, worker.heard_us, worker.errors = free, self.now, report.errors or 0.0
        worker.catch_up(self.now)
        for k, figure in enumerate(free):
            used = worker.size[k] - figure
            if not k and report.held is not None and report.free_slots <= 0:
                # Free slots don't tell of those that wait there, nor that there is none at all.
                used = max(used, report.held or 2 * worker.size[k])
            others = max(0.0, used - worker.lag[k])
            if report != worker.report:
                worker.others[k] += (0.5 if worker.report else 1.0) * (others - worker.others[k])
                self.others[k] += 0.03 * (worker.others[k] / worker.size[k] - self.others[k])
            away = min(2.0, self._load(worker, k)) - self.mean[k]
            self.mean[k] += 0.03 * away
        worker.report = report
        self.spread += 0.03 * (abs(away) - self.spread)

    def _on_probe(self, event: api.ProbeEnded) -> None:
        worker = self.workers.get(event.worker)
        if worker is None:
            return
        askers, worker.askers, worker.probe_us = worker.askers, [], None
        room = [self._has_room(worker, request) for request in askers]
        if event.status is Status.OK:
            self.rtt[worker.local] += 0.1 * (event.elapsed_us - self.rtt[worker.local])
            self._take_report(worker, event.report)
            worker.strike(self.now, -0.5)  # an answer, even a late one, takes back what silence had added
        else:
            worker.strike(self.now)
        self.counters["probes_no_news"] += room == [self._has_room(worker, request) for request in askers]
        for request in askers:
            if worker in request.candidates and request.awaiting:
                request.awaiting -= 1
                if not request.awaiting and request.open:
                    self._decide(request)

    def _ask(self, request: Request, workers: list[Worker]) -> None:
        """Buy the figures that are not fresh, then decide; a short wait stands in for lost answers."""
        request.candidates, request.awaiting = workers, 0
        # Of a large fleet, three in four probes tell nothing new; the fourth may find a server silent.
        fresh_us = FRESH_US * (1 if self._part() >= 1 else 2)
        if self.settings.may_probe and self.settings.load_source is not api.LoadSource.NONE:
            for worker in (w for w in workers if w.free is None or self.now - w.heard_us >= fresh_us):
                if worker.probe_us is None:
                    worker.probe_us = self.now
                    self.actions.append(api.Probe(worker.name))
                worker.askers.append(request)
                request.awaiting += 1
        if not request.awaiting:
            self._decide(request)
            return
        request.wave += 1
        wait = 3 * self.rtt[all(w.local for w in workers)] + 2 * self.settings.tick_us
        self._after(wait, self._give_up_waiting, request, request.wave)

    def _give_up_waiting(self, request: Request, wave: int) -> None:
        if request.open and request.awaiting and request.wave == wave:
            request.awaiting = 0
            for worker in (w for w in request.candidates if w.probe_us is not None):
                worker.strike(self.now, 0.5)
            self._decide(request)

    # --- token tables and market --------------------------------------------------------------------

    def _pool_pick(self, table: Table, count: int, near: bool) -> list[Worker]:
        pool = self.pools.get((table.cls.kind, near)) or self.pools.get((table.cls.kind, not near)) or []
        return [pool[int(self.random.random() * len(pool))] for _ in range(count)] if pool else []

    def _sample(self, table: Table, count: int) -> list[Worker]:
        """A few workers that may hold this class's tokens, near ones first, each once."""
        return list(dict.fromkeys(self._pool_pick(table, count - 1, True) + self._pool_pick(table, 1, False)))

    def _may_hold(self, worker: Worker, table: Table) -> bool:
        return table.cls.kind in (None, worker.kind)

    def _may_receive(self, worker: Worker) -> bool:
        return self._warmth(worker) >= 1.0

    def _round(self) -> None:
        """One round of the market: recount the tokens, then trade among a few sampled workers."""
        self._after(self._jitter(ROUND_US), self._round)
        failed = [w.failed * 2 ** (-(self.now - w.strike_us) / STRIKE_US) for w in self.workers.values()
                  if w.serving]
        self.struck = sum(failed) / max(1, len(failed))
        self._recount()
        tables = [t for t in self.tables.values() if t.tokens]
        holders = [self.random.choice(t.tokens).holder for t in tables for _ in range(2)]
        sampled = holders + [w for t in tables[:1] for w in self._sample(t, SAMPLE)]
        self._trade(list(dict.fromkeys(w for w in sampled if w.serving)))

    # --- requests and attempts ----------------------------------------------------------------------

    def _on_arrival(self, event: api.Arrival) -> None:
        if event.request in self.requests:
            return
        table = self.tables.get(event.request_class)
        if table is None:
            # A class the settings don't name: nothing is known of repeating it, so it is refused unsent.
            self.actions.append(api.Refuse(event.request))
            return
        cap = self.settings.attempt_cap
        request = self.requests[event.request] = Request(event, table, self.now, cap)
        table.rate.count(self.now)
        request.over_share = self._over_share(event.tenant)
        table.slots += 0.05 * (request.slots - table.slots)
        table.memory += 0.05 * (request.memory - table.memory)
        # Rule 1, whatever else fails: each open request owes this timer.
        self._after(event.deadline_us - self.now - self.settings.tick_us, self._end, request)
        if self._part() < 1:  # a client that comes again has less than the class's time left
            request.comes_again(self.now)
        least, late = min(c.worth for c in self.settings.classes), table.cls.worth * table.cls.late_share
        if request.aged and not self._eased() and late < least:
            self._end(request)  # guards who can still be in time against those who can't
        elif len(self.lines[table.cls.kind]) < LINE:
            self._seek(request)
        elif not self._to_cold(request):
            self._hold(request)  # many wait already: asking again for each would swamp the workers

    def _seek(self, request: Request, tier: int = 0) -> None:
        """Draw a token and look at its holder first, among what the route leaves up to this tier."""
        table = request.table
        request.token, request.tier = None, tier
        if not self._attempts_left(request):
            self._stuck(request)
            return
        if not request.attempts and self._to_cold(request):  # else they idle until all others are full
            return
        if not table.tokens and self.tables.get(table.cls.name) is table:
            self._grant(table)
        tried = [a.worker for a in request.attempts]
        token = self._draw(request, tried)
        if token and token.holder not in tried and self.allowed(request, token.holder):
            request.token, request.stage = token, HOLDER
            self._ask(request, [token.holder])
        else:
            self._widen(request, near=True)

    def _home_will_do(self, home: Worker) -> bool:
        """Guards a popular key's first home: one more only by own jobs, known exactly, and reported load."""
        return home.out[0] <= 1 + HOME_SHARE * self.out / max(1, self.fleet) \
            and self._load(home, 0) < 1 + (HOME_LOAD - 1) * self._part() \
            and self.now - home.full_us >= FULL_PART * self.run_us

    def _part(self) -> float:
        """Under 1 where so many dispatchers share a server that their own jobs tell little of its load."""
        return min(1.0, FEW / self.settings.fleet_size)

    def _blind(self) -> bool:
        """Of a large fleet with no load told: homes fill unheard, and what is called off is sent on again."""
        return self._part() < 1 and not self.settings.tells_load

    def _draw(self, request: Request, tried: list[Worker]) -> Token[Worker] | None:
        """A token of the class: one that a home of the request's key holds, else any, by chance."""
        # Of a large fleet, enough dispatchers are in each zone to share what a home there keeps.
        for home in sorted(self._homes_of(request)[:HOMES], key=lambda w: self._part() < 1 and not w.local):
            if home not in tried and self._home_will_do(home) and self.allowed(request, home):
                token = next((t for t in home.tokens if t.table is request.table), None)
                if token is not None:
                    return token
        first = self._part() < 1 and not request.attempts  # of a large fleet, it stays in the zone if it can
        count, tokens = SAMPLE if request.reach else PARTNERS if first else 1, request.table.tokens
        drawn = [self.random.choice(tokens) for _ in range(count)] if tokens else []
        drawn = [token for token in drawn if request.reaches(token.holder)]
        return next((t for t in drawn if first and t.holder.local), drawn[0] if drawn else None)

    def _homes_of(self, request: Request) -> list[Worker]:
        """The workers that every dispatcher names for this key, in one order; guards against fetches."""
        if not request.key or not self.homes.names or self._blind():
            return []
        if request.homes_of != self.homes.version:
            request.homes = [self.workers[name] for name in self.homes.after(request.key, 4 * PARTNERS)]
            request.homes_of = self.homes.version
        return request.homes

    def _decide(self, request: Request) -> None:
        """With the figures at hand: follow the holder, trade its token at once, or look further."""
        token, table = request.token, request.table
        fit = [w for w in request.candidates if self.allowed(request, w)]
        room = [w for w in fit if self._has_room(w, request)]
        if request.stage == HOLDER and token:
            home = token.holder in self._homes_of(request)[:HOMES] and self._home_will_do(token.holder)
            even = token.holder in room and self._imbalance(token.holder)[0] <= self.spread * len(self.mean)
            if even or (home and token.holder in fit):
                self._send(request, token.holder)
            else:
                self._widen(request, near=True)
            return
        best = self._pick(room, table)
        if best is not None:
            self.misses = 0
            if token and token.holder is not best and token in request.table.tokens:
                token.move(best)  # the drawn holder is full or barred: traded at once by C_j(w)
            self._send(request, best)
        elif request.stage == NEAR and (request.cls.kind, False) in self.pools:
            self._widen(request, near=False)
        else:
            self._crowded(request, fit)

    def _widen(self, request: Request, near: bool) -> None:
        tried = [a.worker for a in request.attempts]
        homes = self._homes_of(request)[0 if near else PARTNERS:]
        some = homes[:PARTNERS] or self._pool_pick(request.table, PARTNERS, near)
        if request.reach:  # a few at random would miss a small region's room
            some = [w for w in self.workers.values() if w.serving and request.reaches(w)]
            some = self.random.sample(some, min(SAMPLE, len(some)))
        picked = [w for w in dict.fromkeys(some) if w not in tried and self.allowed(request, w)]
        if request.token and request.token.holder not in picked and not homes:
            picked.append(request.token.holder)
        request.stage = NEAR if near else FAR
        self._ask(request, picked)

    def _crowded(self, request: Request, fit: list[Worker]) -> None:
        """Nobody seen has room: join a queue that is told to be short enough, else wait here."""
        table = request.table
        if request.reach and request.tier < request.reach.last:
            self._seek(request, request.tier + 1)  # the preferred regions have no room: the next one's turn
            return
        if self._to_cold(request):
            return
        # The last attempt is kept for a worker with room: a full queue turns requests away.
        if fit and not self.out:
            # Guards against figures that say zero for ever: who has nothing out believes none of them.
            self._send(request, self._pick(fit, table))
            return
        best = self._pick([w for w in fit if w.free is not None and self._attempts_left(request) > 1], table)
        if best is not None:
            ahead = (self._load(best, 0) - 1) + request.slots / self._size(best)[0]
            if ahead < QUEUE and self.now + 2 * ahead * table.run_us < self._late_at(request):
                self._send(request, best)
                return
        self.misses += 1
        self._hold(request)

    def _over_share(self, tenant: str | None) -> bool:
        """Whether a request lies beyond its tenant's share, judged by this dispatcher's part of it."""
        quota = self.quotas.get(tenant or "", 0.0)
        if tenant is None or quota <= 0:
            return False
        self.tenants[tenant].count(self.now)
        return self.random.random() > quota / self.tenants[tenant].now(self.now)

    def _rank(self, request: Request) -> float:
        """Who goes first when room is short: the most worth for the work."""
        cls, work = request.cls, max(1.0, request.work_us() * request.slots)
        worth = cls.worth * (self.settings.over_share_worth if request.over_share else 1.0)
        worth *= cls.late_share if request.aged else 1.0
        return worth if self.settings.worth_by_work else worth / work

    def _hold(self, request: Request) -> None:
        """Guards against a jam: a request that finds no room waits here, not in a full worker's queue.

        It is looked at as often as slots turn over, up to LOOK; else all would chase one stale figure.
        """
        if request not in (line := self.lines[request.cls.kind]):
            line.append(request)
        if not self.line_due:
            self.line_due = True
            self._after(self._jitter(min(self.run_us / 8, LOOK) * min(8, 1 + self.misses)), self._poll_lines)

    def _poll_lines(self) -> None:
        """One request of each line looks for room again; those that can no longer be served end."""
        self.line_due = False
        for line in self.lines.values():
            # Guards against a jam that feeds itself: late work would make what comes after it late too.
            for request in [q for q in line if self.now >= self._late_at(q)]:
                line.remove(request)
                self._stuck(request)
            if line:
                best = max(line, key=self._rank)
                line.remove(best)
                self._seek(best)
            if line:
                self._hold(line[0])

    def _pull(self, worker: Worker) -> None:
        """A slot this dispatcher's own job has left pulls the best request that waits here."""
        for kind in (worker.kind, None):
            waiting = [q for q in self.lines.get(kind, ())
                       if self.now < self._late_at(q) and self.allowed(q, worker)]
            if waiting:
                best = max(waiting, key=lambda q: (worker in self._homes_of(q)[:PARTNERS], self._rank(q)))
                self.lines[kind].remove(best)
                self._send(best, worker)
                return

    # --- attempts ------------------------------------------------------------------------------------

    def _attempts_left(self, request: Request) -> int:
        """By the settings at its arrival and by those now: fewer attempts bind at once."""
        return max(0, min(request.cap, self.settings.attempt_cap) - len(request.attempts))

    def _late_at(self, request: Request) -> float:
        """The last moment to start and still be in time, as far as can be told."""
        cls, work = request.cls, request.work_us()
        more = (cls.stretch - 1) * work if self._part() >= 1 else 0.0  # which a light job has not
        in_time = request.born_us + cls.aim_us + more - self.wait_us
        return request.deadline_us - work if request.aged else min(in_time, request.deadline_us - work)

    def _stuck(self, request: Request) -> None:
        """No further attempt is possible or wise: wait for what is out, else end it."""
        if not request.out():
            self._end(request)

    def _end(self, request: Request) -> None:
        """The one final answer of this dispatcher's own."""
        if request.open and not request.streaming:
            refusal = api.Refuse(request.id, self._come_back_us())
            self.actions.append(refusal if may_refuse(request) else api.Fail(request.id))
            self._close(request)

    def _come_back_us(self) -> int:
        """What a refused client is told: come back once the slots have turned over, not all at once."""
        longest = self.settings.max_retry_after_us if self.settings.retry_after else 0
        return min(longest, self._jitter(self.run_us))

    def _close(self, request: Request) -> None:
        request.open, request.candidates = False, []
        if request in self.lines[request.cls.kind]:
            self.lines[request.cls.kind].remove(request)
        for number, attempt in enumerate(request.attempts):
            if not attempt.ended and self.settings.may_cancel:
                self.actions.append(api.Cancel(request.id, number))
        if not request.out():
            self.requests.pop(request.id, None)

    def _send(self, request: Request, worker: Worker | None) -> None:
        if worker is None or not self.allowed(request, worker):
            return
        request.attempts.append(Attempt(worker, self.now))
        worker.count(self.now, request.slots, request.memory)
        self.out += 1
        if self._warmth(worker) < 1.0:
            self.counters["cold_turns_used"] += 1
            self._cold_wait(worker, request.work_us() * request.slots)
        self.actions.append(api.Send(request.id, worker.name))
        number, work = len(request.attempts) - 1, request.work_us()
        self._after(request.cls.aim_us + max(2.0, request.cls.stretch) * work, self._overdue, request, number)
        if self.settings.tells_start and self._part() < 1 and not self._blind():
            self._after(self._late_at(request) + self.wait_us - self.now, self._unstarted, request, number)
            if self._attempts_left(request):
                self._after(PATIENCE * request.cls.aim_us, self._queued, request, number)

    def _eased(self) -> bool:
        """Whether a worker that is tried will most likely start a job at once."""
        return self.ease.value > EASE

    def _queued(self, request: Request, number: int) -> None:
        """Guards against waiting behind others while slots are free elsewhere: no report tells in time."""
        attempt = request.attempts[number]
        if self._eased() and not attempt.ended and attempt.begun_us == attempt.sent_us:
            self.ease.note(False)
            self._unstarted(request, number)

    def _unstarted(self, request: Request, number: int) -> None:
        """Guards against late work that makes what waits behind it late too: it leaves a server's queue."""
        attempt = request.attempts[number]
        if request.open and attempt.begun_us == attempt.sent_us and not (attempt.ended or request.streaming) \
                and self.settings.may_cancel and may_refuse(request) and not self._blind():
            self.actions.append(api.Cancel(request.id, number))

    def _overdue(self, request: Request, number: int) -> None:
        """Guards against a worker that has gone silent or crawls."""
        attempt = request.attempts[number]
        if attempt.ended or not request.open or request.streaming:
            return
        attempt.worker.strike(self.now, 0.5)
        if self.settings.second_copies:
            if request.out() == 1 and request.cls.idempotency is not Idempotency.UNSAFE:
                self._seek(request)
        elif self._attempts_left(request):
            self._unstarted(request, number)

    def _on_ended(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        self._judge(attempt.worker, event)
        attempt.ended, attempt.may_have_run = True, not event.status.never_ran
        attempt.worker.count(self.now, -request.slots, -request.memory)
        self.out -= 1
        if event.final:
            self._close(request)
        if event.status is Status.OK:
            self._measure(request, attempt)
            self._pull(attempt.worker)
        if request.out():
            return
        if not request.open:
            self.requests.pop(request.id, None)
        elif request.cls.idempotency is Idempotency.UNSAFE and attempt.may_have_run:
            self._end(request)  # rule 2: it may have run, and must not run twice
        elif event.status is Status.FULL and len(request.attempts) >= FULLS and self._attempts_left(request) \
                and not (self._part() < 1 and self._eased()):
            self._hold(request)
        else:
            self._seek(request)

    def _judge(self, worker: Worker, event: api.AttemptEnded) -> None:
        """What an outcome says of the worker; refusals and losses count as not accepted."""
        self._take_report(worker, event.report)
        if event.status is Status.FULL:
            worker.full_us = self.now
            self.ease.note(False)
        elif event.status in (Status.ERROR, Status.CONNECT_FAILED, Status.RESET, Status.TIMEOUT):
            worker.strike(self.now, failed=event.status is not Status.TIMEOUT)

    def _measure(self, request: Request, attempt: Attempt) -> None:
        """C_i, from told start, else send, to outcome; and how the worker's pace compares."""
        table = request.table
        run = max(1.0, self.now - attempt.begun_us)
        table.seen += 1
        step = max(0.03, 1 / table.seen)
        attempt.worker.note_pace(self.now, run / max(1.0, request.work_us()))
        table.run_us += step * (run - table.run_us)
        self.run_us += 0.03 * (run - self.run_us)
        if request.hint:
            table.per_hint += step * (run / request.hint - table.per_hint)

    def _on_progress(self, event: api.AttemptProgress) -> None:
        request = self.requests.get(event.request)
        if request is not None and event.attempt < len(request.attempts) and event.done is None:
            attempt = request.attempts[event.attempt]
            attempt.begun_us, waited = self.now, self.now - attempt.sent_us
            self.wait_us += 0.03 * (waited - self.wait_us)
            self.ease.note(waited < PATIENCE * request.cls.aim_us)

    def _on_stream(self, event: api.StreamStarted) -> None:
        if event.request in self.requests:
            self.requests[event.request].streaming = True

    def _on_withdrawn(self, event: api.Withdrawn) -> None:
        if event.request in self.requests and self.requests[event.request].open:
            self._close(self.requests[event.request])
