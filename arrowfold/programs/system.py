"""The system's operator tools: a trial on loopback, and checks of files without starting anything.

Usage:
  arrowfold system try [--edges=N] [--requests=N]
  arrowfold system check-settings FILE
  arrowfold system check-configuration FILE
  arrowfold system check-policy FILE
  arrowfold system explain [--worth=LIST] FILE...
  arrowfold system --help

Commands:
  try                  Run the whole system on loopback, with stand-in workers; show what was served.
  check-settings       Check a process's settings file (TOML).
  check-configuration  Check an operator's configuration (JSON), as PUT /configuration would.
  check-policy         Check a policy file (TOML), as --policy takes it.
  explain              Sum up logs with trace records (--trace): what was late, refused or failed, and why.

Options:
  --edges=N     Edge nodes of the trial [default: 3].
  --requests=N  Requests in each phase of the trial [default: 30].
  --worth=LIST  What answers are worth in time and late, by the route's priority: 0=3/0.3,1=2/0.2.
                Else 1 in time and 0.3 late.

Exit code: 0; 1 where the trial saw a fault; 2 and one line where a file or an option is at fault.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from docopt import DocoptExit, docopt
from result import Err

from arrowfold.node.result_codes import ResultCode

if TYPE_CHECKING:
    from arrowfold.configuration.documents import RouteDocument
    from arrowfold.explain.summary import AnswerValue

EXIT_SUCCESS = 0
EXIT_TRIAL_FAILED = 1
EXIT_INVALID_INPUT = 2
MAX_EDGES = 20
MAX_REQUESTS = 1000


def main(arguments: list[str]) -> int:
    """Run the command given by the arguments after `arrowfold system`; returns the exit code."""
    try:
        options = docopt(__doc__, argv=["system", *arguments])
    except DocoptExit:
        return _report_error(ResultCode.USAGE, "not understood; see arrowfold system --help")
    files = [Path(name) for name in options["FILE"]]
    if options["check-settings"]:
        return check_settings(files[0])
    if options["check-configuration"]:
        return check_configuration(files[0])
    if options["check-policy"]:
        return check_policy(files[0])
    if options["explain"]:
        return explain(files, options["--worth"])
    edges = _parse_count(options["--edges"], MAX_EDGES)
    requests = _parse_count(options["--requests"], MAX_REQUESTS)
    if edges is None:
        return _report_error(ResultCode.USAGE, f"--edges: a number from 1 to {MAX_EDGES}")
    if requests is None:
        return _report_error(ResultCode.USAGE, f"--requests: a number from 1 to {MAX_REQUESTS}")
    return try_system(edges, requests)


def try_system(edges: int, requests: int) -> int:
    """Run the whole system on loopback and print what was served; returns the exit code."""
    from arrowfold.standins.system_trial import run_trial

    report = run_trial(edges, requests, print)
    return EXIT_SUCCESS if report.passed else EXIT_TRIAL_FAILED


def check_settings(path: Path) -> int:
    """Validate a settings file and print a summary of it; returns the exit code."""
    from arrowfold.node.settings import load_settings

    loaded = load_settings(path)
    if isinstance(loaded, Err):
        return _report_error(ResultCode.SETTINGS_INVALID, str(loaded.err_value))
    settings = loaded.ok_value
    serves = ", ".join(settings.serves) or "nothing"
    print(f"{path}: node {settings.nodeName} in zone {settings.zone}, serves {serves}")
    print(f"  internal protocol at {settings.internal_address}, {len(settings.seedNodes)} seed nodes")
    losses = settings.faultTolerance.machineLosses
    print(f"  disk: {settings.dataDirectory or 'none'}; machine losses borne: {losses}")
    return EXIT_SUCCESS


def check_configuration(path: Path) -> int:
    """Validate an operator's configuration and print a summary of it; returns the exit code."""
    from arrowfold.configuration.validity import parse_configuration

    try:
        body = path.read_bytes()
    except OSError as error:
        return _report_error(ResultCode.CONFIGURATION_UNREADABLE, f"{path}: can't be read: {error}")
    parsed = parse_configuration(body)
    if isinstance(parsed, Err):
        fault = parsed.err_value
        location = f"{fault.path}: " if fault.path else ""
        return _report_error(fault.code, f"{path}: {location}{fault.text}")
    document = parsed.ok_value
    routes, services = len(document.routes), len(document.services)
    print(f"{path}: version {document.version}, {routes} routes, {services} services")
    for service in document.services:
        route_count = sum(service.name in _target_services(route) for route in document.routes)
        model_count = len(service.engine.models) if service.engine else 0
        print(f"  service {service.name}: {route_count} routes, {model_count} models")
    return EXIT_SUCCESS


def check_policy(path: Path) -> int:
    """Validate a policy file; returns the exit code."""
    from arrowfold.programs.policy_options import load_policy_options

    loaded = load_policy_options(str(path))
    if isinstance(loaded, Err):
        return _report_error(ResultCode.POLICY_INVALID, loaded.err_value)
    print(f"{path}: every option is known and possible")
    return EXIT_SUCCESS


def explain(paths: list[Path], worth_list: str | None) -> int:
    """Print a summary of the trace records in these logs; returns the exit code.

    `worth_list` is the text of the option --worth.
    """
    from arrowfold.explain.records import read_records
    from arrowfold.explain.summary import summary_lines

    values_by_priority = _parse_values(worth_list or "")
    if values_by_priority is None:
        return _report_error(ResultCode.USAGE, "--worth: a list like 0=3/0.3,1=2/0.2")
    lines: list[str] = []
    for path in paths:
        try:
            lines += path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            return _report_error(ResultCode.USAGE, f"{path}: can't be read: {error}")
    for line in summary_lines(read_records(lines), values_by_priority):
        print(line)
    return EXIT_SUCCESS


def _parse_values(text: str) -> dict[int, AnswerValue] | None:
    """Parses `priority=in time/late,...` to values by priority; returns None if the text is malformed."""
    from arrowfold.explain.summary import AnswerValue

    values = {}
    for item in filter(None, text.split(",")):
        priority, _, pair = item.partition("=")
        in_time, _, late = pair.partition("/")
        try:
            values[int(priority)] = AnswerValue(float(in_time), float(late))
        except ValueError:
            return None
    return values


def _target_services(route: RouteDocument) -> set[str | None]:
    if route.trafficSplit is not None:
        return {part.targetService for part in route.trafficSplit}
    return {route.targetService}


def _parse_count(text: str, maximum: int) -> int | None:
    """Parses a decimal number from 1 to `maximum`; returns None for any other text."""
    return int(text) if text.isdecimal() and 1 <= int(text) <= maximum else None


def _report_error(code: ResultCode, message: str) -> int:
    """Print one line on standard error; returns the exit code for invalid input."""
    print(f"arrowfold: error {int(code)} {code.name}: {message}", file=sys.stderr)
    return EXIT_INVALID_INPUT
