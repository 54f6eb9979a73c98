"""Model of failure detection by rendezvous hashing, which the program does not have yet.

Each node is probed by the few peers with the highest score for its name. A watcher that misses some probes in
a row reports the node, and `AGREEING` reports within a window count as a failure. The program itself detects
failed nodes by their missing pulls.
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
PROBE_BYTES = 64  # in each direction
TRIALS = 2_000


def score(node: str, watcher: str) -> int:
    """Returns the rendezvous score of a watcher for a node, which is the same at every node."""
    return int.from_bytes(blake2b(f"{node}/{watcher}".encode(), digest_size=8).digest(), "big")


def watchers_of(node: str, nodes: list[str]) -> tuple[str, ...]:
    """Returns the peers that probe a node."""
    others = (other for other in nodes if other != node)
    return tuple(sorted(others, key=lambda other: score(node, other), reverse=True)[:WATCHERS])


def _detection_s(draw: random.Random, loss: float) -> float:
    """Draws the time from a failure until enough watchers have missed enough probes."""
    times = []
    for _ in range(WATCHERS):
        phase = draw.uniform(0.0, PROBE_S)
        missed = 0
        while missed < MISSES - 1 and draw.random() < loss:
            missed += 1
        times.append(phase + (MISSES - 1 - missed) * PROBE_S + PROBE_S)
    return sorted(times)[AGREEING - 1]


def false_alarms_per_day(nodes: int, loss: float) -> float:
    """Returns the expected false alarms a day, with independent losses of probes."""
    probes = target.SECONDS_PER_DAY / PROBE_S
    run_probability = loss**MISSES * (1 - loss)  # probability that a run of misses begins at a probe
    pairs = WATCHERS * (WATCHERS - 1) / 2
    overlapping = 2 * MISSES * PROBE_S / PROBE_S
    return nodes * probes * pairs * run_probability * run_probability * overlapping


def monitoring(nodes: int, loss: float, seed: int) -> Figures:
    """Simulates monitoring of `nodes` nodes with a share `loss` of the probes lost."""
    draw = random.Random(seed)
    names = [edge_identity(number).name for number in range(nodes)]
    draw.shuffle(names)
    watched = {name: watchers_of(name, names) for name in names}
    load = dict.fromkeys(names, 0)
    for watchers in watched.values():
        for watcher in watchers:
            load[watcher] += 1
    lost = names[0]
    remaining = names[1:]
    moved = sum(watchers_of(name, remaining) != watched[name] for name in remaining)
    times = sorted(_detection_s(draw, loss) for _ in range(TRIALS))
    return {
        "watched_mean": statistics.mean(load.values()),
        "watched_most": float(max(load.values())),
        "moved_by_one_loss": float(moved),
        "expected_moved": float(load[lost]),
        "detection_s": statistics.median(times),
        "detection_p99_s": times[int(0.99 * TRIALS)],
        "bytes_a_second": 2 * 2 * WATCHERS * PROBE_BYTES / PROBE_S,
        "false_alarms_a_day": false_alarms_per_day(nodes, loss),
    }
