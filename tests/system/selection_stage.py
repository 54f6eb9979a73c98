"""A test harness for the selection of one edge, with workers in memory and a simulated clock."""

from __future__ import annotations

import itertools
from collections.abc import Collection
from dataclasses import replace

from arrowfold.internal.messages import ArrivingModel, HeldModel, WorkerRecord
from arrowfold.selection.interface import (
    Choice,
    ChosenWorker,
    EngineFacts,
    Outcome,
    PromptPart,
    RequestProfile,
)
from arrowfold.selection.market_selector import MarketSelector
from arrowfold.selection.options import SelectionOptions

SERVICE = "text"
KV_TOKENS = 200_000.0
LOAD_S = 1.0


def worker(
    name: str,
    *models: str,
    service: str = SERVICE,
    state: str = "available",
    zone: str = "north",
    slots: int = 16,
    arriving: tuple[ArrivingModel, ...] = (),
) -> WorkerRecord:
    """Returns a worker's record; `models` are names, with adapters after a slash: `m/a1,a2`."""
    held = []
    for model in models:
        base, _, adapters = model.partition("/")
        held.append(HeldModel(base, 1, tuple(adapters.split(",")) if adapters else ()))
    address = f"10.0.0.{abs(hash(name)) % 250}:80"
    return WorkerRecord(name, service, address, zone, "v1", slots, state, tuple(held), arriving=arriving)


class SelectionHarness:
    """A selector with a simulated clock and a table of workers."""

    def __init__(self, *workers: WorkerRecord, seed: int = 1, edges: int = 1) -> None:
        self.now_s = 100.0
        self.selector = MarketSelector("north", seed, SelectionOptions())
        self.selector.apply_engine_facts((EngineFacts(SERVICE, KV_TOKENS, {"m": LOAD_S, "n": LOAD_S}),))
        self.apply_workers(*workers)
        self.selector.apply_edges(edges)
        self._names = itertools.count()

    def apply_workers(self, *workers: WorkerRecord) -> None:
        """Replaces the table of workers."""
        self.selector.apply_workers(workers, self.now_s)

    def advance(self, seconds: float) -> None:
        """Advances the clock in steps of half a second with a market round after each."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s = min(until_s, self.now_s + 0.5)
            self.selector.market_round(self.now_s)

    def request(
        self,
        model: str = "m",
        parts: tuple[tuple[str, int], ...] = (),
        *,
        service: str = SERVICE,
        objective_s: float = 1.0,
        time_s: float = 5.0,
        client_wait_s: float | None = None,
        priority: int = 1,
        prompt_tokens: int | None = None,
    ) -> RequestProfile:
        """Returns a request that arrives now; `model` may have an adapter after a slash."""
        base, _, adapter = model.partition("/")
        prompt = tuple(PromptPart(identity, tokens) for identity, tokens in parts)
        return RequestProfile(
            request=f"r{next(self._names)}",
            route="route",
            service=service,
            model=base,
            adapter=adapter,
            prompt_tokens=sum(p.tokens for p in prompt) if prompt_tokens is None else prompt_tokens,
            output_tokens=50,
            parts=prompt,
            priority=priority,
            streaming=bool(base),
            idempotent=True,
            arrived_s=self.now_s,
            latency_objective_s=objective_s,
            deadline_s=self.now_s + time_s,
            attempts_left=2,
            client_wait_s=time_s if client_wait_s is None else client_wait_s,
        )

    def choose(self, request: RequestProfile, excluded: Collection[str] = ()) -> Choice:
        """Returns the selector's choice now."""
        return self.selector.choose(request, excluded, self.now_s)

    def send(self, request: RequestProfile) -> str:
        """Sends a request to the chosen worker and returns the worker's name."""
        choice = self.choose(request)
        assert isinstance(choice, ChosenWorker), choice
        self.selector.sent(request, choice.instance, self.now_s)
        return choice.instance

    def serve(self, request: RequestProfile, first_s: float = 0.1, run_s: float = 0.3) -> str:
        """Sends a request to the chosen worker, which answers it; returns the worker's name."""
        name = self.send(request)
        self.now_s += first_s
        self.selector.first_event(request, name, self.now_s)
        self.now_s += run_s
        self.selector.ended(request, name, Outcome.SUCCEEDED, self.now_s)
        return name

    def serve_at(self, request: RequestProfile, name: str, first_s: float, run_s: float = 0.1) -> None:
        """Lets the worker `name` answer a request, without advancing the clock."""
        self.selector.sent(request, name, self.now_s)
        self.selector.first_event(request, name, self.now_s + first_s)
        self.selector.ended(request, name, Outcome.SUCCEEDED, self.now_s + first_s + run_s)

    def tokens(self) -> int:
        """Returns the number of tokens in all tables."""
        return sum(len(table.tokens) for table in self.selector.market.tables.values())


def with_state(record: WorkerRecord, state: str) -> WorkerRecord:
    """Returns the record of the same worker in another state."""
    return replace(record, state=state)
