"""A worker as one edge sees it: its record, its figures, its tokens and the requests sent there."""

from __future__ import annotations

from dataclasses import dataclass

from arrowfold.internal.messages import WorkerRecord
from arrowfold.market.tokens import Token
from arrowfold.selection.estimates import MovingMean, PriorMean
from arrowfold.selection.interface import RequestProfile
from arrowfold.selection.prompt_parts import KeptParts, name_mark

AVAILABLE = "available"
SILENT = "silent"
KV_TOKENS_PER_SLOT = 4096.0  # until the configuration tells the size of the KV memory
MOST_STRIKES = 4.0


@dataclass(slots=True)
class InFlight:
    """A request that was sent to a worker and has not ended."""

    request: RequestProfile
    sent_s: float
    prefill_tokens: float  # that the worker had to read, as far as known
    backlog_tokens: float  # of this edge's requests that it read first
    expected_s: float = 0.0  # to the first event, had nobody else been there
    first_event_s: float | None = None
    overdue: bool = False


class EngineWorker:
    """One instance of a worker. Loads are counted in requests (slots) and in tokens (KV memory)."""

    def __init__(self, record: WorkerRecord, local: bool) -> None:
        self.record, self.local = record, local
        self.instance = record.instance
        self.mark = name_mark(record.instance)
        self.held = {model.name: frozenset(model.adapters) for model in record.models}
        self.arrivals: dict[tuple[str, str], float] = {}  # when what is being loaded is there
        self.tokens: list[Token[EngineWorker]] = []
        self.in_flight: dict[str, InFlight] = {}
        self.kv_tokens = max(1, record.capacity_slots) * KV_TOKENS_PER_SLOT
        self.kept = KeptParts(self.kv_tokens)
        self.others = 0.0  # requests of other edges there, by the last report
        self.waiting_others = 0.0  # those of them that waited for their first event
        self.heard_s: float | None = None
        self.slots = max(1, record.capacity_slots)
        self.pauses = PriorMean()  # longest pauses of streams, as a part of the objective
        self.pace = MovingMean()  # its times to the first event over those expected
        self.delay_s, self.delay_at_s = 0.0, 0.0  # how much later than expected first events came there
        self._strikes, self._strike_s = 0.0, 0.0
        self._unreachable_until_s = 0.0
        self.misdirected: dict[tuple[str, str], float] = {}  # when it denied holding a class

    @property
    def available(self) -> bool:
        """Whether new requests may go there."""
        return self.record.state == AVAILABLE

    @property
    def out(self) -> int:
        """This edge's requests there."""
        return len(self.in_flight)

    def take(self, record: WorkerRecord, now_s: float) -> bool:
        """Take a newer record; True if who holds what, or who serves, has changed."""
        before, self.record = self.record, record
        self.take_arrivals(now_s)
        if record.models is not before.models and record.models != before.models:
            self.held = {model.name: frozenset(model.adapters) for model in record.models}
            self.kept.forget_model(frozenset(self.held))
            self.misdirected.clear()
            return True
        return record.state != before.state

    def take_arrivals(self, now_s: float) -> None:
        """Note when what is being loaded there is expected to be there."""
        arriving = self.record.arriving
        if arriving or self.arrivals:
            self.arrivals = {(item.model, item.adapter): now_s + item.ready_in_s for item in arriving}

    def arrival_s(self, model: str, adapter: str) -> float | None:
        """When a class that is being loaded is expected to be there; None if it is not."""
        if not self.arrivals:
            return None
        if adapter and model not in self.held:
            return self.arrivals.get((model, ""))
        return self.arrivals.get((model, adapter))

    def holds(self, model: str, adapter: str, now_s: float, denied_s: float) -> bool:
        """Whether it can run requests of a class by its last record, and did not deny that in `denied_s`."""
        if not model:
            return True
        adapters = self.held.get(model)
        if adapters is None or (adapter and adapter not in adapters):
            return False
        denied_at_s = self.misdirected.get((model, adapter)) if self.misdirected else None
        return denied_at_s is None or now_s - denied_at_s > denied_s

    def note_unreachable(self, until_s: float) -> None:
        """No connection to it came up: it counts as no holder until then."""
        self._unreachable_until_s = until_s

    def is_reachable(self, now_s: float) -> bool:
        """Whether it was not found unreachable just now."""
        return now_s >= self._unreachable_until_s

    def denies(self, model: str, adapter: str) -> bool:
        """Whether it said that it doesn't hold a class, though its last record says so."""
        return (model, adapter) in self.misdirected

    def set_kv_tokens(self, tokens: float) -> None:
        """Take the size of its KV memory."""
        self.kv_tokens = max(1.0, tokens)
        self.kept.capacity_tokens = self.kv_tokens

    def strike(self, now_s: float, half_life_s: float, weight: float = 1.0) -> None:
        """A failure raises its load for a while."""
        self._strikes = min(MOST_STRIKES, self.strikes(now_s, half_life_s) + weight)
        self._strike_s = now_s

    def strikes(self, now_s: float, half_life_s: float) -> float:
        """The failures that still count."""
        if not self._strikes:
            return 0.0
        return float(self._strikes * 2 ** (-(now_s - self._strike_s) / half_life_s))

    def note_delay(self, delay_s: float, now_s: float) -> None:
        """A first event came so much later than expected."""
        self.delay_s, self.delay_at_s = max(0.0, delay_s), now_s

    def delay(self, now_s: float, half_life_s: float) -> float:
        """How much later than expected a first event would come now: others' requests are in the way.

        By the last first event, fading, and by those that are overdue.
        """
        delay_s = self.delay_s * 2 ** (-(now_s - self.delay_at_s) / half_life_s)
        for flight in self.in_flight.values():
            if flight.first_event_s is None:
                delay_s = max(delay_s, now_s - flight.sent_s - flight.expected_s)
        return float(delay_s)

    def unstarted(self) -> int:
        """This edge's requests there that have no first event yet."""
        return sum(flight.first_event_s is None for flight in self.in_flight.values())

    def waiting_of_others(self, now_s: float, half_life_s: float) -> float:
        """Other edges' requests that wait there, by the last report, fading."""
        if self.heard_s is None or not self.waiting_others:
            return 0.0
        return float(self.waiting_others * 2 ** (-(now_s - self.heard_s) / half_life_s))

    def own_tokens(self) -> float:
        """KV memory that this edge's requests there take, in tokens."""
        return float(sum(f.request.prompt_tokens + f.request.output_tokens for f in self.in_flight.values()))

    def backlog_tokens(self, now_s: float, seconds_per_token: float) -> float:
        """Prompt tokens of this edge's requests that it has not read yet."""
        backlog = 0.0
        for flight in self.in_flight.values():
            if flight.first_event_s is None:
                read = (now_s - flight.sent_s) / seconds_per_token if seconds_per_token > 0 else 0.0
                backlog = max(backlog, flight.prefill_tokens + flight.backlog_tokens - read)
        return backlog
