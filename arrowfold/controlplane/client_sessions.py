"""HTTP client sessions whose connections are reset on close.

A reset drops bytes that are still in flight, so that an abandoned call does not arrive much later.
"""

from __future__ import annotations

import socket
import struct
from typing import Any

import aiohttp


def resetting_session(
    connect_timeout_s: float, answer_timeout_s: float, keep_alive_s: float | None
) -> aiohttp.ClientSession:
    """Returns a client session whose connections are reset on close.

    The times, in seconds, limit connecting, a whole exchange, and how long an idle connection is kept; with
    None each exchange has a connection of its own.
    """
    if keep_alive_s is None:
        connector = aiohttp.TCPConnector(socket_factory=_resetting_socket, force_close=True, limit=0)
    else:
        connector = aiohttp.TCPConnector(
            socket_factory=_resetting_socket, keepalive_timeout=keep_alive_s, limit=0
        )
    timeout = aiohttp.ClientTimeout(total=answer_timeout_s, sock_connect=connect_timeout_s)
    return aiohttp.ClientSession(connector=connector, timeout=timeout)


def _resetting_socket(address: Any) -> socket.socket:
    family, kind, protocol, _, _ = address
    connection = socket.socket(family, kind, protocol)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.setblocking(False)
    return connection
