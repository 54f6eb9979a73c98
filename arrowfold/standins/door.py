"""A stand-in server without behaviour of its own: a test accepts its connections and reads and writes."""

from __future__ import annotations

import json
import select
import socket
import struct
from typing import Any

from arrowfold.standins.servers import TIMEOUT_S

WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
NEVER_RAN = b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"


class ServerConnection:
    """One accepted connection, from the server's side; `read` holds received bytes not yet consumed."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.read = b""

    def request(self) -> tuple[str, dict[str, str]]:
        """Read the next whole request and drop its body.

        Returns the request line and the headers, with names in lower case.
        """
        while b"\r\n\r\n" not in self.read:
            self._receive()
        head, _, rest = self.read.partition(b"\r\n\r\n")
        request_line, *lines = head.decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        length = int(headers.get("content-length", "0"))
        self.read = rest
        while len(self.read) < length:
            self._receive()
        self.read = self.read[length:]
        return request_line, headers

    def _receive(self) -> None:
        """Wait for bytes and append them to `read`; raises EOFError if the node has closed the connection."""
        data = self.sock.recv(65536)
        if not data:
            raise EOFError("the node has closed this connection")
        self.read += data

    def wait_until_closed(self) -> bool:
        """Wait until the node closes the connection, keeping what it sends before that; returns True."""
        try:
            while True:
                self._receive()
        except (EOFError, ConnectionError):
            return True

    def quiet(self, seconds: float) -> bool:
        """Returns whether the node neither sends anything nor closes the connection for `seconds`."""
        return not self.read and not select.select([self.sock], [], [], seconds)[0]

    def send_bytes(self, data: bytes) -> None:
        """Send bytes to the node."""
        self.sock.sendall(data)

    def chunk(self, value: object, indent: int | None = None) -> None:
        """Send one chunk of a chunked answer: a line of JSON, or an empty line for None."""
        data = (b"" if value is None else json.dumps(value, indent=indent).encode()) + b"\n"
        self.send_bytes(b"%x\r\n%s\r\n" % (len(data), data))

    def send_result(self, job: str, result: str = "r", end: bytes = b"0\r\n\r\n", **more: Any) -> None:
        """Send a whole answer that ends a job; `end` replaces the last chunk, `more` adds fields."""
        self.send_bytes(WATCH_HEAD)
        self.chunk({"id": job, "state": "done", "result": result, **more})
        self.send_bytes(end)

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def close(self) -> None:
        self.sock.close()


class ManualServer:
    """A listening socket whose connections a test accepts one by one.

    With `fill_backlog`, its backlog is full, so that no connection is even established before `open`.
    """

    def __init__(self, uid: str = "s1", fill_backlog: bool = False) -> None:
        self.uid = uid
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.sock.getsockname())
        self._backlog_fillers: list[socket.socket] = []  # the last one is not established
        self.peers: list[ServerConnection] = []
        self.sock.listen(0 if fill_backlog else 64)
        self.sock.settimeout(TIMEOUT_S)
        while fill_backlog:
            # The kernel drops SYNs while the backlog is full, so the first connection that stays half open
            # shows that it is.
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.sock.getsockname())
            self._backlog_fillers.append(sock)
            fill_backlog = bool(select.select([], [sock], [], 0.1)[1])

    def accept(self) -> ServerConnection:
        """Wait for the next connection and accept it."""
        peer = ServerConnection(self.sock.accept()[0])
        self.peers.append(peer)
        return peer

    def asked(self, seconds: float = 0.0) -> bool:
        """Waits at most `seconds` for a connection; returns whether one can be accepted."""
        return bool(select.select([self.sock], [], [], seconds)[0])

    def open(self) -> None:
        """Empty the filled backlog; waiting clients connect when they send their SYN again."""
        *established, half_open = self._backlog_fillers
        half_open.close()
        self.sock.listen(64)
        for sock in established:
            sock.close()
            self.sock.accept()[0].close()
        self._backlog_fillers.clear()

    def row(self, state: str = "SERVING", boot_ms: int = 0) -> dict[str, Any]:
        """Returns the server's entry in a discovery list."""
        return {"uid": self.uid, "endpoint": self.address, "az": "a", "model": "m", "pod_group": 0,
                "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}

    def close(self) -> None:
        for sock in [self.sock, *self._backlog_fillers, *(peer.sock for peer in self.peers)]:
            sock.close()
