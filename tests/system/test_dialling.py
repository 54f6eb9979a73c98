"""Dials with overlapping attempts, over scripted connection attempts in virtual time."""

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
NO_ANSWER = None


class RecordingTransport:
    """Records whether it was aborted."""

    def __init__(self) -> None:
        self.aborted = False

    def abort(self) -> None:
        self.aborted = True


class FakeWriter:
    """The writer of a scripted connection."""

    def __init__(self) -> None:
        self.transport = RecordingTransport()


class ScriptedNetwork:
    """Replaces `asyncio.open_connection`: an attempt succeeds after a delay, never, or raises an error."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, answer: Callable[[float], float | None | OSError]):
        """`answer` maps the time since the first attempt to a delay in seconds, NO_ANSWER or an error."""
        self.attempts_s: list[float] = []
        self.writers: list[FakeWriter] = []
        self._answer = answer
        self._started_s: float | None = None
        monkeypatch.setattr(dialling.asyncio, "open_connection", self._open)

    async def _open(self, host: str, port: int) -> tuple[Any, Any]:
        now_s = asyncio.get_running_loop().time()
        self._started_s = now_s if self._started_s is None else self._started_s
        self.attempts_s.append(now_s - self._started_s)
        answer = self._answer(now_s - self._started_s)
        if isinstance(answer, OSError):
            raise answer
        await asyncio.sleep(3600.0 if answer is NO_ANSWER else answer)
        self.writers.append(FakeWriter())
        return object(), self.writers[-1]


async def dial_duration_s(dialler: Dialler) -> float:
    started_s = asyncio.get_running_loop().time()
    await dialler.dial(ADDRESS)
    return asyncio.get_running_loop().time() - started_s


def test_given_a_machine_that_drops_early_packets_then_a_later_attempt_succeeds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Given a machine that listens 0.17 s after the first packet and drops all earlier ones
    network = ScriptedNetwork(monkeypatch, lambda at_s: 0.001 if at_s >= 0.17 else NO_ANSWER)
    # When it is dialled
    duration_s = run_virtual(dial_duration_s(Dialler()))
    # Then the connection opens within one spacing of that moment, not after the whole timeout
    assert 0.17 <= duration_s <= 0.17 + ATTEMPT_SPACING_S + 0.01
    assert len(network.attempts_s) >= 4


def test_given_two_attempts_that_succeed_then_one_connection_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Given a slow machine: the first attempt succeeds just after the start of the second one
    network = ScriptedNetwork(monkeypatch, lambda at_s: ATTEMPT_SPACING_S + 0.01)

    async def scenario() -> Any:
        _, writer = await Dialler().dial(ADDRESS)
        await asyncio.sleep(1.0)
        return writer

    # Then the first connection is kept, and no other one stays open
    kept = run_virtual(scenario())
    assert not kept.transport.aborted
    assert all(writer is kept or writer.transport.aborted for writer in network.writers)


def test_given_a_refusal_then_the_dial_ends_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    network = ScriptedNetwork(monkeypatch, lambda at_s: ConnectionRefusedError())

    async def scenario() -> float:
        started_s = asyncio.get_running_loop().time()
        with pytest.raises(ConnectionRefusedError):
            await Dialler().dial(ADDRESS)
        return asyncio.get_running_loop().time() - started_s

    assert run_virtual(scenario()) < ATTEMPT_SPACING_S
    assert len(network.attempts_s) == 1


def test_given_an_unresponsive_machine_then_dials_time_out_and_later_ones_make_one_attempt_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    network = ScriptedNetwork(monkeypatch, lambda at_s: NO_ANSWER)
    dialler = Dialler()

    async def dial() -> int:
        before = len(network.attempts_s)
        started_s = asyncio.get_running_loop().time()
        with pytest.raises(TimeoutError):
            await dialler.dial(ADDRESS)
        assert asyncio.get_running_loop().time() - started_s <= CONNECT_TIMEOUT_S + 0.001
        return len(network.attempts_s) - before

    async def scenario() -> list[int]:
        return [await dial() for _ in range(SINGLE_ATTEMPT_AFTER_DIALS + 2)]

    attempts = run_virtual(scenario())
    assert attempts[0] > 5
    assert attempts[-2:] == [1, 1]


def test_given_a_cancelled_dial_then_its_attempts_end(monkeypatch: pytest.MonkeyPatch) -> None:
    ScriptedNetwork(monkeypatch, lambda at_s: NO_ANSWER)

    async def scenario() -> int:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.12):
                await Dialler().dial(ADDRESS)
        await asyncio.sleep(0)
        return len(asyncio.all_tasks())

    assert run_virtual(scenario()) == 1
