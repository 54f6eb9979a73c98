"""A tenant with heavy traffic must not starve another tenant with the same class of requests at one edge.

All tenants use one route. The workers run requests in the order of their Priority header and answer 503 when
their queue is full.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from arrowfold.dataplane.exchange import SendFailure, WorkerRequest
from arrowfold.internal.messages import WorkerUpdate
from arrowfold.selection.market_selector import MarketSelector
from tests.system.edge_stories import (
    EdgeHarness,
    RecordedAnswer,
    ScriptedAnswer,
    configuration,
    configuration_update,
    route,
    whole,
    worker,
)
from tests.system.virtual_time import run_virtual

MIN_FAIR_SHARE = 0.25  # of the share of all requests that is served; a tenant with less is starved
SLOTS = 2
MAX_QUEUED = 4
RUN_S = 0.1
WORKERS = 4  # together they serve 80 requests a second
DURATION_S = 10.0
RETRY_S = 0.05
SEEDS = (1, 2)


@dataclass(slots=True)
class QueueingWorker:
    """Runs SLOTS requests at a time, the most urgent first, and queues at most MAX_QUEUED more."""

    running: int = 0
    queue: list[tuple[int, int, asyncio.Event]] = field(default_factory=list)
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    async def __call__(self, request: WorkerRequest) -> ScriptedAnswer | SendFailure:
        if self.running >= SLOTS and len(self.queue) >= MAX_QUEUED:
            return ScriptedAnswer(503, ((b"X-Not-Executed", b"1"), self._load()))
        if self.running >= SLOTS:
            await self._wait(request)
        else:
            self.running += 1
        await asyncio.sleep(RUN_S)
        self._start_next()
        return whole(b"done", 200, self._load())

    async def _wait(self, request: WorkerRequest) -> None:
        priority = next((int(value) for name, value in request.headers if name == b"Priority"), 5)
        turn = asyncio.Event()
        heapq.heappush(self.queue, (priority, next(self.numbers), turn))
        await turn.wait()

    def _start_next(self) -> None:
        if self.queue:
            heapq.heappop(self.queue)[2].set()
        else:
            self.running -= 1

    def _load(self) -> tuple[bytes, bytes]:
        return (b"X-Server-Load", b"%d,%d,%d" % (self.running, len(self.queue), SLOTS))


@dataclass(frozen=True, slots=True)
class Traffic:
    """A tenant's traffic: `rate` requests per second, each sent up to `tries` times, and its priority."""

    tenant: str
    rate: float
    tries: int = 1
    priority: int = 1


@dataclass(slots=True)
class Shares:
    """The number of requests that each tenant sent, and of those that were served."""

    sent: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)

    def of(self, tenant: str) -> float:
        """Returns the share of a tenant's requests that was served."""
        return self.served[tenant] / self.sent[tenant]

    @property
    def of_all(self) -> float:
        """The share of all requests that was served."""
        return self.served.total() / self.sent.total()


async def run_traffic(seed: int, *traffic: Traffic) -> Shares:
    """Runs the tenants' traffic for DURATION_S and returns what each of them was served."""
    rng = random.Random(seed)
    edge = EdgeHarness(selector=MarketSelector("z1", seed))
    routes = [route("look", "/look/", "cards", "idempotent")]
    tenants = [{"name": t.tenant, "apiKeys": [f"key-{t.tenant}"], "priority": t.priority} for t in traffic]
    edge.tell(configuration_update({**configuration(routes), "tenants": tenants}))
    for number in range(WORKERS):
        edge.tell(WorkerUpdate("o", 1, worker(f"w{number}", "cards")))
        edge.workers.scripts[f"w{number}"] = QueueingWorker()
    shares = Shares()

    async def send_with_retries(item: Traffic) -> None:
        shares.sent[item.tenant] += 1
        for _ in range(item.tries):
            answer: RecordedAnswer = await edge.ask(
                "/look/1", (b"Authorization", b"Bearer key-" + item.tenant.encode())
            )
            if answer.status == 200:
                shares.served[item.tenant] += 1
                return
            await asyncio.sleep(RETRY_S)

    async def generate_requests(item: Traffic) -> None:
        async with asyncio.TaskGroup() as group:
            while edge.loop.time() < DURATION_S:
                await asyncio.sleep(rng.expovariate(item.rate))
                group.create_task(send_with_retries(item))

    async with asyncio.TaskGroup() as group:
        for item in traffic:
            group.create_task(generate_requests(item))
    return shares


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("large_tries", "small_tries"), [(1, 1), (2, 2), (4, 1)])
@pytest.mark.parametrize("small_priority", [1, 5])
def test_a_tenant_with_thirty_times_the_traffic_does_not_starve_a_small_one(
    seed: int, large_tries: int, small_tries: int, small_priority: int
) -> None:
    """The small tenant's served share is at least a quarter of the share of all requests that is served."""

    async def scenario() -> None:
        shares = await run_traffic(
            seed, Traffic("large", 150, large_tries), Traffic("small", 5, small_tries, small_priority)
        )
        assert 0.2 < shares.of_all < 0.9  # the workers are overloaded but serve some requests
        assert shares.of("small") >= MIN_FAIR_SHARE * shares.of_all

    run_virtual(scenario())
