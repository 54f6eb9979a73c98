"""Generates the tables of docs/CAPACITY-service.md from results.

A table is placed between `<!-- table: NAME -->` and `<!-- end -->`.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path

from benchmarks.capacity.fitting import FitSpec, Results, fit_all, read_fits, write_fits
from benchmarks.capacity.results import FOLDER, ROOT, Result, load_results

PAGE = ROOT / "docs" / "CAPACITY-service.md"
FITS = FOLDER / "fits.json"
MISSING = "not measured yet"
TABLE_PATTERN = re.compile(r"(<!-- table: (\w+) -->\n).*?(<!-- end -->)", re.S)
Rows = list[list[str]]

# The operators' targets: core share, resident MB, bytes a second, seconds; then the size of the fleet.
CORE, MEMORY, BYTES, URGENT_S, IN_FORCE_S = 0.016, 128.0, 7000.0, 1.6, 3.0
SERVERS, STARTS, CHANGES_A_DAY, TEAMS, ZONE = 2700, 590, 1800, 690, 142
FLEETS = (200, 700, 2700)


def table(head: list[str], rows: Rows) -> str:
    """Formats a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def number(value: float, digits: int = 3) -> str:
    """Formats a number with so many significant digits and without an exponent."""
    if value == 0:
        return "0"
    text = f"{value:.{digits}g}"
    return f"{float(text):,.0f}" if "e" in text else text


def spread(result: Result | None, figure: str, factor: float = 1.0, digits: int = 3) -> str:
    """Formats a figure: the median and, after several runs, the minimum and maximum in brackets."""
    if result is None or figure not in result.figures:
        return MISSING
    median, lowest, highest = (value * factor for value in result.figures[figure])
    if len(result.seeds) == 1:
        return number(median, digits)
    return f"{number(median, digits)} ({number(lowest, digits)} to {number(highest, digits)})"


def _table_by_size(results: Results, test: str, key: str, figures: list[tuple[str, str, float]],
        **size: float | str) -> str:
    """Makes a table with a row for each value of the size `key`."""
    rows = sorted(results.of(test, **size), key=lambda row: float(row.size[key]))
    return table([key, *(head for head, _, _ in figures)], [
        [number(float(row.size[key]), 5), *(spread(row, name, factor) for _, name, factor in figures)]
        for row in rows])


MODULE_COLUMNS = [
    ("core, %", "core_share", 100.0), ("longest event, ms", "longest_ms", 1.0),
    ("first list, ms", "first_list_ms", 1.0), ("one change, ms", "one_change_ms", 1.0),
    ("zone lost, ms", "zone_lost_ms", 1.0), ("zone back, ms", "zone_back_ms", 1.0),
    ("1,000 at once, ms", "thousand_ms", 1.0), ("in view", "in_view", 1.0), ("tokens", "tokens", 1.0)]


def module(results: Results) -> str:
    """Costs of the dispatcher by the number of workers."""
    return _table_by_size(results, "module", "servers", MODULE_COLUMNS, jobs=20)


def rates(results: Results) -> str:
    """Costs of the dispatcher by the request rate."""
    return _table_by_size(
        results, "module", "jobs", MODULE_COLUMNS[:4] + [("probes a second", "probes_a_second", 1.0)],
        servers=SERVERS)


def steps(results: Results) -> str:
    """Costs before the new data structures, with them, and with partial lists."""
    rows: Rows = []
    for n in (100, 400, SERVERS):
        for label, test, size in (("before", "before", {}), ("structures, whole list", "whole", {}),
                                  ("and parts", "module", {"jobs": 20})):
            found = results.one(test, servers=n, **size)
            rows.append([number(n, 5), label,
                         *(spread(found, name, factor) for _, name, factor in MODULE_COLUMNS[:7])])
    return table(["servers", "text", *(head for head, _, _ in MODULE_COLUMNS[:7])], rows)


def memory(results: Results) -> str:
    """Memory of the dispatcher by the number of workers."""
    return _table_by_size(results, "memory", "servers", [("module and part, MB", "megabytes", 1.0)])


def node(results: Results) -> str:
    """Costs of a whole node by workers, request rate and list changes."""
    rows = sorted(results.of("node"),
                  key=lambda r: (str(r.size["changes"]), r.size["jobs"], r.size["servers"]))
    return table(
        ["servers", "jobs a second", "changes", "core, %", "resident MB", "descriptors", "ready, s",
         "second address, ms", "bytes a second: servers", "discovery", "clients"],
        [[number(float(r.size["servers"]), 5), f"{r.size['jobs']}", f"{r.size['changes']}",
          spread(r, "core_share", 100), spread(r, "memory_mb"), spread(r, "descriptors"),
          spread(r, "ready_s"),
          spread(r, "second_address_ms"), spread(r, "server_bytes_a_second"),
          spread(r, "discovery_bytes_a_second"), spread(r, "client_bytes_a_second")] for r in rows])


def events(results: Results) -> str:
    """Costs of single events at a whole node."""
    rows: Rows = []
    for label, name in (("nothing", "nothing"), ("one change", "one"), ("a zone lost", "zone_lost"),
                        ("the zone back", "zone_back"), ("1,000 changes", "thousand"),
                        ("the whole list", "whole")):
        rows.append([label, *(f"{spread(results.one('events', servers=n), f'{name}_cpu_ms')}; "
                              f"{spread(results.one('events', servers=n), f'{name}_second_address_ms')}"
                              for n in (100, 400, SERVERS, 5400))])
    return table(["moment: processor ms; second address ms", "100 servers", "400", "2,700", "5,400"], rows)


def watches(results: Results) -> str:
    """Costs of many watches on one discovery."""
    return _table_by_size(results, "watches", "watches", [
        ("all have the list, s", "start_s", 1.0), ("processor at the start, ms each", "start_cpu_ms", 1.0),
        ("KB each", "start_kb", 1.0), ("at rest, bytes a second", "rest_bytes_a_second", 1.0),
        ("at rest, core %", "rest_cpu_share", 100.0), ("zone lost, longest delay, s", "zone_delay_s", 1.0),
        ("KB each", "zone_kb", 1.0), ("calls a second each while down", "down_calls_a_second", 1.0),
        ("discovery back, longest delay, s", "back_delay_s", 1.0)])


def peak(results: Results) -> str:
    """Waiting times at the fleet's peak, by day and size."""
    rows: Rows = []
    order = {day: index for index, day in enumerate(("calm", "zone", "regions", "rolling"))}
    for r in sorted(results.of("peak"), key=lambda r: (-float(r.size["nodes"]), order[str(r.size["day"])],
                                                       r.size["servers"], str(r.size["list"]))):
        rows.append([str(r.size["day"]), str(r.size["nodes"]), number(float(r.size["servers"]), 5),
                     str(r.size["list"]), *(spread(r, f"urgent_{p}_s") for p in ("p50", "p99", "p999")),
                     spread(r, "urgent_late_share", 100), spread(r, "ordinary_p99_s"),
                     spread(r, "ordinary_late_share", 100), spread(r, "denied"), spread(r, "idle_share", 100),
                     spread(r, "crossing_share", 100)])
    return table(["day", "nodes", "servers", "list", "urgent p50, s", "p99", "p99.9", "over 1.6 s, %",
                  "ordinary p99, s", "over 1.6 s, %", "denied", "idle, %", "crossing, %"], rows)


def queue_checks(results: Results) -> str:
    """Compares queues checked at intervals of the run time alone with queues checked at least every 0.1 s."""
    rows: Rows = []
    for kind in ("part", "whole"):
        for label, test in (("an eighth of a run apart", "slowlooks"), ("0.1 s at most", "peak")):
            r = results.one(test, day="calm", nodes=24, servers=SERVERS, list=kind)
            rows.append([kind, label, spread(r, "ordinary_late_share", 100), spread(r, "denied"),
                         spread(r, "urgent_late_share", 100), spread(r, "idle_share", 100)])
    return table(["list", "looks at a line", "ordinary over 1.6 s, %", "denied", "urgent over 1.6 s, %",
                  "idle, %"], rows)


def quotas(results: Results) -> str:
    """Costs of quota decisions by teams, and the overshoot by nodes."""
    return _table_by_size(results, "quotas", "teams", [
        ("a look, us", "admit_us", 1.0), ("a refusal, us", "refuse_us", 1.0),
        ("memory, MB", "megabytes", 1.0)]) + "\n" + \
        _table_by_size(results, "overshoot", "nodes", [("fullest second, of its limit", "most_of_limit", 1.0),
                                            ("an hour's requests, of its limit", "given_of_limit", 1.0)])


def configuration(results: Results) -> str:
    """Costs of a configuration reload."""
    rows = sorted(results.of("configuration"), key=lambda r: (r.size["servers"], r.size["teams"]))
    return table(["servers", "teams", "processor, ms", "in force at this node, s", "second address, ms",
                  "bytes", "answers late"],
                 [[number(float(r.size["servers"]), 5), str(r.size["teams"]), spread(r, "cpu_ms"),
                   spread(r, "in_force_s"), spread(r, "second_address_ms"), spread(r, "bytes", 1, 6),
                   spread(r, "late")] for r in rows])


def fits(results: Results) -> str:
    """The fitted lines, from their file."""
    del results
    return table(["figure", "over", "measured from", "to", "intercept", "slope", "its 95 % interval"],
                 [[line.figure, line.over, number(line.start, 5), number(line.end, 5),
                   number(line.intercept), f"{number(line.slope)} {line.unit}",
                   f"{number(line.low)} to {number(line.high)}"] for line in read_fits(FITS)])


def _figure(result: Result | None, figure: str) -> float | None:
    return None if result is None else result[figure]


def _holds(value: float | None, maximum: float) -> str:
    return MISSING if value is None else "holds" if value <= maximum else "**does not**"


def verdict(results: Results) -> str:
    """Compares each of the operators' targets with the available results."""
    at_rest = results.one("node", servers=SERVERS, jobs=0, changes="none")
    busy = results.one("node", servers=SERVERS, jobs=20, changes="none")
    rolling = results.one("node", servers=SERVERS, jobs=0, changes="rolling")
    dispatcher = results.one("module", servers=SERVERS, jobs=20)
    calm = results.one("peak", day="calm", nodes=200, servers=SERVERS)
    cut = results.one("peak", day="regions", nodes=200, servers=SERVERS)
    zone = results.one("peak", day="zone", nodes=200, servers=SERVERS)
    reload = results.one("configuration", servers=SERVERS, teams=TEAMS)
    level = results.one("quotas", teams=TEAMS)
    over = results.one("overshoot", nodes=200)

    def worst(figure: str, *candidates: Result | None) -> float | None:
        values = [row[figure] for row in candidates if row is not None]
        return max(values) if values else None

    def quantity(value: float | None, unit: str, factor: float = 1.0) -> str:
        return MISSING if value is None else f"{number(value * factor)} {unit}"

    core = worst("core_share", dispatcher)
    rest = worst("core_share", at_rest, rolling)
    resident = worst("memory_mb", at_rest, busy, rolling)
    control_bytes = None if rolling is None or busy is None else (
        rolling["discovery_bytes_a_second"] + rolling["server_bytes_a_second"])
    urgent, lost, apart = (_figure(row, "urgent_p999_s") for row in (calm, zone, cut))
    parse = None if reload is None else reload["cpu_ms"] / 1000 * CHANGES_A_DAY / 86400
    rows: Rows = [
        ["2,700 workers, 6 regions, 19 zones", "a module that can keep them",
         f"{quantity(core, '% of a core at 20 jobs a second', 100)}, part of {spread(dispatcher, 'in_view')}",
         _holds(core, CORE), "parts of the list (`membership/part.py`)"],
        ["590 starts a second, 11,000 running", "the first attempt of most at once",
         f"median {quantity(_figure(calm, 'ordinary_p50_s'), 's')}, "
         f"99 of 100 {quantity(_figure(calm, 'ordinary_p99_s'), 's')}"
         f", denied {quantity(_figure(calm, 'denied'), 'of 17,700')}",
         "not known" if calm is None else "holds on a calm day", "the market, the lines (`choice.py`)"],
        ["gangs of up to 256", "all or none of them", "no counterpart here", "**does not**", "none"],
        ["690 teams with quotas", "a look and its memory, none over its limit",
         f"{quantity(_figure(level, 'admit_us'), 'us')}, {quantity(_figure(level, 'megabytes'), 'MB')}; "
         "at 200 nodes "
         f"{quantity(_figure(over, 'most_of_limit'), 'times a limit of 40 a second')}",
         "not known" if over is None else "memory and cost hold; " + (
             "**the limit does not** at 200 nodes" if over["most_of_limit"] > 1.05 else "so does the limit"),
         "nested token windows (`quotas/`)"],
        ["urgent work starts within 1.6 s", "99.9 of 100, in virtual time",
         f"calm {quantity(urgent, 's')}, a zone lost {quantity(lost, 's')}, "
         f"a region cut off {quantity(apart, 's')}",
         f"calm {_holds(urgent, URGENT_S)}, zone {_holds(lost, URGENT_S)}, regions {_holds(apart, URGENT_S)}",
         "rank by worth in the lines; a queue left early"],
        ["1,800 changes of configuration a day, in force within 3 s", "a way to every node",
         f"at one node {quantity(_figure(reload, 'in_force_s'), 's')}; nothing brings it there",
         "**does not**", "SIGHUP and a file a node: no distribution"],
        ["control: 1.6 % of a core", "at rest and under a rolling replacement, a whole process",
         f"{quantity(rest, '%', 100)}; a new document each time {quantity(parse, '% more', 100)}",
         _holds(rest, CORE) + ("" if rest is None or parse is None else
                               f"; with a whole document each time: {_holds(rest + parse, CORE)}"),
         "cost by the part, not by the list"],
        ["control: 128 MB", "resident, all in", quantity(resident, "MB"), _holds(resident, MEMORY),
         "as above"],
        ["control: 7 KB a second", "lists, watches, probes, both ways, rolling replacement, no jobs",
         quantity(control_bytes, "bytes a second"), _holds(control_bytes, BYTES),
         "watch with changes alone; probes by need"],
        ["8 machines for control", "discovery, configuration", "no server of either is here", "not known",
         "from outside"],
        ["14 machines fail, 140 replaced a day; a zone", "142 servers at once in under 50 ms",
         quantity(_figure(dispatcher, "zone_lost_ms"), "ms"),
         _holds(_figure(dispatcher, "zone_lost_ms"), 50.0),
         "change by change; ring in place"],
    ]
    return table(["asked", "what it needs", "measured or worked out", "verdict", "mechanism"], rows)


def fleets(results: Results) -> str:
    """Extrapolates the figures to fleets of several sizes; none of this is measured."""
    start = results.one("watches", watches=200, servers=SERVERS)
    rows: Rows = []
    for nodes in FLEETS:
        kb = None if start is None else start["start_kb"]
        zone_kb = None if start is None else start["zone_kb"]
        rows.append([number(nodes, 5), number(STARTS / nodes), number(11_000 / nodes),
                     MISSING if kb is None else f"{number(kb * nodes / 1000)} MB",
                     MISSING if zone_kb is None else f"{number(zone_kb * nodes / 1000)} MB",
                     MISSING if start is None else f"{number(start['start_cpu_ms'] * nodes / 1000)} s",
                     number(474 * nodes / SERVERS), number(10 * 7 * nodes / 1000 / 10)])
    return table(["nodes", "starts a second each", "running each", "a mass restart, from discovery",
                  "a zone's loss, from discovery", "reading it, all nodes", "nodes that see one server",
                  "7 KB a second each, MB a second in all"], rows)


Tables = dict[str, Callable[[Results], str]]
TABLES: Tables = {
    "verdict": verdict, "module": module, "rates": rates, "steps": steps, "memory": memory, "node": node,
    "events": events, "watches": watches, "peak": peak, "looks": queue_checks, "quotas": quotas,
    "configuration": configuration,
    "fits": fits, "fleets": fleets}


def fill_tables(text: str, folder: Path = FOLDER, tables: Tables | None = None) -> str:
    """Returns a page's text with all tables regenerated, by default with the tables of this module."""
    results, generators = Results(load_results(folder)), TABLES if tables is None else tables
    return TABLE_PATTERN.sub(lambda found: found[1] + generators[found[2]](results) + found[3], text)


SPECS = (
    FitSpec("module, core % at 20 jobs a second", "% a 1,000 servers", "module", "core_share", "servers",
            {"jobs": 20}, 100.0, 400),
    FitSpec("module, a change, ms", "ms a 1,000 servers", "module", "one_change_ms", "servers",
            {"jobs": 20}, 1.0, 400),
    FitSpec("module, first list, ms", "ms a 1,000 servers", "module", "first_list_ms", "servers",
            {"jobs": 20}, 1.0, 400),
    FitSpec("module, core % at 2,700 servers", "% a 1,000 jobs a second", "module", "core_share", "jobs",
            {"servers": SERVERS}, 100.0, 2),
    FitSpec("node, resident MB, no jobs", "MB a 1,000 servers", "node", "memory_mb", "servers",
            {"jobs": 0, "changes": "none"}, 1.0, 100),
    FitSpec("node, whole list, processor ms", "ms a 1,000 servers", "events", "whole_cpu_ms", "servers",
            {}, 1.0, 100),
)


def fit(folder: Path = FOLDER) -> None:
    """Fits all lines and writes them beside the results."""
    write_fits(fit_all(SPECS, Results(load_results(folder))), FITS)
