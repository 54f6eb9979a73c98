"""Records the events of a core as a history."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from arrowfold import interface as api
from arrowfold.expectations.history import (
    Attempt,
    History,
    ListedState,
    LoadSample,
    OperatorCommand,
    SessionRecord,
    read_listed_states,
)
from arrowfold.routes.rules import Subject
from arrowfold.routing.session import Answer, Dispatch, Session


class Recorder:
    """An observer of the core that appends each event to a history.

    Times are those of the clock `now`.
    """

    def __init__(self, now: Callable[[], timedelta], history: History) -> None:
        self.now, self.history = now, history
        self.known: dict[str, ListedState] = {}

    def settings_changed(self, settings: api.Settings) -> None:
        self.history.cold = timedelta(microseconds=settings.cold_us)

    def listed(self, update: api.RosterUpdate) -> None:
        self.history.listed_states += read_listed_states(self.now(), update, self.known)

    def maintenance_changed(self, server: str, out: bool) -> None:
        self.history.commands.append(OperatorCommand(self.now(), server, out))

    def session_started(self, session: Session) -> None:
        job = session.job
        subject = Subject(job.request_class, job.region, job.key, job.tenant_path, job.client, job.resent)
        session.span = SessionRecord(job.id, subject, self.now(), job.deadline)
        self.history.session_records.append(session.span)

    def dispatched(self, dispatch: Dispatch) -> None:
        dispatch.span = Attempt(dispatch.number, dispatch.server_name, self.now())
        dispatch.session.span.attempts.append(dispatch.span)

    def progressed(self, dispatch: Dispatch, share: float | None) -> None:
        if share is None and dispatch.span is not None:
            dispatch.span.started = self.now()

    def ended(self, dispatch: Dispatch, status: api.Status, load: api.LoadReport | None) -> None:
        if dispatch.span is not None:  # None: it was never sent
            dispatch.span.ended, dispatch.span.status = self.now(), status
            dispatch.span.free = load.free_slots if load is not None else None

    def probed(self, server: str, status: api.Status, load: api.LoadReport | None) -> None:
        if status is api.Status.OK and load is not None:
            self.history.reports.append(LoadSample(self.now(), server, load.free_slots))

    def answered(self, session: Session, answer: Answer | None) -> None:
        record: SessionRecord = session.span
        record.answered, record.rule = self.now(), session.rule
        record.verdict = answer.verdict.value if answer is not None else "left"
        record.retry_after = answer.retry_after if answer is not None else None


class DiscardingClient:
    """A client that ignores its answer."""

    def answer(self, answer: Answer) -> None:
        del answer
