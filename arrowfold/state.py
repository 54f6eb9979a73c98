"""The state of a dispatcher: plain types without decisions, used by arrowfold/choice.py only."""

from __future__ import annotations

from collections.abc import Callable

from arrowfold import interface as api
from arrowfold.market.tokens import SECOND, Token, TokenTable

REPORT_LAG_US = SECOND // 2  # approximate age of a load report on arrival
PENALTY_HALF_LIFE_US = 4 * SECOND  # half-life of a failure penalty


class Worker:
    """A worker as known to this dispatcher: its roster entry, load, penalties and tokens.

    Lists of two hold slots and memory.
    """

    __slots__ = (
        "cell", "errors_per_s", "failed", "free", "kind", "lag_updated_us", "lagged_in_flight",
        "last_report_us", "launched_us", "local", "name", "next_cold_turn_us", "others_used", "out",
        "penalty_us", "probe_sent_us", "probe_waiters", "refused_us", "report", "serving", "size",
        "slowness", "slowness_us", "strikes", "tokens", "zone",
    )

    def __init__(self, name: str) -> None:
        self.name, self.zone, self.kind, self.cell, self.local = name, "", "", 0, False
        self.launched_us, self.serving = 0, False
        self.free: list[float] | None = None  # last report; slots less requests waiting there
        self.size: list[float] = []  # R_j^k: the largest free resources reported
        self.refused_us = -60 * SECOND  # time of its last refusal
        self.errors_per_s = 0.0  # from its last report
        self.report: object = None  # the last one, to recognize repeated reports
        self.out = [0.0, 0.0]  # resources of this dispatcher's attempts in flight
        self.lagged_in_flight, self.lag_updated_us = [0.0, 0.0], 0  # the same, delayed as in reports
        self.others_used = [0.0, 0.0]  # resources in use by other dispatchers
        self.last_report_us, self.slowness, self.slowness_us = 0, 1.0, 0
        # Failure penalties: of all kinds, and the part from failed attempts; time of the last change.
        self.strikes, self.failed, self.penalty_us = 0.0, 0.0, 0
        self.probe_sent_us: int | None = None  # of the probe in flight
        self.probe_waiters: list[Request] = []
        self.tokens: list[Token[Worker]] = []
        self.next_cold_turn_us = 0

    def update_lagged_in_flight(self, now: int) -> None:
        """Updates the delayed view of the attempts in flight, for comparison with a report received now."""
        weight = 1 - 2 ** (-(now - self.lag_updated_us) / REPORT_LAG_US)
        self.lag_updated_us = now
        for k in (0, 1):
            self.lagged_in_flight[k] += weight * (self.out[k] - self.lagged_in_flight[k])

    def add_in_flight(self, now: int, slots: float, memory: float) -> None:
        """Adds to the resources of attempts in flight; negative amounts end them."""
        self.update_lagged_in_flight(now)
        self.out[0] = max(0.0, self.out[0] + slots)
        self.out[1] = max(0.0, self.out[1] + memory)

    def note_slowness(self, now: int, ratio: float) -> None:
        """Adds a ratio of measured to expected run time; its effect on the load decays."""
        self.slowness += 0.3 * (min(ratio, 10.0) - self.slowness)
        self.slowness_us = now

    def add_penalty(self, now: int, weight: float = 1.0, is_failure: bool = False) -> None:
        """Adds to the failure penalty, which raises the load of a failing or unresponsive worker for a while.

        `is_failure` marks a failed attempt; the others are timeouts and unanswered probes.
        """
        decay = 2 ** (-(now - self.penalty_us) / PENALTY_HALF_LIFE_US)
        self.strikes, self.penalty_us = min(max(self.strikes * decay + weight, 0.0), 4.0), now
        self.failed = min(self.failed * decay + is_failure, self.strikes)


class Timers:
    """The current actions of a dispatcher, and its pending callbacks by timer handle."""

    def __init__(self) -> None:
        self.now = 0
        self.actions: list[api.Action] = []
        self.timers: dict[int, tuple[Callable[..., None], tuple[object, ...]]] = {}
        self.next_timer = 0

    def _set_timer(self, delay_us: float, callback: Callable[..., None], *args: object) -> None:
        self.next_timer += 1
        self.timers[self.next_timer] = callback, args
        self.actions.append(api.SetTimer(max(0, int(delay_us)), self.next_timer))

    def _on_timer(self, event: api.TimerFired) -> None:
        callback, args = self.timers.pop(event.handle, (None, ()))
        if callback:
            callback(*args)


class Attempt:
    """An attempt of a request at one worker."""

    __slots__ = ("ended", "may_have_run", "sent_us", "start_us", "worker")

    def __init__(self, worker: Worker, now: int) -> None:
        self.worker, self.sent_us, self.start_us = worker, now, now  # the start as soon as it is reported
        self.ended, self.may_have_run = False, True


class Request:
    """A request and its attempts."""

    __slots__ = (
        "affinity", "affinity_version", "attempt_cap", "attempts", "candidates", "cls", "deadline_us",
        "effort_us", "id", "key", "memory", "open", "over_share", "pending_probes",
        "probe_round", "reach", "search_stage", "slots", "streaming", "table", "tier", "token",
    )

    def __init__(self, event: api.Arrival, table: Table, attempt_cap: int = 1) -> None:
        self.cls, self.attempt_cap = table.cls, attempt_cap  # as of its arrival
        self.id, self.table, self.deadline_us = event.request, table, event.deadline_us
        self.slots, self.memory, self.effort_us = event.slots, event.memory, event.effort_us
        self.key, self.open, self.streaming, self.over_share = event.key, True, False, False
        self.attempts: list[Attempt] = []
        self.pending_probes = self.search_stage = self.probe_round = self.tier = 0
        self.reach = event.reach
        self.candidates: list[Worker] = []
        self.token: Token[Worker] | None = None
        self.affinity: list[Worker] = []
        self.affinity_version = -1  # version of the ring that `affinity` was read from

    def can_use(self, worker: Worker) -> bool:
        """Returns whether the route permits this worker, in the tiers up to the current one."""
        return self.reach is None or self.reach.holds(worker.zone, worker.kind, self.tier)

    def work_us(self) -> float:
        """Returns the expected run time."""
        return self.effort_us * self.table.run_per_effort if self.effort_us else self.table.run_us

    def count_in_flight(self) -> int:
        """Returns the number of attempts without an outcome."""
        return sum(not a.ended for a in self.attempts)


class RunningShare:
    """An exponential moving average of a Boolean."""

    __slots__ = ("value",)

    def __init__(self, value: float) -> None:
        self.value = value

    def add(self, holds: bool) -> None:
        """Adds one observation."""
        self.value += 0.05 * (holds - self.value)


class Table(TokenTable[Worker]):
    """The tokens and measurements of one request class."""

    __slots__ = ("cls", "run_per_effort")

    def __init__(self, cls: api.RequestClass, memory_us: int) -> None:
        super().__init__(float(cls.aim_us), memory_us)  # the objective until a run is measured
        self.cls = cls
        self.run_per_effort = 1.0  # run time per unit of expected effort
