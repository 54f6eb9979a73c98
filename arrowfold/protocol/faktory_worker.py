"""Faktory workers as backend servers: a dispatch waits for its worker's FETCH, then for its ACK."""

from __future__ import annotations

import json
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from arrowfold import interface as api
from arrowfold.protocol.faktory_wire import CommandError
from arrowfold.routing.core import Core
from arrowfold.routing.session import Dispatch, Job, Probe
from arrowfold.transport.loop import ZERO, Loop, Task

SOURCE = "faktory"
DEFAULT_QUEUE = "default"
MOST_WORKERS = 256
MOST_WAITING = 64
MOST_PAST = 10_000  # handed-out jobs remembered, so that a late ACK is known for what it is
RECONNECT_GRACE = timedelta(seconds=5)  # a worker with no connection is gone after this


class PushedJob:
    """A job's own wire form: what the producer pushed."""

    def __init__(self, fields: dict[str, Any]) -> None:
        self.fields = fields


def as_fields(job: Job, left: timedelta) -> dict[str, Any]:
    """A job as a Faktory worker fetches it, whatever wire it came by."""
    if isinstance(job.origin, PushedJob):
        return job.origin.fields
    custom: dict[str, Any] = {"expires_in_ms": max(0, left // timedelta(milliseconds=1))}
    if job.key is not None:
        custom["key"] = job.key
    if job.effect_key is not None:
        custom["idempotency_key"] = job.effect_key
    return {"jid": job.id, "queue": DEFAULT_QUEUE, "jobtype": job.request_class,
            "args": [job.body.decode("utf-8", "replace")], "custom": custom}


class Fetch:
    """One FETCH that waits for a job."""

    __slots__ = ("dispatch", "queues", "task")

    def __init__(self, queues: frozenset[str], task: Task | None) -> None:
        self.queues, self.task = queues, task
        self.dispatch: Dispatch | None = None


class FaktoryWorker:
    """One `wid`, over all its connections and reconnects."""

    def __init__(self, loop: Loop, wid: str, fetch_limit: timedelta, counters: Counter[str]) -> None:
        self.loop, self.wid, self.fetch_limit, self.counters = loop, wid, fetch_limit, counters
        self.connections, self.left = 0, ZERO
        self.quiet = False
        self.queues: frozenset[str] = frozenset()  # those of its last FETCH
        self.fetches: list[Fetch] = []
        self.waiting: deque[Dispatch] = deque()  # not fetched yet: these have never run
        self.reserved: dict[str, Dispatch] = {}  # handed out, by jid: these may have run
        self.past: OrderedDict[str, None] = OrderedDict()

    # --- as the core sees it -----------------------------------------------------------------------------

    def send(self, dispatch: Dispatch) -> None:
        queue = _queue(dispatch.job)
        unserved = bool(self.queues) and queue not in self.queues
        if self.quiet or unserved or len(self.waiting) >= MOST_WAITING:
            self._later(lambda: self._hand_back(dispatch))
            return
        # The latest FETCH first: after a reconnect, an older one may wait on a dead connection.
        waits = (f for f in reversed(self.fetches) if f.dispatch is None and queue in f.queues)
        fetch = next(waits, None)
        if fetch is not None:
            self._hand_out(dispatch, fetch)
            return
        self.waiting.append(dispatch)
        self.loop.call_later(self.fetch_limit, lambda: self._hand_back(dispatch))

    def probe(self, probe: Probe) -> None:
        status = api.Status.OK if self.connections else api.Status.CONNECT_FAILED
        self._later(lambda: probe.ended(status, self.load() if self.connections else None))

    def cancel(self, errand: Dispatch | Probe) -> api.Status | None:
        """Taken back before a FETCH it never ran; handed out, it may have."""
        if not isinstance(errand, Dispatch):
            return api.Status.MOOT
        if errand in self.waiting:
            self.waiting.remove(errand)
            return api.Status.FULL
        for fetch in self.fetches:
            if fetch.dispatch is errand:  # the FETCH has it in hand, but not a byte of it is out
                fetch.dispatch = None
                self._forget(errand)
                return api.Status.FULL
        return None if self._forget(errand) else api.Status.FULL

    def rest(self) -> None:
        """What was not fetched yet goes back, and may go elsewhere."""
        for dispatch in list(self.waiting):
            self._later(lambda dispatch=dispatch: self._hand_back(dispatch))  # type: ignore[misc]

    def load(self) -> api.LoadReport:
        """Its free slots are the FETCHes that wait here."""
        free = sum(fetch.dispatch is None for fetch in self.fetches)
        free = max(0, free - len(self.waiting))
        return api.LoadReport(free_slots=float(free), held=float(len(self.reserved)))

    # --- as its connections see it -----------------------------------------------------------------------

    def begin_fetch(self, queues: frozenset[str], task: Task | None) -> Fetch:
        self.queues = queues
        fetch = Fetch(queues, task)
        self.fetches.append(fetch)
        if not self.quiet:
            for dispatch in self.waiting:
                if _queue(dispatch.job) in queues:
                    self.waiting.remove(dispatch)
                    self._hand_out(dispatch, fetch)
                    break
        return fetch

    def end_fetch(self, fetch: Fetch) -> Dispatch | None:
        """What the FETCH got; from here on the job is on its way to the worker."""
        self.fetches.remove(fetch)
        return fetch.dispatch

    def broken_fetch(self, dispatch: Dispatch) -> None:
        """Not every byte of the job could be handed over: it never ran."""
        if self._forget(dispatch):
            dispatch.ended(api.Status.CONNECT_FAILED)

    def finish(self, jid: str, status: api.Status, body: bytes, fetched: float | None = None) -> None:
        """An ACK or a FAIL. One that is late, or comes twice, is counted and changes nothing."""
        dispatch = self.reserved.pop(jid, None)
        if dispatch is not None and not dispatch.over:
            self._note_past(jid)
            dispatch.ended(status, body, self.load(), fetched)
        elif jid in self.past:
            self.counters["faktory_late_acks"] += 1
        else:
            raise CommandError(f"job {jid!r} was not handed to worker {self.wid!r}")

    def be_quiet(self) -> None:
        """Drained: nothing more is handed out, and what was not fetched goes back at once."""
        self.quiet = True
        for dispatch in list(self.waiting):
            self._hand_back(dispatch)

    def be_gone(self) -> None:
        """It did not come back: what it had may have run."""
        self.be_quiet()
        for jid, dispatch in list(self.reserved.items()):
            self._note_past(jid)
            del self.reserved[jid]
            dispatch.ended(api.Status.RESET)

    # ---------------------------------------------------------------------------------------------------

    def _hand_out(self, dispatch: Dispatch, fetch: Fetch) -> None:
        fetch.dispatch = dispatch
        self.reserved[dispatch.job.id] = dispatch
        if fetch.task is not None:
            fetch.task.wake()

    def _hand_back(self, dispatch: Dispatch) -> None:
        """Nobody fetched it in time: it never ran, and may go elsewhere."""
        waited = dispatch in self.waiting
        if waited:
            self.waiting.remove(dispatch)
        if not dispatch.over and (waited or self.reserved.get(dispatch.job.id) is not dispatch):
            dispatch.ended(api.Status.FULL, b"", self.load())

    def _forget(self, dispatch: Dispatch) -> bool:
        """Whether it was handed out, and is remembered as such for a late ACK."""
        if self.reserved.get(dispatch.job.id) is not dispatch:
            return False
        del self.reserved[dispatch.job.id]
        self._note_past(dispatch.job.id)
        return True

    def _note_past(self, jid: str) -> None:
        self.past[jid] = None
        if len(self.past) > MOST_PAST:
            self.past.popitem(last=False)

    def _later(self, call: Callable[[], None]) -> None:
        self.loop.call_later(ZERO, call)


class Workers:
    """Every Faktory worker, as rows of the server table."""

    def __init__(
            self, loop: Loop, core: Core, zone: str, fetch_limit: timedelta, counters: Counter[str],
    ) -> None:
        self.loop, self.core, self.zone = loop, core, zone
        self.fetch_limit, self.counters = fetch_limit, counters
        self.by_wid: dict[str, FaktoryWorker] = {}

    def enter(self, wid: str) -> FaktoryWorker:
        """A connection under this wid: a new worker, or one that has come back."""
        worker = self.by_wid.get(wid)
        if worker is None:
            if len(self.by_wid) >= MOST_WORKERS:
                raise CommandError(f"HELLO: more than {MOST_WORKERS} workers", fatal=True)
            worker = self.by_wid[wid] = FaktoryWorker(self.loop, wid, self.fetch_limit, self.counters)
            self._list(worker, api.Lifecycle.IN_SERVICE)
        worker.connections += 1
        return worker

    def leave(self, worker: FaktoryWorker) -> None:
        worker.connections -= 1
        if not worker.connections:
            worker.left = self.loop.now()
            self.loop.call_later(RECONNECT_GRACE, lambda: self._gone(worker))

    def drain(self, worker: FaktoryWorker) -> None:
        if not worker.quiet:
            self._list(worker, api.Lifecycle.TERMINATING)
            worker.be_quiet()

    def _gone(self, worker: FaktoryWorker) -> None:
        back = worker.connections or self.loop.now() - worker.left < RECONNECT_GRACE
        if not back and self.by_wid.get(worker.wid) is worker:
            del self.by_wid[worker.wid]
            self._list(worker, api.Lifecycle.TERMINATED)
            worker.be_gone()

    def _list(self, worker: FaktoryWorker, state: api.Lifecycle) -> None:
        # It starts warm (no launch time): it is handed only what it fetches, so nobody can push it over.
        entry = api.RosterEntry(f"faktory:{worker.wid}", self.zone, "faktory", 0, 0, state)
        self.core.list_servers(SOURCE, [(entry, worker)])


def _queue(job: Job) -> str:
    fields = job.origin.fields if isinstance(job.origin, PushedJob) else {}
    return str(fields.get("queue") or DEFAULT_QUEUE)


def result_bytes(result: object) -> bytes:
    """An ACK's optional result, as the client's answer."""
    if result is None:
        return b""
    return result.encode() if isinstance(result, str) else json.dumps(result).encode()
