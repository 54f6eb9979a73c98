"""Rendezvous monitoring as a model: the program has none yet; nodes are watched by the pulls they make.

Each node is watched by the few peers that score highest for its name. A watcher that misses some probes in
a row reports it, and so many reports within a window count as a failure.
"""

from __future__ import annotations

import random
import statistics
from hashlib import blake2b

from benchmarks.capacity.results import Figures
from benchmarks.capacity.system import target
from benchmarks.capacity.system.population import edge_identity

WATCHERS = 3
PROBE_S = 1.0
MISSES = 3
AGREEING = 2
PROBE_BYTES = 64  # and as many back
TRIALS = 2_000


def score(node: str, watcher: str) -> int:
    """How strongly a watcher is wanted for a node; the same everywhere."""
    return int.from_bytes(blake2b(f"{node}/{watcher}".encode(), digest_size=8).digest(), "big")


def watchers_of(node: str, nodes: list[str]) -> tuple[str, ...]:
    """The peers that watch a node."""
    others = (other for other in nodes if other != node)
    return tuple(sorted(others, key=lambda other: score(node, other), reverse=True)[:WATCHERS])


def _detection_s(draw: random.Random, loss: float) -> float:
    """From a failure to the moment at which enough watchers have missed enough probes."""
    times = []
    for _ in range(WATCHERS):
        phase = draw.uniform(0.0, PROBE_S)
        already = 0
        while already < MISSES - 1 and draw.random() < loss:
            already += 1
        times.append(phase + (MISSES - 1 - already) * PROBE_S + PROBE_S)
    return sorted(times)[AGREEING - 1]


def false_alarms_per_day(nodes: int, loss: float) -> float:
    """Worked out: agreeing runs of misses by chance, with losses independent of each other."""
    probes = target.SECONDS_PER_DAY / PROBE_S
    one = loss**MISSES * (1 - loss)  # a run of misses begins at this probe
    pairs = WATCHERS * (WATCHERS - 1) / 2
    overlapping = 2 * MISSES * PROBE_S / PROBE_S
    return nodes * probes * pairs * one * one * overlapping


def monitoring(nodes: int, loss: float, seed: int) -> Figures:
    """So many nodes, with probes lost at this rate."""
    draw = random.Random(seed)
    names = [edge_identity(number).name for number in range(nodes)]
    draw.shuffle(names)
    watched = {name: watchers_of(name, names) for name in names}
    load = dict.fromkeys(names, 0)
    for watchers in watched.values():
        for watcher in watchers:
            load[watcher] += 1
    gone = names[0]
    left = names[1:]
    moved = sum(watchers_of(name, left) != watched[name] for name in left)
    times = sorted(_detection_s(draw, loss) for _ in range(TRIALS))
    return {
        "watched_mean": statistics.mean(load.values()),
        "watched_most": float(max(load.values())),
        "moved_by_one_loss": float(moved),
        "expected_moved": float(load[gone]),
        "detection_s": statistics.median(times),
        "detection_p99_s": times[int(0.99 * TRIALS)],
        "bytes_a_second": 2 * 2 * WATCHERS * PROBE_BYTES / PROBE_S,
        "false_alarms_a_day": false_alarms_per_day(nodes, loss),
    }
