"""Stand-ins for the node's tests: the real program as a process, and its clients, servers and discovery."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import json
import os
import queue
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
LONG = 20.0  # how long a test waits for what must come; nothing is judged by it


def request_class(
        name: str, effect: str = "safe", limit_ms: int = 20_000, aim_ms: int = 5000) -> dict[str, Any]:
    return {"group": "all", "hardLimitUs": limit_ms * 1000, "idempotency": effect, "importance": 1.0,
            "lateShare": 0.2, "name": name, "onTimeUs": aim_ms * 1000, "stream": False, "windowUs": 7_500_000}


# Wide aims and limits, so that a slow machine gives the same verdict; QUICK is for what waits for them.
SETTINGS: dict[str, Any] = {
    "classes": [request_class("search"), request_class("record", "keyed"), request_class("once", "unsafe")],
    "contract": {"answerSlackUs": 20000, "askWithinUs": 400_000, "coldFrom": 0.34, "coldUs": 9_000_000,
                 "overloadFactor": 3.0, "overloadForUs": 1_500_000, "stopSendingWithinUs": 1_000_000},
    "discovery": "subscribe", "fleetSize": 1, "locality": "a", "myNumber": 0, "tickUs": 5000,
    "domain": {"reportX0": "free slots", "tellsStart": True, "progressUs": 1_000_000},
    "permissions": {"cancel": True, "connIdleUs": 30_000_000, "connectTimeoutUs": 5_000_000, "sendCap": 4,
                    "maxRetryAfterUs": 2_000_000, "probes": True, "retryAfter": True, "secondCopies": True},
    "report": {"names": ["rif", "x0"], "source": "piggyback"},
}
QUICK = {**SETTINGS, "permissions": {**SETTINGS["permissions"], "connectTimeoutUs": 250_000}, "classes": [
    request_class("search", aim_ms=300), request_class("once", "unsafe", aim_ms=300)]}
LOAD = {"inflight": 1, "x0": 5}


class Quiet(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    cut = False  # whether every byte goes out by itself

    def log_message(self, *_: Any) -> None:
        pass

    def chunk(self, value: object) -> None:
        data = (json.dumps(value) if value is not None else "").encode() + b"\n"
        self.say(b"%x\r\n%s\r\n" % (len(data), data))

    def say(self, data: bytes) -> None:
        for part in [data[n:n + 1] for n in range(len(data))] if self.cut else [data]:
            self.wfile.write(part)

    def flush_headers(self) -> None:
        self.say(b"".join(getattr(self, "_headers_buffer", [])))
        self._headers_buffer: list[bytes] = []


class Server:
    """A threaded HTTP server on a free port, closed with the test."""

    def __init__(self, handler: type[BaseHTTPRequestHandler]) -> None:
        self.handler = handler

        class Silent(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_: Any) -> None:
                pass

        self.http = Silent(("127.0.0.1", 0), handler)
        self.address = f"127.0.0.1:{self.http.server_address[1]}"
        threading.Thread(target=self.http.serve_forever, args=(0.02,), daemon=True).start()

    def close(self) -> None:
        self.http.shutdown()
        self.http.server_close()


class Worker(Server):
    """A stand-in search worker. `behave` says per job how it ends: a state, a status, or "reset"."""

    def __init__(self, uid: str, behave: Callable[[str, int], str | int] = lambda job, nth: "done") -> None:
        self.uid, self.state = uid, "SERVING"
        self.jobs: list[tuple[str, str, dict[str, str], bytes]] = []
        self.release = threading.Event()
        outer = self

        class Handler(Quiet):
            def do_GET(self) -> None:
                self.plain(200, json.dumps(LOAD).encode())

            def plain(self, status: int, body: bytes = b"", **headers: str) -> None:
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name.replace("_", "-"), value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.say(body)

            def do_POST(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                job = self.headers["X-Trace-Id"]
                outer.jobs.append((job, self.path, {k.lower(): v for k, v in self.headers.items()}, body))
                how = behave(job, sum(row[0] == job for row in outer.jobs))
                if how == 503:
                    self.plain(503, X_Never_Ran="1")
                elif isinstance(how, int):
                    self.plain(how)
                else:
                    self.send_response(200)
                    self.send_header("Transfer-Encoding", "chunked")
                    self.end_headers()
                    self.chunk({"id": job, "state": "started"})
                    if how == "hold":
                        outer.release.wait(LONG)
                        how = "done"
                    if how == "reset":
                        self.connection.shutdown(socket.SHUT_RDWR)
                        self.close_connection = True
                        return
                    result = f"{outer.uid}:{job}"
                    self.chunk({"id": job, "from": outer.uid, "state": how, "result": result, "load": LOAD})
                    self.say(b"0\r\n\r\n")

        super().__init__(Handler)

    def row(self, state: str | None = None) -> dict[str, Any]:
        return {"uid": self.uid, "endpoint": self.address, "az": "a", "model": "m", "pod_group": 0,
                "state": state or self.state, "capacity_hint": 1.0, "boot_ms": 0}


class Discovery(Server):
    """A stand-in discovery: the whole list first, then what `tell` adds; `drop` ends the watches."""

    def __init__(self, rows: list[dict[str, Any]], held: bool = False) -> None:
        self.whole = threading.Event()  # with `held`, the list waits for it
        if not held:
            self.whole.set()
        self.asked: queue.Queue[str] = queue.Queue()
        self.changes: queue.Queue[dict[str, Any] | None] = queue.Queue()
        self.revision = 1
        outer = self

        class Handler(Quiet):
            def do_GET(self) -> None:
                outer.asked.put(self.path)
                outer.whole.wait(LONG)
                self.send_response(200)
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                self.chunk({"rev": outer.revision, "all": True, "targets": rows})
                while True:
                    try:
                        change = outer.changes.get(timeout=1)
                    except queue.Empty:
                        self.chunk(None)
                        continue
                    if change is None:
                        self.close_connection = True
                        self.connection.shutdown(socket.SHUT_RDWR)
                        return
                    self.chunk(change)

        super().__init__(Handler)

    def tell(self, *rows: dict[str, Any]) -> None:
        self.revision += 1
        self.changes.put({"rev": self.revision, "all": False, "targets": list(rows)})


_ports = itertools.count(18_000 + os.getpid() % 100 * 140)


def free_port() -> int:
    """A port below those that outgoing connections are given, so that none of them takes it first."""
    while True:
        port = 18_000 + (next(_ports) - 18_000) % 14_000
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


class Node:
    """The program as a process."""

    def __init__(
            self, folder: Path, rows: list[dict[str, Any]], discovery: str | None = None,
            edge: str | None = None, wait: bool = True, shell: str | None = None, port: int | None = None,
            **changes: Any,
    ) -> None:
        self.port, self.admin, self.log = port or free_port(), free_port(), ""
        config = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "1f",
                  "admin": f"127.0.0.1:{self.admin}",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": {"rev": 1, "all": True, "targets": rows}, "settings": SETTINGS, **changes}
        if discovery:
            config["discovery"] = discovery
        self.file, self.config = folder / f"config-{self.admin}.json", config
        self.file.write_text(json.dumps(config))
        command = [sys.executable, "-m", "arrowfold"]
        if edge is not None:
            (folder / "edge.toml").write_text(edge)
            command.append(str(folder / "edge.toml"))
        environ = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        if discovery:
            environ["EDGE_DISCOVERY"] = discovery  # as on the platform, where it stays what it was at start
        self.process = subprocess.Popen(
            command if shell is None else ["/bin/sh", "-c", shell], cwd=ROOT,
            env={**environ, "EDGE_CONFIG": str(self.file), "TMPDIR": str(folder)},
            stderr=subprocess.PIPE, text=True)
        if wait:
            eventually(lambda: self.answers_ready() is not None or self.process.poll() is not None)

    def reload(self, text: str | None = None, **changes: Any) -> None:
        """Replace the file and say so, without waiting for what comes of it."""
        self.config |= changes
        fresh = self.file.with_suffix(".new")
        fresh.write_text(json.dumps(self.config) if text is None else text)
        fresh.replace(self.file)
        self.process.send_signal(signal.SIGHUP)

    def answers_ready(self) -> int | None:
        try:
            return self.get("/health/ready")[0]
        except OSError:
            return None

    def get(self, path: str) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=LONG)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def counters(self) -> dict[str, int]:
        counted: dict[str, int] = json.loads(self.get("/counters")[1])
        return counted

    def post(
            self, job: str, name: str = "search", body: bytes = b"q", expires: str = "20000m",
            connection: http.client.HTTPConnection | None = None, path: str | None = None,
            **headers: str | None,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Hand in a job; status, body and headers of its answer."""
        rows = {"X-Trace-Id": job, "X-Qos": name, "X-Expires-In": expires}
        if name == "record":
            rows["Idempotency-Key"] = f"key-{job}"
        for header, value in headers.items():
            rows.pop(header.replace("_", "-"), None)
            if value is not None:
                rows[header.replace("_", "-")] = value
        own = connection or http.client.HTTPConnection("127.0.0.1", self.port, timeout=LONG)
        try:
            own.request("POST", path or f"/{name}?key=repo", body, rows)
            answer = own.getresponse()
        except ConnectionError:
            # As clients do when a node closes an idle connection under a request: once more, on a new one.
            own.close()
            own.request("POST", path or f"/{name}?key=repo", body, rows)
            answer = own.getresponse()
        result = answer.status, answer.read(), {k.lower(): v for k, v in answer.getheaders()}
        if connection is None:
            own.close()
        return result

    def call(self, line: str, end: bytes = b"\n") -> str:
        """An operator's call, and its answer."""
        with socket.create_connection(("127.0.0.1", self.admin), timeout=LONG) as sock:
            sock.sendall(line.encode() + end)
            return b"".join(iter(lambda: sock.recv(4096), b"")).decode()

    def raw(self, data: bytes) -> bytes:
        """Send bytes, and return all that comes until the node closes."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=LONG) as sock:
            sock.sendall(data)
            return b"".join(iter(lambda: sock.recv(65536), b""))

    def terminate(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(LONG)

    def close(self) -> str:
        if self.process.poll() is None:
            self.process.kill()
        if self.process.stderr is not None:
            self.log += self.process.stderr.read()
            self.process.stderr.close()
            self.process.stderr = None
        self.process.wait()
        return self.log


def eventually(condition: Callable[[], bool]) -> None:
    """Wait for what must come."""
    end = time.monotonic() + LONG
    while not condition():
        assert time.monotonic() < end, "it never came"
        time.sleep(0.01)


class EdgeCase(unittest.TestCase):
    """Starts what a test needs and closes it afterwards."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def worker(self, uid: str, behave: Callable[[str, int], str | int] = lambda job, nth: "done") -> Worker:
        worker = Worker(uid, behave)
        self.addCleanup(worker.close)
        self.addCleanup(worker.release.set)
        return worker

    def discovery(self, *workers: Worker) -> Discovery:
        discovery = Discovery([worker.row() for worker in workers])
        self.addCleanup(discovery.close)
        return discovery

    def node(self, *workers: Worker, **options: Any) -> Node:
        rows = [worker.row() for worker in workers]
        node = Node(self.folder, rows, **options)
        self.addCleanup(node.close)
        return node


def in_threads(calls: list[Callable[[], Any]]) -> Iterator[Any]:
    """The results of calls made at the same time, in their order."""
    results: list[Any] = [None] * len(calls)

    def run(place: int) -> None:
        try:
            results[place] = calls[place]()
        except Exception as error:
            results[place] = error

    threads = [threading.Thread(target=run, args=(place,)) for place in range(len(calls))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(LONG)
    yield from results
