"""Connects to peers with overlapping attempts, unless the peer has not answered for many dials.

A machine that is starting drops connection requests (SYN packets) until it listens, and the kernel
retransmits them only after a second. So the machine may accept connections while an earlier attempt still
hangs. Each dial therefore starts further attempts alongside the first and uses the first that opens.
"""

from __future__ import annotations

import asyncio

CONNECT_TIMEOUT_S = 0.5  # of a whole dial
ATTEMPT_SPACING_S = 0.05  # time between the starts of two attempts of one dial
SINGLE_ATTEMPT_AFTER_DIALS = 8  # consecutive unanswered dials; later dials make one attempt each
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Dialler:
    """Opens connections to HOST:PORT and counts the unanswered dials of each address."""

    def __init__(self) -> None:
        self._unanswered_dials: dict[str, int] = {}  # by address; consecutive dials

    async def dial(self, address: str) -> Connection:
        """Opens a connection; raises OSError, which includes TimeoutError after `CONNECT_TIMEOUT_S`."""
        host, port = address.rsplit(":", 1)
        unanswered_dials = self._unanswered_dials.get(address, 0)
        self._unanswered_dials[address] = unanswered_dials + 1  # counted now, as the caller may cancel
        spacing_s = ATTEMPT_SPACING_S if unanswered_dials < SINGLE_ATTEMPT_AFTER_DIALS else CONNECT_TIMEOUT_S
        try:
            connection = await _open_first(host, int(port), spacing_s)
        except ConnectionRefusedError:
            self._unanswered_dials.pop(address, None)
            raise
        self._unanswered_dials.pop(address, None)
        return connection


async def _open_first(host: str, port: int, spacing_s: float) -> Connection:
    """Returns the first of several attempts that opens; a refusal ends the dial at once."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + CONNECT_TIMEOUT_S
    attempts: set[asyncio.Task[Connection]] = set()
    try:
        while (left_s := deadline_s - loop.time()) > 0:
            attempts.add(asyncio.create_task(asyncio.open_connection(host, port)))
            done, _ = await asyncio.wait(
                attempts, timeout=min(spacing_s, left_s), return_when=asyncio.FIRST_COMPLETED
            )
            if done:
                finished = min(done, key=lambda attempt: attempt.exception() is not None)
                attempts.discard(finished)
                return finished.result()
        raise TimeoutError(f"{host}:{port} did not answer in {CONNECT_TIMEOUT_S} s")
    finally:
        for attempt in attempts:
            _abandon(attempt)


def _abandon(attempt: asyncio.Task[Connection]) -> None:
    """Cancel an attempt that is not used; a connection that it may have opened is closed."""
    attempt.cancel()
    attempt.add_done_callback(_close_unused_connection)


def _close_unused_connection(attempt: asyncio.Task[Connection]) -> None:
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result()[1].transport.abort()
