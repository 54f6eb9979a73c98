"""The trace: requests and their attempts as OpenTelemetry spans, one JSON object a line in a file.

Tracing never delays a request: spans that cannot be queued or written are dropped and counted. The event loop
writes ended spans to the file, a few in each turn.
"""

from __future__ import annotations

from collections import Counter, deque
from datetime import timedelta
from typing import Any

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, Span, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ALWAYS_ON
from opentelemetry.trace import set_span_in_context

from arrowfold import interface as api
from arrowfold.expectations.history import ListedState, read_listed_states
from arrowfold.program.edge import TraceConfig
from arrowfold.routing.session import Answer, Dispatch, Logging, Session, to_us
from arrowfold.transport.loop import ZERO, Loop

SPANS_PER_WRITE = 16  # in one turn of the event loop, which takes under a millisecond
WRITE_DELAY = timedelta(milliseconds=50)  # from the first queued span to the next write


class TraceFile(SpanProcessor):
    """An observer of the routing core that writes spans. Raises OSError if the file cannot be opened."""

    def __init__(
            self, loop: Loop, config: TraceConfig, name: str, counters: Counter[str],
            log: Logging,
    ) -> None:
        self.loop, self.config, self.counters, self.log = loop, config, counters, log
        self._file = open(config.file, "ab", buffering=0)  # noqa: SIM115 (closed with the node)
        self._size = self._file.tell()
        self._queue: deque[ReadableSpan] = deque()
        self._is_write_scheduled = self._is_full = False
        self._last_sights: dict[str, ListedState] = {}
        provider = TracerProvider(
            sampler=ALWAYS_ON, shutdown_on_exit=False,
            resource=Resource({"service.name": "arrowfold", "service.instance.id": name}))
        provider.add_span_processor(self)
        self._tracer = provider.get_tracer("arrowfold")

    # --- events of the routing core ----------------------------------------------------------------------

    def settings_changed(self, settings: api.Settings) -> None:
        self._record_event("settings", {
            "cold_us": settings.cold_us, "classes": [cls.name for cls in settings.classes],
            "kinds": [cls.kind or "" for cls in settings.classes]})

    def maintenance_changed(self, server: str, out: bool) -> None:
        self._record_event("call", {"server": server, "out": out})

    def listed(self, update: api.RosterUpdate) -> None:
        for sight in read_listed_states(self.loop.now(), update, self._last_sights):
            self._record_event("server", {
                "server": sight.server, "zone": sight.zone, "kind": sight.kind, "state": sight.state.value,
                "launched_us": to_us(sight.launched) if sight.launched is not None else 0})

    def session_started(self, session: Session) -> None:
        job = session.job
        optional = {"region": job.region, "key": job.key, "tenant": job.tenant_path, "client": job.client}
        session.span = self._tracer.start_span("session", Context(), start_time=self._now(), attributes={
            "session": job.id, "class": job.request_class, "resent": job.resent,
            "deadline_us": to_us(job.deadline),
            **{name: value for name, value in optional.items() if value is not None}})

    def dispatched(self, dispatch: Dispatch) -> None:
        parent_context = set_span_in_context(dispatch.session.span, Context())
        dispatch.span = self._tracer.start_span(
            "dispatch", parent_context, start_time=self._now(), attributes={
                "server": dispatch.server_name, "number": dispatch.number})

    def progressed(self, dispatch: Dispatch, share: float | None) -> None:
        if share is None and dispatch.span is not None:
            dispatch.span.add_event("started", timestamp=self._now())

    def ended(self, dispatch: Dispatch, status: api.Status, load: api.LoadReport | None) -> None:
        span = dispatch.span
        if span is not None:  # None: the attempt was never sent
            span.set_attribute("status", status.name)
            if load is not None and load.free_slots is not None:
                span.set_attribute("free_slots", load.free_slots)
            span.end(self._now())

    def probed(self, server: str, status: api.Status, load: api.LoadReport | None) -> None:
        if status is api.Status.OK and load is not None and load.free_slots is not None:
            self._record_event("report", {"server": server, "free_slots": load.free_slots})

    def answered(self, session: Session, answer: Answer | None) -> None:
        span = session.span
        span.set_attribute("verdict", answer.verdict.value if answer is not None else "left")
        if session.rule is not None:
            span.set_attribute("rule", session.rule)
        if answer is not None and answer.retry_after is not None:
            span.set_attribute("retry_after_us", to_us(answer.retry_after))
        span.end(self._now())

    def _record_event(self, name: str, attributes: dict[str, Any]) -> None:
        span = self._tracer.start_span(name, Context(), start_time=self._now(), attributes=attributes)
        span.end(self._now())

    def _now(self) -> int:
        return to_us(self.loop.now()) * 1000

    # --- the file ----------------------------------------------------------------------------------------

    def on_start(self, span: Span, parent_context: Context | None = None) -> None:
        pass

    def on_end(self, span: ReadableSpan) -> None:
        """Queues a span, or drops it if the queue is full: a request must not wait for the file."""
        if len(self._queue) >= self.config.max_queued_spans or self._is_full:
            self.counters["trace_dropped"] += 1
            return
        self._queue.append(span)
        if not self._is_write_scheduled:
            self._is_write_scheduled = True
            self.loop.call_later(WRITE_DELAY, self._write_batch)

    def _write_batch(self) -> None:
        self._write(SPANS_PER_WRITE)
        self._is_write_scheduled = bool(self._queue)
        if self._is_write_scheduled:
            self.loop.call_later(ZERO, self._write_batch)

    def _write(self, max_spans: int) -> None:
        lines = [self._queue.popleft().to_json(indent=None)
                 for _ in range(min(max_spans, len(self._queue)))]
        data = "".join(f"{line}\n" for line in lines).encode()
        if self._size + len(data) > self.config.max_bytes:
            if not self._is_full:
                self.log("trace_full", file=str(self.config.file))
            self._is_full = True
            self.counters["trace_dropped"] += len(lines)
            return
        try:
            self._size += self._file.write(data)
        except OSError as error:  # a full disk must neither end the node nor delay a request
            self.counters["trace_dropped"] += len(lines)
            self.counters["trace_errors"] += 1
            self.log("trace_failed", error=str(error))
        else:
            self.counters["trace_spans"] += len(lines)

    def close(self) -> None:
        """Writes the queued spans and the number of dropped ones, and closes the file."""
        dropped = self.counters["trace_dropped"]
        if dropped:
            self._is_full = False
            self._record_event("dropped", {"spans": dropped})
        self._write(len(self._queue))
        self._file.close()
