"""Stand-ins for what a node talks to: search workers and discovery, as threaded HTTP servers on loopback.

They follow the published protocol and nothing of the program: a test, or a first try by hand, runs the real
node against them.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import queue
import socket
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

SLOW = 0.5  # seconds that a slow job runs
LONG = 20.0  # seconds that a stand-in waits for what must come; nothing is judged by it
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
    """A threaded HTTP server on a free port, or on the one that is asked for, closed with the test."""

    def __init__(self, handler: type[BaseHTTPRequestHandler], port: int = 0) -> None:
        self.handler = handler

        class Silent(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_: Any) -> None:
                pass

        self.http = Silent(("127.0.0.1", port), handler)
        self.address = f"127.0.0.1:{self.http.server_address[1]}"
        threading.Thread(target=self.http.serve_forever, args=(0.02,), daemon=True).start()

    def close(self) -> None:
        self.http.shutdown()
        self.http.server_close()


class Worker(Server):
    """A stand-in search worker.

    `behave` says per job how it ends: a state, a status, "reset", "mute" (not a word) or "slow".
    """

    def __init__(
            self, uid: str, behave: Callable[[str, int], str | int] = lambda job, nth: "done",
            zone: str = "a", kind: str = "m",
    ) -> None:
        self.uid, self.state, self.zone, self.kind, self.boot_ms = uid, "SERVING", zone, kind, 0
        self.load: dict[str, Any] = dict(LOAD)
        self.said: dict[str, Any] = {}  # what else its last line holds
        self.jobs: list[tuple[str, str, dict[str, str], bytes]] = []
        self.release = threading.Event()
        outer = self

        class Handler(Quiet):
            def do_GET(self) -> None:
                self.plain(200, json.dumps(outer.load).encode())

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
                if how == "mute":  # takes it and says nothing
                    outer.release.wait(LONG)
                    self.close_connection = True
                elif how == 503:
                    self.plain(503, X_Never_Ran="1")
                elif isinstance(how, int):
                    self.plain(how)
                else:
                    self.send_response(200)
                    self.send_header("Transfer-Encoding", "chunked")
                    self.end_headers()
                    self.chunk({"id": job, "state": "started"})
                    if how == "slow":
                        time.sleep(SLOW)
                        how = "done"
                    if how == "hold":
                        outer.release.wait(LONG)
                        how = "done"
                    if how == "reset":
                        self.connection.shutdown(socket.SHUT_RDWR)
                        self.close_connection = True
                        return
                    result = f"{outer.uid}:{job}"
                    self.chunk({"id": job, "from": outer.uid, "state": how, "result": result,
                                "load": outer.load, **outer.said})
                    self.say(b"0\r\n\r\n")

        super().__init__(Handler)

    def row(self, state: str | None = None) -> dict[str, Any]:
        return {"uid": self.uid, "endpoint": self.address, "az": self.zone, "model": self.kind,
                "pod_group": 0, "state": state or self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms}


class Discovery(Server):
    """A stand-in discovery: the whole list first, then what `tell` adds; `drop` ends the watches."""

    def __init__(self, rows: list[dict[str, Any]], held: bool = False, port: int = 0) -> None:
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

        super().__init__(Handler, port)

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


def eventually(condition: Callable[[], bool]) -> None:
    """Wait for what must come."""
    end = time.monotonic() + LONG
    while not condition():
        assert time.monotonic() < end, "it never came"
        time.sleep(0.01)
