"""The core of a node: carries each session (one request) from its arrival to its one final answer.

The dispatcher (`arrowfold.choice`) decides which worker to try and when to retry, deny, fail, subscribe or
probe; the core executes these decisions. Times are converted to microseconds only where the dispatcher is
called.

Rules that the core enforces even if the dispatcher does not: each session gets exactly one answer, by its
deadline (rule 1), and a server that drains, is in maintenance or has been removed gets no new work (rule 3).
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Generator, Iterable
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from arrowfold import interface as api
from arrowfold.choice import Dispatcher
from arrowfold.membership.part import WorkerSubset
from arrowfold.routes.rules import Router, Subject
from arrowfold.routing.session import (
    Answer,
    Client,
    ClientLeft,
    Clock,
    Dispatch,
    Ended,
    Expired,
    Job,
    ListReady,
    Logging,
    Observer,
    Probe,
    Progress,
    RunAnswered,
    Session,
    Verdict,
    from_us,
    to_us,
)
from arrowfold.routing.table import Row, ServerTable

if TYPE_CHECKING:
    from arrowfold.quotas.gate import Gate
    from arrowfold.repeats.store import Entry, Store

ANSWERS_PER_TURN = 200  # requests that receive one run's answer in one turn of the event loop
PROBE_TIMEOUT = timedelta(milliseconds=300)


class Core:
    """Sessions, server table and dispatcher of one node.

    Every time in the core is a `timedelta` on the scale of the given clock. Events of one session are
    queued and handled one after the other by the session's generator, see `_run_session`.
    """

    def __init__(
            self, settings: api.Settings, seed: int, clock: Clock, counters: Counter[str],
            request_list: Callable[[bool], None], log: Logging, max_sessions: int = 30_000,
    ) -> None:
        self.settings, self.clock, self.counters, self.log = settings, clock, counters, log
        self.request_list = request_list  # True: subscribe to changes of the list; False: fetch it once
        self.max_sessions = max_sessions
        self.module = Dispatcher(settings, seed, counters)
        self.table = ServerTable()
        self.part = WorkerSubset(settings.zone, settings.number, self.table.is_unshared)
        self.sessions: dict[str, Session] = {}
        self.unanswered_count = 0  # sessions without a final answer
        self._inbox: deque[tuple[Session, object]] = deque()
        self._is_processing = False
        self.listed = True  # whether the list of servers is recent enough to serve from
        self._waiting_for_list: list[Session] = []
        self.routes: Router | None = None  # None: every job may go to any server
        self.quotas: Gate | None = None  # None: no quotas
        self.repeats: Store | None = None  # None: duplicate requests are not recognised
        self.runs: dict[str, Session] = {}  # by job id: sessions that execute all requests of one key
        self.observer: Observer | None = None
        # Both are replaced while another process of this node also serves.
        # Returns whether the other process has a session with this job id open.
        self.held_elsewhere: Callable[[str], bool] = lambda job_id: False
        # Informs the other process that a session was opened (True) or closed (False) here.
        self.on_session: Callable[[str, bool], None] = lambda job_id, opened: None

    # --- called by the protocols and the node --------------------------------------------------------

    def list_servers(
            self, source: str, rows: Iterable[Row], mode: api.RosterMode = api.RosterMode.PARTIAL,
            shared: bool = False,
    ) -> None:
        """Applies a source's list, or a change of it, to the table and informs the dispatcher.

        The list of a `shared` source is known to all nodes alike, so the dispatcher receives only this
        node's part of it.
        """
        if shared:
            self.table.mark_shared(source)
        if mode is api.RosterMode.PARTIAL:
            update = self.table.change(source, rows)
        else:
            update = self.table.replace(source, rows, mode)
        self._publish_list(update)
        self._cancel_unsent_to_leaving()
        self._process_inbox()

    def list_failed(self) -> None:
        """Informs the dispatcher that the list could not be fetched or that its subscription has ended."""
        self._consult(api.RosterUpdate(api.RosterMode.ERROR))
        self._process_inbox()

    def await_list(self) -> None:
        """Holds jobs from now on, because the known list may be too old to serve from."""
        self.listed = False

    def list_confirmed(self) -> None:
        """Marks the known list as valid and resumes the sessions that waited for it, in order of arrival."""
        self.listed = True
        self._inbox.extend((session, ListReady()) for session in self._waiting_for_list)
        self._waiting_for_list.clear()
        self._process_inbox()

    def change_settings(self, settings: api.Settings, max_sessions: int) -> None:
        """Replaces the settings; open sessions keep their class."""
        self.settings, self.max_sessions = settings, max_sessions
        if self.observer is not None:
            self.observer.settings_changed(settings)
        self._consult(api.SettingsChanged(settings))
        if (settings.zone, settings.number) != (self.part.zone, self.part.number):
            self._consult(self.part.move(settings.zone, settings.number))
        self._process_inbox()

    def start_maintenance(self, name: str) -> None:
        """Starts maintenance of a server: it receives no work until `end_maintenance` is called."""
        server = self.table.find(name)
        if self.observer is not None:
            self.observer.maintenance_changed(name, True)
        self._publish_list(self.table.start_maintenance(name))
        self._cancel_unsent_to_leaving()
        if server is not None:
            server.rest()
        self._process_inbox()

    def end_maintenance(self, name: str) -> None:
        """Ends maintenance of a server."""
        if self.observer is not None:
            self.observer.maintenance_changed(name, False)
        self._publish_list(self.table.end_maintenance(name, to_us(self.clock.now())))
        self._process_inbox()

    def _publish_list(self, update: api.RosterUpdate) -> None:
        """Passes a list update to the dispatcher, reduced to this node's part.

        All list updates go this way.
        """
        update = self.part.take(update)
        if self.observer is not None:
            self.observer.listed(update)
        self._consult(update)

    def ready(self) -> bool:
        """Returns whether the list is valid and has at least one server in service."""
        return self.listed and self.table.serving() > 0

    def holds(self, job_id: str) -> bool:
        """Returns whether a job of this id is open in this process or in another one of this node."""
        return job_id in self.sessions or job_id in self.runs or self.held_elsewhere(job_id)

    def take(self, job: Job, client: Client) -> Session:
        """Accepts a job. The client receives exactly one answer, possibly before this method returns."""
        session = Session(job, client)
        self.counters["taken"] += 1
        self.unanswered_count += 1
        if self.observer is not None:
            self.observer.session_started(session)
        if len(self.sessions) >= self.max_sessions:  # limits memory: no state is kept for this one
            self.counters["over_capacity"] += 1
            self._answer(session, Answer(Verdict.DENIED))
            return session
        self.sessions[job.id] = session
        self.on_session(job.id, True)
        session.timer = self.clock.call_at(job.deadline, lambda: self._notify(session, Expired()))
        session.coroutine = self._run_session(session)
        self._resume(session, None)
        self._process_inbox()
        return session

    def leave(self, session: Session) -> None:
        """Handles the disconnect of a session's client."""
        if not session.answered:
            self._notify(session, ClientLeft())

    def fail_all(self) -> None:
        """Fails every open session because the node stops; their attempts may have run."""
        for session in [*self.runs.values(), *self.sessions.values()]:
            self._answer(session, Answer(Verdict.FAILED))
            self._cancel_unsent(session)
        self._process_inbox()

    # --- one session ---------------------------------------------------------------------------------

    def _run_session(self, session: Session) -> Generator[None, object, None]:
        """Runs one session from its arrival to the end of its last attempt; receives its events by `send`."""
        job = session.job
        can_continue, reach = self._apply_routes(session)
        if can_continue and self.repeats is not None and job.effect_key is not None and not session.is_run:
            yield from self._join_run(session, self.repeats)
            can_continue = False
        can_continue = can_continue and self._charge_quotas(session)
        if can_continue and not self.listed:
            can_continue = yield from self._await_list(session)
        # The dispatcher decides whether to send the request, queue it or deny it.
        if can_continue:
            self._consult(api.Arrival(
                job.id, job.request_class, to_us(job.deadline), job.key, job.tenant,
                None if job.effort is None else to_us(job.effort), job.slots, job.memory, job.resent, reach))
        while not session.answered or session.unfinished():
            event = yield
            match event:
                case api.Send():
                    self._dispatch(session, event)
                case Progress(dispatch, share) if not dispatch.has_ended:
                    if share is None:
                        dispatch.started_at = self.clock.now()
                    if self.observer is not None:
                        self.observer.progressed(dispatch, share)
                    self._consult(api.AttemptProgress(job.id, dispatch.number, share))
                case Ended(dispatch, status, body, load, fetched) if not dispatch.has_ended:
                    self._close(dispatch)
                    if self.quotas is not None and fetched is not None:
                        dispatch.fetches = self.quotas.reported_fetches(fetched)
                    if status is api.Status.OK:
                        self._answer(session, Answer(Verdict.SERVED, body))
                    # The dispatcher decides whether to retry, queue or fail the request.
                    self._attempt_ended(dispatch, status, load)
                case api.Cancel():
                    self._cancel(session.dispatches[event.attempt], api.Status.CANCELLED)
                case api.Refuse():
                    retry_after = from_us(event.retry_after_us) if event.retry_after_us else None
                    self._answer(session, Answer(Verdict.DENIED, retry_after=retry_after))
                case api.Fail():
                    self._answer(session, Answer(Verdict.FAILED))
                case ClientLeft() if not session.answered:
                    self._client_left(session)
                    self._consult(api.Withdrawn(job.id))
                case Expired():
                    self._expire(session)
            if session.answered:
                self._cancel_unsent(session)
        if session.timer is not None:
            session.timer.cancel()
        if self.quotas is not None and session.ticket is not None:
            fetches = sum(dispatch.fetches for dispatch in session.dispatches)
            self.quotas.settle(session.ticket, session.worker_time, fetches, self.clock.now())
        if session.is_run:
            del self.runs[job.id]
            return
        del self.sessions[job.id]
        self.on_session(job.id, False)

    def _await_list(self, session: Session) -> Generator[None, object, bool]:
        """Waits for a valid list; returns False if the session ends first.

        Needed for rule 3 (no new work for a server that drains or has been removed) just after a process has
        started, when it does not know these servers yet.
        """
        self._waiting_for_list.append(session)
        while not session.answered:
            match (yield):
                case ListReady():
                    return True
                case Expired():
                    self._answer(session, Answer(Verdict.DENIED))
                case ClientLeft():
                    self._client_left(session)
        return False

    def _join_run(self, session: Session, store: Store) -> Generator[None, object, None]:
        """Answers a request with an idempotency key from the run that all requests of its key share.

        The first request starts the run; a run that has ended is replayed from the store.
        """
        job, now, cls = session.job, self.clock.now(), self._request_class(session.job.request_class)
        digest = store.digest(job.request_class, job.tenant_path, job.effect_key)
        decision, entry = store.look_up(cls, digest, store.digest(job.asked, job.body), now)
        self.counters[f"repeats_{decision.value}"] += 1
        if decision.value in ("conflict", "refused") or entry is None:
            reason = "this key was used for another request" if decision.value == "conflict" else \
                "it has run, or may have, and must not run twice; its answer is no longer kept"
            self._answer(session, Answer(
                Verdict.FAILED, reason=reason, conflict=decision.value == "conflict"))
            return
        if decision.value == "replayed":
            verdict = Verdict.FAILED if entry.body is None else Verdict.SERVED
            self._answer(session, Answer(verdict, entry.body or b"", replayed=True))
            return
        if decision.value == "first":
            self._begin_run(session, entry, cls)
        waiters: RunWaiters = entry.waiters
        waiters.waiting[session] = None
        while not session.answered:
            match (yield):
                case RunAnswered(answer):
                    self._answer(session, answer)
                case Expired():
                    self._answer(session, Answer(
                        Verdict.FAILED if waiters.run.may_have_started() else Verdict.DENIED))
                case ClientLeft():
                    self._client_left(session)
        waiters.waiting.pop(session, None)
        if not waiters.waiting and not waiters.run.answered:
            self._notify(waiters.run, ClientLeft())  # no request waits for the run any more

    def _request_class(self, name: str) -> api.RequestClass:
        # The class may have been removed from the settings after the request was checked against them.
        unknown = api.RequestClass(name, 0, 0, api.Idempotency.UNSAFE)
        return next((cls for cls in self.settings.classes if cls.name == name), unknown)

    def _begin_run(self, session: Session, entry: Entry, cls: api.RequestClass) -> None:
        """Starts the run of a key: the session that executes the request for all requests of the key.

        Its deadline is at least the class's, since other requests may have a later one than the first.
        """
        job = session.job
        job = replace(job, deadline=max(job.deadline, self.clock.now() + from_us(cls.deadline_us)))
        entry.waiters = waiters = RunWaiters(self, entry)
        run = waiters.run = Session(job, waiters)
        run.is_run, run.span = True, session.span
        waiters.waiting[session] = None
        self.runs[job.id] = run
        self.unanswered_count += 1
        run.timer = self.clock.call_at(job.deadline, lambda: self._notify(run, Expired()))
        run.coroutine = self._run_session(run)
        self._resume(run, None)

    def share_answer(self, waiters: RunWaiters, answer: Answer) -> None:
        """Passes a run's answer to every request that waits for it, a limited number per turn of the loop."""
        run = waiters.run
        if self.repeats is not None:
            # A run of a keyed class may be denied after an attempt that may have run: stored like a failure.
            body = answer.body if answer.verdict is Verdict.SERVED else None
            self.repeats.ended(
                waiters.entry, body, body is not None or run.may_have_started(), self.clock.now())
        waiting = deque(waiters.waiting)

        def answer_next() -> None:
            for _ in range(min(ANSWERS_PER_TURN, len(waiting))):
                self._inbox.append((waiting.popleft(), RunAnswered(answer)))
            if waiting:
                self.clock.call_at(self.clock.now(), answer_next)
            self._process_inbox()

        # Ten thousand answers in one turn would block the event loop for all other tasks.
        self.clock.call_at(self.clock.now(), answer_next)

    def _apply_routes(self, session: Session) -> tuple[bool, api.Reach | None]:
        """Looks the job up in the routes. All look-ups of routes go this way.

        Returns whether the job may continue, and the reach (allowed zones and kinds) that its route leaves.
        """
        if self.routes is None:
            return True, None
        job = session.job
        found = self.routes.find(
            Subject(job.request_class, job.region, job.key, job.tenant_path, job.client, job.resent))
        if found is None:
            return True, None
        rule, reach = found
        session.rule = rule.name
        self.counters["routes_matched"] += 1
        if not rule.action.deny:
            return True, reach
        self.counters["routes_denied"] += 1
        retry_after = rule.action.retry_after if self.settings.retry_after else None
        if retry_after is not None:
            retry_after = min(retry_after, from_us(self.settings.max_retry_after_us))
        self._answer(session, Answer(Verdict.DENIED, retry_after=retry_after))
        return False, None

    def _charge_quotas(self, session: Session) -> bool:
        """Charges the job to its quotas before the dispatcher receives it. All charges go this way.

        Returns whether the job may continue.
        """
        if self.quotas is None:
            return True
        job = session.job
        found = self.quotas.admit(
            job.account, job.request_class, job.slots, job.key, self.clock.now(), job.client,
            job.resent)
        if not found.refused:
            session.ticket = found
            self.counters["quotas_let_in"] += 1
            return True
        self.counters["quotas_denied"] += 1
        retry_after = found.after if self.settings.retry_after else None
        self._answer(session, Answer(
            Verdict.DENIED, retry_after=retry_after, reason=found.as_text(), over_quota=True))
        return False

    def _dispatch(self, session: Session, order: api.Send) -> None:
        now, number = self.clock.now(), len(session.dispatches)
        server = self.table.find(order.worker)
        moot = session.answered or now >= session.job.deadline or number >= self.settings.attempt_cap
        moot = moot or order.worker in self.table.out  # rule 3: no new work, whatever the dispatcher does
        if moot or server is None:
            status = api.Status.MOOT if moot else api.Status.CONNECT_FAILED
            dispatch = Dispatch(session, number, order.worker, _ABSENT_SERVER, now, self._notify)
            session.dispatches.append(dispatch)
            dispatch.has_ended = True
            self._attempt_ended(dispatch, status, None)
            return
        dispatch = Dispatch(session, number, order.worker, server, now, self._notify)
        session.dispatches.append(dispatch)
        self.counters["dispatched"] += 1
        if order.timeout_us:
            until = min(now + from_us(order.timeout_us), session.job.deadline)
            dispatch.timer = self.clock.call_at(until, lambda: self._time_out(dispatch))
        if self.observer is not None:
            self.observer.dispatched(dispatch)
        if self.quotas is not None:
            dispatch.fetches = self.quotas.fetches(order.worker, session.job.key)
        server.send(dispatch)

    def _time_out(self, dispatch: Dispatch) -> None:
        if not dispatch.has_ended:
            status = dispatch.server.cancel(dispatch) or api.Status.TIMEOUT
            self._notify(dispatch.session, Ended(dispatch, status, b"", None))

    def _cancel_unsent(self, session: Session) -> None:
        """Cancels attempts of an ended session whose request has not been sent to the server.

        Without this, a server would do work that no client waits for: a client may leave, or be answered,
        while an attempt waits for its connection, and the dispatcher cancels only what the settings allow.
        """
        for dispatch in session.unfinished():
            if not dispatch.is_sent:
                self._cancel(dispatch, api.Status.CANCELLED)

    def _cancel_unsent_to_leaving(self) -> None:
        """Cancels unsent attempts to servers that drain (rule 3) or have restarted (rule 4: cold workers)."""
        for session in [*self.runs.values(), *self.sessions.values()]:
            for dispatch in session.unfinished():
                if not dispatch.is_sent and not self.table.serves(dispatch.server_name, dispatch.server):
                    self._inbox.append((session, api.Cancel(session.job.id, dispatch.number)))

    def _cancel(self, dispatch: Dispatch, status: api.Status) -> None:
        if not dispatch.has_ended:
            self._close(dispatch)
            self._attempt_ended(dispatch, dispatch.server.cancel(dispatch) or status, None)

    def _close(self, dispatch: Dispatch) -> None:
        dispatch.has_ended = True
        if dispatch.timer is not None:
            dispatch.timer.cancel()

    def _attempt_ended(self, dispatch: Dispatch, status: api.Status, load: api.LoadReport | None) -> None:
        self.counters[f"outcome_{status.name.lower()}"] += 1
        if self.observer is not None:
            self.observer.ended(dispatch, status, load)
        elapsed = to_us(self.clock.now() - dispatch.sent_at)
        session = dispatch.session
        session.may_have_run = session.may_have_run or not status.never_ran
        if self.quotas is not None and not status.never_ran:
            span = self.clock.now() - dispatch.started_at
            session.worker_time += span * session.job.slots
            if status is api.Status.OK:
                self.quotas.record_run(session.job.request_class, span)
        self._consult(api.AttemptEnded(
            session.job.id, dispatch.number, dispatch.server_name, status, elapsed, session.answered, load))

    def _expire(self, session: Session) -> None:
        """Ends a session at its deadline: its attempts time out and its client is answered."""
        for dispatch in session.unfinished():
            self._cancel(dispatch, api.Status.TIMEOUT)
        # Rule 1 (an answer by the deadline), whatever the dispatcher does: its answer would be in the inbox
        # by now.
        if not session.answered and not any(
                receiver is session and isinstance(event, api.Refuse | api.Fail)
                for receiver, event in self._inbox):
            self._answer(session, Answer(Verdict.FAILED))
            self._consult(api.Withdrawn(session.job.id))

    def _client_left(self, session: Session) -> None:
        """Closes a session whose client has disconnected; no answer is sent."""
        session.answered = True
        self.unanswered_count -= 1
        if session.is_run:
            self.share_answer(session.client, Answer(Verdict.FAILED))  # type: ignore[arg-type]
            return
        self.counters["client_left"] += 1
        if self.observer is not None:
            self.observer.answered(session, None)

    def _answer(self, session: Session, answer: Answer) -> None:
        if session.answered:
            return
        session.answered = True
        self.unanswered_count -= 1
        if session.is_run:
            session.client.answer(answer)
            return
        self.counters[f"answered_{answer.verdict.value}"] += 1
        if self.clock.now() > session.job.deadline:
            self.counters["answered_late"] += 1
        if self.observer is not None:
            self.observer.answered(session, answer)
        session.client.answer(answer)

    # --- the dispatcher --------------------------------------------------------------------------------

    def _consult(self, event: api.Event) -> None:
        """Passes an event to the dispatcher and its actions to the sessions that they concern."""
        try:
            actions = self.module.handle(to_us(self.clock.now()), (event,))
        except Exception as error:
            # Rule 1 (an answer by the deadline) holds in spite of an exception in the dispatcher: the session
            # still ends at its deadline.
            self.counters["module_faults"] += 1
            self.log("module_fault", error=f"{type(error).__name__}: {error}", on=type(event).__name__)
            return
        for action in actions:
            match action:
                case api.SetTimer(delay_us, handle):
                    self._set_timer(from_us(delay_us), handle)
                case api.Probe(worker):
                    self._probe(worker)
                case api.Subscribe():
                    self.request_list(True)
                case api.FetchRoster():
                    self.request_list(False)
                case api.Log(text):
                    self.log("module", said=text)
                case _ if action.request in self.runs:
                    self._inbox.append((self.runs[action.request], action))
                case _ if action.request in self.sessions:
                    self._inbox.append((self.sessions[action.request], action))

    def _set_timer(self, delay: timedelta, handle: int) -> None:
        def fire() -> None:
            self._consult(api.TimerFired(handle))
            self._process_inbox()

        self.clock.call_at(self.clock.now() + delay, fire)

    def _probe(self, name: str) -> None:
        server = self.table.find(name)
        probe = Probe(name, server or _ABSENT_SERVER, self.clock.now(), self._probe_ended)
        self.counters["probes"] += 1

        def time_out() -> None:
            if not probe.has_ended:
                probe.server.cancel(probe)
                self._probe_ended(probe, api.Status.TIMEOUT, None)

        if server is None or name in self.table.out:
            probe.timer = self.clock.call_at(
                probe.sent_at, lambda: self._probe_ended(probe, api.Status.CONNECT_FAILED, None))
            return
        probe.timer = self.clock.call_at(probe.sent_at + PROBE_TIMEOUT, time_out)
        server.probe(probe)

    def _probe_ended(self, probe: Probe, status: api.Status, load: api.LoadReport | None) -> None:
        if probe.has_ended:
            return
        probe.has_ended = True
        if probe.timer is not None:
            probe.timer.cancel()
        self.counters["probes_ok" if status is api.Status.OK else "probes_failed"] += 1
        elapsed = to_us(self.clock.now() - probe.sent_at)
        if self.observer is not None:
            self.observer.probed(probe.server_name, status, load)
        self._consult(api.ProbeEnded(probe.server_name, status, elapsed, load))
        self._process_inbox()

    def _notify(self, session: Session, event: object) -> None:
        self._inbox.append((session, event))
        self._process_inbox()

    def _process_inbox(self) -> None:
        """Delivers queued events to their sessions in order. Not reentrant, since a generator can't be."""
        if self._is_processing:
            return
        self._is_processing = True
        try:
            while self._inbox:
                session, event = self._inbox.popleft()
                self._resume(session, event)
        finally:
            self._is_processing = False

    @staticmethod
    def _resume(session: Session, event: object) -> None:
        """Resumes a session's generator unless it has ended; `event` is None at its start."""
        if session.coroutine is not None:
            try:
                session.coroutine.send(event)
            except StopIteration:
                session.coroutine = None


class RunWaiters:
    """The client of a run: the sessions of its key that wait for the answer, in order of arrival."""

    def __init__(self, core: Core, entry: Entry) -> None:
        self.core, self.entry = core, entry
        self.run: Session  # executes the request
        self.waiting: dict[Session, None] = {}

    def answer(self, answer: Answer) -> None:
        """Passes the run's answer to the waiting sessions."""
        self.core.share_answer(self, answer)


class _AbsentServer:
    """Null object for a backend server that is not in the table: attempts and probes have no effect."""

    def send(self, dispatch: Dispatch) -> None:
        del dispatch

    def probe(self, probe: Probe) -> None:
        del probe

    def cancel(self, operation: Dispatch | Probe) -> api.Status | None:
        del operation
        return api.Status.MOOT

    def rest(self) -> None:
        pass


_ABSENT_SERVER = _AbsentServer()
