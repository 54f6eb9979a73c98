"""When a worker would give a request its first event: learned from sends and first events."""

from __future__ import annotations

from arrowfold.selection.engine_worker import EngineWorker, InFlight
from arrowfold.selection.estimates import MovingMean, Trend
from arrowfold.selection.interface import RequestProfile
from arrowfold.selection.options import SelectionOptions
from arrowfold.selection.prompt_parts import shared_parts

FEWEST_SAMPLES = 5  # of a model, before its own line is trusted
MOST_SURPRISE = 2.0  # a sample counts at most so many times what was expected
FASTEST, SLOWEST = 0.5, 2.0  # bounds of a worker's pace against the others'


class FirstEventEstimate:
    """Predicts the time from a send to the first event, in seconds.

    A prompt costs a base and so much for each token that the worker has to read, those of this edge's earlier
    requests there included. The line is learned for each model of a service, with each worker's pace.
    Of a service without prompts the base is the time to the answer.
    """

    def __init__(self, options: SelectionOptions) -> None:
        self._options = options
        self._trends: dict[tuple[str, str], Trend] = {}
        self._prefills: dict[str, MovingMean] = {}  # by service: tokens to read of a prompt
        self._runs: dict[str, MovingMean] = {}  # by service: time from send to outcome

    def _trend(self, service: str, model: str) -> Trend | None:
        trend = self._trends.get((service, model))
        if trend is None or trend.samples < FEWEST_SAMPLES:
            trend = self._trends.get((service, ""))
        return trend

    def seconds_per_token(self, service: str, model: str) -> float:
        """How long a worker reads one token of a prompt; 0 while unknown."""
        trend = self._trend(service, model)
        return trend.slope if trend is not None else 0.0

    def prefill_tokens(self, worker: EngineWorker, request: RequestProfile, home_rank: int | None) -> float:
        """Tokens of the prompt that the worker has to read, as far as this edge can tell.

        What it sent there is known; a home also gets the same parts from other edges.
        """
        cached = float(worker.kept.cached_tokens(request))
        if home_rank is not None and home_rank < len(self._options.home_kept):
            shared = sum(part.tokens for part in shared_parts(request))
            cached = max(cached, self._options.home_kept[home_rank] * shared)
        return max(0.0, request.prompt_tokens - cached)

    def predict(
        self,
        worker: EngineWorker,
        request: RequestProfile,
        prefill_tokens: float,
        others: float,
        now_s: float,
    ) -> float:
        """Seconds until the first event if it is sent now; 0 while nothing is known."""
        trend = self._trend(request.service, request.model)
        if trend is None:
            return 0.0
        read = prefill_tokens + worker.backlog_tokens(now_s, trend.slope)
        expected = trend.at(read) * min(SLOWEST, max(FASTEST, worker.pace.get(1.0)))
        half_life_s = self._options.delay_half_life_s
        waiting_s = worker.waiting_of_others(now_s, half_life_s) * self._prefill_s(request.service, trend)
        expected += max(worker.delay(now_s, half_life_s), waiting_s)
        ahead = worker.out + others + 1 - worker.slots
        if ahead > 0:
            expected += ahead / worker.slots * self.run_s(request.service)
        return expected

    def alone_s(self, request: RequestProfile, read_tokens: float) -> float:
        """Seconds to the first event where nothing of others is in the way; 0 while nothing is known."""
        trend = self._trend(request.service, request.model)
        return trend.at(read_tokens) if trend is not None else 0.0

    def _prefill_s(self, service: str, trend: Trend) -> float:
        """What one waiting request of the service adds before the next first event."""
        return trend.slope * self.mean_prefill(service)

    def mean_prefill(self, service: str) -> float:
        """Mean tokens that a worker reads of a prompt of this service."""
        prefills = self._prefills.get(service)
        return prefills.get(0.0) if prefills is not None else 0.0

    def sent(self, service: str, prefill_tokens: float) -> None:
        """Learn how large prompts are."""
        self._prefills.setdefault(service, MovingMean()).add(prefill_tokens)

    def run_s(self, service: str) -> float:
        """Mean time from a send to its outcome."""
        runs = self._runs.get(service)
        return runs.get(0.0) if runs is not None else 0.0

    def first_event(self, worker: EngineWorker, flight: InFlight, now_s: float) -> None:
        """Learn from a first event."""
        took = now_s - flight.sent_s
        request = flight.request
        read = flight.prefill_tokens + flight.backlog_tokens
        trend = self._trends.get((request.service, request.model))
        if trend is not None and trend.samples >= FEWEST_SAMPLES and (expected := trend.at(read)) > 0:
            worker.note_delay(took - expected, now_s)
            took = min(took, MOST_SURPRISE * expected)  # the line is of workers that nobody else keeps busy
            worker.pace.add(took / expected)
        for name in {(request.service, request.model), (request.service, "")}:
            self._trends.setdefault(name, Trend()).add(read, took)

    def ended(self, service: str, run_s: float) -> None:
        """Learn from a whole run."""
        self._runs.setdefault(service, MovingMean()).add(run_s)
