"""`arrowfold try`: runs a node with stand-in workers, submits requests over HTTP and Faktory, shows results.

`arrowfold standins`: runs only the stand-ins, for a node that is started separately.
"""

from __future__ import annotations

import json
import os
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from arrowfold.protocol.http import parse_address
from arrowfold.standins.process import SETTINGS, Node, request_class
from arrowfold.standins.producers import Client
from arrowfold.standins.servers import Discovery, Worker, eventually, free_port

REQUEST_CLASSES = (("full-search", "safe"), ("symbol-lookup", "safe"), ("commit-record", "keyed"))
DOCUMENT = """
faktory {{
    listen "127.0.0.1:{port}"
}}
region "west" zones="a"
routes {{
    rule "what the west asks for" {{
        region "west"
        prefer "west"
    }}
    rule "none from the test network" {{
        tenant "blocked"
        deny retry-after=(s)1
    }}
}}
"""


class Trial:
    """One run of `arrowfold try`; `print_line` is called with each line of output."""

    def __init__(self, print_line: Callable[[str], None]) -> None:
        self.print_line = print_line

    def run(self, jobs: int) -> int:
        """Submits so many requests; returns exit code 0 if all were answered and the node ended with 0."""
        workers = [Worker(f"search-{n}", zone=zone) for n, zone in enumerate("aab", 1)]
        discovery = Discovery([worker.row() for worker in workers])
        with tempfile.TemporaryDirectory() as folder:
            port = free_port()
            classes = [request_class(name, idempotency) for name, idempotency in REQUEST_CLASSES]
            node = Node(
                Path(folder), [worker.row() for worker in workers], discovery=discovery.address,
                edge=DOCUMENT.format(port=port), settings={**SETTINGS, "classes": classes})
            try:
                eventually(lambda: node.readiness_status() == 200)
                self.print_line(f"a node on 127.0.0.1:{node.port} (HTTP) and 127.0.0.1:{port} (Faktory), "
                                f"{len(workers)} stand-in search workers, a stand-in discovery")
                answered = sum(
                    self._submit_http(node, n) if n % 2 else self._submit_faktory(port, n)
                    for n in range(jobs))
                for name, count in sorted(node.counters().items()):
                    self.print_line(f"  {name:28} {count}")
                code = node.terminate()
                self.print_line(f"{answered} of {jobs} jobs answered; the node ended with exit code {code}")
                return 0 if answered == jobs and code == 0 else 1
            finally:
                log = node.close()
                if node.process.returncode:
                    self.print_line(log)
                for server in (discovery, *workers):
                    server.close()

    def _submit_http(self, node: Node, number: int) -> bool:
        name, headers = REQUEST_CLASSES[number % len(REQUEST_CLASSES)][0], {}
        if number % 4 == 1:
            headers["X_Region"] = "west"
        if number % 8 == 7:
            headers["X_Customer"] = "blocked"
        if name == "commit-record":
            headers["Idempotency_Key"] = f"key-{number}"
        status, body, answer = node.post(f"job-{number}", name, **headers)  # type: ignore[arg-type]
        retry_after = f", come back after {answer['retry-after']} s" if "retry-after" in answer else ""
        self.print_line(f"HTTP     {name:14} job-{number}: {status} {body.decode().strip()}{retry_after}")
        return status in (200, 503)

    def _submit_faktory(self, port: int, number: int) -> bool:
        name = REQUEST_CLASSES[number % len(REQUEST_CLASSES)][0]
        producer = Client(port)
        try:
            reply = producer.push(f"job-{number}", name, custom={"region": "west"})
        finally:
            producer.close()
        self.print_line(f"Faktory  {name:14} job-{number}: {reply}")
        return reply.startswith("+OK") or reply.startswith("-ERR denied")


class StandIns:
    """A stand-in discovery service and stand-in search workers for one node's configuration.

    Raises OSError if the address is in use, ValueError if the configuration is invalid or not on loopback.
    """

    def __init__(self, config: Path, workers: int) -> None:
        conf = json.loads(config.read_text(encoding="utf-8"))
        if not isinstance(conf, dict):
            raise ValueError("not a JSON object")
        host, port = parse_address(str(os.environ.get("EDGE_DISCOVERY") or conf.get("discovery")))
        if host != "127.0.0.1":
            raise ValueError(f"discovery: stand-ins listen on 127.0.0.1 only, not on {host}")
        self.listen = os.environ.get("EDGE_LISTEN") or conf.get("listen")
        zones = (conf.get("settings") or {}).get("failureDomains") or ["cardiff", "newport", "bridgend"]
        self.workers = [Worker(f"search-{n}", zone=zones[n % len(zones)]) for n in range(workers)]
        self.discovery = Discovery([worker.row() for worker in self.workers], port=port)

    def usage_hint(self) -> str:
        """Returns a line with a command that submits a request to the node."""
        return (f"send it a job: curl -d query -H 'X-Trace-Id: job-1' -H 'X-Qos: symbol-lookup' "
                f"-H 'X-Expires-In: 5000m' 'http://{self.listen}/symbol-lookup?key=repo'")

    def serve(self) -> None:
        """Serves until SIGTERM or SIGINT, or until the parent process has ended."""
        received_signals: list[int] = []
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda received, _: received_signals.append(received))
        parent = os.getppid()
        while not received_signals and os.getppid() == parent:
            time.sleep(0.1)
        for number in (signal.SIGTERM, signal.SIGINT):
            # On exit the interpreter restores the default action of handled signals, but not of ignored ones.
            signal.signal(number, signal.SIG_IGN)
        for server in (self.discovery, *self.workers):
            server.close()
