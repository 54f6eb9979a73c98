"""The tables of docs/CAPACITY-service.md, made of results, between `<!-- table: NAME -->` and an end."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path

from benchmarks.capacity.fitting import FitSpec, Results, fit_all, read_fits, write_fits
from benchmarks.capacity.results import FOLDER, ROOT, Result, load_results

PAGE = ROOT / "docs" / "CAPACITY-service.md"
FITS = FOLDER / "fits.json"
MISSING = "not measured yet"
MARKED = re.compile(r"(<!-- table: (\w+) -->\n).*?(<!-- end -->)", re.S)
Rows = list[list[str]]

# What the operators' table asks.
CORE, MEMORY, BYTES, URGENT_S, IN_FORCE_S = 0.016, 128.0, 7000.0, 1.6, 3.0
SERVERS, STARTS, CHANGES_A_DAY, TEAMS, ZONE = 2700, 590, 1800, 690, 142
FLEETS = (200, 700, 2700)


def table(head: list[str], rows: Rows) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def number(value: float, digits: int = 3) -> str:
    """So many significant digits, without an exponent."""
    if value == 0:
        return "0"
    text = f"{value:.{digits}g}"
    return f"{float(text):,.0f}" if "e" in text else text


def spread(result: Result | None, figure: str, factor: float = 1.0, digits: int = 3) -> str:
    """Median, and least to most in brackets where there were several runs."""
    if result is None or figure not in result.figures:
        return MISSING
    middle, least, most = (value * factor for value in result.figures[figure])
    if len(result.seeds) == 1:
        return number(middle, digits)
    return f"{number(middle, digits)} ({number(least, digits)} to {number(most, digits)})"


def _by(results: Results, test: str, key: str, figures: list[tuple[str, str, float]],
        **size: float | str) -> str:
    """A row for each value of a size."""
    rows = sorted(results.of(test, **size), key=lambda row: float(row.size[key]))
    return table([key, *(head for head, _, _ in figures)], [
        [number(float(row.size[key]), 5), *(spread(row, name, factor) for _, name, factor in figures)]
        for row in rows])


MODULE = [("core, %", "core_share", 100.0), ("longest event, ms", "longest_ms", 1.0),
          ("first list, ms", "first_list_ms", 1.0), ("one change, ms", "one_change_ms", 1.0),
          ("zone lost, ms", "zone_lost_ms", 1.0), ("zone back, ms", "zone_back_ms", 1.0),
          ("1,000 at once, ms", "thousand_ms", 1.0), ("in view", "in_view", 1.0), ("tokens", "tokens", 1.0)]


def module(results: Results) -> str:
    return _by(results, "module", "servers", MODULE, jobs=20)


def rates(results: Results) -> str:
    return _by(results, "module", "jobs", MODULE[:4] + [("probes a second", "probes_a_second", 1.0)],
               servers=SERVERS)


def steps(results: Results) -> str:
    """The text before, the new structures with the whole list, and parts."""
    rows: Rows = []
    for n in (100, 400, SERVERS):
        for label, test, size in (("before", "before", {}), ("structures, whole list", "whole", {}),
                                  ("and parts", "module", {"jobs": 20})):
            found = results.one(test, servers=n, **size)
            rows.append([number(n, 5), label,
                         *(spread(found, name, factor) for _, name, factor in MODULE[:7])])
    return table(["servers", "text", *(head for head, _, _ in MODULE[:7])], rows)


def memory(results: Results) -> str:
    return _by(results, "memory", "servers", [("module and part, MB", "megabytes", 1.0)])


def node(results: Results) -> str:
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
    rows: Rows = []
    for label, name in (("nothing", "nothing"), ("one change", "one"), ("a zone lost", "zone_lost"),
                        ("the zone back", "zone_back"), ("1,000 changes", "thousand"),
                        ("the whole list", "whole")):
        rows.append([label, *(f"{spread(results.one('events', servers=n), f'{name}_cpu_ms')}; "
                              f"{spread(results.one('events', servers=n), f'{name}_second_address_ms')}"
                              for n in (100, 400, SERVERS, 5400))])
    return table(["moment: processor ms; second address ms", "100 servers", "400", "2,700", "5,400"], rows)


def watches(results: Results) -> str:
    return _by(results, "watches", "watches", [
        ("all have the list, s", "start_s", 1.0), ("processor at the start, ms each", "start_cpu_ms", 1.0),
        ("KB each", "start_kb", 1.0), ("at rest, bytes a second", "rest_bytes_a_second", 1.0),
        ("at rest, core %", "rest_cpu_share", 100.0), ("zone lost, longest delay, s", "zone_delay_s", 1.0),
        ("KB each", "zone_kb", 1.0), ("calls a second each while down", "down_calls_a_second", 1.0),
        ("discovery back, longest delay, s", "back_delay_s", 1.0)])


def peak(results: Results) -> str:
    rows: Rows = []
    order = {day: nth for nth, day in enumerate(("calm", "zone", "regions", "rolling"))}
    for r in sorted(results.of("peak"), key=lambda r: (-float(r.size["nodes"]), order[str(r.size["day"])],
                                                       r.size["servers"], str(r.size["list"]))):
        rows.append([str(r.size["day"]), str(r.size["nodes"]), number(float(r.size["servers"]), 5),
                     str(r.size["list"]), *(spread(r, f"urgent_{p}_s") for p in ("p50", "p99", "p999")),
                     spread(r, "urgent_late_share", 100), spread(r, "ordinary_p99_s"),
                     spread(r, "ordinary_late_share", 100), spread(r, "denied"), spread(r, "idle_share", 100),
                     spread(r, "crossing_share", 100)])
    return table(["day", "nodes", "servers", "list", "urgent p50, s", "p99", "p99.9", "over 1.6 s, %",
                  "ordinary p99, s", "over 1.6 s, %", "denied", "idle, %", "crossing, %"], rows)


def looks(results: Results) -> str:
    """The same fleet with lines looked at by the run time alone, and at least every tenth of a second."""
    rows: Rows = []
    for kind in ("part", "whole"):
        for label, test in (("an eighth of a run apart", "slowlooks"), ("0.1 s at most", "peak")):
            r = results.one(test, day="calm", nodes=24, servers=SERVERS, list=kind)
            rows.append([kind, label, spread(r, "ordinary_late_share", 100), spread(r, "denied"),
                         spread(r, "urgent_late_share", 100), spread(r, "idle_share", 100)])
    return table(["list", "looks at a line", "ordinary over 1.6 s, %", "denied", "urgent over 1.6 s, %",
                  "idle, %"], rows)


def quotas(results: Results) -> str:
    return _by(results, "quotas", "teams", [
        ("a look, us", "admit_us", 1.0), ("a refusal, us", "refuse_us", 1.0),
        ("memory, MB", "megabytes", 1.0)]) + "\n" + \
        _by(results, "overshoot", "nodes", [("fullest second, of its limit", "most_of_limit", 1.0),
                                            ("an hour's requests, of its limit", "given_of_limit", 1.0)])


def configuration(results: Results) -> str:
    rows = sorted(results.of("configuration"), key=lambda r: (r.size["servers"], r.size["teams"]))
    return table(["servers", "teams", "processor, ms", "in force at this node, s", "second address, ms",
                  "bytes", "answers late"],
                 [[number(float(r.size["servers"]), 5), str(r.size["teams"]), spread(r, "cpu_ms"),
                   spread(r, "in_force_s"), spread(r, "second_address_ms"), spread(r, "bytes", 1, 6),
                   spread(r, "late")] for r in rows])


def fits(results: Results) -> str:
    del results
    return table(["figure", "over", "measured from", "to", "intercept", "slope", "its 95 % interval"],
                 [[line.figure, line.over, number(line.start, 5), number(line.end, 5),
                   number(line.intercept), f"{number(line.slope)} {line.unit}",
                   f"{number(line.low)} to {number(line.high)}"] for line in read_fits(FITS)])


def _of(result: Result | None, figure: str) -> float | None:
    return None if result is None else result[figure]


def _holds(value: float | None, most: float) -> str:
    return MISSING if value is None else "holds" if value <= most else "**does not**"


def verdict(results: Results) -> str:
    """Each row of the operators' table, by the results that there are."""
    at_rest = results.one("node", servers=SERVERS, jobs=0, changes="none")
    busy = results.one("node", servers=SERVERS, jobs=20, changes="none")
    rolling = results.one("node", servers=SERVERS, jobs=0, changes="rolling")
    mine = results.one("module", servers=SERVERS, jobs=20)
    calm = results.one("peak", day="calm", nodes=200, servers=SERVERS)
    cut = results.one("peak", day="regions", nodes=200, servers=SERVERS)
    zone = results.one("peak", day="zone", nodes=200, servers=SERVERS)
    reload = results.one("configuration", servers=SERVERS, teams=TEAMS)
    level = results.one("quotas", teams=TEAMS)
    over = results.one("overshoot", nodes=200)

    def worst(figure: str, *some: Result | None) -> float | None:
        known = [row[figure] for row in some if row is not None]
        return max(known) if known else None

    def say(value: float | None, unit: str, factor: float = 1.0) -> str:
        return MISSING if value is None else f"{number(value * factor)} {unit}"

    core = worst("core_share", mine)
    rest = worst("core_share", at_rest, rolling)
    resident = worst("memory_mb", at_rest, busy, rolling)
    passed = None if rolling is None or busy is None else (
        rolling["discovery_bytes_a_second"] + rolling["server_bytes_a_second"])
    urgent, lost, apart = (_of(row, "urgent_p999_s") for row in (calm, zone, cut))
    parse = None if reload is None else reload["cpu_ms"] / 1000 * CHANGES_A_DAY / 86400
    rows: Rows = [
        ["2,700 workers, 6 regions, 19 zones", "a module that can keep them",
         f"{say(core, '% of a core at 20 jobs a second', 100)}, part of {spread(mine, 'in_view')}",
         _holds(core, CORE), "parts of the list (`membership/part.py`)"],
        ["590 starts a second, 11,000 running", "the first attempt of most at once",
         f"median {say(_of(calm, 'ordinary_p50_s'), 's')}, 99 of 100 {say(_of(calm, 'ordinary_p99_s'), 's')}"
         f", denied {say(_of(calm, 'denied'), 'of 17,700')}",
         "not known" if calm is None else "holds on a calm day", "the market, the lines (`choice.py`)"],
        ["gangs of up to 256", "all or none of them", "no counterpart here", "**does not**", "none"],
        ["690 teams with quotas", "a look and its memory, none over its limit",
         f"{say(_of(level, 'admit_us'), 'us')}, {say(_of(level, 'megabytes'), 'MB')}; at 200 nodes "
         f"{say(_of(over, 'most_of_limit'), 'times a limit of 40 a second')}",
         "not known" if over is None else "memory and cost hold; " + (
             "**the limit does not** at 200 nodes" if over["most_of_limit"] > 1.05 else "so does the limit"),
         "nested token windows (`quotas/`)"],
        ["urgent work starts within 1.6 s", "99.9 of 100, in virtual time",
         f"calm {say(urgent, 's')}, a zone lost {say(lost, 's')}, a region cut off {say(apart, 's')}",
         f"calm {_holds(urgent, URGENT_S)}, zone {_holds(lost, URGENT_S)}, regions {_holds(apart, URGENT_S)}",
         "rank by worth in the lines; a queue left early"],
        ["1,800 changes of configuration a day, in force within 3 s", "a way to every node",
         f"at one node {say(_of(reload, 'in_force_s'), 's')}; nothing brings it there",
         "**does not**", "SIGHUP and a file a node: no distribution"],
        ["control: 1.6 % of a core", "at rest and under a rolling replacement, a whole process",
         f"{say(rest, '%', 100)}; a new document each time {say(parse, '% more', 100)}",
         _holds(rest, CORE) + ("" if rest is None or parse is None else
                               f"; with a whole document each time: {_holds(rest + parse, CORE)}"),
         "cost by the part, not by the list"],
        ["control: 128 MB", "resident, all in", say(resident, "MB"), _holds(resident, MEMORY), "as above"],
        ["control: 7 KB a second", "lists, watches, probes, both ways, rolling replacement, no jobs",
         say(passed, "bytes a second"), _holds(passed, BYTES), "watch with changes alone; probes by need"],
        ["8 machines for control", "discovery, configuration", "no server of either is here", "not known",
         "from outside"],
        ["14 machines fail, 140 replaced a day; a zone", "142 servers at once in under 50 ms",
         say(_of(mine, "zone_lost_ms"), "ms"), _holds(_of(mine, "zone_lost_ms"), 50.0),
         "change by change; ring in place"],
    ]
    return table(["asked", "what it needs", "measured or worked out", "verdict", "mechanism"], rows)


def fleets(results: Results) -> str:
    """Worked out, not measured: what so many nodes make of the figures."""
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
    "events": events, "watches": watches, "peak": peak, "looks": looks, "quotas": quotas,
    "configuration": configuration,
    "fits": fits, "fleets": fleets}


def filled(text: str, folder: Path = FOLDER, tables: Tables | None = None) -> str:
    """A page with its tables made anew; this one's tables, if none are given."""
    results, makers = Results(load_results(folder)), TABLES if tables is None else tables
    return MARKED.sub(lambda found: found[1] + makers[found[2]](results) + found[3], text)


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
    """Lines through the results, by least squares; written beside them."""
    write_fits(fit_all(SPECS, Results(load_results(folder))), FITS)
