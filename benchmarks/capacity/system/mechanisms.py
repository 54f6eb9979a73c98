"""Tables of the costs that reach their bounds first, and of missing mechanisms in the order to build them."""

from __future__ import annotations

from dataclasses import dataclass

from arrowfold.dataplane.puller import NOTICE_PAUSE_S
from arrowfold.replication.timings import Timings
from benchmarks.capacity.fitting import Results
from benchmarks.capacity.page import MISSING, number, table
from benchmarks.capacity.system import target
from benchmarks.capacity.system.fits import Label, Unmeasured
from benchmarks.capacity.system.role_table import WATCHED
from benchmarks.capacity.system.saying import KILO, Cell, amount, core, milliseconds, rate, say, scaled
from benchmarks.capacity.system.worked_out import (
    BOUNDED,
    FACTORS,
    LARGEST_FACTOR,
    PULL_TIMEOUT_S,
    Bounded,
    Scaled,
)

FEW_PULLED = 2  # control nodes that an edge would pull from
BATCHING_S = 0.1  # time over which updates would be batched before they are sent to edges
STEPS_A_SECOND = 4  # of a placement owner that plans at a bounded rate


def breaks(results: Results) -> str:
    """Makes the table of bounded costs at one to ten times the operators' size, lowest factor first."""
    found = [_break_row(cost, results) for cost in BOUNDED]
    found.sort(key=lambda row: row[0])
    head = ["cost", "where", "bound", *(f"at {factor} times" for factor in FACTORS), "bound met at"]
    return table(head, [cells for _, cells in found])


def _break_row(cost: Bounded, results: Results) -> tuple[float, list[str]]:
    bound = amount(cost.bound, cost.unit)
    try:
        values = [amount(cost.value(scaled(results, factor)), cost.unit) for factor in FACTORS]
        reached = cost.breaks_at(scaled(results).lines, results)
    except Unmeasured:
        return LARGEST_FACTOR, [cost.name, cost.place, bound, *[MISSING] * (len(FACTORS) + 1)]
    text = "beyond all" if reached >= LARGEST_FACTOR else f"{number(reached)} times"
    return reached, [cost.name, cost.place, bound, *values, f"**{text}**" if reached < 1 else text]


@dataclass(frozen=True)
class Mechanism:
    """A missing mechanism: its standard name, the cost without it, and the cost with it."""

    name: str
    without: Cell
    with_it: Cell
    place: str


def _planning_now(at: Scaled) -> str:
    lease_ms = Timings().lease_s * Timings().lease_margin * KILO
    plan = milliseconds(at.figure("busyplan", "step_ms", workers=target.WORKERS))
    steps = f"{core(at.owner_core())} for a step at each report"
    return f"{steps}; a plan holds the loop for {plan}, the lease is {number(lease_ms)} ms"


def _planning_then(at: Scaled) -> str:
    left = STEPS_A_SECOND * at.owner_step_ms() / KILO
    return f"{STEPS_A_SECOND} steps a second: {core(left)} as they are, less by what changed alone"


def _caching_now(at: Scaled) -> str:
    patience = f"an edge waits {number(PULL_TIMEOUT_S)} s for a pull"
    return f"{number(at.mass_restart_s())} s of each control node after a mass restart; {patience}"


def _caching_then(at: Scaled) -> str:
    kilobytes = at.lines.at(Label.TABLE_BYTES, at.workers)
    return f"{milliseconds(at.lines.at(Label.TABLE_ENCODE, at.workers))} once; {number(kilobytes)} KB an edge"


def _fan_out_now(at: Scaled) -> str:
    return f"{rate(at.edge_bytes())} an edge; {core(at.fan_out_core())} at the owner of a placement"


def _fan_out_then(at: Scaled) -> str:
    wakes = min(at.updates_a_second, 1 / BATCHING_S)
    bare = at.lines.at(Label.REQUEST_BYTES, 0)
    record = at.lines.at(Label.RECORD_BYTES, target.ADAPTERS_PER_WORKER)
    updates = wakes * bare + at.updates_a_second * record
    notices = (FEW_PULLED - 1) * min(wakes, 1 / NOTICE_PAUSE_S) * bare
    return f"{rate(updates + notices)} an edge"


def _vector_now(at: Scaled) -> str:
    days = number(at.vector_days())
    return (
        f"{number(at.origins_a_day)} entries more a day, for ever; pulls alone at the bound after {days} days"
    )


def _vector_then(at: Scaled) -> str:
    return f"{target.CONTROL_MACHINES} entries, and lives that ended lately"


def _index_now(at: Scaled) -> str:
    scan = at.figure("registry", "missing_one_ms", workers=target.WORKERS)
    records = f"{number(at.workers, 5)} records"
    return f"each of {number(at.edges)} answers passes over {records}, {milliseconds(scan)}"


def _holders_now(at: Scaled) -> str:
    one = milliseconds(at.lines.at(Label.SELECT_CHANGE, at.workers))
    return f"{one} for one worker's news, {core(at.edge_update_core())} with the operators' loads"


def _election(at: Scaled, delay: int) -> str:
    return number(at.figure("failover", "failover_most_s", members=target.CONTROL_MACHINES, delay=delay))


def _timings_now(at: Scaled) -> str:
    near, far = _election(at, 40), _election(at, 100)
    return f"fail-over up to {near} s with 40 ms one way between regions, {far} s with 100"


def _timings_then(at: Scaled) -> str:
    return f"as with 8 ms: {_election(at, 8)} s"


def _monitoring_now(at: Scaled) -> str:
    return f"pulls alone tell who is there; each control node hears all {number(at.edges)}"


def _monitoring_then(at: Scaled) -> str:
    found = number(at.figure("monitoring", "detection_s", **WATCHED))
    peers = number(at.figure("monitoring", "watched_mean", **WATCHED))
    return f"{peers} peers a node, found in {found} s (model)"


MECHANISMS: tuple[Mechanism, ...] = (
    Mechanism(
        "incremental planning: counts of copies kept as they change, steps at a bounded rate",
        _planning_now,
        _planning_then,
        "`placement/fleet.py`, `placement/planner.py`, `controlplane/placement_executor.py`",
    ),
    Mechanism(
        "caching of encoded answers: one whole table for all who lack it, taken from one control node",
        _caching_now,
        _caching_then,
        "`controlplane/distribution.py`, `dataplane/puller.py`",
    ),
    Mechanism(
        f"partial fan-out: {FEW_PULLED} control nodes an edge by rendezvous hashing, news gathered for "
        f"{BATCHING_S} s, view and vector only where they changed",
        _fan_out_now,
        _fan_out_then,
        "`dataplane/puller.py`, `controlplane/distribution.py`",
    ),
    Mechanism(
        "pruning of the version vector: lives without a record in force",
        _vector_now,
        _vector_then,
        "`registry/workers.py`",
    ),
    Mechanism(
        "an index of records by origin and counter",
        _index_now,
        lambda at: "by what is missing",
        "`registry/workers.py`",
    ),
    Mechanism(
        "an incremental index of holders at the edge",
        _holders_now,
        lambda at: "by the classes that the worker gained or lost",
        "`selection/class_market.py`, `dataplane/node.py`",
    ),
    Mechanism(
        "time-outs that follow the measured round trip",
        _timings_now,
        _timings_then,
        "`replication/timings.py`, `replication/replica.py`",
    ),
    Mechanism("rendezvous monitoring", _monitoring_now, _monitoring_then, "none"),
)


def mechanisms(results: Results) -> str:
    """Makes the table of missing mechanisms, the first to build first."""
    at = scaled(results)
    lines = [
        [str(rank), item.name, say(item.without, at), say(item.with_it, at), item.place]
        for rank, item in enumerate(MECHANISMS, start=1)
    ]
    return table(["rank", "mechanism", "without it", "with it, worked out", "where"], lines)
