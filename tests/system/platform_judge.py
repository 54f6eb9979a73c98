"""Stand-in for the platform API that checks the calls it receives, in memory and over loopback HTTP."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from dataclasses import dataclass, field

from aiohttp import web

from arrowfold.controlplane.platform_client import DutyAnswer, DutyCall
from tests.system.control_simulation.network import NETWORK

ONE_WAY_LATENCY_S = 0.002
ACCEPTED, FENCED, BUSY = 200, 409, 429
_ANSWER_BY_STATUS = {ACCEPTED: DutyAnswer.ACCEPTED, FENCED: DutyAnswer.FENCED, BUSY: DutyAnswer.BUSY}


@dataclass(frozen=True, slots=True)
class Arrival:
    """A received call and the status of its response."""

    at_s: float
    call: DutyCall
    status: int

    @property
    def window(self) -> int:
        """Window number of a usage report."""
        return int(json.loads(self.call.body)["windowNumber"])


@dataclass(slots=True)
class PlatformChecker:
    """Platform state: highest fencing tokens, call rate, and in `violations` each rule that a call broke."""

    lease_s: float = 3.0
    rate: float = 50.0  # accepted calls per second, over all nodes
    fencing_checked: bool = True
    arrivals: list[Arrival] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    reports: dict[int, bytes] = field(default_factory=dict)  # the accepted body of each window
    refused: int = 0  # calls over the rate
    _highest: dict[str, int] = field(default_factory=dict)
    _holders: dict[tuple[str, int], str] = field(default_factory=dict)
    _recent_holders: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    _recent: deque[float] = field(default_factory=deque)
    _fenced_calls: dict[tuple[str, int], int] = field(default_factory=dict)

    def receive(self, call: DutyCall, now_s: float) -> int:
        """Checks a call and returns the response status."""
        status = self._status(call, now_s)
        self.arrivals.append(Arrival(now_s, call, status))
        return status

    def windows(self) -> list[int]:
        """Returns the accepted windows in the order of their first acceptance."""
        return list(self.reports)

    def _status(self, call: DutyCall, now_s: float) -> int:
        subject = _subject(call)
        if self._holders.setdefault((subject, call.token), call.holder) != call.holder:
            self.violations.append(f"token {call.token} came from two holders")
        if self._is_over_rate(now_s):
            self.refused += 1
            return BUSY
        if call.token < self._highest.get(subject, 0):
            return self._refuse_low_token(call, subject, now_s)
        self._highest[subject] = call.token
        self._check_holder_order(call, subject, now_s)
        if call.path == "/usage":
            self._check_report(call)
        return ACCEPTED

    def _refuse_low_token(self, call: DutyCall, subject: str, now_s: float) -> int:
        if not self.fencing_checked:
            self.violations.append(f"token {call.token} came after {self._highest[subject]}")
            return ACCEPTED
        key = (call.holder, call.token)
        self._fenced_calls[key] = self._fenced_calls.get(key, 0) + 1
        if self._fenced_calls[key] > 1:
            self.violations.append(f"{call.holder} called again under token {call.token}, refused before")
        return FENCED

    def _is_over_rate(self, now_s: float) -> bool:
        while self._recent and self._recent[0] <= now_s - 1.0:
            self._recent.popleft()
        if len(self._recent) >= self.rate:
            return True
        self._recent.append(now_s)
        return False

    def _check_holder_order(self, call: DutyCall, subject: str, now_s: float) -> None:
        """Detects holders that act in the order A, B, A within one lease duration."""
        recent = self._recent_holders.setdefault(subject, [])
        recent[:] = [entry for entry in recent if now_s - entry[0] <= self.lease_s]
        holders = [holder for _, holder in recent]
        if call.holder in holders and holders[-1] != call.holder:
            self.violations.append(f"{call.holder} acted, then {holders[-1]}, then {call.holder}")
        recent.append((now_s, call.holder))

    def _check_report(self, call: DutyCall) -> None:
        window = int(json.loads(call.body)["windowNumber"])
        accepted = self.reports.get(window)
        if accepted is None:
            if self.reports and window < max(self.reports):
                self.violations.append(f"window {window} came after {max(self.reports)}")
            self.reports[window] = call.body
        elif json.loads(accepted) != json.loads(call.body):
            self.violations.append(f"window {window} was reported twice, with other counts")


class SimulatedPlatform:
    """The platform in the simulated network; it can be down, be slow, or lose answers."""

    def __init__(self, checker: PlatformChecker) -> None:
        self.checker = checker
        self.down = False
        self.slow_s = 0.0
        self.lost_answers = 0  # number of the next answers that are lost
        self.answer_timeout_s = 3.0
        self.in_progress = 0
        self.on_received = lambda: None  # called after a call was processed, before its answer is sent

    async def send(self, call: DutyCall) -> DutyAnswer:
        """Sends a call like `PlatformClient`."""
        loop = asyncio.get_running_loop()
        if self.down:
            await asyncio.sleep(ONE_WAY_LATENCY_S)
            return DutyAnswer.UNSENT
        answered: asyncio.Future[DutyAnswer] = loop.create_future()
        loop.call_later(ONE_WAY_LATENCY_S + self.slow_s, self._arrive, call, answered, context=NETWORK)
        try:
            async with asyncio.timeout(self.answer_timeout_s):
                return await answered
        except TimeoutError:
            return DutyAnswer.UNANSWERED

    def _arrive(self, call: DutyCall, answered: asyncio.Future[DutyAnswer]) -> None:
        loop = asyncio.get_running_loop()
        status = self.checker.receive(call, loop.time())
        self.on_received()
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return
        loop.call_later(
            ONE_WAY_LATENCY_S, _deliver_answer, answered, _ANSWER_BY_STATUS[status], context=NETWORK
        )


def platform_application(checker: PlatformChecker) -> web.Application:
    """Builds the HTTP application that answers with the statuses of the checker."""

    async def receive(request: web.Request) -> web.Response:
        call = DutyCall(
            request.path,
            await request.read(),
            request.headers["X-Duty-Holder"],
            int(request.headers["X-Fence-Token"]),
        )
        return web.Response(status=checker.receive(call, asyncio.get_running_loop().time()))

    application = web.Application()
    application.router.add_post("/usage", receive)
    application.router.add_post("/scaling", receive)
    return application


def _deliver_answer(answered: asyncio.Future[DutyAnswer], answer: DutyAnswer) -> None:
    if not answered.done():
        answered.set_result(answer)


def _subject(call: DutyCall) -> str:
    """Returns the fenced subject: one for all usage windows, and one for each service and zone scaled."""
    if call.path == "/usage":
        return call.path
    value = json.loads(call.body)
    return f"{call.path} {value['targetService']} {value['zone']}"
