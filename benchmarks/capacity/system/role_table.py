"""The table of roles: extrapolated state and messages of each at the operators' size."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.fitting import Results
from benchmarks.capacity.page import number, table
from benchmarks.capacity.system import target
from benchmarks.capacity.system.fits import Label
from benchmarks.capacity.system.saying import KILO, MEGA, MILLI, Cell, core, milliseconds, rate, say, scaled
from benchmarks.capacity.system.worked_out import Scaled

EIGHT: dict[str, float | str] = {"members": target.CONTROL_MACHINES, "delay": 8}
FAR: dict[str, float | str] = {"members": target.CONTROL_MACHINES, "delay": 40}
WATCHED: dict[str, float | str] = {"nodes": target.NODES, "loss": 0.01}
TARGET_DOCUMENT: dict[str, float | str] = {"models": target.MODELS, "routes": target.MODELS}
ZONE_EDGES = target.NODES / target.ZONES
REGION_EDGES = target.NODES / target.REGIONS
REGION_WORKERS = target.WORKERS / target.REGIONS


@dataclass(frozen=True)
class Role:
    """One row: the role's state, and its messages in each situation."""

    name: str
    state: Cell
    rest: Cell
    peak: Cell
    mass_restart: Cell
    zone: Cell
    apart: Cell

    def cells(self) -> tuple[Cell, ...]:
        """Returns all cells in the order of the table's header."""
        return (self.state, self.rest, self.peak, self.mass_restart, self.zone, self.apart)


def _fixed(text: str) -> Cell:
    return lambda at: text


def _zone_records(at: Scaled) -> float:
    return at.figure("registry", "zone_records", workers=target.WORKERS)


# Edge


def _edge_state(at: Scaled) -> str:
    return f"{number(at.workers, 5)} workers and its tokens, {number(at.edge_state_mb())} MB"


def _edge_rest(at: Scaled) -> str:
    pulls = f"{number(at.pulls_at_rest)} pulls a second from {target.CONTROL_MACHINES} control nodes"
    return f"{pulls}: {rate(at.edge_bytes_at_rest())}"


def _edge_peak(at: Scaled) -> str:
    return f"{rate(at.edge_bytes())}; {core(at.edge_update_core())} for news"


def _edge_mass_restart(at: Scaled) -> str:
    processor_s = target.CONTROL_MACHINES * at.lines.at(Label.EDGE_FIRST, at.workers) * MILLI
    return f"{number(at.mass_restart_mb())} MB, the whole table by each control node; {number(processor_s)} s"


def _edge_zone(at: Scaled) -> str:
    news = at.figure("registry", "zone_bytes", workers=target.WORKERS)
    return f"{number(_zone_records(at))} records: {number(news / KILO)} KB, and again"


def _edge_apart(at: Scaled) -> str:
    return f"nothing new of the other side; then as after a restart, {number(at.mass_restart_mb())} MB"


# Control node


def _control_state(at: Scaled) -> str:
    return f"{number(at.workers, 5)} workers, {number(at.lines.at(Label.REGISTRY_MB, at.workers))} MB"


def _control_rest(at: Scaled) -> str:
    heartbeats = f"{number(at.heartbeats_a_second)} heartbeats a second, {core(at.heartbeat_core())}"
    return f"{heartbeats}; {number(at.edges)} pulls a second, {core(at.pull_core())}"


def _control_peak(at: Scaled) -> str:
    news = f"{number(at.updates_a_second)} times a second news"
    owner = f"the owner of a placement {milliseconds(at.fan_out_ms())} each, {core(at.fan_out_core())}"
    return f"{news}; {owner}; the others notices, {core(at.notice_core())}"


def _control_mass_restart(at: Scaled) -> str:
    return f"{number(at.mass_restart_s())} s of processor: the table encoded for each edge anew"


def _control_zone(at: Scaled) -> str:
    back = f"back: {number(ZONE_EDGES)} edges, {number(at.zone_back_s())} s"
    return f"lost: {number(_zone_records(at))} records, {number(at.zone_lost_s())} s of processor; {back}"


def _control_apart(at: Scaled) -> str:
    encode_s = at.lines.at(Label.TABLE_ENCODE, at.workers) * MILLI
    back = f"back: {number(REGION_EDGES)} edges with the whole table, {number(REGION_EDGES * encode_s)} s"
    return f"{number(REGION_WORKERS)} workers told as silent; {back}"


# Replication


def _primary_state(at: Scaled) -> str:
    whole = at.figure("document", "whole_bytes", **TARGET_DOCUMENT)
    return f"a configuration of {number(whole / KILO)} KB, digests of changes, departures"


def _primary_rest(at: Scaled) -> str:
    calls = at.figure("failover", "rest_calls_a_second", **EIGHT)
    return f"{number(calls)} calls a second, {rate(at.figure('failover', 'rest_bytes_a_second', **EIGHT))}"


def _primary_peak(at: Scaled) -> str:
    changes = number(target.CHANGES_PER_DAY / target.SECONDS_PER_DAY)
    return f"{changes} changes a second; {number(at.commit_bytes_a_day() / MEGA)} MB a day to backups"


def _primary_zone(at: Scaled) -> str:
    return f"{number(at.figure('failover', 'failover_s', **EIGHT))} s without one, if it is hit"


def _primary_apart(at: Scaled) -> str:
    without = number(at.figure("failover", "cut_leads_s", **FAR))
    return f"{without} s without one; none in a part that has no majority of the witnesses"


def _backup_peak(at: Scaled) -> str:
    a_backup = at.commit_bytes_a_day() / (target.CONTROL_MACHINES - 1)
    return f"{number(a_backup / MEGA)} MB a day in, and as much to disk"


def _backup_apart(at: Scaled) -> str:
    return f"{number(at.figure('failover', 'heal_bytes', **FAR) / KILO)} KB until the group is whole again"


# Owner of a placement


def _owner_state(at: Scaled) -> str:
    return f"{number(at.workers, 5)} workers, {number(at.lines.at(Label.OWNER_MB, at.workers))} MB"


def _owner_rest(at: Scaled) -> str:
    reports = f"{number(at.reports_a_second())} reports a second"
    return f"{reports}, a step of {milliseconds(at.owner_step_ms())} for each: {core(at.owner_core())}"


def _owner_peak(at: Scaled) -> str:
    step = at.figure("busyplan", "step_ms", workers=target.WORKERS)
    loads = f"{number(at.loads_a_second)} loads a second"
    return f"{loads}; a plan with demand holds the loop for {milliseconds(step)}"


def _owner_mass_restart(at: Scaled) -> str:
    return f"{number(at.workers, 5)} reads of reports at once"


def _owner_zone(at: Scaled) -> str:
    return f"{number(_zone_records(at))} workers out of the plan, their models missed"


# Monitoring


def _monitor_state(at: Scaled) -> str:
    mean = at.figure("monitoring", "watched_mean", **WATCHED)
    return (
        f"{number(mean)} peers, {number(at.figure('monitoring', 'watched_most', **WATCHED))} at most (model)"
    )


def _monitor_rest(at: Scaled) -> str:
    return f"{number(at.figure('monitoring', 'bytes_a_second', **WATCHED))} bytes a second (model)"


def _monitor_zone(at: Scaled) -> str:
    return f"found in {number(at.figure('monitoring', 'detection_p99_s', **WATCHED))} s (model)"


def _worker_rest(at: Scaled) -> str:
    body = at.lines.at(Label.HEARTBEAT_BYTES, target.ADAPTERS_PER_WORKER)
    return f"{number(body)} bytes each {target.HEARTBEAT_S} s"


ROLES: tuple[Role, ...] = (
    Role("edge", _edge_state, _edge_rest, _edge_peak, _edge_mass_restart, _edge_zone, _edge_apart),
    Role(
        "control node: registry, pulls",
        _control_state,
        _control_rest,
        _control_peak,
        _control_mass_restart,
        _control_zone,
        _control_apart,
    ),
    Role(
        "primary",
        _primary_state,
        _primary_rest,
        _primary_peak,
        _fixed("an election, then as any control node"),
        _primary_zone,
        _primary_apart,
    ),
    Role(
        "backup, witness",
        _fixed("as the primary; epochs on disk"),
        _fixed("its part of the primary's calls"),
        _backup_peak,
        _fixed("its log read"),
        _fixed("its vote"),
        _backup_apart,
    ),
    Role(
        "owner of a placement (any control node)",
        _owner_state,
        _owner_rest,
        _owner_peak,
        _owner_mass_restart,
        _owner_zone,
        _fixed("plans where a majority is; the other part keeps what it holds"),
    ),
    Role(
        "whoever monitors (not built)",
        _monitor_state,
        _monitor_rest,
        _fixed("the same"),
        _fixed("the same"),
        _monitor_zone,
        _fixed("alarms for all of the other side"),
    ),
    Role(
        "a worker's view of us",
        _fixed("one address to call"),
        _worker_rest,
        _fixed("and an order and a report for each load"),
        _fixed("calls the next control node after a second"),
        _fixed("the same"),
        _fixed("acknowledged by its own side; `draining` only where a majority is"),
    ),
)


def roles(results: Results) -> str:
    """Makes the table of all roles at the operators' size."""
    at = scaled(results)
    head = [
        "role",
        "state",
        "at rest",
        "at the peak",
        "mass restart",
        "a zone lost and back",
        "regions apart",
    ]
    return table(head, [[role.name, *(say(cell, at) for cell in role.cells())] for role in ROLES])
