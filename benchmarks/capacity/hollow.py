"""Hollow parts round a real node, in one process: hundreds of listening servers, a discovery, clients.

They speak the published protocol and keep nothing; each counts the bytes that pass. All on loopback.
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

RUN = 0.2  # seconds that a job runs, on average
LONG = 60.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(value: object) -> bytes:
    data = (b"" if value is None else json.dumps(value, separators=(",", ":")).encode()) + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


class Link:
    """One connection of the hollow side."""

    def __init__(self, field: Field, sock: socket.socket, kind: str) -> None:
        self.field, self.sock, self.kind, self.got = field, sock, kind, b""
        self.owner: Any = None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        field.selector.register(sock, selectors.EVENT_READ, self.ready)

    def ready(self) -> None:
        try:
            data = self.sock.recv(262144)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        self.field.bytes[self.kind + " from node"] += len(data)
        self.got += data
        self.field.read(self)

    def say(self, data: bytes) -> None:
        self.field.bytes[self.kind + " to node"] += len(data)
        self.sock.setblocking(True)
        with contextlib.suppress(OSError):
            self.sock.sendall(data)
        self.sock.setblocking(False)

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.field.selector.unregister(self.sock)
            self.sock.close()
        self.field.watches.discard(self)


class Field:
    """The hollow parts, and the node as a process among them."""

    def __init__(self, servers: int, seed: int, port: int | None = None) -> None:
        self.selector, self.dice = selectors.DefaultSelector(), Random(seed)
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.bytes: dict[str, int] = {f"{kind} {way} node": 0 for kind in ("server", "discovery", "client")
                                      for way in ("from", "to")}
        self.watches: set[Link] = set()
        self.free: list[Link] = []
        self.refusing = False  # discovery is down: who calls is reset
        self.pending: list[dict[str, Any]] = []  # what has changed since the last version that anybody has
        self.revision, self.answered, self.failed, self.late = 1, 0, 0, 0
        self.listeners: list[socket.socket] = []
        self.rows = [self._row(n, self._listen("server")) for n in range(servers)]
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
                Link(self, sock.accept()[0], kind)

        self.selector.register(sock, selectors.EVENT_READ, accept)
        port: int = sock.getsockname()[1]
        return port

    def _row(self, number: int, port: int) -> dict[str, Any]:
        return {"uid": f"s-{self.dice.getrandbits(32):08x}", "endpoint": f"127.0.0.1:{port}",
                "az": f"z{number % ZONES}", "model": f"m{number // ZONES % 2}", "pod_group": number % 7,
                "state": "SERVING", "capacity_hint": 1.0, "boot_ms": 0}

    # --- what the node says --------------------------------------------------------------------------

    def read(self, link: Link) -> None:
        if link.kind == "client":
            self._answer(link)
            return
        while b"\r\n\r\n" in link.got:
            head, _, rest = link.got.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
            length = int(headers.get("content-length", "0"))
            if len(rest) < length:
                return
            link.got = rest[length:]
            if link.kind == "discovery":
                self._watch(link, lines[0])
            else:
                self._work(link, lines[0], headers)

    def _watch(self, link: Link, line: str) -> None:
        if self.refusing:
            link.close()
            return
        if self.pending:
            first: dict[str, Any] = {"rev": self.revision, "all": False, "targets": self.pending}
        elif f"since={self.revision} " in line:
            first = {"rev": self.revision, "all": False, "targets": []}
        else:
            first = {"rev": self.revision, "all": True, "targets": self.rows}
        link.say(HEAD + chunk(first))
        self.watches.add(link)

        def alive() -> None:
            if link in self.watches:
                link.say(chunk(None))
                self.later(2.0, alive)

        self.later(2.0, alive)

    def _work(self, link: Link, line: str, headers: dict[str, str]) -> None:
        load = {"rif": 3, "x0": 2}
        if line.startswith("GET"):
            body = json.dumps(load).encode()
            link.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            return
        job = headers["x-trace-id"]
        link.say(HEAD + chunk({"id": job, "state": "started"}))

        def done() -> None:
            if link.sock.fileno() >= 0:
                link.say(chunk({"id": job, "state": "done", "result": "r" * 200, "load": load}))
                link.say(b"0\r\n\r\n")

        self.later(self.dice.expovariate(1 / RUN), done)

    def tell(self, rows: list[dict[str, Any]], whole: bool = False) -> None:
        """A change of the list, or all of it, to all watches."""
        self.revision += 1
        for link in list(self.watches):
            link.say(chunk({"rev": self.revision, "all": whole, "targets": rows}))

    # --- clients -------------------------------------------------------------------------------------

    def hand_in(self, port: int, number: int) -> None:
        """A client's job, on a connection that is free."""
        if self.free:
            link = self.free.pop()
        else:
            link = Link(self, socket.create_connection(("127.0.0.1", port), timeout=LONG), "client")
        name, key = ("full-search", "symbol-lookup")[number % 2], int(self.dice.paretovariate(0.9)) % 400
        link.owner = time.monotonic()
        link.say(b"POST /%s?key=k%d HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t%d\r\nX-Qos: %s\r\n"
                 b"X-Expires-In: 5000m\r\nContent-Length: 200\r\n\r\n%s" % (
                     name.encode(), key, number, name.encode(), b"q" * 200))

    def _answer(self, link: Link) -> None:
        head, found, rest = link.got.partition(b"\r\n\r\n")
        if not found:
            return
        length = int(next((line.split(b":")[1] for line in head.split(b"\r\n")
                           if line.lower().startswith(b"content-length")), b"0"))
        if len(rest) < length:
            return
        link.got = b""
        self.answered += 1
        self.failed += not head.startswith(b"HTTP/1.1 200")
        self.late += time.monotonic() - link.owner > 5.0
        self.free.append(link)

    # --- time ----------------------------------------------------------------------------------------

    def later(self, delay: float, call: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.timers, (time.monotonic() + delay, self.sequence, call))

    def turn(self, most: float) -> None:
        now = time.monotonic()
        while self.timers and self.timers[0][0] <= now:
            heapq.heappop(self.timers)[2]()
        wait = min(most, max(0.0, self.timers[0][0] - now)) if self.timers else most
        for key, _ in self.selector.select(wait):
            key.data()

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Let time pass; whether `until` came true."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if until():
                return True
            self.turn(min(0.05, max(0.0, end - time.monotonic())))
        return until()

    # --- the node ------------------------------------------------------------------------------------

    @contextlib.contextmanager
    def node(self, **changes: Any) -> Iterator[Node]:
        """The program as a process, with all these servers in `known`; it ends with the block."""
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
    """The real node. Its figures come from the system."""

    def __init__(self, folder: Path, field: Field, changes: dict[str, Any]) -> None:
        self.field, self.port, self.admin = field, free_port(), free_port()
        config = json.loads(SETTINGS.read_text())
        settings = {**config["settings"], "fleetSize": 200, "locality": "z0", **changes.pop("settings", {})}
        edge = changes.pop("edge", None)
        self.config = {**config, "listen": f"127.0.0.1:{self.port}", "admin": f"127.0.0.1:{self.admin}",
                       "discovery": f"127.0.0.1:{field.discovery}", "settings": settings,
                       "known": {"rev": field.revision, "all": True, "targets": field.rows}, **changes}
        self.file = folder / "config.json"
        self.file.write_text(json.dumps(self.config))
        command = [sys.executable, "-m", "arrowfold"]
        if edge is not None:
            self.edge_file = folder / "edge.kdl"
            self.edge_file.write_text(edge)
            command += ["run", str(self.edge_file)]
        self.begun = time.monotonic()
        self.process = subprocess.Popen(
            command, cwd=ROOT, stderr=subprocess.DEVNULL,
            env={**os.environ, "EDGE_CONFIG": str(self.file), "TMPDIR": str(folder)})

    def page(self, path: str) -> tuple[int, bytes] | None:
        """A page of the node's; the hollow parts go on meanwhile."""
        try:
            sock = socket.create_connection(("127.0.0.1", self.port), timeout=LONG)
        except OSError:
            return None
        sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        sock.setblocking(False)
        got, end = b"", time.monotonic() + LONG
        with sock:
            while time.monotonic() < end:
                try:
                    data = sock.recv(65536)
                    got += data
                    if not data:
                        break
                except BlockingIOError:
                    self.field.turn(0.002)
                except OSError:
                    break
        head, _, body = got.partition(b"\r\n\r\n")
        return (int(head.split()[1]), body) if head else None

    def counters(self) -> dict[str, int]:
        found = self.page("/counters")
        counted: dict[str, int] = json.loads(found[1]) if found else {}
        return counted

    def ready(self) -> float:
        """Seconds from exec to the first yes of readiness."""
        while time.monotonic() - self.begun < LONG:
            found = self.page("/health/ready")
            if found is not None and found[0] == 200:
                return time.monotonic() - self.begun
            self.field.run(0.005)
        raise TimeoutError("the node never got ready")

    def ask(self, line: str) -> float:
        """Seconds until the second address has answered."""
        begun = time.monotonic()
        sock = socket.create_connection(("127.0.0.1", self.admin), timeout=LONG)
        with sock:
            sock.sendall(line.encode() + b"\n")
            sock.setblocking(False)
            while time.monotonic() - begun < LONG:
                try:
                    sock.recv(4096)
                    break
                except BlockingIOError:
                    self.field.turn(0.0005)
        return time.monotonic() - begun

    def cpu(self) -> float:
        """Processor seconds so far."""
        row = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(row[11]) + int(row[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self) -> float:
        """Resident megabytes."""
        row = next(line for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
                   if line.startswith("VmRSS"))
        return int(row.split()[1]) * 1024 / 1e6

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))
