"""Tables of measured results for docs/CAPACITY.md."""

from __future__ import annotations

from benchmarks.capacity.fitting import Results, read_fits
from benchmarks.capacity.page import number, spread, table
from benchmarks.capacity.system import target
from benchmarks.capacity.system.failover import FAILURES, WAIT_TIMEOUT_S
from benchmarks.capacity.system.fits import FITS
from benchmarks.capacity.system.fleet import CHANGES, MEASURED_S
from benchmarks.capacity.system.pulls import BURST

Column = tuple[str, str, float]
PERCENT = 100.0
KILO = 1e-3
EXTRAPOLATED_TO = {
    "classes": target.REQUESTS_PER_S / target.NODES * target.REPORT_INTERVAL_S,
    "workers": target.WORKERS,
    "edges": target.NODES,
    "models": target.MODELS,
    "adapters": target.ADAPTERS_PER_WORKER,
    "origins": target.CONTROL_MACHINES,
    "rate": target.REQUESTS_PER_S / target.NODES,
    "events": target.TOKENS_PER_S / target.REQUESTS_PER_S / target.TOKENS_PER_EVENT,
}


def rows(results: Results, test: str, sizes: list[str], columns: list[Column], loaded: bool = False) -> str:
    """Makes a table with a row for each size of a test; `loaded` adds the machine's load after the run."""
    found = sorted(results.of(test), key=lambda row: [float(row.size[size]) for size in sizes])
    head = [*sizes, *(name for name, _, _ in columns), *(["machine's load"] if loaded else [])]
    lines = [
        [
            *(number(float(row.size[size]), 6) for size in sizes),
            *(spread(row, figure, factor) for _, figure, factor in columns),
            *([number(float(row.machine["load"]))] if loaded else []),
        ]
        for row in found
    ]
    return table(head, lines)


def heartbeats(results: Results) -> str:
    """Heartbeats by adapters on three models."""
    columns: list[Column] = [
        ("body, bytes", "body_bytes", 1),
        ("record in a pull, bytes", "record_bytes", 1),
        ("checked, us", "parse_us", 1),
        ("taken, us", "heard_us", 1),
        ("encoded, us", "encode_us", 1),
        ("decoded, us", "decode_us", 1),
    ]
    return rows(results, "heartbeat", ["adapters"], columns)


def registry(results: Results) -> str:
    """The registry of a control node."""
    columns: list[Column] = [
        ("MB", "megabytes", 1),
        ("look for silent workers, ms", "sweep_ms", 1),
        ("what a puller lacks, one record, ms", "missing_one_ms", 1),
        ("whole table, KB", "whole_bytes", KILO),
        ("encoded, ms", "whole_encode_ms", 1),
        ("merged, ms", "merge_whole_ms", 1),
        ("a zone's records", "zone_records", 1),
        ("KB", "zone_bytes", KILO),
    ]
    return rows(results, "registry", ["workers"], columns)


def pulls(results: Results) -> str:
    """One pull without updates."""
    columns: list[Column] = [
        ("request, bytes", "request_bytes", 1),
        ("answer, bytes", "response_bytes", 1),
        ("codec, both ends, us", "codec_us", 1),
        ("at the control node, us", "server_us", 1),
    ]
    return rows(results, "pull", ["origins"], columns)


def distribution(results: Results) -> str:
    """Updates of a worker to the edges of one control node."""
    columns: list[Column] = [
        ("one change, ms", "change_ms", 1),
        ("answers", "answers_a_change", 1),
        ("KB", "bytes_a_change", KILO),
        ("notices alone, ms", "notice_ms", 1),
        ("KB", "notice_bytes", KILO),
        (f"{BURST} at once, ms each", "burst_change_ms", 1),
        ("answers each", "burst_answers_a_change", 1),
    ]
    return rows(results, "distribution", ["edges", "workers"], columns)


def documents(results: Results) -> str:
    """Configurations by size."""
    columns: list[Column] = [
        ("whole, KB", "whole_bytes", KILO),
        ("delta, bytes", "delta_bytes", 1),
        ("log entry, KB", "entry_bytes", KILO),
        ("whole checked, ms", "put_ms", 1),
        ("patch checked, ms", "patch_ms", 1),
        ("written and compared, ms", "write_ms", 1),
        ("edge takes it whole, ms", "edge_whole_ms", 1),
        ("edge takes a delta, ms", "edge_delta_ms", 1),
        ("at the edge, MB", "edge_megabytes", 1),
    ]
    wide = rows(results, "widedocument", ["routes"], columns)
    return rows(results, "document", ["models", "routes"], columns) + "\n" + wide


def edge_tables(results: Results) -> str:
    """An edge's tables of workers."""
    columns: list[Column] = [
        ("first answer, KB", "first_bytes", KILO),
        ("decoded and taken, ms", "first_ms", 1),
        ("an answer without news, us", "idle_us", 1),
        ("one worker's news, us", "change_us", 1),
        ("MB", "megabytes", 1),
    ]
    return rows(results, "edgetables", ["workers"], columns)


def selection(results: Results) -> str:
    """The selection at an edge's share of the requests, and at more."""
    columns: list[Column] = [
        ("classes in a minute", "active_classes", 1),
        ("tokens", "tokens", 1),
        ("a request, us", "request_us", 1),
        ("a round, ms", "round_ms", 1),
        ("first table, ms", "apply_first_ms", 1),
        ("a worker's news, ms", "apply_change_ms", 1),
        ("no news, ms", "apply_same_ms", 1),
        ("MB", "megabytes", 1),
    ]
    busy = rows(results, "busyselection", ["rate"], columns[:4])
    return rows(results, "selection", ["workers", "classes"], columns) + "\n" + busy


def placement(results: Results) -> str:
    """The owner of a placement."""
    quiet: list[Column] = [
        ("list of workers taken, ms", "apply_workers_ms", 1),
        ("plan with nothing to do, ms", "quiet_ms", 1),
        ("corrections, ms", "corrections_ms", 1),
        ("MB", "megabytes", 1),
    ]
    busy: list[Column] = [("a plan with demand, ms", "step_ms", 1), ("the next, ms", "next_step_ms", 1)]
    return (
        rows(results, "quietplan", ["workers"], quiet) + "\n" + rows(results, "busyplan", ["workers"], busy)
    )


def reports(results: Results) -> str:
    """Demand reports by classes."""
    columns: list[Column] = [
        ("bytes", "report_bytes", 1),
        ("encoded, us", "encode_us", 1),
        ("decoded, us", "decode_us", 1),
        ("taken, us", "apply_us", 1),
    ]
    return rows(results, "reports", ["classes"], columns)


def monitoring(results: Results) -> str:
    """The model of rendezvous monitoring."""
    columns: list[Column] = [
        ("watched by one, mean", "watched_mean", 1),
        ("most", "watched_most", 1),
        ("nodes watched anew after a loss", "moved_by_one_loss", 1),
        ("found, s", "detection_s", 1),
        ("99 of 100, s", "detection_p99_s", 1),
        ("bytes a second", "bytes_a_second", 1),
        ("false alarms a day, worked out", "false_alarms_a_day", 1),
    ]
    return rows(results, "monitoring", ["nodes", "loss"], columns)


def failover(results: Results) -> str:
    """Replication in virtual time."""
    columns: list[Column] = [
        ("a change committed, ms", "commit_ms", 1),
        ("its bytes, KB", "commit_bytes", KILO),
        ("at rest, calls a second", "rest_calls_a_second", 1),
        ("bytes a second", "rest_bytes_a_second", 1),
        ("primary lost: next leads, s", "failover_s", 1),
        (f"longest of {FAILURES}", "failover_most_s", 1),
        ("longest to a commit", "failover_commit_s", 1),
        ("its region cut: next leads, s", "cut_leads_s", 1),
        ("joined again: whole, s", "heal_s", 1),
        ("KB", "heal_bytes", KILO),
        (f"not whole in {WAIT_TIMEOUT_S:.0f} s", "stuck", 1),
    ]
    return rows(results, "failover", ["members", "delay"], columns)


def fleets(results: Results) -> str:
    """Real control nodes with simulated edges and workers."""
    columns: list[Column] = [
        ("a control node, core %", "control_core_share", PERCENT),
        ("the primary", "control_core_most", PERCENT),
        ("without the kernel", "control_own_share", PERCENT),
        ("resident MB", "control_mb", 1),
        ("an edge's pulls, core %", "edge_core_share", PERCENT),
        ("received, bytes a second", "edge_received_a_second", 1),
        ("sent", "edge_sent_a_second", 1),
        ("heartbeats a second", "heartbeats_a_second", 1),
        (f"failed in {MEASURED_S:.0f} s", "heartbeats_failed", 1),
        ("elections", "elections", 1),
    ]
    return rows(results, "fleet", ["control", "edges", "workers", "changes"], columns, loaded=True)


def demand(results: Results) -> str:
    """The same fleet without demand reports and with them."""
    columns: list[Column] = [
        ("a control node, core %", "control_core_share", PERCENT),
        ("the busiest", "control_core_most", PERCENT),
        (f"orders in {MEASURED_S:.0f} s", "orders", 1),
        (f"heartbeats failed in {MEASURED_S:.0f} s", "heartbeats_failed", 1),
        ("elections", "elections", 1),
    ]
    return rows(results, "demand", ["edges", "workers", "reports"], columns, loaded=True)


def mass_restart(results: Results) -> str:
    """A restart of all edges at once with empty tables."""
    columns: list[Column] = [
        ("all have the tables, s", "all_s", 1),
        ("a control node's processor, s", "control_s", 1),
        ("an edge of it, s", "control_s_an_edge", 1),
        ("an edge got, MB", "megabytes_an_edge", 1),
        ("control node, peak MB", "control_peak_mb", 1),
    ]
    return rows(results, "massrestart", ["edges", "workers"], columns, loaded=True)


def changes(results: Results) -> str:
    """Sequential changes of the configuration."""
    columns: list[Column] = [
        ("in force at all edges, s", "in_force_s", 1),
        (f"longest of {CHANGES}", "in_force_most_s", 1),
        ("a control node's processor, ms each", "control_ms", 1),
        ("an edge's, ms each", "edge_ms", 1),
    ]
    return rows(results, "changes", ["edges", "workers"], columns, loaded=True)


def streams(results: Results) -> str:
    """A real edge that forwards streams."""
    columns: list[Column] = [
        ("core, %", "core_share", PERCENT),
        ("without the kernel", "own_share", PERCENT),
        ("resident MB", "resident_mb", 1),
        ("done a second", "done_a_second", 1),
        ("failed", "failed", 1),
        ("an event's way, median, ms", "event_p50_ms", 1),
        ("95 of 100", "event_p95_ms", 1),
        ("the first event's, 95 of 100", "first_event_p95_ms", 1),
    ]
    return rows(results, "streams", ["workers", "rate", "events"], columns, loaded=True)


def fits(results: Results) -> str:
    """The fitted lines, and how far each is extrapolated beyond the measured sizes."""
    del results
    lines = [
        [
            line.figure,
            line.over,
            f"{number(line.start, 5)} to {number(line.end, 5)}",
            number(line.intercept),
            f"{number(line.slope)} {line.unit}",
            f"{number(line.low)} to {number(line.high)}",
            f"{number(EXTRAPOLATED_TO[line.over], 5)}: {number(line.at(EXTRAPOLATED_TO[line.over]))}",
            _carried(EXTRAPOLATED_TO[line.over], line.end),
        ]
        for line in read_fits(FITS)
    ]
    head = [
        "figure",
        "over",
        "measured",
        "intercept",
        "slope",
        "its 95 % interval",
        "at the operators' size",
        "carried",
    ]
    return table(head, lines)


def _carried(size: float, end: float) -> str:
    return "within" if size <= end else f"{number(size / end)} times beyond"
