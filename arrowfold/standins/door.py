"""A stand-in that does nothing by itself: a test accepts, reads and writes for it, byte by byte."""

from __future__ import annotations

import json
import select
import socket
import struct
from typing import Any

from arrowfold.standins.servers import LONG

WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
NEVER_RAN = b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"


class Peer:
    """One accepted connection, as the far side sees it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(LONG)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.read = b""

    def request(self) -> tuple[str, dict[str, str]]:
        """The next whole request: its first line and its headers, names in lower case."""
        while b"\r\n\r\n" not in self.read:
            self.more()
        head, _, rest = self.read.partition(b"\r\n\r\n")
        first, *rows = head.decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (row.partition(":") for row in rows)}
        length = int(headers.get("content-length", "0"))
        self.read = rest
        while len(self.read) < length:
            self.more()
        self.read = self.read[length:]
        return first, headers

    def more(self) -> None:
        data = self.sock.recv(65536)
        if not data:
            raise EOFError("the node has ended this connection")
        self.read += data

    def ended(self) -> bool:
        """Wait for the node's end of the connection; what still comes before it is kept in `read`."""
        try:
            while True:
                self.more()
        except (EOFError, ConnectionError):
            return True

    def quiet(self, seconds: float) -> bool:
        """Whether nothing comes, nor an end, for a while."""
        return not self.read and not select.select([self.sock], [], [], seconds)[0]

    def say(self, data: bytes) -> None:
        self.sock.sendall(data)

    def chunk(self, value: object, indent: int | None = None) -> None:
        """A part of a chunked answer: a line of JSON, or an empty line for None."""
        data = (b"" if value is None else json.dumps(value, indent=indent).encode()) + b"\n"
        self.say(b"%x\r\n%s\r\n" % (len(data), data))

    def done(self, job: str, result: str = "r", end: bytes = b"0\r\n\r\n", **more: Any) -> None:
        """A whole answer to a job."""
        self.say(WATCH_HEAD)
        self.chunk({"id": job, "state": "done", "result": result, **more})
        self.say(end)

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def close(self) -> None:
        self.sock.close()


class Door:
    """A listening socket. Nobody is heard before `accept`; with `shut`, no connection even comes up."""

    def __init__(self, uid: str = "s1", shut: bool = False) -> None:
        self.uid = uid
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.sock.getsockname())
        self.stuffing: list[socket.socket] = []
        self.peers: list[Peer] = []
        self.sock.listen(0 if shut else 64)
        self.sock.settimeout(LONG)
        while shut:
            # A backlog that is full drops what comes: a connection stands half open until there is room.
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.sock.getsockname())
            self.stuffing.append(sock)
            shut = bool(select.select([], [sock], [], 0.1)[1])

    def accept(self) -> Peer:
        peer = Peer(self.sock.accept()[0])
        self.peers.append(peer)
        return peer

    def asked(self, seconds: float = 0.0) -> bool:
        """Whether somebody waits at the door."""
        return bool(select.select([self.sock], [], [], seconds)[0])

    def open(self) -> None:
        """Let in who waits at a door that was shut, once it tries again."""
        *up, half = self.stuffing
        half.close()
        self.sock.listen(64)
        for sock in up:
            sock.close()
            self.sock.accept()[0].close()
        self.stuffing.clear()

    def row(self, state: str = "SERVING", boot_ms: int = 0) -> dict[str, Any]:
        return {"uid": self.uid, "endpoint": self.address, "az": "a", "model": "m", "pod_group": 0,
                "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}

    def close(self) -> None:
        for sock in [self.sock, *self.stuffing, *(peer.sock for peer in self.peers)]:
            sock.close()
