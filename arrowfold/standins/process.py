"""The program as a process, with a configuration of its own, as the platform would start it."""

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

from arrowfold.standins.servers import LONG, eventually, free_port

ROOT = Path(__file__).parent.parent.parent


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
            self.edge_file = folder / "edge.kdl"
            self.edge_file.write_text(edge)
            command += ["run", str(self.edge_file)]
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
