"""The core: leads each session from its arrival to its one final answer, by the module's decisions.

The module decides whom to try, when to repeat, deny, give up, subscribe or probe; what stands here
translates. Times become microseconds only where the module is called.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Generator, Iterable
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from arrowfold import interface as api
from arrowfold.choice import Dispatcher
from arrowfold.membership.part import Part
from arrowfold.routes.rules import Router, Subject
from arrowfold.routing.session import (
    Answer,
    Client,
    Clock,
    Dispatch,
    Ended,
    Expired,
    Job,
    Left,
    Listed,
    Logging,
    Observer,
    Probe,
    Progress,
    Session,
    Shared,
    Verdict,
    from_us,
    to_us,
)
from arrowfold.routing.table import Row, ServerTable

if TYPE_CHECKING:
    from arrowfold.quotas.gate import Gate
    from arrowfold.repeats.store import Entry, Store

FAN = 200  # tries that get one run's answer in a turn of the loop
PROBE_LIMIT = timedelta(milliseconds=300)  # an unanswered probe counts as timed out after this


class Core:
    """One node's decisions, sessions and server table."""

    def __init__(
            self, settings: api.Settings, seed: int, clock: Clock, counters: Counter[str],
            ask_list: Callable[[bool], None], log: Logging, most_sessions: int = 30_000,
    ) -> None:
        self.settings, self.clock, self.counters, self.log = settings, clock, counters, log
        self.ask_list = ask_list  # called with whether to follow the list's changes
        self.most_sessions = most_sessions
        self.module = Dispatcher(settings, seed, counters)
        self.table = ServerTable()
        self.part = Part(settings.zone, settings.number, self.table.own)
        self.sessions: dict[str, Session] = {}
        self.owed = 0  # sessions with no final answer yet
        self._inbox: deque[tuple[Session, object]] = deque()
        self._draining = False
        self.listed = True  # whether the list of servers may be served from
        self._waiting: list[Session] = []  # for that
        self.routes: Router | None = None  # None: every job may go anywhere
        self.quotas: Gate | None = None  # None: nothing is limited
        self.repeats: Store | None = None  # None: each try is run
        self.runs: dict[str, Session] = {}  # where repeats are known: what all tries of a key wait for
        self.observer: Observer | None = None
        # Where another process serves this node too: what it has open, and what it is told of.
        self.held_elsewhere: Callable[[str], bool] = lambda job_id: False
        self.on_session: Callable[[str, bool], None] = lambda job_id, opened: None

    # --- what the wires call -------------------------------------------------------------------------

    def list_servers(
            self, source: str, rows: Iterable[Row], mode: api.RosterMode = api.RosterMode.PARTIAL,
            shared: bool = False,
    ) -> None:
        """A source's list, or a change of it, reaches the module at once; of a shared one, a part does."""
        if shared:
            self.table.share(source)
        if mode is api.RosterMode.PARTIAL:
            update = self.table.change(source, rows)
        else:
            update = self.table.replace(source, rows, mode)
        self._tell_list(update)
        self._withdraw_from_leaving()
        self._drain()

    def list_failed(self) -> None:
        """The list could not be had, or following it has ended."""
        self._consult(api.RosterUpdate(api.RosterMode.ERROR))
        self._drain()

    def await_list(self) -> None:
        """Hold jobs from now on: the list that is known may be too old to serve from."""
        self.listed = False

    def list_holds(self) -> None:
        """The list that is known holds; who has waited for it goes on, in the order of arrival."""
        self.listed = True
        self._inbox.extend((session, Listed()) for session in self._waiting)
        self._waiting.clear()
        self._drain()

    def change_settings(self, settings: api.Settings, most_sessions: int) -> None:
        """Other settings from now on; open sessions keep their class."""
        self.settings, self.most_sessions = settings, most_sessions
        if self.observer is not None:
            self.observer.settled(settings)
        self._consult(api.SettingsChanged(settings))
        if (settings.zone, settings.number) != (self.part.zone, self.part.number):
            self._consult(self.part.move(settings.zone, settings.number))
        self._drain()

    def take_out(self, name: str) -> None:
        """Maintenance: nothing more goes to this server until it is brought back."""
        server = self.table.find(name)
        if self.observer is not None:
            self.observer.called(name, True)
        self._tell_list(self.table.take_out(name))
        self._withdraw_from_leaving()
        if server is not None:
            server.rest()
        self._drain()

    def bring_back(self, name: str) -> None:
        if self.observer is not None:
            self.observer.called(name, False)
        self._tell_list(self.table.bring_back(name, to_us(self.clock.now())))
        self._drain()

    def _tell_list(self, update: api.RosterUpdate) -> None:
        """The one place where it is settled which servers this node works with."""
        update = self.part.take(update)
        if self.observer is not None:
            self.observer.listed(update)
        self._consult(update)

    def ready(self) -> bool:
        return self.listed and self.table.serving() > 0

    def holds(self, job_id: str) -> bool:
        return job_id in self.sessions or job_id in self.runs or self.held_elsewhere(job_id)

    def take(self, job: Job, client: Client) -> Session:
        """Take a job in; the client gets exactly one answer for it, perhaps before this returns."""
        session = Session(job, client)
        self.counters["taken"] += 1
        self.owed += 1
        if self.observer is not None:
            self.observer.taken(session)
        if len(self.sessions) >= self.most_sessions:  # guards the memory: nothing is held for this one
            self.counters["over_capacity"] += 1
            self._answer(session, Answer(Verdict.DENIED))
            return session
        self.sessions[job.id] = session
        self.on_session(job.id, True)
        session.timer = self.clock.call_at(job.deadline, lambda: self._tell(session, Expired()))
        session.life = self._life(session)
        self._step(session, None)
        self._drain()
        return session

    def leave(self, session: Session) -> None:
        """The client has gone away."""
        if not session.answered:
            self._tell(session, Left())

    def give_up_all(self) -> None:
        """The node ends now: what is still owed is answered, and may have run."""
        for session in [*self.runs.values(), *self.sessions.values()]:
            self._answer(session, Answer(Verdict.FAILED))
            self._withdraw(session)
        self._drain()

    # --- one session ---------------------------------------------------------------------------------

    def _life(self, session: Session) -> Generator[None, object, None]:
        """One session from its arrival to its last outcome."""
        job = session.job
        may_go, reach = self._route(session)
        if may_go and self.repeats is not None and job.effect_key is not None and not session.is_run:
            yield from self._join(session, self.repeats)
            may_go = False
        may_go = may_go and self._charge(session)
        if may_go and not self.listed:
            may_go = yield from self._await_list(session)
        # The module chooses: to send, to let the session wait, or to deny it.
        if may_go:
            self._consult(api.Arrival(
                job.id, job.request_class, to_us(job.deadline), job.key, job.tenant,
                None if job.effort is None else to_us(job.effort), job.slots, job.memory, job.resent, reach))
        while not session.answered or session.out():
            happening = yield
            match happening:
                case api.Send():
                    self._dispatch(session, happening)
                case Progress(dispatch, share) if not dispatch.over:
                    if share is None:
                        dispatch.begun = self.clock.now()
                    if self.observer is not None:
                        self.observer.progressed(dispatch, share)
                    self._consult(api.AttemptProgress(job.id, dispatch.number, share))
                case Ended(dispatch, status, body, load, fetched) if not dispatch.over:
                    self._close(dispatch)
                    if self.quotas is not None and fetched is not None:
                        dispatch.fetches = self.quotas.said_fetches(fetched)
                    if status is api.Status.OK:
                        self._answer(session, Answer(Verdict.SERVED, body))
                    # The module chooses: to repeat it elsewhere, to let it wait, or to give it up.
                    self._told_end(dispatch, status, load)
                case api.Cancel():
                    self._cancel(session.dispatches[happening.attempt], api.Status.CANCELLED)
                case api.Refuse():
                    retry_after = from_us(happening.retry_after_us) if happening.retry_after_us else None
                    self._answer(session, Answer(Verdict.DENIED, retry_after=retry_after))
                case api.Fail():
                    self._answer(session, Answer(Verdict.FAILED))
                case Left() if not session.answered:
                    self._left(session)
                    self._consult(api.Withdrawn(job.id))
                case Expired():
                    self._expire(session)
            if session.answered:
                self._withdraw(session)
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
        """Whether the list may be served from before the session ends.

        Guards rule 3 in a process's first moments: it has not heard yet who drains or has gone.
        """
        self._waiting.append(session)
        while not session.answered:
            match (yield):
                case Listed():
                    return True
                case Expired():
                    self._answer(session, Answer(Verdict.DENIED))
                case Left():
                    self._left(session)
        return False

    def _join(self, session: Session, store: Store) -> Generator[None, object, None]:
        """One try of a key: wait for the run of all its tries, or be answered from one that has ended."""
        job, now, cls = session.job, self.clock.now(), self._class(session.job.request_class)
        digest = store.digest(job.request_class, job.payer, job.effect_key)
        found, entry = store.ask(cls, digest, store.digest(job.asked, job.body), now)
        self.counters[f"repeats_{found.value}"] += 1
        if found.value in ("conflict", "refused") or entry is None:
            reason = "this key was used for another request" if found.value == "conflict" else \
                "it has run, or may have, and must not run twice; its answer is no longer kept"
            self._answer(session, Answer(Verdict.FAILED, reason=reason, conflict=found.value == "conflict"))
            return
        if found.value == "replayed":
            verdict = Verdict.FAILED if entry.body is None else Verdict.SERVED
            self._answer(session, Answer(verdict, entry.body or b"", replayed=True))
            return
        if found.value == "first":
            self._begin_run(session, entry, cls)
        tries: Tries = entry.run
        tries.waiting[session] = None
        while not session.answered:
            match (yield):
                case Shared(answer):
                    self._answer(session, answer)
                case Expired():
                    self._answer(session, Answer(
                        Verdict.FAILED if tries.session.started() else Verdict.DENIED))
                case Left():
                    self._left(session)
        tries.waiting.pop(session, None)
        if not tries.waiting and not tries.session.answered:
            self._tell(tries.session, Left())  # nobody waits any more

    def _class(self, name: str) -> api.RequestClass:
        unknown = api.RequestClass(name, 0, 0, api.Idempotency.UNSAFE)  # gone since its client was heard
        return next((cls for cls in self.settings.classes if cls.name == name), unknown)

    def _begin_run(self, session: Session, entry: Entry, cls: api.RequestClass) -> None:
        """A session that stands for all tries of a key. Its time is the class's: others may have more."""
        job = session.job
        job = replace(job, deadline=max(job.deadline, self.clock.now() + from_us(cls.deadline_us)))
        entry.run = tries = Tries(self, entry)
        run = tries.session = Session(job, tries)
        run.is_run, run.span = True, session.span
        tries.waiting[session] = None
        self.runs[job.id] = run
        self.owed += 1
        run.timer = self.clock.call_at(job.deadline, lambda: self._tell(run, Expired()))
        run.life = self._life(run)
        self._step(run, None)

    def share(self, tries: Tries, answer: Answer) -> None:
        """A run has its answer: each try gets it, so many in a turn of the loop."""
        run = tries.session
        if self.repeats is not None:
            # A keyed one may be denied though it may have run: that is no more forgotten than a failure.
            body = answer.body if answer.verdict is Verdict.SERVED else None
            self.repeats.ended(tries.entry, body, body is not None or run.started(), self.clock.now())
        waiting = deque(tries.waiting)

        def go_on() -> None:
            for _ in range(min(FAN, len(waiting))):
                self._inbox.append((waiting.popleft(), Shared(answer)))
            if waiting:
                self.clock.call_at(self.clock.now(), go_on)
            self._drain()

        # Guards the other tasks: ten thousand answers at once would hold the loop.
        self.clock.call_at(self.clock.now(), go_on)

    def _route(self, session: Session) -> tuple[bool, api.Reach | None]:
        """The one place where the routes are asked: whether the job may go on, and what they leave it."""
        if self.routes is None:
            return True, None
        job = session.job
        found = self.routes.find(
            Subject(job.request_class, job.region, job.key, job.payer, job.client, job.resent))
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

    def _charge(self, session: Session) -> bool:
        """The one place where quotas are asked, before the module hears of the job."""
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
            Verdict.DENIED, retry_after=retry_after, reason=found.words(), over_quota=True))
        return False

    def _dispatch(self, session: Session, order: api.Send) -> None:
        now, number = self.clock.now(), len(session.dispatches)
        server = self.table.find(order.worker)
        moot = session.answered or now >= session.job.deadline or number >= self.settings.attempt_cap
        moot = moot or order.worker in self.table.out  # guards rule 3, whatever the module does
        if moot or server is None:
            status = api.Status.MOOT if moot else api.Status.CONNECT_FAILED
            dispatch = Dispatch(session, number, order.worker, _NOBODY, now, self._tell)
            session.dispatches.append(dispatch)
            dispatch.over = True
            self._told_end(dispatch, status, None)
            return
        dispatch = Dispatch(session, number, order.worker, server, now, self._tell)
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
        if not dispatch.over:
            status = dispatch.server.cancel(dispatch) or api.Status.TIMEOUT
            self._tell(dispatch.session, Ended(dispatch, status, b"", None))

    def _withdraw(self, session: Session) -> None:
        """Take back what has not reached its server, now that the session has ended.

        Guards servers against work that nobody waits for: a client may leave, or be answered, while an
        attempt waits for its connection; and the module calls off only what the settings let it.
        """
        for dispatch in session.out():
            if not dispatch.whole:
                self._cancel(dispatch, api.Status.CANCELLED)

    def _withdraw_from_leaving(self) -> None:
        """Guards rules 3 and 4: what waits for its connection to a server that drains or has started anew."""
        for session in [*self.runs.values(), *self.sessions.values()]:
            for dispatch in session.out():
                if not dispatch.whole and not self.table.serves(dispatch.server_name, dispatch.server):
                    self._inbox.append((session, api.Cancel(session.job.id, dispatch.number)))

    def _cancel(self, dispatch: Dispatch, status: api.Status) -> None:
        if not dispatch.over:
            self._close(dispatch)
            self._told_end(dispatch, dispatch.server.cancel(dispatch) or status, None)

    def _close(self, dispatch: Dispatch) -> None:
        dispatch.over = True
        if dispatch.timer is not None:
            dispatch.timer.cancel()

    def _told_end(self, dispatch: Dispatch, status: api.Status, load: api.LoadReport | None) -> None:
        self.counters[f"outcome_{status.name.lower()}"] += 1
        if self.observer is not None:
            self.observer.ended(dispatch, status, load)
        elapsed = to_us(self.clock.now() - dispatch.sent)
        session = dispatch.session
        session.may_have_run = session.may_have_run or not status.never_ran
        if self.quotas is not None and not status.never_ran:
            span = self.clock.now() - dispatch.begun
            session.worker_time += span * session.job.slots
            if status is api.Status.OK:
                self.quotas.ran(session.job.request_class, span)
        self._consult(api.AttemptEnded(
            session.job.id, dispatch.number, dispatch.server_name, status, elapsed, session.answered, load))

    def _expire(self, session: Session) -> None:
        """The deadline: what is out has timed out, and what is still owed is answered now."""
        for dispatch in session.out():
            self._cancel(dispatch, api.Status.TIMEOUT)
        # Guards rule 1 whatever the module does: its own answer is in the inbox by now, if it has one.
        if not session.answered and not any(
                s is session and isinstance(h, api.Refuse | api.Fail) for s, h in self._inbox):
            self._answer(session, Answer(Verdict.FAILED))
            self._consult(api.Withdrawn(session.job.id))

    def _left(self, session: Session) -> None:
        """Nobody waits for this one any more."""
        session.answered = True
        self.owed -= 1
        if session.is_run:
            self.share(session.client, Answer(Verdict.FAILED))  # type: ignore[arg-type]
            return
        self.counters["client_left"] += 1
        if self.observer is not None:
            self.observer.answered(session, None)

    def _answer(self, session: Session, answer: Answer) -> None:
        if session.answered:
            return
        session.answered = True
        self.owed -= 1
        if session.is_run:
            session.client.answer(answer)
            return
        self.counters[f"answered_{answer.verdict.value}"] += 1
        if self.clock.now() > session.job.deadline:
            self.counters["answered_late"] += 1
        if self.observer is not None:
            self.observer.answered(session, answer)
        session.client.answer(answer)

    # --- the module ------------------------------------------------------------------------------------

    def _consult(self, event: api.Event) -> None:
        """Tell the module, and hand each action to the session that it is for."""
        try:
            actions = self.module.handle(to_us(self.clock.now()), (event,))
        except Exception as error:
            # Guards rule 1 against a fault of the module: the session still ends at its deadline.
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
                    self.ask_list(True)
                case api.FetchRoster():
                    self.ask_list(False)
                case api.Log(text):
                    self.log("module", said=text)
                case _ if action.request in self.runs:
                    self._inbox.append((self.runs[action.request], action))
                case _ if action.request in self.sessions:
                    self._inbox.append((self.sessions[action.request], action))

    def _set_timer(self, delay: timedelta, handle: int) -> None:
        def fire() -> None:
            self._consult(api.TimerFired(handle))
            self._drain()

        self.clock.call_at(self.clock.now() + delay, fire)

    def _probe(self, name: str) -> None:
        server = self.table.find(name)
        probe = Probe(name, server or _NOBODY, self.clock.now(), self._probed)
        self.counters["probes"] += 1

        def give_up() -> None:
            if not probe.over:
                probe.server.cancel(probe)
                self._probed(probe, api.Status.TIMEOUT, None)

        if server is None or name in self.table.out:
            probe.timer = self.clock.call_at(
                probe.sent, lambda: self._probed(probe, api.Status.CONNECT_FAILED, None))
            return
        probe.timer = self.clock.call_at(probe.sent + PROBE_LIMIT, give_up)
        server.probe(probe)

    def _probed(self, probe: Probe, status: api.Status, load: api.LoadReport | None) -> None:
        if probe.over:
            return
        probe.over = True
        if probe.timer is not None:
            probe.timer.cancel()
        self.counters["probes_ok" if status is api.Status.OK else "probes_failed"] += 1
        elapsed = to_us(self.clock.now() - probe.sent)
        if self.observer is not None:
            self.observer.probed(probe.server_name, status, load)
        self._consult(api.ProbeEnded(probe.server_name, status, elapsed, load))
        self._drain()

    def _tell(self, session: Session, happening: object) -> None:
        self._inbox.append((session, happening))
        self._drain()

    def _drain(self) -> None:
        """Let each session take what has happened to it, in order; a generator can't be entered twice."""
        if self._draining:
            return
        self._draining = True
        try:
            while self._inbox:
                session, happening = self._inbox.popleft()
                self._step(session, happening)
        finally:
            self._draining = False

    @staticmethod
    def _step(session: Session, happening: object) -> None:
        """Let a session go on, if it has not ended; nothing has happened yet at its first step."""
        if session.life is not None:
            try:
                session.life.send(happening)
            except StopIteration:
                session.life = None


class Tries:
    """The client of a run: all tries of its key that wait, in the order in which they came."""

    def __init__(self, core: Core, entry: Entry) -> None:
        self.core, self.entry = core, entry
        self.session: Session
        self.waiting: dict[Session, None] = {}

    def answer(self, answer: Answer) -> None:
        self.core.share(self, answer)


class _Nobody:
    """Stands in for a backend server that the table no longer holds."""

    def send(self, dispatch: Dispatch) -> None:
        del dispatch

    def probe(self, probe: Probe) -> None:
        del probe

    def cancel(self, errand: Dispatch | Probe) -> api.Status | None:
        del errand
        return api.Status.MOOT

    def rest(self) -> None:
        pass


_NOBODY = _Nobody()
