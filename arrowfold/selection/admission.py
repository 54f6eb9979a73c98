"""Decides whether a request that no worker can serve now waits or is refused, and when a client comes back.

A request waits as long as its client has time for what is left to do: the load of its model and the answer
itself. It is refused as soon as that is no longer expected to fit. The same applies to first attempts of a
client and to its retries.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from arrowfold.node.result_codes import ResultCode
from arrowfold.selection.class_market import ClassMarket, RequestClass
from arrowfold.selection.engine_worker import EngineWorker
from arrowfold.selection.estimates import MovingMean, expected_end_s
from arrowfold.selection.interface import EngineFacts, RefusedRequest, RequestProfile, WaitForWorker
from arrowfold.selection.options import SelectionOptions
from arrowfold.selection.retry_after import retry_after_s

LOWEST_PRIORITY = 9  # of the Priority header


@dataclass(frozen=True, slots=True)
class MissingClass:
    """A class without a usable holder. `load_end_s`: expected end of its load, if one is under way.

    `holder_returns_s`: when a holder that answered 421 or could not be reached may be used again, if there is
    one.
    """

    request_class: RequestClass
    is_model_held: bool
    has_workers: bool  # whether the service has any available worker
    load_end_s: float | None
    facts: EngineFacts | None
    holder_returns_s: float | None = None


class Admission:
    """Decides whether requests wait or are refused, and computes Retry-After and the Priority header."""

    def __init__(self, options: SelectionOptions, rng: random.Random) -> None:
        self._options = options
        self._rng = rng
        self._missing_since: dict[RequestClass, float] = {}
        self._waits = {True: MovingMean(), False: MovingMean()}  # by whether the class is an adapter

    def missing_classes(self) -> tuple[RequestClass, ...]:
        """Returns the requested classes that currently have no holder."""
        return tuple(self._missing_since)

    def record_found(self, request_class: RequestClass, now_s: float) -> None:
        """Records that a class has a holder, and for how long it had none."""
        since_s = self._missing_since.pop(request_class, None)
        if since_s is not None:
            self._waits[bool(request_class.adapter)].add(now_s - since_s)

    def expected_ready_s(self, missing: MissingClass, now_s: float) -> float:
        """Returns the time at which the class is expected to have a usable holder."""
        since_s = self._missing_since.setdefault(missing.request_class, now_s)
        known_s = _known_ready_s(missing)
        if known_s is not None:
            return max(known_s, now_s)
        return expected_end_s(since_s, self._expected_missing_s(missing), now_s)

    def _expected_missing_s(self, missing: MissingClass) -> float:
        """Returns how long the class is expected to be without a holder while no load is known."""
        if not missing.has_workers:
            return self._options.discovery_s
        request_class = missing.request_class
        load_s = 0.0
        if not missing.is_model_held:
            facts, default_s = missing.facts, self._options.load_time_s
            load_s = facts.load_times_s.get(request_class.model, default_s) if facts else default_s
        learned_s = self._waits[bool(request_class.adapter)].get(self._options.placement_delay_s + load_s)
        return max(load_s, learned_s)

    def decide_missing(
        self, request: RequestProfile, missing: MissingClass, latest_start_s: float, now_s: float
    ) -> WaitForWorker | RefusedRequest:
        """Decides whether a request whose class has no holder waits for one or is refused.

        `latest_start_s`: when a worker has to get the request at the latest, so that its client still gets
        the answer. The request waits if a holder is expected by then; otherwise it is refused at once.
        """
        ready_s = self.expected_ready_s(missing, now_s)
        if self._options.wait_for_loads and ready_s < latest_start_s:
            wait_s = self._recheck_s(missing, latest_start_s) - now_s
            return WaitForWorker(max(0.0, wait_s), missing.load_end_s is not None)
        code = ResultCode.MODEL_LOADING if request.model and missing.has_workers else ResultCode.NO_WORKER
        return RefusedRequest(code, self._retry_after_s(request, ready_s - now_s, now_s))

    def _recheck_s(self, missing: MissingClass, latest_start_s: float) -> float:
        """Returns when a waiting request has to be decided on again if no worker changes until then."""
        if missing.holder_returns_s is not None:
            return min(missing.holder_returns_s, latest_start_s)
        if missing.load_end_s is not None:
            return latest_start_s
        # From this time on, what is not known to be loaded is no longer expected by `latest_start_s`.
        return (self._missing_since[missing.request_class] + latest_start_s) / 2

    def refuse_overloaded(self, request: RequestProfile, run_s: float, now_s: float) -> RefusedRequest:
        """Returns the refusal of a request that no further worker may be asked to serve.

        `run_s`: mean run time of the request's class, in which the running requests make room for others.
        """
        return RefusedRequest(ResultCode.OVERLOADED, self._retry_after_s(request, run_s, now_s))

    def refuse_late(
        self,
        request: RequestProfile,
        holders: list[EngineWorker],
        predicted_s: float,
        market: ClassMarket,
    ) -> RefusedRequest | None:
        """Returns a refusal if the client would give up before the answer of a worker without a free slot.

        While a holder has a free slot the request is sent: nothing is ahead of it, so that it would not be
        answered sooner by coming back. Otherwise the client should come back once the backlog has shrunk by
        the time that is missing.
        """
        left_s = request.next_event_deadline_s - market.now_s
        if predicted_s <= left_s:
            return None
        if any(
            worker.in_flight_count + market.expected_other_requests(worker) < worker.slots
            for worker in holders
        ):
            return None
        excess_s = predicted_s - left_s
        return RefusedRequest(ResultCode.OVERLOADED, self._retry_after_s(request, excess_s, market.now_s))

    def _retry_after_s(self, request: RequestProfile, wait_s: float, now_s: float) -> float:
        return retry_after_s(wait_s, request.client_deadline_s - now_s, self._rng)

    def priority_header(self, request: RequestProfile) -> int:
        """Returns the value of the Priority header: the rank of the request's route or tenant.

        Nothing else is added, so that no request is served before one of a more urgent route.
        """
        return min(LOWEST_PRIORITY, request.priority)


def _known_ready_s(missing: MissingClass) -> float | None:
    """Returns when the class has a holder by what is known of loads and holders, or None."""
    known = [time_s for time_s in (missing.load_end_s, missing.holder_returns_s) if time_s is not None]
    return min(known, default=None)
