"""The client of the platform API against the checking stand-in, over loopback HTTP."""

from __future__ import annotations

import asyncio
import socket

from aiohttp import web

from arrowfold.controlplane.platform_client import DutyAnswer, DutyCall, PlatformClient
from tests.system.platform_judge import PlatformChecker, platform_application


def _usage_call(holder: str, token: int, window: int = 7) -> DutyCall:
    body = b'{"windowNumber":%d,"counts":{"huka":3}}' % window
    return DutyCall("/usage", body, holder, token)


async def _answers(checker: PlatformChecker, *calls: DutyCall) -> list[DutyAnswer]:
    runner = web.AppRunner(platform_application(checker))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    client = PlatformClient(f"{host}:{port}")
    try:
        return [await client.send(call) for call in calls]
    finally:
        await client.close()
        await runner.cleanup()


def test_given_calls_over_http_then_the_client_returns_the_outcome_of_each() -> None:
    checker = PlatformChecker(rate=3)
    calls = (_usage_call("a", 2), _usage_call("a", 2), _usage_call("b", 1), _usage_call("a", 2, 8))
    outcomes = asyncio.run(_answers(checker, *calls))
    assert outcomes == [DutyAnswer.ACCEPTED, DutyAnswer.ACCEPTED, DutyAnswer.FENCED, DutyAnswer.BUSY]
    assert checker.arrivals[0].call == calls[0]
    assert checker.violations == []


def test_given_no_listener_at_the_address_then_the_call_counts_as_unsent() -> None:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{free.getsockname()[1]}"

    async def send() -> DutyAnswer:
        client = PlatformClient(address)
        try:
            return await client.send(_usage_call("a", 1))
        finally:
            await client.close()

    assert asyncio.run(send()) is DutyAnswer.UNSENT


def test_given_broken_rules_then_the_checker_reports_each() -> None:
    # Tests the stand-in itself, since one that accepts everything would hide violations in other tests.
    other = DutyCall("/usage", b'{"windowNumber":7,"counts":{"huka":4}}', "a", 2)
    broken = {
        "two holders": [_usage_call("a", 1), _usage_call("b", 1)],
        "other counts": [_usage_call("a", 2), other],
        "acted, then": [_usage_call("a", 1), _usage_call("b", 2), _usage_call("a", 3)],
        "came after": [_usage_call("a", 1, 8), _usage_call("a", 1, 7)],
        "refused before": [_usage_call("b", 2), _usage_call("a", 1), _usage_call("a", 1)],
    }
    for expected, calls in broken.items():
        checker = PlatformChecker()
        for call in calls:
            checker.receive(call, 1.0)
        assert any(expected in violation for violation in checker.violations), expected
