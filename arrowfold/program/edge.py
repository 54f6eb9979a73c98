"""Reads and validates the KDL document in which a deployment adds to the platform's configuration.

It configures the Faktory front, descriptions, trace, log format, regions, routes, quotas, repeats,
expectations and the check.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

from arrowfold.expectations.judgement import Expectation
from arrowfold.program.document import DocumentError, DocumentNode, read_document
from arrowfold.program.edge_expectations import read_expectations
from arrowfold.program.edge_quotas import read_quotas
from arrowfold.program.edge_routes import read_rules
from arrowfold.program.log import FORMATS
from arrowfold.protocol.http import parse_address
from arrowfold.quotas.tree import Tree
from arrowfold.repeats.rules import Repeats
from arrowfold.routes.rules import Routes
from arrowfold.transport.stream import Address

DEFAULT_TRACE_MIB = 100


@dataclass(frozen=True, slots=True)
class FaktoryConfig:
    """Address of the Faktory front, and the password that it requires, if any."""

    listen: Address
    password: str | None


@dataclass(frozen=True, slots=True)
class TraceConfig:
    """File to which requests are written as spans, and its limits."""

    file: Path
    max_bytes: int
    max_queued_spans: int  # not yet written; more are dropped


@dataclass(frozen=True, slots=True)
class CheckConfig:
    """Input of the check: the platform's settings, and the (zone, kind) pair of each simulated worker."""

    settings: Path | None = None
    fleet: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class EdgeDocument:
    """The validated document."""

    faktory: FaktoryConfig | None = None
    openapi: Path | None = None
    asyncapi: Path | None = None
    trace: TraceConfig | None = None
    routes: Routes = field(default_factory=lambda: Routes({}))
    quotas: Tree | None = None
    repeats: Repeats | None = None
    log: str = FORMATS[0]
    expectations: tuple[Expectation, ...] = ()
    check: CheckConfig = field(default_factory=CheckConfig)


def read_edge(path: Path) -> EdgeDocument:
    """Reads and validates the document. Raises DocumentError, which names the path of the node at fault."""
    if path.suffix == ".toml":
        raise DocumentError(f"{path}: the deployment's file is a KDL document now, such as deploy/edge.kdl")
    root = read_document(path)
    root.validate(("faktory", "descriptions", "trace", "routes", "quotas", "repeats", "expectations",
                   "check", "log"),
                  repeated=("region",))
    descriptions = root.child("descriptions")
    regions = _read_regions(root)
    return EdgeDocument(
        faktory=_read_faktory(root.child("faktory")),
        openapi=_read_description_path(descriptions, "openapi"),
        asyncapi=_read_description_path(descriptions, "asyncapi"),
        trace=_read_trace(root.child("trace")),
        routes=Routes(regions, read_rules(root.child("routes"), regions)),
        quotas=read_quotas(root.child("quotas")), repeats=_read_repeats(root.child("repeats")),
        log=_read_log_format(root.child("log")),
        expectations=read_expectations(root.child("expectations"), regions),
        check=_read_check(root.child("check")))


def _read_faktory(node: DocumentNode | None) -> FaktoryConfig | None:
    if node is None:
        return None
    node.validate(("listen", "password"))
    listen = node.child("listen")
    if listen is None:
        raise node.fault("listen is missing")
    try:
        address = parse_address(listen.text())
    except ValueError as error:
        raise listen.fault(str(error)) from error
    if not address[0].startswith("127."):
        raise listen.fault(f"{address[0]} is no loopback address")
    password = node.child("password")
    return FaktoryConfig(address, password.text() if password is not None else None)


def _read_description_path(node: DocumentNode | None, name: str) -> Path | None:
    if node is None:
        return None
    node.validate(("openapi", "asyncapi"))
    child = node.child(name)
    return node.file.parent / child.text() if child is not None else None


def _read_trace(node: DocumentNode | None) -> TraceConfig | None:
    if node is None:
        return None
    node.validate(("file", "most-mib", "most-waiting"))
    file, max_mib, max_queued = (node.child(name) for name in ("file", "most-mib", "most-waiting"))
    if file is None:
        raise node.fault("file is missing")
    return TraceConfig(
        node.file.parent / file.text(),
        (max_mib.integer() if max_mib is not None else DEFAULT_TRACE_MIB) * 2**20,
        max_queued.integer(16) if max_queued is not None else 4096)


def _read_log_format(node: DocumentNode | None) -> str:
    if node is None:
        return FORMATS[0]
    node.validate(props=("format",))
    return node.prop_choice("format", FORMATS)


def _read_regions(root: DocumentNode) -> dict[str, frozenset[str]]:
    regions: dict[str, frozenset[str]] = {}
    for node in root.children("region"):
        node.validate(props=("zones",), args=1)
        name, zones = node.text(), node.prop_text("zones")
        if name in regions:
            raise node.fault("a second region of this name")
        if zones is None or not zones.split():
            raise node.fault("zones is missing: the zones of the settings, with spaces between")
        regions[name] = frozenset(zones.split())
    return regions


def _read_repeats(node: DocumentNode | None) -> Repeats | None:
    if node is None:
        return None
    node.validate(("memory", "largest-answer", "false-positives"), repeated=("class",))
    memory, largest, false_positives = (
        node.child(name) for name in ("memory", "largest-answer", "false-positives"))
    keep: dict[str, timedelta] = {}
    for child in node.children("class"):
        child.validate(props=("keep",), args=1)
        duration = child.prop_duration("keep")
        if not duration:
            raise child.fault("keep is missing, or no time above 0")
        if child.text() in keep:
            raise child.fault("a second class of this name")
        keep[child.text()] = duration
    return Repeats(
        keep, memory.integer(1_000_000) if memory is not None else 16_000_000,
        largest.integer(0) if largest is not None else 65_536,
        false_positives.number(1e-9, 0.1) if false_positives is not None else 1e-6)


def _read_check(node: DocumentNode | None) -> CheckConfig:
    if node is None:
        return CheckConfig()
    node.validate(("settings",), repeated=("servers",))
    settings, fleet = node.child("settings"), []
    for child in node.children("servers"):
        child.validate(props=("zone", "kind", "count"))
        zone, kind = child.prop_text("zone"), child.prop_text("kind")
        if zone is None or kind is None:
            raise child.fault("zone and kind are needed")
        fleet += [(zone, kind)] * child.prop_integer("count", 1)
    return CheckConfig(node.file.parent / settings.text() if settings is not None else None, tuple(fleet))
