"""Listening sockets that are opened before a program has loaded its libraries.

Loading takes a good part of a second. The kernel queues new connections meanwhile; a port without a listener
would reset them.
"""

from __future__ import annotations

import socket
import tomllib
from collections.abc import Callable

from arrowfold.node.settings_path import settings_path

BACKLOG = 1024  # connections that the kernel queues for each socket
Listeners = dict[str, socket.socket]  # by the key in `listenAddresses`: front, readiness


def open_listeners(
    named: str | None = None, before_listening: Callable[[], None] = lambda: None
) -> Listeners:
    """Listen at every address in `listenAddresses` of the settings file.

    The file is the one at `named`, else the one that the environment names. `before_listening` is called
    before the first socket listens, since the kernel accepts clients' data from then on.

    Addresses that can't be read or bound are left out, since the full check of the settings reports them.
    """
    path = settings_path(named)
    try:
        if path is None:
            return {}
        settings = tomllib.loads(path.read_text(encoding="utf-8"))
        addresses = dict(settings["listenAddresses"])
    except (OSError, ValueError, KeyError, TypeError):
        return {}
    before_listening()
    opened = {name: _listen(address) for name, address in addresses.items()}
    return {name: listener for name, listener in opened.items() if listener is not None}


def _listen(address: object) -> socket.socket | None:
    host, _, port = str(address).rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except (OSError, ValueError, OverflowError):
        listener.close()
        return None
    return listener
