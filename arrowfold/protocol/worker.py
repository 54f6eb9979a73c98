"""Search workers: HTTP/1.1 workers at the addresses that discovery lists."""

from __future__ import annotations

import json
from collections import Counter
from datetime import timedelta
from urllib.parse import quote

import h11

from arrowfold import interface as api
from arrowfold.protocol.http import ClientSide, Request
from arrowfold.protocol.load import LoadReader, reported_fetches
from arrowfold.routing.session import Dispatch, Job, Probe, to_us
from arrowfold.transport.loop import ZERO, Loop, Steps
from arrowfold.transport.pool import REST, ConnectionLimitReached, Pool, Pools
from arrowfold.transport.stream import Address, Stream, StreamBroken, TimedOut

MAX_LINE_BYTES = 256 * 1024  # fits a result of 64 KiB with all characters escaped
DRAIN_TIMEOUT = timedelta(seconds=1)
FORWARDED_HEADERS = ("content-type", "x-qos", "x-props", "x-customer", "x-size-hint")


def build_request(job: Job) -> tuple[str, str, list[tuple[str, str]]]:
    """Returns method, target and headers of a job, whichever protocol it arrived by."""
    if isinstance(job.origin, Request):
        origin = job.origin
        kept = [(name, origin.headers[name]) for name in FORWARDED_HEADERS if name in origin.headers]
        return origin.method, origin.target, kept
    target = f"/{quote(job.request_class, safe='')}"
    if job.key is not None:
        target += f"?key={quote(job.key, safe='')}"
    return "POST", target, [("X-Qos", job.request_class), ("Content-Type", "application/json")]


class SearchWorker:
    """One search worker and the pool of connections to it."""

    def __init__(
            self, loop: Loop, address: Address, idle: timedelta, connect_limit: timedelta, pools: Pools,
            loads: LoadReader, counters: Counter[str],
    ) -> None:
        self.loop, self.address, self.connect_limit = loop, address, connect_limit
        self.loads, self.counters = loads, counters
        self.host = f"{address[0]}:{address[1]}"
        self.pool = Pool(loop, address, idle, pools)

    def send(self, dispatch: Dispatch) -> None:
        """Start an attempt; its outcome is reported through `dispatch`."""
        dispatch.task = self.loop.spawn(self._attempt(dispatch), "dispatch")

    def probe(self, probe: Probe) -> None:
        """Request a load report; the result is reported through `probe`."""
        probe.task = self.loop.spawn(self._probe(probe), "probe")

    def cancel(self, operation: Dispatch | Probe) -> api.Status | None:
        """Cancel an attempt or a probe by closing its connection.

        MOOT for a probe, and if the worker can't have run the job; None if the job was sent to its last byte,
        so that it may have run.
        """
        if operation.task is not None:
            operation.task.stop()
        return None if isinstance(operation, Dispatch) and operation.is_sent else api.Status.MOOT

    def rest(self) -> None:
        """Close idle connections: the errors of those broken by a restart would be misleading."""
        while self.pool.drop_oldest():
            pass

    def close(self) -> None:
        """Close all connections, since the worker was removed, moved or restarted."""
        self.pool.close()

    def _connect(self, operation: str) -> Steps[Stream]:
        """Take a pooled connection or open one, counted by `operation`."""
        opened = self.pool.opened
        stream = yield from self.pool.take(self.loop.now() + self.connect_limit)
        if self.pool.opened == opened:
            self.counters["connections_reused"] += 1
        else:
            self.counters["connections_opened"] += 1
            self.counters[f"connections_opened_{operation}"] += 1
        return stream

    def _attempt(self, dispatch: Dispatch) -> Steps[None]:
        """Run one attempt, from its connection to its outcome."""
        job = dispatch.job
        try:
            stream = yield from self._connect("dispatch")
        except ConnectionLimitReached:
            # The request was not sent, and the node's limit is no failure of the worker.
            self.counters["connections_no_room"] += 1
            dispatch.ended(api.Status.MOOT)
            return
        except StreamBroken:
            dispatch.ended(api.Status.CONNECT_FAILED)
            return
        exchange = ClientSide(stream)
        try:
            # A cancellation stops this task, as do the client's disconnect and the worker's drain: until the
            # last byte is sent, the job can't have run.
            method, target, headers = build_request(job)
            left = max(1, to_us(job.deadline - self.loop.now()))
            headers = [("Host", self.host), ("X-Trace-Id", job.id), ("X-Expires-In", f"{left}u"), *headers]
            if job.effect_key is not None:
                headers.append(("Idempotency-Key", job.effect_key))
            try:
                yield from exchange.send(method, target, headers, job.body, job.deadline)
                dispatch.is_sent = True
            except (StreamBroken, TimedOut):
                dispatch.ended(api.Status.CONNECT_FAILED)
                return
            except (h11.LocalProtocolError, UnicodeError):
                dispatch.ended(api.Status.MOOT)  # a request that can't be encoded is no failure of the worker
                return
            try:
                yield from self._read_answer(dispatch, exchange)
            except TimedOut:
                dispatch.ended(api.Status.TIMEOUT)
            except (StreamBroken, ValueError, RecursionError) as error:
                # Rule 2 (no repeat of what may have run): after the last byte the job may have run, so this
                # is a reset and never leads to an unreported second attempt.
                self.counters["resets"] += 1
                if not dispatch.has_ended:
                    dispatch.ended(api.Status.RESET)
                del error
        finally:
            self._release(exchange, REST)

    def _read_answer(self, dispatch: Dispatch, exchange: ClientSide) -> Steps[None]:
        """Read the answer's lines of JSON; the line that ends the attempt is reported at once.

        StreamBroken, TimedOut or ValueError if the answer ends early, is late or malformed.
        """
        status, headers = yield from exchange.head(dispatch.job.deadline)
        load = self._header_load(headers)
        if status != 200:
            never_ran = headers.get("x-never-ran") == "1" and status in (503, 504)
            # Prevents waiting for a body that never ends: status and headers are sufficient.
            dispatch.ended(api.Status.FULL if never_ran else api.Status.ERROR, b"", load)
            yield from exchange.rest(self.loop.now() + DRAIN_TIMEOUT)
            return
        buffered = bytearray()
        while not dispatch.has_ended:
            part = yield from exchange.part(dispatch.job.deadline)
            if part is None:
                raise StreamBroken("the answer ended before its last line")
            buffered += part
            if len(buffered) > MAX_LINE_BYTES:
                raise StreamBroken(f"a line is over {MAX_LINE_BYTES} bytes")
            while not dispatch.has_ended and (end := buffered.find(b"\n")) >= 0:
                line = bytes(buffered[:end])
                del buffered[:end + 1]
                if line.strip():
                    self._apply_line(dispatch, json.loads(line), load)
        yield from exchange.rest(self.loop.now() + DRAIN_TIMEOUT)

    def _apply_line(self, dispatch: Dispatch, row: object, load: api.LoadReport | None) -> None:
        """Apply one line of an answer; ValueError if it is malformed or another job's."""
        if not isinstance(row, dict):
            raise ValueError("a line is not a JSON object")
        if row.get("id", dispatch.job.id) != dispatch.job.id:
            # Rule 1 (at most one answer): a late second answer to the connection's previous request goes to
            # no client.
            self.counters["answers_misplaced"] += 1
            raise ValueError("a line has another job's id")
        state = row.get("state")
        if state == "started":
            dispatch.started()
        elif state == "running":
            share = row.get("share")
            dispatch.progressed(float(share) if isinstance(share, int | float) else 0.0)
        elif state in _FINAL_STATUSES:
            if "load" in row:
                load = self.loads.from_object(row["load"])
            result = row.get("result", "")
            body = result if isinstance(result, str) else json.dumps(result)
            dispatch.ended(_FINAL_STATUSES[state], body.encode(), load, reported_fetches(row))

    def _header_load(self, headers: dict[str, str]) -> api.LoadReport | None:
        text = headers.get("endpoint-load-metrics")
        return self.loads.from_text(text) if text else None

    def _probe(self, probe: Probe) -> Steps[None]:
        """Run one probe."""
        until = self.loop.now() + timedelta(seconds=5)
        try:
            stream = yield from self._connect("probe")
        except StreamBroken:
            probe.ended(api.Status.CONNECT_FAILED)
            return
        exchange = ClientSide(stream)
        try:
            yield from exchange.send("GET", "/stats", [("Host", self.host)], b"", until)
            status, headers = yield from exchange.head(until)
            body = yield from exchange.rest(until)
        except (StreamBroken, TimedOut):
            probe.ended(api.Status.RESET)
            return
        finally:
            self._release(exchange)
        load = self._header_load(headers) or self.loads.from_text(body.decode("latin-1"))
        probe.ended(api.Status.OK if status == 200 else api.Status.ERROR, load)

    def _release(self, exchange: ClientSide, rest: timedelta = ZERO) -> None:
        if exchange.reusable:
            self.pool.give_back(exchange.stream, rest)
        else:
            self.pool.drop(exchange.stream)


_FINAL_STATUSES = {
    "done": api.Status.OK, "failed": api.Status.ERROR, "returned": api.Status.FULL,
    "lost": api.Status.RESET,
}
