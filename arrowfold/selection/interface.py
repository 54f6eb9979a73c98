"""The interface between the data plane and the selection of workers: typed records and a protocol.

All times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from arrowfold.internal.messages import ClassDemand, WorkerRecord

# Clients abort a stream that sends nothing for the longest of these times, as the system's protocol for
# requests has it.
MIN_STREAM_TIMEOUT_S = 2.0
STREAM_TIMEOUT_OBJECTIVES = 4.0  # in latency objectives
STREAM_TIMEOUT_PAUSES = 8.0  # in pause objectives


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt: its identity, by which requests share it, and its size in tokens."""

    identity: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """The properties of a request that the selection uses."""

    request: str
    route: str
    service: str
    model: str  # empty for a service without models
    adapter: str  # empty for a request without an adapter
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    priority: int  # of the tenant or the route; 0 is the most urgent
    streaming: bool
    idempotent: bool  # the request may run more than once
    arrived_s: float
    latency_objective_s: float  # until the whole answer; of a stream, until its first event
    deadline_s: float  # the time on the clock at which the request is cancelled
    attempts_left: int
    pause_objective_s: float = 0.0  # maximum pause between the events of a stream; 0 without an objective
    client_wait_s: float = 0.0  # how long the client waits as stated in its request, not limited by the route
    last_event_s: float | None = None  # when the client got the latest event; None before the first

    @property
    def client_deadline_s(self) -> float:
        """The time on the clock at which the client stops waiting, including for its retries."""
        return self.arrived_s + self.client_wait_s

    @property
    def response_deadline_s(self) -> float:
        """The time on the clock at which the client gives up if no part of the answer has arrived."""
        return self._silence_deadline_s(self.arrived_s)

    @property
    def next_event_deadline_s(self) -> float:
        """The time on the clock at which the client gives up if nothing more of the answer arrives."""
        return self._silence_deadline_s(self.arrived_s if self.last_event_s is None else self.last_event_s)

    def _silence_deadline_s(self, silent_since_s: float) -> float:
        if not self.streaming:
            return self.deadline_s
        timeout_s = max(
            MIN_STREAM_TIMEOUT_S,
            STREAM_TIMEOUT_OBJECTIVES * self.latency_objective_s,
            STREAM_TIMEOUT_PAUSES * self.pause_objective_s,
        )
        return min(self.deadline_s, silent_since_s + timeout_s)


@dataclass(frozen=True, slots=True)
class ChosenWorker:
    """The worker to send the request to.

    `priority_header`: the Priority header, 0 (most urgent) to 9; None to omit it. `predicted_s`: the expected
    time to the first event, in seconds; 0 while unknown.
    """

    instance: str
    address: str
    priority_header: int | None = None
    predicted_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RefusedRequest:
    """The request is answered 503 at once, with Retry-After `retry_after_s` (None: without the header)."""

    code: int
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class WaitForWorker:
    """The request is held for at most `wait_s`, after which a worker is chosen again.

    `load_is_known`: a load of its model is under way.
    """

    wait_s: float
    load_is_known: bool = False


@dataclass(frozen=True, slots=True)
class EngineFacts:
    """The configured properties of a service's engine."""

    service: str
    kv_cache_tokens: float  # of each worker
    load_times_s: dict[str, float]  # by model


class Outcome(Enum):
    """How an attempt at a worker ended, and whether the worker ran the request."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"  # the worker failed while it ran the request
    REJECTED_FULL = "rejected_full"  # 503 or 429 with X-Not-Executed: it did not run
    MISDIRECTED = "misdirected"  # 421: another worker, or the model is not held; it did not run
    UNREACHABLE = "unreachable"  # no connection: it did not run
    NO_CONNECTION_FREE = "no_connection_free"  # all that this edge may open are in use: it did not run
    LOST = "lost"  # connection lost or timed out after the request was sent: it may have run
    CANCELLED = "cancelled"  # cancelled by this edge or by the client


Choice = ChosenWorker | RefusedRequest | WaitForWorker


class WorkerSelector(Protocol):
    """The selection as the data plane uses it; every call is short and does no I/O."""

    def apply_workers(self, workers: tuple[WorkerRecord, ...], now_s: float) -> None:
        """Replaces the table of known workers by an immutable snapshot."""

    def apply_edges(self, edges: int) -> None:
        """Sets the number of edge nodes that share the workers."""

    def apply_engine_facts(self, facts: tuple[EngineFacts, ...]) -> None:
        """Applies the facts of the services' engines from the active configuration."""

    def choose(self, request: RequestProfile, excluded: Collection[str], now_s: float) -> Choice:
        """Returns where to send a request now; `excluded`: instances that it was sent to already."""

    def sent(self, request: RequestProfile, instance: str, now_s: float) -> None:
        """Records that an attempt of the request is in flight to this worker."""

    def first_event(self, request: RequestProfile, instance: str, now_s: float) -> None:
        """Records that the first bytes of an attempt's body have arrived."""

    def stream_forwarded(self, request: RequestProfile, instance: str, longest_pause_s: float) -> None:
        """Records the longest pause between the events of a forwarded stream, or of the rest of one."""

    def ended(self, request: RequestProfile, instance: str, outcome: Outcome, now_s: float) -> None:
        """Records the end of an attempt; called exactly once for each `sent`."""

    def load_reported(self, instance: str, running: int, waiting: int, slots: int, now_s: float) -> None:
        """Applies a worker's load report: an answer carried X-Server-Load."""

    def market_round(self, now_s: float) -> None:
        """Runs a token-trading round: recounts tokens and trades. Called about every half second."""

    def take_failed_workers(self) -> tuple[str, ...]:
        """Returns the workers at which requests failed since the last call, for the placement owner."""

    def refuse_overloaded(self, request: RequestProfile, now_s: float) -> RefusedRequest:
        """Returns the refusal of a request that was given up although a worker was chosen for it."""

    def take_demand(self, now_s: float) -> tuple[ClassDemand, ...]:
        """Returns the demand by class since the last call, for the placement owner."""
