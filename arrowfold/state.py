"""What a dispatcher remembers: plain types with no decisions, used by arrowfold/choice.py alone."""

from __future__ import annotations

from collections.abc import Callable

from arrowfold import interface as api
from arrowfold.market.tokens import SECOND, Token, TokenTable

LAG_US = SECOND // 2  # how far reports lie behind, about
STRIKE_US = 4 * SECOND  # a failure's weight halves in this time


class Worker:
    """A worker as this dispatcher sees it: its roster entry, its figures, its tokens."""

    __slots__ = (
        "askers", "cell", "cold_next_us", "errors", "failed", "free", "full_us", "heard_us", "kind", "lag",
        "lag_us", "launched_us", "local", "name", "others", "out", "probe_us", "report", "serving", "size",
        "slow", "slow_us", "strike_us", "strikes", "tokens", "zone",
    )

    def __init__(self, name: str) -> None:
        self.name, self.zone, self.kind, self.cell, self.local = name, "", "", 0, False
        self.launched_us, self.serving = 0, False
        self.free: list[float] | None = None  # reported free figures, less what waits
        self.size: list[float] = []  # R_j^k: the largest free figures seen
        self.full_us = -60 * SECOND  # when it last turned a job away
        self.errors = 0.0  # a second, by its last report
        self.report: object = None  # the last one, to tell a new one from the same told again
        self.out = [0.0, 0.0]  # what this dispatcher has out there now
        self.lag, self.lag_us = [0.0, 0.0], 0  # the same as reports show it: some time ago
        self.others = [0.0, 0.0]  # what the other dispatchers have there
        self.heard_us, self.slow, self.slow_us = 0, 1.0, 0
        self.strikes, self.failed, self.strike_us = 0.0, 0.0, 0
        self.probe_us: int | None = None  # when the probe still out was sent
        self.askers: list[Request] = []
        self.tokens: list[Token[Worker]] = []
        self.cold_next_us = 0

    def catch_up(self, now: int) -> None:
        """What this dispatcher had out when a report that is heard now was made, about."""
        part = 1 - 2 ** (-(now - self.lag_us) / LAG_US)
        self.lag_us = now
        for k in (0, 1):
            self.lag[k] += part * (self.out[k] - self.lag[k])

    def count(self, now: int, slots: float, memory: float) -> None:
        """So much more is out here, or less."""
        self.catch_up(now)
        self.out[0] = max(0.0, self.out[0] + slots)
        self.out[1] = max(0.0, self.out[1] + memory)

    def note_pace(self, now: int, ratio: float) -> None:
        """How much slower than usual it runs; forgotten unless seen again."""
        self.slow += 0.3 * (min(ratio, 10.0) - self.slow)
        self.slow_us = now

    def strike(self, now: int, weight: float = 1.0, failed: bool = False) -> None:
        """Guards against a worker that fails, hangs or has gone: its load rises, for a while."""
        part = 2 ** (-(now - self.strike_us) / STRIKE_US)
        self.strikes, self.strike_us = min(max(self.strikes * part + weight, 0.0), 4.0), now
        self.failed = min(self.failed * part + failed, self.strikes)


class Timers:
    """What a dispatcher does now, and what it has put off: calls by the handles of their timers."""

    def __init__(self) -> None:
        self.now = 0
        self.actions: list[api.Action] = []
        self.timers: dict[int, tuple[Callable[..., None], tuple[object, ...]]] = {}
        self.next_timer = 0

    def _after(self, delay_us: float, call: Callable[..., None], *args: object) -> None:
        self.next_timer += 1
        self.timers[self.next_timer] = call, args
        self.actions.append(api.SetTimer(max(0, int(delay_us)), self.next_timer))

    def _on_timer(self, event: api.TimerFired) -> None:
        call, args = self.timers.pop(event.handle, (None, ()))
        if call:
            call(*args)


class Attempt:
    """One send of a request."""

    __slots__ = ("begun_us", "ended", "may_have_run", "sent_us", "worker")

    def __init__(self, worker: Worker, now: int) -> None:
        self.worker, self.sent_us, self.begun_us = worker, now, now
        self.ended, self.may_have_run = False, True


class Request:
    """An open request and its attempts."""

    __slots__ = (
        "aged", "attempts", "awaiting", "born_us", "candidates", "cap", "cls", "deadline_us", "hint", "homes",
        "homes_of", "id", "key", "memory", "open", "over_share", "reach", "slots", "stage", "streaming",
        "table", "tier", "token", "wave",
    )

    def __init__(self, event: api.Arrival, table: Table, now: int, cap: int = 1) -> None:
        self.cls, self.cap = table.cls, cap  # as they were at its arrival
        self.id, self.table, self.deadline_us, self.born_us = event.request, table, event.deadline_us, now
        self.slots, self.memory, self.hint = event.slots, event.memory, event.effort_us
        self.key, self.open, self.streaming, self.over_share = event.key, True, False, False
        self.aged = False  # its client's aim had gone by when it came
        self.attempts: list[Attempt] = []
        self.awaiting = self.stage = self.wave = self.tier = 0
        self.reach = event.reach
        self.candidates: list[Worker] = []
        self.token: Token[Worker] | None = None
        self.homes: list[Worker] = []
        self.homes_of = -1  # the ring's version that they stand for

    def reaches(self, worker: Worker) -> bool:
        """Whether the route leaves this worker, up to the tier that is looked at."""
        return self.reach is None or self.reach.holds(worker.zone, worker.kind, self.tier)

    def comes_again(self, now: int) -> None:
        """Count from its client's first try: a later one has less time left than others of its class."""
        self.born_us = min(now, self.deadline_us - self.table.longest_wait(self.deadline_us - now))
        self.aged = now > self.born_us + self.cls.aim_us

    def work_us(self) -> float:
        """How long it is expected to run."""
        return self.hint * self.table.per_hint if self.hint else self.table.run_us

    def out(self) -> int:
        """How many attempts have no outcome yet."""
        return sum(not a.ended for a in self.attempts)


class Share:
    """A share of late events, the newest weighing most."""

    __slots__ = ("value",)

    def __init__(self, value: float) -> None:
        self.value = value

    def note(self, held: bool) -> None:
        """One event more, of which it holds or not."""
        self.value += 0.05 * (held - self.value)


class Table(TokenTable[Worker]):
    """The tokens of one class, and what is measured of it."""

    __slots__ = ("cls", "longest_us", "per_hint")

    def __init__(self, cls: api.RequestClass, memory_us: int) -> None:
        super().__init__(float(cls.aim_us), memory_us)  # the aim until a run is measured
        self.cls = cls
        self.per_hint = 1.0  # run time for each unit of hinted work
        self.longest_us = 0  # how long the clients with the most time left waited, lately

    def longest_wait(self, left_us: int) -> int:
        """How long a client waits in all, by those that came lately; the newest has so much time left.

        Guards clients that never wait as long as their class would let them: none of them comes again.
        """
        self.longest_us += max(left_us - self.longest_us, (left_us - self.longest_us) // 20)
        return min(self.longest_us, self.cls.deadline_us)
