"""Runs the program as a process with a configuration file of its own, as the platform starts it."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

from arrowfold.standins.servers import TIMEOUT_S, eventually, free_port

ROOT = Path(__file__).parent.parent.parent


def request_class(
        name: str, effect: str = "safe", limit_ms: int = 20_000, objective_ms: int = 5000) -> dict[str, Any]:
    """Returns the settings of a class: its idempotency, hard limit and latency objective."""
    return {"group": "all", "hardLimitUs": limit_ms * 1000, "idempotency": effect, "importance": 1.0,
            "lateShare": 0.2, "name": name, "onTimeUs": objective_ms * 1000, "stream": False,
            "windowUs": 7_500_000}


# Latency objectives and limits are generous, so that results do not depend on the machine's speed. Tests that
# wait for a limit to pass use QUICK of tests/edge.py.
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


class Node:
    """The program as a process: its configuration, admin port, counters and requests to it.

    `rows` are the workers of the static list and `edge` is the text of a KDL document. `changes` replace keys
    of the configuration, and `shell` replaces the command by a shell command. With `wait`, the constructor
    returns once the readiness check is answered or the process has ended.
    """

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
            self.edge_file = folder / "edge.kdl"
            self.edge_file.write_text(edge)
            command += ["run", str(self.edge_file)]
        environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        if discovery:
            environ["EDGE_DISCOVERY"] = discovery  # as the platform does, which never changes it afterwards
        self.process = subprocess.Popen(
            command if shell is None else ["/bin/sh", "-c", shell], cwd=ROOT,
            env={**environ, "EDGE_CONFIG": str(self.file), "TMPDIR": str(folder)},
            stderr=subprocess.PIPE, text=True)
        if wait:
            eventually(lambda: self.readiness_status() is not None or self.process.poll() is not None)

    def reload(self, text: str | None = None, **changes: Any) -> None:
        """Replace the configuration file and send SIGHUP, without waiting for the effect."""
        self.config |= changes
        new_file = self.file.with_suffix(".new")
        new_file.write_text(json.dumps(self.config) if text is None else text)
        new_file.replace(self.file)
        self.process.send_signal(signal.SIGHUP)

    def readiness_status(self) -> int | None:
        """Returns the status of the readiness check; None without an answer."""
        try:
            return self.get("/health/ready")[0]
        except OSError:
            return None

    def get(self, path: str) -> tuple[int, bytes]:
        """Send a GET request; returns the status and the body."""
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=TIMEOUT_S)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def counters(self) -> dict[str, int]:
        """Returns the node's counters by name."""
        counted: dict[str, int] = json.loads(self.get("/counters")[1])
        return counted

    def post(
            self, job: str, name: str = "search", body: bytes = b"q", expires: str = "20000m",
            connection: http.client.HTTPConnection | None = None, path: str | None = None,
            **headers: str | None,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Submit a job; returns the status, the body and the headers of its answer.

        `headers` are added or replace the usual ones, with `_` for `-`; None removes a header.
        """
        request_headers = {"X-Trace-Id": job, "X-Qos": name, "X-Expires-In": expires}
        if name == "record":
            request_headers["Idempotency-Key"] = f"key-{job}"
        for header, value in headers.items():
            request_headers.pop(header.replace("_", "-"), None)
            if value is not None:
                request_headers[header.replace("_", "-")] = value
        http_connection = (
            connection or http.client.HTTPConnection("127.0.0.1", self.port, timeout=TIMEOUT_S))
        try:
            http_connection.request("POST", path or f"/{name}?key=repo", body, request_headers)
            answer = http_connection.getresponse()
        except ConnectionError:
            # The node may close an idle connection while a request is sent on it; clients then repeat the
            # request on a new connection.
            http_connection.close()
            http_connection.request("POST", path or f"/{name}?key=repo", body, request_headers)
            answer = http_connection.getresponse()
        result = answer.status, answer.read(), {key.lower(): value for key, value in answer.getheaders()}
        if connection is None:
            http_connection.close()
        return result

    def call(self, line: str, end: bytes = b"\n") -> str:
        """Send a line to the admin port; returns the answer."""
        with socket.create_connection(("127.0.0.1", self.admin), timeout=TIMEOUT_S) as sock:
            sock.sendall(line.encode() + end)
            return b"".join(iter(lambda: sock.recv(4096), b"")).decode()

    def raw(self, data: bytes) -> bytes:
        """Send bytes; returns all that is received until the node closes the connection."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=TIMEOUT_S) as sock:
            sock.sendall(data)
            return b"".join(iter(lambda: sock.recv(65536), b""))

    def terminate(self) -> int:
        """Send SIGTERM and wait for the end; returns the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(TIMEOUT_S)

    def close(self) -> str:
        """Kill the process if it still runs; returns what it wrote to standard error."""
        if self.process.poll() is None:
            self.process.kill()
        if self.process.stderr is not None:
            self.log += self.process.stderr.read()
            self.process.stderr.close()
            self.process.stderr = None
        self.process.wait()
        return self.log
