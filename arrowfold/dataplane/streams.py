"""Passing on an event stream: whole events, each at once, ids rising over all workers that serve it."""

from __future__ import annotations

from collections.abc import Callable

from arrowfold.dataplane.attempts import RequestProgress
from arrowfold.dataplane.events import EventSplitter, EventTooLargeError, StreamEvent
from arrowfold.dataplane.exchange import BodyLostError, ClientAnswer, WorkerAnswer
from arrowfold.dataplane.headers import REWRITTEN_IN_ANSWERS, VERSIONS, end_to_end, find


async def relay_stream(
    progress: RequestProgress,
    worker_answer: WorkerAnswer,
    answer: ClientAnswer,
    first_event: Callable[[], None],
    clock: Callable[[], float],
) -> float:
    """Pass on the events of a stream, or of its continuation, until it ends; the longest pause, in seconds.

    The client's head is that of the first worker. Raises BodyLostError when the stream breaks off.
    """
    splitter = EventSplitter()
    longest_pause_s = last_s = 0.0
    versions = find(worker_answer.headers, VERSIONS)
    changed_version = versions if answer.started and versions != progress.stream_versions else None
    first = True
    while chunk := await worker_answer.read_chunk():
        events = _whole_events(splitter, chunk)
        if not events:
            continue
        now_s = clock()
        if not first:
            longest_pause_s = max(longest_pause_s, now_s - last_s)
        last_s = now_s
        if first:
            first = False
            first_event()
            progress.stream_versions = versions
            if changed_version is not None:
                events[0] = _with_version(events[0], changed_version)
        for event in events:
            _count(progress, event)
        if not answer.started:
            await _start(worker_answer, answer)
        await answer.write(b"".join(event.data for event in events))
    if splitter.pending:
        raise BodyLostError("the stream ended within an event")
    if not answer.started:
        await _start(worker_answer, answer)
    await answer.finish()
    return longest_pause_s


def _whole_events(splitter: EventSplitter, chunk: bytes) -> list[StreamEvent]:
    try:
        return splitter.feed(chunk)
    except EventTooLargeError as error:
        raise BodyLostError("an event is too large") from error


def _count(progress: RequestProgress, event: StreamEvent) -> None:
    if event.identity is not None:
        if progress.last_event is not None and event.identity <= progress.last_event:
            raise BodyLostError("the stream's ids don't rise")
        progress.last_event = event.identity
    progress.events_passed += 1


def _with_version(event: StreamEvent, version: str) -> StreamEvent:
    """The event with a `versions:` line, which tells that other weights made it."""
    if event.data.startswith(VERSIONS + b":"):
        return event
    line = VERSIONS + b": " + version.encode("latin-1", "replace") + b"\n"
    return StreamEvent(line + event.data, event.identity)


async def _start(worker_answer: WorkerAnswer, answer: ClientAnswer) -> None:
    await answer.start(worker_answer.status, end_to_end(worker_answer.headers, REWRITTEN_IN_ANSWERS))
