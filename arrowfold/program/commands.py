"""The command line: `run`, `check`, `judge`, `quotas`, `try`, `standins`.

The platform starts a node without a command, so this module is not imported there.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from arrowfold.program.signals import Signals

if TYPE_CHECKING:
    from arrowfold.expectations.reports import Report
    from arrowfold.expectations.worlds import SystemUnderTest
    from arrowfold.program.edge import EdgeDocument

EXIT_FAULT = 2
EXIT_FAILED = 1
_FILE_PATH = click.Path(path_type=Path, dir_okay=False)


class InputFault(click.ClickException):
    """An invalid argument or input file: reported in one line, with exit code 2."""

    exit_code = EXIT_FAULT


@click.group(context_settings={"help_option_names": ["-h", "--help"]}, no_args_is_help=False)
@click.version_option(package_name="arrowfold")
def cli() -> None:
    """A multi-protocol edge: takes jobs, sends each to a backend server, gives each one final answer.

    With no command at all, a node starts as the platform starts it, from EDGE_CONFIG alone. `arrowfold try`
    shows a node at work and needs no configuration. `arrowfold system --help` is about the whole
    system of edge and control nodes.
    """


@cli.command()
@click.argument("edge_file", required=False, type=_FILE_PATH)
@click.pass_obj
def run(signals: Signals | None, edge_file: Path | None) -> None:
    """Run a node.

    EDGE_FILE is the deployment's KDL document, such as deploy/edge.kdl: the Faktory front, descriptions,
    the trace, regions and routes. What the platform says comes by EDGE_CONFIG and the other EDGE_ variables.
    SIGHUP reads both again, SIGTERM ends the node once nothing is owed.
    """
    from arrowfold.program.start import run_node

    if edge_file is not None and edge_file.suffix == ".toml":
        _read_document(edge_file)  # fails with a message that names the current format
    raise click.exceptions.Exit(run_node(edge_file, signals or Signals()))


@cli.command()
@click.argument("edge_file", type=_FILE_PATH)
@click.option("--settings", type=_FILE_PATH, metavar="JSON",
              help="The platform's configuration or its settings; else what the document's check names.")
@click.option("--seed", default=1, show_default=True,
              help="For the module's chance; the same seed, the same output.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of lines.")
@click.option("--replay", metavar="TOKEN", help="Tell one world step by step, and what it breaks.")
@click.option("--only", metavar="NAME", multiple=True, help="Check this expectation alone; may be repeated.")
def check(
        edge_file: Path, settings: Path | None, seed: int, as_json: bool, replay: str | None,
        only: tuple[str, ...],
) -> None:
    """Check what EDGE_FILE expects of routing, without a socket and without traffic.

    Plays the node's own decisions through states of servers in virtual time. Exit code 0: everything holds;
    1: something fails, or was never brought about; 2: the document is at fault.
    """
    from arrowfold.expectations.check import Check
    from arrowfold.expectations.worlds import TokenError, World

    document = _read_document(edge_file)
    plan = build_plan(document, settings)
    for name in only:
        if all(name != e.name for e in document.expectations):
            raise InputFault(f"--only: no expectation is named {name!r}")
    checking = Check(plan, document.expectations, seed)
    if replay is not None:
        try:
            world = World.from_token(replay)
        except TokenError as error:
            raise InputFault(f"--replay: {error}") from error
        for line in checking.replay(world):
            click.echo(line)
        return
    reports = checking.run(only=only)
    _print_reports(reports, as_json, {"worlds": checking.played, "seed": seed})


@cli.command()
@click.argument("edge_file", type=_FILE_PATH)
@click.argument("trace", type=_FILE_PATH)
@click.option("--fleet", type=_FILE_PATH, metavar="JSONL",
              help="What the servers did themselves: lines with at, server and state.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of lines.")
def judge(edge_file: Path, trace: Path, fleet: Path | None, as_json: bool) -> None:
    """Hold real traffic to what EDGE_FILE expects.

    TRACE is the file that the document's trace node has a node write. Claims that count from what a server
    did itself need --fleet. Exit codes as for check.
    """
    from arrowfold.expectations.judgement import evaluate_all, required_share
    from arrowfold.expectations.reports import Report
    from arrowfold.program.judging import TraceError, read_history

    document = _read_document(edge_file)
    try:
        history, dropped_spans = read_history(trace, fleet)
    except TraceError as error:
        raise InputFault(str(error)) from error
    tallies = evaluate_all(history, document.expectations, document.routes.regions)
    reports = []
    for expectation, tally in zip(document.expectations, tallies, strict=True):
        report = Report(expectation.name, expectation.path, "vacuous", bool(tally.applied), tally.good,
                        len(tally.bad))
        if tally.applied:
            report.share = tally.good / tally.applied
            report.verdict = "holds" if report.share >= required_share(expectation.claim) else "fails"
        if report.verdict == "fails":
            report.broke = tally.bad[0].text
        reports.append(report)
    _print_reports(
        reports, as_json, {"sessions": len(history.session_records), "spans_dropped": dropped_spans})


@cli.command()
@click.argument("edge_file", type=_FILE_PATH)
@click.option("--settings", type=_FILE_PATH, metavar="JSON",
              help="The platform's configuration or its settings; else what the document's check names.")
@click.option("--replay", type=_FILE_PATH, metavar="JSONL",
              help="Timed arrivals: lines with at (seconds), tenant, class, and run (seconds), slots, key.")
def quotas(edge_file: Path, settings: Path | None, replay: Path | None) -> None:
    """Show EDGE_FILE's quotas as a node of several has them, and what in them can't be kept.

    With --replay, arrivals in virtual time: who is let in, denied and until when. Exit code 1 if the quotas
    contradict each other.
    """
    from arrowfold.program.quota_commands import find_contradictions, format_tree, replay_arrivals

    document = _read_document(edge_file)
    if document.quotas is None:
        raise InputFault(f"configuration: {edge_file}: quotas is missing")
    platform_settings = build_plan(document, settings).settings
    if replay is not None:
        try:
            for line in replay_arrivals(document.quotas, platform_settings, replay):
                click.echo(line)
        except ValueError as error:
            raise InputFault(str(error)) from error
        return
    for line in format_tree(document.quotas, platform_settings):
        click.echo(line)
    contradictions = list(find_contradictions(document.quotas, platform_settings))
    for line in contradictions:
        click.echo(f"contradiction: {line}")
    raise click.exceptions.Exit(EXIT_FAILED if contradictions else 0)


@cli.command(name="try")
@click.option("--jobs", default=12, show_default=True, type=click.IntRange(1, 500),
              help="How many jobs to hand in.")
def try_out(jobs: int) -> None:
    """Start a node with stand-in servers, hand in jobs over both wires, and show the answers.

    Needs no configuration, uses free ports of this machine's loopback address, and ends by itself.
    """
    from arrowfold.program.trial import Trial

    raise click.exceptions.Exit(Trial(click.echo).run(jobs))


@cli.command()
@click.argument("config", type=_FILE_PATH)
@click.option("--workers", default=4, show_default=True, type=click.IntRange(1, 100),
              help="How many stand-in search workers.")
def standins(config: Path, workers: int) -> None:
    """Stand in for what the node of CONFIG talks to: its discovery, and search workers.

    Listens at CONFIG's discovery (or EDGE_DISCOVERY), on loopback only. Ends with the program that started
    it, or with SIGTERM; `make run` starts it where EDGE_CONFIG is not set.
    """
    from arrowfold.program.trial import StandIns

    try:
        stand_ins = StandIns(config, workers)
    except (OSError, ValueError) as error:
        raise InputFault(f"standins: {config}: {error}") from error
    click.echo(stand_ins.usage_hint(), err=True)
    stand_ins.serve()


def main(arguments: list[str], signals: Signals | None = None) -> int:
    """Runs a command line and returns the exit code; an invalid input is one line on stderr and code 2."""
    if arguments and arguments[0].endswith(".toml"):
        arguments = ["run", *arguments]  # nodes were started this way before there were commands
    try:
        code = cli.main(arguments, prog_name="arrowfold", standalone_mode=False, obj=signals)
    except click.ClickException as error:
        print(f"arrowfold: {' '.join(error.format_message().split())}", file=sys.stderr)
        return EXIT_FAULT
    except click.Abort:
        return 130
    return code if isinstance(code, int) else 0


def _read_document(path: Path) -> EdgeDocument:
    from arrowfold.program.document import DocumentError
    from arrowfold.program.edge import read_edge

    try:
        return read_edge(path)
    except DocumentError as error:
        raise InputFault(f"configuration: {error}") from error


def build_plan(document: EdgeDocument, settings: Path | None) -> SystemUnderTest:
    """Builds the check's plan: the settings from the option or the document, routes, fleet and quotas."""
    from arrowfold.expectations.claims import AtMostAt, Reaches
    from arrowfold.expectations.sampling import derive_fleet
    from arrowfold.expectations.worlds import SystemUnderTest
    from arrowfold.program.config import ConfigError, read_settings

    path = settings or document.check.settings
    if path is None:
        raise InputFault(
            "configuration: check > settings is missing: name the settings there or by --settings")
    try:
        platform_settings, zones_and_kinds = read_settings(path)
    except ConfigError as error:
        raise InputFault(f"configuration: {error}") from error
    targets = [e.claim.target for e in document.expectations if isinstance(e.claim, Reaches | AtMostAt)]
    kinds = {target.kind: None for target in targets if target.kind is not None}
    fleet = derive_fleet(platform_settings, document.routes, document.check.fleet or zones_and_kinds, kinds)
    return SystemUnderTest(platform_settings, document.routes, fleet, document.quotas)


def _print_reports(reports: list[Report], as_json: bool, totals: dict[str, Any]) -> None:
    failed = [report for report in reports if report.verdict != "holds"]
    if as_json:
        click.echo(json.dumps({**totals, "expectations": [report.as_row() for report in reports]}, indent=1))
    else:
        for report in reports:
            for line in report.lines():
                click.echo(line)
        click.echo(f"{len(reports)} expectations, {len(failed)} of them do not hold; " + ", ".join(
            f"{name.replace('_', ' ')} {value}" for name, value in totals.items()))
    raise click.exceptions.Exit(EXIT_FAILED if failed else 0)
