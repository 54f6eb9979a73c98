"""Reads the bodies of workers' answers."""

from __future__ import annotations

import contextlib

from arrowfold.dataplane.exchange import IncompleteBodyError, WorkerAnswer
from arrowfold.dataplane.headers import CONTENT_TYPE, find

MAX_BUFFERED_BODY_BYTES = 8 * 1024 * 1024  # of an answer that is not an event stream


def is_event_stream(worker_answer: WorkerAnswer) -> bool:
    """Whether the body is an event stream, by its Content-Type."""
    content_type = find(worker_answer.headers, CONTENT_TYPE) or ""
    return content_type.partition(";")[0].strip().lower() == "text/event-stream"


async def read_body(worker_answer: WorkerAnswer) -> bytes:
    """Returns the body.

    Raises IncompleteBodyError when it is truncated or larger than MAX_BUFFERED_BODY_BYTES.
    """
    chunks = []
    size = 0
    while chunk := await worker_answer.read_chunk():
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_BODY_BYTES:
            raise IncompleteBodyError("the body is too large")
    return b"".join(chunks)


async def discard_body(worker_answer: WorkerAnswer) -> None:
    """Read and discard the body, so that the connection can be reused."""
    with contextlib.suppress(IncompleteBodyError):
        await read_body(worker_answer)
