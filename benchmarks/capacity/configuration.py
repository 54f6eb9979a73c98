"""Cost of a configuration reload in a running node: SIGHUP with up to 2,700 workers and 690 teams."""

from __future__ import annotations

import json
import signal
import time

from benchmarks.capacity.hollow import StubPeers
from benchmarks.capacity.quotas import REQUESTS_PER_HOUR, REQUESTS_PER_S, TEAMS_PER_ORGANISATION
from benchmarks.capacity.results import Figures

CHANGES = 5


def quota_document(teams: int, per_h: int) -> str:
    """Returns the quota document for so many teams, each with `per_h` requests an hour."""
    rows = ["quotas {"]
    for o in range(teams // TEAMS_PER_ORGANISATION):
        rows.append(
            f'    organisation "o{o}" {{\n        requests limit={REQUESTS_PER_HOUR * 10} per=(min)60')
        for t in range(TEAMS_PER_ORGANISATION):
            rows.append(f'        team "t{t}" {{\n            requests limit={REQUESTS_PER_S} per=(s)1\n'
                        f'            requests limit={per_h} per=(min)60\n        }}')
        rows.append("    }")
    return "\n".join([*rows, "}"]) + "\n"


def play(servers: int, teams: int, seed: int) -> Figures:
    """Measures five reloads by SIGHUP, each with changed limits, under 20 requests a second."""
    peers = StubPeers(servers, seed)
    with peers.node(edge=quota_document(teams, REQUESTS_PER_HOUR) if teams else "") as node:
        ready_s = node.ready()
        peers.run(3.0)
        request_count = [0]

        def arrive() -> None:
            request_count[0] += 1
            peers.send_request(node.port, request_count[0])
            peers.schedule(peers.rng.expovariate(20.0), arrive)

        arrive()
        peers.run(3.0)
        # The list is left out, as in a file that is distributed to all nodes.
        node.config["known"] = {"rev": 1, "all": True, "targets": []}
        text = json.dumps(node.config)
        spent_s, slowest_s, elapsed_s = [], 0.0, []
        for index in range(CHANGES):
            settings = node.config["settings"]
            settings["contract"]["answerSlackUs"] = 50_000 + index
            node.file.write_text(json.dumps(node.config))
            if teams:
                node.edge_file.write_text(quota_document(teams, REQUESTS_PER_HOUR + index + 1))
            reloads, cpu_before_s, started_s = (
                node.counters().get("reloads", 0), node.cpu_seconds(), time.monotonic())
            node.process.send_signal(signal.SIGHUP)
            slowest_s = max(slowest_s, node.admin_response_s("status"))
            peers.run(20.0, lambda reloads=reloads: node.counters().get("reloads", 0) > reloads)  # type: ignore[misc]
            elapsed_s.append(time.monotonic() - started_s)
            spent_s.append(node.cpu_seconds() - cpu_before_s)
            peers.run(0.5)
        size = len(text) + (len(quota_document(teams, REQUESTS_PER_HOUR)) if teams else 0)
        return {"cpu_ms": sorted(spent_s)[CHANGES // 2] * 1e3, "in_force_s": max(elapsed_s),
                "second_address_ms": slowest_s * 1e3, "late": float(peers.late), "bytes": float(size),
                "ready_s": ready_s, "memory_mb": node.memory_mb(), "refused": float(
                    node.counters().get("reloads_refused", 0))}
