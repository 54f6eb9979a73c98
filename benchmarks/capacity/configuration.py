"""What a new configuration costs a running node: SIGHUP with 2,700 servers and 690 teams."""

from __future__ import annotations

import json
import signal
import time

from benchmarks.capacity.hollow import Field
from benchmarks.capacity.quotas import PER_H, PER_S, TEAMS_OF_ONE
from benchmarks.capacity.results import Figures

CHANGES = 5


def document(teams: int, per_h: int) -> str:
    """The quotas of so many teams, as a deployment's document."""
    rows = ["quotas {"]
    for o in range(teams // TEAMS_OF_ONE):
        rows.append(f'    organisation "o{o}" {{\n        requests limit={PER_H * 10} per=(min)60')
        for t in range(TEAMS_OF_ONE):
            rows.append(f'        team "t{t}" {{\n            requests limit={PER_S} per=(s)1\n'
                        f'            requests limit={per_h} per=(min)60\n        }}')
        rows.append("    }")
    return "\n".join([*rows, "}"]) + "\n"


def play(servers: int, teams: int, seed: int) -> Figures:
    """Five SIGHUPs, each with one limit more; jobs go on at 20 a second."""
    field = Field(servers, seed)
    with field.node(edge=document(teams, PER_H) if teams else "") as node:
        ready = node.ready()
        field.run(3.0)
        jobs = [0]

        def arrive() -> None:
            jobs[0] += 1
            field.hand_in(node.port, jobs[0])
            field.later(field.dice.expovariate(20.0), arrive)

        arrive()
        field.run(3.0)
        node.config["known"] = {"rev": 1, "all": True, "targets": []}  # what whoever hands it out would send
        text = json.dumps(node.config)
        spent, slowest, took = [], 0.0, []
        for nth in range(CHANGES):
            settings = node.config["settings"]
            settings["contract"]["answerSlackUs"] = 50_000 + nth
            node.file.write_text(json.dumps(node.config))
            if teams:
                node.edge_file.write_text(document(teams, PER_H + nth + 1))
            reloads, before, begun = node.counters().get("reloads", 0), node.cpu(), time.monotonic()
            node.process.send_signal(signal.SIGHUP)
            slowest = max(slowest, node.ask("status"))
            field.run(20.0, lambda reloads=reloads: node.counters().get("reloads", 0) > reloads)  # type: ignore[misc]
            took.append(time.monotonic() - begun)
            spent.append(node.cpu() - before)
            field.run(0.5)
        size = len(text) + (len(document(teams, PER_H)) if teams else 0)
        return {"cpu_ms": sorted(spent)[CHANGES // 2] * 1e3, "in_force_s": max(took),
                "second_address_ms": slowest * 1e3, "late": float(field.late), "bytes": float(size),
                "ready_s": ready, "memory_mb": node.memory(), "refused": float(
                    node.counters().get("reloads_refused", 0))}
