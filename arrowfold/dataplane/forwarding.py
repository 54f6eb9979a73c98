"""The life of one request at an edge: route it, send it to a worker, judge what came, answer the client."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import replace

from arrowfold.configuration.routes import STREAMING
from arrowfold.dataplane import headers as names
from arrowfold.dataplane.attempts import RequestProgress, begin
from arrowfold.dataplane.events import EventSplitter, EventTooLargeError
from arrowfold.dataplane.exchange import (
    BodyLostError,
    ClientAnswer,
    ClientRequest,
    SendFailure,
    WorkerAnswer,
    WorkerRequest,
    WorkerTransport,
)
from arrowfold.dataplane.headers import REWRITTEN_IN_REQUESTS, end_to_end, find, parse_load
from arrowfold.dataplane.own_answers import OwnAnswer, may_have_run, not_executed
from arrowfold.dataplane.retry_budget import RetryBudget
from arrowfold.dataplane.tables import FleetSnapshot
from arrowfold.node.result_codes import ResultCode
from arrowfold.selection.interface import (
    ChosenWorker,
    Outcome,
    RefusedRequest,
    WaitForWorker,
    WorkerSelector,
)

PROMISE_STATUSES = frozenset({408, 421, 429, 503})  # of an answer: the request has not run and never will
REWRITTEN_IN_ANSWERS = frozenset({names.CONTENT_LENGTH})
LARGEST_BUFFERED_BODY = 8 * 1024 * 1024  # bytes of an answer that is no stream
SHORTEST_SEND_S = 0.002  # with less time left a request isn't sent
MOST_CHOICES = 12  # choices of a worker for one request, those included that could not be reached


class RequestForwarder:
    """Forwards requests; everything it needs of the outside comes through its arguments."""

    def __init__(
        self,
        transport: WorkerTransport,
        selector: WorkerSelector,
        budget: RetryBudget,
        snapshot: Callable[[], FleetSnapshot],
        clock: Callable[[], float],
        draw: random.Random | None = None,
    ) -> None:
        self._transport = transport
        self._selector = selector
        self._budget = budget
        self._snapshot = snapshot
        self._clock = clock
        self._draw = draw or random.Random()
        self._changed = asyncio.Event()

    def workers_changed(self) -> None:
        """Tell the requests that wait for a worker that the table has changed."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def forward(self, request: ClientRequest, answer: ClientAnswer) -> None:
        """Answer one request."""
        configuration = self._snapshot().configuration
        attempt_id = find(request.headers, names.ATTEMPT_ID)
        if configuration is None:
            await _send_own(answer, not_executed(ResultCode.NO_CONFIGURATION_YET), attempt_id)
            return
        route = configuration.routes.match(request.host, request.target)
        if route is None:
            await _send_own(answer, OwnAnswer(404, ResultCode.ROUTE_UNKNOWN), attempt_id)
            return
        progress = begin(request, route, route.pick_service(self._draw.random()))
        self._budget.count_request(progress.service, self._clock())
        try:
            async with asyncio.timeout(max(0.0, progress.deadline_s - self._clock())):
                await self._run(progress, answer)
        except TimeoutError:
            await self._end_without_worker(progress, answer, ResultCode.DEADLINE_PASSED, None)

    async def _run(self, progress: RequestProgress, answer: ClientAnswer) -> None:
        for _ in range(MOST_CHOICES):
            choice = await self._choose(progress)
            if isinstance(choice, RefusedRequest):
                await self._end_without_worker(
                    progress, answer, ResultCode(choice.code), choice.retry_after_s
                )
                return
            if progress.sends and not self._budget.take(progress.service, self._clock()):
                break
            if await self._attempt(progress, choice, answer):
                return
            if not progress.may_send_again:
                break
        await self._end_without_worker(progress, answer, ResultCode.OVERLOADED, 0.25)

    async def _choose(self, progress: RequestProgress) -> ChosenWorker | RefusedRequest:
        while True:
            now_s = self._clock()
            profile = replace(progress.profile, attempts_left=progress.route.max_attempts - progress.sends)
            choice = self._selector.choose(profile, progress.tried, now_s)
            if not isinstance(choice, WaitForWorker):
                return choice
            try:
                async with asyncio.timeout(max(0.0, min(choice.wait_s, progress.deadline_s - now_s))):
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _attempt(self, progress: RequestProgress, choice: ChosenWorker, answer: ClientAnswer) -> bool:
        """Send it to one worker; True once the client's answer has ended."""
        if not self._snapshot().may_send(choice.instance):
            progress.tried.add(choice.instance)
            return False
        self._selector.sent(progress.profile, choice.instance, self._clock())
        outcome = Outcome.CANCELLED
        progress.tried.add(choice.instance)
        run_before, progress.may_have_run = progress.may_have_run, True
        progress.sends += 1
        try:
            sent = await self._transport.send(
                choice.instance, choice.address, self._worker_request(progress, choice)
            )
            if sent.is_err():
                failure = sent.unwrap_err()
                outcome = Outcome.LOST
                if failure is not SendFailure.LOST:
                    outcome = Outcome.UNREACHABLE
                    progress.sends -= 1
                    progress.may_have_run = run_before
                return False
            worker_answer = sent.unwrap()
            try:
                outcome = await self._judge(progress, choice, worker_answer, answer, run_before)
            finally:
                worker_answer.close()
        finally:
            self._selector.ended(progress.profile, choice.instance, outcome, self._clock())
        return outcome in (Outcome.SUCCEEDED, Outcome.FAILED)

    def _worker_request(self, progress: RequestProgress, choice: ChosenWorker) -> WorkerRequest:
        request = progress.request
        dropped = REWRITTEN_IN_REQUESTS
        headers: list[tuple[bytes, bytes]] = []
        if progress.events_passed and progress.last_event is not None:
            dropped = dropped | {names.LAST_EVENT_ID}
            headers.append((b"Last-Event-Id", b"%d" % progress.last_event))
        left_ms = max(1, int((progress.deadline_s - self._clock()) * 1000))
        headers.append((b"X-Deadline-Ms", b"%d" % left_ms))
        headers.append((b"X-Target-Instance", choice.instance.encode("latin-1", "replace")))
        if choice.priority_header is not None:
            headers.append((b"Priority", b"%d" % choice.priority_header))
        return WorkerRequest(
            attempt_id=progress.attempt_id,
            method=request.method,
            target=request.target,
            headers=tuple(end_to_end(request.headers, dropped) + headers),
            body=request.body,
            repeatable=progress.route.repeatable,
        )

    async def _judge(
        self,
        progress: RequestProgress,
        choice: ChosenWorker,
        worker_answer: WorkerAnswer,
        answer: ClientAnswer,
        run_before: bool,
    ) -> Outcome:
        """Pass the answer on if it is the client's, and tell how the send ended."""
        load = parse_load(find(worker_answer.headers, names.SERVER_LOAD))
        if load is not None:
            self._selector.load_reported(choice.instance, *load, self._clock())
        status = worker_answer.status
        if status == 421 or find(worker_answer.headers, names.NOT_EXECUTED) is not None:
            progress.may_have_run = run_before
            await _skip_body(worker_answer)
            return Outcome.MISDIRECTED if status == 421 else Outcome.REJECTED_FULL
        try:
            if 200 <= status < 300 and progress.route.kind == STREAMING:
                await self._pass_stream(progress, choice, worker_answer, answer)
                return Outcome.SUCCEEDED
            body = await _read_body(worker_answer)
        except (BodyLostError, EventTooLargeError):
            return Outcome.LOST
        if not 200 <= status < 300:
            return await self._pass_failure(progress, worker_answer, body, answer)
        self._selector.first_event(progress.profile, choice.instance, self._clock())
        await answer.send_whole(status, end_to_end(worker_answer.headers, REWRITTEN_IN_ANSWERS), body)
        return Outcome.SUCCEEDED

    async def _pass_failure(
        self, progress: RequestProgress, worker_answer: WorkerAnswer, body: bytes, answer: ClientAnswer
    ) -> Outcome:
        status = worker_answer.status
        if status in PROMISE_STATUSES or answer.started:
            return (
                Outcome.LOST
            )  # a promise that the worker did not prove, or a failure in place of a resumed stream
        await answer.send_whole(status, end_to_end(worker_answer.headers, REWRITTEN_IN_ANSWERS), body)
        return Outcome.FAILED

    async def _pass_stream(
        self,
        progress: RequestProgress,
        choice: ChosenWorker,
        worker_answer: WorkerAnswer,
        answer: ClientAnswer,
    ) -> None:
        """Pass on whole events as they come; raises BodyLostError when the stream breaks off."""
        splitter = EventSplitter()
        first = True
        while chunk := await worker_answer.read_chunk():
            events = splitter.feed(chunk)
            if not events:
                continue
            if first:
                first = False
                self._selector.first_event(progress.profile, choice.instance, self._clock())
            for event in events:
                if event.identity is not None:
                    if progress.last_event is not None and event.identity <= progress.last_event:
                        raise BodyLostError("the stream's ids don't rise")
                    progress.last_event = event.identity
                progress.events_passed += 1
            if not answer.started:
                await answer.start(
                    worker_answer.status, end_to_end(worker_answer.headers, REWRITTEN_IN_ANSWERS)
                )
            await answer.write(b"".join(event.data for event in events))
        if splitter.pending:
            raise BodyLostError("the stream ended within an event")
        if not answer.started:
            await answer.start(worker_answer.status, end_to_end(worker_answer.headers, REWRITTEN_IN_ANSWERS))
        await answer.finish()

    async def _end_without_worker(
        self, progress: RequestProgress, answer: ClientAnswer, code: ResultCode, retry_after_s: float | None
    ) -> None:
        """Answer what no worker answered; break off what has begun."""
        if answer.started:
            answer.abort()
            return
        if progress.may_have_run:
            late = self._clock() >= progress.deadline_s
            own = may_have_run(ResultCode.DEADLINE_PASSED if late else ResultCode.WORKER_FAILED)
        else:
            own = not_executed(code, retry_after_s)
        await _send_own(answer, own, progress.attempt_id)


async def _send_own(answer: ClientAnswer, own: OwnAnswer, attempt_id: str | None) -> None:
    await answer.send_whole(own.status, own.headers(attempt_id), own.body())


async def _skip_body(worker_answer: WorkerAnswer) -> None:
    with contextlib.suppress(BodyLostError):
        await _read_body(worker_answer)


async def _read_body(worker_answer: WorkerAnswer) -> bytes:
    chunks = []
    size = 0
    while chunk := await worker_answer.read_chunk():
        chunks.append(chunk)
        size += len(chunk)
        if size > LARGEST_BUFFERED_BODY:
            raise BodyLostError("the body is too large")
    return b"".join(chunks)
