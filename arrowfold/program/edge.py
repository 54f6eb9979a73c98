"""What a deployment adds to the platform's configuration: one KDL document, checked whole.

It holds the Faktory front, the descriptions, the trace, regions, routes, and what is expected of routing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

from arrowfold.expectations.judgement import Expectation
from arrowfold.program.document import DocumentError, Place, read_document
from arrowfold.program.edge_expectations import read_expectations
from arrowfold.program.edge_quotas import read_quotas
from arrowfold.program.edge_routes import read_rules
from arrowfold.program.log import FORMS
from arrowfold.protocol.http import parse_address
from arrowfold.quotas.tree import Tree
from arrowfold.repeats.rules import Repeats
from arrowfold.routes.rules import Routes
from arrowfold.transport.stream import Address

MOST_TRACE = 100  # MiB


@dataclass(frozen=True, slots=True)
class FaktoryConfig:
    """Where the Faktory front listens, and the password that it asks for, if any."""

    listen: Address
    password: str | None


@dataclass(frozen=True, slots=True)
class TraceConfig:
    """Where sessions are written down as spans, and how much at most."""

    file: Path
    most_bytes: int
    most_waiting: int  # spans that wait to be written; more are dropped


@dataclass(frozen=True, slots=True)
class CheckConfig:
    """What the check plays on: the platform's settings, and which zones hold which kinds."""

    settings: Path | None = None
    fleet: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class EdgeDocument:
    """The document, checked."""

    faktory: FaktoryConfig | None = None
    openapi: Path | None = None
    asyncapi: Path | None = None
    trace: TraceConfig | None = None
    routes: Routes = field(default_factory=lambda: Routes({}))
    quotas: Tree | None = None
    repeats: Repeats | None = None
    log: str = FORMS[0]
    expectations: tuple[Expectation, ...] = ()
    check: CheckConfig = field(default_factory=CheckConfig)


def read_edge(path: Path) -> EdgeDocument:
    """Read and check the document; DocumentError names the path of the node at fault."""
    if path.suffix == ".toml":
        raise DocumentError(f"{path}: the deployment's file is a KDL document now, such as deploy/edge.kdl")
    root = read_document(path)
    root.check(("faktory", "descriptions", "trace", "routes", "quotas", "repeats", "expectations",
                "check",
                "log"),
               repeated=("region",))
    descriptions = root.child("descriptions")
    regions = _regions(root)
    return EdgeDocument(
        faktory=_faktory(root.child("faktory")),
        openapi=_file(descriptions, "openapi"), asyncapi=_file(descriptions, "asyncapi"),
        trace=_trace(root.child("trace")),
        routes=Routes(regions, read_rules(root.child("routes"), regions)),
        quotas=read_quotas(root.child("quotas")), repeats=_repeats(root.child("repeats")),
        log=_log(root.child("log")),
        expectations=read_expectations(root.child("expectations"), regions),
        check=_check(root.child("check")))


def _faktory(place: Place | None) -> FaktoryConfig | None:
    if place is None:
        return None
    place.check(("listen", "password"))
    listen = place.child("listen")
    if listen is None:
        raise place.fault("listen is missing")
    try:
        address = parse_address(listen.text())
    except ValueError as error:
        raise listen.fault(str(error)) from error
    if not address[0].startswith("127."):
        raise listen.fault(f"{address[0]} is no loopback address")
    password = place.child("password")
    return FaktoryConfig(address, password.text() if password is not None else None)


def _file(place: Place | None, name: str) -> Path | None:
    if place is None:
        return None
    place.check(("openapi", "asyncapi"))
    child = place.child(name)
    return place.file.parent / child.text() if child is not None else None


def _trace(place: Place | None) -> TraceConfig | None:
    if place is None:
        return None
    place.check(("file", "most-mib", "most-waiting"))
    file, mib, waiting = (place.child(name) for name in ("file", "most-mib", "most-waiting"))
    if file is None:
        raise place.fault("file is missing")
    return TraceConfig(
        place.file.parent / file.text(), (mib.whole() if mib is not None else MOST_TRACE) * 2**20,
        waiting.whole(16) if waiting is not None else 4096)


def _log(place: Place | None) -> str:
    if place is None:
        return FORMS[0]
    place.check(props=("format",))
    return place.prop_choice("format", FORMS)


def _regions(root: Place) -> dict[str, frozenset[str]]:
    regions: dict[str, frozenset[str]] = {}
    for place in root.children("region"):
        place.check(props=("zones",), args=1)
        name, zones = place.text(), place.prop_text("zones")
        if name in regions:
            raise place.fault("a second region of this name")
        if zones is None or not zones.split():
            raise place.fault("zones is missing: the zones of the settings, with spaces between")
        regions[name] = frozenset(zones.split())
    return regions


def _repeats(place: Place | None) -> Repeats | None:
    if place is None:
        return None
    place.check(("memory", "largest-answer", "false-positives"), repeated=("class",))
    memory, largest, errors = (place.child(name) for name in ("memory", "largest-answer", "false-positives"))
    keep: dict[str, timedelta] = {}
    for row in place.children("class"):
        row.check(props=("keep",), args=1)
        span = row.prop_span("keep")
        if not span:
            raise row.fault("keep is missing, or no time above 0")
        if row.text() in keep:
            raise row.fault("a second class of this name")
        keep[row.text()] = span
    return Repeats(
        keep, memory.whole(1_000_000) if memory is not None else 16_000_000,
        largest.whole(0) if largest is not None else 65_536,
        errors.number(1e-9, 0.1) if errors is not None else 1e-6)


def _check(place: Place | None) -> CheckConfig:
    if place is None:
        return CheckConfig()
    place.check(("settings",), repeated=("servers",))
    settings, fleet = place.child("settings"), []
    for row in place.children("servers"):
        row.check(props=("zone", "kind", "count"))
        zone, kind = row.prop_text("zone"), row.prop_text("kind")
        if zone is None or kind is None:
            raise row.fault("zone and kind are needed")
        fleet += [(zone, kind)] * row.prop_whole("count", 1)
    return CheckConfig(place.file.parent / settings.text() if settings is not None else None, tuple(fleet))
