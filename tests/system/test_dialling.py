"""Dials whose attempts overlap: stories over a network of scripted attempts, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from arrowfold.internal import dialling
from arrowfold.internal.dialling import (
    ATTEMPT_SPACING_S,
    CONNECT_TIMEOUT_S,
    SINGLE_ATTEMPT_AFTER_DIALS,
    Dialler,
)
from tests.system.virtual_time import run_virtual

ADDRESS = "10.0.0.1:7000"
HANGS = None


class FakeTransport:
    """Notes that it was aborted."""

    def __init__(self) -> None:
        self.aborted = False

    def abort(self) -> None:
        self.aborted = True


class FakeWriter:
    """The writer of a scripted connection."""

    def __init__(self) -> None:
        self.transport = FakeTransport()


class Network:
    """Answers the attempts of a dial in turn: after so many seconds, never, or with an error."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, answer: Callable[[float], float | None | OSError]):
        """`answer` is asked with the time since the first attempt."""
        self.attempts_s: list[float] = []
        self.writers: list[FakeWriter] = []
        self._answer = answer
        self._began_s: float | None = None
        monkeypatch.setattr(dialling.asyncio, "open_connection", self._open)

    async def _open(self, host: str, port: int) -> tuple[Any, Any]:
        now_s = asyncio.get_running_loop().time()
        self._began_s = now_s if self._began_s is None else self._began_s
        self.attempts_s.append(now_s - self._began_s)
        answer = self._answer(now_s - self._began_s)
        if isinstance(answer, OSError):
            raise answer
        await asyncio.sleep(3600.0 if answer is HANGS else answer)
        self.writers.append(FakeWriter())
        return object(), self.writers[-1]


async def timed(dialler: Dialler) -> float:
    began_s = asyncio.get_running_loop().time()
    await dialler.dial(ADDRESS)
    return asyncio.get_running_loop().time() - began_s


def test_given_a_machine_that_drops_early_packets_then_a_later_attempt_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Given a machine that listens 0.17 s after the first packet, and dropped all before
    network = Network(monkeypatch, lambda at_s: 0.001 if at_s >= 0.17 else HANGS)
    # When it is dialled
    took_s = run_virtual(timed(Dialler()))
    # Then the connection stands within one spacing of that moment, not after a whole time-out
    assert 0.17 <= took_s <= 0.17 + ATTEMPT_SPACING_S + 0.01
    assert len(network.attempts_s) >= 4


def test_given_two_attempts_that_are_answered_then_one_connection_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Given a slow machine: the first attempt is answered just after the second one began
    network = Network(monkeypatch, lambda at_s: ATTEMPT_SPACING_S + 0.01)

    async def story() -> Any:
        _, writer = await Dialler().dial(ADDRESS)
        await asyncio.sleep(1.0)
        return writer

    # Then the first one is kept, and no other connection stays open
    kept = run_virtual(story())
    assert not kept.transport.aborted
    assert all(writer is kept or writer.transport.aborted for writer in network.writers)


def test_given_a_refusal_then_the_dial_ends_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    network = Network(monkeypatch, lambda at_s: ConnectionRefusedError())

    async def story() -> float:
        began_s = asyncio.get_running_loop().time()
        with pytest.raises(ConnectionRefusedError):
            await Dialler().dial(ADDRESS)
        return asyncio.get_running_loop().time() - began_s

    assert run_virtual(story()) < ATTEMPT_SPACING_S
    assert len(network.attempts_s) == 1


def test_given_a_machine_that_stays_silent_then_dials_end_in_time_and_soon_make_one_attempt_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    network = Network(monkeypatch, lambda at_s: HANGS)
    dialler = Dialler()

    async def dial() -> int:
        before = len(network.attempts_s)
        began_s = asyncio.get_running_loop().time()
        with pytest.raises(TimeoutError):
            await dialler.dial(ADDRESS)
        assert asyncio.get_running_loop().time() - began_s <= CONNECT_TIMEOUT_S + 0.001
        return len(network.attempts_s) - before

    async def story() -> list[int]:
        return [await dial() for _ in range(SINGLE_ATTEMPT_AFTER_DIALS + 2)]

    attempts = run_virtual(story())
    assert attempts[0] > 5
    assert attempts[-2:] == [1, 1]


def test_given_a_caller_that_leaves_then_its_attempts_end(monkeypatch: pytest.MonkeyPatch) -> None:
    Network(monkeypatch, lambda at_s: HANGS)

    async def story() -> int:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.12):
                await Dialler().dial(ADDRESS)
        await asyncio.sleep(0)
        return len(asyncio.all_tasks())

    assert run_virtual(story()) == 1
