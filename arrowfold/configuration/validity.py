"""Validation of configurations: types by pydantic, then the rules between members."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from pydantic import ValidationError
from result import Err, Ok, Result

from arrowfold.configuration.documents import (
    ConfigurationDocument,
    NamedDocument,
    RouteDocument,
    ServiceDocument,
    TenantDocument,
)
from arrowfold.configuration.faults import ConfigurationFault
from arrowfold.configuration.json_text import JsonObject, read_object
from arrowfold.configuration.routes import normalize_host
from arrowfold.node.result_codes import ResultCode

MAX_QUOTED_CHARACTERS = 80  # of an operator's text in a fault


def parse_configuration(
    body: bytes, max_body_bytes: int | None = None
) -> Result[ConfigurationDocument, ConfigurationFault]:
    """Parses and validates a configuration; returns the first fault found.

    `max_body_bytes`: the largest body accepted; None for no limit.
    """
    if max_body_bytes is not None and len(body) > max_body_bytes:
        text = f"{len(body)} bytes, {max_body_bytes} at most"
        return Err(ConfigurationFault(ResultCode.CONFIGURATION_TOO_LARGE, "", text))
    return read_object(body).and_then(check_value)


def check_value(value: JsonObject) -> Result[ConfigurationDocument, ConfigurationFault]:
    """Validates the JSON value of a configuration; returns the first fault found."""
    try:
        document = ConfigurationDocument.from_value(value)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        return Err(_invalid(member_path(first["loc"]), first["msg"]))
    fault = _first_fault(document)
    return Ok(document) if fault is None else Err(fault)


def member_path(location: Iterable[int | str]) -> str:
    """Formats a location in a document as `routes[3].targetService`."""
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part}]"
        else:
            path += f".{part}" if path else part
    return path


def _quote(text: str) -> str:
    """Quotes the beginning of an operator's text for a fault, with line ends escaped."""
    return repr(text[:MAX_QUOTED_CHARACTERS])


def _invalid(path: str, text: str) -> ConfigurationFault:
    return ConfigurationFault(ResultCode.CONFIGURATION_INVALID, path, text)


def _first_fault(document: ConfigurationDocument) -> ConfigurationFault | None:
    if document.version < 1:
        return _invalid("version", f"{document.version} is not above 0")
    return (
        _duplicate_name("services", document.services)
        or _duplicate_name("routes", document.routes)
        or _scaling_fault(document.services)
        or _duplicate_prefix(document.routes)
        or _route_fault(document)
        or _duplicate_name("tenants", document.tenants or ())
        or _duplicate_key(document.tenants or ())
    )


def _duplicate_name(member: str, items: Sequence[NamedDocument]) -> ConfigurationFault | None:
    positions: dict[str, int] = {}
    for index, item in enumerate(items):
        first = positions.setdefault(item.name, index)
        if first != index:
            return _invalid(f"{member}[{index}].name", f"{member}[{first}] has this name too")
    return None


def _scaling_fault(services: Sequence[ServiceDocument]) -> ConfigurationFault | None:
    for index, service in enumerate(services):
        scaling = service.scaling
        if scaling is not None and scaling.minCount > scaling.maxCount:
            text = f"{scaling.minCount} is above maxCount, {scaling.maxCount}"
            return _invalid(f"services[{index}].scaling.minCount", text)
    return None


def _duplicate_prefix(routes: list[RouteDocument]) -> ConfigurationFault | None:
    positions: dict[tuple[str, str], int] = {}
    for index, route in enumerate(routes):
        first = positions.setdefault((normalize_host(route.hostname), route.pathPrefix), index)
        if first != index:
            prefix = _quote(route.hostname + route.pathPrefix)
            return _invalid(f"routes[{index}].pathPrefix", f"{prefix} is the place of routes[{first}] too")
    return None


def _duplicate_key(tenants: Sequence[TenantDocument]) -> ConfigurationFault | None:
    """Reports an API key of two tenants; one tenant may list a key twice."""
    owners: dict[str, int] = {}
    for index, tenant in enumerate(tenants):
        for position, key in enumerate(tenant.apiKeys):
            owner = owners.setdefault(key, index)
            if owner != index:
                path = f"tenants[{index}].apiKeys[{position}]"
                return _invalid(path, f"tenants[{owner}] holds this key too")
    return None


def _route_fault(document: ConfigurationDocument) -> ConfigurationFault | None:
    service_names = {service.name for service in document.services}
    for index, route in enumerate(document.routes):
        path = f"routes[{index}]"
        fault = _target_fault(path, route, service_names) or _split_fault(path, route, service_names)
        if fault is not None:
            return fault
    return None


def _target_fault(path: str, route: RouteDocument, service_names: set[str]) -> ConfigurationFault | None:
    if route.targetService is None:
        return (
            _invalid(path, "neither targetService nor trafficSplit") if route.trafficSplit is None else None
        )
    if route.targetService not in service_names:
        return _invalid(f"{path}.targetService", f"there is no service {_quote(route.targetService)}")
    return None


def _split_fault(route_path: str, route: RouteDocument, service_names: set[str]) -> ConfigurationFault | None:
    if route.trafficSplit is None:
        return None
    for index, part in enumerate(route.trafficSplit):
        if part.targetService not in service_names:
            path = f"{route_path}.trafficSplit[{index}].targetService"
            return _invalid(path, f"there is no service {_quote(part.targetService)}")
    if not sum(part.weight for part in route.trafficSplit) > 0:
        return _invalid(f"{route_path}.trafficSplit", "the weights add up to 0")
    return None
