"""Extrapolates the measured costs to the operators' size and to multiples of it.

Nodes, workers, requests, loads and changes grow by the same factor; the number of control nodes is fixed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from arrowfold.dataplane.puller import ANSWER_SLACK_S, NOTICE_PAUSE_S, POLL_S
from arrowfold.internal.channel import MAX_FRAME_BYTES
from benchmarks.capacity.fitting import Results
from benchmarks.capacity.system import target
from benchmarks.capacity.system.fits import Label, Lines, Unmeasured

FACTORS = (1, 2, 4, 10)
MILLI = 1e-3
MICRO = 1e-6
PERCENT = 100.0
RECORDS_PER_LOAD = 2  # the heartbeat that reports the load, and the one that reports the unload before it
UPDATE_SOURCES = 2  # control nodes that send an edge updates: the nearest, and the owner of a placement
NOTICES_PER_LOAD = 4  # placement updates: two orders, each sent and completed
CONTROL_SHARE = target.CONTROL_MACHINES / (target.NODES + target.CONTROL_MACHINES)
LARGEST_FACTOR = 1_000.0  # largest factor examined
SEARCH_STEPS = 40


@dataclass(frozen=True)
class Scaled:
    """The costs at a factor of the operators' size."""

    lines: Lines
    results: Results
    factor: float = 1.0

    @property
    def edges(self) -> float:
        """Edge nodes."""
        return target.NODES * self.factor

    @property
    def workers(self) -> float:
        """Number of workers."""
        return target.WORKERS * self.factor

    @property
    def loads_a_second(self) -> float:
        """Ordered loads of weights or adapters."""
        return target.LOADS_PER_HOUR / 3_600 * self.factor

    @property
    def records_a_second(self) -> float:
        """Worker records that change and are distributed to all nodes."""
        restarts = target.RESTARTS_PER_DAY * self.factor / target.SECONDS_PER_DAY
        return self.loads_a_second * RECORDS_PER_LOAD + restarts

    @property
    def heartbeats_a_second(self) -> float:
        """Heartbeats at each control node."""
        return self.workers / target.HEARTBEAT_S / target.CONTROL_MACHINES

    @property
    def origins_a_day(self) -> float:
        """Incarnations of control nodes that start in a day, by their share of all restarts."""
        return target.RESTARTS_PER_DAY * CONTROL_SHARE

    def figure(self, test: str, name: str, **size: float | str) -> float:
        """Returns a measured figure. Raises Unmeasured if there is no result."""
        found = self.results.one(test, **size)
        if found is None or name not in found.figures:
            raise Unmeasured(test)
        return found[name]

    # An edge

    def pull_bytes(self, origins: float = target.CONTROL_MACHINES) -> float:
        """Bytes of one pull without updates, in both directions; a notice has the same length."""
        return self.lines.at(Label.REQUEST_BYTES, origins) + self.lines.at(Label.RESPONSE_BYTES, origins)

    @property
    def notices_at_rest(self) -> float:
        """Pulls a second of an edge for notices only, while there are no updates."""
        return (target.CONTROL_MACHINES - UPDATE_SOURCES) / (POLL_S + NOTICE_PAUSE_S)

    @property
    def pulls_at_rest(self) -> float:
        """All pulls a second of an edge while there are no updates."""
        return UPDATE_SOURCES / POLL_S + self.notices_at_rest

    def edge_bytes_at_rest(self, origins: float = target.CONTROL_MACHINES) -> float:
        """Bytes a second of an edge's pulls without updates, those for notices included."""
        return self.pulls_at_rest * self.pull_bytes(origins)

    @property
    def updates_a_second(self) -> float:
        """Updates a second: worker records, and notices of the placement."""
        return self.records_a_second + self.loads_a_second * NOTICES_PER_LOAD

    @property
    def notices_a_second(self) -> float:
        """Notices a second of one control node to one edge."""
        return min(self.updates_a_second, 1 / NOTICE_PAUSE_S)

    def update_bytes(self) -> float:
        """Bytes of one worker's update to one edge, with the request of the pull."""
        size = {"edges": target.NODES, "workers": target.WORKERS}
        answer = self.figure("distribution", "bytes_a_change", **size) / target.NODES
        return answer + self.lines.at(Label.REQUEST_BYTES, target.CONTROL_MACHINES)

    def edge_bytes(self) -> float:
        """Bytes a second of an edge with the operators' loads: records from all sources, and notices."""
        notices = (target.CONTROL_MACHINES - UPDATE_SOURCES) * self.notices_a_second
        placement = self.loads_a_second * NOTICES_PER_LOAD
        updates = self.records_a_second * UPDATE_SOURCES + placement
        return updates * self.update_bytes() + notices * self.pull_bytes()

    def edge_update_core(self) -> float:
        """Share of a core that an edge spends on updates in its tables and its index of holders."""
        index_ms = self.lines.at(Label.SELECT_CHANGE, self.workers)
        tables_ms = self.lines.at(Label.EDGE_CHANGE, self.workers) * MICRO / MILLI
        return self.updates_a_second * (index_ms + tables_ms) * MILLI

    def edge_state_mb(self) -> float:
        """Megabytes of an edge's tables and selection."""
        return self.lines.at(Label.EDGE_MB, self.workers) + self.lines.at(Label.SELECT_MB, self.workers)

    # A control node

    def zone_lost_s(self) -> float:
        """Processor seconds of the busiest node for a lost zone: all nodes report their workers at once."""
        return target.CONTROL_MACHINES * self.fan_out_ms() * MILLI

    def zone_back_s(self) -> float:
        """Processor seconds until a control node has answered all edges of a zone that start at once."""
        return self.edges / target.ZONES * self.lines.at(Label.TABLE_ENCODE, self.workers) * MILLI

    def fan_out_ms(self) -> float:
        """Processor ms of one worker's update at the placement owner, which updates all edges."""
        return self.lines.at(Label.CHANGE_WORKERS, self.workers) / 100 * self.edges

    def fan_out_core(self) -> float:
        """Share of a core for updates to edges at the placement owner, the busiest control node."""
        return self.updates_a_second * self.fan_out_ms() * MILLI

    def notice_core(self) -> float:
        """Share of a core for notices to all edges at a control node that sends them no updates."""
        return self.notices_a_second * self.lines.at(Label.NOTICE_EDGES, self.edges) * MILLI

    def heartbeat_core(self) -> float:
        """Share of a core for heartbeats at each control node, HTTP and kernel time included."""
        line = self.lines.line(Label.CONTROL_WORKERS)
        measured_with = target.FEW_CONTROL / target.CONTROL_MACHINES
        return (line.at(self.workers) - line.intercept) / PERCENT * measured_with

    def pull_core(self) -> float:
        """Share of a core for pulls without updates at each control node, kernel time included."""
        line = self.lines.line(Label.CONTROL_EDGES)
        return (line.at(self.edges) - line.intercept) / PERCENT

    def owner_step_ms(self) -> float:
        """Processor ms of one step of the placement owner with nothing to plan."""
        parts = (Label.OWNER_APPLY, Label.OWNER_QUIET, Label.OWNER_CORRECTIONS)
        return sum(self.lines.at(label, self.workers) for label in parts)

    def reports_a_second(self) -> float:
        """Demand reports a second at the placement owner."""
        return self.edges / target.REPORT_INTERVAL_S

    def owner_core(self) -> float:
        """Share of a core for one step per report, with nothing to plan; over 1 the steps are saturated."""
        return self.reports_a_second() * self.owner_step_ms() * MILLI

    def mass_restart_s(self) -> float:
        """Seconds until a control node has answered all edges that start at once, one encoding each."""
        return self.edges * self.lines.at(Label.TABLE_ENCODE, self.workers) * MILLI

    def mass_restart_mb(self) -> float:
        """Megabytes that each edge then receives: the whole table from every control node."""
        return target.CONTROL_MACHINES * self.lines.at(Label.TABLE_BYTES, self.workers) * MILLI

    def table_bytes(self) -> float:
        """Bytes of one frame with the whole table of workers."""
        return self.lines.at(Label.TABLE_BYTES, self.workers) / MILLI

    def vector_days(self) -> float:
        """Days of ordinary restarts until pulls without updates alone reach the bound on bytes."""
        slope = self.pulls_at_rest
        entry = self.lines.line(Label.REQUEST_BYTES).slope + self.lines.line(Label.RESPONSE_BYTES).slope
        remaining = target.CONTROL_BYTES_PER_S - self.edge_bytes_at_rest()
        return remaining / (slope * entry) / self.origins_a_day

    def commit_bytes_a_day(self) -> float:
        """Bytes from the primary to its backups for a day's changes: each carries the whole document."""
        size = {"models": target.MODELS, "routes": target.MODELS}
        entry = self.figure("document", "entry_bytes", **size)
        return target.CHANGES_PER_DAY * self.factor * entry * (target.CONTROL_MACHINES - 1)


PULL_TIMEOUT_S = POLL_S + ANSWER_SLACK_S


@dataclass(frozen=True)
class Bounded:
    """A cost with a bound: where it arises, its unit and its value by size."""

    name: str
    place: str
    unit: str
    bound: float
    value: Callable[[Scaled], float]

    def breaks_at(self, lines: Lines, results: Results) -> float:
        """Returns the factor of the operators' size that reaches the bound, from 0 to `LARGEST_FACTOR`."""
        low, high = 0.0, LARGEST_FACTOR
        if self.value(Scaled(lines, results, high)) <= self.bound:
            return high
        for _ in range(SEARCH_STEPS):
            middle = (low + high) / 2
            if self.value(Scaled(lines, results, middle)) <= self.bound:
                low = middle
            else:
                high = middle
        return low


BOUNDED: tuple[Bounded, ...] = (
    Bounded(
        "owner's steps at each demand report, without a plan",
        "`controlplane/placement_executor.py`, `placement/`",
        "of a core",
        1.0,
        Scaled.owner_core,
    ),
    Bounded(
        "the whole table to all edges after a mass restart, against an edge's patience with a pull",
        "`controlplane/distribution.py`",
        "s",
        PULL_TIMEOUT_S,
        Scaled.mass_restart_s,
    ),
    Bounded(
        "bytes of an edge with the operators' loads",
        "`dataplane/puller.py`, `controlplane/distribution.py`",
        "bytes a second",
        target.CONTROL_BYTES_PER_S,
        Scaled.edge_bytes,
    ),
    Bounded(
        "news of workers to all edges at the owner of a placement",
        "`controlplane/distribution.py`, `registry/workers.py`",
        "of a core",
        1.0,
        Scaled.fan_out_core,
    ),
    Bounded(
        "an edge's work on news of workers",
        "`dataplane/node.py`, `selection/market_selector.py`",
        "of a core",
        target.CONTROL_CORE_SHARE,
        Scaled.edge_update_core,
    ),
    Bounded(
        "state of an edge: tables and selection",
        "`dataplane/tables.py`, `selection/`",
        "MB",
        target.CONTROL_MEMORY_MB,
        Scaled.edge_state_mb,
    ),
    Bounded(
        "heartbeats at each control node",
        "`controlplane/registration.py`, Sanic",
        "of a core",
        1.0,
        Scaled.heartbeat_core,
    ),
    Bounded(
        "pulls without news at each control node",
        "`controlplane/distribution.py`",
        "of a core",
        1.0,
        Scaled.pull_core,
    ),
    Bounded(
        "the whole table in one frame",
        "`internal/channel.py`",
        "bytes",
        float(MAX_FRAME_BYTES),
        Scaled.table_bytes,
    ),
)
