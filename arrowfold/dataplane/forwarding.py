"""Forwards requests at an edge node: routing, attempts at workers, retries and the answer to the client."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus

from arrowfold.dataplane import headers as names
from arrowfold.dataplane.attempts import STREAMING, RequestProgress, create_progress
from arrowfold.dataplane.credentials import read_credentials
from arrowfold.dataplane.exchange import (
    ClientAnswer,
    ClientRequest,
    IncompleteBodyError,
    SendFailure,
    WorkerAnswer,
    WorkerTransport,
)
from arrowfold.dataplane.first_configuration import FirstConfiguration
from arrowfold.dataplane.give_up import GiveUp, GiveUpReason
from arrowfold.dataplane.headers import (
    REWRITTEN_IN_ANSWERS,
    end_to_end,
    find,
    parse_load,
)
from arrowfold.dataplane.key_checks import KeyChecks
from arrowfold.dataplane.options import DataPlaneOptions
from arrowfold.dataplane.own_answers import (
    OTHER_NODE_RETRY_S,
    EdgeAnswer,
    not_executed,
    outcome_unknown,
)
from arrowfold.dataplane.process_end import ProcessEnd
from arrowfold.dataplane.request_trace import REQUEST_KIND, UNROUTED_KIND, AttemptStep, TraceSink
from arrowfold.dataplane.retry_budget import RetryBudget
from arrowfold.dataplane.stream_takeover import StreamTakeover
from arrowfold.dataplane.streams import relay_stream
from arrowfold.dataplane.tables import FleetSnapshot
from arrowfold.dataplane.worker_answers import discard_body, is_event_stream, read_body
from arrowfold.dataplane.worker_requests import make_worker_request
from arrowfold.node.result_codes import ResultCode
from arrowfold.selection.interface import (
    ChosenWorker,
    Outcome,
    RefusedRequest,
    WaitForWorker,
    WorkerSelector,
)

# Statuses by which an answer guarantees that the request has not run and will not run.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
MAX_WORKER_CHOICES = 24  # per request, including workers that could not be reached
RESUME_RETRY_INTERVAL_S = 0.1  # between searches for a worker that resumes a stream
_OUTCOMES_WITHOUT_DELIVERY = {
    SendFailure.UNREACHABLE: Outcome.UNREACHABLE,
    SendFailure.NO_CONNECTION_FREE: Outcome.NO_CONNECTION_FREE,
}
# Outcomes that trigger an early demand report to the owner of the placement.
EARLY_REPORT_OUTCOMES = frozenset({Outcome.FAILED, Outcome.UNREACHABLE, Outcome.LOST})


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The end of an attempt, and of the takeover of its stream if there was one.

    `is_answered`: no further attempt follows, since the client has a worker's answer. `give_up`: why the rest
    of a stream that was taken over was given up.
    """

    is_answered: bool
    give_up: GiveUp | None = None


class RequestForwarder:
    """Forwards requests from clients to workers. All I/O, time and state are injected."""

    def __init__(
        self,
        transport: WorkerTransport,
        selector: WorkerSelector,
        budget: RetryBudget,
        snapshot: Callable[[], FleetSnapshot],
        clock: Callable[[], float],
        rng: random.Random | None = None,
        process_end: ProcessEnd | None = None,
        traces: TraceSink | None = None,
        options: DataPlaneOptions | None = None,
        keys_are_fresh: Callable[[], bool] = lambda: True,
        always_hides_keys: bool = False,
        on_execution_started: Callable[[str], None] = lambda tenant: None,
        on_answer_cut: Callable[[RequestProgress, GiveUpReason], None] = lambda progress, reason: None,
    ) -> None:
        """Create a forwarder.

        `process_end` limits all requests once the end of the process is planned; by default it never is.
        `traces` receives a record of each request that was not answered in time. `keys_are_fresh` returns
        whether the known tenants are recent enough to admit a key. With `always_hides_keys`, Authorization is
        not forwarded to workers even while the configuration has no tenants.
        `on_execution_started` is called with the tenant's name, once for each request whose execution
        a worker has started. `on_answer_cut` is called when an answer that has begun is broken off.
        """
        self._on_answer_cut = on_answer_cut
        self._on_execution_started = on_execution_started
        self._key_checks = KeyChecks(snapshot, keys_are_fresh, always_hides_keys)
        self._traces = traces
        self._options = options or DataPlaneOptions()
        self._transport = transport
        self._selector = selector
        self._budget = budget
        self._snapshot = snapshot
        self._clock = clock
        self._rng = rng or random.Random()
        self._process_end = process_end or ProcessEnd()
        self._tables_changed = asyncio.Event()
        self._first_configuration = FirstConfiguration(
            lambda: snapshot().configuration, self._wait_for_change, self._process_end, clock
        )
        self.on_early_report_due: Callable[[], None] = lambda: None  # requests an early demand report

    def notify_workers_changed(self) -> None:
        """Wake the requests that wait for a worker, after the tables have changed."""
        self._tables_changed.set()
        self._tables_changed = asyncio.Event()

    async def _wait_for_change(self, timeout_s: float) -> None:
        """Waits until the tables change, for at most `timeout_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._tables_changed.wait()

    async def forward(self, request: ClientRequest, answer: ClientAnswer) -> None:
        """Answer one request, by a worker or by the edge itself."""
        attempt_id = find(request.headers, names.ATTEMPT_ID)
        configuration = await self._first_configuration.wait_for(request)
        if configuration is None:
            refusal = self._first_configuration.refusal(request, self._rng)
            await _send_edge_answer(answer, refusal, attempt_id)
            self._write_unrouted(request, ResultCode.NO_CONFIGURATION_YET)
            return
        route = configuration.routes.match(request.host, request.target)
        if route is None:
            await _send_edge_answer(answer, EdgeAnswer(404, ResultCode.ROUTE_UNKNOWN), attempt_id)
            return
        credentials = read_credentials(request.headers)
        admission = self._key_checks.admit(configuration, route, credentials)
        if admission.is_err():
            await _send_edge_answer(answer, admission.unwrap_err(), attempt_id)
            return
        if not attempt_id:
            await _send_edge_answer(answer, EdgeAnswer(400, ResultCode.REQUEST_MALFORMED), None)
            return
        service = route.pick_service(self._rng.random())
        progress = create_progress(request, route, service, credentials, admission.unwrap())
        if not self._process_end.admits(progress.deadline_s):
            await _send_edge_answer(
                answer, not_executed(ResultCode.SHUTTING_DOWN, OTHER_NODE_RETRY_S), attempt_id
            )
            return
        self._budget.count_request(progress.service, self._clock())
        try:
            async with self._process_end.limit_time(progress.deadline_s):
                give_up = await self._run_attempts(progress, answer)
                if give_up is not None:
                    await self._answer_without_worker(progress, answer, give_up)
        except TimeoutError:
            await self._answer_at_deadline(progress, answer)
        finally:
            self._write_trace(progress)

    def _write_unrouted(self, request: ClientRequest, code: ResultCode) -> None:
        if self._traces is not None:
            self._traces.write(UNROUTED_KIND, {"at": round(request.arrived_s, 3), "code": int(code)})

    def _write_trace(self, progress: RequestProgress) -> None:
        if self._traces is None or progress.trace.is_in_time(progress.profile):
            return
        self._traces.write(REQUEST_KIND, progress.trace.record(progress.profile, self._clock()))

    async def _answer_at_deadline(self, progress: RequestProgress, answer: ClientAnswer) -> None:
        """Answer a request whose deadline has passed or whose process is about to end."""
        if self._process_end.is_before(progress.deadline_s):
            refusal = not_executed(ResultCode.SHUTTING_DOWN, OTHER_NODE_RETRY_S)
            reason = GiveUpReason.PROCESS_ENDS
        else:
            refusal = not_executed(ResultCode.DEADLINE_PASSED, None)
            reason = GiveUpReason.DEADLINE
        await self._answer_without_worker(progress, answer, GiveUp(refusal, reason))

    async def _run_attempts(self, progress: RequestProgress, answer: ClientAnswer) -> GiveUp | None:
        """Make attempts until a worker has answered the client: returns None, or why none has."""
        refusal: RefusedRequest | None = None
        reason = GiveUpReason.CHOICES_SPENT
        choices = 0
        while choices < MAX_WORKER_CHOICES:
            choice = await self._choose_worker(progress)
            if isinstance(choice, EdgeAnswer):
                return GiveUp(choice, GiveUpReason.KEY_REFUSED)
            if isinstance(choice, RefusedRequest):
                refusal = choice
                if not await self._can_choose_again(progress, answer):
                    reason = GiveUpReason.NO_WORKER_CHOSEN
                    break
                continue
            choices += 1
            refusal = None
            is_repeat = progress.deliveries > 0
            if is_repeat and not self._budget.try_consume(progress.service, self._clock()):
                reason = GiveUpReason.RETRY_BUDGET_SPENT
                break
            deliveries_before = progress.deliveries
            attempt = await self._attempt(progress, choice, answer)
            if attempt.is_answered:
                return attempt.give_up
            if is_repeat and progress.deliveries == deliveries_before:
                self._budget.refund(progress.service)
            if not progress.can_retry:
                reason = GiveUpReason.ATTEMPTS_SPENT
                break
        if refusal is None:
            refusal = self._selector.refuse_overloaded(progress.profile, self._clock())
        return GiveUp(not_executed(ResultCode(refusal.code), refusal.retry_after_s), reason)

    async def _can_choose_again(self, progress: RequestProgress, answer: ClientAnswer) -> bool:
        """Whether to choose again after a refusal; waits a little when a stream is to be resumed.

        After an interruption, workers that were tried before may be chosen again. The search for a worker
        that resumes a stream ends when its client gives up because no event arrives.
        """
        if progress.interrupted_at_s is None:
            return False
        if progress.tried_instances:
            progress.tried_instances.clear()  # the worker that failed may be the only one with the model
            return True
        profile = replace(progress.profile, last_event_s=progress.last_event_s)
        left_s = profile.next_event_deadline_s - self._clock()
        if not answer.started or left_s <= 0:
            return False
        await self._wait_for_change(min(RESUME_RETRY_INTERVAL_S, left_s))
        return True

    async def _choose_worker(self, progress: RequestProgress) -> ChosenWorker | RefusedRequest | EdgeAnswer:
        """Returns a worker for an immediate attempt, or why there is none. Checks the key again each time."""
        while True:
            key_check = self._key_checks.recheck(progress)
            if key_check.is_err():
                return key_check.unwrap_err()
            now_s = self._clock()
            profile = replace(
                progress.profile,
                attempts_left=progress.route.max_attempts - progress.attempts_used,
                last_event_s=progress.last_event_s,
            )
            choice = self._selector.choose(profile, progress.excluded_instances, now_s)
            if isinstance(choice, WaitForWorker) or _is_model_missing(choice):
                self.on_early_report_due()
            if not isinstance(choice, WaitForWorker):
                return choice
            progress.trace.missed(now_s, choice.load_is_known)
            await self._wait_for_change(max(0.0, min(choice.wait_s, progress.deadline_s - now_s)))

    async def _attempt(
        self, progress: RequestProgress, choice: ChosenWorker, answer: ClientAnswer
    ) -> AttemptEnd:
        """Make one attempt at a worker, including the takeover of its stream by others if it falls silent."""
        progress.tried_instances.add(choice.instance)
        if self._clock() >= progress.deadline_s:
            raise TimeoutError
        if not self._snapshot().can_send_to(choice.instance):
            return AttemptEnd(is_answered=False)
        self._selector.sent(progress.profile, choice.instance, self._clock())
        step = progress.trace.sent(choice.instance, choice.predicted_s, self._clock())
        outcome = Outcome.CANCELLED
        takeover = StreamTakeover(progress, answer, self._run_attempts, self._clock)
        try:
            outcome = await self._send_to_worker(progress, choice, answer, step, takeover)
        except BaseException as error:
            takeover.cancel()
            if isinstance(error, asyncio.CancelledError):
                outcome = self._outcome_when_cancelled(progress)
            raise
        finally:
            self._selector.ended(progress.profile, choice.instance, outcome, self._clock())
            progress.trace.attempt_ended(step, outcome.value, self._clock())
        if outcome in EARLY_REPORT_OUTCOMES:
            self.on_early_report_due()
        if outcome in (Outcome.SUCCEEDED, Outcome.FAILED):
            return AttemptEnd(is_answered=True)
        is_taken_over, give_up = await takeover.finish()
        if outcome is Outcome.LOST:
            progress.interrupted_at_s = self._clock()
        return AttemptEnd(is_taken_over, give_up)

    def _outcome_when_cancelled(self, progress: RequestProgress) -> Outcome:
        if progress.may_have_run and progress.route.kind != STREAMING:
            self._count_for_tenant(progress)
        return Outcome.LOST if self._clock() >= progress.deadline_s else Outcome.CANCELLED

    async def _send_to_worker(
        self,
        progress: RequestProgress,
        choice: ChosenWorker,
        answer: ClientAnswer,
        step: AttemptStep,
        takeover: StreamTakeover,
    ) -> Outcome:
        """Send the request to a worker and return the outcome."""
        may_have_run_before, progress.may_have_run = progress.may_have_run, True
        progress.attempts_used += 1
        progress.deliveries += 1
        remaining_s = progress.deadline_s - self._clock()
        request = make_worker_request(progress, choice, remaining_s, takeover.report_silence)
        was_delivered_there = choice.instance in progress.delivered_to
        writes_before = len(progress.connections.numbers)
        try:
            sent = await self._transport.send(choice.instance, choice.address, request)
        except asyncio.CancelledError:
            if len(progress.connections.numbers) == writes_before:
                progress.undo_delivery(may_have_run_before)
            raise
        if sent.is_ok() or sent.unwrap_err() is SendFailure.LOST:
            step.connection = progress.connections.last
            progress.delivered_to.add(choice.instance)
        if sent.is_err():
            if sent.unwrap_err() is SendFailure.LOST:
                if progress.route.kind != STREAMING:
                    # Not counted for streams: one lost before its first token may not have left the queue.
                    self._count_for_tenant(progress)
                return Outcome.LOST
            progress.undo_delivery(may_have_run_before)
            return _OUTCOMES_WITHOUT_DELIVERY[sent.unwrap_err()]
        worker_answer = sent.unwrap()
        if was_delivered_there and not self._is_for_latest_send(progress, worker_answer):
            worker_answer.close()
            return Outcome.LOST
        try:
            return await self._handle_worker_answer(
                progress, choice, worker_answer, answer, may_have_run_before, takeover
            )
        finally:
            worker_answer.close()

    async def _handle_worker_answer(
        self,
        progress: RequestProgress,
        choice: ChosenWorker,
        worker_answer: WorkerAnswer,
        answer: ClientAnswer,
        may_have_run_before: bool,
        takeover: StreamTakeover,
    ) -> Outcome:
        """Forward a final answer to the client, and return the outcome of the attempt."""
        load = parse_load(find(worker_answer.headers, names.SERVER_LOAD))
        if load is not None:
            self._selector.load_reported(choice.instance, *load, self._clock())
        status = worker_answer.status
        if _is_not_executed(worker_answer):
            progress.may_have_run = may_have_run_before
            await discard_body(worker_answer)
            if status != HTTPStatus.MISDIRECTED_REQUEST:
                return Outcome.REJECTED_FULL
            self._record_misdirection(progress, choice)
            return Outcome.MISDIRECTED
        is_success = 200 <= status < 300
        if not _is_stream(worker_answer):
            self._count_for_tenant(progress)
        if is_success and find(worker_answer.headers, names.SERVER_SEAL) is None:
            return Outcome.LOST  # no answer of the worker, which seals each success
        try:
            if _is_stream(worker_answer):
                longest_pause_s = await relay_stream(
                    progress,
                    worker_answer,
                    answer,
                    lambda: self._record_first_event(progress, choice),
                    self._clock,
                    takeover,
                )
                progress.trace.longest_pause_s = max(progress.trace.longest_pause_s, longest_pause_s)
                progress.trace.status = status
                self._selector.stream_forwarded(progress.profile, choice.instance, longest_pause_s)
                return Outcome.SUCCEEDED
            body = await read_body(worker_answer)
        except IncompleteBodyError:
            return Outcome.LOST
        if answer.started:
            return Outcome.LOST  # not a stream, so it cannot continue the interrupted one
        if not is_success:
            return await self._forward_failure(progress, worker_answer, body, answer)
        self._record_first_event(progress, choice)
        await answer.send_complete(status, end_to_end(worker_answer.headers, REWRITTEN_IN_ANSWERS), body)
        progress.trace.status = status
        return Outcome.SUCCEEDED

    def _is_for_latest_send(self, progress: RequestProgress, worker_answer: WorkerAnswer) -> bool:
        """Whether the answer of a worker that was sent the request before may be that to the latest send.

        It may be a surplus answer to the earlier send. The events of a stream show what they belong to; and
        that a stream that may be repeated was not run is no promise to rely on.
        """
        return _is_stream(worker_answer) or (progress.route.repeatable and _is_not_executed(worker_answer))

    def _record_first_event(self, progress: RequestProgress, choice: ChosenWorker) -> None:
        now_s = self._clock()
        self._selector.first_event(progress.profile, choice.instance, now_s)
        progress.trace.first_event(now_s)
        self._count_for_tenant(progress)

    def _count_for_tenant(self, progress: RequestProgress) -> None:
        """Count the request in its tenant's usage, once."""
        if progress.tenant is not None and not progress.is_counted_for_tenant:
            progress.is_counted_for_tenant = True
            self._on_execution_started(progress.tenant.name)

    def _record_misdirection(self, progress: RequestProgress, choice: ChosenWorker) -> None:
        """Refund an attempt at a worker without the model, up to a limit; its load may be about to end."""
        progress.misdirections += 1
        if progress.misdirections <= self._options.misdirections:
            progress.attempts_used -= 1
            progress.tried_instances.discard(choice.instance)

    async def _forward_failure(
        self, progress: RequestProgress, worker_answer: WorkerAnswer, body: bytes, answer: ClientAnswer
    ) -> Outcome:
        status = worker_answer.status
        if status in NOT_EXECUTED_STATUSES:
            return Outcome.LOST  # not confirmed by X-Not-Executed: the request may have run
        if status >= 500 and progress.can_retry:
            return Outcome.LOST  # retried at another worker
        await answer.send_complete(status, end_to_end(worker_answer.headers, REWRITTEN_IN_ANSWERS), body)
        progress.trace.status = status
        return Outcome.FAILED

    async def _answer_without_worker(
        self, progress: RequestProgress, answer: ClientAnswer, give_up: GiveUp
    ) -> None:
        """End a request that no worker answered.

        An answer that has started is aborted. Otherwise the client gets the refusal if the request cannot
        have run, else a 502 or 504.
        """
        if answer.started:
            progress.trace.cut = give_up.reason.value
            self._on_answer_cut(progress, give_up.reason)
            answer.abort()
            return
        edge_answer = give_up.refusal
        if progress.may_have_run:
            edge_answer = outcome_unknown(self._unknown_outcome_code(progress, edge_answer.code))
        progress.trace.status, progress.trace.code = edge_answer.status, edge_answer.code
        progress.trace.retry_after_s = edge_answer.retry_after_s
        await _send_edge_answer(answer, edge_answer, progress.attempt_id)

    def _unknown_outcome_code(self, progress: RequestProgress, code: ResultCode) -> ResultCode:
        """Returns the result code for a request that may have run and whose result is unknown."""
        if code is ResultCode.SHUTTING_DOWN:
            return code
        is_past_deadline = self._clock() >= progress.deadline_s
        return ResultCode.DEADLINE_PASSED if is_past_deadline else ResultCode.WORKER_FAILED


async def _send_edge_answer(answer: ClientAnswer, edge_answer: EdgeAnswer, attempt_id: str | None) -> None:
    await answer.send_complete(edge_answer.status, edge_answer.headers(attempt_id), edge_answer.body())


def _is_not_executed(worker_answer: WorkerAnswer) -> bool:
    is_misdirected = worker_answer.status == HTTPStatus.MISDIRECTED_REQUEST
    return is_misdirected or find(worker_answer.headers, names.NOT_EXECUTED) is not None


def _is_stream(worker_answer: WorkerAnswer) -> bool:
    return 200 <= worker_answer.status < 300 and is_event_stream(worker_answer)


def _is_model_missing(choice: ChosenWorker | RefusedRequest) -> bool:
    return isinstance(choice, RefusedRequest) and choice.code == ResultCode.MODEL_LOADING
