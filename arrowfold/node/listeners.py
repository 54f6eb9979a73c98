"""Listening sockets that are open before a program has loaded its libraries.

Loading takes a good part of a second. Until then the kernel keeps new connections; a port without a listener
would reset them.
"""

from __future__ import annotations

import socket
import tomllib
from collections.abc import Callable

from arrowfold.node.settings_path import settings_path

BACKLOG = 1024
Listeners = dict[str, socket.socket]  # by the name of what is served: front, readiness


def open_listeners(
    named: str | None = None, before_listening: Callable[[], None] = lambda: None
) -> Listeners:
    """Listen at every address of the settings file's `listenAddresses` (named, or the environment's).

    `before_listening` is called before the first socket listens: what clients send is kept from then on.

    What can't be read or bound is left out: the full check of the settings reports it.
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
