"""The client of the trial: sends requests to edge nodes, repeats refused ones and checks whole answers."""

from __future__ import annotations

import asyncio
import re
import secrets
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

import aiohttp

from arrowfold.standins.model_workers import (
    API_KEY_HEADER,
    ATTEMPT_HEADER,
    MODEL_HEADER,
    SEAL_HEADER,
    STREAM_EVENTS,
    TENANT_HEADER,
    answer_text,
    event_text,
)

DEADLINE_S = 10.0
MAX_SENDS = 4  # of one request, the first one included
MAX_RETRY_DELAY_S = 1.0
FOREIGN_TENANT = "someone-else"  # tenant header of the client, which an edge node must not forward
_EVENT_PATTERN = re.compile(r"id: \d+\n(?:.+\n)*\n")
_REFUSED_STATUSES = (429, 503)
_WHOLE_STREAM = "".join(event_text(number) for number in range(1, STREAM_EVENTS + 1))


class Outcome(Enum):
    """The result of a request; the values are column headings of the trial's table."""

    SERVED = "served"
    REFUSED = "refused"
    NO_ROUTE = "no route"  # 404
    NO_KEY = "no key"  # 401
    FAILED = "failed"
    WRONG = "wrong"


@dataclass(frozen=True)
class RequestKind:
    """A kind of request that the trial sends. A `repeatable` one may be sent again after any failure."""

    name: str
    path: str
    streams: bool = False
    repeatable: bool = False
    model: str | None = None


@dataclass
class Tally:
    """Counts of outcomes by phase and kind of request, and descriptions of wrong answers."""

    counts: Counter[tuple[str, str, Outcome]] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)

    def count(self, phase: str, outcome: Outcome) -> int:
        """Returns the number of requests of a phase that had an outcome."""
        return sum(
            count
            for (counted_phase, _, counted_outcome), count in self.counts.items()
            if (counted_phase, counted_outcome) == (phase, outcome)
        )


class TrialClient:
    """Sends requests, each time with a new attempt id, the API key and the header of a foreign tenant."""

    def __init__(self, host: str, tally: Tally, key: str | None = None) -> None:
        """`key` is the API key of a tenant; if it is None, no Authorization header is sent."""
        self._host = host
        self._key = key
        self._tally = tally
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=aiohttp.ClientTimeout(total=DEADLINE_S),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def send_many(self, phase: str, kinds: list[RequestKind], edges: list[str], total: int) -> None:
        """Send `total` requests, at most ten at a time, and count their outcomes.

        Kinds and edge nodes take turns.
        """
        concurrency_limit = asyncio.Semaphore(10)

        async def send_one(number: int) -> None:
            async with concurrency_limit:
                kind = kinds[number % len(kinds)]
                outcome = await self.send(kind, edges, first_edge=number // len(kinds))
                self._tally.counts[phase, kind.name, outcome] += 1

        await asyncio.gather(*(send_one(number) for number in range(total)))

    async def send(self, kind: RequestKind, edges: list[str], first_edge: int = 0) -> Outcome:
        """Send one request, and send it again to the next edge node after a refusal.

        A repeatable request is also sent again after a failure.
        """
        outcome = Outcome.FAILED
        for number in range(MAX_SENDS):
            outcome, retry_delay_s = await self._send_once(kind, edges[(first_edge + number) % len(edges)])
            if not (outcome is Outcome.REFUSED or (outcome is Outcome.FAILED and kind.repeatable)):
                break
            await asyncio.sleep(min(retry_delay_s, MAX_RETRY_DELAY_S))
        return outcome

    async def _send_once(self, kind: RequestKind, edge: str) -> tuple[Outcome, float]:
        """Returns the outcome and the delay before the request may be sent again, in seconds."""
        attempt = secrets.token_hex(8)
        headers = {
            "Host": self._host,
            ATTEMPT_HEADER: attempt,
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            TENANT_HEADER: FOREIGN_TENANT,
        }
        if self._key is not None:
            headers[API_KEY_HEADER] = f"Bearer {self._key}"
        if kind.model is not None:
            headers |= {MODEL_HEADER: kind.model, "X-Token-Usage": "40,8"}
        url = f"http://{edge}{kind.path}x"
        try:
            async with self._session.post(url, data=b"{}", headers=headers) as answer:
                body = await answer.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Outcome.FAILED, 0.1
        if answer.status in _REFUSED_STATUSES:
            return Outcome.REFUSED, _retry_after_s(answer.headers.get("Retry-After"))
        if answer.status == 401:
            return Outcome.NO_KEY, 0.1
        if answer.status == 404:
            return Outcome.NO_ROUTE, 0.1
        if answer.status != 200:
            return Outcome.FAILED, 0.1
        return self._check_answer(kind, attempt, answer.headers.get(SEAL_HEADER), body), 0.0

    def _check_answer(self, kind: RequestKind, attempt: str, seal: str | None, body: str) -> Outcome:
        expected = _WHOLE_STREAM if kind.streams else answer_text(attempt)
        if seal is not None and body == expected:
            return Outcome.SERVED
        received = f"{len(_EVENT_PATTERN.findall(body))} events" if kind.streams else repr(body[:60])
        self._tally.faults.append(f"{kind.name} {attempt}: seal {seal}, {received}")
        return Outcome.WRONG


def _retry_after_s(text: str | None) -> float:
    try:
        return float(text or "")
    except ValueError:
        return 0.2
