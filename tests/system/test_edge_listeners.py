"""Sockets that listen before the program is loaded, so that early connections wait and are not reset."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from arrowfold.node.listeners import open_listeners
from tests.system.edge_loopback import LoopbackEdge, RawClient, RawExchange, RawWorker, request_bytes
from tests.system.edge_stories import route


def settings_file(folder: Path, addresses: str) -> str:
    path = folder / "node.toml"
    path.write_text(f'nodeName = "e"\n[listenAddresses]\n{addresses}\n', encoding="utf-8")
    return str(path)


def test_a_request_that_arrives_before_the_program_serves_is_answered_by_it(tmp_path: Path) -> None:
    async def plain(exchange: RawExchange) -> None:
        await exchange.answer()

    async def scenario() -> None:
        opened = open_listeners(settings_file(tmp_path, 'front = "127.0.0.1:0"'))
        host, port = opened["front"].getsockname()
        client = await RawClient.connect(f"{host}:{port}")
        await client.send(request_bytes("/pay/1", "a1"))
        edge = LoopbackEdge([route("pay", "/pay/", "cards", "non_idempotent")])
        await edge.start(opened["front"], w1=("cards", RawWorker(plain)))
        assert (await client.read()).status == 200
        await edge.stop()

    asyncio.run(scenario())


def test_addresses_that_cannot_be_bound_are_skipped(tmp_path: Path) -> None:
    with socket.socket() as blocker:
        blocker.bind(("127.0.0.1", 0))
        blocker.listen()
        port = blocker.getsockname()[1]
        path = settings_file(
            tmp_path, f'front = "127.0.0.1:{port}"\nreadiness = "127.0.0.1:0"\nother = "x:y"'
        )
        opened = open_listeners(path)
        assert list(opened) == ["readiness"]
        opened["readiness"].close()


def test_unreadable_settings_open_no_sockets(tmp_path: Path) -> None:
    broken = tmp_path / "broken.toml"
    broken.write_text("listenAddresses = [", encoding="utf-8")
    assert open_listeners(str(broken)) == {}
    assert open_listeners(str(tmp_path / "absent.toml")) == {}
    broken.write_text('nodeName = "e"', encoding="utf-8")
    assert open_listeners(str(broken)) == {}
