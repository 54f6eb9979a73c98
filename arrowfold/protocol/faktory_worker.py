"""Faktory workers: an attempt waits for its worker's FETCH, then for the ACK or FAIL."""

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
MAX_WORKERS = 256
MAX_QUEUED = 64
MAX_ENDED_JOBS = 10_000  # ended jobs remembered per worker, so that a late ACK is recognised
RECONNECT_TIMEOUT = timedelta(seconds=5)  # a worker without a connection is removed after this


class PushedJob:
    """Origin of a job that a Faktory producer pushed: its fields."""

    def __init__(self, fields: dict[str, Any]) -> None:
        self.fields = fields


def worker_fields(job: Job, left: timedelta) -> dict[str, Any]:
    """Returns a job's fields as a Faktory worker fetches them, whichever protocol it arrived by."""
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
    """One FETCH that waits for an attempt."""

    __slots__ = ("dispatch", "queues", "task")

    def __init__(self, queues: frozenset[str], task: Task | None) -> None:
        self.queues, self.task = queues, task
        self.dispatch: Dispatch | None = None


class FaktoryWorker:
    """One worker, known by its `wid`, over all its connections and reconnects."""

    def __init__(self, loop: Loop, wid: str, fetch_limit: timedelta, counters: Counter[str]) -> None:
        self.loop, self.wid, self.fetch_limit, self.counters = loop, wid, fetch_limit, counters
        self.connections, self.disconnected_at = 0, ZERO
        self.quiet = False
        self.queues: frozenset[str] = frozenset()  # those of its last FETCH
        self.fetches: list[Fetch] = []
        self.queued: deque[Dispatch] = deque()  # not fetched yet: these have never run
        self.fetched: dict[str, Dispatch] = {}  # fetched, by jid: these may have run
        self.ended_jobs: OrderedDict[str, None] = OrderedDict()

    # --- called by the core ------------------------------------------------------------------------------

    def send(self, dispatch: Dispatch) -> None:
        """Give an attempt to a waiting FETCH, or queue it for `fetch_limit`, else return it as not run."""
        queue = _queue(dispatch.job)
        unserved = bool(self.queues) and queue not in self.queues
        if self.quiet or unserved or len(self.queued) >= MAX_QUEUED:
            self._call_soon(lambda: self._return_unfetched(dispatch))
            return
        # The latest FETCH first: after a reconnect, an older one may wait on a broken connection.
        waits = (f for f in reversed(self.fetches) if f.dispatch is None and queue in f.queues)
        fetch = next(waits, None)
        if fetch is not None:
            self._assign(dispatch, fetch)
            return
        self.queued.append(dispatch)
        self.loop.call_later(self.fetch_limit, lambda: self._return_unfetched(dispatch))

    def probe(self, probe: Probe) -> None:
        """Report the load, or CONNECT_FAILED if the worker has no connection."""
        status = api.Status.OK if self.connections else api.Status.CONNECT_FAILED
        self._call_soon(lambda: probe.ended(status, self.load() if self.connections else None))

    def cancel(self, operation: Dispatch | Probe) -> api.Status | None:
        """Cancel an attempt or a probe.

        FULL if the attempt was not fetched, so it has not run; None if it may have run; MOOT for a probe.
        """
        if not isinstance(operation, Dispatch):
            return api.Status.MOOT
        if operation in self.queued:
            self.queued.remove(operation)
            return api.Status.FULL
        for fetch in self.fetches:
            if fetch.dispatch is operation:  # assigned to the FETCH, but no byte of it is sent
                fetch.dispatch = None
                self._forget_fetched(operation)
                return api.Status.FULL
        return None if self._forget_fetched(operation) else api.Status.FULL

    def rest(self) -> None:
        """Return queued attempts to the core, which may send them to another worker."""
        for dispatch in list(self.queued):
            self._call_soon(lambda dispatch=dispatch: self._return_unfetched(dispatch))  # type: ignore[misc]

    def load(self) -> api.LoadReport:
        """Returns the load report; free slots are the FETCHes that wait for an attempt."""
        free = sum(fetch.dispatch is None for fetch in self.fetches)
        free = max(0, free - len(self.queued))
        return api.LoadReport(free_slots=float(free), held=float(len(self.fetched)))

    # --- called by its connections -----------------------------------------------------------------------

    def begin_fetch(self, queues: frozenset[str], task: Task | None) -> Fetch:
        """Register a FETCH, which takes a queued attempt of its queues at once if there is one."""
        self.queues = queues
        fetch = Fetch(queues, task)
        self.fetches.append(fetch)
        if not self.quiet:
            for dispatch in self.queued:
                if _queue(dispatch.job) in queues:
                    self.queued.remove(dispatch)
                    self._assign(dispatch, fetch)
                    break
        return fetch

    def end_fetch(self, fetch: Fetch) -> Dispatch | None:
        """Deregister a FETCH and return its attempt, which is about to be sent to the worker."""
        self.fetches.remove(fetch)
        return fetch.dispatch

    def fail_fetch(self, dispatch: Dispatch) -> None:
        """End an attempt whose job could not be sent to the last byte, so that it has not run."""
        if self._forget_fetched(dispatch):
            dispatch.ended(api.Status.CONNECT_FAILED)

    def finish(self, jid: str, status: api.Status, body: bytes, fetched: float | None = None) -> None:
        """End an attempt by an ACK or a FAIL; a late or repeated one is only counted.

        CommandError if the job was not fetched by this worker.
        """
        dispatch = self.fetched.pop(jid, None)
        if dispatch is not None and not dispatch.has_ended:
            self._remember_ended(jid)
            dispatch.ended(status, body, self.load(), fetched)
        elif jid in self.ended_jobs:
            self.counters["faktory_late_acks"] += 1
        else:
            raise CommandError(f"job {jid!r} was not handed to worker {self.wid!r}")

    def drain_queue(self) -> None:
        """Drain the worker: it gets no more attempts, and queued ones are returned to the core at once."""
        self.quiet = True
        for dispatch in list(self.queued):
            self._return_unfetched(dispatch)

    def end_fetched(self) -> None:
        """Remove the worker, which did not reconnect; the attempts that it fetched may have run."""
        self.drain_queue()
        for jid, dispatch in list(self.fetched.items()):
            self._remember_ended(jid)
            del self.fetched[jid]
            dispatch.ended(api.Status.RESET)

    # ---------------------------------------------------------------------------------------------------

    def _assign(self, dispatch: Dispatch, fetch: Fetch) -> None:
        """Assign an attempt to a FETCH."""
        fetch.dispatch = dispatch
        self.fetched[dispatch.job.id] = dispatch
        if fetch.task is not None:
            fetch.task.wake()

    def _return_unfetched(self, dispatch: Dispatch) -> None:
        """Return an attempt that was not fetched in time: it has not run, and may go to another worker."""
        waited = dispatch in self.queued
        if waited:
            self.queued.remove(dispatch)
        if not dispatch.has_ended and (waited or self.fetched.get(dispatch.job.id) is not dispatch):
            dispatch.ended(api.Status.FULL, b"", self.load())

    def _forget_fetched(self, dispatch: Dispatch) -> bool:
        """Drop a fetched attempt, remembered for a late ACK; whether it was one."""
        if self.fetched.get(dispatch.job.id) is not dispatch:
            return False
        del self.fetched[dispatch.job.id]
        self._remember_ended(dispatch.job.id)
        return True

    def _remember_ended(self, jid: str) -> None:
        self.ended_jobs[jid] = None
        if len(self.ended_jobs) > MAX_ENDED_JOBS:
            self.ended_jobs.popitem(last=False)

    def _call_soon(self, call: Callable[[], None]) -> None:
        self.loop.call_later(ZERO, call)


class Workers:
    """All Faktory workers, as rows of the worker table."""

    def __init__(
            self, loop: Loop, core: Core, zone: str, fetch_limit: timedelta, counters: Counter[str],
    ) -> None:
        self.loop, self.core, self.zone = loop, core, zone
        self.fetch_limit, self.counters = fetch_limit, counters
        self.by_wid: dict[str, FaktoryWorker] = {}

    def add_connection(self, wid: str) -> FaktoryWorker:
        """Add a connection under this wid, of a new or a known worker; CommandError if there are too many."""
        worker = self.by_wid.get(wid)
        if worker is None:
            if len(self.by_wid) >= MAX_WORKERS:
                raise CommandError(f"HELLO: more than {MAX_WORKERS} workers", fatal=True)
            worker = self.by_wid[wid] = FaktoryWorker(self.loop, wid, self.fetch_limit, self.counters)
            self._list(worker, api.Lifecycle.IN_SERVICE)
        worker.connections += 1
        return worker

    def remove_connection(self, worker: FaktoryWorker) -> None:
        """Count a closed connection; without another one the worker is removed after RECONNECT_TIMEOUT."""
        worker.connections -= 1
        if not worker.connections:
            worker.disconnected_at = self.loop.now()
            self.loop.call_later(RECONNECT_TIMEOUT, lambda: self._remove_disconnected(worker))

    def drain(self, worker: FaktoryWorker) -> None:
        """Drain a worker, once."""
        if not worker.quiet:
            self._list(worker, api.Lifecycle.TERMINATING)
            worker.drain_queue()

    def _remove_disconnected(self, worker: FaktoryWorker) -> None:
        connected_or_within_grace = (
            worker.connections or self.loop.now() - worker.disconnected_at < RECONNECT_TIMEOUT)
        if not connected_or_within_grace and self.by_wid.get(worker.wid) is worker:
            del self.by_wid[worker.wid]
            self._list(worker, api.Lifecycle.TERMINATED)
            worker.end_fetched()

    def _list(self, worker: FaktoryWorker, state: api.Lifecycle) -> None:
        # No launch time, so no warm-up: a worker gets only what it fetches, and can't be overloaded.
        entry = api.RosterEntry(f"faktory:{worker.wid}", self.zone, "faktory", 0, 0, state)
        self.core.list_servers(SOURCE, [(entry, worker)])


def _queue(job: Job) -> str:
    fields = job.origin.fields if isinstance(job.origin, PushedJob) else {}
    return str(fields.get("queue") or DEFAULT_QUEUE)


def result_bytes(result: object) -> bytes:
    """Returns an ACK's optional result as the body of the client's answer."""
    if result is None:
        return b""
    return result.encode() if isinstance(result, str) else json.dumps(result).encode()
