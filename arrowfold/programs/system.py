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
    from arrowfold.explain.summary import Worth

PASSED = 0
FAULT_SEEN = 1
FAULTY_INPUT = 2
MOST_EDGES = 20
MOST_REQUESTS = 1000


def main(arguments: list[str]) -> int:
    """Obey the arguments after `arrowfold system`; returns the exit code."""
    try:
        options = docopt(__doc__, argv=["system", *arguments])
    except DocoptExit:
        return _refuse(ResultCode.USAGE, "not understood; see arrowfold system --help")
    files = [Path(name) for name in options["FILE"]]
    if options["check-settings"]:
        return check_settings(files[0])
    if options["check-configuration"]:
        return check_configuration(files[0])
    if options["check-policy"]:
        return check_policy(files[0])
    if options["explain"]:
        return explain(files, options["--worth"])
    edges = _whole_number(options["--edges"], MOST_EDGES)
    requests = _whole_number(options["--requests"], MOST_REQUESTS)
    if edges is None:
        return _refuse(ResultCode.USAGE, f"--edges: a number from 1 to {MOST_EDGES}")
    if requests is None:
        return _refuse(ResultCode.USAGE, f"--requests: a number from 1 to {MOST_REQUESTS}")
    return try_system(edges, requests)


def try_system(edges: int, requests: int) -> int:
    """Run the whole system on loopback and print what was served."""
    from arrowfold.standins.system_trial import run_trial

    report = run_trial(edges, requests, print)
    return PASSED if report.passed else FAULT_SEEN


def check_settings(path: Path) -> int:
    """Check a settings file, and say what the process would do with it."""
    from arrowfold.node.settings import load_settings

    loaded = load_settings(path)
    if isinstance(loaded, Err):
        return _refuse(ResultCode.SETTINGS_INVALID, str(loaded.err_value))
    settings = loaded.ok_value
    serves = ", ".join(settings.serves) or "nothing"
    print(f"{path}: node {settings.nodeName} in zone {settings.zone}, serves {serves}")
    print(f"  internal protocol at {settings.internal_address}, {len(settings.seedNodes)} seed nodes")
    losses = settings.faultTolerance.machineLosses
    print(f"  disk: {settings.dataDirectory or 'none'}; machine losses borne: {losses}")
    return PASSED


def check_configuration(path: Path) -> int:
    """Check an operator's configuration, and say what it holds."""
    from arrowfold.configuration.validity import parse_configuration

    try:
        body = path.read_bytes()
    except OSError as error:
        return _refuse(ResultCode.CONFIGURATION_UNREADABLE, f"{path}: can't be read: {error}")
    parsed = parse_configuration(body)
    if isinstance(parsed, Err):
        fault = parsed.err_value
        place = f"{fault.path}: " if fault.path else ""
        return _refuse(fault.code, f"{path}: {place}{fault.text}")
    document = parsed.ok_value
    routes, services = len(document.routes), len(document.services)
    print(f"{path}: version {document.version}, {routes} routes, {services} services")
    for service in document.services:
        routed = sum(service.name in _targets(route) for route in document.routes)
        models = len(service.engine.models) if service.engine else 0
        print(f"  service {service.name}: {routed} routes, {models} models")
    return PASSED


def check_policy(path: Path) -> int:
    """Check a policy file."""
    from arrowfold.programs.policy_options import load_policy_options

    loaded = load_policy_options(str(path))
    if isinstance(loaded, Err):
        return _refuse(ResultCode.POLICY_INVALID, loaded.err_value)
    print(f"{path}: every option is known and possible")
    return PASSED


def explain(paths: list[Path], worth_list: str | None) -> int:
    """Sum up the trace records of these logs."""
    from arrowfold.explain.records import read_records
    from arrowfold.explain.summary import summary_lines

    worths = _worths(worth_list or "")
    if worths is None:
        return _refuse(ResultCode.USAGE, "--worth: a list like 0=3/0.3,1=2/0.2")
    lines: list[str] = []
    for path in paths:
        try:
            lines += path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            return _refuse(ResultCode.USAGE, f"{path}: can't be read: {error}")
    for line in summary_lines(read_records(lines), worths):
        print(line)
    return PASSED


def _worths(text: str) -> dict[int, Worth] | None:
    """Worths by priority; None if the list can't be understood."""
    from arrowfold.explain.summary import Worth

    worths = {}
    for item in filter(None, text.split(",")):
        priority, _, worth = item.partition("=")
        whole, _, late = worth.partition("/")
        try:
            worths[int(priority)] = Worth(float(whole), float(late))
        except ValueError:
            return None
    return worths


def _targets(route: RouteDocument) -> set[str | None]:
    if route.trafficSplit is not None:
        return {part.targetService for part in route.trafficSplit}
    return {route.targetService}


def _whole_number(text: str, most: int) -> int | None:
    return int(text) if text.isdecimal() and 1 <= int(text) <= most else None


def _refuse(code: ResultCode, text: str) -> int:
    print(f"arrowfold: error {int(code)} {code.name}: {text}", file=sys.stderr)
    return FAULTY_INPUT
