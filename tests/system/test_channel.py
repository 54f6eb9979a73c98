"""The call channel between nodes, over loopback."""

from __future__ import annotations

import asyncio
from typing import Any

from arrowfold.internal.channel import ChannelClient, ChannelServer
from arrowfold.internal.messages import Acknowledgement, CallFailed, ReadConfiguration, SubmitResult
from arrowfold.standins.servers import free_port

TIMEOUT_S = 30.0  # a bound against hanging, no measure


async def read(_: ReadConfiguration) -> SubmitResult:
    return SubmitResult(200, b"{}")


def test_a_call_is_answered_and_one_without_handler_is_refused() -> None:
    async def story() -> None:
        address = f"127.0.0.1:{free_port()}"
        server, client = ChannelServer({ReadConfiguration: read}), ChannelClient()
        await server.start(address)
        answer = await client.call(address, ReadConfiguration(), TIMEOUT_S)
        assert answer.unwrap() == SubmitResult(200, b"{}")
        refused = await client.call(address, Acknowledgement(), TIMEOUT_S)
        assert refused.is_err() and "no handler" in str(refused.unwrap_err())
        client.close()
        await server.close()

    asyncio.run(story())


def test_a_server_that_ends_with_open_connections_leaves_no_task_and_no_error() -> None:
    errors: list[dict[str, Any]] = []

    async def hang(_: ReadConfiguration) -> CallFailed:
        await asyncio.Event().wait()
        raise AssertionError("never reached")

    async def story() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        address = f"127.0.0.1:{free_port()}"
        server, client = ChannelServer({ReadConfiguration: hang}), ChannelClient()
        await server.start(address)
        call = asyncio.create_task(client.call(address, ReadConfiguration(), TIMEOUT_S))
        while not server.is_serving():
            await asyncio.sleep(0)
        await server.close()
        assert not server.is_serving()
        assert (await call).is_err()
        client.close()

    asyncio.run(story())
    assert errors == []
