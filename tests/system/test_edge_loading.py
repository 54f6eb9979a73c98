"""An edge process that receives SIGTERM while it is still loading."""

from __future__ import annotations

import socket
from pathlib import Path

from arrowfold.standins.local_system import LocalNode, LocalSystem
from arrowfold.standins.servers import TIMEOUT_S, eventually
from tests.system.edge_loopback import request_bytes


def _listens(system: LocalSystem, edge: LocalNode) -> bool:
    try:
        socket.create_connection((edge.host, system.ports.front), timeout=TIMEOUT_S).close()
    except OSError:
        return False
    return True


def test_given_an_edge_terminated_while_it_loads_then_a_waiting_request_is_answered(
    tmp_path: Path,
) -> None:
    system = LocalSystem(tmp_path, 1)
    edge = system.edges[0]
    try:
        # Given an edge that already listens but is still loading, and a request to it
        system.start(edge)
        assert edge.process is not None
        eventually(lambda: _listens(system, edge))
        with socket.create_connection((edge.host, system.ports.front), timeout=TIMEOUT_S) as client:
            client.sendall(request_bytes("/chat/x", "a1"))
            # When it receives SIGTERM
            edge.process.terminate()
            # Then the request is answered, possibly with a refusal, and the process exits normally
            assert client.recv(64).startswith(b"HTTP/1.1 ")
        assert edge.process.wait(TIMEOUT_S) == 0
    finally:
        system.kill(edge)
