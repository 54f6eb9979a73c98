"""Builds the requests to workers: the client's request with headers removed and added by the edge.

Used for all attempts: first attempts, retries and resumptions of streams.
"""

from __future__ import annotations

from arrowfold.dataplane.attempts import RequestProgress
from arrowfold.dataplane.exchange import SilenceHandler, WorkerRequest
from arrowfold.dataplane.headers import (
    AUTHORIZATION,
    LAST_EVENT_ID,
    REWRITTEN_IN_REQUESTS,
    end_to_end,
)
from arrowfold.selection.interface import ChosenWorker

MIN_PROMPT_TOKENS_PER_S = 15_000  # a busy worker reads prompts faster than this
_REWRITTEN_OR_KEY = REWRITTEN_IN_REQUESTS | {AUTHORIZATION}
_MS_PER_S = 1000


def make_worker_request(
    progress: RequestProgress,
    choice: ChosenWorker,
    remaining_s: float,
    on_silence: SilenceHandler | None = None,
) -> WorkerRequest:
    """Returns the request for the chosen worker, `remaining_s` seconds before the deadline."""
    request = progress.request
    dropped = _REWRITTEN_OR_KEY if progress.hides_key else REWRITTEN_IN_REQUESTS
    is_resumed = progress.events_forwarded > 0 and progress.last_event_id is not None
    if is_resumed:
        dropped = dropped | {LAST_EVENT_ID}
    return WorkerRequest(
        attempt_id=progress.attempt_id,
        method=request.method,
        target=request.target,
        headers=tuple(
            end_to_end(request.headers, dropped) + _edge_headers(progress, choice, remaining_s, is_resumed)
        ),
        body=request.body,
        is_retryable=progress.can_retry,
        expected_prompt_read_s=progress.profile.prompt_tokens / MIN_PROMPT_TOKENS_PER_S,
        priority=progress.profile.priority,
        connections=progress.connections,
        on_silence=on_silence,
    )


def _edge_headers(
    progress: RequestProgress, choice: ChosenWorker, remaining_s: float, is_resumed: bool
) -> list[tuple[bytes, bytes]]:
    headers: list[tuple[bytes, bytes]] = []
    if is_resumed and progress.last_event_id is not None:
        headers.append((b"Last-Event-Id", b"%d" % progress.last_event_id))
    remaining_ms = max(1, int(remaining_s * _MS_PER_S))
    headers.append((b"X-Deadline-Ms", b"%d" % remaining_ms))
    headers.append((b"X-Target-Instance", choice.instance.encode("latin-1", "replace")))
    if choice.priority_header is not None:
        headers.append((b"Priority", b"%d" % choice.priority_header))
    if progress.tenant is not None:
        headers.append((b"X-Tenant", progress.tenant.name.encode()))
    return headers
