"""`arrowfold try`: a node among stand-ins, a mix of jobs over both wires, and what came of them.

`arrowfold standins`: the stand-ins alone, for a node that is started by hand.
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

CLASSES = (("full-search", "safe"), ("symbol-lookup", "safe"), ("commit-record", "keyed"))
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
    """One run; `say` gets each line."""

    def __init__(self, say: Callable[[str], None]) -> None:
        self.say = say

    def run(self, jobs: int) -> int:
        """Exit code 0 if every job had its one answer."""
        workers = [Worker(f"search-{n}", zone=zone) for n, zone in enumerate("aab", 1)]
        discovery = Discovery([worker.row() for worker in workers])
        with tempfile.TemporaryDirectory() as folder:
            port = free_port()
            classes = [request_class(name, effect) for name, effect in CLASSES]
            node = Node(
                Path(folder), [worker.row() for worker in workers], discovery=discovery.address,
                edge=DOCUMENT.format(port=port), settings={**SETTINGS, "classes": classes})
            try:
                eventually(lambda: node.answers_ready() == 200)
                self.say(f"a node on 127.0.0.1:{node.port} (HTTP) and 127.0.0.1:{port} (Faktory), "
                         f"{len(workers)} stand-in search workers, a stand-in discovery")
                answered = sum(self._http(node, n) if n % 2 else self._faktory(port, n) for n in range(jobs))
                for name, count in sorted(node.counters().items()):
                    self.say(f"  {name:28} {count}")
                code = node.terminate()
                self.say(f"{answered} of {jobs} jobs answered; the node ended with exit code {code}")
                return 0 if answered == jobs and code == 0 else 1
            finally:
                log = node.close()
                if node.process.returncode:
                    self.say(log)
                for server in (discovery, *workers):
                    server.close()

    def _http(self, node: Node, number: int) -> bool:
        name, headers = CLASSES[number % len(CLASSES)][0], {}
        if number % 4 == 1:
            headers["X_Region"] = "west"
        if number % 8 == 7:
            headers["X_Customer"] = "blocked"
        if name == "commit-record":
            headers["Idempotency_Key"] = f"key-{number}"
        status, body, answer = node.post(f"job-{number}", name, **headers)  # type: ignore[arg-type]
        after = f", come back after {answer['retry-after']} s" if "retry-after" in answer else ""
        self.say(f"HTTP     {name:14} job-{number}: {status} {body.decode().strip()}{after}")
        return status in (200, 503)

    def _faktory(self, port: int, number: int) -> bool:
        name = CLASSES[number % len(CLASSES)][0]
        producer = Client(port)
        try:
            reply = producer.push(f"job-{number}", name, custom={"region": "west"})
        finally:
            producer.close()
        self.say(f"Faktory  {name:14} job-{number}: {reply}")
        return reply.startswith("+OK") or reply.startswith("-ERR denied")


class StandIns:
    """Discovery and search workers for one node's configuration.

    OSError where the address is taken; ValueError where the configuration is none, or not on loopback.
    """

    def __init__(self, config: Path, workers: int) -> None:
        conf = json.loads(config.read_text(encoding="utf-8"))
        if not isinstance(conf, dict):
            raise ValueError("not an object")
        host, port = parse_address(str(os.environ.get("EDGE_DISCOVERY") or conf.get("discovery")))
        if host != "127.0.0.1":
            raise ValueError(f"discovery: stand-ins listen on 127.0.0.1 only, not on {host}")
        self.listen = os.environ.get("EDGE_LISTEN") or conf.get("listen")
        zones = (conf.get("settings") or {}).get("failureDomains") or ["cardiff", "newport", "bridgend"]
        self.workers = [Worker(f"search-{n}", zone=zones[n % len(zones)]) for n in range(workers)]
        self.discovery = Discovery([worker.row() for worker in self.workers], port=port)

    def how_to(self) -> str:
        """One line that says how to hand the node a job."""
        return (f"send it a job: curl -d query -H 'X-Trace-Id: job-1' -H 'X-Qos: symbol-lookup' "
                f"-H 'X-Expires-In: 5000m' 'http://{self.listen}/symbol-lookup?key=repo'")

    def stay(self) -> None:
        """Serve until a signal, or until the program that started this one is gone."""
        ended: list[int] = []
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda which, _: ended.append(which))
        parent = os.getppid()
        while not ended and os.getppid() == parent:
            time.sleep(0.1)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.SIG_IGN)  # caught ones get their default back at the end
        for server in (self.discovery, *self.workers):
            server.close()
