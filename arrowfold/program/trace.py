"""The trace: sessions and dispatches as OpenTelemetry spans, one JSON object a line in a file.

Nothing waits for it: what can't be queued or written is dropped and counted. The file is written by the loop,
a few spans a turn; a span is written once it has ended.
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
from arrowfold.expectations.history import Sight, sights_of
from arrowfold.program.edge import TraceConfig
from arrowfold.routing.session import Answer, Dispatch, Logging, Session, to_us
from arrowfold.transport.loop import ZERO, Loop

BATCH = 16  # spans written in one turn of the loop: under a millisecond
SETTLE = timedelta(milliseconds=50)  # from the first span that waits to the next write


class TraceFile(SpanProcessor):
    """An observer of the core that writes spans. OSError where the file can't be opened."""

    def __init__(
            self, loop: Loop, config: TraceConfig, name: str, counters: Counter[str],
            log: Logging,
    ) -> None:
        self.loop, self.config, self.counters, self.log = loop, config, counters, log
        self._file = open(config.file, "ab", buffering=0)  # noqa: SIM115 (closed with the node)
        self._size = self._file.tell()
        self._waiting: deque[ReadableSpan] = deque()
        self._due = self._full = False
        self._known: dict[str, Sight] = {}
        provider = TracerProvider(
            sampler=ALWAYS_ON, shutdown_on_exit=False,
            resource=Resource({"service.name": "arrowfold", "service.instance.id": name}))
        provider.add_span_processor(self)
        self._tracer = provider.get_tracer("arrowfold")

    # --- what the core tells -----------------------------------------------------------------------------

    def settled(self, settings: api.Settings) -> None:
        self._moment("settings", {
            "cold_us": settings.cold_us, "classes": [cls.name for cls in settings.classes],
            "kinds": [cls.kind or "" for cls in settings.classes]})

    def called(self, server: str, out: bool) -> None:
        self._moment("call", {"server": server, "out": out})

    def listed(self, update: api.RosterUpdate) -> None:
        for sight in sights_of(self.loop.now(), update, self._known):
            self._moment("server", {
                "server": sight.server, "zone": sight.zone, "kind": sight.kind, "state": sight.state.value,
                "launched_us": to_us(sight.launched) if sight.launched is not None else 0})

    def taken(self, session: Session) -> None:
        job = session.job
        said = {"region": job.region, "key": job.key, "tenant": job.payer, "client": job.client}
        session.span = self._tracer.start_span("session", Context(), start_time=self._now(), attributes={
            "session": job.id, "class": job.request_class, "resent": job.resent,
            "deadline_us": to_us(job.deadline),
            **{name: value for name, value in said.items() if value is not None}})

    def dispatched(self, dispatch: Dispatch) -> None:
        around = set_span_in_context(dispatch.session.span, Context())
        dispatch.span = self._tracer.start_span("dispatch", around, start_time=self._now(), attributes={
            "server": dispatch.server_name, "number": dispatch.number})

    def progressed(self, dispatch: Dispatch, share: float | None) -> None:
        if share is None and dispatch.span is not None:
            dispatch.span.add_event("started", timestamp=self._now())

    def ended(self, dispatch: Dispatch, status: api.Status, load: api.LoadReport | None) -> None:
        span = dispatch.span
        if span is not None:  # None: it never left the node
            span.set_attribute("status", status.name)
            if load is not None and load.free_slots is not None:
                span.set_attribute("free_slots", load.free_slots)
            span.end(self._now())

    def probed(self, server: str, status: api.Status, load: api.LoadReport | None) -> None:
        if status is api.Status.OK and load is not None and load.free_slots is not None:
            self._moment("report", {"server": server, "free_slots": load.free_slots})

    def answered(self, session: Session, answer: Answer | None) -> None:
        span = session.span
        span.set_attribute("verdict", answer.verdict.value if answer is not None else "left")
        if session.rule is not None:
            span.set_attribute("rule", session.rule)
        if answer is not None and answer.retry_after is not None:
            span.set_attribute("retry_after_us", to_us(answer.retry_after))
        span.end(self._now())

    def _moment(self, name: str, attributes: dict[str, Any]) -> None:
        span = self._tracer.start_span(name, Context(), start_time=self._now(), attributes=attributes)
        span.end(self._now())

    def _now(self) -> int:
        return to_us(self.loop.now()) * 1000

    # --- the file ----------------------------------------------------------------------------------------

    def on_start(self, span: Span, parent_context: Context | None = None) -> None:
        pass

    def on_end(self, span: ReadableSpan) -> None:
        """Queue a span; over the bound it is dropped, for no job may wait for a file."""
        if len(self._waiting) >= self.config.most_waiting or self._full:
            self.counters["trace_dropped"] += 1
            return
        self._waiting.append(span)
        if not self._due:
            self._due = True
            self.loop.call_later(SETTLE, self._write_some)

    def _write_some(self) -> None:
        self._write(BATCH)
        self._due = bool(self._waiting)
        if self._due:
            self.loop.call_later(ZERO, self._write_some)

    def _write(self, most: int) -> None:
        lines = [self._waiting.popleft().to_json(indent=None)
                 for _ in range(min(most, len(self._waiting)))]
        data = "".join(f"{line}\n" for line in lines).encode()
        if self._size + len(data) > self.config.most_bytes:
            if not self._full:
                self.log("trace_full", file=str(self.config.file))
            self._full = True
            self.counters["trace_dropped"] += len(lines)
            return
        try:
            self._size += self._file.write(data)
        except OSError as error:  # a full disk is no reason to end, nor to hold a job
            self.counters["trace_dropped"] += len(lines)
            self.counters["trace_errors"] += 1
            self.log("trace_failed", error=str(error))
        else:
            self.counters["trace_spans"] += len(lines)

    def close(self) -> None:
        """Write what waits, and how much was dropped."""
        dropped = self.counters["trace_dropped"]
        if dropped:
            self._full = False
            self._moment("dropped", {"spans": dropped})
        self._write(len(self._waiting))
        self._file.close()
