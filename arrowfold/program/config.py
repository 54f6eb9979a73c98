"""Reads and validates a node's configuration and applies its defaults. No other module does this.

The platform supplies the EDGE_* variables and the JSON file that EDGE_CONFIG names. A deployment may add a
KDL document, named on the command line and read by `arrowfold.program.edge`.
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
    """An invalid configuration; the message names the faulty key."""


@dataclass(frozen=True, slots=True)
class Config:
    """The validated configuration of a node."""

    name: str
    listen: Address
    discovery: Address | None
    admin: Address | None
    seed: int
    sockets: int  # file descriptors that the process may use
    memory_bytes: int
    settings: api.Settings
    load_report_fields: Mapping[str, str]  # field name in workers' reports -> LoadReport field
    known_workers: Mapping[str, Any] | None
    connect_timeout: timedelta
    max_sessions: int
    longest_deadline: timedelta
    edge_file: Path | None
    edge: EdgeDocument | None
    platform_config: Mapping[str, Any]  # the parsed EDGE_CONFIG file, unchanged

    @property
    def faktory(self) -> FaktoryConfig | None:
        """The Faktory front of the deployment's document, if any."""
        return self.edge.faktory if self.edge is not None else None

    @property
    def openapi(self) -> Path | None:
        """The OpenAPI description that the document names, if any."""
        return self.edge.openapi if self.edge is not None else None

    @property
    def asyncapi(self) -> Path | None:
        """The AsyncAPI description that the document names, if any."""
        return self.edge.asyncapi if self.edge is not None else None

    def changed_keys(self, other: Config) -> list[str]:
        """Returns the top-level keys and document nodes in which `other` differs from this configuration."""
        keys = sorted({*self.platform_config, *other.platform_config})
        return [key for key in keys if self.platform_config.get(key) != other.platform_config.get(key)] + [
            key for key in ("faktory", "openapi", "asyncapi", "trace")
            if getattr(self.edge, key, None) != getattr(other.edge, key, None)]


class _ValueReader:
    """Type-checked access to a mapping; errors name the key with its prefix."""

    def __init__(self, values: Mapping[str, Any], prefix: str) -> None:
        self.values, self.prefix = values, prefix

    def get(self, key: str, expected_type: type | tuple[type, ...], default: Any = ...) -> Any:
        """Returns a value of the expected type; a key without a default is required."""
        value = self.values.get(key)
        if value is None:
            if default is ...:
                raise ConfigError(f"{self.prefix}{key} is missing")
            return default
        if not isinstance(value, expected_type) or (isinstance(value, bool) and expected_type is not bool):
            raise ConfigError(f"{self.prefix}{key} has the wrong type: {type(value).__name__}")
        return value

    def address(self, key: str, default: Any = ...) -> Address:
        """Returns a `host:port` value as an address."""
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
        raise ConfigError(f"EDGE_CONFIG: {path}: not a JSON object")
    return value


def _read_edge(path: Path | None) -> EdgeDocument | None:
    """Reads the deployment's document, if one is named; without one, the KDL libraries are not imported."""
    if path is None:
        return None
    from arrowfold.program.document import DocumentError
    from arrowfold.program.edge import read_edge

    try:
        return read_edge(path)
    except DocumentError as error:
        raise ConfigError(str(error)) from error


def read_settings(path: Path) -> tuple[api.Settings, list[tuple[str, str]]]:
    """Reads the platform's settings from a file that holds only them or a node's whole configuration.

    Returns the settings and the (zone, kind) pairs of the workers that the file lists as known. Raises
    ConfigError, which names the file and the faulty key.
    """
    try:
        value = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from error
    if not isinstance(value, dict):
        raise ConfigError(f"{path}: not a JSON object")
    raw_settings, known_workers = value.get("settings", value), value.get("known")
    targets = known_workers.get("targets") if isinstance(known_workers, dict) else None
    zones_and_kinds = [(str(target.get("az") or ""), str(target.get("model") or ""))
             for target in targets or [] if isinstance(target, dict)]
    try:
        _check_types(raw_settings)
        _check_positive_numbers(raw_settings)
        return build_settings(raw_settings), zones_and_kinds
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error
    except KeyError as error:
        raise ConfigError(f"{path}: settings: key {error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise ConfigError(f"{path}: settings: {error}") from error


MAX_NUMBER = 1e15  # about 30 years in microseconds, beyond any meaningful value
_NUMBER_KEYS = {
    "": ("fleetSize", "myNumber", "tickUs", "overShareWorth"),
    "contract": ("answerSlackUs", "askWithinUs", "coldFrom", "coldUs", "overloadFactor", "overloadForUs",
                 "stopSendingWithinUs"),
    "permissions": ("connIdleUs", "connectTimeoutUs", "maxRetryAfterUs", "openCap", "sendCap"),
    "domain": ("progressUs",),
    "prices": ("connection", "crossZone", "handshake", "lateFail", "origin", "probe", "waste"),
}
_BOOLEAN_KEYS = {
    "permissions": ("cancel", "probes", "retryAfter", "secondCopies"), "domain": ("tellsStart",)}
_STRING_KEYS = {
    "": ("discovery", "locality", "valueBy"), "report": ("source",), "domain": ("reportX0", "reportX1")}
_CLASS_NUMBER_KEYS = ("windowUs", "importance", "lateShare", "aimStretch")


def _check_types(raw_settings: Mapping[str, Any]) -> None:
    """Rejects settings of the wrong type, which would otherwise fail only when the dispatcher uses them.

    Absent and null settings have a neutral default; unknown keys are ignored.
    """
    for section in dict.fromkeys([*_NUMBER_KEYS, *_BOOLEAN_KEYS, *_STRING_KEYS]):
        path, rows = (
            (f"settings.{section}.", raw_settings.get(section)) if section else ("settings.", raw_settings))
        if rows is None:
            continue
        if not isinstance(rows, dict):
            raise ConfigError(f"{path.removesuffix('.')} is not an object")
        for key in _NUMBER_KEYS.get(section, ()):
            _check_number(rows.get(key), f"{path}{key}")
        for keys_by_section, expected_type, problem in (
                (_BOOLEAN_KEYS, bool, "not a boolean"), (_STRING_KEYS, str, "not a string")):
            for key in keys_by_section.get(section, ()):
                if not isinstance(rows.get(key), expected_type | None):
                    raise ConfigError(f"{path}{key} is {problem}")
    names = (raw_settings.get("report") or {}).get("names") or []
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ConfigError("settings.report.names is not a list of strings")
    if "classes" not in raw_settings:
        raise ConfigError("settings.classes is missing")
    classes = raw_settings["classes"]
    if not isinstance(classes, list) or not classes:
        raise ConfigError("settings.classes is not a non-empty list of classes")
    for index, row in enumerate(classes):
        path = f"settings.classes[{index}]"
        if not isinstance(row, dict):
            raise ConfigError(f"{path} is not an object")
        for key in ("name", "hardLimitUs", "onTimeUs"):
            if key not in row:
                raise ConfigError(f"{path}.{key} is missing")
        for key in _CLASS_NUMBER_KEYS:
            _check_number(row.get(key), f"{path}.{key}")
        if not isinstance(row["name"], str) or not row["name"]:
            raise ConfigError(f"{path}.name is not a non-empty string")
        if not isinstance(row.get("stream"), bool | None):
            raise ConfigError(f"{path}.stream is not a boolean")
        if row.get("idempotency", "safe") not in [idempotency.value for idempotency in api.Idempotency]:
            raise ConfigError(f"{path}.idempotency is not one of safe, keyed and unsafe")


def _check_number(value: object, path: str) -> None:
    if value is not None and (
            isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < MAX_NUMBER):
        raise ConfigError(f"{path} is not a number from 0 to {MAX_NUMBER:g}")


def _check_positive_numbers(raw_settings: Mapping[str, Any]) -> None:
    """Rejects deadlines, latency objectives, timeouts and attempt limits that are not positive numbers."""
    permissions = raw_settings.get("permissions") or {}
    rows = [(f"classes[{index}].{key}", row[key]) for index, row in enumerate(raw_settings["classes"])
            for key in ("hardLimitUs", "onTimeUs")]
    if permissions.get("connectTimeoutUs") is not None:
        rows.append(("permissions.connectTimeoutUs", permissions["connectTimeoutUs"]))
    if permissions.get("sendCap") is not None:
        rows.append(("permissions.sendCap", permissions["sendCap"]))
        if permissions["sendCap"] != int(permissions["sendCap"]):
            raise ValueError("permissions.sendCap is not an integer")
    for key, value in rows:
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e15:
            raise ValueError(f"{key} is not a positive number")


def _check_complete(updated: object, running: object, path: str) -> None:
    """Rejects a truncated file: each key of the running configuration and of its classes must be present."""
    if isinstance(running, dict):
        if not isinstance(updated, dict):
            raise ConfigError(f"{path or 'the file'} is not an object")
        for key, value in running.items():
            if key not in updated or (updated[key] is None and value is not None):
                raise ConfigError(f"{path}{key} is missing")
            if key not in ("known", "limits", "tenants"):
                _check_complete(updated[key], value, f"{path}{key}.")
    elif path == "settings.classes." and isinstance(running, list) and isinstance(updated, list):
        common = set.intersection(*(set(row) for row in running))
        for index, row in enumerate(updated):
            _check_complete(row, dict.fromkeys(common), f"settings.classes[{index}].")


def _read_seed(value: object) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed: {value!r} is not a hexadecimal number") from None


def read_config(
        environ: Mapping[str, str], edge_file: Path | None, initial: Config | None = None,
        running: Config | None = None,
) -> Config:
    """Reads and validates the whole configuration. Raises ConfigError, which names the faulty key.

    On a reload, `running` is the configuration in use and `initial` the one that the node started with. An
    environment variable overrides a key of the file only while the file still has its initial value for that
    key: the environment of a running process cannot be updated along with the file.
    """
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is missing")
    platform_config = _read_json(path)
    if running is not None:
        _check_complete(platform_config, running.platform_config, "")
    values = dict(platform_config)
    for variable, key in (("EDGE_NAME", "name"), ("EDGE_LISTEN", "listen"),
                          ("EDGE_DISCOVERY", "discovery"), ("EDGE_ADMIN", "admin")):
        if environ.get(variable) and (
                initial is None or platform_config.get(key) == initial.platform_config.get(key)):
            values[key] = environ[variable]
    reader = _ValueReader(values, "")
    raw_settings = reader.get("settings", dict)
    try:
        _check_types(raw_settings)
        _check_positive_numbers(raw_settings)
        settings, field_names = build_settings(raw_settings), report_fields(raw_settings)
    except KeyError as error:
        raise ConfigError(f"settings: key {error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise ConfigError(f"settings: {error}") from error
    names = (raw_settings.get("report") or {}).get("names") or []
    load_report_fields = {name: field for name, field in zip(names, field_names, strict=False) if field}
    limits = _ValueReader(reader.get("limits", dict, {}), "limits.")
    sockets = limits.get("sockets", int, 1024)
    if sockets < 64:
        raise ConfigError("limits.sockets must be at least 64")
    memory_mb = limits.get("memory_mb", (int, float), 192)
    if memory_mb < 16:
        raise ConfigError("limits.memory_mb must be at least 16")
    permissions = _ValueReader(raw_settings.get("permissions") or {}, "settings.permissions.")
    return Config(
        name=reader.get("name", str, "node"), listen=reader.address("listen"),
        discovery=reader.address("discovery") if values.get("discovery") else None,
        admin=reader.address("admin") if values.get("admin") else None,
        seed=_read_seed(values.get("seed", 0)), sockets=sockets, memory_bytes=int(memory_mb * 2**20),
        settings=settings, load_report_fields=load_report_fields,
        known_workers=reader.get("known", dict, None),
        connect_timeout=timedelta(microseconds=permissions.get("connectTimeoutUs", int, 250_000)),
        max_sessions=permissions.get("openCap", int, 30_000),
        longest_deadline=timedelta(microseconds=max(c.deadline_us for c in settings.classes)),
        edge_file=edge_file, edge=_read_edge(edge_file), platform_config=platform_config)
