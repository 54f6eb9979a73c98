"""The one place where configuration is read, checked and given defaults.

A node's own figures come from the platform (EDGE_* variables and the JSON file that EDGE_CONFIG names); what
this deployment adds, from a KDL document named on the command line, which `edge.py` beside this file reads.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Any

from arrowfold import interface as api
from arrowfold.protocol.http import parse_address
from arrowfold.simhost import build_settings, report_fields
from arrowfold.transport.stream import Address

if TYPE_CHECKING:
    from arrowfold.program.edge import EdgeDocument, FaktoryConfig


class ConfigError(Exception):
    """Names the key at fault."""


@dataclass(frozen=True, slots=True)
class Config:
    """Everything that a node is told, checked."""

    name: str
    listen: Address
    discovery: Address | None
    admin: Address | None
    seed: int
    sockets: int
    memory: int  # bytes
    settings: api.Settings
    meanings: Mapping[str, str]  # report field to LoadReport field
    known: Mapping[str, Any] | None
    connect_limit: timedelta
    most_sessions: int
    longest_deadline: timedelta
    edge_file: Path | None
    edge: EdgeDocument | None
    file: Mapping[str, Any]  # the platform's file, word for word

    @property
    def faktory(self) -> FaktoryConfig | None:
        return self.edge.faktory if self.edge is not None else None

    @property
    def openapi(self) -> Path | None:
        return self.edge.openapi if self.edge is not None else None

    @property
    def asyncapi(self) -> Path | None:
        return self.edge.asyncapi if self.edge is not None else None

    def changed(self, other: Config) -> list[str]:
        """The keys in which another configuration differs from this one."""
        keys = sorted({*self.file, *other.file})
        return [key for key in keys if self.file.get(key) != other.file.get(key)] + [
            key for key in ("faktory", "openapi", "asyncapi", "trace")
            if getattr(self.edge, key, None) != getattr(other.edge, key, None)]


class _Reader:
    """Values by key, with messages that name the key."""

    def __init__(self, values: Mapping[str, Any], prefix: str) -> None:
        self.values, self.prefix = values, prefix

    def get(self, key: str, kind: type | tuple[type, ...], default: Any = ...) -> Any:
        value = self.values.get(key)
        if value is None:
            if default is ...:
                raise ConfigError(f"{self.prefix}{key} is missing")
            return default
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise ConfigError(f"{self.prefix}{key} has the wrong type: {type(value).__name__}")
        return value

    def address(self, key: str, default: Any = ...) -> Address:
        try:
            return parse_address(self.get(key, str, default))
        except ValueError as error:
            raise ConfigError(f"{self.prefix}{key}: {error}") from error


def _read_json(path: str) -> Mapping[str, Any]:
    try:
        value = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: {error}") from error
    if not isinstance(value, dict):
        raise ConfigError(f"EDGE_CONFIG: {path}: not an object")
    return value


def _read_edge(path: Path | None) -> EdgeDocument | None:
    """The deployment's own document, if one is named; the platform's node loads none of its libraries."""
    if path is None:
        return None
    from arrowfold.program.document import DocumentError
    from arrowfold.program.edge import read_edge

    try:
        return read_edge(path)
    except DocumentError as error:
        raise ConfigError(str(error)) from error


def read_settings(path: Path) -> tuple[api.Settings, list[tuple[str, str]]]:
    """The platform's settings from a file, which may be a node's whole configuration; zones and kinds listed.

    ConfigError names the file and the faulty key.
    """
    try:
        value = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from error
    if not isinstance(value, dict):
        raise ConfigError(f"{path}: not an object")
    conf, known = value.get("settings", value), value.get("known")
    targets = known.get("targets") if isinstance(known, dict) else None
    pairs = [(str(target.get("az") or ""), str(target.get("model") or ""))
             for target in targets or [] if isinstance(target, dict)]
    try:
        _check_kinds(conf)
        _check_figures(conf)
        return build_settings(conf), pairs
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error
    except KeyError as error:
        raise ConfigError(f"{path}: settings: key {error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise ConfigError(f"{path}: settings: {error}") from error


MOST_FIGURE = 1e15  # microseconds, in years some thirty; far beyond what any figure here can mean
_FIGURES = {
    "": ("fleetSize", "myNumber", "tickUs", "overShareWorth"),
    "contract": ("answerSlackUs", "askWithinUs", "coldFrom", "coldUs", "overloadFactor", "overloadForUs",
                 "stopSendingWithinUs"),
    "permissions": ("connIdleUs", "connectTimeoutUs", "maxRetryAfterUs", "openCap", "sendCap"),
    "domain": ("progressUs",),
    "prices": ("connection", "crossZone", "handshake", "lateFail", "origin", "probe", "waste"),
}
_SWITCHES = {
    "permissions": ("cancel", "probes", "retryAfter", "secondCopies"), "domain": ("tellsStart",)}
_TEXTS = {"": ("discovery", "locality", "valueBy"), "report": ("source",), "domain": ("reportX0", "reportX1")}
_OF_A_CLASS = ("windowUs", "importance", "lateShare", "aimStretch")


def _check_kinds(conf: Mapping[str, Any]) -> None:
    """Guards against settings of the wrong kind, which would fail only once the module counts with them.

    What is absent or null has a neutral value; what is not known here is passed over.
    """
    for section in dict.fromkeys([*_FIGURES, *_SWITCHES, *_TEXTS]):
        path, rows = (f"settings.{section}.", conf.get(section)) if section else ("settings.", conf)
        if rows is None:
            continue
        if not isinstance(rows, dict):
            raise ConfigError(f"{path.removesuffix('.')} is no object")
        for key in _FIGURES.get(section, ()):
            _check_figure(rows.get(key), f"{path}{key}")
        for kinds, kind, word in ((_SWITCHES, bool, "neither true nor false"), (_TEXTS, str, "no text")):
            for key in kinds.get(section, ()):
                if not isinstance(rows.get(key), kind | None):
                    raise ConfigError(f"{path}{key} is {word}")
    names = (conf.get("report") or {}).get("names") or []
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ConfigError("settings.report.names is no list of names")
    if "classes" not in conf:
        raise ConfigError("settings.classes is missing")
    classes = conf["classes"]
    if not isinstance(classes, list) or not classes:
        raise ConfigError("settings.classes is no list of classes")
    for n, row in enumerate(classes):
        path = f"settings.classes[{n}]"
        if not isinstance(row, dict):
            raise ConfigError(f"{path} is no object")
        for key in ("name", "hardLimitUs", "onTimeUs"):
            if key not in row:
                raise ConfigError(f"{path}.{key} is missing")
        for key in _OF_A_CLASS:
            _check_figure(row.get(key), f"{path}.{key}")
        if not isinstance(row["name"], str) or not row["name"]:
            raise ConfigError(f"{path}.name is no name")
        if not isinstance(row.get("stream"), bool | None):
            raise ConfigError(f"{path}.stream is neither true nor false")
        if row.get("idempotency", "safe") not in [kind.value for kind in api.Idempotency]:
            raise ConfigError(f"{path}.idempotency is none of safe, keyed and unsafe")


def _check_figure(value: object, path: str) -> None:
    if value is not None and (
            isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < MOST_FIGURE):
        raise ConfigError(f"{path} is no number from 0 to {MOST_FIGURE:g}")


def _check_figures(conf: Mapping[str, Any]) -> None:
    """Guards against settings that say nothing: deadlines, aims or attempts that are no positive number."""
    allowed = conf.get("permissions") or {}
    rows = [(f"classes[{n}].{key}", row[key]) for n, row in enumerate(conf["classes"])
            for key in ("hardLimitUs", "onTimeUs")]
    if allowed.get("connectTimeoutUs") is not None:
        rows.append(("permissions.connectTimeoutUs", allowed["connectTimeoutUs"]))
    if allowed.get("sendCap") is not None:
        rows.append(("permissions.sendCap", allowed["sendCap"]))
        if allowed["sendCap"] != int(allowed["sendCap"]):
            raise ValueError("permissions.sendCap is no whole number")
    for key, value in rows:
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e15:
            raise ValueError(f"{key} is no positive number")


def _check_whole(fresh: object, running: object, path: str) -> None:
    """Guards against a file that was cut off: what the running one has must be there, in every class too."""
    if isinstance(running, dict):
        if not isinstance(fresh, dict):
            raise ConfigError(f"{path or 'the file'} is no object")
        for key, value in running.items():
            if key not in fresh or (fresh[key] is None and value is not None):
                raise ConfigError(f"{path}{key} is missing")
            if key not in ("known", "limits", "tenants"):
                _check_whole(fresh[key], value, f"{path}{key}.")
    elif path == "settings.classes." and isinstance(running, list) and isinstance(fresh, list):
        common = set.intersection(*(set(row) for row in running))
        for n, row in enumerate(fresh):
            _check_whole(row, dict.fromkeys(common), f"settings.classes[{n}].")


def _read_seed(value: object) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed: {value!r} is no hexadecimal number") from None


def read_config(
        environ: Mapping[str, str], edge_file: Path | None, first: Config | None = None,
        running: Config | None = None,
) -> Config:
    """Read and check it all; ConfigError names the faulty key.

    `running` is what a running node goes by, `first` what it started with: the environment overrides a key
    of the file only while the file says what it said then, for the environment can't follow a change.
    """
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is missing")
    file = _read_json(path)
    if running is not None:
        _check_whole(file, running.file, "")
    values = dict(file)
    for variable, key in (("EDGE_NAME", "name"), ("EDGE_LISTEN", "listen"),
                          ("EDGE_DISCOVERY", "discovery"), ("EDGE_ADMIN", "admin")):
        if environ.get(variable) and (first is None or file.get(key) == first.file.get(key)):
            values[key] = environ[variable]
    reader = _Reader(values, "")
    conf = reader.get("settings", dict)
    try:
        _check_kinds(conf)
        _check_figures(conf)
        settings, row = build_settings(conf), report_fields(conf)
    except KeyError as error:
        raise ConfigError(f"settings: key {error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise ConfigError(f"settings: {error}") from error
    names = (conf.get("report") or {}).get("names") or []
    meanings = {name: field for name, field in zip(names, row, strict=False) if field}
    limits = _Reader(reader.get("limits", dict, {}), "limits.")
    sockets = limits.get("sockets", int, 1024)
    if sockets < 64:
        raise ConfigError("limits.sockets must be at least 64")
    memory = limits.get("memory_mb", (int, float), 192)
    if memory < 16:
        raise ConfigError("limits.memory_mb must be at least 16")
    allowed = _Reader(conf.get("permissions") or {}, "settings.permissions.")
    return Config(
        name=reader.get("name", str, "node"), listen=reader.address("listen"),
        discovery=reader.address("discovery") if values.get("discovery") else None,
        admin=reader.address("admin") if values.get("admin") else None,
        seed=_read_seed(values.get("seed", 0)), sockets=sockets, memory=int(memory * 2**20),
        settings=settings, meanings=meanings, known=reader.get("known", dict, None),
        connect_limit=timedelta(microseconds=allowed.get("connectTimeoutUs", int, 250_000)),
        most_sessions=allowed.get("openCap", int, 30_000),
        longest_deadline=timedelta(microseconds=max(c.deadline_us for c in settings.classes)),
        edge_file=edge_file, edge=_read_edge(edge_file), file=file)
