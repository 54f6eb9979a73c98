"""The immutable route table that an edge node builds from each configuration and replaces as a whole.

It reads the JSON value of a committed, hence valid, configuration and does not validate it again.
Times are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from arrowfold.configuration.json_text import JsonObject
from arrowfold.configuration.tenants import TenantTable

if TYPE_CHECKING:  # edge nodes must not load pydantic
    from arrowfold.configuration.documents import ConfigurationDocument

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAMING = "streaming"
DEFAULT_PRIORITY = 5
_MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Route:
    """Target and limits of the requests for a host and path prefix.

    `split` holds pairs of a service and its weight; the weights add up to 1.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    latency_objective_s: float
    priority: int
    split: tuple[tuple[str, float], ...]
    max_attempts: int
    resumable: bool
    session_affinity: bool
    gap_objective_s: float | None
    public_access: bool = False  # requests need no API key

    def pick_service(self, fraction: float) -> str:
        """Returns the service for a request with the random number `fraction` (0 <= fraction < 1)."""
        cumulative = 0.0
        for service, weight in self.split:
            cumulative += weight
            if fraction < cumulative:
                return service
        return self.split[-1][0]

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once; a stream only if it can be resumed."""
        return self.kind == IDEMPOTENT or (self.kind == STREAMING and self.resumable)


@dataclass(frozen=True, slots=True)
class Model:
    """A model that workers of a service may load. Its adapters are named a1, a2 and so on."""

    name: str
    weights_mb: float
    load_time_s: float
    adapters: int
    adapter_size_mb: float


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """The inference engine of a service's workers. `stride` is the number of tokens in a stream event."""

    capacity_slots: int
    kv_cache_tokens: float
    kv_token_bytes: float
    link_mbps: float
    stride: float
    models: tuple[Model, ...]
    weights_mb: float
    adapter_capacity: int
    load_rate_per_s: float


@dataclass(frozen=True, slots=True)
class Service:
    """A service that routes refer to.

    `max_connections` limits the connections to each worker from all callers; None for no limit.
    """

    name: str
    max_connections: int | None
    health_path: str
    engine: EngineSettings | None


@dataclass(frozen=True, slots=True)
class Limits:
    """Size and time limits for clients; None where no limit is configured."""

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_s: float | None = None
    idle_timeout_s: float | None = None


class RouteTable:
    """Routes by host and prefix, services by name, limits and tenants of one configuration. Immutable."""

    __slots__ = ("limits", "routes", "services", "tenants", "version", "_routes_by_host")

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, Service],
        limits: Limits,
        tenants: TenantTable | None = None,
    ) -> None:
        """Without `tenants`, requests need no API key."""
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self.tenants = tenants or TenantTable(False, {})
        self._routes_by_host = _group_by_host(routes)

    @classmethod
    def from_document(cls, document: ConfigurationDocument) -> RouteTable:
        """Builds the table from a validated document."""
        return cls.from_value(document.value)

    @classmethod
    def from_value(cls, value: JsonObject) -> RouteTable:
        """Builds the table from the JSON value of a valid configuration."""
        services = {item["name"]: _service(item) for item in value["services"]}
        routes = tuple(_route(item) for item in value["routes"])
        limits = _limits(value.get("limits") or {})
        return cls(value["version"], routes, services, limits, TenantTable.from_value(value))

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None.

        The port of the `Host` header and the query of the path are ignored.
        """
        entry = self._routes_by_host.get(host) or self._routes_by_host.get(normalize_host(host))
        if entry is None:
            return None
        by_prefix, max_length = entry
        end = path.find("?")
        end = min(max_length, len(path) if end < 0 else end)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None


def normalize_host(host: str) -> str:
    """Normalizes a host name: lower case, without port, surrounding whitespace and trailing dot."""
    name = host.strip().lower()
    if name.startswith("["):
        return name.partition("]")[0] + "]"
    return name.partition(":")[0].removesuffix(".")


def _group_by_host(routes: tuple[Route, ...]) -> dict[str, tuple[dict[str, Route], int]]:
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return {host: (prefixes, max(map(len, prefixes))) for host, prefixes in by_host.items()}


def _seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / _MS_PER_S


def _traffic_split(item: JsonObject) -> tuple[tuple[str, float], ...]:
    parts = item.get("trafficSplit")
    if parts is None:
        return ((item["targetService"], 1.0),)
    total = sum(part["weight"] for part in parts)
    return tuple((part["targetService"], part["weight"] / total) for part in parts if part["weight"] > 0)


def _route(item: JsonObject) -> Route:
    get = item.get
    timeout_ms: float = item["timeoutMs"]
    objective_ms = get("targetLatencyMs")
    return Route(
        name=item["name"],
        host=normalize_host(item["hostname"]),
        prefix=item["pathPrefix"],
        kind=get("routeKind", NON_IDEMPOTENT),
        timeout_s=timeout_ms / _MS_PER_S,
        latency_objective_s=(timeout_ms if objective_ms is None else objective_ms) / _MS_PER_S,
        priority=get("priority", DEFAULT_PRIORITY),
        split=_traffic_split(item),
        max_attempts=get("maxAttempts", 1),
        resumable=get("resumable", False),
        session_affinity=get("sessionAffinity", False),
        gap_objective_s=_seconds(get("gap_aim_ms")),
        public_access=get("publicAccess", False),
    )


def _model(item: JsonObject) -> Model:
    get = item.get
    return Model(
        name=item["name"],
        weights_mb=item["weightsMb"],
        load_time_s=get("loadTimeS", 0.0),
        adapters=get("adapters", 0),
        adapter_size_mb=get("adapterSizeMb", 0.0),
    )


def _engine(item: JsonObject | None) -> EngineSettings | None:
    if item is None:
        return None
    get = item.get
    return EngineSettings(
        capacity_slots=item["capacitySlots"],
        kv_cache_tokens=item["kvCacheTokens"],
        kv_token_bytes=get("kvTokenBytes", 0.0),
        link_mbps=get("linkMbps", 0.0),
        stride=get("stride", 1),
        models=tuple(_model(model) for model in get("models", ())),
        weights_mb=get("weightsMb", 0.0),
        adapter_capacity=get("adapterCapacity", 0),
        load_rate_per_s=get("loadRateS", 0.0),
    )


def _service(item: JsonObject) -> Service:
    return Service(
        name=item["name"],
        max_connections=item.get("maxConnections"),
        health_path=item.get("healthPath", "/"),
        engine=_engine(item.get("engine")),
    )


def _limits(item: dict[str, Any]) -> Limits:
    return Limits(
        max_header_bytes=item.get("maxHeaderBytes"),
        max_body_bytes=item.get("maxBodyBytes"),
        header_timeout_s=_seconds(item.get("headerTimeoutMs")),
        idle_timeout_s=_seconds(item.get("idleTimeoutMs")),
    )
