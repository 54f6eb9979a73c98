"""The state that one edge keeps of a worker: its record, load, tokens and attempts in flight."""

from __future__ import annotations

from dataclasses import dataclass

from arrowfold.internal.messages import WorkerRecord
from arrowfold.market.tokens import Token
from arrowfold.selection.estimates import MovingMean, PriorMean
from arrowfold.selection.interface import RequestProfile
from arrowfold.selection.prompt_parts import PromptCacheEstimate, hash_name

AVAILABLE = "available"
UNRESPONSIVE = "silent"
DEFAULT_KV_TOKENS_PER_SLOT = 4096.0  # until the configuration gives the size of the KV memory
MAX_FAILURE_PENALTY = 4.0


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt that was sent to a worker and has not ended."""

    request: RequestProfile
    sent_s: float
    prefill_tokens: float  # estimated prompt tokens that the worker has to prefill for this request
    backlog_tokens: float  # prompt tokens of this edge's earlier requests that were still to be prefilled
    expected_s: float = 0.0  # expected time to the first event without requests of other edges
    first_event_s: float | None = None


class EngineWorker:
    """One worker instance. Load is counted in requests (slots) and in tokens (KV memory)."""

    def __init__(self, record: WorkerRecord, is_local: bool) -> None:
        self.record, self.is_local = record, is_local
        self.instance = record.instance
        self.name_hash = hash_name(record.instance)
        self.adapters_by_model = {model.name: frozenset(model.adapters) for model in record.models}
        self.loading: dict[tuple[str, str], float] = {}  # expected end of loads, by model and adapter
        self.tokens: list[Token[EngineWorker]] = []
        self.in_flight: dict[str, InFlightAttempt] = {}
        self.kv_capacity_tokens = max(1, record.capacity_slots) * DEFAULT_KV_TOKENS_PER_SLOT
        self.prompt_cache = PromptCacheEstimate(self.kv_capacity_tokens)
        self.other_requests = 0.0  # requests of other edges at the last load report
        self.other_waiting_requests = 0.0  # those of them that had no first event yet
        self.last_report_s: float | None = None
        self.slots = max(1, record.capacity_slots)
        self.relative_pauses = PriorMean()  # longest pauses of streams, as fractions of the pause objective
        self.latency_factor = MovingMean()  # measured over expected times to the first event
        self.delay_s, self.delay_at_s = 0.0, 0.0  # last excess over the expected time to the first event
        self._failure_penalty, self._failure_penalty_at_s = 0.0, 0.0
        self._unreachable_until_s = 0.0
        self.misdirected_s: dict[tuple[str, str], float] = {}  # last 421 answer, by model and adapter

    @property
    def is_available(self) -> bool:
        """Whether new requests may be sent to the worker."""
        return self.record.state == AVAILABLE

    @property
    def in_flight_count(self) -> int:
        """The number of this edge's attempts in flight at the worker."""
        return len(self.in_flight)

    def update_record(self, record: WorkerRecord, now_s: float) -> bool:
        """Applies a newer record; returns True if the held models or the worker's state changed."""
        before, self.record = self.record, record
        self.update_loading(now_s)
        if record.models is not before.models and record.models != before.models:
            self.adapters_by_model = {model.name: frozenset(model.adapters) for model in record.models}
            self.prompt_cache.retain_models(frozenset(self.adapters_by_model))
            self.misdirected_s.clear()
            return True
        return record.state != before.state

    def update_loading(self, now_s: float) -> None:
        """Updates the expected end times of the worker's loads from its record."""
        arriving = self.record.arriving
        if arriving or self.loading:
            self.loading = {(item.model, item.adapter): now_s + item.ready_in_s for item in arriving}

    def load_end_s(self, model: str, adapter: str) -> float | None:
        """Returns when the load of a model or adapter is expected to end; None if it is not being loaded.

        The model's own load counts for an adapter whose model is not held yet.
        """
        if not self.loading:
            return None
        if adapter and model not in self.adapters_by_model:
            return self.loading.get((model, ""))
        return self.loading.get((model, adapter))

    def holds(self, model: str, adapter: str, now_s: float, denied_s: float) -> bool:
        """Whether the worker holds a class by its record, and sent no 421 for it in the last `denied_s`."""
        if not self._lists(model, adapter):
            return False
        misdirected_s = self.misdirected_s.get((model, adapter)) if self.misdirected_s else None
        return misdirected_s is None or now_s >= misdirected_s + denied_s

    def returns_as_holder_s(self, model: str, adapter: str, now_s: float, denied_s: float) -> float | None:
        """Returns when this holder of a class may be used again; None for a worker that holds it not at all.

        It is excluded for a while after a 421 answer and after a failed connection attempt.
        """
        if not self._lists(model, adapter):
            return None
        misdirected_s = self.misdirected_s.get((model, adapter))
        usable_s = self._unreachable_until_s if misdirected_s is None else misdirected_s + denied_s
        return max(now_s, usable_s, self._unreachable_until_s)

    def _lists(self, model: str, adapter: str) -> bool:
        """Whether the worker holds a model and adapter by its record."""
        if not model:
            return True
        adapters = self.adapters_by_model.get(model)
        return adapters is not None and (not adapter or adapter in adapters)

    def set_unreachable(self, until_s: float) -> None:
        """Excludes the worker from the holders until `until_s`, after a failed connection attempt."""
        self._unreachable_until_s = until_s

    def is_reachable(self, now_s: float) -> bool:
        """Whether the worker is not excluded after a failed connection attempt."""
        return now_s >= self._unreachable_until_s

    def set_kv_capacity(self, tokens: float) -> None:
        """Sets the size of the worker's KV memory, in tokens."""
        self.kv_capacity_tokens = max(1.0, tokens)
        self.prompt_cache.capacity_tokens = self.kv_capacity_tokens

    def add_failure_penalty(self, now_s: float, half_life_s: float, weight: float = 1.0) -> None:
        """Adds a failure to the penalty, which is at most MAX_FAILURE_PENALTY."""
        self._failure_penalty = min(MAX_FAILURE_PENALTY, self.failure_penalty(now_s, half_life_s) + weight)
        self._failure_penalty_at_s = now_s

    def failure_penalty(self, now_s: float, half_life_s: float) -> float:
        """Returns the failure penalty, decayed to now."""
        if not self._failure_penalty:
            return 0.0
        return float(self._failure_penalty * 2 ** (-(now_s - self._failure_penalty_at_s) / half_life_s))

    def record_delay(self, delay_s: float, now_s: float) -> None:
        """Records by how much a first event came later than expected; an early one counts as 0."""
        self.delay_s, self.delay_at_s = max(0.0, delay_s), now_s

    def expected_delay_s(self, now_s: float, half_life_s: float) -> float:
        """Returns the expected excess over the predicted time to a first event, due to other requests.

        The larger of the last recorded delay, decayed to now, and the delay of attempts that are overdue.
        """
        delay_s = self.delay_s * 2 ** (-(now_s - self.delay_at_s) / half_life_s)
        for attempt in self.in_flight.values():
            if attempt.first_event_s is None:
                delay_s = max(delay_s, now_s - attempt.sent_s - attempt.expected_s)
        return float(delay_s)

    def unstarted_count(self) -> int:
        """Returns the number of this edge's attempts in flight without a first event."""
        return sum(attempt.first_event_s is None for attempt in self.in_flight.values())

    def expected_other_waiting(self, now_s: float, half_life_s: float) -> float:
        """Returns the waiting requests of other edges at the last load report, decayed to now."""
        if self.last_report_s is None or not self.other_waiting_requests:
            return 0.0
        return float(self.other_waiting_requests * 2 ** (-(now_s - self.last_report_s) / half_life_s))

    def own_kv_tokens(self) -> float:
        """Returns the KV memory that this edge's attempts in flight need, in tokens."""
        return float(sum(a.request.prompt_tokens + a.request.output_tokens for a in self.in_flight.values()))

    def backlog_tokens(self, now_s: float, seconds_per_token: float) -> float:
        """Returns the prompt tokens of this edge's attempts that are estimated not to be prefilled yet."""
        backlog = 0.0
        for attempt in self.in_flight.values():
            if attempt.first_event_s is None:
                read_tokens = (now_s - attempt.sent_s) / seconds_per_token if seconds_per_token > 0 else 0.0
                backlog = max(backlog, attempt.prefill_tokens + attempt.backlog_tokens - read_tokens)
        return backlog
