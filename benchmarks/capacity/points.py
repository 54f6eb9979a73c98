"""All points of the scale tests of one node and of the fleet behind it."""

from __future__ import annotations

from functools import partial

from benchmarks.capacity import configuration, module, node, peak, quotas, watches
from benchmarks.capacity.results import Figures, Point

SERVERS = (100, 200, 400, 800, 1600, 2700, 5400)


def _module(servers: int, rate: float, seed: int) -> Figures:
    return module.measure_costs(servers, rate, seed)


def _module_with_whole_list(servers: int, seed: int) -> Figures:
    return module.measure_costs(servers, 20.0, seed, has_partial_list=False)


def _memory(servers: int, seed: int) -> Figures:
    del seed
    return {"megabytes": module.memory_mb(servers)}


def _node_steady_state(load: node.Workload, seed: int) -> Figures:
    return node.measure_steady_state(load, seed)


def _events(servers: int, seed: int) -> Figures:
    return node.measure_events(servers, seed)


def _watches(count: int, servers: int, seed: int) -> Figures:
    return watches.play(count, servers, seed)


def _peak(day: str, nodes: int, servers: int, has_partial_list: bool, seed: int) -> Figures:
    return peak.play(day, nodes, servers, has_partial_list, seed)


def _quotas(teams: int, seed: int) -> Figures:
    return quotas.measure_costs(teams, seed)


def _overshoot(nodes: int, seed: int) -> Figures:
    return quotas.measure_overshoot(nodes, seed)


def _configuration(servers: int, teams: int, seed: int) -> Figures:
    return configuration.play(servers, teams, seed)


POINTS: list[Point] = [
    *(Point("module", {"servers": n, "jobs": rate}, partial(_module, n, float(rate)), (1, 2, 3))
      for n in SERVERS for rate in (0, 2, 20, 200)),
    *(Point("whole", {"servers": n}, partial(_module_with_whole_list, n), (1, 2, 3) if n < 2000 else (1,))
      for n in (100, 400, 2700)),
    *(Point("memory", {"servers": n}, partial(_memory, n), (1,), megabytes=600)
      for n in (100, 400, 1600, 2700, 5400)),
    *(Point("node", {"servers": n, "jobs": rate, "changes": changes_name},
            partial(_node_steady_state, node.Workload(n, float(rate), changes)), seeds,
            descriptors=2 * n + 800)
      for n, rate, changes_name, changes, seeds in (
          (100, 0, "none", 0.0, (1, 2)), (400, 0, "none", 0.0, (1, 2)), (2700, 0, "none", 0.0, (1, 2, 3)),
          (5400, 0, "none", 0.0, (1,)), (400, 3, "none", 0.0, (1,)), (2700, 3, "none", 0.0, (1, 2, 3)),
          (100, 20, "none", 0.0, (1, 2)), (400, 20, "none", 0.0, (1, 2)), (2700, 20, "none", 0.0, (1, 2, 3)),
          (5400, 20, "none", 0.0, (1,)), (2700, 0, "rolling", node.ROLLING, (1, 2)),
          (2700, 20, "rolling", node.ROLLING, (1, 2)))),
    *(Point("events", {"servers": n}, partial(_events, n), (1, 2), descriptors=2 * n + 800)
      for n in (100, 400, 2700, 5400)),
    *(Point("watches", {"watches": n, "servers": 2700}, partial(_watches, n, 2700), (1, 2),
            descriptors=3 * n + 200, processes=5, megabytes=100 + 8 * n)
      for n in (40, 100, 200)),
    *(Point("quotas", {"teams": n}, partial(_quotas, n)) for n in (100, 690, 2760)),
    *(Point("overshoot", {"nodes": n}, partial(_overshoot, n)) for n in (1, 8, 200, 700)),
    *(Point("configuration", {"servers": n, "teams": teams}, partial(_configuration, n, teams), (1, 2),
            descriptors=2 * n + 800) for n, teams in ((400, 0), (2700, 0), (2700, 690))),
    *(Point("peak", {"day": day, "nodes": nodes, "servers": n,
                     "list": "part" if has_partial_list else "whole"},
            partial(_peak, day, nodes, n, has_partial_list), (1,), megabytes=3000)
      for day, nodes, n, has_partial_list in (
          *((day, 200, 2700, True) for day in peak.DAYS),
          *((day, 24, n, has_partial_list) for day in ("calm", "zone", "rolling") for n in (100, 400, 2700)
            for has_partial_list in (True, False)))),
]
