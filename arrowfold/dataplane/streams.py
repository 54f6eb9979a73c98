"""Relays event streams: complete events without delay, with ids that increase across resumptions."""

from __future__ import annotations

from collections.abc import Callable

from arrowfold.dataplane.attempts import RequestProgress
from arrowfold.dataplane.events import EventSplitter, EventTooLargeError, StreamEvent
from arrowfold.dataplane.exchange import ClientAnswer, IncompleteBodyError, WorkerAnswer
from arrowfold.dataplane.headers import REWRITTEN_IN_ANSWERS, VERSIONS, end_to_end, find
from arrowfold.dataplane.stream_takeover import StreamTakeover


async def relay_stream(
    progress: RequestProgress,
    worker_answer: WorkerAnswer,
    answer: ClientAnswer,
    on_first_event: Callable[[], None],
    clock: Callable[[], float],
    takeover: StreamTakeover,
) -> float:
    """Relay the events of a stream, or of its resumption, until it ends.

    Returns the longest pause between events in seconds. The client gets the head of the first worker's
    answer. While the worker is silent, `takeover` may continue it at another worker. Raises
    IncompleteBodyError when the stream is interrupted or invalid, or goes on at another worker.
    """
    splitter = EventSplitter()
    longest_pause_s = last_write_s = 0.0
    versions = find(worker_answer.headers, VERSIONS)
    changed_version = versions if answer.started and versions != progress.stream_versions else None
    is_first = True
    while chunk := await takeover.read_chunk(worker_answer):
        events = _split_events(splitter, chunk)
        if not events:
            continue
        now_s = clock()
        if not is_first:
            longest_pause_s = max(longest_pause_s, now_s - last_write_s)
        last_write_s = now_s
        if is_first:
            is_first = False
            on_first_event()
            progress.stream_versions = versions
            if changed_version is not None:
                events[0] = _with_version(events[0], changed_version)
        for event in events:
            _record_event(progress, event)
        progress.last_event_s = now_s
        if not answer.started:
            await _start_answer(worker_answer, answer)
        await answer.write(b"".join(event.data for event in events))
    if splitter.pending:
        raise IncompleteBodyError("the stream ended within an event")
    if not answer.started:
        await _start_answer(worker_answer, answer)
    await answer.finish()
    return longest_pause_s


def _split_events(splitter: EventSplitter, chunk: bytes) -> list[StreamEvent]:
    try:
        return splitter.feed(chunk)
    except EventTooLargeError as error:
        raise IncompleteBodyError("an event is too large") from error


def _record_event(progress: RequestProgress, event: StreamEvent) -> None:
    if event.event_id is not None:
        if progress.last_event_id is not None and event.event_id <= progress.last_event_id:
            raise IncompleteBodyError("event ids of the stream do not increase")
        progress.last_event_id = event.event_id
    progress.events_forwarded += 1


def _with_version(event: StreamEvent, version: str) -> StreamEvent:
    """Returns the event with a `versions:` line, which marks a change of the model's weights."""
    if event.data.startswith(VERSIONS + b":"):
        return event
    line = VERSIONS + b": " + version.encode("latin-1", "replace") + b"\n"
    return StreamEvent(line + event.data, event.event_id)


async def _start_answer(worker_answer: WorkerAnswer, answer: ClientAnswer) -> None:
    await answer.start(worker_answer.status, end_to_end(worker_answer.headers, REWRITTEN_IN_ANSWERS))
