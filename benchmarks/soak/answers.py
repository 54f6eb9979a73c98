"""The record of what workers answered to each run, by the seal of the run."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RunAnswer:
    """The first answer that a worker gave to a run; `body` is None for a stream."""

    attempt: str
    status: int
    body: bytes | None


@dataclass
class AnswerRecord:
    """The answers of all workers; `changed_bodies` are attempts whose body was not the client's."""

    by_seal: dict[str, RunAnswer] = field(default_factory=dict)
    changed_bodies: list[str] = field(default_factory=list)


def request_body(attempt: str, repeats: int) -> bytes:
    """Returns the body of a request, which its worker can check: the attempt id, repeated."""
    return attempt.encode() * repeats


def is_request_body(attempt: str, body: bytes) -> bool:
    """Whether a worker received the body of this attempt, whole and unchanged."""
    identity = attempt.encode()
    return bool(body) and body == identity * (len(body) // len(identity))
