"""Stand-ins for the peers of a node: search workers and discovery, as threaded HTTP servers on loopback.

They implement the published protocol independently of the program's code. Tests and `arrowfold try` run the
real node against them.
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

SLOW_JOB_S = 0.5
TIMEOUT_S = 20.0  # timeout of each wait for something that must happen; no result depends on it
LOAD = {"inflight": 1, "x0": 5}  # load report of a worker


class QuietHandler(BaseHTTPRequestHandler):
    """A request handler that logs nothing and writes chunked bodies, one JSON value per chunk."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    writes_single_bytes = False  # whether each byte is written separately

    def log_message(self, *_: Any) -> None:
        pass

    def chunk(self, value: object) -> None:
        """Write one chunk: a line of JSON, or an empty line for None."""
        data = (json.dumps(value) if value is not None else "").encode() + b"\n"
        self.send_bytes(b"%x\r\n%s\r\n" % (len(data), data))

    def send_bytes(self, data: bytes) -> None:
        """Write bytes to the connection, one by one if `writes_single_bytes` is set."""
        for part in [data[n:n + 1] for n in range(len(data))] if self.writes_single_bytes else [data]:
            self.wfile.write(part)

    def flush_headers(self) -> None:
        self.send_bytes(b"".join(getattr(self, "_headers_buffer", [])))
        self._headers_buffer: list[bytes] = []


class Server:
    """A threaded HTTP server on the given port of the loopback address, or on a free one for port 0."""

    def __init__(self, handler: type[BaseHTTPRequestHandler], port: int = 0) -> None:
        self.handler = handler

        class SilentHTTPServer(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_: Any) -> None:
                pass

        self.http = SilentHTTPServer(("127.0.0.1", port), handler)
        self.address = f"127.0.0.1:{self.http.server_address[1]}"
        threading.Thread(target=self.http.serve_forever, args=(0.02,), daemon=True).start()

    def close(self) -> None:
        self.http.shutdown()
        self.http.server_close()


class Worker(Server):
    """A stand-in search worker.

    `behave` is called with a job's id and the number of times that the job was received. It returns the
    outcome of the request: an HTTP status, a state of the result, or one of

    - "mute": no answer; the connection is closed once `release` is set;
    - "slow": done after SLOW_JOB_S;
    - "hold": started, and done once `release` is set;
    - "reset": started, and then the connection is shut down.

    `jobs` are the requests received: id, path, headers with names in lower case, and body.
    """

    def __init__(
            self, uid: str, behave: Callable[[str, int], str | int] = lambda job, nth: "done",
            zone: str = "a", kind: str = "m",
    ) -> None:
        self.uid, self.state, self.zone, self.kind, self.boot_ms = uid, "SERVING", zone, kind, 0
        self.load: dict[str, Any] = dict(LOAD)
        self.said: dict[str, Any] = {}  # additional fields of an answer's last line
        self.jobs: list[tuple[str, str, dict[str, str], bytes]] = []
        self.release = threading.Event()
        outer = self

        class Handler(QuietHandler):
            def do_GET(self) -> None:
                self.plain(200, json.dumps(outer.load).encode())

            def plain(self, status: int, body: bytes = b"", **headers: str) -> None:
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name.replace("_", "-"), value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.send_bytes(body)

            def do_POST(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                job = self.headers["X-Trace-Id"]
                outer.jobs.append((job, self.path, {k.lower(): v for k, v in self.headers.items()}, body))
                outcome = behave(job, sum(row[0] == job for row in outer.jobs))
                if outcome == "mute":
                    outer.release.wait(TIMEOUT_S)
                    self.close_connection = True
                elif outcome == 503:
                    self.plain(503, X_Never_Ran="1")
                elif isinstance(outcome, int):
                    self.plain(outcome)
                else:
                    self.send_response(200)
                    self.send_header("Transfer-Encoding", "chunked")
                    self.end_headers()
                    self.chunk({"id": job, "state": "started"})
                    if outcome == "slow":
                        time.sleep(SLOW_JOB_S)
                        outcome = "done"
                    if outcome == "hold":
                        outer.release.wait(TIMEOUT_S)
                        outcome = "done"
                    if outcome == "reset":
                        self.connection.shutdown(socket.SHUT_RDWR)
                        self.close_connection = True
                        return
                    result = f"{outer.uid}:{job}"
                    self.chunk({"id": job, "from": outer.uid, "state": outcome, "result": result,
                                "load": outer.load, **outer.said})
                    self.send_bytes(b"0\r\n\r\n")

        super().__init__(Handler)

    def row(self, state: str | None = None) -> dict[str, Any]:
        """Returns the worker's entry in a discovery list."""
        return {"uid": self.uid, "endpoint": self.address, "az": self.zone, "model": self.kind,
                "pod_group": 0, "state": state or self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms}


class Discovery(Server):
    """A stand-in discovery: sends the complete list first, then the changes that `send_changes` queues.

    With `held`, the list is not sent before `list_released` is set. None in the queue `changes` ends a watch.
    """

    def __init__(self, rows: list[dict[str, Any]], held: bool = False, port: int = 0) -> None:
        self.list_released = threading.Event()
        if not held:
            self.list_released.set()
        self.asked: queue.Queue[str] = queue.Queue()  # paths of the requests received
        self.changes: queue.Queue[dict[str, Any] | None] = queue.Queue()
        self.revision = 1
        outer = self

        class Handler(QuietHandler):
            def do_GET(self) -> None:
                outer.asked.put(self.path)
                outer.list_released.wait(TIMEOUT_S)
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

    def send_changes(self, *rows: dict[str, Any]) -> None:
        """Queue a change of the list, under the next revision."""
        self.revision += 1
        self.changes.put({"rev": self.revision, "all": False, "targets": list(rows)})


_ports = itertools.count(18_000 + os.getpid() % 100 * 140)


def free_port() -> int:
    """Returns a free port below the ephemeral range, so that no outgoing connection can take it first."""
    while True:
        port = 18_000 + (next(_ports) - 18_000) % 14_000
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


def eventually(condition: Callable[[], bool]) -> None:
    """Wait until the condition is true; fails after TIMEOUT_S seconds."""
    end = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end, "the condition did not become true in time"
        time.sleep(0.01)
