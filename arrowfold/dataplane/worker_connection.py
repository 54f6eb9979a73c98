"""One HTTP connection to an instance of a worker, and the pool of an instance's connections."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from arrowfold.dataplane.answer_protocol import AnswerProtocol
from arrowfold.dataplane.exchange import WorkerRequest

DEFAULT_KEEP_ALIVE_S = 4.0  # maximum idle time for reuse, if the worker sends no Keep-Alive header
MAX_RECENT_ATTEMPTS = 32  # whose ids a connection remembers
MAX_RECENT_INSTANCE_ATTEMPTS = 512  # whose ids are remembered of all connections to an instance


class WorkerConnection:
    """One connection to an instance of a worker; `number` counts the connections that this edge opened."""

    def __init__(self, protocol: AnswerProtocol, now_s: float, number: int) -> None:
        self.protocol = protocol
        self.number = number
        self.idle_since_s = now_s
        self.last_activity_s = now_s  # when bytes were last received or a request was written
        self.awaited_since_s: float | None = None  # since when the answer's next bytes are awaited
        self.request: WorkerRequest | None = None  # in progress
        self.sent_s = now_s
        self.has_body_started = False  # the first bytes of the answer's body were received
        self.is_silence_reported = False  # since the last bytes received
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self._recent_attempts: deque[str] = deque(maxlen=MAX_RECENT_ATTEMPTS)

    def has_carried(self, attempt_id: str | None) -> bool:
        """Whether a request with this attempt id was written, of the latest MAX_RECENT_ATTEMPTS."""
        return attempt_id in self._recent_attempts

    def is_clean(self) -> bool:
        """Whether it is open and holds no unsolicited bytes."""
        return self.protocol.is_clean

    def write(self, request: WorkerRequest, now_s: float) -> None:
        """Write a complete request."""
        self.request, self.sent_s, self.last_activity_s, self.has_body_started = request, now_s, now_s, False
        self.is_silence_reported = False
        self.awaited_since_s = now_s
        self._recent_attempts.append(request.attempt_id)
        request.connections.numbers.append(self.number)
        transport = self.protocol.transport
        assert transport is not None
        self.protocol.expect_answer()
        transport.write(encode_request(request))

    def close(self) -> None:
        """Close it immediately."""
        self.protocol.abort()

    def silence_s(self, now_s: float) -> float:
        """Returns for how long the worker has been silent; 0 while its bytes are not awaited.

        The answer is not read on while the client is slow to take the part before.
        """
        if self.awaited_since_s is None:
            return 0.0
        return now_s - max(self.last_activity_s, self.awaited_since_s)

    def report_silence(self) -> None:
        """Report to the request's sender that the exchange makes no progress, or reset it."""
        self.is_silence_reported = True
        if self.request is None or self.request.on_silence is None:
            self.reset()
        else:
            self.request.on_silence(self.reset)

    def reset(self) -> None:
        """Abort the transport, so that the reader of the answer gets an error as after a network failure."""
        if self.protocol.transport is not None:
            self.protocol.transport.abort()


def encode_request(request: WorkerRequest) -> bytes:
    """Returns the bytes of a request, with Content-Length if it has a body."""
    lines = [f"{request.method} {request.target} HTTP/1.1".encode("utf-8", "surrogateescape")]
    lines.extend(name + b": " + value for name, value in request.headers)
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


@dataclass(slots=True)
class InstancePool:
    """The connections to one instance.

    `recent_attempts` are the ids of the latest requests written. `answered_by_priority` holds, for each
    priority, when the latest answered request was sent and when the first bytes of its answer's body were
    received.
    """

    address: str
    idle: deque[WorkerConnection] = field(default_factory=deque)
    active: set[WorkerConnection] = field(default_factory=set)
    open_count: int = 0
    last_activity_s: float = 0.0  # when bytes of an answer were last received
    recent_attempts: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_INSTANCE_ATTEMPTS))
    answered_by_priority: dict[int, tuple[float, float]] = field(default_factory=dict)

    def record_received(self, connection: WorkerConnection, now_s: float) -> None:
        """Record that bytes of an answer were received."""
        connection.awaited_since_s = None
        connection.last_activity_s = self.last_activity_s = now_s
        connection.is_silence_reported = False
        if connection.has_body_started or connection.request is None:
            return
        connection.has_body_started = True
        priority = connection.request.priority
        if connection.sent_s > self.answered_by_priority.get(priority, (0.0, 0.0))[0]:
            self.answered_by_priority[priority] = (connection.sent_s, now_s)
