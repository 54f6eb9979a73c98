"""Backend servers that speak HTTP: search workers, at the address that discovery gives."""

from __future__ import annotations

import json
from collections import Counter
from datetime import timedelta
from urllib.parse import quote

import h11

from arrowfold import interface as api
from arrowfold.protocol.http import ClientSide, Request
from arrowfold.protocol.load import LoadReader, said_fetches
from arrowfold.routing.session import Dispatch, Job, Probe, to_us
from arrowfold.transport.loop import ZERO, Loop, Steps
from arrowfold.transport.pool import REST, NoRoom, Pool, Pools
from arrowfold.transport.stream import Address, Broken, Late, Stream

MOST_LINE = 256 * 1024  # a result of 64 KiB, escaped
TIDY_UP = timedelta(seconds=1)
PASSED_ON = ("content-type", "x-qos", "x-props", "x-customer", "x-size-hint")


def as_request(job: Job) -> tuple[str, str, list[tuple[str, str]]]:
    """Method, target and headers of a job, whatever wire it came by."""
    if isinstance(job.origin, Request):
        origin = job.origin
        kept = [(name, origin.headers[name]) for name in PASSED_ON if name in origin.headers]
        return origin.method, origin.target, kept
    target = f"/{quote(job.request_class, safe='')}"
    if job.key is not None:
        target += f"?key={quote(job.key, safe='')}"
    return "POST", target, [("X-Qos", job.request_class), ("Content-Type", "application/json")]


class SearchWorker:
    """One search worker and the connections to it."""

    def __init__(
            self, loop: Loop, address: Address, idle: timedelta, connect_limit: timedelta, pools: Pools,
            loads: LoadReader, counters: Counter[str],
    ) -> None:
        self.loop, self.address, self.connect_limit = loop, address, connect_limit
        self.loads, self.counters = loads, counters
        self.host = f"{address[0]}:{address[1]}"
        self.pool = Pool(loop, address, idle, pools)

    def send(self, dispatch: Dispatch) -> None:
        dispatch.errand = self.loop.spawn(self._run(dispatch), "dispatch")

    def probe(self, probe: Probe) -> None:
        probe.errand = self.loop.spawn(self._ask(probe), "probe")

    def cancel(self, errand: Dispatch | Probe) -> api.Status | None:
        """Until its last byte is handed over it can't have run: the connection is closed under the rest."""
        if errand.errand is not None:
            errand.errand.stop()
        return None if isinstance(errand, Dispatch) and errand.whole else api.Status.MOOT

    def rest(self) -> None:
        """Guards against connections that a restart leaves dead, and what their end would seem to tell."""
        while self.pool.drop_oldest():
            pass

    def close(self) -> None:
        self.pool.close()

    def _connect(self, errand: str) -> Steps[Stream]:
        opened = self.pool.opened
        stream = yield from self.pool.take(self.loop.now() + self.connect_limit)
        if self.pool.opened == opened:
            self.counters["connections_reused"] += 1
        else:
            self.counters["connections_opened"] += 1
            self.counters[f"connections_opened_{errand}"] += 1
        return stream

    def _run(self, dispatch: Dispatch) -> Steps[None]:
        """One attempt, from its connection to its outcome."""
        job = dispatch.job
        try:
            stream = yield from self._connect("dispatch")
        except NoRoom:
            # Never sent, and no fault of the server's: nothing is to be believed of it for this.
            self.counters["connections_no_room"] += 1
            dispatch.ended(api.Status.MOOT)
            return
        except Broken:
            dispatch.ended(api.Status.CONNECT_FAILED)
            return
        exchange = ClientSide(stream)
        try:
            # A cancel ends this task, and so do its client's leaving and its server's drain: until the last
            # byte is out the job can't have run.
            method, target, headers = as_request(job)
            left = max(1, to_us(job.deadline - self.loop.now()))
            headers = [("Host", self.host), ("X-Trace-Id", job.id), ("X-Expires-In", f"{left}u"), *headers]
            if job.effect_key is not None:
                headers.append(("Idempotency-Key", job.effect_key))
            try:
                yield from exchange.send(method, target, headers, job.body, job.deadline)
                dispatch.whole = True
            except (Broken, Late):
                dispatch.ended(api.Status.CONNECT_FAILED)
                return
            except (h11.LocalProtocolError, UnicodeError):
                dispatch.ended(api.Status.MOOT)  # what can't be worded is no fault of the server's
                return
            try:
                yield from self._follow(dispatch, exchange)
            except Late:
                dispatch.ended(api.Status.TIMEOUT)
            except (Broken, ValueError, RecursionError) as error:
                # Guards rule 2: after the last byte it may have run, so this is a reset, never a
                # silent second try.
                self.counters["resets"] += 1
                if not dispatch.over:
                    dispatch.ended(api.Status.RESET)
                del error
        finally:
            self._release(exchange, REST)

    def _follow(self, dispatch: Dispatch, exchange: ClientSide) -> Steps[None]:
        """Read an answer line by line; the line that ends the attempt is reported at once."""
        status, headers = yield from exchange.head(dispatch.job.deadline)
        load = self._header_load(headers)
        if status != 200:
            never = headers.get("x-never-ran") == "1" and status in (503, 504)
            # Guards against a body that never ends: all that counts has been said.
            dispatch.ended(api.Status.FULL if never else api.Status.ERROR, b"", load)
            yield from exchange.rest(self.loop.now() + TIDY_UP)
            return
        buffered = bytearray()
        while not dispatch.over:
            part = yield from exchange.part(dispatch.job.deadline)
            if part is None:
                raise Broken("the answer ended before its last line")
            buffered += part
            if len(buffered) > MOST_LINE:
                raise Broken("a line is over the bound")
            while not dispatch.over and (end := buffered.find(b"\n")) >= 0:
                line = bytes(buffered[:end])
                del buffered[:end + 1]
                if line.strip():
                    self._take_line(dispatch, json.loads(line), load)
        yield from exchange.rest(self.loop.now() + TIDY_UP)

    def _take_line(self, dispatch: Dispatch, row: object, load: api.LoadReport | None) -> None:
        if not isinstance(row, dict):
            raise ValueError("a line holds no object")
        if row.get("id", dispatch.job.id) != dispatch.job.id:
            # Guards rule 1: a late second answer to the request before on this connection serves nobody.
            self.counters["answers_misplaced"] += 1
            raise ValueError("a line is another job's")
        state = row.get("state")
        if state == "started":
            dispatch.started()
        elif state == "running":
            share = row.get("share")
            dispatch.progressed(float(share) if isinstance(share, int | float) else 0.0)
        elif state in _LAST:
            if "load" in row:
                load = self.loads.from_object(row["load"])
            result = row.get("result", "")
            body = result if isinstance(result, str) else json.dumps(result)
            dispatch.ended(_LAST[state], body.encode(), load, said_fetches(row))

    def _header_load(self, headers: dict[str, str]) -> api.LoadReport | None:
        text = headers.get("endpoint-load-metrics")
        return self.loads.from_text(text) if text else None

    def _ask(self, probe: Probe) -> Steps[None]:
        until = self.loop.now() + timedelta(seconds=5)
        try:
            stream = yield from self._connect("probe")
        except Broken:
            probe.ended(api.Status.CONNECT_FAILED)
            return
        exchange = ClientSide(stream)
        try:
            yield from exchange.send("GET", "/stats", [("Host", self.host)], b"", until)
            status, headers = yield from exchange.head(until)
            body = yield from exchange.rest(until)
        except (Broken, Late):
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


_LAST = {
    "done": api.Status.OK, "failed": api.Status.ERROR, "returned": api.Status.FULL,
    "lost": api.Status.RESET,
}
