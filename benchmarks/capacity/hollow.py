"""Stub peers of a real node in one process: hundreds of listening workers, discovery and clients.

They implement the published protocol without keeping state, and count the bytes transferred. All sockets
are on loopback.
"""

from __future__ import annotations

import contextlib
import heapq
import json
import os
import selectors
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from typing import Any

from arrowfold.standins.servers import free_port
from benchmarks.capacity.module import SETTINGS, ZONES
from benchmarks.capacity.results import ROOT

MEAN_RUN_S = 0.2  # mean run time of a request
TIMEOUT_S = 60.0
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(value: object) -> bytes:
    """Encodes a JSON line, empty for None, as an HTTP chunk."""
    data = (b"" if value is None else json.dumps(value, separators=(",", ":")).encode()) + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


class StubConnection:
    """The stub's side of one connection with the node."""

    def __init__(self, peers: StubPeers, sock: socket.socket, kind: str) -> None:
        self.peers, self.sock, self.kind, self.received = peers, sock, kind, b""
        self.sent_at: Any = None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        peers.selector.register(sock, selectors.EVENT_READ, self.on_readable)

    def on_readable(self) -> None:
        """Reads from the socket and passes the data on; closes the connection at its end."""
        try:
            data = self.sock.recv(262144)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        self.peers.bytes[self.kind + " from node"] += len(data)
        self.received += data
        self.peers.handle_data(self)

    def send(self, data: bytes) -> None:
        """Sends data, blocking until all of it is written."""
        self.peers.bytes[self.kind + " to node"] += len(data)
        self.sock.setblocking(True)
        with contextlib.suppress(OSError):
            self.sock.sendall(data)
        self.sock.setblocking(False)

    def close(self) -> None:
        """Closes the connection and removes its watch, if any."""
        if self.sock.fileno() >= 0:
            self.peers.selector.unregister(self.sock)
            self.sock.close()
        self.peers.watches.discard(self)


class StubPeers:
    """All stub peers with their event loop, and the node as a process."""

    def __init__(self, servers: int, seed: int, port: int | None = None) -> None:
        self.selector, self.rng = selectors.DefaultSelector(), Random(seed)
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.bytes: dict[str, int] = {f"{kind} {way} node": 0 for kind in ("server", "discovery", "client")
                                      for way in ("from", "to")}
        self.watches: set[StubConnection] = set()
        self.idle_connections: list[StubConnection] = []
        self.is_refusing = False  # discovery is down: its calls are reset
        self.pending: list[dict[str, Any]] = []  # changes since the last published revision
        self.revision, self.answered, self.failed, self.late = 1, 0, 0, 0
        self.listeners: list[socket.socket] = []
        self.rows = [self.make_row(n, self._listen("server")) for n in range(servers)]
        self.discovery = self._listen("discovery")
        self.process: subprocess.Popen[bytes] | None = None

    def _listen(self, kind: str) -> int:
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sock.listen(16)
        sock.setblocking(False)
        self.listeners.append(sock)

        def accept() -> None:
            with contextlib.suppress(BlockingIOError):
                StubConnection(self, sock.accept()[0], kind)

        self.selector.register(sock, selectors.EVENT_READ, accept)
        port: int = sock.getsockname()[1]
        return port

    def make_row(self, number: int, port: int) -> dict[str, Any]:
        return {"uid": f"s-{self.rng.getrandbits(32):08x}", "endpoint": f"127.0.0.1:{port}",
                "az": f"z{number % ZONES}", "model": f"m{number // ZONES % 2}", "pod_group": number % 7,
                "state": "SERVING", "capacity_hint": 1.0, "boot_ms": 0}

    # --- data from the node --------------------------------------------------------------------------

    def handle_data(self, connection: StubConnection) -> None:
        """Handles the requests received on a connection."""
        if connection.kind == "client":
            self._answer(connection)
            return
        while b"\r\n\r\n" in connection.received:
            head, _, rest = connection.received.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
            length = int(headers.get("content-length", "0"))
            if len(rest) < length:
                return
            connection.received = rest[length:]
            if connection.kind == "discovery":
                self._watch(connection, lines[0])
            else:
                self._serve(connection, lines[0], headers)

    def _watch(self, connection: StubConnection, line: str) -> None:
        if self.is_refusing:
            connection.close()
            return
        if self.pending:
            first: dict[str, Any] = {"rev": self.revision, "all": False, "targets": self.pending}
        elif f"since={self.revision} " in line:
            first = {"rev": self.revision, "all": False, "targets": []}
        else:
            first = {"rev": self.revision, "all": True, "targets": self.rows}
        connection.send(CHUNKED_HEAD + chunk(first))
        self.watches.add(connection)

        def send_keep_alive() -> None:
            if connection in self.watches:
                connection.send(chunk(None))
                self.schedule(2.0, send_keep_alive)

        self.schedule(2.0, send_keep_alive)

    def _serve(self, connection: StubConnection, line: str, headers: dict[str, str]) -> None:
        load = {"rif": 3, "x0": 2}
        if line.startswith("GET"):
            body = json.dumps(load).encode()
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            return
        request_id = headers["x-trace-id"]
        connection.send(CHUNKED_HEAD + chunk({"id": request_id, "state": "started"}))

        def finish() -> None:
            if connection.sock.fileno() >= 0:
                connection.send(chunk({"id": request_id, "state": "done", "result": "r" * 200, "load": load}))
                connection.send(b"0\r\n\r\n")

        self.schedule(self.rng.expovariate(1 / MEAN_RUN_S), finish)

    def publish(self, rows: list[dict[str, Any]], whole: bool = False) -> None:
        """Sends changes of the list, or the whole list, to all watches."""
        self.revision += 1
        for connection in list(self.watches):
            connection.send(chunk({"rev": self.revision, "all": whole, "targets": rows}))

    # --- clients -------------------------------------------------------------------------------------

    def send_request(self, port: int, number: int) -> None:
        """Sends a client's request on an idle connection, or on a new one."""
        if self.idle_connections:
            connection = self.idle_connections.pop()
        else:
            connection = StubConnection(
                self, socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S), "client")
        name, key = ("full-search", "symbol-lookup")[number % 2], int(self.rng.paretovariate(0.9)) % 400
        connection.sent_at = time.monotonic()
        connection.send(b"POST /%s?key=k%d HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t%d\r\nX-Qos: %s\r\n"
                 b"X-Expires-In: 5000m\r\nContent-Length: 200\r\n\r\n%s" % (
                     name.encode(), key, number, name.encode(), b"q" * 200))

    def _answer(self, connection: StubConnection) -> None:
        head, found, rest = connection.received.partition(b"\r\n\r\n")
        if not found:
            return
        length = int(next((line.split(b":")[1] for line in head.split(b"\r\n")
                           if line.lower().startswith(b"content-length")), b"0"))
        if len(rest) < length:
            return
        connection.received = b""
        self.answered += 1
        self.failed += not head.startswith(b"HTTP/1.1 200")
        self.late += time.monotonic() - connection.sent_at > 5.0
        self.idle_connections.append(connection)

    # --- time ----------------------------------------------------------------------------------------

    def schedule(self, delay_s: float, function: Callable[[], None]) -> None:
        """Calls a function after a delay."""
        self.sequence += 1
        heapq.heappush(self.timers, (time.monotonic() + delay_s, self.sequence, function))

    def poll(self, max_wait_s: float) -> None:
        """Runs the timers that are due, then waits up to `max_wait_s` for sockets and handles them."""
        now = time.monotonic()
        while self.timers and self.timers[0][0] <= now:
            heapq.heappop(self.timers)[2]()
        wait = min(max_wait_s, max(0.0, self.timers[0][0] - now)) if self.timers else max_wait_s
        for key, _ in self.selector.select(wait):
            key.data()

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Runs the event loop for `seconds`, or until `until()` is true; returns whether it became true."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if until():
                return True
            self.poll(min(0.05, max(0.0, end - time.monotonic())))
        return until()

    # --- the node ------------------------------------------------------------------------------------

    @contextlib.contextmanager
    def node(self, **changes: Any) -> Iterator[Node]:
        """Runs the node as a process with all stub workers in `known`; kills it at the end of the block."""
        with tempfile.TemporaryDirectory() as folder:
            node = Node(Path(folder), self, changes)
            try:
                yield node
            finally:
                node.process.kill()
                node.process.wait()
                for key in list(self.selector.get_map().values()):
                    with contextlib.suppress(OSError):
                        key.fileobj.close()  # type: ignore[union-attr]
                self.selector.close()


class Node:
    """The real node as a process; its figures come from the operating system."""

    def __init__(self, folder: Path, peers: StubPeers, changes: dict[str, Any]) -> None:
        self.peers, self.port, self.admin = peers, free_port(), free_port()
        config = json.loads(SETTINGS.read_text())
        settings = {**config["settings"], "fleetSize": 200, "locality": "z0", **changes.pop("settings", {})}
        edge = changes.pop("edge", None)
        self.config = {**config, "listen": f"127.0.0.1:{self.port}", "admin": f"127.0.0.1:{self.admin}",
                       "discovery": f"127.0.0.1:{peers.discovery}", "settings": settings,
                       "known": {"rev": peers.revision, "all": True, "targets": peers.rows}, **changes}
        self.file = folder / "config.json"
        self.file.write_text(json.dumps(self.config))
        command = [sys.executable, "-m", "arrowfold"]
        if edge is not None:
            self.edge_file = folder / "edge.kdl"
            self.edge_file.write_text(edge)
            command += ["run", str(self.edge_file)]
        self.started_s = time.monotonic()
        self.process = subprocess.Popen(
            command, cwd=ROOT, stderr=subprocess.DEVNULL,
            env={**os.environ, "EDGE_CONFIG": str(self.file), "TMPDIR": str(folder)})

    def fetch(self, path: str) -> tuple[int, bytes] | None:
        """Gets a path from the node while the stub peers keep running.

        Returns the status and the body; None if the node does not answer.
        """
        try:
            sock = socket.create_connection(("127.0.0.1", self.port), timeout=TIMEOUT_S)
        except OSError:
            return None
        sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        sock.setblocking(False)
        received, end = b"", time.monotonic() + TIMEOUT_S
        with sock:
            while time.monotonic() < end:
                try:
                    data = sock.recv(65536)
                    received += data
                    if not data:
                        break
                except BlockingIOError:
                    self.peers.poll(0.002)
                except OSError:
                    break
        head, _, body = received.partition(b"\r\n\r\n")
        return (int(head.split()[1]), body) if head else None

    def counters(self) -> dict[str, int]:
        """Returns the node's counters, empty if it does not answer."""
        found = self.fetch("/counters")
        counters: dict[str, int] = json.loads(found[1]) if found else {}
        return counters

    def ready(self) -> float:
        """Waits until the node is ready; returns the seconds since its start."""
        while time.monotonic() - self.started_s < TIMEOUT_S:
            found = self.fetch("/health/ready")
            if found is not None and found[0] == 200:
                return time.monotonic() - self.started_s
            self.peers.run(0.005)
        raise TimeoutError("the node did not become ready")

    def admin_response_s(self, line: str) -> float:
        """Sends a command to the admin address; returns the seconds until the answer."""
        started_s = time.monotonic()
        sock = socket.create_connection(("127.0.0.1", self.admin), timeout=TIMEOUT_S)
        with sock:
            sock.sendall(line.encode() + b"\n")
            sock.setblocking(False)
            while time.monotonic() - started_s < TIMEOUT_S:
                try:
                    sock.recv(4096)
                    break
                except BlockingIOError:
                    self.peers.poll(0.0005)
        return time.monotonic() - started_s

    def cpu_seconds(self) -> float:
        """Returns the processor seconds used so far."""
        row = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(row[11]) + int(row[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Returns the resident memory in megabytes."""
        row = next(line for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
                   if line.startswith("VmRSS"))
        return int(row.split()[1]) * 1024 / 1e6

    def descriptor_count(self) -> int:
        """Returns the number of open file descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))
