"""Dials peers with attempts that overlap, as long as they have not been silent for long.

A machine that has just been switched on drops the packets that open a connection until it listens, and
the kernel sends them again only after a second. So a dial that hangs tells nothing of the moments after it:
another attempt begins beside it, and the first one that is answered wins.
"""

from __future__ import annotations

import asyncio

CONNECT_TIMEOUT_S = 0.5  # for a whole dial
ATTEMPT_SPACING_S = 0.05  # between the starts of two attempts of one dial
OVERLAPPING_DIALS = 8  # in a row without a word from the machine; later ones make one attempt each
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Dialler:
    """Opens connections to HOST:PORT, and remembers who did not answer."""

    def __init__(self) -> None:
        self._silent_dials: dict[str, int] = {}  # by address: dials in a row without a word

    async def dial(self, address: str) -> Connection:
        """A new connection; raises OSError, TimeoutError among them, where there is none in time."""
        host, port = address.rsplit(":", 1)
        silent_dials = self._silent_dials.get(address, 0)
        self._silent_dials[address] = silent_dials + 1  # unless something is heard; the caller may not wait
        spacing_s = ATTEMPT_SPACING_S if silent_dials < OVERLAPPING_DIALS else CONNECT_TIMEOUT_S
        try:
            connection = await _first_answered(host, int(port), spacing_s)
        except ConnectionRefusedError:
            self._silent_dials.pop(address, None)
            raise
        self._silent_dials.pop(address, None)
        return connection


async def _first_answered(host: str, port: int, spacing_s: float) -> Connection:
    """The first connection of several attempts; a refusal ends the dial at once."""
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
                winner = min(done, key=lambda attempt: attempt.exception() is not None)
                attempts.discard(winner)
                return winner.result()
        raise TimeoutError(f"{host}:{port} did not answer in {CONNECT_TIMEOUT_S} s")
    finally:
        for attempt in attempts:
            _give_up(attempt)


def _give_up(attempt: asyncio.Task[Connection]) -> None:
    """End an attempt that lost; a connection that it may have opened is closed."""
    attempt.cancel()
    attempt.add_done_callback(_close_loser)


def _close_loser(attempt: asyncio.Task[Connection]) -> None:
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result()[1].transport.abort()
