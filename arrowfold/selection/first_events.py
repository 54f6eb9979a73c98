"""Predicts when a worker sends the first event of an answer, from earlier attempts and their first events."""

from __future__ import annotations

from arrowfold.selection.engine_worker import EngineWorker, InFlightAttempt
from arrowfold.selection.estimates import MovingMean, Trend
from arrowfold.selection.interface import RequestProfile
from arrowfold.selection.options import SelectionOptions
from arrowfold.selection.prompt_parts import shared_parts

MIN_MODEL_SAMPLES = 5  # samples of a model before its own trend is used instead of its service's
MAX_SAMPLE_RATIO = 2.0  # a sample counts as at most this multiple of its expected time
MIN_LATENCY_FACTOR, MAX_LATENCY_FACTOR = 0.5, 2.0  # bounds of a worker's latency against the others'


class FirstEventEstimator:
    """Predicts the time from sending an attempt to its first event, in seconds.

    The time is a base plus a time for each token that the worker has to prefill, including the backlog of
    this edge's earlier attempts there. The line is fitted for each model of a service and scaled by a factor
    for each worker. For a service without prompts, the base is the time to the answer.
    """

    def __init__(self, options: SelectionOptions) -> None:
        self._options = options
        self._trends: dict[tuple[str, str], Trend] = {}
        self._prefill_tokens: dict[str, MovingMean] = {}  # prefill tokens of a request, by service
        self._run_times: dict[str, MovingMean] = {}  # time from sending an attempt to its end, by service

    def _trend(self, service: str, model: str) -> Trend | None:
        trend = self._trends.get((service, model))
        if trend is None or trend.samples < MIN_MODEL_SAMPLES:
            trend = self._trends.get((service, ""))
        return trend

    def seconds_per_token(self, service: str, model: str) -> float:
        """Returns the time that a worker takes to prefill one token; 0 while unknown."""
        trend = self._trend(service, model)
        return trend.slope if trend is not None else 0.0

    def prefill_tokens(
        self, worker: EngineWorker, request: RequestProfile, affinity_rank: int | None
    ) -> float:
        """Returns the estimated number of prompt tokens that the worker has to prefill.

        The parts that this edge sent to the worker are known. An affinity worker gets the same shared parts
        from other edges, too, so a fraction of them counts as cached, by its rank (None: no affinity worker).
        """
        cached = float(worker.prompt_cache.cached_tokens(request))
        if affinity_rank is not None and affinity_rank < len(self._options.home_kept):
            shared = sum(part.tokens for part in shared_parts(request))
            cached = max(cached, self._options.home_kept[affinity_rank] * shared)
        return max(0.0, request.prompt_tokens - cached)

    def predict_s(
        self,
        worker: EngineWorker,
        request: RequestProfile,
        prefill_tokens: float,
        other_requests: float,
        now_s: float,
    ) -> float:
        """Returns the seconds to the first event if the request is sent now; 0 while nothing is known."""
        trend = self._trend(request.service, request.model)
        if trend is None:
            return 0.0
        read_tokens = prefill_tokens + worker.backlog_tokens(now_s, trend.slope)
        expected_s = trend.predict(read_tokens) * min(
            MAX_LATENCY_FACTOR, max(MIN_LATENCY_FACTOR, worker.latency_factor.get(1.0))
        )
        half_life_s = self._options.delay_half_life_s
        waiting_s = worker.expected_other_waiting(now_s, half_life_s) * self._prefill_s(
            request.service, trend
        )
        expected_s += max(worker.expected_delay_s(now_s, half_life_s), waiting_s)
        excess_requests = worker.in_flight_count + other_requests + 1 - worker.slots
        if excess_requests > 0:
            expected_s += excess_requests / worker.slots * self.mean_run_s(request.service)
        return expected_s

    def predict_unshared_s(self, request: RequestProfile, read_tokens: float) -> float:
        """Returns the seconds to the first event without requests of other edges; 0 while unknown."""
        trend = self._trend(request.service, request.model)
        return trend.predict(read_tokens) if trend is not None else 0.0

    def _prefill_s(self, service: str, trend: Trend) -> float:
        """Returns the time that one waiting request of the service adds before the next first event."""
        return trend.slope * self.mean_prefill_tokens(service)

    def mean_prefill_tokens(self, service: str) -> float:
        """Returns the mean number of tokens that a worker prefills for a request of this service."""
        prefill_tokens = self._prefill_tokens.get(service)
        return prefill_tokens.get(0.0) if prefill_tokens is not None else 0.0

    def record_prefill(self, service: str, prefill_tokens: float) -> None:
        """Records the prefill tokens of an attempt that was sent."""
        self._prefill_tokens.setdefault(service, MovingMean()).add(prefill_tokens)

    def mean_run_s(self, service: str) -> float:
        """Returns the mean time from sending an attempt to its end."""
        run_times = self._run_times.get(service)
        return run_times.get(0.0) if run_times is not None else 0.0

    def record_first_event(self, worker: EngineWorker, attempt: InFlightAttempt, now_s: float) -> None:
        """Records the time to an attempt's first event."""
        elapsed_s = now_s - attempt.sent_s
        request = attempt.request
        read_tokens = attempt.prefill_tokens + attempt.backlog_tokens
        trend = self._trends.get((request.service, request.model))
        if (
            trend is not None
            and trend.samples >= MIN_MODEL_SAMPLES
            and (expected_s := trend.predict(read_tokens)) > 0
        ):
            worker.record_delay(elapsed_s - expected_s, now_s)
            # The line is that of a worker without requests of other edges, which lengthen the measured time.
            elapsed_s = min(elapsed_s, MAX_SAMPLE_RATIO * expected_s)
            worker.latency_factor.add(elapsed_s / expected_s)
        for name in {(request.service, request.model), (request.service, "")}:
            self._trends.setdefault(name, Trend()).add(read_tokens, elapsed_s)

    def record_run(self, service: str, run_s: float) -> None:
        """Records the time from sending a successful attempt to its end."""
        self._run_times.setdefault(service, MovingMean()).add(run_s)
