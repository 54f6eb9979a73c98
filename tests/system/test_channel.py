"""The call channel between nodes, over the loopback interface."""

from __future__ import annotations

import asyncio
from typing import Any

from arrowfold.internal.channel import ChannelClient, ChannelServer
from arrowfold.internal.messages import Acknowledgement, CallFailed, ReadConfiguration, SubmitResult
from arrowfold.standins.servers import free_port

TIMEOUT_S = 30.0  # only keeps a failing test from hanging


async def answer_read(_: ReadConfiguration) -> SubmitResult:
    return SubmitResult(200, b"{}")


def test_a_call_is_answered_and_a_call_without_handler_fails() -> None:
    async def scenario() -> None:
        address = f"127.0.0.1:{free_port()}"
        server, client = ChannelServer({ReadConfiguration: answer_read}), ChannelClient()
        await server.start(address)
        answer = await client.call(address, ReadConfiguration(), TIMEOUT_S)
        assert answer.unwrap() == SubmitResult(200, b"{}")
        failed = await client.call(address, Acknowledgement(), TIMEOUT_S)
        assert failed.is_err() and "no handler" in str(failed.unwrap_err())
        client.close()
        await server.close()

    asyncio.run(scenario())


def test_closing_a_server_with_open_connections_leaves_no_task_and_no_error() -> None:
    errors: list[dict[str, Any]] = []

    async def hang(_: ReadConfiguration) -> CallFailed:
        await asyncio.Event().wait()
        raise AssertionError("never reached")

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        address = f"127.0.0.1:{free_port()}"
        server, client = ChannelServer({ReadConfiguration: hang}), ChannelClient()
        await server.start(address)
        call = asyncio.create_task(client.call(address, ReadConfiguration(), TIMEOUT_S))
        while not server.has_connections():
            await asyncio.sleep(0)
        await server.close()
        assert not server.has_connections()
        assert (await call).is_err()
        client.close()

    asyncio.run(scenario())
    assert errors == []
