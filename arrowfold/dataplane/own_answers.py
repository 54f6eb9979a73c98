"""Answers that the edge itself generates: a numbered result code, without a worker's seal."""

from __future__ import annotations

from dataclasses import dataclass

from arrowfold.node.result_codes import ResultCode

OTHER_NODE_RETRY_S = 0.0  # another node can serve the request immediately
KEYS_RETRY_S = 1.0  # a control node that can be reached confirms the tenants at least this often
UNAUTHORIZED = 401  # requires WWW-Authenticate (RFC 9110, section 15.5.2)


@dataclass(frozen=True, slots=True)
class EdgeAnswer:
    """A status with a result code. 503, 429, 421 and 408 guarantee that the request never runs."""

    status: int
    code: ResultCode
    retry_after_s: float | None = None

    def headers(self, attempt_id: str | None) -> list[tuple[bytes, bytes]]:
        """Returns the headers of the answer, including the attempt id if there is one."""
        headers = [(b"Content-Type", b"application/json")]
        if attempt_id is not None:
            headers.append((b"X-Attempt-Id", attempt_id.encode("latin-1", "replace")))
        if self.status == UNAUTHORIZED:
            headers.append((b"WWW-Authenticate", b"Bearer"))
        if self.retry_after_s is not None:
            headers.append((b"Retry-After", f"{self.retry_after_s:.3f}".encode()))
        return headers

    def body(self) -> bytes:
        """Returns the result code and its name as JSON."""
        return b'{"code":%d,"name":"%s"}' % (self.code, self.code.name.encode())


def not_executed(code: ResultCode, retry_after_s: float | None) -> EdgeAnswer:
    """Returns a 503: the request did not run and will not run, and the client may retry it."""
    return EdgeAnswer(503, code, retry_after_s)


def outcome_unknown(code: ResultCode = ResultCode.WORKER_FAILED) -> EdgeAnswer:
    """Returns a 504 or 502: the request may have run, and its result is unknown."""
    return EdgeAnswer(504 if code is ResultCode.DEADLINE_PASSED else 502, code)
